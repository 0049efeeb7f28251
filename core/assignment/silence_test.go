package assignment

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newSilenceTest returns a leader of a deployment of many hosts, and a function that plays
// a second in which the holder of a key gets and answers a number of requests.
func newSilenceTest(t *testing.T, serviceTime time.Duration) (sim *simulation, holder string, l *Leader, second func(sent, answered int)) {
	const key = 40000
	sim = newSimulation(t, "1", "2", "3", "4")
	l = sim.leaderAfterPlacement("a")
	l.SetHostCount(minLimitingHosts)
	for id := range sim.servers {
		l.RecordServiceTimes(id, 20, 20*serviceTime)
	}
	holder = sim.appendedMap.FindRange("stock", key).Owner.ID
	return sim, holder, l, func(sent, answered int) {
		const reports = 20
		for i := range reports {
			l.RecordArrivals("stock", []uint16{key})
			l.RecordContact(holder, sent*(i+1)/reports-sent*i/reports, answered*(i+1)/reports-answered*i/reports)
			sim.run(time.Second/reports, l)
		}
	}
}

// Pattern: servers of many hosts stop answering without a reset ("cold_return" and
// "replace_with_reuse", how "dark"). Guards against hosts that each find that out by a
// timeout of their own, which takes their callers the whole time that they have.
func TestSilentServersGetFewRequests(t *testing.T) {
	_, holder, l, second := newSilenceTest(t, 200*time.Millisecond)
	second(12, 12)
	require.NotContains(t, l.AdmittedShares(), holder)
	second(12, 0)
	second(6, 0)
	require.True(t, l.IsSilent(holder))
	require.InDelta(t, silentShare, l.AdmittedShares()[holder], 0.001)
	second(1, 1)
	second(1, 1)
	require.False(t, l.IsSilent(holder), "it answers again")
	require.NotContains(t, l.AdmittedShares(), holder)
}

// Guards against limits for servers that get few requests, answer late, or answer some.
func TestServersThatAnswerAreNotSilent(t *testing.T) {
	for name, c := range map[string]struct {
		serviceTime    time.Duration
		sent, answered int
		seconds        int
	}{
		"few requests":       {200 * time.Millisecond, 1, 0, 3},
		"long service times": {time.Second, 12, 0, 2},
		"some responses":     {200 * time.Millisecond, 40, 3, 5},
	} {
		t.Run(name, func(t *testing.T) {
			_, holder, l, second := newSilenceTest(t, c.serviceTime)
			second(12, 12)
			for range c.seconds {
				second(c.sent, c.answered)
				require.False(t, l.IsSilent(holder))
			}
		})
	}
}

// Guards against a silence that lasts although the server can't get requests, has started
// again, or is the only one left and answers: its keys would then be refused without need.
func TestSilenceEnds(t *testing.T) {
	for name, c := range map[string]struct {
		change         func(sim *simulation, holder string)
		sent, answered int
	}{
		"evacuated": {func(sim *simulation, holder string) { sim.servers[holder].Evacuated = true }, 0, 0},
		"restarted": {func(sim *simulation, holder string) { sim.servers[holder].Born++ }, 0, 0},
		"unlisted":  {func(sim *simulation, holder string) { delete(sim.servers, holder) }, 0, 0},
		"alone": {func(sim *simulation, holder string) {
			for id, s := range sim.servers {
				s.Draining = id != holder
			}
		}, 3, 3},
	} {
		t.Run(name, func(t *testing.T) {
			sim, holder, l, second := newSilenceTest(t, 200*time.Millisecond)
			second(12, 0)
			second(12, 0)
			require.Contains(t, l.AdmittedShares(), holder)
			c.change(sim, holder)
			l.SetServers(sim.serversExcept())
			second(c.sent, c.answered)
			require.NotContains(t, l.AdmittedShares(), holder)
			require.False(t, l.IsSilent(holder))
		})
	}
}
