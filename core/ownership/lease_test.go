package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/record"
)

// leaseMachine returns a machine "a" whose zone has the given witness sets.
func leaseMachine(t *testing.T, current, pending []string, disabled ...Rule) *Machine {
	w := newWorld(t)
	m := w.start("a", "z", disabled...).m
	for _, name := range []string{"a", "b", "c", "x", "y"} {
		w.append(record.HostJoined{Host: name, Incarnation: name, Zone: "z", PeerURL: "http://" + name})
	}
	w.append(record.WitnessProposed{Scope: m.zoneScope(), Epoch: 1, Members: current})
	w.append(record.WitnessActivated{Scope: m.zoneScope(), Epoch: 1})
	if pending != nil {
		w.append(record.WitnessProposed{Scope: m.zoneScope(), Epoch: 2, Members: pending})
	}
	m.Step(time.Second, RecordsRead{Records: w.log, OldestOffset: 1})
	return m
}

func answer(m *Machine, now, sent time.Duration, witness string, applied uint64) {
	m.Step(now, PollResponse{Witness: witness, SentAt: sent, AppliedOffset: applied})
}

// Guards against a lease that does not follow from a majority of every set in
// force, or from a response that knows more than the daemon.
func TestPrefixLease(t *testing.T) {
	const s = time.Second
	for name, c := range map[string]struct {
		pending []string
		answers map[string]uint64
		until   time.Duration
	}{
		"no majority":               {answers: map[string]uint64{}},
		"majority with itself":      {answers: map[string]uint64{"b": 7}, until: 2500 * time.Millisecond},
		"response ahead of state":   {answers: map[string]uint64{"b": 99}},
		"pending set without":       {pending: []string{"a", "x", "y"}, answers: map[string]uint64{"b": 7}},
		"pending set with majority": {pending: []string{"a", "x", "y"}, answers: map[string]uint64{"b": 7, "x": 7}, until: 2500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			m := leaseMachine(t, []string{"a", "b", "c"}, c.pending)
			for witness, applied := range c.answers {
				answer(m, 2*s, s, witness, applied)
			}
			until, held := m.leased(m.zoneScope())
			require.Equal(t, c.until, until)
			require.Equal(t, c.until > 2*s, held)
			m.Step(4*s, Tick{})
			_, held = m.leased(m.zoneScope())
			require.False(t, held)
		})
	}
}

// Guards against counting the own confirmation before polls are answered with
// the new offset: a pause between reading the clock and publishing the view
// would let another daemon obtain evidence after the wait has begun.
func TestOwnConfirmationFollowsView(t *testing.T) {
	for _, disabled := range [][]Rule{nil, {RuleConfirmPublishedOnly}} {
		m := leaseMachine(t, []string{"a"}, nil, disabled...)
		confirmed := m.scope(m.zoneScope()).confirmed
		require.Equal(t, disabled != nil, confirmed == 7)
		m.Step(2*time.Second, Tick{})
		require.Equal(t, uint64(7), m.scope(m.zoneScope()).confirmed)
	}
}

// Guards against confirmations for records that this daemon has not folded: a
// later record may have replaced the witness set that they were counted with.
func TestConfirmationNeedsOwnPrefix(t *testing.T) {
	for _, disabled := range [][]Rule{nil, {RuleConfirmAppliedOnly}} {
		m := leaseMachine(t, []string{"a", "b", "c"}, nil, disabled...)
		answer(m, 2*time.Second, time.Second, "b", 50)
		answer(m, 2*time.Second, time.Second, "c", 50)
		require.Equal(t, disabled != nil, m.scope(m.zoneScope()).confirmed > 7)
	}
}

// Guards against a flood of grants when little of the lease is left, which
// happened with every grant triggering the next one at once.
func TestGrantsAreSpaced(t *testing.T) {
	w := servingWorld(t, 3, "checka", "checkb")
	w.drop = func(_ string, e Effect) bool { _, poll := e.(SendPoll); return poll }
	w.effects = nil
	w.run(2 * time.Second)
	grants := 0
	for _, e := range w.effects {
		if _, ok := e.(SendGrant); ok {
			grants++
		}
	}
	require.Less(t, grants, 40)
}
