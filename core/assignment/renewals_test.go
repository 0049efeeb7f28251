package assignment

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Pattern: a leader takes over hundreds of servers with several ranges each. Guards against
// renewals of a server's ranges that come all at once, each over a connection of its own
// that is idle, or has to be opened again, until the next renewal.
func TestRenewalsOfAServerAreSpread(t *testing.T) {
	sim := newSimulation(t, "1", "2", "3", "4")
	l := sim.leaderAfterPlacement("a")
	sim.run(RenewalInterval, l)
	atOnce, renewals := map[time.Duration]int{}, 0
	for end := sim.now + RenewalInterval; sim.now < end; {
		sim.sentCalls = nil
		sim.step(l)
		for _, c := range sim.sentCalls {
			if c.Server.ID == "1" {
				atOnce[sim.now]++
				renewals++
			}
		}
	}
	require.Len(t, l.acknowledged.Services["stock"], 32)
	require.Equal(t, 8, renewals)
	for _, calls := range atOnce {
		require.LessOrEqual(t, calls, 2)
	}
}
