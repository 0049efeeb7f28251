package frontend

import (
	"bytes"
	"io"
	"net/http"

	"parsleyrelay.example/api/callerapi"
)

// MaxBufferedRequestBytes is the size up to which a request body is buffered in memory,
// so that the request can be retried when it is known not to have run.
const MaxBufferedRequestBytes = 64 << 10

// Body is a request body. A buffered body can be opened many times. A body of more
// than MaxBufferedRequestBytes is streamed and can be opened once.
type Body struct {
	prefix   []byte
	unread   io.Reader // nil if prefix is the whole body
	length   int64     // bytes
	opened   bool
	buffered bool
}

// newBody reads and buffers up to MaxBufferedRequestBytes of the body. limit is the
// maximum length of the whole body in bytes.
func newBody(r *http.Request, limit int64) (*Body, *RequestError) {
	tooLarge := func() *RequestError {
		return newNotRunError(http.StatusRequestEntityTooLarge, callerapi.ReasonBodyTooLarge, "the body exceeds %d bytes (spec.maxBodyBytes of the service)", limit)
	}
	if r.ContentLength > limit {
		return nil, tooLarge()
	}
	b := &Body{length: r.ContentLength}
	prefix, err := io.ReadAll(io.LimitReader(r.Body, min(MaxBufferedRequestBytes, limit)+1))
	if err != nil {
		return nil, newNotRunError(http.StatusBadRequest, callerapi.ReasonCallerGone, "the body could not be read: %v", err)
	}
	if int64(len(prefix)) > limit {
		return nil, tooLarge()
	}
	b.prefix = prefix
	if len(prefix) <= MaxBufferedRequestBytes {
		b.buffered = true
		b.length = int64(len(prefix))
		return b, nil
	}
	if r.ContentLength < 0 {
		return nil, newNotRunError(http.StatusLengthRequired, callerapi.ReasonLengthRequired, "a body over %d bytes needs the header Content-Length, so that an oversized one never reaches a server", MaxBufferedRequestBytes)
	}
	b.unread = r.Body
	return b, nil
}

// CanOpen reports whether Open may be called: always for a buffered body, once for a
// streamed one.
func (b *Body) CanOpen() bool {
	return b.buffered || !b.opened
}

// Buffered returns the body when it is kept in memory.
func (b *Body) Buffered() ([]byte, bool) {
	return b.prefix, b.buffered
}

// Open returns a reader of the whole body and its length in bytes.
// It hides the type of the reader, so that net/http cannot rewind it and silently
// send the request a second time.
func (b *Body) Open() (io.ReadCloser, int64) {
	b.opened = true
	if b.buffered {
		return io.NopCloser(struct{ io.Reader }{bytes.NewReader(b.prefix)}), b.length
	}
	return io.NopCloser(io.MultiReader(bytes.NewReader(b.prefix), b.unread)), b.length
}

// Length returns the length of the body in bytes.
func (b *Body) Length() int64 { return b.length }

// NewBufferedBody returns a body that is kept in memory.
func NewBufferedBody(data []byte) *Body {
	return &Body{prefix: data, length: int64(len(data)), buffered: true}
}
