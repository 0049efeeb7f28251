package linger

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// Bounds of the wait for a peer's close.
const (
	// Timeout is the wait beyond the time in which the written bytes arrive. It covers
	// several losses of a packet.
	Timeout = 5 * time.Second
	// MinRate, in bytes a second, is the mean rate at which peers have to take long
	// responses.
	MinRate = 32 << 10
	// maxBuffered limits the bytes that are counted as being in the system's buffers.
	maxBuffered = 4 << 20
)

// DeliveryTime returns the time that a number of bytes takes at MinRate.
func DeliveryTime(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / MinRate
}

// DeliveredAt returns when a number of bytes that are written now have arrived at MinRate,
// behind those that arrive until before.
func DeliveredAt(before, now time.Time, bytes int) time.Time {
	if before.Before(now) {
		before = now
	}
	at := before.Add(DeliveryTime(bytes))
	if latest := now.Add(DeliveryTime(maxBuffered)); at.After(latest) {
		return latest
	}
	return at
}

// Listener makes the connections of another listener close as Close does, for servers such
// as that of net/http which close connections at once.
type Listener struct {
	net.Listener

	mu      sync.Mutex
	closing int           // connections that wait for their peers
	none    chan struct{} // closed when closing falls to 0; nil before the first
}

// NewListener returns a Listener over l, whose connections have to be TCP connections. A
// TLS listener goes above it.
func NewListener(l net.Listener) *Listener { return &Listener{Listener: l} }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, listener: l}, nil
}

// Wait waits until the peers have closed all connections that were closed here, or ctx
// ends.
func (l *Listener) Wait(ctx context.Context) error {
	l.mu.Lock()
	none := l.none
	l.mu.Unlock()
	if none == nil {
		return nil
	}
	select {
	case <-none:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *Listener) closeBegun() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing == 0 {
		l.none = make(chan struct{})
	}
	l.closing++
}

func (l *Listener) closeEnded() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing--; l.closing == 0 {
		close(l.none)
	}
}

// conn is a connection whose Close returns at once and lingers in the background.
type conn struct {
	net.Conn
	listener *Listener

	reading sync.Mutex // held during a read

	mu          sync.Mutex
	closed      bool
	ended       bool      // the peer has closed its direction, or the connection failed
	deliveredAt time.Time // when the written bytes have arrived at MinRate; 0 without any
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(b)
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	c.noteError(err)
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.noteError(err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deliveredAt = DeliveredAt(c.deliveredAt, time.Now(), n)
	return n, err
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

func (c *conn) noteError(err error) {
	var netErr net.Error
	if err == nil || errors.As(err, &netErr) && netErr.Timeout() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
}

// CloseWrite ends the connection's own direction.
func (c *conn) CloseWrite() error {
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return halfCloser.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Close ends reads and writes. If the peer may still have to receive what was written, the
// connection is closed in the background when the peer has closed it.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	deadline := c.deliveredAt.Add(Timeout)
	if c.ended || time.Now().After(deadline) {
		return c.Conn.Close()
	}
	_ = c.Conn.SetDeadline(time.Unix(1, 0))
	c.listener.closeBegun()
	go func() {
		defer c.listener.closeEnded()
		c.reading.Lock()
		defer c.reading.Unlock()
		_, _ = Close(c.Conn, deadline)
	}()
	return nil
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error { return c.unlessClosed(c.Conn.SetDeadline, t) }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error { return c.unlessClosed(c.Conn.SetReadDeadline, t) }

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	return c.unlessClosed(c.Conn.SetWriteDeadline, t)
}

// unlessClosed sets a deadline, unless the connection is closed and has a deadline of its
// own.
func (c *conn) unlessClosed(set func(time.Time) error, t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	return set(t)
}
