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
	// transfers of ids, within the bound of 30 s for a drain.
	handoverTimeout = 10 * time.Second
	// departedWitnessTimeout is how long a daemon that left the members stays a
	// witness if no new set replaces it.
	departedWitnessTimeout = 6 * time.Second
	// noSuccessorTimeout is how long a draining daemon waits for a peer that can take
	// its homes. Without it, the drain of the last host of a zone would last until
	// its bound although there is no such peer.
	noSuccessorTimeout = 2 * time.Second
)

// handover is the transfer of a home to a peer during a drain.
type handover struct {
	successor     string // incarnation
	startedAt     time.Duration
	pendingSlices map[SliceRef]bool // not quiesced yet, or ids not transferred yet
}

func (m *Machine) handleDrainRequested() {
	if m.draining {
		return
	}
	m.draining = true
	m.viewChanges.scalars = true
	m.emitEvent(event.Event{Code: event.ProcessDraining, Offset: m.state.AppliedOffset()})
}

// advanceDrain hands over the homes, then leaves the members and ends the drain once
// no witness set includes this daemon.
func (m *Machine) advanceDrain() {
	if !m.draining || m.drained {
		return
	}
	for _, name := range sortedKeys(m.localHomes) {
		m.advanceHandover(m.localHomes[name])
	}
	if len(m.localHomes) > 0 {
		m.endDrainWithoutSuccessor()
		return
	}
	if member, ok := m.state.Member(m.cfg.Incarnation); ok {
		key := fmt.Sprintf("leave:%d", member.JoinedAt)
		m.propose(key, record.HostLeft{Incarnation: m.cfg.Incarnation, Reason: record.LeaveDrained})
		return
	}
	if m.leftMembersAt == 0 {
		m.leftMembersAt = m.now
	}
	if !m.isWitness() || m.now-m.leftMembersAt > departedWitnessTimeout {
		m.drained = true
		m.addEffect(DrainCompleted{})
	}
}

// endDrainWithoutSuccessor ends the drain if no peer can take the remaining homes.
// Peers that join later take them over as after a failure.
func (m *Machine) endDrainWithoutSuccessor() {
	for _, name := range sortedKeys(m.localHomes) {
		if m.chooseSuccessor(m.localHomes[name]) != "" {
			m.noSuccessorSince = 0
			return
		}
	}
	if m.noSuccessorSince == 0 {
		m.noSuccessorSince = m.now
	}
	if m.now-m.noSuccessorSince >= noSuccessorTimeout {
		m.drained = true
		m.addEffect(DrainCompleted{})
	}
}

func (m *Machine) isWitness() bool {
	for _, scope := range []string{m.ownZoneScope(), state.WitnessScopeAll} {
		set := m.state.WitnessSetOf(scope)
		if slices.Contains(set.Current, m.cfg.Incarnation) || slices.Contains(set.Pending, m.cfg.Incarnation) {
			return true
		}
	}
	return false
}

// advanceHandover takes the next step in handing over a home. A provisional home is
// simply ended.
func (m *Machine) advanceHandover(h *localHome) {
	if h.provisional {
		m.endHome(h)
		return
	}
	if !m.logReachable || len(h.moves) > 0 {
		return
	}
	if h.handover == nil {
		m.startHandover(h)
		return
	}
	if len(h.handover.pendingSlices) > 0 && m.now-h.handover.startedAt < handoverTimeout {
		return
	}
	m.proposeHandover(h)
}

// startHandover quiesces all served slices of a home.
func (m *Machine) startHandover(h *localHome) {
	successor := m.chooseSuccessor(h)
	if successor == "" {
		return // no peer can take it; one that joins later takes over once this daemon is gone
	}
	h.handover = &handover{successor: successor, startedAt: m.now, pendingSlices: map[SliceRef]bool{}}
	m.emitEvent(event.Event{Code: event.HandoverStarted, Service: h.spec.Service, Server: h.server, Term: h.assignment.Term, Peer: successor})
	for _, first := range sortedKeys(h.slices) {
		if s := h.slices[first]; s.wasServed && !s.withheld {
			s.quiescing = true
			h.handover.pendingSlices[s.ref] = true
			m.addEffect(QuiesceSlice{Server: h.server, Slice: s.ref})
		}
	}
	h.servingSetStale = true
	m.changedHomes[h.server] = struct{}{}
}

// chooseSuccessor returns the incarnation of the peer that should become the next
// home, "" for none.
func (m *Machine) chooseSuccessor(h *localHome) string {
	var incarnations []string
	for _, member := range m.homeCandidates(h.scope) {
		if member.Incarnation != m.cfg.Incarnation && !m.isSuspected(member.Incarnation) {
			incarnations = append(incarnations, member.Incarnation)
		}
	}
	if len(incarnations) == 0 {
		return ""
	}
	return rendezvousOrder("home/"+h.server, incarnations)[0]
}

func (m *Machine) transferHandoverIDs(h *localHome, slice SliceRef) {
	if !h.handover.pendingSlices[slice] {
		return
	}
	m.addEffect(TransferIDs{
		Service: h.spec.Service, Server: h.server, TargetServer: h.server, Slice: slice, Term: h.assignment.Term,
		TargetIncarnation: h.handover.successor, TargetPeerURL: m.knownMembers[h.handover.successor].PeerURL,
	})
}

func (m *Machine) handleHandoverIDsTransferred(h *localHome, slice SliceRef) {
	delete(h.handover.pendingSlices, slice)
	if len(h.handover.pendingSlices) == 0 && m.logReachable {
		m.proposeHandover(h)
	}
}

// proposeHandover relinquishes a home and proposes the next one. The handover flag of
// the record spares the next home of a server that does not check grants the expiry
// wait; for other servers, tryActivateWithoutWait decides. A home that is not active
// yet must not set the flag (RuleNoTransferBeforeEffective), since an earlier home may
// still act.
func (m *Machine) proposeHandover(h *localHome) {
	if !h.relinquished {
		m.relinquishHome(h)
	}
	key := fmt.Sprintf("handover:%s:%d", h.server, h.assignment.Term)
	if !m.isProposing(key) {
		h.handover.successor = m.chooseSuccessor(h)
	}
	if h.handover.successor == "" {
		return
	}
	m.propose(key, record.HomeAssigned{
		Server: h.server, PreviousTerm: h.assignment.Term, HomeIncarnation: h.handover.successor, Handover: h.active || m.disabledRules.has(RuleNoTransferBeforeEffective),
	})
}
