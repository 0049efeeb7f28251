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

// ViewSource gives the current view of the ownership machine.
type ViewSource interface {
	// Current returns the view and a channel that is closed when it is replaced.
	Current() (*ownership.View, <-chan struct{})
}

// LocalExecutor runs requests on the servers whose home this daemon is.
type LocalExecutor interface {
	// Execute queues the request and sends it to the server of the route. A
	// RequestError says what is known when there is no answer.
	Execute(ctx context.Context, req *Request, route ownership.Route) (*Response, *RequestError)
}

// Forwarder sends requests to the home of a server on another host.
type Forwarder interface {
	Forward(ctx context.Context, req *Request, peerURL string) (*Response, *RequestError)
}

// Retrier decides whether a request that ended with err is tried again, and
// after which delay. It is safe for concurrent use.
type Retrier interface {
	// RecordFirstAttempt notes a first attempt.
	RecordFirstAttempt(req *Request)
	RetryDelay(req *Request, tries AttemptCounts, err *RequestError, now time.Duration) (delay time.Duration, ok bool)
}

// AttemptCounts counts the attempts of a request so far.
type AttemptCounts struct {
	Total           int
	PossiblyWritten int // were or may have been written to a server
}

// Observer is told how requests ended.
type Observer interface {
	RequestEnded(req *Request, outcome callerapi.Outcome, reason callerapi.Reason, took time.Duration)
	RequestRetried(req *Request, reason callerapi.Reason)
	// RequestWaitedForRoute is told how long a request waited for a serving owner of its key.
	RequestWaitedForRoute(req *Request, waited time.Duration)
}

// Config holds what a Handler needs.
type Config struct {
	Views                 ViewSource
	Executor              LocalExecutor
	Forwarder             Forwarder
	Retrier               Retrier
	Observer              Observer
	Now                   func() time.Duration // process time
	MaxConcurrentRequests int64                // requests at a time over both listeners
	MaxHeaderBytes        int                  // bytes of request headers
	// Ready is false until the daemon has read the log up to its own start, so
	// that an existing service is never reported as unknown.
	Ready    func() bool
	Draining func() bool
}

// Handler serves the caller listener and the forwarding path of the peer listener.
type Handler struct {
	cfg    Config
	active atomic.Int64
}

// NewHandler returns a handler.
func NewHandler(cfg Config) *Handler {
	return &Handler{cfg: cfg}
}

// ActiveRequests returns the number of requests in progress.
func (h *Handler) ActiveRequests() int64 { return h.active.Load() }

// HealthPath is where the platform's balancer asks for the health of the host.
const HealthPath = "/healthz"

// ForwardPrefix is the path prefix of forwarded requests on the peer listener.
const ForwardPrefix = "/forward"

// CallerHandler returns the handler of the caller listener.
func (h *Handler) CallerHandler() http.Handler {
	r := chi.NewRouter()
	r.Get(HealthPath, h.health)
	r.HandleFunc("/*", func(w http.ResponseWriter, r *http.Request) { h.serve(w, r, false) })
	return r
}

// PeerHandler returns the handler for ForwardPrefix of the peer listener.
func (h *Handler) PeerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := decodeForwarded(r); err != nil {
			writeError(w, err, r.Header.Get(callerapi.HeaderRequestID))
			return
		}
		h.serve(w, r, true)
	})
}

// health fails as soon as the daemon drains, so that the balancer stops sending
// new connections before the listener closes.
func (h *Handler) health(w http.ResponseWriter, _ *http.Request) {
	if h.cfg.Draining() || !h.cfg.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, forwarded bool) {
	arrived := h.cfg.Now()
	if h.active.Add(1) > h.cfg.MaxConcurrentRequests {
		h.active.Add(-1)
		err := NewRefusal(callerapi.ReasonOverloaded, time.Second, "the host serves %d requests, its limit", h.cfg.MaxConcurrentRequests)
		writeError(w, err, requestID(r))
		return
	}
	defer h.active.Add(-1)
	if size := headerBytes(r); !forwarded && size > h.cfg.MaxHeaderBytes {
		writeError(w, badRequest(http.StatusRequestHeaderFieldsTooLarge, callerapi.ReasonHeaderTooLarge,
			"the request line and headers have %d bytes, %d are allowed", size, h.cfg.MaxHeaderBytes), requestID(r))
		return
	}
	view, _ := h.cfg.Views.Current()
	if !h.cfg.Ready() {
		writeError(w, NewRefusal(callerapi.ReasonNotReady, time.Second, "the host has no complete state yet"), requestID(r))
		return
	}
	req, err := parse(r, view, arrived)
	if err != nil {
		writeError(w, err, requestID(r))
		return
	}
	if req.Forwarded = forwarded; forwarded {
		// Without the header 0 remains, and the home refuses at once.
		req.AppliedOffset, _ = strconv.ParseUint(r.Header.Get(headerApplied), 10, 64)
		r.Header.Del(headerApplied)
	}
	ctx, cancel := context.WithTimeout(r.Context(), req.Deadline-arrived)
	defer cancel()
	answer, err := h.run(ctx, req)
	if err != nil {
		h.cfg.Observer.RequestEnded(req, err.Outcome, err.Reason, h.cfg.Now()-arrived)
		if !forwarded && err.AppliedOffset > 0 {
			err.AppliedOffset = 0 // of no use to callers
		}
		writeError(w, err, req.ID)
		return
	}
	h.cfg.Observer.RequestEnded(req, answer.Outcome, answer.Reason, h.cfg.Now()-arrived)
	writeAnswer(w, answer, req.ID)
}

// headerBytes is the size of the request line and the header fields.
func headerBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

// run tries a request until it has an answer, its outcome is final, or the
// deadline passes. Only the entry host that the caller reached retries, so that
// retries never multiply over hops.
func (h *Handler) run(ctx context.Context, req *Request) (*Response, *RequestError) {
	h.cfg.Retrier.RecordFirstAttempt(req)
	var unknown *RequestError // of an earlier attempt
	for tries := (AttemptCounts{Total: 1}); ; tries.Total++ {
		answer, err := h.tryOnce(ctx, req)
		if err == nil {
			return answer, nil
		}
		if req.Forwarded || !mayTryAgain(req, err) {
			return nil, overAttempts(unknown, err)
		}
		if !err.Unwritten() {
			tries.PossiblyWritten++
		}
		delay, ok := h.cfg.Retrier.RetryDelay(req, tries, err, h.cfg.Now())
		if !ok {
			return nil, overAttempts(unknown, err)
		}
		if err.Outcome == callerapi.Unknown {
			unknown = err
		}
		if h.pause(ctx, delay, err.AppliedOffset) != nil {
			return nil, overAttempts(unknown, err)
		}
		h.cfg.Observer.RequestRetried(req, err.Reason)
	}
}

// catchUpTimeout bounds the wait for records that another host has applied.
const catchUpTimeout = 500 * time.Millisecond

// pause waits before a retry: until this host has applied the log up to the given
// offset if it is behind, since that brings the new owner, or else for delay.
func (h *Handler) pause(ctx context.Context, delay time.Duration, applied uint64) error {
	if view, _ := h.cfg.Views.Current(); view.AppliedOffset < applied {
		ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
		defer cancel()
		for view, changed := h.cfg.Views.Current(); view.AppliedOffset < applied; view, changed = h.cfg.Views.Current() {
			if waitForChange(ctx, changed) != nil {
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

// overAttempts returns the error for all attempts of a request: it has not run
// only if no attempt may have run.
func overAttempts(unknown, last *RequestError) *RequestError {
	if unknown != nil && last.Outcome == callerapi.NotRun {
		return unknown
	}
	return last
}

// mayTryAgain allows another attempt after a failure of the route or of the
// server. A request that may have run is sent again only when it is repeatable.
func mayTryAgain(req *Request, err *RequestError) bool {
	if !req.Body.Replayable() {
		return false
	}
	switch err.Outcome {
	case callerapi.Unknown:
		return req.Repeatable && err.Reason != callerapi.ReasonAnswerTimeout
	case callerapi.NotRun:
		switch err.Reason {
		case callerapi.ReasonNoOwner, callerapi.ReasonNoLease, callerapi.ReasonZoneUnreachable,
			callerapi.ReasonConnectFailed, callerapi.ReasonServerRefused, callerapi.ReasonDraining,
			callerapi.ReasonNotReady:
			return true
		}
	}
	return false
}

// tryOnce waits until the key has a serving owner and runs the request there.
func (h *Handler) tryOnce(ctx context.Context, req *Request) (*Response, *RequestError) {
	waited := time.Duration(0)
	defer func() {
		if waited > 0 {
			h.cfg.Observer.RequestWaitedForRoute(req, waited)
		}
	}()
	for {
		view, changed := h.cfg.Views.Current()
		route, ok := view.Lookup(req.Service, req.KeyHash, h.cfg.Now())
		switch {
		case ok && route.Dispatchable:
			answer, err := h.cfg.Executor.Execute(ctx, req, route)
			if err == nil || err != errRerouted {
				return answer, err
			}
		case ok && !route.ServerView.Local && req.Forwarded && view.AppliedOffset >= req.AppliedOffset:
			err := NewRefusal(callerapi.ReasonNoOwner, time.Second, "this host is not the home of Server/%s", route.Server)
			err.AppliedOffset = view.AppliedOffset
			return nil, err
		case ok && !route.ServerView.Local && !req.Forwarded && route.HomeURL != "":
			req.AppliedOffset = view.AppliedOffset
			return h.cfg.Forwarder.Forward(ctx, req, route.HomeURL)
		}
		began := h.cfg.Now()
		err := waitForChange(ctx, changed)
		waited += h.cfg.Now() - began
		if err != nil {
			return nil, refusal(ctx, req, route, ok)
		}
	}
}

// errRerouted tells that a request left the queue of a server without having
// been sent, because its slice is moving.
var errRerouted = NewRefusal(callerapi.ReasonNoOwner, time.Second, "the key is moving to another server")

// RerouteError returns the error by which a LocalExecutor gives a request back to routing.
func RerouteError() *RequestError { return errRerouted }

// recheckInterval bounds the wait for a new view, since a lease can also end by
// time alone.
const recheckInterval = 50 * time.Millisecond

func waitForChange(ctx context.Context, changed <-chan struct{}) error {
	timer := time.NewTimer(recheckInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-changed:
	case <-timer.C:
	}
	return nil
}

// refusal explains why a key had no serving owner until the deadline.
func refusal(ctx context.Context, req *Request, route ownership.Route, found bool) *RequestError {
	if errors.Is(ctx.Err(), context.Canceled) {
		return badRequest(499, callerapi.ReasonCallerGone, "the caller closed the connection")
	}
	switch {
	case !found:
		return NewRefusal(callerapi.ReasonNoOwner, time.Second, "Service/%s has no slices yet", req.Service)
	case route.ServerView.Local:
		return NewRefusal(callerapi.ReasonNoLease, time.Second, "Server/%s is %s", route.Server, route.ServerView.State)
	}
	return NewRefusal(callerapi.ReasonNoOwner, time.Second, "Server/%s has no home", route.Server)
}

func trimForwardPrefix(path string) string {
	path = strings.TrimPrefix(path, ForwardPrefix)
	if path == "" {
		return "/"
	}
	return path
}
