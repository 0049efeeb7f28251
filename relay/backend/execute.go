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

// maxConnectionAttempts bounds how many connections Do tries, since the server may
// have closed idle ones.
const maxConnectionAttempts = 3

// Request is a request to a server. Do does not modify Header.
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

// hopByHopHeaders apply to one connection only and are not forwarded (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// Do executes a request. It writes the request to at most one connection. ctx
// also covers the response body; its deadline is sent to the server.
//
// The error is a NotSentError if no byte was written, a RefusedError if the server
// refused to run the request, and an UnknownOutcomeError otherwise.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	body := &nonRewindableBody{reader: r.Body}
	for attempts := 1; ; attempts++ {
		request, err := c.newRequest(ctx, r, body)
		if err != nil {
			return nil, &NotSentError{Err: err}
		}
		trip := &roundTrip{}
		response, err := c.requestTransport.RoundTrip(request.WithContext(trip.withTrace(ctx)))
		if err == nil {
			return c.acceptResponse(ctx, trip, request, response)
		}
		err = trip.errorOf(err)
		unwritten, reused := trip.fail()
		if !unwritten {
			return nil, &UnknownOutcomeError{Err: withContextCause(ctx, err)}
		}
		if !reused || attempts == maxConnectionAttempts || body.consumed.Load() || ctx.Err() != nil {
			return nil, &NotSentError{Err: withContextCause(ctx, err)}
		}
	}
}

// withContextCause joins the cause of a cancelled context with the transport's error.
func withContextCause(ctx context.Context, err error) error {
	if contextErr := context.Cause(ctx); contextErr != nil {
		return errors.Join(contextErr, err)
	}
	return err
}

func (c *Client) newRequest(ctx context.Context, r *Request, body *nonRewindableBody) (*http.Request, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	target, err := url.Parse(c.baseURL.String() + "/" + strings.TrimPrefix(r.Path, "/"))
	if err != nil {
		return nil, err
	}
	request := (&http.Request{
		Method: r.Method,
		URL:    target,
		Host:   target.Host,
		Header: endToEndHeaders(r.Header),
		// Body is never nil and GetBody is not set: the transport resends a GET, or a
		// request with an Idempotency-Key, over a new connection if it has no body or
		// a body that it can rewind.
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
		request.Header["User-Agent"] = nil // a nil entry prevents net/http from adding its own
	}
	return request, nil
}

func endToEndHeaders(header http.Header) http.Header {
	filtered := maps.Clone(header)
	if filtered == nil {
		return http.Header{}
	}
	for _, names := range header["Connection"] {
		for name := range strings.SplitSeq(names, ",") {
			filtered.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		filtered.Del(name)
	}
	return filtered
}

// acceptResponse checks that the response belongs to the request and that a truncated
// body would be detected.
func (c *Client) acceptResponse(ctx context.Context, trip *roundTrip, request *http.Request, response *http.Response) (*Response, error) {
	if problem := responseProblem(trip, request, response); problem != "" {
		// Closing a body before its end closes the connection.
		_ = response.Body.Close()
		return nil, &UnknownOutcomeError{Err: &ProtocolError{Problem: problem}}
	}
	refusal := response.Header.Get(serverapi.HeaderRefused)
	if refusal != "" && (response.StatusCode == http.StatusConflict || response.StatusCode == http.StatusServiceUnavailable) {
		// Reading a short body to its end allows the connection to be reused.
		_, _ = io.CopyN(io.Discard, response.Body, 4096)
		_ = response.Body.Close()
		return nil, &RefusedError{Refusal: serverapi.Refusal(refusal)}
	}
	return &Response{
		Status:        response.StatusCode,
		Header:        endToEndHeaders(response.Header),
		ContentLength: response.ContentLength,
		Body:          &responseBody{body: response.Body, ctx: ctx},
	}, nil
}

// responseProblem returns why a response is not usable, empty if it is.
func responseProblem(trip *roundTrip, request *http.Request, response *http.Response) string {
	if trip.closeIfStale() {
		return "response of an earlier request on the connection"
	}
	sent, echoed := request.Header.Get(serverapi.HeaderRequestID), response.Header.Get(serverapi.HeaderRequestID)
	if sent != "" && echoed != "" && sent != echoed {
		return "response carries the id of another request"
	}
	hasBody := request.Method != http.MethodHead && response.StatusCode != http.StatusNoContent && response.StatusCode != http.StatusNotModified
	if hasBody && response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return "body without a length, of which a truncation would not be detected"
	}
	return ""
}

// nonRewindableBody is a request body that the transport cannot rewind.
type nonRewindableBody struct {
	reader   io.Reader
	consumed atomic.Bool // bytes were read from it
}

// Read implements io.Reader.
func (b *nonRewindableBody) Read(p []byte) (int, error) {
	if b.reader == nil {
		return 0, io.EOF
	}
	n, err := b.reader.Read(p)
	if n > 0 || (err != nil && err != io.EOF) {
		b.consumed.Store(true)
	}
	return n, err
}

// Close does nothing: the body belongs to the caller of Do.
func (b *nonRewindableBody) Close() error { return nil }

// responseBody returns a TruncatedResponseError for every read error but io.EOF.
type responseBody struct {
	body io.ReadCloser
	ctx  context.Context
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err != nil && err != io.EOF {
		err = &TruncatedResponseError{Err: withContextCause(b.ctx, err)}
	}
	return n, err
}

// Close implements io.Closer. If the body was not read to its end, it closes the connection.
func (b *responseBody) Close() error { return b.body.Close() }
