package ingress

import (
	"errors"
	"net"
	"net/http"
	"time"
)

// CutOffReason says why a caller may not have received a response in whole.
type CutOffReason string

// Reasons of a CutOff.
const (
	// WriteFailed means that the connection ended before the response was written.
	WriteFailed CutOffReason = "write_failed"
	// WriteTimedOut means that the caller did not take the response in time.
	WriteTimedOut CutOffReason = "write_timed_out"
	// UnreadBytes means that the connection was closed with bytes unread that had arrived
	// behind the last request. The system then resets it and drops what it still has to
	// send. Bytes that arrive later have the same effect and are not reported.
	UnreadBytes CutOffReason = "unread_bytes"
)

// CutOff describes a response that its caller may not have received in whole.
type CutOff struct {
	Reason  CutOffReason
	Caller  string // address
	Request *http.Request
	Status  int
	Written int           // bytes given to the system, with the head
	Elapsed time.Duration // since the write began
	Err     error         // of the connection, if any
}

func (c *conn) reportCutOff(p *pipelinedRequest, cutOff CutOff) {
	if c.server.OnCutOff == nil {
		return
	}
	cutOff.Caller, cutOff.Request, cutOff.Status = c.RemoteAddr().String(), p.request, p.response.Status
	c.server.OnCutOff(cutOff)
}

// reportUnreadBytes reports the last response of a connection as cut off if bytes have
// arrived behind its request.
func (c *conn) reportUnreadBytes(p *pipelinedRequest, written int) {
	c.mu.Lock()
	unread := c.unreadBytes
	c.mu.Unlock()
	if unread {
		c.reportCutOff(p, CutOff{Reason: UnreadBytes, Written: written})
	}
}

func writeFailureReason(err error) CutOffReason {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return WriteTimedOut
	}
	return WriteFailed
}
