package backend

import (
	"context"
	"crypto/tls"
	"net"
	"net/http/httptrace"
	"sync"

	"parsleyrelay.example/relay/connreset"
	"parsleyrelay.example/relay/responsecheck"
)

// countingConn counts bytes to determine whether any part of a failed request was
// written. httptrace.WroteHeaders is not suited for this: it runs before the
// transport's buffer is flushed, and headers that exceed the buffer are written
// before it runs.
type countingConn struct {
	*responsecheck.Conn

	mu               sync.Mutex
	bytesWritten     uint64 // passed to Write, whether or not it succeeded
	bytesRead        uint64
	writtenAtStart   uint64 // bytesWritten when the current request got the connection
	readAtFirstWrite uint64 // bytesRead when the first byte of the current request was written
	writesSealed     bool
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.writesSealed {
		c.mu.Unlock()
		return 0, sealedError{}
	}
	if c.bytesWritten == c.writtenAtStart {
		c.readAtFirstWrite = c.bytesRead
	}
	c.bytesWritten += uint64(len(p))
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	c.bytesRead += uint64(n)
	c.mu.Unlock()
	return n, err
}

// startRequest marks the start of a request on the connection.
func (c *countingConn) startRequest() {
	c.ExpectResponse()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writtenAtStart = c.bytesWritten
}

// sealIfUnwritten reports whether no byte of the current request was written. If
// so, it makes all later writes fail, so that this remains true.
func (c *countingConn) sealIfUnwritten() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bytesWritten != c.writtenAtStart {
		return false
	}
	c.writesSealed = true
	return true
}

// isStaleResponse reports whether the response that starts now was read from the
// socket before the current request was written and so belongs to an earlier one.
func (c *countingConn) isStaleResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytesWritten == c.writtenAtStart || c.bytesRead == c.readAtFirstWrite
}

// roundTrip tracks one round trip of a request through the HTTP transport.
type roundTrip struct {
	mu            sync.Mutex
	conn          *countingConn // nil until the transport has got one
	reused        bool
	failed        bool // a connection that is obtained after this is not used
	staleResponse bool
}

func (t *roundTrip) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:              t.gotConn,
		GotFirstResponseByte: t.gotFirstResponseByte,
	})
}

func (t *roundTrip) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countingConn)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	conn.startRequest()
	if t.failed {
		conn.sealIfUnwritten()
	}
	t.conn, t.reused = conn, info.Reused
}

func (t *roundTrip) gotFirstResponseByte() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil && t.conn.isStaleResponse() {
		t.staleResponse = true
	}
}

// fail ends the round trip. unwritten reports that no byte was written and none will be.
func (t *roundTrip) fail() (unwritten, reused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failed = true
	if t.conn == nil {
		return true, false
	}
	return t.conn.sealIfUnwritten(), t.reused
}

// closeIfStale reports whether the response belongs to an earlier request. If so, it
// closes the connection.
func (t *roundTrip) closeIfStale() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.staleResponse {
		_ = t.conn.Close()
	}
	return t.staleResponse
}

// errorOf returns the fault of the response's head in place of the transport's error, which
// may be that of a line that the fault cut short.
func (t *roundTrip) errorOf(err error) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil && t.conn.Fault() != nil {
		return t.conn.Fault()
	}
	return err
}

func dialTCP(dialer *net.Dialer) connreset.DialFunc {
	dial := connreset.Dialer(dialer.DialContext)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: responsecheck.NewConn(conn)}, nil
	}
}

// dialTLS wraps the TLS connection, so that bytes of the handshake are not counted.
func dialTLS(dialer *net.Dialer, config *tls.Config) connreset.DialFunc {
	dial := connreset.TLSDialer(connreset.Dialer(dialer.DialContext), config, 0)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialer.Timeout) // covers the handshake
		defer cancel()
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: responsecheck.NewConn(conn)}, nil
	}
}
