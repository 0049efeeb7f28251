package ingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// errNotClosed is the error of a connection that ends without a closing response.
var errNotClosed = errors.New("the connection ended without a closing response")

// pipeline keeps several requests outstanding on a connection until a response closes it.
func pipeline(c net.Conn, reader *bufio.Reader) error {
	const outstanding = 4
	for range outstanding {
		if _, err := io.WriteString(c, formatGet("/")); err != nil {
			return err
		}
	}
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return errors.Join(errNotClosed, err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return err
		}
		if response.Close {
			return c.Close()
		}
		if _, err := io.WriteString(c, formatGet("/")); err != nil {
			return errors.Join(errNotClosed, err)
		}
	}
}

// Guards against a host whose stop waits until the end of the grace time for callers that
// always have a request outstanding, and then cuts off the requests that run.
func TestStopEndsConnectionsThatAreNeverIdle(t *testing.T) {
	for name, stop := range map[string]func(*Server, context.Context) error{
		"drain":    func(s *Server, _ context.Context) error { s.Drain(); return nil },
		"shutdown": (*Server).Shutdown,
	} {
		t.Run(name, func(t *testing.T) {
			oneAtATime := make(chan struct{}, 1)
			s, address := startServer(t, func(ctx context.Context, r *Request) *Response {
				oneAtATime <- struct{}{}
				defer func() { <-oneAtATime }()
				time.Sleep(10 * time.Millisecond)
				return echoHandler(ctx, r)
			})
			c, reader := dial(t, address)
			ended := make(chan error, 1)
			go func() { ended <- pipeline(c, reader) }()
			time.Sleep(100 * time.Millisecond)
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			require.NoError(t, stop(s, ctx), "requests run on")
			select {
			case err := <-ended:
				require.NoError(t, err)
			case <-ctx.Done():
				t.Fatal("the connection is still in use")
			}
		})
	}
}

// Guards against a drain that cancels requests which a connection has pending when it stops
// accepting others.
func TestDrainDoesNotCancelPendingRequests(t *testing.T) {
	// The read loop waits for room among the pending requests when the drain takes effect.
	const sent = maxPipelined + 4
	started := make(chan struct{}, sent)
	first, others := make(chan struct{}), make(chan struct{})
	s, address := startServer(t, func(ctx context.Context, r *Request) *Response {
		started <- struct{}{}
		release := others
		if r.URL.Path == "/1" {
			release = first
		}
		select {
		case <-release:
			return echoHandler(ctx, r)
		case <-ctx.Done():
			return &Response{Abort: true}
		}
	})
	s.Drain()
	c, reader := dial(t, address)
	_, err := io.WriteString(c, formatGet("/1")+strings.Repeat(formatGet("/2"), sent-1))
	require.NoError(t, err)
	for range maxPipelined + 1 {
		<-started
	}
	time.Sleep(50 * time.Millisecond) // the read loop waits
	close(first)
	require.Equal(t, "/1", readResponse(t, reader).Header.Get("X-Path"))
	time.Sleep(50 * time.Millisecond) // the read loop goes on
	close(others)
	responses := 1
	for closes := false; !closes; responses++ {
		closes = readResponse(t, reader).Close
	}
	require.GreaterOrEqual(t, responses, maxPipelined+1)
}

// Guards against a connection that stays open after a shutdown, because its response was
// being written when the shutdown began. A request on it is cut off by the end of the
// process.
func TestShutdownDuringAWriteClosesTheConnection(t *testing.T) {
	s, address := startServer(t, func(context.Context, *Request) *Response {
		return &Response{Status: http.StatusOK, Body: make([]byte, 16<<20)}
	})
	c, reader := dialSmall(t, address)
	_, err := io.WriteString(c, formatGet("/"))
	require.NoError(t, err)
	_, err = reader.Peek(1) // the response is being written
	require.NoError(t, err)
	finished := make(chan error, 1)
	go func() { finished <- s.Shutdown(context.Background()) }()
	time.Sleep(50 * time.Millisecond)
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	read := time.Now()
	_, err = reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.Less(t, time.Since(read), s.Limits().IdleTimeout/2, "the connection stays open until its idle timeout")
	require.NoError(t, c.Close())
	require.NoError(t, <-finished)
}
