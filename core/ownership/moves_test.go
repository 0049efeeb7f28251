package ownership

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/resource"
)

// longestGap runs the world tick by tick and returns the longest time for which
// some key could not be dispatched.
func (w *world) longestGap(d time.Duration) time.Duration {
	var gap, longest time.Duration
	for end := w.now + d; w.now < end; {
		w.run(TickInterval)
		if gap += TickInterval; w.serving(16) == 16 {
			gap = 0
		}
		longest = max(longest, gap)
	}
	return longest
}

// Guards against slices that stay on a leaving server, against a gap longer
// than one tick of the test, and against a move before the release.
func TestDrainServer(t *testing.T) {
	for _, kind := range []string{"check", "plain"} {
		t.Run(kind, func(t *testing.T) {
			w := servingWorld(t, 3, kind+"a", kind+"b")
			owned := w.ownedBy(kind + "a")
			require.NotZero(t, owned)
			spec := w.serverSpec(kind + "a")
			spec.Drain = true
			w.effects = nil
			w.put(kind+"a", spec)
			require.LessOrEqual(t, w.longestGap(2*time.Second), 2*TickInterval)
			require.Zero(t, w.ownedBy(kind+"a"))
			transfers := 0
			for _, e := range w.effects {
				if _, ok := e.(TransferIDs); ok {
					transfers++
				}
				if a, ok := e.(AppendRecord); ok {
					if moved, ok := a.Record.Body.(record.SlicesMoved); ok {
						require.True(t, moved.Released)
					}
				}
			}
			if w.homeOf(kind+"a") != w.homeOf(kind+"b") {
				require.Equal(t, owned, transfers)
			}
		})
	}
}

// Guards against regranting a released generation: when the release is not
// confirmed, the slice comes back only under a new generation.
func TestUnconfirmedReleaseIsAborted(t *testing.T) {
	w := servingWorld(t, 3, "checka", "checkb")
	server := w.servers["checka"]
	before := map[SliceRef]bool{}
	for s := range server.held {
		before[s] = true
	}
	released := 0
	w.drop = func(_ string, e Effect) bool {
		if r, ok := e.(SendRelease); ok {
			released++
			server.released[r.Slice] = true // the response is lost
			return true
		}
		return false
	}
	spec := w.serverSpec("checka")
	spec.Drain = true
	w.put("checka", spec)
	w.run(500 * time.Millisecond)
	require.NotZero(t, released)
	undrained := w.serverSpec("checka")
	w.put("checka", undrained)
	w.run(3 * time.Second)
	require.Equal(t, 16, w.serving(16))
	for s := range server.held {
		require.False(t, before[s], "generation %d granted again after its release", s.Generation)
	}
}

// Guards against two owners when the response to the append of a move is lost
// and the home is replaced meanwhile: the late record must have no effect.
func TestLateMoveRecordAfterTakeover(t *testing.T) {
	w := servingWorld(t, 4, "checka", "checkb")
	home := w.homeOf("checka")
	var late []record.Record
	w.drop = func(from string, e Effect) bool {
		if a, ok := e.(AppendRecord); ok && from == home {
			if _, move := a.Record.Body.(record.SlicesMoved); move {
				late = append(late, a.Record)
				return true
			}
		}
		return false
	}
	spec := w.serverSpec("checka")
	spec.Drain = true
	w.put("checka", spec)
	w.run(300 * time.Millisecond)
	require.NotEmpty(t, late)
	w.put("checka", w.serverSpec("checka"))
	w.nodes[home].paused = true
	w.run(4 * time.Second)
	require.Equal(t, 16, w.serving(16))
	owned := w.ownedBy("checka")
	for _, r := range late {
		w.log = append(w.log, record.Positioned{Offset: uint64(len(w.log) + 1), Record: r})
	}
	w.run(time.Second)
	require.Equal(t, owned, w.ownedBy("checka"))
	require.Equal(t, 16, w.serving(16))
}

// Guards against a drain that drops keys, leaves homes behind, or never ends.
func TestDrainDaemon(t *testing.T) {
	for _, kind := range []string{"check", "plain"} {
		t.Run(kind, func(t *testing.T) {
			w := servingWorld(t, 4, kind+"a", kind+"b", kind+"c")
			leaver := w.homeOf(kind + "a")
			w.effects = nil
			w.step(leaver, DrainRequested{})
			require.LessOrEqual(t, w.longestGap(8*time.Second), 4*TickInterval)
			require.Empty(t, w.nodes[leaver].m.local)
			require.Contains(t, w.effects, DrainCompleted{})
			w.nodes[leaver].paused = true
			require.LessOrEqual(t, w.longestGap(4*time.Second), TickInterval)
		})
	}
}

// Guards against a last host that uses up the whole bound of its drain waiting
// for a peer that does not exist.
func TestDrainWithoutHeir(t *testing.T) {
	w := servingWorld(t, 1, "checka")
	only := w.homeOf("checka")
	w.effects = nil
	w.step(only, DrainRequested{})
	w.until(noHeirTimeout+time.Second, func() bool { return slices.Contains(w.effects, Effect(DrainCompleted{})) })
}

// Guards against handing a home over before its own wait has completed: the
// next home would act while the home before both still does.
func TestHandoverBeforeOpenHasNoFlag(t *testing.T) {
	w := servingWorld(t, 4, "plaina", "plainb")
	old := w.homeOf("plaina")
	w.nodes[old].paused = true
	w.until(recoveryBound, func() bool { return w.homeOf("plaina") != old })
	second := w.homeOf("plaina")
	w.effects = nil
	w.step(second, DrainRequested{})
	w.until(recoveryBound, func() bool { return w.homeOf("plaina") != second })
	for _, e := range w.effects {
		if a, ok := e.(AppendRecord); ok {
			if home, ok := a.Record.Body.(record.HomeAssigned); ok && home.Server == "plaina" {
				require.False(t, home.Handover)
			}
		}
	}
}

// Guards against keys of a lost zone that no zone takes over after the
// operator's declaration, and against taking them over before it.
func TestZoneDeclaredLost(t *testing.T) {
	w := newWorld(t)
	for _, name := range []string{"d1", "d2", "d3"} {
		w.start(name, "z")
	}
	for _, name := range []string{"e1", "e2", "e3"} {
		w.start(name, "y")
	}
	w.service(resource.ScopeZone, 16, "checka")
	other := w.serverSpec("checkb")
	other.Zone = "y"
	w.put("checkb", other)
	w.servers["checkb"] = newFakeServer("checkb", "i")
	w.until(8*time.Second, w.allServing(16))
	w.run(3 * time.Second)
	owned := w.ownedBy("checkb")
	require.NotZero(t, owned)
	for _, name := range []string{"e1", "e2", "e3"} {
		w.nodes[name].paused = true
	}
	w.servers["checkb"].down = true
	w.run(8 * time.Second)
	require.Equal(t, owned, w.ownedBy("checkb"))
	w.put("y", &resource.Zone{Lost: true})
	t.Log("taken over after", w.until(recoveryBound, w.allServing(16)))
	require.Zero(t, w.ownedBy("checkb"))
}
