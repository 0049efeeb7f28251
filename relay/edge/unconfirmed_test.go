package edge

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/routes"
)

// Guards against a request that is decided by an unconfirmed state: answered 404 for a route that may
// have been added, or sent to a server that may have left while it waited for it. In flight it must end.
func TestNoRequestIsDecidedByAnUnconfirmedState(t *testing.T) {
	for _, keyed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			const workTime = 150 * time.Millisecond
			var unconfirmed atomic.Bool
			var arrived, arrivedAfter atomic.Int32
			var out strings.Builder
			e := newVirtualEdge(t, &out, func(r *http.Request) string {
				arrived.Add(1)
				if unconfirmed.Load() {
					arrivedAfter.Add(1)
				}
				time.Sleep(workTime)
				return signedResponse(r)
			}, "s1")
			e.options.MayDecide = func() bool { return !unconfirmed.Load() }
			if keyed {
				setKeyed(e, &scriptedServer{id: "s1", address: "s1"})
			}
			require.Equal(t, http.StatusOK, sendRequest(e, context.Background(), "/safe/x").Status)
			require.Equal(t, http.StatusNotFound, sendRequest(e, context.Background(), "/none/x").Status)
			var wait sync.WaitGroup
			var served, refused atomic.Int32
			for range 8 {
				wait.Go(func() {
					switch response := sendRequest(e, context.Background(), "/once/x"); response.Status {
					case http.StatusOK:
						served.Add(1)
					case http.StatusServiceUnavailable:
						require.NotEmpty(t, response.Header.Get("Retry-After"))
						refused.Add(1)
					}
				})
			}
			time.Sleep(workTime / 2)
			unconfirmed.Store(true)
			inFlight := arrived.Load() - 1
			require.Positive(t, inFlight)
			began := time.Now()
			for _, path := range []string{"/safe/x", "/none/x"} {
				require.Equal(t, http.StatusServiceUnavailable, sendRequest(e, context.Background(), path).Status)
			}
			require.Zero(t, time.Since(began), "it is refused at once")
			wait.Wait()
			require.Zero(t, arrivedAfter.Load())
			require.Equal(t, inFlight, served.Load())
			require.Equal(t, 8-inFlight, refused.Load())
			unconfirmed.Store(false)
			require.Equal(t, http.StatusOK, sendRequest(e, context.Background(), "/safe/x").Status)
		})
	}
}

// Guards against a host that compares the age of one state and decides by an older one: a change may
// come between the two, for as long as the process is not scheduled.
func TestStateIsReadAfterItsAgeWasCompared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out strings.Builder
		e := newVirtualEdge(t, &out, signedResponse, "s1")
		e.options.MayDecide = func() bool {
			c := e.Config()
			c.Version, c.Routes = 2, append(slices.Clone(c.Routes), routes.Route{Name: "added", Host: "h", Prefix: "/added/", Attempts: 1, Timeout: time.Second, Targets: []routes.Target{{Service: "s", Weight: 1}}})
			e.Configure(c)
			return true
		}
		require.Equal(t, http.StatusOK, sendRequest(e, context.Background(), "/added/x").Status)
	})
}
