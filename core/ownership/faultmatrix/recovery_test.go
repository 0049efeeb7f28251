package faultmatrix

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// recoverySeeds is the number of runs per measured time.
const recoverySeeds = 2

// startedWorld returns a system that serves all keys and whose witness sets are settled.
func startedWorld(t *testing.T, o options) *world {
	w := newWorld(o)
	require.True(t, w.untilServed(20*time.Second))
	w.until(w.now + 2*time.Second)
	return w
}

// TestRecoveryTimes guards the bounds of design section 2.8 for keys after a
// loss. Without the log, slices of a dead server wait for its return; the time
// then counts from the end of the outage.
func TestRecoveryTimes(t *testing.T) {
	loseServer := func(w *world) { w.servers["z1-s1"].kill() }
	loseHome := func(w *world) { w.killHost(w.homeOf("z1-s1").host) }
	loseBoth := func(w *world) { loseHome(w); loseServer(w) }
	cases := []struct {
		name     string
		lose     func(*world)
		logDown  bool
		needsLog bool // recovery cannot begin before the log is back
		nonCheck bool
	}{
		{name: "server lost", lose: loseServer},
		{name: "home lost", lose: loseHome},
		{name: "both lost", lose: loseBoth},
		{name: "server lost, log down", lose: loseServer, logDown: true, needsLog: true},
		{name: "home lost, log down", lose: loseHome, logDown: true},
		{name: "both lost, log down", lose: loseBoth, logDown: true, needsLog: true},
		{name: "server lost, grants not checked", lose: loseServer, nonCheck: true},
		{name: "home lost, grants not checked", lose: loseHome, nonCheck: true},
		{name: "both lost, grants not checked", lose: loseBoth, nonCheck: true},
		{name: "home lost, grants not checked, log down", lose: loseHome, nonCheck: true, logDown: true, needsLog: true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			var longest time.Duration
			for seed := range uint64(recoverySeeds) {
				w := startedWorld(t, options{seed: seed, nonCheck: tc.nonCheck})
				w.log.down = tc.logDown
				w.until(w.now + time.Second)
				w.restartGaps()
				tc.lose(w)
				w.until(w.now + 6*time.Second)
				if tc.needsLog {
					w.restartGaps()
				}
				w.log.down = false
				w.until(w.now + 6*time.Second)
				longest = max(longest, w.longestGap())
				w.finish(settleTime)
				require.Empty(t, w.checker.violations, "seed %d", seed)
			}
			t.Logf("longest of the seeds: %s", longest.Round(time.Millisecond))
			require.LessOrEqual(t, longest, recoveryBound)
		})
	}
}

// TestPlannedMoveTime guards the bound of 100 ms without service and without a
// failed request for a planned move.
func TestPlannedMoveTime(t *testing.T) {
	var longest time.Duration
	for seed := range uint64(recoverySeeds) {
		w := startedWorld(t, options{seed: seed})
		w.lookupPeriod, w.queuePoll = 5*time.Millisecond, 2*time.Millisecond
		w.until(w.now + time.Second)
		w.restartGaps()
		w.failures = 0
		w.hot = "z1-s1"
		w.until(w.now + 8*time.Second)
		longest = max(longest, w.longestGap())
		require.Zero(t, w.failures, "seed %d", seed)
		moved := false
		for s := range w.log.expected.Table(serviceName).All {
			moved = moved || s.Former == "z1-s1"
		}
		require.True(t, moved, "no slice was moved, seed %d", seed)
		require.Empty(t, w.checker.violations, "seed %d", seed)
	}
	t.Logf("longest of the seeds: %s", longest.Round(time.Millisecond))
	require.Less(t, longest, 100*time.Millisecond)
}

// TestLeavingServerGetsNoNewWork guards the bound of 2 s after a server was
// declared leaving, by the operator or by the host list.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	for name, leave := range map[string]func(*world){
		"operator":  func(w *world) { w.drain("z1-s1") },
		"host list": func(w *world) { w.hosts.leaving["z1-s1"] = true },
	} {
		t.Run(name, func(t *testing.T) {
			var longest time.Duration
			for seed := range uint64(recoverySeeds) {
				w := startedWorld(t, options{seed: seed, servers: 3})
				left := w.now
				w.failures = 0
				leave(w)
				w.until(w.now + 5*time.Second)
				longest = max(longest, w.checker.lastWork["z1-s1"]-left)
				require.Zero(t, w.failures, "seed %d", seed)
				require.Empty(t, w.checker.violations, "seed %d", seed)
			}
			t.Logf("longest of the seeds: %s", longest.Round(time.Millisecond))
			require.LessOrEqual(t, longest, 2*time.Second)
		})
	}
}
