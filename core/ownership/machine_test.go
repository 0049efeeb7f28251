package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/resource"
	"parsleyrelay.example/core/state"
)

// Guards against a cluster that never starts to serve: joins, witness sets, homes,
// placement and first grants must follow from the empty state.
func TestReachesServing(t *testing.T) {
	for _, scope := range []resource.Scope{resource.ScopeZone, resource.ScopeAll} {
		t.Run(string(scope), func(t *testing.T) {
			cluster := newTestCluster(t)
			cluster.startDaemon("d1", "z")
			cluster.startDaemon("d2", "z")
			cluster.startDaemon("d3", "z")
			cluster.putServiceWithServers(scope, 16, "check1", "check2", "plain1")
			t.Log("serving after", cluster.runUntil(6*time.Second, cluster.allServing(16)))
			cluster.run(3 * time.Second)
			require.Equal(t, 16, cluster.servingHashes(16))
		})
	}
}

// Guards against a change of a service's scope while leases are valid: daemons that
// have not applied the change would rely on witnesses that the others no longer
// poll.
func TestScopeOfPlacedServiceIsFixed(t *testing.T) {
	cluster := newServingCluster(t, 3, "checka")
	cluster.putResource("svc", &resource.Service{Scope: resource.ScopeAll, Slices: 16, Ranks: []string{"normal"}, DefaultRank: "normal"})
	cluster.run(time.Second)
	svc, _ := cluster.daemons["d1"].machine.state.Service("svc")
	require.Equal(t, resource.ScopeZone, svc.EffectiveScope())
}

// Guards against a daemon that starts with an incomplete state: if the start of the
// log is not retained, it needs a checkpoint and must then reach the same state as
// the others.
// The log reader of relay/daemon reports the oldest offset apart from the records;
// records without it were taken for a witness's and dropped, so that no daemon ever
// restored a checkpoint.
func TestStartFromCheckpoint(t *testing.T) {
	for name, oldestReadAlone := range map[string]bool{"oldest offset with the records": false, "oldest offset apart": true} {
		t.Run(name, func(t *testing.T) { testStartFromCheckpoint(t, oldestReadAlone) })
	}
}

func testStartFromCheckpoint(t *testing.T, oldestReadAlone bool) {
	cluster := newServingCluster(t, 3, "checka", "plainb")
	cluster.oldestOffset, cluster.oldestReadAlone = 8, oldestReadAlone
	late := cluster.startDaemon("d4", "z")
	cluster.readLog("d4", cluster.log[7:])
	require.False(t, late.machine.View().StateComplete)
	cluster.runUntil(10*time.Second, func() bool { return late.machine.View().StateComplete })
	cluster.run(time.Second)
	_, member := cluster.daemons["d1"].machine.state.Member("d4")
	require.True(t, member)
	parts, digest := state.EncodeCheckpoint(late.machine.state)
	require.NotEmpty(t, parts)
	_, want := state.EncodeCheckpoint(cluster.daemons["d1"].machine.state)
	require.Equal(t, want, digest)
	require.Equal(t, 16, cluster.servingHashes(16))
}

// Guards against a removed daemon that floods the log with proposals to join.
func TestRemovedDaemonStaysOut(t *testing.T) {
	cluster := newServingCluster(t, 4, "checka", "plainb")
	cluster.daemons["d4"].paused = true
	cluster.run(14 * time.Second)
	_, member := cluster.daemons["d1"].machine.state.Member("d4")
	require.False(t, member)
	cluster.effects = nil
	before := len(cluster.log)
	cluster.resume("d4")
	cluster.run(3 * time.Second)
	require.Contains(t, cluster.effects, MemberRemoved{})
	require.Less(t, len(cluster.log)-before, 10) // the other daemons may append a few records
}
