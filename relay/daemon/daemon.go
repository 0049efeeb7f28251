// Package daemon wires the parts of parsleyrelayd together: platform log and
// host list, ownership machine, homes and listeners.
package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/google/uuid"

	"parsleyrelay.example/core/event"
	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/relay/control"
	"parsleyrelay.example/relay/frontend"
	"parsleyrelay.example/relay/home"
	"parsleyrelay.example/relay/platform"
)

// Options describe one daemon. The listeners are open already, so that their
// addresses are known.
type Options struct {
	Host           string
	Zone           string
	PeerURL        string // advertised to other daemons
	Listeners      Listeners
	Platform       platform.Options
	Logger         log.Logger
	LogRetention   time.Duration // of the platform log
	MaxRequests    int64
	MaxHeaderBytes int // bytes
	DrainTimeout   time.Duration
	OperatorToken  string
	AnonymousRead  bool
	PeerTLS        *tls.Config // of calls to other daemons, nil for plaintext
	// PolicyOff is the baseline of measurements: one FIFO queue per server.
	PolicyOff bool
}

// Listeners are the daemon's sockets.
type Listeners struct {
	Caller   net.Listener
	Peer     net.Listener
	Operator net.Listener
	Metrics  net.Listener // nil for none
}

// Daemon is one running daemon.
type Daemon struct {
	opts        Options
	incarnation string
	started     time.Time

	client   *platform.Client
	servers  *servers
	peers    *peers
	loop     *control.Loop
	homes    *home.Manager
	frontend *frontend.Handler
	sink     *sink
	loads    serverLoads
	traffic  trafficCount
	draining atomic.Bool
	wasReady atomic.Bool
	// drainStarted is closed when the daemon begins to drain.
	drainStarted chan struct{}

	listeners []*http.Server
	duties    sync.WaitGroup
}

// New returns a daemon that does not run yet.
func New(opts Options) (*Daemon, error) {
	d := &Daemon{opts: opts, incarnation: uuid.NewString(), started: time.Now(), drainStarted: make(chan struct{})}
	if err := d.assemble(); err != nil {
		return nil, err
	}
	return d, nil
}

// now is the process time. time.Since uses the monotonic clock.
func (d *Daemon) now() time.Duration { return time.Since(d.started) }

// Run serves until ctx ends, then drains: the health check fails, homes are
// handed over, requests in flight finish. It returns after at most the drain
// timeout.
func (d *Daemon) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	d.duties.Go(func() { d.loop.Run(work) })
	d.duties.Go(func() { d.readLog(work) })
	d.duties.Go(func() { d.pollHosts(work) })
	d.duties.Go(func() { d.reportLoad(work) })
	d.duties.Go(func() { d.recordGauges(work) })
	failed := d.serve()
	d.sink.Emit(event.Event{Code: event.ProcessStarted, Detail: "incarnation " + d.incarnation})

	var err error
	select {
	case <-ctx.Done():
		d.drain(work)
	case err = <-failed:
	case <-d.loop.Removed():
		err = &RemovedError{Incarnation: d.incarnation}
	}
	d.close()
	stop()
	d.homes.Stop()
	d.duties.Wait()
	d.servers.close()
	d.peers.close()
	d.client.Close()
	d.sink.Emit(event.Event{Code: event.ProcessStopped})
	return err
}

// RemovedError reports that the other daemons removed this one from the members,
// as after a pause of many seconds. A new Daemon, with a new incarnation, can
// take its place.
type RemovedError struct{ Incarnation string }

// Error implements error.
func (e *RemovedError) Error() string {
	return "incarnation " + e.Incarnation + " was removed from the members"
}

// balancerNotice is how long the health check fails before the daemon gives
// its homes up, so that the balancer stops sending new connections first.
const balancerNotice = 500 * time.Millisecond

func (d *Daemon) drain(work context.Context) {
	d.draining.Store(true)
	close(d.drainStarted)
	d.sink.Emit(event.Event{Code: event.ProcessDraining})
	ctx, cancel := context.WithTimeout(work, d.opts.DrainTimeout)
	defer cancel()
	pause(ctx, balancerNotice)
	d.loop.Submit(ctx, ownership.DrainRequested{})
	select {
	case <-d.loop.Drained():
	case <-ctx.Done():
	}
	// Callers with open connections may still send requests, which are forwarded
	// to the new homes, until Shutdown closes the connections.
	for _, server := range d.listeners {
		_ = server.Shutdown(ctx)
	}
}

func (d *Daemon) close() {
	for _, server := range d.listeners {
		_ = server.Close()
	}
}

// Timeouts of connections. Bodies have no timeout of their own; the request's
// deadline bounds them.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
)

func (d *Daemon) serve() <-chan error {
	failed := make(chan error, 4)
	serve := func(l net.Listener, h http.Handler) {
		if l == nil {
			return
		}
		server := &http.Server{
			// Twice the limit, so that the handler can refuse with a reason what is
			// somewhat too large; beyond that net/http answers 431 by itself.
			Handler: h, MaxHeaderBytes: 2 * d.opts.MaxHeaderBytes,
			ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
			ErrorLog: stdlog.New(log.NewStdlibAdapter(level.Error(libraryLogger(d.opts.Logger))), "", 0),
		}
		d.listeners = append(d.listeners, server)
		d.duties.Go(func() {
			if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		})
	}
	serve(d.opts.Listeners.Caller, d.frontend.CallerHandler())
	serve(d.opts.Listeners.Operator, d.operatorRoutes())
	serve(d.opts.Listeners.Metrics, d.metricsRoutes())
	// The peer listener is last, so that a draining daemon answers its peers
	// while the callers' requests finish.
	serve(d.opts.Listeners.Peer, d.peerRoutes())
	return failed
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
