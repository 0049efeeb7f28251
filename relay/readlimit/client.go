package readlimit

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
)

// Client limits the bodies of the responses that a generated twirp client reads whole, and
// counts the bytes of bodies. It implements twirp's HTTPClient.
type Client struct {
	HTTP     *http.Client
	MaxBytes int64         // of one body
	Sent     atomic.Uint64 // bytes of request bodies
	Received atomic.Uint64 // bytes of response bodies
}

// ResponseTooLargeError reports a response body larger than the limit.
type ResponseTooLargeError struct{ MaxBytes int64 }

// Error implements error.
func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("response body exceeds %d bytes", e.MaxBytes)
}

// Do sends a request and returns the response with a limited body.
func (c *Client) Do(r *http.Request) (*http.Response, error) {
	c.Sent.Add(uint64(max(0, r.ContentLength)))
	response, err := c.HTTP.Do(r)
	if err != nil {
		return nil, err
	}
	response.Body = &limitedBody{ReadCloser: response.Body, remaining: c.MaxBytes, client: c}
	return response, nil
}

type limitedBody struct {
	io.ReadCloser
	remaining int64
	client    *Client
}

// Read fails once more bytes than the limit have arrived. Truncating the message instead
// could yield one that still decodes.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.remaining -= int64(n)
	b.client.Received.Add(uint64(n))
	if b.remaining < 0 {
		return 0, &ResponseTooLargeError{MaxBytes: b.client.MaxBytes}
	}
	return n, err
}
