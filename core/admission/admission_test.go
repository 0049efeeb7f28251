package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/keyspace"
)

const ms = time.Millisecond

func threeRankConfig(slots int) Config {
	return Config{Slots: slots, RampUpTime: -1, Ranks: []RankConfig{
		{Name: "orders", Level: 0},
		{Name: "checks", Level: 1, FloorPercent: 10},
		{Name: "lookups", Level: 2, FloorPercent: 5},
	}}
}

func newRequest(id uint64, rank, caller string) Request {
	return Request{ID: id, Rank: rank, Caller: caller, KeyHash: id, Deadline: time.Hour}
}

func idsWithAction(decisions []Decision, action Action) []uint64 {
	var out []uint64
	for _, d := range decisions {
		if d.Action == action {
			out = append(out, d.ID)
		}
	}
	return out
}

// Guards against urgent requests waiting behind less urgent ones that arrived
// earlier.
func TestUrgentRankFirst(t *testing.T) {
	c := New(0, threeRankConfig(1))
	require.Equal(t, []uint64{1}, idsWithAction(c.Submit(0, newRequest(1, "lookups", "a")), ActionDispatch))
	c.Submit(0, newRequest(2, "lookups", "a"))
	c.Submit(0, newRequest(3, "orders", "a"))
	require.Equal(t, []uint64{3}, idsWithAction(c.Finish(ms, 1, Result{Outcome: OutcomeOK}), ActionDispatch))
}

// Guards against one caller's backlog delaying or displacing all other callers.
func TestCallersTakeTurns(t *testing.T) {
	cfg := threeRankConfig(1)
	cfg.Ranks[0].MaxQueueLength = 4
	c := New(0, cfg)
	for id := uint64(1); id <= 5; id++ {
		c.Submit(0, newRequest(id, "orders", "greedy"))
	}
	require.Equal(t, []uint64{6}, idsWithAction(c.Submit(0, newRequest(6, "orders", "greedy")), ActionRefuse))
	require.Equal(t, []uint64{5}, idsWithAction(c.Submit(0, newRequest(7, "orders", "modest")), ActionRefuse))
	var order []uint64
	running := uint64(1)
	for range 4 {
		next := idsWithAction(c.Finish(ms, running, Result{Outcome: OutcomeOK}), ActionDispatch)
		require.Len(t, next, 1)
		running = next[0]
		order = append(order, running)
	}
	require.Equal(t, []uint64{2, 7, 3, 4}, order)
}

// Guards against dispatching requests that can no longer meet their deadline, and
// against keeping requests beyond the maximum queue time.
func TestRefusals(t *testing.T) {
	c := New(0, threeRankConfig(1))
	c.Submit(0, newRequest(1, "orders", "a"))
	c.Finish(100*ms, 1, Result{Outcome: OutcomeOK})
	shortDeadline := newRequest(2, "orders", "a")
	shortDeadline.Deadline = 150 * ms
	require.Equal(t, []Decision{{Action: ActionRefuse, ID: 2, Reason: ReasonDeadlineTooShort}}, c.Submit(100*ms, shortDeadline))
	shortDeadline.Deadline = 100 * ms
	require.Equal(t, ReasonPastDeadline, c.Submit(100*ms, shortDeadline)[0].Reason)
	require.Equal(t, ReasonUnknownRank, c.Submit(100*ms, newRequest(3, "none", "a"))[0].Reason)

	c.Submit(100*ms, newRequest(4, "orders", "a"))
	c.Submit(100*ms, newRequest(5, "orders", "a"))
	require.Empty(t, c.Tick(2*time.Second))
	require.Equal(t, ReasonQueueTimeout, c.Tick(2200 * ms)[0].Reason)
	require.False(t, c.Cancel(5))
}

// Guards against a canceled request still being sent.
func TestCancelQueued(t *testing.T) {
	c := New(0, threeRankConfig(1))
	c.Submit(0, newRequest(1, "orders", "a"))
	c.Submit(0, newRequest(2, "orders", "a"))
	require.True(t, c.Cancel(2))
	require.False(t, c.Cancel(1), "running")
	require.Empty(t, c.Finish(ms, 1, Result{Outcome: OutcomeOK}))
}

// Guards against a request of a moving slice reaching the old server after the drain.
func TestQuiesce(t *testing.T) {
	c := New(0, threeRankConfig(1))
	lowRange := keyspace.Range{First: 0, Last: 2}
	c.Submit(0, newRequest(1, "orders", "a"))
	c.Submit(0, newRequest(2, "orders", "a"))
	c.Submit(0, newRequest(3, "orders", "a"))
	require.Equal(t, []uint64{2}, idsWithAction(c.Quiesce(lowRange), ActionReroute))
	require.Equal(t, 1, c.InFlight(lowRange))
	require.Equal(t, []uint64{2}, idsWithAction(c.Submit(0, newRequest(2, "orders", "a")), ActionReroute))
	require.Equal(t, []uint64{3}, idsWithAction(c.Finish(ms, 1, Result{Outcome: OutcomeOK}), ActionDispatch))
	require.Zero(t, c.InFlight(lowRange))
	c.Resume(lowRange)
	require.Empty(t, c.Submit(ms, newRequest(2, "orders", "a")))
}

// Guards against a cold server getting its full load at once, and against
// further dispatches while the server refuses for overload.
func TestRampUpAndPause(t *testing.T) {
	cfg := threeRankConfig(6)
	cfg.RampUpTime = time.Second
	c := New(0, cfg)
	for id := uint64(1); id <= 8; id++ {
		c.Submit(0, newRequest(id, "orders", "a"))
	}
	require.Equal(t, 1, c.Stats(0).Running)
	c.Tick(500 * ms)
	require.Equal(t, 4, c.Stats(500*ms).Running)
	c.Tick(time.Second)
	require.Equal(t, 6, c.Stats(time.Second).Running)
	require.Empty(t, c.Finish(time.Second, 1, Result{Outcome: OutcomeOverload}))
	require.Empty(t, c.Finish(time.Second, 2, Result{Outcome: OutcomeOK}))
	require.Empty(t, c.Finish(time.Second, 3, Result{Outcome: OutcomeOK}))
	require.NotEmpty(t, idsWithAction(c.Tick(time.Second+MinOverloadPause), ActionDispatch))
}

// Guards against requests that are refused because a former instance of the server was
// slow. If the mean service time exceeds all deadlines, nothing is dispatched that
// could correct it.
func TestRestartForgetsServiceTimes(t *testing.T) {
	c := New(0, threeRankConfig(1))
	c.Submit(0, newRequest(1, "orders", "a"))
	c.Finish(10*time.Second, 1, Result{Outcome: OutcomeOK})
	short := newRequest(2, "orders", "a")
	short.Deadline = 11 * time.Second
	require.Equal(t, []uint64{2}, idsWithAction(c.Submit(10*time.Second, short), ActionRefuse))
	c.ResetForColdServer(10 * time.Second)
	require.Equal(t, []uint64{2}, idsWithAction(c.Submit(10*time.Second, short), ActionDispatch))
}

// Guards against losing queued requests when an operator changes a rank.
func TestReconfigureKeepsQueue(t *testing.T) {
	c := New(0, threeRankConfig(1))
	for id := uint64(1); id <= 3; id++ {
		c.Submit(0, newRequest(id, "orders", "a"))
	}
	c.Submit(0, newRequest(4, "lookups", "a"))
	cfg := threeRankConfig(2)
	cfg.Ranks = cfg.Ranks[:2]
	decisions := c.Reconfigure(0, cfg)
	require.Equal(t, []uint64{2}, idsWithAction(decisions, ActionDispatch))
	require.Equal(t, []uint64{4}, idsWithAction(decisions, ActionRefuse))
	require.Equal(t, []uint64{3}, idsWithAction(c.Finish(ms, 1, Result{Outcome: OutcomeOK}), ActionDispatch))
}

// Guards against a limit that stays high while the server slows under load, and
// against one that never recovers after requests have become longer.
func TestLimitFollowsLatency(t *testing.T) {
	var lim limiter
	lim.setSlots(6)
	observeWindow := func(latency time.Duration, ok bool) {
		for range limitWindowResponses {
			lim.observe(latency, ok)
		}
	}
	observeWindow(10*ms, true)
	require.EqualValues(t, 6, lim.limit)
	observeWindow(30*ms, true)
	require.InDelta(t, 3, lim.limit, 0.01)
	observeWindow(10*ms, false)
	require.Less(t, lim.limit, 2.5)
	for range 24 { // (6-1)/limitIncreasePerWindow windows for the limit, and 4 for the base latency
		observeWindow(30*ms, true)
	}
	require.EqualValues(t, 6, lim.limit)
}
