package ownership

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/resource"
)

// longestUnavailability runs the cluster tick by tick and returns the longest time
// during which some key could not be dispatched.
func (cluster *testCluster) longestUnavailability(d time.Duration) time.Duration {
	var gap, longest time.Duration
	for end := cluster.now + d; cluster.now < end; {
		cluster.run(TickInterval)
		if gap += TickInterval; cluster.servingHashes(16) == 16 {
			gap = 0
		}
		longest = max(longest, gap)
	}
	return longest
}

// Guards against slices that stay on a draining server, against unavailability of
// more than two ticks, and against moves of slices that were not released.
func TestDrainServer(t *testing.T) {
	for _, kind := range []string{"check", "plain"} {
		t.Run(kind, func(t *testing.T) {
			cluster := newServingCluster(t, 3, kind+"a", kind+"b")
			owned := cluster.ownedSlices(kind + "a")
			require.NotZero(t, owned)
			spec := cluster.serverSpec(kind + "a")
			spec.Drain = true
			cluster.effects = nil
			cluster.putResource(kind+"a", spec)
			require.LessOrEqual(t, cluster.longestUnavailability(2*time.Second), 2*TickInterval)
			require.Zero(t, cluster.ownedSlices(kind+"a"))
			transfers := 0
			for _, e := range cluster.effects {
				if _, ok := e.(TransferIDs); ok {
					transfers++
				}
				if a, ok := e.(AppendRecord); ok {
					if moved, ok := a.Record.Body.(record.SlicesMoved); ok {
						require.True(t, moved.Released)
					}
				}
			}
			if cluster.homeOf(kind+"a") != cluster.homeOf(kind+"b") {
				require.Equal(t, owned, transfers)
			}
		})
	}
}

// Guards against granting a released generation again: after a release that was not
// confirmed, the slice is granted only under a new generation.
func TestUnconfirmedReleaseIsAborted(t *testing.T) {
	cluster := newServingCluster(t, 3, "checka", "checkb")
	server := cluster.servers["checka"]
	before := map[SliceRef]bool{}
	for s := range server.held {
		before[s] = true
	}
	released := 0
	cluster.dropEffect = func(_ string, e Effect) bool {
		if r, ok := e.(SendRelease); ok {
			released++
			server.released[r.Slice] = true // the response is lost
			return true
		}
		return false
	}
	spec := cluster.serverSpec("checka")
	spec.Drain = true
	cluster.putResource("checka", spec)
	cluster.run(500 * time.Millisecond)
	require.NotZero(t, released)
	undrained := cluster.serverSpec("checka")
	cluster.putResource("checka", undrained)
	cluster.run(3 * time.Second)
	require.Equal(t, 16, cluster.servingHashes(16))
	for s := range server.held {
		require.False(t, before[s], "generation %d granted again after its release", s.Generation)
	}
}

// Guards against two owners when the record of a move is appended only after its
// home has been replaced: the late record must have no effect.
func TestLateMoveRecordAfterTakeover(t *testing.T) {
	cluster := newServingCluster(t, 4, "checka", "checkb")
	home := cluster.homeOf("checka")
	var late []record.Record
	cluster.dropEffect = func(from string, e Effect) bool {
		if a, ok := e.(AppendRecord); ok && from == home {
			if _, move := a.Record.Body.(record.SlicesMoved); move {
				late = append(late, a.Record)
				return true
			}
		}
		return false
	}
	spec := cluster.serverSpec("checka")
	spec.Drain = true
	cluster.putResource("checka", spec)
	cluster.run(300 * time.Millisecond)
	require.NotEmpty(t, late)
	cluster.putResource("checka", cluster.serverSpec("checka"))
	cluster.daemons[home].paused = true
	cluster.run(4 * time.Second)
	require.Equal(t, 16, cluster.servingHashes(16))
	owned := cluster.ownedSlices("checka")
	for _, r := range late {
		cluster.log = append(cluster.log, record.LogEntry{Offset: uint64(len(cluster.log) + 1), Record: r})
	}
	cluster.run(time.Second)
	require.Equal(t, owned, cluster.ownedSlices("checka"))
	require.Equal(t, 16, cluster.servingHashes(16))
}

// Guards against a drain that drops keys, leaves homes behind, or never ends.
func TestDrainDaemon(t *testing.T) {
	for _, kind := range []string{"check", "plain"} {
		t.Run(kind, func(t *testing.T) {
			cluster := newServingCluster(t, 4, kind+"a", kind+"b", kind+"c")
			leaver := cluster.homeOf(kind + "a")
			cluster.effects = nil
			cluster.step(leaver, DrainRequested{})
			require.LessOrEqual(t, cluster.longestUnavailability(8*time.Second), 4*TickInterval)
			require.Empty(t, cluster.daemons[leaver].machine.localHomes)
			require.Contains(t, cluster.effects, DrainCompleted{})
			cluster.daemons[leaver].paused = true
			require.LessOrEqual(t, cluster.longestUnavailability(4*time.Second), TickInterval)
		})
	}
}

// Guards against the last host of a zone waiting for a successor, which does not
// exist, until the bound of its drain.
func TestDrainWithoutSuccessor(t *testing.T) {
	cluster := newServingCluster(t, 1, "checka")
	only := cluster.homeOf("checka")
	cluster.effects = nil
	cluster.step(only, DrainRequested{})
	cluster.runUntil(noSuccessorTimeout+time.Second, func() bool { return slices.Contains(cluster.effects, Effect(DrainCompleted{})) })
}

// Guards against a handover flag from a home whose own expiry wait has not
// completed: the next home would act while the home before both may still act.
func TestHandoverOfInactiveHomeHasNoFlag(t *testing.T) {
	cluster := newServingCluster(t, 4, "plaina", "plainb")
	old := cluster.homeOf("plaina")
	cluster.daemons[old].paused = true
	cluster.runUntil(maxRecoveryTime, func() bool { return cluster.homeOf("plaina") != old })
	second := cluster.homeOf("plaina")
	cluster.effects = nil
	cluster.step(second, DrainRequested{})
	cluster.runUntil(maxRecoveryTime, func() bool { return cluster.homeOf("plaina") != second })
	for _, e := range cluster.effects {
		if a, ok := e.(AppendRecord); ok {
			if home, ok := a.Record.Body.(record.HomeAssigned); ok && home.Server == "plaina" {
				require.False(t, home.Handover)
			}
		}
	}
}

// Guards against keys of a lost zone that are not moved to another zone after an
// operator declares the zone lost, and against moving them before.
func TestZoneDeclaredLost(t *testing.T) {
	cluster := newTestCluster(t)
	for _, name := range []string{"d1", "d2", "d3"} {
		cluster.startDaemon(name, "z")
	}
	for _, name := range []string{"e1", "e2", "e3"} {
		cluster.startDaemon(name, "y")
	}
	cluster.putServiceWithServers(resource.ScopeZone, 16, "checka")
	other := cluster.serverSpec("checkb")
	other.Zone = "y"
	cluster.putResource("checkb", other)
	cluster.servers["checkb"] = newFakeServer("checkb", "i")
	cluster.runUntil(8*time.Second, cluster.allServing(16))
	cluster.run(3 * time.Second)
	owned := cluster.ownedSlices("checkb")
	require.NotZero(t, owned)
	for _, name := range []string{"e1", "e2", "e3"} {
		cluster.daemons[name].paused = true
	}
	cluster.servers["checkb"].down = true
	cluster.run(8 * time.Second)
	require.Equal(t, owned, cluster.ownedSlices("checkb"))
	cluster.putResource("y", &resource.Zone{Lost: true})
	t.Log("taken over after", cluster.runUntil(maxRecoveryTime, cluster.allServing(16)))
	require.Zero(t, cluster.ownedSlices("checkb"))
}
