package assigner

import (
	"context"
	"sync"
	"time"

	"parsleyrelay.example/core/warmup"
)

const (
	// maxConfirmationWait limits the wait of a call for a confirmation of the term. A read
	// of the map takes a few tens of milliseconds, and other calls to the server wait too.
	maxConfirmationWait = 300 * time.Millisecond
	// readRequestInterval is the time after which a read is asked for again, since a read
	// that returns a map of this host confirms nothing.
	readRequestInterval = 100 * time.Millisecond
)

// confirmation is the last confirmation of this host's term, for which calls wait. It is
// safe for concurrent use.
type confirmation struct {
	mu      sync.Mutex
	term    uint64
	at      time.Duration
	begunAt time.Duration // when the term was first seen to have begun
	changed chan struct{} // closed at the next change; nil if no call waits
}

// begin records that a term has begun, unless it is known. It is called before set.
func (c *confirmation) begin(now time.Duration, term uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term != term {
		c.begunAt = now
	}
}

// set records that a term was last confirmed at a time.
func (c *confirmation) set(term uint64, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term == term && c.at == at {
		return
	}
	c.term, c.at = term, at
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// get returns the term that was confirmed last and when, and a channel that is closed when
// they change.
func (c *confirmation) get() (term uint64, at time.Duration, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.term, c.at, c.changed
}

// Leadership returns since when this host leads, and when the store last confirmed that.
func (a *Assigner) Leadership() warmup.Leadership {
	a.confirmation.mu.Lock()
	defer a.confirmation.mu.Unlock()
	return warmup.Leadership{Leading: a.leading.Load(), BegunAt: a.confirmation.begunAt, ConfirmedAt: a.confirmation.at}
}

// confirmTerm waits until a read of the map that is sent from now on confirms a term of
// this host, up to maxConfirmationWait. Calls that wait share a read. A host that has begun
// a later term since knows of a leader in between.
func (a *Assigner) confirmTerm(ctx context.Context, term uint64) error {
	since := a.options.Now()
	deadline := time.NewTimer(maxConfirmationWait)
	defer deadline.Stop()
	request := time.NewTicker(readRequestInterval)
	defer request.Stop()
	for {
		confirmedTerm, at, changed := a.confirmation.get()
		switch {
		case confirmedTerm != term:
			return errTermEnded
		case at >= since:
			return nil
		}
		if a.options.RequestRead != nil {
			a.options.RequestRead()
		}
		select {
		case <-changed:
		case <-request.C:
		case <-deadline.C:
			return errTermNotConfirmed
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
