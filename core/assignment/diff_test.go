package assignment

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against hosts that receive only updates of the map and end up with a
// different one, also after splits and merges of ranges and over several maps.
func TestDiffAppliedToBaseGivesTheNewerMap(t *testing.T) {
	sim := newSimulation(t, "1", "2", "3")
	l := sim.leaderAfterPlacement("a")
	base := sim.appendedMap.clone()
	history := &Changes{}
	history.Add(base)
	requireHistory := func() {
		updates, known := history.Since(base.NextOffset)
		require.True(t, known)
		require.Equal(t, history.Newest(), ApplyUpdates(base, *history.Newest(), updates))
	}
	sim.addServer("4")
	l.SetServers(sim.serversExcept("1"))
	for range 40 {
		sim.step(l)
		require.Equal(t, sim.appendedMap, ApplyUpdates(base, *sim.appendedMap, sim.appendedMap.Diff(base)))
		if sim.appendedMap.NextOffset != history.Newest().NextOffset {
			history.Add(sim.appendedMap.clone())
		}
		requireHistory()
	}
	splitMap := sim.appendedMap.clone()
	r := &splitMap.Services["stock"][3]
	whole := *r
	r.To = r.From + 9
	upper := whole
	upper.From = r.To + 1
	splitMap.Services["stock"] = append(splitMap.Services["stock"][:4], append([]Range{upper}, splitMap.Services["stock"][4:]...)...)
	splitMap.NextOffset++
	history.Add(splitMap)
	requireHistory()
	require.Equal(t, splitMap, ApplyUpdates(sim.appendedMap, *splitMap, splitMap.Diff(sim.appendedMap)))
	require.Equal(t, sim.appendedMap, ApplyUpdates(splitMap, *sim.appendedMap, sim.appendedMap.Diff(splitMap)))
	mergedMap := sim.appendedMap.clone()
	mergedMap.NextOffset = splitMap.NextOffset + 1
	history.Add(mergedMap)
	requireHistory()
	updates, known := history.Since(splitMap.NextOffset)
	require.True(t, known)
	require.Equal(t, mergedMap, ApplyUpdates(splitMap, *mergedMap, updates))
	for range maxChangeSteps {
		next := mergedMap.clone()
		next.NextOffset = history.Newest().NextOffset + 1
		history.Add(next)
	}
	_, known = history.Since(base.NextOffset)
	require.False(t, known, "a follower that is too far behind needs the whole map")
}
