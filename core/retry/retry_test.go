package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func attempt(change func(*Attempt)) Attempt {
	a := Attempt{Number: 1, Proof: NotWritten, BodyKept: true, Remaining: time.Second}
	change(&a)
	return a
}

// Guards against a second run of a request that must not be repeated, and
// against retries that cannot help.
func TestWhatMayBeRetried(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Attempt)
		want   Refusal
	}{
		"not written":               {func(*Attempt) {}, ""},
		"rejected":                  {func(a *Attempt) { a.Proof = Rejected }, RefusedRepeat},
		"rejected, repeatable":      {func(a *Attempt) { a.Proof, a.Repeatable = Rejected, true }, ""},
		"may have run":              {func(a *Attempt) { a.Proof = MayHaveRun }, RefusedRepeat},
		"may have run, repeatable":  {func(a *Attempt) { a.Proof, a.Repeatable = MayHaveRun, true }, ""},
		"no proof given":            {func(a *Attempt) { a.Proof = 0 }, RefusedRepeat},
		"body consumed":             {func(a *Attempt) { a.BodyKept = false }, RefusedBody},
		"last attempt":              {func(a *Attempt) { a.Number = MaxAttempts }, RefusedAttempts},
		"no time for the response":  {func(a *Attempt) { a.ServiceTime = time.Second }, RefusedDeadline},
		"deadline before the delay": {func(a *Attempt) { a.Remaining = time.Millisecond }, RefusedDeadline},
	} {
		_, got := new(Policy).Retry(0, attempt(c.change), 0.9)
		require.Equal(t, c.want, got, name)
	}
}

// Guards against retries multiplying the load when every request fails.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Policy
		gap := time.Duration(rapid.IntRange(1, 50).Draw(t, "gapMS")) * time.Millisecond
		requests, retries := 0, 0
		for now := time.Duration(0); now < 60*time.Second; now += gap {
			p.Request(now)
			requests++
			for n := 1; n < MaxAttempts; n++ {
				if _, refusal := p.Retry(now, attempt(func(a *Attempt) { a.Number = n }), 0); refusal == "" {
					retries++
				}
			}
		}
		reserve := BudgetReserve * (1 + 60/BudgetHalfLife.Seconds())
		require.LessOrEqual(t, float64(retries), BudgetShare*float64(requests)+reserve)
		require.GreaterOrEqual(t, float64(retries), 0.9*BudgetShare*float64(requests))
	})
}

// Guards against synchronized retries and against delays beyond the bounds.
func TestBackoffAndRetryAfter(t *testing.T) {
	require.Zero(t, Backoff(1, 0))
	require.Equal(t, FirstDelay/2, Backoff(1, 0.5))
	require.Equal(t, 2*FirstDelay, Backoff(3, 0.5))
	require.Equal(t, MaxDelay/2, Backoff(1000, 0.5))
	require.Equal(t, 1, RetryAfter(0, 0.5))
	require.Equal(t, 3, RetryAfter(2*time.Second, 0.3))
	require.Equal(t, 30, RetryAfter(time.Hour, 0.3))
}
