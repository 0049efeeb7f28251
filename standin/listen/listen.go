// Package listen serves an HTTP handler on a loopback listener with a bound on
// connections, for the stand-ins.
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
	MaxConnections       int           // connections beyond it are closed at once; 0 for no bound
	ConnectionSetupDelay time.Duration // time that opening a connection takes
}

// Server is a running HTTP server.
type Server struct {
	http     *http.Server
	listener *boundedListener
	done     chan struct{}
}

// Start listens on addr, for example "127.0.0.1:0", and serves handler until Close.
func Start(addr string, handler http.Handler, options Options) (*Server, error) {
	inner, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{
		http:     &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second},
		listener: &boundedListener{Listener: inner, options: options},
		done:     make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		// Serve always returns an error; it is ErrServerClosed after Close.
		_ = s.http.Serve(s.listener)
	}()
	return s, nil
}

// Addr returns the address with the port that was chosen.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// URL returns the base URL.
func (s *Server) URL() string { return "http://" + s.Addr() }

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int { return int(s.listener.open.Load()) }

// PeakConnections returns the highest number of connections open at a time.
func (s *Server) PeakConnections() int { return int(s.listener.most.Load()) }

// RejectedConnections returns the number of connections closed because of the bound.
func (s *Server) RejectedConnections() int { return int(s.listener.rejected.Load()) }

// Close closes the listener and all connections at once and waits for the accept loop.
func (s *Server) Close() {
	_ = s.http.Close()
	<-s.done
}

type boundedListener struct {
	net.Listener
	options  Options
	open     atomic.Int64
	most     atomic.Int64
	rejected atomic.Int64
}

// Accept returns the next connection within the bound.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if bound := l.options.MaxConnections; bound > 0 && l.open.Load() >= int64(bound) {
			l.rejected.Add(1)
			_ = conn.Close()
			continue
		}
		// Accept has one caller, so most has one writer.
		if open := l.open.Add(1); open > l.most.Load() {
			l.most.Store(open)
		}
		return &countedConn{Conn: conn, listener: l}, nil
	}
}

type countedConn struct {
	net.Conn
	listener *boundedListener
	delay    sync.Once
	closing  sync.Once
}

// Read applies the accept delay before the first bytes, in the connection's own
// goroutine, so that connections open concurrently.
func (c *countedConn) Read(p []byte) (int, error) {
	c.delay.Do(func() { time.Sleep(c.listener.options.ConnectionSetupDelay) })
	return c.Conn.Read(p)
}

// Close closes the connection and frees its place under the bound.
func (c *countedConn) Close() error {
	err := net.ErrClosed
	c.closing.Do(func() {
		c.listener.open.Add(-1)
		err = c.Conn.Close()
	})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
