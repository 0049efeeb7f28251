package edge

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/egress"
	"parsleyrelay.example/core/routes"
	"parsleyrelay.example/relay/ingress"
)

// newDownloadEdge returns an edge with a link of 10 Mbit/s and three servers.
func newDownloadEdge(t *testing.T, out *strings.Builder, download bool, answer func(*http.Request) string) *Edge {
	e := newVirtualEdge(t, out, answer, "s1", "s2", "s3")
	e.link = newHostLink(egress.Config{BytesPerSecond: 10e6 / 8, MemoryBytes: 4 << 20}, e.options.Now)
	c := e.routeTable.Load().Config
	c.Version++
	c.Routes = append([]routes.Route(nil), c.Routes...)
	c.Routes[0].Download = download
	require.True(t, e.Configure(c))
	return e
}

// sendAll sends requests 20 ms apart and returns their responses.
func sendAll(e *Edge, n int) (served []*ingress.Response, refused int) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	for range n {
		wait.Go(func() {
			response := sendRequest(e, context.Background(), "/safe/x")
			mu.Lock()
			defer mu.Unlock()
			switch response.Status {
			case http.StatusOK:
				served = append(served, response)
			case http.StatusServiceUnavailable:
				if response.Header.Get("Retry-After") != "" {
					refused++
				}
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	wait.Wait()
	return served, refused
}

// A host with a link of 10 Mbit/s gets 50 downloads of 90 kB a second. Guards against
// downloads that are sent to a server and cannot be delivered in time, against refused ones
// that reached a server, and against a change for routes that are no downloads.
func TestDownloadsThatDoNotFitTheLinkAreNotSent(t *testing.T) {
	for _, download := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			var out strings.Builder
			var received atomic.Int32
			e := newDownloadEdge(t, &out, download, func(r *http.Request) string {
				received.Add(1)
				time.Sleep(20 * time.Millisecond)
				return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: a1\r\nX-Signature: s\r\nX-Load: 0,0,64\r\nContent-Length: 90000\r\n\r\n%s", strings.Repeat("x", 90_000))
			})
			served, refused := sendAll(e, 60)
			e.options.Journal.Close()
			require.EqualValues(t, len(served), received.Load())
			require.Equal(t, 60, len(served)+refused)
			if !download {
				require.Len(t, served, 60)
				require.NotContains(t, out.String(), "download_refused")
				return
			}
			// 1.2 s, and what is delivered within the target latency of 1 s after them.
			require.InDelta(t, 27, len(served), 6)
			require.Contains(t, out.String(), "name=download_refused")
			require.Contains(t, out.String(), "reason=link_busy")
			state := e.DownloadState()
			require.Zero(t, state.Reserved)
			require.EqualValues(t, len(served)*(90_000+responseHeadBytes), state.Held)
			for _, r := range served {
				require.True(t, r.Bulk)
				r.OnRelease()
			}
			require.Zero(t, e.DownloadState().Held)
		})
	}
}

// Guards against reservations that stay when a download fails, so that the host refuses all
// others from then on.
func TestFailedDownloadsLeaveNoReservation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out strings.Builder
		e := newDownloadEdge(t, &out, true, func(r *http.Request) string {
			switch r.Header.Get("X-Target") {
			case "s1":
				return ""
			case "s2":
				return formatResponse(r, 500, "X-Signature: s\r\n")
			}
			return formatResponse(r, 503, "X-Not-Run: 1\r\nX-Load: 9,9,2\r\n")
		})
		for range 30 {
			if response := sendRequest(e, context.Background(), "/safe/x"); response.OnRelease != nil {
				response.OnRelease()
			}
			time.Sleep(time.Second)
		}
		require.Equal(t, egress.State{}, e.DownloadState())
	})
}
