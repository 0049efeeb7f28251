package edge

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"parsleyrelay.example/core/directory"
	"parsleyrelay.example/core/dispatch"
	"parsleyrelay.example/core/event"
	"parsleyrelay.example/relay/ingress"
	"parsleyrelay.example/relay/telemetry"
	"parsleyrelay.example/relay/upstream"
)

// This file decides what follows an attempt. handleExchangeError, handleResponse,
// handleRefusal and handleFailure return the response for the caller, or true if
// another attempt is to be made.

// errSlowAttempt is the error of an attempt that the slow timer canceled.
var errSlowAttempt = errors.New("no response within the usual latency; another server takes the request")

// Errors of attempts that were not sent when the connection to the server was open.
var (
	errDeadlineTooClose = errors.New("the deadline is too close")
	errCallerLeft       = errors.New("the caller has left")
)

// wasSent reports whether an exchange that ended with an error may have reached its server.
func wasSent(err error) bool {
	var exchangeError *upstream.Error
	return errors.As(err, &exchangeError) && exchangeError.Sent
}

// handleExchangeError decides what follows an attempt without a complete response.
func (c *callerRequest) handleExchangeError(ctx context.Context, s dispatch.Server, latency time.Duration, slow bool, err error) (*ingress.Response, bool) {
	sent := wasSent(err)
	if errors.Is(err, errDeadlineTooClose) {
		c.reportResult(s.ID, dispatch.AttemptResult{Outcome: dispatch.Canceled})
		return c.giveUp("deadline"), false
	}
	if errors.Is(err, errHostStops) {
		c.reportResult(s.ID, dispatch.AttemptResult{Outcome: dispatch.Canceled})
		return c.giveUp(reasonHostStops), false
	}
	if errors.Is(err, errStateUnconfirmed) {
		c.holdBack(s)
		c.retryAfter = unconfirmedRetryAfter
		return c.giveUp(reasonStateUnconfirmed), false
	}
	if errors.Is(err, errCallerLeft) {
		c.reportResult(s.ID, dispatch.AttemptResult{Outcome: dispatch.Canceled})
		return c.abandon(), false
	}
	if cause := placementError(""); errors.As(err, &cause) {
		c.holdBack(s)
		if !cause.temporary() { // otherwise the pool knows when the server may get the request
			c.triedServerIDs = append(c.triedServerIDs, s.ID)
		}
		c.edge.recordMetric(telemetry.MetricReplacedRequests, 1, c.service, string(cause))
		c.planRetry(s, string(cause))
		if c.reservedRetry == nil { // it belongs to the present pool
			c.setPool() // a replaced pool does not learn what forbids the server
		}
		return nil, true
	}
	if slow {
		err = errSlowAttempt // in place of the cancellation of the attempt
	}
	c.lastError = err
	outcome := dispatch.Unreachable
	// The context is checked in place of err, because errors.Is also reports a dial
	// timeout as context.DeadlineExceeded.
	switch {
	case slow:
		outcome = dispatch.Slow
	case errors.Is(ctx.Err(), context.Canceled):
		outcome = dispatch.Canceled
	case ctx.Err() != nil, errors.Is(err, upstream.ErrDialTooLong):
		outcome = dispatch.DeadlineExceeded
	case sent:
		outcome = dispatch.ConnectionLost
	}
	c.reportResult(s.ID, dispatch.AttemptResult{Outcome: outcome, Rank: c.route.Rank, Latency: latency})
	if sent {
		c.attemptsSent++
		c.possibleRuns++
	}
	if outcome != dispatch.Canceled && upstream.IsDialError(err) {
		c.edge.RecordUnreachable(c.service, directory.Life{ID: s.ID, Born: s.Born}, latency)
	}
	c.triedServerIDs = append(c.triedServerIDs, s.ID)
	if outcome == dispatch.Unreachable || outcome == dispatch.ConnectionLost || outcome == dispatch.Slow {
		c.edge.options.Journal.LogEvent(event.ServerPaused, "request_id", c.requestID, "service", c.service, "server", s.ID, "address", s.Address, "sent", sent, "error", err)
	}
	switch {
	case outcome == dispatch.Canceled:
		return c.abandon(), false
	case outcome == dispatch.DeadlineExceeded:
		return c.giveUp("deadline"), false
	case sent && !c.mayRunAgain():
		return c.giveUp("no_response"), false
	case c.keyed && !sent && c.pool.connectionsFailing(s.ID):
		return c.giveUp(string(dispatch.HolderUnreachable)), false
	case len(c.triedServerIDs) >= maxAttempts:
		return c.giveUp("attempts"), false
	}
	if outcome == dispatch.Slow {
		c.planRetry(s, "slow")
	} else {
		c.planRetry(s, "no_response")
	}
	return nil, true
}

// mayRunAgain reports whether the request may be retried although a server may have
// run it already. A keyed request is retried at the holder of its key.
func (c *callerRequest) mayRunAgain() bool {
	return c.route.Idempotent && c.possibleRuns < max(1, c.route.Attempts) && time.Until(c.deadline) > minAttemptTime
}

// plannedRetry is the failed attempt that another one is to follow.
type plannedRetry struct {
	server string // id of the server of the failed attempt
	reason string
}

// planRetry notes that another attempt is to follow the one at s. It is not made if the
// retry budget is used up or no server has capacity.
func (c *callerRequest) planRetry(s dispatch.Server, reason string) {
	c.plannedRetry = &plannedRetry{server: s.ID, reason: reason}
}

// recordRetry counts and logs the planned retry, if there is one, when it is made.
func (c *callerRequest) recordRetry() {
	planned := c.plannedRetry
	if planned == nil {
		return
	}
	c.plannedRetry = nil
	c.edge.recordMetric(telemetry.MetricRetries, 1, c.service, strconv.Itoa(c.route.Rank))
	c.edge.options.Journal.LogEvent(event.RequestRetried, "request_id", c.requestID, "route", c.route.Name, "service", c.service, "server", planned.server,
		"reason", planned.reason, "sends", c.attemptsSent, "left_ms", time.Until(c.deadline).Milliseconds(), "map", c.edge.mapVersion())
}

// handleResponse decides what follows a complete response.
func (c *callerRequest) handleResponse(ctx context.Context, s dispatch.Server, latency time.Duration, r *upstream.Response) (*ingress.Response, bool) {
	if found := r.Header.Get(c.edge.options.Headers.ServerID); found == "" || found == s.ID {
		c.edge.RecordAnswer(c.service, directory.Life{ID: s.ID, Born: s.Born})
	}
	c.readSignals(s, r)
	headers := c.edge.options.Headers
	result := dispatch.AttemptResult{Outcome: dispatch.OK, Rank: c.route.Rank, Latency: latency, Load: parseLoad(r.Header.Get(headers.ServerLoad))}
	notRun := c.showsNotRun(s, r)
	switch {
	case r.Status == http.StatusMisdirectedRequest:
		result.Outcome = dispatch.Misdirected
	case notRun && result.Load.HasShortQueue():
		result.Outcome = dispatch.RefusedWithoutQueue
	case notRun:
		result.Outcome = dispatch.ServerFull
	case r.Status >= http.StatusInternalServerError || r.Status < 300 && !c.isSigned(r):
		result.Outcome = dispatch.ErrorResponse
	}
	if result.Outcome == dispatch.Misdirected {
		result.Outcome = c.classifyMisdirected(s, r)
	}
	c.reportResult(s.ID, result)
	if c.keyed {
		c.edge.recordContact(s.ID, 0, 1)
	}
	if c.keyed && result.Load != nil {
		c.edge.recordServerLoad(s.ID, *result.Load, result.Outcome == dispatch.OK, latency)
	}
	if notRun {
		return c.handleRefusal(ctx, s, r, result.Load)
	}
	c.possibleRuns++
	mayPassOn := c.mayPassOn(r)
	if mayPassOn {
		c.serverResponse = c.newCallerResponse(r)
	}
	if !mayPassOn || result.Outcome != dispatch.OK {
		return c.handleFailure(s, r)
	}
	c.edge.options.Journal.LogRoutineEvent(event.RequestCompleted, "request_id", c.requestID, "route", c.route.Name, "service", c.service, "server", s.ID,
		"status", r.Status, "sends", c.attemptsSent, "ms", time.Since(c.request.ReceivedAt).Milliseconds())
	return c.serverResponse, false
}

// classifyMisdirected returns the outcome of an attempt with status 421. A different
// server id means that another server has taken over the address. A server that does
// not hold the key gets the outcome Canceled, which does not pause it, so that it
// stays usable for its other keys.
func (c *callerRequest) classifyMisdirected(s dispatch.Server, r *upstream.Response) dispatch.Outcome {
	found := r.Header.Get(c.edge.options.Headers.ServerID)
	if found == "" || found == s.ID {
		if c.keyed {
			return dispatch.Canceled
		}
		return dispatch.Misdirected
	}
	c.edge.options.Journal.LogEvent(event.AddressReused, "request_id", c.requestID, "service", c.service, "server", s.ID, "address", s.Address, "found", found)
	return dispatch.AddressReused
}

// handleRefusal handles a response that says the server did not run the request.
func (c *callerRequest) handleRefusal(ctx context.Context, s dispatch.Server, r *upstream.Response, load *dispatch.Load) (*ingress.Response, bool) {
	c.triedServerIDs = append(c.triedServerIDs, s.ID)
	c.lastError = nil
	misdirected := r.Status == http.StatusMisdirectedRequest
	if !misdirected {
		c.retryAfter = dispatch.RetryAfterRefusal(load, c.route.TargetLatency)
	}
	// A keyed request cannot go to another server. A full server has a queue of about
	// a second, which is too long for a retry to wait; a server that refused despite
	// its short queue may accept the next attempt.
	if c.keyed && !misdirected && !load.HasShortQueue() || c.attemptsSent >= maxAttempts || time.Until(c.deadline) < 2*minAttemptTime {
		return c.giveUp("server_refused"), false
	}
	if c.keyed && misdirected && !c.waitForNewerMap(ctx) {
		return c.giveUp("key_elsewhere"), false
	}
	c.planRetry(s, "server_refused_"+strconv.Itoa(r.Status))
	if c.keyed {
		c.triedServerIDs = nil
	}
	return nil, true
}

// waitForNewerMap waits for an assignment map that is newer than the one by which
// the last server was selected. It returns false on timeout or if the caller leaves.
// A retry by the same map would reach the same server, be refused again and use up
// the retry budget.
func (c *callerRequest) waitForNewerMap(ctx context.Context) bool {
	ticker := time.NewTicker(mapPollInterval)
	defer ticker.Stop()
	timeout := time.NewTimer(min(dispatch.MaxHolderWait, time.Until(c.deadline)/2))
	defer timeout.Stop()
	for c.edge.mapVersion() == c.mapVersion {
		select {
		case <-ticker.C:
		case <-timeout.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// handleFailure handles a response that is not passed on at once, of a server that may have
// run the request. Another attempt follows if the request may run again.
func (c *callerRequest) handleFailure(s dispatch.Server, r *upstream.Response) (*ingress.Response, bool) {
	c.triedServerIDs = append(c.triedServerIDs, s.ID)
	if !c.mayRunAgain() {
		return c.giveUp("server_failed"), false
	}
	c.planRetry(s, "server_failed_"+strconv.Itoa(r.Status))
	return nil, true
}
