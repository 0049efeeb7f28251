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
)

// Response is a response on its way to the caller.
type Response struct {
	Status        int
	Header        http.Header
	Body          io.ReadCloser // nil for none
	ContentLength int64         // -1 when unknown
	Outcome       callerapi.Outcome
	Reason        callerapi.Reason
}

// writeAnswer streams an answer to the caller. When the body ends early it
// aborts the connection, so that a cut answer never looks complete.
func writeAnswer(w http.ResponseWriter, a *Response, requestID string) {
	maps.Copy(w.Header(), a.Header) // backend has removed what concerns one hop
	w.Header().Set(callerapi.HeaderOutcome, string(a.Outcome))
	w.Header().Set(callerapi.HeaderReason, string(a.Reason))
	w.Header().Set(callerapi.HeaderRequestID, requestID)
	if a.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(a.ContentLength, 10))
	}
	w.WriteHeader(a.Status)
	if a.Body == nil {
		return
	}
	defer a.Body.Close()
	if err := copyBody(w, a.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

const copyBytes = 32 << 10

// copyBuffers are reused: a new buffer per response was a tenth of the time of
// the daemon's request path, before the garbage collection that it caused.
var copyBuffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

// copyBody flushes after each read, so that a slowly streamed answer arrives as
// it is made.
func copyBody(w http.ResponseWriter, body io.Reader) error {
	control := http.NewResponseController(w)
	buffer := copyBuffers.Get().(*[copyBytes]byte)
	defer copyBuffers.Put(buffer)
	buf := buffer[:]
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return werr
			}
			if err == nil {
				if ferr := control.Flush(); ferr != nil && !errors.Is(ferr, http.ErrNotSupported) {
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

// writeError writes a response that the router makes itself.
func writeError(w http.ResponseWriter, e *RequestError, requestID string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(callerapi.HeaderOutcome, string(e.Outcome))
	h.Set(callerapi.HeaderReason, string(e.Reason))
	h.Set(callerapi.HeaderRequestID, requestID)
	if e.AppliedOffset > 0 {
		h.Set(headerApplied, strconv.FormatUint(e.AppliedOffset, 10))
	}
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(retryAfterSeconds(e.RetryAfter)))
	}
	w.WriteHeader(e.Status)
	_ = json.NewEncoder(w).Encode(callerapi.Problem{
		Outcome: e.Outcome, Reason: e.Reason, Message: e.Message, RequestID: requestID,
	})
}

// retryAfterSeconds rounds up, since Retry-After has no fractions.
func retryAfterSeconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}
