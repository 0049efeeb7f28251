package faultmatrix

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// recoverySeedCount is the number of seeds per measured time.
const recoverySeedCount = 2

// newServingSystem returns a system that serves all keys and had time to settle its
// witness sets.
func newServingSystem(t *testing.T, o options) *testSystem {
	system := newTestSystem(o)
	require.True(t, system.runUntilServed(20*time.Second))
	system.runUntil(system.now + 2*time.Second)
	return system
}

// TestRecoveryTimes guards against recovery that takes longer than the bounds of
// docs/design.md, section 2.8. While the log is unreachable, slices of a failed server wait for it; the
// time then counts from the end of the outage.
func TestRecoveryTimes(t *testing.T) {
	loseServer := func(system *testSystem) { system.servers["z1-s1"].kill() }
	loseHome := func(system *testSystem) { system.killHost(system.homeOf("z1-s1").host) }
	loseBoth := func(system *testSystem) { loseHome(system); loseServer(system) }
	cases := []struct {
		name            string
		lose            func(*testSystem)
		logDown         bool
		needsLog        bool // recovery cannot begin before the log is back
		grantsUnchecked bool
	}{
		{name: "server lost", lose: loseServer},
		{name: "home lost", lose: loseHome},
		{name: "both lost", lose: loseBoth},
		{name: "server lost, log down", lose: loseServer, logDown: true, needsLog: true},
		{name: "home lost, log down", lose: loseHome, logDown: true},
		{name: "both lost, log down", lose: loseBoth, logDown: true, needsLog: true},
		{name: "server lost, grants not checked", lose: loseServer, grantsUnchecked: true},
		{name: "home lost, grants not checked", lose: loseHome, grantsUnchecked: true},
		{name: "both lost, grants not checked", lose: loseBoth, grantsUnchecked: true},
		{name: "home lost, grants not checked, log down", lose: loseHome, grantsUnchecked: true, logDown: true, needsLog: true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			var longest time.Duration
			for seed := range uint64(recoverySeedCount) {
				system := newServingSystem(t, options{seed: seed, grantsUnchecked: tc.grantsUnchecked})
				system.log.down = tc.logDown
				system.runUntil(system.now + time.Second)
				system.resetGaps()
				tc.lose(system)
				system.runUntil(system.now + 6*time.Second)
				if tc.needsLog {
					system.resetGaps()
				}
				system.log.down = false
				system.runUntil(system.now + 6*time.Second)
				longest = max(longest, system.longestUnavailability())
				system.settleAndCheck(settleTime)
				require.Empty(t, system.checker.violations, "seed %d", seed)
			}
			t.Logf("longest of the seeds: %s", longest.Round(time.Millisecond))
			require.LessOrEqual(t, longest, maxRecoveryTime)
		})
	}
}

// TestPlannedMoveTime guards against planned moves that make a key unavailable for
// 100 ms or cause failed requests.
func TestPlannedMoveTime(t *testing.T) {
	var longest time.Duration
	for seed := range uint64(recoverySeedCount) {
		system := newServingSystem(t, options{seed: seed})
		system.lookupInterval, system.routeRetryInterval = 5*time.Millisecond, 2*time.Millisecond
		system.runUntil(system.now + time.Second)
		system.resetGaps()
		system.failedLookups = 0
		system.hotServer = "z1-s1"
		system.runUntil(system.now + 8*time.Second)
		longest = max(longest, system.longestUnavailability())
		require.Zero(t, system.failedLookups, "seed %d", seed)
		moved := false
		for s := range system.log.expectedState.SliceTable(serviceName).All {
			moved = moved || s.Former == "z1-s1"
		}
		require.True(t, moved, "no slice was moved, seed %d", seed)
		require.Empty(t, system.checker.violations, "seed %d", seed)
	}
	t.Logf("longest of the seeds: %s", longest.Round(time.Millisecond))
	require.Less(t, longest, 100*time.Millisecond)
}

// TestLeavingServerGetsNoNewWork guards against requests to a server later than 2 s
// after the operator or the host list declared it leaving.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	for name, leave := range map[string]func(*testSystem){
		"operator":  func(system *testSystem) { system.drainServer("z1-s1") },
		"host list": func(system *testSystem) { system.hostList.leaving["z1-s1"] = true },
	} {
		t.Run(name, func(t *testing.T) {
			var longest time.Duration
			for seed := range uint64(recoverySeedCount) {
				system := newServingSystem(t, options{seed: seed, servers: 3})
				left := system.now
				system.failedLookups = 0
				leave(system)
				system.runUntil(system.now + 5*time.Second)
				longest = max(longest, system.checker.lastAcceptedAt["z1-s1"]-left)
				require.Zero(t, system.failedLookups, "seed %d", seed)
				require.Empty(t, system.checker.violations, "seed %d", seed)
			}
			t.Logf("longest of the seeds: %s", longest.Round(time.Millisecond))
			require.LessOrEqual(t, longest, 2*time.Second)
		})
	}
}
