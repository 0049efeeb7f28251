package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/assignment"
	"parsleyrelay.example/core/directory"
	"parsleyrelay.example/core/dispatch"
	"parsleyrelay.example/core/retry"
	"parsleyrelay.example/core/routes"
	"parsleyrelay.example/relay/ingress"
	"parsleyrelay.example/relay/telemetry"
	"parsleyrelay.example/relay/upstream"
)

var testHeaders = Headers{RequestID: "X-Id", Deadline: "X-Deadline", TargetServer: "X-Target", ServerLoad: "X-Load", NotExecuted: "X-Not-Run",
	Key: "X-Key", Signature: "X-Signature", ServerID: "X-Server", ServerLeaving: "X-Leaving", RetryAfter: "Retry-After"}

// scriptedServer answers requests with the responses of a function and records the
// requests.
type scriptedServer struct {
	id, address string
	mu          sync.Mutex
	requests    []*http.Request
	repeats     bool // each response is sent again where the next one on its connection is expected
}

func startScriptedServer(t *testing.T, id string, answer func(r *http.Request) string) *scriptedServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &scriptedServer{id: id, address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c, answer)
		}
	}()
	return s
}

func (s *scriptedServer) serve(c net.Conn, answer func(r *http.Request) string) {
	defer c.Close()
	reader := bufio.NewReader(c)
	former := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.mu.Lock()
		s.requests = append(s.requests, r)
		repeats := s.repeats
		s.mu.Unlock()
		text := answer(r)
		if text == "" {
			return
		}
		if repeats {
			_, _ = io.WriteString(c, former)
		}
		_, _ = io.WriteString(c, text)
		former = text
	}
}

func (s *scriptedServer) requestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

func formatResponse(r *http.Request, status int, headers string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nX-Id: %s\r\n%sContent-Length: 2\r\n\r\nok", status, r.Header.Get("X-Id"), headers)
}

func signedResponse(r *http.Request) string { return formatResponse(r, 200, "X-Signature: s\r\n") }

func newEdge(t *testing.T, servers ...*scriptedServer) *Edge {
	return newEdgeWithJournal(t, io.Discard, servers...)
}

func newEdgeWithJournal(t *testing.T, out io.Writer, servers ...*scriptedServer) *Edge {
	return newEdgeWithClient(t, out, upstream.NewClient(), servers...)
}

// newEdgeWithClient returns an Edge that was started a window of the retry budget ago.
func newEdgeWithClient(t *testing.T, out io.Writer, client *upstream.Client, servers ...*scriptedServer) *Edge {
	return newEdgeOfAge(t, 10*time.Second, out, client, servers...)
}

func newEdgeOfAge(t *testing.T, age time.Duration, out io.Writer, client *upstream.Client, servers ...*scriptedServer) *Edge {
	journal := telemetry.NewJournal(out, "h", "a")
	t.Cleanup(journal.Close)
	e := New(Options{Host: "h", Zone: "a", Headers: testHeaders, Journal: journal, Client: client,
		Budget: RetryBudget{Ratio: 0.2, Slack: 5, Window: 10 * time.Second}})
	e.startedAt -= age
	e.Configure(routes.Config{Version: 1, Services: map[string]routes.Service{"s": {Name: "s"}}, Routes: []routes.Route{
		{Name: "safe", Host: "h", Prefix: "/safe/", Idempotent: true, Attempts: 2, Timeout: time.Second, TargetLatency: time.Second, Targets: []routes.Target{{Service: "s", Weight: 1}}},
		{Name: "once", Host: "h", Prefix: "/once/", Attempts: 2, Timeout: time.Second, TargetLatency: time.Second, Targets: []routes.Target{{Service: "s", Weight: 1}}},
	}})
	known := map[string]directory.Server{}
	for _, s := range servers {
		known[s.id] = directory.Server{ID: s.id, Service: "s", Address: s.address, Zone: "a", Slots: 2}
	}
	e.SetServers(known)
	return e
}

func sendRequest(e *Edge, ctx context.Context, path string) *ingress.Response {
	r, _ := http.NewRequest(http.MethodGet, "http://h"+path, nil)
	r.RequestURI = path
	r.Header.Set("X-Id", "a1")
	r.Header.Set("X-Deadline", "800")
	r.Header.Set("X-Key", "7")
	r.Header.Set("Connection", "X-Secret")
	r.Header.Set("X-Secret", "1")
	return e.Handle(ctx, &ingress.Request{Request: r, ReceivedAt: time.Now()})
}

// Guards against a forwarded request that lacks the remaining deadline or names
// another server, and against forwarded hop-by-hop headers.
func TestForwardedHeaders(t *testing.T) {
	s := startScriptedServer(t, "s1", signedResponse)
	answer := sendRequest(newEdge(t, s), context.Background(), "/safe/x?q=1")
	require.Equal(t, 200, answer.Status)
	require.Equal(t, "ok", string(answer.Body))
	require.Equal(t, "s", answer.Header.Get("X-Signature"))
	got := s.requests[0]
	require.Equal(t, "/safe/x?q=1", got.RequestURI)
	require.Equal(t, "s1", got.Header.Get("X-Target"))
	require.Empty(t, got.Header.Get("X-Secret"))
	left, err := strconv.Atoi(got.Header.Get("X-Deadline"))
	require.NoError(t, err)
	require.LessOrEqual(t, left, 800)
}

// Guards against a retry of a non-idempotent request whose response was lost, and
// against a 503 response, which promises that it has not run.
func TestNonIdempotentRequestIsSentOnce(t *testing.T) {
	closeConnection := func(*http.Request) string { return "" }
	a, b := startScriptedServer(t, "s1", closeConnection), startScriptedServer(t, "s2", closeConnection)
	answer := sendRequest(newEdge(t, a, b), context.Background(), "/once/x")
	require.Equal(t, http.StatusBadGateway, answer.Status)
	require.Equal(t, 1, a.requestCount()+b.requestCount())
}

// Guards against the failure of an idempotent request that another server can run.
func TestIdempotentRequestIsSentToAnotherServer(t *testing.T) {
	a := startScriptedServer(t, "s1", func(*http.Request) string { return "" })
	b := startScriptedServer(t, "s2", func(r *http.Request) string { return formatResponse(r, 500, "X-Signature: s\r\n") })
	c := startScriptedServer(t, "s3", signedResponse)
	for _, bad := range []*scriptedServer{a, b} {
		e := newEdge(t, bad, c)
		for range 4 {
			require.Equal(t, 200, sendRequest(e, context.Background(), "/safe/x").Status)
		}
	}
	require.Positive(t, a.requestCount())
	require.Positive(t, b.requestCount())
}

// Guards against the failure of a keyed idempotent request whose response was lost.
// Only the holder of the key can run it again.
func TestKeyedIdempotentRequestIsRetriedAtItsHolder(t *testing.T) {
	var answers atomic.Int32
	a := startScriptedServer(t, "s1", func(r *http.Request) string {
		if answers.Add(1) == 1 {
			return ""
		}
		return signedResponse(r)
	})
	e := newKeyedEdge(t, a)
	require.Equal(t, 200, sendRequest(e, context.Background(), "/safe/x").Status)
	require.Equal(t, 2, a.requestCount())
}

// newKeyedEdge returns an Edge with a keyed service; the first server holds all keys.
func newKeyedEdge(t *testing.T, servers ...*scriptedServer) *Edge {
	e := newEdge(t, servers...)
	setKeyed(e, servers...)
	return e
}

// setKeyed makes the service a keyed one; the first server holds all keys.
func setKeyed(e *Edge, servers ...*scriptedServer) {
	e.Configure(routes.Config{Version: 2, Services: map[string]routes.Service{"s": {Name: "s", Keyed: true}}, Routes: e.routeTable.Load().Config.Routes})
	known := map[string]directory.Server{}
	for _, s := range servers {
		known[s.id] = directory.Server{ID: s.id, Service: "s", Address: s.address, Zone: "a", Slots: 2}
	}
	e.SetServers(known)
	e.SetAssignment(assignmentTo(servers[0], 1))
}

func assignmentTo(s *scriptedServer, nextOffset uint64) *assignment.Map {
	return &assignment.Map{NextOffset: nextOffset, Services: map[string][]assignment.Range{"s": {{From: 0, To: 65535, Owner: assignment.ServerIncarnation{ID: s.id}}}}}
}

// A partly failing server refuses some of its requests although it has free slots.
// Guards against the refusal of a request that its holder would accept on the next
// attempt.
func TestHolderWithShortQueueIsRetried(t *testing.T) {
	var answers atomic.Int32
	answer := func(load string) func(r *http.Request) string {
		return func(r *http.Request) string {
			if answers.Add(1)%2 == 1 {
				return formatResponse(r, 503, "X-Not-Run: 1\r\nX-Load: "+load+"\r\n")
			}
			return signedResponse(r)
		}
	}
	for _, load := range []string{"1,0,2", "2,1,2"} {
		answers.Store(0)
		partlyRefusing := startScriptedServer(t, "s1", answer(load))
		require.Equal(t, 200, sendRequest(newKeyedEdge(t, partlyRefusing), context.Background(), "/once/x").Status)
		require.Equal(t, 2, partlyRefusing.requestCount())
		withoutBudget := newKeyedEdge(t, partlyRefusing)
		withoutBudget.pools["s"].retryBudget = retry.HostBudget{Window: time.Second}
		refusal := sendRequest(withoutBudget, context.Background(), "/once/x")
		require.Equal(t, 503, refusal.Status)
		require.Equal(t, "0.050", refusal.Header.Get("Retry-After"), "a wait does not raise the chance of the next attempt")
	}

	full := startScriptedServer(t, "s1", answer("2,3,2"))
	answers.Store(0)
	refusal := sendRequest(newKeyedEdge(t, full), context.Background(), "/once/x")
	require.Equal(t, 503, refusal.Status)
	require.Equal(t, "0.300", refusal.Header.Get("Retry-After"), "a later retry of the caller would miss the target latency")
	require.Equal(t, 1, full.requestCount())
}

// Guards against a request that runs twice, or is said not to have run although it has:
// the second copy of a refusal, which has the ID of the request, is taken for the
// response to the next attempt at the same server.
func TestSecondRefusalDoesNotAnswerTheNextAttempt(t *testing.T) {
	var attempts, runs atomic.Int32
	holder := startScriptedServer(t, "s1", func(r *http.Request) string {
		if attempts.Add(1) == 1 {
			return formatResponse(r, 503, "X-Not-Run: 1\r\nX-Load: 1,0,2\r\n")
		}
		runs.Add(1)
		return signedResponse(r)
	})
	holder.mu.Lock()
	holder.repeats = true
	holder.mu.Unlock()
	require.Equal(t, 200, sendRequest(newKeyedEdge(t, holder), context.Background(), "/once/x").Status)
	require.EqualValues(t, 1, runs.Load())
}

// Guards against retries, which use up the retry budget, at a server that does not
// hold the key while no newer assignment map is known, and against the refusal of a
// request whose key has just moved.
func TestMisdirectedKeyWaitsForNewerMap(t *testing.T) {
	previousHolder := startScriptedServer(t, "s1", func(r *http.Request) string { return formatResponse(r, 421, "X-Not-Run: 1\r\nX-Server: s1\r\n") })
	newHolder := startScriptedServer(t, "s2", signedResponse)
	e := newKeyedEdge(t, previousHolder, newHolder)
	require.Equal(t, 503, sendRequest(e, context.Background(), "/safe/x").Status)
	require.Equal(t, 1, previousHolder.requestCount())

	time.AfterFunc(100*time.Millisecond, func() { e.SetAssignment(assignmentTo(newHolder, 2)) })
	require.Equal(t, 200, sendRequest(e, context.Background(), "/safe/x").Status)
	require.Equal(t, 2, previousHolder.requestCount())
	require.Equal(t, 1, newHolder.requestCount())
}

// Guards against an unknown outcome for a request that a server refused without
// running it, and against a refusal of a request that has run.
func TestRefusalOnlyIfNotRun(t *testing.T) {
	full := startScriptedServer(t, "s1", func(r *http.Request) string { return formatResponse(r, 503, "X-Not-Run: 1\r\n") })
	answer := sendRequest(newEdge(t, full), context.Background(), "/once/x")
	require.Equal(t, http.StatusServiceUnavailable, answer.Status)
	require.NotEmpty(t, answer.Header.Get("Retry-After"))

	for _, test := range []struct {
		status int
		path   string
		want   int
	}{{503, "/once/x", 502}, {503, "/safe/x", 503}, {500, "/once/x", 500}, {500, "/safe/x", 500}} {
		failing := startScriptedServer(t, "s1", func(r *http.Request) string { return formatResponse(r, test.status, "X-Signature: s\r\n") })
		answer = sendRequest(newEdge(t, failing), context.Background(), test.path)
		require.Equal(t, test.want, answer.Status, test)
		require.Equal(t, test.want == test.status, answer.Header.Get("X-Signature") == "s", "the signature goes with the status of the server: %v", test)
	}
}

// Guards against the delivery of a success response without the server's signature.
func TestUnsignedSuccessIsNotDelivered(t *testing.T) {
	s := startScriptedServer(t, "s1", func(r *http.Request) string { return formatResponse(r, 200, "") })
	require.Equal(t, http.StatusBadGateway, sendRequest(newEdge(t, s), context.Background(), "/once/x").Status)
}

// Guards against a request that waits beyond its deadline.
func TestRequestEndsAtDeadline(t *testing.T) {
	s := startScriptedServer(t, "s1", func(r *http.Request) string { time.Sleep(3 * time.Second); return signedResponse(r) })
	begin := time.Now()
	answer := sendRequest(newEdge(t, s), context.Background(), "/once/x")
	require.Equal(t, http.StatusGatewayTimeout, answer.Status)
	require.Less(t, time.Since(begin), 800*time.Millisecond+responseGrace+250*time.Millisecond)
}

// Guards against status 404 while the host has no configuration, and against another
// status for a path without a route once it has one.
func TestHostWithoutConfigurationRefuses(t *testing.T) {
	journal := telemetry.NewJournal(io.Discard, "h", "a")
	defer journal.Close()
	e := New(Options{Headers: testHeaders, Journal: journal, Client: upstream.NewClient()})
	require.False(t, e.Ready())
	require.Equal(t, http.StatusServiceUnavailable, sendRequest(e, context.Background(), "/safe/x").Status)
	require.Equal(t, http.StatusNotFound, sendRequest(newEdge(t), context.Background(), "/other/").Status)
}

// Guards against the replacement of a configuration by an older one.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	e := newEdge(t)
	require.False(t, e.Configure(routes.Config{Version: 1}))
	require.True(t, e.Configure(routes.Config{Version: 5}))
	require.False(t, e.Configure(routes.Config{Version: 4}))
	require.Equal(t, uint64(5), e.ConfigVersion())
}

// Guards against a deployment-wide retry budget that grows with the number of hosts.
func TestHostsShareRetrySlack(t *testing.T) {
	a := startScriptedServer(t, "s1", func(r *http.Request) string { return formatResponse(r, 500, "X-Signature: s\r\n") })
	b := startScriptedServer(t, "s2", func(r *http.Request) string { return formatResponse(r, 500, "X-Signature: s\r\n") })
	e := newEdge(t, a, b)
	e.SetHostCount(5)
	for range 10 {
		sendRequest(e, context.Background(), "/safe/x")
	}
	// The slack of 5 shared by five hosts allows one retry, the ratio of 0.2 two more
	// for ten requests.
	require.LessOrEqual(t, a.requestCount()+b.requestCount(), 10+1+2)
	require.Greater(t, a.requestCount()+b.requestCount(), 10)
}

// Guards against a host that has the slack of the retry budget again with each start. The
// process before it may just have used the slack.
func TestStartedHostHasNoRetrySlack(t *testing.T) {
	failing := func(r *http.Request) string { return formatResponse(r, 500, "X-Signature: s\r\n") }
	a, b := startScriptedServer(t, "s1", failing), startScriptedServer(t, "s2", failing)
	e := newEdgeOfAge(t, 0, io.Discard, upstream.NewClient(), a, b)
	require.Equal(t, 500, sendRequest(e, context.Background(), "/safe/x").Status)
	require.Equal(t, 1, a.requestCount()+b.requestCount())
	for range 3 {
		sendRequest(e, context.Background(), "/safe/x")
	}
	require.Equal(t, 4, a.requestCount()+b.requestCount())
	sendRequest(e, context.Background(), "/safe/x")
	require.Equal(t, 6, a.requestCount()+b.requestCount(), "five requests allow one retry")
	e.startedAt -= e.options.Budget.Window
	sendRequest(e, context.Background(), "/safe/x")
	require.Equal(t, 8, a.requestCount()+b.requestCount())
}

// Guards against a retry that is counted although the budget did not allow it.
func TestRetryWithoutBudgetIsNotCounted(t *testing.T) {
	failing := func(r *http.Request) string { return formatResponse(r, 500, "X-Signature: s\r\n") }
	a, b := startScriptedServer(t, "s1", failing), startScriptedServer(t, "s2", failing)
	for slack, want := range map[float64]int{0: 0, 1: 1} {
		var out strings.Builder
		e := newEdgeWithJournal(t, &out, a, b)
		e.options.Budget = RetryBudget{Slack: slack, Window: 10 * time.Second}
		e.pools["s"].retryBudget = retry.HostBudget{Slack: slack, Window: 10 * time.Second}
		require.Equal(t, 500, sendRequest(e, context.Background(), "/safe/x").Status)
		e.options.Journal.Close()
		require.Equal(t, want, strings.Count(out.String(), "name=request_retried"), "slack %v", slack)
	}
}

// unansweringAddress returns an address whose listen queue is full, so that
// connections are neither accepted nor refused, as over a link that drops packets.
func unansweringAddress(t *testing.T) string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	name, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	address := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for range 8 {
		c, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	t.Fatal("the listen queue did not fill up: all connections were accepted")
	return ""
}

// An availability zone is unreachable over links that drop packets. Guards against
// a dial timeout that is taken for the caller's deadline: the request is refused
// although another server has free capacity, and the unreachable server gets the
// next request, too.
func TestUnansweredConnectionIsNotTheDeadline(t *testing.T) {
	reachable, address := startScriptedServer(t, "s1", signedResponse), unansweringAddress(t)
	dials, trials := uint64(0), uint64(12)
	for n := range trials { // the id decides which server is selected first
		id := fmt.Sprint("c", n)
		e := newEdge(t, reachable, &scriptedServer{id: id, address: address})
		for range 3 {
			require.Equal(t, 200, sendRequest(e, context.Background(), "/once/x").Status, id)
		}
		dials += e.options.Client.DialAttempts.Load()
	}
	require.Greater(t, dials, trials, "the unreachable server was never tried")
	require.LessOrEqual(t, dials, 2*trials, "the unreachable server got the next request, too")
}

// Guards against an attempt that is canceled after the server's usual latency, while
// the server is running the request, although no other server can take it. The
// caller then gets status 502.
func TestSlowAttemptContinuesWithoutAnotherServer(t *testing.T) {
	var slow atomic.Bool
	e := newEdge(t, startScriptedServer(t, "s1", func(r *http.Request) string {
		if slow.Load() {
			time.Sleep(450 * time.Millisecond)
		}
		return signedResponse(r)
	}))
	for range 40 {
		require.Equal(t, 200, sendRequest(e, context.Background(), "/safe/x").Status)
	}
	slow.Store(true)
	require.Equal(t, 200, sendRequest(e, context.Background(), "/safe/x").Status)
}

// assignRequest assigns a request to a server without sending it.
func assignRequest(t *testing.T, e *Edge) (*callerRequest, dispatch.Decision) {
	r, err := http.NewRequest(http.MethodGet, "http://h/once/x", nil)
	require.NoError(t, err)
	r.RequestURI = "/once/x"
	r.Header.Set("X-Id", "a1")
	c, refusal := e.routeRequest(&ingress.Request{Request: r, ReceivedAt: time.Now()})
	require.Nil(t, refusal)
	decision, ok := c.acquireServer(context.Background())
	require.True(t, ok)
	return c, decision
}

// Guards against a request that reaches a server long after its leaving was acknowledged,
// because it was assigned to the server before and then waited for a connection.
func TestRequestIsNotSentToAServerThatLeftMeanwhile(t *testing.T) {
	for _, draining := range []bool{false, true} {
		first, second := startScriptedServer(t, "s1", signedResponse), startScriptedServer(t, "s2", signedResponse)
		e := newEdge(t, first)
		c, decision := assignRequest(t, e)
		require.Equal(t, "s1", decision.Server.ID)
		known := map[string]directory.Server{"s2": {ID: "s2", Service: "s", Address: second.address, Slots: 2}}
		if draining {
			known["s1"] = directory.Server{ID: "s1", Service: "s", Address: first.address, Slots: 2, Draining: true}
		}
		e.SetServers(known)
		response, retry := c.sendToServer(context.Background(), decision)
		require.Nil(t, response)
		require.True(t, retry)
		require.Equal(t, 200, c.forward(context.Background()).Status)
		require.Zero(t, first.requestCount())
		require.Equal(t, 1, second.requestCount())
	}
}

// Guards against a request that reaches its server after the caller's deadline, because
// it waited for a connection until then.
func TestRequestIsNotSentAtItsDeadline(t *testing.T) {
	server := startScriptedServer(t, "s1", signedResponse)
	e := newEdge(t, server)
	c, decision := assignRequest(t, e)
	c.deadline = time.Now().Add(minAttemptTime / 2)
	response, retry := c.sendToServer(context.Background(), decision)
	require.False(t, retry)
	require.Equal(t, 503, response.Status)
	require.Zero(t, server.requestCount())
}
