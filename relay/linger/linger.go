// Package linger closes TCP connections so that the peer receives all that was written to
// them.
//
// The system resets a connection that is closed with received bytes unread, or that
// receives bytes after its close, and drops what it still has to send. A lingering close
// ends its own direction first, and drops what arrives until the peer has closed the other
// one (RFC 9112, section 9.6).
package linger

import (
	"errors"
	"io"
	"net"
	"time"
)

// MaxDropped limits the bytes that Drop reads, so that a peer which never stops sending
// costs a bounded amount of work.
const MaxDropped = 128 << 20

// ErrPeerSends is returned by Drop if the peer has sent MaxDropped bytes.
var ErrPeerSends = errors.New("the peer goes on sending")

// Drop reads and drops what the peer sends. It returns nil when the peer has closed its
// direction, ErrPeerSends, or the error of the connection, which is a timeout at its read
// deadline. dropped counts bytes.
func Drop(c net.Conn) (dropped int64, err error) {
	dropped, err = io.CopyN(io.Discard, c, MaxDropped)
	switch {
	case errors.Is(err, io.EOF):
		return dropped, nil
	case err == nil:
		return dropped, ErrPeerSends
	}
	return dropped, err
}

// Close ends the connection's own direction, waits until the peer closes the other one or
// the deadline, and closes the connection. It returns what Drop returned. The caller must
// not read from the connection any more. A connection without CloseWrite is closed at once.
func Close(c net.Conn, deadline time.Time) (dropped int64, err error) {
	defer func() { _ = c.Close() }()
	halfCloser, ok := c.(interface{ CloseWrite() error })
	if !ok {
		return 0, nil
	}
	if err := halfCloser.CloseWrite(); err != nil {
		return 0, err
	}
	if err := c.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	return Drop(c)
}
