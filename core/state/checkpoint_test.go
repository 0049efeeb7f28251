package state

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/keyspace"
	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/resource"
)

// fold applies bodies at the next offsets and requires that each has an effect.
func fold(t require.TestingT, s *State, bodies ...record.Body) {
	for _, b := range bodies {
		out, err := s.Apply(record.LogEntry{Offset: s.AppliedOffset() + 1, Record: record.Record{Body: b}})
		require.NoError(t, err)
		require.True(t, out.Applied, out.Reason)
	}
}

// newService returns a state with a service of n slices over the given servers.
func newService(t require.TestingT, n, servers int) *State {
	s := New()
	fold(t, s,
		record.ResourcePut{Resource: resource.Resource{Name: "urgent", Spec: &resource.Rank{}}, ChangeID: "c"},
		record.ResourcePut{Resource: resource.Resource{Name: "svc", Spec: &resource.Service{Ranks: []string{"urgent"}, DefaultRank: "urgent"}}},
		record.HostJoined{Host: "h", Incarnation: "inc", Zone: "a", PeerURL: "http://h"},
	)
	for i := range servers {
		spec := &resource.Server{Service: "svc", Zone: "a", Address: "http://127.0.0.1:1", Slots: 1, Connections: 1}
		fold(t, s, record.ResourcePut{Resource: resource.Resource{Name: serverName(i), Spec: spec}})
	}
	placed := make([]record.SlicePlacement, n)
	for i, r := range keyspace.Divide(n) {
		placed[i] = record.SlicePlacement{Range: r, Server: serverName(i % servers)}
	}
	fold(t, s, record.SlicesPlaced{Service: "svc", Slices: placed})
	return s
}

func serverName(i int) string { return fmt.Sprintf("server-%d", i) }

func partsOf(s *State) []record.CheckpointPart {
	parts, digest := EncodeCheckpoint(s)
	list := make([]record.CheckpointPart, len(parts))
	for i, p := range parts {
		list[i] = record.CheckpointPart{BaseOffset: s.AppliedOffset(), PartIndex: i, PartCount: len(parts), Digest: digest, Payload: p}
	}
	return list
}

// Guards against a collector that depends on the order of parts, counts a
// duplicate as a new part, or mixes two checkpoints.
func TestCollector(t *testing.T) {
	older := newService(t, 20_000, 3)
	newer := newService(t, 20_000, 3)
	slice := newer.SliceTable("svc").Lookup(0)
	fold(t, newer, record.SlicesMoved{Service: "svc", Moves: []record.SliceMove{{
		Range: slice.Range, Generation: slice.Generation, From: slice.Server, To: "server-1",
	}}})
	a, b := partsOf(older), partsOf(newer)
	require.Greater(t, len(b), 2)
	var c CheckpointAssembler
	for i := len(b) - 1; i >= 0; i-- {
		for range 2 {
			if s, err := c.AddPart(a[min(i+1, len(a)-1)]); s != nil || err != nil {
				t.Fatal("incomplete checkpoint accepted")
			}
		}
		s, err := c.AddPart(b[i])
		require.NoError(t, err)
		require.Equal(t, i == 0, s != nil)
		if s != nil {
			require.Equal(t, b, partsOf(s))
			require.Equal(t, newer.OwnedSliceCount("server-1"), s.OwnedSliceCount("server-1"))
		}
	}
}

// Guards against parts that exceed the size of a log record, and against a panic
// or an accepted state on damaged checkpoints.
func TestBadCheckpoints(t *testing.T) {
	parts, digest := EncodeCheckpoint(newService(t, 5000, 3))
	data := []byte{}
	for _, p := range parts {
		require.LessOrEqual(t, len(p), MaxCheckpointPartBytes)
		data = append(data, p...)
	}
	_, err := DecodeCheckpoint(parts[:len(parts)-1], digest)
	require.ErrorIs(t, err, ErrBadCheckpoint)
	for cut := 0; cut < len(data); cut += 97 {
		_, err := DecodeCheckpoint([][]byte{data[:cut]}, checkpointDigest(data[:cut]))
		require.ErrorIs(t, err, ErrBadCheckpoint)
	}
	for at := 0; at < len(data); at += 101 {
		damaged := append([]byte{}, data...)
		damaged[at] ^= 0x5a
		_, _ = DecodeCheckpoint([][]byte{damaged}, checkpointDigest(damaged))
	}
	var c CheckpointAssembler
	for _, p := range []record.CheckpointPart{{}, {PartCount: 1, PartIndex: -1}, {PartCount: 1 << 30, Payload: []byte{1}}, {PartCount: 2, PartIndex: 2, Payload: []byte{1}}} {
		s, err := c.AddPart(p)
		require.Nil(t, s)
		require.NoError(t, err)
	}
}
