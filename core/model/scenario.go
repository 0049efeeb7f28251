// Package model simulates many entry hosts that send requests to the backend servers of
// a service with keys. The hosts are the pools of package dispatch; servers, callers and
// the limits of the leader host are simplified. A simulation has no network, runs in
// virtual time, and gives the same result for the same scenario, hosts and seed.
//
// It leaves out: callers that return after a refusal, retries at other servers, the
// network's delays and losses, ranges that move, services without keys, and the
// processor time of the hosts.
package model

import (
	"fmt"
	"math"
	"time"

	"parsleyrelay.example/core/finding"
)

// Scenario describes servers, classes of requests and the phases of their load.
type Scenario struct {
	Hosts []int    `json:"hosts"` // numbers of entry hosts, one simulation each
	Seeds []uint64 `json:"seeds"` // one simulation each
	// AdmittedLoad is the load that the leader host lets through at an overloaded server,
	// relative to its capacity; 0 for no limit. The leader of package assignment has none
	// with fewer than 50 hosts.
	AdmittedLoad float64 `json:"admittedLoad"`
	// IdleTimeout is the time after which a host closes an unused connection.
	IdleTimeout time.Duration `json:"idleTimeout"`
	Servers     Servers       `json:"servers"`
	Classes     []Class       `json:"classes"`
	Phases      []Phase       `json:"phases"`
}

// Servers describes the backend servers of the service. All have an equal part of the
// keys; server 0 holds the hot key.
type Servers struct {
	// ID is the ID of a single server; the IDs of several have a number from 0 on appended.
	// Hosts derive an order of servers and of admissions from it.
	ID             string `json:"id"`
	Count          int    `json:"count"`
	Slots          int    `json:"slots"`          // requests that each runs at a time
	MaxQueue       int    `json:"maxQueue"`       // requests that wait at each; more are rejected
	ResetsWhenFull bool   `json:"resetsWhenFull"` // closes the connection in place of a refusal
	// Slow is the number of servers, from the last one on, whose service times are
	// multiplied by SlowFactor.
	Slow       int     `json:"slow"`
	SlowFactor float64 `json:"slowFactor"`
	// Refusing is the number of servers, from the last one on, that refuse RefusedShare
	// (0 to 1) of all arrivals whatever their load.
	Refusing     int     `json:"refusing"`
	RefusedShare float64 `json:"refusedShare"`
}

// Class is a part of the requests.
type Class struct {
	Name         string        `json:"name"`
	Rank         int           `json:"rank"`         // 0 is the most urgent
	Share        float64       `json:"share"`        // of all requests, relative to the other classes
	ServiceTime  time.Duration `json:"serviceTime"`  // in a slot, rounded up to a millisecond
	MaxQueueWait time.Duration `json:"maxQueueWait"` // at the host, then refused
	Target       time.Duration `json:"target"`       // from arrival at the host to the response, to count as in time
	Deadline     time.Duration `json:"deadline"`     // from arrival at the host
}

// Phase is a part of the run. Loads are relative to the capacity, which is what servers
// that are not slow can run.
type Phase struct {
	Name     string        `json:"name"`
	Duration time.Duration `json:"duration"`
	Load     float64       `json:"load"`    // of all servers
	HotLoad  float64       `json:"hotLoad"` // added for the hot key, relative to one server
	// Wave is the amplitude of a sine wave of the load, relative to it (0 to 1).
	Wave       float64       `json:"wave"`
	WavePeriod time.Duration `json:"wavePeriod"`
	// Burst multiplies the load in the first BurstLength of each BurstPeriod; 0 for no
	// bursts.
	Burst       float64       `json:"burst"`
	BurstLength time.Duration `json:"burstLength"`
	BurstPeriod time.Duration `json:"burstPeriod"`
	// Slowdown multiplies the service times of the requests that start at a server in the
	// first SlowdownLength of each SlowdownPeriod, which begins at another time at each
	// server; 0 for no slowdowns.
	Slowdown       float64       `json:"slowdown"`
	SlowdownLength time.Duration `json:"slowdownLength"`
	SlowdownPeriod time.Duration `json:"slowdownPeriod"`
}

// slowdownAt returns the factor of the service times at a server.
func (p Phase) slowdownAt(now time.Duration, server, servers int) float64 {
	offset := p.SlowdownPeriod * time.Duration(server) / time.Duration(servers)
	if p.Slowdown > 0 && (now+offset)%p.SlowdownPeriod < p.SlowdownLength {
		return p.Slowdown
	}
	return 1
}

// loadAt returns the load of all servers at a time since the start of the phase.
func (p Phase) loadAt(elapsed time.Duration) float64 {
	load := p.Load
	if p.Wave > 0 {
		load *= 1 + p.Wave*math.Sin(2*math.Pi*float64(elapsed)/float64(p.WavePeriod))
	}
	if p.Burst > 0 && elapsed%p.BurstPeriod < p.BurstLength {
		load *= p.Burst
	}
	return load
}

// Bounds of a simulation's size.
const (
	maxHosts       = 10000
	maxServers     = 1 << 16 // keys of package dispatch
	maxHostServers = 1 << 20 // pairs of host and server; each takes about 300 bytes
	maxRequestRate = 1e5     // per second, of all hosts
	maxDuration    = time.Hour
)

// Validate returns all findings; their places are paths of fields, such as
// "phases.0.load".
func (s Scenario) Validate() finding.List {
	var findings finding.List
	check := func(ok bool, place, problem string) {
		if !ok {
			findings.Add(place, "%s", problem)
		}
	}
	atLeast := func(value, least float64, place string) {
		check(value >= least && !math.IsInf(value, 1), place, fmt.Sprintf("has to be at least %v", least))
	}
	share := func(value float64, place string) {
		check(value >= 0 && value <= 1, place, "has to be from 0 to 1")
	}
	positive := func(d time.Duration, place string) {
		check(d > 0 && d <= maxDuration, place, fmt.Sprintf("has to be positive and at most %v", maxDuration))
	}

	check(len(s.Hosts) > 0, "hosts", "at least one number of hosts is required")
	for i, n := range s.Hosts {
		check(n >= 1 && n <= maxHosts, fmt.Sprintf("hosts.%d", i), fmt.Sprintf("has to be from 1 to %d", maxHosts))
		check(n < 1 || s.Servers.Count <= maxHostServers/n, fmt.Sprintf("hosts.%d", i), fmt.Sprintf("hosts times servers has to be at most %d", maxHostServers))
	}
	check(len(s.Seeds) > 0, "seeds", "at least one seed is required")
	atLeast(s.AdmittedLoad, 0, "admittedLoad")
	positive(s.IdleTimeout, "idleTimeout")

	check(s.Servers.ID != "", "servers.id", "is required")
	check(s.Servers.Count >= 1 && s.Servers.Count <= maxServers, "servers.count", fmt.Sprintf("has to be from 1 to %d", maxServers))
	atLeast(float64(s.Servers.Slots), 1, "servers.slots")
	atLeast(float64(s.Servers.MaxQueue), 0, "servers.maxQueue")
	check(s.Servers.Slow >= 0 && s.Servers.Slow <= s.Servers.Count, "servers.slow", "has to be from 0 to the number of servers")
	check(s.Servers.Slow == 0 || s.Servers.SlowFactor >= 1 && s.Servers.SlowFactor <= 1000, "servers.slowFactor", "has to be from 1 to 1000")
	check(s.Servers.Refusing >= 0 && s.Servers.Refusing <= s.Servers.Count, "servers.refusing", "has to be from 0 to the number of servers")
	share(s.Servers.RefusedShare, "servers.refusedShare")

	check(len(s.Classes) > 0, "classes", "at least one is required")
	for i, c := range s.Classes {
		place := fmt.Sprintf("classes.%d.", i)
		check(c.Name != "", place+"name", "is required")
		atLeast(float64(c.Rank), 0, place+"rank")
		check(c.Share > 0 && !math.IsInf(c.Share, 1), place+"share", "has to be positive")
		positive(c.ServiceTime, place+"serviceTime")
		positive(c.MaxQueueWait, place+"maxQueueWait")
		positive(c.Target, place+"target")
		positive(c.Deadline, place+"deadline")
	}
	check(len(s.Phases) > 0, "phases", "at least one is required")
	for i, p := range s.Phases {
		place := fmt.Sprintf("phases.%d.", i)
		check(p.Name != "", place+"name", "is required")
		positive(p.Duration, place+"duration")
		atLeast(p.Load, 0, place+"load")
		atLeast(p.HotLoad, 0, place+"hotLoad")
		share(p.Wave, place+"wave")
		check(p.Wave == 0 || p.WavePeriod > 0, place+"wavePeriod", "is required with wave")
		atLeast(p.Burst, 0, place+"burst")
		check(p.Burst == 0 || p.BurstLength > 0 && p.BurstPeriod >= p.BurstLength, place+"burstPeriod", "burst needs burstLength, and burstPeriod of at least burstLength")
		check(p.Slowdown == 0 || p.Slowdown >= 1 && p.Slowdown <= 1000, place+"slowdown", "has to be from 1 to 1000")
		check(p.Slowdown == 0 || p.SlowdownLength > 0 && p.SlowdownPeriod >= p.SlowdownLength, place+"slowdownPeriod", "slowdown needs slowdownLength, and slowdownPeriod of at least slowdownLength")
	}
	if len(findings) > 0 {
		return findings
	}
	for i, p := range s.Phases {
		rate := s.serverRate() * (float64(s.Servers.Count)*p.Load*(1+p.Wave)*max(1, p.Burst) + p.HotLoad)
		check(rate <= maxRequestRate, fmt.Sprintf("phases.%d.load", i), fmt.Sprintf("gives %.0f requests per second, at most %.0f are allowed", rate, float64(maxRequestRate)))
	}
	return findings
}

// serverRate returns the requests that a server which is not slow can run per second.
func (s Scenario) serverRate() float64 {
	sum, shares := 0.0, 0.0
	for _, c := range s.Classes {
		sum += c.Share * c.ServiceTime.Seconds()
		shares += c.Share
	}
	return float64(s.Servers.Slots) / (sum / shares)
}
