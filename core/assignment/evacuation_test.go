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

// changeZone changes the servers of the zone, and tells leaders of it.
func (sim *simulation) changeZone(change func(*fakeServer), leaders ...*Leader) {
	for i := range 3 {
		change(sim.servers[fmt.Sprint(i)])
	}
	for _, l := range leaders {
		l.SetServers(sim.serversExcept())
	}
}

func startEvacuation(s *fakeServer) { s.Evacuated, s.EvacuationEndedAt = true, 0 }
func (sim *simulation) endEvacuation(s *fakeServer) {
	s.Evacuated, s.EvacuationEndedAt = false, sim.now
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
	busy := map[uint16]bool{} // a quarter of the zone's ranges, fewer than start in one tick
	for i, r := range sim.appendedMap.Services["stock"] {
		l.RecordArrivals("stock", []uint16{r.From, r.To})
		if id := r.Owner.ID; i%4 == 0 && (id == "0" || id == "1" || id == "2") {
			busy[r.From] = true
			l.RecordArrivals("stock", []uint16{r.From, r.From, r.From, r.From})
		}
	}
	sim.servers["11"].Cold = true
	before := sim.rangesByOwner()
	ranges, _ := sim.inZone()
	sim.changeZone(startEvacuation, l)
	sim.step(l)
	begun := 0
	for _, tracked := range l.trackedRanges {
		if tracked.stage == stageReleasing {
			begun++
		}
		waits := tracked.stage == stageSettled && !tracked.callOpen && l.isEvacuated("stock", tracked.owner)
		require.False(t, waits && busy[tracked.from], "a busy range waits")
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
}

// Guards against keys that all come back at once when the evacuation ends, to servers that
// are cold, and against servers that get none.
func TestKeysComeBackGradually(t *testing.T) {
	for _, requestsPerTick := range []int{0, 60} { // without requests, and balanced by load
		sim, l := newZoneSimulation(t)
		sim.changeZone(startEvacuation, l)
		sim.run(2*time.Second, l)
		sim.changeZone(func(s *fakeServer) { sim.endEvacuation(s); s.Cold = true }, l)
		next, former := uint16(0), 0
		runSeconds := func(n int) (owned int) {
			for range n {
				sim.sendRequests(l, time.Second, requestsPerTick, func() uint16 { next += 40503; return next })
				owned, _ = sim.inZone()
				require.LessOrEqual(t, owned-former, 36, "ranges that came back within a second")
				former = owned
			}
			return owned
		}
		require.InDelta(t, 64, runSeconds(7), 8, "cold servers get half of their share")
		sim.changeZone(func(s *fakeServer) { s.Cold = false }, l)
		require.InDelta(t, 128, runSeconds(8), 20)
	}
}

// Guards against keys without a holder, or with a holder in the zone, after an evacuation
// that meets a change of the leader, a server that does not answer, or its own end; and
// against moves when no server is left.
func TestEvacuationThatIsDisturbed(t *testing.T) {
	sim, l := newZoneSimulation(t)
	sim.servers["0"].unreachable = true
	sim.changeZone(startEvacuation, l)
	sim.run(200*time.Millisecond, l)
	next := sim.newLeader("b")
	next.SetServers(sim.serversExcept())
	sim.run(2*time.Second, l, next)
	owned, moving := sim.inZone()
	require.Zero(t, owned, "the other servers do not wait for the one that does not answer")
	require.Less(t, moving, 45)
	sim.run(LeadershipConfirmationTimeout+CallTimeout+GrantDuration+2*time.Second, l, next)
	_, moving = sim.inZone()
	require.Zero(t, moving)

	sim, l = newZoneSimulation(t)
	before := sim.rangesByOwner()
	sim.changeZone(func(s *fakeServer) {
		startEvacuation(s)
		s.refuses = func(c Call) bool { return c.Kind == ReleaseCall || c.GrantDuration == FenceGrantDuration }
	}, l)
	sim.run(500*time.Millisecond, l)
	sim.changeZone(sim.endEvacuation, l)
	sim.run(time.Second, l)
	require.Equal(t, before, sim.rangesByOwner(), "keys that were not released stay")
	for _, s := range sim.servers {
		startEvacuation(s)
	}
	l.SetServers(sim.serversExcept())
	sim.run(GrantDuration+RenewalInterval, l)
	require.Equal(t, before, sim.rangesByOwner(), "all servers are evacuated")
}
