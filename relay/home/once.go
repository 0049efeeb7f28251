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

// windowState is the idempotency window of one server.
type windowState struct {
	mu      *sync.Mutex
	window  *dedup.Window
	serving *ownership.ServingSet                // last followed
	active  map[ownership.SliceRef]time.Duration // time of activation
	running map[attemptKey]chan struct{}         // closed when the attempt ends
	exports uint64                               // sequence of exports
}

// attemptKey is what the window tells attempts apart by.
type attemptKey struct {
	id   uuid.UUID
	hash uint64
}

func newWindowState() windowState {
	return windowState{
		mu: &sync.Mutex{}, window: dedup.New(dedup.Config{}),
		active:  map[ownership.SliceRef]time.Duration{},
		running: map[attemptKey]chan struct{}{},
	}
}

// follow activates slices that began to be served and forgets those that the
// server does not own any more.
func (w *windowState) follow(now dedup.Timestamp, view *ownership.View, server ownership.ServerView, name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if server.ServingSet == w.serving {
		return
	}
	w.serving = server.ServingSet
	type change struct {
		slice ownership.SliceRef
		a     ownership.Activation
		kept  bool
	}
	var began []change
	server.ServingSet.All(func(slice ownership.SliceRef, a ownership.Activation) {
		if _, ok := w.active[slice]; !ok {
			began = append(began, change{slice, a, w.kept(slice, a)})
		}
	})
	w.forgetMoved(view.Tables[server.Spec.Service], name)
	for _, c := range began {
		source, origin := sourceOf(c.a)
		if c.kept {
			source = dedup.HistoryKept
		}
		w.window.Activate(now, c.slice.Range, source, origin)
		w.active[c.slice] = c.a.Since
	}
}

// kept reports whether a slice was served here without a gap: a split, a merge
// and an aborted move carry the time of activation over.
func (w *windowState) kept(slice ownership.SliceRef, a ownership.Activation) bool {
	for old, since := range w.active {
		if since == a.Since && old.Range.Overlaps(slice.Range) {
			return true
		}
	}
	return false
}

// forgetMoved drops the ids of slices that the server does not own any more.
func (w *windowState) forgetMoved(table *state.SliceTable, server string) {
	for slice := range w.active {
		owner := table.Lookup(slice.Range.First)
		switch {
		case owner == nil || owner.Server != server:
			w.window.Deactivate(slice.Range)
			delete(w.active, slice)
		case owner.Range != slice.Range || owner.Generation != slice.Generation:
			delete(w.active, slice)
		}
	}
}

// sourceOf tells the window what is known of earlier attempts in a slice.
func sourceOf(a ownership.Activation) (dedup.HistorySource, dedup.OwnershipPeriod) {
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
	id, err := parseID(req)
	if err != nil {
		return nil, err
	}
	begin := dedup.Request{
		ID: id, KeyHash: req.KeyHash, Digest: digest(req), FirstAttempt: req.FirstAttempt,
		Timeout: req.Deadline - req.ReceivedAt, ServerDeduplicates: route.ServerView.Spec.RemembersIDs,
	}
	for {
		verdict, response, twin := q.begin(begin)
		switch verdict {
		case dedup.VerdictRun:
			return q.runOnce(ctx, req, attemptKey{id, req.KeyHash})
		case dedup.VerdictWait:
			select {
			case <-twin:
			case <-q.ended:
				return nil, mayHaveRun("the home of the key moved while an attempt with this id was running")
			case <-ctx.Done():
				return nil, mayHaveRun("an attempt with this id is still running")
			}
		case dedup.VerdictReplay:
			return replayed(response), nil
		case dedup.VerdictSliceNotActive:
			return nil, frontend.RerouteError()
		default:
			return nil, verdictError(verdict, q.server)
		}
	}
}

func (q *queue) begin(req dedup.Request) (dedup.Verdict, *dedup.Response, <-chan struct{}) {
	w := &q.window
	w.mu.Lock()
	defer w.mu.Unlock()
	verdict, response := w.window.BeginAttempt(dedup.Timestamp{Mono: q.cfg.Now(), Wall: q.cfg.WallClock()}, req)
	if verdict == dedup.VerdictRun {
		w.running[attemptKey{req.ID, req.KeyHash}] = make(chan struct{})
	}
	return verdict, response, w.running[attemptKey{req.ID, req.KeyHash}]
}

func (q *queue) runOnce(ctx context.Context, req *frontend.Request, key attemptKey) (*frontend.Response, *frontend.RequestError) {
	answer, err := q.execute(ctx, req)
	switch {
	case err != nil && err.Outcome == callerapi.NotRun:
		q.endOnce(key, dedup.OutcomeNotRun, nil)
	case err != nil:
		q.endOnce(key, dedup.OutcomeUnknown, nil)
	default:
		q.keepAnswer(key, answer)
	}
	return answer, err
}

// keepAnswer stores a short answer for repeats. A streamed one is not stored;
// its attempt ends with the stream.
func (q *queue) keepAnswer(key attemptKey, answer *frontend.Response) {
	if s, ok := answer.Body.(*streamedBody); ok {
		ended := s.ended
		s.ended = func(whole bool) {
			ended(whole)
			// The server has begun to answer, so the request ran, whole or not.
			q.endOnce(key, dedup.OutcomeDone, nil)
		}
		return
	}
	body, _ := io.ReadAll(answer.Body)
	answer.Body = io.NopCloser(bytes.NewReader(body))
	header := maps.Clone(answer.Header)
	q.endOnce(key, dedup.OutcomeDone, &dedup.Response{Status: answer.Status, Header: header, Body: body})
}

func (q *queue) endOnce(key attemptKey, ending dedup.AttemptOutcome, response *dedup.Response) {
	w := &q.window
	w.mu.Lock()
	defer w.mu.Unlock()
	w.window.FinishAttempt(key.id, key.hash, ending, response)
	if twin, ok := w.running[key]; ok {
		close(twin)
		delete(w.running, key)
	}
}

// exportLimits keep a transfer well below the size bound of a control call.
var exportLimits = dedup.ExportLimits{EntriesPerPart: 500, ResponseBytes: 1 << 20}

func (q *queue) export(r keyspace.Range, origin dedup.OwnershipPeriod) ([]dedup.TransferPart, bool) {
	w := &q.window
	w.mu.Lock()
	defer w.mu.Unlock()
	w.exports++
	return w.window.Export(dedup.Timestamp{Mono: q.cfg.Now(), Wall: q.cfg.WallClock()}, w.exports, r, origin, exportLimits)
}

func (q *queue) importPart(part dedup.TransferPart) bool {
	w := &q.window
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.window.ImportPart(dedup.Timestamp{Mono: q.cfg.Now(), Wall: q.cfg.WallClock()}, part)
}

// digest identifies a request, so that an id that is used for another request is noticed.
func digest(req *frontend.Request) [sha256.Size]byte {
	h := sha256.New()
	for _, part := range []string{req.Service, req.Key, req.Method, req.Path, req.Header.Get("Content-Type")} {
		_ = binary.Write(h, binary.BigEndian, uint64(len(part)))
		_, _ = io.WriteString(h, part)
	}
	body, whole := req.Body.Buffered()
	_ = binary.Write(h, binary.BigEndian, whole)
	_ = binary.Write(h, binary.BigEndian, req.Body.Length())
	_, _ = h.Write(body)
	var sum [sha256.Size]byte
	copy(sum[:], h.Sum(nil))
	return sum
}

func replayed(r *dedup.Response) *frontend.Response {
	return &frontend.Response{
		Status: r.Status, Header: r.Header, ContentLength: int64(len(r.Body)),
		Body:    io.NopCloser(bytes.NewReader(r.Body)),
		Outcome: callerapi.Done, Reason: callerapi.ReasonReplayed,
	}
}

func mayHaveRun(message string) *frontend.RequestError {
	return frontend.NewUnknownOutcome(http.StatusConflict, callerapi.ReasonAttemptMayHaveRun, "%s", message)
}

func verdictError(v dedup.Verdict, server string) *frontend.RequestError {
	e := &frontend.RequestError{Status: http.StatusBadRequest, Outcome: callerapi.NotRun}
	switch v {
	case dedup.VerdictResponseNotStored:
		e.Status, e.Outcome, e.Reason = http.StatusConflict, callerapi.Done, callerapi.ReasonAnswerNotStored
		e.Message = "a request with this id ran; its response was not kept"
	case dedup.VerdictIDReused:
		e.Status, e.Reason = http.StatusUnprocessableEntity, callerapi.ReasonIDReused
		e.Message = "header " + callerapi.HeaderID + ": the id was used for another request"
	case dedup.VerdictInvalidID:
		e.Reason, e.Message = callerapi.ReasonBadID, "header "+callerapi.HeaderID+": not a UUIDv7"
	case dedup.VerdictIDFromFuture:
		e.Reason, e.Message = callerapi.ReasonIDFromFuture, "header "+callerapi.HeaderID+": the time of the id lies ahead of this host's clock"
	case dedup.VerdictWindowFull:
		return frontend.NewRefusal(callerapi.ReasonOverloaded, time.Second, "the idempotency window of Server/%s is full", server)
	default:
		return mayHaveRun("an earlier attempt with this id may have run")
	}
	return e
}
