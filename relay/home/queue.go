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

// eventRing bounds the events that wait for a server's queue goroutine. When it
// is full a new request is refused; all other events wait for room.
const eventRing = 4096

// queueTick is the period in which a queue looks at expired requests.
const queueTick = 10 * time.Millisecond

// event runs on the queue's goroutine.
type event func(now time.Duration) []admission.Decision

type ticket struct {
	id       uint64
	decision chan admission.Decision // capacity 1, at most one decision
}

type drainWaiter struct {
	r    keyspace.Range
	done func()
}

// queue is one server. The goroutine run owns policy, tickets and waiters.
type queue struct {
	server string
	cfg    Config
	loads  *loads
	events chan event
	ended  chan struct{}
	once   sync.Once

	policy   *admission.Controller
	tickets  map[uint64]*ticket
	nextID   uint64
	waiters  []drainWaiter
	instance string

	window windowState
}

func newQueue(server string, cfg Config, l *loads, policy admission.Config) *queue {
	q := &queue{
		server: server, cfg: cfg, loads: l,
		events:  make(chan event, eventRing),
		ended:   make(chan struct{}),
		policy:  admission.New(cfg.Now(), policy),
		tickets: map[uint64]*ticket{},
		window:  newWindowState(),
	}
	go q.run()
	return q
}

func (q *queue) run() {
	ticker := time.NewTicker(queueTick)
	defer ticker.Stop()
	for {
		select {
		case <-q.ended:
			q.abandon()
			return
		case e := <-q.events:
			q.deliver(e(q.cfg.Now()))
		case <-ticker.C:
			q.deliver(q.policy.Tick(q.cfg.Now()))
		}
		q.checkWaiters()
	}
}

func (q *queue) stop() {
	q.once.Do(func() { close(q.ended) })
}

// abandon gives all waiting requests back to routing when the home is lost.
func (q *queue) abandon() {
	for id, t := range q.tickets {
		t.decision <- admission.Decision{Action: admission.ActionReroute, ID: id}
	}
	for _, w := range q.waiters {
		w.done()
	}
}

func (q *queue) deliver(decisions []admission.Decision) {
	for _, d := range decisions {
		if t := q.tickets[d.ID]; t != nil {
			delete(q.tickets, d.ID)
			t.decision <- d
		}
	}
}

func (q *queue) checkWaiters() {
	kept := q.waiters[:0]
	for _, w := range q.waiters {
		if q.policy.InFlight(w.r) > 0 {
			kept = append(kept, w)
			continue
		}
		w.done()
	}
	q.waiters = kept
}

// post waits for room in the ring. It returns false when the queue has ended.
func (q *queue) post(e event) bool {
	select {
	case q.events <- e:
		return true
	case <-q.ended:
		return false
	}
}

func (q *queue) update(view *ownership.View, server ownership.ServerView) {
	policy := queueConfig(view, server, q.cfg.PolicyOff)
	q.post(func(now time.Duration) []admission.Decision {
		decisions := q.policy.Reconfigure(now, policy)
		if server.Instance != q.instance {
			q.instance = server.Instance
			q.policy.ResetForColdServer(now)
		}
		return decisions
	})
	q.window.follow(dedup.Timestamp{Mono: q.cfg.Now(), Wall: q.cfg.WallClock()}, view, server, q.server)
}

func (q *queue) quiesce(r keyspace.Range, done func()) {
	posted := q.post(func(time.Duration) []admission.Decision {
		decisions := q.policy.Quiesce(r)
		q.waiters = append(q.waiters, drainWaiter{r: r, done: done})
		return decisions
	})
	if !posted {
		done()
	}
}

func (q *queue) resume(r keyspace.Range) {
	q.post(func(time.Duration) []admission.Decision {
		q.policy.Resume(r)
		return nil
	})
}

func (q *queue) stats() (admission.Stats, bool) {
	result := make(chan admission.Stats, 1)
	if !q.post(func(now time.Duration) []admission.Decision {
		result <- q.policy.Stats(now)
		return nil
	}) {
		return admission.Stats{}, false
	}
	select {
	case s := <-result:
		return s, true
	case <-q.ended:
		return admission.Stats{}, false
	}
}

// submit offers a request to the queue. It returns nil when the ring is full.
func (q *queue) submit(req *frontend.Request) *ticket {
	t := &ticket{decision: make(chan admission.Decision, 1)}
	e := func(now time.Duration) []admission.Decision {
		q.nextID++
		t.id = q.nextID
		q.tickets[t.id] = t
		rank := req.RankName
		if q.cfg.PolicyOff {
			rank = fifoRank
		}
		return q.policy.Submit(now, admission.Request{
			ID: t.id, Rank: rank, Caller: req.Caller, KeyHash: req.KeyHash, Deadline: req.Deadline,
		})
	}
	select {
	case q.events <- e:
		return t
	default:
		q.cfg.OnRingOverflow("queue:" + q.server)
		return nil
	}
}

// cancel withdraws a request whose caller went away. One that was dispatched in
// the meantime but not sent gives its slot back.
func (q *queue) cancel(t *ticket) {
	q.post(func(now time.Duration) []admission.Decision {
		delete(q.tickets, t.id)
		if q.policy.Cancel(t.id) {
			return nil
		}
		return q.policy.Finish(now, t.id, admission.Result{Outcome: admission.OutcomeCanceled})
	})
}

func (q *queue) finish(t *ticket, result admission.Result) {
	q.post(func(now time.Duration) []admission.Decision {
		return q.policy.Finish(now, t.id, result)
	})
}

// execute waits for a slot and sends the request.
func (q *queue) execute(ctx context.Context, req *frontend.Request) (*frontend.Response, *frontend.RequestError) {
	submitted := q.cfg.Now()
	t := q.submit(req)
	if t == nil {
		return nil, frontend.NewRefusal(callerapi.ReasonQueueFull, time.Second, "the ring to Server/%s is full", q.server)
	}
	select {
	case <-ctx.Done():
		q.cancel(t)
		return nil, ended(ctx, "the request waited for Server/"+q.server)
	case <-q.ended:
		// The decision may already be there; the slot ends with the queue.
		return nil, frontend.RerouteError()
	case d := <-t.decision:
		switch d.Action {
		case admission.ActionDispatch:
			q.cfg.OnDispatch(req, q.cfg.Now()-submitted)
			return q.dispatch(ctx, req, t)
		case admission.ActionReroute:
			return nil, frontend.RerouteError()
		}
		return nil, refused(q.server, req, d)
	}
}

// ended explains why a request left the queue unsent.
func ended(ctx context.Context, what string) *frontend.RequestError {
	if ctx.Err() == context.DeadlineExceeded {
		e := frontend.NewRefusal(callerapi.ReasonQueueTimeout, time.Second, "%s until its deadline", what)
		return e
	}
	return &frontend.RequestError{
		Status: 499, Outcome: callerapi.NotRun, Reason: callerapi.ReasonCallerGone,
		Message: "the caller closed the connection while " + what,
	}
}

func refused(server string, req *frontend.Request, d admission.Decision) *frontend.RequestError {
	reason := map[admission.Reason]callerapi.Reason{
		admission.ReasonUnknownRank:      callerapi.ReasonUnknownRank,
		admission.ReasonQueueFull:        callerapi.ReasonQueueFull,
		admission.ReasonQueueTimeout:     callerapi.ReasonQueueTimeout,
		admission.ReasonDeadlineTooShort: callerapi.ReasonDeadlineTooShort,
		admission.ReasonPastDeadline:     callerapi.ReasonPastDeadline,
		admission.ReasonOverloaded:       callerapi.ReasonOverloaded,
	}[d.Reason]
	return frontend.NewRefusal(reason, d.RetryAfter, "Server/%s refuses rank %q: %s", server, req.RankName, d.Reason)
}
