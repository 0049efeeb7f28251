package state

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"parsleyrelay.example/core/keyspace"
	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/resource"
)

// history draws records against the state that it folds. About one in four is a
// copy of an earlier record, and fields are wrong now and then.
type history struct {
	t       *rapid.T
	s       *State
	records []record.LogEntry
	applied []bool
	start   int // slices before the first record, 0 for an empty state
}

func (h *history) pick(label string, n int) int { return rapid.IntRange(0, n-1).Draw(h.t, label) }

func (h *history) server() string { return fmt.Sprintf("server-%d", h.pick("server", 4)) }

func (h *history) host() string { return fmt.Sprintf("host-%d", h.pick("host", 3)+len(h.records)/16) }

// expected returns a version that is mostly the current one.
func (h *history) expected(version uint64) uint64 {
	if h.pick("stale", 8) == 0 {
		return version - 1
	}
	return version
}

func (h *history) resource() resource.Resource {
	switch h.pick("resource", 6) {
	case 0:
		return resource.Resource{Name: "rank", Spec: &resource.Rank{Level: h.pick("level", 3)}}
	case 1, 2:
		scope := []resource.Scope{resource.ScopeZone, resource.ScopeAll}[h.pick("scope", 2)]
		return resource.Resource{Name: "svc", Spec: &resource.Service{Scope: scope, Ranks: []string{"rank"}, DefaultRank: "rank"}}
	case 3:
		return resource.Resource{Name: "route", Spec: &resource.Route{PathPrefix: "/x/", Service: "svc"}}
	case 4:
		return resource.Resource{Name: "bad"}
	}
	return resource.Resource{Name: h.server(), Spec: &resource.Server{
		Service: "svc", Zone: "a", Address: "http://127.0.0.1:1", Slots: 1, Connections: 1,
		RequireReleaseConfirmation: h.pick("confirm", 4) == 0,
	}}
}

func (h *history) slice() Slice {
	if slice := h.s.SliceTable("svc").Lookup(rapid.Uint64().Draw(h.t, "hash")); slice != nil {
		return *slice
	}
	return NewPlacedSlice(keyspace.Full, "", 0)
}

func (h *history) body() record.Body {
	set := h.s.WitnessSetOf("all")
	switch h.pick("kind", 16) {
	case 0, 1, 2:
		r := h.resource()
		var version uint64
		if r.Spec != nil {
			current, _ := h.s.Resource(r.Key())
			version = current.Version
		}
		return record.ResourcePut{Resource: r, ExpectedVersion: h.expected(version), ChangeID: fmt.Sprint(len(h.records))}
	case 3:
		key := resource.Key{Kind: resource.KindServer, Name: h.server()}
		if h.pick("route", 2) == 0 {
			key = resource.Key{Kind: resource.KindRoute, Name: "route"}
		}
		current, _ := h.s.Resource(key)
		return record.ResourceDelete{Key: key, ExpectedVersion: h.expected(current.Version), ChangeID: fmt.Sprint(len(h.records))}
	case 4:
		return record.HostJoined{Host: "h", Incarnation: h.host(), Zone: "a"}
	case 5:
		return record.HostLeft{Incarnation: h.host()}
	case 6:
		return record.WitnessProposed{Scope: "all", Epoch: h.expected(set.Epoch + 1), Members: []string{h.host(), h.host()}}
	case 7:
		return record.WitnessActivated{Scope: "all", Epoch: h.expected(set.Epoch + 1)}
	case 8:
		return record.WitnessReset{Scope: "all", Epoch: h.expected(set.Epoch + 1), Members: []string{h.host()}}
	case 9:
		server := h.server()
		return record.HomeAssigned{Server: server, PreviousTerm: h.expected(h.s.Home(server).Term), Home: h.host(), Handover: h.pick("handover", 3) == 0}
	case 10:
		return record.SlicesPlaced{Service: "svc", Slices: h.placements()}
	case 11, 12:
		return h.moves()
	case 13, 14:
		return h.splitOrMerge()
	}
	return []record.Body{nil, record.CheckpointPart{PartIndex: -1}, record.SliceMerged{Service: "none"}, &record.HostLeft{}}[h.pick("odd", 4)]
}

func (h *history) placements() []record.SlicePlacement {
	var list []record.SlicePlacement
	for _, r := range keyspace.Divide(1 + h.pick("count", 2*maxLeaf)) {
		list = append(list, record.SlicePlacement{Range: r, Server: h.server()})
	}
	if h.pick("overlap", 4) == 0 {
		list = append(list, list...)
	}
	return list
}

func (h *history) moves() record.SlicesMoved {
	moved := record.SlicesMoved{Service: "svc", Released: h.pick("released", 2) == 0}
	for range 1 + h.pick("entries", 3) {
		x := h.slice()
		moved.Moves = append(moved.Moves, record.SliceMove{
			Range: x.Range, Generation: h.expected(x.Generation), From: x.Server, To: h.server(), FromTerm: h.expected(h.s.Home(x.Server).Term),
		})
	}
	return moved
}

func (h *history) splitOrMerge() record.Body {
	x := h.slice()
	if h.pick("split", 2) == 0 {
		var cuts []uint64
		for range h.pick("cuts", 3*maxLeaf) {
			cuts = append(cuts, x.Range.First+uint64(len(cuts)+1)*((x.Range.Last-x.Range.First)/uint64(4*maxLeaf)))
		}
		return record.SliceSplit{Service: "svc", Range: x.Range, Generation: h.expected(x.Generation), SplitPoints: cuts}
	}
	merged, left := x, 1+h.pick("merged", 3*maxLeaf)
	for slice := range h.s.SliceTable("svc").All {
		if slice.Range.First > x.Range.First && slice.Server == x.Server && slice.Generation == x.Generation && left > 0 {
			merged.Range.Last = slice.Range.Last
			left--
		} else if slice.Range.First > x.Range.First {
			break
		}
	}
	return record.SliceMerged{Service: "svc", Range: merged.Range, Generation: h.expected(x.Generation)}
}

// step folds one record and checks that a copy of an applied record has no effect.
func (h *history) step() {
	p := record.LogEntry{Offset: h.s.AppliedOffset() + 1}
	repeat := -1
	if len(h.records) > 0 && h.pick("duplicate", 4) == 0 {
		repeat = h.pick("of", len(h.records))
		p.Record = h.records[repeat].Record
	} else {
		p.Record = record.Record{ID: fmt.Sprint("id", p.Offset), Proposer: h.host(), Body: h.body()}
	}
	before, owner := content(h.s), ownersOf(h.s.SliceTable("svc"))
	out, err := h.s.Apply(p)
	require.NoError(h.t, err)
	if !out.Applied || repeat >= 0 && h.applied[repeat] {
		switch p.Record.Body.(type) {
		case record.SliceSplit, record.SliceMerged:
			// A merge restores the slice that an earlier split names, so a copy of
			// the split can apply again. Owner and generation of no hash change.
			require.Equal(h.t, owner, ownersOf(h.s.SliceTable("svc")))
		default:
			require.Equal(h.t, before, content(h.s), "%T", p.Record.Body)
		}
	}
	h.records = append(h.records, p)
	h.applied = append(h.applied, out.Applied)
}

// ownersOf joins neighbouring slices of the same owner and generation.
func ownersOf(table *SliceTable) []Slice {
	var list []Slice
	for slice := range table.All {
		if n := len(list) - 1; n >= 0 && list[n].Server == slice.Server && list[n].Generation == slice.Generation {
			list[n].Range.Last = slice.Range.Last
		} else {
			list = append(list, *slice)
		}
	}
	return list
}

// content is the state without its offset and without the memory of refused
// changes, which is all that a refused change may alter.
func content(s *State) string {
	c := *s
	c.applied = 0
	c.refusals = newRefusals()
	return string(c.encode())
}

func checkTable(t require.TestingT, s *State) {
	table := s.SliceTable("svc")
	if table == nil {
		return
	}
	owned, count, next := map[string][]Slice{}, 0, uint64(0)
	for slice := range table.All {
		require.Equal(t, next, slice.Range.First)
		require.LessOrEqual(t, slice.Range.First, slice.Range.Last)
		require.Equal(t, *slice, *table.Lookup(slice.Range.First))
		require.Equal(t, *slice, *table.Lookup(slice.Range.Last))
		next = slice.Range.Last + 1
		owned[slice.Server] = append(owned[slice.Server], *slice)
		count++
	}
	require.Zero(t, next, "the last slice ends at the end of the key space")
	require.Equal(t, uint64(math.MaxUint64), table.Lookup(math.MaxUint64).Range.Last)
	require.Equal(t, count, table.Len())
	for i := range 4 {
		var list []Slice
		for slice := range s.SlicesOwnedBy(serverName(i)) {
			list = append(list, *slice)
		}
		require.Equal(t, owned[serverName(i)], list)
		require.Len(t, list, s.OwnedSliceCount(serverName(i)))
	}
}

// Guards against a fold that depends on anything but the records, duplicates
// that have an effect, gaps in the key space, wrong counts of slices, snapshots
// that change, and checkpoints that lose a part of the state.
func TestFold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{t: t, s: New()}
		if rapid.Bool().Draw(t, "placed") {
			h.start = 1 + h.pick("slices", 3*maxLeaf)
			h.s = newService(t, h.start, 4)
		}
		var snapshot *SliceTable
		var copied []Slice
		var restored *State
		for i := range rapid.IntRange(1, 120).Draw(t, "records") {
			h.step()
			checkTable(t, h.s)
			if i%17 == 0 && h.s.SliceTable("svc") != nil {
				snapshot, copied = h.s.SliceTable("svc"), ownersOf(h.s.SliceTable("svc"))
			}
			if rapid.IntRange(0, 30).Draw(t, "checkpoint") == 0 {
				parts, digest := EncodeCheckpoint(h.s)
				var err error
				restored, err = DecodeCheckpoint(parts, digest)
				require.NoError(t, err)
			}
		}
		require.Equal(t, copied, ownersOf(snapshot))
		again := New()
		if h.start > 0 {
			again = newService(t, h.start, 4)
		}
		for _, p := range h.records {
			_, err := again.Apply(p)
			require.NoError(t, err)
			if restored != nil && p.Offset > restored.AppliedOffset() {
				_, err := restored.Apply(p)
				require.NoError(t, err)
			}
		}
		require.Equal(t, string(h.s.encode()), string(again.encode()))
		if restored != nil {
			require.Equal(t, string(h.s.encode()), string(restored.encode()))
		}
	})
}
