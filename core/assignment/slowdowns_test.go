package assignment

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

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
		l.RecordArrivals("stock", keys)
	}
	t.Logf("%d map writes", sim.appendedMap.Sequence-before)
	require.LessOrEqual(t, sim.appendedMap.Sequence-before, uint64(8))
}
