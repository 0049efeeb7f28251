// Package readlimit bounds the bytes of a message that are read from a connection: of its
// head, which the parsers of net/http keep in memory until it is complete (Reader), and of
// its body, where generated code reads it whole (Client).
package readlimit

import (
	"errors"
	"io"
)

// ErrExceeded is the error of a read beyond the limit.
var ErrExceeded = errors.New("the head of the message exceeds the size limit")

// None is the value of Reader.Remaining without a limit.
const None = -1

// Reader reads from Source and fails with ErrExceeded once Remaining bytes are read. It
// lies below the buffered reader of a connection, so bytes that follow a head and are read
// together with it count too.
type Reader struct {
	Source    io.Reader
	Remaining int64 // in bytes; None for no limit
	Total     int64 // bytes read so far
	// Err is the error of the last read. net/http parses a line that a read error cut
	// short and reports it as malformed, so Err takes precedence over the parser's error.
	Err error
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if r.Remaining == 0 {
		r.Err = ErrExceeded
		return 0, r.Err
	}
	if r.Remaining > 0 && int64(len(p)) > r.Remaining {
		p = p[:r.Remaining]
	}
	n, err := r.Source.Read(p)
	if r.Remaining > 0 {
		r.Remaining -= int64(n)
	}
	r.Total += int64(n)
	r.Err = err
	return n, err
}
