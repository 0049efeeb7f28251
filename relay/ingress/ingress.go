// Package ingress serves the HTTP/1.1 connections of callers. Requests that
// are sent one behind the other on a connection run side by side and are
// answered in order, and the end of a connection is noticed while its requests
// run. net/http's server does neither, so the connection loop is this package's;
// messages are parsed by net/http.
package ingress

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"parsleyrelay.example/core/routes"
)

// Bounds of connections.
const (
	maxPipelined = 16 // requests of one connection that run side by side
	writeTimeout = 10 * time.Second
	bufferSize   = 4096
	// firstByteSlack is added to the idle timeout, so that a request sent at its
	// end is still read.
	firstByteSlack = 500 * time.Millisecond
)

// DefaultLimits apply until a configuration is known.
var DefaultLimits = routes.Limits{HeaderBytes: 16 << 10, BodyBytes: 8 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// Request is a request that was read completely.
type Request struct {
	*http.Request
	Payload    []byte
	ReceivedAt time.Time
}

// Response is what a Handler answers.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Abort closes the connection in place of a response.
	Abort bool
}

// Handler answers a request. ctx ends when the caller closes its connection.
type Handler func(ctx context.Context, r *Request) *Response

// Server accepts connections of callers.
type Server struct {
	Handler Handler
	Limits  func() routes.Limits
	// OnReadError is told of requests that could not be read, which have no id; nil if
	// nobody needs to know.
	OnReadError func(caller string, status int, cause error)

	mu       sync.Mutex
	conns    map[*conn]struct{}
	draining atomic.Bool
	active   sync.WaitGroup
}

type slot struct {
	request *http.Request
	done    chan struct{}
	answer  *Response
}

type conn struct {
	net.Conn
	server  *Server
	reader  *bufio.Reader
	limit   *limitedReader
	pending chan *slot
	cancel  context.CancelFunc

	mu      sync.Mutex
	open    int  // requests read and not answered
	closing bool // the last response says so; nothing more is read
	ending  bool // close as soon as idle
	reading bool // the first byte of a request has arrived, the rest is being read
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			var temporary net.Error
			if errors.As(err, &temporary) && temporary.Timeout() {
				continue
			}
			time.Sleep(acceptPause)
			continue
		}
		s.start(c)
	}
}

// acceptPause keeps the loop from spinning while descriptors run out.
const acceptPause = 20 * time.Millisecond

func (s *Server) start(c net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	limit := &limitedReader{reader: c}
	cn := &conn{Conn: c, server: s, limit: limit, reader: bufio.NewReaderSize(limit, bufferSize), pending: make(chan *slot, maxPipelined), cancel: cancel}
	s.mu.Lock()
	if s.conns == nil {
		s.conns = map[*conn]struct{}{}
	}
	s.conns[cn] = struct{}{}
	s.mu.Unlock()
	s.active.Add(2)
	go cn.readLoop(ctx)
	go cn.writeLoop()
}

func (s *Server) remove(cn *conn) {
	s.mu.Lock()
	delete(s.conns, cn)
	s.mu.Unlock()
}

// Drain makes every further response the last one of its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown closes idle connections and waits until the others have been answered
// or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	for cn := range s.conns {
		cn.end()
	}
	s.mu.Unlock()
	done := make(chan struct{})
	go func() { s.active.Wait(); close(done) }()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// end wakes the reader of an idle connection.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	if c.open == 0 && !c.reading {
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

func (c *conn) readLoop(ctx context.Context) {
	defer c.server.active.Done()
	defer close(c.pending)
	for {
		if !c.awaitRequest() {
			c.cancel()
			return
		}
		if !c.readRequest(ctx) {
			break
		}
	}
	// The last request of the connection is running; only the caller's close is
	// still of interest.
	_ = c.SetReadDeadline(time.Time{})
	var b [1]byte
	if _, err := c.Read(b[:]); err != nil {
		c.cancel()
	}
}

// awaitRequest waits for the first byte of a request.
func (c *conn) awaitRequest() bool {
	for {
		c.limit.left = -1
		c.mu.Lock()
		c.reading = false
		switch {
		case c.closing:
			c.mu.Unlock()
			return false // the writer closes the connection after the last response
		case c.open == 0 && c.ending && c.reader.Buffered() == 0:
			c.closing = true
			c.mu.Unlock()
			return false
		case c.open == 0:
			_ = c.SetReadDeadline(time.Now().Add(c.server.Limits().IdleTimeout + firstByteSlack))
		default:
			_ = c.SetReadDeadline(time.Time{})
		}
		c.mu.Unlock()
		_, err := c.reader.Peek(1)
		if err == nil {
			c.mu.Lock()
			c.reading = true
			c.mu.Unlock()
			return true
		}
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() {
			return false
		}
		c.mu.Lock()
		idle := c.open == 0
		if idle {
			c.closing = true
		}
		c.mu.Unlock()
		if idle {
			return false
		}
	}
}

// readRequest reads one request and starts its handler. It returns false after
// the last request of the connection.
func (c *conn) readRequest(ctx context.Context) bool {
	limits := c.server.Limits()
	c.limit.left = int64(limits.HeaderBytes)
	_ = c.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	request, err := http.ReadRequest(c.reader)
	if err != nil {
		// http.ReadRequest takes a line that the connection cut short for a whole
		// one, and calls it malformed.
		c.reject(cmp.Or(c.limit.err, err))
		return false
	}
	c.limit.left = -1
	_ = c.SetReadDeadline(time.Now().Add(bodyTimeout))
	if request.Header.Get("Expect") != "" && c.idle() {
		// Behind an open response it would come out of order; callers go on without.
		if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			c.cancel()
			return false
		}
	}
	body, err := io.ReadAll(io.LimitReader(request.Body, limits.BodyBytes+1))
	if err != nil {
		c.reject(err)
		return false
	}
	if int64(len(body)) > limits.BodyBytes {
		c.refuse(http.StatusRequestEntityTooLarge, errBodyTooLarge)
		return false
	}
	s := &slot{request: request, done: make(chan struct{})}
	if !c.admit(s) {
		return false
	}
	go func() {
		defer close(s.done)
		s.answer = c.server.Handler(ctx, &Request{Request: request, Payload: body, ReceivedAt: time.Now()})
	}()
	return !request.Close
}

// idle says that no response is due.
func (c *conn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open == 0
}

// bodyTimeout bounds the time in which a body arrives.
const bodyTimeout = 10 * time.Second

// admit puts a request in line unless the response before it was the last one:
// a caller sends such a request again, so it must not run.
func (c *conn) admit(s *slot) bool {
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return false
	}
	c.open++
	c.mu.Unlock()
	c.pending <- s
	return true
}

func (c *conn) reject(err error) {
	var timeout net.Error
	switch {
	case errors.Is(err, errHeaderTooLarge):
		c.refuse(http.StatusRequestHeaderFieldsTooLarge, err)
	case errors.As(err, &timeout) && timeout.Timeout():
		c.refuse(http.StatusRequestTimeout, err)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &timeout):
		c.cancel()
	default:
		c.refuse(http.StatusBadRequest, err)
	}
}

// refuse answers a request that could not be read; it is the last one.
func (c *conn) refuse(status int, cause error) {
	if c.server.OnReadError != nil {
		c.server.OnReadError(c.RemoteAddr().String(), status, cause)
	}
	s := &slot{request: &http.Request{Close: true}, done: make(chan struct{}), answer: &Response{Status: status}}
	close(s.done)
	c.admit(s)
}

func (c *conn) writeLoop() {
	defer c.server.active.Done()
	defer c.server.remove(c)
	for s := range c.pending {
		<-s.done
		last := c.isLast(s)
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
		if s.answer == nil || s.answer.Abort {
			break
		}
		if err := writeResponse(c, s, last); err != nil {
			break
		}
		if last {
			break
		}
		c.answered()
	}
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	c.cancel()
	_ = c.Close()
	for s := range c.pending {
		<-s.done
	}
}

// isLast decides whether the connection closes after this response. It does not
// while requests behind it have been started.
func (c *conn) isLast(s *slot) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == 1 && (s.request.Close || c.ending || c.server.draining.Load()) {
		c.closing = true
	}
	return c.closing && c.open == 1
}

func (c *conn) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
	if c.open == 0 && !c.reading {
		_ = c.SetReadDeadline(time.Now().Add(c.server.Limits().IdleTimeout + firstByteSlack))
	}
}

// Causes of refusals.
var (
	errHeaderTooLarge = errors.New("the header is larger than the limit")
	errBodyTooLarge   = errors.New("the body is larger than the limit")
)

// limitedReader fails after left bytes; a negative left is no limit.
type limitedReader struct {
	reader io.Reader
	left   int64
	err    error // of the last read
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left == 0 {
		l.err = errHeaderTooLarge
		return 0, l.err
	}
	if l.left > 0 && int64(len(p)) > l.left {
		p = p[:l.left]
	}
	n, err := l.reader.Read(p)
	if l.left > 0 {
		l.left -= int64(n)
	}
	l.err = err
	return n, err
}
