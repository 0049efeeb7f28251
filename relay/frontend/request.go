// Package frontend serves requests of callers. It parses a request and looks up the
// server that owns its key. If the server's home is this daemon, the request is
// executed locally, otherwise it is forwarded to the home, a daemon on another host.
package frontend

import (
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"parsleyrelay.example/api/callerapi"
	"parsleyrelay.example/core/keyspace"
	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/core/resource"
)

// Request is a caller's request with validated headers.
type Request struct {
	ID              string // for logs and the timeline
	Service         string
	Key             string
	KeyHash         uint64
	RankName        string
	Rank            *resource.Rank
	Deadline        time.Duration // in process time
	ReceivedAt      time.Duration // in process time
	Repeatable      bool
	IdempotencyKey  string // value of the header Idempotency-Key; empty if none
	FirstAttempt    bool   // the caller states that this is the first attempt with IdempotencyKey
	Caller          string // name or address, for fair queueing among callers
	Forwarded       bool   // received from a peer
	ForwarderOffset uint64 // applied log offset of the forwarding host when it forwarded the request
	Method          string
	Path            string // as sent to the server, with the query
	Header          http.Header
	Body            *Body
}

// MaxDeadline is the longest deadline that a caller may request.
const MaxDeadline = 5 * time.Minute

// MaxKeyBytes bounds the length of a key.
const MaxKeyBytes = 1024

// RequestError is an error response that the daemon itself generates.
type RequestError struct {
	Status     int
	Outcome    callerapi.Outcome
	Reason     callerapi.Reason
	Message    string
	RetryAfter time.Duration // 0 for none
	// RefuserOffset is the applied log offset of a home that refused the request
	// because it is not the home of the key; 0 otherwise.
	RefuserOffset uint64
}

// Error implements error.
func (e *RequestError) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Outcome, e.Reason, e.Message)
}

// CertainlyNotSent reports whether it is certain that no byte of the request was
// written to a server. A request that the server refused was sent, though it did not
// run.
func (e *RequestError) CertainlyNotSent() bool {
	return e.Outcome == callerapi.OutcomeNotRun && e.Reason != callerapi.ReasonServerRefused
}

func newNotRunError(status int, reason callerapi.Reason, format string, args ...any) *RequestError {
	return &RequestError{Status: status, Outcome: callerapi.OutcomeNotRun, Reason: reason, Message: fmt.Sprintf(format, args...)}
}

// NewRefusal returns an error for a request that has not run and that the caller may
// retry after retryAfter.
func NewRefusal(reason callerapi.Reason, retryAfter time.Duration, format string, args ...any) *RequestError {
	status := http.StatusServiceUnavailable
	if reason == callerapi.ReasonQueueFull {
		status = http.StatusTooManyRequests
	}
	return &RequestError{
		Status: status, Outcome: callerapi.OutcomeNotRun, Reason: reason,
		Message: fmt.Sprintf(format, args...), RetryAfter: retryAfter,
	}
}

// NewUnknownOutcome returns an error for a request that may have run.
func NewUnknownOutcome(status int, reason callerapi.Reason, format string, args ...any) *RequestError {
	return &RequestError{Status: status, Outcome: callerapi.OutcomeUnknown, Reason: reason, Message: fmt.Sprintf(format, args...)}
}

// target is the service, key, rank and path that a caller's request names.
type target struct {
	service, key, rank, path string
}

// parseRequest parses a request and validates it against the resources of view.
func parseRequest(r *http.Request, view *ownership.View, now time.Duration) (*Request, *RequestError) {
	t, err := resolveTarget(r, view)
	if err != nil {
		return nil, err
	}
	service, ok := lookupSpec[*resource.Service](view, resource.KindService, t.service)
	if !ok {
		return nil, newNotRunError(http.StatusNotFound, callerapi.ReasonUnknownService, "Service/%s does not exist", t.service)
	}
	if t.key == "" {
		return nil, newNotRunError(http.StatusBadRequest, callerapi.ReasonMissingKey, "the request has no key: set header %s or use /v1/{service}/{key}", callerapi.HeaderKey)
	}
	if len(t.key) > MaxKeyBytes {
		return nil, newNotRunError(http.StatusRequestHeaderFieldsTooLarge, callerapi.ReasonHeaderTooLarge, "the key has %d bytes, %d are allowed", len(t.key), MaxKeyBytes)
	}
	req := &Request{
		ID: requestID(r), Service: t.service, Key: t.key, KeyHash: keyspace.Hash(t.key),
		ReceivedAt: now, Method: r.Method, Path: t.path, Header: r.Header, Caller: callerName(r),
	}
	if err := req.parseRank(service, view, t.rank); err != nil {
		return nil, err
	}
	if err := req.parseDeadline(r.Header); err != nil {
		return nil, err
	}
	if err := req.parseIdempotency(r); err != nil {
		return nil, err
	}
	body, err := newBody(r, service.EffectiveMaxBodyBytes())
	if err != nil {
		return nil, err
	}
	req.Body = body
	return req, nil
}

// resolveTarget takes the target from the headers, or else from a path of the form
// /v1/{service}/{key}, or else from the Route resources.
func resolveTarget(r *http.Request, view *ownership.View) (target, *RequestError) {
	t := target{
		service: r.Header.Get(callerapi.HeaderService),
		key:     r.Header.Get(callerapi.HeaderKey),
		rank:    r.Header.Get(callerapi.HeaderRank),
		path:    r.URL.RequestURI(),
	}
	if t.service != "" {
		return t, nil
	}
	if rest, ok := strings.CutPrefix(r.URL.EscapedPath(), "/v1/"); ok {
		service, rest, _ := strings.Cut(rest, "/")
		key, rest, _ := strings.Cut(rest, "/")
		unescaped, err := url.PathUnescape(key)
		if err != nil {
			return t, newNotRunError(http.StatusBadRequest, callerapi.ReasonMissingKey, "the key in the path is not valid: %v", err)
		}
		t.service, t.key, t.path = service, unescaped, "/"+rest
		if r.URL.RawQuery != "" {
			t.path += "?" + r.URL.RawQuery
		}
		return t, nil
	}
	return targetFromRoutes(r, view, t)
}

// targetFromRoutes takes the target from the Route with the longest matching prefix.
func targetFromRoutes(r *http.Request, view *ownership.View, t target) (target, *RequestError) {
	var bestRoute *resource.Route
	for key, res := range view.Resources {
		if key.Kind != resource.KindRoute {
			continue
		}
		route := res.Spec.(*resource.Route)
		if strings.HasPrefix(r.URL.Path, route.PathPrefix) && (bestRoute == nil || len(route.PathPrefix) > len(bestRoute.PathPrefix)) {
			bestRoute = route
		}
	}
	if bestRoute == nil {
		return t, newNotRunError(http.StatusNotFound, callerapi.ReasonUnknownService, "path %q matches no Route and header %s is not set", r.URL.Path, callerapi.HeaderService)
	}
	t.service = bestRoute.Service
	if t.rank == "" {
		t.rank = bestRoute.Rank
	}
	if bestRoute.KeyHeader != "" {
		t.key = r.Header.Get(bestRoute.KeyHeader)
	} else {
		t.key, _, _ = strings.Cut(strings.TrimPrefix(r.URL.Path, bestRoute.PathPrefix), "/")
	}
	return t, nil
}

func (req *Request) parseRank(service *resource.Service, view *ownership.View, name string) *RequestError {
	if name == "" {
		name = service.DefaultRank
	}
	allowed := false
	for _, rank := range service.Ranks {
		allowed = allowed || rank == name
	}
	rank, ok := lookupSpec[*resource.Rank](view, resource.KindRank, name)
	if !ok || !allowed {
		return newNotRunError(http.StatusBadRequest, callerapi.ReasonUnknownRank, "header %s: Service/%s has no rank %q; it has %v", callerapi.HeaderRank, req.Service, name, service.Ranks)
	}
	req.RankName, req.Rank = name, rank
	return nil
}

func (req *Request) parseDeadline(h http.Header) *RequestError {
	value := h.Get(callerapi.HeaderDeadlineMS)
	if value == "" {
		ms := req.Rank.DefaultDeadlineMS
		if ms == 0 {
			ms = resource.DefaultRankDeadlineMS
		}
		req.Deadline = req.ReceivedAt + time.Duration(ms)*time.Millisecond
		return nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms > MaxDeadline.Milliseconds() {
		return newNotRunError(http.StatusBadRequest, callerapi.ReasonBadDeadline, "header %s: %q is not a number of milliseconds up to %d", callerapi.HeaderDeadlineMS, value, MaxDeadline.Milliseconds())
	}
	if ms <= 0 {
		return newNotRunError(http.StatusGatewayTimeout, callerapi.ReasonPastDeadline, "header %s: the deadline has passed", callerapi.HeaderDeadlineMS)
	}
	req.Deadline = req.ReceivedAt + time.Duration(ms)*time.Millisecond
	return nil
}

func (req *Request) parseIdempotency(r *http.Request) *RequestError {
	switch value := r.Header.Get(callerapi.HeaderRepeatable); value {
	case "true":
		req.Repeatable = true
	case "false":
	case "":
		req.Repeatable = r.Method == http.MethodGet || r.Method == http.MethodHead || r.Method == http.MethodOptions
	default:
		return newNotRunError(http.StatusBadRequest, callerapi.ReasonBadRepeatable, "header %s: %q is neither \"true\" nor \"false\"", callerapi.HeaderRepeatable, value)
	}
	req.FirstAttempt = r.Header.Get(callerapi.HeaderAttempt) == "1"
	req.IdempotencyKey = r.Header.Get(callerapi.HeaderIdempotencyKey)
	if req.IdempotencyKey == "" {
		if !req.Repeatable {
			return newNotRunError(http.StatusBadRequest, callerapi.ReasonMissingID, "a request that is not repeatable needs header %s with a UUIDv7", callerapi.HeaderIdempotencyKey)
		}
		return nil
	}
	id, err := uuid.Parse(req.IdempotencyKey)
	if err != nil || id.Version() != 7 {
		return newNotRunError(http.StatusBadRequest, callerapi.ReasonBadID, "header %s: %q is not a UUIDv7", callerapi.HeaderIdempotencyKey, req.IdempotencyKey)
	}
	req.IdempotencyKey = id.String()
	return nil
}

func requestID(r *http.Request) string {
	if id, err := uuid.Parse(r.Header.Get(callerapi.HeaderRequestID)); err == nil {
		return id.String()
	}
	return uuid.NewString()
}

func callerName(r *http.Request) string {
	if name := r.Header.Get(callerapi.HeaderCaller); name != "" {
		return name
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

func lookupSpec[T resource.Spec](view *ownership.View, kind resource.Kind, name string) (T, bool) {
	res, ok := view.Resources[resource.Key{Kind: kind, Name: name}]
	if !ok {
		var none T
		return none, false
	}
	spec, ok := res.Spec.(T)
	return spec, ok
}
