package queries

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"parsleyrelay.example/api/operatorapi"
	"parsleyrelay.example/core/finding"
)

// watchWriteTimeout ends a watch whose client has stopped reading.
const watchWriteTimeout = 10 * time.Second

// serveWatch streams the changes after the offset in the parameter from. Without the
// parameter, the watch starts with the list of all resources.
func (q *QueryHandler) serveWatch(w http.ResponseWriter, r *http.Request) {
	from, resyncReason := uint64(0), "the watch starts without an offset"
	if value := r.URL.Query().Get("from"); value != "" {
		var err error
		if from, err = strconv.ParseUint(value, 10, 64); err != nil {
			writeFindings(w, finding.List{{Place: "query parameter from", Problem: "is not a valid offset"}})
			return
		}
		resyncReason = ""
	}
	w.Header().Set("Content-Type", "application/jsonl")
	stream := &watchStream{q: q, w: w, r: r, response: http.NewResponseController(w), position: from}
	stream.run(resyncReason)
}

type watchStream struct {
	q        *QueryHandler
	w        http.ResponseWriter
	r        *http.Request
	response *http.ResponseController
	position uint64 // the client has received all changes up to this offset
}

func (s *watchStream) run(resyncReason string) {
	if resyncReason != "" && !s.sendResync(resyncReason, 0) {
		return
	}
	for {
		events, upTo, updated, ok := s.q.cfg.History.after(s.position)
		if !ok && !s.isUpToDate(upTo) {
			if !s.sendResync("changes after the offset are no longer kept", upTo) {
				return
			}
			continue
		}
		for _, e := range events {
			if !s.send(e) {
				return
			}
		}
		if ok {
			s.position = upTo
		}
		if !s.waitForChange(updated) {
			return
		}
	}
}

// isUpToDate reports whether the client has missed no change although the history is empty,
// on a host that has applied no record since it restored its state from a checkpoint.
func (s *watchStream) isUpToDate(upTo uint64) bool {
	return upTo == math.MaxUint64 && s.position >= s.q.view().AppliedOffset
}

// waitForChange waits for the next record, or sends a progress event after the progress
// interval. It returns false when the watch must end.
func (s *watchStream) waitForChange(updated <-chan struct{}) bool {
	timer := time.NewTimer(s.q.cfg.ProgressInterval)
	defer timer.Stop()
	select {
	case <-updated:
		return true
	case <-timer.C:
		return s.send(operatorapi.WatchEvent{Type: operatorapi.WatchProgress, Offset: s.position})
	case <-s.r.Context().Done():
		return false
	case <-s.q.cfg.Stop:
		return false
	}
}

// sendResync sends the list of all resources from a view that includes minOffset, after
// which the history is complete.
func (s *watchStream) sendResync(reason string, minOffset uint64) bool {
	for {
		view, replaced := s.q.cfg.Views.Current()
		if minOffset == math.MaxUint64 || view.AppliedOffset >= minOffset {
			s.position = view.AppliedOffset
			return s.send(operatorapi.WatchEvent{
				Type: operatorapi.WatchResync, Offset: view.AppliedOffset, Reason: reason, Resources: listResources(view, ""),
			})
		}
		select {
		case <-replaced:
		case <-s.r.Context().Done():
			return false
		case <-s.q.cfg.Stop:
			return false
		}
	}
}

func (s *watchStream) send(e operatorapi.WatchEvent) bool {
	// Response recorders in tests do not support deadlines; the write reports real failures.
	_ = s.response.SetWriteDeadline(time.Now().Add(watchWriteTimeout))
	if err := json.NewEncoder(s.w).Encode(e); err != nil {
		return false
	}
	return s.response.Flush() == nil
}
