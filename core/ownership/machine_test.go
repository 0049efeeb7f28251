package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/resource"
	"parsleyrelay.example/core/state"
)

// Guards against a start that never reaches serving: joining, witnesses, homes,
// placement and first grants must follow from empty state.
func TestReachesServing(t *testing.T) {
	for _, scope := range []resource.Scope{resource.ScopeZone, resource.ScopeAll} {
		t.Run(string(scope), func(t *testing.T) {
			w := newWorld(t)
			w.start("d1", "z")
			w.start("d2", "z")
			w.start("d3", "z")
			w.service(scope, 16, "check1", "check2", "plain1")
			t.Log("serving after", w.until(6*time.Second, w.allServing(16)))
			w.run(3 * time.Second)
			require.Equal(t, 16, w.serving(16))
		})
	}
}

// Guards against a change of scope under live leases: daemons that do not know
// the change would go on with witnesses that the others no longer ask.
func TestScopeOfPlacedServiceIsFixed(t *testing.T) {
	w := servingWorld(t, 3, "checka")
	w.put("svc", &resource.Service{Scope: resource.ScopeAll, Slices: 16, Ranks: []string{"normal"}, DefaultRank: "normal"})
	w.run(time.Second)
	svc, _ := w.nodes["d1"].m.st.Service("svc")
	require.Equal(t, resource.ScopeZone, svc.EffectiveScope())
}

// Guards against a daemon that joins with a partial state: without the start of
// the log it needs a checkpoint, and then agrees with the others.
func TestStartFromCheckpoint(t *testing.T) {
	w := servingWorld(t, 3, "checka", "plainb")
	w.oldest = 8
	late := w.start("d4", "z")
	w.step("d4", RecordsRead{Records: w.log[7:], OldestOffset: 8})
	require.False(t, late.m.View().StateComplete)
	w.until(10*time.Second, func() bool { return late.m.View().StateComplete })
	w.run(time.Second)
	_, member := w.nodes["d1"].m.st.Member("d4")
	require.True(t, member)
	parts, digest := state.EncodeCheckpoint(late.m.st)
	require.NotEmpty(t, parts)
	_, want := state.EncodeCheckpoint(w.nodes["d1"].m.st)
	require.Equal(t, want, digest)
	require.Equal(t, 16, w.serving(16))
}

// Guards against a removed daemon that floods the log with attempts to join.
func TestRemovedDaemonStaysOut(t *testing.T) {
	w := servingWorld(t, 4, "checka", "plainb")
	w.nodes["d4"].paused = true
	w.run(14 * time.Second)
	_, member := w.nodes["d1"].m.st.Member("d4")
	require.False(t, member)
	w.effects = nil
	before := len(w.log)
	w.resume("d4")
	w.run(3 * time.Second)
	require.Contains(t, w.effects, MemberRemoved{})
	require.Less(t, len(w.log)-before, 10)
}
