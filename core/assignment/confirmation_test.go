package assignment

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against two holders after a write whose acknowledgement arrives when another
// leader has already written: the former leader counts its term from the arrival, so it
// renews grants for longer than its successor waits. Each leader reaches other servers, and
// the former one has lost the log.
func TestLateAcknowledgementDoesNotExtendTheTerm(t *testing.T) {
	sim := newSimulation(t, "1", "2", "3", "4")
	former := sim.leaderAfterPlacement("a")
	sim.ackDelay = 4 * time.Second // the host is suspended meanwhile
	sim.addServer("4")
	former.SetServers(sim.serversExcept())
	sim.step(former)
	require.Len(t, sim.openWrites, 1)
	sim.ackDelay = 0
	successor := sim.newLeader("b")
	successor.SetServers(sim.serversExcept("1"))
	sim.step(successor)
	for began := sim.now; sim.now-began < LeadershipConfirmationTimeout+CallTimeout+GrantDuration+4*time.Second; {
		for _, l := range []*Leader{former, successor} {
			for id, s := range sim.servers {
				s.unreachable = (id == "1") != (l == former)
			}
			sim.step(l)
		}
	}
	require.Zero(t, sim.rangesByOwner()["1"])
}
