package frontend

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"parsleyrelay.example/api/callerapi"
	"parsleyrelay.example/core/ownership"
)

// ViewSource provides the current view of the ownership state machine.
type ViewSource interface {
	// Current returns the view and a channel that is closed when it is replaced.
	Current() (*ownership.View, <-chan struct{})
}

// LocalExecutor runs requests on the servers whose home is this daemon.
type LocalExecutor interface {
	// Execute queues the request and sends it to the server of the route. Without a
	// response, the RequestError says whether the request may have run.
	Execute(ctx context.Context, req *Request, route ownership.Route) (*Response, *RequestError)
}

// Forwarder sends requests to the home of a server on another host.
type Forwarder interface {
	Forward(ctx context.Context, req *Request, peerURL string) (*Response, *RequestError)
}

// Retrier decides whether a failed request is retried. It is safe for concurrent use.
type Retrier interface {
	// RecordFirstAttempt is called before the first attempt of each request.
	RecordFirstAttempt(req *Request)
	// RetryDelay returns the delay before the next attempt of a request that failed
	// with err; ok is false if it is not to be retried.
	RetryDelay(req *Request, tries AttemptCounts, err *RequestError, now time.Duration) (delay time.Duration, ok bool)
}

// AttemptCounts counts the attempts of a request so far.
type AttemptCounts struct {
	Total        int
	PossiblySent int // attempts that were or may have been sent to a server, including refused ones
}

// Observer receives the outcome, retries and waiting times of requests.
type Observer interface {
	RequestEnded(req *Request, outcome callerapi.Outcome, reason callerapi.Reason, took time.Duration)
	RequestRetried(req *Request, reason callerapi.Reason)
	// RequestWaitedForRoute is called with the time that a request waited for its key
	// to have an owner that serves.
	RequestWaitedForRoute(req *Request, waited time.Duration)
}

// Config holds what a Handler needs.
type Config struct {
	Views                 ViewSource
	Executor              LocalExecutor
	Forwarder             Forwarder
	Retrier               Retrier
	Observer              Observer
	Now                   func() time.Duration // monotonic, since the start of the process
	MaxConcurrentRequests int64                // caller and peer listener together
	MaxHeaderBytes        int                  // request line and header fields
	// Ready reports whether the daemon has read the log up to the time of its own
	// start. Before that, an existing service could be reported as unknown.
	Ready    func() bool
	Draining func() bool
}

// Handler serves the caller listener and the forwarding path of the peer listener.
type Handler struct {
	cfg            Config
	activeRequests atomic.Int64
}

// NewHandler returns a handler.
func NewHandler(cfg Config) *Handler {
	return &Handler{cfg: cfg}
}

// ActiveRequests returns the number of requests in progress.
func (h *Handler) ActiveRequests() int64 { return h.activeRequests.Load() }

// HealthPath is the path at which the platform's load balancer checks the host's health.
const HealthPath = "/healthz"

// ForwardPrefix is the path prefix of forwarded requests on the peer listener.
const ForwardPrefix = "/forward"

// CallerHandler returns the handler of the caller listener.
func (h *Handler) CallerHandler() http.Handler {
	r := chi.NewRouter()
	r.Get(HealthPath, h.serveHealth)
	r.HandleFunc("/*", func(w http.ResponseWriter, r *http.Request) { h.serveRequest(w, r, false) })
	return r
}

// PeerHandler returns the handler for ForwardPrefix of the peer listener.
func (h *Handler) PeerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := decodeForwarded(r); err != nil {
			writeError(w, err, r.Header.Get(callerapi.HeaderRequestID))
			return
		}
		h.serveRequest(w, r, true)
	})
}

// serveHealth fails as soon as the daemon drains, so that the load balancer stops
// opening connections before the listener closes.
func (h *Handler) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if h.cfg.Draining() || !h.cfg.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

func (h *Handler) serveRequest(w http.ResponseWriter, r *http.Request, forwarded bool) {
	receivedAt := h.cfg.Now()
	if h.activeRequests.Add(1) > h.cfg.MaxConcurrentRequests {
		h.activeRequests.Add(-1)
		err := NewRefusal(callerapi.ReasonOverloaded, time.Second, "the host has reached its limit of %d concurrent requests", h.cfg.MaxConcurrentRequests)
		writeError(w, err, requestID(r))
		return
	}
	defer h.activeRequests.Add(-1)
	if size := headerSize(r); !forwarded && size > h.cfg.MaxHeaderBytes {
		writeError(w, newNotRunError(http.StatusRequestHeaderFieldsTooLarge, callerapi.ReasonHeaderTooLarge,
			"the request line and headers have %d bytes, %d are allowed", size, h.cfg.MaxHeaderBytes), requestID(r))
		return
	}
	view, _ := h.cfg.Views.Current()
	if !h.cfg.Ready() {
		writeError(w, NewRefusal(callerapi.ReasonNotReady, time.Second, "the host has not finished loading its state"), requestID(r))
		return
	}
	req, err := parseRequest(r, view, receivedAt)
	if err != nil {
		writeError(w, err, requestID(r))
		return
	}
	if req.Forwarded = forwarded; forwarded {
		// Without the header the offset is 0, and a host that is not the home refuses
		// the request without waiting.
		req.ForwarderOffset, _ = strconv.ParseUint(r.Header.Get(headerAppliedOffset), 10, 64)
		r.Header.Del(headerAppliedOffset)
	}
	ctx, cancel := context.WithTimeout(r.Context(), req.Deadline-receivedAt)
	defer cancel()
	response, err := h.runWithRetries(ctx, req)
	if err != nil {
		h.cfg.Observer.RequestEnded(req, err.Outcome, err.Reason, h.cfg.Now()-receivedAt)
		if !forwarded && err.RefuserOffset > 0 {
			err.RefuserOffset = 0 // meaningful to peers only
		}
		writeError(w, err, req.ID)
		return
	}
	h.cfg.Observer.RequestEnded(req, response.Outcome, response.Reason, h.cfg.Now()-receivedAt)
	writeResponse(w, response, req.ID)
}

// headerSize returns the size of the request line and header fields in bytes.
func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

// runWithRetries attempts a request until there is a response or a final error, or
// the deadline passes. Only the entry host that the caller connected to retries, so
// that retries don't multiply across hops.
func (h *Handler) runWithRetries(ctx context.Context, req *Request) (*Response, *RequestError) {
	h.cfg.Retrier.RecordFirstAttempt(req)
	var mayHaveRun *RequestError // of an earlier attempt
	for attempts := (AttemptCounts{Total: 1}); ; attempts.Total++ {
		response, err := h.runAttempt(ctx, req)
		if err == nil {
			return response, nil
		}
		if req.Forwarded || !isRetryable(req, err) {
			return nil, finalError(mayHaveRun, err)
		}
		if !err.CertainlyNotSent() {
			attempts.PossiblySent++
		}
		delay, ok := h.cfg.Retrier.RetryDelay(req, attempts, err, h.cfg.Now())
		if !ok {
			return nil, finalError(mayHaveRun, err)
		}
		if err.Outcome == callerapi.OutcomeUnknown {
			mayHaveRun = err
		}
		if h.waitBeforeRetry(ctx, delay, err.RefuserOffset) != nil {
			return nil, finalError(mayHaveRun, err)
		}
		h.cfg.Observer.RequestRetried(req, err.Reason)
	}
}

// catchUpTimeout bounds the wait for log records that another host has applied.
const catchUpTimeout = 500 * time.Millisecond

// waitBeforeRetry waits for delay. If this host has not yet applied the log up to
// appliedOffset, it waits for that instead, since the missing records contain the
// key's new owner.
func (h *Handler) waitBeforeRetry(ctx context.Context, delay time.Duration, appliedOffset uint64) error {
	if view, _ := h.cfg.Views.Current(); view.AppliedOffset < appliedOffset {
		ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
		defer cancel()
		for view, changed := h.cfg.Views.Current(); view.AppliedOffset < appliedOffset; view, changed = h.cfg.Views.Current() {
			if waitForView(ctx, changed) != nil {
				break
			}
		}
		delay = 0
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// finalError combines the errors of all attempts: a request is reported as not run
// only if none of its attempts may have run.
func finalError(mayHaveRun, last *RequestError) *RequestError {
	if mayHaveRun != nil && last.Outcome == callerapi.OutcomeNotRun {
		return mayHaveRun
	}
	return last
}

// isRetryable reports whether err is a failure of routing or of the server after
// which a request can be retried. A request that may have run is retried only if it
// is repeatable.
func isRetryable(req *Request, err *RequestError) bool {
	if !req.Body.CanOpen() {
		return false
	}
	switch err.Outcome {
	case callerapi.OutcomeUnknown:
		return req.Repeatable && err.Reason != callerapi.ReasonAnswerTimeout
	case callerapi.OutcomeNotRun:
		switch err.Reason {
		case callerapi.ReasonNoOwner, callerapi.ReasonNoLease, callerapi.ReasonZoneUnreachable,
			callerapi.ReasonConnectFailed, callerapi.ReasonServerRefused, callerapi.ReasonDraining,
			callerapi.ReasonNotReady:
			return true
		}
	}
	return false
}

// runAttempt makes one attempt of runWithRetries: it waits until the key has an owner that serves, and runs the request
// locally or forwards it to the owner's home.
func (h *Handler) runAttempt(ctx context.Context, req *Request) (*Response, *RequestError) {
	totalWait := time.Duration(0)
	defer func() {
		if totalWait > 0 {
			h.cfg.Observer.RequestWaitedForRoute(req, totalWait)
		}
	}()
	for {
		view, changed := h.cfg.Views.Current()
		route, ok := view.Lookup(req.Service, req.KeyHash, h.cfg.Now())
		switch {
		case ok && route.Dispatchable:
			response, err := h.cfg.Executor.Execute(ctx, req, route)
			if err == nil || err != errReroute {
				return response, err
			}
		case ok && !route.ServerView.Local && req.Forwarded && view.AppliedOffset >= req.ForwarderOffset:
			err := NewRefusal(callerapi.ReasonNoOwner, time.Second, "this host is not the home of Server/%s", route.Server)
			err.RefuserOffset = view.AppliedOffset
			return nil, err
		case ok && !route.ServerView.Local && !req.Forwarded && route.HomeURL != "":
			req.ForwarderOffset = view.AppliedOffset
			return h.cfg.Forwarder.Forward(ctx, req, route.HomeURL)
		}
		waitStart := h.cfg.Now()
		err := waitForView(ctx, changed)
		totalWait += h.cfg.Now() - waitStart
		if err != nil {
			return nil, noRouteError(ctx, req, route, ok)
		}
	}
}

// errReroute is returned by a LocalExecutor for a request that it has not sent because
// the server's queue or lease has ended or the slice is moving. It is compared by
// identity and never reaches the caller.
var errReroute = NewRefusal(callerapi.ReasonNoOwner, time.Second, "the key is moving to another server")

// RerouteError returns the error with which a LocalExecutor requests another route
// lookup for a request that it has not sent.
func RerouteError() *RequestError { return errReroute }

// viewRecheckInterval bounds the wait for a new view, since a lease can expire without
// a change of the view.
const viewRecheckInterval = 50 * time.Millisecond

func waitForView(ctx context.Context, changed <-chan struct{}) error {
	timer := time.NewTimer(viewRecheckInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-changed:
	case <-timer.C:
	}
	return nil
}

// noRouteError returns the error for a key that had no serving owner until the deadline.
func noRouteError(ctx context.Context, req *Request, route ownership.Route, found bool) *RequestError {
	if errors.Is(ctx.Err(), context.Canceled) {
		return newNotRunError(499, callerapi.ReasonCallerGone, "the caller closed the connection") // 499: client closed request
	}
	switch {
	case !found:
		return NewRefusal(callerapi.ReasonNoOwner, time.Second, "Service/%s has no slices yet", req.Service)
	case route.ServerView.Local:
		return NewRefusal(callerapi.ReasonNoLease, time.Second, "this host may not dispatch to Server/%s (state %s): its lease has ended or the slice is moving", route.Server, route.ServerView.State)
	}
	return NewRefusal(callerapi.ReasonNoOwner, time.Second, "this host found no home of Server/%s in time", route.Server)
}

func trimForwardPrefix(path string) string {
	path = strings.TrimPrefix(path, ForwardPrefix)
	if path == "" {
		return "/"
	}
	return path
}
