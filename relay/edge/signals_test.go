package edge

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/directory"
	"parsleyrelay.example/core/dispatch"
	"parsleyrelay.example/core/routes"
	"parsleyrelay.example/relay/telemetry"
)

// signalRecorder keeps the servers of an Edge as a host does, and records its signals.
type signalRecorder struct {
	skipped   atomic.Int64 // time by which the clock of the Edge was advanced
	mu        sync.Mutex
	directory *directory.Directory
	signals   []Signal
	pauses    []time.Duration // that the signals ask for
	log       strings.Builder
}

// newSignalEdge returns an Edge that reports to a recorder. All servers were born at 1.
func newSignalEdge(t *testing.T, keyed bool, servers ...*scriptedServer) (*Edge, *signalRecorder) {
	rec := &signalRecorder{directory: directory.New(time.Minute)}
	e := newEdgeWithJournal(t, &rec.log, servers...)
	if keyed {
		config := e.routeTable.Load().Config
		config.Version++
		s := config.Services["s"]
		s.Keyed = true
		config.Services["s"] = s
		e.pools = map[string]*servicePool{}
		e.Configure(config)
		e.SetAssignment(assignmentTo(servers[0], 1))
	}
	start := time.Now()
	e.options.Now = func() time.Duration { return time.Hour + time.Duration(rec.skipped.Load()) + time.Since(start) }
	e.startedAt = time.Hour - time.Minute
	for _, s := range servers {
		rec.directory.Put(0, directory.Server{ID: s.id, Born: 1, Service: "s", Address: s.address, Zone: "a", Slots: 2})
	}
	e.SetServers(rec.directory.All())
	e.options.OnSignal = func(s Signal) {
		rec.mu.Lock()
		defer rec.mu.Unlock()
		rec.signals = append(rec.signals, s)
		rec.pauses = append(rec.pauses, s.PausedUntil-e.options.Now())
		if s.Leaving {
			rec.directory.MarkLeaving(e.options.Now(), s.Life, directory.SourceAnswer)
		}
		rec.directory.Pause(e.options.Now(), s.Life, s.PausedUntil)
		e.SetServers(rec.directory.All())
	}
	return e, rec
}

// Guards against a signal that is missed because of the status of its response, or learned
// from what is none, and against bad values that fail a request.
func TestSignalsOfResponses(t *testing.T) {
	const notRun, date = "X-Not-Run: 1\r\n", "Date: Sat, 05 Dec 2026 03:00:00 GMT\r\n"
	for name, c := range map[string]struct {
		status  int
		headers string
		leaving bool
		pause   time.Duration
		limited bool
		ignored int // lines in the log
	}{
		"success":                            {status: 200, headers: "X-Signature: s\r\nX-Leaving: 1\r\n", leaving: true},
		"unsigned success":                   {status: 200, headers: "X-Leaving: 1\r\n", leaving: true},
		"not found":                          {status: 404, headers: "X-Leaving: 1\r\n", leaving: true},
		"failure":                            {status: 500, headers: "X-Leaving: 1\r\n", leaving: true},
		"refusal with both":                  {status: 503, headers: notRun + "X-Leaving: 1\r\nRetry-After: 3\r\n", leaving: true, pause: 3 * time.Second},
		"refusal without proof":              {status: 503, headers: "Retry-After: 3\r\n", pause: 3 * time.Second},
		"misdirected, same server":           {status: 421, headers: notRun + "X-Server: s1\r\nX-Leaving: 1\r\n", leaving: true},
		"misdirected, no server":             {status: 421, headers: notRun + "X-Leaving: 1\r\n", leaving: true},
		"misdirected, another server":        {status: 421, headers: notRun + "X-Server: s9\r\nX-Leaving: 1\r\n", ignored: 1},
		"refusal of another server":          {status: 503, headers: notRun + "X-Server: s9\r\nRetry-After: 3\r\n", ignored: 1},
		"Retry-After with 429":               {status: 429, headers: notRun + "Retry-After: 3\r\n"},
		"Retry-After with 500":               {status: 500, headers: "Retry-After: 3\r\n"},
		"leaving 0":                          {status: 200, headers: "X-Signature: s\r\nX-Leaving: 0\r\n"},
		"leaving as text":                    {status: 200, headers: "X-Signature: s\r\nX-Leaving: soon\r\n", ignored: 1},
		"leaving empty":                      {status: 200, headers: "X-Signature: s\r\nX-Leaving:\r\n", ignored: 1},
		"leaving repeated":                   {status: 200, headers: "X-Signature: s\r\nX-Leaving: 0\r\nX-Leaving: 1\r\n", leaving: true},
		"leaving listed":                     {status: 200, headers: "X-Signature: s\r\nX-Leaving: 1, 1\r\n", leaving: true},
		"fraction":                           {status: 503, headers: "Retry-After: 0.25\r\n", pause: 250 * time.Millisecond},
		"zero":                               {status: 503, headers: "Retry-After: 0\r\n"},
		"empty":                              {status: 503, headers: "Retry-After:\r\n", ignored: 1},
		"negative":                           {status: 503, headers: "Retry-After: -1\r\n", ignored: 1},
		"not a number":                       {status: 503, headers: "Retry-After: NaN\r\n", ignored: 1},
		"infinite":                           {status: 503, headers: "Retry-After: Inf\r\n", ignored: 1},
		"two points":                         {status: 503, headers: "Retry-After: 1.2.3\r\n", ignored: 1},
		"an hour":                            {status: 503, headers: "Retry-After: 3600\r\n", pause: time.Hour},
		"at the limit":                       {status: 503, headers: "Retry-After: 86400\r\n", pause: 24 * time.Hour},
		"above the limit":                    {status: 503, headers: "Retry-After: 86401\r\n", pause: 24 * time.Hour, limited: true},
		"above all numbers":                  {status: 503, headers: "Retry-After: 1" + strings.Repeat("0", 400) + "\r\n", pause: 24 * time.Hour, limited: true},
		"the longest of several":             {status: 503, headers: "Retry-After: 2\r\nRetry-After: 5\r\nRetry-After: 3\r\n", pause: 5 * time.Second},
		"one of several is bad":              {status: 503, headers: "Retry-After: x\r\nRetry-After: 2\r\n", pause: 2 * time.Second, ignored: 1},
		"date":                               {status: 503, headers: date + "Retry-After: Sat, 05 Dec 2026 03:00:07 GMT\r\n", pause: 7 * time.Second},
		"date in the past":                   {status: 503, headers: date + "Retry-After: Sat, 05 Dec 2026 02:00:00 GMT\r\n"},
		"date without that of the response":  {status: 503, headers: "Retry-After: Sat, 05 Dec 2026 03:00:07 GMT\r\n", ignored: 1},
		"date that the clock cannot express": {status: 503, headers: date + "Retry-After: Fri, 31 Dec 9999 23:59:59 GMT\r\n", pause: 24 * time.Hour, limited: true},
	} {
		server := startScriptedServer(t, "s1", func(r *http.Request) string { return formatResponse(r, c.status, c.headers) })
		e, rec := newSignalEdge(t, false, server)
		before := e.options.Now()
		response := sendRequest(e, context.Background(), "/once/x")
		require.NotZero(t, response.Status, name)
		require.Empty(t, response.Header.Get("X-Leaving"), name)
		if c.status == http.StatusServiceUnavailable {
			require.Contains(t, []string{"", "0.100", "0.500", "0.800"}, response.Header.Get("Retry-After"), "%s: the server's value is for the host", name)
		}
		e.options.Journal.Close()
		require.Equal(t, c.ignored, strings.Count(rec.log.String(), "name=signal_ignored"), "%s: %s", name, rec.log.String())
		if !c.leaving && c.pause == 0 {
			require.Empty(t, rec.signals, name)
			continue
		}
		require.Len(t, rec.signals, 1, name)
		until := rec.signals[0].PausedUntil
		require.Equal(t, Signal{Life: directory.Life{ID: "s1", Born: 1}, Leaving: c.leaving, PausedUntil: until, Limited: c.limited}, rec.signals[0], name)
		require.Equal(t, c.pause > 0, until > 0, name)
		if c.pause > 0 {
			require.GreaterOrEqual(t, until, before+c.pause, name)
			require.LessOrEqual(t, rec.pauses[0], c.pause+pauseStep, name)
		}
	}
}

// Guards against a response that breaks off, or comes after the host has given the attempt
// up, and is taken for a word of the server.
func TestIncompleteResponsesAreNoSignals(t *testing.T) {
	release := make(chan struct{})
	for name, answer := range map[string]func(r *http.Request) string{
		"breaks off": func(r *http.Request) string {
			return strings.Replace(formatResponse(r, 503, "Connection: close\r\nX-Leaving: 1\r\nRetry-After: 5\r\n"), "Content-Length: 2", "Content-Length: 9", 1)
		},
		"of another request": func(r *http.Request) string {
			r.Header.Set("X-Id", "other")
			return formatResponse(r, 503, "Connection: close\r\nX-Leaving: 1\r\nRetry-After: 5\r\n")
		},
		"given up": func(r *http.Request) string { <-release; return formatResponse(r, 503, "X-Leaving: 1\r\n") },
	} {
		server := startScriptedServer(t, "s1", answer)
		e, rec := newSignalEdge(t, false, server)
		ctx, leave := context.WithCancel(context.Background())
		if name == "given up" {
			time.AfterFunc(50*time.Millisecond, leave)
		}
		sendRequest(e, ctx, "/safe/x")
		leave()
		if name == "given up" {
			close(release)
		}
		require.Empty(t, rec.signals, name)
	}
}

// Guards against requests that reach a server after it said that it leaves, or while it
// wants none, and against a server that gets none after its pause.
func TestServerGetsNoRequestsAfterItsSignal(t *testing.T) {
	for _, pause := range []bool{false, true} {
		var signals atomic.Bool
		signals.Store(true)
		first := startScriptedServer(t, "s1", func(r *http.Request) string {
			switch {
			case signals.Load() && pause:
				return formatResponse(r, 503, "X-Not-Run: 1\r\nRetry-After: 30\r\n")
			case signals.Load():
				return formatResponse(r, 200, "X-Signature: s\r\nX-Leaving: 1\r\n")
			}
			return signedResponse(r)
		})
		second := startScriptedServer(t, "s2", signedResponse)
		e, rec := newSignalEdge(t, false, first, second)
		for n := 0; first.requestCount() == 0; n++ {
			require.Less(t, n, 100, "the first server was never tried")
			require.Equal(t, 200, sendRequest(e, context.Background(), "/once/x").Status, "a refusal with proof is sent to another server")
		}
		signals.Store(false)
		for range 20 {
			// Lists that do not know of the signal arrive all the while.
			rec.directory.Put(0, directory.Server{ID: "s1", Born: 1, Service: "s", Address: first.address, Zone: "a", Slots: 2})
			e.SetServers(rec.directory.All())
			require.Equal(t, 200, sendRequest(e, context.Background(), "/once/x").Status)
		}
		require.Equal(t, 1, first.requestCount())
		rec.skipped.Add(int64(31 * time.Second))
		e.SetServers(map[string]directory.Server{"s1": rec.directory.All()["s1"]})
		response := sendRequest(e, context.Background(), "/once/x")
		if !pause {
			require.Equal(t, 503, response.Status)
			continue
		}
		require.Equal(t, 200, response.Status)
		require.Equal(t, 2, first.requestCount())
	}
}

// Guards against a request that waits for the holder of its key until its deadline, or is
// sent to it, though the holder wants no requests.
func TestRequestForAPausedHolderIsRefused(t *testing.T) {
	for _, load := range []string{"1,0,2", "2,9,2"} {
		holder := startScriptedServer(t, "s1", func(r *http.Request) string {
			return formatResponse(r, 503, "X-Not-Run: 1\r\nRetry-After: 30\r\nX-Load: "+load+"\r\n")
		})
		e, rec := newSignalEdge(t, true, holder)
		require.Equal(t, 503, sendRequest(e, context.Background(), "/once/x").Status)
		for range 5 {
			response := sendRequest(e, context.Background(), "/once/x")
			require.Equal(t, 503, response.Status)
			require.Equal(t, "0.800", response.Header.Get("Retry-After"))
		}
		require.Equal(t, 1, holder.requestCount(), "load %s", load)
		e.options.Journal.Close()
		require.GreaterOrEqual(t, strings.Count(rec.log.String(), "reason=server_paused"), 5)
	}
}

// Guards against a second run of a request that may run once: a 503 without proof says that
// the server wants no requests, and not that it has not run this one. So its caller must not
// get status 503, which promises that it has not run.
func TestPauseIsNoProofThatARequestHasNotRun(t *testing.T) {
	for status, want := range map[int]int{503: 502, 500: 500} {
		answer := func(r *http.Request) string {
			return formatResponse(r, status, "X-Signature: s\r\nRetry-After: 30\r\n")
		}
		a, b := startScriptedServer(t, "s1", answer), startScriptedServer(t, "s2", answer)
		e, rec := newSignalEdge(t, false, a, b)
		response := sendRequest(e, context.Background(), "/once/x")
		require.Equal(t, want, response.Status)
		require.Equal(t, want == status, response.Header.Get("X-Signature") != "")
		require.Equal(t, 1, a.requestCount()+b.requestCount())
		require.Equal(t, status == 503, len(rec.signals) == 1)
	}
}

// Guards against a request that was assigned to a server before it started again, left,
// announced its leaving or asked for a pause, and reaches it afterwards.
func TestPlacementIsCheckedBeforeTheWrite(t *testing.T) {
	for cause, change := range map[placementError]func(s *directory.Server){
		errServerGone:      func(s *directory.Server) { s.ID = "s3" },
		errServerRestarted: func(s *directory.Server) { s.Born = 2 },
		errServerLeaves:    func(s *directory.Server) { s.Draining = true },
		errServerPaused:    func(s *directory.Server) { s.PausedUntil = 2 * time.Hour },
		errServerEvacuated: func(s *directory.Server) { s.Evacuated = true },
	} {
		first, second := startScriptedServer(t, "s1", signedResponse), startScriptedServer(t, "s2", signedResponse)
		e, rec := newSignalEdge(t, false, first)
		metrics, err := telemetry.NewMetrics()
		require.NoError(t, err)
		e.options.Metrics = metrics
		c, decision := assignRequest(t, e)
		require.Equal(t, dispatch.Server{ID: "s1", Born: 1, Address: first.address, Zone: "a", Slots: 2}, decision.Server)
		s := rec.directory.All()["s1"]
		change(&s)
		if cause == errServerRestarted || cause == errServerGone {
			s.Address = second.address // where the request goes in its place
		}
		e.SetServers(map[string]directory.Server{s.ID: s, "s2": {ID: "s2", Service: "s", Address: second.address, Slots: 2}})
		_, retry := c.sendToServer(context.Background(), decision)
		require.True(t, retry, cause)
		require.Equal(t, 200, c.forward(context.Background()).Status, cause)
		require.Zero(t, first.requestCount(), cause)
		require.Equal(t, 1, second.requestCount(), cause)
		e.options.Journal.Close()
		require.Contains(t, rec.log.String(), fmt.Sprint("reason=", string(cause)))
		scrape := httptest.NewRecorder()
		metrics.Handler().ServeHTTP(scrape, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		require.Regexp(t, fmt.Sprintf(`%s\{cause="%s",[^}]*service="s"[^}]*\} 1\n`, telemetry.MetricReplacedRequests, string(cause)), scrape.Body.String())
	}
}

// Guards against a request that is assigned again and again to a server that wants none,
// because the pool of its service was replaced and no longer learns of pauses.
func TestRequestLeavesAReplacedPool(t *testing.T) {
	for _, keyed := range []bool{false, true} {
		server := startScriptedServer(t, "s1", signedResponse)
		e, rec := newSignalEdge(t, keyed, server)
		c, decision := assignRequest(t, e)
		config := e.routeTable.Load().Config
		config.Version++
		config.Services = map[string]routes.Service{"s": {Name: "s", Keyed: !keyed}}
		e.Configure(config)
		rec.directory.Pause(0, directory.Life{ID: "s1", Born: 1}, 2*time.Hour)
		e.SetServers(rec.directory.All())
		_, retry := c.sendToServer(context.Background(), decision)
		require.True(t, retry)
		require.Equal(t, 503, c.forward(context.Background()).Status)
		e.options.Journal.Close()
		require.Less(t, strings.Count(rec.log.String(), "name=request_retried"), 2, "keyed %v", keyed)
		require.Contains(t, rec.log.String(), "reason=server_paused", "keyed %v", keyed)
		require.Zero(t, server.requestCount())
	}
}
