package ownership

import (
	"time"

	"parsleyrelay.example/core/event"
)

// retryInterval separates attempts to reach a server that did not respond.
const retryInterval = 100 * time.Millisecond

// firstContactTime replaces SuspicionTimeout for a server that has never responded
// to this home: after the loss of a home and its server together, the two
// suspicions add up and must leave time for the wait within the 4 s bound. It
// lets one call time out.
const firstContactTime = callTimeout + retryInterval

// exchange is a SendGrant or Probe without a response so far.
type exchange struct {
	seq       uint64
	sentAt    time.Duration
	probe     bool // changes nothing but the accepted term
	version   uint64
	ttl       time.Duration
	tokenFrom time.Duration
}

// serveDirty advances every local server that something happened to.
func (m *Machine) serveDirty() {
	for len(m.dirty) > 0 {
		names := sortedKeys(m.dirty)
		clear(m.dirty)
		for _, name := range names {
			if h := m.local[name]; h != nil {
				m.serve(h)
			}
		}
	}
}

func (m *Machine) serve(h *home) {
	m.tryOpen(h)
	if h.waiting > 0 {
		table := m.st.Table(h.spec.Service)
		for first, s := range h.slices {
			if !s.effective {
				m.checkEffective(h, s, table.Lookup(first))
			}
		}
	}
	m.reassignReleased(h)
	m.noteResponsiveness(h)
	m.moveOff(h)
	m.contact(h)
	m.refreshServing(h)
}

// contact sends the next grant or probe when one is due.
func (m *Machine) contact(h *home) {
	until, leased := m.leased(h.scope)
	if !leased || h.stopped || h.spec.Gone {
		return
	}
	if ex := h.inFlight; ex != nil {
		if m.now-ex.sentAt < callTimeout {
			return
		}
		h.inFlight = nil
	}
	grant := m.mayGrant(h)
	if m.now < h.nextAt && !(grant && h.setDirty) {
		return
	}
	h.seq++
	h.nextAt = m.now + grantInterval
	ex := &exchange{seq: h.seq, sentAt: m.now, probe: !grant}
	h.inFlight = ex
	switch {
	case !h.spec.ChecksGrants:
		m.emit(SendProbe{Server: h.name, Address: h.spec.Address, Seq: h.seq})
	case grant:
		m.sendGrant(h, ex, until)
	default:
		m.emit(SendGrant{
			Server: h.name, Address: h.spec.Address, Service: h.spec.Service, Seq: h.seq,
			Term: h.assigned.Term, SubTerm: h.subTerm,
		})
	}
}

// mayGrant reports whether the home may send a grant with slices now. The lease
// is checked by the caller.
func (m *Machine) mayGrant(h *home) bool {
	return h.spec.ChecksGrants && h.open && h.token != "" && m.now >= h.holdUntil
}

func (m *Machine) sendGrant(h *home, ex *exchange, until time.Duration) {
	if h.setDirty {
		h.setVersion++
		h.setDirty = false
	}
	var set []SliceRef
	for _, first := range sortedKeys(h.slices) {
		if s := h.slices[first]; m.granted(h, s) {
			set = append(set, s.held)
			if s.version == 0 {
				s.version = h.setVersion
			}
		}
	}
	ex.version = h.setVersion
	ex.tokenFrom = h.tokenFrom
	ex.ttl = min(LeaseDuration, until-m.now)
	if m.rules.skip(RuleGrantEnd) {
		ex.ttl = LeaseDuration
	}
	effect := SendGrant{
		Server: h.name, Address: h.spec.Address, Service: h.spec.Service, Seq: ex.seq,
		Term: h.assigned.Term, SubTerm: h.subTerm, Token: h.token, TTL: ex.ttl,
		SetVersion: h.setVersion, HasSlices: h.acked != h.setVersion,
	}
	if effect.HasSlices {
		effect.Slices = set
	}
	m.emit(effect)
}

// granted reports whether a slice belongs to the set that the server may hold.
func (m *Machine) granted(h *home, s *ownedSlice) bool {
	if !s.effective || s.released {
		return false
	}
	return !h.provisional || h.held[s.held] || m.rules.skip(RuleProvisionalHeldSlicesOnly)
}

func (m *Machine) grantFailed(in GrantFailed) {
	if h := m.local[in.Server]; h != nil && h.inFlight != nil && h.inFlight.seq == in.Seq {
		h.inFlight = nil
		h.nextAt = m.now + retryInterval
	}
}

func (m *Machine) grantAnswered(in GrantResponse) {
	h := m.local[in.Server]
	if h == nil || h.inFlight == nil || h.inFlight.seq != in.Seq {
		return
	}
	ex := h.inFlight
	h.inFlight = nil
	h.answeredAt = m.now
	h.hintDrain = in.Draining
	m.dirty[h.name] = struct{}{}
	if h.answers++; h.unresponsive {
		h.unresponsive = false
		m.viewDirty.server(h.name)
		m.report(event.Event{Code: event.ServerResponsive, Server: h.name})
	}
	if !h.spec.ChecksGrants {
		return
	}
	if in.Term == h.assigned.Term {
		m.subTerms[h.name] = max(m.subTerms[h.name], in.SubTerm)
	}
	if in.Term > h.assigned.Term || (in.Term == h.assigned.Term && in.SubTerm > h.subTerm) {
		m.stopHome(h)
		m.report(event.Event{Code: event.GrantRefused, Server: h.name, Term: in.Term, SubTerm: in.SubTerm})
		return
	}
	if h.instance != "" && in.Instance != h.instance {
		m.newInstance(h)
	}
	h.instance, h.token, h.tokenFrom = in.Instance, in.Token, ex.sentAt
	switch {
	case ex.probe:
		m.probed(h, in)
	case m.now < h.holdUntil:
		// A new instance responded to a grant with the token of its predecessor.
	case in.Accepted && in.SetVersion == ex.version:
		h.acked = ex.version
		// The token is not older than the exchange that brought it, so the
		// server's grant lasts at least until then.
		h.until = ex.tokenFrom + ex.ttl
		h.servingDirty = true
		m.viewDirty.server(h.name)
		if h.until < m.now+grantInterval {
			// With little of the lease left, every grant ends soon.
			h.nextAt = ex.sentAt + retryInterval
		}
	default:
		h.acked = 0
		h.nextAt = m.now + retryInterval
	}
}

// stopHome gives the rights under the present term up for good.
func (m *Machine) stopHome(h *home) {
	h.stopped, h.stoppedAt = true, m.now
	h.until = 0
	h.servingDirty = true
	m.dirty[h.name] = struct{}{}
	m.viewDirty.server(h.name)
}

// newInstance handles a restarted or replaced server. The new instance holds
// nothing, and it gets no grants until those of its predecessor have expired.
// The wait starts with the first response of the new instance and not with the
// last own grant: a provisional home may have granted to the former instance.
func (m *Machine) newInstance(h *home) {
	m.report(event.Event{Code: event.ServerNewInstance, Service: h.spec.Service, Server: h.name, Term: h.assigned.Term})
	h.acked, h.until = 0, 0
	h.held, h.released = map[SliceRef]bool{}, map[SliceRef]bool{}
	h.setDirty, h.servingDirty = true, true
	if !m.rules.skip(RuleInstanceWait) {
		h.holdUntil = m.now + expiryWait
	}
	m.viewDirty.server(h.name)
}

// probed evaluates the response to an empty token, which lists what the server holds.
func (m *Machine) probed(h *home, in GrantResponse) {
	h.held, h.released = map[SliceRef]bool{}, map[SliceRef]bool{}
	for _, held := range in.Held {
		h.held[held] = true
	}
	for _, held := range in.Released {
		h.released[held] = true
	}
	if len(h.released) > 0 {
		for _, s := range h.slices {
			m.checkReleased(h, s)
		}
	}
	if !h.open {
		m.tryShortcut(h, in)
	}
	if h.open {
		h.nextAt = min(h.nextAt, max(m.now, h.holdUntil))
	}
}

// releasedBefore reports whether the server released any part of a slice under
// its present generation.
func (m *Machine) releasedBefore(h *home, held SliceRef) bool {
	if m.rules.skip(RuleNoRegrant) {
		return false
	}
	for other := range h.released {
		if other.Generation == held.Generation && other.Range.Overlaps(held.Range) {
			return true
		}
	}
	return false
}

// tryShortcut opens a home at once when the server itself arbitrates: its last
// grant came from the directly preceding term (for a provisional home: from the
// term that it continues), so it rejects every earlier home from now on, and no
// other instance can have a later grant.
func (m *Machine) tryShortcut(h *home, in GrantResponse) {
	if in.Term != h.assigned.Term || in.SubTerm != h.subTerm {
		return // the server did not accept this term
	}
	if h.provisional {
		h.setDirty = true
		if in.PreviousTerm == h.assigned.Term && len(h.held) > 0 {
			m.open(h)
		}
		return
	}
	if in.PreviousTerm == h.assigned.PreviousTerm || m.rules.skip(RuleShortcutTerm) {
		m.open(h)
	}
}

// reassignReleased asks for a new generation of slices that the server released
// under an earlier home.
func (m *Machine) reassignReleased(h *home) {
	if len(h.released) == 0 || !h.open || h.stopped || h.provisional || !m.logReachable {
		return
	}
	h.reassign = nil
	for _, first := range sortedKeys(h.slices) {
		if s := h.slices[first]; s.released && h.moves[s.held] == nil && m.batchOf[s.held] == "" && m.releasedBefore(h, s.held) {
			h.reassign = append(h.reassign, s.held)
		}
	}
}

// noteResponsiveness marks a server that has not responded for SuspicionTimeout.
func (m *Machine) noteResponsiveness(h *home) {
	patience := SuspicionTimeout
	if h.answers == 0 {
		patience = firstContactTime
	}
	if h.unresponsive || m.now-h.answeredAt <= patience {
		return
	}
	if _, leased := m.leased(h.scope); !leased {
		h.answeredAt = m.now // nothing was asked
		return
	}
	h.unresponsive = true
	m.viewDirty.server(h.name)
	m.report(event.Event{Code: event.ServerUnresponsive, Service: h.spec.Service, Server: h.name, Term: h.assigned.Term})
}

// refreshServing rebuilds the set of slices that may be dispatched.
func (m *Machine) refreshServing(h *home) {
	if !h.servingDirty {
		return
	}
	h.servingDirty = false
	m.viewDirty.server(h.name)
	serving := map[SliceRef]Activation{}
	if h.open && !h.stopped {
		for _, first := range sortedKeys(h.slices) {
			if s := h.slices[first]; m.dispatched(h, s) {
				serving[s.held] = m.activation(h, s)
			}
		}
	}
	if len(serving) == 0 {
		h.serving = nil
		return
	}
	h.serving = NewServingSet(serving)
}

func (m *Machine) dispatched(h *home, s *ownedSlice) bool {
	if !m.granted(h, s) || s.quiescing {
		return false
	}
	return !h.spec.ChecksGrants || (s.version != 0 && s.version <= h.acked)
}

// activation returns when and how a slice began to be served here.
func (m *Machine) activation(h *home, s *ownedSlice) Activation {
	if s.served {
		return s.activation
	}
	s.served = true
	slice := m.st.Table(h.spec.Service).Lookup(s.held.Range.First)
	switch {
	case s.activation.Since != 0: // carried over from the same home
	case slice.Former == "" && h.assigned.PreviousTerm == 0 && !h.provisional:
		s.activation = Activation{Since: m.now, FirstOwner: true}
	case slice.Former != "" && slice.Former != h.name && slice.Released && slice.Generation > h.assigned.Term:
		s.activation = Activation{Since: m.now, IDWindow: s.origin}
	case h.assigned.Handover && slice.Generation < h.assigned.Term:
		s.activation = Activation{
			Since:    m.now,
			IDWindow: IDWindowKey{Server: h.name, Term: h.assigned.PreviousTerm, Generation: s.held.Generation},
		}
	default:
		s.activation = Activation{Since: m.now}
	}
	m.report(event.Event{
		Code: event.SliceServing, Service: h.spec.Service, Server: h.name, Slice: s.held.Range.String(),
		Generation: s.held.Generation, Term: h.assigned.Term, SubTerm: h.subTerm,
	})
	return s.activation
}
