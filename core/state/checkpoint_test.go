package state

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/keyspace"
	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/resource"
)

// applyAll applies records with these bodies at the next offsets and requires that each
// takes effect.
func applyAll(t require.TestingT, s *State, bodies ...record.Body) {
	for _, b := range bodies {
		out, err := s.Apply(record.LogEntry{Offset: s.AppliedOffset() + 1, Record: record.Record{Body: b}})
		require.NoError(t, err)
		require.True(t, out.TookEffect, out.Reason)
	}
}

// newStateWithSlices returns a state with the service svc, whose slices are spread over its
// servers in turn.
func newStateWithSlices(t require.TestingT, sliceCount, serverCount int) *State {
	s := New()
	applyAll(t, s,
		record.ResourcePut{Resource: resource.Resource{Name: "urgent", Spec: &resource.Rank{}}, ChangeID: "c"},
		record.ResourcePut{Resource: resource.Resource{Name: "svc", Spec: &resource.Service{Ranks: []string{"urgent"}, DefaultRank: "urgent"}}},
		record.HostJoined{Host: "h", Incarnation: "inc", Zone: "a", PeerURL: "http://h"},
	)
	for i := range serverCount {
		spec := &resource.Server{Service: "svc", Zone: "a", Address: "http://127.0.0.1:1", Slots: 1, Connections: 1}
		applyAll(t, s, record.ResourcePut{Resource: resource.Resource{Name: serverName(i), Spec: spec}})
	}
	placements := make([]record.SlicePlacement, sliceCount)
	for i, r := range keyspace.EqualRanges(sliceCount) {
		placements[i] = record.SlicePlacement{Range: r, Server: serverName(i % serverCount)}
	}
	applyAll(t, s, record.SlicesPlaced{Service: "svc", Slices: placements})
	return s
}

func serverName(i int) string { return fmt.Sprintf("server-%d", i) }

// checkpointPartsOf returns the checkpoint of a state as the bodies of its records.
func checkpointPartsOf(s *State) []record.CheckpointPart {
	parts, digest := EncodeCheckpoint(s)
	list := make([]record.CheckpointPart, len(parts))
	for i, p := range parts {
		list[i] = record.CheckpointPart{BaseOffset: s.AppliedOffset(), PartIndex: i, PartCount: len(parts), Digest: digest, Payload: p}
	}
	return list
}

// Guards against an assembler that depends on the order of parts, counts a duplicate as a
// new part, or mixes the parts of two checkpoints.
func TestCheckpointAssembler(t *testing.T) {
	older := newStateWithSlices(t, 20_000, 3)
	newer := newStateWithSlices(t, 20_000, 3)
	slice := newer.SliceTable("svc").Lookup(0)
	applyAll(t, newer, record.SlicesMoved{Service: "svc", Moves: []record.SliceMove{{
		Range: slice.Range, Generation: slice.Generation, From: slice.Server, To: "server-1",
	}}})
	olderParts, newerParts := checkpointPartsOf(older), checkpointPartsOf(newer)
	require.Greater(t, len(newerParts), 2)
	var assembler CheckpointAssembler
	for i := len(newerParts) - 1; i >= 0; i-- {
		for range 2 {
			// Part 0 of the older checkpoint is never added, so it stays incomplete.
			if s, err := assembler.AddPart(olderParts[min(i+1, len(olderParts)-1)]); s != nil || err != nil {
				t.Fatal("a checkpoint without all its parts was accepted")
			}
		}
		s, err := assembler.AddPart(newerParts[i])
		require.NoError(t, err)
		require.Equal(t, i == 0, s != nil)
		if s != nil {
			require.Equal(t, newerParts, checkpointPartsOf(s))
			require.Equal(t, newer.OwnedSliceCount("server-1"), s.OwnedSliceCount("server-1"))
		}
	}
}

// Guards against parts that exceed the size of a log record, against a panic on damaged
// checkpoints, and against an accepted state from truncated ones.
func TestBadCheckpoints(t *testing.T) {
	parts, digest := EncodeCheckpoint(newStateWithSlices(t, 5000, 3))
	data := []byte{}
	for _, p := range parts {
		require.LessOrEqual(t, len(p), MaxCheckpointPartBytes)
		data = append(data, p...)
	}
	_, err := DecodeCheckpoint(parts[:len(parts)-1], digest)
	require.ErrorIs(t, err, ErrBadCheckpoint)
	for length := 0; length < len(data); length += 97 {
		_, err := DecodeCheckpoint([][]byte{data[:length]}, checkpointDigest(data[:length]))
		require.ErrorIs(t, err, ErrBadCheckpoint)
	}
	for position := 0; position < len(data); position += 101 {
		damaged := append([]byte{}, data...)
		damaged[position] ^= 0x5a
		_, err := DecodeCheckpoint([][]byte{damaged}, digest)
		require.ErrorIs(t, err, ErrBadCheckpoint, "damaged at byte %d", position)
		// With a digest that matches the damage, the state may be another valid one.
		if s, err := DecodeCheckpoint([][]byte{damaged}, checkpointDigest(damaged)); err != nil {
			require.ErrorIs(t, err, ErrBadCheckpoint)
		} else {
			EncodeCheckpoint(s)
		}
	}
	var assembler CheckpointAssembler
	for _, p := range []record.CheckpointPart{{}, {PartCount: 1, PartIndex: -1}, {PartCount: 1 << 30, Payload: []byte{1}}, {PartCount: 2, PartIndex: 2, Payload: []byte{1}}} {
		s, err := assembler.AddPart(p)
		require.Nil(t, s)
		require.NoError(t, err)
	}
}
