// Package freshness decides whether a host may answer by the state that it knows of a source, which
// here is the platform's store. Changes of the state have to be in force within a bound, so an old
// state may only be used while the source cannot be reached: a host that is cut off goes on, but one
// that has merely not read everything yet must not answer as if it had.
//
// The package does no I/O. Points in time are passed in, as durations since an arbitrary origin on
// one monotonic clock.
package freshness

import (
	"maps"
	"time"
)

// Verdict says what a host may do with its state.
type Verdict int

// Verdicts.
const (
	Fresh       Verdict = iota // the state is young enough
	Unconfirmed                // it is not, and the source may be reachable: nothing must be decided by it
	Unreachable                // it is not, but the source does not answer, so that there is no better one
)

// String returns the verdict as it is logged.
func (v Verdict) String() string {
	switch v {
	case Fresh:
		return "fresh"
	case Unconfirmed:
		return "unconfirmed"
	}
	return "unreachable"
}

// Options are the limits of a Tracker.
type Options struct {
	// Limit is the age up to which a state is fresh.
	Limit time.Duration
	// Silence is the time without a byte after which a call counts as unanswered. It has to end
	// before a state reaches Limit if the host asks in time, or hosts refuse requests when they
	// are cut off.
	Silence time.Duration
	// ReturnTime limits the time for which an unreachable source still counts as such when it
	// answers again, so that the host can read the state. It is no longer than the silence was.
	ReturnTime time.Duration
}

// Tracker records the calls of the source. It is not safe for concurrent use.
//
// Invariant: a state older than Limit is used only if the host asked the source, and for Silence
// nothing of a usable answer arrived, or for ReturnTime after that.
type Tracker struct {
	options Options
	pending map[*Call]struct{}
	// lastAnswer is the last moment at which bytes of a usable answer arrived, and answered
	// reports that there is one.
	lastAnswer time.Duration
	answered   bool
	// failing reports that a call has failed since the last answer; failingSince is when the
	// first of these should have been answered.
	failing      bool
	failingSince time.Duration
	lastFailure  time.Duration
	// returning reports that the source answers again after it was unreachable.
	returning bool
	returnEnd time.Duration
	// unusable holds, by purpose, when the last call ended within its response.
	unusable map[string]time.Duration
}

// Call is a call of the source.
type Call struct {
	purpose  string
	due      time.Duration // when the answer should begin
	progress bool          // bytes of an answer have arrived
}

// Result is how a call ended.
type Result int

// Results.
const (
	Answered Result = iota // by a complete response, whatever it says
	Failed                 // without a usable answer, or by one that turns the host away
)

// NewTracker returns a Tracker of a source that was never called.
func NewTracker(o Options) *Tracker {
	return &Tracker{options: o, pending: map[*Call]struct{}{}, unusable: map[string]time.Duration{}}
}

// Begin records a call for a purpose, which the source may answer after a wait, as in a long poll.
func (t *Tracker) Begin(now time.Duration, purpose string, wait time.Duration) *Call {
	c := &Call{purpose: purpose, due: now + wait}
	t.pending[c] = struct{}{}
	return c
}

// Progress records that bytes of an answer to a call have arrived.
func (t *Tracker) Progress(now time.Duration, c *Call) {
	c.progress = true
	if _, unusable := t.unusable[c.purpose]; !unusable {
		t.recordAnswer(now)
	}
}

// End records the end of a call.
func (t *Tracker) End(now time.Duration, c *Call, r Result) {
	delete(t.pending, c)
	switch {
	case r == Answered:
		delete(t.unusable, c.purpose)
		t.recordAnswer(now)
		return
	case c.progress:
		t.unusable[c.purpose] = now
	}
	if !t.failing {
		t.failing, t.failingSince = true, t.owedSince(min(c.due, now))
	}
	t.lastFailure = now
}

// forgetBefore forgets failures before a time at which the source had the state that is known: they
// say nothing of whether it can be reached now.
func (t *Tracker) forgetBefore(stateAt time.Duration) {
	t.failing = t.failing && t.lastFailure >= stateAt
	maps.DeleteFunc(t.unusable, func(_ string, at time.Duration) bool { return at < stateAt })
}

// owedSince returns since when a call is unanswered that should have been answered at a time.
func (t *Tracker) owedSince(due time.Duration) time.Duration {
	if t.answered {
		return max(due, t.lastAnswer)
	}
	return due
}

func (t *Tracker) recordAnswer(now time.Duration) {
	if since, silent := t.silentSince(); silent && now >= since+t.options.Silence {
		t.returning, t.returnEnd = true, now+min(t.options.ReturnTime, now-since)
	}
	t.lastAnswer, t.answered, t.failing = now, true, false
}

// silentSince returns since when the source has owed an answer, and false if it owes none.
func (t *Tracker) silentSince() (since time.Duration, silent bool) {
	if t.failing {
		since, silent = t.failingSince, true
	}
	for c := range t.pending {
		if owed := t.owedSince(c.due); !silent || owed < since {
			since, silent = owed, true
		}
	}
	return since, silent
}

// Verdict returns what may be done with a state that the source had at a time.
func (t *Tracker) Verdict(now, stateAt time.Duration) Verdict {
	t.forgetBefore(stateAt)
	if now-stateAt <= t.options.Limit {
		return Fresh
	}
	if len(t.unusable) > 0 || t.returning && now < t.returnEnd {
		return Unreachable
	}
	if since, silent := t.silentSince(); silent && now >= since+t.options.Silence {
		return Unreachable
	}
	return Unconfirmed
}
