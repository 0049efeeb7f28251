package assignment

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func uniformKeys(random *rand.Rand) func() uint16 {
	return func() uint16 { return uint16(random.IntN(KeyCount)) }
}

// Guards against a second burst that cannot spread, because the first one has used up
// the limits of open moves or of ranges.
func TestSecondBurstOnOtherKeysSpreadsToo(t *testing.T) {
	sim := newSimulation(t, "1", "2", "3", "4", "5", "6", "7", "8")
	l := sim.leaderAfterPlacement("a")
	random := rand.New(rand.NewPCG(5, 5))
	for _, first := range []int{20000, 47000, 20030} {
		counts := sim.sendRequests(l, 2500*time.Millisecond, 20, func() uint16 {
			if random.Float64() < 0.4 {
				return uint16(first + random.IntN(60))
			}
			return uint16(random.IntN(KeyCount))
		})
		most, total := maxAndTotal(counts)
		require.Less(t, float64(most), 1.8*float64(total)/8, "burst at key %d: %v", first, counts)
	}
}

// Guards against servers that join under load and get no requests within the four
// seconds that operators expect, and against moves to them that leave many ranges
// unserved.
func TestJoiningServersGetTheirShare(t *testing.T) {
	sim := newSimulation(t, "1", "2", "3", "4", "5", "6", "7", "8")
	l := sim.leaderAfterPlacement("a")
	random := rand.New(rand.NewPCG(6, 6))
	sim.sendRequests(l, 3*time.Second, 15, uniformKeys(random))
	for id := range 3 {
		sim.addServer(fmt.Sprint("new", id))
	}
	l.SetServers(sim.serversExcept())
	counts := sim.sendRequests(l, 4*time.Second, 15, uniformKeys(random))
	_, total := maxAndTotal(counts)
	for id := range 3 {
		require.Greater(t, float64(counts[fmt.Sprint("new", id)]), 0.4*float64(total)/11, "%v", counts)
	}
	moving := 0
	for _, r := range sim.appendedMap.Services["stock"] {
		if r.IsMoving() {
			moving++
		}
	}
	require.LessOrEqual(t, moving, minOpenMoveLimit/4)
}

// Guards against keys without a holder after an availability zone with a third of the
// servers has failed and the last grants have expired, and against a few servers that
// get all of these keys.
func TestRangesOfALostZoneMoveToAllOtherServers(t *testing.T) {
	var ids, lost []string
	for i := range 12 {
		ids = append(ids, fmt.Sprint(i))
		if i%3 == 0 {
			lost = append(lost, fmt.Sprint(i))
		}
	}
	sim := newSimulation(t, ids...)
	l := sim.leaderAfterPlacement("a")
	random := rand.New(rand.NewPCG(7, 7))
	sim.sendRequests(l, 2*time.Second, 15, uniformKeys(random))
	for _, id := range lost {
		sim.servers[id].unreachable = true
	}
	l.SetServers(sim.serversExcept(lost...))
	counts := sim.sendRequests(l, GrantDuration+GrantExpiryMargin+CallTimeout+time.Second, 15, uniformKeys(random))
	for _, id := range lost {
		require.Zero(t, counts[id])
	}
	require.Zero(t, sim.rangesByOwner()["moving"])
	most, total := maxAndTotal(counts)
	require.Less(t, float64(most), 1.6*float64(total)/8, "%v", counts)
}

// Guards against a new placement of all keys after a power loss of every host, which
// would have to wait until the grants of the previous holders expire.
func TestHoldersStayAfterEveryHostLostPower(t *testing.T) {
	sim := newSimulation(t, "1", "2", "3", "4", "5", "6")
	sim.leaderAfterPlacement("a")
	before := sim.appendedMap.Services["stock"]
	sim.now += 6 * time.Second
	successor := sim.newLeader("b")
	successor.SetServers(sim.serversExcept())
	sim.run(300*time.Millisecond, successor)
	require.Equal(t, before, sim.appendedMap.Services["stock"])
	for _, k := range sim.checkedKeys {
		owner := sim.servers[sim.appendedMap.FindRange("stock", k).Owner.ID]
		require.Greater(t, owner.heldUntil[k], sim.now, "key %d is not held", k)
	}
}
