package dispatch

import (
	"math"
	"time"
)

// This file limits the requests in flight. A service without keys has one window for
// all servers (Pool.commonWindow). Each server with keys has a window of its own.
//
// Hundreds of hosts may send to one server, so a window can fall below one request: the
// host then sends one request at a time with pauses in between, such that the window is
// the mean number of its requests in flight. Otherwise the hosts together would keep a
// busy server's queue full, which makes all its responses late and most arrivals futile.

// Parameters of the windows of servers with keys.
const (
	// hostWindowFactor relates the ordinary window of a host, which it has before any load
	// report, to its part of the server's slots. It is above 1 because the hosts do not
	// use their windows at the same time. Keys become busy at all hosts at once, so the
	// window is not larger in a deployment of many hosts; hosts that need more get it
	// within a few responses.
	hostWindowFactor = 6.0
	// keyedWindowStep is added to a window by a report without a queue. A window above
	// the ordinary one grows only if it has kept a request waiting.
	keyedWindowStep = 0.25
	// maxWindowGrowth limits the factor by which one report raises a window below 1.
	maxWindowGrowth = 1.3
	// minWindowGrowth is added by each report that raises a window below 1.
	minWindowGrowth = 0.005
	// maxWindowReduction limits the factor by which one report lowers a window. It is
	// also the factor of a refusal without a load report.
	maxWindowReduction = 0.25
	// fewHosts is the number of hosts, relative to a server's slots, up to which a window
	// keeps its part of leastOccupancy, which is relative to the slots, too. So few hosts
	// get reports often enough to keep the queue short with larger windows, and smaller
	// ones would leave slots idle. With more hosts the windows may fall to minKeyedWindow.
	fewHosts       = 3.0
	leastOccupancy = 1.25
	minKeyedWindow = 0.02
	// targetOccupancy is the number of requests at a server to which its windows are
	// adjusted, relative to its slots. Above 1 the slots stay busy.
	targetOccupancy = 1.3
	// windowRecoveryTime is the time in which a window below 1 doubles without a report.
	windowRecoveryTime = 2 * time.Second
	// fullServerReportAge is the age up to which a load report with all slots taken says
	// why a connection was closed.
	fullServerReportAge = 2 * time.Second
)

// SetHostCount sets the number of hosts that send requests to the servers.
func (p *Pool) SetHostCount(n int) {
	p.hostCount = max(1, n)
	for _, s := range p.servers {
		if s.loadReceivedAt == 0 {
			s.window = p.ordinaryWindow(s.Slots)
		}
	}
}

// ordinaryWindow returns the window at a server with keys that is not busy. It is at
// least one request and at most half of the slots.
func (p *Pool) ordinaryWindow(slots int) float64 {
	return max(1, min(hostWindowFactor*float64(slots)/float64(p.hostCount), float64(slots)/2))
}

// hasCapacity reports whether this host may send another request to a server with
// keys.
func (p *Pool) hasCapacity(now time.Duration, s *serverState, request *queuedRequest) bool {
	if s.paused(now) {
		return false
	}
	if s.window < 1 {
		return s.inflight == 0 && now >= s.nextAssignmentAt(now, request.Rank)
	}
	limit := s.window
	if request.Rank == 0 {
		limit++
	}
	if float64(s.inflight) >= limit {
		s.windowLimited = true
		return false
	}
	return true
}

// nextAssignmentAt returns when the next request may be sent to a server with a window
// below 1, so that on average window requests are in flight. Requests of rank 0 wait
// half as long.
func (s *serverState) nextAssignmentAt(now time.Duration, rank int) time.Duration {
	window := min(1, s.window*math.Exp2(float64(now-s.windowAdjustedAt)/float64(windowRecoveryTime)))
	interval := s.latency / window
	if rank == 0 {
		interval /= 2
	}
	return s.lastAssignedAt + secondsToDuration(interval)
}

// windowWait returns the time until the window of a server with keys lets the next of
// ahead+1 requests pass, apart from pauses.
func (s *serverState) windowWait(now time.Duration, ahead, rank int) time.Duration {
	wait := secondsToDuration(float64(ahead) * s.latency / s.window)
	if s.window < 1 {
		wait += max(0, s.nextAssignmentAt(now, rank)-now)
	}
	return wait
}

// adjustWindows lowers the windows if a server reports a queue of more than a quarter of
// its slots plus one request, and raises them if it reports none.
func (p *Pool) adjustWindows(now time.Duration, s *serverState) {
	slots := float64(max(1, s.load.Slots))
	occupancy := float64(s.load.Running + s.load.Waiting)
	switch waiting := float64(s.load.Waiting); {
	case waiting > slots/4+1:
		p.reduceWindow(now, s, targetOccupancy*slots/occupancy)
		p.shrinkCommonWindow(now)
		if p.holderOf != nil && waiting > slots {
			// Many hosts send to the server, so each pauses to let the queue shrink, for
			// half of the estimated time until it is down to half of the slots.
			s.pausedUntil = max(s.pausedUntil, now+min(secondsToDuration((waiting-slots/2)/slots*s.latency/2), MaxServerQueuePause))
		}
	case waiting == 0:
		s.raiseWindow(now, slots, occupancy, p.ordinaryWindow(s.load.Slots))
		if p.requestWaited {
			p.commonWindow = min(p.commonWindow+1, p.maxWindow())
			p.requestWaited = false
		}
	}
}

// reduceWindow multiplies the window of a server with keys by factor, or by
// maxWindowReduction if that is more. Reports of the same overload arrive within the
// server's latency and count once.
func (p *Pool) reduceWindow(now time.Duration, s *serverState, factor float64) {
	if p.holderOf == nil || s.windowReducedAt > 0 && now-s.windowReducedAt < secondsToDuration(s.latency) {
		return
	}
	least, slots := minKeyedWindow, float64(max(1, s.Slots))
	switch hosts := float64(p.hostCount); {
	case hosts <= fewHosts*slots:
		least = min(1, leastOccupancy*slots/hosts)
	case factor > maxWindowReduction && float64(s.load.Waiting) <= slots:
		// The queue is empty within a service time, but a host that sends a request every few
		// seconds would hold back the next one for longer.
		least = 1
	}
	s.window = max(least, s.window*max(maxWindowReduction, min(1, factor)))
	s.windowReducedAt, s.windowAdjustedAt = now, now
}

// raiseWindow raises the window of a server that reported no queue.
func (s *serverState) raiseWindow(now time.Duration, slots, occupancy, ordinary float64) {
	switch {
	case s.window < 1:
		s.window = min(1, s.window*min(maxWindowGrowth, targetOccupancy*slots/max(1, occupancy))+minWindowGrowth)
		s.windowAdjustedAt = now
	case s.windowLimited || s.window < ordinary:
		s.window = min(s.window+keyedWindowStep, slots+1)
		s.windowLimited = false
	}
}

// closedForLoad reports whether a server with keys probably closed a connection because
// it was full: it had all slots taken shortly before, and closed the connection before
// it can have run a request.
func (s *serverState) closedForLoad(now time.Duration, r AttemptResult) bool {
	return s.loadReceivedAt > 0 && now-s.loadReceivedAt < fullServerReportAge && s.load.Running >= s.load.Slots && r.Latency.Seconds() < s.latency/4
}

// minShrinkInterval is the minimum time between reductions of the common window.
// A single overload is reported by many servers at about the same time and must
// shrink it only once.
const minShrinkInterval = 60 * time.Millisecond

func (p *Pool) shrinkCommonWindow(now time.Duration) {
	if now-p.shrunkAt < minShrinkInterval {
		return
	}
	p.shrunkAt = now
	p.commonWindow = max(MinWindow, p.commonWindow*WindowShrinkFactor)
}

// maxWindow returns the number of slots of all servers, the upper bound of the
// common window.
func (p *Pool) maxWindow() float64 {
	slots := 0
	for _, s := range p.candidates {
		slots += max(1, s.Slots)
	}
	return float64(max(1, slots))
}
