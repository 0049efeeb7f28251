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

// dedupState deduplicates the requests to one server by their idempotency keys.
// It holds mu by pointer, since newDedupState returns it by value.
type dedupState struct {
	mu              *sync.Mutex
	window          *dedup.Window
	lastServingSet  *ownership.ServingSet                // of the last update
	activeSince     map[ownership.SliceRef]time.Duration // when the slice was activated
	runningAttempts map[requestIdentity]chan struct{}    // closed when the attempt ends
	exportSequence  uint64                               // number of the last export
}

// requestIdentity identifies a request across the attempts that callers make with the
// same idempotency key.
type requestIdentity struct {
	idempotencyKey uuid.UUID
	keyHash        uint64
}

func newDedupState() dedupState {
	return dedupState{
		mu: &sync.Mutex{}, window: dedup.New(dedup.Config{}),
		activeSince:     map[ownership.SliceRef]time.Duration{},
		runningAttempts: map[requestIdentity]chan struct{}{},
	}
}

// update activates slices that the server has started to serve and deactivates
// those that it no longer owns.
func (d *dedupState) update(now dedup.Timestamp, view *ownership.View, server ownership.ServerView, name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if server.ServingSet == d.lastServingSet {
		return
	}
	d.lastServingSet = server.ServingSet
	type activatedSlice struct {
		slice      ownership.SliceRef
		activation ownership.Activation
		continuous bool
	}
	var activatedSlices []activatedSlice
	server.ServingSet.All(func(slice ownership.SliceRef, a ownership.Activation) {
		if _, ok := d.activeSince[slice]; !ok {
			activatedSlices = append(activatedSlices, activatedSlice{slice, a, d.servedContinuously(slice, a)})
		}
	})
	// After servedContinuously, which needs the slices that are removed here.
	d.deactivateMoved(view.Tables[server.Spec.Service], name)
	for _, a := range activatedSlices {
		source, period := historySource(a.activation)
		if a.continuous {
			source = dedup.HistoryKept
		}
		d.window.Activate(now, a.slice.Range, source, period)
		d.activeSince[a.slice] = a.activation.Since
	}
}

// servedContinuously reports whether the keys of a slice were served here without a
// gap: the slices of a split, a merge and an aborted move keep their activation time.
func (d *dedupState) servedContinuously(slice ownership.SliceRef, a ownership.Activation) bool {
	for other, since := range d.activeSince {
		if since == a.Since && other.Range.Overlaps(slice.Range) {
			return true
		}
	}
	return false
}

// deactivateMoved drops the idempotency keys of slices that the server no longer owns.
// The keys stay if only the range or generation has changed, by a split, a merge or an
// aborted move; the new slice then gets its own entry in activeSince.
func (d *dedupState) deactivateMoved(table *state.SliceTable, server string) {
	for slice := range d.activeSince {
		owner := table.Lookup(slice.Range.First)
		switch {
		case owner == nil || owner.Server != server:
			d.window.Deactivate(slice.Range)
			delete(d.activeSince, slice)
		case owner.Range != slice.Range || owner.Generation != slice.Generation:
			delete(d.activeSince, slice)
		}
	}
}

// historySource returns what is known about earlier attempts in a slice.
func historySource(a ownership.Activation) (dedup.HistorySource, dedup.OwnershipPeriod) {
	switch {
	case a.FirstOwner:
		return dedup.HistoryEmpty, dedup.OwnershipPeriod{}
	case a.IDWindow != ownership.IDWindowKey{}:
		return dedup.HistoryTransferred, dedup.OwnershipPeriod(a.IDWindow)
	}
	return dedup.HistoryUnknown, dedup.OwnershipPeriod{}
}

// executeOnce runs a request that must not run twice. A retry by the caller with the
// same idempotency key waits for the first attempt or gets its response.
func (q *serverQueue) executeOnce(ctx context.Context, req *frontend.Request, route ownership.Route) (*frontend.Response, *frontend.RequestError) {
	idempotencyKey, err := parseIdempotencyKey(req)
	if err != nil {
		return nil, err
	}
	attempt := dedup.Request{
		ID: idempotencyKey, KeyHash: req.KeyHash, Digest: requestDigest(req), FirstAttempt: req.FirstAttempt,
		Timeout: req.Deadline - req.ReceivedAt, ServerDeduplicates: route.ServerView.Spec.RemembersIDs,
	}
	for {
		verdict, response, attemptDone := q.beginAttempt(attempt)
		switch verdict {
		case dedup.VerdictRun:
			return q.executeAndRecord(ctx, req, requestIdentity{idempotencyKey, req.KeyHash})
		case dedup.VerdictWait:
			select {
			case <-attemptDone:
			case <-q.stopped:
				return nil, mayHaveRunError("the home of the key moved while an attempt with this idempotency key was running")
			case <-ctx.Done():
				return nil, mayHaveRunError("an attempt with this idempotency key is still running")
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

func (q *serverQueue) beginAttempt(req dedup.Request) (dedup.Verdict, *dedup.Response, <-chan struct{}) {
	d := &q.dedupState
	d.mu.Lock()
	defer d.mu.Unlock()
	verdict, response := d.window.BeginAttempt(dedup.Timestamp{Mono: q.cfg.Now(), Wall: q.cfg.WallClock()}, req)
	if verdict == dedup.VerdictRun {
		d.runningAttempts[requestIdentity{req.ID, req.KeyHash}] = make(chan struct{})
	}
	return verdict, response, d.runningAttempts[requestIdentity{req.ID, req.KeyHash}]
}

func (q *serverQueue) executeAndRecord(ctx context.Context, req *frontend.Request, identity requestIdentity) (*frontend.Response, *frontend.RequestError) {
	response, err := q.execute(ctx, req)
	switch {
	case err != nil && err.Outcome == callerapi.OutcomeNotRun:
		q.finishAttempt(identity, dedup.OutcomeNotRun, nil)
	case err != nil:
		q.finishAttempt(identity, dedup.OutcomeUnknown, nil)
	default:
		q.storeResponse(identity, response)
	}
	return response, err
}

// storeResponse stores a buffered response, so that it can be replayed to retries.
// A streamed response is not stored; its attempt ends with the stream.
func (q *serverQueue) storeResponse(identity requestIdentity, response *frontend.Response) {
	if s, ok := response.Body.(*streamedBody); ok {
		onEnd := s.onEnd
		s.onEnd = func(complete bool) {
			onEnd(complete)
			// The server has started to respond, so the request ran even if the
			// response is truncated.
			q.finishAttempt(identity, dedup.OutcomeDone, nil)
		}
		return
	}
	body, _ := io.ReadAll(response.Body)
	response.Body = io.NopCloser(bytes.NewReader(body))
	header := maps.Clone(response.Header)
	q.finishAttempt(identity, dedup.OutcomeDone, &dedup.Response{Status: response.Status, Header: header, Body: body})
}

func (q *serverQueue) finishAttempt(identity requestIdentity, outcome dedup.AttemptOutcome, response *dedup.Response) {
	d := &q.dedupState
	d.mu.Lock()
	defer d.mu.Unlock()
	d.window.FinishAttempt(identity.idempotencyKey, identity.keyHash, outcome, response)
	if done, ok := d.runningAttempts[identity]; ok {
		close(done)
		delete(d.runningAttempts, identity)
	}
}

// exportLimits keep each part well below the size limit of a control call.
var exportLimits = dedup.ExportLimits{EntriesPerPart: 500, ResponseBytes: 1 << 20}

func (q *serverQueue) exportWindow(r keyspace.Range, period dedup.OwnershipPeriod) ([]dedup.TransferPart, bool) {
	d := &q.dedupState
	d.mu.Lock()
	defer d.mu.Unlock()
	d.exportSequence++
	return d.window.Export(dedup.Timestamp{Mono: q.cfg.Now(), Wall: q.cfg.WallClock()}, d.exportSequence, r, period, exportLimits)
}

func (q *serverQueue) importWindowPart(part dedup.TransferPart) bool {
	d := &q.dedupState
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.window.ImportPart(dedup.Timestamp{Mono: q.cfg.Now(), Wall: q.cfg.WallClock()}, part)
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
		Outcome: callerapi.OutcomeDone, Reason: callerapi.ReasonReplayed,
	}
}

func mayHaveRunError(message string) *frontend.RequestError {
	return frontend.NewUnknownOutcome(http.StatusConflict, callerapi.ReasonAttemptMayHaveRun, "%s", message)
}

func verdictError(v dedup.Verdict, server string) *frontend.RequestError {
	e := &frontend.RequestError{Status: http.StatusBadRequest, Outcome: callerapi.OutcomeNotRun}
	switch v {
	case dedup.VerdictResponseNotStored:
		e.Status, e.Outcome, e.Reason = http.StatusConflict, callerapi.OutcomeDone, callerapi.ReasonAnswerNotStored
		e.Message = "a request with this idempotency key ran; its response was not stored"
	case dedup.VerdictIDReused:
		e.Status, e.Reason = http.StatusUnprocessableEntity, callerapi.ReasonIDReused
		e.Message = "header " + callerapi.HeaderIdempotencyKey + ": the key was used for another request"
	case dedup.VerdictInvalidID:
		e.Reason, e.Message = callerapi.ReasonBadID, "header "+callerapi.HeaderIdempotencyKey+": not a UUIDv7"
	case dedup.VerdictIDFromFuture:
		e.Reason, e.Message = callerapi.ReasonIDFromFuture, "header "+callerapi.HeaderIdempotencyKey+": the timestamp of the key is ahead of this host's clock"
	case dedup.VerdictWindowFull:
		return frontend.NewRefusal(callerapi.ReasonOverloaded, time.Second, "the idempotency window of Server/%s is full", server)
	default:
		return mayHaveRunError("an earlier attempt with this idempotency key may have run")
	}
	return e
}
