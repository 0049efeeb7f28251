package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against abandoning attempts that take no longer than others of their rank,
// and against a bound that is computed from fast responses only.
func TestLatencyBoundCoversNearlyAllResponses(t *testing.T) {
	p := NewPool("h", "a", nil)
	random := rand.New(rand.NewPCG(12, 12))
	randomServiceTime := func() time.Duration { // mean 0.76 s, standard deviation 30%, like the longest requests
		return time.Duration(float64(760*time.Millisecond) * max(0.2, 1+0.3*random.NormFloat64()))
	}
	require.Zero(t, p.latencyEstimates[2].latencyBound())
	abandoned, total := 0, 0
	for range 4000 {
		serviceTime := randomServiceTime()
		if bound := p.latencyEstimates[2].latencyBound(); bound > 0 {
			total++
			if serviceTime > bound {
				abandoned++
				p.recordLatency(AttemptResult{Outcome: Slow, Rank: 2, Latency: bound})
				continue
			}
		}
		p.recordLatency(AttemptResult{Outcome: OK, Rank: 2, Latency: serviceTime})
	}
	require.Less(t, abandoned, total/100)
	require.Less(t, p.latencyEstimates[2].latencyBound(), 3*time.Second)
}
