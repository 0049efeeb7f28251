package control

import (
	"sync"

	"parsleyrelay.example/core/record"
)

// historyRecords bounds the records kept for peers. A peer that misses more reads
// the log itself.
const historyRecords = 4096

// EncodedRecord is a record as the log holds it.
type EncodedRecord struct {
	Offset uint64
	Data   []byte
}

// RecordHistory keeps the last records that were folded.
type RecordHistory struct {
	mu   sync.Mutex
	ring [historyRecords]EncodedRecord
	last uint64 // offset of the newest record, 0 for none
}

// NewRecordHistory returns an empty history.
func NewRecordHistory() *RecordHistory {
	return &RecordHistory{}
}

// Add appends a record. A record that does not follow the last one starts anew.
func (h *RecordHistory) Add(p record.LogEntry) {
	data, err := record.Marshal(p.Record)
	if err != nil {
		return // cannot happen for a record that was decoded; peers then read the log
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if p.Offset != h.last+1 {
		clear(h.ring[:])
	}
	h.ring[p.Offset%historyRecords] = EncodedRecord{Offset: p.Offset, Data: data}
	h.last = p.Offset
}

// After returns up to limit records that follow offset, or none when the first
// of them is not kept any more.
func (h *RecordHistory) After(offset uint64, limit int) []EncodedRecord {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []EncodedRecord
	for next := offset + 1; next <= h.last && len(list) < limit; next++ {
		e := h.ring[next%historyRecords]
		if e.Offset != next {
			return nil
		}
		list = append(list, e)
	}
	return list
}
