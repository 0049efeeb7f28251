package server

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Execution is the record of one request that an instance accepted and started.
type Execution struct {
	Service    string
	Server     string
	Instance   string
	Key        string
	KeyHash    uint64
	Generation uint64
	ID         string // Idempotency-Key, may be empty
	RequestID  string
	Rank       string
	Started    time.Duration // time since the journal was created
	Ended      time.Duration // likewise, 0 while the request is executed
	Committed  bool          // the request took effect, as it was not aborted
}

// Journal records the executions of any number of servers, so that FindViolations can
// detect two owners of a key and duplicate executions. It is safe for concurrent use.
type Journal struct {
	createdAt time.Time

	mu         sync.Mutex
	executions []Execution
	countByID  map[string]int // by Idempotency-Key
}

// NewJournal returns an empty journal.
func NewJournal() *Journal {
	return &Journal{createdAt: time.Now(), countByID: map[string]int{}}
}

// Now returns the time since the journal was created, the clock of Execution.Started
// and Execution.Ended.
func (j *Journal) Now() time.Duration { return time.Since(j.createdAt) }

func (j *Journal) recordStart(execution Execution) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	execution.Started = time.Since(j.createdAt)
	j.executions = append(j.executions, execution)
	if execution.ID != "" {
		j.countByID[execution.ID]++
	}
	return len(j.executions) - 1
}

func (j *Journal) recordEnd(executionIndex int, committed bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.executions[executionIndex].Ended = time.Since(j.createdAt)
	j.executions[executionIndex].Committed = committed
}

// Executions returns a copy of all executions in the order of their start.
func (j *Journal) Executions() []Execution {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.executions)
}

// ExecutionCount returns the number of executions of an Idempotency-Key, including
// aborted and running ones.
func (j *Journal) ExecutionCount(id string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.countByID[id]
}

// Violation is a violated rule with the two executions that violate it.
type Violation struct {
	Rule   string
	First  Execution
	Second Execution
}

// String returns the violation on one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %+v and %+v", v.Rule, v.First, v.Second)
}

// The rules that FindViolations checks.
const (
	RuleDuplicateExecution = "an Idempotency-Key was executed twice"
	RuleOverlappingOwners  = "executions of a key by two instances overlap"
	RuleStaleOwner         = "an execution under an older generation took effect after one under a newer generation"
	noGeneration           = 0 // Execution.Generation at servers that do not check grants
)

// FindViolations returns all violations. The rules about owners consider committed
// executions only, since a paused server whose grants have expired aborts its
// executions without effect when it resumes. mayRepeat reports whether an id may be
// executed more than once; nil means that none may.
func (j *Journal) FindViolations(mayRepeat func(id string) bool) []Violation {
	var violations []Violation
	firstByID := map[string]Execution{}
	committedByKey := map[string][]Execution{}
	for _, execution := range j.Executions() {
		if execution.Committed {
			key := execution.Service + "\x00" + execution.Key
			committedByKey[key] = append(committedByKey[key], execution)
		}
		if execution.ID == "" || (mayRepeat != nil && mayRepeat(execution.ID)) {
			continue
		}
		if first, duplicate := firstByID[execution.ID]; duplicate {
			violations = append(violations, Violation{RuleDuplicateExecution, first, execution})
			continue
		}
		firstByID[execution.ID] = execution
	}
	for _, executions := range committedByKey {
		violations = append(violations, findOwnerViolations(executions)...)
	}
	return violations
}

// findOwnerViolations compares the committed executions of one key, which are in the
// order of their start. Comparing with the execution of each instance that ended last
// is sufficient to find an overlap.
func findOwnerViolations(executions []Execution) []Violation {
	var violations []Violation
	lastByInstance := map[string]Execution{}
	var highestGeneration Execution
	for _, execution := range executions {
		for instance, other := range lastByInstance {
			if instance != execution.Instance && execution.Started < other.Ended {
				violations = append(violations, Violation{RuleOverlappingOwners, other, execution})
			}
		}
		if execution.Ended > lastByInstance[execution.Instance].Ended {
			lastByInstance[execution.Instance] = execution
		}
		if execution.Generation == noGeneration {
			continue
		}
		if execution.Generation < highestGeneration.Generation && execution.Started > highestGeneration.Ended {
			violations = append(violations, Violation{RuleStaleOwner, highestGeneration, execution})
		}
		if execution.Generation > highestGeneration.Generation {
			highestGeneration = execution
		}
	}
	return violations
}
