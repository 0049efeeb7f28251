package dispatch

import "time"

// expectedWait estimates the time that a new request would spend in the queue.
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
	ahead := 0
	for _, queued := range p.queue {
		if queued.Rank <= request.Rank && queued.Keyed {
			if holder, _ := p.holderOf(queued.Key); holder == id {
				ahead++
			}
		}
	}
	return max(s.windowWait(now, ahead, request.Rank), s.resumeWait(ahead)) + max(0, s.pausedUntil-now, s.requestedPause(now))
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
