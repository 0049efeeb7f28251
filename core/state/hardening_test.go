package state

import (
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/keyspace"
	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/resource"
)

func refuse(t *testing.T, s *State, b record.Body) {
	t.Helper()
	out, err := s.Apply(record.LogEntry{Offset: s.AppliedOffset() + 1, Record: record.Record{Body: b}})
	require.NoError(t, err)
	require.False(t, out.Applied)
}

// Guards against a copy of a creation that brings back a deleted resource or a
// member that left, and against remembering them without limit.
func TestDepartures(t *testing.T) {
	s := New()
	put := record.ResourcePut{Resource: resource.Resource{Name: "r", Spec: &resource.Rank{}}, ChangeID: "create"}
	join := record.HostJoined{Host: "h", Incarnation: "inc"}
	fold(t, s, put, join)
	version := s.AppliedOffset() - 1
	fold(t, s, record.ResourceDelete{Key: put.Resource.Key(), ExpectedVersion: version, ChangeID: "delete"}, record.HostLeft{Incarnation: "inc"}, put)
	refuse(t, s, join)
	require.Empty(t, s.Resources(resource.KindRank))
	require.Empty(t, s.Members())
	s.applied += departureMemory + 1
	fold(t, s, record.CheckpointPart{})
	require.Equal(t, content(New()), content(s))
}

// Guards against records that weaken the protection of slices: another witness
// scope while slices have owners, and a forced move off a server whose release
// must be confirmed.
func TestProtectionOfSlices(t *testing.T) {
	s := newService(t, 4, 2)
	svc, _ := s.Resource(resource.Key{Kind: resource.KindService, Name: "svc"})
	all := resource.Service{Scope: resource.ScopeAll, Ranks: []string{"urgent"}, DefaultRank: "urgent"}
	refuse(t, s, record.ResourcePut{Resource: resource.Resource{Name: "svc", Spec: &all}, ExpectedVersion: svc.Version})

	server, _ := s.Resource(resource.Key{Kind: resource.KindServer, Name: "server-0"})
	spec := *server.Spec.(*resource.Server)
	spec.RequireReleaseConfirmation = true
	fold(t, s, record.ResourcePut{Resource: resource.Resource{Name: "server-0", Spec: &spec}, ExpectedVersion: server.Version})
	slice := s.SliceTable("svc").Lookup(0)
	move := record.SlicesMoved{Service: "svc", Moves: []record.SliceMove{{Range: slice.Range, Generation: slice.Generation, From: "server-0", To: "server-1"}}}
	refuse(t, s, move)
	move.Released = true
	fold(t, s, move)
}

// Guards against witness sets without a possible majority and a first assignment
// that claims to be a handover.
func TestMemberRecords(t *testing.T) {
	s := newService(t, 1, 1)
	refuse(t, s, record.WitnessProposed{Scope: "all", Epoch: 1, Members: []string{"inc", "inc"}})
	refuse(t, s, record.WitnessProposed{Scope: "all", Epoch: 1, Members: []string{"unknown"}})
	refuse(t, s, record.WitnessProposed{Scope: "zone:", Epoch: 1, Members: []string{"inc"}})
	refuse(t, s, record.HomeAssigned{Server: "server-0", Home: "inc", Handover: true})
	fold(t, s, record.WitnessProposed{Scope: "zone:a", Epoch: 1, Members: []string{"inc"}}, record.WitnessActivated{Scope: "zone:a", Epoch: 1})
	require.Equal(t, s.AppliedOffset(), s.WitnessSetOf("zone:a").Since)
}

// Guards against a search that starts from the width of a leaf and goes wrong
// where slices differ much in width, hold a single hash, or end at the last hash.
func TestLookupOfUnevenSlices(t *testing.T) {
	firsts := []uint64{0}
	for shift := range 64 {
		firsts = append(firsts, 1<<shift)
	}
	for i := range uint64(200) {
		firsts = append(firsts, 1<<63+1+i, math.MaxUint64-i)
	}
	slices.Sort(firsts)
	var list []Slice
	for i, first := range firsts {
		last := uint64(math.MaxUint64)
		if i+1 < len(firsts) {
			last = firsts[i+1] - 1
		}
		list = append(list, NewPlacedSlice(keyspace.Range{First: first, Last: last}, "s", 1))
	}
	for n := 1; n <= len(list); n++ {
		table := NewSliceTable(append(slices.Clone(list[:n-1]), NewPlacedSlice(keyspace.Range{First: firsts[n-1], Last: math.MaxUint64}, "s", 1)))
		for _, slice := range list[:n] {
			require.Equal(t, slice.Range.First, table.Lookup(slice.Range.First).Range.First)
			require.Equal(t, slice.Range.First, table.Lookup(slice.Range.Last).Range.First)
		}
		require.Equal(t, firsts[n-1], table.Lookup(math.MaxUint64).Range.First)
	}
}
