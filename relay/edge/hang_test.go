package edge

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/relay/upstream"
)

// newVirtualEdge returns an edge and servers that are connected in memory, for tests in
// virtual time.
func newVirtualEdge(t *testing.T, out *strings.Builder, answer func(*http.Request) string, ids ...string) *Edge {
	servers := map[string]*scriptedServer{}
	var list []*scriptedServer
	for _, id := range ids {
		servers[id] = &scriptedServer{id: id, address: id}
		list = append(list, servers[id])
	}
	var serving sync.WaitGroup
	t.Cleanup(serving.Wait)
	client := upstream.NewClientWithDial(func(_ context.Context, address string) (net.Conn, error) {
		near, far := net.Pipe()
		t.Cleanup(func() { _ = near.Close() })
		serving.Go(func() { servers[address].serve(far, answer) })
		return near, nil
	})
	return newEdgeWithClient(t, out, client, list...)
}

// A server hangs, or its link drops packets, while connections to it stay open.
// Guards against idempotent requests that wait there until their deadline although
// another server has free capacity.
func TestIdempotentRequestIsRetriedWhenServerHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var hangs atomic.Bool
		answer := func(r *http.Request) string {
			// Six concurrent requests overlap, so that they do not all fit on s1.
			time.Sleep(20 * time.Millisecond)
			if hangs.Load() && r.Header.Get("X-Target") == "s2" {
				time.Sleep(2 * time.Second)
			}
			return signedResponse(r)
		}
		var out strings.Builder
		e := newVirtualEdge(t, &out, answer, "s1", "s2")
		for range 40 {
			require.Equal(t, 200, sendRequest(e, context.Background(), "/safe/x").Status)
		}
		hangs.Store(true)
		var wait sync.WaitGroup
		var served, late atomic.Int32
		for range 6 { // concurrently, so that both servers get requests
			wait.Go(func() {
				begin := time.Now()
				if sendRequest(e, context.Background(), "/safe/x").Status == 200 {
					served.Add(1)
				}
				if time.Since(begin) > 700*time.Millisecond {
					late.Add(1)
				}
			})
		}
		wait.Wait()
		require.Equal(t, int32(6), served.Load())
		require.Zero(t, late.Load())
		e.options.Journal.Close()
		require.Contains(t, out.String(), "name=server_paused")
		require.NotContains(t, out.String(), context.Canceled.Error(), "the log must name the cause, which is not the caller")
	})
}
