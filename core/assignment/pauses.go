package assignment

import (
	"cmp"
	"slices"
	"time"

	"parsleyrelay.example/core/directory"
)

// This file moves keys away from servers that want no requests from hosts for a while.

const (
	// maxPausedTime is the time for which a server's keys may be unserved because of its
	// pauses, as a mean over the hosts. Most callers can return within a shorter pause, and
	// a move would take keys away from their server for nothing.
	maxPausedTime = 500 * time.Millisecond
	// severalHosts is the number of hosts from which a pause is taken for one of all hosts.
	severalHosts = 8
	// maxEmptiedShare is the share of a service's servers that are emptied at a time for
	// their pauses, but at least one. When more of them pause, the service is overloaded,
	// and the others have no room for these keys.
	maxEmptiedShare = 0.25
)

// SetPauses sets the pauses that servers asked of the hosts, by server ID.
func (l *Leader) SetPauses(pauses map[string]directory.Pause) { l.pauses = pauses }

// EmptiedServers returns the servers whose keys are moved away because of their pauses. The
// map must not be changed.
func (l *Leader) EmptiedServers() map[ServerIncarnation]bool { return l.emptiedServers }

// updateEmptiedServers selects the servers to empty. A server stays selected until its
// pauses have ended, so that its keys are not moved back and away again.
func (l *Leader) updateEmptiedServers() {
	emptied := map[ServerIncarnation]bool{}
	for service, servers := range l.servers {
		var candidates []directory.Server
		room := max(1, int(maxEmptiedShare*float64(len(servers))))
		for _, s := range servers {
			switch {
			case s.Draining || s.Evacuated || l.pauses[s.ID].Hosts == 0:
			case l.emptiedServers[IncarnationOf(s)]:
				emptied[IncarnationOf(s)] = true
				room--
			case l.pausedTime(s.ID) >= maxPausedTime:
				candidates = append(candidates, s)
			}
		}
		slices.SortFunc(candidates, func(a, b directory.Server) int {
			return cmp.Or(cmp.Compare(l.pausedTime(b.ID), l.pausedTime(a.ID)), cmp.Compare(a.ID, b.ID))
		})
		for _, s := range candidates[:min(len(candidates), max(0, room))] {
			if len(l.assignableServers(service)) > 1 {
				emptied[IncarnationOf(s)] = true
			}
		}
	}
	l.emptiedServers = emptied
}

// pausedTime returns the time for which a server's keys will be unserved because of its
// pauses, as a mean over the hosts. If it asked several hosts, the others count as well:
// those that have sent it nothing meanwhile have not been asked yet.
func (l *Leader) pausedTime(server string) time.Duration {
	p := l.pauses[server]
	hosts := max(1, l.hostCount, p.Hosts)
	if p.Hosts >= severalHosts {
		hosts = p.Hosts
	}
	return p.Longest * time.Duration(p.Hosts) / time.Duration(hosts)
}
