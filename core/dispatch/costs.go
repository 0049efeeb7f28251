package dispatch

import (
	"math"
	"time"

	"parsleyrelay.example/core/cost"
)

// This file places requests of services without keys by their estimated cost: it replaces the
// cost of a server in bestServer, and the expected wait. The rules on outstanding requests,
// windows, pauses, errors and reservations are the same with and without it. Services with
// keys are left out: only one server can run a request, and the estimates did not improve the
// refusals (docs/design/cost-routing.md, "Services with keys").

// CostRouting says whether requests are placed by their estimated cost.
type CostRouting int

const (
	CostRoutingOff CostRouting = iota
	// CostRoutingAuto begins when a server of the service has reported its slowdown, or with
	// the first request that may run only once: it cannot be sent again when a full server
	// cuts it off or is late, so that the choice of its server matters most.
	CostRoutingAuto
	CostRoutingAlways
)

// Placement is what the pool has to know of a request in flight when its attempt ends.
// AttemptResult has to return that of the decision.
type Placement struct {
	class  cost.Class
	work   float64   // estimated, in seconds
	rate   cost.Rate // of the server, as expected when the request was sent
	queued bool      // the request was expected to wait at the server
}

// costState is what cost routing knows of one server.
type costState struct {
	server cost.Server
	work   float64 // estimated work of this host's requests in flight, in seconds
	others usualLoad
}

// usualLoad is the mean number of other hosts' requests at a server, by its reports.
type usualLoad struct{ mean, samples float64 }

const (
	// serverLoadMemory and poolLoadMemory are the numbers of reports over which the usual load
	// of a server and that of all servers are averaged.
	serverLoadMemory, poolLoadMemory = 12, 60
	// usualLoadShrinkage is the number of reports of a server from which its usual load
	// counts as much as the mean of the service's servers.
	usualLoadShrinkage = 4
)

func (u *usualLoad) add(load, memory float64) {
	u.samples = min(u.samples+1, memory)
	u.mean += (load - u.mean) / u.samples
}

// SetCostRouting sets whether requests are placed by their estimated cost. It has to be
// called before the first request, and has no effect on a service with keys.
func (p *Pool) SetCostRouting(now time.Duration, mode CostRouting) {
	if p.holderOf != nil {
		return
	}
	p.costRouting = mode
	if mode == CostRoutingAlways {
		p.costs = cost.NewEstimator(now, InitialLatency)
	}
}

// startForSingleRun starts cost routing for a request that may run only once.
func (p *Pool) startForSingleRun(now time.Duration, r Request) {
	if r.RunsOnce && p.costRouting == CostRoutingAuto && p.costs == nil {
		p.costs = cost.NewEstimator(now, InitialLatency)
	}
}

// CostRoutingActive reports whether requests are placed by their estimated cost.
func (p *Pool) CostRoutingActive() bool { return p.costs != nil }

// EstimateWork returns the estimated work of a request in seconds, or 0 without cost
// routing.
func (p *Pool) EstimateWork(now time.Duration, c cost.Class) float64 {
	if p.costs == nil {
		return 0
	}
	return p.costs.Work(now, c)
}

// TakeCostSummary returns a comparison of estimates and outcomes since the last call, and the
// estimated work of the requests in flight in seconds. ok is false without cost routing.
func (p *Pool) TakeCostSummary() (s cost.Summary, workInFlight float64, ok bool) {
	if p.costs == nil {
		return cost.Summary{}, 0, false
	}
	for _, server := range p.servers {
		workInFlight += server.costs.work
	}
	return p.costs.TakeSummary(), workInFlight, true
}

// newPlacement counts the estimated work of a request that is sent to a server. A request that
// was queued before the start of cost routing has no estimate and is not counted, because
// recordCost could not tell it from one that was sent before.
func (p *Pool) newPlacement(now time.Duration, s *serverState, request *queuedRequest) Placement {
	if p.costs == nil || request.work == 0 {
		return Placement{}
	}
	v := Placement{class: request.Class, work: request.work, rate: p.costs.RateAt(now, &s.costs.server), queued: s.outstanding(now) >= float64(max(1, s.Slots))}
	s.costs.work += v.work
	return v
}

// recordCost learns from the end of an attempt, whose request is no longer counted in
// s.inflight. The load report of s is not yet replaced.
func (p *Pool) recordCost(now time.Duration, s *serverState, r AttemptResult) {
	if p.costs == nil {
		if p.costRouting != CostRoutingAuto || r.Load == nil || r.Load.Slowdown == 0 {
			return
		}
		p.costs = cost.NewEstimator(now, InitialLatency)
	}
	c, placed := &s.costs, r.Placement
	if placed.work > 0 { // otherwise the request was not counted
		c.work -= placed.work
	}
	if s.inflight == 0 {
		c.work = 0 // also corrects rounding errors
	}
	if r.Load != nil {
		if r.Load.Slowdown > 0 {
			p.costs.ReportSlowdown(now, &c.server, r.Load.Slowdown)
		}
		others := max(0, float64(r.Load.Running+r.Load.Waiting-s.inflight))
		c.others.add(others, serverLoadMemory)
		p.others.add(others, poolLoadMemory)
	}
	if placed.work == 0 || placed.queued || s.Cold { // a cold server is slow for a few seconds only
		return
	}
	sample := cost.Sample{Class: placed.class, Latency: r.Latency, Start: placed.rate}
	switch r.Outcome {
	case OK:
		if r.Load.HasFreeSlot() || r.Load == nil && s.loadReceivedAt == 0 {
			p.costs.Record(now, &c.server, sample)
		}
	case Slow, DeadlineExceeded:
		sample.Cut = true
		p.costs.Record(now, &c.server, sample)
	}
}

// usualOthers returns the number of other hosts' requests to expect at a server without a
// recent report.
func (p *Pool) usualOthers(s *serverState) float64 {
	u := s.costs.others
	credibility := u.samples / (u.samples + usualLoadShrinkage)
	return p.others.mean + credibility*(u.mean-p.others.mean)
}

// reportLifetime is the time after which a reported number of other hosts' requests is
// expected to differ from the usual one by 1/e of what it did. It is about the time that a
// request takes.
const reportLifetime = 200 * time.Millisecond

// waitAt estimates the time in seconds that one more request waits at a server for a slot.
// Servers without a recent report are taken to have their usual load.
func (p *Pool) waitAt(now time.Duration, s *serverState, speed cost.Speed) float64 {
	slots := float64(max(1, s.Slots))
	others, unknown := p.usualOthers(s), 1.0
	if s.loadReceivedAt > 0 {
		unknown = 1 - math.Exp(-float64(now-s.loadReceivedAt)/float64(reportLifetime))
		reported := max(0, float64(s.load.Running+s.load.Waiting-s.inflightAtLoad))
		others = reported + unknown*(others-reported)
	}
	// The number of other requests varies like that of independent arrivals. The root
	// approximates the mean of the positive part of a normal distribution.
	excess, variance := float64(s.inflight)+others+1-slots, others*unknown
	waiting := (excess + math.Sqrt(excess*excess+positivePartFactor*variance)) / 2
	mean := p.costs.MeanWork()
	work := (s.costs.work + others*mean) / max(1, float64(s.inflight)+others)
	if s.inflight == 0 {
		work = mean
	}
	return waiting / slots * speed.Seconds(work)
}

// positivePartFactor makes waitAt exact where the excess is 0: the mean positive part is
// then 0.4 standard deviations.
const positivePartFactor = 0.64

// waitWeight is the weight of the wait for a slot at a server relative to the time of the
// request itself. Above 1, because a request at a busy server delays those after it, too.
const waitWeight = 2

// completionCost returns the expected time in seconds until a server has run a request.
func (p *Pool) completionCost(now time.Duration, s *serverState, request *queuedRequest) float64 {
	speed := p.costs.SpeedAt(now, &s.costs.server)
	return waitWeight*p.waitAt(now, s, speed) + speed.Seconds(request.work)
}
