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

// requireRefused applies a record with this body and requires that it does not take effect.
func requireRefused(t *testing.T, s *State, b record.Body) {
	t.Helper()
	out, err := s.Apply(record.LogEntry{Offset: s.AppliedOffset() + 1, Record: record.Record{Body: b}})
	require.NoError(t, err)
	require.False(t, out.TookEffect)
}

// Guards against a late copy of a record that creates a deleted resource or adds a departed
// member again, and against a memory of removals that grows without limit.
func TestRemovedItemsStayRemoved(t *testing.T) {
	s := New()
	put := record.ResourcePut{Resource: resource.Resource{Name: "r", Spec: &resource.Rank{}}, ChangeID: "create"}
	joined := record.HostJoined{Host: "h", Incarnation: "inc"}
	applyAll(t, s, put, joined)
	version := s.AppliedOffset() - 1
	applyAll(t, s, record.ResourceDelete{Key: put.Resource.Key(), ExpectedVersion: version, ChangeID: "delete"}, record.HostLeft{Incarnation: "inc"}, put)
	requireRefused(t, s, joined)
	require.Empty(t, s.Resources(resource.KindRank))
	require.Empty(t, s.Members())
	s.appliedOffset += removalRetentionOffsets + 1
	applyAll(t, s, record.CheckpointPart{})
	require.Equal(t, comparableEncoding(New()), comparableEncoding(s))
}

// Guards against records that could give a slice two owners at a time: a change of the
// witness scope while slices have owners, and a move without a confirmed release from a
// server that requires one.
func TestUnsafeChangesOfSlicesAreRefused(t *testing.T) {
	s := newStateWithSlices(t, 4, 2)
	svc, _ := s.Resource(resource.Key{Kind: resource.KindService, Name: "svc"})
	all := resource.Service{Scope: resource.ScopeAll, Ranks: []string{"urgent"}, DefaultRank: "urgent"}
	requireRefused(t, s, record.ResourcePut{Resource: resource.Resource{Name: "svc", Spec: &all}, ExpectedVersion: svc.Version})

	server, _ := s.Resource(resource.Key{Kind: resource.KindServer, Name: "server-0"})
	spec := *server.Spec.(*resource.Server)
	spec.RequireReleaseConfirmation = true
	applyAll(t, s, record.ResourcePut{Resource: resource.Resource{Name: "server-0", Spec: &spec}, ExpectedVersion: server.Version})
	slice := s.SliceTable("svc").Lookup(0)
	move := record.SlicesMoved{Service: "svc", Moves: []record.SliceMove{{Range: slice.Range, Generation: slice.Generation, From: "server-0", To: "server-1"}}}
	requireRefused(t, s, move)
	move.Released = true
	applyAll(t, s, move)
}

// Guards against witness sets that can never reach a majority, against a first home
// assignment that claims to be a handover, and against an activated witness set that does
// not name the offset of its activation.
func TestInvalidWitnessSetsAndHandoversAreRefused(t *testing.T) {
	s := newStateWithSlices(t, 1, 1)
	requireRefused(t, s, record.WitnessProposed{Scope: "all", Epoch: 1, Members: []string{"inc", "inc"}})
	requireRefused(t, s, record.WitnessProposed{Scope: "all", Epoch: 1, Members: []string{"unknown"}})
	requireRefused(t, s, record.WitnessProposed{Scope: "zone:", Epoch: 1, Members: []string{"inc"}})
	requireRefused(t, s, record.HomeAssigned{Server: "server-0", HomeIncarnation: "inc", Handover: true})
	applyAll(t, s, record.WitnessProposed{Scope: "zone:a", Epoch: 1, Members: []string{"inc"}}, record.WitnessActivated{Scope: "zone:a", Epoch: 1})
	require.Equal(t, s.AppliedOffset(), s.WitnessSetOf("zone:a").Since)
}

// Guards against a lookup that estimates the position from the width of a leaf and returns
// a wrong slice where slices differ much in width, hold a single hash, or end at the last
// hash.
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
