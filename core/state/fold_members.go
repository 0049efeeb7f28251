package state

import (
	"slices"
	"strings"

	"parsleyrelay.example/core/record"
)

func (s *State) joinHost(offset uint64, b record.HostJoined) ApplyResult {
	if b.Incarnation == "" {
		return refused("host %s has no incarnation", b.Host)
	}
	if _, ok := s.members[b.Incarnation]; ok {
		return refused("incarnation %s is a member already", b.Incarnation)
	}
	if s.departed.members[b.Incarnation] {
		return refused("incarnation %s has left", b.Incarnation)
	}
	s.members[b.Incarnation] = Member{
		Host: b.Host, Incarnation: b.Incarnation, Zone: b.Zone, PeerURL: b.PeerURL, JoinedAt: offset,
	}
	return ApplyResult{Applied: true}
}

func (s *State) removeHost(offset uint64, b record.HostLeft) ApplyResult {
	if _, ok := s.members[b.Incarnation]; !ok {
		return refused("incarnation %s is not a member", b.Incarnation)
	}
	delete(s.members, b.Incarnation)
	s.departed.add(departure{Offset: offset, Incarnation: b.Incarnation})
	return ApplyResult{Applied: true}
}

func (s *State) proposeWitnesses(offset uint64, b record.WitnessProposed) ApplyResult {
	set := s.witnesses[b.Scope]
	if b.Epoch != set.Epoch+1 || len(set.Pending) > 0 {
		return refused("witness epoch %d of %s cannot follow epoch %d", b.Epoch, b.Scope, set.Epoch)
	}
	if out, ok := s.checkWitnesses(b.Scope, b.Members); !ok {
		return out
	}
	set.Pending = slices.Clone(b.Members)
	set.PendingAt = offset
	s.witnesses[b.Scope] = set
	return ApplyResult{Applied: true}
}

// checkWitnesses refuses sets of which no majority could respond: an incarnation
// that is named twice counts once, and one that is no member never responds.
func (s *State) checkWitnesses(scope string, members []string) (ApplyResult, bool) {
	if scope != WitnessScopeAll && (!strings.HasPrefix(scope, WitnessScopeOfZone("")) || scope == WitnessScopeOfZone("")) {
		return refused("%q is not a witness scope", scope), false
	}
	if len(members) == 0 {
		return refused("witness set of %s is empty", scope), false
	}
	for i, id := range members {
		if _, ok := s.members[id]; !ok {
			return refused("witness %s of %s is not a member", id, scope), false
		}
		if slices.Contains(members[:i], id) {
			return refused("witness %s of %s is named twice", id, scope), false
		}
	}
	return ApplyResult{}, true
}

func (s *State) activateWitnesses(offset uint64, b record.WitnessActivated) ApplyResult {
	set := s.witnesses[b.Scope]
	if b.Epoch != set.Epoch+1 || len(set.Pending) == 0 {
		return refused("witness epoch %d of %s is not pending", b.Epoch, b.Scope)
	}
	s.witnesses[b.Scope] = WitnessSet{Epoch: b.Epoch, Since: offset, Current: set.Pending}
	return ApplyResult{Applied: true}
}

func (s *State) resetWitnesses(offset uint64, b record.WitnessReset) ApplyResult {
	set := s.witnesses[b.Scope]
	if b.Epoch != set.Epoch+1 {
		return refused("witness epoch %d of %s cannot follow epoch %d", b.Epoch, b.Scope, set.Epoch)
	}
	if out, ok := s.checkWitnesses(b.Scope, b.Members); !ok {
		return out
	}
	s.witnesses[b.Scope] = WitnessSet{Epoch: b.Epoch, Since: offset, Current: slices.Clone(b.Members)}
	return ApplyResult{Applied: true}
}

func (s *State) assignHome(p record.LogEntry, b record.HomeAssigned) ApplyResult {
	current := s.homes[b.Server]
	if current.Term != b.PreviousTerm {
		return refused("home of %s has term %d, the record expects %d", b.Server, current.Term, b.PreviousTerm)
	}
	if b.Handover && (current.Term == 0 || p.Record.Proposer != current.Incarnation) {
		return refused("handover of %s was not proposed by its home", b.Server)
	}
	home, ok := s.members[b.Home]
	if !ok {
		return refused("incarnation %s is not a member", b.Home)
	}
	server, ok := s.Server(b.Server)
	if !ok {
		return refused("Server/%s does not exist", b.Server)
	}
	if scope, _ := s.WitnessScopeOfServer(b.Server); scope != WitnessScopeAll && home.Zone != server.Zone {
		return refused("host %s is not in zone %s of Server/%s", home.Host, server.Zone, b.Server)
	}
	s.homes[b.Server] = Home{
		Incarnation: b.Home, Term: p.Offset,
		PreviousTerm: current.Term, PreviousHome: current.Incarnation, Handover: b.Handover,
	}
	return ApplyResult{Applied: true}
}
