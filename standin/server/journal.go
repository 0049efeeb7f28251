package server

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Execution is one request that an instance accepted.
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
	Started    time.Duration // since the journal was made
	Ended      time.Duration // 0 while it runs
	Committed  bool          // it took effect; aborted work did not
}

// Journal records the accepted work of any number of servers, so that a checker
// can find two owners of a key and doubled runs. It is safe for concurrent use.
type Journal struct {
	start time.Time

	mu         sync.Mutex
	work       []Execution
	executions map[string]int // by Idempotency-Key
}

// NewJournal returns an empty journal.
func NewJournal() *Journal {
	return &Journal{start: time.Now(), executions: map[string]int{}}
}

// Now returns the time since the journal was made, the clock of its work.
func (j *Journal) Now() time.Duration { return time.Since(j.start) }

func (j *Journal) begin(w Execution) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	w.Started = time.Since(j.start)
	j.work = append(j.work, w)
	if w.ID != "" {
		j.executions[w.ID]++
	}
	return len(j.work) - 1
}

func (j *Journal) end(index int, committed bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.work[index].Ended = time.Since(j.start)
	j.work[index].Committed = committed
}

// Executions returns a copy of all work in the order of acceptance.
func (j *Journal) Executions() []Execution {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.work)
}

// ExecutionCount returns how often the work of an Idempotency-Key was started.
func (j *Journal) ExecutionCount(id string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.executions[id]
}

// Violation is a broken rule with the work that shows it.
type Violation struct {
	Rule   string
	First  Execution
	Second Execution
}

// String returns the violation on one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %+v and %+v", v.Rule, v.First, v.Second)
}

// The rules that Check applies.
const (
	RuleDuplicateExecution = "an Idempotency-Key ran twice"
	RuleOverlappingOwners  = "the work of two instances on a key overlaps"
	RuleStaleOwner         = "an older generation took effect after a newer one"
	generationUnused       = 0 // of servers that do not check grants
)

// FindViolations returns the violations. Only work that took effect counts for the rules
// about owners: a frozen server aborts its work, without effect, when it goes on.
// repeatable reports an id that may run more than once; nil means none may.
func (j *Journal) FindViolations(repeatable func(id string) bool) []Violation {
	var found []Violation
	byID := map[string]Execution{}
	byKey := map[string][]Execution{}
	for _, w := range j.Executions() {
		if w.Committed {
			key := w.Service + "\x00" + w.Key
			byKey[key] = append(byKey[key], w)
		}
		if w.ID == "" || (repeatable != nil && repeatable(w.ID)) {
			continue
		}
		if first, twice := byID[w.ID]; twice {
			found = append(found, Violation{RuleDuplicateExecution, first, w})
			continue
		}
		byID[w.ID] = w
	}
	for _, work := range byKey {
		found = append(found, checkKey(work)...)
	}
	return found
}

// checkKey compares the committed work of one key, in the order of its start. Per
// instance, the work that ended last is enough to find an overlap.
func checkKey(work []Execution) []Violation {
	var found []Violation
	last := map[string]Execution{}
	var newest Execution // with the highest generation
	for _, w := range work {
		for instance, other := range last {
			if instance != w.Instance && w.Started < other.Ended {
				found = append(found, Violation{RuleOverlappingOwners, other, w})
			}
		}
		if w.Ended > last[w.Instance].Ended {
			last[w.Instance] = w
		}
		if w.Generation == generationUnused {
			continue
		}
		if w.Generation < newest.Generation && w.Started > newest.Ended {
			found = append(found, Violation{RuleStaleOwner, newest, w})
		}
		if w.Generation > newest.Generation {
			newest = w
		}
	}
	return found
}
