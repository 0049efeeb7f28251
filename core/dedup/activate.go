package dedup

import (
	"sort"
	"time"

	"parsleyrelay.example/core/keyspace"
)

// activeRange is a range of key hashes whose requests this home may run, unless
// the range is sealed.
type activeRange struct {
	keyspace.Range
	// completeAfter is an id time in Unix milliseconds. The window knows all
	// attempts with later ids; an attempt with an id up to this time may have
	// run at another home without being in the window.
	completeAfter int64
	sealed        bool // exported; no attempt may begin until the next activation
}

// AttemptHistory says what this home knows of earlier attempts in a slice, a
// range of key hashes that is assigned to one server.
type AttemptHistory int

// The kinds of history.
const (
	// HistoryUnknown: the former owner's window was not received.
	HistoryUnknown AttemptHistory = iota
	// HistoryEmpty: the slice never had an owner, nor a home before this one.
	HistoryEmpty
	// HistoryKept: this home has been the slice's only home since it was last
	// active here, as after an aborted move.
	HistoryKept
	// HistoryTransferred: the former home exported its window at the end of the
	// ownership period that is given to Activate.
	HistoryTransferred
)

// OwnershipPeriod identifies the period for which one home of one server owned a
// slice. A transfer is valid only for the activation that directly follows its
// period; an older one, for example of an aborted move, lacks the ids that ran
// since.
type OwnershipPeriod struct {
	Server     string `json:"server"`     // former owner
	Term       uint64 `json:"term"`       // of the server's home
	Generation uint64 `json:"generation"` // of the slice at that server; 0 in the handover of a home with all slices
}

// Activate starts or renews the right to run requests of a range. It must be
// called before the first request of the range is dispatched under a new
// generation or term. It returns whether earlier attempts are fully known. A
// kept or transferred history that does not cover the whole range counts as
// HistoryUnknown. exportedPeriod is used for HistoryTransferred only.
func (w *Window) Activate(now Timestamp, r keyspace.Range, history AttemptHistory, exportedPeriod OwnershipPeriod) bool {
	histories := []RangeHistory{{Range: r, CompleteAfter: now.Wall.UnixMilli() + 1 + MaxClockSkew.Milliseconds()}}
	complete := false
	switch history {
	case HistoryEmpty:
		histories[0].CompleteAfter = 0
		complete = true
	case HistoryKept:
		if keptHistories := clipHistories(w.activeHistories(true), r); coversRange(keptHistories, r) {
			histories, complete = keptHistories, true
		}
	case HistoryTransferred:
		w.dropExpiredTransfers(now.Mono)
		if transfer := w.transfers[exportedPeriod]; transfer != nil && transfer.isComplete() {
			if transferred := clipHistories(transfer.histories, r); coversRange(transferred, r) {
				histories, complete = transferred, true
				w.latestExpiredIDTime = max(w.latestExpiredIDTime, transfer.latestExpiredIDTime)
			}
		}
	}
	if history != HistoryKept || !complete {
		w.markMayHaveRun(r)
	}
	w.removeActiveRange(r)
	for _, history := range histories {
		w.activeRanges = append(w.activeRanges, activeRange{Range: history.Range, completeAfter: history.CompleteAfter})
	}
	w.sortActiveRanges()
	return complete
}

func (w *Window) sortActiveRanges() {
	sort.Slice(w.activeRanges, func(i, j int) bool { return w.activeRanges[i].First < w.activeRanges[j].First })
}

// markMayHaveRun handles entries from an earlier activation that was not ended by
// Deactivate: attempts that were running or had not run here may have run at
// another home since.
func (w *Window) markMayHaveRun(r keyspace.Range) {
	for _, e := range w.entriesInRange(r) {
		if e.state == stateRunning || e.state == stateNotRun {
			e.state = stateMayHaveRun
		}
	}
}

// Deactivate ends the right to run requests of a range and forgets its ids. They
// must not be kept: the next home may run an id that is recorded here as not
// run, and the range may come back later.
func (w *Window) Deactivate(r keyspace.Range) {
	w.removeActiveRange(r)
	for _, e := range w.entriesInRange(r) {
		w.removeEntry(e)
	}
	for period, transfer := range w.transfers {
		if transfer.Overlaps(r) {
			delete(w.transfers, period) // its entries may be among those just removed
		}
	}
}

// findActiveRange returns the active range that contains a key hash, unless it is
// sealed.
func (w *Window) findActiveRange(keyHash uint64) (activeRange, bool) {
	i := sort.Search(len(w.activeRanges), func(i int) bool { return w.activeRanges[i].Last >= keyHash })
	if i == len(w.activeRanges) || !w.activeRanges[i].Contains(keyHash) || w.activeRanges[i].sealed {
		return activeRange{}, false
	}
	return w.activeRanges[i], true
}

// removeActiveRange removes r from the active ranges; a range that overlaps r is
// cut to the rest.
func (w *Window) removeActiveRange(r keyspace.Range) {
	var remaining []activeRange
	for _, a := range w.activeRanges {
		if !a.Overlaps(r) {
			remaining = append(remaining, a)
			continue
		}
		if a.First < r.First {
			left := a
			left.Last = r.First - 1
			remaining = append(remaining, left)
		}
		if a.Last > r.Last {
			right := a
			right.First = r.Last + 1
			remaining = append(remaining, right)
		}
	}
	w.activeRanges = remaining
}

// activeHistories returns the histories of the active ranges, with or without the
// sealed ones.
func (w *Window) activeHistories(includeSealed bool) []RangeHistory {
	var list []RangeHistory
	for _, a := range w.activeRanges {
		if includeSealed || !a.sealed {
			list = append(list, RangeHistory{Range: a.Range, CompleteAfter: a.completeAfter})
		}
	}
	return list
}

func (w *Window) entriesInRange(r keyspace.Range) []*entry {
	var list []*entry
	for i := bucketIndex(r.First); i <= bucketIndex(r.Last); i++ {
		for _, e := range w.buckets[i] {
			if r.Contains(e.keyHash) {
				list = append(list, e)
			}
		}
	}
	return list
}

// clipHistories returns the histories clipped to r. They are sorted and do not
// overlap, as is the result.
func clipHistories(histories []RangeHistory, r keyspace.Range) []RangeHistory {
	var out []RangeHistory
	for _, history := range histories {
		if history.Overlaps(r) {
			history.First, history.Last = max(history.First, r.First), min(history.Last, r.Last)
			out = append(out, history)
		}
	}
	return out
}

// coversRange reports whether histories that were clipped to r leave no gap in r.
func coversRange(histories []RangeHistory, r keyspace.Range) bool {
	if len(histories) == 0 || histories[0].First != r.First || histories[len(histories)-1].Last != r.Last {
		return false
	}
	for i := 1; i < len(histories); i++ {
		if histories[i].First != histories[i-1].Last+1 {
			return false
		}
	}
	return true
}

// transferTTL bounds how long a received transfer is kept for its activation. An
// outage of the log can delay the activation for longer; its history then counts
// as HistoryUnknown.
const transferTTL = 2 * time.Minute

func (w *Window) dropExpiredTransfers(now time.Duration) {
	for period, transfer := range w.transfers {
		if now-transfer.receivedAt > transferTTL {
			delete(w.transfers, period)
		}
	}
}
