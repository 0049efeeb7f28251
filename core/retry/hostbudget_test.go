package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against more extra arrivals than the budget allows in any interval of the
// window's length.
func TestHostBudgetHoldsInEverySlidingWindow(t *testing.T) {
	budget := &HostBudget{Ratio: 0.2, Slack: 3, Window: 10 * time.Second}
	var requests, extras []time.Duration
	for now := time.Duration(0); now < 60*time.Second; now += 20 * time.Millisecond {
		if now < 8*time.Second || now > 30*time.Second {
			budget.RecordRequest(now)
			requests = append(requests, now)
		}
		if budget.TryReserve(now) {
			extras = append(extras, now)
		}
	}
	for from := time.Duration(0); from < 50*time.Second; from += 250 * time.Millisecond {
		to := from + 10*time.Second
		// The budget of an extra arrival counts the requests of the window before it,
		// so the requests of windows that began up to a window length earlier count
		// too; half a window and a whole window earlier are checked.
		mostRequests := max(countBetween(requests, from, to), countBetween(requests, from-5*time.Second, to-5*time.Second), countBetween(requests, from-10*time.Second, from))
		require.LessOrEqual(t, float64(countBetween(extras, from, to)), 0.2*float64(mostRequests)+3+1, "window from %v", from)
	}
	require.Greater(t, len(extras), 100)
}

// Guards against a host that starts again and again and has its part of the slack anew each
// time, so that its processes together retry more than the budget allows.
func TestHostBudgetHoldsAcrossRestarts(t *testing.T) {
	const ratio, slack, window, requestInterval = 0.2, 3.0, 10 * time.Second, 200 * time.Millisecond
	for _, life := range []time.Duration{500 * time.Millisecond, 1600 * time.Millisecond, 4 * time.Second, 9 * time.Second, 11 * time.Second, 25 * time.Second} {
		var budget *HostBudget
		var startedAt time.Duration
		var requests, extras []time.Duration
		for now := time.Duration(0); now < 60*time.Second; now += 20 * time.Millisecond {
			if budget == nil || now-startedAt >= life {
				budget, startedAt = &HostBudget{Ratio: ratio, Slack: slack, Window: window}, now
			}
			if now%requestInterval == 0 {
				budget.RecordRequest(now - startedAt)
				requests = append(requests, now)
			}
			if now-startedAt >= life/2 && budget.TryReserve(now-startedAt) {
				extras = append(extras, now)
			}
		}
		for from := time.Duration(0); from < 50*time.Second; from += 250 * time.Millisecond {
			// See TestHostBudgetHoldsInEverySlidingWindow for the earlier windows; a bucket
			// more than a window counts.
			most := 0
			for _, earlier := range []time.Duration{0, window / 2, window} {
				most = max(most, countBetween(requests, from-earlier, from+window-earlier))
			}
			require.LessOrEqual(t, float64(countBetween(extras, from, from+window)), ratio*float64(most)*1.1+slack, "lives of %v, window from %v", life, from)
		}
		require.Equal(t, ratio*float64(life/requestInterval) >= 1, len(extras) > 0, "lives of %v", life)
	}
}

// countBetween counts the times of the list from from on and before to.
func countBetween(list []time.Duration, from, to time.Duration) (n int) {
	for _, at := range list {
		if at >= from && at < to {
			n++
		}
	}
	return n
}
