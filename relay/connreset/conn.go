// Package connreset lets the reader of a connection tell a reset by the peer from an end in
// order. The system reports a reset once, to the read or the write that asks first. If that
// is a write, the reads that follow return io.EOF, and a body that ends with the connection
// looks complete although the peer has broken it off.
package connreset

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// ErrEnded is the error of a write that was still in progress when the peer ended the
// connection in order.
var ErrEnded = errors.New("the peer ended the connection while it was written to")

// Conn is a connection whose Read returns io.EOF only if no reset was reported to a Read or
// Write before. It is safe for one reader beside one writer.
type Conn struct {
	net.Conn
	writing sync.Mutex // held during a write, until its error is recorded

	mu    sync.Mutex
	reset error // the first error of a read or write that says the peer has reset the connection
	ended bool  // a read has returned io.EOF
}

// New returns a Conn over a connection that reports resets as syscall.ECONNRESET.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// Read implements net.Conn. At the end of the connection it ends a write that is in
// progress, which may be the one that a reset is reported to.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF {
		c.record(err)
		return n, err
	}
	c.mu.Lock()
	c.ended = true
	c.mu.Unlock()
	if !c.writing.TryLock() {
		_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
		c.writing.Lock()
	}
	c.writing.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reset != nil {
		return n, c.reset
	}
	return n, io.EOF
}

// Write implements net.Conn. It returns ErrEnded if a read has ended it.
func (c *Conn) Write(p []byte) (n int, err error) {
	err = c.write(func() error {
		n, err = c.Conn.Write(p)
		return err
	})
	return n, err
}

// WriteBuffers writes buffers as net.Buffers.WriteTo does, and returns the errors of Write.
func (c *Conn) WriteBuffers(b net.Buffers) (n int64, err error) {
	err = c.write(func() error {
		n, err = b.WriteTo(c.Conn)
		return err
	})
	return n, err
}

func (c *Conn) write(f func() error) error {
	c.writing.Lock()
	defer c.writing.Unlock()
	err := f()
	c.record(err)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended && errors.Is(err, os.ErrDeadlineExceeded) {
		return ErrEnded
	}
	return err
}

// record keeps err if it reports a reset. A reset after the peer has ended its direction in
// order is reported as EPIPE, by which time everything that the peer has sent is received.
func (c *Conn) record(err error) {
	if !errors.Is(err, syscall.ECONNRESET) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reset == nil {
		c.reset = err
	}
}

// DialFunc opens a connection, as http.Transport.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a DialFunc whose connections are Conns over those of dial; nil stands for
// a net.Dialer without options.
func Dialer(dial DialFunc) DialFunc {
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return New(c), nil
	}
}

// TLSDialer returns a DialFunc that opens TLS connections for HTTP/1 over those of dial.
// Without config.ServerName, the server is verified by the host of the address. A nil config
// stands for the defaults, and no timeout of the handshake for that of its context.
func TLSDialer(dial DialFunc, config *tls.Config, handshakeTimeout time.Duration) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		inner, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		config := config.Clone()
		if config == nil {
			config = &tls.Config{MinVersion: tls.VersionTLS12}
		}
		if config.ServerName == "" {
			config.ServerName, _, _ = net.SplitHostPort(address)
		}
		config.NextProtos = nil // a server could otherwise choose HTTP/2
		if handshakeTimeout > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, handshakeTimeout)
			defer cancel()
		}
		c := tls.Client(inner, config)
		if err := c.HandshakeContext(ctx); err != nil {
			_ = inner.Close()
			return nil, err
		}
		return c, nil
	}
}
