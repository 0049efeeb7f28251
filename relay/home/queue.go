package home

import (
	"context"
	"sync"
	"time"

	"parsleyrelay.example/api/callerapi"
	"parsleyrelay.example/core/admission"
	"parsleyrelay.example/core/dedup"
	"parsleyrelay.example/core/keyspace"
	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/relay/frontend"
)

// eventQueueCapacity bounds the events that wait for a server's queue goroutine.
// When it is full, new requests are refused and the senders of other events block.
const eventQueueCapacity = 4096

// expiryCheckInterval is how often a queue checks for expired requests.
const expiryCheckInterval = 10 * time.Millisecond

// queueEvent is a function that runs on the queue's goroutine. It returns the
// admission decisions that result from it.
type queueEvent func(now time.Duration) []admission.Decision

// pendingRequest is a request that waits for its admission decision.
type pendingRequest struct {
	id       uint64
	decision chan admission.Decision // receives at most one decision; capacity 1
}

// quiesceWaiter is notified once no request of a quiesced key range is in flight.
type quiesceWaiter struct {
	keyRange   keyspace.Range
	onQuiesced func()
}

// serverQueue is the admission queue of one server. The goroutine of run owns the
// fields from controller to serverInstance.
type serverQueue struct {
	server   string
	cfg      Config
	loads    *loadMeter
	events   chan queueEvent
	stopped  chan struct{}
	stopOnce sync.Once

	controller      *admission.Controller
	pendingRequests map[uint64]*pendingRequest
	nextID          uint64
	quiesceWaiters  []quiesceWaiter
	serverInstance  string

	dedupState dedupState
}

func newQueue(server string, cfg Config, meter *loadMeter, limits admission.Config) *serverQueue {
	q := &serverQueue{
		server: server, cfg: cfg, loads: meter,
		events:          make(chan queueEvent, eventQueueCapacity),
		stopped:         make(chan struct{}),
		controller:      admission.New(cfg.Now(), limits),
		pendingRequests: map[uint64]*pendingRequest{},
		dedupState:      newDedupState(),
	}
	go q.run()
	return q
}

func (q *serverQueue) run() {
	ticker := time.NewTicker(expiryCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-q.stopped:
			q.abandonWaiting()
			return
		case runEvent := <-q.events:
			q.deliverDecisions(runEvent(q.cfg.Now()))
		case <-ticker.C:
			q.deliverDecisions(q.controller.Tick(q.cfg.Now()))
		}
		q.notifyQuiesced()
	}
}

func (q *serverQueue) stop() {
	q.stopOnce.Do(func() { close(q.stopped) })
}

// abandonWaiting returns all waiting requests for rerouting when this daemon is no
// longer the server's home.
func (q *serverQueue) abandonWaiting() {
	for id, request := range q.pendingRequests {
		request.decision <- admission.Decision{Action: admission.ActionReroute, ID: id}
	}
	for _, w := range q.quiesceWaiters {
		w.onQuiesced()
	}
}

func (q *serverQueue) deliverDecisions(decisions []admission.Decision) {
	for _, d := range decisions {
		if request := q.pendingRequests[d.ID]; request != nil {
			delete(q.pendingRequests, d.ID)
			request.decision <- d
		}
	}
}

func (q *serverQueue) notifyQuiesced() {
	remaining := q.quiesceWaiters[:0]
	for _, w := range q.quiesceWaiters {
		if q.controller.InFlight(w.keyRange) > 0 {
			remaining = append(remaining, w)
			continue
		}
		w.onQuiesced()
	}
	q.quiesceWaiters = remaining
}

// postEvent enqueues an event and blocks while the event queue is full. It returns
// false if the queue has stopped.
func (q *serverQueue) postEvent(e queueEvent) bool {
	select {
	case q.events <- e:
		return true
	case <-q.stopped:
		return false
	}
}

func (q *serverQueue) update(view *ownership.View, server ownership.ServerView) {
	limits := admissionConfig(view, server, q.cfg.PolicyOff)
	q.postEvent(func(now time.Duration) []admission.Decision {
		decisions := q.controller.Reconfigure(now, limits)
		if server.Instance != q.serverInstance {
			q.serverInstance = server.Instance
			q.controller.ResetForColdServer(now)
		}
		return decisions
	})
	q.dedupState.update(dedup.Timestamp{Mono: q.cfg.Now(), Wall: q.cfg.WallClock()}, view, server, q.server)
}

func (q *serverQueue) quiesce(r keyspace.Range, done func()) {
	posted := q.postEvent(func(time.Duration) []admission.Decision {
		decisions := q.controller.Quiesce(r)
		q.quiesceWaiters = append(q.quiesceWaiters, quiesceWaiter{keyRange: r, onQuiesced: done})
		return decisions
	})
	if !posted {
		done()
	}
}

func (q *serverQueue) resume(r keyspace.Range) {
	q.postEvent(func(time.Duration) []admission.Decision {
		q.controller.Resume(r)
		return nil
	})
}

func (q *serverQueue) admissionStats() (admission.Stats, bool) {
	result := make(chan admission.Stats, 1)
	if !q.postEvent(func(now time.Duration) []admission.Decision {
		result <- q.controller.Stats(now)
		return nil
	}) {
		return admission.Stats{}, false
	}
	select {
	case s := <-result:
		return s, true
	case <-q.stopped:
		return admission.Stats{}, false
	}
}

// submit enqueues a request. It returns nil if the event queue is full.
func (q *serverQueue) submit(req *frontend.Request) *pendingRequest {
	pending := &pendingRequest{decision: make(chan admission.Decision, 1)}
	submitEvent := func(now time.Duration) []admission.Decision {
		q.nextID++
		pending.id = q.nextID
		q.pendingRequests[pending.id] = pending
		rank := req.RankName
		if q.cfg.PolicyOff {
			rank = fifoRank
		}
		return q.controller.Submit(now, admission.Request{
			ID: pending.id, Rank: rank, Caller: req.Caller, KeyHash: req.KeyHash, Deadline: req.Deadline,
		})
	}
	select {
	case q.events <- submitEvent:
		return pending
	default:
		q.cfg.OnEventQueueFull("queue:" + q.server)
		return nil
	}
}

// cancel removes a request whose context ended while it waited. If it was
// dispatched in the meantime, it was not sent, and its slot is freed.
func (q *serverQueue) cancel(pending *pendingRequest) {
	q.postEvent(func(now time.Duration) []admission.Decision {
		delete(q.pendingRequests, pending.id)
		if q.controller.Cancel(pending.id) {
			return nil
		}
		return q.controller.Finish(now, pending.id, admission.Result{Outcome: admission.OutcomeCanceled})
	})
}

func (q *serverQueue) finishRequest(pending *pendingRequest, result admission.Result) {
	q.postEvent(func(now time.Duration) []admission.Decision {
		return q.controller.Finish(now, pending.id, result)
	})
}

// execute waits for a slot and sends the request.
func (q *serverQueue) execute(ctx context.Context, req *frontend.Request) (*frontend.Response, *frontend.RequestError) {
	submittedAt := q.cfg.Now()
	pending := q.submit(req)
	if pending == nil {
		return nil, frontend.NewRefusal(callerapi.ReasonQueueFull, time.Second, "too many requests arrive for Server/%s at once", q.server)
	}
	select {
	case <-ctx.Done():
		q.cancel(pending)
		return nil, waitError(ctx, "the request waited for Server/"+q.server)
	case <-q.stopped:
		// The request may have got a slot by now, but slots end with the queue.
		return nil, frontend.RerouteError()
	case d := <-pending.decision:
		switch d.Action {
		case admission.ActionDispatch:
			q.cfg.OnDispatch(req, q.cfg.Now()-submittedAt)
			return q.dispatch(ctx, req, pending)
		case admission.ActionReroute:
			return nil, frontend.RerouteError()
		}
		return nil, admissionError(q.server, req, d)
	}
}

// waitError returns the error for a request whose context ended in the queue.
func waitError(ctx context.Context, activity string) *frontend.RequestError {
	if ctx.Err() == context.DeadlineExceeded {
		refusal := frontend.NewRefusal(callerapi.ReasonQueueTimeout, time.Second, "%s until its deadline", activity)
		return refusal
	}
	return &frontend.RequestError{
		// 499 is the customary status for a request whose client closed the connection.
		Status: 499, Outcome: callerapi.OutcomeNotRun, Reason: callerapi.ReasonCallerGone,
		Message: "the caller closed the connection while " + activity,
	}
}

func admissionError(server string, req *frontend.Request, d admission.Decision) *frontend.RequestError {
	reason := map[admission.Reason]callerapi.Reason{
		admission.ReasonUnknownRank:      callerapi.ReasonUnknownRank,
		admission.ReasonQueueFull:        callerapi.ReasonQueueFull,
		admission.ReasonQueueTimeout:     callerapi.ReasonQueueTimeout,
		admission.ReasonDeadlineTooShort: callerapi.ReasonDeadlineTooShort,
		admission.ReasonPastDeadline:     callerapi.ReasonPastDeadline,
		admission.ReasonOverloaded:       callerapi.ReasonOverloaded,
	}[d.Reason]
	return frontend.NewRefusal(reason, d.RetryAfter, "Server/%s refused a request of rank %q: %s", server, req.RankName, d.Reason)
}
