package dedup

import (
	"sort"
	"time"

	"parsleyrelay.example/core/keyspace"
)

// activeRange is a range of key hashes whose requests this home may run.
type activeRange struct {
	keyspace.Range
	// knownFrom is the id time up to which earlier attempts may have run
	// elsewhere without being in the window, in Unix milliseconds.
	knownFrom int64
	sealed    bool // exported; nothing may begin until the next activation
}

// AttemptHistory says what this home knows of earlier attempts in a slice.
type AttemptHistory int

// The sources.
const (
	// HistoryUnknown: the former owner's window was not received.
	HistoryUnknown AttemptHistory = iota
	// HistoryEmpty: the slice never had an owner, nor a home before this one.
	HistoryEmpty
	// HistoryKept: this home has been the slice's only home since it was last
	// active here, as after an aborted move.
	HistoryKept
	// HistoryTransferred: the window was exported by the former home under Origin.
	HistoryTransferred
)

// OwnershipPeriod identifies one period of ownership. A transfer counts only for the
// activation that directly follows its period; an older one, for example of a
// move that was aborted, lacks the ids that ran since.
type OwnershipPeriod struct {
	Server     string `json:"server"`     // former server
	Term       uint64 `json:"term"`       // of its home
	Generation uint64 `json:"generation"` // of the slice at that server; 0 in the handover of a home with all slices
}

// Activate starts or renews the right to run requests of a range. It must be
// called before the first request of the range is dispatched under a new
// generation or term. It returns whether earlier attempts are fully known. A
// source that turns out not to be covered counts as SourceNone.
func (w *Window) Activate(now Timestamp, r keyspace.Range, source AttemptHistory, origin OwnershipPeriod) bool {
	known := []RangeHistory{{Range: r, CompleteAfter: now.Wall.UnixMilli() + 1 + MaxClockSkew.Milliseconds()}}
	complete := false
	switch source {
	case HistoryEmpty:
		known[0].CompleteAfter = 0
		complete = true
	case HistoryKept:
		if kept := clip(w.known(true), r); covers(kept, r) {
			known, complete = kept, true
		}
	case HistoryTransferred:
		w.dropOldImports(now.Mono)
		if t := w.imports[origin]; t != nil && t.complete() {
			if received := clip(t.known, r); covers(received, r) {
				known, complete = received, true
				w.forgotten = max(w.forgotten, t.forgotten)
			}
		}
	}
	if source != HistoryKept || !complete {
		w.distrust(r)
	}
	w.cut(r)
	for _, k := range known {
		w.active = append(w.active, activeRange{Range: k.Range, knownFrom: k.CompleteAfter})
	}
	w.sortActive()
	return complete
}

func (w *Window) sortActive() {
	sort.Slice(w.active, func(i, j int) bool { return w.active[i].First < w.active[j].First })
}

// distrust handles entries from an earlier activation that was not ended by
// Deactivate: what was open or not run here may have run elsewhere since.
func (w *Window) distrust(r keyspace.Range) {
	for _, e := range w.inRange(r) {
		if e.state == stateRunning || e.state == stateNotRun {
			e.state = stateUnknown
		}
	}
}

// Deactivate ends the right to run requests of a range and forgets its ids. They
// must not be kept: the next home may run an id that is recorded here as not
// run, and the range may come back later.
func (w *Window) Deactivate(r keyspace.Range) {
	w.cut(r)
	for _, e := range w.inRange(r) {
		w.remove(e)
	}
	for origin, t := range w.imports {
		if t.Overlaps(r) {
			delete(w.imports, origin) // its entries may just have been removed
		}
	}
}

func (w *Window) find(hash uint64) (activeRange, bool) {
	i := sort.Search(len(w.active), func(i int) bool { return w.active[i].Last >= hash })
	if i == len(w.active) || !w.active[i].Contains(hash) || w.active[i].sealed {
		return activeRange{}, false
	}
	return w.active[i], true
}

// cut removes r from the active ranges.
func (w *Window) cut(r keyspace.Range) {
	var rest []activeRange
	for _, a := range w.active {
		if !a.Overlaps(r) {
			rest = append(rest, a)
			continue
		}
		if a.First < r.First {
			left := a
			left.Last = r.First - 1
			rest = append(rest, left)
		}
		if a.Last > r.Last {
			right := a
			right.First = r.Last + 1
			rest = append(rest, right)
		}
	}
	w.active = rest
}

// known lists the active ranges, with or without the sealed ones.
func (w *Window) known(sealed bool) []RangeHistory {
	var list []RangeHistory
	for _, a := range w.active {
		if sealed || !a.sealed {
			list = append(list, RangeHistory{Range: a.Range, CompleteAfter: a.knownFrom})
		}
	}
	return list
}

func (w *Window) inRange(r keyspace.Range) []*entry {
	var list []*entry
	for b := bucket(r.First); b <= bucket(r.Last); b++ {
		for _, e := range w.buckets[b] {
			if r.Contains(e.hash) {
				list = append(list, e)
			}
		}
	}
	return list
}

// clip returns the parts of the list that lie in r. The list is sorted and
// without overlaps, as is the result.
func clip(list []RangeHistory, r keyspace.Range) []RangeHistory {
	var out []RangeHistory
	for _, k := range list {
		if k.Overlaps(r) {
			k.First, k.Last = max(k.First, r.First), min(k.Last, r.Last)
			out = append(out, k)
		}
	}
	return out
}

// covers reports whether a clipped list leaves no gap in r.
func covers(list []RangeHistory, r keyspace.Range) bool {
	if len(list) == 0 || list[0].First != r.First || list[len(list)-1].Last != r.Last {
		return false
	}
	for i := 1; i < len(list); i++ {
		if list[i].First != list[i-1].Last+1 {
			return false
		}
	}
	return true
}

// importTTL bounds how long a received transfer waits for its activation. A log
// outage can outlast it; the activation then counts as SourceNone.
const importTTL = 2 * time.Minute

func (w *Window) dropOldImports(now time.Duration) {
	for origin, t := range w.imports {
		if now-t.received > importTTL {
			delete(w.imports, origin)
		}
	}
}
