package dev

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/api/callerapi"
)

// Guards against a key that stays unavailable until the end of the run and is left out
// of the longest unavailability.
func TestKeysUnavailableAtTheEndAreCounted(t *testing.T) {
	l := &loadGenerator{unavailableSince: map[string]time.Time{}}
	start := time.Unix(1000, 0)
	l.recordAvailability("a", callerapi.OutcomeNotRun, start, start.Add(time.Millisecond))
	l.recordAvailability("a", callerapi.OutcomeDone, start.Add(time.Second), start.Add(2*time.Second))
	l.countUnavailableAt(start.Add(3 * time.Second))
	require.Equal(t, 2*time.Second, l.maxUnavailable)
	l.recordAvailability("b", callerapi.OutcomeNotRun, start, start.Add(time.Millisecond))
	l.countUnavailableAt(start.Add(5 * time.Second))
	require.Equal(t, 5*time.Second, l.maxUnavailable)
}
