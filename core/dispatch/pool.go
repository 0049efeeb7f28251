// Package dispatch decides at one entry host which waiting request goes to
// which backend server of a service, and which request is refused. Every host
// decides on its own from what the servers report; windows that follow the
// reported queues keep the servers' queues short, so that ranks are decided
// here and not in the servers' order of arrival. It does no I/O and starts no
// goroutines; time is passed in.
package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Constants of the policy.
const (
	// InitialLatency is assumed of a server that has not answered yet.
	InitialLatency = 200 * time.Millisecond
	// latencyWeight is the weight of the newest sample in the mean latency.
	latencyWeight = 0.15
	// errorWeight is the weight of the newest result in the share of errors.
	errorWeight = 0.15
	// errorCost multiplies a server's expected latency by 1+errorCost when all
	// its results are errors, so that fast errors draw no work.
	errorCost = 20
	// WindowShrinkFactor multiplies a window whose server reports a queue.
	WindowShrinkFactor = 0.85
	// MinWindow lets a host learn that a server has room again.
	MinWindow = 1.0
	// reportAge is the age at which a report of a server's load says nothing.
	reportAge = 800 * time.Millisecond
	// SubsetSize is the number of servers of a service without keys that a host
	// uses. With fewer requests to each server a host would know too little of them.
	SubsetSize = 14
	// crossZoneCost multiplies the expected latency of servers in other zones, to
	// which bytes are dearer.
	crossZoneCost = 1.08
	// UnreachablePause keeps requests from a server to which no connection could be
	// opened; it doubles with each further failure.
	UnreachablePause = 500 * time.Millisecond
	// KeyedUnreachablePause is that of a server that holds keys, which no other
	// server can serve; a single lost packet must not stop them for long.
	KeyedUnreachablePause = 100 * time.Millisecond
	// ConnectionLostPause keeps requests from a server whose connection broke; one lost
	// response says little.
	ConnectionLostPause = 30 * time.Millisecond
	// SlowPause keeps requests from a server that did not answer in the usual time;
	// most are only slow, so it is short at first.
	SlowPause = 150 * time.Millisecond
	// MaxFailurePause bounds the doubled pauses.
	MaxFailurePause = 2 * time.Second
	// AddressReusedPause keeps requests from a server whose address another one has; its
	// entry disappears within a few seconds.
	AddressReusedPause = 3 * time.Second
	// MaxQueuePause bounds the pause after a report of a long queue.
	MaxQueuePause = 400 * time.Millisecond
	// ServerFullPause keeps requests from a server that refused one for lack of room.
	ServerFullPause = 60 * time.Millisecond
	// MaxHolderWait bounds the wait for a range that is being moved.
	MaxHolderWait = 700 * time.Millisecond
	// MaxQueueLength bounds the requests that wait for one service.
	MaxQueueLength = 1024
)

// Server is what the directory says of a server.
type Server struct {
	ID      string
	Address string
	Zone    string
	Slots   int
	Cold    bool // just started and slow
}

// Load is a server's report of its load.
type Load struct {
	Running, Waiting, Slots int
}

// Outcome is how an attempt at a server ended.
type Outcome int

// The outcomes.
const (
	OK               Outcome = iota + 1
	Failed                   // the server answered with an error
	ServerFull               // the server had no room; the request did not run
	Shed                     // the server refused although it reports room; the request did not run
	Misdirected              // the server does not hold the key or has another identity; the request did not run
	Unreachable              // no connection could be opened
	ConnectionLost           // the connection broke before a complete response
	AddressReused            // another server has the address; the request did not run
	Canceled                 // the caller left; says nothing about the server
	DeadlineExceeded         // no response in time
	Slow                     // no response within the usual time; given up for another server
)

// HasFreeSlot says that a server with this load would begin another request at once.
func (l *Load) HasFreeSlot() bool { return l != nil && l.Waiting == 0 && l.Running < l.Slots }

// AttemptResult is the end of an attempt.
type AttemptResult struct {
	Outcome Outcome
	Rank    int
	Latency time.Duration // from dispatch to the end
	Load    *Load         // reported with the response; nil when there is none
}

// RefusalReason says why a request was refused. A refused request was not sent.
type RefusalReason string

// The reasons.
const (
	QueueFull   RefusalReason = "queue_full"
	WaitTooLong RefusalReason = "wait_too_long" // it would not be served in time
	NoServer    RefusalReason = "no_server"
	KeyMoving   RefusalReason = "key_moving" // no server holds the key at present
	// HolderUnreachable says that connections to the key's holder fail time and again.
	HolderUnreachable RefusalReason = "holder_unreachable"
)

// Request asks for a server.
type Request struct {
	Rank         int           // 0 is the most urgent
	Deadline     time.Duration // a response is of no use after it
	MaxQueueWait time.Duration // longest useful wait in the queue
	Keyed        bool
	Key          uint16
	ExcludeIDs   []string // ids of servers that were tried
	ticket       uint64
	since        time.Duration
}

// Decision is the decision about a waiting request.
type Decision struct {
	Server     Server // valid if Reason is empty
	Reason     RefusalReason
	RetryAfter time.Duration
	// LatencyBound is the time within which nearly all requests of this rank have their
	// response; 0 if too little is known, and for services with keys.
	LatencyBound time.Duration
}

// HolderLookup tells which server holds a key. An empty id means that none does;
// since is the time since which that is so.
type HolderLookup func(key uint16) (id string, since time.Duration)

// waiter is a Request in the queue.
type waiter struct {
	Request
	decide func(Decision)
}

// Pool is the state of one service at one host. It is not safe for concurrent use.
type Pool struct {
	servers map[string]*server
	order   []*server    // by rank for this host
	owner   HolderLookup // nil for a service that is not keyed
	waiting []*waiter    // by rank, then arrival
	window  float64      // requests in flight of all servers together, for services without keys
	total   int          // in flight
	host    string
	zone    string
	tickets uint64
	shrunk  time.Duration
	limited bool // a request waited for the window since it last grew

	times map[int]*responseTime // by rank, for services without keys

	urgentWork, otherWork float64 // seconds at servers, with decay
	workAt                time.Duration
}

// startWindow is the common window before anything is known of the load.
const startWindow = 6

// NewPool returns the pool of a service at a host in zone.
func NewPool(host, zone string, owner HolderLookup) *Pool {
	return &Pool{servers: map[string]*server{}, owner: owner, host: host, zone: zone, window: startWindow, times: map[int]*responseTime{}}
}

// SetServers replaces the servers that requests may go to. Requests in flight at
// others end as usual.
func (p *Pool) SetServers(now time.Duration, list []Server) {
	keep := map[string]bool{}
	for _, s := range p.subset(list) {
		keep[s.ID] = true
		known := p.servers[s.ID]
		if known == nil {
			known = &server{window: max(MinWindow, float64(s.Slots)/2), latency: InitialLatency.Seconds(), position: position(s.ID)}
			p.servers[s.ID] = known
		}
		known.Server, known.gone = s, false
	}
	p.order = p.order[:0]
	for id, s := range p.servers {
		if !keep[id] {
			s.gone = true
			if s.inflight == 0 {
				delete(p.servers, id)
			}
			continue
		}
		p.order = append(p.order, s)
	}
	slices.SortFunc(p.order, func(a, b *server) int { return cmp.Compare(p.rank(b.ID), p.rank(a.ID)) })
	p.window = min(p.window, p.maxWindow())
	p.Dispatch(now)
}

// Submit queues a request. decide is called once, possibly before Submit
// returns. The returned function takes the request back if it is undecided.
func (p *Pool) Submit(now time.Duration, r Request, decide func(Decision)) (cancel func()) {
	p.tickets++
	r.ticket, r.since = p.tickets, now
	w := &waiter{Request: r, decide: decide}
	if reason, wait := p.refuse(now, w); reason != "" {
		decide(Decision{Reason: reason, RetryAfter: wait})
		return func() {}
	}
	at, _ := slices.BinarySearchFunc(p.waiting, w, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.ticket, b.ticket))
	})
	p.waiting = slices.Insert(p.waiting, at, w)
	p.Dispatch(now)
	return func() {
		if i := slices.Index(p.waiting, w); i >= 0 {
			p.waiting = slices.Delete(p.waiting, i, i+1)
		}
	}
}

// TryAcquire returns a server that has room for a request now; it does not queue.
func (p *Pool) TryAcquire(now time.Duration, r Request) (Decision, bool) {
	r.since = now
	v, ok := p.decide(now, &waiter{Request: r})
	return v, ok && v.Reason == ""
}

// refuse predicts whether a request could be served in time.
func (p *Pool) refuse(now time.Duration, w *waiter) (RefusalReason, time.Duration) {
	if len(p.waiting) >= MaxQueueLength {
		return QueueFull, retryAfter(time.Second)
	}
	if len(p.order) == 0 {
		return NoServer, retryAfter(time.Second)
	}
	if p.owner != nil && w.Keyed {
		if id, _ := p.owner(w.Key); p.ConnectionsFailing(id) && p.servers[id].paused(now) {
			return HolderUnreachable, retryAfter(p.servers[id].until - now)
		}
	}
	wait := p.expectedWait(now, w)
	if wait > w.MaxQueueWait {
		return WaitTooLong, retryAfter(wait - w.MaxQueueWait)
	}
	if p.owner != nil && w.Keyed {
		if id, since := p.owner(w.Key); id == "" && now-since > MaxHolderWait {
			return KeyMoving, retryAfter(time.Second)
		}
	}
	return "", 0
}

// Bounds of Retry-After: callers may return once a queue has moved on, and a
// long pause would pass their deadline.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 800 * time.Millisecond
)

func retryAfter(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }

func (p *Pool) expectedWait(now time.Duration, w *waiter) time.Duration {
	if p.owner == nil || !w.Keyed {
		ahead := 0
		for _, o := range p.waiting {
			if o.Rank <= w.Rank {
				ahead++
			}
		}
		if ahead == 0 {
			return 0
		}
		return seconds(float64(ahead) * p.meanLatency() / max(1, p.window))
	}
	id, _ := p.owner(w.Key)
	s := p.servers[id]
	if s == nil {
		return 0
	}
	ahead := 0
	for _, o := range p.waiting {
		if o.Rank <= w.Rank && o.Keyed {
			if other, _ := p.owner(o.Key); other == id {
				ahead++
			}
		}
	}
	wait := 0.0
	if ahead > 0 {
		wait = float64(ahead) * s.latency / max(MinWindow, s.window)
	}
	if s.until > now {
		wait += (s.until - now).Seconds()
	}
	return seconds(wait)
}

func (p *Pool) meanLatency() float64 {
	sum := 0.0
	for _, s := range p.order {
		sum += s.latency
	}
	return sum / float64(max(1, len(p.order)))
}

// Dispatch decides about all waiting requests that can be decided now.
func (p *Pool) Dispatch(now time.Duration) {
	kept := p.waiting[:0]
	var decided []func()
	for _, w := range p.waiting {
		verdict, ok := p.decide(now, w)
		if !ok {
			kept = append(kept, w)
			continue
		}
		decided = append(decided, func() { w.decide(verdict) })
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
	for _, d := range decided {
		d()
	}
}

// NextDispatch returns when Dispatch should be called again if nothing else
// happens, and whether requests wait at all.
func (p *Pool) NextDispatch(now time.Duration) (time.Duration, bool) {
	if len(p.waiting) == 0 {
		return 0, false
	}
	return now + checkEvery, true
}

// checkEvery is short against the latency targets and long against the cost of
// a wake-up.
const checkEvery = 25 * time.Millisecond

func (p *Pool) decide(now time.Duration, w *waiter) (Decision, bool) {
	if now >= w.Deadline || now-w.since > w.MaxQueueWait {
		return Decision{Reason: WaitTooLong, RetryAfter: minRetryAfter}, true
	}
	if p.owner != nil && w.Keyed {
		id, since := p.owner(w.Key)
		s := p.servers[id]
		if id == "" || s == nil || s.gone {
			return Decision{Reason: KeyMoving, RetryAfter: retryAfter(time.Second)}, id == "" && now-since > MaxHolderWait || now-w.since > MaxHolderWait
		}
		if !p.hasRoom(now, s, w) {
			return Decision{}, false
		}
		return p.send(s), true
	}
	if len(p.order) == 0 {
		return Decision{Reason: NoServer, RetryAfter: retryAfter(time.Second)}, true
	}
	if float64(p.total) >= p.window && w.Rank > 0 {
		p.limited = true
		return Decision{}, false
	}
	s := p.best(now, w)
	if s == nil {
		p.limited = true
		return Decision{}, false
	}
	v := p.send(s)
	v.LatencyBound = p.times[w.Rank].usual()
	return v, true
}

func (p *Pool) send(s *server) Decision {
	s.inflight++
	p.total++
	return Decision{Server: s.Server}
}

// ReportResult notes the end of an attempt at a server.
func (p *Pool) ReportResult(now time.Duration, id string, r AttemptResult) {
	s := p.servers[id]
	if s == nil {
		return
	}
	s.inflight--
	p.total--
	if s.gone && s.inflight == 0 {
		delete(p.servers, id)
	}
	p.learn(now, s, r)
	if p.owner == nil {
		p.noteTime(r)
	}
	if r.Outcome == OK {
		p.noteWork(now, r)
	}
	p.Dispatch(now)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
