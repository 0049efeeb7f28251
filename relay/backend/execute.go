package backend

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"parsleyrelay.example/api/serverapi"
)

// sendAttempts bounds how often Do looks for a usable connection: idle ones may
// have been closed by the server.
const sendAttempts = 3

// Request is a request to a server. Header is not changed.
type Request struct {
	Method        string
	Path          string // escaped, with the query if there is one
	Header        http.Header
	Body          io.Reader // nil for none
	ContentLength int64     // -1 if not known; ignored without a body
}

// Response is the response of a server. Body must be closed. It ends with io.EOF
// only if the response is complete, and with a TruncatedResponseError otherwise.
type Response struct {
	Status        int
	Header        http.Header
	ContentLength int64 // -1 if not known
	Body          io.ReadCloser
}

// hopHeaders concern one connection and are not passed on (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// Do executes a request. It writes the request to at most one connection. ctx
// covers the response body too; its deadline is passed on to the server.
//
// The error is a NotSentError if nothing was written, a RefusedError if the
// server refused the request under its fence, and an UnknownOutcomeError otherwise.
func (s *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	body := &onceBody{inner: r.Body}
	for tries := 1; ; tries++ {
		request, err := s.newRequest(ctx, r, body)
		if err != nil {
			return nil, &NotSentError{Err: err}
		}
		a := &attempt{}
		response, err := s.requests.RoundTrip(request.WithContext(a.trace(ctx)))
		if err == nil {
			return s.accept(ctx, a, request, response)
		}
		unwritten, reused := a.fail()
		if !unwritten {
			return nil, &UnknownOutcomeError{Err: cause(ctx, err)}
		}
		if !reused || tries == sendAttempts || body.used.Load() || ctx.Err() != nil {
			return nil, &NotSentError{Err: cause(ctx, err)}
		}
	}
}

// cause prefers the reason of a cancelled context over the transport's error.
func cause(ctx context.Context, err error) error {
	if reason := context.Cause(ctx); reason != nil {
		return errors.Join(reason, err)
	}
	return err
}

func (s *Client) newRequest(ctx context.Context, r *Request, body *onceBody) (*http.Request, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	target, err := url.Parse(s.base.String() + "/" + strings.TrimPrefix(r.Path, "/"))
	if err != nil {
		return nil, err
	}
	request := (&http.Request{
		Method: r.Method,
		URL:    target,
		Host:   target.Host,
		Header: passedOn(r.Header),
		// Never nil and without GetBody: the transport sends a request with an
		// Idempotency-Key, or a GET, a second time over a new connection if it has
		// no body or a body that it can rewind.
		Body: body,
	}).WithContext(ctx)
	if r.Body != nil {
		request.ContentLength = r.ContentLength
	}
	if deadline, ok := ctx.Deadline(); ok {
		remaining := time.Until(deadline).Milliseconds()
		if remaining <= 0 {
			return nil, context.DeadlineExceeded
		}
		request.Header.Set(serverapi.HeaderDeadlineMS, strconv.FormatInt(remaining, 10))
	}
	if request.Header["User-Agent"] == nil {
		request.Header["User-Agent"] = nil // keeps net/http from adding its own
	}
	return request, nil
}

func passedOn(header http.Header) http.Header {
	copied := maps.Clone(header)
	if copied == nil {
		return http.Header{}
	}
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			copied.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		copied.Del(name)
	}
	return copied
}

// accept checks that the response belongs to the request and can be complete.
func (s *Client) accept(ctx context.Context, a *attempt, request *http.Request, response *http.Response) (*Response, error) {
	if problem := unusable(a, request, response); problem != "" {
		// Closing a body before its end closes the connection.
		_ = response.Body.Close()
		return nil, &UnknownOutcomeError{Err: &ProtocolError{Problem: problem}}
	}
	refusal := response.Header.Get(serverapi.HeaderRefused)
	if refusal != "" && (response.StatusCode == http.StatusConflict || response.StatusCode == http.StatusServiceUnavailable) {
		_, _ = io.CopyN(io.Discard, response.Body, 4096)
		_ = response.Body.Close()
		return nil, &RefusedError{Refusal: serverapi.Refusal(refusal)}
	}
	return &Response{
		Status:        response.StatusCode,
		Header:        passedOn(response.Header),
		ContentLength: response.ContentLength,
		Body:          &wholeBody{inner: response.Body, ctx: ctx},
	}, nil
}

func unusable(a *attempt, request *http.Request, response *http.Response) string {
	if a.crossed() {
		return "response of an earlier request on the connection"
	}
	if response.StatusCode == http.StatusSwitchingProtocols {
		return "protocol switch"
	}
	sent, echoed := request.Header.Get(serverapi.HeaderRequestID), response.Header.Get(serverapi.HeaderRequestID)
	if sent != "" && echoed != "" && sent != echoed {
		return "response carries the id of another request"
	}
	hasBody := request.Method != http.MethodHead && response.StatusCode != http.StatusNoContent && response.StatusCode != http.StatusNotModified
	if hasBody && response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return "body without a length, whose end cannot be told from a cut"
	}
	return ""
}

// onceBody is a request body that the transport cannot rewind.
type onceBody struct {
	inner io.Reader
	used  atomic.Bool // bytes were read from it
}

// Read implements io.Reader.
func (b *onceBody) Read(p []byte) (int, error) {
	if b.inner == nil {
		return 0, io.EOF
	}
	n, err := b.inner.Read(p)
	if n > 0 || (err != nil && err != io.EOF) {
		b.used.Store(true)
	}
	return n, err
}

// Close does nothing: the body belongs to the caller of Do.
func (b *onceBody) Close() error { return nil }

// wholeBody turns every end but io.EOF into a TruncatedResponseError.
type wholeBody struct {
	inner io.ReadCloser
	ctx   context.Context
}

// Read implements io.Reader.
func (b *wholeBody) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	if err != nil && err != io.EOF {
		err = &TruncatedResponseError{Err: cause(b.ctx, err)}
	}
	return n, err
}

// Close implements io.Closer. Before the end of the body it closes the connection.
func (b *wholeBody) Close() error { return b.inner.Close() }
