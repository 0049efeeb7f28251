package dispatch

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/retry"
)

// Pattern: servers refuse 55% of their requests at random although their slots are
// free, for longer than any deadline ("srv_grey", how "shed all"). A caller returns
// twice. Guards against refusals that ask callers to wait: their returns then miss the
// target latency although a server would have served them. With three attempts in time,
// 1-0.55^3 of the callers are served; the retry budget serves some more.
func TestCallersOfSheddingServersReturnInTime(t *testing.T) {
	const (
		refusedShare = 0.55
		returns      = 2
		target       = 800 * time.Millisecond
		serviceTime  = 270 * time.Millisecond
		exchangeTime = 20 * time.Millisecond // of a refused attempt, with the caller's new connection
	)
	random := rand.New(rand.NewPCG(3, 3))
	budget := retry.HostBudget{Ratio: 0.15, Window: 10 * time.Second}
	load := &Load{Running: 4, Slots: 6}
	const callers = 4000
	inTime := 0
	for caller := range callers {
		start := time.Duration(caller) * 5 * time.Millisecond
		now := start
		for attempt := 0; attempt <= returns; attempt++ {
			budget.RecordRequest(start)
			accepted := random.Float64() >= refusedShare
			for !accepted && budget.TryReserve(start) {
				now += exchangeTime
				accepted = random.Float64() >= refusedShare
			}
			if accepted {
				if now+serviceTime-start <= target {
					inTime++
				}
				break
			}
			now += exchangeTime + RetryAfterRefusal(load, target)
		}
	}
	share := float64(inTime) / callers
	t.Logf("%.3f of the callers served in time", share)
	require.Greater(t, share, 1-math.Pow(refusedShare, returns+1))
}

// Guards against callers that return to a full server at once, and against a wait that
// uses up the target latency.
func TestCallersOfFullServersWait(t *testing.T) {
	full := &Load{Running: 6, Waiting: 24, Slots: 6}
	require.Equal(t, 300*time.Millisecond, RetryAfterRefusal(full, time.Second))
	require.Equal(t, 500*time.Millisecond, RetryAfterRefusal(full, 10*time.Second))
	require.Equal(t, 500*time.Millisecond, RetryAfterRefusal(nil, 0))
	require.Less(t, RetryAfterRefusal(&Load{Running: 6, Waiting: 5, Slots: 6}, time.Second), 100*time.Millisecond)
}
