package assignment

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against servers that hold the costly keys and get as many requests as the others:
// requests for the keys that two of eight servers hold first take four times as long.
func TestKeysAreWeighedByCost(t *testing.T) {
	workOfBusiest := func(costsKnown bool) float64 {
		sim := newSimulation(t, "1", "2", "3", "4", "5", "6", "7", "8")
		l := sim.leaderAfterPlacement("a")
		first := sim.appendedMap
		random, work, total := rand.New(rand.NewPCG(4, 4)), map[string]float64{}, 0.0
		for end := sim.now + 20*time.Second; sim.now < end; sim.step(l) {
			keys, costs := make([]uint16, 15), make([]uint16, 15)
			for i := range keys {
				keys[i], costs[i] = uint16(random.IntN(KeyCount)), 50
				if id := first.FindRange("stock", keys[i]).Owner.ID; id == "1" || id == "2" {
					costs[i] = 200
				}
				if end-sim.now < 5*time.Second {
					work[sim.appendedMap.FindRange("stock", keys[i]).Owner.ID] += float64(costs[i])
					total += float64(costs[i])
				}
			}
			if !costsKnown {
				costs = nil
			}
			l.RecordCosts("stock", keys, costs)
		}
		most := 0.0
		for _, w := range work {
			most = max(most, w)
		}
		return most / (total / 8)
	}
	unweighed, weighed := workOfBusiest(false), workOfBusiest(true)
	t.Logf("work of the busiest server, relative to the mean: %.2f by requests, %.2f by cost", unweighed, weighed)
	require.Less(t, weighed, 1.3)
	require.Less(t, weighed, unweighed-0.1)
}

// Guards against moves of keys because of slow spells of machines, which end before a move
// does: each server takes three times as long for 400 ms of every 2 s.
func TestSlowSpellsMoveNoKeys(t *testing.T) {
	sim := newSimulation(t, "1", "2", "3", "4", "5", "6", "7", "8")
	l := sim.leaderAfterPlacement("a")
	random, before, begin := rand.New(rand.NewPCG(5, 5)), sim.appendedMap.Sequence, sim.now
	for end := sim.now + 20*time.Second; sim.now < end; sim.step(l) {
		for i, id := range slices.Sorted(maps.Keys(sim.servers)) {
			serviceTime, percent := 200*time.Millisecond, 100
			if (sim.now-begin+time.Duration(i)*250*time.Millisecond)%(2*time.Second) < 400*time.Millisecond {
				serviceTime, percent = 3*serviceTime, 300
			}
			l.RecordServiceTimes(id, 2, l.RecordSlowdowns(id, 2, 2*percent, 2*serviceTime))
		}
		keys := make([]uint16, 12)
		for i := range keys {
			keys[i] = uint16(random.IntN(KeyCount))
		}
		l.RecordCosts("stock", keys, nil)
	}
	t.Logf("%d map writes", sim.appendedMap.Sequence-before)
	require.LessOrEqual(t, sim.appendedMap.Sequence-before, uint64(8))
}
