package daemon

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"

	"parsleyrelay.example/api/callerapi"
	"parsleyrelay.example/api/peerv1"
	"parsleyrelay.example/core/dedup"
	"parsleyrelay.example/core/event"
	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/core/retry"
	"parsleyrelay.example/relay/control"
	"parsleyrelay.example/relay/frontend"
	"parsleyrelay.example/relay/home"
	"parsleyrelay.example/relay/peer"
	"parsleyrelay.example/relay/platform"
)

// assemble creates the components of the daemon. It starts no goroutine and opens no
// connection.
func (d *Daemon) assemble() error {
	clock := event.NewHybridClock(time.Now)
	var err error
	if d.sink, err = newEventSink(d.opts, clock); err != nil {
		return err
	}
	d.platformClient = platform.NewClient(d.opts.Platform)
	d.serverClients = newServerClientPool(d.opts.Host)
	d.peerClients = newPeerClientPool(d.incarnation, d.opts.PeerTLS, clock)
	views := control.NewViews()
	d.homes = home.NewManager(home.Config{
		Views: views, Backend: d.serverClients, Now: d.now, WallClock: time.Now,
		OnEventQueueFull: d.sink.RingOverflowed, OnDispatch: d.sink.recordQueueTime, PolicyOff: d.opts.PolicyOff,
	})
	d.loop = control.NewLoop(control.Config{
		Machine: ownership.New(ownership.Config{
			Host: d.opts.Host, Incarnation: d.incarnation, Zone: d.opts.Zone, PeerURL: d.opts.PeerURL,
			NewID: uuid.NewString, WallClockMS: func() int64 { return time.Now().UnixMilli() },
			LogRetention: d.opts.LogRetention, Planner: balancePlanner{},
		}),
		Views: views, Log: logAppender{platform.NewPublisher(d.platformClient), d.sink.recordAppend},
		Peers: controlPeerClient{d}, Servers: d.serverClients, Homes: homeManager{d},
		Events: d.sink, Now: d.now,
	})
	d.frontend = frontend.NewHandler(frontend.Config{
		Views: views, Executor: d.homes, Forwarder: frontend.NewPeerForwarder(d.peerClients, d.now),
		Retrier: newRetrier(d.now), Observer: d.sink, Now: d.now, MaxConcurrentRequests: d.opts.MaxRequests, MaxHeaderBytes: d.opts.MaxHeaderBytes,
		Ready: d.ready, Draining: d.draining.Load,
	})
	return nil
}

// ready reports whether the daemon has applied the log up to the record of its own
// join. Once true it stays true, even after the daemon has left the cluster.
func (d *Daemon) ready() bool {
	if d.wasReady.Load() {
		return true
	}
	view, _ := d.loop.Views().Current()
	if _, ok := view.Members[d.incarnation]; !ok || !view.StateComplete {
		return false
	}
	d.wasReady.Store(true)
	return true
}

// homeManager implements control.HomeManager. A new view updates the request queues and
// closes the clients of servers and daemons that it no longer needs.
type homeManager struct{ d *Daemon }

func (m homeManager) Quiesce(server string, slice ownership.SliceRef, done func()) {
	m.d.homes.Quiesce(server, slice, done)
}

func (m homeManager) Resume(server string, slice ownership.SliceRef) {
	m.d.homes.Resume(server, slice)
}

func (m homeManager) Update(view *ownership.View) {
	m.d.homes.Update(view)
	m.d.serverClients.closeUnusedClients(view)
	m.d.peerClients.closeUnusedClients(view)
}

// controlPeerClient implements control.PeerClient.
type controlPeerClient struct{ d *Daemon }

func (c controlPeerClient) Poll(ctx context.Context, poll ownership.SendPoll) (ownership.PollResponse, error) {
	response, err := c.d.peerClients.control.Poll(ctx, poll)
	if err == nil {
		c.d.loads.update(c.d.now(), response.Loads)
	}
	return response, err
}

// TransferWindow exports the idempotency window of a slice and sends its parts to the next
// home, which may be this daemon.
func (c controlPeerClient) TransferWindow(ctx context.Context, t ownership.TransferIDs) error {
	origin := dedup.OwnershipPeriod{Server: t.Server, Term: t.Term, Generation: t.Slice.Generation}
	parts, ok := c.d.homes.ExportWindow(t.Server, t.Slice, origin)
	if !ok {
		return errWindowUnavailable
	}
	for _, part := range parts {
		if t.TargetIncarnation == c.d.incarnation {
			if !c.d.homes.ImportWindowPart(t.TargetServer, part) {
				return errWindowUnavailable
			}
			continue
		}
		if err := c.d.peerClients.control.SendWindowPart(ctx, t.TargetPeerURL, t.TargetServer, part); err != nil {
			return err
		}
	}
	return nil
}

type windowUnavailableError struct{}

// Error implements error.
func (windowUnavailableError) Error() string {
	return "the idempotency window of the slice is not active or has running requests"
}

var errWindowUnavailable = windowUnavailableError{}

// localDaemon implements peer.LocalDaemon.
type localDaemon struct{ d *Daemon }

func (l localDaemon) AppliedOffset() uint64 {
	view, _ := l.d.loop.Views().Current()
	return view.AppliedOffset
}

func (l localDaemon) PollReceived(in ownership.PollReceived) { l.d.loop.TrySubmit(in) }

func (l localDaemon) ImportWindowPart(server string, part dedup.TransferPart) bool {
	return l.d.homes.ImportWindowPart(server, part)
}

func (l localDaemon) Status(ctx context.Context) *peerv1.StatusResponse {
	return l.d.status(ctx)
}

func (l localDaemon) Timeline(_ context.Context, r *peerv1.TimelineRequest) (*peerv1.TimelineResponse, error) {
	return l.d.selectEvents(r)
}

func (d *Daemon) peerRoutes() http.Handler {
	r := chi.NewRouter()
	server := peer.NewServer(d.incarnation, localDaemon{d}, d.loop.RecordHistory(), d.now, d.sink.clock)
	r.Handle(peerv1.PeerPathPrefix+"*", peer.NewHandler(peer.Service{
		Poller: server, StatusReporter: server, TimelineReader: server, WindowReceiver: server,
	}, peer.Options{}))
	r.HandleFunc(frontend.ForwardPrefix, d.frontend.PeerHandler().ServeHTTP)
	r.HandleFunc(frontend.ForwardPrefix+"/*", d.frontend.PeerHandler().ServeHTTP)
	return r
}

// retrier implements frontend.Retrier with one retry policy per service.
type retrier struct {
	now      func() time.Duration
	mu       sync.Mutex
	policies map[string]*retry.Policy
}

func newRetrier(now func() time.Duration) *retrier {
	return &retrier{now: now, policies: map[string]*retry.Policy{}}
}

func (r *retrier) policy(service string) *retry.Policy {
	p := r.policies[service]
	if p == nil {
		p = &retry.Policy{}
		r.policies[service] = p
	}
	return p
}

// RecordFirstAttempt implements frontend.Retrier.
func (r *retrier) RecordFirstAttempt(req *frontend.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.policy(req.Service).RecordRequest(r.now())
}

// RetryDelay implements frontend.Retrier.
func (r *retrier) RetryDelay(req *frontend.Request, tries frontend.AttemptCounts, err *frontend.RequestError, now time.Duration) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delay, denial := r.policy(req.Service).DecideRetry(now, retry.Attempt{
		Number: tries.Total, WrittenAttempts: tries.PossiblySent, Execution: executionStatus(err), Repeatable: req.Repeatable,
		BodyReplayable: req.Body.CanOpen(), Remaining: req.Deadline - now,
	}, rand.Float64())
	return delay, denial == ""
}

func executionStatus(err *frontend.RequestError) retry.ExecutionStatus {
	switch {
	case err.CertainlyNotSent():
		return retry.NotWritten
	case err.Outcome == callerapi.OutcomeNotRun:
		return retry.Rejected
	}
	return retry.MayHaveRun
}
