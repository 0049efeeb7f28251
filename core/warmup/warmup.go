// Package warmup limits the requests that all entry hosts together send to backend
// servers that are cold. The leading host lends permits to the others (Lender). Each host
// keeps the permits that it was lent and decides when to ask for more (Borrower), and
// remembers which servers may have become cold (Suspicions).
//
// The package does no I/O and starts no goroutines. Points in time are passed in, as
// durations since an arbitrary origin on one monotonic clock of the host.
package warmup

import (
	"math"
	"time"
)

// Times of the limit.
const (
	// Validity is the time for which a permit is valid, from the moment at which the host
	// sent its call, by the host's clock.
	Validity = 300 * time.Millisecond
	// LimitInterval is the interval for which the limit holds at a server.
	LimitInterval = time.Second
	// clockMargin covers clocks that differ by 2% and the time between the check of a permit
	// and the write of its request.
	clockMargin = 40 * time.Millisecond
	// LendingInterval is the interval in which the lender grants at most the limit. A permit
	// is used up to Validity after its grant, so that the requests that are sent within
	// LimitInterval have permits from an interval that is longer by Validity.
	LendingInterval = LimitInterval + Validity + clockMargin
	// MaxConfirmationAge is the time since the store last confirmed its leadership up to
	// which a leader lends.
	MaxConfirmationAge = 1200 * time.Millisecond
	// InitialWait is the time for which a new leader lends nothing. A former leader may have
	// lent permits until MaxConfirmationAge after the new leader's first write. The two leaders'
	// clocks may differ by 2% over this time, too.
	InitialWait = MaxConfirmationAge + LendingInterval + 2*clockMargin
)

// Demand asks for permits for one server.
type Demand struct {
	ID    string
	Born  int64
	Count int
}

// Grant lends permits for one server.
type Grant struct {
	ID         string
	Born       int64
	Count      int
	RetryAfter time.Duration // time until further permits are free; 0 if the demand was met
}

// Limit returns the requests that a cold server may get within any second, rounded down.
// limited is false if there is no limit. A limit of 0 allows none until the server is warm.
func Limit(rate, factor, slack float64) (limit int, limited bool) {
	if rate <= 0 || factor <= 0 {
		return 0, false
	}
	return int(min(math.Floor(rate*factor+slack), maxLimit)), true
}

// maxLimit bounds the log of grants for a server.
const maxLimit = 100_000
