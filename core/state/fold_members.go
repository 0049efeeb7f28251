package state

import (
	"slices"

	"parsleyrelay.example/core/record"
)

func (s *State) joinHost(offset uint64, b record.HostJoined) Outcome {
	if _, ok := s.members[b.Incarnation]; ok {
		return refused("incarnation %s is a member already", b.Incarnation)
	}
	s.members[b.Incarnation] = Member{
		Host: b.Host, Incarnation: b.Incarnation, Zone: b.Zone, PeerURL: b.PeerURL, JoinedAt: offset,
	}
	return Outcome{Applied: true}
}

func (s *State) removeHost(b record.HostLeft) Outcome {
	if _, ok := s.members[b.Incarnation]; !ok {
		return refused("incarnation %s is not a member", b.Incarnation)
	}
	delete(s.members, b.Incarnation)
	return Outcome{Applied: true}
}

func (s *State) proposeWitnesses(offset uint64, b record.WitnessProposed) Outcome {
	set := s.witnesses[b.Scope]
	if b.Epoch != set.Epoch+1 || len(set.Pending) > 0 || len(b.Members) == 0 {
		return refused("witness epoch %d of %s cannot follow epoch %d", b.Epoch, b.Scope, set.Epoch)
	}
	set.Pending = slices.Clone(b.Members)
	set.PendingAt = offset
	s.witnesses[b.Scope] = set
	return Outcome{Applied: true}
}

func (s *State) activateWitnesses(b record.WitnessActivated) Outcome {
	set := s.witnesses[b.Scope]
	if b.Epoch != set.Epoch+1 || len(set.Pending) == 0 {
		return refused("witness epoch %d of %s is not pending", b.Epoch, b.Scope)
	}
	s.witnesses[b.Scope] = WitnessSet{Epoch: b.Epoch, Current: set.Pending}
	return Outcome{Applied: true}
}

func (s *State) resetWitnesses(b record.WitnessReset) Outcome {
	set := s.witnesses[b.Scope]
	if b.Epoch != set.Epoch+1 || len(b.Members) == 0 {
		return refused("witness epoch %d of %s cannot follow epoch %d", b.Epoch, b.Scope, set.Epoch)
	}
	s.witnesses[b.Scope] = WitnessSet{Epoch: b.Epoch, Current: slices.Clone(b.Members)}
	return Outcome{Applied: true}
}

func (s *State) assignHome(p record.Positioned, b record.HomeAssigned) Outcome {
	current := s.homes[b.Server]
	if current.Term != b.PreviousTerm {
		return refused("home of %s has term %d, the record expects %d", b.Server, current.Term, b.PreviousTerm)
	}
	if b.Handover && p.Record.Proposer != current.Incarnation {
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
	if scope, _ := s.ScopeOf(b.Server); scope != ScopeAll && home.Zone != server.Zone {
		return refused("host %s is not in zone %s of Server/%s", home.Host, server.Zone, b.Server)
	}
	s.homes[b.Server] = Home{
		Incarnation: b.Home, Term: p.Offset,
		PreviousTerm: current.Term, PreviousHome: current.Incarnation, Handover: b.Handover,
	}
	return Outcome{Applied: true}
}
