package ownership

import (
	"time"

	"parsleyrelay.example/core/state"
)

const (
	// subTermHostBits is the width of the low part of a sub-term, which holds the
	// offset at which its daemon joined, so that two daemons never use the same
	// sub-term. At several hundred appends per second, offsets fit for decades.
	subTermHostBits = 40
	// provisionalBackoff is the delay before another attempt after the server
	// accepted a different daemon.
	provisionalBackoff = 2 * time.Second
)

// startProvisionalHome makes this daemon a provisional home of a server that checks
// grants, while the log is unreachable and the assigned home is suspected. The
// server accepts only the highest sub-term.
func (m *Machine) startProvisionalHome(name string, assigned state.Home) {
	spec, _ := m.state.Server(name)
	if !spec.ChecksGrants || spec.Gone || assigned.Term == 0 {
		return
	}
	if m.isServedByPeer(name) {
		return
	}
	if h := m.localHomes[name]; h != nil {
		if !h.relinquished || m.now-h.relinquishedAt < provisionalBackoff {
			return
		}
		m.endHome(h)
	}
	member, ok := m.state.Member(m.cfg.Incarnation)
	if !ok {
		return
	}
	round := m.highestSubTerms[name]>>subTermHostBits + 1
	m.startHome(name, spec, assigned, round<<subTermHostBits|member.JoinedAt&(1<<subTermHostBits-1))
}

// isServedByPeer reports whether a peer has recently reported the server as
// responsive. Without this check, two daemons that have each been displaced once would
// take the server from each other every provisionalBackoff.
func (m *Machine) isServedByPeer(name string) bool {
	report, ok := m.serverLoads[name]
	if !ok || report.measuredAt <= m.noHomeSince[name] || m.now-report.measuredAt > 2*SuspicionTimeout {
		return false
	}
	h := m.localHomes[name]
	return h == nil || (h.relinquished && report.measuredAt > h.relinquishedAt)
}

// endIdleProvisionalHome ends a provisional home that is not serving once the
// assigned home is alive again.
func (m *Machine) endIdleProvisionalHome(name string) {
	if h := m.localHomes[name]; h != nil && h.provisional && (!h.active || h.relinquished) {
		m.endHome(h)
	}
}
