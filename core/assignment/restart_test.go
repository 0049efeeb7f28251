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

// Guards against a release that a new incarnation never answers, because the leader has
// taken the ranges for free when the list showed it.
func TestNewIncarnationIsAskedToRelease(t *testing.T) {
	sim := newSimulation(t, "1", "2", "3", "4")
	l := sim.leaderAfterPlacement("a")
	s := sim.restartBeforeRenewals(l)
	s.Draining = true
	l.SetServers(sim.serversExcept())
	sim.run(time.Second, l)
	freed := 0
	for _, r := range l.TakeCompletedReleases() {
		require.Equal(t, ReleasedByHolder, r.Evidence)
		freed++
	}
	require.Equal(t, 8, freed)
	require.Empty(t, s.heldUntil)
}

// Guards against a count of a term that runs into the bits of the term: the fences of the
// next leader would not be above those of this one. Also guards against a leader that
// waits too long for open moves before it resigns.
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
