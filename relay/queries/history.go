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

// historyEvents bounds the changes kept for watchers. At 78,000 changes a day
// this is more than an hour; a watcher that was away for longer gets the list.
const historyEvents = 4096

// ChangeHistory keeps the latest changes of resources. It is safe for concurrent use.
type ChangeHistory struct {
	mu      sync.Mutex
	events  []change
	base    uint64 // all changes after this offset are kept; MaxUint64 before the first record
	last    uint64 // offset of the newest folded record
	changed chan struct{}
}

type change struct {
	key   resource.Key
	event operatorapi.WatchEvent
}

// NewChangeHistory returns an empty history.
func NewChangeHistory() *ChangeHistory {
	return &ChangeHistory{base: math.MaxUint64, changed: make(chan struct{})}
}

// RecordApplied takes the outcome of every record, in offset order. After a gap, which
// a checkpoint leaves, the history starts anew.
func (h *ChangeHistory) RecordApplied(f ownership.RecordOutcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	offset := f.Positioned.Offset
	if h.base == math.MaxUint64 || offset != h.last+1 {
		h.events, h.base = nil, offset-1
	}
	h.last = offset
	if f.TookEffect {
		h.add(f.Positioned)
	}
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *ChangeHistory) add(p record.LogEntry) {
	c := change{event: operatorapi.WatchEvent{Offset: p.Offset}}
	switch b := p.Record.Body.(type) {
	case record.ResourcePut:
		r := b.Resource
		r.Version = p.Offset
		wire := wireResource(r)
		c.key, c.event.Type, c.event.ChangeID, c.event.Resource = r.Key(), operatorapi.WatchPut, b.ChangeID, &wire
	case record.ResourceDelete:
		c.key, c.event.Type, c.event.ChangeID = b.Key, operatorapi.WatchDelete, b.ChangeID
		c.event.Resource = &operatorapi.Resource{
			Kind: string(b.Key.Kind), Metadata: operatorapi.Metadata{Name: b.Key.Name, Version: b.ExpectedVersion},
		}
	default:
		return
	}
	if h.repeats(c) {
		return
	}
	if len(h.events) == historyEvents {
		h.base = h.events[0].event.Offset
		h.events = append(h.events[:0:0], h.events[1:]...)
	}
	h.events = append(h.events, c)
}

// repeats reports whether c is a second record of the change that the resource
// already has; the fold counts it as applied, but it changes nothing.
func (h *ChangeHistory) repeats(c change) bool {
	for i := len(h.events) - 1; i >= 0; i-- {
		if h.events[i].key == c.key {
			return c.event.ChangeID != "" && h.events[i].event.ChangeID == c.event.ChangeID
		}
	}
	return false
}

// after returns the changes that follow offset, how far they reach, and a channel
// that is closed at the next record. ok is false when some are not kept any more;
// reach is then the offset from which on they are.
func (h *ChangeHistory) after(offset uint64) (events []operatorapi.WatchEvent, reach uint64, changed <-chan struct{}, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if offset < h.base {
		return nil, h.base, h.changed, false
	}
	first := sort.Search(len(h.events), func(i int) bool { return h.events[i].event.Offset > offset })
	for _, c := range h.events[first:] {
		events = append(events, c.event)
	}
	return events, max(offset, h.last), h.changed, true
}
