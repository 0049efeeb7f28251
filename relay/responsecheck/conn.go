package responsecheck

import (
	"context"
	"net"
	"net/http"
	"sync"

	"parsleyrelay.example/relay/connreset"
)

// Conn is a connection of a client whose Read fails at the first byte that makes the head
// of a response invalid, and from then on. No head is read to its end with a fault.
type Conn struct {
	net.Conn
	mu       sync.Mutex
	scanner  headScanner
	fault    error
	expected uint64 // number of the last expected response, from 1 on
	headRead uint64 // number of the last response whose head was read
}

// NewConn returns a Conn that expects no response yet.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// ExpectResponse makes the next byte the first one of the response to a request. It returns
// the number of that response on the connection.
func (c *Conn) ExpectResponse() (number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expected++
	c.scanner.expect()
	return c.expected
}

// Check checks bytes of an expected response that were read from the connection before the
// call of ExpectResponse. Its error is that of Fault.
func (c *Conn) Check(buffered []byte) error {
	_, err := c.scan(buffered)
	return err
}

// Read implements net.Conn. Its error is that of Fault after the bytes before the fault.
func (c *Conn) Read(p []byte) (int, error) {
	if fault := c.Fault(); fault != nil {
		return 0, fault
	}
	n, err := c.Conn.Read(p)
	n, fault := c.scan(p[:n])
	if fault != nil {
		return n, fault
	}
	return n, err
}

func (c *Conn) scan(p []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fault == nil {
		n, c.fault = c.scanner.scan(p)
	}
	if c.scanner.state == nothingExpected {
		c.headRead = c.expected
	}
	return n, c.fault
}

// Fault returns the *HeadError or *StatusError of an invalid head, or nil. It takes
// precedence over the error of a parser, which may have got a part of a line.
func (c *Conn) Fault() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fault
}

// HeadRead reports whether the head of the response with a number, or of a later one, was
// read after the call of ExpectResponse that returned the number.
func (c *Conn) HeadRead(number uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.headRead >= number
}

// check returns a dial function whose connections are Conns over those of dial.
func check(dial connreset.DialFunc) connreset.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}

// SetDialers makes a transport that was not used yet open its connections as Conns, which
// Transport needs, over those of package connreset. They carry HTTP/1 only, since HTTP/2 has its own framing. It returns the
// transport.
func SetDialers(t *http.Transport) *http.Transport {
	plain := connreset.Dialer(t.DialContext)
	t.Protocols = new(http.Protocols)
	t.Protocols.SetHTTP1(true)
	t.DialContext = check(plain)
	t.DialTLSContext = check(connreset.TLSDialer(plain, t.TLSClientConfig, t.TLSHandshakeTimeout))
	return t
}
