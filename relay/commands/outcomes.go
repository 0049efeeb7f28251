package commands

import (
	"sync"

	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/resource"
)

// ledgerChanges bounds the outcomes that are kept. At 78,000 changes a day this
// covers about 5 hours, well beyond the time for which a change is tried again.
const ledgerChanges = 16384

// Outcome is the result of folding the record of a change.
type Outcome struct {
	Key           resource.Key
	Offset        uint64 // of the record that decided the change
	TookEffect    bool
	Reason        string // why it had no effect
	ContentDigest string // of the content, see digest
	IsDelete      bool   // the change is a delete
}

// OutcomeStore keeps the outcomes of changes by change id, whichever host proposed
// them, and wakes commands that wait for theirs. It is safe for concurrent use.
type OutcomeStore struct {
	mu       sync.Mutex
	outcomes map[string]Outcome
	order    []string // ring of change ids, the oldest at next when full
	next     int
	waiting  map[string]*waiters
}

type waiters struct {
	count  int
	folded chan struct{} // closed when the outcome is known
}

// NewOutcomeStore returns an empty store.
func NewOutcomeStore() *OutcomeStore {
	return &OutcomeStore{outcomes: map[string]Outcome{}, waiting: map[string]*waiters{}}
}

// RecordApplied takes the outcome of any record; those of other kinds are ignored. An
// accepted outcome is never replaced: a second record of the same change may
// lose against a later change although the first one was accepted.
func (l *OutcomeStore) RecordApplied(f ownership.RecordOutcome) {
	id, out, ok := outcomeOf(f)
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
		l.remember(id)
	}
	l.outcomes[id] = out
	if w, ok := l.waiting[id]; ok {
		close(w.folded)
		delete(l.waiting, id)
	}
}

func (l *OutcomeStore) remember(id string) {
	if len(l.order) < ledgerChanges {
		l.order = append(l.order, id)
		return
	}
	delete(l.outcomes, l.order[l.next])
	l.order[l.next] = id
	l.next = (l.next + 1) % ledgerChanges
}

// Outcome returns the outcome of a change, if this host has folded it.
func (l *OutcomeStore) Outcome(changeID string) (Outcome, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	out, ok := l.outcomes[changeID]
	return out, ok
}

// Pending reports whether a command waits for the change on this host.
func (l *OutcomeStore) Pending(changeID string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.waiting[changeID]
	return ok
}

// wait registers for the outcome of a change. first tells that no other command
// waits for it, so that the caller proposes it. The caller ends with done.
func (l *OutcomeStore) wait(changeID string) (folded <-chan struct{}, first bool, done func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.outcomes[changeID]; ok {
		ready := make(chan struct{})
		close(ready)
		return ready, false, func() {}
	}
	w, ok := l.waiting[changeID]
	if !ok {
		w = &waiters{folded: make(chan struct{})}
		l.waiting[changeID] = w
	}
	w.count++
	return w.folded, !ok, func() { l.leave(changeID, w) }
}

func (l *OutcomeStore) leave(changeID string, w *waiters) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w.count--
	if w.count == 0 && l.waiting[changeID] == w {
		delete(l.waiting, changeID)
	}
}

func outcomeOf(f ownership.RecordOutcome) (id string, out Outcome, ok bool) {
	out = Outcome{Offset: f.Positioned.Offset, TookEffect: f.TookEffect, Reason: f.Reason}
	switch b := f.Positioned.Record.Body.(type) {
	case record.ResourcePut:
		out.Key, out.ContentDigest = b.Resource.Key(), digest(b)
		return b.ChangeID, out, b.ChangeID != ""
	case record.ResourceDelete:
		out.Key, out.ContentDigest, out.IsDelete = b.Key, digest(b), true
		return b.ChangeID, out, b.ChangeID != ""
	}
	return "", Outcome{}, false
}
