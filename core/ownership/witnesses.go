package ownership

import (
	"fmt"
	"slices"
	"time"

	"parsleyrelay.example/core/event"
	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/resource"
	"parsleyrelay.example/core/state"
)

const (
	// witnessChangeInterval is how long the desired set must have differed from the
	// current one before a new set is proposed.
	witnessChangeInterval = 2 * time.Second
	// firstWitnessSetDelay lets hosts that start together join before the first set
	// is chosen. With a first set of one host, the scope has no quorum if that host
	// is lost before the next set is active.
	firstWitnessSetDelay = 300 * time.Millisecond
	// witnessReplacementDelay is how long a witness must be suspected before it is
	// replaced; shorter pauses do not change the set.
	witnessReplacementDelay = 2 * time.Second
	// WitnessResetDelay is how long a set must have had no majority, and the host
	// list must have lacked the hosts of its missing members, before it is reset.
	WitnessResetDelay = 10 * time.Second

	maxZoneWitnesses     = 5
	maxAllZonesWitnesses = 9
)

func (m *Machine) hasAllZonesService() bool {
	for _, name := range m.serviceNames {
		if svc, ok := m.state.Service(name); ok && svc.EffectiveScope() == resource.ScopeAll {
			return true
		}
	}
	return false
}

// maintainWitnesses proposes the creation, activation and reset of the witness
// sets of this daemon's scopes.
func (m *Machine) maintainWitnesses() {
	if _, ok := m.state.Member(m.cfg.Incarnation); !ok || !m.logReachable {
		return
	}
	for _, scope := range []string{m.ownZoneScope(), state.WitnessScopeAll} {
		if m.scopes[scope] == nil {
			continue
		}
		set := m.state.WitnessSetOf(scope)
		switch {
		case len(set.Pending) > 0:
			m.proposeWitnessActivation(scope, set)
		default:
			m.proposeWitnessSet(scope, set)
		}
		m.proposeWitnessReset(scope, set)
	}
}

// proposeWitnessActivation makes a pending set the current one once majorities of
// both have applied the record that proposed it.
func (m *Machine) proposeWitnessActivation(scope string, set state.WitnessSet) {
	if len(set.Current) > 0 && m.majorityOffset(set.Current) < set.PendingAt || m.majorityOffset(set.Pending) < set.PendingAt {
		return
	}
	key := fmt.Sprintf("activate:%s:%d", scope, set.Epoch+1)
	if m.isProposing(key) || m.isOwnTurn(key, m.scopeMembers(scope), m.now-m.witnessDiffSince[scope]) {
		m.propose(key, record.WitnessActivated{Scope: scope, Epoch: set.Epoch + 1})
	}
}

func (m *Machine) proposeWitnessSet(scope string, set state.WitnessSet) {
	desired := m.desiredWitnesses(scope)
	if len(desired) == 0 || sameMembers(desired, set.Current) {
		delete(m.witnessDiffSince, scope)
		return
	}
	since, ok := m.witnessDiffSince[scope]
	if !ok {
		since = m.now
		m.witnessDiffSince[scope] = since
	}
	delay := witnessChangeInterval
	if set.Epoch == 0 {
		delay = firstWitnessSetDelay
	}
	key := fmt.Sprintf("witnesses:%s:%d", scope, set.Epoch+1)
	if !m.isProposing(key) && !m.isOwnTurn(key, m.scopeMembers(scope), m.now-since-delay) {
		return
	}
	m.propose(key, record.WitnessProposed{Scope: scope, Epoch: set.Epoch + 1, Members: desired})
}

func sameMembers(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}

// desiredWitnesses chooses the witnesses of a scope by rendezvous hashing. A zone
// with two eligible members takes a third witness from another zone.
func (m *Machine) desiredWitnesses(scope string) []string {
	if scope == state.WitnessScopeAll {
		return m.desiredAllZonesWitnesses()
	}
	var inZone, elsewhere []string
	for _, member := range m.state.Members() {
		if !m.isEligibleWitness(member) {
			continue
		}
		if state.WitnessScopeOfZone(member.Zone) == scope {
			inZone = append(inZone, member.Incarnation)
		} else {
			elsewhere = append(elsewhere, member.Incarnation)
		}
	}
	size := min(maxZoneWitnesses, largestOddUpTo(len(inZone)))
	ordered := rendezvousOrder("witness/"+scope, inZone)
	if len(inZone) == 2 && len(elsewhere) > 0 {
		return append(ordered, rendezvousOrder("witness/"+scope, elsewhere)[0])
	}
	return ordered[:size]
}

func (m *Machine) isEligibleWitness(member state.Member) bool {
	since, suspected := m.suspectedSince[member.Incarnation]
	if suspected && m.now-since > witnessReplacementDelay {
		return false
	}
	return !m.leavingHosts[member.Host] && !(m.draining && member.Incarnation == m.cfg.Incarnation)
}

// desiredAllZonesWitnesses chooses witnesses from the zones in turn, so that no
// zone has a majority as long as there are three zones or more.
func (m *Machine) desiredAllZonesWitnesses() []string {
	byZone := map[string][]string{}
	count := 0
	for _, member := range m.state.Members() {
		if m.isEligibleWitness(member) {
			byZone[member.Zone] = append(byZone[member.Zone], member.Incarnation)
			count++
		}
	}
	for zone, members := range byZone {
		byZone[zone] = rendezvousOrder("witness/all", members)
	}
	size := min(maxAllZonesWitnesses, largestOddUpTo(count))
	zones := rendezvousOrder("witness/all", sortedKeys(byZone))
	var chosen []string
	for round := 0; len(chosen) < size; round++ {
		for _, zone := range zones {
			if members := byZone[zone]; round < len(members) && len(chosen) < size {
				chosen = append(chosen, members[round])
			}
		}
	}
	return chosen
}

// largestOddUpTo returns the largest odd number up to n, 0 for none.
func largestOddUpTo(n int) int {
	if n <= 0 {
		return 0
	}
	return n - (n+1)%2
}

// proposeWitnessReset replaces a set whose majority is lost for good. This is the
// only use of the host list on which the safety of ownership depends.
func (m *Machine) proposeWitnessReset(scope string, set state.WitnessSet) {
	lost := m.hasLostMajority(set.Current) || m.hasLostMajority(set.Pending)
	if _, leased := m.prefixLease(scope); leased || !lost || set.Epoch+uint64(len(set.Pending)) == 0 {
		delete(m.noQuorumSince, scope)
		return
	}
	since, ok := m.noQuorumSince[scope]
	if !ok {
		m.noQuorumSince[scope] = m.now
		return
	}
	desired := m.desiredWitnesses(scope)
	key := fmt.Sprintf("reset:%s:%d", scope, set.Epoch+1)
	if len(desired) == 0 || !m.isProposing(key) && !m.isOwnTurn(key, m.scopeMembers(scope), m.now-since-WitnessResetDelay) {
		return
	}
	m.propose(key, record.WitnessReset{
		Scope: scope, Epoch: set.Epoch + 1, Members: desired,
		Reason: fmt.Sprintf("no majority for %s and the host list lacks the missing hosts", m.now-since),
	})
}

// hasLostMajority reports whether so many members have neither responded recently
// nor are on the host list that the remaining ones are no majority.
func (m *Machine) hasLostMajority(members []string) bool {
	lost := 0
	for _, incarnation := range members {
		if incarnation == m.cfg.Incarnation {
			continue
		}
		w := m.witnesses[incarnation]
		responded := w != nil && w.hasEvidence && m.now-w.evidenceSentAt < WitnessResetDelay || !m.isSuspected(incarnation)
		if !responded && m.isGoneFromHostList(incarnation) {
			lost++
		}
	}
	return lost > 0 && len(members)-lost < len(members)/2+1
}

// isGoneFromHostList reports whether the host of an incarnation is missing from
// the host list, or runs a newer incarnation: one host runs one daemon.
func (m *Machine) isGoneFromHostList(incarnation string) bool {
	member, ok := m.knownMembers[incarnation]
	if !ok {
		return false // it left before this daemon started, so its host is unknown
	}
	for _, other := range m.state.Members() {
		if other.Host == member.Host && other.JoinedAt > member.JoinedAt {
			return true
		}
	}
	return m.missingHosts[member.Host]
}

// applyWitnessReset restarts all expiry waits of the scope, since the members of
// the former set are only presumed to be gone.
func (m *Machine) applyWitnessReset(offset uint64, b record.WitnessReset) {
	s := m.ensureScopeStatus(b.Scope)
	s.awaitingExpiry, s.confirmedOffset = nil, s.effectiveOffset
	m.emitEvent(event.Event{Code: event.WitnessesReset, Offset: offset, Detail: b.Scope + ": " + b.Reason})
}
