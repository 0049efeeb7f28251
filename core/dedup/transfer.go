package dedup

import (
	"time"

	"github.com/google/uuid"

	"parsleyrelay.example/core/keyspace"
)

// RangeHistory says from which id time on the window of a home knows all attempts
// in a range of key hashes. An attempt with an id time up to KnownAfterIDTime
// (Unix milliseconds) may have run without being in the window.
type RangeHistory struct {
	keyspace.Range
	KnownAfterIDTime int64 `json:"knownFrom"`
}

// TransferEntry is an id in a transfer. Ids that are proven not to have run are left
// out, since they may run again at the next home.
type TransferEntry struct {
	ID       uuid.UUID `json:"id"`
	KeyHash  uint64    `json:"hash,string"`
	Digest   []byte    `json:"digest"`
	AgeMS    int64     `json:"ageMs"`
	Done     bool      `json:"done"` // false means that it may have run
	Response *Response `json:"response,omitempty"`
}

// TransferPart is one part of a transfer, by which a home sends its window for a
// range to the next home. The parts of a transfer differ in Index and Entries only.
type TransferPart struct {
	ExportedPeriod      OwnershipPeriod `json:"origin"`
	Sequence            uint64          `json:"sequence"` // number of the export, increasing at one home
	Index               int             `json:"index"`
	Total               int             `json:"total"` // number of parts
	Range               keyspace.Range  `json:"range"`
	LatestExpiredIDTime int64           `json:"forgotten"` // latest id time among the expired entries, Unix milliseconds
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
// Export no attempt begins in the range until Activate is called for a new
// generation or term, so that no id can run here that the transfer lacks.
func (w *Window) Export(now Timestamp, sequence uint64, r keyspace.Range, period OwnershipPeriod, limits ExportLimits) ([]TransferPart, bool) {
	w.expireEntries(now.Mono)
	histories := clipHistories(w.activatedHistories(false), r)
	if !coversRange(histories, r) {
		return nil, false
	}
	entries := w.entriesInRange(r)
	for _, e := range entries {
		if e.state == stateRunning {
			return nil, false
		}
	}
	w.sealRange(r)
	template := TransferPart{ExportedPeriod: period, Sequence: sequence, Range: r, LatestExpiredIDTime: w.latestExpiredIDTime, RangeHistories: histories}
	parts := []TransferPart{template}
	responseBudget := limits.ResponseBytes
	for _, e := range entries {
		if e.state == stateNotRun {
			continue
		}
		last := &parts[len(parts)-1]
		if len(last.Entries) >= max(limits.EntriesPerPart, 1) {
			parts = append(parts, template)
			last = &parts[len(parts)-1]
		}
		out := TransferEntry{ID: e.id, KeyHash: e.keyHash, Digest: e.digest[:], AgeMS: (now.Mono - e.firstSeenAt).Milliseconds(), Done: e.state == stateDone}
		if e.response != nil && e.response.size() <= responseBudget {
			responseBudget -= e.response.size()
			out.Response = e.response
		}
		last.Entries = append(last.Entries, out)
	}
	for i := range parts {
		parts[i].Index, parts[i].Total = i, len(parts)
	}
	return parts, true
}

// sealRange keeps the activated ranges within r, but lets no attempt begin in them.
func (w *Window) sealRange(r keyspace.Range) {
	histories := clipHistories(w.activatedHistories(true), r)
	w.removeActivatedRange(r)
	for _, history := range histories {
		w.activatedRanges = append(w.activatedRanges, activatedRange{Range: history.Range, knownAfterIDTime: history.KnownAfterIDTime, sealed: true})
	}
	w.sortActivatedRanges()
}

// receivedTransfer is a transfer of which one or more parts have been received.
type receivedTransfer struct {
	keyspace.Range
	sequence            uint64
	totalParts          int
	receivedParts       map[int]bool
	histories           []RangeHistory
	latestExpiredIDTime int64
	receivedAt          time.Duration // of the first part, on the monotonic clock
}

func (t *receivedTransfer) hasAllParts() bool { return len(t.receivedParts) == t.totalParts }

// ImportPart adds the entries of one part to the window. It reports false when the
// part is malformed, belongs to an older export than one already received, or has
// more entries than the window has room for. The transfer then stays incomplete,
// and the activation treats its history as HistoryUnknown. The imported entries
// are valid even if the transfer never completes: their ids have or may have run.
func (w *Window) ImportPart(now Timestamp, part TransferPart) bool {
	w.expireEntries(now.Mono)
	w.dropExpiredTransfers(now.Mono)
	if part.Total < 1 || part.Index < 0 || part.Index >= part.Total || !part.Range.Valid() {
		return false
	}
	transfer := w.transfers[part.ExportedPeriod]
	if transfer != nil && part.Sequence < transfer.sequence {
		return false
	}
	if transfer == nil || part.Sequence > transfer.sequence {
		transfer = &receivedTransfer{Range: part.Range, sequence: part.Sequence, totalParts: part.Total, receivedParts: map[int]bool{}, histories: part.RangeHistories, latestExpiredIDTime: part.LatestExpiredIDTime, receivedAt: now.Mono}
	}
	if part.Total != transfer.totalParts || part.Range != transfer.Range || len(w.entries)+len(part.Entries) > w.cfg.MaxEntries {
		return false
	}
	for _, imported := range part.Entries {
		if len(imported.Digest) != len(entry{}.digest) || !part.Range.Contains(imported.KeyHash) {
			return false
		}
	}
	for _, imported := range part.Entries {
		w.importEntry(now, imported)
	}
	transfer.receivedParts[part.Index] = true
	w.transfers[part.ExportedPeriod] = transfer
	return true
}

func (w *Window) importEntry(now Timestamp, imported TransferEntry) {
	e := &entry{
		entryKey:    entryKey{imported.ID, imported.KeyHash},
		state:       stateMayHaveRun,
		firstSeenAt: now.Mono - time.Duration(imported.AgeMS)*time.Millisecond,
	}
	copy(e.digest[:], imported.Digest)
	if existing := w.entries[e.entryKey]; existing == nil {
		w.insertEntry(e)
	} else {
		e = existing
		if e.state == stateNotRun {
			e.state = stateMayHaveRun // it ran or may have run at the sender after it did not run here
		}
	}
	if imported.Done && e.state == stateMayHaveRun {
		e.state = stateDone
		w.storeResponse(e, imported.Response)
	}
}
