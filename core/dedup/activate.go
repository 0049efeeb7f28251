package dedup

import (
	"sort"
	"time"

	"parsleyrelay.example/core/keyspace"
)

// activatedRange is a range of key hashes for which Activate was called. This home
// may run its requests, unless the range is sealed.
type activatedRange struct {
	keyspace.Range
	// knownAfterIDTime is an id time in Unix milliseconds. The window knows all
	// attempts with later ids; an attempt with an id up to this time may have
	// run at another home without being in the window.
	knownAfterIDTime int64
	sealed           bool // exported; no attempt may begin until the next activation
}

// HistorySource says from where this home knows the earlier attempts in a slice, a
// range of key hashes that is assigned to one server.
type HistorySource int

// The sources of a history.
const (
	// HistoryUnknown: the former home's window was not received.
	HistoryUnknown HistorySource = iota
	// HistoryEmpty: the slice never had an owner, nor a home before this one.
	HistoryEmpty
	// HistoryKept: no other home has run requests of the slice since it was last
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
	Server     string `json:"server"`     // the owner in the period
	Term       uint64 `json:"term"`       // of the server's home
	Generation uint64 `json:"generation"` // of the slice at that server; 0 when all slices of the server move to a new home at once
}

// Activate starts or renews the right to run requests of a range. It must be
// called before the first request of the range is dispatched under a new
// generation or term. It returns whether earlier attempts are fully known. A
// kept or transferred history that does not cover the whole range counts as
// HistoryUnknown. exportedPeriod is used for HistoryTransferred only.
func (w *Window) Activate(now Timestamp, r keyspace.Range, source HistorySource, exportedPeriod OwnershipPeriod) bool {
	// Without a history, any id that may exist by now may have run. The 1 ms rounds
	// the current time up.
	histories := []RangeHistory{{Range: r, KnownAfterIDTime: now.Wall.UnixMilli() + 1 + MaxClockSkew.Milliseconds()}}
	fullyKnown := false
	switch source {
	case HistoryEmpty:
		histories[0].KnownAfterIDTime = 0
		fullyKnown = true
	case HistoryKept:
		if keptHistories := clipHistories(w.activatedHistories(true), r); coversRange(keptHistories, r) {
			histories, fullyKnown = keptHistories, true
		}
	case HistoryTransferred:
		w.dropExpiredTransfers(now.Mono)
		if transfer := w.transfers[exportedPeriod]; transfer != nil && transfer.hasAllParts() {
			if transferred := clipHistories(transfer.histories, r); coversRange(transferred, r) {
				histories, fullyKnown = transferred, true
				w.latestExpiredIDTime = max(w.latestExpiredIDTime, transfer.latestExpiredIDTime)
			}
		}
	}
	if source != HistoryKept || !fullyKnown {
		// Another home may have run attempts since the last activation here.
		w.markMayHaveRun(r)
	}
	w.removeActivatedRange(r)
	for _, history := range histories {
		w.activatedRanges = append(w.activatedRanges, activatedRange{Range: history.Range, knownAfterIDTime: history.KnownAfterIDTime})
	}
	w.sortActivatedRanges()
	return fullyKnown
}

func (w *Window) sortActivatedRanges() {
	sort.Slice(w.activatedRanges, func(i, j int) bool { return w.activatedRanges[i].First < w.activatedRanges[j].First })
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
	w.removeActivatedRange(r)
	for _, e := range w.entriesInRange(r) {
		w.removeEntry(e)
	}
	for period, transfer := range w.transfers {
		if transfer.Overlaps(r) {
			delete(w.transfers, period) // its entries may be among those just removed
		}
	}
}

// findUnsealedRange returns the activated range that contains a key hash, unless it
// is sealed.
func (w *Window) findUnsealedRange(keyHash uint64) (activatedRange, bool) {
	i := sort.Search(len(w.activatedRanges), func(i int) bool { return w.activatedRanges[i].Last >= keyHash })
	if i == len(w.activatedRanges) || !w.activatedRanges[i].Contains(keyHash) || w.activatedRanges[i].sealed {
		return activatedRange{}, false
	}
	return w.activatedRanges[i], true
}

// removeActivatedRange removes r from the activated ranges; a range that overlaps r
// is cut to the rest.
func (w *Window) removeActivatedRange(r keyspace.Range) {
	var remaining []activatedRange
	for _, a := range w.activatedRanges {
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
	w.activatedRanges = remaining
}

// activatedHistories returns the histories of the activated ranges, with or without
// the sealed ones.
func (w *Window) activatedHistories(includeSealed bool) []RangeHistory {
	var list []RangeHistory
	for _, a := range w.activatedRanges {
		if includeSealed || !a.sealed {
			list = append(list, RangeHistory{Range: a.Range, KnownAfterIDTime: a.knownAfterIDTime})
		}
	}
	return list
}

func (w *Window) entriesInRange(r keyspace.Range) []*entry {
	var list []*entry
	for i := topByte(r.First); i <= topByte(r.Last); i++ {
		for _, e := range w.entriesByTopByte[i] {
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
