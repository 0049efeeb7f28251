package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"parsleyrelay.example/relay/memory"
)

// Sizes of the buffers of bodies, in bytes.
const (
	// pieceBytes is the size of the pieces of long bodies. They are used again.
	pieceBytes = 256 << 10
	// maxSinglePiece limits announced bodies that get one buffer of their own size.
	maxSinglePiece = 64 << 10
	// minPieceBytes is the size of the first piece of a body of unknown length.
	minPieceBytes = 4 << 10
)

// bodyWeight is the weight of a body in Server.Memory: one may take two thirds of it.
const bodyWeight = 2

// memoryRetryAfter is the Retry-After, in seconds, of requests that are refused for lack of
// memory.
const memoryRetryAfter = "0.500"

// Errors of requests whose body is not read, or not in whole.
var (
	// errBodyTooLarge is the error of a request whose body exceeds the limit.
	errBodyTooLarge = errors.New("request body exceeds the size limit")
	// ErrNoMemory is the cause of a refusal, with status 503, of a request that has no room
	// in Server.Memory.
	ErrNoMemory = errors.New("no memory for the request body beside those of other requests")
)

// freePieces keeps buffers of pieceBytes, so that long bodies leave no garbage.
var freePieces = sync.Pool{New: func() any { return new([pieceBytes]byte) }}

// requestBody is the body of a request in pieces, and its part of Server.Memory.
type requestBody struct {
	pieces    [][]byte
	size      int64 // in bytes
	announced int64 // length by the head, in bytes; -1 if it is not known
	hold      memory.Hold
}

// admitBody reserves memory for a body of announced length. It returns an error if the
// request is to be refused before its body is read.
func (s *Server) admitBody(r *http.Request, limit int64) (*requestBody, error) {
	b := &requestBody{announced: r.ContentLength, hold: memory.Hold{Account: s.Memory, Weight: bodyWeight}}
	switch {
	case b.announced > limit:
		return nil, errBodyTooLarge
	case b.announced > 0 && !b.hold.Grow(bufferBytes(b.announced)):
		return nil, ErrNoMemory
	}
	return b, nil
}

// bufferBytes returns the size of the buffers for a body of known length.
func bufferBytes(length int64) int64 {
	if length <= maxSinglePiece {
		return length
	}
	return (length + pieceBytes - 1) / pieceBytes * pieceBytes
}

// read reads the body. Buffers are allocated as its bytes arrive.
func (b *requestBody) read(source io.Reader, limit int64) error {
	for b.size != b.announced {
		if len(b.pieces) == 0 || len(b.last()) == cap(b.last()) {
			if !b.addPiece(limit) {
				return ErrNoMemory
			}
		}
		last := b.last()
		n, err := source.Read(last[len(last):cap(last)])
		b.pieces[len(b.pieces)-1] = last[:len(last)+n]
		b.size += int64(n)
		switch {
		case b.size > limit:
			return errBodyTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
	return nil
}

func (b *requestBody) last() []byte { return b.pieces[len(b.pieces)-1] }

// addPiece adds an empty piece, of a body of limit bytes at most. It returns false if there
// is no room for it.
func (b *requestBody) addPiece(limit int64) bool {
	size := int64(pieceBytes)
	switch {
	case b.announced < 0:
		size = min(max(minPieceBytes, b.size), pieceBytes, limit+1-b.size) // one more, so that a longer body shows
		if !b.hold.Grow(size) {
			return false
		}
	case b.announced <= maxSinglePiece:
		size = b.announced
	}
	if size < pieceBytes {
		b.pieces = append(b.pieces, make([]byte, 0, size))
	} else {
		b.pieces = append(b.pieces, freePieces.Get().(*[pieceBytes]byte)[:0])
	}
	return true
}

// release returns the memory. reuse says that nobody reads the pieces any more.
func (b *requestBody) release(reuse bool) {
	for _, piece := range b.pieces {
		if reuse && cap(piece) == pieceBytes {
			freePieces.Put((*[pieceBytes]byte)(piece[:pieceBytes]))
		}
	}
	b.pieces = nil
	b.hold.Release()
}

// runHandler runs the handler. The body is released when the handler has returned, and the
// response is held until writeLoop has written it.
func (c *conn) runHandler(ctx context.Context, p *pipelinedRequest, b *requestBody) {
	returned := false
	defer func() { b.release(returned) }() // after a panic, a part of the handler may still read the pieces
	p.handled = &Request{Request: p.request, Payload: b.pieces, ReceivedAt: time.Now()}
	p.response = c.server.Handler(ctx, p.handled)
	returned = true
	if p.response != nil {
		p.responseHold = memory.Hold{Account: c.server.Memory}
		p.responseHold.Take(int64(len(p.response.Body)))
	}
}

// refuseBody answers a request whose body was not read in whole.
func (c *conn) refuseBody(r *http.Request, err error) {
	switch {
	case errors.Is(err, errBodyTooLarge):
		c.refuseUnread(r, http.StatusRequestEntityTooLarge, err)
	case errors.Is(err, ErrNoMemory):
		c.refuseUnread(r, http.StatusServiceUnavailable, err)
	default:
		c.handleReadError(err)
	}
}
