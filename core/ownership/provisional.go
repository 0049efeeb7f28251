package ownership

import (
	"time"

	"parsleyrelay.example/core/state"
)

const (
	// subTermHostBits is the width of the part of a sub-term that names its
	// proposer, so that two daemons never use the same one. Offsets stay below
	// it for decades at several hundred appends per second.
	subTermHostBits = 40
	// provisionalBackoff separates attempts after another daemon won.
	provisionalBackoff = 2 * time.Second
)

// tryProvisional continues a live checking server while the log is unreachable
// and its home is suspected. The server arbitrates by sub-term.
func (m *Machine) tryProvisional(name string, assigned state.Home) {
	spec, _ := m.st.Server(name)
	if !spec.ChecksGrants || spec.Gone || assigned.Term == 0 {
		return
	}
	if m.servedByPeer(name) {
		return
	}
	if h := m.local[name]; h != nil {
		if !h.stopped || m.now-h.stoppedAt < provisionalBackoff {
			return
		}
		m.closeHome(h)
	}
	member, ok := m.st.Member(m.cfg.Incarnation)
	if !ok {
		return
	}
	round := m.subTerms[name]>>subTermHostBits + 1
	m.openHome(name, spec, assigned, round<<subTermHostBits|member.JoinedAt&(1<<subTermHostBits-1))
}

// servedByPeer reports whether a peer has lately reported the server as
// responsive. Without this, two daemons that were each displaced once took the
// server from one another every provisionalBackoff.
func (m *Machine) servedByPeer(name string) bool {
	info, ok := m.loads[name]
	if !ok || info.at <= m.homeless[name] || m.now-info.at > 2*SuspicionTimeout {
		return false
	}
	h := m.local[name]
	return h == nil || (h.stopped && info.at > h.stoppedAt)
}

// endProvisional closes a provisional home that never took effect once the
// server's home is heard again.
func (m *Machine) endProvisional(name string) {
	if h := m.local[name]; h != nil && h.provisional && (!h.open || h.stopped) {
		m.closeHome(h)
	}
}
