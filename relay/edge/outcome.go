package edge

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"parsleyrelay.example/core/dispatch"
	"parsleyrelay.example/core/event"
	"parsleyrelay.example/relay/ingress"
	"parsleyrelay.example/relay/telemetry"
	"parsleyrelay.example/relay/upstream"
)

// This file decides what follows an attempt: the response goes to the caller,
// another attempt is made, or the request is given up.

// broken decides after an attempt without a complete response.
func (j *job) broken(ctx context.Context, s dispatch.Server, latency time.Duration, slow bool, err error) (*ingress.Response, bool) {
	j.lastError = err
	var failure *upstream.Error
	sent := errors.As(err, &failure) && failure.Sent
	outcome := dispatch.Unreachable
	// The context decides, not errors.Is(err, ...): a timeout of the connection
	// counts as context.DeadlineExceeded, too.
	switch {
	case slow:
		outcome = dispatch.Slow
	case errors.Is(ctx.Err(), context.Canceled):
		outcome = dispatch.Canceled
	case ctx.Err() != nil:
		outcome = dispatch.DeadlineExceeded
	case sent:
		outcome = dispatch.ConnectionLost
	}
	j.pool.done(s.ID, dispatch.AttemptResult{Outcome: outcome, Rank: j.route.Rank, Latency: latency})
	if sent {
		j.sends++
		j.runs++
	}
	j.tried = append(j.tried, s.ID)
	if outcome == dispatch.Unreachable || outcome == dispatch.ConnectionLost || outcome == dispatch.Slow {
		j.edge.options.Journal.Event(event.ServerPaused, "request_id", j.id, "service", j.service, "server", s.ID, "address", s.Address, "sent", sent, "error", err)
	}
	switch {
	case outcome == dispatch.Canceled:
		return j.abandoned(), false
	case outcome == dispatch.DeadlineExceeded:
		return j.giveUp("deadline"), false
	case sent && !j.mayRunAgain():
		return j.giveUp("no_response"), false
	case j.keyed && !sent && j.pool.failing(s.ID):
		return j.giveUp(string(dispatch.HolderUnreachable)), false
	case len(j.tried) >= maxSends:
		return j.giveUp("attempts"), false
	}
	if outcome == dispatch.Slow {
		j.retried(s, "slow")
	} else {
		j.retried(s, "no_response")
	}
	return nil, true
}

// mayRunAgain says whether a server may run the request although one may have run
// it already. A request with a key goes to the holder of the key again.
func (j *job) mayRunAgain() bool {
	return j.route.Idempotent && j.runs < max(1, j.route.Attempts) && time.Until(j.deadline) > minUseful
}

func (j *job) retried(s dispatch.Server, reason string) {
	j.edge.record(telemetry.MetricRetries, 1, j.service, strconv.Itoa(j.route.Rank))
	j.edge.options.Journal.Event(event.RequestRetried, "request_id", j.id, "route", j.route.Name, "service", j.service, "server", s.ID,
		"reason", reason, "sends", j.sends, "left_ms", time.Until(j.deadline).Milliseconds(), "map", j.edge.mapVersion())
}

// judge decides about a complete response.
func (j *job) judge(ctx context.Context, s dispatch.Server, latency time.Duration, r *upstream.Response) (*ingress.Response, bool) {
	names := j.edge.options.Headers
	result := dispatch.AttemptResult{Outcome: dispatch.OK, Rank: j.route.Rank, Latency: latency, Load: parseLoad(r.Header.Get(names.ServerLoad))}
	refused := r.Header.Get(names.NotExecuted) != "" || r.Status == http.StatusMisdirectedRequest
	signed := r.Header.Get(names.Signature) != ""
	switch {
	case refused && r.Status == http.StatusMisdirectedRequest:
		result.Outcome = dispatch.Misdirected
	case refused && result.Load.HasFreeSlot():
		result.Outcome = dispatch.Shed
	case refused:
		result.Outcome = dispatch.ServerFull
	case r.Status >= http.StatusInternalServerError || r.Status < 300 && !signed:
		result.Outcome = dispatch.Failed
	}
	if result.Outcome == dispatch.Misdirected {
		result.Outcome = j.misdirected(s, r)
	}
	j.pool.done(s.ID, result)
	switch {
	case refused:
		return j.rejected(ctx, s, r, result.Load)
	case result.Outcome == dispatch.Failed:
		return j.failed(s, r, signed)
	}
	if j.keyed && result.Load != nil && result.Load.Waiting == 0 && result.Load.Running < result.Load.Slots {
		j.edge.served(s.ID, latency)
	}
	j.edge.options.Journal.Routine(event.RequestCompleted, "request_id", j.id, "route", j.route.Name, "service", j.service, "server", s.ID,
		"status", r.Status, "sends", j.sends, "ms", time.Since(j.request.ReceivedAt).Milliseconds())
	return j.deliver(r), false
}

// misdirected tells apart a server that does not hold the key, which says
// nothing about its other keys, and another server at the address.
func (j *job) misdirected(s dispatch.Server, r *upstream.Response) dispatch.Outcome {
	found := r.Header.Get(j.edge.options.Headers.ServerID)
	if found == "" || found == s.ID {
		if j.keyed {
			return dispatch.Canceled
		}
		return dispatch.Misdirected
	}
	j.edge.options.Journal.Event(event.AddressReused, "request_id", j.id, "service", j.service, "server", s.ID, "address", s.Address, "found", found)
	return dispatch.AddressReused
}

// rejected handles a response that says the server did not run the request.
func (j *job) rejected(ctx context.Context, s dispatch.Server, r *upstream.Response, load *dispatch.Load) (*ingress.Response, bool) {
	j.tried = append(j.tried, s.ID)
	j.lastError = nil
	elsewhere := r.Status == http.StatusMisdirectedRequest
	// Only one server holds the key. A full one has a queue of a second or so; one
	// that refuses although it has room may take the request the next time.
	if j.keyed && !elsewhere && !load.HasFreeSlot() || j.sends >= maxSends || time.Until(j.deadline) < 2*minUseful {
		return j.refusedBy(), false
	}
	if j.keyed && elsewhere && !j.newerMap(ctx) {
		return j.giveUp("key_elsewhere"), false
	}
	j.retried(s, "server_refused_"+strconv.Itoa(r.Status))
	if j.keyed {
		j.tried = nil
	}
	return nil, true
}

// refusedBy answers a request that a server refused. The caller is asked to come
// back while a response can still be in time.
func (j *job) refusedBy() *ingress.Response {
	const reason = "server_refused"
	if j.failure != nil || j.runs > 0 {
		return j.giveUp(reason)
	}
	pause := unknownRetryAfter
	if target := j.route.TargetLatency; target > 0 {
		pause = min(pause, time.Duration(float64(target)*comeBackShare))
	}
	return j.refused(dispatch.Decision{Reason: reason, RetryAfter: pause})
}

// newerMap waits for a map that is newer than the one by which the last server
// was chosen, or until the caller leaves. The same map names the same server,
// which would refuse again at the cost of the retry budget.
func (j *job) newerMap(ctx context.Context) bool {
	ticker := time.NewTicker(mapCheck)
	defer ticker.Stop()
	timeout := time.NewTimer(min(dispatch.MaxHolderWait, time.Until(j.deadline)/2))
	defer timeout.Stop()
	for j.edge.mapVersion() == j.mapVersion {
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

// failed handles a failure that the server reports after it ran the request, and
// a success that it did not sign.
func (j *job) failed(s dispatch.Server, r *upstream.Response, signed bool) (*ingress.Response, bool) {
	j.runs++
	j.tried = append(j.tried, s.ID)
	if signed || r.Status >= http.StatusInternalServerError {
		j.failure = j.deliver(r)
	}
	if !j.mayRunAgain() {
		return j.giveUp("server_failed"), false
	}
	j.retried(s, "server_failed_"+strconv.Itoa(r.Status))
	return nil, true
}
