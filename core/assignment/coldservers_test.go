package assignment

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against keys that are moved to a cold server, whose requests would be refused: to one
// that has just started, and at the loss of a server. Its share follows when it is warm.
// Ranges are moved off a cold server that gets more requests than its limit.
func TestColdServersKeepFewKeys(t *testing.T) {
	sim := newSimulation(t, "1", "2", "3", "4")
	l := sim.leaderAfterPlacement("a")
	const limit = 50.0 // requests per second, of 400 for all servers
	l.SetWarmupLimits(map[string]float64{"stock": limit})
	random := rand.New(rand.NewPCG(1, 1))
	setServers := func(cold string, without ...string) {
		servers := sim.serversExcept(without...)
		for id, s := range servers["stock"] {
			s.Cold = id == cold
			servers["stock"][id] = s
		}
		l.SetServers(servers)
	}
	rate := func(d time.Duration) map[string]int {
		return sim.sendRequests(l, d, 20, func() uint16 { return uint16(random.IntN(KeyCount)) })
	}
	rate(5 * time.Second)
	sim.addServer("5")
	setServers("5")
	counts := rate(5 * time.Second)
	require.InDelta(t, maxColdShare*limit, counts["5"], 0.35*limit, "%v", counts)
	require.Positive(t, counts["5"])
	setServers("5", "1")
	counts = rate(10 * time.Second)
	require.Zero(t, counts["1"])
	require.InDelta(t, maxColdShare*limit, counts["5"], 0.35*limit, "%v", counts)
	setServers("")
	counts = rate(10 * time.Second)
	require.Greater(t, float64(counts["5"]), 1.15*limit, "warm: %v", counts)
	setServers("5")
	counts = rate(10 * time.Second)
	require.Less(t, float64(counts["5"]), 1.25*limit, "cold again: %v", counts)
}
