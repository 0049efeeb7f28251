package server

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleyrelay.example/api/serverapi"
	"parsleyrelay.example/standin/grants"
)

const maxRequestedResponseBytes = 64 << 20

// Result is the body of the response to a request that was executed.
type Result struct {
	Server         string `json:"server"`
	Instance       string `json:"instance"`
	Key            string `json:"key"`
	IdempotencyKey string `json:"id,omitempty"`
	RequestID      string `json:"requestId,omitempty"`
	ExecutionCount int    `json:"execution"`  // number of executions of the id so far, 0 without an id
	BodyDigest     string `json:"bodyDigest"` // xxHash64 of the request body, hexadecimal
}

// savedResponse is the response to an Idempotency-Key. body is valid once done is
// closed.
type savedResponse struct {
	done chan struct{}
	body []byte // nil if the execution took no effect
}

// requestHandler executes one request.
type requestHandler struct {
	*Server
	instance   *instance
	w          http.ResponseWriter
	r          *http.Request
	deadline   <-chan time.Time // nil without one
	bodyDigest string
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.options.MaxBodyBytes))
	if err != nil {
		http.Error(w, "request body is too large or incomplete", http.StatusBadRequest)
		return
	}
	s.waitWhilePaused()
	s.mu.Lock()
	inst := s.currentInstance
	s.mu.Unlock()
	h := &requestHandler{Server: s, instance: inst, w: w, r: r, bodyDigest: strconv.FormatUint(xxhash.Sum64(body), 16)}
	if value := r.Header.Get(serverapi.HeaderDeadlineMS); value != "" {
		remaining, err := strconv.ParseInt(value, 10, 64)
		if err != nil || remaining <= 0 {
			h.writeRefusal(serverapi.RefusedDeadline)
			return
		}
		timer := time.NewTimer(time.Duration(remaining) * time.Millisecond)
		defer timer.Stop()
		h.deadline = timer.C
	}
	if id := r.Header.Get(serverapi.HeaderIdempotencyKey); id != "" && s.options.RemembersIDs {
		h.executeOnce(id)
		return
	}
	h.execute()
}

// executeOnce executes the request, or writes the saved response if an earlier request
// with the id took effect. It first waits for a concurrent request with the id.
func (h *requestHandler) executeOnce(id string) {
	for {
		h.mu.Lock()
		existing := h.instance.responsesByIdempotencyKey[id]
		if existing == nil {
			saved := &savedResponse{done: make(chan struct{})}
			h.instance.responsesByIdempotencyKey[id] = saved
			h.mu.Unlock()
			defer func() {
				h.mu.Lock()
				if saved.body == nil {
					delete(h.instance.responsesByIdempotencyKey, id)
				}
				h.mu.Unlock()
				close(saved.done)
			}()
			saved.body = h.execute()
			return
		}
		h.mu.Unlock()
		select {
		case <-existing.done:
		case <-h.r.Context().Done():
			return
		}
		if existing.body != nil {
			h.writeResponse(existing.body)
			return
		}
	}
}

// execute executes the request and writes the response. It returns the body of the
// response, or nil if the request took no effect.
func (h *requestHandler) execute() []byte {
	if refusal := h.acquireSlot(); refusal != "" {
		h.writeRefusal(refusal)
		return nil
	}
	defer h.releaseSlot()
	active, executionIndex, refusal := h.beginExecution()
	if refusal != "" {
		h.writeRefusal(refusal)
		return nil
	}
	committed := h.waitServiceTime(active)
	h.finishExecution(active, executionIndex, committed)
	if h.isTerminated() {
		panic(http.ErrAbortHandler)
	}
	if !committed {
		// Not a refusal, which would state that the execution never started.
		http.Error(h.w, "execution was aborted: cancelled, past its deadline or no longer covered by a grant", http.StatusGatewayTimeout)
		return nil
	}
	body := h.responseBody()
	h.writeResponse(body)
	return body
}

func (h *requestHandler) acquireSlot() serverapi.Refusal {
	h.mu.Lock()
	if h.draining && h.options.RefusesWhileDraining {
		h.mu.Unlock()
		return serverapi.RefusedDraining
	}
	if h.instance.running+h.instance.queued >= h.options.Slots+max(0, h.options.QueueLimit) {
		h.mu.Unlock()
		return serverapi.RefusedOverload
	}
	h.instance.queued++
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		h.instance.queued--
		h.mu.Unlock()
	}()
	select {
	case h.instance.slots <- struct{}{}:
	case <-h.deadline:
		return serverapi.RefusedDeadline
	case <-h.r.Context().Done():
		return serverapi.RefusedDeadline
	case <-h.instance.terminated:
		panic(http.ErrAbortHandler)
	}
	h.mu.Lock()
	h.instance.running++
	h.mu.Unlock()
	return ""
}

func (h *requestHandler) releaseSlot() {
	h.mu.Lock()
	h.instance.running--
	h.mu.Unlock()
	<-h.instance.slots
}

// beginExecution checks the grant and records the execution in the journal, under one
// lock. The returned request is nil if the server does not check grants; the integer is
// the index of the execution in the journal.
func (h *requestHandler) beginExecution() (*grants.ActiveRequest, int, serverapi.Refusal) {
	h.waitWhilePaused()
	header := h.r.Header
	execution := Execution{
		Service:        h.options.ServiceName,
		Server:         h.options.ServerName,
		Instance:       h.instance.id,
		Key:            header.Get(serverapi.HeaderKey),
		IdempotencyKey: header.Get(serverapi.HeaderIdempotencyKey),
		RequestID:      header.Get(serverapi.HeaderRequestID),
		Rank:           header.Get(serverapi.HeaderRank),
	}
	execution.KeyHash = parseUint(header.Get(serverapi.HeaderKeyHash), 16)
	execution.Generation = parseUint(header.Get(serverapi.HeaderGeneration), 10)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isTerminated() {
		panic(http.ErrAbortHandler)
	}
	var active *grants.ActiveRequest
	if h.options.ChecksGrants {
		var refusal serverapi.Refusal
		active, refusal = h.instance.tracker.BeginRequest(grants.Request{
			Term:       parseUint(header.Get(serverapi.HeaderTerm), 10),
			SubTerm:    parseUint(header.Get(serverapi.HeaderSubTerm), 10),
			KeyHash:    execution.KeyHash,
			Generation: execution.Generation,
		})
		if refusal != "" {
			return nil, 0, refusal
		}
	}
	return active, h.options.Journal.recordStart(execution), ""
}

// parseUint returns 0 for a missing or invalid number. No grant covers a term or
// generation of 0.
func parseUint(value string, base int) uint64 {
	n, err := strconv.ParseUint(value, base, 64)
	if err != nil {
		return 0
	}
	return n
}

// waitServiceTime waits for the service time of the request. It returns false if the
// execution was aborted: the request was cancelled, its deadline passed, the instance
// was terminated, or no grant covers the request any more.
func (h *requestHandler) waitServiceTime(active *grants.ActiveRequest) bool {
	serviceTimer := time.NewTimer(h.drawServiceTime())
	defer serviceTimer.Stop()
	for done := false; !done; {
		expiryTimer := h.grantExpiryTimer(active)
		select {
		case <-serviceTimer.C:
			done = true
		case <-expiryTimer.C:
		case <-h.deadline:
			expiryTimer.Stop()
			return false
		case <-h.r.Context().Done():
			expiryTimer.Stop()
			return false
		case <-h.instance.terminated:
			expiryTimer.Stop()
			return false
		}
		expiryTimer.Stop()
		h.waitWhilePaused()
		if !h.isStillCovered(active) {
			return false
		}
	}
	return !h.isTerminated()
}

// grantExpiryTimer returns a timer for the next check of the grant. Without grant
// checks its duration does not matter.
func (h *requestHandler) grantExpiryTimer(active *grants.ActiveRequest) *time.Timer {
	if active == nil {
		return time.NewTimer(time.Hour)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	until, _ := h.instance.tracker.CoveredUntil(active)
	return time.NewTimer(until - time.Since(h.instance.startedAt))
}

func (h *requestHandler) isStillCovered(active *grants.ActiveRequest) bool {
	if active == nil {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ok := h.instance.tracker.CoveredUntil(active)
	return ok
}

func (h *requestHandler) finishExecution(active *grants.ActiveRequest, executionIndex int, committed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if active != nil {
		h.instance.tracker.FinishRequest(active)
	}
	h.options.Journal.recordEnd(executionIndex, committed)
	close(h.instance.requestEnded)
	h.instance.requestEnded = make(chan struct{})
}

func (h *requestHandler) isTerminated() bool {
	select {
	case <-h.instance.terminated:
		return true
	default:
		return false
	}
}

func (h *requestHandler) drawServiceTime() time.Duration {
	h.mu.Lock()
	d := h.options.ServiceTime(h.serviceTimeRand)
	h.mu.Unlock()
	if value := h.r.Header.Get(HeaderServiceTime); value != "" {
		if milliseconds, err := strconv.ParseFloat(value, 64); err == nil {
			d = time.Duration(milliseconds * float64(time.Millisecond))
		}
	}
	if age := time.Since(h.instance.startedAt); age < h.options.WarmupDuration {
		remaining := 1 - float64(age)/float64(h.options.WarmupDuration)
		d = time.Duration(float64(d) * (1 + (h.options.WarmupFactor-1)*remaining))
	}
	return d
}

func (h *requestHandler) responseBody() []byte {
	if n := parseUint(h.r.Header.Get(HeaderResponseBytes), 10); n > 0 {
		return bytes.Repeat([]byte{'x'}, int(min(n, maxRequestedResponseBytes)))
	}
	header := h.r.Header
	result := Result{
		Server:         h.options.ServerName,
		Instance:       h.instance.id,
		Key:            header.Get(serverapi.HeaderKey),
		IdempotencyKey: header.Get(serverapi.HeaderIdempotencyKey),
		RequestID:      header.Get(serverapi.HeaderRequestID),
		BodyDigest:     h.bodyDigest,
	}
	if result.IdempotencyKey != "" {
		result.ExecutionCount = h.options.Journal.ExecutionCount(result.IdempotencyKey)
	}
	// Encoding a struct of strings and an int cannot fail.
	body, _ := json.Marshal(result)
	return body
}

// writeResponse writes the response. If the request has HeaderCloseAfterBytes, it
// writes only that many bytes and closes the connection.
func (h *requestHandler) writeResponse(body []byte) {
	h.waitWhilePaused()
	h.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if closeAfter := h.r.Header.Get(HeaderCloseAfterBytes); closeAfter != "" {
		_, _ = h.w.Write(body[:min(parseUint(closeAfter, 10), uint64(len(body)))])
		_ = http.NewResponseController(h.w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = h.w.Write(body)
}

func (h *requestHandler) writeRefusal(refusal serverapi.Refusal) {
	status := http.StatusServiceUnavailable
	if refusal == serverapi.RefusedTerm || refusal == serverapi.RefusedNoGrant {
		status = http.StatusConflict
	}
	h.w.Header().Set(serverapi.HeaderRefused, string(refusal))
	h.writeJSON(h.w, status, map[string]string{"refused": string(refusal)})
}
