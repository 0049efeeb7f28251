package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an evacuation that is lost, or that goes on after its end, because the
// store and the leader deliver late, again, out of order or not at all.
func TestNewestEvacuationsWin(t *testing.T) {
	type list []string              // of a snapshot or another host
	type records []EvacuationRecord // of the store
	type step struct {
		update any
		offset uint64
		want   []string
	}
	for name, steps := range map[string][]step{
		"late list of the leader": {{records{{Zone: "a", Offset: 4}}, 5, []string{"a"}}, {list{}, 4, []string{"a"}}},
		"end, then a late list":   {{list{"a"}, 5, []string{"a"}}, {list{"a"}, 5, []string{"a"}}, {list{}, 6, nil}, {list{"a"}, 5, nil}},
		"records of which the leader read the first": {{list{"a", "c"}, 7, []string{"a", "c"}},
			{records{{Zone: "c", Offset: 6, Ended: true}, {Zone: "a", Offset: 7, Ended: true}, {Zone: "b", Offset: 8}}, 9, []string{"b", "c"}}},
		"end missed, snapshot without it": {{records{{Zone: "a", Offset: 4}, {Zone: "b", Offset: 5}}, 6, []string{"a", "b"}}, {list{"b"}, 20, []string{"b"}}},
		"ended and started between reads": {{records{{Zone: "a", Offset: 4}, {Zone: "a", Offset: 5, Ended: true}, {Zone: "a", Offset: 6}}, 7, []string{"a"}}},
	} {
		d := New(time.Minute)
		d.Put(0, Server{ID: "1", Born: 1, Zone: "a"})
		for i, s := range steps {
			before := d.Evacuations().Zones()
			var change EvacuationChange
			switch update := s.update.(type) {
			case list:
				change, _ = d.Evacuations().Replace(time.Second, update, s.offset)
			case records:
				change = d.Evacuations().Apply(time.Second, update, s.offset)
			}
			require.Equal(t, s.want, d.Evacuations().Zones(), "%s, step %d", name, i)
			require.Equal(t, len(s.want)-len(before), len(change.Started)-len(change.Ended), "%s, step %d: %v", name, i, change)
			server := d.All()["1"]
			require.Equal(t, len(s.want) > 0 && s.want[0] == "a", server.Evacuated, "%s, step %d", name, i)
			require.False(t, server.Draining || d.Leaving(server.Life()), "the life goes on")
		}
	}
}

// Guards against requests to an evacuated zone after the store was restored from a copy
// without the record: the operator has not ended the evacuation, and writes the record
// again. Guards against an evacuation that never ends because it does not.
func TestEvacuationOutlastsARestore(t *testing.T) {
	const era = 1 << eraShift
	lost, ended := EvacuationChange{Ended: []string{"a"}}, records("a", true)
	start := func() *Evacuations {
		e := newEvacuations()
		e.Replace(0, []string{"a", "b"}, 90)
		change, _ := e.Replace(time.Second, []string{"b"}, era|10)
		require.Empty(t, change)
		require.Equal(t, []string{"b"}, e.Listed())
		require.True(t, e.mark(Server{Zone: "a"}).Evacuated)
		return &e
	}
	e := start()
	require.Empty(t, e.Expire(time.Second+carryTime-1))
	require.Equal(t, lost, e.Expire(time.Second+carryTime))
	require.Equal(t, time.Second+carryTime, e.mark(Server{Zone: "a"}).EvacuationEndedAt)

	e = start()
	require.Empty(t, e.Apply(2*time.Second, records("a", false), era|11), "the operator writes it again")
	require.Empty(t, e.Expire(time.Hour))
	require.Equal(t, lost, e.Apply(time.Hour, []EvacuationRecord{{Zone: "a", Offset: era | 11, Ended: true}}, era|12))

	require.Equal(t, lost, start().Apply(2*time.Second, ended, era|11), "the operator ends it")
	e = start()
	change, _ := e.Replace(3*time.Second, nil, 2*era|5)
	require.Empty(t, change, "a second restore")
	require.Equal(t, lost, e.Expire(time.Second+carryTime))
}

func records(zone string, ended bool) []EvacuationRecord {
	return []EvacuationRecord{{Zone: zone, Offset: 1<<eraShift | 10, Ended: ended}}
}
