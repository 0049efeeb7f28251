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
	count := func(list []time.Duration, from, to time.Duration) (n int) {
		for _, at := range list {
			if at >= from && at < to {
				n++
			}
		}
		return n
	}
	for from := time.Duration(0); from < 50*time.Second; from += 250 * time.Millisecond {
		to := from + 10*time.Second
		// The budget of an extra arrival counts the requests of the window before it,
		// so the requests of windows that began up to a window length earlier count
		// too; half a window and a whole window earlier are checked.
		mostRequests := max(count(requests, from, to), count(requests, from-5*time.Second, to-5*time.Second), count(requests, from-10*time.Second, from))
		require.LessOrEqual(t, float64(count(extras, from, to)), 0.2*float64(mostRequests)+3+1, "window from %v", from)
	}
	require.Greater(t, len(extras), 100)
}
