package edge

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/dispatch"
)

// Guards against estimated work that stays counted at a server, or is taken off twice, when
// attempts are cut off, abandoned or refused while another one runs on.
func TestWorkInFlightIsThatOfRunningRequests(t *testing.T) {
	held, release := make(chan struct{}), make(chan struct{})
	const load = "X-Signature: s\r\nX-Load: 1,0,2,100\r\n"
	leave := func() {}
	server := startScriptedServer(t, "s1", func(r *http.Request) string {
		switch {
		case strings.HasSuffix(r.URL.Path, "held"):
			close(held)
			<-release
		case strings.HasSuffix(r.URL.Path, "cut"):
			return ""
		case strings.HasSuffix(r.URL.Path, "left"):
			leave()
		case strings.HasSuffix(r.URL.Path, "full"):
			return formatResponse(r, http.StatusServiceUnavailable, "X-Not-Run: 1\r\nX-Load: 1,0,2,100\r\n")
		}
		return formatResponse(r, http.StatusOK, load)
	})
	e := newEdge(t, server)
	e.options.CostRouting = dispatch.CostRoutingAuto
	p := e.poolFor("s").dispatchPool
	p.SetCostRouting(0, dispatch.CostRoutingAuto)
	workInFlight := func() float64 {
		e.poolFor("s").mu.Lock()
		defer e.poolFor("s").mu.Unlock()
		_, work, _ := p.TakeCostSummary()
		return work
	}
	require.Equal(t, http.StatusOK, sendRequest(e, context.Background(), "/safe/first").Status)
	require.True(t, p.CostRoutingActive())
	done := make(chan struct{})
	go func() {
		defer close(done)
		sendRequest(e, context.Background(), "/once/held")
	}()
	<-held
	alone := workInFlight()
	require.Positive(t, alone)
	for _, path := range []string{"/once/ok", "/safe/left", "/once/ok", "/once/full", "/once/cut"} {
		ctx, cancel := context.WithCancel(context.Background())
		leave = cancel
		sendRequest(e, ctx, path)
		cancel()
		require.InDelta(t, alone, workInFlight(), 1e-9, path)
	}
	close(release)
	<-done
	require.Zero(t, workInFlight())
}
