package home

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"parsleyrelay.example/api/callerapi"
	"parsleyrelay.example/core/dedup"
	"parsleyrelay.example/core/keyspace"
	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/core/state"
	"parsleyrelay.example/relay/frontend"
)

// serverWindow deduplicates the requests to one server by their idempotency keys.
type serverWindow struct {
	mu              *sync.Mutex
	dedupWindow     *dedup.Window
	lastServingSet  *ownership.ServingSet                // of the last update
	activeSince     map[ownership.SliceRef]time.Duration // when the slice was activated
	runningAttempts map[attemptKey]chan struct{}         // closed when the attempt ends
	exportSequence  uint64                               // number of the last export
}

// attemptKey identifies the attempts of one request.
type attemptKey struct {
	id      uuid.UUID
	keyHash uint64
}

func newServerWindow() serverWindow {
	return serverWindow{
		mu: &sync.Mutex{}, dedupWindow: dedup.New(dedup.Config{}),
		activeSince:     map[ownership.SliceRef]time.Duration{},
		runningAttempts: map[attemptKey]chan struct{}{},
	}
}

// update activates slices that the server has started to serve and deactivates
// those that it no longer owns.
func (w *serverWindow) update(now dedup.Timestamp, view *ownership.View, server ownership.ServerView, name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if server.ServingSet == w.lastServingSet {
		return
	}
	w.lastServingSet = server.ServingSet
	type activatedSlice struct {
		slice      ownership.SliceRef
		activation ownership.Activation
		continuous bool
	}
	var activated []activatedSlice
	server.ServingSet.All(func(slice ownership.SliceRef, a ownership.Activation) {
		if _, ok := w.activeSince[slice]; !ok {
			activated = append(activated, activatedSlice{slice, a, w.servedContinuously(slice, a)})
		}
	})
	w.deactivateMoved(view.Tables[server.Spec.Service], name)
	for _, a := range activated {
		history, origin := attemptHistoryOf(a.activation)
		if a.continuous {
			history = dedup.HistoryKept
		}
		w.dedupWindow.Activate(now, a.slice.Range, history, origin)
		w.activeSince[a.slice] = a.activation.Since
	}
}

// servedContinuously reports whether the keys of a slice were served here without a
// gap: the slices of a split, a merge and an aborted move keep their activation time.
func (w *serverWindow) servedContinuously(slice ownership.SliceRef, a ownership.Activation) bool {
	for other, since := range w.activeSince {
		if since == a.Since && other.Range.Overlaps(slice.Range) {
			return true
		}
	}
	return false
}

// deactivateMoved drops the idempotency keys of slices that the server no longer owns.
func (w *serverWindow) deactivateMoved(table *state.SliceTable, server string) {
	for slice := range w.activeSince {
		owner := table.Lookup(slice.Range.First)
		switch {
		case owner == nil || owner.Server != server:
			w.dedupWindow.Deactivate(slice.Range)
			delete(w.activeSince, slice)
		case owner.Range != slice.Range || owner.Generation != slice.Generation:
			delete(w.activeSince, slice)
		}
	}
}

// attemptHistoryOf returns what is known about earlier attempts in a slice.
func attemptHistoryOf(a ownership.Activation) (dedup.HistorySource, dedup.OwnershipPeriod) {
	switch {
	case a.FirstOwner:
		return dedup.HistoryEmpty, dedup.OwnershipPeriod{}
	case a.IDWindow != ownership.IDWindowKey{}:
		return dedup.HistoryTransferred, dedup.OwnershipPeriod(a.IDWindow)
	}
	return dedup.HistoryUnknown, dedup.OwnershipPeriod{}
}

// executeOnce runs a request that must not run twice.
func (q *queue) executeOnce(ctx context.Context, req *frontend.Request, route ownership.Route) (*frontend.Response, *frontend.RequestError) {
	id, err := parseIdempotencyKey(req)
	if err != nil {
		return nil, err
	}
	attempt := dedup.Request{
		ID: id, KeyHash: req.KeyHash, Digest: requestDigest(req), FirstAttempt: req.FirstAttempt,
		Timeout: req.Deadline - req.ReceivedAt, ServerDeduplicates: route.ServerView.Spec.RemembersIDs,
	}
	for {
		verdict, response, attemptDone := q.beginAttempt(attempt)
		switch verdict {
		case dedup.VerdictRun:
			return q.runAttempt(ctx, req, attemptKey{id, req.KeyHash})
		case dedup.VerdictWait:
			select {
			case <-attemptDone:
			case <-q.stopped:
				return nil, mayHaveRunError("the home of the key moved while an attempt with this id was running")
			case <-ctx.Done():
				return nil, mayHaveRunError("an attempt with this id is still running")
			}
		case dedup.VerdictReplay:
			return replayedResponse(response), nil
		case dedup.VerdictSliceNotActive:
			return nil, frontend.RerouteError()
		default:
			return nil, verdictError(verdict, q.server)
		}
	}
}

func (q *queue) beginAttempt(req dedup.Request) (dedup.Verdict, *dedup.Response, <-chan struct{}) {
	w := &q.window
	w.mu.Lock()
	defer w.mu.Unlock()
	verdict, response := w.dedupWindow.BeginAttempt(dedup.Timestamp{Mono: q.cfg.Now(), Wall: q.cfg.WallClock()}, req)
	if verdict == dedup.VerdictRun {
		w.runningAttempts[attemptKey{req.ID, req.KeyHash}] = make(chan struct{})
	}
	return verdict, response, w.runningAttempts[attemptKey{req.ID, req.KeyHash}]
}

func (q *queue) runAttempt(ctx context.Context, req *frontend.Request, key attemptKey) (*frontend.Response, *frontend.RequestError) {
	response, err := q.execute(ctx, req)
	switch {
	case err != nil && err.Outcome == callerapi.NotRun:
		q.finishAttempt(key, dedup.OutcomeNotRun, nil)
	case err != nil:
		q.finishAttempt(key, dedup.OutcomeUnknown, nil)
	default:
		q.storeResponse(key, response)
	}
	return response, err
}

// storeResponse stores a buffered response, so that it can be replayed to retries.
// A streamed response is not stored; its attempt ends with the stream.
func (q *queue) storeResponse(key attemptKey, response *frontend.Response) {
	if s, ok := response.Body.(*streamedBody); ok {
		onEnd := s.onEnd
		s.onEnd = func(complete bool) {
			onEnd(complete)
			// The server has started to respond, so the request ran even if the
			// response is truncated.
			q.finishAttempt(key, dedup.OutcomeDone, nil)
		}
		return
	}
	body, _ := io.ReadAll(response.Body)
	response.Body = io.NopCloser(bytes.NewReader(body))
	header := maps.Clone(response.Header)
	q.finishAttempt(key, dedup.OutcomeDone, &dedup.Response{Status: response.Status, Header: header, Body: body})
}

func (q *queue) finishAttempt(key attemptKey, outcome dedup.AttemptOutcome, response *dedup.Response) {
	w := &q.window
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dedupWindow.FinishAttempt(key.id, key.keyHash, outcome, response)
	if done, ok := w.runningAttempts[key]; ok {
		close(done)
		delete(w.runningAttempts, key)
	}
}

// exportLimits keep each part well below the size limit of a control call.
var exportLimits = dedup.ExportLimits{EntriesPerPart: 500, ResponseBytes: 1 << 20}

func (q *queue) exportWindow(r keyspace.Range, origin dedup.OwnershipPeriod) ([]dedup.TransferPart, bool) {
	w := &q.window
	w.mu.Lock()
	defer w.mu.Unlock()
	w.exportSequence++
	return w.dedupWindow.Export(dedup.Timestamp{Mono: q.cfg.Now(), Wall: q.cfg.WallClock()}, w.exportSequence, r, origin, exportLimits)
}

func (q *queue) importWindowPart(part dedup.TransferPart) bool {
	w := &q.window
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dedupWindow.ImportPart(dedup.Timestamp{Mono: q.cfg.Now(), Wall: q.cfg.WallClock()}, part)
}

// requestDigest hashes the content of a request, to detect an idempotency key that
// is reused for a different request.
func requestDigest(req *frontend.Request) [sha256.Size]byte {
	h := sha256.New()
	for _, part := range []string{req.Service, req.Key, req.Method, req.Path, req.Header.Get("Content-Type")} {
		_ = binary.Write(h, binary.BigEndian, uint64(len(part)))
		_, _ = io.WriteString(h, part)
	}
	body, buffered := req.Body.Buffered()
	_ = binary.Write(h, binary.BigEndian, buffered)
	_ = binary.Write(h, binary.BigEndian, req.Body.Length())
	_, _ = h.Write(body)
	var sum [sha256.Size]byte
	copy(sum[:], h.Sum(nil))
	return sum
}

func replayedResponse(r *dedup.Response) *frontend.Response {
	return &frontend.Response{
		Status: r.Status, Header: r.Header, ContentLength: int64(len(r.Body)),
		Body:    io.NopCloser(bytes.NewReader(r.Body)),
		Outcome: callerapi.Done, Reason: callerapi.ReasonReplayed,
	}
}

func mayHaveRunError(message string) *frontend.RequestError {
	return frontend.NewUnknownOutcome(http.StatusConflict, callerapi.ReasonAttemptMayHaveRun, "%s", message)
}

func verdictError(v dedup.Verdict, server string) *frontend.RequestError {
	e := &frontend.RequestError{Status: http.StatusBadRequest, Outcome: callerapi.NotRun}
	switch v {
	case dedup.VerdictResponseNotStored:
		e.Status, e.Outcome, e.Reason = http.StatusConflict, callerapi.Done, callerapi.ReasonAnswerNotStored
		e.Message = "a request with this id ran; its response was not stored"
	case dedup.VerdictIDReused:
		e.Status, e.Reason = http.StatusUnprocessableEntity, callerapi.ReasonIDReused
		e.Message = "header " + callerapi.HeaderID + ": the id was used for another request"
	case dedup.VerdictInvalidID:
		e.Reason, e.Message = callerapi.ReasonBadID, "header "+callerapi.HeaderID+": not a UUIDv7"
	case dedup.VerdictIDFromFuture:
		e.Reason, e.Message = callerapi.ReasonIDFromFuture, "header "+callerapi.HeaderID+": the timestamp of the id is ahead of this host's clock"
	case dedup.VerdictWindowFull:
		return frontend.NewRefusal(callerapi.ReasonOverloaded, time.Second, "the idempotency window of Server/%s is full", server)
	default:
		return mayHaveRunError("an earlier attempt with this id may have run")
	}
	return e
}
