package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/routes"
)

// slowPacer lets each part of a bulk response wait for 100 ms.
type slowPacer struct{ bytes atomic.Int64 }

func (p *slowPacer) WaitToWrite(bytes int) time.Duration {
	p.bytes.Add(int64(bytes))
	return 100 * time.Millisecond
}

// startPaced returns a server, without a network, that answers /bulk with ten parts, and the
// number of responses that were released.
func startPaced(t *testing.T, p Pacer) (connect func() net.Conn, released *atomic.Int32) {
	released = &atomic.Int32{}
	s := &Server{Limits: func() routes.Limits { return DefaultLimits }, Pacer: p, Handler: func(_ context.Context, r *Request) *Response {
		response := &Response{Status: http.StatusOK, OnRelease: func() { released.Add(1) }}
		switch r.URL.Path {
		case "/bulk":
			response.Bulk, response.Body = true, []byte(strings.Repeat("x", 10*pacedBytes))
		case "/short":
			response.Bulk, response.Body = true, []byte(strings.Repeat("x", 1000))
		}
		return response
	}}
	t.Cleanup(func() { _ = s.Shutdown(context.Background()) })
	return func() net.Conn {
		near, far := net.Pipe()
		t.Cleanup(func() { _ = near.Close() })
		s.startConn(far)
		return near
	}, released
}

func readAll(t *testing.T, c net.Conn, path string) time.Duration {
	begin := time.Now()
	_, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, r.Body)
	require.NoError(t, err)
	return time.Since(begin)
}

// Guards against a small response that waits behind the bytes of a download, against a
// download that is written faster than the link takes it, and against bytes that count as held
// when the caller has taken them or has gone.
func TestBulkResponsesGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &slowPacer{}
		connect, released := startPaced(t, p)
		done := make(chan time.Duration)
		go func() { done <- readAll(t, connect(), "/bulk") }()
		time.Sleep(300 * time.Millisecond)
		require.Less(t, readAll(t, connect(), "/small"), time.Millisecond)
		require.Equal(t, time.Second, <-done)
		synctest.Wait()
		require.EqualValues(t, 2, released.Load())

		c := connect() // leaves in the middle of the body
		_, err := io.WriteString(c, "GET /bulk HTTP/1.1\r\nHost: h\r\n\r\nGET /bulk HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		_, err = io.ReadFull(c, make([]byte, 3*pacedBytes))
		require.NoError(t, err)
		require.NoError(t, c.Close())
		time.Sleep(time.Second)
		require.EqualValues(t, 4, released.Load())
	})
}

// Guards against downloads that take time of the link without being counted, because their body
// is written with the head: longer ones would be written too early.
func TestShortBulkResponsesAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &slowPacer{}
		connect, _ := startPaced(t, p)
		readAll(t, connect(), "/short")
		require.Greater(t, p.bytes.Load(), int64(1000))
	})
}

// Guards against a caller that takes a part of a download now and then, each within the time
// for one part, and so holds its bytes for minutes.
func TestSlowCallerOfABulkResponseIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		connect, released := startPaced(t, &slowPacer{})
		c := connect()
		_, err := io.WriteString(c, "GET /bulk HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		begin := time.Now()
		for buffer := make([]byte, pacedBytes); err == nil; time.Sleep(6 * time.Second) {
			_, err = io.ReadFull(c, buffer)
		}
		require.Less(t, time.Since(begin), 30*time.Second)
		synctest.Wait()
		require.EqualValues(t, 1, released.Load())
	})
}
