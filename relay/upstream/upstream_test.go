package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// scripted answers each request on a connection with the next text; an empty
// text closes the connection.
func scripted(t *testing.T, texts ...string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answerInTurn(c, texts)
		}
	}()
	return l.Addr().String()
}

func answerInTurn(c net.Conn, texts []string) {
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

func exchange(address, id string) Exchange {
	return Exchange{Address: address, Method: http.MethodGet, RawRequest: []byte("GET / HTTP/1.1\r\nHost: h\r\nX-Id: " + id + "\r\n\r\n"),
		Matches: func(h http.Header) bool { return h.Get("X-Id") == id }}
}

func do(c *Client, address, id string) (*Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return c.Do(ctx, exchange(address, id))
}

const answerA = "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 1\r\n\r\nA"

// Guards against a response of an earlier request that is taken for this one's.
func TestStrayResponseIsSkipped(t *testing.T) {
	address := scripted(t, "HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 3\r\n\r\nold"+answerA)
	r, err := do(NewClient(), address, "a")
	require.NoError(t, err)
	require.Equal(t, "A", string(r.Body))
}

// Guards against the next request on a connection that has bytes nobody asked for.
func TestConnectionWithExtraBytesIsNotUsedAgain(t *testing.T) {
	address := scripted(t, answerA+answerA, answerA)
	c := NewClient()
	for range 2 {
		r, err := do(c, address, "a")
		require.NoError(t, err)
		require.Equal(t, "A", string(r.Body))
	}
	require.Equal(t, uint64(2), c.DialCount.Load())
}

// Guards against a new connection for each request.
func TestConnectionIsUsedAgain(t *testing.T) {
	address := scripted(t, answerA, answerA, answerA)
	c := NewClient()
	for range 3 {
		_, err := do(c, address, "a")
		require.NoError(t, err)
	}
	require.Equal(t, uint64(1), c.DialCount.Load())
}

// Guards against cut, encoded and malformed responses that look complete.
func TestIncompleteResponsesAreErrors(t *testing.T) {
	for name, text := range map[string]string{
		"truncated": "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 9\r\nConnection: close\r\n\r\nA",
		"encoded":   "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Encoding: gzip\r\nContent-Length: 1\r\n\r\nA",
		"chunks":    "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"no http":   "\x16\x03\x01\x00*\x02\x00\x00\r\n\r\n",
		"nothing":   "",
	} {
		t.Run(name, func(t *testing.T) {
			address := scripted(t, text)
			_, err := do(NewClient(), address, "a")
			var failure *Error
			require.ErrorAs(t, err, &failure)
			require.True(t, failure.Sent)
		})
	}
}

// Guards against "may have run" for a request that no server got.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	_, err = do(NewClient(), l.Addr().String(), "a")
	var failure *Error
	require.ErrorAs(t, err, &failure)
	require.False(t, failure.Sent)
}

// Guards against a request that is written to a connection the server has
// closed, which would leave its outcome unknown.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	address := scripted(t, answerA, "")
	c := NewClient()
	_, err := do(c, address, "a")
	require.NoError(t, err)
	c.mu.Lock()
	idle := c.idle[address][0]
	c.mu.Unlock()
	_, err = idle.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")) // makes the server close it
	require.NoError(t, err)
	time.Sleep(100 * time.Millisecond)
	_, err = do(c, address, "a")
	require.NoError(t, err)
	require.Equal(t, uint64(2), c.DialCount.Load())
}

// Guards against a connection that is used beyond the announced idle time.
func TestAnnouncedIdleTime(t *testing.T) {
	require.Equal(t, 8500*time.Millisecond, announcedIdle(http.Header{"Keep-Alive": {"timeout=10, max=5"}}))
	require.Equal(t, time.Duration(0), announcedIdle(http.Header{"Keep-Alive": {"timeout=1"}}))
	require.Equal(t, defaultIdle, announcedIdle(http.Header{}))
}
