package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/resource"
)

// recoveryBound is the bound on unavailability of design section 2.8.
const recoveryBound = 4 * time.Second

func servingWorld(t *testing.T, daemons int, servers ...string) *world {
	return servingWorldWithout(t, nil, daemons, servers...)
}

func servingWorldWithout(t *testing.T, disabled []Rule, daemons int, servers ...string) *world {
	w := newWorld(t)
	w.count = disabled != nil
	for _, name := range []string{"d1", "d2", "d3", "d4", "d5"}[:daemons] {
		w.start(name, "z", disabled...)
	}
	w.service(resource.ScopeZone, 16, servers...)
	w.until(6*time.Second, w.allServing(16))
	w.run(3 * time.Second)
	return w
}

func (w *world) homeOf(server string) string {
	for _, n := range w.nodes {
		if !n.paused {
			return n.m.st.Home(server).Incarnation
		}
	}
	return ""
}

func (w *world) ownedBy(server string) int {
	most := 0
	for _, n := range w.nodes {
		if !n.paused {
			most = max(most, n.m.st.Owned(server))
		}
	}
	return most
}

// Guards against keys that stay unavailable longer than the bound after the
// loss of a home, of a server, or of both at once, and against a resumed loser
// that goes on sending.
func TestRecovery(t *testing.T) {
	for _, kind := range []string{"check", "plain"} {
		for _, lost := range []string{"home", "server", "both"} {
			t.Run(kind+"/"+lost, func(t *testing.T) {
				a, b := kind+"a", kind+"b"
				w := servingWorld(t, 4, a, b)
				old := w.homeOf(a)
				if lost != "server" {
					w.nodes[old].paused = true
				}
				if lost != "home" {
					w.servers[a].down = true
				}
				w.run(SuspicionTimeout / 2)
				took := w.until(recoveryBound, w.allServing(16))
				t.Log("serving again after", took+SuspicionTimeout/2)
				require.Less(t, took+SuspicionTimeout/2, recoveryBound)
				w.resume(old)
				w.servers[a].down = false
				w.run(5 * time.Second)
				require.Equal(t, 16, w.serving(16))
				if lost != "home" {
					require.Zero(t, w.ownedBy(a))
				}
			})
		}
	}
}

// Guards against a forced move off a server whose operator requires a confirmed
// release, and against ignoring the declaration that it is gone.
func TestReleaseConfirmationRequired(t *testing.T) {
	w := servingWorld(t, 3, "checka", "checkb")
	spec := w.serverSpec("checka")
	spec.RequireReleaseConfirmation = true
	w.put("checka", spec)
	w.run(time.Second)
	owned := w.ownedBy("checka")
	require.NotZero(t, owned)
	w.servers["checka"].down = true
	w.run(6 * time.Second)
	require.Equal(t, owned, w.ownedBy("checka"))
	gone := *spec
	gone.Gone = true
	w.put("checka", &gone)
	w.until(recoveryBound, w.allServing(16))
	require.Zero(t, w.ownedBy("checka"))
}

// Guards against a restarted server that gets its slices while its frozen
// predecessor may still run under the former grant.
func TestNewInstanceWaits(t *testing.T) {
	w := servingWorld(t, 3, "checka", "checkb")
	old := w.servers["checka"]
	w.servers["checka"] = newFakeServer("checka", "checka-i2")
	w.servers["checka-former"] = old // still holds its grant; checkOwners sees both
	w.run(3 * time.Second)
	require.Equal(t, 16, w.serving(16))
	require.NotZero(t, w.servers["checka"].grants)
}

// Guards against a home that sends under an expired lease after a pause of its
// process, before it has processed any other input.
func TestPausedHomeSendsNothing(t *testing.T) {
	w := servingWorld(t, 3, "checka", "plainb")
	for _, name := range w.order {
		n := w.nodes[name]
		w.now += 2 * time.Second
		for _, in := range []Input{Tick{}, GrantFailed{Server: "checka"}, SliceQuiesced{Server: "plainb"}} {
			for _, e := range n.m.Step(w.now, in) {
				switch e.(type) {
				case SendGrant, SendProbe, SendRelease:
					t.Fatalf("%T sent %s without a lease", e, name)
				}
			}
		}
		for _, server := range n.m.View().Servers {
			require.LessOrEqual(t, server.DispatchUntil, w.now)
		}
	}
}

// Guards against two owners and against keys that stay unavailable when the
// log is down: a live checking server continues under a provisional home.
func TestLogOutage(t *testing.T) {
	w := servingWorld(t, 4, "checka", "checkb")
	w.logDown = true
	w.run(20 * time.Second)
	require.Equal(t, 16, w.serving(16), "serving must go on without the log")
	old := w.homeOf("checka")
	w.nodes[old].paused = true
	w.run(SuspicionTimeout / 2)
	t.Log("provisional after", w.until(recoveryBound, w.allServing(16)))
	w.run(5 * time.Second)
	require.Equal(t, 16, w.serving(16))
	w.resume(old)
	w.run(3 * time.Second)
	require.Equal(t, 16, w.serving(16))
	w.logDown = false
	w.run(6 * time.Second)
	require.Equal(t, 16, w.serving(16))
	for _, n := range w.nodes {
		for _, h := range n.m.local {
			require.False(t, h.provisional)
		}
	}
}

// Guards against a provisional home that claims that its slices were never
// served: it has the term of the first home, and an order that ran there ran
// again because the claim exempts ids from the rule for an incomplete window.
func TestProvisionalHomeIsNotFresh(t *testing.T) {
	w := servingWorld(t, 4, "checka", "checkb")
	old := w.homeOf("checka")
	require.Zero(t, w.nodes[old].m.st.Home("checka").PreviousTerm, "the home by the log must be the first")
	freshness := func(name string) (fresh, served int) {
		w.nodes[name].m.View().Servers["checka"].Serving.All(func(_ SliceRef, a Activation) {
			served++
			if a.FirstOwner {
				fresh++
			}
		})
		return fresh, served
	}
	fresh, served := freshness(old)
	require.Positive(t, served)
	require.Equal(t, served, fresh, "at the first home")
	w.logDown = true
	w.run(time.Second)
	w.nodes[old].paused = true
	w.until(recoveryBound, w.allServing(16))
	provisional := 0
	for _, name := range w.order {
		if h := w.nodes[name].m.local["checka"]; name != old && h != nil && h.open {
			require.True(t, h.provisional)
			fresh, served := freshness(name)
			require.Zero(t, fresh, "%s claims fresh slices", name)
			provisional += served
		}
	}
	require.Positive(t, provisional)
}
