package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/keyspace"
	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/resource"
)

// Guards against a checkpoint whose parts are appended all at once: the driver's
// ring of 256 appends dropped the rest, so a large checkpoint never became whole.
func TestLargeCheckpointIsPaced(t *testing.T) {
	w := servingWorld(t, 1, "checka")
	w.put("large", &resource.Service{Ranks: []string{"normal"}, DefaultRank: "normal"})
	w.put("owner", &resource.Server{Service: "large", Zone: "other", Address: "http://127.0.0.1:1", Slots: 1, Connections: 1})
	placed := record.SlicesPlaced{Service: "large"}
	for _, r := range keyspace.Divide(100_000) {
		placed.Slices = append(placed.Slices, record.Placement{Range: r, Server: "owner"})
	}
	w.append(placed)
	w.run(time.Second)
	keeper := &w.nodes[w.order[0]].m.keeper
	keeper.folded = checkpointRecords + 1
	w.effects = nil
	most, total := 0, 0
	w.until(20*time.Second, func() bool {
		parts := 0
		for _, e := range w.effects {
			if a, ok := e.(AppendRecord); ok && a.Record.Body.Kind() == record.KindCheckpointPart {
				parts++
			}
		}
		w.effects = nil
		total, most = total+parts, max(most, parts)
		return keeper.base > 0
	})
	require.Greater(t, total, 4*checkpointPartsPerTick)
	require.LessOrEqual(t, most, checkpointPartsPerTick)
}

// Guards against a daemon that waits for checkpointRetry although its checkpoint
// is complete: when retention passed that one as well, hosts that had restarted
// meanwhile found no state and stayed behind for up to 30 s.
func TestCheckpointAgainAfterRetention(t *testing.T) {
	w := servingWorld(t, 1, "checka")
	keeper := &w.nodes[w.order[0]].m.keeper
	for range 2 {
		w.run(time.Second) // lets all records be folded
		w.oldest = uint64(len(w.log)) + 1
		base := keeper.base
		w.put("other", &resource.Rank{})
		w.until(2*time.Second, func() bool { return keeper.base > base && keeper.base+1 >= w.oldest })
	}
}

// Guards against a survivor that waits several seconds for its turn although
// only its memory still holds the state: a host that was lost within 0.4 s of
// the retention left nothing to start from.
func TestUncoveredStateIsPublishedWithinTurns(t *testing.T) {
	w := servingWorld(t, 3, "checka")
	w.run(time.Second)
	incarnations := map[string]string{}
	var names []string
	for _, name := range w.order {
		incarnation := w.nodes[name].m.cfg.Incarnation
		names, incarnations[incarnation] = append(names, incarnation), name
	}
	last := incarnations[rendezvousOrder("checkpoint", names)[2]]
	for _, name := range w.order {
		w.nodes[name].paused = name != last
	}
	w.oldest = uint64(len(w.log)) + 1
	w.put("other", &resource.Rank{})
	keeper := &w.nodes[last].m.keeper
	w.until(3*rankDelay, func() bool { return keeper.base+1 >= w.oldest })
}
