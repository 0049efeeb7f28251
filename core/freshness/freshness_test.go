package freshness

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

var testOptions = Options{Limit: 2400 * ms, Silence: 800 * ms, ReturnTime: 2000 * ms}

// Guards against a host that answers by an old state while the source sends it a newer one.
func TestOldStateIsNotUsedWhileTheSourceAnswers(t *testing.T) {
	tracker := NewTracker(testOptions)
	require.Equal(t, Fresh, tracker.Verdict(2400*ms, 0))
	require.Equal(t, Unconfirmed, tracker.Verdict(2401*ms, 0), "the source was never asked")
	call := tracker.Begin(1600*ms, "config", 0)
	for now := 1700 * ms; now < 9000*ms; now += 100 * ms {
		tracker.Progress(now, call)
		if now > testOptions.Limit {
			require.Equal(t, Unconfirmed, tracker.Verdict(now, 0))
		}
	}
	tracker.End(9000*ms, call, Answered)
	require.Equal(t, Fresh, tracker.Verdict(9000*ms, 8900*ms))
	// A short failure is no silence.
	call = tracker.Begin(11000*ms, "config", 0)
	tracker.End(11300*ms, call, Failed)
	call = tracker.Begin(11400*ms, "config", 0)
	tracker.Progress(11500*ms, call)
	require.Equal(t, Unconfirmed, tracker.Verdict(11600*ms, 9000*ms))
}

// Guards against a host that refuses requests although it is cut off from the source: calls that hang,
// that fail at once or that are turned away.
func TestOldStateIsUsedWithoutTheSource(t *testing.T) {
	for name, end := range map[string]bool{"hangs": false, "fails at once": true} {
		tracker := NewTracker(testOptions)
		call := tracker.Begin(1590*ms, "config", 0)
		if end {
			tracker.End(1591*ms, call, Failed)
		}
		require.Equal(t, Unreachable, tracker.Verdict(2401*ms, 0), name)
	}
	// The wait of a long poll is no silence.
	tracker := NewTracker(testOptions)
	tracker.Begin(0, "config", 1200*ms)
	require.Equal(t, Unconfirmed, tracker.Verdict(1999*ms, -2400*ms))
	require.Equal(t, Unreachable, tracker.Verdict(2000*ms, -2400*ms))
}

// Guards against a host that refuses requests at the moment at which an outage ends, or that takes
// the end of an outage for a reason to go on for long.
func TestHostHasTimeToReadAfterAnOutage(t *testing.T) {
	tracker := NewTracker(testOptions)
	tracker.Begin(1600*ms, "servers", 0)
	call := tracker.Begin(1600*ms, "config", 0)
	for now := 20000 * ms; now < 22000*ms; now += 100 * ms {
		tracker.Progress(now, call)
		require.Equal(t, Unreachable, tracker.Verdict(now, 0))
	}
	require.Equal(t, Unconfirmed, tracker.Verdict(22000*ms, 0))
	// After a silence of 0.9 s it has 0.9 s.
	tracker = NewTracker(testOptions)
	call = tracker.Begin(1600*ms, "config", 0)
	tracker.Progress(2500*ms, call)
	tracker.Progress(3000*ms, call)
	require.Equal(t, Unreachable, tracker.Verdict(3399*ms, 0))
	require.Equal(t, Unconfirmed, tracker.Verdict(3400*ms, 0))
}

// Guards against a source that sends what cannot be read: it must not make hosts refuse all requests.
func TestUnusableAnswersAreNone(t *testing.T) {
	tracker := NewTracker(testOptions)
	call := tracker.Begin(0, "config", 0)
	tracker.Progress(10*ms, call)
	tracker.End(10000*ms, call, Failed)
	require.Equal(t, Unreachable, tracker.Verdict(10001*ms, 0))
	call = tracker.Begin(10100*ms, "config", 0)
	tracker.Progress(10200*ms, call)
	tracker.End(10300*ms, tracker.Begin(10250*ms, "election", 0), Answered)
	require.Equal(t, Unreachable, tracker.Verdict(10400*ms, 0))
	tracker.End(10500*ms, call, Answered)
	require.Equal(t, Unconfirmed, tracker.Verdict(13000*ms, 10500*ms))
}

// Guards against a host that goes on by an old state because of calls that failed long ago, before it
// got a newer state from another host.
func TestFormerFailuresSayNothing(t *testing.T) {
	tracker := NewTracker(testOptions)
	tracker.End(500*ms, tracker.Begin(0, "map", 0), Failed)
	broken := tracker.Begin(0, "config", 0)
	tracker.Progress(100*ms, broken)
	tracker.End(600*ms, broken, Failed)
	require.Equal(t, Fresh, tracker.Verdict(10000*ms, 9500*ms))
	require.Equal(t, Unconfirmed, tracker.Verdict(12000*ms, 9500*ms))
	tracker.End(12100*ms, tracker.Begin(12000*ms, "map", 0), Failed)
	require.Equal(t, Unconfirmed, tracker.Verdict(12700*ms, 9500*ms))
	require.Equal(t, Unreachable, tracker.Verdict(12800*ms, 9500*ms))
}

// Guards against an order of calls and answers in which a state older than the limit is used although
// bytes of a usable answer arrived within the silence, and the source was not silent before.
func TestVerdictOfRandomCalls(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 53))
		tracker := NewTracker(testOptions)
		var calls []*Call
		now, stateAt := time.Duration(0), time.Duration(0)
		lastByte, longestGap := time.Duration(0), time.Duration(0)
		for range 400 {
			now += time.Duration(random.IntN(120)) * ms
			if len(calls) < 3 {
				calls = append(calls, tracker.Begin(now, []string{"a", "b"}[random.IntN(2)], time.Duration(random.IntN(2))*time.Second))
			}
			i := random.IntN(len(calls))
			switch random.IntN(6) {
			case 0:
				tracker.End(now, calls[i], Answered)
				calls = append(calls[:i], calls[i+1:]...)
				longestGap, lastByte = max(longestGap, now-lastByte), now
			case 1:
				if !calls[i].progress {
					tracker.End(now, calls[i], Failed)
					calls = append(calls[:i], calls[i+1:]...)
				}
			case 2, 3:
				tracker.Progress(now, calls[i])
				longestGap, lastByte = max(longestGap, now-lastByte), now
			case 4:
				if random.IntN(8) == 0 {
					stateAt = now
				}
			}
			got := tracker.Verdict(now, stateAt)
			require.Equal(t, now-stateAt <= testOptions.Limit, got == Fresh)
			if max(longestGap, now-lastByte) < testOptions.Silence {
				require.NotEqual(t, Unreachable, got, "seed %d at %v", seed, now)
			}
		}
	}
}
