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
	// lostAfter is the length of a suspicion after which a peer is removed from
	// the members.
	lostAfter = 10 * time.Second
	// scopeInterest is how long the witnesses of another zone are polled after
	// the last question about their scope.
	scopeInterest = 5 * time.Second
	// busyPollInterval applies while a forced change waits for confirmation.
	busyPollInterval = 100 * time.Millisecond
)

// join announces this daemon until it is a member. An incarnation that was
// removed never joins again; the driver ends the process after Removed.
func (m *Machine) join() {
	if _, ok := m.st.Member(m.cfg.Incarnation); ok || m.draining || m.removed {
		return
	}
	m.propose("join", record.HostJoined{
		Host: m.cfg.Host, Incarnation: m.cfg.Incarnation, Zone: m.cfg.Zone, PeerURL: m.cfg.PeerURL,
	})
}

// pollWitnesses sends one poll per witness and interval for all scopes together.
func (m *Machine) pollWitnesses() {
	m.trackScopes()
	interval := pollInterval
	if m.waitsForConfirmation() {
		interval = busyPollInterval
	}
	targets := map[string]bool{}
	for name := range m.scopes {
		set := m.st.Witnesses(name)
		for _, member := range slices.Concat(set.Current, set.Pending) {
			targets[member] = member != m.cfg.Incarnation
		}
	}
	loads := m.ownLoads()
	for _, target := range sortedKeys(targets) {
		w := m.witness(target)
		if !targets[target] || m.known[target].PeerURL == "" || (w.inFlight && m.now-w.polledAt < callTimeout) ||
			(w.polledAt > 0 && m.now-w.polledAt < interval) {
			continue
		}
		w.polledAt, w.inFlight = m.now, true
		m.emit(SendPoll{Witness: target, PeerURL: m.known[target].PeerURL, AppliedOffset: m.st.Applied(), Loads: loads})
	}
	for name := range m.witnesses {
		if !targets[name] {
			delete(m.witnesses, name)
		}
	}
}

// trackScopes keeps the scopes whose witnesses are polled: the own zone, all
// zones if any service wants that, and zones that a slice is awaited from.
func (m *Machine) trackScopes() {
	all := m.st.Witnesses(state.ScopeAll).Epoch > 0 || m.wantsScopeAll()
	if all {
		m.scope(state.ScopeAll)
	}
	for name, s := range m.scopes {
		if name != m.zoneScope() && !(all && name == state.ScopeAll) && m.now-s.neededAt > scopeInterest {
			delete(m.scopes, name)
		}
	}
}

func (m *Machine) waitsForConfirmation() bool {
	for _, h := range m.local {
		if !h.open || h.waiting > 0 {
			return true
		}
	}
	return false
}

func (m *Machine) pollAnswered(in PollResponse) {
	m.takeRecords(in.Records, 0)
	m.recordResponse(in)
	// The response was sent after the poll, so the witness was alive at SentAt.
	m.hear(in.Witness, in.SentAt)
	for incarnation, age := range in.LastPollAge {
		m.hear(incarnation, m.now-age)
	}
	m.noteLoads(in.Loads)
}

func (m *Machine) pollReceived(in PollReceived) {
	m.hear(in.Poller, m.now)
	m.noteLoads(in.Loads)
}

func (m *Machine) hear(incarnation string, at time.Duration) {
	if last, ok := m.heard[incarnation]; !ok || at > last {
		m.heard[incarnation] = at
	}
}

// suspected reports whether a daemon has been silent for SuspicionTimeout. It is
// only a reason to propose; no right rests on it.
func (m *Machine) suspected(incarnation string) bool {
	member, ok := m.known[incarnation]
	return ok && m.watched(member) && m.now-m.heard[incarnation] > SuspicionTimeout
}

// watched reports whether the polls of a member reach this daemon's witnesses.
func (m *Machine) watched(member state.Member) bool {
	if member.Incarnation == m.cfg.Incarnation {
		return false
	}
	_, all := m.scopes[state.ScopeAll]
	return member.Zone == m.cfg.Zone || all || m.witnesses[member.Incarnation] != nil
}

// watchPeers reports suspicions and removes members that stay silent.
func (m *Machine) watchPeers() {
	_, leased := m.leased(m.zoneScope())
	for _, member := range m.st.Members() {
		incarnation := member.Incarnation
		since, known := m.suspects[incarnation]
		if !m.watched(member) {
			// A former witness from another zone; it may be chosen again later.
			if known && m.now-since > 3*lostAfter {
				delete(m.suspects, incarnation)
			}
			continue
		}
		switch suspected := m.suspected(incarnation); {
		case suspected && !known:
			m.suspects[incarnation] = m.now
			m.report(event.Event{Code: event.HostSuspected, Peer: incarnation})
		case !suspected && known:
			delete(m.suspects, incarnation)
			m.report(event.Event{Code: event.HostHeardAgain, Peer: incarnation})
		case suspected && leased && m.myTurn("left/"+incarnation, m.zoneMembers(member.Zone), m.now-since-lostAfter):
			m.propose(fmt.Sprintf("left:%s:%d", incarnation, member.JoinedAt),
				record.HostLeft{Incarnation: incarnation, Reason: record.LeaveLost})
		}
	}
}

// myTurn reports whether this daemon should propose something for which the
// need has existed for a time. Daemons take turns by rendezvous rank, so that
// normally only one proposes.
func (m *Machine) myTurn(key string, candidates []state.Member, since time.Duration) bool {
	if since < 0 {
		return false
	}
	var names []string
	for _, c := range candidates {
		if !m.suspected(c.Incarnation) {
			names = append(names, c.Incarnation)
		}
	}
	rank := rendezvousRank(key, m.cfg.Incarnation, names)
	return rank >= 0 && since >= time.Duration(rank)*rankDelay
}

// zoneMembers returns the members of a zone, or of all zones if it has none.
func (m *Machine) zoneMembers(zone string) []state.Member {
	members := m.st.Members()
	inZone := slices.DeleteFunc(slices.Clone(members), func(member state.Member) bool { return member.Zone != zone })
	if len(inZone) == 0 || zone != m.cfg.Zone {
		return members
	}
	return inZone
}

// scopeMembers returns the members that belong to a scope.
func (m *Machine) scopeMembers(scope string) []state.Member {
	return slices.DeleteFunc(m.st.Members(), func(member state.Member) bool {
		return scope != state.ScopeAll && state.ZoneScope(member.Zone) != scope
	})
}

func (m *Machine) noteLoads(loads []ServerLoad) {
	for _, load := range loads {
		at := m.now - load.Age
		if known, ok := m.loads[load.Server]; !ok || at > known.at {
			m.loads[load.Server] = loadInfo{load: load, at: at}
		}
	}
}

// ownLoads returns the loads of the servers that this daemon is serving. A
// server without measurements is listed too: an entry tells peers that the
// server responds.
func (m *Machine) ownLoads() []ServerLoad {
	var loads []ServerLoad
	for _, name := range sortedKeys(m.local) {
		if h := m.local[name]; h.unresponsive || !h.open || h.answeredAt == 0 {
			continue
		}
		load := ServerLoad{Server: name}
		if known, ok := m.loads[name]; ok {
			load = known.load
			load.Age = m.now - known.at
		}
		loads = append(loads, load)
	}
	return loads
}

func (m *Machine) hostListRead(in HostListRead) {
	m.live, m.leaving = map[string]bool{}, map[string]bool{}
	for _, host := range in.Live {
		m.live[host] = true
	}
	for _, host := range in.Leaving {
		m.leaving[host] = true
	}
	m.missing = map[string]bool{}
	for _, member := range m.known {
		if !m.live[member.Host] && !m.leaving[member.Host] {
			m.missing[member.Host] = true
		}
	}
}
