package control

import (
	"sync"

	"parsleyrelay.example/core/record"
)

// recordHistoryCapacity is the number of records kept for peers. A peer that lacks more
// records reads the log itself.
const recordHistoryCapacity = 4096

// EncodedRecord is a record in the encoding of the log.
type EncodedRecord struct {
	Offset uint64
	Data   []byte
}

// RecordHistory keeps the most recently applied records, to relay them to peers.
type RecordHistory struct {
	mu         sync.Mutex
	ring       [recordHistoryCapacity]EncodedRecord
	lastOffset uint64 // offset of the newest record, 0 for none
}

// NewRecordHistory returns an empty history.
func NewRecordHistory() *RecordHistory {
	return &RecordHistory{}
}

// Add appends a record. If it does not directly follow the last one, all earlier records
// are discarded.
func (h *RecordHistory) Add(entry record.LogEntry) {
	data, err := record.Marshal(entry.Record)
	if err != nil {
		return // cannot happen for a record that was decoded; peers then read the log
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if entry.Offset != h.lastOffset+1 {
		clear(h.ring[:])
	}
	h.ring[entry.Offset%recordHistoryCapacity] = EncodedRecord{Offset: entry.Offset, Data: data}
	h.lastOffset = entry.Offset
}

// After returns up to limit records that follow offset, or none when the first
// of them is no longer kept.
func (h *RecordHistory) After(offset uint64, limit int) []EncodedRecord {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []EncodedRecord
	for next := offset + 1; next <= h.lastOffset && len(list) < limit; next++ {
		e := h.ring[next%recordHistoryCapacity]
		if e.Offset != next {
			return nil
		}
		list = append(list, e)
	}
	return list
}
