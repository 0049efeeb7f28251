package ownership

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/resource"
)

// Compares the records that witness responses carry with a separate repair sync
// every 500 ms (design 5.11) for a daemon that cannot read the log. Guards
// against a relay that is slower than the sync that it replaces.
func TestRelayAgainstRepairSync(t *testing.T) {
	delays := func(repair bool) []time.Duration {
		w := servingWorld(t, 3, "checka", "plainb")
		w.readLog = func(name string) bool { return name != "d3" || repair && w.now%(500*time.Millisecond) == 0 }
		w.drop = func(from string, e Effect) bool {
			_, poll := e.(SendPoll)
			return repair && poll && from == "d3"
		}
		rng := rand.New(rand.NewPCG(5, 6))
		var list []time.Duration
		for i := range 200 {
			w.run(time.Duration(rng.IntN(20)) * TickInterval)
			w.put("rank"+string(rune('a'+i%26))+string(rune('a'+i/26)), &resource.Rank{Level: 1})
			offset := uint64(len(w.log))
			list = append(list, w.until(2*time.Second, func() bool { return w.nodes["d3"].m.View().AppliedOffset >= offset }))
		}
		slices.Sort(list)
		var sum time.Duration
		for _, d := range list {
			sum += d
		}
		t.Logf("repair sync %v: mean %v, median %v, most %v", repair, sum/200, list[100], list[199])
		return list
	}
	relay, sync := delays(false), delays(true)
	require.Less(t, relay[100], sync[100])
	require.LessOrEqual(t, relay[199], pollInterval+3*TickInterval)
}
