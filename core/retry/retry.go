// Package retry decides which failed requests are retried, after which delay and
// within which retry budget, and computes Retry-After headers for callers.
//
// There are two separate budgets. Policy makes the whole decision about a retry, with
// a budget of its own that decays over time. HostBudget is only a budget, with
// configured parameters and a sliding window, for hosts that decide about retries
// themselves.
//
// The package does no I/O; randomness is passed in, and so are points in time, as
// durations since an arbitrary origin on one monotonic clock.
package retry

import (
	"math"
	"time"
)

// ExecutionStatus says whether a server may have run a request whose attempt
// ended without a complete response.
type ExecutionStatus int

// The statuses, by decreasing certainty that the request did not run.
const (
	NotWritten ExecutionStatus = iota + 1 // nothing was written to a connection to the server
	Rejected                              // the server refused the request before running it, e.g. because the sender's ownership of the key is outdated
	MayHaveRun                            // anything else
)

// Attempt describes a failed attempt and the time left for the request.
type Attempt struct {
	Number int // of this attempt, from 1
	// WrittenAttempts is the number of attempts so far, including this one, that were
	// or may have been written to a server.
	WrittenAttempts int
	Execution       ExecutionStatus
	Repeatable      bool // the request may run more than once
	// BodyReplayable says that the whole request body is still available. A streamed
	// body that was partly consumed cannot be sent again.
	BodyReplayable bool
	Remaining      time.Duration // until the request's deadline
	// ServiceTime is the expected processing time at the server; 0 if unknown.
	ServiceTime time.Duration
}

// DenialReason says why a retry is denied. It is empty if the retry is granted.
type DenialReason string

const (
	DeniedNotRepeatable DenialReason = "not_repeatable"
	DeniedBodyConsumed  DenialReason = "body_consumed"
	DeniedMaxAttempts   DenialReason = "attempts"
	DeniedDeadline      DenialReason = "deadline"
	DeniedBudget        DenialReason = "budget"
)

// Parameters of the retry policy.
const (
	// MaxAttempts bounds the attempts of a request that are written to a server.
	MaxAttempts = 4
	// BudgetRatio is the maximum ratio of retries to recent requests, counting only
	// retries of requests that were written to a server. It bounds the load that
	// retries add during an outage to 20%.
	BudgetRatio = 0.2
	// BudgetReserve is the number of retries that are allowed per BudgetHalfLife in
	// addition to BudgetRatio, so that retries are possible with little traffic.
	BudgetReserve = 2
	// BudgetHalfLife is the half-life of past requests and retries in the budget.
	BudgetHalfLife = 5 * time.Second
	BaseDelay      = 5 * time.Millisecond // upper bound of the delay before the first retry
	MaxDelay       = 500 * time.Millisecond
	MaxRetryAfter  = 30 * time.Second // upper bound of the result of RetryAfter
)

// Policy decides about retries for one service and holds its retry budget.
type Policy struct {
	requests decayingCount
	retries  decayingCount
}

// RecordRequest counts a request's first attempt, which adds to the retry budget.
func (p *Policy) RecordRequest(now time.Duration) {
	p.requests.add(now, 1)
}

// DecideRetry decides whether a failed request is retried and returns the delay
// before the retry. random is uniform in [0, 1). The retry of a request that was
// written to a server is charged to the budget. A request that was not written has
// put no load on a server, so only its deadline bounds its retries: it may wait
// until its key has a new owner.
func (p *Policy) DecideRetry(now time.Duration, a Attempt, random float64) (time.Duration, DenialReason) {
	switch {
	case !mayRunAgain(a):
		return 0, DeniedNotRepeatable
	case !a.BodyReplayable:
		return 0, DeniedBodyConsumed
	case a.Execution != NotWritten && a.WrittenAttempts >= MaxAttempts:
		return 0, DeniedMaxAttempts
	}
	delay := Backoff(a.Number, random)
	if delay+a.ServiceTime >= a.Remaining {
		return 0, DeniedDeadline
	}
	if a.Execution == NotWritten {
		return delay, ""
	}
	if p.retries.valueAt(now)+1 > BudgetRatio*p.requests.valueAt(now)+BudgetReserve {
		return 0, DeniedBudget
	}
	p.retries.add(now, 1)
	return delay, ""
}

// mayRunAgain applies the rule that a request that is not repeatable is written to
// a server at most once, whatever became of it. Even a rejection by the server permits
// no retry.
func mayRunAgain(a Attempt) bool {
	return a.Repeatable || a.Execution == NotWritten
}

// Backoff returns the delay after the given attempt (from 1): uniform between 0
// and a bound that doubles per attempt. Full jitter separates requests that
// failed together.
func Backoff(attempt int, random float64) time.Duration {
	// github.com/cenkalti/backoff/v5 is not used: its NextBackOff draws from the global
	// random source (exponential.go, line 88 of v5.0.3), so randomness cannot be passed in.
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

// decayingCount is a counter that loses half of its value per BudgetHalfLife.
type decayingCount struct {
	value     float64
	updatedAt time.Duration
}

func (d *decayingCount) valueAt(now time.Duration) float64 {
	return d.value * math.Exp2(-float64(now-d.updatedAt)/float64(BudgetHalfLife))
}

func (d *decayingCount) add(now time.Duration, v float64) {
	d.value = d.valueAt(now) + v
	d.updatedAt = now
}
