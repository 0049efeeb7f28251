package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

type server struct {
	Server
	inflight int
	window   float64
	latency  float64 // mean, seconds
	errors   float64 // share of errors, 0 to 1
	load     Load
	loadAt   time.Duration
	loadOwn  int // own requests in flight when the report came
	pause    time.Duration
	until    time.Duration // no requests before
	gone     bool
	position float64
}

// subset returns the servers that the host uses: all of a keyed service and of a
// small one, else those that score highest for this host, which differ from host
// to host.
func (p *Pool) subset(list []Server) []Server {
	if p.owner != nil || len(list) <= SubsetSize {
		return list
	}
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b Server) int { return cmp.Compare(p.rank(b.ID), p.rank(a.ID)) })
	// Each host gets its part of the servers that may be reserved.
	reserved := int(math.Round(maxReserved * SubsetSize))
	var chosen []Server
	for _, s := range sorted {
		switch low := position(s.ID) < maxReserved; {
		case low && reserved > 0:
			reserved--
		case low || len(chosen) >= SubsetSize-reserved:
			continue
		}
		if chosen = append(chosen, s); len(chosen) == SubsetSize {
			break
		}
	}
	return chosen
}

// rank orders servers differently at each host, so that hosts that know nothing
// yet do not all begin with the same server.
func (p *Pool) rank(id string) uint64 { return xxhash.Sum64String(p.host + "|" + id) }

// position places a server between 0 and 1, alike at all hosts.
func position(id string) float64 {
	return float64(xxhash.Sum64String(id)) / math.MaxUint64
}

// Bounds of the share of a service's servers that only the most urgent rank
// uses while it has work. Its requests are short and worth most; behind the long
// requests of other ranks they would come late, since no host knows at once
// which servers are free.
const (
	minReserved = 0.12
	maxReserved = 0.3
	// reservePerWork is the reserved share per share of the work.
	reservePerWork = 2.0
	// minUrgentWork is the work in seconds below which nothing is reserved.
	minUrgentWork = 0.2
	// workMemory is the time after which work counts for 1/e.
	workMemory = 8 * time.Second
	// sharedCost multiplies the cost of other servers for the most urgent rank.
	sharedCost = 1.4
	// minForReserve is the least number of servers of which some are reserved.
	minForReserve = 5
)

// reserved is the share of the servers that is kept for the most urgent rank.
func (p *Pool) reserved() float64 {
	if p.urgentWork < minUrgentWork || p.otherWork == 0 || len(p.order) < minForReserve {
		return 0
	}
	return min(max(reservePerWork*p.urgentWork/(p.urgentWork+p.otherWork), minReserved), maxReserved)
}

// noteWork counts the time that a request took at a server.
func (p *Pool) noteWork(now time.Duration, r AttemptResult) {
	keep := math.Exp(-float64(now-p.workAt) / float64(workMemory))
	p.urgentWork, p.otherWork, p.workAt = p.urgentWork*keep, p.otherWork*keep, now
	if r.Rank == 0 {
		p.urgentWork += r.Latency.Seconds()
	} else {
		p.otherWork += r.Latency.Seconds()
	}
}

// hasRoom says whether a keyed server may get another request of this host.
func (p *Pool) hasRoom(now time.Duration, s *server, w *waiter) bool {
	if s.paused(now) {
		return false
	}
	limit := max(MinWindow, s.window)
	if w.Rank == 0 {
		limit++
	}
	return float64(s.inflight) < limit
}

// ConnectionsFailing says that connections to a server have failed more than once in a row.
func (p *Pool) ConnectionsFailing(id string) bool {
	s := p.servers[id]
	return s != nil && s.pause > KeyedUnreachablePause
}

// paused says that the server gets no request now. After a pause for a failure a
// single request finds out whether it has passed.
func (s *server) paused(now time.Duration) bool {
	return s.until > now || s.pause > 0 && s.inflight > 0
}

// best returns the server with the least expected latency, or nil if none has
// room.
func (p *Pool) best(now time.Duration, w *waiter) *server {
	var best *server
	least, reserved := 0.0, p.reserved()
	for _, s := range p.order {
		if s.paused(now) || slices.Contains(w.ExcludeIDs, s.ID) {
			continue
		}
		slots := float64(max(1, s.Slots))
		out := s.outstanding(now)
		if out >= 2*slots || w.Rank > 0 && out >= slots {
			continue
		}
		cost := s.latency * (1 + errorCost*s.errors*s.errors) * (1 + max(0, out+1-slots)/slots + 0.1*out/slots)
		if s.Cold {
			cost *= 2
		}
		if s.Zone != p.zone {
			cost *= crossZoneCost
		}
		switch kept := s.position < reserved; {
		case kept && w.Rank > 0:
			continue
		case !kept && w.Rank == 0 && reserved > 0:
			cost *= sharedCost
		}
		if best == nil || cost < least {
			best, least = s, cost
		}
	}
	return best
}

// outstanding estimates the requests at a server: its report while it is fresh,
// corrected by this host's own requests since then.
func (s *server) outstanding(now time.Duration) float64 {
	own := float64(s.inflight)
	age := now - s.loadAt
	if s.loadAt == 0 || age >= reportAge {
		return own
	}
	others := float64(s.load.Running+s.load.Waiting) - float64(s.loadOwn)
	fresh := 1 - float64(age)/float64(reportAge)
	return own + max(0, others)*fresh
}

func (p *Pool) learn(now time.Duration, s *server, r AttemptResult) {
	if r.Load != nil {
		s.pause = 0
	}
	switch r.Outcome {
	case OK:
		s.latency += latencyWeight * (r.Latency.Seconds() - s.latency)
		s.errors -= errorWeight * s.errors
		s.pause = 0
	case Slow:
		// Often a server behind a link that drops packets, or one that hangs.
		s.errors += errorWeight * (1 - s.errors)
		s.pause = min(max(SlowPause, 2*s.pause), MaxFailurePause)
		s.until = now + s.pause
	case Failed, DeadlineExceeded:
		s.errors += errorWeight * (1 - s.errors)
		s.latency = max(s.latency, min(r.Latency.Seconds(), 2*s.latency))
	case Unreachable:
		first := UnreachablePause
		if p.owner != nil {
			first = KeyedUnreachablePause
		}
		s.fail(now, first)
	case ConnectionLost:
		s.fail(now, ConnectionLostPause)
	case ServerFull:
		pause := ServerFullPause
		if p.owner != nil {
			pause = MaxQueuePause
		}
		s.until = max(s.until, now+pause)
		s.window = max(MinWindow, s.window*WindowShrinkFactor)
		p.shrink(now)
	case Shed:
		s.errors += errorWeight * (1 - s.errors)
	case AddressReused:
		s.until = now + AddressReusedPause
	case Misdirected:
		s.until = max(s.until, now+ServerFullPause)
	}
	if r.Load != nil {
		s.load, s.loadAt, s.loadOwn = *r.Load, now, s.inflight
		p.adapt(now, s)
	}
}

// fail pauses the server for first, or for twice its last pause.
func (s *server) fail(now, first time.Duration) {
	s.errors += errorWeight * (1 - s.errors)
	s.pause = min(max(first, 2*s.pause), MaxFailurePause)
	s.until = now + s.pause
}

// adapt moves the windows by the queue that a server reports.
func (p *Pool) adapt(now time.Duration, s *server) {
	slots := float64(max(1, s.load.Slots))
	switch waiting := float64(s.load.Waiting); {
	case waiting > slots/4+1:
		s.window = max(MinWindow, s.window*WindowShrinkFactor)
		p.shrink(now)
		if p.owner != nil && waiting > slots {
			// Many hosts send to the server; each lets its queue run down first.
			s.until = max(s.until, now+min(seconds((waiting-slots/2)/slots*s.latency/2), MaxQueuePause))
		}
	case waiting == 0:
		s.window = min(s.window+0.25, slots+1)
		if p.limited {
			p.window = min(p.window+1, p.maxWindow())
			p.limited = false
		}
	}
}

// shrinkEvery spaces reductions of the common window: reports of one moment
// come from many servers.
const shrinkEvery = 60 * time.Millisecond

func (p *Pool) shrink(now time.Duration) {
	if now-p.shrunk < shrinkEvery {
		return
	}
	p.shrunk = now
	p.window = max(MinWindow, p.window*WindowShrinkFactor)
}

func (p *Pool) maxWindow() float64 {
	slots := 0
	for _, s := range p.order {
		slots += max(1, s.Slots)
	}
	return float64(max(1, slots))
}
