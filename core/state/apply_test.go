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

// recordGenerator draws random records and applies them to a state. The records mostly fit
// that state: about one in four is a copy of an earlier record, and some have fields that
// are stale or invalid.
type recordGenerator struct {
	t             *rapid.T
	state         *State
	records       []record.LogEntry
	tookEffect    []bool // by index in records
	initialSlices int    // slices before the first record, 0 for an empty state
}

// drawIndex draws a number from 0 to n-1.
func (g *recordGenerator) drawIndex(label string, n int) int {
	return rapid.IntRange(0, n-1).Draw(g.t, label)
}

func (g *recordGenerator) drawServer() string {
	return fmt.Sprintf("server-%d", g.drawIndex("server", 4))
}

func (g *recordGenerator) drawIncarnation() string {
	return fmt.Sprintf("host-%d", g.drawIndex("host", 3)+len(g.records)/16)
}

// drawExpected draws the version, epoch, term or generation that a record expects. It is
// mostly the current one and sometimes one too low.
func (g *recordGenerator) drawExpected(current uint64) uint64 {
	if g.drawIndex("stale", 8) == 0 {
		return current - 1
	}
	return current
}

func (g *recordGenerator) drawResource() resource.Resource {
	switch g.drawIndex("resource", 6) {
	case 0:
		return resource.Resource{Name: "rank", Spec: &resource.Rank{Level: g.drawIndex("level", 3)}}
	case 1, 2:
		scope := []resource.Scope{resource.ScopeZone, resource.ScopeAll}[g.drawIndex("scope", 2)]
		return resource.Resource{Name: "svc", Spec: &resource.Service{Scope: scope, Ranks: []string{"rank"}, DefaultRank: "rank"}}
	case 3:
		return resource.Resource{Name: "route", Spec: &resource.Route{PathPrefix: "/x/", Service: "svc"}}
	case 4:
		return resource.Resource{Name: "bad"}
	}
	return resource.Resource{Name: g.drawServer(), Spec: &resource.Server{
		Service: "svc", Zone: "a", Address: "http://127.0.0.1:1", Slots: 1, Connections: 1,
		RequireReleaseConfirmation: g.drawIndex("confirm", 4) == 0,
	}}
}

func (g *recordGenerator) drawSlice() Slice {
	if slice := g.state.SliceTable("svc").Lookup(rapid.Uint64().Draw(g.t, "hash")); slice != nil {
		return *slice
	}
	return NewPlacedSlice(keyspace.FullRange, "", 0)
}

func (g *recordGenerator) drawBody() record.Body {
	set := g.state.WitnessSetOf("all")
	switch g.drawIndex("kind", 16) {
	case 0, 1, 2:
		r := g.drawResource()
		var version uint64
		if r.Spec != nil {
			current, _ := g.state.Resource(r.Key())
			version = current.Version
		}
		return record.ResourcePut{Resource: r, ExpectedVersion: g.drawExpected(version), ChangeID: fmt.Sprint(len(g.records))}
	case 3:
		key := resource.Key{Kind: resource.KindServer, Name: g.drawServer()}
		if g.drawIndex("route", 2) == 0 {
			key = resource.Key{Kind: resource.KindRoute, Name: "route"}
		}
		current, _ := g.state.Resource(key)
		return record.ResourceDelete{Key: key, ExpectedVersion: g.drawExpected(current.Version), ChangeID: fmt.Sprint(len(g.records))}
	case 4:
		return record.HostJoined{Host: "h", Incarnation: g.drawIncarnation(), Zone: "a"}
	case 5:
		return record.HostLeft{Incarnation: g.drawIncarnation()}
	case 6:
		return record.WitnessProposed{Scope: "all", Epoch: g.drawExpected(set.Epoch + 1), Members: []string{g.drawIncarnation(), g.drawIncarnation()}}
	case 7:
		return record.WitnessActivated{Scope: "all", Epoch: g.drawExpected(set.Epoch + 1)}
	case 8:
		return record.WitnessReset{Scope: "all", Epoch: g.drawExpected(set.Epoch + 1), Members: []string{g.drawIncarnation()}}
	case 9:
		server := g.drawServer()
		return record.HomeAssigned{Server: server, PreviousTerm: g.drawExpected(g.state.Home(server).Term), HomeIncarnation: g.drawIncarnation(), Handover: g.drawIndex("handover", 3) == 0}
	case 10:
		return record.SlicesPlaced{Service: "svc", Slices: g.drawPlacements()}
	case 11, 12:
		return g.drawMoves()
	case 13, 14:
		return g.drawSplitOrMerge()
	}
	return []record.Body{nil, record.CheckpointPart{PartIndex: -1}, record.SliceMerged{Service: "none"}, &record.HostLeft{}}[g.drawIndex("odd", 4)]
}

func (g *recordGenerator) drawPlacements() []record.SlicePlacement {
	var list []record.SlicePlacement
	for _, r := range keyspace.EqualRanges(1 + g.drawIndex("count", 2*maxLeafSlices)) {
		list = append(list, record.SlicePlacement{Range: r, Server: g.drawServer()})
	}
	if g.drawIndex("overlap", 4) == 0 {
		list = append(list, list...)
	}
	return list
}

func (g *recordGenerator) drawMoves() record.SlicesMoved {
	moved := record.SlicesMoved{Service: "svc", Released: g.drawIndex("released", 2) == 0}
	for range 1 + g.drawIndex("entries", 3) {
		x := g.drawSlice()
		moved.Moves = append(moved.Moves, record.SliceMove{
			Range: x.Range, Generation: g.drawExpected(x.Generation), From: x.Server, To: g.drawServer(), FromTerm: g.drawExpected(g.state.Home(x.Server).Term),
		})
	}
	return moved
}

func (g *recordGenerator) drawSplitOrMerge() record.Body {
	x := g.drawSlice()
	if g.drawIndex("split", 2) == 0 {
		var splitPoints []uint64
		for range g.drawIndex("cuts", 3*maxLeafSlices) {
			splitPoints = append(splitPoints, x.Range.First+uint64(len(splitPoints)+1)*((x.Range.Last-x.Range.First)/uint64(4*maxLeafSlices)))
		}
		return record.SliceSplit{Service: "svc", Range: x.Range, Generation: g.drawExpected(x.Generation), SplitPoints: splitPoints}
	}
	merged, remaining := x, 1+g.drawIndex("merged", 3*maxLeafSlices)
	for slice := range g.state.SliceTable("svc").All {
		if slice.Range.First > x.Range.First && slice.Server == x.Server && slice.Generation == x.Generation && remaining > 0 {
			merged.Range.Last = slice.Range.Last
			remaining--
		} else if slice.Range.First > x.Range.First {
			break
		}
	}
	return record.SliceMerged{Service: "svc", Range: merged.Range, Generation: g.drawExpected(x.Generation)}
}

// applyNext draws and applies one record. It checks that a record that does not take effect
// and the copy of one that took effect leave the state as it is.
func (g *recordGenerator) applyNext() {
	entry := record.LogEntry{Offset: g.state.AppliedOffset() + 1}
	repeated := -1
	if len(g.records) > 0 && g.drawIndex("duplicate", 4) == 0 {
		repeated = g.drawIndex("of", len(g.records))
		entry.Record = g.records[repeated].Record
	} else {
		entry.Record = record.Record{ID: fmt.Sprint("id", entry.Offset), Proposer: g.drawIncarnation(), Body: g.drawBody()}
	}
	before, ownersBefore := comparableEncoding(g.state), ownedRanges(g.state.SliceTable("svc"))
	out, err := g.state.Apply(entry)
	require.NoError(g.t, err)
	if !out.TookEffect || repeated >= 0 && g.tookEffect[repeated] {
		switch entry.Record.Body.(type) {
		case record.SliceSplit, record.SliceMerged:
			// A merge restores the slice that an earlier split names, so a copy of
			// the split can apply again. Owner and generation of no hash change.
			require.Equal(g.t, ownersBefore, ownedRanges(g.state.SliceTable("svc")))
		default:
			require.Equal(g.t, before, comparableEncoding(g.state), "%T", entry.Record.Body)
		}
	}
	g.records = append(g.records, entry)
	g.tookEffect = append(g.tookEffect, out.TookEffect)
}

// ownedRanges returns the slices of a table after merging adjacent ones that have the same
// owner and generation.
func ownedRanges(table *SliceTable) []Slice {
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

// comparableEncoding encodes the state without its offset and the ids of refused changes,
// which are all that a refused change may alter.
func comparableEncoding(s *State) string {
	c := *s
	c.appliedOffset = 0
	c.refusedChanges = newRefusedChanges()
	return string(c.encodeCheckpoint())
}

// requireConsistentTable checks that the table of svc covers all hashes without gaps, that
// Lookup finds each slice, and that the index of the slices by server matches the table.
func requireConsistentTable(t require.TestingT, s *State) {
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
	require.Zero(t, next, "the last slice does not end at the last hash")
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

// Guards against a state that depends on anything but the applied records, copies of
// records that take effect again, gaps between slices, wrong counts of slices, snapshots
// that change, and checkpoints that lose a part of the state.
func TestFold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &recordGenerator{t: t, state: New()}
		if rapid.Bool().Draw(t, "placed") {
			g.initialSlices = 1 + g.drawIndex("slices", 3*maxLeafSlices)
			g.state = newStateWithSlices(t, g.initialSlices, 4)
		}
		var snapshot *SliceTable
		var snapshotRanges []Slice
		var restored *State
		for i := range rapid.IntRange(1, 120).Draw(t, "records") {
			g.applyNext()
			requireConsistentTable(t, g.state)
			if i%17 == 0 && g.state.SliceTable("svc") != nil {
				snapshot, snapshotRanges = g.state.SliceTable("svc"), ownedRanges(g.state.SliceTable("svc"))
			}
			if rapid.IntRange(0, 30).Draw(t, "checkpoint") == 0 {
				parts, digest := EncodeCheckpoint(g.state)
				var err error
				restored, err = DecodeCheckpoint(parts, digest)
				require.NoError(t, err)
			}
		}
		require.Equal(t, snapshotRanges, ownedRanges(snapshot))
		replayed := New()
		if g.initialSlices > 0 {
			replayed = newStateWithSlices(t, g.initialSlices, 4)
		}
		for _, entry := range g.records {
			_, err := replayed.Apply(entry)
			require.NoError(t, err)
			if restored != nil && entry.Offset > restored.AppliedOffset() {
				_, err := restored.Apply(entry)
				require.NoError(t, err)
			}
		}
		require.Equal(t, string(g.state.encodeCheckpoint()), string(replayed.encodeCheckpoint()))
		if restored != nil {
			require.Equal(t, string(g.state.encodeCheckpoint()), string(restored.encodeCheckpoint()))
		}
	})
}
