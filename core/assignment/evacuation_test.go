package assignment

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newZoneSimulation returns a simulation of twelve servers, of which the first three are
// in one zone, and a leader that has placed 512 ranges. Calls and writes take time.
func newZoneSimulation(t *testing.T) (*simulation, *Leader) {
	sim := newSimulation(t)
	for i := range 12 {
		sim.addServer(fmt.Sprint(i))
	}
	sim.ackDelay = 20 * time.Millisecond
	sim.callTime = func(Call) time.Duration { return 60 * time.Millisecond }
	l := NewLeader(sim.now, sim.appendedMap.clone(), Options{HostIncarnation: "a", Stripes: 512, Observations: sim.observations})
	l.SetServers(sim.serversExcept())
	sim.run(4*time.Second, l)
	return sim, l
}

// setEvacuated starts or ends the evacuation of the zone.
func (sim *simulation) setEvacuated(evacuated bool, leaders ...*Leader) {
	for i := range 3 {
		s := sim.servers[fmt.Sprint(i)]
		s.Evacuated, s.EvacuationEndedAt = evacuated, 0
		if !evacuated {
			s.EvacuationEndedAt = sim.now
		}
	}
	for _, l := range leaders {
		l.SetServers(sim.serversExcept())
	}
}

// inZone returns the number of ranges that servers of the zone own, and of those that move
// from or to any server.
func (sim *simulation) inZone() (owned, moving int) {
	counts := sim.rangesByOwner()
	return counts["0"] + counts["1"] + counts["2"], counts["moving"]
}

// Guards against keys that stay unserved at evacuated servers, against busy keys that wait
// for idle ones, and against servers that get far more than the others: they get the load
// of the zone in addition, and some are cold.
func TestKeysLeaveAnEvacuatedZone(t *testing.T) {
	sim, l := newZoneSimulation(t)
	busy := map[uint16]bool{} // every fourth range of the zone has most of the requests
	for i, r := range sim.appendedMap.Services["stock"] {
		l.RecordArrivals("stock", []uint16{r.From, r.To})
		if r.Owner.ID <= "2" && len(r.Owner.ID) == 1 && i%4 == 0 {
			busy[r.From] = true // a quarter of the ranges, fewer than start in one tick
			l.RecordArrivals("stock", []uint16{r.From, r.From, r.From, r.From})
		}
	}
	sim.servers["11"].Cold = true
	before := sim.rangesByOwner()
	sim.setEvacuated(true, l)
	ranges, _ := sim.inZone()
	sim.step(l)
	begun := 0
	for _, tracked := range l.trackedRanges {
		if tracked.stage == stageReleasing {
			begun++
		}
		require.False(t, busy[tracked.from] && tracked.stage == stageSettled && !tracked.callOpen, "a busy range waits")
	}
	require.Equal(t, evacuationMovesPerTick, begun)
	require.Equal(t, ranges, l.EvacuatedRanges()["stock"])
	sim.run(1400*time.Millisecond, l)
	owned, moving := sim.inZone()
	require.Zero(t, owned+moving)
	require.Empty(t, l.EvacuatedRanges()["stock"])
	for id, n := range sim.rangesByOwner() {
		require.Less(t, n, before[id]+25, "server %s", id)
	}
	require.Equal(t, before["11"], sim.rangesByOwner()["11"], "a cold server gets none of the keys")
	for _, s := range []string{"0", "1", "2"} {
		for key, until := range sim.servers[s].heldUntil {
			require.LessOrEqual(t, until, sim.now, "server %s holds %d", s, key)
		}
	}
}

// Guards against keys that all come back at once when the evacuation ends, to servers that
// are cold, and against servers that get none.
func TestKeysComeBackGradually(t *testing.T) {
	for name, load := range map[string]int{"idle": 0, "balanced by load": 60} {
		t.Run(name, func(t *testing.T) {
			sim, l := newZoneSimulation(t)
			sim.setEvacuated(true, l)
			sim.run(2*time.Second, l)
			for i := range 3 {
				sim.servers[fmt.Sprint(i)].Cold = true
			}
			sim.setEvacuated(false, l)
			next, former := uint16(0), 0
			runSecond := func() (owned int) {
				for range int(time.Second / tick) {
					keys := make([]uint16, load)
					for i := range keys {
						next += 40503
						keys[i] = next
					}
					l.RecordArrivals("stock", keys)
					sim.step(l)
				}
				owned, _ = sim.inZone()
				require.LessOrEqual(t, owned-former, 36, "ranges that came back within a second")
				former = owned
				return owned
			}
			for range 6 {
				runSecond()
			}
			owned := runSecond()
			require.InDelta(t, 64, owned, 8, "cold servers get half of their share")
			for i := range 3 {
				sim.servers[fmt.Sprint(i)].Cold = false
			}
			l.SetServers(sim.serversExcept())
			for range 8 {
				owned = runSecond()
			}
			require.InDelta(t, 128, owned, 20)
		})
	}
}

// Guards against keys without a holder, or with a holder in the zone, after an evacuation
// that meets a change of the leader, a server that does not answer, or its own end.
func TestEvacuationThatIsDisturbed(t *testing.T) {
	t.Run("leader is replaced", func(t *testing.T) {
		sim, l := newZoneSimulation(t)
		sim.setEvacuated(true, l)
		sim.run(200*time.Millisecond, l)
		next := sim.newLeader("b")
		next.SetServers(sim.serversExcept())
		sim.run(2*time.Second, l, next)
		owned, moving := sim.inZone()
		require.Zero(t, owned+moving)
	})
	t.Run("a server does not answer", func(t *testing.T) {
		sim, l := newZoneSimulation(t)
		sim.servers["0"].unreachable = true
		sim.setEvacuated(true, l)
		sim.run(1500*time.Millisecond, l)
		owned, moving := sim.inZone()
		require.Zero(t, owned, "the other servers do not wait for it")
		require.Less(t, moving, 45)
		sim.run(GrantDuration+2*time.Second, l)
		_, moving = sim.inZone()
		require.Zero(t, moving)
	})
	t.Run("ends before the keys are released", func(t *testing.T) {
		sim, l := newZoneSimulation(t)
		before, _ := sim.inZone()
		for i := range 3 {
			sim.servers[fmt.Sprint(i)].refuses = func(c Call) bool { return c.Kind == ReleaseCall || c.GrantDuration == FenceGrantDuration }
		}
		sim.setEvacuated(true, l)
		sim.run(500*time.Millisecond, l)
		sim.setEvacuated(false, l)
		sim.run(time.Second, l)
		owned, moving := sim.inZone()
		require.Equal(t, before, owned)
		require.Zero(t, moving)
	})
	t.Run("all servers", func(t *testing.T) {
		sim, l := newZoneSimulation(t)
		before := sim.rangesByOwner()
		for _, s := range sim.servers {
			s.Evacuated = true
		}
		l.SetServers(sim.serversExcept())
		sim.run(GrantDuration+RenewalInterval, l)
		require.Equal(t, before, sim.rangesByOwner(), "keys stay where they are")
	})
}
