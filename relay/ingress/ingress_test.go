package ingress

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/routes"
)

func startServer(t *testing.T, handler Handler) (*Server, string) {
	return startServerWith(t, &Server{Handler: handler})
}

// startServerWith starts s with limits that are short enough for tests.
func startServerWith(t *testing.T, s *Server) (*Server, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	limits := routes.Limits{HeaderBytes: 1024, BodyBytes: 64, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: time.Second}
	s.Limits = func() routes.Limits { return limits }
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	return s, l.Addr().String()
}

func echoHandler(_ context.Context, r *Request) *Response {
	return &Response{Status: http.StatusOK, Header: http.Header{"X-Path": {r.URL.Path}}, Body: bytes.Join(r.Payload, nil)}
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	return c, bufio.NewReader(c)
}

func formatGet(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func readResponse(t *testing.T, r *bufio.Reader) *http.Response {
	response, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	_, err = io.ReadAll(response.Body)
	require.NoError(t, err)
	return response
}

// Guards against pipelined requests that run one after the other, and against
// responses out of order.
func TestPipelinedRequestsRunConcurrentlyAndAnswerInOrder(t *testing.T) {
	second := make(chan struct{})
	_, address := startServer(t, func(ctx context.Context, r *Request) *Response {
		if r.URL.Path == "/1" {
			<-second
		} else {
			close(second)
		}
		return echoHandler(ctx, r)
	})
	c, reader := dial(t, address)
	_, err := io.WriteString(c, formatGet("/1")+formatGet("/2"))
	require.NoError(t, err)
	require.Equal(t, "/1", readResponse(t, reader).Header.Get("X-Path"))
	require.Equal(t, "/2", readResponse(t, reader).Header.Get("X-Path"))
}

// Guards against status 408 for a request of which the first bytes were read before
// the shutdown began. Found by seed 503 of the soak test.
func TestRequestReceivedDuringShutdownIsServed(t *testing.T) {
	s, address := startServer(t, echoHandler)
	c, reader := dial(t, address)
	text := formatGet("/late")
	_, err := io.WriteString(c, text[:10])
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond) // lets the server read the first bytes
	s.Drain()
	finished := make(chan error, 1)
	go func() { finished <- s.Shutdown(context.Background()) }()
	time.Sleep(50 * time.Millisecond)
	_, err = io.WriteString(c, text[10:])
	require.NoError(t, err)
	response := readResponse(t, reader)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.True(t, response.Close)
	require.NoError(t, <-finished)
}

// Guards against a handler whose context stays valid after the caller has closed its
// connection.
func TestClosedConnectionCancelsContext(t *testing.T) {
	ended := make(chan struct{})
	started := make(chan struct{})
	_, address := startServer(t, func(ctx context.Context, _ *Request) *Response {
		close(started)
		<-ctx.Done()
		close(ended)
		return &Response{Abort: true}
	})
	c, _ := dial(t, address)
	_, err := io.WriteString(c, formatGet("/"))
	require.NoError(t, err)
	<-started
	require.NoError(t, c.Close())
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the context did not end within half a second")
	}
}

// Guards against a request that runs although the previous response closed the
// connection. The caller sends such a request again, so it would run twice.
func TestNoRequestRunsAfterClosingResponse(t *testing.T) {
	ran := make(chan string, 4)
	release := make(chan struct{})
	s, address := startServer(t, func(ctx context.Context, r *Request) *Response {
		ran <- r.URL.Path
		<-release
		return echoHandler(ctx, r)
	})
	s.Drain()
	c, reader := dial(t, address)
	_, err := io.WriteString(c, formatGet("/1"))
	require.NoError(t, err)
	require.Equal(t, "/1", <-ran)
	close(release)
	response := readResponse(t, reader)
	require.True(t, response.Close)
	_, _ = io.WriteString(c, formatGet("/2"))
	select {
	case path := <-ran:
		t.Fatalf("%s ran after a closing response", path)
	case <-time.After(200 * time.Millisecond):
	}
}

// Guards against pipelined requests that get no response because of a drain.
func TestDrainAnswersPipelinedRequests(t *testing.T) {
	release := make(chan struct{})
	started := make(chan struct{}, 2)
	s, address := startServer(t, func(ctx context.Context, r *Request) *Response {
		started <- struct{}{}
		<-release
		return echoHandler(ctx, r)
	})
	c, reader := dial(t, address)
	idle, _ := dial(t, address)
	_, err := io.WriteString(c, formatGet("/1")+formatGet("/2"))
	require.NoError(t, err)
	<-started
	<-started
	s.Drain()
	finished := make(chan error, 1)
	go func() { finished <- s.Shutdown(context.Background()) }()
	close(release)
	require.False(t, readResponse(t, reader).Close)
	require.True(t, readResponse(t, reader).Close)
	_, err = idle.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.NoError(t, c.Close())
	require.NoError(t, <-finished)
}

// Guards against a connection that is accepted while the server shuts down, and is neither
// waited for nor closed: a request on it is cut off by the end of the process.
func TestConnectionAcceptedAfterShutdownIsClosedUnread(t *testing.T) {
	s, address := startServer(t, echoHandler)
	require.NoError(t, s.Shutdown(context.Background()))
	late, _ := dial(t, address)
	require.NoError(t, late.SetReadDeadline(time.Now().Add(500*time.Millisecond)))
	_, err := late.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// Guards against oversized, slow or malformed requests that get no error status, and
// against the refusal of a chunked body within the limits.
func TestLimits(t *testing.T) {
	_, address := startServer(t, echoHandler)
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"header":  {"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 8192) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"body":    {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n" + strings.Repeat("x", 65), http.StatusRequestEntityTooLarge},
		"slow":    {"GET / HTTP/1.1\r\nHost:", http.StatusRequestTimeout},
		"line":    {"GET /a", http.StatusRequestTimeout},
		"garbage": {"no request at all\r\n\r\n", http.StatusBadRequest},
		"chunks":  {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			conn, reader := dial(t, address)
			_, err := io.WriteString(conn, c.text)
			require.NoError(t, err)
			require.Equal(t, c.status, readResponse(t, reader).StatusCode)
		})
	}
}
