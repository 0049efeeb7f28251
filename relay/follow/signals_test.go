package follow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/directory"
)

// Guards against a leader that does not hear that a server leaves or wants no requests:
// its keys would stay with it until the store says so.
func TestSignalsReachTheLeader(t *testing.T) {
	leader, state, _ := startLeaderAndFollower(t)
	sent := []directory.Signal{
		{Life: directory.Life{ID: "1", Born: 1764900000000}, Leaving: true},
		{Life: directory.Life{ID: "2", Born: 7}, Pause: directory.Pause{Hosts: 3, Longest: 2500 * time.Millisecond}},
	}
	state.locked(func() { state.signals = sent })
	require.Eventually(t, func() bool { return leader.receivedSignals() != nil }, 5*time.Second, 5*time.Millisecond)
	require.Equal(t, map[string][]directory.Signal{"follower": sent}, leader.receivedSignals())
}
