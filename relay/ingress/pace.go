package ingress

import (
	"time"

	"parsleyrelay.example/relay/linger"
)

// Pacer bounds the speed at which bulk responses are written. It is safe for concurrent use.
type Pacer interface {
	// WaitToWrite records bytes that are to be written and returns how long a bulk response
	// has to wait before it writes them. Other responses do not wait.
	WaitToWrite(bytes int) time.Duration
}

// pacedBytes is the size of the parts in which a bulk response is written. It takes 13 ms of a
// link of 10 Mbit/s, which is what another response waits for at most.
const pacedBytes = 16 << 10

// writeBody writes the part of a body that is not written with its head. A bulk one is written
// in parts, each when the pacer lets it. The waits do not count in the time that the caller
// has to take the body.
func (c *conn) writeBody(b []byte, bulk bool) (written int, err error) {
	if !bulk || c.server.Pacer == nil {
		return c.writeAll(b)
	}
	end := time.Now().Add(c.server.stallTimeout() + linger.DeliveryTime(len(b)))
	for written < len(b) && err == nil {
		part := b[written:min(len(b), written+pacedBytes)]
		if wait := c.server.Pacer.WaitToWrite(len(part)); wait > 0 {
			time.Sleep(wait)
			end = end.Add(wait)
		}
		var n int
		n, err = c.writeUntil(part, end)
		written += n
	}
	return written, err
}

// release ends the hold of the response, which is written or will not be.
func (p *pipelinedRequest) release() {
	p.responseHold.Release()
	if p.response != nil && p.response.OnRelease != nil {
		p.response.OnRelease()
	}
}
