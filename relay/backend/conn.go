package backend

import (
	"context"
	"crypto/tls"
	"net"
	"net/http/httptrace"
	"sync"
)

// conn counts bytes, so that a failed request is known to be written or not.
// httptrace.WroteHeaders does not tell: it runs before the transport's buffer is
// flushed, and headers beyond that buffer are written before it runs.
type conn struct {
	net.Conn

	mu      sync.Mutex
	written uint64 // bytes passed to Write, whether or not it succeeded
	read    uint64
	marked  uint64 // written when the current request got the connection
	first   uint64 // read when the first byte of the current request was written
	sealed  bool
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, sealedError{}
	}
	if c.written == c.marked {
		c.first = c.read
	}
	c.written += uint64(len(p))
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	c.read += uint64(n)
	c.mu.Unlock()
	return n, err
}

// mark starts a request on the connection.
func (c *conn) mark() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.marked = c.written
}

// sealUnwritten reports whether nothing of the current request was written. If
// so, nothing will be: later writes fail.
func (c *conn) sealUnwritten() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written != c.marked {
		return false
	}
	c.sealed = true
	return true
}

// isLeftover reports whether the response that begins now was read from the
// socket before the request was written, so that it belongs to an earlier one.
func (c *conn) isLeftover() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written == c.marked || c.read == c.first
}

// attempt follows one request through the transport.
type attempt struct {
	mu       sync.Mutex
	conn     *conn // nil until one was obtained
	reused   bool
	over     bool // the request failed; a connection that comes now is not used
	leftover bool
}

func (a *attempt) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:              a.gotConn,
		GotFirstResponseByte: a.gotFirstResponseByte,
	})
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	c.mark()
	if a.over {
		c.sealUnwritten()
	}
	a.conn, a.reused = c, info.Reused
}

func (a *attempt) gotFirstResponseByte() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil && a.conn.isLeftover() {
		a.leftover = true
	}
}

// fail ends the attempt and reports whether nothing was and will be written.
func (a *attempt) fail() (unwritten, reused bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.over = true
	if a.conn == nil {
		return true, false
	}
	return a.conn.sealUnwritten(), a.reused
}

// crossed reports whether the response belongs to an earlier request, and closes
// the connection if so.
func (a *attempt) crossed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leftover {
		_ = a.conn.Close()
	}
	return a.leftover
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func dialPlain(dialer *net.Dialer) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		inner, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: inner}, nil
	}
}

// dialTLS wraps the connection outside TLS, so that the handshake is not counted.
func dialTLS(dialer *net.Dialer, config *tls.Config) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		inner, err := (&tls.Dialer{NetDialer: dialer, Config: config}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: inner}, nil
	}
}
