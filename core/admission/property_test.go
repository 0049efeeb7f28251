package admission

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"parsleyrelay.example/core/keyspace"
)

// Guards against requests that get no decision or more than one, against more
// requests in flight than slots, and against dispatch into a quiesced range.
func TestEachRequestIsDecidedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		cfg := threeRankConfig(slots)
		cfg.RampUpTime = time.Duration(rapid.IntRange(-1, 500).Draw(t, "rampMS")) * ms
		for i := range cfg.Ranks {
			cfg.Ranks[i].MaxQueueLength = 3
		}
		c := New(0, cfg)
		var now time.Duration
		lastID, lowRange := uint64(0), keyspace.Range{First: 0, Last: 4}
		quiesced := false
		waiting, running := map[uint64]Request{}, map[uint64]Request{}
		checkDecisions := func(decisions []Decision) {
			for _, d := range decisions {
				req, ok := waiting[d.ID]
				require.True(t, ok, "%v was already decided", d)
				delete(waiting, d.ID)
				if d.Action == ActionDispatch {
					require.False(t, quiesced && lowRange.Contains(req.KeyHash))
					running[d.ID] = req
				}
			}
			require.LessOrEqual(t, len(running), slots)
			require.Len(t, waiting, len(c.queued))
			inFlight := 0
			for _, req := range running {
				if lowRange.Contains(req.KeyHash) {
					inFlight++
				}
			}
			require.Equal(t, inFlight, c.InFlight(lowRange))
		}
		drawID := func(t *rapid.T, from map[uint64]Request) uint64 {
			return rapid.SampledFrom(slices.Sorted(maps.Keys(from))).Draw(t, "id")
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				lastID++
				req := Request{
					ID: lastID, KeyHash: uint64(rapid.IntRange(0, 9).Draw(t, "hash")),
					Rank:     rapid.SampledFrom([]string{"orders", "checks", "lookups", "none"}).Draw(t, "rank"),
					Caller:   rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"),
					Deadline: now + time.Duration(rapid.IntRange(0, 3000).Draw(t, "deadlineMS"))*ms,
				}
				waiting[req.ID] = req
				checkDecisions(c.Submit(now, req))
			},
			"finish": func(t *rapid.T) {
				if len(running) > 0 {
					id := drawID(t, running)
					delete(running, id)
					outcome := rapid.IntRange(int(OutcomeOK), int(OutcomeCanceled)).Draw(t, "outcome")
					checkDecisions(c.Finish(now, id, Result{Outcome: Outcome(outcome)}))
				}
			},
			"cancel": func(t *rapid.T) {
				if len(waiting) > 0 {
					id := drawID(t, waiting)
					require.True(t, c.Cancel(id))
					delete(waiting, id)
				}
			},
			"tick": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * ms
				checkDecisions(c.Tick(now))
			},
			"quiesce": func(*rapid.T) {
				if quiesced = !quiesced; quiesced {
					checkDecisions(c.Quiesce(lowRange))
				} else {
					c.Resume(lowRange)
				}
			},
			"reconfigure": func(t *rapid.T) {
				cfg.Ranks[1].MaxQueueLength = rapid.IntRange(1, 5).Draw(t, "length")
				checkDecisions(c.Reconfigure(now, cfg))
			},
			"cold": func(*rapid.T) { c.ResetForColdServer(now) },
		})
	})
}
