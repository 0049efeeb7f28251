package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an evacuation that is lost, or that goes on after its end, because the
// store and the leader deliver late, again, out of order or not at all.
func TestNewestEvacuationsWin(t *testing.T) {
	type step struct {
		list    []string           // of a snapshot or another host; nil for records
		records []EvacuationRecord // of the store
		offset  uint64
		want    []string
	}
	record := func(zone string, offset uint64) EvacuationRecord {
		return EvacuationRecord{Zone: zone, Offset: offset}
	}
	end := func(zone string, offset uint64) EvacuationRecord {
		return EvacuationRecord{Zone: zone, Offset: offset, Ended: true}
	}
	none := []string{}
	for name, steps := range map[string][]step{
		"late list of the leader": {{records: []EvacuationRecord{record("a", 4)}, offset: 5, want: []string{"a"}}, {list: none, offset: 4, want: []string{"a"}}},
		"repeated list":           {{list: []string{"a"}, offset: 5, want: []string{"a"}}, {list: []string{"a"}, offset: 5, want: []string{"a"}}},
		"end, then a late list":   {{list: []string{"a"}, offset: 5, want: []string{"a"}}, {list: none, offset: 6}, {list: []string{"a"}, offset: 5}},
		"records that the leader read before": {{list: []string{"b"}, offset: 9, want: []string{"b"}},
			{records: []EvacuationRecord{record("a", 6), end("b", 7)}, offset: 8, want: []string{"b"}}},
		"records of which the leader read the first": {{list: []string{"a"}, offset: 7, want: []string{"a"}},
			{records: []EvacuationRecord{record("a", 6), end("a", 7), record("b", 8)}, offset: 9, want: []string{"b"}}},
		"end missed, snapshot without it":       {{records: []EvacuationRecord{record("a", 4), record("b", 5)}, offset: 6, want: []string{"a", "b"}}, {list: []string{"b"}, offset: 20, want: []string{"b"}}},
		"ended and started again between reads": {{records: []EvacuationRecord{record("a", 4), end("a", 5), record("a", 6)}, offset: 7, want: []string{"a"}}},
		"several zones, ended out of order":     {{list: []string{"b", "a"}, offset: 5, want: []string{"a", "b"}}, {records: []EvacuationRecord{end("c", 5), end("a", 6)}, offset: 7, want: []string{"b"}}},
	} {
		d := New(time.Minute)
		d.Put(0, Server{ID: "1", Born: 1, Zone: "a"})
		for i, s := range steps {
			before := d.Evacuations().Zones()
			var change EvacuationChange
			if s.list != nil {
				change, _ = d.Evacuations().Replace(time.Second, s.list, s.offset)
			} else {
				change = d.Evacuations().Apply(time.Second, s.records, s.offset)
			}
			zones := d.Evacuations().Zones()
			require.ElementsMatch(t, s.want, zones, "%s, step %d", name, i)
			require.Equal(t, len(zones)-len(before), len(change.Started)-len(change.Ended), "%s, step %d: %v", name, i, change)
			server := d.All()["1"]
			require.Equal(t, len(zones) > 0 && zones[0] == "a", server.Evacuated, "%s, step %d", name, i)
			require.False(t, server.Draining || d.Leaving(server.Life()), "the life goes on")
		}
	}
}

// Guards against a server that counts as new when the evacuation of its zone ends: the
// leader would move all its keys back at once.
func TestEndOfAnEvacuationIsKept(t *testing.T) {
	d := New(time.Minute)
	d.Put(0, Server{ID: "1", Born: 1, Zone: "a"})
	d.Evacuations().Replace(time.Second, []string{"a"}, 1)
	d.Evacuations().Replace(2*time.Second, nil, 2)
	d.ResetFromLeader(3*time.Second, map[string]Server{"1": {ID: "1", Born: 2, Zone: "a"}}, 1)
	server := d.All()["1"]
	require.Equal(t, 2*time.Second, server.EvacuationEndedAt)
	require.Zero(t, server.WithoutLocalState().EvacuationEndedAt)
	d.Evacuations().Replace(4*time.Second, []string{"a"}, 3)
	require.Zero(t, d.All()["1"].EvacuationEndedAt)
}

// Guards against requests to an evacuated zone after the store was restored from a copy
// without the record: the operator has not ended the evacuation, and writes the record
// again. Guards against an evacuation that never ends because it does not.
func TestEvacuationOutlastsARestore(t *testing.T) {
	const era = 1 << eraShift
	start := func() *Evacuations {
		d := New(time.Minute)
		d.Evacuations().Replace(0, []string{"a", "b"}, 90)
		change, applied := d.Evacuations().Replace(time.Second, []string{"b"}, era|10)
		require.True(t, applied)
		require.Empty(t, change)
		require.Equal(t, []string{"a", "b"}, d.Evacuations().Zones())
		require.Equal(t, []string{"b"}, d.Evacuations().Listed())
		require.True(t, d.evacuations.mark(Server{Zone: "a"}).Evacuated)
		return d.Evacuations()
	}
	e := start()
	require.Empty(t, e.Expire(time.Second+carryTime-1))
	require.Equal(t, EvacuationChange{Ended: []string{"a"}}, e.Expire(time.Second+carryTime))
	require.Equal(t, time.Second+carryTime, e.mark(Server{Zone: "a"}).EvacuationEndedAt)

	e = start()
	require.Empty(t, e.Apply(2*time.Second, []EvacuationRecord{{Zone: "a", Offset: era | 10}}, era|11), "the operator writes it again")
	require.Empty(t, e.Expire(time.Hour))
	require.Equal(t, []string{"a", "b"}, e.Listed())

	e = start()
	change := e.Apply(2*time.Second, []EvacuationRecord{{Zone: "a", Offset: era | 10, Ended: true}}, era|11)
	require.Equal(t, EvacuationChange{Ended: []string{"a"}}, change, "the operator ends it")

	e = start()
	change, _ = e.Replace(3*time.Second, nil, 2*era|5)
	require.Empty(t, change, "a second restore")
	require.Equal(t, EvacuationChange{Ended: []string{"a"}}, e.Expire(time.Second+carryTime))
	change, _ = e.Replace(4*time.Second, []string{"b"}, era|20)
	require.Empty(t, change, "the former era")
}
