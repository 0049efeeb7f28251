package readlimit

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// Client limits the bodies of the responses that a generated twirp client reads whole, and
// counts the bytes of bodies. It implements twirp's HTTPClient.
type Client struct {
	HTTP     *http.Client
	MaxBytes int64 // of one body
	// MaxWait limits the time until the head of a response has arrived, and then the time
	// without further bytes of the body; MaxTransfer limits the time for the whole body. Without
	// a MaxWait neither is limited.
	MaxWait     time.Duration
	MaxTransfer time.Duration
	Sent        atomic.Uint64 // bytes of request bodies
	Received    atomic.Uint64 // bytes of response bodies
}

// maxTimedRead limits a read of a body with limits of time, so that it returns when bytes arrive.
const maxTimedRead = 4 << 10

// ResponseTooLargeError reports a response body larger than the limit.
type ResponseTooLargeError struct{ MaxBytes int64 }

// Error implements error.
func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("response body exceeds %d bytes", e.MaxBytes)
}

// Do sends a request and returns the response with a limited body.
func (c *Client) Do(r *http.Request) (*http.Response, error) {
	c.Sent.Add(uint64(max(0, r.ContentLength)))
	if c.MaxWait <= 0 {
		response, err := c.HTTP.Do(r)
		if err != nil {
			return nil, err
		}
		response.Body = &limitedBody{ReadCloser: response.Body, remaining: c.MaxBytes, client: c}
		return response, nil
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	timeout := time.AfterFunc(c.MaxWait, func() { cancel(context.DeadlineExceeded) })
	response, err := c.HTTP.Do(r.WithContext(ctx))
	if err != nil {
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		timeout.Stop()
		cancel(nil)
		return nil, err
	}
	timeout.Reset(c.MaxWait)
	response.Body = &limitedBody{ReadCloser: response.Body, remaining: c.MaxBytes, client: c, ctx: ctx, cancel: cancel, timeout: timeout, transferEnd: time.Now().Add(c.MaxTransfer)}
	return response, nil
}

type limitedBody struct {
	io.ReadCloser
	remaining int64
	client    *Client
	// Limits of time; timeout is nil without them, and ends ctx.
	ctx         context.Context
	cancel      context.CancelCauseFunc
	timeout     *time.Timer
	transferEnd time.Time
}

// Close implements io.Closer.
func (b *limitedBody) Close() error {
	if b.timeout != nil {
		b.timeout.Stop()
		b.cancel(nil)
	}
	return b.ReadCloser.Close()
}

// Read fails once more bytes than the limit have arrived. Truncating the message instead
// could yield one that still decodes.
func (b *limitedBody) Read(p []byte) (int, error) {
	if b.timeout != nil {
		p = p[:min(len(p), maxTimedRead)] // a read of a chunk returns when it is full
	}
	n, err := b.ReadCloser.Read(p)
	b.remaining -= int64(n)
	b.client.Received.Add(uint64(n))
	if b.remaining < 0 {
		return 0, &ResponseTooLargeError{MaxBytes: b.client.MaxBytes}
	}
	if b.timeout != nil {
		if n > 0 {
			b.timeout.Reset(min(b.client.MaxWait, time.Until(b.transferEnd)))
		}
		if err != nil && err != io.EOF && b.ctx.Err() != nil {
			err = context.Cause(b.ctx)
		}
	}
	return n, err
}
