// Package telemetry reports what a daemon does, as events and as metrics for
// scraping (Metrics). Timeline logs each event and keeps the newest ones for queries;
// the relay daemon uses it. Journal only logs events, with a rate limit and without
// blocking; the hosts of package platform use it. Both use the codes of package
// event, and an event goes to one of them only.
package telemetry

import (
	"strconv"
	"sync"

	"github.com/go-kit/log"

	"parsleyrelay.example/core/event"
	"parsleyrelay.example/relay/timeline"
)

// DefaultTimelineEvents is the default capacity of a Timeline, about 4 MB.
const DefaultTimelineEvents = 16_384

// Timeline is a ring buffer of the newest events of a daemon. It is safe for
// concurrent use.
type Timeline struct {
	clock      *event.HybridClock
	logger     log.Logger
	eventNames map[event.Code]string
	host       string
	zone       string

	mu          sync.Mutex
	ring        []event.Event
	nextIndex   int // index of the oldest event, which the next one overwrites once the ring is full
	overwritten uint64
}

// NewTimeline returns an empty timeline of a host that holds up to capacity events.
// It logs each event to logger unless that is nil.
func NewTimeline(host, zone string, capacity int, clock *event.HybridClock, logger log.Logger) *Timeline {
	if logger == nil {
		logger = log.NewNopLogger()
	}
	t := &Timeline{clock: clock, logger: logger, host: host, zone: zone, eventNames: map[event.Code]string{}}
	t.ring = make([]event.Event, 0, max(1, capacity))
	for _, d := range event.Definitions {
		t.eventNames[d.Code] = d.Name
	}
	return t
}

// Emit sets the clock reading, name, host and zone of an event, stores the event in
// the ring and logs it.
func (t *Timeline) Emit(e event.Event) {
	e.Name, e.Host, e.Zone = t.eventNames[e.Code], t.host, t.zone
	t.mu.Lock()
	// The clock is read under the lock, so that the ring is in clock order.
	e.HLC = t.clock.Now()
	if len(t.ring) < cap(t.ring) {
		t.ring = append(t.ring, e)
	} else {
		t.ring[t.nextIndex] = e
		t.nextIndex = (t.nextIndex + 1) % len(t.ring)
		t.overwritten++
	}
	t.mu.Unlock()
	_ = t.logger.Log(logFields(e)...)
}

// OverwrittenEvents returns the number of events that newer ones overwrote.
func (t *Timeline) OverwrittenEvents() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.overwritten
}

// Select returns the newest events that match the filter, at most limit (0 for
// all), oldest first, and the number of events that newer ones overwrote.
func (t *Timeline) Select(f timeline.Filter, limit int) (events []event.Event, overwritten uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.ring {
		if e := t.ring[(t.nextIndex+i)%len(t.ring)]; f.Matches(e) {
			events = append(events, e)
		}
	}
	if limit > 0 && len(events) > limit {
		events = events[len(events)-limit:]
	}
	return events, t.overwritten
}

// logFields returns the fields of e that are set as keys and values of a log line.
func logFields(e event.Event) []any {
	fields := []any{"event", int(e.Code), "name", e.Name, "hlc", e.HLC, "host", e.Host, "zone", e.Zone}
	for _, f := range []struct{ key, value string }{
		{"service", e.Service}, {"server", e.Server}, {"slice", e.Slice},
		{"generation", formatNonZero(e.Generation)}, {"term", formatNonZero(e.Term)}, {"sub_term", formatNonZero(e.SubTerm)},
		{"offset", formatNonZero(e.Offset)}, {"request_id", e.RequestID}, {"key_hash", e.KeyHash},
		{"peer", e.Peer}, {"detail", e.Detail},
	} {
		if f.value != "" {
			fields = append(fields, f.key, f.value)
		}
	}
	return fields
}

// formatNonZero returns n in decimal, or "" for 0.
func formatNonZero(n uint64) string {
	if n == 0 {
		return ""
	}
	return strconv.FormatUint(n, 10)
}
