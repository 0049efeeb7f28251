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
	base := sim.storedMap.clone()
	sim.addServer("4")
	l.SetServers(sim.serversExcept("1"))
	for range 40 {
		sim.step(l)
		require.Equal(t, sim.storedMap, ApplyUpdates(base, *sim.storedMap, sim.storedMap.Diff(base)))
	}
	splitMap := sim.storedMap.clone()
	r := &splitMap.Services["stock"][3]
	whole := *r
	r.To = r.From + 9
	upper := whole
	upper.From = r.To + 1
	splitMap.Services["stock"] = append(splitMap.Services["stock"][:4], append([]Range{upper}, splitMap.Services["stock"][4:]...)...)
	require.Equal(t, splitMap, ApplyUpdates(sim.storedMap, *splitMap, splitMap.Diff(sim.storedMap)))
	require.Equal(t, sim.storedMap, ApplyUpdates(splitMap, *sim.storedMap, sim.storedMap.Diff(splitMap)))
}
