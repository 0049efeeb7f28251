// Package load is an open-loop load generator: each request is sent at its
// intended time, whether or not earlier ones have been answered. Latency counts
// from the intended time, so that delays of a slow system are measured in full
// (no coordinated omission).
package load

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"parsleyrelay.example/core/finding"
)

// Stream is the traffic of one rank to one service.
type Stream struct {
	Service    string        `json:"service"`
	Rank       string        `json:"rank"`
	Rate       float64       `json:"rate"` // requests per second
	Deadline   time.Duration `json:"deadlineNs"`
	Repeatable bool          `json:"repeatable"` // GET, else POST with an id
}

// Flood is a period of overload within a run: it replaces the rate of all streams of a
// rank from From to To.
type Flood struct {
	Rank   string        `json:"rank"`
	From   time.Duration `json:"fromNs"` // from the start of the run
	To     time.Duration `json:"toNs"`
	Factor float64       `json:"factor"` // rate as a multiple of the capacity of each service
}

// Config describes a run.
type Config struct {
	Addresses []string           `json:"addresses"` // base URLs of entry hosts
	Streams   []Stream           `json:"streams"`
	Capacity  map[string]float64 `json:"capacity"` // requests per second by service, for floods
	Floods    []Flood            `json:"floods,omitempty"`
	Duration  time.Duration      `json:"durationNs"`
	Seed      uint64             `json:"seed"`
	Keys      KeyDistribution    `json:"keys"`
	Callers   int                `json:"callers"` // caller names, default 20
	// MaxInFlight bounds the requests in flight, default 4096. Requests beyond
	// it are not sent; they are counted as failures of the generator.
	MaxInFlight int `json:"maxInFlight"`
	BodyBytes   int `json:"bodyBytes"` // of requests that are not repeatable, default 64

	// DirectToServers means that the addresses are backend servers, whose responses carry
	// no outcome: a 2xx response counts as done.
	DirectToServers bool `json:"direct,omitempty"`

	// Client sends the requests; nil means one with pooled connections.
	Client *http.Client `json:"-"`
}

// trafficProfile describes the traffic of a site relative to its capacity.
type trafficProfile struct {
	services map[string]float64 // capacity relative to the first service
	streams  []Stream           // here Rate is a share of the service's capacity, not requests per second
}

// trafficProfiles describes the sites of section 2.1 of the design. Capacities are
// in proportion to the numbers of servers, since both services of a site have the
// same number of slots per server.
var trafficProfiles = map[string]trafficProfile{
	"huaman": {
		services: map[string]float64{"almacen": 1, "cotizador": 10.0 / 15},
		streams: []Stream{
			{Service: "almacen", Rank: "orders", Rate: 0.10, Deadline: time.Second},
			{Service: "almacen", Rank: "checks", Rate: 0.25, Deadline: time.Second, Repeatable: true},
			{Service: "almacen", Rank: "lookups", Rate: 0.15, Deadline: 2 * time.Second, Repeatable: true},
			{Service: "cotizador", Rank: "checks", Rate: 0.35, Deadline: time.Second, Repeatable: true},
			{Service: "cotizador", Rank: "lookups", Rate: 0.15, Deadline: 2 * time.Second, Repeatable: true},
		},
	},
	"kandyan": {
		services: map[string]float64{"orders": 1, "proofs": 15.0 / 25},
		streams: []Stream{
			{Service: "orders", Rank: "orders", Rate: 0.25, Deadline: 2 * time.Second},
			{Service: "orders", Rank: "checks", Rate: 0.15, Deadline: time.Second, Repeatable: true},
			{Service: "orders", Rank: "lookups", Rate: 0.10, Deadline: 2 * time.Second, Repeatable: true},
			{Service: "proofs", Rank: "checks", Rate: 0.30, Deadline: 2 * time.Second, Repeatable: true},
			{Service: "proofs", Rank: "lookups", Rate: 0.20, Deadline: 2 * time.Second, Repeatable: true},
		},
	},
}

// ConfigForProfile returns the load configuration of a named site. capacity is the
// capacity of the site's larger service in requests per second.
func ConfigForProfile(name string, capacity float64) (Config, error) {
	p, ok := trafficProfiles[name]
	if !ok {
		return Config{}, fmt.Errorf("unknown load profile %q; known profiles are huaman and kandyan", name)
	}
	cfg := Config{Capacity: map[string]float64{}, Keys: DefaultKeyDistribution}
	for service, share := range p.services {
		cfg.Capacity[service] = share * capacity
	}
	for _, s := range p.streams {
		s.Rate *= cfg.Capacity[s.Service]
		cfg.Streams = append(cfg.Streams, s)
	}
	return cfg, nil
}

// Validate returns everything that is wrong with the configuration.
func (c Config) Validate() finding.List {
	var findings finding.List
	if len(c.Addresses) == 0 {
		findings.Add("addresses", "at least one entry host is required")
	}
	if len(c.Streams) == 0 {
		findings.Add("streams", "at least one is required")
	}
	if c.Duration <= 0 {
		findings.Add("duration", "%v is not positive", c.Duration)
	}
	for i, s := range c.Streams {
		if s.Rate < 0 {
			findings.Add(fmt.Sprintf("streams[%d].rate", i), "%v is negative", s.Rate)
		}
		if s.Deadline <= 0 {
			findings.Add(fmt.Sprintf("streams[%d].deadline", i), "%v is not positive", s.Deadline)
		}
	}
	for i, f := range c.Floods {
		if f.From >= f.To || f.Factor < 0 {
			findings.Add(fmt.Sprintf("floods[%d]", i), "needs from before to and a factor of 0 or more")
		}
		if !slices.ContainsFunc(c.Streams, func(s Stream) bool { return s.Rank == f.Rank }) {
			findings.Add(fmt.Sprintf("floods[%d].rank", i), "no stream has rank %q", f.Rank)
		}
	}
	c.Keys.validate(&findings)
	return findings
}

// rateAt returns the rate of a stream at a time since the start of the run, and
// the time until which the rate stays the same.
func (c Config) rateAt(s Stream, at time.Duration) (rate float64, until time.Duration) {
	rate, until = s.Rate, c.Duration
	for _, f := range c.Floods {
		if f.Rank != s.Rank {
			continue
		}
		if at >= f.From && at < f.To {
			rate = f.Factor * c.Capacity[s.Service]
		}
		for _, change := range []time.Duration{f.From, f.To} {
			if change > at {
				until = min(until, change)
			}
		}
	}
	return rate, until
}
