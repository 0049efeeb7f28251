package dispatch

import (
	"time"

	"parsleyrelay.example/core/cost"
)

// expectedWait estimates the time that a new request would spend in the queue. With cost
// routing it includes the time that the request would wait at its server.
func (p *Pool) expectedWait(now time.Duration, request *queuedRequest) time.Duration {
	if p.holderOf == nil || !request.Keyed {
		ahead, work := 0, 0.0
		for _, queued := range p.queue {
			if queued.Rank <= request.Rank {
				ahead++
				work += queued.work
			}
		}
		pause := p.requestedPause(now, request)
		if ahead == 0 {
			return pause
		}
		if p.costs != nil {
			return pause + p.workWait(now, work)
		}
		return pause + secondsToDuration(float64(ahead)*p.meanLatency()/max(1, p.commonWindow))
	}
	id, _ := p.holderOf(request.Key)
	s := p.servers[id]
	if s == nil {
		return 0
	}
	ahead, work := 0, 0.0
	for _, queued := range p.queue {
		if queued.Rank <= request.Rank && queued.Keyed {
			if holder, _ := p.holderOf(queued.Key); holder == id {
				ahead++
				work += queued.work
			}
		}
	}
	wait := s.windowWait(now, ahead, request.Rank)
	if p.costs != nil {
		wait = p.holderWait(now, s, work, ahead, request.Rank)
	}
	return max(wait, s.resumeWait(ahead)) + max(0, s.pausedUntil-now, s.requestedPause(now))
}

func (p *Pool) meanLatency() float64 {
	sum := 0.0
	for _, s := range p.candidates {
		sum += s.latency
	}
	return sum / float64(max(1, len(p.candidates)))
}

// workWait returns the time in which the servers of a service without keys work off the
// estimated work of queued requests, as far as the common window allows.
func (p *Pool) workWait(now time.Duration, work float64) time.Duration {
	rate, slots := 0.0, 0.0
	for _, s := range p.candidates {
		// A server does work as fast as it has slots, each at its speed.
		n := float64(max(1, s.Slots))
		slots += n
		rate += n / p.costs.SpeedAt(now, &s.costs.server).Seconds(1)
	}
	return secondsToDuration(work * slots / max(1e-3, rate) / max(1, p.commonWindow))
}

// holderWait replaces windowWait with cost routing: the estimated work ahead of a request at
// the server that holds its key, divided by the window, and the wait for a slot there.
func (p *Pool) holderWait(now time.Duration, s *serverState, work float64, ahead, rank int) time.Duration {
	speed := p.costs.SpeedAt(now, &s.costs.server)
	seconds := speed.Seconds(work)
	limit := s.window
	if rank == 0 {
		limit++
	}
	if s.window >= 1 && s.inflight > 0 && float64(s.inflight) >= limit {
		seconds += p.remainingWork(now, s, speed)
		s.windowLimited = true // also if the request is refused; else the window would not grow
	}
	wait := secondsToDuration(seconds / s.window)
	if s.window < 1 {
		wait += max(0, s.nextAssignmentAt(now, rank)-now)
	}
	// What other hosts have sent counts as long as the report says something of now. The
	// queue shrinks while the requests ahead are sent.
	slots := float64(max(1, s.Slots))
	queued := max(0, s.outstanding(now)-float64(s.inflight)+1-slots)
	return max(wait, secondsToDuration(queued/slots*speed.Seconds(p.costs.MeanWork())))
}

// remainingWork estimates the time in seconds that a request of this host still takes at a
// server. One that exceeds its estimate is expected to take a third of it again, because a
// few requests take many times their estimate.
func (p *Pool) remainingWork(now time.Duration, s *serverState, speed cost.Speed) float64 {
	n := float64(s.inflight)
	expected := speed.Seconds(s.costs.work / n)
	return max(expected-(now.Seconds()-s.costs.sentAtSum/n), expected/3)
}
