// Package retry decides which requests may be sent again, within which budget
// and after which delay, and what callers are told in Retry-After. It does no
// I/O; time and randomness are passed in.
package retry

import (
	"math"
	"time"
)

// ExecutionStatus is what is known about an attempt that brought no complete response.
type ExecutionStatus int

// The proofs, in order of decreasing certainty that nothing ran.
const (
	NotWritten ExecutionStatus = iota + 1 // nothing was written to a connection to the server
	Rejected                              // the server rejected the request under its fence
	MayHaveRun                            // anything else
)

// Attempt describes a failed attempt and the time that is left.
type Attempt struct {
	Number int // of this attempt, from 1
	// WrittenAttempts counts the attempts so far, this one included, that were or may
	// have been written to a server.
	WrittenAttempts int
	Execution       ExecutionStatus
	Repeatable      bool
	// BodyReplayable says that the body is still available from its start. A streamed
	// body that was partly consumed cannot be sent again.
	BodyReplayable bool
	Remaining      time.Duration // until the deadline
	// ServiceTime is the expected time at the server; 0 when not known.
	ServiceTime time.Duration
}

// RefusalReason says why there is no retry. Empty means that there is one.
type RefusalReason string

// The refusals.
const (
	RefusedNotRepeatable RefusalReason = "not_repeatable"
	RefusedBodyConsumed  RefusalReason = "body_consumed"
	RefusedMaxAttempts   RefusalReason = "attempts"
	RefusedDeadline      RefusalReason = "deadline"
	RefusedBudget        RefusalReason = "budget"
)

// Constants of the policy.
const (
	// MaxAttempts bounds the attempts that are written to a server.
	MaxAttempts = 4
	// BudgetRatio is the greatest share of recent requests that may be added as
	// retries of requests that were written. It bounds the load that retries add during an outage to 20%.
	BudgetRatio = 0.2
	// BudgetReserve allows retries when there is little traffic, in retries per
	// BudgetHalfLife.
	BudgetReserve  = 2
	BudgetHalfLife = 5 * time.Second
	BaseDelay      = 5 * time.Millisecond // upper bound of the first delay
	MaxDelay       = 500 * time.Millisecond
	MaxRetryAfter  = 30 * time.Second
)

// Policy holds the retry budget of one service.
type Policy struct {
	requests decayed
	retries  decayed
}

// RecordRequest notes a first attempt, which earns budget.
func (p *Policy) RecordRequest(now time.Duration) {
	p.requests.add(now, 1)
}

// DecideRetry decides about another attempt and returns the delay before it. random
// is uniform in [0, 1). A granted retry of a request that was written to a
// server is charged to the budget. One that was not written put no load on a
// server, so only the deadline bounds its retries: it waits until its key has a
// new owner.
func (p *Policy) DecideRetry(now time.Duration, a Attempt, random float64) (time.Duration, RefusalReason) {
	switch {
	case !mayRepeat(a):
		return 0, RefusedNotRepeatable
	case !a.BodyReplayable:
		return 0, RefusedBodyConsumed
	case a.Execution != NotWritten && a.WrittenAttempts >= MaxAttempts:
		return 0, RefusedMaxAttempts
	}
	delay := Backoff(a.Number, random)
	if delay+a.ServiceTime >= a.Remaining {
		return 0, RefusedDeadline
	}
	if a.Execution == NotWritten {
		return delay, ""
	}
	if p.retries.at(now)+1 > BudgetRatio*p.requests.at(now)+BudgetReserve {
		return 0, RefusedBudget
	}
	p.retries.add(now, 1)
	return delay, ""
}

// mayRepeat applies the rule that a request that is not repeatable is written to
// a server at most once, so that a rejection by a server does not count either.
func mayRepeat(a Attempt) bool {
	return a.Repeatable || a.Execution == NotWritten
}

// Backoff returns the delay after the given attempt (from 1): uniform between 0
// and a bound that doubles per attempt. Full jitter separates requests that
// failed together. github.com/cenkalti/backoff/v5 is not used: its NextBackOff
// draws from the global random source (exponential.go, line 88 of v5.0.3), so
// that randomness cannot be passed in.
func Backoff(attempt int, random float64) time.Duration {
	bound := MaxDelay
	if shift := max(attempt, 1) - 1; shift < 16 {
		bound = min(BaseDelay<<shift, MaxDelay)
	}
	return time.Duration(random * float64(bound))
}

// RetryAfter returns the whole seconds for a Retry-After header, at least 1.
// wait is the expected time until the request would be accepted; the result is
// spread over [wait, 2 wait], so that rejected callers do not return together.
func RetryAfter(wait time.Duration, random float64) int {
	spread := time.Duration((1 + random) * float64(max(wait, 0)))
	spread = min(spread, MaxRetryAfter)
	return max(int(math.Ceil(spread.Seconds())), 1)
}

// decayed is a count that loses half of its value per BudgetHalfLife.
type decayed struct {
	value float64
	since time.Duration
}

func (d *decayed) at(now time.Duration) float64 {
	return d.value * math.Exp2(-float64(now-d.since)/float64(BudgetHalfLife))
}

func (d *decayed) add(now time.Duration, v float64) {
	d.value = d.at(now) + v
	d.since = now
}
