package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/keyspace"
)

const ms = time.Millisecond

func threeRanks(slots int) Config {
	return Config{Slots: slots, RampUpTime: -1, Ranks: []RankConfig{
		{Name: "orders", Level: 0},
		{Name: "checks", Level: 1, FloorPercent: 10},
		{Name: "lookups", Level: 2, FloorPercent: 5},
	}}
}

func request(id uint64, rank, caller string) Request {
	return Request{ID: id, Rank: rank, Caller: caller, KeyHash: id, Deadline: time.Hour}
}

func ids(decisions []Decision, action Action) []uint64 {
	var out []uint64
	for _, d := range decisions {
		if d.Action == action {
			out = append(out, d.ID)
		}
	}
	return out
}

// Guards against urgent work waiting behind casual work that arrived earlier.
func TestUrgentRankFirst(t *testing.T) {
	q := New(0, threeRanks(1))
	require.Equal(t, []uint64{1}, ids(q.Submit(0, request(1, "lookups", "a")), ActionDispatch))
	q.Submit(0, request(2, "lookups", "a"))
	q.Submit(0, request(3, "orders", "a"))
	require.Equal(t, []uint64{3}, ids(q.Finish(ms, 1, Result{Outcome: OutcomeOK}), ActionDispatch))
}

// Guards against one caller's backlog delaying or displacing all other callers.
func TestCallersTakeTurns(t *testing.T) {
	cfg := threeRanks(1)
	cfg.Ranks[0].MaxQueueLength = 4
	q := New(0, cfg)
	for id := uint64(1); id <= 5; id++ {
		q.Submit(0, request(id, "orders", "greedy"))
	}
	require.Equal(t, []uint64{6}, ids(q.Submit(0, request(6, "orders", "greedy")), ActionRefuse))
	require.Equal(t, []uint64{5}, ids(q.Submit(0, request(7, "orders", "modest")), ActionRefuse))
	var order []uint64
	running := uint64(1)
	for range 4 {
		next := ids(q.Finish(ms, running, Result{Outcome: OutcomeOK}), ActionDispatch)
		require.Len(t, next, 1)
		running = next[0]
		order = append(order, running)
	}
	require.Equal(t, []uint64{2, 7, 3, 4}, order)
}

// Guards against sending work that cannot be on time any more, and against
// keeping requests beyond the queue time.
func TestRefusals(t *testing.T) {
	q := New(0, threeRanks(1))
	q.Submit(0, request(1, "orders", "a"))
	q.Finish(100*ms, 1, Result{Outcome: OutcomeOK})
	short := request(2, "orders", "a")
	short.Deadline = 150 * ms
	require.Equal(t, []Decision{{Action: ActionRefuse, ID: 2, Reason: ReasonDeadlineTooShort}}, q.Submit(100*ms, short))
	short.Deadline = 100 * ms
	require.Equal(t, ReasonPastDeadline, q.Submit(100*ms, short)[0].Reason)
	require.Equal(t, ReasonUnknownRank, q.Submit(100*ms, request(3, "none", "a"))[0].Reason)

	q.Submit(100*ms, request(4, "orders", "a"))
	q.Submit(100*ms, request(5, "orders", "a"))
	require.Empty(t, q.Tick(2*time.Second))
	require.Equal(t, ReasonQueueTimeout, q.Tick(2200 * ms)[0].Reason)
	require.False(t, q.Cancel(5))
}

// Guards against a canceled request still being sent.
func TestCancelQueued(t *testing.T) {
	q := New(0, threeRanks(1))
	q.Submit(0, request(1, "orders", "a"))
	q.Submit(0, request(2, "orders", "a"))
	require.True(t, q.Cancel(2))
	require.False(t, q.Cancel(1), "running")
	require.Empty(t, q.Finish(ms, 1, Result{Outcome: OutcomeOK}))
}

// Guards against a request of a moving slice reaching the old server after the drain.
func TestQuiesce(t *testing.T) {
	q := New(0, threeRanks(1))
	low := keyspace.Range{First: 0, Last: 2}
	q.Submit(0, request(1, "orders", "a"))
	q.Submit(0, request(2, "orders", "a"))
	q.Submit(0, request(3, "orders", "a"))
	require.Equal(t, []uint64{2}, ids(q.Quiesce(low), ActionReroute))
	require.Equal(t, 1, q.InFlight(low))
	require.Equal(t, []uint64{2}, ids(q.Submit(0, request(2, "orders", "a")), ActionReroute))
	require.Equal(t, []uint64{3}, ids(q.Finish(ms, 1, Result{Outcome: OutcomeOK}), ActionDispatch))
	require.Zero(t, q.InFlight(low))
	q.Resume(low)
	require.Empty(t, q.Submit(ms, request(2, "orders", "a")))
}

// Guards against a cold server getting its full load at once, and against
// dispatching on while the server refuses for overload.
func TestRampUpAndPause(t *testing.T) {
	cfg := threeRanks(6)
	cfg.RampUpTime = time.Second
	q := New(0, cfg)
	for id := uint64(1); id <= 8; id++ {
		q.Submit(0, request(id, "orders", "a"))
	}
	require.Equal(t, 1, q.Stats(0).Running)
	q.Tick(500 * ms)
	require.Equal(t, 4, q.Stats(500*ms).Running)
	q.Tick(time.Second)
	require.Equal(t, 6, q.Stats(time.Second).Running)
	require.Empty(t, q.Finish(time.Second, 1, Result{Outcome: OutcomeOverload}))
	require.Empty(t, q.Finish(time.Second, 2, Result{Outcome: OutcomeOK}))
	require.Empty(t, q.Finish(time.Second, 3, Result{Outcome: OutcomeOK}))
	require.NotEmpty(t, ids(q.Tick(time.Second+MinOverloadPause), ActionDispatch))
}

// Guards against losing queued requests when an operator changes a rank.
func TestReconfigureKeepsQueue(t *testing.T) {
	q := New(0, threeRanks(1))
	for id := uint64(1); id <= 3; id++ {
		q.Submit(0, request(id, "orders", "a"))
	}
	q.Submit(0, request(4, "lookups", "a"))
	cfg := threeRanks(2)
	cfg.Ranks = cfg.Ranks[:2]
	decisions := q.Reconfigure(0, cfg)
	require.Equal(t, []uint64{2}, ids(decisions, ActionDispatch))
	require.Equal(t, []uint64{4}, ids(decisions, ActionRefuse))
	require.Equal(t, []uint64{3}, ids(q.Finish(ms, 1, Result{Outcome: OutcomeOK}), ActionDispatch))
}

// Guards against a limit that stays high while the server slows under load, and
// against one that never recovers after requests have become longer.
func TestLimitFollowsLatency(t *testing.T) {
	var l limiter
	l.resize(6)
	window := func(latency time.Duration, ok bool) {
		for range limitWindow {
			l.observe(latency, ok)
		}
	}
	window(10*ms, true)
	require.EqualValues(t, 6, l.limit)
	window(30*ms, true)
	require.InDelta(t, 3, l.limit, 0.01)
	window(10*ms, false)
	require.Less(t, l.limit, 2.5)
	for range 24 { // at least (6-1)/limitIncrease windows, and 4 for the base
		window(30*ms, true)
	}
	require.EqualValues(t, 6, l.limit)
}
