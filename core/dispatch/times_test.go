package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against attempts that are given up although they take what others of
// their rank take, and against a limit that knows only the fast ones.
func TestUsualTimeCoversNearlyAllResponses(t *testing.T) {
	p := NewPool("h", "a", nil)
	random := rand.New(rand.NewPCG(12, 12))
	work := func() time.Duration { // 0.76 s with a spread of 0.3, as of the longest requests
		return time.Duration(float64(760*time.Millisecond) * max(0.2, 1+0.3*random.NormFloat64()))
	}
	require.Zero(t, p.times[2].usual())
	given, total := 0, 0
	for range 4000 {
		took := work()
		if usual := p.times[2].usual(); usual > 0 {
			total++
			if took > usual {
				given++
				p.noteTime(AttemptResult{Outcome: Slow, Rank: 2, Latency: usual})
				continue
			}
		}
		p.noteTime(AttemptResult{Outcome: OK, Rank: 2, Latency: took})
	}
	require.Less(t, given, total/100)
	require.Less(t, p.times[2].usual(), 3*time.Second)
}
