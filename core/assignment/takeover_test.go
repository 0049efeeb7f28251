package assignment

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against two holders of a key after a change of the leader. The former leader
// starts its last call just before LeadershipConfirmationTimeout, and the call takes
// CallTimeout to arrive at a server that the new leader cannot reach.
func TestNewLeaderOutwaitsTheLastCallOfTheFormer(t *testing.T) {
	sim := newSimulation(t, "1", "2", "3", "4")
	successor := sim.takeOverBeforeALateRenewal()
	sim.run(LeadershipConfirmationTimeout+CallTimeout+GrantDuration+2*time.Second, successor)
	require.Zero(t, sim.rangesByOwner()["moving"])
	require.Zero(t, sim.rangesByOwner()["1"])
}

// Guards against two holders of a key if the copy of an earlier response counts as proof
// that a server refuses the former leader's grants: it never applied the new leader's.
func TestUnidentifiedResponseDoesNotEndTheGrantsOfTheFormerLeader(t *testing.T) {
	sim := newSimulation(t, "1", "2", "3", "4")
	sim.leaderAfterPlacement("a")
	renewal := sim.lastRenewal("1")
	sim.servers["1"].copies = CallSucceeded
	successor := sim.newLeader("b")
	successor.SetServers(sim.serversExcept())
	sim.run(2*tick, successor)
	sim.servers["1"].unreachable = true
	successor.SetServers(sim.serversExcept("1"))
	arrival := sim.now + LeadershipConfirmationTimeout
	sim.lateCalls = []lateCall{{appliedAt: arrival, arrivedAt: arrival, call: renewal}}
	sim.run(LeadershipConfirmationTimeout+CallTimeout+GrantDuration+2*time.Second, successor)
	require.Zero(t, sim.rangesByOwner()["moving"])
	require.Zero(t, sim.rangesByOwner()["1"])
}

// Guards against an endless loop with Options.Stripes 0, and against keys without an
// owner with a number that does not divide the keys.
func TestAnyNumberOfStripesCoversAllKeys(t *testing.T) {
	for _, stripes := range []int{-1, 0, 3, 1 << 20} {
		sim := newSimulation(t, "1", "2")
		l := NewLeader(sim.now, &Map{}, Options{HostIncarnation: "a", Stripes: stripes})
		l.SetServers(sim.serversExcept())
		sim.run(4*time.Second, l)
		for key := 0; key < KeyCount; key++ {
			require.NotNil(t, sim.appendedMap.FindRange("stock", uint16(key)), "%d stripes: key %d", stripes, key)
		}
		require.LessOrEqual(t, len(sim.appendedMap.Services["stock"]), maxRangesPerService)
	}
}

// Guards against a leader that takes the end of the former leader's process for the end
// of all earlier leaders: the one before may renew grants until its
// LeadershipConfirmationTimeout.
func TestExitOfTheFormerLeaderSaysNothingOfEarlierOnes(t *testing.T) {
	sim := newSimulation(t, "1", "2", "3", "4")
	second := sim.takeOverBeforeALateRenewal()
	sim.run(2*time.Second, second)
	third := sim.newLeader("c")
	third.SetServers(sim.serversExcept("1"))
	sim.step(third)
	third.RecordFormerLeaderExit(sim.now)
	sim.run(LeadershipConfirmationTimeout+CallTimeout+GrantDuration+2*time.Second, third)
	require.Zero(t, sim.rangesByOwner()["moving"])
	require.Zero(t, sim.rangesByOwner()["1"])
}

// Guards against two holders if a server restarts after it has released its ranges to a
// new leader: the former leader cannot read the log, and its renewals reach the new
// incarnation, which has not seen the new leader's fence.
func TestFormerLeaderCannotGrantANewIncarnation(t *testing.T) {
	sim := newSimulation(t, "1", "2", "3", "4")
	former := sim.leaderAfterPlacement("a")
	successor := sim.newLeader("b")
	sim.releaseAndRestart(successor, "2", 500*time.Millisecond)
	sim.run(RenewalInterval, successor, former)
}

// releaseAndRestart makes a server release its ranges to others, within a time, and
// restart.
func (sim *simulation) releaseAndRestart(l *Leader, server string, within time.Duration) {
	sim.servers[server].Draining = true
	l.SetServers(sim.serversExcept())
	sim.run(within, l)
	require.Zero(sim.t, sim.rangesByOwner()[server])
	require.Zero(sim.t, sim.rangesByOwner()["moving"])
	sim.addServer(server)
}

// Guards against a grant of a former leader, confirmed a moment ago, that reaches a server
// which has restarted since: its former incarnation has accepted the successor's fence.
func TestFormerLeaderCannotLowerTheFenceOfANewIncarnation(t *testing.T) {
	sim := newSimulation(t, "1", "2")
	former := sim.leaderAfterPlacement("a")
	sim.run(former.trackedRanges[0].nextCallAt-sim.now-200*time.Millisecond, former)
	successor := sim.newLeader("b")
	successor.SetServers(sim.serversExcept())
	sim.run(100*time.Millisecond, successor)
	sim.addServer("2")
	sim.run(confirmationGrace, successor, former)
}

// Guards against a leader that takes a late acknowledgement for news: the map may have
// been stored when the write was sent, and another leader's map after it. The successor
// counts LeadershipConfirmationTimeout from its own map.
func TestLateAcknowledgementConfirmsWhenTheWriteWasSent(t *testing.T) {
	sim := newSimulation(t, "1", "2")
	l := sim.leaderAfterPlacement("a")
	sim.ackDelay = LeadershipConfirmationTimeout - time.Second
	sim.servers["2"].Draining = true
	l.SetServers(sim.serversExcept())
	sim.step(l)
	sim.appendedMap.Term++ // reads no longer confirm the leader
	sim.writeDelay = time.Hour
	sim.run(LeadershipConfirmationTimeout-500*time.Millisecond, l)
	require.Equal(t, sim.appendedMap.NextOffset, l.acknowledged.NextOffset)
	require.True(t, l.Leading())
	sim.run(time.Second, l)
	require.False(t, l.Leading())
}

// Guards against a leader that lost the log and grants over new connections, which may
// reach an incarnation that has not seen the successor's fence; and against one that no
// longer renews grants over the old ones, so that keys go unserved in an outage of the log.
func TestUnconfirmedLeaderGrantsOverOldConnections(t *testing.T) {
	sim := newSimulation(t, "1", "2")
	l := sim.leaderAfterPlacement("a")
	confirmedAt := l.leadershipConfirmedAt
	sim.appendedMap.Term++ // reads no longer confirm the leader
	sim.servers["2"].connectedAt = confirmedAt
	sim.sentCalls = nil
	sim.run(LeadershipConfirmationTimeout-time.Second, l)
	require.True(t, l.Leading())
	grants := map[string]int{}
	for _, c := range sim.sentCalls {
		if c.ConnectedBefore != 0 {
			require.Equal(t, confirmedAt, c.ConnectedBefore)
			grants[c.Server.ID]++
		}
	}
	require.NotZero(t, grants["1"])
	require.NotZero(t, grants["2"])
	for key, heldUntil := range sim.servers["1"].heldUntil {
		require.Greater(t, heldUntil, sim.now, "key %d", key)
	}
	for key, heldUntil := range sim.servers["2"].heldUntil {
		require.Less(t, heldUntil, confirmedAt+confirmationGrace+GrantDuration, "key %d", key)
	}
}

// Guards against a grant that was not sent but is waited for as if it had been.
func TestGrantThatWasNotSentIsNotWaitedFor(t *testing.T) {
	sim := newSimulation(t, "1", "2")
	l := sim.leaderAfterPlacement("a")
	sim.now = l.trackedRanges[0].nextCallAt
	expiry := l.trackedRanges[0].grantExpiry
	calls := l.Tick(sim.now)
	require.NotEmpty(t, calls)
	for _, c := range calls {
		l.HandleCallResult(sim.now, c, CallResult{Status: CallNotExecuted})
	}
	require.Equal(t, expiry, l.trackedRanges[0].grantExpiry)
}

// Guards against a server that accepts a grant of a former leader, confirmed a moment ago,
// after it has released the range to its successor and restarted. Also guards against
// releases that wait for the former leader.
func TestReleasesDoNotWaitForTheFormerLeader(t *testing.T) {
	for name, resigned := range map[string]bool{"former leader is lost": false, "former leader resigned": true} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, "1", "2", "3", "4")
			former := sim.leaderAfterPlacement("a")
			sim.run(former.trackedRanges[0].nextCallAt-sim.now-200*time.Millisecond, former)
			if resigned {
				former.Resign()
				sim.run(100*time.Millisecond, former)
				require.True(t, former.Stopped())
			}
			successor := sim.newLeader("b")
			sim.releaseAndRestart(successor, "2", 300*time.Millisecond)
			sim.run(confirmationGrace, successor, former)
		})
	}
}

// Guards against keys that stay unserved after a start of all hosts at once, because no host
// has seen when the former leaders led.
func TestExitOfAllFormerLeadersShortensTheWait(t *testing.T) {
	sim := newSimulation(t, "1", "2", "3", "4")
	sim.leaderAfterPlacement("a")
	sim.step(sim.newLeader("b"))
	sim.servers["1"].unreachable = true
	sim.observations = NewObservations()
	third := sim.newLeader("c")
	third.SetServers(sim.serversExcept("1"))
	sim.step(third)
	require.Equal(t, []string{"a", "b"}, sim.appendedMap.EarlierLeaders)
	third.RecordExitOfEarlierLeaders(sim.now)
	sim.run(GrantDuration+time.Second, third)
	require.Zero(t, sim.rangesByOwner()["moving"])
}

// Guards against earlier leaders that are forgotten while they may still grant, and against
// a list of them that grows with each change of the leader.
func TestMapsNameEarlierLeadersWhileTheyMayGrant(t *testing.T) {
	sim := newSimulation(t, "1", "2")
	l := sim.leaderAfterPlacement("a")
	sim.run(LeadershipConfirmationTimeout+2*CallTimeout, l)
	for i := range maxEarlierLeaders + 1 {
		l = sim.newLeader(fmt.Sprint("b", i))
		sim.step(l)
	}
	require.Equal(t, []string{unknownLeader, fmt.Sprint("b", maxEarlierLeaders-1)}, sim.appendedMap.EarlierLeaders)
	l.SetServers(sim.serversExcept())
	sim.run(LeadershipConfirmationTimeout, l)
	sim.servers["1"].Draining = true
	l.SetServers(sim.serversExcept())
	sim.step(l)
	require.NotEmpty(t, sim.appendedMap.EarlierLeaders)
	sim.run(2*CallTimeout, l)
	sim.servers["1"].Draining, sim.servers["2"].Draining = false, true
	l.SetServers(sim.serversExcept())
	sim.run(time.Second, l)
	require.Empty(t, sim.appendedMap.EarlierLeaders)
	ofEarlierVersion, err := DecodeMap([]byte(`{"term":3,"leader":"a","servers":[],"services":{}}`), 1, 2)
	require.NoError(t, err)
	require.Equal(t, []string{unknownLeader}, ofEarlierVersion.EarlierLeaders)
}
