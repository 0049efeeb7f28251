package assignment

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// offer sends requests for a time and returns how many each server's keys get at
// the end of it.
func (w *world) offer(l *Leader, d time.Duration, perStep int, key func() uint16) map[string]int {
	last := map[string]int{}
	for end := w.now + d; w.now < end; w.step(l) {
		keys := make([]uint16, perStep)
		for i := range keys {
			keys[i] = key()
		}
		l.RecordArrivals("stock", keys)
		if end-w.now < time.Second {
			for _, k := range keys {
				last[w.stored.FindRange("stock", k).Owner.ID]++
			}
		}
	}
	return last
}

func busiest(counts map[string]int) (most, total int) {
	for _, n := range counts {
		most = max(most, n)
		total += n
	}
	return most, total
}

// Pattern: a spell in which 40% of the requests are for 60 neighbouring keys.
// Guards against one server that gets them all for the whole spell.
func TestNeighbouringBusyKeysSpreadWithinASecond(t *testing.T) {
	w := newWorld(t, "1", "2", "3", "4", "5", "6", "7", "8")
	l := w.placed("a")
	random := rand.New(rand.NewPCG(1, 1))
	key := func() uint16 {
		if random.Float64() < 0.4 {
			return uint16(20000 + random.IntN(60))
		}
		return uint16(random.IntN(KeyCount))
	}
	counts := w.offer(l, 2500*time.Millisecond, 20, key)
	most, total := busiest(counts)
	require.Less(t, float64(most), 1.8*float64(total)/8, "%v", counts)
}

// Pattern: even load. Guards against moves that only chance explains.
func TestEvenLoadMovesNothing(t *testing.T) {
	w := newWorld(t, "1", "2", "3", "4", "5", "6", "7", "8")
	l := w.placed("a")
	before := w.stored.Sequence
	random := rand.New(rand.NewPCG(2, 2))
	w.offer(l, 20*time.Second, 12, func() uint16 { return uint16(random.IntN(KeyCount)) })
	require.LessOrEqual(t, w.stored.Sequence-before, uint64(6))
}

// Pattern: one busy key. Guards against a split of what cannot be split, and
// against moves that pass the key around.
func TestSingleBusyKeyStays(t *testing.T) {
	w := newWorld(t, "1", "2", "3", "4")
	l := w.placed("a")
	w.offer(l, 2*time.Second, 10, func() uint16 { return 777 })
	owner := w.stored.FindRange("stock", 777).Owner
	w.offer(l, 5*time.Second, 10, func() uint16 { return 777 })
	require.Equal(t, owner, w.stored.FindRange("stock", 777).Owner)
}

// Pattern: servers of different speed. Guards against equal shares that overload
// the slow ones.
func TestSlowServersGetFewerKeys(t *testing.T) {
	w := newWorld(t, "1", "2", "3", "4", "5", "6", "7", "8")
	l := w.placed("a")
	random := rand.New(rand.NewPCG(3, 3))
	for id := range w.servers {
		time := 200 * time.Millisecond
		if id == "1" || id == "2" {
			time *= 2
		}
		l.RecordServiceTimes(id, 20, 20*time)
	}
	counts := w.offer(l, 15*time.Second, 15, func() uint16 { return uint16(random.IntN(KeyCount)) })
	_, total := busiest(counts)
	slow := float64(counts["1"]+counts["2"]) / float64(total)
	require.Less(t, slow, 0.21, "%v", counts)
}
