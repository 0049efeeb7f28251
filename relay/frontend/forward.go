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

// headerApplied is the offset up to which a host has applied the log, decimal.
// In a forwarded request it lets a home that is behind wait for it instead of
// refusing a key of which it does not know yet that it moved there; in a refusal
// it lets the forwarding host wait for the record that moved the key away.
const headerApplied = "Parsleyrelay-Applied"

// PeerRequest is an HTTP request to a peer.
type PeerRequest struct {
	Method        string
	Path          string // escaped, with the query
	Header        http.Header
	Body          io.Reader
	ContentLength int64 // bytes
}

// PeerClient sends an exchange to the peer listener of another daemon.
type PeerClient interface {
	// Send returns the response, or an error with sent false when it is certain
	// that no byte of the request was written to a connection.
	Send(ctx context.Context, peerURL string, x PeerRequest) (answer *Response, sent bool, err error)
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
	answer, sent, err := f.sender.Send(ctx, peerURL, f.encode(req))
	if err != nil {
		return nil, forwardFailure(ctx, peerURL, sent, err)
	}
	answer.Outcome = callerapi.Outcome(answer.Header.Get(callerapi.HeaderOutcome))
	answer.Reason = callerapi.Reason(answer.Header.Get(callerapi.HeaderReason))
	if answer.Outcome == callerapi.Done {
		return answer, nil
	}
	_ = answer.Body.Close()
	return nil, peerError(answer)
}

func (f *PeerForwarder) encode(req *Request) PeerRequest {
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
	h.Set(headerApplied, strconv.FormatUint(req.AppliedOffset, 10))
	return PeerRequest{Method: req.Method, Path: ForwardPrefix + req.Path, Header: h, Body: body, ContentLength: length}
}

// decodeForwarded undoes what encode did to key and path.
func decodeForwarded(r *http.Request) *RequestError {
	key, err := url.QueryUnescape(r.Header.Get(callerapi.HeaderKey))
	if err != nil {
		return badRequest(http.StatusBadRequest, callerapi.ReasonMissingKey, "header %s of a forwarded request: %v", callerapi.HeaderKey, err)
	}
	r.Header.Set(callerapi.HeaderKey, key)
	r.URL.Path = trimForwardPrefix(r.URL.Path)
	if r.URL.RawPath != "" {
		r.URL.RawPath = trimForwardPrefix(r.URL.RawPath)
	}
	return nil
}

func forwardFailure(ctx context.Context, peerURL string, sent bool, err error) *RequestError {
	if !sent {
		return NewRefusal(callerapi.ReasonZoneUnreachable, time.Second, "the home at %s cannot be reached: %v", peerURL, err)
	}
	if ctx.Err() != nil {
		return NewUnknownOutcome(http.StatusGatewayTimeout, callerapi.ReasonAnswerTimeout, "the home at %s did not answer in time", peerURL)
	}
	return NewUnknownOutcome(http.StatusBadGateway, callerapi.ReasonPeerLost, "the home at %s was lost: %v", peerURL, err)
}

// peerError passes the home's refusal on. An answer without an outcome proves nothing.
func peerError(a *Response) *RequestError {
	e := &RequestError{Status: a.Status, Outcome: a.Outcome, Reason: a.Reason, Message: "refused by the home of the key's server"}
	if e.Outcome != callerapi.NotRun {
		e.Outcome = callerapi.Unknown
	}
	if e.Reason == "" {
		e.Status, e.Reason = http.StatusBadGateway, callerapi.ReasonPeerLost
	}
	e.AppliedOffset, _ = strconv.ParseUint(a.Header.Get(headerApplied), 10, 64)
	if seconds, err := strconv.Atoi(a.Header.Get("Retry-After")); err == nil {
		e.RetryAfter = time.Duration(seconds) * time.Second
	}
	return e
}
