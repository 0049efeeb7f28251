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
	// witnessChangeInterval bounds how often a scope's witness set is changed.
	witnessChangeInterval = 2 * time.Second
	// firstSetDelay lets the hosts that start together join before the first set
	// is chosen. A first set of one host stops the scope if that host is lost
	// before the next set is active.
	firstSetDelay = 300 * time.Millisecond
	// replaceWitnessAfter is the length of a suspicion after which a witness is
	// replaced; shorter pauses do not change the set.
	replaceWitnessAfter = 2 * time.Second
	// WitnessResetDelay is how long a set must have had no majority, and the host list
	// must have lacked its missing members, before it is reset.
	WitnessResetDelay = 10 * time.Second

	maxWitnessesZone = 5
	maxWitnessesAll  = 9
)

func (m *Machine) wantsScopeAll() bool {
	for _, name := range m.services {
		if svc, ok := m.st.Service(name); ok && svc.EffectiveScope() == resource.ScopeAll {
			return true
		}
	}
	return false
}

// maintainWitnesses proposes, activates and resets the witness sets that this
// daemon belongs to.
func (m *Machine) maintainWitnesses() {
	if _, ok := m.st.Member(m.cfg.Incarnation); !ok || !m.logReachable {
		return
	}
	for _, scope := range []string{m.zoneScope(), state.ScopeAll} {
		if m.scopes[scope] == nil {
			continue
		}
		set := m.st.Witnesses(scope)
		switch {
		case len(set.Pending) > 0:
			m.activate(scope, set)
		default:
			m.proposeSet(scope, set)
		}
		m.considerReset(scope, set)
	}
}

func (m *Machine) activate(scope string, set state.WitnessSet) {
	if len(set.Current) > 0 && m.majorityApplied(set.Current) < set.PendingAt || m.majorityApplied(set.Pending) < set.PendingAt {
		return
	}
	key := fmt.Sprintf("activate:%s:%d", scope, set.Epoch+1)
	if m.proposing(key) || m.myTurn(key, m.scopeMembers(scope), m.now-m.lastSet[scope]) {
		m.propose(key, record.WitnessActivated{Scope: scope, Epoch: set.Epoch + 1})
	}
}

func (m *Machine) proposeSet(scope string, set state.WitnessSet) {
	desired := m.desiredWitnesses(scope)
	if len(desired) == 0 || sameMembers(desired, set.Current) {
		delete(m.lastSet, scope)
		return
	}
	// lastSet is when the difference was first seen or the set last changed.
	first, ok := m.lastSet[scope]
	if !ok {
		first = m.now
		m.lastSet[scope] = first
	}
	hold := witnessChangeInterval
	if set.Epoch == 0 {
		hold = firstSetDelay
	}
	key := fmt.Sprintf("witnesses:%s:%d", scope, set.Epoch+1)
	if !m.proposing(key) && !m.myTurn(key, m.scopeMembers(scope), m.now-first-hold) {
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

// desiredWitnesses chooses the members of a scope's set by rendezvous hashing.
func (m *Machine) desiredWitnesses(scope string) []string {
	if scope == state.ScopeAll {
		return m.spreadOverZones()
	}
	var inZone, elsewhere []string
	for _, member := range m.st.Members() {
		if !m.eligibleWitness(member) {
			continue
		}
		if state.ZoneScope(member.Zone) == scope {
			inZone = append(inZone, member.Incarnation)
		} else {
			elsewhere = append(elsewhere, member.Incarnation)
		}
	}
	size := min(maxWitnessesZone, oddAtMost(len(inZone)))
	ordered := rendezvousOrder("witness/"+scope, inZone)
	if len(inZone) == 2 && len(elsewhere) > 0 {
		return append(ordered, rendezvousOrder("witness/"+scope, elsewhere)[0])
	}
	return ordered[:size]
}

func (m *Machine) eligibleWitness(member state.Member) bool {
	since, suspected := m.suspects[member.Incarnation]
	if suspected && m.now-since > replaceWitnessAfter {
		return false
	}
	return !m.leaving[member.Host] && !(m.draining && member.Incarnation == m.cfg.Incarnation)
}

// spreadOverZones takes witnesses from the zones in turn, so that no zone holds
// a majority while there are three or more.
func (m *Machine) spreadOverZones() []string {
	byZone := map[string][]string{}
	count := 0
	for _, member := range m.st.Members() {
		if m.eligibleWitness(member) {
			byZone[member.Zone] = append(byZone[member.Zone], member.Incarnation)
			count++
		}
	}
	for zone, members := range byZone {
		byZone[zone] = rendezvousOrder("witness/all", members)
	}
	size := min(maxWitnessesAll, oddAtMost(count))
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

// oddAtMost returns the largest odd number up to n, 0 for none.
func oddAtMost(n int) int {
	if n <= 0 {
		return 0
	}
	return n - (n+1)%2
}

// considerReset replaces a set whose majority is lost for good. It is the only
// place where the host list can affect the safety of ownership.
func (m *Machine) considerReset(scope string, set state.WitnessSet) {
	lost := m.lostMajority(set.Current) || m.lostMajority(set.Pending)
	if _, leased := m.leased(scope); leased || !lost || set.Epoch+uint64(len(set.Pending)) == 0 {
		delete(m.noQuorum, scope)
		return
	}
	since, ok := m.noQuorum[scope]
	if !ok {
		m.noQuorum[scope] = m.now
		return
	}
	desired := m.desiredWitnesses(scope)
	key := fmt.Sprintf("reset:%s:%d", scope, set.Epoch+1)
	if len(desired) == 0 || !m.proposing(key) && !m.myTurn(key, m.scopeMembers(scope), m.now-since-WitnessResetDelay) {
		return
	}
	m.propose(key, record.WitnessReset{
		Scope: scope, Epoch: set.Epoch + 1, Members: desired,
		Reason: fmt.Sprintf("no majority for %s and the host list lacks the missing hosts", m.now-since),
	})
}

// lostMajority reports whether so many members have neither responded recently
// nor are on the host list that the rest is no majority.
func (m *Machine) lostMajority(members []string) bool {
	lost := 0
	for _, incarnation := range members {
		if incarnation == m.cfg.Incarnation {
			continue
		}
		w := m.witnesses[incarnation]
		responded := w != nil && w.counted && m.now-w.sentAt < WitnessResetDelay || !m.suspected(incarnation)
		if !responded && m.goneFromHostList(incarnation) {
			lost++
		}
	}
	return lost > 0 && len(members)-lost < len(members)/2+1
}

// goneFromHostList reports whether the host of an incarnation is missing from
// the host list, or runs a younger incarnation: one host runs one daemon.
func (m *Machine) goneFromHostList(incarnation string) bool {
	member, ok := m.known[incarnation]
	if !ok {
		return false // it left before this daemon started; nothing is known of it
	}
	for _, other := range m.st.Members() {
		if other.Host == member.Host && other.JoinedAt > member.JoinedAt {
			return true
		}
	}
	return m.missing[member.Host]
}

// witnessesReset starts every wait of the scope anew: the former set's members
// are only presumed gone.
func (m *Machine) witnessesReset(offset uint64, b record.WitnessReset) {
	s := m.scope(b.Scope)
	s.queue, s.confirmed = nil, s.effective
	m.report(event.Event{Code: event.WitnessesReset, Offset: offset, Detail: b.Scope + ": " + b.Reason})
}
