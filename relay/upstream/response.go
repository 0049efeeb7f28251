package upstream

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"parsleyrelay.example/relay/memory"
	"parsleyrelay.example/relay/readlimit"
)

// Response is a complete response. First reports that it is the first one on its
// connection, after the first request, so that it cannot be the copy of an earlier one.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	First  bool

	matches bool // the response is the one to the request; otherwise Body is nil
}

// readMatching reads responses up to the one to the request.
func (cn *conn) readMatching(x Exchange) (response *Response, reusable bool, err error) {
	first := !cn.used
	cn.used = true
	headBytesLeft := int64(MaxResponseHeadBytes)
	for range maxResponsesRead {
		response, reusable, err = cn.readResponse(x, &headBytesLeft)
		if err != nil {
			return nil, false, err
		}
		response.First, first = first, false
		if response.matches {
			return response, reusable, nil
		}
		// The server closes the connection, so no further response follows.
		if !reusable && cn.reader.Buffered() == 0 {
			return nil, false, ErrUnmatchedResponses
		}
	}
	return nil, false, ErrUnmatchedResponses
}

// readResponse reads one response, and drops its body unless the response matches. The
// size of its head is subtracted from headBytesLeft.
func (cn *conn) readResponse(x Exchange, headBytesLeft *int64) (*Response, bool, error) {
	r, err := cn.readHead(x.Method, headBytesLeft)
	if err != nil {
		return nil, false, err
	}
	// The body is not closed: Close would read the rest of it, which may not end. After an
	// error the connection is closed.
	matches := x.Matches == nil || x.Matches(r.Header)
	body, err := cn.readBody(r, matches, x.OnBody)
	switch {
	case err != nil:
		return nil, false, err
	case r.Header.Get("Content-Encoding") != "":
		return nil, false, ErrContentEncoding
	}
	cn.idleTimeout = announcedIdleTimeout(r.Header)
	reusable := !r.Close && cn.reader.Buffered() == 0
	return &Response{Status: r.StatusCode, Header: r.Header, Body: body, matches: matches}, reusable, nil
}

// readBody reads the body of a response. It returns nil if the body is not to be kept.
// cn.bodies bounds the bodies that are being read, since their servers decide how large
// they get and when they end.
func (cn *conn) readBody(r *http.Response, keep bool, onBody func(status int)) ([]byte, error) {
	hasBody := r.Body != http.NoBody // the response to HEAD has a length without one
	if hasBody && r.ContentLength > MaxResponseBytes {
		return nil, ErrResponseTooLarge
	}
	limited := &io.LimitedReader{R: r.Body, N: MaxResponseBytes + 1}
	if !keep {
		n, err := io.Copy(io.Discard, limited)
		switch {
		case err != nil:
			return nil, &IncompleteBodyError{Err: err}
		case n > MaxResponseBytes:
			return nil, ErrResponseTooLarge
		}
		return nil, nil
	}
	hold := memory.Hold{Account: cn.bodies}
	defer hold.Release()
	size := int64(minBodyBuffer)
	if hasBody && r.ContentLength >= 0 {
		size = min(r.ContentLength+1, maxFirstBodyBuffer) // one more, so that the end is read without growing
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			if !hold.Grow(size) {
				return nil, ErrNoMemory
			}
			body = append(make([]byte, 0, int64(cap(body))+size), body...)
			size = min(int64(cap(body)), MaxResponseBytes+1-int64(cap(body)))
		}
		free := body[len(body):cap(body)]
		if onBody != nil {
			free = free[:min(len(free), readBufferSize)] // a read of a chunk returns when it is full
		}
		n, err := limited.Read(free)
		body = body[:len(body)+n]
		if n > 0 && onBody != nil {
			onBody(r.StatusCode)
		}
		switch {
		case len(body) > MaxResponseBytes:
			return nil, ErrResponseTooLarge
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, &IncompleteBodyError{Err: err}
		}
	}
}

// readHead reads the head of a response, and interim responses before it.
func (cn *conn) readHead(method string, bytesLeft *int64) (*http.Response, error) {
	cn.heads.Remaining = *bytesLeft
	defer func() { *bytesLeft, cn.heads.Remaining = cn.heads.Remaining, readlimit.None }()
	buffered, _ := cn.reader.Peek(cn.reader.Buffered()) // has no error within the buffer
	cn.checked.ExpectResponse()
	if err := cn.checked.Check(buffered); err != nil {
		return nil, err
	}
	for {
		r, err := http.ReadResponse(cn.reader, &http.Request{Method: method})
		switch {
		case err != nil && errors.Is(cn.heads.Err, readlimit.ErrExceeded):
			return nil, ErrHeadTooLarge
		case err != nil && cn.checked.Fault() != nil:
			return nil, cn.checked.Fault()
		case err != nil:
			return nil, err
		}
		if r.StatusCode >= http.StatusOK {
			return r, nil
		}
	}
}

// announcedIdleTimeout returns the usable idle time of a "Keep-Alive: timeout=N"
// header, or the default without one.
func announcedIdleTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			return max(0, time.Duration(n)*time.Second-idleTimeoutMargin)
		}
	}
	return defaultIdleTimeout
}
