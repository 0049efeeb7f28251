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

	"parsleyrelay.example/core/dispatch"
	"parsleyrelay.example/core/event"
	"parsleyrelay.example/core/routes"
	"parsleyrelay.example/relay/ingress"
	"parsleyrelay.example/relay/upstream"
)

// Times of a request.
const (
	// defaultDeadline applies if neither caller nor route states one.
	defaultDeadline = 30 * time.Second
	// answerGrace is the time after the deadline in which a response that the
	// server sends at the deadline may still arrive.
	answerGrace = 120 * time.Millisecond
	// minUseful is the least time that must be left for an attempt.
	minUseful = 30 * time.Millisecond
	// patienceShare is the part of the target latency that a request may wait;
	// the rest is needed to run it.
	patienceShare = 0.6
	// comeBackShare of the target latency is the pause that a caller is asked for
	// after a server refused; most of the rest is needed to run the request.
	comeBackShare = 0.3
	// mapCheck spaces looks for a newer map after a server said that it does not
	// hold the key.
	mapCheck = 15 * time.Millisecond
	// unknownRetryAfter is told when nothing says how long to wait.
	unknownRetryAfter = 500 * time.Millisecond
	// maxSends bounds the attempts that servers refused without running.
	maxSends = 4
)

// job is a request on its way.
type job struct {
	edge     *Edge
	request  *ingress.Request
	route    *routes.Route
	service  string
	pool     *pool
	id       string
	deadline time.Time
	key      uint16
	keyed    bool

	sends      int                // attempts that may have reached a server
	runs       int                // attempts that a server may have run
	mapVersion uint64             // of the map by which the last server was chosen
	next       *dispatch.Decision // taken from pool and retry budget for the next attempt
	tried      []string
	failure    *ingress.Response // a server's own failure, if there is nothing better
	lastServer string
	lastError  error
	reason     string // of a refusal or failure, for metrics
}

// Handle answers a request.
func (e *Edge) Handle(ctx context.Context, r *ingress.Request) *ingress.Response {
	j, answer := e.begin(r)
	if answer == nil {
		answer = j.run(ctx)
	}
	e.count(j, r, answer)
	return answer
}

// begin looks up the route of a request. It returns a response if there is
// nothing to be sent to a server.
func (e *Edge) begin(r *ingress.Request) (*job, *ingress.Response) {
	table := e.table.Load()
	if table == nil {
		e.options.Journal.Event(event.RequestRefused, "request_id", r.Header.Get(e.options.Headers.RequestID), "reason", "no_configuration")
		return nil, refusal(http.StatusServiceUnavailable, unknownRetryAfter)
	}
	id := r.Header.Get(e.options.Headers.RequestID)
	route := table.Match(r.Host, requestPath(r.RequestURI))
	if route == nil {
		e.options.Journal.Event(event.RequestRefused, "request_id", id, "reason", "no_route", "config", table.Config.Version, "caller_host", r.Host, "path", r.RequestURI)
		return nil, refusal(http.StatusNotFound, 0)
	}
	if id == "" {
		e.options.Journal.Event(event.RequestRefused, "reason", "no_request_id", "route", route.Name)
		return nil, refusal(http.StatusBadRequest, 0)
	}
	j := &job{edge: e, request: r, route: route, id: id, service: e.splitter.Pick(route)}
	j.pool = e.pool(j.service)
	j.deadline = r.ReceivedAt.Add(e.allowance(r, route))
	if key, err := strconv.ParseUint(r.Header.Get(e.options.Headers.Key), 10, 16); err == nil && j.pool.keyed {
		j.key, j.keyed = uint16(key), true
		e.arrived(j.service, j.key)
	}
	j.pool.firstArrival()
	return j, nil
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

// allowance is the time that the caller and the route allow.
func (e *Edge) allowance(r *ingress.Request, route *routes.Route) time.Duration {
	d := defaultDeadline
	if ms, err := strconv.ParseFloat(r.Header.Get(e.options.Headers.Deadline), 64); err == nil && ms >= 0 {
		d = min(d, time.Duration(ms*float64(time.Millisecond)))
	}
	if route.Timeout > 0 {
		d = min(d, route.Timeout)
	}
	return d
}

// run sends the request to servers until there is an answer for the caller.
func (j *job) run(ctx context.Context) *ingress.Response {
	defer j.release()
	for {
		v, ok := j.acquire(ctx)
		if !ok {
			return j.abandoned()
		}
		if v.Reason != "" {
			return j.refused(v)
		}
		response, again := j.attempt(ctx, v)
		if !again {
			return response
		}
		if ctx.Err() != nil {
			return j.abandoned()
		}
	}
}

// acquire waits for a server with room. It returns false if the caller left.
func (j *job) acquire(ctx context.Context) (dispatch.Decision, bool) {
	if j.next != nil {
		return *j.next, true
	}
	left := time.Until(j.deadline)
	if left < minUseful {
		return dispatch.Decision{Reason: dispatch.WaitTooLong}, true
	}
	target := j.route.TargetLatency
	if target <= 0 {
		target = left
	}
	patience := min(time.Duration(float64(target)*patienceShare), left-minUseful)
	if j.sends > 0 {
		patience = min(left/2, left-minUseful)
	}
	j.mapVersion = j.edge.mapVersion()
	now := j.edge.now()
	verdict, cancel := j.pool.submit(dispatch.Request{
		Rank: j.route.Rank, Deadline: now + left - minUseful, MaxQueueWait: patience, Keyed: j.keyed, Key: j.key, ExcludeIDs: j.tried,
	})
	select {
	case v := <-verdict:
		return v, true
	case <-ctx.Done():
		cancel()
		return dispatch.Decision{}, false
	}
}

// attempt sends the request to a server. again says that it should be sent to
// another one.
func (j *job) attempt(ctx context.Context, v dispatch.Decision) (answer *ingress.Response, again bool) {
	s := v.Server
	prepaid := j.next != nil
	j.next = nil
	if j.sends > 0 && !prepaid && !j.pool.takeRetry() {
		j.pool.done(s.ID, dispatch.AttemptResult{Outcome: dispatch.Canceled})
		return j.giveUp("retry_budget"), false
	}
	caller := ctx
	if !j.route.Idempotent {
		// The server may run it to its end although the caller left.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline.Add(answerGrace))
	defer cancel()
	endLimit := j.limit(v, cancel)
	start := time.Now()
	response, err := j.edge.options.Client.Do(ctx, upstream.Exchange{
		Address: s.Address, Method: j.request.Method, RawRequest: j.encode(s), Matches: j.matches,
	})
	slow := endLimit()
	j.lastServer = s.ID
	latency := time.Since(start)
	if err != nil {
		return j.broken(ctx, s, latency, slow, err)
	}
	j.release()
	j.sends++
	return j.judge(caller, s, latency, response)
}

// limit gives an attempt up after the usual time if another server takes the
// request at once and the retry budget allows it, so that a request that was sent
// into a cut link or to a server that hangs is not lost. Without another server
// the attempt goes on: its server may be at work. The returned function ends the
// limit and says whether it gave the attempt up.
func (j *job) limit(v dispatch.Decision, giveUp func()) (end func() bool) {
	left := time.Until(j.deadline)
	// The other server needs about as long.
	if v.LatencyBound == 0 || j.keyed || !j.route.Idempotent || j.runs+1 >= max(1, j.route.Attempts) || len(j.tried)+1 >= maxSends || left < v.LatencyBound+v.LatencyBound/2 {
		return func() bool { return false }
	}
	request := dispatch.Request{Rank: j.route.Rank, Deadline: j.edge.now() + left - minUseful, MaxQueueWait: left, ExcludeIDs: append(slices.Clone(j.tried), v.Server.ID)}
	var mu sync.Mutex
	ended, slow := false, false
	timer := time.AfterFunc(v.LatencyBound, func() {
		mu.Lock()
		defer mu.Unlock()
		if ended {
			return
		}
		if next, ok := j.pool.takeForRetry(request); ok {
			j.next, slow = &next, true
			giveUp()
		}
	})
	return func() bool {
		timer.Stop()
		mu.Lock()
		defer mu.Unlock()
		ended = true
		return slow
	}
}

// release gives a server back that was taken for an attempt that is not made.
func (j *job) release() {
	if j.next != nil {
		j.pool.done(j.next.Server.ID, dispatch.AttemptResult{Outcome: dispatch.Canceled})
		j.next = nil
	}
}

func (j *job) matches(h http.Header) bool {
	return h.Get(j.edge.options.Headers.RequestID) == j.id
}

// encode returns the bytes of the request as a server gets them.
func (j *job) encode(s dispatch.Server) []byte {
	names, r := j.edge.options.Headers, j.request
	b := make([]byte, 0, 512+len(r.Payload))
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.RequestURI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	listed := connectionOptions(r.Header)
	b = ingress.AppendHeader(b, r.Header, func(name string) bool {
		return name != names.Deadline && name != names.TargetServer && name != "Expect" && !listed[name]
	})
	b = append(b, names.Deadline...)
	b = append(b, ": "...)
	b = strconv.AppendInt(b, max(1, time.Until(j.deadline).Milliseconds()), 10)
	b = append(b, "\r\n"...)
	b = append(b, names.TargetServer...)
	b = append(b, ": "...)
	b = append(b, s.ID...)
	b = append(b, "\r\n"...)
	if len(r.Payload) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Payload)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, r.Payload...)
}

// connectionOptions are the headers that the Connection header names.
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

// deliver turns a server's response into the caller's.
func (j *job) deliver(r *upstream.Response) *ingress.Response {
	names := j.edge.options.Headers
	listed := connectionOptions(r.Header)
	h := make(http.Header, len(r.Header))
	for name, values := range r.Header {
		if name != names.ServerLoad && !listed[name] {
			h[name] = values
		}
	}
	return &ingress.Response{Status: r.Status, Header: h, Body: r.Body}
}

// refused answers a request for which no server was found.
func (j *job) refused(v dispatch.Decision) *ingress.Response {
	if j.failure != nil || j.runs > 0 {
		return j.giveUp(string(v.Reason))
	}
	j.reason = string(v.Reason)
	j.edge.options.Journal.Event(event.RequestRefused, "request_id", j.id, "route", j.route.Name, "service", j.service, "reason", v.Reason,
		"rank", j.route.Rank, "key", j.key, "sends", j.sends, "last_server", j.lastServer, "waited_ms", time.Since(j.request.ReceivedAt).Milliseconds(),
		"left_ms", time.Until(j.deadline).Milliseconds(), "retry_after_ms", v.RetryAfter.Milliseconds(),
		"config", j.edge.ConfigVersion(), "map", j.edge.mapVersion())
	return refusal(http.StatusServiceUnavailable, v.RetryAfter)
}

// giveUp answers a request that gets no further attempt: a promise that it did
// not run if that is certain, the server's own failure if there is one.
func (j *job) giveUp(reason string) *ingress.Response {
	if j.failure == nil && j.runs == 0 {
		return j.refused(dispatch.Decision{Reason: dispatch.RefusalReason(reason), RetryAfter: unknownRetryAfter})
	}
	j.reason = reason
	j.edge.options.Journal.Event(event.RequestUnknown, "request_id", j.id, "route", j.route.Name, "service", j.service, "reason", reason,
		"server", j.lastServer, "sends", j.sends, "runs", j.runs, "ms", time.Since(j.request.ReceivedAt).Milliseconds(),
		"config", j.edge.ConfigVersion(), "map", j.edge.mapVersion(), "error", j.lastError)
	if j.failure != nil {
		return j.failure
	}
	if time.Until(j.deadline) <= 0 {
		return refusal(http.StatusGatewayTimeout, 0)
	}
	return refusal(http.StatusBadGateway, 0)
}

func (j *job) abandoned() *ingress.Response {
	j.reason = "caller_left"
	j.edge.options.Journal.Routine(event.RequestAbandoned, "request_id", j.id, "route", j.route.Name, "server", j.lastServer,
		"sends", j.sends, "ms", time.Since(j.request.ReceivedAt).Milliseconds())
	return &ingress.Response{Abort: true}
}

// parseLoad reads "running,waiting,slots"; nil if it is not that.
func parseLoad(s string) *dispatch.Load {
	parts := strings.Split(s, ",")
	if len(parts) != 3 {
		return nil
	}
	var n [3]int
	for i, p := range parts {
		v, err := strconv.Atoi(strings.TrimSpace(p))
		if err != nil || v < 0 {
			return nil
		}
		n[i] = v
	}
	return &dispatch.Load{Running: n[0], Waiting: n[1], Slots: n[2]}
}

// formatSeconds writes a duration as seconds with milliseconds.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
