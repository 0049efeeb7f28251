// Package upstream exchanges HTTP/1.1 requests with backend servers over pooled
// connections. A response is returned only when it is complete and matches its
// request; a connection with anything unexpected on it is not used again.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of connections.
const (
	// DialTimeout bounds the opening of a connection. Links take a few
	// milliseconds; a lost packet is sent again after one second, which is later
	// than another attempt.
	DialTimeout = 350 * time.Millisecond
	// defaultIdle is used for servers that do not announce an idle timeout.
	defaultIdle = 4 * time.Second
	// idleMargin is kept to the announced idle timeout, which has whole seconds.
	idleMargin = 1500 * time.Millisecond
	// maxIdle bounds the idle connections to one server.
	maxIdle = 8
	// MaxResponseBytes bounds a response that is held in memory.
	MaxResponseBytes = 16 << 20
	// maxStray bounds the responses of other requests that are skipped.
	maxStray   = 3
	bufferSize = 4096
)

// Error is a failed exchange. Sent says that bytes of the request may have
// reached the server, so that it may have run.
type Error struct {
	Address string
	Sent    bool
	Err     error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("exchange with %s (sent: %t): %v", e.Address, e.Sent, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Causes of errors in the response.
var (
	ErrContentEncoding    = errors.New("the response has a content encoding that was not asked for")
	ErrUnmatchedResponses = errors.New("too many responses of other requests")
	ErrResponseTooLarge   = errors.New("the response is too large")
)

// Response is a complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Exchange is one request. Matches tells whether a response belongs to it; nil
// accepts the next one.
type Exchange struct {
	Address    string
	Method     string
	RawRequest []byte // head and body as they are written
	Matches    func(http.Header) bool
}

// Client pools connections by address. It is safe for concurrent use.
type Client struct {
	mu        sync.Mutex
	idle      map[string][]*conn
	DialCount atomic.Uint64 // connections opened
}

type conn struct {
	net.Conn
	reader *bufio.Reader
	since  time.Time // idle since
	keep   time.Duration
}

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{idle: map[string][]*conn{}} }

// Do runs an exchange. All errors are *Error. When ctx ends, the connection is
// reset, which makes most servers drop the request.
func (c *Client) Do(ctx context.Context, x Exchange) (*Response, error) {
	cn, err := c.get(ctx, x.Address)
	if err != nil {
		return nil, &Error{Address: x.Address, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	response, sent, reusable, err := cn.exchange(x)
	if !stop() || err != nil {
		reusable = false
	}
	if reusable {
		c.put(x.Address, cn)
	} else {
		cn.reset()
	}
	if err != nil {
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Error{Address: x.Address, Sent: sent, Err: err}
	}
	return response, nil
}

func (c *Client) get(ctx context.Context, address string) (*conn, error) {
	for {
		cn := c.takeIdle(address)
		if cn == nil {
			break
		}
		if time.Since(cn.since) < cn.keep && cn.quiet() {
			return cn, nil
		}
		cn.reset()
	}
	c.DialCount.Add(1)
	dialer := net.Dialer{Timeout: DialTimeout, KeepAlive: -1}
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, reader: bufio.NewReaderSize(nc, bufferSize), keep: defaultIdle}, nil
}

func (c *Client) takeIdle(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	c.idle[address] = list[:len(list)-1]
	return cn
}

func (c *Client) put(address string, cn *conn) {
	cn.since = time.Now()
	c.mu.Lock()
	full := len(c.idle[address]) >= maxIdle
	if !full {
		c.idle[address] = append(c.idle[address], cn)
	}
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

// CloseExpired closes connections that have been idle for too long.
func (c *Client) CloseExpired() {
	var old []*conn
	c.mu.Lock()
	for address, list := range c.idle {
		kept := list[:0]
		for _, cn := range list {
			if time.Since(cn.since) < cn.keep {
				kept = append(kept, cn)
			} else {
				old = append(old, cn)
			}
		}
		c.idle[address] = kept
		if len(kept) == 0 {
			delete(c.idle, address)
		}
	}
	c.mu.Unlock()
	for _, cn := range old {
		cn.reset()
	}
}

// reset closes the connection so that bytes still under way are not delivered.
func (cn *conn) reset() {
	if tcp, ok := cn.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = cn.Close()
}

// quiet says that the server neither closed the connection nor sent bytes that
// nobody asked for.
func (cn *conn) quiet() bool {
	if cn.reader.Buffered() > 0 {
		return false
	}
	sc, ok := cn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(e, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// exchange writes the request and reads the response. sent says that bytes were
// written; reusable that the connection is clean.
func (cn *conn) exchange(x Exchange) (response *Response, sent, reusable bool, err error) {
	n, err := cn.Write(x.RawRequest)
	if err != nil && n == 0 {
		return nil, false, false, err
	}
	if err != nil {
		return nil, true, false, err
	}
	for range maxStray {
		response, reusable, err = cn.read(x.Method)
		if err != nil {
			return nil, true, false, err
		}
		if x.Matches == nil || x.Matches(response.Header) {
			return response, true, reusable, nil
		}
		if !reusable && cn.reader.Buffered() == 0 {
			return nil, true, false, ErrUnmatchedResponses
		}
	}
	return nil, true, false, ErrUnmatchedResponses
}

func (cn *conn) read(method string) (*Response, bool, error) {
	r, err := http.ReadResponse(cn.reader, &http.Request{Method: method})
	for err == nil && r.StatusCode < http.StatusOK {
		r, err = http.ReadResponse(cn.reader, &http.Request{Method: method})
	}
	if err != nil {
		return nil, false, err
	}
	defer r.Body.Close()
	body, err := io.ReadAll(io.LimitReader(r.Body, MaxResponseBytes+1))
	switch {
	case err != nil:
		return nil, false, err
	case len(body) > MaxResponseBytes:
		return nil, false, ErrResponseTooLarge
	case r.Header.Get("Content-Encoding") != "":
		return nil, false, ErrContentEncoding
	}
	cn.keep = announcedIdle(r.Header)
	reusable := !r.Close && cn.reader.Buffered() == 0
	return &Response{Status: r.StatusCode, Header: r.Header, Body: body}, reusable, nil
}

// announcedIdle reads "Keep-Alive: timeout=N".
func announcedIdle(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			return max(0, time.Duration(n)*time.Second-idleMargin)
		}
	}
	return defaultIdle
}
