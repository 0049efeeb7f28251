package ownership

import (
	"fmt"
	"slices"
	"time"

	"parsleyrelay.example/core/event"
	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/state"
)

const (
	// handoverTimeout is how long a handover waits for requests in flight and
	// transfers of ids, within the 30 s that a drain may take.
	handoverTimeout = 10 * time.Second
	// leaveTimeout is how long a daemon that left goes on as a witness if no
	// new set replaces it.
	leaveTimeout = 6 * time.Second
	// noHeirTimeout is how long a draining daemon waits for a peer that can take
	// its homes. Without it the last host of a zone would use up the whole bound
	// of the drain, although nobody can come.
	noHeirTimeout = 2 * time.Second
)

// handover is the preparation of giving a home to a peer.
type handover struct {
	to      string // incarnation
	since   time.Duration
	pending map[SliceRef]bool // not quiesced or not transferred
}

func (m *Machine) drainRequested() {
	if m.draining {
		return
	}
	m.draining = true
	m.viewDirty.all = true
	m.report(event.Event{Code: event.ProcessDraining, Offset: m.st.Applied()})
}

// drain hands the homes over, then leaves the members and ends when no witness
// set needs this daemon any more.
func (m *Machine) drain() {
	if !m.draining || m.drained {
		return
	}
	for _, name := range sortedKeys(m.local) {
		m.handOver(m.local[name])
	}
	if len(m.local) > 0 {
		m.endWithoutHeir()
		return
	}
	if member, ok := m.st.Member(m.cfg.Incarnation); ok {
		key := fmt.Sprintf("leave:%d", member.JoinedAt)
		m.propose(key, record.HostLeft{Incarnation: m.cfg.Incarnation, Reason: record.LeaveDrained})
		return
	}
	if m.leftAt == 0 {
		m.leftAt = m.now
	}
	if !m.isWitness() || m.now-m.leftAt > leaveTimeout {
		m.drained = true
		m.emit(DrainCompleted{})
	}
}

// endWithoutHeir ends the drain when no peer can take the remaining homes.
// Peers that join later take over as after a loss.
func (m *Machine) endWithoutHeir() {
	for _, name := range sortedKeys(m.local) {
		if m.heir(m.local[name]) != "" {
			m.noHeirSince = 0
			return
		}
	}
	if m.noHeirSince == 0 {
		m.noHeirSince = m.now
	}
	if m.now-m.noHeirSince >= noHeirTimeout {
		m.drained = true
		m.emit(DrainCompleted{})
	}
}

func (m *Machine) isWitness() bool {
	for _, scope := range []string{m.zoneScope(), state.ScopeAll} {
		set := m.st.Witnesses(scope)
		if slices.Contains(set.Current, m.cfg.Incarnation) || slices.Contains(set.Pending, m.cfg.Incarnation) {
			return true
		}
	}
	return false
}

func (m *Machine) handOver(h *home) {
	if h.provisional {
		m.closeHome(h)
		return
	}
	if !m.logReachable || len(h.moves) > 0 {
		return
	}
	if h.handover == nil {
		m.startHandover(h)
		return
	}
	if len(h.handover.pending) > 0 && m.now-h.handover.since < handoverTimeout {
		return
	}
	m.finishHandover(h)
}

// startHandover stops the dispatch of all slices of a server.
func (m *Machine) startHandover(h *home) {
	to := m.heir(h)
	if to == "" {
		return // nobody can take it; peers take over when this daemon is gone
	}
	h.handover = &handover{to: to, since: m.now, pending: map[SliceRef]bool{}}
	m.report(event.Event{Code: event.HandoverStarted, Service: h.spec.Service, Server: h.name, Term: h.assigned.Term, Peer: to})
	for _, first := range sortedKeys(h.slices) {
		if s := h.slices[first]; s.served && !s.released {
			s.quiescing = true
			h.handover.pending[s.held] = true
			m.emit(QuiesceSlice{Server: h.name, Slice: s.held})
		}
	}
	h.servingDirty = true
	m.dirty[h.name] = struct{}{}
}

// heir returns the peer that should become the next home.
func (m *Machine) heir(h *home) string {
	var names []string
	for _, member := range m.homeCandidates(h.scope) {
		if member.Incarnation != m.cfg.Incarnation && !m.suspected(member.Incarnation) {
			names = append(names, member.Incarnation)
		}
	}
	if len(names) == 0 {
		return ""
	}
	return rendezvousOrder("home/"+h.name, names)[0]
}

func (m *Machine) handoverQuiesced(h *home, slice SliceRef) {
	if !h.handover.pending[slice] {
		return
	}
	m.emit(TransferIDs{
		Service: h.spec.Service, Server: h.name, TargetServer: h.name, Slice: slice, Term: h.assigned.Term,
		TargetIncarnation: h.handover.to, TargetPeerURL: m.known[h.handover.to].PeerURL,
	})
}

func (m *Machine) handoverTransferred(h *home, slice SliceRef) {
	delete(h.handover.pending, slice)
	if len(h.handover.pending) == 0 && m.logReachable {
		m.finishHandover(h)
	}
}

// finishHandover gives the rights up and proposes the next home. A home that is
// not open yet must not vouch for its predecessors: its record comes without
// the handover flag, so that the next home waits.
func (m *Machine) finishHandover(h *home) {
	if !h.stopped {
		m.stopHome(h)
	}
	key := fmt.Sprintf("handover:%s:%d", h.name, h.assigned.Term)
	if !m.proposing(key) {
		h.handover.to = m.heir(h)
	}
	if h.handover.to == "" {
		return
	}
	m.propose(key, record.HomeAssigned{
		Server: h.name, PreviousTerm: h.assigned.Term, Home: h.handover.to, Handover: h.open || m.rules.skip(RuleNoTransferBeforeEffective),
	})
}
