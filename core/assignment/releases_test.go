package assignment

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an incident of two holders that cannot be traced, because the log does
// not show on which evidence the leader took a range for free.
func TestFreedRangesNameTheEvidence(t *testing.T) {
	for evidence, end := range map[ReleaseEvidence]func(*simulation, *fakeServer) []string{
		ReleasedByHolder: func(_ *simulation, s *fakeServer) []string { s.Draining = true; return nil },
		GrantExpired:     func(_ *simulation, s *fakeServer) []string { s.unreachable = true; return []string{"1"} },
		AddressTakenOver: func(_ *simulation, s *fakeServer) []string { s.addressReused = true; return nil },
		NewerServerAtAddress: func(sim *simulation, s *fakeServer) []string {
			s.heldUntil = map[uint16]time.Duration{}
			other := sim.addServer("5")
			other.Address, other.refuses = s.Address, func(c Call) bool { return c.Server.ID == "1" }
			return []string{"1"}
		},
		NewerIncarnationListed: func(sim *simulation, s *fakeServer) []string {
			sim.addServer("1").Address = "10.0.0.2:1"
			return nil
		},
	} {
		sim := newSimulation(t, "1", "2", "3", "4")
		l := sim.leaderAfterPlacement("a")
		ranges := sim.rangesByOwner()["1"]
		sim.now += time.Millisecond
		former := IncarnationOf(sim.servers["1"].Server)
		l.SetServers(sim.serversExcept(end(sim, sim.servers["1"])...))
		sim.run(GrantDuration+2*time.Second, l)
		freed := 0
		for _, r := range l.TakeCompletedReleases() {
			if r.Holder.ID == "1" {
				require.Equal(t, evidence, r.Evidence)
				require.Equal(t, former, r.Holder)
				freed++
			}
		}
		require.Equal(t, ranges, freed, evidence)
		require.Empty(t, l.TakeCompletedReleases())
	}
}

// Guards against a grant that its server applies after the range has moved on, because
// the copy of an earlier response was taken for its own.
func TestUnidentifiedResponsesDoNotProveAFence(t *testing.T) {
	for _, copies := range []CallStatus{CallSucceeded, CallNotExecuted, CallRefused} {
		sim := newSimulation(t, "1", "2", "3", "4")
		l := sim.leaderAfterPlacement("a")
		sim.servers["1"].copies = copies
		sim.run(RenewalInterval, l)
		sim.servers["1"].copies, sim.servers["1"].Draining = 0, true
		sim.servers["1"].refuses = func(c Call) bool { return c.NewConn }
		l.SetServers(sim.serversExcept())
		sim.run(CallTimeout, l)
		sim.servers["1"].refuses = nil
		sim.run(GrantDuration, l)
		require.Zero(t, sim.rangesByOwner()["1"], copies)
		require.Zero(t, sim.rangesByOwner()["moving"], copies)
	}
}
