package queries

import (
	"math"
	"sort"
	"sync"

	"parsleyrelay.example/api/operatorapi"
	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/resource"
)

// changeHistoryCapacity bounds the changes kept for watchers. At 78,000 changes a day this
// covers more than an hour; a watcher that was disconnected for longer receives the whole
// list.
const changeHistoryCapacity = 4096

// ChangeHistory keeps the latest changes of resources. It is safe for concurrent use.
type ChangeHistory struct {
	mu            sync.Mutex
	entries       []changeEntry
	completeAfter uint64 // all changes after this offset are kept; MaxUint64 before the first record
	lastOffset    uint64 // offset of the last applied record
	updated       chan struct{}
}

type changeEntry struct {
	key   resource.Key
	event operatorapi.WatchEvent
}

// NewChangeHistory returns an empty history.
func NewChangeHistory() *ChangeHistory {
	return &ChangeHistory{completeAfter: math.MaxUint64, updated: make(chan struct{})}
}

// LogRecordApplied receives the outcome of every record, in offset order. After a gap, as when
// the state was restored from a checkpoint, earlier entries are discarded.
func (h *ChangeHistory) LogRecordApplied(outcome ownership.RecordOutcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	offset := outcome.Entry.Offset
	if h.completeAfter == math.MaxUint64 || offset != h.lastOffset+1 {
		h.entries, h.completeAfter = nil, offset-1
	}
	h.lastOffset = offset
	if outcome.TookEffect {
		h.addChange(outcome.Entry)
	}
	close(h.updated)
	h.updated = make(chan struct{})
}

func (h *ChangeHistory) addChange(entry record.LogEntry) {
	c := changeEntry{event: operatorapi.WatchEvent{Offset: entry.Offset}}
	switch b := entry.Record.Body.(type) {
	case record.ResourcePut:
		r := b.Resource
		r.Version = entry.Offset
		apiResource := toAPIResource(r)
		c.key, c.event.Type, c.event.ChangeID, c.event.Resource = r.Key(), operatorapi.WatchPut, b.ChangeID, &apiResource
	case record.ResourceDelete:
		c.key, c.event.Type, c.event.ChangeID = b.Key, operatorapi.WatchDelete, b.ChangeID
		c.event.Resource = &operatorapi.Resource{
			Kind: string(b.Key.Kind), Metadata: operatorapi.Metadata{Name: b.Key.Name, Version: b.ExpectedVersion},
		}
	default:
		return
	}
	if h.isRepeatedChange(c) {
		return
	}
	if len(h.entries) == changeHistoryCapacity {
		h.completeAfter = h.entries[0].event.Offset
		h.entries = append(h.entries[:0:0], h.entries[1:]...)
	}
	h.entries = append(h.entries, c)
}

// isRepeatedChange reports whether c is a second copy of the last change of its resource.
// Applying the copy counts as taking effect but changes nothing.
func (h *ChangeHistory) isRepeatedChange(c changeEntry) bool {
	for i := len(h.entries) - 1; i >= 0; i-- {
		if h.entries[i].key == c.key {
			return c.event.ChangeID != "" && h.entries[i].event.ChangeID == c.event.ChangeID
		}
	}
	return false
}

// after returns the changes after offset, the offset up to which they are complete, and a
// channel that is closed at the next record. ok is false when some of the changes are no
// longer kept; upTo is then the offset after which all changes are kept, or math.MaxUint64
// when no record was applied yet.
func (h *ChangeHistory) after(offset uint64) (events []operatorapi.WatchEvent, upTo uint64, updated <-chan struct{}, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if offset < h.completeAfter {
		return nil, h.completeAfter, h.updated, false
	}
	first := sort.Search(len(h.entries), func(i int) bool { return h.entries[i].event.Offset > offset })
	for _, c := range h.entries[first:] {
		events = append(events, c.event)
	}
	return events, max(offset, h.lastOffset), h.updated, true
}
