package ingress

import (
	"cmp"
	"errors"
	"net/http"
	"time"

	"parsleyrelay.example/relay/linger"
)

// Times for the delivery of responses.
const (
	// writeStallTimeout is the longest time in which a caller may take nothing of a response.
	writeStallTimeout = 10 * time.Second
	// writeAttemptsPerStall is how often a stalled write is tried again within that time.
	// The system reports room only when a third of its buffer is free, which a slow caller
	// may need longer for.
	writeAttemptsPerStall = 10
)

// CutOffReason says why a caller may not have received a response in whole.
type CutOffReason string

// Reasons of a CutOff.
const (
	// WriteFailed means that the connection ended before the response was written.
	WriteFailed CutOffReason = "write_failed"
	// WriteTimedOut means that the caller did not take the response in time.
	WriteTimedOut CutOffReason = "write_timed_out"
	// NotClosed means that the caller did not close a connection in time after its last
	// response, so that the response may not have arrived.
	NotClosed CutOffReason = "not_closed"
)

// CutOff describes a response that its caller may not have received in whole.
type CutOff struct {
	Reason  CutOffReason
	Caller  string // address
	Request *http.Request
	Status  int
	Written int           // bytes given to the system, with the head
	Dropped int64         // bytes that arrived behind the last request of the connection
	Elapsed time.Duration // since the write began, or since it ended for NotClosed
	Err     error         // of the connection, if any
}

// writtenResponse is a response that the system has taken. The caller may still have to
// receive it, and those before it on the connection.
type writtenResponse struct {
	request     *http.Request
	status      int
	size        int // bytes, with the head
	at          time.Time
	deliveredAt time.Time // when all that was written has arrived at linger.MinRate
}

// deliveryDeadline returns the time until which what was written may take to arrive.
func (w writtenResponse) deliveryDeadline() time.Time { return w.deliveredAt.Add(linger.Timeout) }

// writeResponse writes a response. It returns false if the caller did not take all of it.
func (c *conn) writeResponse(p *pipelinedRequest, closing bool) bool {
	start := time.Now()
	b, furtherBody := encodeResponse(p, closing)
	if c.server.Pacer != nil {
		unpaced := len(b)
		if !p.response.Bulk {
			unpaced += len(furtherBody)
		}
		c.server.Pacer.WaitToWrite(unpaced) // does not wait
	}
	written, err := c.writeAll(b)
	if err == nil && len(furtherBody) > 0 {
		var n int
		n, err = c.writeBody(furtherBody, p.response.Bulk)
		written += n
	}
	if err != nil {
		reason := WriteFailed
		if isTimeout(err) {
			reason = WriteTimedOut
		}
		c.reportCutOff(CutOff{Reason: reason, Request: p.request, Status: p.response.Status, Written: written, Elapsed: time.Since(start), Err: err})
		return false
	}
	now := time.Now()
	c.lastWritten = writtenResponse{request: p.request, status: p.response.Status, size: written, at: now,
		deliveredAt: linger.DeliveredAt(c.lastWritten.deliveredAt, now, written)}
	return true
}

// writeAll writes b as long as the caller takes a part of it within each stall timeout and
// keeps to linger.MinRate. It returns the number of bytes written.
func (c *conn) writeAll(b []byte) (written int, err error) {
	stallTimeout := c.server.stallTimeout()
	return c.writeUntil(b, time.Now().Add(stallTimeout+linger.DeliveryTime(len(b))))
}

func (s *Server) stallTimeout() time.Duration {
	return cmp.Or(s.writeStallTimeout, writeStallTimeout)
}

// writeUntil is writeAll with the time until which all of b has to be taken.
func (c *conn) writeUntil(b []byte, end time.Time) (written int, err error) {
	stallTimeout := c.server.stallTimeout()
	now := time.Now()
	progressAt := now
	for {
		_ = c.SetWriteDeadline(now.Add(stallTimeout / writeAttemptsPerStall))
		n, err := c.Write(b[written:])
		written += n
		if !isTimeout(err) {
			return written, err
		}
		now = time.Now()
		if n > 0 {
			progressAt = now
		}
		if now.After(end) || now.Sub(progressAt) >= stallTimeout {
			return written, err
		}
	}
}

// closeLingering closes the connection. If it was written to recently, it waits until the
// caller has closed it, too.
func (c *conn) closeLingering() {
	last := c.lastWritten
	if last.request == nil || time.Now().After(last.deliveryDeadline()) {
		_ = c.Close()
		return
	}
	dropped, err := linger.Close(c.Conn, last.deliveryDeadline())
	if isTimeout(err) || errors.Is(err, linger.ErrPeerSends) {
		c.mu.Lock()
		dropped += c.dropped
		c.mu.Unlock()
		c.reportCutOff(CutOff{Reason: NotClosed, Request: last.request, Status: last.status, Written: last.size, Dropped: dropped, Elapsed: time.Since(last.at), Err: err})
	}
}

func (c *conn) reportCutOff(cutOff CutOff) {
	if c.server.OnCutOff != nil {
		cutOff.Caller = c.RemoteAddr().String()
		c.server.OnCutOff(cutOff)
	}
}
