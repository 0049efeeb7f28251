package frontend

import (
	"context"
	"io"
	"maps"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"parsleyrelay.example/api/callerapi"
)

// headerAppliedOffset carries the offset up to which the sender has applied the log,
// as a decimal number. In a forwarded request it is the offset of the forwarding host:
// a home that has applied less may not know yet that the key has moved to it, and
// waits until it has caught up instead of refusing. In a refusal it is the offset of
// the refusing host: the forwarding host waits until it has applied the record that
// moved the key away.
const headerAppliedOffset = "Parsleyrelay-Applied"

// PeerRequest is an HTTP request to the daemon on another host.
type PeerRequest struct {
	Method        string
	Path          string // escaped, with the query
	Header        http.Header
	Body          io.Reader
	ContentLength int64 // bytes
}

// PeerClient sends requests to the peer listener of another daemon.
type PeerClient interface {
	// Send returns the response or an error. With an error, sent is false if it is
	// certain that no byte of the request was written to a connection.
	Send(ctx context.Context, peerURL string, req PeerRequest) (response *Response, sent bool, err error)
}

// PeerForwarder forwards requests to the peer listener of other daemons.
type PeerForwarder struct {
	sender PeerClient
	now    func() time.Duration
}

// NewPeerForwarder returns a forwarder that sends with sender.
func NewPeerForwarder(sender PeerClient, now func() time.Duration) *PeerForwarder {
	return &PeerForwarder{sender: sender, now: now}
}

// Forward implements Forwarder.
func (f *PeerForwarder) Forward(ctx context.Context, req *Request, peerURL string) (*Response, *RequestError) {
	response, sent, err := f.sender.Send(ctx, peerURL, f.encodeForwarded(req))
	if err != nil {
		return nil, forwardError(ctx, peerURL, sent, err)
	}
	response.Outcome = callerapi.Outcome(response.Header.Get(callerapi.HeaderOutcome))
	response.Reason = callerapi.Reason(response.Header.Get(callerapi.HeaderReason))
	if response.Outcome == callerapi.OutcomeDone {
		return response, nil
	}
	_ = response.Body.Close()
	return nil, peerError(response)
}

func (f *PeerForwarder) encodeForwarded(req *Request) PeerRequest {
	body, length := req.Body.Open()
	h := http.Header{}
	maps.Copy(h, req.Header)
	h.Set(callerapi.HeaderService, req.Service)
	h.Set(callerapi.HeaderKey, url.QueryEscape(req.Key))
	h.Set(callerapi.HeaderRank, req.RankName)
	h.Set(callerapi.HeaderDeadlineMS, strconv.FormatInt(max(1, (req.Deadline-f.now()).Milliseconds()), 10))
	h.Set(callerapi.HeaderRepeatable, strconv.FormatBool(req.Repeatable))
	h.Set(callerapi.HeaderCaller, req.Caller)
	h.Set(callerapi.HeaderRequestID, req.ID)
	h.Set(headerAppliedOffset, strconv.FormatUint(req.ForwarderOffset, 10))
	return PeerRequest{Method: req.Method, Path: ForwardPrefix + req.Path, Header: h, Body: body, ContentLength: length}
}

// decodeForwarded restores the key and path that encodeForwarded escaped and prefixed.
func decodeForwarded(r *http.Request) *RequestError {
	key, err := url.QueryUnescape(r.Header.Get(callerapi.HeaderKey))
	if err != nil {
		return newNotRunError(http.StatusBadRequest, callerapi.ReasonMissingKey, "header %s of a forwarded request: %v", callerapi.HeaderKey, err)
	}
	r.Header.Set(callerapi.HeaderKey, key)
	r.URL.Path = trimForwardPrefix(r.URL.Path)
	if r.URL.RawPath != "" {
		r.URL.RawPath = trimForwardPrefix(r.URL.RawPath)
	}
	return nil
}

func forwardError(ctx context.Context, peerURL string, sent bool, err error) *RequestError {
	if !sent {
		return NewRefusal(callerapi.ReasonZoneUnreachable, time.Second, "the home at %s cannot be reached: %v", peerURL, err)
	}
	if ctx.Err() != nil {
		return NewUnknownOutcome(http.StatusGatewayTimeout, callerapi.ReasonAnswerTimeout, "the home at %s did not answer in time", peerURL)
	}
	return NewUnknownOutcome(http.StatusBadGateway, callerapi.ReasonPeerLost, "the connection to the home at %s was lost: %v", peerURL, err)
}

// peerError returns the home's refusal as an error for the caller. A response without
// the outcome header may stand for a request that ran.
func peerError(response *Response) *RequestError {
	e := &RequestError{Status: response.Status, Outcome: response.Outcome, Reason: response.Reason, Message: "the home of the key's server did not complete the request"}
	if e.Outcome != callerapi.OutcomeNotRun {
		e.Outcome = callerapi.OutcomeUnknown
	}
	if e.Reason == "" {
		e.Status, e.Reason = http.StatusBadGateway, callerapi.ReasonPeerLost
	}
	e.RefuserOffset, _ = strconv.ParseUint(response.Header.Get(headerAppliedOffset), 10, 64)
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		e.RetryAfter = time.Duration(seconds) * time.Second
	}
	return e
}
