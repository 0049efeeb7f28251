// Package ingress serves the HTTP/1.1 connections of callers. Pipelined requests
// run concurrently and are answered in order, and the context of a running request
// ends when its connection is closed. net/http's server does neither for pipelined
// requests, so this package has its own connection loop; messages are parsed by
// net/http.
package ingress

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"parsleyrelay.example/core/routes"
	"parsleyrelay.example/relay/linger"
	"parsleyrelay.example/relay/memory"
	"parsleyrelay.example/relay/readlimit"
)

// Limits of a connection.
const (
	maxPipelined   = 16 // requests of one connection that run concurrently
	readBufferSize = 4096
	// idleTimeoutSlack is added to the idle timeout, so that a request sent just
	// before the timeout is still read.
	idleTimeoutSlack = 500 * time.Millisecond
	// lastReadTime is how long an idle connection that is to be closed is read once more,
	// since a request may have arrived that is not read yet.
	lastReadTime = 50 * time.Millisecond
)

// DefaultLimits apply until a configuration is loaded.
var DefaultLimits = routes.Limits{HeaderBytes: 16 << 10, BodyBytes: 8 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// Request is a completely read request. Payload is its body, in pieces that must not be
// used after the Handler has returned; ReceivedAt is the time when it was complete.
type Request struct {
	*http.Request
	Payload    [][]byte
	ReceivedAt time.Time
	// NotRun is set by the Handler, also if it panics: the request has not run and never will.
	NotRun bool
}

// PayloadSize returns the length of the body in bytes.
func (r *Request) PayloadSize() (size int) {
	for _, piece := range r.Payload {
		size += len(piece)
	}
	return size
}

// Response is a Handler's response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Abort closes the connection without a response.
	Abort bool
	// Bulk lets other responses be written first; see Server.Pacer.
	Bulk bool
	// OnRelease, if not nil, is called once when the response is written or will not be.
	OnRelease func()
}

// Handler answers a request. ctx ends when the caller closes its connection.
type Handler func(ctx context.Context, r *Request) *Response

// Server accepts connections of callers.
type Server struct {
	Handler Handler
	Limits  func() routes.Limits
	// Memory holds the bodies of requests until their handler has returned, and those of
	// responses until they are written. nil for no limit.
	Memory *memory.Account
	// OnReadError, if not nil, is called for each request that is answered with an
	// error status because it could not be read, or had no room in Memory (ErrNoMemory). r
	// is nil if its head was not read.
	OnReadError func(caller string, r *http.Request, status int, cause error)
	// OnCutOff, if not nil, is called for each response that its caller may not have
	// received in whole.
	OnCutOff func(CutOff)
	// OnPanic, if not nil, is called for each request whose Handler panics.
	OnPanic func(Panic)

	// Pacer, if not nil, is asked before responses are written.
	Pacer Pacer

	writeStallTimeout time.Duration // 0 for the default

	mu           sync.Mutex
	conns        map[*conn]struct{}
	shuttingDown bool // no connection is added to connLoops any more
	draining     atomic.Bool
	connLoops    sync.WaitGroup
	acceptLoops  sync.WaitGroup
}

// pipelinedRequest is a request in the order of its connection. response is set
// when done is closed.
type pipelinedRequest struct {
	request      *http.Request
	handled      *Request // nil until the handler starts
	done         chan struct{}
	response     *Response
	responseHold memory.Hold
}

// conn is a connection of a caller. readLoop reads requests and starts their handlers;
// writeLoop writes the responses in order and closes the connection. Once closing is set, no
// request is accepted, and the requests that are pending still get their responses.
// readLoop closes pending when it ends; writeLoop makes it end by stopReading.
type conn struct {
	net.Conn
	server  *Server
	reader  *bufio.Reader
	heads   *readlimit.Reader      // below reader; limits the head of each request
	pending chan *pipelinedRequest // in the order of their responses
	cancel  context.CancelFunc

	mu             sync.Mutex
	unanswered     int   // requests read and not answered
	closing        bool  // the last response is decided; no further request is accepted
	closeWhenIdle  bool  // close the connection once all requests are answered
	lastRead       bool  // the connection is idle and to be closed; it is read once more
	readingRequest bool  // the first byte of a request has arrived, the rest is being read
	readStopped    bool  // the read loop ends; read deadlines are not changed any more
	dropped        int64 // bytes that arrived behind the last request, as of the end of the read loop

	// Of writeLoop only.
	lastWritten writtenResponse
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	s.acceptLoops.Add(1)
	defer s.acceptLoops.Done()
	for {
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			var netErr net.Error
			if errors.As(err, &netErr) && netErr.Timeout() {
				continue
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.startConn(c)
	}
}

// StopAccepting closes the listener of Serve and returns when the connections that it has
// accepted are being served, so that Shutdown closes none of them unread.
func (s *Server) StopAccepting(l net.Listener) error {
	err := l.Close()
	s.acceptLoops.Wait()
	return err
}

// acceptRetryDelay avoids a busy loop while Accept fails, such as for lack of file
// descriptors.
const acceptRetryDelay = 20 * time.Millisecond

func (s *Server) startConn(c net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	heads := &readlimit.Reader{Source: c, Remaining: readlimit.None}
	cn := &conn{Conn: c, server: s, heads: heads, reader: bufio.NewReaderSize(heads, readBufferSize), pending: make(chan *pipelinedRequest, maxPipelined), cancel: cancel}
	s.mu.Lock()
	if s.shuttingDown {
		s.mu.Unlock()
		cancel()
		_ = c.Close()
		return
	}
	if s.conns == nil {
		s.conns = map[*conn]struct{}{}
	}
	s.conns[cn] = struct{}{}
	s.connLoops.Add(2)
	s.mu.Unlock()
	go cn.readLoop(ctx)
	go cn.writeLoop()
}

func (s *Server) removeConn(cn *conn) {
	s.mu.Lock()
	delete(s.conns, cn)
	s.mu.Unlock()
}

// Drain makes each connection close after the requests that are pending at its next
// response. It returns at once and leaves idle connections open; Shutdown closes those and
// waits.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown closes idle connections and waits until the requests on the others are
// answered or ctx ends. A connection that is accepted later is closed unread, so that its
// caller may send its requests again.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.shuttingDown = true
	for cn := range s.conns {
		cn.requestClose()
	}
	s.mu.Unlock()
	done := make(chan struct{})
	go func() { s.connLoops.Wait(); close(done) }()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// requestClose closes the connection once it is idle. On an idle connection it
// interrupts the pending read.
func (c *conn) requestClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeWhenIdle = true
	if c.unanswered == 0 && !c.readingRequest && !c.closing {
		c.interruptRead()
	}
}

// interruptRead makes a pending or later read fail with a timeout.
func (c *conn) interruptRead() { _ = c.SetReadDeadline(time.Unix(1, 0)) }

func (c *conn) readLoop(ctx context.Context) {
	defer c.server.connLoops.Done()
	defer close(c.pending)
	for {
		if !c.awaitRequest() {
			if c.closesAfterPending() {
				break
			}
			c.cancel()
			return
		}
		if !c.readRequest(ctx) {
			break
		}
	}
	// No further request is accepted, and those that are pending run. Reads show when the
	// caller closes the connection.
	c.limitRead(time.Time{})
	dropped, err := linger.Drop(c.Conn)
	if !isTimeout(err) && !errors.Is(err, linger.ErrPeerSends) {
		c.cancel()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropped = dropped + int64(c.reader.Buffered())
}

// closesAfterPending reports whether the connection closes when its pending requests are
// answered.
func (c *conn) closesAfterPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing && c.unanswered > 0
}

// limitRead sets the deadline of reads, unless the read loop is to end.
func (c *conn) limitRead(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.readStopped {
		_ = c.SetReadDeadline(deadline)
	}
}

// stopReading ends the read loop and refuses further requests.
func (c *conn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing, c.readStopped = true, true
	c.interruptRead()
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// awaitRequest waits for the first byte of a request. It returns false if the
// connection ends.
func (c *conn) awaitRequest() bool {
	for {
		c.heads.Remaining = readlimit.None
		c.mu.Lock()
		c.readingRequest = false
		switch {
		case c.closing:
			c.mu.Unlock()
			return false // the writer closes the connection after the last response
		case c.unanswered == 0 && c.closeWhenIdle:
			c.lastRead = true
			_ = c.SetReadDeadline(time.Now().Add(lastReadTime))
		case c.unanswered == 0:
			_ = c.SetReadDeadline(time.Now().Add(c.server.Limits().IdleTimeout + idleTimeoutSlack))
		default:
			_ = c.SetReadDeadline(time.Time{})
		}
		c.mu.Unlock()
		_, err := c.reader.Peek(1)
		if err == nil {
			c.mu.Lock()
			c.readingRequest = true
			c.mu.Unlock()
			return true
		}
		if !isTimeout(err) {
			return false
		}
		c.mu.Lock()
		ends := c.unanswered == 0 && (c.lastRead || !c.closeWhenIdle)
		if ends {
			c.closing = true
		}
		c.mu.Unlock()
		if ends {
			return false
		}
	}
}

// readRequest reads one request and starts its handler. It returns false after
// the last request of the connection.
func (c *conn) readRequest(ctx context.Context) bool {
	limits := c.server.Limits()
	c.heads.Remaining = int64(limits.HeaderBytes)
	c.limitRead(time.Now().Add(limits.HeaderTimeout))
	request, err := readHead(c.reader)
	if err != nil {
		c.handleReadError(cmp.Or(c.heads.Err, err))
		return false
	}
	c.heads.Remaining = readlimit.None
	body, err := c.server.admitBody(request, limits.BodyBytes)
	if err != nil {
		c.refuseBody(request, err)
		return false
	}
	c.limitRead(time.Now().Add(bodyReadTimeout))
	// 100 Continue is sent only if no response is outstanding, because it would
	// arrive out of order. Callers send the body without it after a wait.
	if request.Header.Get("Expect") != "" && c.isIdle() {
		if _, err := c.writeAll([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			body.release(true)
			c.stopReading()
			return false
		}
	}
	if err := body.read(request.Body, limits.BodyBytes); err != nil {
		body.release(true)
		c.refuseBody(request, err)
		return false
	}
	p := &pipelinedRequest{request: request, done: make(chan struct{})}
	if !c.enqueue(p) {
		body.release(true)
		return false
	}
	go c.handle(ctx, p, body)
	return !request.Close
}

// isIdle reports whether all requests read so far are answered.
func (c *conn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unanswered == 0
}

// bodyReadTimeout limits the time for reading a request body.
const bodyReadTimeout = 10 * time.Second

// enqueue adds a request to the pending ones. It returns false if the response
// before it closes the connection: the caller sends such a request again, so it
// must not run.
func (c *conn) enqueue(p *pipelinedRequest) bool {
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return false
	}
	c.unanswered++
	c.mu.Unlock()
	c.pending <- p
	return true
}

// handleReadError answers a request that failed to be read, or only cancels the
// running ones if the connection ended.
func (c *conn) handleReadError(err error) {
	c.mu.Lock()
	stopped := c.readStopped
	c.mu.Unlock()
	var netErr net.Error
	var targetErr *url.Error
	switch {
	case stopped: // the response before it closes the connection
	case errors.As(err, &targetErr): // implements net.Error, but is not one of the network
		c.refuseUnread(nil, http.StatusBadRequest, err)
	case errors.Is(err, readlimit.ErrExceeded):
		c.refuseUnread(nil, http.StatusRequestHeaderFieldsTooLarge, err)
	case isTimeout(err):
		c.refuseUnread(nil, http.StatusRequestTimeout, err)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr):
		c.cancel()
	default:
		c.refuseUnread(nil, http.StatusBadRequest, err)
	}
}

// refuseUnread answers a request that could not be read with an error status, and
// the connection closes after it. r is nil if its head was not read.
func (c *conn) refuseUnread(r *http.Request, status int, cause error) {
	if c.server.OnReadError != nil {
		c.server.OnReadError(c.RemoteAddr().String(), r, status, cause)
	}
	p := &pipelinedRequest{request: &http.Request{Close: true}, done: make(chan struct{}), response: &Response{Status: status}}
	if status == http.StatusServiceUnavailable {
		p.response.Header = http.Header{"Retry-After": {memoryRetryAfter}}
	}
	close(p.done)
	c.enqueue(p)
}

func (c *conn) writeLoop() {
	defer c.server.connLoops.Done()
	defer c.server.removeConn(c)
	for p := range c.pending {
		<-p.done
		last := c.closeAfter(p)
		if p.response == nil || p.response.Abort {
			break
		}
		written := c.writeResponse(p, last)
		p.release()
		if !written || last {
			break
		}
		c.responseWritten()
	}
	c.stopReading()
	c.cancel()
	var unanswered []*pipelinedRequest
	for p := range c.pending {
		unanswered = append(unanswered, p)
	}
	c.closeLingering()
	for _, p := range unanswered {
		<-p.done
		p.release()
	}
}

// closeAfter reports whether the connection closes after this response. Once the
// connection is to close, it accepts no further request, and closes after the last one
// that is pending.
func (c *conn) closeAfter(p *pipelinedRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.request.Close || c.closeWhenIdle || c.server.draining.Load() {
		c.closing = true
	}
	return c.closing && c.unanswered == 1
}

// responseWritten counts a request as answered. If it was the last one pending, it starts
// the idle timeout, or closes the connection if that was requested meanwhile.
func (c *conn) responseWritten() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered--
	switch {
	case c.unanswered > 0 || c.readingRequest:
	case c.closeWhenIdle:
		c.interruptRead()
	default:
		_ = c.SetReadDeadline(time.Now().Add(c.server.Limits().IdleTimeout + idleTimeoutSlack))
	}
}
