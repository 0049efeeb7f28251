package commands

import (
	"sync"

	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/resource"
)

// maxOutcomes bounds the outcomes that are kept. At 78,000 changes a day this covers about
// 5 hours, far longer than a change is retried.
const maxOutcomes = 16384

// Outcome is the result of applying the record of a change.
type Outcome struct {
	Key           resource.Key
	Offset        uint64 // of the record that determined the outcome
	TookEffect    bool
	Reason        string // why the change had no effect
	ContentDigest string // see contentDigest
	IsDelete      bool   // the change is a delete
}

// OutcomeStore keeps the outcomes of changes by change id, whichever host proposed them,
// and notifies the commands that wait for them. It is safe for concurrent use.
type OutcomeStore struct {
	mu        sync.Mutex
	outcomes  map[string]Outcome
	changeIDs []string // ring buffer; once full, its oldest id is at index oldest
	oldest    int
	waiters   map[string]*waiterGroup
}

type waiterGroup struct {
	count   int
	decided chan struct{} // closed when the outcome is known
}

// NewOutcomeStore returns an empty store.
func NewOutcomeStore() *OutcomeStore {
	return &OutcomeStore{outcomes: map[string]Outcome{}, waiters: map[string]*waiterGroup{}}
}

// LogRecordApplied stores the outcome of a record that changes a resource and ignores other
// records. The outcome of an accepted change is never replaced: a second record of the same
// change may be refused because of a later change.
func (l *OutcomeStore) LogRecordApplied(outcome ownership.RecordOutcome) {
	id, out, ok := outcomeOf(outcome)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	old, known := l.outcomes[id]
	if known && (old.TookEffect || !out.TookEffect) {
		return
	}
	if !known {
		l.addChangeID(id)
	}
	l.outcomes[id] = out
	if w, ok := l.waiters[id]; ok {
		close(w.decided)
		delete(l.waiters, id)
	}
}

func (l *OutcomeStore) addChangeID(id string) {
	if len(l.changeIDs) < maxOutcomes {
		l.changeIDs = append(l.changeIDs, id)
		return
	}
	delete(l.outcomes, l.changeIDs[l.oldest])
	l.changeIDs[l.oldest] = id
	l.oldest = (l.oldest + 1) % maxOutcomes
}

// Outcome returns the outcome of a change, if this host has applied it.
func (l *OutcomeStore) Outcome(changeID string) (Outcome, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	out, ok := l.outcomes[changeID]
	return out, ok
}

// Pending reports whether a command on this host waits for the change.
func (l *OutcomeStore) Pending(changeID string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.waiters[changeID]
	return ok
}

// subscribe returns a channel that is closed when the outcome of a change is known. first
// reports that the outcome is not known and no other command waits for it; the subscriber
// then proposes the change. The subscriber calls unsubscribe at the end.
func (l *OutcomeStore) subscribe(changeID string) (decided <-chan struct{}, first bool, unsubscribe func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.outcomes[changeID]; ok {
		ready := make(chan struct{})
		close(ready)
		return ready, false, func() {}
	}
	w, ok := l.waiters[changeID]
	if !ok {
		w = &waiterGroup{decided: make(chan struct{})}
		l.waiters[changeID] = w
	}
	w.count++
	return w.decided, !ok, func() { l.removeWaiter(changeID, w) }
}

func (l *OutcomeStore) removeWaiter(changeID string, w *waiterGroup) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w.count--
	if w.count == 0 && l.waiters[changeID] == w {
		delete(l.waiters, changeID)
	}
}

func outcomeOf(outcome ownership.RecordOutcome) (id string, out Outcome, ok bool) {
	out = Outcome{Offset: outcome.Entry.Offset, TookEffect: outcome.TookEffect, Reason: outcome.Reason}
	switch b := outcome.Entry.Record.Body.(type) {
	case record.ResourcePut:
		out.Key, out.ContentDigest = b.Resource.Key(), contentDigest(b)
		return b.ChangeID, out, b.ChangeID != ""
	case record.ResourceDelete:
		out.Key, out.ContentDigest, out.IsDelete = b.Key, contentDigest(b), true
		return b.ChangeID, out, b.ChangeID != ""
	}
	return "", Outcome{}, false
}
