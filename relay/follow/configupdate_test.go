package follow

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/api/followv1"
	"parsleyrelay.example/core/directory"
	"parsleyrelay.example/core/routes"
)

// largeConfig returns a configuration with many routes, one of which differs by version.
func largeConfig(version uint64) routes.Config {
	c := routes.Config{Version: version, Services: map[string]routes.Service{"s": {Name: "s"}}}
	for i := range 1400 {
		c.Routes = append(c.Routes, routes.Route{Name: fmt.Sprintf("route-%d", i), Host: "test.example", Prefix: fmt.Sprintf("/%x/", i*7919), Timeout: time.Second, Targets: []routes.Target{{Service: "s", Weight: 1}}})
	}
	c.Routes[version%1400].Attempts = int(version)
	return c
}

// Guards against a change of one route that is passed on as the whole configuration, and against
// an update that leads to another configuration.
func TestFollowersGetTheDifferenceOfConfigurations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader, state, f, _ := newVirtualPair(t)
		leader.source.SetConfig(largeConfig(1))
		require.NoError(t, f.pollParent(t.Context(), "leader"))
		require.Equal(t, largeConfig(1), state.Config())
		require.Less(t, f.lastPoll.received, uint64(40<<10), "the whole configuration, compressed")
		for v := uint64(2); v < 20; v++ {
			leader.source.SetConfig(largeConfig(v))
			if v%3 == 0 {
				continue // the follower is two versions behind
			}
			require.NoError(t, f.pollParent(t.Context(), "leader"))
			require.Equal(t, largeConfig(v), state.Config())
			require.Less(t, f.lastPoll.received, uint64(1<<10))
		}
		leader.source.mu.Lock()
		defer leader.source.mu.Unlock()
		sum := 0
		for _, c := range leader.source.configs.configs {
			sum += len(c.Routes)
		}
		require.LessOrEqual(t, sum, maxHistoryRoutes+1400)
	})
}

// Guards against a state that counts as received although its configuration is missing: the base of
// the update was not the configuration in force, or the result differs. The servers of the same
// response must be applied, and the next poll must bring the configuration.
func TestUpdateThatDoesNotFitIsNotCountedAsReceived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader, state, f, _ := newVirtualPair(t)
		leader.source.SetConfig(largeConfig(1))
		require.NoError(t, f.pollParent(t.Context(), "leader"))
		before := f.StateAt()
		time.Sleep(time.Second)
		recordReads(leader.source)

		// Another configuration of the same version, as after a restore of the store.
		other := largeConfig(1)
		other.Routes = slices.Delete(slices.Clone(other.Routes), 7, 8)
		state.locked(func() { state.config = other })
		leader.source.SetConfig(largeConfig(2))
		leader.source.SetServers(map[string]directory.Server{"1": testServer("1")}, 1)
		var failed *ConfigUpdateError
		require.ErrorAs(t, f.pollParent(t.Context(), "leader"), &failed)
		require.Equal(t, before, f.StateAt())
		require.Contains(t, state.servers, "1")
		require.NoError(t, f.pollParent(t.Context(), "leader"))
		require.Equal(t, largeConfig(2), state.Config())
		require.Greater(t, f.StateAt(), before)

		// The host has read a newer version from the store since it sent the poll.
		update, err := leader.source.configs.update(2)
		require.NoError(t, err)
		update.BaseVersion, update.Version = 1, 3
		complete, err := f.applyResponse(&followv1.FollowResponse{Host: "leader", ConfigUpdate: update}, 0)
		require.NoError(t, err)
		require.False(t, complete)
	})
}

// Guards against a short update that fills the memory when it is decompressed.
func TestUpdateIsLimitedAfterDecompression(t *testing.T) {
	c := routes.Change{Version: 1, Routes: []routes.Segment{{New: make([]routes.Route, 150000)}}}
	compressed, err := compressChange(c)
	require.NoError(t, err)
	require.Less(t, len(compressed), maxMessageBytes/20)
	_, err = decompressChange(compressed)
	require.Error(t, err)
}

// Guards against a release that cannot follow hosts of the one before, or lead them: they do not
// accept updates and get the whole configuration.
func TestFollowerWithoutUpdatesGetsTheWholeConfiguration(t *testing.T) {
	leader, state, f, _ := newVirtualPair(t)
	leader.source.SetConfig(largeConfig(1))
	r, err := leader.source.Follow(t.Context(), &followv1.FollowRequest{Host: "former"})
	require.NoError(t, err)
	require.Nil(t, r.ConfigUpdate)
	_, err = f.applyResponse(&followv1.FollowResponse{Host: "leader", Config: r.Config}, 0)
	require.NoError(t, err)
	require.Equal(t, largeConfig(1), state.Config())
}
