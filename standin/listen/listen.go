// Package listen serves the HTTP handlers of the fake backend server and the fake
// platform, with a limit on the number of connections.
package listen

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Options are the limits of a listener.
type Options struct {
	MaxConnections       int           // further connections are closed at once; 0 for no limit
	ConnectionSetupDelay time.Duration // simulated duration of opening a connection
}

// Server is an HTTP server that Start has started.
type Server struct {
	httpServer *http.Server
	listener   *limitedListener
	serveDone  chan struct{}
}

// Start listens on addr, for example "127.0.0.1:0", and serves handler until Close.
func Start(addr string, handler http.Handler, options Options) (*Server, error) {
	inner, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{
		httpServer: &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second},
		listener:   &limitedListener{Listener: inner, options: options},
		serveDone:  make(chan struct{}),
	}
	go func() {
		defer close(s.serveDone)
		// Serve always returns an error, which is ErrServerClosed after Close.
		_ = s.httpServer.Serve(s.listener)
	}()
	return s, nil
}

// Addr returns the listener's address, including a port chosen by the system.
func (s *Server) Addr() string { return s.listener.Addr().String() }

func (s *Server) URL() string { return "http://" + s.Addr() }

func (s *Server) OpenConnections() int { return int(s.listener.openCount.Load()) }

// PeakConnections returns the highest number of simultaneously open connections.
func (s *Server) PeakConnections() int { return int(s.listener.peakCount.Load()) }

// RejectedConnections returns the number of connections closed because of
// Options.MaxConnections.
func (s *Server) RejectedConnections() int { return int(s.listener.rejectedCount.Load()) }

// Close closes the listener and all connections immediately, without waiting for
// running requests, and waits for the accept loop to return.
func (s *Server) Close() {
	_ = s.httpServer.Close()
	<-s.serveDone
}

type limitedListener struct {
	net.Listener
	options       Options
	openCount     atomic.Int64
	peakCount     atomic.Int64
	rejectedCount atomic.Int64
}

// Accept returns the next connection. It closes connections beyond the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if limit := l.options.MaxConnections; limit > 0 && l.openCount.Load() >= int64(limit) {
			l.rejectedCount.Add(1)
			_ = conn.Close()
			continue
		}
		// Only the accept loop calls Accept, so peakCount has a single writer.
		if open := l.openCount.Add(1); open > l.peakCount.Load() {
			l.peakCount.Store(open)
		}
		return &countedConn{Conn: conn, listener: l}, nil
	}
}

type countedConn struct {
	net.Conn
	listener  *limitedListener
	delayOnce sync.Once
	closeOnce sync.Once
}

// Read waits for the setup delay before the first read. It does so in the goroutine
// of the connection, so that other connections are not delayed.
func (c *countedConn) Read(p []byte) (int, error) {
	c.delayOnce.Do(func() { time.Sleep(c.listener.options.ConnectionSetupDelay) })
	return c.Conn.Read(p)
}

// Close closes the connection and removes it from the count of open connections. A
// repeated Close has no effect and returns nil.
func (c *countedConn) Close() error {
	err := net.ErrClosed
	c.closeOnce.Do(func() {
		c.listener.openCount.Add(-1)
		err = c.Conn.Close()
	})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
