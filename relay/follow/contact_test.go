package follow

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/directory"
)

// Guards against a leader without the store that overwrites, with each of its responses,
// what a host has read from the store itself.
func TestOnlyARecentLeaderReplacesTheServersOfAHostWithoutContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader, state, f, _ := newVirtualPair(t)
		leader.source.SetServers(map[string]directory.Server{"1": testServer("1")}, 1)
		require.NoError(t, f.pollParent(t.Context(), "leader"))
		ownRead := map[string]directory.Server{"2": testServer("2")}
		state.ReplaceServers(ownRead, 2, Origin{})
		time.Sleep(MaxStateAge)
		require.Error(t, f.pollParent(t.Context(), "leader"))
		require.Equal(t, ownRead, state.servers)
		recordReads(leader.source)
		require.NoError(t, f.pollParent(t.Context(), "leader"))
		require.Contains(t, state.servers, "1", "the list of the leader that is back was not passed on")
	})
}
