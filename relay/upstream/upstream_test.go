package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// startScriptedServer returns the address of a server that answers the requests of
// each connection with the given texts in order; an empty text closes the
// connection.
func startScriptedServer(t *testing.T, texts ...string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveScripted(c, texts)
		}
	}()
	return l.Addr().String()
}

func serveScripted(c net.Conn, texts []string) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for _, text := range texts {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if text == "" {
			return
		}
		_, _ = io.WriteString(c, text)
	}
	_, _ = reader.ReadByte()
}

func newExchange(address, id string) Exchange {
	return Exchange{Address: address, Method: http.MethodGet, RawRequest: []byte("GET / HTTP/1.1\r\nHost: h\r\nX-Id: " + id + "\r\n\r\n"),
		Matches: func(h http.Header) bool { return h.Get("X-Id") == id }}
}

func doExchange(c *Client, address, id string) (*Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return c.Do(ctx, newExchange(address, id))
}

const responseA = "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 1\r\n\r\nA"

// Guards against the response of an earlier request that is returned for this one.
func TestUnmatchedResponseIsSkipped(t *testing.T) {
	address := startScriptedServer(t, "HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 3\r\n\r\nold"+responseA)
	r, err := doExchange(NewClient(), address, "a")
	require.NoError(t, err)
	require.Equal(t, "A", string(r.Body))
}

// Guards against the reuse of a connection on which unexpected bytes arrived.
func TestConnectionWithUnexpectedBytesIsNotReused(t *testing.T) {
	address := startScriptedServer(t, responseA+responseA, responseA)
	c := NewClient()
	for range 2 {
		r, err := doExchange(c, address, "a")
		require.NoError(t, err)
		require.Equal(t, "A", string(r.Body))
	}
	require.Equal(t, uint64(2), c.DialAttempts.Load())
}

// Guards against a new connection for each request.
func TestConnectionIsReused(t *testing.T) {
	address := startScriptedServer(t, responseA, responseA, responseA)
	c := NewClient()
	for range 3 {
		_, err := doExchange(c, address, "a")
		require.NoError(t, err)
	}
	require.Equal(t, uint64(1), c.DialAttempts.Load())
}

// Guards against an exchange that asks for a new connection but uses an idle one, on which
// the response to an earlier exchange may still arrive.
func TestNewConnectionIsOpenedBesideAnIdleOne(t *testing.T) {
	address := startScriptedServer(t, responseA, responseA)
	c := NewClient()
	x := newExchange(address, "a")
	for _, x.NewConn = range []bool{false, true, false} {
		_, err := c.Do(context.Background(), x)
		require.NoError(t, err)
	}
	require.Equal(t, uint64(2), c.DialAttempts.Load())
}

// Guards against truncated, encoded and malformed responses that are accepted.
func TestIncompleteResponsesAreErrors(t *testing.T) {
	for name, text := range map[string]string{
		"truncated": "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 9\r\nConnection: close\r\n\r\nA",
		"encoded":   "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Encoding: gzip\r\nContent-Length: 1\r\n\r\nA",
		"chunks":    "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"no http":   "\x16\x03\x01\x00*\x02\x00\x00\r\n\r\n",
		"nothing":   "",
		"line end":  "HTTP/1.1 200 OK\r\nX-Id: a\r\nX: b\rY: c\r\nContent-Length: 1\r\n\r\nA",
		"NUL byte":  "HTTP/1.1 200 OK\r\nX-Id: a\r\nX: \x00\r\nContent-Length: 1\r\n\r\nA",
	} {
		t.Run(name, func(t *testing.T) {
			address := startScriptedServer(t, text)
			_, err := doExchange(NewClient(), address, "a")
			var failure *Error
			require.ErrorAs(t, err, &failure)
			require.True(t, failure.Sent)
		})
	}
}

// Guards against an error that says the request may have run although no server got
// it.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	_, err = doExchange(NewClient(), l.Addr().String(), "a")
	var failure *Error
	require.ErrorAs(t, err, &failure)
	require.False(t, failure.Sent)
}

// Guards against a request that is written to a connection which the server has
// closed. It would be unknown whether the request ran.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	address := startScriptedServer(t, responseA, "")
	c := NewClient()
	_, err := doExchange(c, address, "a")
	require.NoError(t, err)
	c.mu.Lock()
	idle := c.idle[address][0]
	c.mu.Unlock()
	_, err = idle.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")) // makes the server close it
	require.NoError(t, err)
	time.Sleep(100 * time.Millisecond)
	_, err = doExchange(c, address, "a")
	require.NoError(t, err)
	require.Equal(t, uint64(2), c.DialAttempts.Load())
}

// Guards against the use of a connection beyond its announced idle timeout.
func TestAnnouncedIdleTimeout(t *testing.T) {
	require.Equal(t, 8500*time.Millisecond, announcedIdleTimeout(http.Header{"Keep-Alive": {"timeout=10, max=5"}}))
	require.Equal(t, time.Duration(0), announcedIdleTimeout(http.Header{"Keep-Alive": {"timeout=1"}}))
	require.Equal(t, defaultIdleTimeout, announcedIdleTimeout(http.Header{}))
}

// Guards against a request that reaches a server although its attempt was given up before
// it was sent: an idle connection was at hand, and the reset came after the write.
func TestNothingIsSentAfterTheEndOfTheContext(t *testing.T) {
	address := startScriptedServer(t, slices.Repeat([]string{responseA}, 50)...)
	c := NewClient()
	for range 50 {
		_, err := doExchange(c, address, "a")
		require.NoError(t, err)
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		_, err = c.Do(ended, newExchange(address, "late"))
		var failed *Error
		require.ErrorAs(t, err, &failed)
		require.False(t, failed.Sent)
	}
	require.Equal(t, uint64(1), c.DialAttempts.Load(), "a connection was reset")
}

// Guards against an exchange that is meant for a process that ran at some time and opens a
// connection, which may reach a later process; and against one that fails although an old
// connection is idle behind a newer one, or is in use for a moment.
func TestOpenedBeforeLimitsTheConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const address = "server"
		c := NewClientWithDial(func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			go serveScripted(far, slices.Repeat([]string{responseA}, 10))
			return near, nil
		})
		defer c.CloseIdle(address)
		do := func(openedBefore time.Time, newConn bool) error {
			x := newExchange(address, "a")
			x.OpenedBefore, x.NewConn = openedBefore, newConn
			_, err := c.Do(t.Context(), x)
			time.Sleep(time.Millisecond)
			return err
		}
		requireNotSent := func(openedBefore time.Time) {
			t.Helper()
			var failure *Error
			err := do(openedBefore, false)
			require.ErrorAs(t, err, &failure)
			require.ErrorIs(t, err, ErrNoOldConn)
			require.False(t, failure.Sent)
		}
		start := time.Now()
		requireNotSent(start)
		require.NoError(t, do(time.Time{}, false))
		requireNotSent(start)
		require.Equal(t, uint64(1), c.DialAttempts.Load())

		limit := time.Now()
		require.NoError(t, do(time.Time{}, true))
		require.NoError(t, do(limit, false))
		require.Equal(t, uint64(2), c.DialAttempts.Load())

		old, _ := c.popIdle(Exchange{Address: address, OpenedBefore: limit})
		require.NotNil(t, old)
		done := make(chan error, 1)
		go func() { done <- do(limit, false) }()
		synctest.Wait() // it waits for the connection
		c.releaseConn(address, old)
		require.NoError(t, <-done)
		require.Equal(t, uint64(2), c.DialAttempts.Load())
	})
}

// Guards against an answer that comes before the server has read a long body, and is lost
// with what it says: the host would wait until the deadline, or count the request as run.
func TestAnswerBeforeTheBodyIsRead(t *testing.T) {
	for name, keeps := range map[string]bool{"closes": false, "keeps the connection": true} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer l.Close()
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			_ = c.(*net.TCPConn).SetReadBuffer(readBufferSize)
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, "HTTP/1.1 503 X\r\nRetry-After: 5\r\nContent-Length: 2\r\n\r\nno")
			if keeps {
				time.Sleep(2 * time.Second)
			}
		}()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		body := strings.Repeat("x", 8<<20)
		start := time.Now()
		client := NewClientWithDial(func(ctx context.Context, address string) (net.Conn, error) {
			c, err := DialTCP(ctx, address)
			if err == nil {
				err = c.(*net.TCPConn).SetWriteBuffer(readBufferSize)
			}
			return c, err
		})
		r, err := client.Do(ctx, Exchange{Address: l.Addr().String(), Method: http.MethodPost,
			RawRequest: []byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)})
		require.NoError(t, err, "%s after %v", name, time.Since(start))
		require.Equal(t, "5", r.Header.Get("Retry-After"))
		require.Less(t, time.Since(start), 500*time.Millisecond, name)
	}
}
