package ingress

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/relay/linger"
)

// bufferedBodySize fits into the buffers of the server's end of a connection, but not into
// those of a caller that dials with dialSmall and does not read.
const bufferedBodySize = 256 << 10

// dialSmall opens a connection that takes few bytes before the caller reads.
func dialSmall(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	small := func(_, _ string, c syscall.RawConn) error {
		var err error
		controlErr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10)
		})
		return errors.Join(controlErr, err)
	}
	c, err := (&net.Dialer{Control: small}).Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	return c, bufio.NewReader(c)
}

// bufferedBodyHandler answers with bufferedBodySize bytes.
func bufferedBodyHandler(context.Context, *Request) *Response {
	return &Response{Status: http.StatusOK, Body: make([]byte, bufferedBodySize)}
}

// writeFurther sends the requests that a caller goes on to send while a response is on its
// way, after a pause in which the server has closed the connection or waits to do so.
func writeFurther(c net.Conn) {
	time.Sleep(100 * time.Millisecond)
	for range 10 {
		if _, err := io.WriteString(c, strings.Repeat(formatGet("/further"), 20)); err != nil {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// readBuffered reads a response of bufferedBodyHandler.
func readBuffered(t *testing.T, reader *bufio.Reader) *http.Response {
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	size, err := io.Copy(io.Discard, response.Body)
	require.NoError(t, err, "the response ended after %d bytes", size)
	require.EqualValues(t, bufferedBodySize, size)
	return response
}

// Guards against a response that is cut off when the host stops while the caller already
// sends its next request: the system resets a connection that is closed and still receives
// bytes, and drops what it has to send.
func TestLastResponseIsWholeAlthoughTheCallerSendsOn(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	s, address := startServer(t, func(ctx context.Context, r *Request) *Response {
		if r.URL.Path == "/1" {
			close(started)
		}
		<-release
		return bufferedBodyHandler(ctx, r)
	})
	c, reader := dialSmall(t, address)
	_, err := io.WriteString(c, formatGet("/1"))
	require.NoError(t, err)
	<-started
	s.Drain()
	finished := make(chan error, 1)
	go func() { finished <- s.Shutdown(context.Background()) }()
	close(release)
	writeFurther(c)
	require.True(t, readBuffered(t, reader).Close)
	require.NoError(t, c.Close())
	require.NoError(t, <-finished)
}

// Guards against a response that is cut off because its connection counts as idle as soon
// as the system has taken the response.
func TestResponseInTheBuffersIsWholeAfterAShutdown(t *testing.T) {
	s, address := startServer(t, bufferedBodyHandler)
	c, reader := dialSmall(t, address)
	_, err := io.WriteString(c, formatGet("/1"))
	require.NoError(t, err)
	time.Sleep(100 * time.Millisecond)
	go func() { _ = s.Shutdown(context.Background()) }()
	writeFurther(c)
	readBuffered(t, reader)
}

// Guards against a complete response that is cut off because the next request on its
// connection gets none.
func TestResponseBeforeAnAbortIsWhole(t *testing.T) {
	_, address := startServer(t, func(ctx context.Context, r *Request) *Response {
		if r.URL.Path == "/1" {
			return bufferedBodyHandler(ctx, r)
		}
		return &Response{Abort: true}
	})
	c, reader := dialSmall(t, address)
	_, err := io.WriteString(c, formatGet("/1")+formatGet("/2"))
	require.NoError(t, err)
	writeFurther(c)
	readBuffered(t, reader)
	_, err = reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// Guards against a refusal that does not reach a caller which is still sending the body, as
// the connection is reset.
func TestEarlyRefusalReachesACallerThatSendsOn(t *testing.T) {
	const unwantedBodySize = 8 << 20
	for name, head := range map[string]string{
		"length":  "Content-Length: " + strconv.Itoa(unwantedBodySize) + "\r\n\r\n",
		"chunked": "Transfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(unwantedBodySize, 16) + "\r\n",
		"head":    "X: " + strings.Repeat("x", 2048),
	} {
		t.Run(name, func(t *testing.T) {
			_, address := startServer(t, echoHandler)
			c, reader := dial(t, address)
			_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\n"+head)
			require.NoError(t, err)
			_, err = c.Write(bytes.Repeat([]byte("b"), unwantedBodySize))
			require.NoError(t, err, "the connection was reset before the caller read the refusal")
			status := http.StatusRequestEntityTooLarge
			if name == "head" {
				status = http.StatusRequestHeaderFieldsTooLarge
			}
			require.Equal(t, status, readResponse(t, reader).StatusCode)
		})
	}
}

// Guards against a long response that is cut off because a short one, whose delivery takes
// less time, is the last on its connection.
func TestLongResponseBeforeAShortLastOneIsWaitedFor(t *testing.T) {
	const size = 1 << 20
	c := &conn{server: &Server{}}
	near, far := net.Pipe()
	t.Cleanup(func() { _ = near.Close() })
	go func() { _, _ = io.Copy(io.Discard, far) }()
	c.Conn = near
	write := func(bodySize int) {
		p := &pipelinedRequest{request: &http.Request{}, response: &Response{Status: http.StatusOK, Body: make([]byte, bodySize)}}
		require.True(t, c.writeResponse(p, false))
	}
	write(size)
	write(0)
	require.GreaterOrEqual(t, time.Until(c.lastWritten.deliveryDeadline()), linger.Timeout+linger.DeliveryTime(size)-time.Second)
}
