package ownership

import (
	"slices"
	"time"

	"parsleyrelay.example/core/state"
)

// maxPendingResponses bounds the poll responses per witness that cannot count as
// evidence before this daemon has applied more records.
const maxPendingResponses = 8

// pendingResponse is a poll response that reports records which this daemon has
// not applied yet.
type pendingResponse struct {
	appliedOffset uint64
	sentAt        time.Duration
}

// witnessStatus is what this daemon knows from the poll responses of one witness.
// A response is evidence for the prefix lease once this daemon has applied
// everything that the witness had applied.
type witnessStatus struct {
	appliedOffset    uint64            // highest reported offset
	hasEvidence      bool              // evidenceSentAt is set
	evidenceSentAt   time.Duration     // when the newest poll whose response is evidence was sent
	pendingResponses []pendingResponse // not evidence yet
	lastPollAt       time.Duration
	pollInFlight     bool
}

// confirmation records when a majority of the witnesses was known to have applied
// an offset.
type confirmation struct {
	offset      uint64
	confirmedAt time.Duration
}

// scopeStatus is the lease and the progress of confirmations in one witness scope.
type scopeStatus struct {
	leaseUntil      time.Duration  // end of the prefix lease, 0 for none
	confirmedOffset uint64         // highest confirmed offset
	awaitingExpiry  []confirmation // confirmed less than expiryWait ago
	effectiveOffset uint64         // expiryWait has passed for all offsets up to this one
	lastNeededAt    time.Duration
}

// ensureScopeStatus returns the status of a scope and starts to track it.
func (m *Machine) ensureScopeStatus(name string) *scopeStatus {
	s := m.scopes[name]
	if s == nil {
		s = &scopeStatus{}
		m.scopes[name] = s
	}
	return s
}

// ensureWitnessStatus returns the status of a witness and starts to track it.
func (m *Machine) ensureWitnessStatus(incarnation string) *witnessStatus {
	w := m.witnesses[incarnation]
	if w == nil {
		w = &witnessStatus{}
		m.witnesses[incarnation] = w
	}
	return w
}

// bufferPollResponse stores a poll response. It becomes evidence once this daemon
// has applied everything that the witness had applied.
func (m *Machine) bufferPollResponse(in PollResponse) {
	w := m.ensureWitnessStatus(in.Witness)
	w.pollInFlight = false
	w.appliedOffset = max(w.appliedOffset, in.AppliedOffset)
	w.pendingResponses = append(w.pendingResponses, pendingResponse{appliedOffset: in.AppliedOffset, sentAt: in.SentAt})
	if len(w.pendingResponses) > maxPendingResponses {
		w.pendingResponses = w.pendingResponses[1:]
	}
	m.acceptEvidence(w)
}

// acceptEvidence turns the pending responses of a witness into evidence where this
// daemon has caught up with the reported offset.
func (m *Machine) acceptEvidence(w *witnessStatus) {
	w.pendingResponses = slices.DeleteFunc(w.pendingResponses, func(response pendingResponse) bool {
		if response.appliedOffset > m.state.AppliedOffset() && !m.disabledRules.has(RuleEvidencePrefix) {
			return false
		}
		if !w.hasEvidence || response.sentAt > w.evidenceSentAt {
			w.hasEvidence, w.evidenceSentAt = true, response.sentAt
		}
		return true
	})
}

// refreshScopes recomputes the lease and the confirmations of each scope.
func (m *Machine) refreshScopes() {
	for _, w := range m.witnesses {
		if len(w.pendingResponses) > 0 {
			m.acceptEvidence(w)
		}
	}
	for scope, s := range m.scopes {
		set := m.state.WitnessSetOf(scope)
		s.leaseUntil = m.leaseEnd(set)
		if offset := m.confirmedOffset(set); offset > s.confirmedOffset {
			s.confirmedOffset = offset
			// The wait counts from this step and not from the responses: after a
			// change of the witness set, the leases of daemons that do not know the
			// new set may outlast a wait that counts from older responses.
			s.awaitingExpiry = append(s.awaitingExpiry, confirmation{offset: offset, confirmedAt: m.now})
		}
		m.advanceEffectiveOffset(s)
	}
}

// advanceEffectiveOffset makes offsets effective that were confirmed at least
// expiryWait ago.
func (m *Machine) advanceEffectiveOffset(s *scopeStatus) {
	wait := expiryWait
	if m.disabledRules.has(RuleExpiryWait) {
		wait = 0
	}
	done := 0
	for _, c := range s.awaitingExpiry {
		if m.now < c.confirmedAt+wait {
			break
		}
		s.effectiveOffset = c.offset
		done++
	}
	s.awaitingExpiry = s.awaitingExpiry[done:]
}

// leaseEnd returns the end of the prefix lease that follows from the evidence of a
// witness set, 0 for none. A pending set must give a lease as well.
func (m *Machine) leaseEnd(set state.WitnessSet) time.Duration {
	if len(set.Current) == 0 && len(set.Pending) == 0 {
		return 0
	}
	var end time.Duration
	for i, members := range [][]string{set.Current, set.Pending} {
		if len(members) == 0 || (i == 1 && len(set.Current) > 0 && m.disabledRules.has(RulePendingWitnessSet)) {
			continue
		}
		sentAt, ok := m.majoritySentAt(members)
		if !ok {
			return 0
		}
		if candidate := sentAt + LeaseDuration; end == 0 || candidate < end {
			end = candidate
		}
	}
	return end
}

// majoritySentAt returns the latest time T such that a majority of the members
// responded to polls sent at T or later. It reports false without a majority.
func (m *Machine) majoritySentAt(members []string) (time.Duration, bool) {
	var sentTimes []time.Duration
	for _, member := range members {
		if member == m.cfg.Incarnation {
			sentTimes = append(sentTimes, m.now)
		} else if w := m.witnesses[member]; w != nil && w.hasEvidence {
			sentTimes = append(sentTimes, w.evidenceSentAt)
		}
	}
	need := len(members)/2 + 1
	if len(sentTimes) < need {
		return 0, false
	}
	slices.Sort(sentTimes)
	return sentTimes[len(sentTimes)-need], true
}

// confirmedOffset returns the highest offset that majorities of the current and of
// the pending witnesses have applied and that this daemon has applied itself. The
// last condition is needed because the witness set comes from this daemon's state:
// later records may have changed it.
func (m *Machine) confirmedOffset(set state.WitnessSet) uint64 {
	if m.disabledRules.has(RuleConfirmation) {
		return m.state.AppliedOffset()
	}
	if len(set.Current) == 0 && len(set.Pending) == 0 {
		return 0
	}
	offset := m.state.AppliedOffset()
	if m.disabledRules.has(RuleConfirmAppliedOnly) {
		offset = ^uint64(0)
	}
	if len(set.Current) > 0 {
		offset = min(offset, m.majorityOffset(set.Current))
	}
	if len(set.Pending) > 0 && (len(set.Current) == 0 || !m.disabledRules.has(RulePendingWitnessSet)) {
		offset = min(offset, m.majorityOffset(set.Pending))
	}
	return offset
}

// majorityOffset returns the highest offset that a majority of the members has
// applied.
func (m *Machine) majorityOffset(members []string) uint64 {
	applied := make([]uint64, 0, len(members))
	for _, member := range members {
		if member == m.cfg.Incarnation {
			applied = append(applied, m.ownConfirmedOffset())
		} else if w := m.witnesses[member]; w != nil {
			applied = append(applied, w.appliedOffset)
		} else {
			applied = append(applied, 0)
		}
	}
	slices.Sort(applied)
	return applied[(len(applied)-1)/2]
}

// ownConfirmedOffset is the offset that this daemon confirms as a witness: the one
// with which it answered polls before this step. An offset applied in this step
// counts from the next step on, since polls may be answered with the former offset
// until the driver has published the new view.
func (m *Machine) ownConfirmedOffset() uint64 {
	if m.disabledRules.has(RuleConfirmPublishedOnly) {
		return m.state.AppliedOffset()
	}
	return m.publishedOffset
}

// prefixLease returns the end of the daemon's prefix lease in a scope and reports
// whether the lease is valid now.
func (m *Machine) prefixLease(scope string) (time.Duration, bool) {
	if m.disabledRules.has(RuleLeaseCheck) {
		return m.now + LeaseDuration, true
	}
	if !m.stateComplete {
		return 0, false
	}
	s := m.scopes[scope]
	if s == nil {
		return 0, false
	}
	return s.leaseUntil, m.now < s.leaseUntil
}

// requireExpiryWait reports whether an offset is effective in a scope: no daemon can
// still act on a state without the record at that offset. It also has the witnesses of
// the scope polled for scopeIdleTimeout, so that the offset becomes effective.
func (m *Machine) requireExpiryWait(scope string, offset uint64) bool {
	s := m.ensureScopeStatus(scope)
	s.lastNeededAt = m.now
	return offset <= s.effectiveOffset
}
