// Package dispatch is the load balancer and request scheduler of one entry host.
// It decides which queued request is sent to which backend server of a service,
// and which request is refused. A request has a rank: its priority, where 0 is
// the most urgent.
//
// Each host decides on its own from the load that the servers report with their
// responses. It limits its requests in flight by windows that shrink when a
// server reports a queue. Requests therefore wait at the hosts, which order them
// by rank, and not at the servers, which serve them in order of arrival.
//
// The package does no I/O and starts no goroutines. Points in time are passed in, as
// durations since an arbitrary origin on one monotonic clock.
package dispatch

import (
	"cmp"
	"slices"
	"time"

	"parsleyrelay.example/core/cost"
)

// Parameters of the dispatch policy.
const (
	// InitialLatency is the assumed latency of a server that has not answered yet.
	InitialLatency = 200 * time.Millisecond
	// latencyWeight is the weight of the newest sample in the moving average of a
	// server's latency.
	latencyWeight = 0.15
	// errorWeight is the weight of the newest result in the moving average of a
	// server's error rate.
	errorWeight = 0.15
	// errorPenalty raises the cost of a server that returns errors, by a factor of up
	// to 1+errorPenalty when all results are errors. Without it a server that fails
	// fast would attract requests by its low latency.
	errorPenalty = 20
	// WindowShrinkFactor multiplies the common window when a server reports a queue.
	WindowShrinkFactor = 0.85
	// MinWindow is the smallest common window, in requests in flight. One request has to
	// remain possible, because only a response shows that a server has capacity again.
	MinWindow = 1.0
	// maxReportAge is the age from which a server's load report is ignored.
	maxReportAge = 800 * time.Millisecond
	// SubsetSize is the number of servers that a host uses of a service without
	// keys. If it spread its requests over more servers, too few responses would
	// come from each to estimate its load.
	SubsetSize = 14
	// crossZoneFactor multiplies the cost of servers in other availability zones,
	// because traffic between zones is more expensive.
	crossZoneFactor = 1.08
	// UnreachablePause is the time without requests to a server to which no
	// connection could be opened. Like the other pauses after a failure it doubles
	// with each further failure, up to MaxFailurePause.
	UnreachablePause = 500 * time.Millisecond
	// KeyedUnreachablePause replaces UnreachablePause for a server that holds keys.
	// It is shorter because no other server can serve these keys, and a single lost
	// packet must not make them unavailable for long.
	KeyedUnreachablePause = 100 * time.Millisecond
	// ConnectionLostPause follows a connection that broke before the response was
	// complete. It is short because one lost response says little about the server.
	ConnectionLostPause = 30 * time.Millisecond
	// SlowPause follows an attempt that exceeded Decision.LatencyBound. Some of these
	// servers hang or are behind a link that drops packets, but most are merely slow,
	// so the pause is short at first.
	SlowPause = 150 * time.Millisecond
	// MaxFailurePause bounds the pauses that double with each failure.
	MaxFailurePause = 2 * time.Second
	// AddressReusedPause follows the discovery that another server has taken over
	// the server's address; the old entry leaves the directory within a few seconds.
	AddressReusedPause = 3 * time.Second
	// MaxServerQueuePause bounds the pause after a server with keys reported a long
	// queue. It is also the pause after such a server refused for lack of capacity.
	MaxServerQueuePause = 400 * time.Millisecond
	// ServerRefusalPause follows a refusal for lack of capacity by a server without
	// keys, and a refusal by a server that does not hold the key.
	ServerRefusalPause = 60 * time.Millisecond
	// MaxHolderWait bounds the time that a request waits for a key that no server
	// holds, because its key range is being moved.
	MaxHolderWait = 700 * time.Millisecond
	// MaxQueueLength bounds the requests in the queue of one service.
	MaxQueueLength = 1024
)

// Server is a backend server as listed in the directory.
type Server struct {
	ID          string
	Born        int64 // tells the lives of a server apart
	Address     string
	Zone        string
	Slots       int           // requests that the server runs at a time
	Cold        bool          // has just started and is still slow
	NeedsPermit bool          // gets requests only with a permit, because it is cold
	PausedUntil time.Duration // the server asked for no requests before
}

// Load is a server's report of its load: running requests, requests in its queue,
// and the requests that it can run at a time.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is the time that work takes on the server's machine now, in percent of the
	// usual; 0 if it was not reported.
	Slowdown int
}

// Outcome says how an attempt to send a request to a server ended.
type Outcome int

const (
	OK                  Outcome = iota + 1
	ErrorResponse               // the server answered with an error
	ServerFull                  // the server refused for lack of capacity; the request did not run
	RefusedWithoutQueue         // the server refused although its queue is short, so not for lack of capacity; the request did not run
	Misdirected                 // the server does not hold the key or has another identity; the request did not run
	Unreachable                 // no connection could be opened
	ConnectionLost              // the connection broke before a complete response
	AddressReused               // another server has taken over the address; the request did not run
	Canceled                    // the caller disconnected or the attempt was not made; says nothing about the server
	DeadlineExceeded            // no response before the request's deadline
	Slow                        // no response within Decision.LatencyBound; abandoned to try another server
)

// HasFreeSlot reports whether a server with this load would start another request
// at once. It is false for a nil Load.
func (l *Load) HasFreeSlot() bool { return l != nil && l.Waiting == 0 && l.Running < l.Slots }

// HasShortQueue reports whether fewer requests wait at the server than it has slots.
// Such a server does not refuse for lack of capacity. It is false for a nil Load.
func (l *Load) HasShortQueue() bool { return l != nil && l.Waiting < max(1, l.Slots) }

// AttemptResult describes how an attempt at a server ended.
type AttemptResult struct {
	Outcome Outcome
	Rank    int
	Latency time.Duration // from dispatch to the end of the attempt
	Load    *Load         // reported with the response; nil when there is none
	// Placement is that of the decision which assigned the request to the server.
	Placement Placement
}

// RefusalReason says why a request was refused. A refused request was not sent.
type RefusalReason string

const (
	QueueFull   RefusalReason = "queue_full"
	WaitTooLong RefusalReason = "wait_too_long" // the request would not be served in time
	Overloaded  RefusalReason = "overloaded"    // the server that holds the key gets more requests from all hosts than it can serve
	NoServer    RefusalReason = "no_server"
	KeyMoving   RefusalReason = "key_moving" // no known server holds the key, usually because its range is being moved
	// HolderUnreachable says that connections to the server that holds the key keep failing.
	HolderUnreachable RefusalReason = "holder_unreachable"
)

// Request describes a request for which a server is to be selected.
type Request struct {
	Rank         int           // 0 is the most urgent
	Deadline     time.Duration // point in time from which a response is useless
	MaxQueueWait time.Duration // refused after this time in the queue
	Keyed        bool          // only the server that holds Key can serve it
	RunsOnce     bool          // must not run a second time
	Key          uint16
	ExcludeIDs   []string // servers that have been tried
	Class        cost.Class
	sequence     uint64 // order of submission
	submitted    time.Duration
}

// Decision assigns a request to a server or refuses it.
type Decision struct {
	Server     Server // set if Reason is empty
	Reason     RefusalReason
	RetryAfter time.Duration
	// LatencyBound is the time within which nearly all requests of this rank get
	// their response. It is 0 for services with keys, and until enough responses
	// have been seen.
	LatencyBound time.Duration
	Placement    Placement
	// PermitUntil is the time before which the request must be written, because of its permit
	// for a cold server; 0 if it needs none.
	PermitUntil time.Duration
}

// HolderLookup returns the server that holds a key. If no server holds the key, id
// is empty and unheldSince is the time from which none has held it.
type HolderLookup func(key uint16) (id string, unheldSince time.Duration)

// queuedRequest is a Request in the queue.
type queuedRequest struct {
	Request
	onDecision   func(Decision) // nil for a request that is not queued
	work         float64        // estimated, in seconds; 0 without cost routing
	permitServer *serverState   // cold server for which it waits for a permit
}

// Pool queues the requests of one service at one host and distributes them over
// the service's servers. It is not safe for concurrent use.
type Pool struct {
	servers       map[string]*serverState
	candidates    []*serverState   // current servers, by descending rendezvous score
	holderOf      HolderLookup     // nil for a service without keys
	queue         []*queuedRequest // by rank, then by submission
	commonWindow  float64          // limit of inflight for ranks above 0, for services without keys
	inflight      int              // requests in flight at all servers
	host          string
	zone          string
	hostCount     int // hosts that send requests to the servers
	lastSequence  uint64
	shrunkAt      time.Duration
	lastPauseEnd  time.Duration // of the pauses for which the servers asked
	evacuated     bool          // see SetEvacuated
	requestWaited bool          // whether a request has had to wait after the last growth of commonWindow

	permits     Permits        // for cold servers
	coldServers []*serverState // servers that need permits

	latencyEstimates map[int]*latencyEstimate // by rank, for services without keys

	urgentWork, otherWork float64 // seconds that servers spent on rank 0 and on other ranks, decaying
	workUpdatedAt         time.Duration

	costRouting CostRouting
	costs       *cost.Estimator // nil while requests are not placed by cost
	others      usualLoad       // of all servers
}

// initialCommonWindow is the common window before any load report, in requests in
// flight.
const initialCommonWindow = 6

// NewPool returns a pool for one service at the given host and availability zone.
// holderOf is nil for a service without keys.
func NewPool(host, zone string, holderOf HolderLookup) *Pool {
	return &Pool{servers: map[string]*serverState{}, holderOf: holderOf, host: host, zone: zone, hostCount: 1, commonWindow: initialCommonWindow, latencyEstimates: map[int]*latencyEstimate{}}
}

// SetServers replaces the servers that requests may be sent to. Requests in flight
// at servers that are no longer listed run to their end.
func (p *Pool) SetServers(now time.Duration, list []Server) {
	selected := map[string]bool{}
	for _, s := range p.subset(list) {
		selected[s.ID] = true
		state := p.servers[s.ID]
		if state == nil {
			state = &serverState{window: p.ordinaryWindow(s.Slots), latency: InitialLatency.Seconds(), admission: admission{share: 1}, reservationOrder: hashFraction(s.ID)}
			p.servers[s.ID] = state
		}
		state.setListed(s)
		p.lastPauseEnd = max(p.lastPauseEnd, state.PausedUntil)
	}
	p.candidates = p.candidates[:0]
	for id, s := range p.servers {
		if !selected[id] {
			s.removed = true
			if s.inflight == 0 {
				delete(p.servers, id)
			}
			continue
		}
		p.candidates = append(p.candidates, s)
	}
	slices.SortFunc(p.candidates, func(a, b *serverState) int { return cmp.Compare(p.rendezvousScore(b.ID), p.rendezvousScore(a.ID)) })
	p.commonWindow = min(p.commonWindow, p.maxWindow())
	p.updateColdServers()
	p.Dispatch(now)
}

// Submit queues a request. onDecision is called once, possibly before Submit
// returns. The returned function removes the request from the queue; onDecision is
// not called then, and it has no effect after the decision.
func (p *Pool) Submit(now time.Duration, r Request, onDecision func(Decision)) (cancel func()) {
	p.lastSequence++
	r.sequence, r.submitted = p.lastSequence, now
	p.startForSingleRun(now, r)
	request := &queuedRequest{Request: r, onDecision: onDecision, work: p.EstimateWork(now, r.Class)}
	if reason, wait := p.predictRefusal(now, request); reason != "" {
		onDecision(Decision{Reason: reason, RetryAfter: wait})
		return func() {}
	}
	at, _ := slices.BinarySearchFunc(p.queue, request, func(a, b *queuedRequest) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.sequence, b.sequence))
	})
	p.queue = slices.Insert(p.queue, at, request)
	p.Dispatch(now)
	return func() {
		if i := slices.Index(p.queue, request); i >= 0 {
			p.queue = slices.Delete(p.queue, i, i+1)
			p.withdrawPermitDemand(request)
		}
	}
}

// TryAssign assigns the request to a server that can take it now, without queueing,
// and reports whether there is one. The request counts as in flight until
// ReportResult is called.
func (p *Pool) TryAssign(now time.Duration, r Request) (Decision, bool) {
	r.submitted = now
	decision, ok := p.decide(now, &queuedRequest{Request: r, work: p.EstimateWork(now, r.Class)})
	return decision, ok && decision.Reason == ""
}

// predictRefusal returns why a new request would not be served in time, and the
// pause before the caller should retry. The reason is empty if the request may be
// queued.
func (p *Pool) predictRefusal(now time.Duration, request *queuedRequest) (RefusalReason, time.Duration) {
	if len(p.queue) >= MaxQueueLength {
		return QueueFull, clampRetryAfter(time.Second)
	}
	if len(p.candidates) == 0 {
		return p.noServerReason(), clampRetryAfter(time.Second)
	}
	if wait, refuse := p.refuseForPause(now, request); refuse {
		return ServerPaused, wait
	}
	if wait, refuse := p.refuseForPermit(now, request); refuse {
		return NoPermit, wait
	}
	if p.holderOf != nil && request.Keyed {
		if id, _ := p.holderOf(request.Key); p.ConnectionsKeepFailing(id) && p.servers[id].paused(now) {
			return HolderUnreachable, clampRetryAfter(p.servers[id].pausedUntil - now)
		}
	}
	if p.holderOf != nil && request.Keyed {
		id, _ := p.holderOf(request.Key)
		if s := p.servers[id]; s != nil && !s.admission.admit(now, request.Rank) {
			return Overloaded, maxRetryAfter
		}
	}
	wait := p.expectedWait(now, request)
	if wait > request.MaxQueueWait {
		return WaitTooLong, clampRetryAfter(wait - request.MaxQueueWait)
	}
	if p.holderOf != nil && request.Keyed {
		if id, unheldSince := p.holderOf(request.Key); id == "" && now-unheldSince > MaxHolderWait {
			return KeyMoving, clampRetryAfter(time.Second)
		}
	}
	return "", 0
}

// Bounds of Decision.RetryAfter. The minimum lets the queue advance before a caller
// returns; with a longer maximum callers would miss their own deadlines.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 800 * time.Millisecond
)

func clampRetryAfter(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }

// Dispatch assigns or refuses every queued request for which that is possible now.
func (p *Pool) Dispatch(now time.Duration) {
	undecided := p.queue[:0]
	for _, s := range p.coldServers {
		s.permitDemand = 0
	}
	var callbacks []func()
	for _, request := range p.queue {
		decision, ok := p.decide(now, request)
		if !ok {
			undecided = append(undecided, request)
			continue
		}
		callbacks = append(callbacks, func() { request.onDecision(decision) })
	}
	clear(p.queue[len(undecided):])
	p.queue = undecided
	p.reportPermitDemand()
	for _, callback := range callbacks {
		callback()
	}
}

// NextDispatch returns the time at which Dispatch should be called again if no
// other event occurs, and whether any requests are queued.
func (p *Pool) NextDispatch(now time.Duration) (time.Duration, bool) {
	if len(p.queue) == 0 {
		return 0, false
	}
	return now + dispatchInterval, true
}

// dispatchInterval is short compared with the latency targets, and long enough that
// the wake-ups cost little.
const dispatchInterval = 25 * time.Millisecond

// decide returns the decision about a request, or false if the request has to wait.
func (p *Pool) decide(now time.Duration, request *queuedRequest) (Decision, bool) {
	if now >= request.Deadline || now-request.submitted > request.MaxQueueWait {
		reason, wait := p.expiredReason(request)
		return Decision{Reason: reason, RetryAfter: wait}, true
	}
	request.permitServer = nil
	if len(p.candidates) == 0 && p.evacuated {
		return Decision{Reason: Evacuated, RetryAfter: clampRetryAfter(time.Second)}, true
	}
	if wait, refuse := p.refuseForPause(now, request); refuse {
		return Decision{Reason: ServerPaused, RetryAfter: wait}, true
	}
	if wait, refuse := p.refuseForPermit(now, request); refuse {
		return Decision{Reason: NoPermit, RetryAfter: wait}, true
	}
	if p.holderOf != nil && request.Keyed {
		id, unheldSince := p.holderOf(request.Key)
		s := p.servers[id]
		if id == "" || s == nil || s.removed {
			// Refused if the key has had no holder for MaxHolderWait, or if the request
			// has waited that long; otherwise the request waits on.
			return Decision{Reason: KeyMoving, RetryAfter: clampRetryAfter(time.Second)}, id == "" && now-unheldSince > MaxHolderWait || now-request.submitted > MaxHolderWait
		}
		if !p.hasCapacity(now, s, request) {
			return Decision{}, false
		}
		return p.assignWithPermit(now, s, request)
	}
	if len(p.candidates) == 0 {
		return Decision{Reason: NoServer, RetryAfter: clampRetryAfter(time.Second)}, true
	}
	if float64(p.inflight) >= p.commonWindow && request.Rank > 0 {
		p.requestWaited = true
		return Decision{}, false
	}
	s := p.bestServer(now, request)
	if s == nil {
		p.requestWaited = true
		return Decision{}, false
	}
	decision, ok := p.assignWithPermit(now, s, request)
	decision.LatencyBound = p.latencyEstimates[request.Rank].latencyBound()
	return decision, ok
}

// assign counts a request as in flight at a server and returns the decision.
func (p *Pool) assign(now time.Duration, s *serverState, request *queuedRequest) Decision {
	placement := p.newPlacement(now, s, request)
	s.inflight++
	s.lastAssignedAt = now
	p.inflight++
	return Decision{Server: s.Server, Placement: placement}
}

// ReportResult records how an attempt at a server ended and dispatches queued
// requests to the capacity that it frees. It has to be called once for each request
// that was assigned to a server.
func (p *Pool) ReportResult(now time.Duration, id string, r AttemptResult) {
	s := p.servers[id]
	if s == nil {
		return
	}
	s.inflight--
	p.inflight--
	if s.removed && s.inflight == 0 {
		delete(p.servers, id)
	}
	p.recordCost(now, s, r)
	p.updateServer(now, s, r)
	if p.holderOf == nil {
		p.recordLatency(r)
	}
	if r.Outcome == OK {
		p.recordWork(now, r)
	}
	p.Dispatch(now)
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
