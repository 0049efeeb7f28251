package assignment

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sendRequests simulates perStep requests per step for a duration d. It returns the
// requests of each server in the last second.
func (sim *simulation) sendRequests(l *Leader, d time.Duration, perStep int, key func() uint16) map[string]int {
	lastSecondCounts := map[string]int{}
	for end := sim.now + d; sim.now < end; sim.step(l) {
		keys := make([]uint16, perStep)
		for i := range keys {
			keys[i] = key()
		}
		l.RecordArrivals("stock", keys)
		if end-sim.now < time.Second {
			for _, k := range keys {
				lastSecondCounts[sim.appendedMap.FindRange("stock", k).Owner.ID]++
			}
		}
	}
	return lastSecondCounts
}

func maxAndTotal(counts map[string]int) (most, total int) {
	for _, n := range counts {
		most = max(most, n)
		total += n
	}
	return most, total
}

// Guards against a burst that stays on one server: 40% of the requests are for 60
// adjacent keys. The busiest of eight servers may get at most 1.8 times the mean.
func TestNeighbouringBusyKeysSpreadWithinASecond(t *testing.T) {
	sim := newSimulation(t, "1", "2", "3", "4", "5", "6", "7", "8")
	l := sim.leaderAfterPlacement("a")
	random := rand.New(rand.NewPCG(1, 1))
	key := func() uint16 {
		if random.Float64() < 0.4 {
			return uint16(20000 + random.IntN(60))
		}
		return uint16(random.IntN(KeyCount))
	}
	counts := sim.sendRequests(l, 2500*time.Millisecond, 20, key)
	most, total := maxAndTotal(counts)
	require.Less(t, float64(most), 1.8*float64(total)/8, "%v", counts)
}

// Guards against moves because of random differences while the load is even. Up to six
// map writes in 20 seconds are accepted.
func TestEvenLoadCausesFewMapWrites(t *testing.T) {
	sim := newSimulation(t, "1", "2", "3", "4", "5", "6", "7", "8")
	l := sim.leaderAfterPlacement("a")
	before := sim.appendedMap.Sequence
	random := rand.New(rand.NewPCG(2, 2))
	sim.sendRequests(l, 20*time.Second, 12, func() uint16 { return uint16(random.IntN(KeyCount)) })
	require.LessOrEqual(t, sim.appendedMap.Sequence-before, uint64(6))
}

// Guards against a single busy key that moves from server to server, and against
// attempts to split its range, which cannot spread the load.
func TestSingleBusyKeyStays(t *testing.T) {
	sim := newSimulation(t, "1", "2", "3", "4")
	l := sim.leaderAfterPlacement("a")
	sim.sendRequests(l, 2*time.Second, 10, func() uint16 { return 777 })
	owner := sim.appendedMap.FindRange("stock", 777).Owner
	sim.sendRequests(l, 5*time.Second, 10, func() uint16 { return 777 })
	require.Equal(t, owner, sim.appendedMap.FindRange("stock", 777).Owner)
}

// Guards against equal shares that overload slow servers: two of eight servers take
// twice as long per request. With equal shares they would get 0.25 of the requests.
func TestSlowServersGetFewerKeys(t *testing.T) {
	sim := newSimulation(t, "1", "2", "3", "4", "5", "6", "7", "8")
	l := sim.leaderAfterPlacement("a")
	random := rand.New(rand.NewPCG(3, 3))
	for id := range sim.servers {
		serviceTime := 200 * time.Millisecond
		if id == "1" || id == "2" {
			serviceTime *= 2
		}
		l.RecordServiceTimes(id, 20, 20*serviceTime)
	}
	counts := sim.sendRequests(l, 15*time.Second, 15, func() uint16 { return uint16(random.IntN(KeyCount)) })
	_, total := maxAndTotal(counts)
	slow := float64(counts["1"]+counts["2"]) / float64(total)
	require.Less(t, slow, 0.21, "%v", counts)
}
