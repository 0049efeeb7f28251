// Package state folds the records of the platform log into the state that all
// daemons agree on. The fold is a pure function of the log's prefix.
package state

import (
	"fmt"
	"maps"
	"slices"

	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/resource"
)

// WitnessScopeAll is the witness scope of services whose Scope is resource.ScopeAll.
const WitnessScopeAll = "all"

// WitnessScopeOfZone returns the witness scope of an availability zone.
func WitnessScopeOfZone(zone string) string {
	return "zone:" + zone
}

// Member is a daemon that joined and has not left.
type Member struct {
	Host        string
	Incarnation string
	Zone        string
	PeerURL     string
	JoinedAt    uint64 // offset
}

// WitnessSet is the witness set of one scope. While Pending is not empty, both
// majorities are needed for evidence and for confirmation.
type WitnessSet struct {
	Epoch     uint64   // of Current
	Since     uint64   // offset of the record that made Current the only set
	Current   []string // incarnations
	Pending   []string
	PendingAt uint64 // offset of the proposal
}

// Home is the daemon that serves a backend server.
type Home struct {
	Incarnation  string
	Term         uint64 // offset of the record that assigned it
	PreviousTerm uint64
	PreviousHome string // incarnation
	Handover     bool   // the previous home gave it up itself
}

// ApplyResult says what a record did.
type ApplyResult struct {
	Applied bool
	Reason  string // why the record had no effect, for people
	// CurrentResource is the resource as it is, when a put or a delete lost a race; nil
	// if it does not exist.
	CurrentResource *resource.Resource
}

// State is the result of folding a prefix of the log. It is not safe for
// concurrent use; the tables that it returns may be shared, since they do not change.
type State struct {
	applied   uint64
	resources map[resource.Key]resource.Resource
	changes   map[resource.Key]changeIDs
	members   map[string]Member
	witnesses map[string]WitnessSet
	homes     map[string]Home
	tables    map[string]*SliceTable
	owned     map[string]*hashSet // first hashes of the slices of each server
	departed  *departures
	refusals  *refusals
	edit      *edit
	intern    *intern
}

// changeIDs are the ids of changes of a resource. A change without an id counts
// under the id of its record.
type changeIDs struct {
	Last    string `json:"last"` // last accepted put or delete
	Created string `json:"created"`
}

// New returns the state before the first record.
func New() *State {
	return &State{
		resources: map[resource.Key]resource.Resource{},
		changes:   map[resource.Key]changeIDs{},
		members:   map[string]Member{},
		witnesses: map[string]WitnessSet{},
		homes:     map[string]Home{},
		tables:    map[string]*SliceTable{},
		owned:     map[string]*hashSet{},
		departed:  newDepartures(),
		refusals:  newRefusals(),
		intern:    newIntern(),
	}
}

// AppliedOffset returns the offset of the last folded record, 0 for none.
func (s *State) AppliedOffset() uint64 { return s.applied }

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

// ZoneLostAt returns the version of the Zone resource that declares the zone lost.
func (s *State) ZoneLostAt(zone string) (uint64, bool) {
	r, ok := s.resources[resource.Key{Kind: resource.KindZone, Name: zone}]
	if !ok {
		return 0, false
	}
	spec, ok := r.Spec.(*resource.Zone)
	return r.Version, ok && spec.Lost
}

// WitnessScopeOfServer returns the witness scope that guards a server.
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
func (s *State) WitnessSetOf(scope string) WitnessSet { return s.witnesses[scope] }

// WitnessSets returns all witness sets by scope.
func (s *State) WitnessSets() map[string]WitnessSet { return maps.Clone(s.witnesses) }

// Home returns the home of a server; its term is 0 if it never had one.
func (s *State) Home(server string) Home { return s.homes[server] }

// SliceTable returns the slices of a service, nil before the first placement. The
// table does not change when more records are folded.
func (s *State) SliceTable(service string) *SliceTable {
	s.edit = nil
	return s.tables[service]
}

// editing returns the mark of the tables' parts that may change in place, because
// they were made after the last call of SliceTable.
func (s *State) editing() *edit {
	if s.edit == nil {
		s.edit = &edit{}
	}
	return s.edit
}

// OwnedSliceCount returns how many slices a server owns.
func (s *State) OwnedSliceCount(server string) int { return s.owned[server].len() }

// Apply folds one record. It returns an error, and changes nothing, when the
// offset is not the next one.
func (s *State) Apply(p record.LogEntry) (ApplyResult, error) {
	if p.Offset != s.applied+1 {
		return ApplyResult{}, fmt.Errorf("record at offset %d does not follow applied offset %d", p.Offset, s.applied)
	}
	s.applied = p.Offset
	s.departed.expire(p.Offset, s.forget)
	return s.apply(p), nil
}

func (s *State) apply(p record.LogEntry) ApplyResult {
	switch b := p.Record.Body.(type) {
	case record.ResourcePut:
		return s.changeOnce(p.Record, b.ChangeID, func() ApplyResult { return s.putResource(p, b) })
	case record.ResourceDelete:
		return s.changeOnce(p.Record, b.ChangeID, func() ApplyResult { return s.deleteResource(p, b) })
	case record.HostJoined:
		return s.joinHost(p.Offset, b)
	case record.HostLeft:
		return s.removeHost(p.Offset, b)
	case record.WitnessProposed:
		return s.proposeWitnesses(p.Offset, b)
	case record.WitnessActivated:
		return s.activateWitnesses(p.Offset, b)
	case record.WitnessReset:
		return s.resetWitnesses(p.Offset, b)
	case record.HomeAssigned:
		return s.assignHome(p, b)
	case record.SlicesPlaced:
		return s.placeSlices(p.Offset, b)
	case record.SlicesMoved:
		return s.moveSlices(p.Offset, b)
	case record.SliceSplit:
		return s.splitSlice(b)
	case record.SliceMerged:
		return s.mergeSlices(b)
	case record.CheckpointPart:
		return ApplyResult{Applied: true} // does not change the state
	}
	return refused("record has no body of a known type")
}

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
