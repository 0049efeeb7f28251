// Package server is a stand-in for a backend server: it takes grants as in
// api/serverapi, runs requests in slots, and shows the faults that real servers
// show. All of it is in memory.
package server

import (
	"math"
	"math/rand/v2"
	"time"

	"parsleyrelay.example/api/serverapi"
	"parsleyrelay.example/standin/listen"
)

// Headers by which a request steers its own run.
const (
	HeaderServiceTime     = "Standin-Service-Ms"     // decimal, instead of Options.ServiceTime
	HeaderResponseBytes   = "Standin-Response-Bytes" // length of the body instead of a Result
	HeaderCloseAfterBytes = "Standin-Cut-After"      // bytes after which the connection is closed
)

// Options describe a server. Zero values take the defaults.
type Options struct {
	ServerName   string
	ServiceName  string
	ChecksGrants bool
	Slots        int // requests that run at a time, default 6
	// QueueLimit is the number of requests that may wait for a slot; more are
	// refused with serverapi.RefusedOverload. Negative for none, default 32.
	QueueLimit  int
	ServiceTime Distribution // default Constant(5 ms)
	Seed        uint64       // of the service times
	// WarmupDuration is the time after a start in which requests take longer: by
	// WarmupFactor at first, falling linearly to 1.
	WarmupDuration time.Duration
	WarmupFactor   float64
	// HealthReportInterval is the interval at which the reported load and health change.
	HealthReportInterval time.Duration
	// OverrideHealth changes what the health endpoint and the grant responses report.
	OverrideHealth func(serverapi.Health) serverapi.Health
	// RefusesWhileDraining refuses new requests once Drain was called.
	RefusesWhileDraining bool
	// RemembersIDs gives a repeated Idempotency-Key the first response.
	RemembersIDs bool
	MaxBodyBytes int64    // default 16 MiB
	Journal      *Journal // default: one of its own
	Listen       listen.Options
}

func (o Options) withDefaults() Options {
	if o.Slots == 0 {
		o.Slots = 6
	}
	if o.QueueLimit == 0 {
		o.QueueLimit = 32
	}
	if o.ServiceTime == nil {
		o.ServiceTime = Constant(5 * time.Millisecond)
	}
	if o.MaxBodyBytes == 0 {
		o.MaxBodyBytes = 16 << 20
	}
	if o.Journal == nil {
		o.Journal = NewJournal()
	}
	return o
}

// Distribution draws a service time.
type Distribution func(r *rand.Rand) time.Duration

// Constant always draws d.
func Constant(d time.Duration) Distribution {
	return func(*rand.Rand) time.Duration { return d }
}

// Exponential draws from an exponential distribution, at most ten times its mean.
func Exponential(mean time.Duration) Distribution {
	return func(r *rand.Rand) time.Duration {
		return time.Duration(min(r.ExpFloat64(), 10) * float64(mean))
	}
}

// LogNormal draws from a log-normal distribution with that median, at most a
// hundred times the median. sigma is the deviation of the logarithm.
func LogNormal(median time.Duration, sigma float64) Distribution {
	return func(r *rand.Rand) time.Duration {
		return time.Duration(min(math.Exp(sigma*r.NormFloat64()), 100) * float64(median))
	}
}
