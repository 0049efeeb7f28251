// Package daemon assembles and runs parsleyrelayd, the daemon of an entry host: it
// connects the platform log and host list, the ownership state machine, the request
// queues and the listeners.
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
	"parsleyrelay.example/relay/linger"
	"parsleyrelay.example/relay/platform"
)

// Options configure a daemon. The listeners are already open, so that their addresses
// are known.
type Options struct {
	Host           string
	Zone           string
	PeerURL        string // advertised to other daemons
	Listeners      Listeners
	Platform       platform.Options
	Logger         log.Logger
	LogRetention   time.Duration // retention of the platform log
	MaxRequests    int64
	MaxHeaderBytes int
	DrainTimeout   time.Duration
	OperatorToken  string
	AnonymousRead  bool
	CallerTLS      *tls.Config // of the caller and operator listeners, nil for plaintext
	PeerServerTLS  *tls.Config // of the peer listener, nil for plaintext
	PeerTLS        *tls.Config // for calls to other daemons, nil for plaintext
	// PolicyOff replaces rank scheduling by one FIFO queue per server, as a baseline
	// for measurements.
	PolicyOff bool
}

// Listeners are the daemon's TCP sockets.
type Listeners struct {
	Caller   net.Listener
	Peer     net.Listener
	Operator net.Listener
	Metrics  net.Listener // nil for none
}

// Daemon is the daemon of one entry host.
type Daemon struct {
	opts        Options
	incarnation string
	startedAt   time.Time

	platformClient       *platform.Client
	serverClients        *serverClientPool
	peerClients          *peerClientPool
	loop                 *control.Loop
	homes                *home.Manager
	frontend             *frontend.Handler
	sink                 *eventSink
	loads                serverLoads
	reportedControlBytes controlByteCounts
	draining             atomic.Bool
	wasReady             atomic.Bool
	// drainStarted is closed when the daemon begins to drain.
	drainStarted chan struct{}

	httpServers []*http.Server
	listeners   []*linger.Listener // of httpServers
	background  sync.WaitGroup
}

// New returns a daemon; Run starts it.
func New(opts Options) (*Daemon, error) {
	d := &Daemon{opts: opts, incarnation: uuid.NewString(), startedAt: time.Now(), drainStarted: make(chan struct{})}
	if err := d.assemble(); err != nil {
		return nil, err
	}
	return d, nil
}

// now returns the monotonic time since the daemon was created.
func (d *Daemon) now() time.Duration { return time.Since(d.startedAt) }

// Run serves until ctx ends and then drains: it fails the health check, hands its homes
// over to other daemons and lets requests in flight finish. Draining takes at most the
// drain timeout.
func (d *Daemon) Run(ctx context.Context) error {
	// Unlike ctx, workCtx does not end before draining has finished.
	workCtx, stop := context.WithCancel(context.Background())
	defer stop()
	d.background.Go(func() { d.loop.Run(workCtx) })
	d.background.Go(func() { d.readLog(workCtx) })
	d.background.Go(func() { d.pollHosts(workCtx) })
	d.background.Go(func() { d.reportLoad(workCtx) })
	d.background.Go(func() { d.recordGauges(workCtx) })
	serveErrors := d.serve()
	d.sink.Emit(event.Event{Code: event.ProcessStarted, Detail: "incarnation " + d.incarnation})

	var err error
	select {
	case <-ctx.Done():
		d.drain(workCtx)
	case err = <-serveErrors:
	case <-d.loop.Removed():
		err = &RemovedError{Incarnation: d.incarnation}
	}
	d.close()
	stop()
	d.homes.Stop()
	d.background.Wait()
	d.serverClients.close()
	d.peerClients.close()
	d.platformClient.Close()
	d.sink.Emit(event.Event{Code: event.ProcessStopped})
	return err
}

// RemovedError reports that the other daemons removed this one from the cluster
// members, for example after the process was paused for many seconds. A new Daemon,
// with a new incarnation, can be started in its place.
type RemovedError struct{ Incarnation string }

// Error implements error.
func (e *RemovedError) Error() string {
	return "incarnation " + e.Incarnation + " was removed from the cluster members"
}

// loadBalancerDelay is the time between the health check starting to fail and the
// daemon giving up its homes, so that the load balancer stops sending new connections
// first.
const loadBalancerDelay = 500 * time.Millisecond

func (d *Daemon) drain(workCtx context.Context) {
	d.draining.Store(true)
	close(d.drainStarted)
	d.sink.Emit(event.Event{Code: event.ProcessDraining})
	ctx, cancel := context.WithTimeout(workCtx, d.opts.DrainTimeout)
	defer cancel()
	sleep(ctx, loadBalancerDelay)
	d.loop.Submit(ctx, ownership.DrainRequested{})
	select {
	case <-d.loop.Drained():
	case <-ctx.Done():
	}
	// Until Shutdown closes their connections, callers can still send requests, which
	// are forwarded to the new homes.
	d.shutDownServers(ctx)
}

// shutDownServers closes the listeners, and each connection once its requests are answered
// and its peer has received the responses.
func (d *Daemon) shutDownServers(ctx context.Context) {
	for _, server := range d.httpServers {
		_ = server.Shutdown(ctx)
	}
	for _, l := range d.listeners {
		if err := l.Wait(ctx); err != nil {
			d.sink.emitAdapterFailure("wait for connections to close", err)
			return
		}
	}
}

func (d *Daemon) close() {
	for _, server := range d.httpServers {
		_ = server.Close()
	}
}

// Timeouts of connections. Reading a body is bounded by the deadline of the
// request.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
)

func (d *Daemon) serve() <-chan error {
	serveErrors := make(chan error, 4)
	d.serveListener(d.opts.Listeners.Caller, d.opts.CallerTLS, d.frontend.CallerHandler(), serveErrors)
	d.serveListener(d.opts.Listeners.Operator, d.opts.CallerTLS, d.operatorRoutes(), serveErrors)
	d.serveListener(d.opts.Listeners.Metrics, nil, d.metricsRoutes(), serveErrors)
	// The peer listener comes last, since listeners are shut down in this order: a
	// draining daemon answers its peers until the requests of callers have finished.
	d.serveListener(d.opts.Listeners.Peer, d.opts.PeerServerTLS, d.peerRoutes(), serveErrors)
	return serveErrors
}

// serveListener serves the connections of a listener, without TLS if config is nil. It does
// nothing if the listener is nil.
func (d *Daemon) serveListener(l net.Listener, config *tls.Config, h http.Handler, serveErrors chan<- error) {
	if l == nil {
		return
	}
	lingering := linger.NewListener(l)
	d.listeners = append(d.listeners, lingering)
	if l = lingering; config != nil {
		l = tls.NewListener(l, config)
	}
	httpServer := &http.Server{
		// Twice the limit, so that the handler can refuse slightly larger headers
		// with a reason. net/http answers even larger ones with status 431.
		Handler: h, MaxHeaderBytes: 2 * d.opts.MaxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		ErrorLog: stdlog.New(log.NewStdlibAdapter(level.Error(libraryLogger(d.opts.Logger))), "", 0),
	}
	d.httpServers = append(d.httpServers, httpServer)
	d.background.Go(func() {
		if err := httpServer.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			serveErrors <- err
		}
	})
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
