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

// watchWriteTimeout ends the watch of an operator who stopped reading.
const watchWriteTimeout = 10 * time.Second

// serveWatch streams changes after the offset in the parameter from. Without it
// the watch begins with the list of all resources.
func (q *QueryHandler) serveWatch(w http.ResponseWriter, r *http.Request) {
	from, resync := uint64(0), "the watch starts without an offset"
	if value := r.URL.Query().Get("from"); value != "" {
		var err error
		if from, err = strconv.ParseUint(value, 10, 64); err != nil {
			writeFindings(w, finding.List{{Place: "query parameter from", Problem: "is not an offset"}})
			return
		}
		resync = ""
	}
	w.Header().Set("Content-Type", "application/jsonl")
	stream := &watchStream{q: q, w: w, r: r, control: http.NewResponseController(w), position: from}
	stream.run(resync)
}

type watchStream struct {
	q        *QueryHandler
	w        http.ResponseWriter
	r        *http.Request
	control  *http.ResponseController
	position uint64 // the operator has all changes up to this offset
}

func (s *watchStream) run(resync string) {
	if resync != "" && !s.resync(resync, 0) {
		return
	}
	for {
		events, reach, changed, ok := s.q.cfg.History.after(s.position)
		if !ok && !s.covered(reach) {
			if !s.resync("changes after the offset are not kept any more", reach) {
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
			s.position = reach
		}
		if !s.idle(changed) {
			return
		}
	}
}

// covered handles a host that has folded no record since it took its state from
// a checkpoint: the view then tells what a watcher may have missed.
func (s *watchStream) covered(reach uint64) bool {
	return reach == math.MaxUint64 && s.position >= s.q.view().AppliedOffset
}

// idle waits for a record and reports progress meanwhile.
func (s *watchStream) idle(changed <-chan struct{}) bool {
	timer := time.NewTimer(s.q.cfg.ProgressInterval)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
		return s.send(operatorapi.WatchEvent{Type: operatorapi.WatchProgress, Offset: s.position})
	case <-s.r.Context().Done():
		return false
	case <-s.q.cfg.Stop:
		return false
	}
}

// resync sends the whole list from a view that includes offset reach, from which
// on the history is whole again.
func (s *watchStream) resync(reason string, reach uint64) bool {
	for {
		view, replaced := s.q.cfg.Views.Current()
		if reach == math.MaxUint64 || view.AppliedOffset >= reach {
			s.position = view.AppliedOffset
			return s.send(operatorapi.WatchEvent{
				Type: operatorapi.WatchResync, Offset: view.AppliedOffset, Reason: reason, Resources: listOf(view, ""),
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
	// Recorders in tests have no deadlines; the write itself reports real failures.
	_ = s.control.SetWriteDeadline(time.Now().Add(watchWriteTimeout))
	if err := json.NewEncoder(s.w).Encode(e); err != nil {
		return false
	}
	return s.control.Flush() == nil
}
