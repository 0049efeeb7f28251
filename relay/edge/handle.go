package edge

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"parsleyrelay.example/core/cost"
	"parsleyrelay.example/core/dispatch"
	"parsleyrelay.example/core/event"
	"parsleyrelay.example/core/routes"
	"parsleyrelay.example/relay/ingress"
	"parsleyrelay.example/relay/upstream"
)

// Time limits and other limits of a request.
const (
	// defaultDeadline applies if neither the caller nor the route sets a shorter one.
	defaultDeadline = 30 * time.Second
	// responseGrace extends the wait beyond the deadline, so that a response that
	// the server sends at the deadline still arrives.
	responseGrace = 120 * time.Millisecond
	// minAttemptTime is the remaining time below which no attempt is started.
	minAttemptTime = 30 * time.Millisecond
	// queueWaitShare is the share of the target latency that a request may wait
	// in the queue before its first attempt; the rest is needed to run it.
	queueWaitShare = 0.6
	// mapPollInterval is the interval at which a newer assignment map is looked for
	// after a server answered that it does not hold the key.
	mapPollInterval = 15 * time.Millisecond
	// maxJoinedBody is the length, in bytes, up to which a body is copied behind its head
	// and written with it.
	maxJoinedBody = 16 << 10
	// defaultRetryAfter is sent as Retry-After if no better estimate is known.
	defaultRetryAfter = 500 * time.Millisecond
	// maxAttempts limits the servers tried in turn without a complete response, and
	// the attempts sent if a server refuses. Route.Attempts limits possibleRuns.
	maxAttempts = 4
)

// callerRequest is a caller's request while it is handled.
type callerRequest struct {
	edge      *Edge
	request   *ingress.Request
	route     *routes.Route
	service   string
	pool      *servicePool
	requestID string
	deadline  time.Time
	key       uint16
	keyed     bool
	costs     cost.Class

	placement      dispatch.Placement // of the present attempt
	attemptsSent   int                // attempts that may have reached a server
	possibleRuns   int                // attempts that a server may have run
	mapVersion     uint64             // version of the assignment map by which the last server was selected
	reservedRetry  *dispatch.Decision // server reserved, and retry of the budget spent, for the next attempt
	unreported     bool               // the present attempt holds its server; its result is not reported
	sending        bool               // the present attempt may be written, and it is not decided what follows it
	plannedRetry   *plannedRetry      // set while another attempt is to follow a failed one
	triedServerIDs []string
	sentServerIDs  []string          // servers to which the request was sent, also if they may be tried again
	serverResponse *ingress.Response // the last response of a server that may be passed on; sent if no further attempt gets another
	retryAfter     time.Duration     // for the caller, by the last refusal of a server; 0 for none
	lastServerID   string
	lastError      error
	failureReason  string // reason of a refusal or failure, for metrics
}

// Handle forwards a request to a backend server and returns the response for the
// caller.
func (e *Edge) Handle(ctx context.Context, r *ingress.Request) *ingress.Response {
	var c *callerRequest
	defer func() { r.NotRun = c == nil || c.possibleRuns == 0 && !c.sending }()
	c, response := e.routeRequest(r)
	switch {
	case response != nil:
	case c.route.Download && e.link != nil:
		response = c.forwardDownload(ctx)
	default:
		response = c.forward(ctx)
	}
	e.link.recordPassed(response)
	e.recordRequestMetrics(c, r, response)
	return response
}

// routeRequest looks up the route of a request. It returns a response in place of a
// callerRequest if the request cannot be forwarded.
func (e *Edge) routeRequest(r *ingress.Request) (*callerRequest, *ingress.Response) {
	mayDecide := e.mayDecide() // before the table is read, which is then no older than the state
	table := e.routeTable.Load()
	if table == nil {
		e.options.Journal.LogEvent(event.RequestRefused, "request_id", r.Header.Get(e.options.Headers.RequestID), "reason", "no_configuration")
		return nil, emptyResponse(http.StatusServiceUnavailable, defaultRetryAfter)
	}
	id := r.Header.Get(e.options.Headers.RequestID)
	if !mayDecide {
		e.options.Journal.LogRoutineEvent(event.RequestRefused, "request_id", id, "reason", reasonStateUnconfirmed, "config", table.Config.Version, "state_age_ms", e.stateAge().Milliseconds())
		return nil, emptyResponse(http.StatusServiceUnavailable, unconfirmedRetryAfter)
	}
	route := table.Match(r.Host, requestPath(r.RequestURI))
	if route == nil {
		e.options.Journal.LogEvent(event.RequestRefused, "request_id", id, "reason", "no_route", "config", table.Config.Version, "state_age_ms", e.stateAge().Milliseconds(), "caller_host", r.Host, "path", r.RequestURI)
		return nil, emptyResponse(http.StatusNotFound, 0)
	}
	if id == "" {
		e.options.Journal.LogEvent(event.RequestRefused, "reason", "no_request_id", "route", route.Name)
		return nil, emptyResponse(http.StatusBadRequest, 0)
	}
	c := &callerRequest{edge: e, request: r, route: route, requestID: id, service: e.splitter.Pick(route)}
	c.setPool()
	c.costs = c.costFeatures()
	c.deadline = r.ReceivedAt.Add(e.requestTimeout(r, route))
	c.pool.recordRequest()
	if c.keyed {
		e.recordKeyRequest(c.service, c.key)
	}
	return c, nil
}

// setPool sets the present pool of the request's service, and the key.
func (c *callerRequest) setPool() {
	c.pool = c.edge.poolFor(c.service)
	key, err := strconv.ParseUint(c.request.Header.Get(c.edge.options.Headers.Key), 10, 16)
	if c.keyed = err == nil && c.pool.keyed; c.keyed {
		c.key = uint16(key)
	}
}

func requestPath(uri string) string {
	if strings.HasPrefix(uri, "http://") {
		if u, err := url.Parse(uri); err == nil {
			return u.Path
		}
	}
	path, _, _ := strings.Cut(uri, "?")
	return path
}

// requestTimeout returns the shortest of the caller's, the route's and the default
// timeout.
func (e *Edge) requestTimeout(r *ingress.Request, route *routes.Route) time.Duration {
	d := defaultDeadline
	if ms, err := strconv.ParseFloat(r.Header.Get(e.options.Headers.Deadline), 64); err == nil && ms >= 0 {
		d = min(d, time.Duration(ms*float64(time.Millisecond)))
	}
	if route.Timeout > 0 {
		d = min(d, route.Timeout)
	}
	return d
}

// forward sends the request to servers until there is a response for the caller.
func (c *callerRequest) forward(ctx context.Context) *ingress.Response {
	defer c.releaseReservedRetry()
	for {
		decision, ok := c.acquireServer(ctx)
		if !ok {
			return c.abandon()
		}
		if decision.Reason != "" {
			return c.refuse(decision)
		}
		response, retry := c.sendToServer(ctx, decision)
		if !retry {
			return response
		}
		if ctx.Err() != nil {
			return c.abandon()
		}
	}
}

// acquireServer waits for a server with free capacity. It returns false if the
// caller closed its connection.
func (c *callerRequest) acquireServer(ctx context.Context) (dispatch.Decision, bool) {
	if c.reservedRetry != nil {
		return *c.reservedRetry, true
	}
	left := time.Until(c.deadline)
	if left < minAttemptTime {
		return dispatch.Decision{Reason: dispatch.WaitTooLong}, true
	}
	target := c.route.TargetLatency
	if target <= 0 {
		target = left
	}
	maxQueueWait := min(time.Duration(float64(target)*queueWaitShare), left-minAttemptTime)
	if c.attemptsSent > 0 {
		maxQueueWait = min(left/2, left-minAttemptTime)
	}
	c.mapVersion = c.edge.mapVersion()
	now := c.edge.now()
	decision, cancel := c.pool.submit(dispatch.Request{
		Rank: c.route.Rank, Deadline: now + left - minAttemptTime, MaxQueueWait: maxQueueWait, RunsOnce: !c.route.Idempotent, Keyed: c.keyed, Key: c.key, ExcludeIDs: c.triedServerIDs, Class: c.costs,
	})
	select {
	case v := <-decision:
		return v, true
	case <-c.edge.stopSending:
		cancel()
		return hostStops, true
	case <-ctx.Done():
		cancel()
		return dispatch.Decision{}, false
	}
}

// sendToServer makes one attempt at the selected server. retry reports that another
// attempt should follow.
func (c *callerRequest) sendToServer(ctx context.Context, decision dispatch.Decision) (callerResponse *ingress.Response, retry bool) {
	s := decision.Server
	reserved := c.reservedRetry != nil
	c.reservedRetry = nil
	c.unreported, c.placement = true, decision.Placement
	defer c.releaseUnreported(s.ID)
	if c.attemptsSent > 0 && !reserved && !c.pool.tryReserveRetryBudget() {
		c.pool.giveBackPermit(decision)
		c.reportResult(s.ID, dispatch.AttemptResult{Outcome: dispatch.Canceled})
		return c.giveUp("retry_budget"), false
	}
	c.recordRetry()
	callerCtx := ctx
	if !c.route.Idempotent {
		// A request that may run only once is not interrupted when the caller leaves:
		// the server may complete it.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline.Add(responseGrace))
	defer cancel()
	stopTimer := c.startSlowTimer(decision, cancel)
	defer stopTimer()
	if c.keyed {
		c.edge.recordContact(s.ID, 1, 0)
	}
	start := time.Now()
	rawRequest, furtherBody := c.encodeRequest(s)
	response, err := c.edge.options.Client.Do(ctx, upstream.Exchange{
		Address: s.Address, Method: c.request.Method, RawRequest: rawRequest, FurtherBody: furtherBody, Matches: c.matchesResponse,
		// All attempts have the ID of the request, so on a connection of an earlier one its
		// second response would be taken for the response to this one.
		NewConn:    slices.Contains(c.sentServerIDs, s.ID),
		DialUntil:  c.deadline.Add(-minAttemptTime),
		BeforeSend: func() error { return c.checkBeforeSend(callerCtx, decision) },
	})
	c.sentServerIDs = append(c.sentServerIDs, s.ID)
	slow := stopTimer()
	c.lastServerID = s.ID
	latency := time.Since(start)
	if err != nil {
		if !wasSent(err) {
			c.pool.giveBackPermit(decision)
		}
		callerResponse, retry = c.handleExchangeError(ctx, s, latency, slow, err)
		c.sending = false
		return callerResponse, retry
	}
	// The slow timer may have reserved a retry while the response arrived.
	c.releaseReservedRetry()
	c.attemptsSent++
	callerResponse, retry = c.handleResponse(callerCtx, s, latency, response)
	c.sending = false // not deferred: a panic above leaves open whether the request has run
	return callerResponse, retry
}

// reportResult reports the result of the attempt at a server and releases the server.
func (c *callerRequest) reportResult(id string, r dispatch.AttemptResult) {
	c.unreported, r.Placement = false, c.placement
	c.pool.reportResult(id, r)
}

// releaseUnreported releases a server whose attempt ended by a panic, without a result.
func (c *callerRequest) releaseUnreported(id string) {
	if c.unreported {
		c.reportResult(id, dispatch.AttemptResult{Outcome: dispatch.Canceled})
	}
}

// checkBeforeSend returns an error if the request must not be sent any more when the
// connection to its server is open.
func (c *callerRequest) checkBeforeSend(callerCtx context.Context, d dispatch.Decision) error {
	if callerCtx.Err() != nil {
		return errCallerLeft
	}
	if time.Until(c.deadline) < minAttemptTime {
		return errDeadlineTooClose
	}
	if c.edge.sendingStopped() {
		return errHostStops
	}
	if !c.edge.mayDecide() {
		return errStateUnconfirmed
	}
	if err := c.edge.checkPlacement(d.Server); err != nil {
		return err
	}
	if err := c.edge.checkPermit(d); err != nil {
		return err
	}
	c.sending = true
	return nil
}

// startSlowTimer starts a timer that cancels an attempt which exceeds the server's
// usual latency, if another server has free capacity and the retry budget allows a
// retry. This saves requests that were sent over a broken link or to a server that
// hangs. Without another server the attempt goes on, because its server may still
// be running the request. Keyed requests get no timer, since only the holder of the
// key can run them. The returned function stops the timer and
// reports whether it canceled the attempt.
func (c *callerRequest) startSlowTimer(decision dispatch.Decision, cancelAttempt func()) (stop func() bool) {
	left := time.Until(c.deadline)
	// The other server needs about as long, so the deadline must leave time for it.
	if decision.LatencyBound == 0 || c.keyed || !c.route.Idempotent || c.possibleRuns+1 >= max(1, c.route.Attempts) || len(c.triedServerIDs)+1 >= maxAttempts || left < decision.LatencyBound+decision.LatencyBound/2 {
		return func() bool { return false }
	}
	request := dispatch.Request{Rank: c.route.Rank, Deadline: c.edge.now() + left - minAttemptTime, MaxQueueWait: left, ExcludeIDs: append(slices.Clone(c.triedServerIDs), decision.Server.ID), Class: c.costs}
	var mu sync.Mutex
	stopped, slow := false, false
	timer := time.AfterFunc(decision.LatencyBound, func() {
		mu.Lock()
		defer mu.Unlock()
		if stopped {
			return
		}
		if next, ok := c.pool.tryReserveServerAndRetry(request); ok {
			c.reservedRetry, slow = &next, true
			cancelAttempt()
		}
	})
	return func() bool {
		timer.Stop()
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		return slow
	}
}

// releaseReservedRetry releases the server that was reserved for a retry which is
// not made. The retry stays charged to the budget.
func (c *callerRequest) releaseReservedRetry() {
	if c.reservedRetry != nil {
		c.pool.giveBackPermit(*c.reservedRetry)
		c.pool.reportResult(c.reservedRetry.Server.ID, dispatch.AttemptResult{Outcome: dispatch.Canceled, Placement: c.reservedRetry.Placement})
		c.reservedRetry = nil
	}
}

func (c *callerRequest) matchesResponse(h http.Header) bool {
	return h.Get(c.edge.options.Headers.RequestID) == c.requestID
}

// encodeRequest returns the request as it is written to a server, without the
// headers of the caller's connection and with the remaining deadline. A body that is not
// short follows in the pieces that it was read in, which all attempts share.
func (c *callerRequest) encodeRequest(s dispatch.Server) (rawRequest []byte, furtherBody [][]byte) {
	headers, r := c.edge.options.Headers, c.request
	size, short := r.PayloadSize(), r.PayloadSize() <= maxJoinedBody
	joined := 0
	if short {
		joined = size
	}
	b := make([]byte, 0, 512+joined)
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.RequestURI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	dropped := connectionOptions(r.Header)
	b = ingress.AppendHeader(b, r.Header, func(name string) bool {
		return name != headers.Deadline && name != headers.TargetServer && name != "Expect" && !dropped[name]
	})
	b = append(b, headers.Deadline...)
	b = append(b, ": "...)
	b = strconv.AppendInt(b, max(1, time.Until(c.deadline).Milliseconds()), 10)
	b = append(b, "\r\n"...)
	b = append(b, headers.TargetServer...)
	b = append(b, ": "...)
	b = append(b, s.ID...)
	b = append(b, "\r\n"...)
	if size > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(size), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	if !short {
		return b, r.Payload
	}
	for _, piece := range r.Payload {
		b = append(b, piece...)
	}
	return b, nil
}

// connectionOptions returns the names of the headers that the Connection header
// lists; they are not forwarded.
func connectionOptions(h http.Header) map[string]bool {
	values := h.Values("Connection")
	if len(values) == 0 {
		return nil
	}
	listed := map[string]bool{}
	for _, v := range values {
		for _, name := range strings.Split(v, ",") {
			listed[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return listed
}

// abandon ends a request whose caller has closed its connection.
func (c *callerRequest) abandon() *ingress.Response {
	c.failureReason = "caller_left"
	c.edge.options.Journal.LogRoutineEvent(event.RequestAbandoned, "request_id", c.requestID, "route", c.route.Name, "server", c.lastServerID,
		"sends", c.attemptsSent, "ms", time.Since(c.request.ReceivedAt).Milliseconds())
	return &ingress.Response{Abort: true}
}

// formatSeconds formats a duration in seconds with three decimals.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
