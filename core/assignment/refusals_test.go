package assignment

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a range that is freed while its holder lives, because the holder refuses
// calls without saying who it is, and against repeated calls to such a server, which may
// be another one that has taken over the address.
func TestRefusalsNeitherFreeARangeNorAreRepeated(t *testing.T) {
	sim := newSimulation(t, "1", "2", "3", "4")
	l := sim.leaderAfterPlacement("a")
	ranges := sim.rangesByOwner()["1"]
	s := sim.servers["1"]
	s.refuses = func(Call) bool { return true }
	sim.sentCalls = nil
	begin, firstExpiry := sim.now, slices.Min(slices.Collect(maps.Values(s.heldUntil)))
	sim.run(RenewalInterval+RefusedCallDelay, l)
	require.Equal(t, ranges, sim.rangesByOwner()["1"])
	l.SetServers(sim.serversExcept("1"))
	sim.run(firstExpiry-sim.now-100*time.Millisecond, l)
	require.Equal(t, ranges, sim.rangesByOwner()["moving"], "freed while the holder holds it")
	require.LessOrEqual(t, sim.callsTo("1"), ranges+int((sim.now-begin)/RefusedCallDelay))
	sim.run(GrantDuration+CallTimeout, l)
	require.Zero(t, sim.rangesByOwner()["moving"])
	require.Zero(t, sim.rangesByOwner()["1"])
}

// Guards against a server that loses all its keys because it refuses the calls for the
// range whose turn comes first, and against one that gets no calls after it refused some.
func TestRefusalOfOneRangeDoesNotStopTheOthers(t *testing.T) {
	sim := newSimulation(t, "1", "2", "3", "4")
	l := sim.leaderAfterPlacement("a")
	s := sim.servers["1"]
	kept := slices.Sorted(maps.Keys(s.heldUntil))
	refused := sim.appendedMap.FindRange("stock", kept[0])
	s.refuses = func(c Call) bool { return c.From == refused.From }
	for range 12 {
		sim.run(RenewalInterval, l)
		for _, k := range kept {
			if k < refused.From || k > refused.To {
				require.Greater(t, s.heldUntil[k], sim.now, "key %d", k)
			}
		}
	}
	s.refuses = nil
	sim.run(RenewalInterval+RefusedCallDelay, l)
	require.Greater(t, s.heldUntil[kept[0]], sim.now)
}

// callsTo returns the number of calls that were sent to a server.
func (sim *simulation) callsTo(server string) (count int) {
	for _, c := range sim.sentCalls {
		if c.Server.ID == server {
			count++
		}
	}
	return count
}
