package model

import (
	"slices"
	"time"
)

// Counts counts the requests of a phase. A request counts in the phase in which the
// event occurs.
type Counts struct {
	Submitted     int `json:"submitted"`     // at the hosts
	RefusedAtHost int `json:"refusedAtHost"` // not sent
	Arrivals      int `json:"arrivals"`      // at the servers
	Rejected      int `json:"rejected"`      // by the servers, for any reason
	Served        int `json:"served"`
	InTime        int `json:"inTime"` // served within the class's target
}

// RejectedShare returns the part of the arrivals that the servers rejected, 0 to 1.
func (c Counts) RejectedShare() float64 { return float64(c.Rejected) / float64(max(1, c.Arrivals)) }

// InTimeShare returns the part of the submitted requests that was served in time, 0 to 1.
func (c Counts) InTimeShare() float64 { return float64(c.InTime) / float64(max(1, c.Submitted)) }

// ClassResult holds the counts of a class in a phase, and the waits of the requests that
// started in it: from the arrival at the host to the start at the server, in
// milliseconds.
type ClassResult struct {
	Class string `json:"class"`
	Rank  int    `json:"rank"`
	Counts
	WaitP50Millis float64 `json:"waitP50Ms"`
	WaitP99Millis float64 `json:"waitP99Ms"`

	waits []time.Duration
}

// PhaseResult is the result of a phase.
type PhaseResult struct {
	Phase string `json:"phase"`
	Counts
	// UsedShare is the part of the slots that was taken, as a mean over time, 0 to 1.
	UsedShare      float64       `json:"usedShare"`
	NewConnections int           `json:"newConnections"` // from hosts to servers
	Classes        []ClassResult `json:"classes"`
}

// Result is the result of one simulation.
type Result struct {
	Hosts  int           `json:"hosts"`
	Seed   uint64        `json:"seed"`
	Phases []PhaseResult `json:"phases"`
}

// Total returns the counts of all phases.
func (r Result) Total() Counts {
	var total Counts
	for _, p := range r.Phases {
		total.add(p.Counts)
	}
	return total
}

func (c *Counts) add(other Counts) {
	c.Submitted += other.Submitted
	c.RefusedAtHost += other.RefusedAtHost
	c.Arrivals += other.Arrivals
	c.Rejected += other.Rejected
	c.Served += other.Served
	c.InTime += other.InTime
}

// finish computes the sums and percentiles of a phase.
func (r *PhaseResult) finish() {
	for i := range r.Classes {
		c := &r.Classes[i]
		r.add(c.Counts)
		slices.Sort(c.waits)
		c.WaitP50Millis, c.WaitP99Millis = percentileMillis(c.waits, 50), percentileMillis(c.waits, 99)
	}
}

func percentileMillis(sorted []time.Duration, percent int) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, len(sorted)*percent/100)].Seconds() * 1000
}
