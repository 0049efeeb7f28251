package edge

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/directory"
	"parsleyrelay.example/core/warmup"
)

// newWarmupEdge returns an Edge whose service has a limit of 5 for cold servers. borrow
// answers its calls for permits.
func newWarmupEdge(t *testing.T, keyed bool, borrow func([]warmup.Demand) ([]warmup.Grant, bool), servers ...*scriptedServer) (*Edge, *signalRecorder) {
	e, rec := newSignalEdge(t, keyed, servers...)
	e.options.Warmup = Warmup{Factor: 1, Slack: 3, Borrow: func(_ context.Context, d []warmup.Demand) ([]warmup.Grant, bool) { return borrow(d) }}
	config := e.routeTable.Load().Config
	config.Version++
	s := config.Services["s"]
	s.WarmupTime, s.WarmupRate = time.Second, 2
	config.Services["s"] = s
	e.Configure(config)
	return e, rec
}

func setCold(e *Edge, rec *signalRecorder) {
	servers := rec.directory.All()
	s := servers["s1"]
	s.Cold = true
	servers["s1"] = s
	e.SetServers(servers)
}

// Guards against requests to a cold server without a permit: also those that were assigned
// before it was known to be cold, and those whose permit expired before the write.
func TestColdServerGetsRequestsWithAPermitOnly(t *testing.T) {
	for _, keyed := range []bool{true, false} {
		var granted, asked atomic.Int64
		server := startScriptedServer(t, "s1", signedResponse)
		e, rec := newWarmupEdge(t, keyed, func(demands []warmup.Demand) ([]warmup.Grant, bool) {
			asked.Add(int64(demands[0].Count))
			g := warmup.Grant{ID: "s1", Born: 1, Count: int(granted.Swap(0))}
			if g.Count == 0 {
				g.RetryAfter = 2 * time.Second
			}
			return []warmup.Grant{g}, true
		}, server)
		c, early := assignRequest(t, e)
		setCold(e, rec)
		require.Equal(t, errServerCold, c.checkBeforeSend(context.Background(), early))
		c.keyed = keyed
		_, retry := c.sendToServer(context.Background(), early)
		require.True(t, retry, "keyed %v", keyed)
		require.Zero(t, server.requestCount())
		require.Zero(t, e.TakeLoadReport().ServiceTimes["s1"].Sent, "the server is not silent")

		granted.Store(1)
		require.Equal(t, 200, sendRequest(e, context.Background(), "/once/x").Status, "keyed %v", keyed)
		require.EqualValues(t, 1, asked.Load(), "as many permits as can be used")
		response := sendRequest(e, context.Background(), "/once/x")
		require.Equal(t, 503, response.Status)
		require.Regexp(t, `^(1\.9|2\.0)`, response.Header.Get("Retry-After"), "from the lender")
		require.Equal(t, 1, server.requestCount())

		rec.skipped.Add(int64(3 * time.Second)) // the lender may have permits again
		granted.Store(1)
		c, decision := assignRequest(t, e)
		rec.skipped.Add(int64(warmup.Validity))
		require.Equal(t, errPermitExpired, c.checkBeforeSend(context.Background(), decision))
		_, retry = c.sendToServer(context.Background(), decision)
		require.True(t, retry, "keyed %v", keyed)
		require.Equal(t, 1, server.requestCount())
		e.options.Journal.Close()
		require.Contains(t, rec.log.String(), "reason=no_permit")
	}
}

// Guards against requests to cold servers while a warm one has room, and against a server
// that answers after it could not be reached and is not reported as possibly cold.
func TestWarmServersArePreferredAndReturningOnesSuspected(t *testing.T) {
	warm, cold := startScriptedServer(t, "s2", signedResponse), startScriptedServer(t, "s1", signedResponse)
	e, rec := newWarmupEdge(t, false, func([]warmup.Demand) ([]warmup.Grant, bool) { return nil, false }, cold, warm)
	setCold(e, rec)
	for range 20 {
		require.Equal(t, 200, sendRequest(e, context.Background(), "/safe/x").Status)
	}
	require.Zero(t, cold.requestCount())

	servers := rec.directory.All()
	s := servers["s2"]
	s.Address = "127.0.0.1:1" // refuses connections
	e.SetServers(map[string]directory.Server{"s2": s})
	require.Equal(t, 503, sendRequest(e, context.Background(), "/once/x").Status)
	require.Empty(t, rec.signals)
	time.Sleep(warmup.UnreachableTime)
	rec.skipped.Add(int64(3 * time.Second)) // the pause after the failure ends
	e.SetServers(map[string]directory.Server{"s2": servers["s2"]})
	require.Equal(t, 200, sendRequest(e, context.Background(), "/once/x").Status)
	require.Equal(t, []Signal{{Life: directory.Life{ID: "s2", Born: 1}, Cold: true}}, rec.signals)
}

// Guards against a server that is full, and resets connections, being taken for one that
// cannot be reached.
func TestServerThatResetsConnectionsIsNotSuspected(t *testing.T) {
	full := atomic.Bool{}
	server := startScriptedServer(t, "s1", func(r *http.Request) string {
		if full.Load() {
			return ""
		}
		return signedResponse(r)
	})
	e, rec := newWarmupEdge(t, false, func([]warmup.Demand) ([]warmup.Grant, bool) { return nil, false }, server)
	full.Store(true)
	require.Equal(t, 502, sendRequest(e, context.Background(), "/once/x").Status)
	full.Store(false)
	rec.skipped.Add(int64(3 * time.Second))
	require.Equal(t, 200, sendRequest(e, context.Background(), "/once/x").Status)
	require.Empty(t, rec.signals)
}
