// Package state is the replicated state that all daemons agree on: resources, members,
// witness sets, homes and the owners of slices. It is built by applying the records of
// the platform log in order and depends on nothing but these records.
//
// A member is a daemon that joined through the log; its incarnation identifies one process
// of it. A slice is a range of key hashes, and its owner is the backend server that handles
// these keys. The home of a server is the only daemon that sends requests to it. The term
// of a home and the generation of a slice are the offsets of the records that last assigned
// them. The epoch of a witness set counts the sets of its scope. Package ownership
// describes the protocol that uses this state.
package state

import (
	"fmt"
	"maps"
	"slices"

	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/resource"
)

// WitnessScopeAll is the witness scope of services whose Scope is resource.ScopeAll. Its
// witnesses come from all zones.
const WitnessScopeAll = "all"

// WitnessScopeOfZone returns the witness scope of an availability zone.
func WitnessScopeOfZone(zone string) string {
	return "zone:" + zone
}

// Member is a daemon that joined and has not left. The names of its fields are part of the
// checkpoint format.
type Member struct {
	Host        string
	Incarnation string
	Zone        string
	PeerURL     string
	JoinedAt    uint64 // offset of the host_joined record
}

// WitnessSet holds the witnesses of one scope: the members of which a majority must
// respond before a daemon obtains a lease or counts an offset as confirmed. While Pending
// is not empty, a majority of Current and one of Pending are needed. The names of its
// fields are part of the checkpoint format.
type WitnessSet struct {
	Epoch     uint64   // of Current
	Since     uint64   // offset of the record that made Current the only set
	Current   []string // incarnations
	Pending   []string // incarnations of the proposed set, empty if there is none
	PendingAt uint64   // offset of the proposal
}

// Home is the daemon that is the only one to send requests to a backend server. A Home
// with term 0 stands for none. The names of its fields are part of the checkpoint format.
type Home struct {
	Incarnation  string
	Term         uint64 // offset of the home_assigned record
	PreviousTerm uint64
	PreviousHome string // incarnation
	Handover     bool   // the previous home proposed the assignment itself
}

// ApplyResult is the result of applying a record.
type ApplyResult struct {
	// TookEffect is true if the record or an earlier copy of it took effect. It is also
	// true for a checkpoint part, which never changes the state.
	TookEffect bool
	Reason     string // why the record was refused, for operators
	// CurrentResource is the stored resource after a put or a copy of one, or the one
	// whose version conflicts with a put or delete. It is nil in all other cases and if
	// the resource does not exist.
	CurrentResource *resource.Resource
}

// State is the result of applying a prefix of the log. It is not safe for concurrent
// use; the tables that it returns may be shared, since they do not change.
type State struct {
	appliedOffset  uint64
	resources      map[resource.Key]resource.Resource
	changes        map[resource.Key]changeIDs // also of recently deleted resources
	members        map[string]Member          // by incarnation
	witnessSets    map[string]WitnessSet      // by scope
	homes          map[string]Home            // by server
	tables         map[string]*SliceTable     // by service
	ownedStarts    map[string]*hashSet        // first hashes of the slices that a server owns, by server
	removals       *recentRemovals
	refusedChanges *refusedChanges
	editToken      *editToken // marks what may be changed in place; nil after a snapshot
	interned       *internPool
}

// changeIDs are the ids of the last change of a resource and of the one that created it.
// A change without an id of its own has the id of its record.
type changeIDs struct {
	Last     string `json:"last"`    // last accepted put or delete
	Creation string `json:"created"` // put that created the resource
}

// New returns the state before the first record.
func New() *State {
	return &State{
		resources:      map[resource.Key]resource.Resource{},
		changes:        map[resource.Key]changeIDs{},
		members:        map[string]Member{},
		witnessSets:    map[string]WitnessSet{},
		homes:          map[string]Home{},
		tables:         map[string]*SliceTable{},
		ownedStarts:    map[string]*hashSet{},
		removals:       newRecentRemovals(),
		refusedChanges: newRefusedChanges(),
		interned:       newInternPool(),
	}
}

// AppliedOffset returns the offset of the last applied record, 0 for none.
func (s *State) AppliedOffset() uint64 { return s.appliedOffset }

// Resource returns a resource by key.
func (s *State) Resource(key resource.Key) (resource.Resource, bool) {
	r, ok := s.resources[key]
	return r, ok
}

// Resources returns all resources of a kind in the order of their names.
func (s *State) Resources(kind resource.Kind) []resource.Resource {
	var list []resource.Resource
	for key, r := range s.resources {
		if key.Kind == kind {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b resource.Resource) int { return compareStrings(a.Name, b.Name) })
	return list
}

// Server returns the spec of a server.
func (s *State) Server(name string) (*resource.Server, bool) {
	return specOf[*resource.Server](s, resource.KindServer, name)
}

// Service returns the spec of a service.
func (s *State) Service(name string) (*resource.Service, bool) {
	return specOf[*resource.Service](s, resource.KindService, name)
}

// Rank returns the spec of a rank.
func (s *State) Rank(name string) (*resource.Rank, bool) {
	return specOf[*resource.Rank](s, resource.KindRank, name)
}

func specOf[T resource.Spec](s *State, kind resource.Kind, name string) (T, bool) {
	r, ok := s.resources[resource.Key{Kind: kind, Name: name}]
	if !ok {
		var none T
		return none, false
	}
	spec, ok := r.Spec.(T)
	return spec, ok
}

// ZoneLostOffset returns the offset of the record that last put the Zone resource, and
// whether that resource declares the zone lost.
func (s *State) ZoneLostOffset(zone string) (uint64, bool) {
	r, ok := s.resources[resource.Key{Kind: resource.KindZone, Name: zone}]
	if !ok {
		return 0, false
	}
	spec, ok := r.Spec.(*resource.Zone)
	return r.Version, ok && spec.Lost
}

// WitnessScopeOfServer returns the scope whose witnesses give the lease under which a
// daemon may act as the home of a server.
func (s *State) WitnessScopeOfServer(server string) (string, bool) {
	srv, ok := s.Server(server)
	if !ok {
		return "", false
	}
	svc, ok := s.Service(srv.Service)
	if ok && svc.EffectiveScope() == resource.ScopeAll {
		return WitnessScopeAll, true
	}
	return WitnessScopeOfZone(srv.Zone), true
}

// Member returns a member by incarnation.
func (s *State) Member(incarnation string) (Member, bool) {
	m, ok := s.members[incarnation]
	return m, ok
}

// Members returns all members, the earliest joined first.
func (s *State) Members() []Member {
	return slices.SortedFunc(maps.Values(s.members), func(a, b Member) int {
		return compareOffsets(a.JoinedAt, b.JoinedAt)
	})
}

// WitnessSetOf returns the witness set of a scope; its epoch is 0 if there is none yet.
func (s *State) WitnessSetOf(scope string) WitnessSet { return s.witnessSets[scope] }

// WitnessSets returns all witness sets by scope.
func (s *State) WitnessSets() map[string]WitnessSet { return maps.Clone(s.witnessSets) }

// Home returns the home of a server; its term is 0 if it never had one.
func (s *State) Home(server string) Home { return s.homes[server] }

// SliceTable returns a snapshot of the slices of a service, nil before their first
// placement. It does not change when more records are applied: the next change copies the
// nodes and leaves that it touches. As it ends the current edit, it must not be called
// concurrently with other methods either.
func (s *State) SliceTable(service string) *SliceTable {
	s.editToken = nil
	return s.tables[service]
}

// currentEditToken returns the token of the current edit and starts an edit if there is
// none. An edit lasts until the next snapshot. The tables, nodes and leaves that it creates
// are in no snapshot yet and may be changed in place.
func (s *State) currentEditToken() *editToken {
	if s.editToken == nil {
		s.editToken = &editToken{}
	}
	return s.editToken
}

// OwnedSliceCount returns how many slices a server owns.
func (s *State) OwnedSliceCount(server string) int { return s.ownedStarts[server].len() }

// Apply applies the record of the next log entry. It returns an error and changes nothing
// if the offset of the entry is not the next one.
func (s *State) Apply(entry record.LogEntry) (ApplyResult, error) {
	if entry.Offset != s.appliedOffset+1 {
		return ApplyResult{}, fmt.Errorf("log entry at offset %d does not follow applied offset %d", entry.Offset, s.appliedOffset)
	}
	s.appliedOffset = entry.Offset
	s.removals.expire(entry.Offset, s.forgetDeletedResource)
	return s.applyBody(entry), nil
}

func (s *State) applyBody(entry record.LogEntry) ApplyResult {
	switch b := entry.Record.Body.(type) {
	case record.ResourcePut:
		return s.applyUnlessRefusedBefore(entry.Record, b.ChangeID, func() ApplyResult { return s.putResource(entry, b) })
	case record.ResourceDelete:
		return s.applyUnlessRefusedBefore(entry.Record, b.ChangeID, func() ApplyResult { return s.deleteResource(entry, b) })
	case record.HostJoined:
		return s.joinHost(entry.Offset, b)
	case record.HostLeft:
		return s.removeHost(entry.Offset, b)
	case record.WitnessProposed:
		return s.proposeWitnesses(entry.Offset, b)
	case record.WitnessActivated:
		return s.activateWitnesses(entry.Offset, b)
	case record.WitnessReset:
		return s.resetWitnesses(entry.Offset, b)
	case record.HomeAssigned:
		return s.assignHome(entry, b)
	case record.SlicesPlaced:
		return s.placeSlices(entry.Offset, b)
	case record.SlicesMoved:
		return s.moveSlices(entry.Offset, b)
	case record.SliceSplit:
		return s.splitSlice(b)
	case record.SliceMerged:
		return s.mergeSlices(b)
	case record.CheckpointPart:
		return ApplyResult{TookEffect: true} // does not change the state
	}
	return refused("log record has no body of a known kind")
}

// refused returns the result of a record that does not take effect.
func refused(format string, args ...any) ApplyResult {
	return ApplyResult{Reason: fmt.Sprintf(format, args...)}
}

func compareStrings(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func compareOffsets(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
