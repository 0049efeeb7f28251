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
	if s.removals.incarnations[b.Incarnation] {
		return refused("incarnation %s has left and cannot join again", b.Incarnation)
	}
	s.members[b.Incarnation] = Member{
		Host: b.Host, Incarnation: b.Incarnation, Zone: b.Zone, PeerURL: b.PeerURL, JoinedAt: offset,
	}
	return ApplyResult{TookEffect: true}
}

func (s *State) removeHost(offset uint64, b record.HostLeft) ApplyResult {
	if _, ok := s.members[b.Incarnation]; !ok {
		return refused("incarnation %s is not a member", b.Incarnation)
	}
	delete(s.members, b.Incarnation)
	s.removals.add(removal{Offset: offset, Incarnation: b.Incarnation})
	return ApplyResult{TookEffect: true}
}

func (s *State) proposeWitnesses(offset uint64, b record.WitnessProposed) ApplyResult {
	set := s.witnessSets[b.Scope]
	if b.Epoch != set.Epoch+1 || len(set.Pending) > 0 {
		return refused("witness epoch %d of %s is not the next after epoch %d, or another proposed witness set is pending", b.Epoch, b.Scope, set.Epoch)
	}
	if out, ok := s.checkWitnessMembers(b.Scope, b.Members); !ok {
		return out
	}
	set.Pending = slices.Clone(b.Members)
	set.PendingAt = offset
	s.witnessSets[b.Scope] = set
	return ApplyResult{TookEffect: true}
}

// checkWitnessMembers refuses witness sets that might never reach a majority: an
// incarnation that is listed twice counts once, and one that is not a member never
// responds.
func (s *State) checkWitnessMembers(scope string, members []string) (ApplyResult, bool) {
	if scope != WitnessScopeAll && (!strings.HasPrefix(scope, WitnessScopeOfZone("")) || scope == WitnessScopeOfZone("")) {
		return refused("%q is not a witness scope", scope), false
	}
	if len(members) == 0 {
		return refused("witness set of %s is empty", scope), false
	}
	for i, incarnation := range members {
		if _, ok := s.members[incarnation]; !ok {
			return refused("witness %s of %s is not a member", incarnation, scope), false
		}
		if slices.Contains(members[:i], incarnation) {
			return refused("witness %s of %s is listed twice", incarnation, scope), false
		}
	}
	return ApplyResult{}, true
}

func (s *State) activateWitnesses(offset uint64, b record.WitnessActivated) ApplyResult {
	set := s.witnessSets[b.Scope]
	if b.Epoch != set.Epoch+1 || len(set.Pending) == 0 {
		return refused("witness epoch %d of %s is not pending", b.Epoch, b.Scope)
	}
	s.witnessSets[b.Scope] = WitnessSet{Epoch: b.Epoch, Since: offset, Current: set.Pending}
	return ApplyResult{TookEffect: true}
}

func (s *State) resetWitnesses(offset uint64, b record.WitnessReset) ApplyResult {
	set := s.witnessSets[b.Scope]
	if b.Epoch != set.Epoch+1 {
		return refused("witness epoch %d of %s is not the next after epoch %d", b.Epoch, b.Scope, set.Epoch)
	}
	if out, ok := s.checkWitnessMembers(b.Scope, b.Members); !ok {
		return out
	}
	s.witnessSets[b.Scope] = WitnessSet{Epoch: b.Epoch, Since: offset, Current: slices.Clone(b.Members)}
	return ApplyResult{TookEffect: true}
}

func (s *State) assignHome(entry record.LogEntry, b record.HomeAssigned) ApplyResult {
	current := s.homes[b.Server]
	if current.Term != b.PreviousTerm {
		return refused("home of %s has term %d; the record expects term %d", b.Server, current.Term, b.PreviousTerm)
	}
	if b.Handover && (current.Term == 0 || entry.Record.Proposer != current.Incarnation) {
		return refused("handover of %s was not proposed by its home", b.Server)
	}
	home, ok := s.members[b.HomeIncarnation]
	if !ok {
		return refused("incarnation %s is not a member", b.HomeIncarnation)
	}
	server, ok := s.Server(b.Server)
	if !ok {
		return refused("Server/%s does not exist", b.Server)
	}
	if scope, _ := s.WitnessScopeOfServer(b.Server); scope != WitnessScopeAll && home.Zone != server.Zone {
		return refused("host %s is not in zone %s of Server/%s", home.Host, server.Zone, b.Server)
	}
	s.homes[b.Server] = Home{
		Incarnation: b.HomeIncarnation, Term: entry.Offset,
		PreviousTerm: current.Term, PreviousHome: current.Incarnation, Handover: b.Handover,
	}
	return ApplyResult{TookEffect: true}
}
