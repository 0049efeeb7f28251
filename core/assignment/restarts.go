package assignment

import "time"

// Restart is the start of a newer incarnation of a server at the server's address.
type Restart struct {
	Service    string
	Server     ServerIncarnation // the newer incarnation
	FormerBorn int64
	Ranges     int // ranges that the server keeps or is to release
}

// maxRestarts limits the restarts that are kept for TakeRestarts.
const maxRestarts = 4096

// recordRestarts names the newer incarnation of each server that has started again at
// its address. Its ranges stay with it, because calls for the former incarnation may
// have reached it and no other server can hold them. The new incarnation has seen no
// fence, so it gets a grant at once, and a former leader that may still grant counts
// again.
func (l *Leader) recordRestarts(now time.Duration) {
	rangeCounts := map[Restart]int{}
	for _, t := range l.trackedRanges {
		if t.callOpen {
			continue // the result of the call may be that of the former incarnation
		}
		owner, ownerRestarted := l.newerIncarnation(t.service, t.owner)
		holder, holderRestarted := l.newerIncarnation(t.service, t.previousHolder)
		if !ownerRestarted && !holderRestarted {
			continue
		}
		r := l.ensureDraft().FindRange(t.service, t.from)
		if ownerRestarted {
			rangeCounts[Restart{Service: t.service, Server: owner, FormerBorn: t.owner.Born}]++
		}
		if holderRestarted {
			rangeCounts[Restart{Service: t.service, Server: holder, FormerBorn: t.previousHolder.Born}]++
		}
		r.Owner, r.PreviousHolder = owner, holder
		t.owner, t.previousHolder = owner, holder
		if holderRestarted || t.stage != stageReleasing {
			t.fenceConfirmed, t.nextCallAt = false, now
			t.formerGrantExpiry = max(t.formerGrantExpiry, l.formerGrantExpiry)
		}
	}
	for restart, ranges := range rangeCounts {
		restart.Ranges = ranges
		if len(l.restarts) < maxRestarts {
			l.restarts = append(l.restarts, restart)
		}
	}
}

// newerIncarnation returns the listed incarnation of a server at its address if it is
// newer, and otherwise the given one.
func (l *Leader) newerIncarnation(service string, incarnation ServerIncarnation) (ServerIncarnation, bool) {
	s, ok := l.servers[service][incarnation.ID]
	if !ok || s.Address != incarnation.Address || s.Born <= incarnation.Born {
		return incarnation, false
	}
	return IncarnationOf(s), true
}

// TakeRestarts returns the restarts that were recorded since the last call, without
// order. They are meant for log lines.
func (l *Leader) TakeRestarts() []Restart {
	restarts := l.restarts
	l.restarts = nil
	return restarts
}
