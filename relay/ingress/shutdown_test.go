package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/routes"
)

// acceptAs opens a connection to s, which s serves as the connection that wrap returns.
func acceptAs(t *testing.T, s *Server, request string, wrap func(*net.TCPConn) net.Conn) net.Conn {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	c, _ := dial(t, l.Addr().String())
	_, err = io.WriteString(c, request)
	require.NoError(t, err)
	accepted, err := l.Accept()
	require.NoError(t, err)
	s.startConn(wrap(accepted.(*net.TCPConn)))
	return c
}

// startShutdown shuts s down and returns when its connections are asked to close.
func startShutdown(s *Server) (finished chan error) {
	finished = make(chan error, 1)
	go func() { finished <- s.Shutdown(context.Background()) }()
	for shuttingDown := false; !shuttingDown; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		shuttingDown = s.shuttingDown
		s.mu.Unlock()
	}
	return finished
}

// slowWriter is a connection whose writes return late.
type slowWriter struct {
	*net.TCPConn
	proceed <-chan struct{}
}

func (c *slowWriter) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	<-c.proceed
	return n, err
}

// lateReader is a connection whose reads begin late, as in a process that is short of
// processor time.
type lateReader struct {
	*net.TCPConn
	proceed <-chan struct{}
}

func (c *lateReader) Read(b []byte) (int, error) {
	<-c.proceed
	return c.TCPConn.Read(b)
}

// Guards against a request that gets no response because a shutdown begins when it has
// arrived, but before the server has read it.
func TestRequestInTheBuffersIsServedAtAShutdown(t *testing.T) {
	s, _ := startServer(t, echoHandler)
	proceed := make(chan struct{})
	c := acceptAs(t, s, formatGet("/arrived"), func(c *net.TCPConn) net.Conn { return &lateReader{TCPConn: c, proceed: proceed} })
	s.Drain()
	finished := startShutdown(s)
	close(proceed)
	response := readResponse(t, bufio.NewReader(c))
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.True(t, response.Close)
	require.NoError(t, c.Close())
	require.NoError(t, <-finished)
}

// lateListener returns accepted connections late.
type lateListener struct {
	net.Listener
	accepted chan struct{}
	proceed  <-chan struct{}
}

func (l *lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted <- struct{}{}
		<-l.proceed
	}
	return c, err
}

// Guards against a request that gets no response because its connection is accepted just
// before the listener is closed, and passed on after the shutdown began.
func TestConnectionAcceptedBeforeAShutdownIsServed(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	proceed := make(chan struct{})
	l := &lateListener{Listener: inner, accepted: make(chan struct{}), proceed: proceed}
	s := &Server{Handler: echoHandler, Limits: func() routes.Limits { return DefaultLimits }}
	go func() { _ = s.Serve(l) }()
	c, reader := dial(t, inner.Addr().String())
	_, err = io.WriteString(c, formatGet("/"))
	require.NoError(t, err)
	<-l.accepted
	s.Drain() // as a host does before it stops; responses close their connections from here on
	finished := make(chan error, 1)
	go func() {
		if err := s.StopAccepting(l); err != nil {
			finished <- err
			return
		}
		finished <- s.Shutdown(context.Background())
	}()
	time.Sleep(20 * time.Millisecond) // the listener is closed
	close(proceed)
	require.True(t, readResponse(t, reader).Close)
	require.NoError(t, c.Close())
	require.NoError(t, <-finished)
}

// Guards against a shutdown that waits for the idle timeout of a connection whose last
// response is just written when the shutdown begins.
func TestConnectionThatBecomesIdleDuringAShutdownIsClosed(t *testing.T) {
	s, _ := startServer(t, echoHandler)
	proceed := make(chan struct{})
	c := acceptAs(t, s, formatGet("/"), func(c *net.TCPConn) net.Conn { return &slowWriter{TCPConn: c, proceed: proceed} })
	reader := bufio.NewReader(c)
	require.False(t, readResponse(t, reader).Close)
	finished := startShutdown(s)
	close(proceed)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(500*time.Millisecond)))
	_, err := reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.NoError(t, c.Close())
	require.NoError(t, <-finished)
}
