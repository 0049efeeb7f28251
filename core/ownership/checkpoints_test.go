package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/keyspace"
	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/resource"
)

// Guards against appending all parts of a checkpoint at once: the driver's ring of
// 256 pending appends dropped the rest, so a large checkpoint was never complete.
func TestLargeCheckpointIsPaced(t *testing.T) {
	cluster := newServingCluster(t, 1, "checka")
	cluster.putResource("large", &resource.Service{Ranks: []string{"normal"}, DefaultRank: "normal"})
	cluster.putResource("owner", &resource.Server{Service: "large", Zone: "other", Address: "http://127.0.0.1:1", Slots: 1, Connections: 1})
	placed := record.SlicesPlaced{Service: "large"}
	for _, r := range keyspace.EqualRanges(100_000) {
		placed.Slices = append(placed.Slices, record.SlicePlacement{Range: r, Server: "owner"})
	}
	cluster.append(placed)
	cluster.run(time.Second)
	checkpoints := &cluster.daemons[cluster.daemonNames[0]].machine.checkpoints
	checkpoints.recordsSinceBase = maxRecordsSinceCheckpoint + 1
	cluster.effects = nil
	most, total := 0, 0
	cluster.runUntil(20*time.Second, func() bool {
		parts := 0
		for _, e := range cluster.effects {
			if a, ok := e.(AppendRecord); ok && a.Record.Body.Kind() == record.KindCheckpointPart {
				parts++
			}
		}
		cluster.effects = nil
		total, most = total+parts, max(most, parts)
		return checkpoints.baseOffset > 0
	})
	require.Greater(t, total, 4*checkpointPartsPerTick)
	require.LessOrEqual(t, most, checkpointPartsPerTick)
}

// Guards against a daemon that waits for checkpointRetryInterval although its
// checkpoint is complete: when retention had overtaken that checkpoint as well,
// restarted hosts found no state to restore for up to 30 s.
func TestCheckpointAgainAfterRetention(t *testing.T) {
	cluster := newServingCluster(t, 1, "checka")
	checkpoints := &cluster.daemons[cluster.daemonNames[0]].machine.checkpoints
	for range 2 {
		cluster.run(time.Second) // applies all records
		cluster.oldestOffset = uint64(len(cluster.log)) + 1
		base := checkpoints.baseOffset
		cluster.putResource("other", &resource.Rank{})
		cluster.runUntil(2*time.Second, func() bool { return checkpoints.baseOffset > base && checkpoints.baseOffset+1 >= cluster.oldestOffset })
	}
}

// Guards against a remaining member that waits several seconds for its turn to write
// a checkpoint although the state exists only in its memory: when that host failed
// within 0.4 s after retention dropped the records, the state was lost.
func TestUncoveredStateIsPublishedWithinTurns(t *testing.T) {
	cluster := newServingCluster(t, 3, "checka")
	cluster.run(time.Second)
	incarnations := map[string]string{}
	var names []string
	for _, name := range cluster.daemonNames {
		incarnation := cluster.daemons[name].machine.cfg.Incarnation
		names, incarnations[incarnation] = append(names, incarnation), name
	}
	last := incarnations[rendezvousOrder("checkpoint", names)[2]]
	for _, name := range cluster.daemonNames {
		cluster.daemons[name].paused = name != last
	}
	cluster.oldestOffset = uint64(len(cluster.log)) + 1
	cluster.putResource("other", &resource.Rank{})
	checkpoints := &cluster.daemons[last].machine.checkpoints
	cluster.runUntil(3*proposalRankDelay, func() bool { return checkpoints.baseOffset+1 >= cluster.oldestOffset })
}
