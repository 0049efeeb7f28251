package assignment

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Pattern: the leader is lost several times while a server cannot be reached
// ("platform_down", how nodes leader; seen in inc-82f0). Guards against a wait for the
// grants of former leaders that begins anew with each term: the keys of that server were
// unserved for 45 s.
func TestChangesOfTheLeaderDoNotExtendTheWait(t *testing.T) {
	sim := newSimulation(t, "1", "2", "3", "4")
	leader := sim.leaderAfterPlacement("a")
	sim.servers["1"].unreachable = true
	leader.SetServers(sim.serversExcept("1"))
	sim.run(time.Second, leader)
	require.Equal(t, 8, sim.rangesByOwner()["moving"])
	// The last grant may have started at the beginning of the move, and each new leader
	// waits for the former one's calls that raise the fence.
	const bound = CallTimeout + GrantDuration + GrantExpiryMargin + moveConfirmationTimeout + CallTimeout + FenceGrantDuration + GrantExpiryMargin
	began := sim.now
	for term := 2; sim.rangesByOwner()["moving"] > 0; term++ {
		require.Less(t, sim.now-began, bound, "still moving in term %d", term)
		leader = sim.newLeader(fmt.Sprint("host", term))
		leader.SetServers(sim.serversExcept("1"))
		sim.run(5*time.Second, leader)
	}
	require.Zero(t, sim.rangesByOwner()["1"])
}

// Guards against a wait that leaves out the leader before the term of the move: it may
// have renewed the grant until its LeadershipConfirmationTimeout.
func TestWaitCoversTheLeaderBeforeTheMove(t *testing.T) {
	sim := newSimulation(t, "1", "2", "3", "4")
	second := sim.takeOverBeforeALateRenewal()
	sim.run(2*time.Second, second)
	third := sim.newLeader("c")
	third.SetServers(sim.serversExcept("1"))
	sim.run(LeadershipConfirmationTimeout+CallTimeout+GrantDuration+2*time.Second, third)
	require.Zero(t, sim.rangesByOwner()["moving"])
}

// Guards against a move that is taken for an earlier one of the same range, which its
// holder had kept: the holder may have got a grant in between.
func TestRevertedMoveIsNotTheNextOne(t *testing.T) {
	o := NewObservations()
	moving := func(move uint64) *Map {
		return &Map{Term: 1, Services: map[string][]Range{"s": {{To: KeyCount - 1, Owner: ServerIncarnation{ID: "2"}, PreviousHolder: ServerIncarnation{ID: "1"}, Move: move}}}}
	}
	const firstMove, secondMove = 1<<fenceCounterBits | 1, 1<<fenceCounterBits | 2
	first, second := moving(firstMove), moving(secondMove)
	o.Record(0, first, nil)
	o.Record(time.Minute, second, first)
	expiry, known := o.grantExpiry(time.Minute, &second.Services["s"][0])
	require.True(t, known)
	require.GreaterOrEqual(t, expiry, time.Minute+GrantDuration)
	_, known = o.grantExpiry(time.Minute, &first.Services["s"][0])
	require.False(t, known)
}

// Guards against two holders of a range whose move was stored but not acknowledged: its
// leader reverts the move and renews the grant, while the next leader counts from the
// first sight of the move.
func TestUnacknowledgedMoveEndsTheRenewals(t *testing.T) {
	sim := newSimulation(t, "1", "2", "3", "4")
	former := sim.leaderAfterPlacement("a")
	sim.ackDelay = time.Minute
	s := sim.servers["1"]
	for _, draining := range []bool{true, false} {
		s.Draining = draining
		former.SetServers(sim.serversExcept())
		sim.step(former)
	}
	require.Equal(t, 8, sim.rangesByOwner()["moving"])
	sim.run(5*time.Second, former)
	s.unreachable, sim.ackDelay = true, 0
	successor := sim.newLeader("b")
	successor.SetServers(sim.serversExcept("1"))
	sim.run(GrantDuration+2*time.Second, successor)
	require.Zero(t, sim.rangesByOwner()["moving"])
	require.Zero(t, sim.rangesByOwner()["1"])
}
