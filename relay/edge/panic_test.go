package edge

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/relay/upstream"
)

// Guards against a server that gets no more requests, because requests that ended by a
// panic hold its slots.
func TestServerIsReleasedByAPanic(t *testing.T) {
	const panics = 10 // more than the server has slots
	var panicking atomic.Bool
	server := startScriptedServer(t, "s1", func(r *http.Request) string {
		if panicking.Load() {
			return formatResponse(r, http.StatusOK, "X-Signature: s\r\nX-Leaving: 1\r\n") // calls OnSignal
		}
		return signedResponse(r)
	})
	for name, newEdge := range map[string]func() *Edge{
		"before the request is sent": func() *Edge {
			return newEdgeWithClient(t, io.Discard, upstream.NewClientWithDial(func(ctx context.Context, address string) (net.Conn, error) {
				if panicking.Load() {
					panic("broken")
				}
				return upstream.DialTCP(ctx, address)
			}), server)
		},
		"when the response has arrived": func() *Edge {
			e := newEdge(t, server)
			e.options.OnSignal = func(Signal) {
				if panicking.Load() {
					panic("broken")
				}
			}
			return e
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEdge()
			panicking.Store(true)
			for range panics {
				require.Panics(t, func() { sendRequest(e, context.Background(), "/once/x") })
			}
			panicking.Store(false)
			response := sendRequest(e, context.Background(), "/once/x")
			require.Equal(t, http.StatusOK, response.Status)
		})
	}
}
