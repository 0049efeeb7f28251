package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func listing(servers ...Server) map[string]Server {
	list := map[string]Server{}
	for _, s := range servers {
		list[s.ID] = s
	}
	return list
}

// Guards against a leader that does not learn through relays what servers say to hosts, or
// that hears it again and again after its own list says so.
func TestSignalsPassThroughARelay(t *testing.T) {
	const now = time.Minute
	list := listing(newServer("leaving", 1), newServer("paused", 1), newServer("other", 1))
	host, relay, leader := New(maxGap), New(maxGap), New(maxGap)
	for _, d := range []*Directory{host, relay, leader} {
		require.True(t, d.ResetFromLeader(now, list, 1))
		require.Empty(t, d.Signals(now))
	}
	host.MarkLeaving(now, Life{"leaving", 1}, SourceAnswer)
	host.Pause(now, Life{"paused", 1}, now+3*time.Second)
	relay.Pause(now, Life{"paused", 1}, now+2*time.Second)
	require.True(t, relay.RecordSignals(now, "host", host.Signals(now)))
	require.True(t, relay.All()["leaving"].Draining, "the relay and its other followers stop using it, too")
	require.True(t, leader.RecordSignals(now+time.Second, "relay", relay.Signals(now+time.Second)))
	require.True(t, leader.All()["leaving"].Draining)
	require.Equal(t, map[string]Pause{"paused": {Hosts: 2, Longest: 2 * time.Second}}, leader.Pauses(now+time.Second))

	list["leaving"] = leader.All()["leaving"]
	require.True(t, host.ResetFromLeader(now, list, 1))
	require.Equal(t, []Signal{{Life: Life{"paused", 1}, Pause: Pause{Hosts: 1, Longest: 3 * time.Second}}}, host.Signals(now))
	require.False(t, leader.RecordSignals(now+time.Second, "relay", nil))
	require.Empty(t, leader.Pauses(now+time.Second), "a report replaces the earlier one")
}

// Guards against signals of a former life, of unknown servers or of pauses that have
// ended, and against a report without a limit.
func TestSignalsThatSayNothing(t *testing.T) {
	const now = time.Minute
	d := New(maxGap)
	d.ResetFromLeader(now, listing(newServer("1", 2)), 1)
	require.False(t, d.RecordSignals(now, "host", []Signal{
		{Life: Life{"1", 1}, Leaving: true, Pause: Pause{Hosts: 1, Longest: time.Minute}},
		{Life: Life{"unknown", 1}, Pause: Pause{Hosts: 1, Longest: time.Minute}},
		{Life: Life{"1", 2}, Pause: Pause{Hosts: 1, Longest: -1}},
	}))
	require.Empty(t, d.Pauses(now))
	require.False(t, d.All()["1"].Draining)
	const reported = 500 * time.Millisecond // the leader moves keys from there on
	d.Pause(now, Life{"1", 2}, now+reported)
	require.Len(t, d.Signals(now), 1)
	require.Empty(t, d.Signals(now+1), "too short to report")
	require.Empty(t, d.Pauses(now+reported))

	long := listing()
	for i := range int64(2 * maxSignals) {
		s := newServer(string(rune('0'+i)), 1)
		long[s.ID] = s
	}
	d.ResetFromLeader(now, long, 2)
	for id := range long {
		d.MarkLeaving(now, Life{id, 1}, SourceAnswer)
	}
	require.Len(t, d.Signals(now), maxSignals)
}
