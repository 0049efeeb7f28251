package ownership

import (
	"time"

	"parsleyrelay.example/core/event"
)

// serverRetryInterval is the delay before a server that did not respond is called
// again.
const serverRetryInterval = 100 * time.Millisecond

// firstResponseTimeout replaces SuspicionTimeout for a server that has never
// responded to this home. When a home and its server fail together, the two
// timeouts add up and must leave time for the expiry wait within the recovery bound
// of 4 s. It allows for one call that times out.
const firstResponseTimeout = callTimeout + serverRetryInterval

// serverCall is a SendGrant or SendProbe in flight.
type serverCall struct {
	seq              uint64
	sentAt           time.Duration
	withoutGrant     bool // a probe, or a SendGrant without a token that only announces the term
	setVersion       uint64
	ttl              time.Duration
	tokenRequestedAt time.Duration
}

// updateChangedHomes updates the local homes that this step has changed.
func (m *Machine) updateChangedHomes() {
	for len(m.changedHomes) > 0 {
		names := sortedKeys(m.changedHomes)
		clear(m.changedHomes)
		for _, name := range names {
			if h := m.localHomes[name]; h != nil {
				m.updateHome(h)
			}
		}
	}
}

// updateHome takes the next steps of a local home that are possible now.
func (m *Machine) updateHome(h *localHome) {
	m.tryActivate(h)
	if h.ineffectiveSlices > 0 {
		table := m.state.SliceTable(h.spec.Service)
		for first, s := range h.slices {
			if !s.effective {
				m.updateSliceEffective(h, s, table.Lookup(first))
			}
		}
	}
	m.collectGenerationRenewals(h)
	m.updateResponsiveness(h)
	m.moveSlicesAway(h)
	m.callServer(h)
	m.refreshServingSet(h)
}

// callServer sends the next grant or probe when one is due. A SendGrant without a
// token announces the term and asks for a token and for the slices that the server
// holds.
func (m *Machine) callServer(h *localHome) {
	until, leased := m.prefixLease(h.scope)
	if !leased || h.relinquished || h.spec.Gone {
		return
	}
	if call := h.inFlight; call != nil {
		if m.now-call.sentAt < callTimeout {
			return
		}
		h.inFlight = nil
	}
	grant := m.mayGrant(h)
	if m.now < h.nextCallAt && !(grant && h.grantedSetChanged) {
		return
	}
	m.lastGrantSeq++
	h.nextCallAt = m.now + grantInterval
	call := &serverCall{seq: m.lastGrantSeq, sentAt: m.now, withoutGrant: !grant}
	h.inFlight = call
	switch {
	case !h.spec.ChecksGrants:
		m.addEffect(SendProbe{Server: h.server, Address: h.spec.Address, Seq: m.lastGrantSeq})
	case grant:
		m.sendGrant(h, call, until)
	default:
		m.addEffect(SendGrant{
			Server: h.server, Address: h.spec.Address, Service: h.spec.Service, Seq: m.lastGrantSeq,
			Term: h.assignment.Term, SubTerm: h.subTerm,
		})
	}
}

// mayGrant reports whether the home may send a grant with slices now, provided that
// the daemon has a prefix lease.
func (m *Machine) mayGrant(h *localHome) bool {
	return h.spec.ChecksGrants && h.active && h.token != "" && m.now >= h.noGrantsUntil
}

// sendGrant sends a grant that ends at until at the latest. It includes the slices
// only if the server has not confirmed this version of the set.
func (m *Machine) sendGrant(h *localHome, call *serverCall, until time.Duration) {
	if h.grantedSetChanged {
		h.grantedSetVersion++
		h.grantedSetChanged = false
	}
	var set []SliceRef
	for _, first := range sortedKeys(h.slices) {
		if s := h.slices[first]; m.isGranted(h, s) {
			set = append(set, s.ref)
			if s.firstSetVersion == 0 {
				s.firstSetVersion = h.grantedSetVersion
			}
		}
	}
	call.setVersion = h.grantedSetVersion
	call.tokenRequestedAt = h.tokenRequestedAt
	call.ttl = min(LeaseDuration, until-m.now)
	if m.disabledRules.has(RuleGrantEnd) {
		call.ttl = LeaseDuration
	}
	effect := SendGrant{
		Server: h.server, Address: h.spec.Address, Service: h.spec.Service, Seq: call.seq,
		Term: h.assignment.Term, SubTerm: h.subTerm, Token: h.token, TTL: call.ttl,
		SetVersion: h.grantedSetVersion, HasSlices: h.confirmedSetVersion != h.grantedSetVersion,
	}
	if effect.HasSlices {
		effect.Slices = set
	}
	m.addEffect(effect)
}

// isGranted reports whether a slice belongs to the set that is granted to the
// server.
func (m *Machine) isGranted(h *localHome, s *localSlice) bool {
	if !s.effective || s.withheld {
		return false
	}
	return !h.provisional || h.reportedHeld[s.ref] || m.disabledRules.has(RuleProvisionalHeldSlicesOnly)
}

func (m *Machine) handleGrantFailed(in GrantFailed) {
	if h := m.localHomes[in.Server]; h != nil && h.inFlight != nil && h.inFlight.seq == in.Seq {
		h.inFlight = nil
		h.nextCallAt = m.now + serverRetryInterval
	}
}

func (m *Machine) handleGrantResponse(in GrantResponse) {
	h := m.localHomes[in.Server]
	if h == nil || h.inFlight == nil || h.inFlight.seq != in.Seq {
		return
	}
	call := h.inFlight
	h.inFlight = nil
	h.silentSince = m.now
	h.serverDraining = in.Draining
	m.changedHomes[h.server] = struct{}{}
	if h.responses++; h.unresponsive {
		h.unresponsive = false
		m.viewChanges.markServer(h.server)
		m.emitEvent(event.Event{Code: event.ServerResponsive, Server: h.server})
	}
	if !h.spec.ChecksGrants {
		return
	}
	if in.Term == h.assignment.Term {
		m.highestSubTerms[h.server] = max(m.highestSubTerms[h.server], in.SubTerm)
	}
	if in.Term > h.assignment.Term || (in.Term == h.assignment.Term && in.SubTerm > h.subTerm) {
		m.relinquishHome(h)
		m.emitEvent(event.Event{Code: event.GrantRefused, Server: h.server, Term: in.Term, SubTerm: in.SubTerm})
		return
	}
	if h.instance != "" && in.Instance != h.instance {
		m.handleNewInstance(h)
	}
	h.instance, h.token, h.tokenRequestedAt = in.Instance, in.Token, call.sentAt
	switch {
	case call.withoutGrant:
		m.handleHeldSlices(h, in)
	case m.now < h.noGrantsUntil:
		// A new instance responded to a grant with the token of its predecessor.
	case in.Accepted && in.SetVersion == call.setVersion:
		h.confirmedSetVersion = call.setVersion
		// The TTL counts from the issue of the token, which is later than
		// tokenRequestedAt, so the server's grant ends no earlier than grantUntil.
		h.grantUntil = call.tokenRequestedAt + call.ttl
		h.servingSetStale = true
		m.viewChanges.markServer(h.server)
		if h.grantUntil < m.now+grantInterval {
			// Little of the lease is left, so the grant must be renewed early.
			h.nextCallAt = call.sentAt + serverRetryInterval
		}
	default:
		h.confirmedSetVersion = 0
		h.nextCallAt = m.now + serverRetryInterval
	}
}

// relinquishHome permanently stops acting as home under the current term.
func (m *Machine) relinquishHome(h *localHome) {
	h.relinquished, h.relinquishedAt = true, m.now
	h.grantUntil = 0
	h.servingSetStale = true
	m.changedHomes[h.server] = struct{}{}
	m.viewChanges.markServer(h.server)
}

// handleNewInstance handles a restarted or replaced server. The new instance holds
// no slices and gets no grants until those of its predecessor have expired. The
// wait starts with the first response of the new instance and not with this home's
// last grant, since a provisional home may have sent later grants to the
// predecessor.
func (m *Machine) handleNewInstance(h *localHome) {
	m.emitEvent(event.Event{Code: event.ServerNewInstance, Service: h.spec.Service, Server: h.server, Term: h.assignment.Term})
	h.confirmedSetVersion, h.grantUntil = 0, 0
	h.reportedHeld, h.reportedReleased = map[SliceRef]bool{}, map[SliceRef]bool{}
	h.grantedSetChanged, h.servingSetStale = true, true
	if !m.disabledRules.has(RuleInstanceWait) {
		h.noGrantsUntil = m.now + expiryWait
	}
	m.viewChanges.markServer(h.server)
}

// handleHeldSlices handles the response to a SendGrant without a token, which lists
// the slices that the server holds and has released.
func (m *Machine) handleHeldSlices(h *localHome, in GrantResponse) {
	h.reportedHeld, h.reportedReleased = map[SliceRef]bool{}, map[SliceRef]bool{}
	for _, ref := range in.Held {
		h.reportedHeld[ref] = true
	}
	for _, ref := range in.Released {
		h.reportedReleased[ref] = true
	}
	if len(h.reportedReleased) > 0 {
		for _, s := range h.slices {
			m.withholdIfReleased(h, s)
		}
	}
	if !h.active {
		m.tryActivateWithoutWait(h, in)
	}
	if h.active {
		h.nextCallAt = min(h.nextCallAt, max(m.now, h.noGrantsUntil))
	}
}

// wasReleasedEarlier reports whether the server has released any part of a slice
// under its current generation.
func (m *Machine) wasReleasedEarlier(h *localHome, ref SliceRef) bool {
	if m.disabledRules.has(RuleNoRegrant) {
		return false
	}
	for other := range h.reportedReleased {
		if other.Generation == ref.Generation && other.Range.Overlaps(ref.Range) {
			return true
		}
	}
	return false
}

// tryActivateWithoutWait activates a home without the expiry wait if the response
// of the server proves that no earlier home can act: its last grant came from the
// directly preceding term (for a provisional home: from the term that it
// continues). Having accepted this term, the server rejects every earlier home, and
// no other instance can have a later grant.
func (m *Machine) tryActivateWithoutWait(h *localHome, in GrantResponse) {
	if in.Term != h.assignment.Term || in.SubTerm != h.subTerm {
		return // the server did not accept this term
	}
	if h.provisional {
		h.grantedSetChanged = true
		if in.PreviousTerm == h.assignment.Term && len(h.reportedHeld) > 0 {
			m.activateHome(h)
		}
		return
	}
	if in.PreviousTerm == h.assignment.PreviousTerm || m.disabledRules.has(RuleShortcutTerm) {
		m.activateHome(h)
	}
}

// collectGenerationRenewals collects the slices that need a move to the same server,
// which gives them a new generation, because the server released them under an
// earlier home.
func (m *Machine) collectGenerationRenewals(h *localHome) {
	if len(h.reportedReleased) == 0 || !h.active || h.relinquished || h.provisional || !m.logReachable {
		return
	}
	h.needNewGeneration = nil
	for _, first := range sortedKeys(h.slices) {
		if s := h.slices[first]; s.withheld && h.moves[s.ref] == nil && m.batchKeyBySlice[s.ref] == "" && m.wasReleasedEarlier(h, s.ref) {
			h.needNewGeneration = append(h.needNewGeneration, s.ref)
		}
	}
}

// updateResponsiveness marks a server that has not responded in time as
// unresponsive.
func (m *Machine) updateResponsiveness(h *localHome) {
	timeout := SuspicionTimeout
	if h.responses == 0 {
		timeout = firstResponseTimeout
	}
	if h.unresponsive || m.now-h.silentSince <= timeout {
		return
	}
	if _, leased := m.prefixLease(h.scope); !leased {
		h.silentSince = m.now // without a lease, the server is not called
		return
	}
	h.unresponsive = true
	m.viewChanges.markServer(h.server)
	m.emitEvent(event.Event{Code: event.ServerUnresponsive, Service: h.spec.Service, Server: h.server, Term: h.assignment.Term})
}

// refreshServingSet rebuilds the set of slices whose requests may be dispatched.
func (m *Machine) refreshServingSet(h *localHome) {
	if !h.servingSetStale {
		return
	}
	h.servingSetStale = false
	m.viewChanges.markServer(h.server)
	serving := map[SliceRef]Activation{}
	if h.active && !h.relinquished {
		for _, first := range sortedKeys(h.slices) {
			if s := h.slices[first]; m.isDispatchable(h, s) {
				serving[s.ref] = m.ensureActivation(h, s)
			}
		}
	}
	if len(serving) == 0 {
		h.servingSet = nil
		return
	}
	h.servingSet = NewServingSet(serving)
}

// isDispatchable reports whether requests of a slice may be dispatched while the
// grant lasts: a server that checks grants must have confirmed a set with it.
func (m *Machine) isDispatchable(h *localHome, s *localSlice) bool {
	if !m.isGranted(h, s) || s.quiescing {
		return false
	}
	return !h.spec.ChecksGrants || (s.firstSetVersion != 0 && s.firstSetVersion <= h.confirmedSetVersion)
}

// ensureActivation returns the activation of a slice. It sets the activation when the
// slice is first served under this home.
func (m *Machine) ensureActivation(h *localHome, s *localSlice) Activation {
	if s.wasServed {
		return s.activation
	}
	s.wasServed = true
	slice := m.state.SliceTable(h.spec.Service).Lookup(s.ref.Range.First)
	switch {
	case s.activation.Since != 0: // taken over from an earlier generation at the same home
	case slice.Former == "" && h.assignment.PreviousTerm == 0 && !h.provisional:
		s.activation = Activation{Since: m.now, FirstOwner: true}
	case slice.Former != "" && slice.Former != h.server && slice.Released && slice.Generation > h.assignment.Term:
		s.activation = Activation{Since: m.now, IDWindow: s.idWindow}
	case h.assignment.Handover && slice.Generation < h.assignment.Term:
		s.activation = Activation{
			Since:    m.now,
			IDWindow: IDWindowKey{Server: h.server, Term: h.assignment.PreviousTerm, Generation: s.ref.Generation},
		}
	default:
		s.activation = Activation{Since: m.now}
	}
	m.emitEvent(event.Event{
		Code: event.SliceServing, Service: h.spec.Service, Server: h.server, Slice: s.ref.Range.String(),
		Generation: s.ref.Generation, Term: h.assignment.Term, SubTerm: h.subTerm,
	})
	return s.activation
}
