package ownership

import (
	"slices"
	"time"

	"parsleyrelay.example/core/state"
)

// maxUncounted bounds the responses per witness that wait for records.
const maxUncounted = 8

type uncounted struct {
	applied uint64
	sentAt  time.Duration
}

// witnessInfo is what this daemon knows from the responses of one witness.
type witnessInfo struct {
	applied  uint64        // highest reported offset
	counted  bool          // sentAt is set
	sentAt   time.Duration // of the newest poll whose response is evidence
	waiting  []uncounted   // responses that report records not folded yet
	polledAt time.Duration
	inFlight bool
}

// confirmation says that a majority had applied offset at a time.
type confirmation struct {
	offset uint64
	at     time.Duration
}

// scopeInfo tracks one witness scope.
type scopeInfo struct {
	until     time.Duration // end of the prefix lease, 0 for none
	confirmed uint64        // highest offset in queue
	queue     []confirmation
	effective uint64 // the wait has completed for all offsets up to this one
	neededAt  time.Duration
}

func (m *Machine) scope(name string) *scopeInfo {
	s := m.scopes[name]
	if s == nil {
		s = &scopeInfo{}
		m.scopes[name] = s
	}
	return s
}

func (m *Machine) witness(incarnation string) *witnessInfo {
	w := m.witnesses[incarnation]
	if w == nil {
		w = &witnessInfo{}
		m.witnesses[incarnation] = w
	}
	return w
}

// recordResponse stores a poll response. It becomes evidence once this daemon
// has folded everything that the witness had.
func (m *Machine) recordResponse(in PollResponse) {
	w := m.witness(in.Witness)
	w.inFlight = false
	w.applied = max(w.applied, in.AppliedOffset)
	w.waiting = append(w.waiting, uncounted{applied: in.AppliedOffset, sentAt: in.SentAt})
	if len(w.waiting) > maxUncounted {
		w.waiting = w.waiting[1:]
	}
	m.countResponses(w)
}

func (m *Machine) countResponses(w *witnessInfo) {
	w.waiting = slices.DeleteFunc(w.waiting, func(u uncounted) bool {
		if u.applied > m.st.Applied() && !m.rules.skip(RuleEvidencePrefix) {
			return false
		}
		if !w.counted || u.sentAt > w.sentAt {
			w.counted, w.sentAt = true, u.sentAt
		}
		return true
	})
}

// refreshScopes recomputes leases and confirmations.
func (m *Machine) refreshScopes() {
	for _, w := range m.witnesses {
		if len(w.waiting) > 0 {
			m.countResponses(w)
		}
	}
	for name, s := range m.scopes {
		set := m.st.Witnesses(name)
		s.until = m.leaseEnd(set)
		if offset := m.confirmedBy(set); offset > s.confirmed {
			s.confirmed = offset
			// The time of this step, not that of the responses: after a change of
			// the witness set, the leases of daemons that do not know the new set
			// may outlast the wait counted from older responses.
			s.queue = append(s.queue, confirmation{offset: offset, at: m.now})
		}
		m.advance(s)
	}
}

func (m *Machine) advance(s *scopeInfo) {
	wait := expiryWait
	if m.rules.skip(RuleExpiryWait) {
		wait = 0
	}
	done := 0
	for _, c := range s.queue {
		if m.now < c.at+wait {
			break
		}
		s.effective = c.offset
		done++
	}
	s.queue = s.queue[done:]
}

// leaseEnd returns the end of the prefix lease that a witness set gives, 0 for none.
func (m *Machine) leaseEnd(set state.WitnessSet) time.Duration {
	if len(set.Current) == 0 && len(set.Pending) == 0 {
		return 0
	}
	var end time.Duration
	for i, members := range [][]string{set.Current, set.Pending} {
		if len(members) == 0 || (i == 1 && len(set.Current) > 0 && m.rules.skip(RulePendingWitnessSet)) {
			continue
		}
		sent, ok := m.majorityEvidence(members)
		if !ok {
			return 0
		}
		if e := sent + LeaseDuration; end == 0 || e < end {
			end = e
		}
	}
	return end
}

// majorityEvidence returns when the oldest poll of the newest majority was sent.
func (m *Machine) majorityEvidence(members []string) (time.Duration, bool) {
	var sent []time.Duration
	for _, member := range members {
		if member == m.cfg.Incarnation {
			sent = append(sent, m.now)
		} else if w := m.witnesses[member]; w != nil && w.counted {
			sent = append(sent, w.sentAt)
		}
	}
	need := len(members)/2 + 1
	if len(sent) < need {
		return 0, false
	}
	slices.Sort(sent)
	return sent[len(sent)-need], true
}

// confirmedBy returns the highest offset that majorities of the set, and of the
// pending set, have applied and that this daemon has folded itself. The last
// condition matters because the witness set is taken from the own state: later
// records may have changed it.
func (m *Machine) confirmedBy(set state.WitnessSet) uint64 {
	if m.rules.skip(RuleConfirmation) {
		return m.st.Applied()
	}
	if len(set.Current) == 0 && len(set.Pending) == 0 {
		return 0
	}
	offset := m.st.Applied()
	if m.rules.skip(RuleConfirmAppliedOnly) {
		offset = ^uint64(0)
	}
	if len(set.Current) > 0 {
		offset = min(offset, m.majorityApplied(set.Current))
	}
	if len(set.Pending) > 0 && (len(set.Current) == 0 || !m.rules.skip(RulePendingWitnessSet)) {
		offset = min(offset, m.majorityApplied(set.Pending))
	}
	return offset
}

// majorityApplied returns the highest offset that a majority of members reported.
func (m *Machine) majorityApplied(members []string) uint64 {
	applied := make([]uint64, 0, len(members))
	for _, member := range members {
		if member == m.cfg.Incarnation {
			applied = append(applied, m.ownConfirmed())
		} else if w := m.witnesses[member]; w != nil {
			applied = append(applied, w.applied)
		} else {
			applied = append(applied, 0)
		}
	}
	slices.Sort(applied)
	return applied[(len(applied)-1)/2]
}

// ownConfirmed is the offset that this daemon confirms as a witness: the one
// that polls were answered with before the present step. An offset folded in
// this step counts from the next step on, since polls may be answered with the
// former offset until the driver has published the new view.
func (m *Machine) ownConfirmed() uint64 {
	if m.rules.skip(RuleConfirmPublishedOnly) {
		return m.st.Applied()
	}
	return m.publishedApplied
}

// leased reports whether the daemon may act on its state in a scope, and until when.
func (m *Machine) leased(scope string) (time.Duration, bool) {
	if m.rules.skip(RuleLeaseCheck) {
		return m.now + LeaseDuration, true
	}
	if !m.complete {
		return 0, false
	}
	s := m.scopes[scope]
	if s == nil {
		return 0, false
	}
	return s.until, m.now < s.until
}

// waitDone reports whether no daemon acts any more on a state of the scope
// without the record at offset.
func (m *Machine) waitDone(scope string, offset uint64) bool {
	s := m.scope(scope)
	s.neededAt = m.now
	return offset <= s.effective
}
