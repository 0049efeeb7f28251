package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/record"
)

// newLeaseMachine returns the machine of daemon "a", whose zone has the given current
// and pending witnesses. Its state has 7 records, or 8 with pending witnesses.
func newLeaseMachine(t *testing.T, current, pending []string, disabled ...Rule) *Machine {
	cluster := newTestCluster(t)
	m := cluster.startDaemon("a", "z", disabled...).machine
	for _, name := range []string{"a", "b", "c", "x", "y"} {
		cluster.append(record.HostJoined{Host: name, Incarnation: name, Zone: "z", PeerURL: "http://" + name})
	}
	cluster.append(record.WitnessProposed{Scope: m.ownZoneScope(), Epoch: 1, Members: current})
	cluster.append(record.WitnessActivated{Scope: m.ownZoneScope(), Epoch: 1})
	if pending != nil {
		cluster.append(record.WitnessProposed{Scope: m.ownZoneScope(), Epoch: 2, Members: pending})
	}
	m.Step(time.Second, RecordsRead{Records: cluster.log, OldestOffset: 1})
	return m
}

func respondToPoll(m *Machine, now, sent time.Duration, witness string, applied uint64) {
	m.Step(now, PollResponse{Witness: witness, SentAt: sent, AppliedOffset: applied})
}

// Guards against a lease without a majority of both the current and the pending
// witnesses, and against one from a response that reports records which the daemon
// has not applied.
func TestPrefixLease(t *testing.T) {
	const s = time.Second
	for name, c := range map[string]struct {
		pending []string
		answers map[string]uint64
		until   time.Duration
	}{
		"no majority":                  {answers: map[string]uint64{}},
		"majority with itself":         {answers: map[string]uint64{"b": 7}, until: 2500 * time.Millisecond},
		"response ahead of state":      {answers: map[string]uint64{"b": 99}},
		"pending set without majority": {pending: []string{"a", "x", "y"}, answers: map[string]uint64{"b": 7}},
		"pending set with majority":    {pending: []string{"a", "x", "y"}, answers: map[string]uint64{"b": 7, "x": 7}, until: 2500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			m := newLeaseMachine(t, []string{"a", "b", "c"}, c.pending)
			for witness, applied := range c.answers {
				respondToPoll(m, 2*s, s, witness, applied)
			}
			until, held := m.prefixLease(m.ownZoneScope())
			require.Equal(t, c.until, until)
			require.Equal(t, c.until > 2*s, held)
			m.Step(4*s, Tick{})
			_, held = m.prefixLease(m.ownZoneScope())
			require.False(t, held)
		})
	}
}

// Guards against a daemon that counts its own confirmation before it answers polls
// with the new offset: if it pauses between reading the clock and publishing the
// view, another daemon can obtain evidence for a lease after the wait has begun.
func TestOwnConfirmationFollowsView(t *testing.T) {
	for _, disabled := range [][]Rule{nil, {RuleConfirmPublishedOnly}} {
		m := newLeaseMachine(t, []string{"a"}, nil, disabled...)
		confirmed := m.ensureScopeStatus(m.ownZoneScope()).confirmedOffset
		require.Equal(t, disabled != nil, confirmed == 7)
		m.Step(2*time.Second, Tick{})
		require.Equal(t, uint64(7), m.ensureScopeStatus(m.ownZoneScope()).confirmedOffset)
	}
}

// Guards against confirmations of records that this daemon has not applied: one of
// them may have replaced the witness set whose majority is counted.
func TestConfirmationNeedsOwnPrefix(t *testing.T) {
	for _, disabled := range [][]Rule{nil, {RuleConfirmAppliedOnly}} {
		m := newLeaseMachine(t, []string{"a", "b", "c"}, nil, disabled...)
		respondToPoll(m, 2*time.Second, time.Second, "b", 50)
		respondToPoll(m, 2*time.Second, time.Second, "c", 50)
		require.Equal(t, disabled != nil, m.ensureScopeStatus(m.ownZoneScope()).confirmedOffset > 7)
	}
}

// Guards against a flood of grants when little of the lease is left: each response
// to a grant triggered the next grant at once.
func TestGrantsAreSpaced(t *testing.T) {
	cluster := newServingCluster(t, 3, "checka", "checkb")
	cluster.dropEffect = func(_ string, e Effect) bool { _, poll := e.(SendPoll); return poll }
	cluster.effects = nil
	cluster.run(2 * time.Second)
	grants := 0
	for _, e := range cluster.effects {
		if _, ok := e.(SendGrant); ok {
			grants++
		}
	}
	// Two servers for 2 s at serverRetryInterval.
	require.Less(t, grants, 40)
}
