package daemon

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
)

// bufferedBodySize fits into the buffers of the daemon's end of a connection, but not into
// those of a caller of dialSmall that does not read.
const bufferedBodySize = 256 << 10

const furtherRequest = "GET /further HTTP/1.1\r\nHost: h\r\n\r\n"

// startServer serves h on a loopback listener of a daemon until the end of the test.
func startServer(t *testing.T, config *tls.Config, h http.HandlerFunc) (*Daemon, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d := &Daemon{opts: Options{Logger: log.NewNopLogger(), MaxHeaderBytes: 64 << 10}}
	d.serveListener(l, config, h, make(chan error, 1))
	t.Cleanup(d.close)
	return d, l.Addr().String()
}

func bufferedBodyHandler(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "262144")
	_, _ = w.Write(make([]byte, bufferedBodySize))
}

// dialSmall opens a connection that takes few bytes before the caller reads.
func dialSmall(t *testing.T, address string) net.Conn {
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
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return c
}

// writeFurther sends the requests that a caller goes on to send while a response is on its
// way, after a pause in which the daemon has closed the connection or waits to do so.
func writeFurther(c net.Conn) {
	time.Sleep(100 * time.Millisecond)
	for range 10 {
		if _, err := io.WriteString(c, strings.Repeat(furtherRequest, 20)); err != nil {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// requireWhole reads a response of bufferedBodyHandler.
func requireWhole(t *testing.T, c net.Conn) *http.Response {
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	size, err := io.Copy(io.Discard, response.Body)
	require.NoError(t, err, "the response ended after %d bytes", size)
	require.EqualValues(t, bufferedBodySize, size)
	return response
}

// startShutdown shuts the daemon's servers down. The channel is closed when they have ended.
func startShutdown(d *Daemon) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.shutDownServers(context.Background())
	}()
	return ended
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Guards against a response that is cut off when a daemon stops while the caller already
// sends its next request, and against a process that ends before the caller has the response.
func TestResponseDuringAShutdownIsWhole(t *testing.T) {
	certificates := httptest.NewTLSServer(nil)
	defer certificates.Close()
	for name, config := range map[string]*tls.Config{"plaintext": nil, "TLS": {Certificates: certificates.TLS.Certificates}} {
		t.Run(name, func(t *testing.T) {
			started, release := make(chan struct{}), make(chan struct{})
			d, address := startServer(t, config, func(w http.ResponseWriter, r *http.Request) {
				close(started)
				<-release
				bufferedBodyHandler(w, r)
			})
			c := dialSmall(t, address)
			if config != nil {
				c = tls.Client(c, &tls.Config{InsecureSkipVerify: true})
			}
			_, err := io.WriteString(c, furtherRequest)
			require.NoError(t, err)
			<-started
			ended := startShutdown(d)
			time.Sleep(20 * time.Millisecond) // the shutdown has closed the listener
			close(release)
			writeFurther(c)
			endedEarly := isClosed(ended)
			require.True(t, requireWhole(t, c).Close)
			require.False(t, endedEarly, "the daemon ended before the caller had the response")
			require.NoError(t, c.Close())
			<-ended
		})
	}
}

// Guards against a response that is cut off because its connection counts as idle as soon
// as the system has taken the response.
func TestResponseInTheBuffersIsWholeAfterAShutdown(t *testing.T) {
	d, address := startServer(t, nil, bufferedBodyHandler)
	c := dialSmall(t, address)
	_, err := io.WriteString(c, furtherRequest)
	require.NoError(t, err)
	time.Sleep(100 * time.Millisecond)
	ended := startShutdown(d)
	writeFurther(c)
	endedEarly := isClosed(ended)
	requireWhole(t, c)
	require.False(t, endedEarly, "the daemon ended before the caller had the response")
	require.NoError(t, c.Close())
	<-ended
}

// Guards against a response that is cut off because the caller asked for the close of its
// connection, but sends on.
func TestResponseBeforeARequestedCloseIsWhole(t *testing.T) {
	_, address := startServer(t, nil, bufferedBodyHandler)
	c := dialSmall(t, address)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	require.NoError(t, err)
	writeFurther(c)
	require.True(t, requireWhole(t, c).Close)
}

// Guards against a truncated response that looks complete: an aborted handler breaks the
// connection.
func TestAbortedResponseDoesNotLookComplete(t *testing.T) {
	for name, header := range map[string]string{"length": "1000", "chunked": ""} {
		t.Run(name, func(t *testing.T) {
			_, address := startServer(t, nil, func(w http.ResponseWriter, _ *http.Request) {
				if header != "" {
					w.Header().Set("Content-Length", header)
				}
				_, _ = io.WriteString(w, "part")
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			})
			c := dialSmall(t, address)
			_, err := io.WriteString(c, furtherRequest)
			require.NoError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			body, err := io.ReadAll(response.Body)
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
			require.Equal(t, "part", string(body))
		})
	}
}
