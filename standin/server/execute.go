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

const maxResponseBytes = 64 << 20

// Result is the body of the response to a request that ran.
type Result struct {
	Server         string `json:"server"`
	Instance       string `json:"instance"`
	Key            string `json:"key"`
	ID             string `json:"id,omitempty"`
	RequestID      string `json:"requestId,omitempty"`
	ExecutionCount int    `json:"execution"`  // number of runs of the id so far
	BodyDigest     string `json:"bodyDigest"` // xxHash64 of the request body, hexadecimal
}

// remembered is the response of an Idempotency-Key; body is set when done is closed.
type remembered struct {
	done chan struct{}
	body []byte // nil if the run took no effect
}

// run is one request on its way through the server.
type run struct {
	*Server
	in       *instance
	w        http.ResponseWriter
	r        *http.Request
	deadline <-chan time.Time // nil without one
	digest   string
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.options.MaxBodyBytes))
	if err != nil {
		http.Error(w, "request body too large or cut", http.StatusBadRequest)
		return
	}
	s.waitThawed()
	s.mu.Lock()
	in := s.current
	s.mu.Unlock()
	q := &run{Server: s, in: in, w: w, r: r, digest: strconv.FormatUint(xxhash.Sum64(body), 16)}
	if value := r.Header.Get(serverapi.HeaderDeadlineMS); value != "" {
		remaining, err := strconv.ParseInt(value, 10, 64)
		if err != nil || remaining <= 0 {
			q.refuse(serverapi.RefusedDeadline)
			return
		}
		timer := time.NewTimer(time.Duration(remaining) * time.Millisecond)
		defer timer.Stop()
		q.deadline = timer.C
	}
	if id := r.Header.Get(serverapi.HeaderIdempotencyKey); id != "" && s.options.RemembersIDs {
		q.executeOnce(id)
		return
	}
	q.execute()
}

// executeOnce gives a repeated id the response of the run that took effect.
func (q *run) executeOnce(id string) {
	for {
		q.mu.Lock()
		known := q.in.ids[id]
		if known == nil {
			mine := &remembered{done: make(chan struct{})}
			q.in.ids[id] = mine
			q.mu.Unlock()
			defer func() {
				q.mu.Lock()
				if mine.body == nil {
					delete(q.in.ids, id)
				}
				q.mu.Unlock()
				close(mine.done)
			}()
			mine.body = q.execute()
			return
		}
		q.mu.Unlock()
		select {
		case <-known.done:
		case <-q.r.Context().Done():
			return
		}
		if known.body != nil {
			q.send(known.body)
			return
		}
	}
}

// execute returns the body of the response, nil if the request took no effect.
func (q *run) execute() []byte {
	if refusal := q.takeSlot(); refusal != "" {
		q.refuse(refusal)
		return nil
	}
	defer q.freeSlot()
	work, index, refusal := q.begin()
	if refusal != "" {
		q.refuse(refusal)
		return nil
	}
	committed := q.work(work)
	q.finish(work, index, committed)
	if q.isKilled() {
		panic(http.ErrAbortHandler)
	}
	if !committed {
		// The work had begun, so this is no refusal.
		http.Error(q.w, "work was aborted", http.StatusGatewayTimeout)
		return nil
	}
	body := q.result()
	q.send(body)
	return body
}

func (q *run) takeSlot() serverapi.Refusal {
	q.mu.Lock()
	if q.draining && q.options.RefusesWhileDraining {
		q.mu.Unlock()
		return serverapi.RefusedDraining
	}
	if q.in.running+q.in.queued >= q.options.Slots+max(0, q.options.QueueLimit) {
		q.mu.Unlock()
		return serverapi.RefusedOverload
	}
	q.in.queued++
	q.mu.Unlock()
	defer func() {
		q.mu.Lock()
		q.in.queued--
		q.mu.Unlock()
	}()
	select {
	case q.in.slots <- struct{}{}:
	case <-q.deadline:
		return serverapi.RefusedDeadline
	case <-q.r.Context().Done():
		return serverapi.RefusedDeadline
	case <-q.in.killed:
		panic(http.ErrAbortHandler)
	}
	q.mu.Lock()
	q.in.running++
	q.mu.Unlock()
	return ""
}

func (q *run) freeSlot() {
	q.mu.Lock()
	q.in.running--
	q.mu.Unlock()
	<-q.in.slots
}

// begin checks the grant and records the work in one step.
func (q *run) begin() (*grants.ActiveRequest, int, serverapi.Refusal) {
	q.waitThawed()
	h := q.r.Header
	record := Execution{
		Service:   q.options.ServiceName,
		Server:    q.options.ServerName,
		Instance:  q.in.id,
		Key:       h.Get(serverapi.HeaderKey),
		ID:        h.Get(serverapi.HeaderIdempotencyKey),
		RequestID: h.Get(serverapi.HeaderRequestID),
		Rank:      h.Get(serverapi.HeaderRank),
	}
	record.KeyHash = parse(h.Get(serverapi.HeaderKeyHash), 16)
	record.Generation = parse(h.Get(serverapi.HeaderGeneration), 10)
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.isKilled() {
		panic(http.ErrAbortHandler)
	}
	var work *grants.ActiveRequest
	if q.options.ChecksGrants {
		var refusal serverapi.Refusal
		work, refusal = q.in.book.BeginRequest(grants.Request{
			Term:       parse(h.Get(serverapi.HeaderTerm), 10),
			SubTerm:    parse(h.Get(serverapi.HeaderSubTerm), 10),
			KeyHash:    record.KeyHash,
			Generation: record.Generation,
		})
		if refusal != "" {
			return nil, 0, refusal
		}
	}
	return work, q.options.Journal.begin(record), ""
}

// parse returns 0, which no grant covers, for a missing or bad number.
func parse(value string, base int) uint64 {
	n, err := strconv.ParseUint(value, base, 64)
	if err != nil {
		return 0
	}
	return n
}

// work passes the service time. It returns false when the work was aborted:
// cancelled, past its deadline, killed, or not covered by a grant any more.
func (q *run) work(work *grants.ActiveRequest) bool {
	end := time.NewTimer(q.serviceTime())
	defer end.Stop()
	for done := false; !done; {
		expiry := q.untilExpiry(work)
		select {
		case <-end.C:
			done = true
		case <-expiry.C:
		case <-q.deadline:
			expiry.Stop()
			return false
		case <-q.r.Context().Done():
			expiry.Stop()
			return false
		case <-q.in.killed:
			expiry.Stop()
			return false
		}
		expiry.Stop()
		q.waitThawed()
		if !q.covered(work) {
			return false
		}
	}
	return !q.isKilled()
}

func (q *run) untilExpiry(work *grants.ActiveRequest) *time.Timer {
	if work == nil {
		return time.NewTimer(time.Hour)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	until, _ := q.in.book.CoveredUntil(work)
	return time.NewTimer(until - time.Since(q.in.started))
}

func (q *run) covered(work *grants.ActiveRequest) bool {
	if work == nil {
		return true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	_, ok := q.in.book.CoveredUntil(work)
	return ok
}

func (q *run) finish(work *grants.ActiveRequest, index int, committed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if work != nil {
		q.in.book.FinishRequest(work)
	}
	q.options.Journal.end(index, committed)
	close(q.in.ended)
	q.in.ended = make(chan struct{})
}

func (q *run) isKilled() bool {
	select {
	case <-q.in.killed:
		return true
	default:
		return false
	}
}

func (q *run) serviceTime() time.Duration {
	q.mu.Lock()
	d := q.options.ServiceTime(q.random)
	q.mu.Unlock()
	if value := q.r.Header.Get(HeaderServiceTime); value != "" {
		if milliseconds, err := strconv.ParseFloat(value, 64); err == nil {
			d = time.Duration(milliseconds * float64(time.Millisecond))
		}
	}
	if age := time.Since(q.in.started); age < q.options.WarmupDuration {
		left := 1 - float64(age)/float64(q.options.WarmupDuration)
		d = time.Duration(float64(d) * (1 + (q.options.WarmupFactor-1)*left))
	}
	return d
}

func (q *run) result() []byte {
	if n := parse(q.r.Header.Get(HeaderResponseBytes), 10); n > 0 {
		return bytes.Repeat([]byte{'x'}, int(min(n, maxResponseBytes)))
	}
	h := q.r.Header
	result := Result{
		Server:     q.options.ServerName,
		Instance:   q.in.id,
		Key:        h.Get(serverapi.HeaderKey),
		ID:         h.Get(serverapi.HeaderIdempotencyKey),
		RequestID:  h.Get(serverapi.HeaderRequestID),
		BodyDigest: q.digest,
	}
	if result.ID != "" {
		result.ExecutionCount = q.options.Journal.ExecutionCount(result.ID)
	}
	// A struct of strings and an int cannot fail to encode.
	body, _ := json.Marshal(result)
	return body
}

// send writes the response, or a part of it when the request asks for a cut.
func (q *run) send(body []byte) {
	q.waitThawed()
	q.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if cut := q.r.Header.Get(HeaderCloseAfterBytes); cut != "" {
		_, _ = q.w.Write(body[:min(parse(cut, 10), uint64(len(body)))])
		_ = http.NewResponseController(q.w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = q.w.Write(body)
}

func (q *run) refuse(refusal serverapi.Refusal) {
	status := http.StatusServiceUnavailable
	if refusal == serverapi.RefusedTerm || refusal == serverapi.RefusedNoGrant {
		status = http.StatusConflict
	}
	q.w.Header().Set(serverapi.HeaderRefused, string(refusal))
	q.respond(q.w, status, map[string]string{"refused": string(refusal)})
}
