package connreset

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startServer returns the address of a server that reads the head of each request, sends a
// response whose body ends with the connection, and then calls end.
func startServer(t *testing.T, end func(*net.TCPConn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nbody")
				end(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

func resetAfter(d time.Duration) func(*net.TCPConn) {
	return func(c *net.TCPConn) { time.Sleep(d); _ = c.SetLinger(0) }
}

const (
	tries       = 20
	uploadBytes = 4 << 20
)

// upload sends an upload and returns the body of the response that arrives beside it.
func upload(client *http.Client, address string) (string, error) {
	r, err := client.Post("http://"+address, "", bytes.NewReader(make([]byte, uploadBytes)))
	if err != nil {
		return "", err
	}
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	return string(body), err
}

// A server answers an upload early with a body that ends with the connection, and resets it.
// Guards against callers of net/http that take the part of the body for all of it.
func TestResetBesideAWriteIsReported(t *testing.T) {
	for _, delay := range []time.Duration{0, 2 * time.Millisecond, 20 * time.Millisecond} {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			address := startServer(t, resetAfter(delay))
			taken := 0
			for range tries {
				client := &http.Client{Transport: &http.Transport{DialContext: Dialer(nil), DisableKeepAlives: true}}
				if _, err := upload(client, address); err == nil {
					taken++
				}
			}
			require.Zero(t, taken, "of %d", tries)
		})
	}
}

// Guards against a response that is lost although its server has ended it in order: by its
// direction only, or wholly, upon which the rest of the request is answered with a reset.
func TestEndInOrderIsNoReset(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"reads on": func(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, c) },
		"closes later": func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(5 * time.Millisecond)
			_ = c.SetLinger(0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			address := startServer(t, end)
			for range tries {
				c, err := net.Dial("tcp", address)
				require.NoError(t, err)
				conn := New(c)
				written := make(chan error, 1)
				go func() {
					_, err := conn.WriteBuffers(net.Buffers{[]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4194304\r\n\r\n"), make([]byte, uploadBytes)})
					written <- err
				}()
				text, err := io.ReadAll(conn)
				require.NoError(t, err)
				require.Equal(t, "HTTP/1.1 200 OK\r\n\r\nbody", string(text))
				// The write has ended, whether or not the server has read all of it.
				if err := <-written; err != nil && err != ErrEnded {
					require.ErrorIs(t, err, syscall.EPIPE)
				}
				require.NoError(t, conn.Close())
			}
		})
	}
}

// Guards against a reset that is reported to one read and forgotten by the next, as by a
// parser that reads on.
func TestResetIsReportedAgain(t *testing.T) {
	address := startServer(t, resetAfter(0))
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	conn := New(c)
	defer conn.Close()
	_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	require.NoError(t, err)
	for range 3 {
		_, err := io.ReadAll(conn)
		require.ErrorIs(t, err, syscall.ECONNRESET)
	}
}
