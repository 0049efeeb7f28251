package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func attemptWith(change func(*Attempt)) Attempt {
	a := Attempt{Number: 1, WrittenAttempts: 1, Execution: NotWritten, BodyReplayable: true, Remaining: time.Second}
	change(&a)
	return a
}

// Guards against running a request twice that must not be repeated, and against
// retries that cannot succeed.
func TestRetryConditions(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Attempt)
		want   DenialReason
	}{
		"not written":               {func(*Attempt) {}, ""},
		"rejected":                  {func(a *Attempt) { a.Execution = Rejected }, DeniedNotRepeatable},
		"rejected, repeatable":      {func(a *Attempt) { a.Execution, a.Repeatable = Rejected, true }, ""},
		"may have run":              {func(a *Attempt) { a.Execution = MayHaveRun }, DeniedNotRepeatable},
		"may have run, repeatable":  {func(a *Attempt) { a.Execution, a.Repeatable = MayHaveRun, true }, ""},
		"no status given":           {func(a *Attempt) { a.Execution = 0 }, DeniedNotRepeatable},
		"body consumed":             {func(a *Attempt) { a.BodyReplayable = false }, DeniedBodyConsumed},
		"last attempt":              {func(a *Attempt) { a.WrittenAttempts, a.Execution, a.Repeatable = MaxAttempts, Rejected, true }, DeniedMaxAttempts},
		"last, may have run":        {func(a *Attempt) { a.WrittenAttempts, a.Execution, a.Repeatable = MaxAttempts, MayHaveRun, true }, DeniedMaxAttempts},
		"not written, many times":   {func(a *Attempt) { a.Number, a.WrittenAttempts = 100, 0 }, ""},
		"no time for the response":  {func(a *Attempt) { a.ServiceTime = time.Second }, DeniedDeadline},
		"deadline before the delay": {func(a *Attempt) { a.Remaining = time.Millisecond }, DeniedDeadline},
	} {
		_, got := new(Policy).DecideRetry(0, attemptWith(c.change), 0.9)
		require.Equal(t, c.want, got, name)
	}
}

// Guards against retries multiplying the load when every request fails at a server.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Policy
		execution := rapid.SampledFrom([]ExecutionStatus{Rejected, MayHaveRun}).Draw(t, "execution")
		gap := time.Duration(rapid.IntRange(1, 50).Draw(t, "gapMS")) * time.Millisecond
		requests, retries := 0, 0
		for now := time.Duration(0); now < 60*time.Second; now += gap {
			p.RecordRequest(now)
			requests++
			for n := 1; n < MaxAttempts; n++ {
				if _, denial := p.DecideRetry(now, attemptWith(func(a *Attempt) {
					a.Number, a.WrittenAttempts, a.Execution, a.Repeatable = n, n, execution, true
				}), 0); denial == "" {
					retries++
				}
			}
		}
		reserve := BudgetReserve * (1 + 60/BudgetHalfLife.Seconds())
		require.LessOrEqual(t, float64(retries), BudgetRatio*float64(requests)+reserve)
		require.GreaterOrEqual(t, float64(retries), 0.9*BudgetRatio*float64(requests))
	})
}

// Guards against the refusal of requests that wait for a new owner of their key. A
// failed server is replaced after up to 4 s. With few servers the requests for its
// keys are more than 20% of all, so that the budget could not cover their retries.
func TestUnwrittenRequestIsRetriedUntilItsDeadline(t *testing.T) {
	var p Policy
	p.RecordRequest(0)
	for request := range 100 {
		now, number := time.Duration(request)*time.Millisecond, 0
		for end := now + 4*time.Second; now < end; {
			number++
			delay, denial := p.DecideRetry(now, attemptWith(func(a *Attempt) { a.Number, a.WrittenAttempts, a.Remaining = number, 0, 5*time.Second }), 0.5)
			require.Empty(t, denial)
			require.LessOrEqual(t, delay, MaxDelay)
			now += delay
		}
		require.Less(t, number, 40, "the waiting request is retried too often")
	}
	rejected := attemptWith(func(a *Attempt) { a.Execution, a.Repeatable = Rejected, true })
	_, denial := p.DecideRetry(0, rejected, 0)
	require.Empty(t, denial, "retries of unwritten requests were charged to the budget")
}

// Guards against synchronized retries and against delays beyond the bounds.
func TestBackoffAndRetryAfter(t *testing.T) {
	require.Zero(t, Backoff(1, 0))
	require.Equal(t, BaseDelay/2, Backoff(1, 0.5))
	require.Equal(t, 2*BaseDelay, Backoff(3, 0.5))
	require.Equal(t, MaxDelay/2, Backoff(1000, 0.5))
	require.Equal(t, 1, RetryAfter(0, 0.5))
	require.Equal(t, 3, RetryAfter(2*time.Second, 0.3))
	require.Equal(t, 30, RetryAfter(time.Hour, 0.3))
}
