package edge

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/relay/ingress"
	"parsleyrelay.example/relay/upstream"
)

// failingConn is a connection that takes no byte of a request.
type failingConn struct{ net.Conn }

func (c failingConn) Write([]byte) (int, error) { return 0, syscall.ECONNRESET }

func newEdgeOverDial(t *testing.T, dial upstream.DialFunc, ids ...string) *Edge {
	var list []*scriptedServer
	for _, id := range ids {
		list = append(list, &scriptedServer{id: id, address: id})
	}
	return newEdgeWithClient(t, io.Discard, upstream.NewClientWithDial(dial), list...)
}

// Guards against a request that no server got and whose caller is told that it may have run,
// and against a refusal that comes after the caller's deadline.
func TestRequestThatWasNeverSentIsRefusedInTime(t *testing.T) {
	hang := func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	for name, dial := range map[string]upstream.DialFunc{
		"no connection opens":          hang,
		"connections are refused":      func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED },
		"the write fails at its start": func(context.Context, string) (net.Conn, error) { near, _ := net.Pipe(); return failingConn{near}, nil },
		"a connection opens very late": func(context.Context, string) (net.Conn, error) {
			time.Sleep(900 * time.Millisecond)
			near, _ := net.Pipe()
			return near, nil
		},
		"connections fail in many ways": func(ctx context.Context, id string) (net.Conn, error) {
			if id == "s1" {
				return hang(ctx, id)
			}
			return nil, errors.New("broken")
		},
	} {
		for _, path := range []string{"/safe/x", "/once/x"} {
			t.Run(name+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					e := newEdgeOverDial(t, dial, "s1", "s2", "s3", "s4", "s5", "s6")
					begin := time.Now()
					response := sendRequest(e, context.Background(), path)
					require.Equal(t, http.StatusServiceUnavailable, response.Status)
					require.NotEmpty(t, response.Header.Get("Retry-After"))
					if !strings.Contains(name, "late") { // such a dial heeds no context
						require.Less(t, time.Since(begin), 800*time.Millisecond, "the caller's deadline")
					}
				})
			})
		}
	}
}

// A host stops while requests wait for a server, and one is at a server that hangs. Guards
// against requests that were not sent and whose connection ends with the process.
func TestWaitingRequestsAreRefusedWhenTheHostStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out strings.Builder
		release := make(chan struct{})
		end := sync.OnceFunc(func() { close(release) })
		defer end()
		sent := 0
		e := newVirtualEdge(t, &out, func(r *http.Request) string { sent++; <-release; return signedResponse(r) }, "s1")
		setKeyed(e, &scriptedServer{id: "s1", address: "s1"})
		begin := time.Now()
		var wait sync.WaitGroup
		var mu sync.Mutex
		statuses := map[int]int{}
		for range 20 {
			wait.Go(func() {
				status := sendRequest(e, context.Background(), "/once/x").Status
				mu.Lock()
				defer mu.Unlock()
				statuses[status]++
			})
		}
		time.Sleep(50 * time.Millisecond)
		e.StopSending()
		synctest.Wait()
		require.Less(t, time.Since(begin), 60*time.Millisecond)
		mu.Lock()
		require.Equal(t, map[int]int{http.StatusServiceUnavailable: 20 - sent}, statuses)
		mu.Unlock()
		require.Equal(t, http.StatusServiceUnavailable, sendRequest(e, context.Background(), "/once/x").Status)
		end()
		wait.Wait()
		require.Equal(t, sent, statuses[http.StatusOK], "requests that were sent get their response")
	})
}

// Guards against status 503, by ingress, for a request that panicked after it was sent, and
// against another status for one that panicked before.
func TestPanicTellsWhetherTheRequestRan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out strings.Builder
		for path, notRun := range map[string]bool{"dial": true, "response": false} {
			e := newVirtualEdge(t, &out, func(r *http.Request) string { return formatResponse(r, 200, "X-Signature: s\r\nX-Leaving: 1\r\n") }, "s1")
			if path == "dial" {
				e = newEdgeOverDial(t, func(context.Context, string) (net.Conn, error) { panic("broken") }, "s1")
			}
			e.options.OnSignal = func(Signal) { panic("broken") }
			r, err := http.NewRequest(http.MethodGet, "http://h/once/x", nil)
			require.NoError(t, err)
			r.RequestURI = "/once/x"
			r.Header.Set("X-Id", "a1")
			request := &ingress.Request{Request: r, ReceivedAt: time.Now()}
			require.Panics(t, func() { e.Handle(context.Background(), request) })
			require.Equal(t, notRun, request.NotRun, path)
		}
	})
}
