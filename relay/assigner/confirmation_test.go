package assigner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a grant over a new connection after a read that was sent before the
// connection was open, after none, or in a later term of the host; and against calls that
// do not ask for a read.
func TestNewConnectionsNeedAReadSentAfterwards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const term = 3
		began, requests := time.Now(), 0
		a := New(Options{Now: func() time.Duration { return time.Since(began) }, RequestRead: func() { requests++ }})
		confirmAfter := func(confirmedTerm uint64, readSentAfter time.Duration) error {
			a.confirmation.set(term, a.options.Now())
			time.Sleep(time.Millisecond)
			openedAt, done := a.options.Now(), make(chan error, 1)
			go func() { done <- a.confirmTerm(t.Context(), term) }()
			synctest.Wait()
			require.NotZero(t, requests)
			a.confirmation.set(confirmedTerm, openedAt+readSentAfter)
			return <-done
		}
		require.NoError(t, confirmAfter(term, 0))
		require.ErrorIs(t, confirmAfter(term, -time.Microsecond), errTermNotConfirmed)
		require.ErrorIs(t, confirmAfter(term+2, 0), errTermEnded)
	})
}
