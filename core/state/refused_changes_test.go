package state

import (
	"testing"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/resource"
)

// Guards against a change that takes effect after its operator was told that it was
// refused: a late copy of the record is applied when the resource that was missing exists.
func TestRefusedChangeStaysRefused(t *testing.T) {
	s := New()
	offset := uint64(0)
	put := func(id, name string, spec resource.Spec) ApplyResult {
		offset++
		out, err := s.Apply(record.LogEntry{Offset: offset, Record: record.Record{
			ID:   id,
			Body: record.ResourcePut{Resource: resource.Resource{Name: name, Spec: spec}, ChangeID: id},
		}})
		require.NoError(t, err)
		return out
	}
	service := &resource.Service{Ranks: []string{"urgent"}, DefaultRank: "urgent"}
	require.False(t, put("a", "almacen", service).TookEffect)
	require.True(t, put("b", "urgent", &resource.Rank{}).TookEffect)

	parts, digest := EncodeCheckpoint(s)
	restored, err := DecodeCheckpoint(parts, digest)
	require.NoError(t, err)
	for name, st := range map[string]*State{"state": s, "restored": restored} {
		out, err := st.Apply(record.LogEntry{Offset: offset + 1, Record: record.Record{
			ID: "a", Body: record.ResourcePut{Resource: resource.Resource{Name: "almacen", Spec: service}, ChangeID: "a"},
		}})
		require.NoError(t, err)
		require.False(t, out.TookEffect, name)
	}
	offset++
	require.True(t, put("c", "almacen", service).TookEffect, "a new change with the same content")
}
