package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/resource"
)

// maxRecoveryTime is the bound on unavailability of docs/design.md, section 2.8.
const maxRecoveryTime = 4 * time.Second

// newServingCluster returns a cluster in zone z in which all 16 slices of the service
// are served.
func newServingCluster(t *testing.T, daemons int, servers ...string) *testCluster {
	return newServingClusterWithoutRules(t, nil, daemons, servers...)
}

// newServingClusterWithoutRules is newServingCluster with safety rules disabled. If
// disabled is not nil, the cluster counts violations instead of failing the test.
func newServingClusterWithoutRules(t *testing.T, disabled []Rule, daemons int, servers ...string) *testCluster {
	cluster := newTestCluster(t)
	cluster.countViolations = disabled != nil
	for _, name := range []string{"d1", "d2", "d3", "d4", "d5"}[:daemons] {
		cluster.startDaemon(name, "z", disabled...)
	}
	cluster.putServiceWithServers(resource.ScopeZone, 16, servers...)
	cluster.runUntil(6*time.Second, cluster.allServing(16))
	cluster.run(3 * time.Second)
	return cluster
}

// homeOf returns the incarnation of a server's home as a running daemon knows it.
func (cluster *testCluster) homeOf(server string) string {
	for _, n := range cluster.daemons {
		if !n.paused {
			return n.machine.state.Home(server).Incarnation
		}
	}
	return ""
}

// ownedSlices returns the highest number of slices that a running daemon assigns to a
// server.
func (cluster *testCluster) ownedSlices(server string) int {
	most := 0
	for _, n := range cluster.daemons {
		if !n.paused {
			most = max(most, n.machine.state.OwnedSliceCount(server))
		}
	}
	return most
}

// Guards against keys that stay unavailable longer than maxRecoveryTime after the
// failure of a home, of a server, or of both, and against a former home that keeps
// sending when it resumes.
func TestRecovery(t *testing.T) {
	for _, kind := range []string{"check", "plain"} {
		for _, lost := range []string{"home", "server", "both"} {
			t.Run(kind+"/"+lost, func(t *testing.T) {
				a, b := kind+"a", kind+"b"
				cluster := newServingCluster(t, 4, a, b)
				old := cluster.homeOf(a)
				if lost != "server" {
					cluster.daemons[old].paused = true
				}
				if lost != "home" {
					cluster.servers[a].down = true
				}
				cluster.run(SuspicionTimeout / 2)
				took := cluster.runUntil(maxRecoveryTime, cluster.allServing(16))
				t.Log("serving again after", took+SuspicionTimeout/2)
				require.Less(t, took+SuspicionTimeout/2, maxRecoveryTime)
				cluster.resume(old)
				cluster.servers[a].down = false
				cluster.run(5 * time.Second)
				require.Equal(t, 16, cluster.servingHashes(16))
				if lost != "home" {
					require.Zero(t, cluster.ownedSlices(a))
				}
			})
		}
	}
}

// Guards against a forced move off a server whose spec requires a confirmed
// release, and against ignoring the operator's declaration that it is gone.
func TestReleaseConfirmationRequired(t *testing.T) {
	cluster := newServingCluster(t, 3, "checka", "checkb")
	spec := cluster.serverSpec("checka")
	spec.RequireReleaseConfirmation = true
	cluster.putResource("checka", spec)
	cluster.run(time.Second)
	owned := cluster.ownedSlices("checka")
	require.NotZero(t, owned)
	cluster.servers["checka"].down = true
	cluster.run(6 * time.Second)
	require.Equal(t, owned, cluster.ownedSlices("checka"))
	gone := *spec
	gone.Gone = true
	cluster.putResource("checka", &gone)
	cluster.runUntil(maxRecoveryTime, cluster.allServing(16))
	require.Zero(t, cluster.ownedSlices("checka"))
}

// Guards against granting slices to a restarted server while its frozen predecessor
// may still run under an unexpired grant.
func TestNewInstanceWaits(t *testing.T) {
	cluster := newServingCluster(t, 3, "checka", "checkb")
	old := cluster.servers["checka"]
	cluster.servers["checka"] = newFakeServer("checka", "checka-i2")
	cluster.servers["checka-former"] = old // still holds its grant; checkOwners checks both
	cluster.run(3 * time.Second)
	require.Equal(t, 16, cluster.servingHashes(16))
	require.NotZero(t, cluster.servers["checka"].acceptedGrants)
}

// Guards against a home that sends under an expired lease in the first step after a
// pause of its process.
func TestPausedHomeSendsNothing(t *testing.T) {
	cluster := newServingCluster(t, 3, "checka", "plainb")
	for _, name := range cluster.daemonNames {
		n := cluster.daemons[name]
		cluster.now += 2 * time.Second
		for _, in := range []Input{Tick{}, GrantFailed{Server: "checka"}, SliceQuiesced{Server: "plainb"}} {
			for _, e := range n.machine.Step(cluster.now, in) {
				switch e.(type) {
				case SendGrant, SendProbe, SendRelease:
					t.Fatalf("%T sent %s without a lease", e, name)
				}
			}
		}
		for _, server := range n.machine.View().Servers {
			require.LessOrEqual(t, server.DispatchUntil, cluster.now)
		}
	}
}

// Guards against two owners and unavailable keys while the log is unreachable: a
// running server that checks grants continues under a provisional home.
func TestLogOutage(t *testing.T) {
	cluster := newServingCluster(t, 4, "checka", "checkb")
	cluster.logUnreachable = true
	cluster.run(20 * time.Second)
	require.Equal(t, 16, cluster.servingHashes(16), "serving must go on without the log")
	old := cluster.homeOf("checka")
	cluster.daemons[old].paused = true
	cluster.run(SuspicionTimeout / 2)
	t.Log("provisional after", cluster.runUntil(maxRecoveryTime, cluster.allServing(16)))
	cluster.run(5 * time.Second)
	require.Equal(t, 16, cluster.servingHashes(16))
	cluster.resume(old)
	cluster.run(3 * time.Second)
	require.Equal(t, 16, cluster.servingHashes(16))
	cluster.logUnreachable = false
	cluster.run(6 * time.Second)
	require.Equal(t, 16, cluster.servingHashes(16))
	for _, n := range cluster.daemons {
		for _, h := range n.machine.localHomes {
			require.False(t, h.provisional)
		}
	}
}

// Guards against a provisional home that marks its slices as never owned before. It
// has the term of the first home, and the mark makes it accept ids that are missing
// from its idempotency window, so that an order that ran there ran again.
func TestProvisionalHomeIsNotFirstOwner(t *testing.T) {
	cluster := newServingCluster(t, 4, "checka", "checkb")
	old := cluster.homeOf("checka")
	require.Zero(t, cluster.daemons[old].machine.state.Home("checka").PreviousTerm, "the home by the log must be the first")
	countFirstOwner := func(name string) (firstOwner, served int) {
		cluster.daemons[name].machine.View().Servers["checka"].ServingSet.All(func(_ SliceRef, a Activation) {
			served++
			if a.FirstOwner {
				firstOwner++
			}
		})
		return firstOwner, served
	}
	firstOwner, served := countFirstOwner(old)
	require.Positive(t, served)
	require.Equal(t, served, firstOwner, "at the first home")
	cluster.logUnreachable = true
	cluster.run(time.Second)
	cluster.daemons[old].paused = true
	cluster.runUntil(maxRecoveryTime, cluster.allServing(16))
	provisional := 0
	for _, name := range cluster.daemonNames {
		if h := cluster.daemons[name].machine.localHomes["checka"]; name != old && h != nil && h.active {
			require.True(t, h.provisional)
			firstOwner, served := countFirstOwner(name)
			require.Zero(t, firstOwner, "%s claims to be the first owner of slices", name)
			provisional += served
		}
	}
	require.Positive(t, provisional)
}
