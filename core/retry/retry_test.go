package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func attempt(change func(*Attempt)) Attempt {
	a := Attempt{Number: 1, Written: 1, Proof: NotWritten, BodyKept: true, Remaining: time.Second}
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
		"last attempt":              {func(a *Attempt) { a.Written, a.Proof, a.Repeatable = MaxAttempts, Rejected, true }, RefusedAttempts},
		"last, may have run":        {func(a *Attempt) { a.Written, a.Proof, a.Repeatable = MaxAttempts, MayHaveRun, true }, RefusedAttempts},
		"not written, many times":   {func(a *Attempt) { a.Number, a.Written = 100, 0 }, ""},
		"no time for the response":  {func(a *Attempt) { a.ServiceTime = time.Second }, RefusedDeadline},
		"deadline before the delay": {func(a *Attempt) { a.Remaining = time.Millisecond }, RefusedDeadline},
	} {
		_, got := new(Policy).Retry(0, attempt(c.change), 0.9)
		require.Equal(t, c.want, got, name)
	}
}

// Guards against retries multiplying the load when every request fails at a server.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Policy
		proof := rapid.SampledFrom([]Proof{Rejected, MayHaveRun}).Draw(t, "proof")
		gap := time.Duration(rapid.IntRange(1, 50).Draw(t, "gapMS")) * time.Millisecond
		requests, retries := 0, 0
		for now := time.Duration(0); now < 60*time.Second; now += gap {
			p.Request(now)
			requests++
			for n := 1; n < MaxAttempts; n++ {
				if _, refusal := p.Retry(now, attempt(func(a *Attempt) {
					a.Number, a.Written, a.Proof, a.Repeatable = n, n, proof, true
				}), 0); refusal == "" {
					retries++
				}
			}
		}
		reserve := BudgetReserve * (1 + 60/BudgetHalfLife.Seconds())
		require.LessOrEqual(t, float64(retries), BudgetShare*float64(requests)+reserve)
		require.GreaterOrEqual(t, float64(retries), 0.9*BudgetShare*float64(requests))
	})
}

// Guards against the refusal of a request that waits for a new owner of its key:
// a server that is lost is replaced after up to 4 s, and the budget of 20% is
// less than the share of its keys when there are few servers.
func TestUnwrittenRequestWaits(t *testing.T) {
	var p Policy
	p.Request(0)
	for request := range 100 {
		now, number := time.Duration(request)*time.Millisecond, 0
		for end := now + 4*time.Second; now < end; {
			number++
			delay, refusal := p.Retry(now, attempt(func(a *Attempt) { a.Number, a.Written, a.Remaining = number, 0, 5*time.Second }), 0.5)
			require.Empty(t, refusal)
			require.LessOrEqual(t, delay, MaxDelay)
			now += delay
		}
		require.Less(t, number, 40, "the waiting request tries too often")
	}
	rejected := attempt(func(a *Attempt) { a.Proof, a.Repeatable = Rejected, true })
	_, refusal := p.Retry(0, rejected, 0)
	require.Empty(t, refusal, "unwritten requests used up the budget of the others")
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
