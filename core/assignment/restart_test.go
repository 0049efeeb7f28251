package assignment

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// restartBeforeRenewals restarts server 2 at its address, which the server list does not
// show until all grants are renewed.
func (sim *simulation) restartBeforeRenewals(l *Leader) *fakeServer {
	s := sim.addServer("2")
	sim.run(RenewalInterval+100*time.Millisecond, l)
	require.NotEmpty(sim.t, s.heldUntil, "no renewal has reached the new incarnation")
	return s
}

// Guards against two holders after a restart that the server list shows late: the new
// incarnation has accepted renewals that were meant for the former one, and the leader
// takes the ranges for free once the list shows it. Also guards against a new incarnation
// that accepts a fence which the former one had, and against keys that leave a server
// because it restarted.
func TestRenewalsThatReachedANewIncarnationCount(t *testing.T) {
	for name, test := range map[string]struct {
		change    func(*fakeServer)
		unlisted  bool
		remaining int           // ranges of the server afterwards
		within    time.Duration // time until all ranges are settled
	}{
		"assignable":           {func(*fakeServer) {}, false, 8, time.Second},
		"draining":             {func(s *fakeServer) { s.Draining = true }, false, 0, time.Second},
		"not listed":           {func(*fakeServer) {}, true, 0, time.Second},
		"draining and cut off": {func(s *fakeServer) { s.Draining, s.unreachable = true, true }, false, 0, CallTimeout + GrantDuration + GrantExpiryMargin},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, "1", "2", "3", "4")
			l := sim.leaderAfterPlacement("a")
			s := sim.restartBeforeRenewals(l)
			test.change(s)
			if test.unlisted {
				l.SetServers(sim.serversExcept("2"))
			} else {
				l.SetServers(sim.serversExcept())
			}
			sim.run(test.within, l)
			require.Zero(t, sim.rangesByOwner()["moving"])
			require.Equal(t, test.remaining, sim.rangesByOwner()["2"])
			sim.run(GrantDuration, l)
		})
	}
}

// Guards against a new incarnation that is the first to accept a fence which the former
// one had: the call that it accepts repeats one that could not be sent.
func TestCallAfterAFailedConnectionHasANewFence(t *testing.T) {
	sim := newSimulation(t, "1", "2", "3", "4")
	l := sim.leaderAfterPlacement("a")
	sim.now += RenewalInterval
	for _, c := range l.Tick(sim.now) {
		l.HandleCallResult(sim.now, c, CallResult{Status: CallNotExecuted})
	}
	sim.restartBeforeRenewals(l)
}

// requireReleasedByHolder fails unless all ranges of server 2 were released by it.
func requireReleasedByHolder(t *testing.T, l *Leader) {
	releases := l.TakeCompletedReleases()
	require.Len(t, releases, 8)
	for _, r := range releases {
		require.Equal(t, "2", r.Holder.ID)
		require.Equal(t, ReleasedByHolder, r.Evidence)
	}
}

// Guards against a release that a new incarnation never answers, because the leader has
// taken the ranges for free when the list showed it.
func TestNewIncarnationIsAskedToRelease(t *testing.T) {
	sim := newSimulation(t, "1", "2", "3", "4")
	l := sim.leaderAfterPlacement("a")
	s := sim.restartBeforeRenewals(l)
	s.Draining = true
	l.SetServers(sim.serversExcept())
	sim.run(time.Second, l)
	requireReleasedByHolder(t, l)
	require.Empty(t, s.heldUntil)
}

// Guards against a server that is taken for ended because an old entry shows another one
// that had its address between its two incarnations.
func TestServerBetweenTwoIncarnationsIsNoEvidence(t *testing.T) {
	sim := newSimulation(t, "1", "2", "3", "4")
	l := sim.leaderAfterPlacement("a")
	between := sim.addServer("5")
	between.Address, between.Draining = sim.addressOf("2"), true
	servers := sim.serversExcept()
	delete(sim.servers, "5")
	s := sim.restartBeforeRenewals(l)
	s.Draining = true
	servers["stock"]["2"] = s.Server
	l.SetServers(servers)
	sim.run(time.Second, l)
	requireReleasedByHolder(t, l)
}

// Guards against a release by a new incarnation that has not seen a fence of this term,
// while a former leader may still renew the grant of the former incarnation.
func TestNewIncarnationGetsAFenceBeforeItsRelease(t *testing.T) {
	sim := newSimulation(t, "1", "2", "3", "4")
	sim.leaderAfterPlacement("a")
	renewal := sim.lastRenewal("2")
	l := sim.newLeader("b")
	l.SetServers(sim.serversExcept())
	sim.run(time.Second, l)
	sim.servers["2"].Draining, sim.servers["2"].unreachable = true, true
	l.SetServers(sim.serversExcept())
	sim.run(time.Second, l)
	sim.addServer("2").Draining = true
	l.SetServers(sim.serversExcept())
	sim.run(time.Second, l)
	require.Zero(t, sim.rangesByOwner()["moving"])
	renewal.ConnectedBefore = 0 // the fence has to hold over any connection
	result, _ := sim.deliver(renewal)
	require.Equal(t, CallFenced, result.Status)
}

// Guards against moves away from a server because the list of a new leader is older than
// the map and does not show the server's restart yet.
func TestOldListDoesNotMoveRangesOfARestartedServer(t *testing.T) {
	sim := newSimulation(t, "1", "2", "3", "4")
	l := sim.leaderAfterPlacement("a")
	oldList := sim.serversExcept()
	s := sim.restartBeforeRenewals(l)
	l.SetServers(sim.serversExcept())
	sim.run(time.Second, l)
	before := sim.appendedMap.Services["stock"]
	require.Contains(t, l.TakeRestarts(), Restart{Service: "stock", Server: IncarnationOf(s.Server), FormerBorn: oldList["stock"]["2"].Born, Ranges: 8})
	l = sim.newLeader("b")
	l.SetServers(oldList)
	sim.run(time.Second, l)
	require.Equal(t, before, sim.appendedMap.Services["stock"])
}

// Guards against a count of a term that runs into the bits of the term: the fences of the
// next leader would not be above those of this one. Also guards against calls of a leader
// that cannot resign in time, because a server does not respond.
func TestTermEndsBeforeItsCountsOverflow(t *testing.T) {
	for name, count := range map[string]func(l *Leader, n uint64){
		"fences": func(l *Leader, n uint64) { l.trackedRanges[0].fenceCounter = n },
		"moves":  func(l *Leader, n uint64) { l.lastMove = n },
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, "1", "2", "3", "4")
			l := sim.leaderAfterPlacement("a")
			count(l, maxFenceCounter-resignationReserve+1)
			sim.run(time.Second, l)
			require.True(t, sim.appendedMap.Resigned)
			l = sim.leaderAfterPlacement("b")
			require.Equal(t, map[string]int{"1": 8, "2": 8, "3": 8, "4": 8}, sim.rangesByOwner())

			sim.servers["1"].unreachable = true
			sim.run(RenewalInterval, l)
			count(l, maxFenceCounter)
			sent := len(sim.sentCalls)
			sim.run(time.Second, l)
			require.True(t, l.Stopped())
			require.False(t, sim.appendedMap.Resigned)
			require.Len(t, sim.sentCalls, sent)
		})
	}
}
