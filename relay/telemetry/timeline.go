// Package telemetry reports what a daemon does: numbered events as log lines and
// in a bounded timeline, and metrics for scraping.
package telemetry

import (
	"strconv"
	"sync"

	"github.com/go-kit/log"

	"parsleyrelay.example/core/event"
	"parsleyrelay.example/relay/timeline"
)

// DefaultTimelineEvents keeps about 4 MB of events.
const DefaultTimelineEvents = 16_384

// Timeline is a ring of the newest events. It is safe for concurrent use.
type Timeline struct {
	clock  *event.HybridClock
	logger log.Logger
	names  map[event.Code]string
	host   string
	zone   string

	mu          sync.Mutex
	ring        []event.Event
	next        int // position of the next event, once the ring is full
	overwritten uint64
}

// NewTimeline returns an empty timeline of a host with room for capacity events.
// logger gets a line for each event; nil writes none.
func NewTimeline(host, zone string, capacity int, clock *event.HybridClock, logger log.Logger) *Timeline {
	if logger == nil {
		logger = log.NewNopLogger()
	}
	t := &Timeline{clock: clock, logger: logger, host: host, zone: zone, names: map[event.Code]string{}}
	t.ring = make([]event.Event, 0, max(1, capacity))
	for _, d := range event.Definitions {
		t.names[d.Code] = d.Name
	}
	return t
}

// Emit stamps an event with clock, name, host and zone, keeps it and logs it.
func (t *Timeline) Emit(e event.Event) {
	e.Name, e.Host, e.Zone = t.names[e.Code], t.host, t.zone
	t.mu.Lock()
	// Read under the lock, so that the ring is in the order of the clock.
	e.HLC = t.clock.Now()
	if len(t.ring) < cap(t.ring) {
		t.ring = append(t.ring, e)
	} else {
		t.ring[t.next] = e
		t.next = (t.next + 1) % len(t.ring)
		t.overwritten++
	}
	t.mu.Unlock()
	_ = t.logger.Log(logFields(e)...)
}

// OverwrittenEvents returns the number of events lost from the ring.
func (t *Timeline) OverwrittenEvents() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.overwritten
}

// Select returns the newest events that match, at most limit (0 for all), oldest
// first, and the number of events lost from the ring.
func (t *Timeline) Select(f timeline.Filter, limit int) (events []event.Event, overwritten uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.ring {
		if e := t.ring[(t.next+i)%len(t.ring)]; f.Matches(e) {
			events = append(events, e)
		}
	}
	if limit > 0 && len(events) > limit {
		events = events[len(events)-limit:]
	}
	return events, t.overwritten
}

func logFields(e event.Event) []any {
	fields := []any{"event", int(e.Code), "name", e.Name, "hlc", e.HLC, "host", e.Host, "zone", e.Zone}
	for _, f := range []struct{ key, value string }{
		{"service", e.Service}, {"server", e.Server}, {"slice", e.Slice},
		{"generation", number(e.Generation)}, {"term", number(e.Term)}, {"sub_term", number(e.SubTerm)},
		{"offset", number(e.Offset)}, {"request_id", e.RequestID}, {"key_hash", e.KeyHash},
		{"peer", e.Peer}, {"detail", e.Detail},
	} {
		if f.value != "" {
			fields = append(fields, f.key, f.value)
		}
	}
	return fields
}

func number(n uint64) string {
	if n == 0 {
		return ""
	}
	return strconv.FormatUint(n, 10)
}
