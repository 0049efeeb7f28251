package dispatch

import "time"

// This file holds back requests to cold servers until the host has a permit for them. All
// hosts together may send such a server only a limited number of requests in a second.

// NoPermit says that the servers that can run the request are cold and that there is no
// permit for it in time.
const NoPermit RefusalReason = "no_permit"

// Permits holds the permits that this host was lent for requests to cold servers.
type Permits interface {
	// Take takes a permit for a request, which must be written before until. ok is false if
	// there is none now.
	Take(s Server) (until time.Duration, ok bool)
	// Held reports whether Take would succeed.
	Held(s Server) bool
	// GiveBack returns a permit whose request was not sent.
	GiveBack(s Server, until time.Duration)
	// SetDemand sets how many requests could be sent to a server if there were permits for
	// them.
	SetDemand(s Server, count int)
	// Wait returns the time until there may be further permits for a server, as far as known.
	Wait(s Server) time.Duration
}

// GiveBackPermit returns the permit of a request that was assigned and not sent. It is called
// before ReportResult.
func (p *Pool) GiveBackPermit(d Decision) {
	if d.PermitUntil > 0 && p.permits != nil {
		p.permits.GiveBack(d.Server, d.PermitUntil)
	}
}

// SetPermits sets where permits come from. Servers with NeedsPermit get no requests without.
func (p *Pool) SetPermits(permits Permits) { p.permits = permits }

// assignWithPermit assigns a request to a server, and returns false if the request has to
// wait for a permit.
func (p *Pool) assignWithPermit(now time.Duration, s *serverState, request *queuedRequest) (Decision, bool) {
	until, ok := p.takePermit(s, request)
	if !ok {
		return Decision{}, false
	}
	decision := p.assign(now, s, request)
	decision.PermitUntil = until
	return decision, true
}

// takePermit takes a permit if the server needs one. If there is none, it counts the request
// as waiting for one, unless as many requests wait as the server could take.
func (p *Pool) takePermit(s *serverState, request *queuedRequest) (until time.Duration, ok bool) {
	if !s.NeedsPermit {
		return 0, true
	}
	if p.permits == nil {
		return 0, false
	}
	if until, ok = p.permits.Take(s.Server); ok {
		return until, true
	}
	if request.onDecision != nil && s.permitDemand < p.permitRoom(s, request) { // it is queued
		s.permitDemand++
		request.permitServer = s
	}
	return 0, false
}

// permitCost returns the cost of a server that needs a permit, by its cost otherwise. It is
// higher than that of any server that needs none. Servers for which a permit is held come
// first, and those without permits at the lender last. Of the others the one with the fewest
// waiting requests is preferred, whatever their latencies: these differ by more than the
// requests that a cold server may get.
func (p *Pool) permitCost(s *serverState, cost float64) float64 {
	cost /= 1 + cost // below 1
	switch {
	case p.permits == nil:
	case p.permits.Held(s.Server):
		return permitCostStep + cost
	case p.permits.Wait(s.Server) > 0:
		return 3*permitCostStep + float64(s.permitDemand) + cost
	}
	return 2*permitCostStep + float64(s.permitDemand) + cost
}

// permitCostStep is above all costs of servers that need no permit.
const permitCostStep = 1e9

// permitRoom returns how many requests could be sent to a server now if there were permits.
// Permits that cannot be used at once would expire.
func (p *Pool) permitRoom(s *serverState, request *queuedRequest) int {
	limit := s.window
	if p.holderOf == nil {
		limit = float64(max(1, s.Slots))
	}
	if request.Rank == 0 {
		limit++
	}
	return max(1, int(limit)-s.inflight)
}

// reportPermitDemand passes on how many requests wait for permits, as the last Dispatch
// counted.
func (p *Pool) reportPermitDemand() {
	if p.permits == nil {
		return
	}
	for _, s := range p.coldServers {
		if s.permitDemand != s.reportedDemand {
			s.reportedDemand = s.permitDemand
			p.permits.SetDemand(s.Server, s.permitDemand)
		}
	}
}

// withdrawPermitDemand removes a request that has left the queue without a decision from
// the count.
func (p *Pool) withdrawPermitDemand(request *queuedRequest) {
	if s := request.permitServer; s != nil {
		s.permitDemand--
		request.permitServer = nil
		p.reportPermitDemand()
	}
}

// updateColdServers lists the servers that need permits, after a change of the servers.
func (p *Pool) updateColdServers() {
	for _, s := range p.coldServers {
		s.permitDemand = 0
	}
	p.reportPermitDemand()
	p.coldServers = p.coldServers[:0]
	for _, s := range p.servers {
		if s.NeedsPermit && !s.removed {
			p.coldServers = append(p.coldServers, s)
		}
	}
}

// permitWait returns the time until there may be a permit for a request, as far as known.
// It is 0 if one of the servers that can run it needs none.
func (p *Pool) permitWait(request *queuedRequest) time.Duration {
	if p.permits == nil || len(p.coldServers) == 0 {
		return 0
	}
	if p.holderOf != nil && request.Keyed {
		id, _ := p.holderOf(request.Key)
		if s := p.servers[id]; s != nil && s.NeedsPermit && !p.permits.Held(s.Server) {
			return p.permits.Wait(s.Server)
		}
		return 0
	}
	shortest := time.Duration(-1)
	for _, s := range p.candidates {
		if !s.NeedsPermit || p.permits.Held(s.Server) {
			return 0
		}
		if wait := p.permits.Wait(s.Server); shortest < 0 || wait < shortest {
			shortest = wait
		}
	}
	return max(0, shortest)
}

// refuseForPermit reports whether there is no permit in time for a request, and when its
// caller should return.
func (p *Pool) refuseForPermit(now time.Duration, request *queuedRequest) (retryAfter time.Duration, refuse bool) {
	wait := p.permitWait(request)
	if wait == 0 || now+wait <= min(request.submitted+request.MaxQueueWait, request.Deadline) {
		return 0, false
	}
	return max(minRetryAfter, wait), true
}

// expiredReason returns why a request is refused that has waited as long as it may.
func (p *Pool) expiredReason(request *queuedRequest) (RefusalReason, time.Duration) {
	if request.permitServer != nil {
		return NoPermit, max(minRetryAfter, p.permits.Wait(request.permitServer.Server))
	}
	return WaitTooLong, minRetryAfter
}
