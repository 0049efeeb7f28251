package server

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Execution is the record of one request that an instance accepted and started.
type Execution struct {
	Service        string
	Server         string
	Instance       string
	Key            string
	KeyHash        uint64
	Generation     uint64
	IdempotencyKey string // Idempotency-Key, may be empty
	RequestID      string
	Rank           string
	Started        time.Duration // time since the journal was created
	Ended          time.Duration // likewise, 0 while the request is executed
	Committed      bool          // the request took effect, as it was not aborted
}

// Journal records the executions of any number of servers, so that FindViolations can
// detect two owners of a key and duplicate executions. It is safe for concurrent use.
type Journal struct {
	createdAt time.Time

	mu                    sync.Mutex
	executions            []Execution
	countByIdempotencyKey map[string]int // by Idempotency-Key
}

// NewJournal returns an empty journal.
func NewJournal() *Journal {
	return &Journal{createdAt: time.Now(), countByIdempotencyKey: map[string]int{}}
}

// Now returns the time since the journal was created, the clock of Execution.Started
// and Execution.Ended.
func (j *Journal) Now() time.Duration { return time.Since(j.createdAt) }

func (j *Journal) recordStart(execution Execution) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	execution.Started = time.Since(j.createdAt)
	j.executions = append(j.executions, execution)
	if execution.IdempotencyKey != "" {
		j.countByIdempotencyKey[execution.IdempotencyKey]++
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
	return j.countByIdempotencyKey[id]
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

	// noGeneration is the Execution.Generation at servers that do not check grants, to
	// which RuleStaleOwner does not apply.
	noGeneration = 0
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
		if execution.IdempotencyKey == "" || (mayRepeat != nil && mayRepeat(execution.IdempotencyKey)) {
			continue
		}
		if first, duplicate := firstByID[execution.IdempotencyKey]; duplicate {
			violations = append(violations, Violation{RuleDuplicateExecution, first, execution})
			continue
		}
		firstByID[execution.IdempotencyKey] = execution
	}
	for _, executions := range committedByKey {
		violations = append(violations, findOwnerViolations(executions)...)
	}
	return violations
}

// findOwnerViolations compares the committed executions of one key, which are in the
// order of their start. For each instance, comparing with its execution of the latest
// end is sufficient to find an overlap.
func findOwnerViolations(executions []Execution) []Violation {
	var violations []Violation
	latestEndByInstance := map[string]Execution{}
	var newestOwnerExecution Execution
	for _, execution := range executions {
		for instance, other := range latestEndByInstance {
			if instance != execution.Instance && execution.Started < other.Ended {
				violations = append(violations, Violation{RuleOverlappingOwners, other, execution})
			}
		}
		if execution.Ended > latestEndByInstance[execution.Instance].Ended {
			latestEndByInstance[execution.Instance] = execution
		}
		if execution.Generation == noGeneration {
			continue
		}
		if execution.Generation < newestOwnerExecution.Generation && execution.Started > newestOwnerExecution.Ended {
			violations = append(violations, Violation{RuleStaleOwner, newestOwnerExecution, execution})
		}
		if execution.Generation > newestOwnerExecution.Generation {
			newestOwnerExecution = execution
		}
	}
	return violations
}
