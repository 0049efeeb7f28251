package assignment

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func even(random *rand.Rand) func() uint16 {
	return func() uint16 { return uint16(random.IntN(KeyCount)) }
}

// Pattern: adjacent busy keys, and after their spell a second one elsewhere.
// Guards against a second spell that finds no open move or no split left.
func TestSecondSpellElsewhereSpreadsToo(t *testing.T) {
	w := newWorld(t, "1", "2", "3", "4", "5", "6", "7", "8")
	l := w.placed("a")
	random := rand.New(rand.NewPCG(5, 5))
	for _, first := range []int{20000, 47000, 20030} {
		counts := w.offer(l, 2500*time.Millisecond, 20, func() uint16 {
			if random.Float64() < 0.4 {
				return uint16(first + random.IntN(60))
			}
			return uint16(random.IntN(KeyCount))
		})
		most, total := busiest(counts)
		require.Less(t, float64(most), 1.8*float64(total)/8, "spell at %d: %v", first, counts)
	}
}

// Pattern: servers join under load. Guards against servers that wait for work for
// longer than the four seconds in which operators expect it, and against a refill
// that leaves keys unserved.
func TestJoiningServersGetTheirShare(t *testing.T) {
	w := newWorld(t, "1", "2", "3", "4", "5", "6", "7", "8")
	l := w.placed("a")
	random := rand.New(rand.NewPCG(6, 6))
	w.offer(l, 3*time.Second, 15, even(random))
	for id := range 3 {
		w.add(fmt.Sprint("new", id))
	}
	l.SetServers(w.listed())
	counts := w.offer(l, 4*time.Second, 15, even(random))
	_, total := busiest(counts)
	for id := range 3 {
		require.Greater(t, float64(counts[fmt.Sprint("new", id)]), 0.4*float64(total)/11, "%v", counts)
	}
	moving := 0
	for _, r := range w.stored.Services["stock"] {
		if r.IsMoving() {
			moving++
		}
	}
	require.LessOrEqual(t, moving, minOpenMoves/4)
}

// Pattern: an availability zone takes a third of the servers with it. Guards
// against keys without a holder after the last hold has run out, and against a
// few servers that get all of them.
func TestThirdOfTheServersLost(t *testing.T) {
	var ids, lost []string
	for i := range 12 {
		ids = append(ids, fmt.Sprint(i))
		if i%3 == 0 {
			lost = append(lost, fmt.Sprint(i))
		}
	}
	w := newWorld(t, ids...)
	l := w.placed("a")
	random := rand.New(rand.NewPCG(7, 7))
	w.offer(l, 2*time.Second, 15, even(random))
	for _, id := range lost {
		w.servers[id].down = true
	}
	l.SetServers(w.listed(lost...))
	counts := w.offer(l, GrantDuration+GrantExpiryMargin+CallTimeout+time.Second, 15, even(random))
	for _, id := range lost {
		require.Zero(t, counts[id])
	}
	require.Zero(t, w.owners()["moving"])
	most, total := busiest(counts)
	require.Less(t, float64(most), 1.6*float64(total)/8, "%v", counts)
}

// Pattern: every host lost power and is back. Guards against keys that are dealt
// anew, which would wait for the holds of the former holders.
func TestHoldersStayAfterEveryHostLostPower(t *testing.T) {
	w := newWorld(t, "1", "2", "3", "4", "5", "6")
	w.placed("a")
	before := w.stored.Services["stock"]
	w.now += 6 * time.Second
	b := w.lead("b")
	b.SetServers(w.listed())
	w.run(300*time.Millisecond, b)
	require.Equal(t, before, w.stored.Services["stock"])
	for _, k := range w.keys {
		owner := w.servers[w.stored.FindRange("stock", k).Owner.ID]
		require.Greater(t, owner.held[k], w.now, "key %d is not held", k)
	}
}
