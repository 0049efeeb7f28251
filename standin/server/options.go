// Package server is an in-memory fake of a backend server for tests and local
// deployments. It implements api/serverapi, including grants, executes a limited
// number of requests at a time by waiting for a service time, and simulates faults
// of real servers: pauses, restarts, cold starts, late or wrong health reports and
// truncated responses.
package server

import (
	"math"
	"math/rand/v2"
	"time"

	"parsleyrelay.example/api/serverapi"
	"parsleyrelay.example/standin/listen"
)

// Headers by which a request controls its own execution and response.
const (
	HeaderServiceTime     = "Standin-Service-Ms"     // decimal milliseconds, may have a fraction; replaces Options.ServiceTime
	HeaderResponseBytes   = "Standin-Response-Bytes" // length of a filler body that replaces Result
	HeaderCloseAfterBytes = "Standin-Cut-After"      // bytes of the body after which the connection is closed
)

// Options configure a Server. Zero values stand for the defaults.
type Options struct {
	ServerName   string
	ServiceName  string
	ChecksGrants bool // accepts grants and refuses requests that none covers
	Slots        int  // number of requests executed at a time, default 6
	// QueueLimit is the number of requests that may wait for a slot; more are
	// refused with serverapi.RefusedOverload. Negative for no queue, default 32.
	QueueLimit  int
	ServiceTime ServiceTimeDistribution // default Constant(5 ms)
	Seed        uint64                  // of the random service times
	// WarmupDuration is the time after a start during which service times are
	// multiplied by a factor that falls linearly from WarmupFactor to 1.
	WarmupDuration time.Duration
	WarmupFactor   float64
	// HealthReportInterval is the interval at which the reported load and health are
	// updated; 0 reports the current values.
	HealthReportInterval time.Duration
	// OverrideHealth changes the health that the health endpoint reports, and the load
	// that the grant responses report.
	OverrideHealth func(serverapi.Health) serverapi.Health
	// RefusesWhileDraining makes the server refuse new requests while it is draining.
	RefusesWhileDraining bool
	// RemembersIDs makes the server answer a repeated Idempotency-Key with the first
	// response instead of executing the request again.
	RemembersIDs bool
	MaxBodyBytes int64    // default 16 MiB
	Journal      *Journal // default: a journal for this server only
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

// ServiceTimeDistribution returns a random service time.
type ServiceTimeDistribution func(r *rand.Rand) time.Duration

// Constant returns a distribution with the single value d.
func Constant(d time.Duration) ServiceTimeDistribution {
	return func(*rand.Rand) time.Duration { return d }
}

// Exponential returns an exponential distribution, capped at ten times its mean.
func Exponential(mean time.Duration) ServiceTimeDistribution {
	return func(r *rand.Rand) time.Duration {
		return time.Duration(min(r.ExpFloat64(), 10) * float64(mean))
	}
}

// LogNormal returns a log-normal distribution, capped at a hundred times its
// median. sigma is the standard deviation of the logarithm.
func LogNormal(median time.Duration, sigma float64) ServiceTimeDistribution {
	return func(r *rand.Rand) time.Duration {
		return time.Duration(min(math.Exp(sigma*r.NormFloat64()), 100) * float64(median))
	}
}
