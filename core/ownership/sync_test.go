package ownership

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/resource"
)

// Compares two ways for a daemon that cannot read the log to obtain records: from
// poll responses of witnesses, or by a separate sync every 500 ms (docs/design.md,
// section 5.11).
// Guards against poll responses being slower than the sync that they replace.
func TestPollResponsesAreFasterThanSync(t *testing.T) {
	delays := func(separateSync bool) []time.Duration {
		cluster := newServingCluster(t, 3, "checka", "plainb")
		cluster.canReadLog = func(name string) bool { return name != "d3" || separateSync && cluster.now%(500*time.Millisecond) == 0 }
		cluster.dropEffect = func(from string, e Effect) bool {
			_, poll := e.(SendPoll)
			return separateSync && poll && from == "d3"
		}
		rng := rand.New(rand.NewPCG(5, 6))
		var list []time.Duration
		for i := range 200 {
			cluster.run(time.Duration(rng.IntN(20)) * TickInterval)
			cluster.putResource("rank"+string(rune('a'+i%26))+string(rune('a'+i/26)), &resource.Rank{Level: 1})
			offset := uint64(len(cluster.log))
			list = append(list, cluster.runUntil(2*time.Second, func() bool { return cluster.daemons["d3"].machine.View().AppliedOffset >= offset }))
		}
		slices.Sort(list)
		var sum time.Duration
		for _, d := range list {
			sum += d
		}
		t.Logf("repair sync %v: mean %v, median %v, most %v", separateSync, sum/200, list[100], list[199])
		return list
	}
	pollResponses, sync := delays(false), delays(true)
	require.Less(t, pollResponses[100], sync[100])
	require.LessOrEqual(t, pollResponses[199], pollInterval+3*TickInterval)
}
