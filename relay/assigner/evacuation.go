package assigner

import (
	"time"

	"parsleyrelay.example/core/event"
)

// evacuationLogInterval separates the log lines about an evacuation that goes on.
const evacuationLogInterval = time.Second

// evacuationProgress is what was logged of the evacuation of a service's key ranges.
type evacuationProgress struct {
	begunAt, loggedAt time.Duration
	ranges            int
}

// EvacuatedRanges returns the number of key ranges by service that this host, which leads,
// has still to move from evacuated servers. The map must not be changed.
func (a *Assigner) EvacuatedRanges() map[string]int {
	if counts := a.evacuatedRanges.Load(); counts != nil && a.leading.Load() {
		return *counts
	}
	return nil
}

// publishEvacuatedRanges makes the leader's counts available and logs how they change.
func (a *Assigner) publishEvacuatedRanges(now time.Duration) {
	var counts map[string]int
	if a.leader != nil {
		counts = a.leader.EvacuatedRanges()
	}
	a.evacuatedRanges.Store(&counts)
	for service, n := range counts {
		p, begun := a.evacuations[service]
		if !begun {
			p = evacuationProgress{begunAt: now}
		}
		if n == 0 && !begun || begun && (n == p.ranges || n > 0 && now-p.loggedAt < evacuationLogInterval) {
			continue
		}
		p.ranges, p.loggedAt = n, now
		a.options.Journal.LogEvent(event.EvacuationProgress, "service", service, "ranges", n, "ms", (now - p.begunAt).Milliseconds())
		if n == 0 {
			delete(a.evacuations, service)
			continue
		}
		a.evacuations[service] = p
	}
	if len(counts) == 0 {
		clear(a.evacuations) // another host leads, or leads again later
	}
}
