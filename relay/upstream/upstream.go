// Package upstream exchanges HTTP/1.1 requests with backend servers over pooled
// connections. A response is returned only when it is complete and matches its
// request; a connection with unexpected bytes is not reused.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"parsleyrelay.example/relay/connreset"
	"parsleyrelay.example/relay/memory"
	"parsleyrelay.example/relay/readlimit"
	"parsleyrelay.example/relay/responsecheck"
)

// Limits of connections.
const (
	// DialTimeout limits the opening of a connection, which takes a few
	// milliseconds. A lost packet is retransmitted after one second only, and
	// another attempt is faster than that.
	DialTimeout = 350 * time.Millisecond
	// defaultIdleTimeout is used for servers that do not announce an idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the announced idle timeout, which is
	// given in whole seconds, so that the client closes first.
	idleTimeoutMargin = 1500 * time.Millisecond
	// maxIdlePerServer limits the idle connections to one server.
	maxIdlePerServer = 8
	// maxConnWait limits the wait for a connection that other exchanges use; see
	// Exchange.OpenedBefore. It is longer than a server takes for a short request.
	maxConnWait = 100 * time.Millisecond
	// MaxResponseBytes limits a response body, which is held in memory.
	MaxResponseBytes = 16 << 20
	// MaxResponseHeadBytes limits the heads of all responses that are read for one request:
	// skipped ones, interim ones (status 1xx) and the matching one.
	MaxResponseHeadBytes = 64 << 10
	// maxResponsesRead limits the responses read for one request, including the
	// matching one; those of earlier requests are skipped.
	maxResponsesRead = 3
	readBufferSize   = 4096
	// minBodyBuffer and maxFirstBodyBuffer limit the first buffer of a body. It grows only
	// with the bytes that arrive, whatever length the response announces.
	minBodyBuffer      = 1 << 10
	maxFirstBodyBuffer = 64 << 10
	// longRequestBytes is the size up to which a request fits into the buffers of a
	// connection, so that its write does not wait for the server.
	longRequestBytes = 16 << 10
)

// Error is a failed exchange. Sent reports that bytes of the request may have
// reached the server, so that the request may have run. Received is the number of bytes of
// responses that arrived.
type Error struct {
	Address  string
	Sent     bool
	Received int64
	Err      error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Received > 0 {
		return fmt.Sprintf("exchange with %s (sent: %t, received: %d bytes): %v", e.Address, e.Sent, e.Received, e.Err)
	}
	return fmt.Sprintf("exchange with %s (sent: %t): %v", e.Address, e.Sent, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Errors of invalid responses.
var (
	ErrContentEncoding    = errors.New("response has a content encoding that was not requested")
	ErrUnmatchedResponses = errors.New("no response matches the request")
	ErrResponseTooLarge   = errors.New("response body exceeds the size limit")
	ErrNoMemory           = errors.New("no memory for the response body beside those of other requests")
	ErrHeadTooLarge       = errors.New("response heads exceed the size limit")
	// ErrInvalidStatus matches the errors of responses with a status that package
	// responsecheck rejects. Those with another fault of the head have a
	// *responsecheck.HeadError.
	ErrInvalidStatus = error(&responsecheck.StatusError{})
)

// IncompleteBodyError reports a response whose body did not reach its end: its length, its
// last chunk or, without either, an end of the connection that was no reset.
type IncompleteBodyError struct{ Err error }

// Error implements error.
func (e *IncompleteBodyError) Error() string { return "incomplete response body: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *IncompleteBodyError) Unwrap() error { return e.Err }

// ErrDialTooLong is the cause if a connection was not open at Exchange.DialUntil.
var ErrDialTooLong = errors.New("no connection was open in time for the request")

// ErrClosedBeforeSend is the cause if the server closed a new connection, or sent bytes on it,
// before the request was written.
var ErrClosedBeforeSend = errors.New("the server closed the connection, or sent bytes, before the request was sent")

// ErrNoOldConn is the cause if no connection was opened before Exchange.OpenedBefore.
var ErrNoOldConn = errors.New("no idle connection is old enough")

// Exchange is one request to a server. Matches reports whether a response with the
// given header belongs to it; nil accepts the next response.
type Exchange struct {
	Address    string
	Method     string
	RawRequest []byte // header and body as written to the connection
	// FurtherBody is written after RawRequest, in these pieces, without a copy. It is not used
	// any more when the exchange has ended. A short body belongs in RawRequest.
	FurtherBody [][]byte
	Matches     func(http.Header) bool
	NewConn     bool // opens a connection, even if one is idle
	// DialUntil is the time until which opening a connection may take, in addition to
	// DialTimeout; zero for no limit.
	DialUntil time.Time
	// OpenedBefore limits the exchange to connections that were opened before a time, so
	// that it reaches a process that ran then. None is opened without ConfirmNewConn. Zero
	// for no limit.
	OpenedBefore time.Time
	// ConfirmNewConn, if set, allows connections that were not opened before OpenedBefore
	// where no idle one was. It is called when such a connection is open, before
	// BeforeSend. If it returns an error, nothing is sent, the connection is kept and the
	// error is returned.
	ConfirmNewConn func(context.Context) error
	// BeforeSend is called when the connection is open, before anything is written. If it
	// returns an error, nothing is sent and the error is returned. nil for no check.
	BeforeSend func() error
	// OnBody is called when bytes of the body of the matching response have arrived. nil for
	// none.
	OnBody func(status int)
}

// DialFunc opens a connection to a host:port.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// DialTCP opens a TCP connection without keep-alive probes. It is reset when it is closed,
// also by the end of the process, so that bytes in transit are not delivered later.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAlive: -1}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := c.(*net.TCPConn).SetLinger(0); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

// Client pools connections by address. It is safe for concurrent use.
type Client struct {
	dial DialFunc
	// Bodies holds the response bodies that are being read. It may be replaced before the
	// first Do; the account of a new client has no limit.
	Bodies       *memory.Account
	mu           sync.Mutex
	idle         map[string][]*conn
	released     map[string]chan struct{} // by address; see acquireOldConn
	DialAttempts atomic.Uint64            // connections opened, including failed attempts
	Received     atomic.Uint64            // bytes of responses, broken ones too
	HeadsCutOff  atomic.Uint64            // exchanges that failed with ErrHeadTooLarge
	BodiesCutOff atomic.Uint64            // exchanges that failed with ErrResponseTooLarge
	// InvalidHeads and IncompleteBodies count the exchanges that failed by a response that
	// package responsecheck rejects, and with an IncompleteBodyError.
	InvalidHeads     atomic.Uint64
	IncompleteBodies atomic.Uint64
}

type conn struct {
	*connreset.Conn
	reader      *bufio.Reader
	heads       *readlimit.Reader   // below reader; limits the heads of the responses to one request
	checked     *responsecheck.Conn // below heads; checks the heads
	bodies      *memory.Account     // see Client.Bodies
	openedAt    time.Time
	idleSince   time.Time
	idleTimeout time.Duration
	used        bool // a response to a request was awaited
}

// NewClient returns a client without connections, which opens them with DialTCP.
func NewClient() *Client { return NewClientWithDial(DialTCP) }

// NewClientWithDial returns a client without connections, which opens them with dial.
func NewClientWithDial(dial DialFunc) *Client {
	return &Client{dial: dial, Bodies: memory.NewAccount(0), idle: map[string][]*conn{}, released: map[string]chan struct{}{}}
}

// Do runs an exchange. All errors are *Error. Nothing is sent after the end of ctx. When
// ctx ends later, the connection is reset, upon which most servers stop running the
// request.
func (c *Client) Do(ctx context.Context, x Exchange) (*Response, error) {
	cn, err := c.acquireConn(ctx, x)
	if err != nil {
		return nil, &Error{Address: x.Address, Err: err}
	}
	if x.ConfirmNewConn != nil && !cn.openedAt.Before(x.OpenedBefore) {
		if err := x.ConfirmNewConn(ctx); err != nil {
			c.releaseConn(x.Address, cn)
			return nil, &Error{Address: x.Address, Err: err}
		}
	}
	if x.BeforeSend != nil {
		if err := x.BeforeSend(); err != nil {
			c.releaseConn(x.Address, cn)
			return nil, &Error{Address: x.Address, Err: err}
		}
	}
	if err := ctx.Err(); err != nil {
		c.releaseConn(x.Address, cn)
		return nil, &Error{Address: x.Address, Err: err}
	}
	if !cn.used && !cn.isOpenAndEmpty() { // idle ones were checked when they were acquired
		cn.reset()
		return nil, &Error{Address: x.Address, Err: ErrClosedBeforeSend}
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	receivedBefore := cn.heads.Total
	response, sent, reusable, err := cn.exchange(x)
	received := cn.heads.Total - receivedBefore
	c.Received.Add(uint64(received))
	if !stop() || err != nil {
		reusable = false
	}
	if reusable {
		c.releaseConn(x.Address, cn)
	} else {
		cn.reset()
	}
	if err != nil {
		c.countFailure(ctx, err)
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &Error{Address: x.Address, Sent: sent, Received: received, Err: err}
	}
	return response, nil
}

// countFailure counts an exchange that failed by its response. The end of ctx also ends
// bodies.
func (c *Client) countFailure(ctx context.Context, err error) {
	var body *IncompleteBodyError
	switch {
	case errors.Is(err, ErrHeadTooLarge):
		c.HeadsCutOff.Add(1)
	case errors.Is(err, ErrResponseTooLarge):
		c.BodiesCutOff.Add(1)
	case responsecheck.IsFault(err):
		c.InvalidHeads.Add(1)
	case errors.As(err, &body) && ctx.Err() == nil:
		c.IncompleteBodies.Add(1)
	}
}

// acquireConn returns an idle connection that is still usable, or opens one.
func (c *Client) acquireConn(ctx context.Context, x Exchange) (*conn, error) {
	if !x.OpenedBefore.IsZero() && x.ConfirmNewConn == nil {
		return c.acquireOldConn(ctx, x)
	}
	if !x.NewConn {
		cn, _ := c.acquireIdle(x)
		if cn == nil && !x.OpenedBefore.IsZero() {
			x.OpenedBefore = time.Time{} // ConfirmNewConn decides on newer ones
			cn, _ = c.acquireIdle(x)
		}
		if cn != nil {
			return cn, nil
		}
	}
	c.DialAttempts.Add(1)
	dialCtx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	if !x.DialUntil.IsZero() {
		dialCtx, cancel = context.WithDeadlineCause(dialCtx, x.DialUntil, ErrDialTooLong)
		defer cancel()
	}
	nc, err := c.dial(dialCtx, x.Address)
	if err != nil {
		if ctx.Err() == nil && errors.Is(context.Cause(dialCtx), ErrDialTooLong) {
			err = ErrDialTooLong
		}
		return nil, err
	}
	resets := connreset.New(nc)
	checked := responsecheck.NewConn(resets)
	heads := &readlimit.Reader{Source: checked, Remaining: readlimit.None}
	return &conn{Conn: resets, heads: heads, checked: checked, bodies: c.Bodies, reader: bufio.NewReaderSize(heads, readBufferSize), openedAt: time.Now(), idleTimeout: defaultIdleTimeout}, nil
}

// acquireOldConn returns an idle connection that was opened before x.OpenedBefore. It
// waits up to maxConnWait, since another exchange may use one.
func (c *Client) acquireOldConn(ctx context.Context, x Exchange) (*conn, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, maxConnWait, ErrNoOldConn)
	defer cancel()
	for {
		cn, released := c.acquireIdle(x)
		if cn != nil {
			return cn, nil
		}
		select {
		case <-released:
		case <-ctx.Done():
			c.mu.Lock()
			c.endWaitsLocked(x.Address)
			c.mu.Unlock()
			return nil, context.Cause(ctx)
		}
	}
}

// endWaitsLocked makes the exchanges that wait for a connection look again. c.mu must be
// locked.
func (c *Client) endWaitsLocked(address string) {
	if released := c.released[address]; released != nil {
		close(released)
		delete(c.released, address)
	}
}

// acquireIdle returns an idle connection that is still usable. If there is none and x
// limits the age, it returns a channel that is closed at the next release of one.
func (c *Client) acquireIdle(x Exchange) (*conn, <-chan struct{}) {
	for {
		cn, released := c.popIdle(x)
		if cn == nil || time.Since(cn.idleSince) < cn.idleTimeout && cn.isOpenAndEmpty() {
			return cn, released
		}
		cn.reset()
	}
}

// popIdle removes and returns the connection that was released last, of those that x
// allows. See acquireIdle for the channel.
func (c *Client) popIdle(x Exchange) (*conn, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[x.Address]
	for i, cn := range slices.Backward(list) {
		if x.OpenedBefore.IsZero() || cn.openedAt.Before(x.OpenedBefore) {
			c.idle[x.Address] = slices.Delete(list, i, i+1)
			return cn, nil
		}
	}
	if x.OpenedBefore.IsZero() {
		return nil, nil
	}
	released := c.released[x.Address]
	if released == nil {
		released = make(chan struct{})
		c.released[x.Address] = released
	}
	return nil, released
}

// releaseConn keeps a connection for reuse, or closes it if enough are idle.
func (c *Client) releaseConn(address string, cn *conn) {
	cn.idleSince = time.Now()
	c.mu.Lock()
	full := len(c.idle[address]) >= maxIdlePerServer
	if !full {
		c.idle[address] = append(c.idle[address], cn)
	}
	c.endWaitsLocked(address)
	c.mu.Unlock()
	if full {
		cn.reset()
	}
}

// CloseIdle closes the idle connections to an address, after its server has gone.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	list := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, cn := range list {
		cn.reset()
	}
}

// CloseExpired closes connections that have reached their idle timeout.
func (c *Client) CloseExpired() {
	var expired []*conn
	c.mu.Lock()
	for address, list := range c.idle {
		remaining := list[:0]
		for _, cn := range list {
			if time.Since(cn.idleSince) < cn.idleTimeout {
				remaining = append(remaining, cn)
			} else {
				expired = append(expired, cn)
			}
		}
		c.idle[address] = remaining
		if len(remaining) == 0 {
			delete(c.idle, address)
		}
	}
	c.mu.Unlock()
	for _, cn := range expired {
		cn.reset()
	}
}

// reset closes the connection, which resets it (see DialTCP).
func (cn *conn) reset() { _ = cn.Close() }

// isOpenAndEmpty reports whether the server has neither closed the connection nor
// sent bytes without a request.
func (cn *conn) isOpenAndEmpty() bool {
	if cn.reader.Buffered() > 0 {
		return false
	}
	sc, ok := cn.Conn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	openAndEmpty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		openAndEmpty = errors.Is(e, syscall.EAGAIN)
		return true
	})
	return err == nil && openAndEmpty
}

// exchange writes the request and reads the response. sent reports that bytes were
// written, reusable that the connection can serve another request.
func (cn *conn) exchange(x Exchange) (response *Response, sent, reusable bool, err error) {
	if len(x.RawRequest) > longRequestBytes || len(x.FurtherBody) > 0 {
		return cn.exchangeLong(x)
	}
	if n, err := cn.Write(x.RawRequest); err != nil {
		return nil, n > 0, false, err
	}
	response, reusable, err = cn.readMatching(x)
	return response, true, reusable, err
}

// exchangeLong is exchange for a request that the server may answer before it has read it
// all. The server may then read no further, or close the connection. If the write learns of
// a reset, the body of a response that ends with the connection is not complete; see package
// connreset.
func (cn *conn) exchangeLong(x Exchange) (response *Response, sent, reusable bool, err error) {
	var n int64
	var writeErr error
	written := make(chan struct{})
	go func() {
		defer close(written)
		n, writeErr = cn.WriteBuffers(append(net.Buffers{x.RawRequest}, x.FurtherBody...))
	}()
	response, reusable, err = cn.readMatching(x)
	select {
	case <-written:
	default: // ends the write
		cn.reset()
		<-written
	}
	// The error of a response that had begun says more than that of the write.
	var body *IncompleteBodyError
	if err != nil && writeErr != nil && !errors.Is(writeErr, net.ErrClosed) && !errors.As(err, &body) && !responsecheck.IsFault(err) {
		err = writeErr
	}
	return response, n > 0, reusable && writeErr == nil, err
}
