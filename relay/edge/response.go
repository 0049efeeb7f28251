package edge

import (
	"cmp"
	"net/http"
	"time"

	"parsleyrelay.example/core/dispatch"
	"parsleyrelay.example/core/event"
	"parsleyrelay.example/relay/ingress"
	"parsleyrelay.example/relay/upstream"
)

// This file decides what the responses of servers show of the execution of a request, and
// which response the caller gets.

// promisesNotRun reports whether callers take a status for the promise that the request has
// not run and never will, upon which they may send an order again.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// showsNotRun reports whether a response shows that the server did not run the request: it
// is not a success and has the header that states it, or its status is 421 and it comes from
// another server than the request named. No other response shows it, whatever its status.
func (c *callerRequest) showsNotRun(s dispatch.Server, r *upstream.Response) bool {
	headers := c.edge.options.Headers
	if r.Status < http.StatusMultipleChoices {
		return false
	}
	if r.Header.Get(headers.NotExecuted) != "" {
		return true
	}
	id := r.Header.Get(headers.ServerID)
	return r.Status == http.StatusMisdirectedRequest && id != "" && id != s.ID
}

// isSigned reports whether a response has a server's signature.
func (c *callerRequest) isSigned(r *upstream.Response) bool {
	return r.Header.Get(c.edge.options.Headers.Signature) != ""
}

// mayPassOn reports whether the caller may get the response of a server that may have run the
// request. It may not get a success without signature, nor, if the request may run only once,
// a status that promises that it did not run.
func (c *callerRequest) mayPassOn(r *upstream.Response) bool {
	if r.Status < http.StatusMultipleChoices {
		return c.isSigned(r)
	}
	return c.route.Idempotent || !promisesNotRun(r.Status)
}

// newCallerResponse converts a server's response into the caller's, without the
// headers meant for the entry host only.
func (c *callerRequest) newCallerResponse(r *upstream.Response) *ingress.Response {
	headers := c.edge.options.Headers
	dropped := connectionOptions(r.Header)
	h := make(http.Header, len(r.Header))
	for name, values := range r.Header {
		if name != headers.ServerLoad && name != headers.ServerLeaving && !dropped[name] {
			h[name] = values
		}
	}
	if r.Status == http.StatusServiceUnavailable && h.Get(headers.RetryAfter) != "" {
		// The server asked this host for a pause. Callers may be served by others sooner.
		h.Set(headers.RetryAfter, formatSeconds(cmp.Or(c.retryAfter, defaultRetryAfter)))
	}
	return &ingress.Response{Status: r.Status, Header: h, Body: r.Body}
}

// refuse returns a 503 response, which promises that the request did not run. If it
// may have run, it returns the response of giveUp.
func (c *callerRequest) refuse(decision dispatch.Decision) *ingress.Response {
	if c.possibleRuns > 0 {
		return c.giveUp(string(decision.Reason))
	}
	c.failureReason = string(decision.Reason)
	c.edge.options.Journal.LogEvent(event.RequestRefused, "request_id", c.requestID, "route", c.route.Name, "service", c.service, "reason", decision.Reason,
		"rank", c.route.Rank, "key", c.key, "sends", c.attemptsSent, "last_server", c.lastServerID, "waited_ms", time.Since(c.request.ReceivedAt).Milliseconds(),
		"left_ms", time.Until(c.deadline).Milliseconds(), "retry_after_ms", decision.RetryAfter.Milliseconds(),
		"config", c.edge.ConfigVersion(), "map", c.edge.mapVersion())
	return emptyResponse(http.StatusServiceUnavailable, decision.RetryAfter)
}

// giveUp returns the response for a request that gets no further attempt: a refusal
// if it certainly did not run, else a server's own response if one may be passed on, else
// 502 or, after the deadline, 504, which promise nothing.
func (c *callerRequest) giveUp(reason string) *ingress.Response {
	if c.possibleRuns == 0 {
		return c.refuse(dispatch.Decision{Reason: dispatch.RefusalReason(reason), RetryAfter: cmp.Or(c.retryAfter, defaultRetryAfter)})
	}
	c.failureReason = reason
	c.edge.options.Journal.LogEvent(event.RequestUnknown, "request_id", c.requestID, "route", c.route.Name, "service", c.service, "reason", reason,
		"server", c.lastServerID, "sends", c.attemptsSent, "runs", c.possibleRuns, "ms", time.Since(c.request.ReceivedAt).Milliseconds(),
		"config", c.edge.ConfigVersion(), "map", c.edge.mapVersion(), "error", c.lastError)
	if c.serverResponse != nil {
		return c.serverResponse
	}
	if time.Until(c.deadline) <= 0 {
		return emptyResponse(http.StatusGatewayTimeout, 0)
	}
	return emptyResponse(http.StatusBadGateway, 0)
}
