package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// serverState is the state of a backend server, as seen from this host.
type serverState struct {
	Server
	inflight         int
	window           float64 // limit of inflight at a server with keys; see windows.go for windows below 1
	windowLimited    bool    // window has kept a request waiting since it was raised
	windowReducedAt  time.Duration
	windowAdjustedAt time.Duration // last change by a load report
	lastAssignedAt   time.Duration // when the last request was sent
	admission        admission
	latency          float64 // moving average, in seconds
	errorRate        float64 // moving average, 0 to 1
	load             Load
	loadReceivedAt   time.Duration
	inflightAtLoad   int           // value of inflight when the load report arrived
	failurePause     time.Duration // last pause after a failure; 0 after a success or a load report
	pausedUntil      time.Duration // no requests are sent before; apart from Server.PausedUntil
	resumeWindow     float64       // limit of inflight after a pause for which the server asked; 0 for none
	removed          bool          // no longer listed; kept until its requests have ended
	permitDemand     int           // queued requests that wait for a permit; see permits.go
	reportedDemand   int           // permitDemand as reported last
	reservationOrder float64       // in [0, 1]; servers below the reserved share are reserved
	costs            costState
}

// subset returns the servers that this host uses. These are all servers of a
// service with keys or with few servers. Otherwise they are selected by rendezvous
// hashing, so that each host uses other servers.
func (p *Pool) subset(list []Server) []Server {
	if p.holderOf != nil || len(list) <= SubsetSize {
		return list
	}
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b Server) int { return cmp.Compare(p.rendezvousScore(b.ID), p.rendezvousScore(a.ID)) })
	// Each host gets a proportional number of the servers that can be reserved for
	// urgent requests.
	reservableLeft := int(math.Round(maxReservedShare * SubsetSize))
	var chosen []Server
	for _, s := range sorted {
		switch reservable := hashFraction(s.ID) < maxReservedShare; {
		case reservable && reservableLeft > 0:
			reservableLeft--
		case reservable || len(chosen) >= SubsetSize-reservableLeft:
			continue
		}
		if chosen = append(chosen, s); len(chosen) == SubsetSize {
			break
		}
	}
	return chosen
}

// rendezvousScore orders the servers differently at each host, so that hosts that
// have no load reports yet don't all start with the same server.
func (p *Pool) rendezvousScore(id string) uint64 { return xxhash.Sum64String(p.host + "|" + id) }

// hashFraction maps a server id to [0, 1]. All hosts compute the same value, and
// reserve the servers with the lowest values.
func hashFraction(id string) float64 {
	return float64(xxhash.Sum64String(id)) / math.MaxUint64
}

// Parameters of the reservation of servers for rank 0. While there are requests of
// rank 0, a share of the servers is used only for them, because they are short and
// matter most. Queued behind the long requests of other ranks they would be late:
// no host knows immediately which servers are free.
const (
	// Bounds of the share of servers that is reserved.
	minReservedShare = 0.12
	maxReservedShare = 0.3
	// reservedPerUrgentWork relates the reservation to the work: if rank 0 takes the
	// share x of the time that servers spend on requests, reservedPerUrgentWork*x of
	// the servers are reserved, within the bounds.
	reservedPerUrgentWork = 2.0
	// minUrgentWorkSeconds: no server is reserved while Pool.urgentWork is below it.
	minUrgentWorkSeconds = 0.2
	// workDecayTime is the time after which past work counts for 1/e.
	workDecayTime = 8 * time.Second
	// unreservedFactor multiplies the cost of unreserved servers for requests of rank 0.
	unreservedFactor = 1.4
	// minServersToReserve is the smallest number of servers of which any are reserved.
	minServersToReserve = 5
)

// reservedShare returns the share of the servers that is reserved for rank 0.
func (p *Pool) reservedShare() float64 {
	if p.urgentWork < minUrgentWorkSeconds || p.otherWork == 0 || len(p.candidates) < minServersToReserve {
		return 0
	}
	return min(max(reservedPerUrgentWork*p.urgentWork/(p.urgentWork+p.otherWork), minReservedShare), maxReservedShare)
}

// recordWork adds the time that a server spent on a request.
func (p *Pool) recordWork(now time.Duration, r AttemptResult) {
	decay := math.Exp(-float64(now-p.workUpdatedAt) / float64(workDecayTime))
	p.urgentWork, p.otherWork, p.workUpdatedAt = p.urgentWork*decay, p.otherWork*decay, now
	if r.Rank == 0 {
		p.urgentWork += r.Latency.Seconds()
	} else {
		p.otherWork += r.Latency.Seconds()
	}
}

// ConnectionsKeepFailing reports whether connections to a server with keys have
// failed several times in a row.
func (p *Pool) ConnectionsKeepFailing(id string) bool {
	s := p.servers[id]
	// failurePause doubles with each failure, so it exceeds KeyedUnreachablePause from
	// the second failure to connect or the third lost connection on.
	return s != nil && s.failurePause > KeyedUnreachablePause
}

// paused reports whether the server gets no request now. When the pause after a
// failure has ended, only one request at a time is sent until the server responds.
func (s *serverState) paused(now time.Duration) bool {
	return s.pausedUntil > now || s.failurePause > 0 && s.inflight > 0 || s.PausedUntil > now || s.resuming()
}

// bestServer returns the server with the lowest cost, or nil if none can take the
// request. The cost is the expected latency, raised for errors, for outstanding
// requests, for servers that have just started and for other availability zones.
// Servers that need a permit come last.
func (p *Pool) bestServer(now time.Duration, request *queuedRequest) *serverState {
	var chosen *serverState
	leastCost, reservedShare := 0.0, p.reservedShare()
	for _, s := range p.candidates {
		if s.paused(now) || slices.Contains(request.ExcludeIDs, s.ID) {
			continue
		}
		slots := float64(max(1, s.Slots))
		outstanding := s.outstanding(now)
		// Requests of rank 0 may queue at a server up to its number of slots; those of
		// other ranks need a free slot.
		if outstanding >= 2*slots || request.Rank > 0 && outstanding >= slots {
			continue
		}
		// The first load term is the wait for a slot if all are taken; the second, small
		// one prefers the less loaded of the servers that have free slots.
		errorFactor := 1 + errorPenalty*s.errorRate*s.errorRate
		cost := s.latency * errorFactor * (1 + max(0, outstanding+1-slots)/slots + 0.1*outstanding/slots)
		if p.costs != nil {
			cost = p.completionCost(now, s, request) * errorFactor
		}
		if s.Cold {
			cost *= 2
		}
		if s.Zone != p.zone {
			cost *= crossZoneFactor
		}
		switch reserved := s.reservationOrder < reservedShare; {
		case reserved && request.Rank > 0:
			continue
		case !reserved && request.Rank == 0 && reservedShare > 0:
			cost *= unreservedFactor
		}
		if s.NeedsPermit {
			cost = p.permitCost(s, cost)
		}
		if chosen == nil || cost < leastCost {
			chosen, leastCost = s, cost
		}
	}
	return chosen
}

// outstanding estimates the number of requests at a server: those of this host, and
// those of other hosts by the last load report. The weight of the report declines
// to 0 with its age.
func (s *serverState) outstanding(now time.Duration) float64 {
	own := float64(s.inflight)
	age := now - s.loadReceivedAt
	if s.loadReceivedAt == 0 || age >= maxReportAge {
		return own
	}
	others := float64(s.load.Running+s.load.Waiting) - float64(s.inflightAtLoad)
	fresh := 1 - float64(age)/float64(maxReportAge)
	return own + max(0, others)*fresh
}

// updateServer updates a server's latency, error rate, pause and window after an
// attempt.
func (p *Pool) updateServer(now time.Duration, s *serverState, r AttemptResult) {
	if r.Load != nil {
		s.failurePause = 0
	}
	s.resume(now, r)
	switch r.Outcome {
	case OK:
		s.latency += latencyWeight * (r.Latency.Seconds() - s.latency)
		s.errorRate -= errorWeight * s.errorRate
		s.failurePause = 0
	case Slow:
		// The server may hang or be behind a link that drops packets, so it is
		// paused although no connection failed.
		s.errorRate += errorWeight * (1 - s.errorRate)
		s.failurePause = min(max(SlowPause, 2*s.failurePause), MaxFailurePause)
		s.pausedUntil = now + s.failurePause
	case ErrorResponse, DeadlineExceeded:
		s.errorRate += errorWeight * (1 - s.errorRate)
		s.latency = max(s.latency, min(r.Latency.Seconds(), 2*s.latency))
	case Unreachable:
		initialPause := UnreachablePause
		if p.holderOf != nil {
			initialPause = KeyedUnreachablePause
		}
		s.pauseAfterFailure(now, initialPause)
	case ConnectionLost:
		if p.holderOf != nil && s.closedForLoad(now, r) {
			s.pausedUntil = max(s.pausedUntil, now+MaxServerQueuePause)
			p.reduceWindow(now, s, maxWindowReduction)
			break
		}
		s.pauseAfterFailure(now, ConnectionLostPause)
	case ServerFull:
		fullPause := ServerRefusalPause
		if p.holderOf != nil {
			fullPause = MaxServerQueuePause
		}
		s.pausedUntil = max(s.pausedUntil, now+fullPause)
		if r.Load == nil {
			p.reduceWindow(now, s, maxWindowReduction)
		}
		p.shrinkCommonWindow(now)
	case RefusedWithoutQueue:
		s.errorRate += errorWeight * (1 - s.errorRate)
	case AddressReused:
		s.pausedUntil = now + AddressReusedPause
	case Misdirected:
		s.pausedUntil = max(s.pausedUntil, now+ServerRefusalPause)
	}
	if r.Load != nil {
		s.load, s.loadReceivedAt, s.inflightAtLoad = *r.Load, now, s.inflight
		p.adjustWindows(now, s)
	}
}

// pauseAfterFailure pauses the server for initialPause or for twice its last pause,
// whichever is longer, but for MaxFailurePause at most.
func (s *serverState) pauseAfterFailure(now, initialPause time.Duration) {
	s.errorRate += errorWeight * (1 - s.errorRate)
	s.failurePause = min(max(initialPause, 2*s.failurePause), MaxFailurePause)
	s.pausedUntil = now + s.failurePause
}
