package dedup

import (
	"time"

	"github.com/google/uuid"

	"parsleyrelay.example/core/keyspace"
)

// RangeHistory is a range of key hashes with the id time up to which earlier
// attempts may have run without being in the window (Unix milliseconds).
type RangeHistory struct {
	keyspace.Range
	CompleteAfter int64 `json:"knownFrom"`
}

// TransferEntry is an id in a transfer. Ids that are proven not to have run are left
// out, since they may run again at the next home.
type TransferEntry struct {
	ID       uuid.UUID `json:"id"`
	KeyHash  uint64    `json:"hash,string"`
	Digest   []byte    `json:"digest"`
	AgeMS    int64     `json:"ageMs"`
	Done     bool      `json:"done"` // false: may have run
	Response *Response `json:"response,omitempty"`
}

// TransferPart is one part of a transfer. All parts of a transfer carry the same
// Origin, Sequence, Total, Forgotten and Known.
type TransferPart struct {
	ExportedPeriod      OwnershipPeriod `json:"origin"`
	Sequence            uint64          `json:"sequence"` // of the export, increasing at one home
	Index               int             `json:"index"`
	Total               int             `json:"total"`
	Range               keyspace.Range  `json:"range"`
	LatestExpiredIDTime int64           `json:"forgotten"` // latest id time that expired, Unix milliseconds
	RangeHistories      []RangeHistory  `json:"known"`
	Entries             []TransferEntry `json:"entries"`
}

// ExportLimits bounds the size of a transfer.
type ExportLimits struct {
	EntriesPerPart int
	// ResponseBytes bounds the stored responses in all parts together. Ids
	// beyond it are transferred without their response.
	ResponseBytes int64
}

// Export seals a range and returns its window in parts, at least one. It fails
// when a request of the range is running or when the range is not active. After
// Export nothing begins in the range until Activate is called for a new
// generation or term, so that no id can run that the transfer lacks.
func (w *Window) Export(now Timestamp, sequence uint64, r keyspace.Range, origin OwnershipPeriod, limits ExportLimits) ([]TransferPart, bool) {
	w.expire(now.Mono)
	known := clip(w.known(false), r)
	if !covers(known, r) {
		return nil, false
	}
	entries := w.inRange(r)
	for _, e := range entries {
		if e.state == stateRunning {
			return nil, false
		}
	}
	w.seal(r)
	head := TransferPart{ExportedPeriod: origin, Sequence: sequence, Range: r, LatestExpiredIDTime: w.forgotten, RangeHistories: known}
	parts := []TransferPart{head}
	budget := limits.ResponseBytes
	for _, e := range entries {
		if e.state == stateNotRun {
			continue
		}
		last := &parts[len(parts)-1]
		if len(last.Entries) >= max(limits.EntriesPerPart, 1) {
			parts = append(parts, head)
			last = &parts[len(parts)-1]
		}
		out := TransferEntry{ID: e.id, KeyHash: e.hash, Digest: e.digest[:], AgeMS: (now.Mono - e.began).Milliseconds(), Done: e.state == stateDone}
		if e.response != nil && e.response.size() <= budget {
			budget -= e.response.size()
			out.Response = e.response
		}
		last.Entries = append(last.Entries, out)
	}
	for i := range parts {
		parts[i].Index, parts[i].Total = i, len(parts)
	}
	return parts, true
}

func (w *Window) seal(r keyspace.Range) {
	parts := clip(w.known(true), r)
	w.cut(r)
	for _, k := range parts {
		w.active = append(w.active, activeRange{Range: k.Range, knownFrom: k.CompleteAfter, sealed: true})
	}
	w.sortActive()
}

// transferState is a transfer that is being received.
type transferState struct {
	keyspace.Range
	sequence  uint64
	total     int
	parts     map[int]bool
	known     []RangeHistory
	forgotten int64
	received  time.Duration
}

func (t *transferState) complete() bool { return len(t.parts) == t.total }

// ImportPart takes one part. It reports false when the part is malformed, older than
// one already received, or does not fit; the transfer then stays incomplete,
// and the activation applies the rule for unknown attempts. What is imported is
// true whether or not the transfer completes: these ids have or may have run.
func (w *Window) ImportPart(now Timestamp, p TransferPart) bool {
	w.expire(now.Mono)
	w.dropOldImports(now.Mono)
	if p.Total < 1 || p.Index < 0 || p.Index >= p.Total || !p.Range.Valid() {
		return false
	}
	t := w.imports[p.ExportedPeriod]
	if t != nil && p.Sequence < t.sequence {
		return false
	}
	if t == nil || p.Sequence > t.sequence {
		t = &transferState{Range: p.Range, sequence: p.Sequence, total: p.Total, parts: map[int]bool{}, known: p.RangeHistories, forgotten: p.LatestExpiredIDTime, received: now.Mono}
	}
	if p.Total != t.total || p.Range != t.Range || len(w.entries)+len(p.Entries) > w.cfg.MaxEntries {
		return false
	}
	for _, in := range p.Entries {
		if len(in.Digest) != len(entry{}.digest) || !p.Range.Contains(in.KeyHash) {
			return false
		}
	}
	for _, in := range p.Entries {
		w.importEntry(now, in)
	}
	t.parts[p.Index] = true
	w.imports[p.ExportedPeriod] = t
	return true
}

func (w *Window) importEntry(now Timestamp, in TransferEntry) {
	e := &entry{
		entryKey: entryKey{in.ID, in.KeyHash},
		state:    stateUnknown,
		began:    now.Mono - time.Duration(in.AgeMS)*time.Millisecond,
	}
	copy(e.digest[:], in.Digest)
	if former := w.entries[e.entryKey]; former == nil {
		w.insert(e)
	} else {
		e = former
		if e.state == stateNotRun {
			e.state = stateUnknown // it ran at the sender after it failed to run here
		}
	}
	if in.Done && e.state == stateUnknown {
		e.state = stateDone
		w.store(e, in.Response)
	}
}
