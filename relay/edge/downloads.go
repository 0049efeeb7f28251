package edge

import (
	"context"
	"net/http"
	"sync"
	"time"

	"parsleyrelay.example/core/dispatch"
	"parsleyrelay.example/core/egress"
	"parsleyrelay.example/core/event"
	"parsleyrelay.example/relay/ingress"
	"parsleyrelay.example/relay/telemetry"
)

// responseHeadBytes is the assumed size of the head of a response.
const responseHeadBytes = 512

// hostLink makes an egress.Link safe for concurrent use. A nil hostLink has no limit.
type hostLink struct {
	mu    sync.Mutex
	link  *egress.Link
	clock func() time.Duration
}

func newHostLink(c egress.Config, clock func() time.Duration) *hostLink {
	if c.BytesPerSecond <= 0 {
		return nil
	}
	return &hostLink{link: egress.New(c), clock: clock}
}

// WaitToWrite records bytes that are to be written to a caller and returns how long a download
// has to wait before it writes them.
func (h *hostLink) WaitToWrite(bytes int) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.link.Write(h.clock(), bytes)
}

// DownloadPacer returns the pacer of the responses to callers; nil for no limit.
func (e *Edge) DownloadPacer() ingress.Pacer {
	if e.link == nil {
		return nil
	}
	return e.link
}

// DownloadState returns what the host's link has to deliver.
func (e *Edge) DownloadState() egress.State {
	if e.link == nil {
		return egress.State{}
	}
	e.link.mu.Lock()
	defer e.link.mu.Unlock()
	return e.link.link.State(e.link.clock())
}

// forwardDownload is forward for a request with a large response, which is refused before it
// waits for a server if the host's link or memory has no room for it.
func (c *callerRequest) forwardDownload(ctx context.Context) *ingress.Response {
	link := c.edge.link
	latency := c.route.TargetLatency
	if latency <= 0 {
		latency = c.deadline.Sub(c.request.ReceivedAt)
	}
	left := min(latency-time.Since(c.request.ReceivedAt), time.Until(c.deadline))
	link.mu.Lock()
	admission, refusal := link.link.Admit(link.clock(), c.route.Name, left, latency)
	state := link.link.State(link.clock())
	link.mu.Unlock()
	if refusal != nil {
		c.edge.recordMetric(telemetry.MetricDownloadsRefused, 1, c.service, string(refusal.Reason))
		c.edge.options.Journal.LogRoutineEvent(event.DownloadRefused, "request_id", c.requestID, "route", c.route.Name, "reason", refusal.Reason, "left_ms", left.Milliseconds(),
			"wait_ms", state.Wait.Milliseconds(), "reserved", int64(state.Reserved), "held", state.Held, "retry_after_ms", refusal.RetryAfter.Milliseconds())
		return c.refuse(dispatch.Decision{Reason: dispatch.RefusalReason(refusal.Reason), RetryAfter: refusal.RetryAfter})
	}
	defer func() { // also after a panic
		link.mu.Lock()
		defer link.mu.Unlock()
		link.link.Cancel(admission)
	}()
	response := c.forward(ctx)
	if response.Abort || c.serverResponse != response {
		return response
	}
	size := int64(len(response.Body)) + responseHeadBytes
	complete := response.Status < http.StatusMultipleChoices && c.request.Method != http.MethodHead
	link.mu.Lock()
	link.link.Arrived(link.clock(), admission, size, complete)
	link.mu.Unlock()
	response.Bulk = true
	response.OnRelease = func() {
		link.mu.Lock()
		defer link.mu.Unlock()
		link.link.Taken(size)
	}
	return response
}

// recordPassed records a response of the host's link that is not a download.
func (h *hostLink) recordPassed(response *ingress.Response) {
	if h == nil || response.Abort || response.Bulk {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.link.Passed(h.clock(), int64(len(response.Body))+responseHeadBytes)
}
