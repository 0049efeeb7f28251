package frontend

import (
	"encoding/json"
	"errors"
	"io"
	"maps"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"parsleyrelay.example/api/callerapi"
	"parsleyrelay.example/relay/responsecheck"
)

// Response is a response to be sent to the caller.
type Response struct {
	Status        int
	Header        http.Header
	Body          io.ReadCloser // nil for none
	ContentLength int64         // -1 when unknown
	Outcome       callerapi.Outcome
	Reason        callerapi.Reason
}

// writeResponse streams a response to the caller. If the body ends early, it aborts
// the connection, so that a truncated response never looks complete.
//
// A final status comes from a server, another host or the stored responses that a former home
// has sent. If HTTP does not define it, WriteHeader would panic.
func writeResponse(w http.ResponseWriter, resp *Response, requestID string) {
	if !responsecheck.IsFinal(resp.Status) {
		if resp.Body != nil {
			_ = resp.Body.Close()
		}
		writeError(w, NewUnknownOutcome(http.StatusBadGateway, callerapi.ReasonNoAnswer, "the response to the request has the invalid status %d", resp.Status), requestID)
		return
	}
	maps.Copy(w.Header(), resp.Header) // package backend has removed hop-by-hop headers
	w.Header().Set(callerapi.HeaderOutcome, string(resp.Outcome))
	w.Header().Set(callerapi.HeaderReason, string(resp.Reason))
	w.Header().Set(callerapi.HeaderRequestID, requestID)
	if resp.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	w.WriteHeader(resp.Status)
	if resp.Body == nil {
		return
	}
	defer resp.Body.Close()
	if err := copyBody(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

const copyBufferBytes = 32 << 10

// copyBufferPool reuses buffers: allocating one per response took a tenth of the
// time that the daemon spends on a request, not counting garbage collection.
var copyBufferPool = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// copyBody flushes after each read, so that the caller receives each part of a
// slowly streamed response as soon as it is available.
func copyBody(w http.ResponseWriter, body io.Reader) error {
	controller := http.NewResponseController(w)
	pooled := copyBufferPool.Get().(*[copyBufferBytes]byte)
	defer copyBufferPool.Put(pooled)
	buf := pooled[:]
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return werr
			}
			if err == nil {
				if ferr := controller.Flush(); ferr != nil && !errors.Is(ferr, http.ErrNotSupported) {
					return ferr
				}
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// writeError writes an error response that the daemon itself generates.
func writeError(w http.ResponseWriter, e *RequestError, requestID string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(callerapi.HeaderOutcome, string(e.Outcome))
	h.Set(callerapi.HeaderReason, string(e.Reason))
	h.Set(callerapi.HeaderRequestID, requestID)
	if e.RefuserOffset > 0 {
		h.Set(headerAppliedOffset, strconv.FormatUint(e.RefuserOffset, 10))
	}
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(retryAfterSeconds(e.RetryAfter)))
	}
	w.WriteHeader(e.Status)
	_ = json.NewEncoder(w).Encode(callerapi.Problem{
		Outcome: e.Outcome, Reason: e.Reason, Message: e.Message, RequestID: requestID,
	})
}

// retryAfterSeconds rounds up, since Retry-After takes whole seconds.
func retryAfterSeconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}
