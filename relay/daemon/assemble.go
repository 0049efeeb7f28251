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

// assemble builds the parts. Nothing runs and nothing connects yet.
func (d *Daemon) assemble() error {
	clock := event.NewClock(time.Now)
	var err error
	if d.sink, err = newSink(d.opts, clock); err != nil {
		return err
	}
	d.client = platform.NewClient(d.opts.Platform)
	d.servers = newServers(d.opts.Host)
	d.peers = newPeers(d.incarnation, d.opts.PeerTLS, clock)
	views := control.NewViews()
	d.homes = home.NewManager(home.Config{
		Views: views, Backend: d.servers, Now: d.now, WallClock: time.Now,
		OnRingOverflow: d.sink.QueueOverflowed, OnDispatch: d.sink.queued, PolicyOff: d.opts.PolicyOff,
	})
	d.loop = control.NewLoop(control.Config{
		Machine: ownership.New(ownership.Config{
			Host: d.opts.Host, Incarnation: d.incarnation, Zone: d.opts.Zone, PeerURL: d.opts.PeerURL,
			NewID: uuid.NewString, WallClockMS: func() int64 { return time.Now().UnixMilli() },
			LogRetention: d.opts.LogRetention, Planner: planner{},
		}),
		Views: views, Log: logAppender{platform.NewPublisher(d.client), d.sink.appended},
		Peers: controlPeers{d}, Servers: d.servers, Homes: homesFollower{d},
		Events: d.sink, Now: d.now,
	})
	d.frontend = frontend.NewHandler(frontend.Config{
		Views: views, Executor: d.homes, Forwarder: frontend.NewPeerForwarder(d.peers, d.now),
		Retrier: newRetrier(d.now), Observer: d.sink, Now: d.now, MaxConcurrentRequests: d.opts.MaxRequests, MaxHeaderBytes: d.opts.MaxHeaderBytes,
		Ready: d.ready, Draining: d.draining.Load,
	})
	return nil
}

// ready reports whether the daemon has read the log up to the record of its own
// start. Once true it stays true, also when the daemon has left.
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

// homesFollower makes queues and clients follow a view.
type homesFollower struct{ d *Daemon }

func (f homesFollower) Quiesce(server string, slice ownership.SliceRef, done func()) {
	f.d.homes.Quiesce(server, slice, done)
}

func (f homesFollower) Resume(server string, slice ownership.SliceRef) {
	f.d.homes.Resume(server, slice)
}

func (f homesFollower) Update(view *ownership.View) {
	f.d.homes.Update(view)
	f.d.servers.follow(view)
	f.d.peers.follow(view)
}

// controlPeers implements control.PeerClient.
type controlPeers struct{ d *Daemon }

func (p controlPeers) Poll(ctx context.Context, poll ownership.SendPoll) (ownership.PollResponse, error) {
	answer, err := p.d.peers.calls.Poll(ctx, poll)
	if err == nil {
		p.d.loads.note(p.d.now(), answer.Loads)
	}
	return answer, err
}

// TransferIDs exports the window of a slice and gives it to the next home.
func (p controlPeers) TransferIDs(ctx context.Context, t ownership.TransferIDs) error {
	origin := dedup.OwnershipPeriod{Server: t.Server, Term: t.Term, Generation: t.Slice.Generation}
	parts, ok := p.d.homes.ExportWindow(t.Server, t.Slice, origin)
	if !ok {
		return errNothingToTransfer
	}
	for _, part := range parts {
		if t.TargetIncarnation == p.d.incarnation {
			if !p.d.homes.ImportWindowPart(t.TargetServer, part) {
				return errNothingToTransfer
			}
			continue
		}
		if err := p.d.peers.calls.SendTransferPart(ctx, t.TargetPeerURL, t.TargetServer, part); err != nil {
			return err
		}
	}
	return nil
}

type transferError struct{}

// Error implements error.
func (transferError) Error() string {
	return "the idempotency window of the slice is not active or has running requests"
}

var errNothingToTransfer = transferError{}

// peerDaemon implements peer.Daemon.
type peerDaemon struct{ d *Daemon }

func (p peerDaemon) AppliedOffset() uint64 {
	view, _ := p.d.loop.Views().Current()
	return view.AppliedOffset
}

func (p peerDaemon) PollReceived(in ownership.PollReceived) { p.d.loop.TrySubmit(in) }

func (p peerDaemon) ImportIDs(server string, part dedup.TransferPart) bool {
	return p.d.homes.ImportWindowPart(server, part)
}

func (p peerDaemon) Status(ctx context.Context) *peerv1.StatusResponse {
	return p.d.status(ctx)
}

func (p peerDaemon) Timeline(_ context.Context, r *peerv1.TimelineRequest) (*peerv1.TimelineResponse, error) {
	return p.d.timeline(r)
}

func (d *Daemon) peerRoutes() http.Handler {
	r := chi.NewRouter()
	server := peer.NewServer(d.incarnation, peerDaemon{d}, d.loop.RecordHistory(), d.now, d.sink.clock)
	r.Handle(peerv1.PeerPathPrefix+"*", peer.NewHandler(peer.Service{
		Poller: server, StatusReporter: server, TimelineReader: server, IDReceiver: server,
	}, peer.Options{}))
	r.HandleFunc(frontend.ForwardPrefix, d.frontend.PeerHandler().ServeHTTP)
	r.HandleFunc(frontend.ForwardPrefix+"/*", d.frontend.PeerHandler().ServeHTTP)
	return r
}

// retrier applies the retry policy per service.
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
	delay, refusal := r.policy(req.Service).DecideRetry(now, retry.Attempt{
		Number: tries.Total, WrittenAttempts: tries.PossiblyWritten, Execution: proofOf(err), Repeatable: req.Repeatable,
		BodyReplayable: req.Body.Replayable(), Remaining: req.Deadline - now,
	}, rand.Float64())
	return delay, refusal == ""
}

func proofOf(err *frontend.RequestError) retry.ExecutionStatus {
	switch {
	case err.Unwritten():
		return retry.NotWritten
	case err.Outcome == callerapi.NotRun:
		return retry.Rejected
	}
	return retry.MayHaveRun
}
