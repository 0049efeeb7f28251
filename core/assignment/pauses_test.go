package assignment

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/directory"
)

// Guards against keys that stay unserved at a server that wants no requests for long, and
// against moves that cost more than the pause: for a short one, for one of a few hosts, or
// to servers that pause themselves.
func TestKeysLeaveAServerThatPausesForLong(t *testing.T) {
	const hosts = 8
	for name, c := range map[string]struct {
		pauses map[string]directory.Pause
		empty  []string
	}{
		"long, all hosts":       {map[string]directory.Pause{"1": {Hosts: hosts, Longest: 3 * time.Second}}, []string{"1"}},
		"a second, all hosts":   {map[string]directory.Pause{"1": {Hosts: hosts, Longest: 900 * time.Millisecond}}, []string{"1"}},
		"short":                 {map[string]directory.Pause{"1": {Hosts: hosts, Longest: 450 * time.Millisecond}}, nil},
		"long, one host":        {map[string]directory.Pause{"1": {Hosts: 1, Longest: 3 * time.Second}}, nil},
		"very long, one host":   {map[string]directory.Pause{"1": {Hosts: 1, Longest: 10 * time.Second}}, []string{"1"}},
		"of all servers":        {map[string]directory.Pause{"1": {Hosts: hosts, Longest: 3 * time.Second}, "2": {Hosts: hosts, Longest: 4 * time.Second}, "3": {Hosts: hosts, Longest: 3 * time.Second}, "4": {Hosts: hosts, Longest: 3 * time.Second}}, []string{"2"}},
		"of an unlisted server": {map[string]directory.Pause{"9": {Hosts: hosts, Longest: 3 * time.Second}}, nil},
	} {
		sim := newSimulation(t, "1", "2", "3", "4")
		l := sim.leaderAfterPlacement("a")
		l.SetHostCount(hosts)
		l.SetPauses(c.pauses)
		sim.run(500*time.Millisecond, l)
		counts := sim.rangesByOwner()
		for _, id := range []string{"1", "2", "3", "4"} {
			require.Equal(t, slices.Contains(c.empty, id), counts[id] == 0, "%s: server %s has %d ranges", name, id, counts[id])
		}
	}
}

// Guards against keys that go back and forth while a pause runs out, and against a server
// that gets no keys after it.
func TestEmptiedServerIsFilledAfterItsPause(t *testing.T) {
	sim := newSimulation(t, "1", "2", "3", "4")
	l := sim.leaderAfterPlacement("a")
	l.SetHostCount(2)
	l.SetPauses(map[string]directory.Pause{"1": {Hosts: 2, Longest: 2 * time.Second}})
	sim.run(time.Second, l)
	l.SetPauses(map[string]directory.Pause{"1": {Hosts: 2, Longest: 100 * time.Millisecond}})
	sim.run(500*time.Millisecond, l)
	require.Zero(t, sim.rangesByOwner()["1"])
	l.SetPauses(nil)
	sim.run(500*time.Millisecond, l)
	require.Equal(t, 8, sim.rangesByOwner()["1"])
}

// Guards against keys that stay unserved because most of many hosts have sent their server
// nothing since it wants no requests, and against moves for a few of the hosts.
func TestPauseOfSeveralHostsCountsForAll(t *testing.T) {
	for hosts, ranges := range map[int]int{1: 8, 7: 8, 8: 0, 40: 0} {
		sim := newSimulation(t, "1", "2", "3", "4")
		l := sim.leaderAfterPlacement("a")
		l.SetHostCount(295)
		l.SetPauses(map[string]directory.Pause{"1": {Hosts: hosts, Longest: time.Second}})
		sim.run(500*time.Millisecond, l)
		require.Equal(t, ranges, sim.rangesByOwner()["1"], "%d hosts", hosts)
	}
}
