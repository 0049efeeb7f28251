// Package frontend serves callers: it reads a request, finds the home of its
// key's owner, and hands it to the local home or forwards it to a peer.
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

// Request is a caller's request after its headers were checked.
type Request struct {
	ID             string // request id, for logs and the timeline
	Service        string
	Key            string
	KeyHash        uint64
	RankName       string
	Rank           *resource.Rank
	Deadline       time.Duration // process time at which the caller stops waiting
	ReceivedAt     time.Duration // process time
	Repeatable     bool
	IdempotencyKey string // Idempotency-Key, empty if none
	FirstAttempt   bool   // the caller states that RepeatID was never sent before
	Caller         string // for fairness between callers
	Forwarded      bool   // came from a peer
	AppliedOffset  uint64 // log offset of the view by which it was forwarded
	Method         string
	Path           string // for the server, with the query
	Header         http.Header
	Body           *Body
}

// MaxDeadline bounds the deadline that a caller may ask for.
const MaxDeadline = 5 * time.Minute

// MaxKeyBytes bounds the length of a key.
const MaxKeyBytes = 1024

// RequestError is a response that the router makes itself.
type RequestError struct {
	Status     int
	Outcome    callerapi.Outcome
	Reason     callerapi.Reason
	Message    string
	RetryAfter time.Duration // 0 for none
	// AppliedOffset is the log offset of a home that refused because the key is not
	// its own; 0 otherwise.
	AppliedOffset uint64
}

// Error implements error.
func (e *RequestError) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Outcome, e.Reason, e.Message)
}

// Unwritten reports whether it is certain that nothing of the request was
// written to a server.
func (e *RequestError) Unwritten() bool {
	return e.Outcome == callerapi.NotRun && e.Reason != callerapi.ReasonServerRefused
}

func badRequest(status int, reason callerapi.Reason, format string, args ...any) *RequestError {
	return &RequestError{Status: status, Outcome: callerapi.NotRun, Reason: reason, Message: fmt.Sprintf(format, args...)}
}

// NewRefusal returns a refusal that the caller may try again after retryAfter.
func NewRefusal(reason callerapi.Reason, retryAfter time.Duration, format string, args ...any) *RequestError {
	status := http.StatusServiceUnavailable
	if reason == callerapi.ReasonQueueFull {
		status = http.StatusTooManyRequests
	}
	return &RequestError{
		Status: status, Outcome: callerapi.NotRun, Reason: reason,
		Message: fmt.Sprintf(format, args...), RetryAfter: retryAfter,
	}
}

// NewUnknownOutcome returns the response for a request that may have run.
func NewUnknownOutcome(status int, reason callerapi.Reason, format string, args ...any) *RequestError {
	return &RequestError{Status: status, Outcome: callerapi.Unknown, Reason: reason, Message: fmt.Sprintf(format, args...)}
}

// target is where the caller wants a request to go.
type target struct {
	service, key, rank, path string
}

// parse checks a request against the resources of view.
func parse(r *http.Request, view *ownership.View, now time.Duration) (*Request, *RequestError) {
	t, err := findTarget(r, view)
	if err != nil {
		return nil, err
	}
	service, ok := specOf[*resource.Service](view, resource.KindService, t.service)
	if !ok {
		return nil, badRequest(http.StatusNotFound, callerapi.ReasonUnknownService, "Service/%s does not exist", t.service)
	}
	if t.key == "" {
		return nil, badRequest(http.StatusBadRequest, callerapi.ReasonMissingKey, "the request names no key: set header %s or use /v1/{service}/{key}", callerapi.HeaderKey)
	}
	if len(t.key) > MaxKeyBytes {
		return nil, badRequest(http.StatusRequestHeaderFieldsTooLarge, callerapi.ReasonHeaderTooLarge, "the key has %d bytes, %d are allowed", len(t.key), MaxKeyBytes)
	}
	req := &Request{
		ID: requestID(r), Service: t.service, Key: t.key, KeyHash: keyspace.Hash(t.key),
		ReceivedAt: now, Method: r.Method, Path: t.path, Header: r.Header, Caller: callerOf(r),
	}
	if err := req.parseRank(service, view, t.rank); err != nil {
		return nil, err
	}
	if err := req.parseDeadline(r.Header); err != nil {
		return nil, err
	}
	if err := req.parseRepeat(r); err != nil {
		return nil, err
	}
	body, err := newBody(r, service.EffectiveMaxBodyBytes())
	if err != nil {
		return nil, err
	}
	req.Body = body
	return req, nil
}

// findTarget looks at headers first, then at /v1/{service}/{key}, then at routes.
func findTarget(r *http.Request, view *ownership.View) (target, *RequestError) {
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
			return t, badRequest(http.StatusBadRequest, callerapi.ReasonMissingKey, "the key in the path is not valid: %v", err)
		}
		t.service, t.key, t.path = service, unescaped, "/"+rest
		if r.URL.RawQuery != "" {
			t.path += "?" + r.URL.RawQuery
		}
		return t, nil
	}
	return findRoute(r, view, t)
}

func findRoute(r *http.Request, view *ownership.View, t target) (target, *RequestError) {
	var best *resource.Route
	for key, res := range view.Resources {
		if key.Kind != resource.KindRoute {
			continue
		}
		route := res.Spec.(*resource.Route)
		if strings.HasPrefix(r.URL.Path, route.PathPrefix) && (best == nil || len(route.PathPrefix) > len(best.PathPrefix)) {
			best = route
		}
	}
	if best == nil {
		return t, badRequest(http.StatusNotFound, callerapi.ReasonUnknownService, "path %q matches no Route and header %s is not set", r.URL.Path, callerapi.HeaderService)
	}
	t.service = best.Service
	if t.rank == "" {
		t.rank = best.Rank
	}
	if best.KeyHeader != "" {
		t.key = r.Header.Get(best.KeyHeader)
	} else {
		t.key, _, _ = strings.Cut(strings.TrimPrefix(r.URL.Path, best.PathPrefix), "/")
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
	rank, ok := specOf[*resource.Rank](view, resource.KindRank, name)
	if !ok || !allowed {
		return badRequest(http.StatusBadRequest, callerapi.ReasonUnknownRank, "header %s: Service/%s has no rank %q; it has %v", callerapi.HeaderRank, req.Service, name, service.Ranks)
	}
	req.RankName, req.Rank = name, rank
	return nil
}

func (req *Request) parseDeadline(h http.Header) *RequestError {
	text := h.Get(callerapi.HeaderDeadlineMS)
	if text == "" {
		ms := req.Rank.DefaultDeadlineMS
		if ms == 0 {
			ms = resource.DefaultDeadlineMS
		}
		req.Deadline = req.ReceivedAt + time.Duration(ms)*time.Millisecond
		return nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms > MaxDeadline.Milliseconds() {
		return badRequest(http.StatusBadRequest, callerapi.ReasonBadDeadline, "header %s: %q is not a number of milliseconds up to %d", callerapi.HeaderDeadlineMS, text, MaxDeadline.Milliseconds())
	}
	if ms <= 0 {
		return badRequest(http.StatusGatewayTimeout, callerapi.ReasonPastDeadline, "header %s: the deadline has passed", callerapi.HeaderDeadlineMS)
	}
	req.Deadline = req.ReceivedAt + time.Duration(ms)*time.Millisecond
	return nil
}

func (req *Request) parseRepeat(r *http.Request) *RequestError {
	switch text := r.Header.Get(callerapi.HeaderRepeatable); text {
	case "true":
		req.Repeatable = true
	case "false":
	case "":
		req.Repeatable = r.Method == http.MethodGet || r.Method == http.MethodHead || r.Method == http.MethodOptions
	default:
		return badRequest(http.StatusBadRequest, callerapi.ReasonBadRepeatable, "header %s: %q is neither \"true\" nor \"false\"", callerapi.HeaderRepeatable, text)
	}
	req.FirstAttempt = r.Header.Get(callerapi.HeaderAttempt) == "1"
	req.IdempotencyKey = r.Header.Get(callerapi.HeaderID)
	if req.IdempotencyKey == "" {
		if !req.Repeatable {
			return badRequest(http.StatusBadRequest, callerapi.ReasonMissingID, "a request that is not repeatable needs header %s with a UUIDv7", callerapi.HeaderID)
		}
		return nil
	}
	id, err := uuid.Parse(req.IdempotencyKey)
	if err != nil || id.Version() != 7 {
		return badRequest(http.StatusBadRequest, callerapi.ReasonBadID, "header %s: %q is not a UUIDv7", callerapi.HeaderID, req.IdempotencyKey)
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

func callerOf(r *http.Request) string {
	if name := r.Header.Get(callerapi.HeaderCaller); name != "" {
		return name
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

func specOf[T resource.Spec](view *ownership.View, kind resource.Kind, name string) (T, bool) {
	res, ok := view.Resources[resource.Key{Kind: kind, Name: name}]
	if !ok {
		var none T
		return none, false
	}
	spec, ok := res.Spec.(T)
	return spec, ok
}
