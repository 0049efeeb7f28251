package assignment

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

// Pattern: hundreds of servers and nothing to do for most of the leader's 20 ticks a
// second. Guards against ticks whose garbage grows with the servers: it took up to half of
// the leader's memory at 490 servers.
func TestGarbageOfAQuietTickDoesNotGrowWithTheServers(t *testing.T) {
	require.Less(t, garbageOfQuietTicks(t, 490), 2*garbageOfQuietTicks(t, 49))
}

// garbageOfQuietTicks returns the bytes that 20 ticks allocate beyond those of a small
// deployment's first tick.
func garbageOfQuietTicks(t *testing.T, servers int) uint64 {
	var ids []string
	for i := range servers {
		ids = append(ids, fmt.Sprintf("s%03d", i))
	}
	sim := newSimulation(t, ids...)
	l := sim.leaderAfterPlacement("a")
	l.Tick(sim.now)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range 20 {
		require.Empty(t, l.Tick(sim.now))
	}
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}
