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
	// memberRemovalTimeout is how long a peer must be suspected before it is removed
	// from the members.
	memberRemovalTimeout = 10 * time.Second
	// scopeIdleTimeout is how long the witnesses of another zone are still polled
	// after a wait last depended on their scope.
	scopeIdleTimeout = 5 * time.Second
	// confirmationPollInterval replaces pollInterval while a home or slice waits
	// for the confirmation of a change.
	confirmationPollInterval = 100 * time.Millisecond
)

// proposeJoin proposes this daemon as a member until it is one. An incarnation
// that was removed never joins again; the driver ends the process after
// MemberRemoved.
func (m *Machine) proposeJoin() {
	if _, ok := m.state.Member(m.cfg.Incarnation); ok || m.draining || m.removedFromMembers {
		return
	}
	m.propose("join", record.HostJoined{
		Host: m.cfg.Host, Incarnation: m.cfg.Incarnation, Zone: m.cfg.Zone, PeerURL: m.cfg.PeerURL,
	})
}

// pollWitnesses sends each witness one poll per interval, which serves all scopes
// that it belongs to.
func (m *Machine) pollWitnesses() {
	m.trackScopes()
	interval := pollInterval
	if m.awaitsConfirmation() {
		interval = confirmationPollInterval
	}
	targets := map[string]bool{}
	for scope := range m.scopes {
		set := m.state.WitnessSetOf(scope)
		for _, member := range slices.Concat(set.Current, set.Pending) {
			targets[member] = member != m.cfg.Incarnation
		}
	}
	loads := m.localServerLoads()
	for _, target := range sortedKeys(targets) {
		w := m.ensureWitnessStatus(target)
		if !targets[target] || m.knownMembers[target].PeerURL == "" || (w.pollInFlight && m.now-w.lastPollAt < callTimeout) ||
			(w.lastPollAt > 0 && m.now-w.lastPollAt < interval) {
			continue
		}
		w.lastPollAt, w.pollInFlight = m.now, true
		m.addEffect(SendPoll{Witness: target, PeerURL: m.knownMembers[target].PeerURL, AppliedOffset: m.state.AppliedOffset(), Loads: loads})
	}
	for incarnation := range m.witnesses {
		if !targets[incarnation] {
			delete(m.witnesses, incarnation)
		}
	}
}

// trackScopes updates the scopes whose witnesses are polled: the own zone, all
// zones if a service has that scope, and zones whose former owners a slice still
// waits for.
func (m *Machine) trackScopes() {
	all := m.state.WitnessSetOf(state.WitnessScopeAll).Epoch > 0 || m.hasAllZonesService()
	if all {
		m.ensureScopeStatus(state.WitnessScopeAll)
	}
	for scope, s := range m.scopes {
		if scope != m.ownZoneScope() && !(all && scope == state.WitnessScopeAll) && m.now-s.lastNeededAt > scopeIdleTimeout {
			delete(m.scopes, scope)
		}
	}
}

// awaitsConfirmation reports whether a local home is not active, or one of its slices
// not effective, yet.
func (m *Machine) awaitsConfirmation() bool {
	for _, h := range m.localHomes {
		if !h.active || h.ineffectiveSlices > 0 {
			return true
		}
	}
	return false
}

func (m *Machine) handlePollResponse(in PollResponse) {
	m.acceptRecords(in.Records, 0)
	m.bufferPollResponse(in)
	// The response was sent after the poll, so the witness was alive at SentAt.
	m.recordHeard(in.Witness, in.SentAt)
	for incarnation, age := range in.LastPollAge {
		m.recordHeard(incarnation, m.now-age)
	}
	m.recordLoads(in.Loads)
}

func (m *Machine) handlePollReceived(in PollReceived) {
	m.recordHeard(in.Poller, m.now)
	m.recordLoads(in.Loads)
}

func (m *Machine) recordHeard(incarnation string, at time.Duration) {
	if last, ok := m.lastHeard[incarnation]; !ok || at > last {
		m.lastHeard[incarnation] = at
	}
}

// isSuspected reports whether a daemon has been silent for SuspicionTimeout. A
// suspicion only leads to proposals; safety never depends on it.
func (m *Machine) isSuspected(incarnation string) bool {
	member, ok := m.knownMembers[incarnation]
	return ok && m.isMonitored(member) && m.now-m.lastHeard[incarnation] > SuspicionTimeout
}

// isMonitored reports whether this daemon learns, directly or from the witnesses
// that it polls, when a member is alive.
func (m *Machine) isMonitored(member state.Member) bool {
	if member.Incarnation == m.cfg.Incarnation {
		return false
	}
	_, all := m.scopes[state.WitnessScopeAll]
	return member.Zone == m.cfg.Zone || all || m.witnesses[member.Incarnation] != nil
}

// monitorMembers emits events for suspicions and proposes to remove members that
// stay silent.
func (m *Machine) monitorMembers() {
	_, leased := m.prefixLease(m.ownZoneScope())
	for _, member := range m.state.Members() {
		incarnation := member.Incarnation
		since, known := m.suspectedSince[incarnation]
		if !m.isMonitored(member) {
			// A former witness from another zone. The suspicion is kept for a while,
			// since the member may be chosen as a witness again.
			if known && m.now-since > 3*memberRemovalTimeout {
				delete(m.suspectedSince, incarnation)
			}
			continue
		}
		switch suspected := m.isSuspected(incarnation); {
		case suspected && !known:
			m.suspectedSince[incarnation] = m.now
			m.emitEvent(event.Event{Code: event.HostSuspected, Peer: incarnation})
		case !suspected && known:
			delete(m.suspectedSince, incarnation)
			m.emitEvent(event.Event{Code: event.HostHeardAgain, Peer: incarnation})
		case suspected && leased && m.isOwnTurn("left/"+incarnation, m.removalProposers(member.Zone), m.now-since-memberRemovalTimeout):
			m.propose(fmt.Sprintf("left:%s:%d", incarnation, member.JoinedAt),
				record.HostLeft{Incarnation: incarnation, Reason: record.LeaveLost})
		}
	}
}

// isOwnTurn reports whether this daemon should propose a change that has been
// needed for the time waited. Each candidate waits for proposalRankDelay times its
// rendezvous rank for the key, so that normally only one proposes.
func (m *Machine) isOwnTurn(key string, candidates []state.Member, waited time.Duration) bool {
	if waited < 0 {
		return false
	}
	var incarnations []string
	for _, c := range candidates {
		if !m.isSuspected(c.Incarnation) {
			incarnations = append(incarnations, c.Incarnation)
		}
	}
	rank := rendezvousRank(key, m.cfg.Incarnation, incarnations)
	return rank >= 0 && waited >= time.Duration(rank)*proposalRankDelay
}

// removalProposers returns the members that may propose the removal of a member of a
// zone: those of the own zone if that is the zone, otherwise all.
func (m *Machine) removalProposers(zone string) []state.Member {
	members := m.state.Members()
	inZone := slices.DeleteFunc(slices.Clone(members), func(member state.Member) bool { return member.Zone != zone })
	if len(inZone) == 0 || zone != m.cfg.Zone {
		return members
	}
	return inZone
}

// scopeMembers returns the members that belong to a scope.
func (m *Machine) scopeMembers(scope string) []state.Member {
	return slices.DeleteFunc(m.state.Members(), func(member state.Member) bool {
		return scope != state.WitnessScopeAll && state.WitnessScopeOfZone(member.Zone) != scope
	})
}

func (m *Machine) recordLoads(loads []ServerLoad) {
	for _, load := range loads {
		at := m.now - load.Age
		if known, ok := m.serverLoads[load.Server]; !ok || at > known.measuredAt {
			m.serverLoads[load.Server] = loadReport{load: load, measuredAt: at}
		}
	}
}

// localServerLoads returns the loads of the local homes' servers that are not known to
// be unresponsive. A server without measurements is listed too, since peers take an
// entry as proof that the server responds.
func (m *Machine) localServerLoads() []ServerLoad {
	var loads []ServerLoad
	for _, name := range sortedKeys(m.localHomes) {
		if h := m.localHomes[name]; h.unresponsive || !h.active || h.silentSince == 0 {
			continue
		}
		load := ServerLoad{Server: name}
		if known, ok := m.serverLoads[name]; ok {
			load = known.load
			load.Age = m.now - known.measuredAt
		}
		loads = append(loads, load)
	}
	return loads
}

func (m *Machine) handleHostListRead(in HostListRead) {
	m.liveHosts, m.leavingHosts = map[string]bool{}, map[string]bool{}
	for _, host := range in.Live {
		m.liveHosts[host] = true
	}
	for _, host := range in.Leaving {
		m.leavingHosts[host] = true
	}
	m.missingHosts = map[string]bool{}
	for _, member := range m.knownMembers {
		if !m.liveHosts[member.Host] && !m.leavingHosts[member.Host] {
			m.missingHosts[member.Host] = true
		}
	}
}
