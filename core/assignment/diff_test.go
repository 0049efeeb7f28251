package assignment

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against hosts that receive only updates of the map and end up with a
// different one, also after splits and merges of ranges.
func TestDiffAppliedToBaseGivesTheNewerMap(t *testing.T) {
	sim := newSimulation(t, "1", "2", "3")
	l := sim.leaderAfterPlacement("a")
	base := sim.appendedMap.clone()
	sim.addServer("4")
	l.SetServers(sim.serversExcept("1"))
	for range 40 {
		sim.step(l)
		require.Equal(t, sim.appendedMap, ApplyUpdates(base, *sim.appendedMap, sim.appendedMap.Diff(base)))
	}
	splitMap := sim.appendedMap.clone()
	r := &splitMap.Services["stock"][3]
	whole := *r
	r.To = r.From + 9
	upper := whole
	upper.From = r.To + 1
	splitMap.Services["stock"] = append(splitMap.Services["stock"][:4], append([]Range{upper}, splitMap.Services["stock"][4:]...)...)
	require.Equal(t, splitMap, ApplyUpdates(sim.appendedMap, *splitMap, splitMap.Diff(sim.appendedMap)))
	require.Equal(t, sim.appendedMap, ApplyUpdates(splitMap, *sim.appendedMap, sim.appendedMap.Diff(splitMap)))
}
