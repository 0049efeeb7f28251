package model

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func testScenario() Scenario {
	ms := time.Millisecond
	return Scenario{
		AdmittedLoad: 0.9, IdleTimeout: time.Second,
		Servers: Servers{ID: "s", Count: 4, Slots: 2, MaxQueue: 4, Slow: 1, SlowFactor: 3, Refusing: 1, RefusedShare: 0.5},
		Classes: []Class{
			{Name: "urgent", Share: 1, ServiceTime: 40 * ms, MaxQueueWait: 200 * ms, Target: 300 * ms, Deadline: time.Second},
			{Name: "lookup", Rank: 2, Share: 2, ServiceTime: 90 * ms, MaxQueueWait: 400 * ms, Target: 800 * ms, Deadline: time.Second}},
		Phases: []Phase{
			{Name: "wave", Duration: 2 * time.Second, Load: 0.6, Wave: 0.5, WavePeriod: time.Second},
			{Name: "hot", Duration: 3 * time.Second, Load: 0.5, HotLoad: 4, Burst: 5, BurstLength: 200 * ms, BurstPeriod: time.Second},
			{Name: "drain", Duration: 5 * time.Second}},
	}
}

// Guards against results that depend on anything besides scenario, hosts and seed.
func TestSameSeedGivesTheSameResult(t *testing.T) {
	first, err := Run(testScenario(), 20, 1)
	require.NoError(t, err)
	second, err := Run(testScenario(), 20, 1)
	require.NoError(t, err)
	require.Equal(t, first, second)
	other, err := Run(testScenario(), 20, 2)
	require.NoError(t, err)
	require.NotEqual(t, first.Phases, other.Phases)
}

// Guards against requests that are lost or counted twice: after a phase without load,
// each request was refused, rejected or served.
func TestRequestsAreConserved(t *testing.T) {
	for _, resets := range []bool{false, true} {
		s := testScenario()
		s.Servers.ResetsWhenFull = resets
		result, err := Run(s, 20, 1)
		require.NoError(t, err)
		for _, p := range result.Phases {
			require.LessOrEqual(t, p.UsedShare, 1.0)
			require.LessOrEqual(t, p.NewConnections, p.Arrivals)
		}
		sum := result.Total()
		require.NotZero(t, sum.Rejected)
		require.Equal(t, sum.Submitted, sum.RefusedAtHost+sum.Arrivals)
		require.Equal(t, sum.Arrivals, sum.Rejected+sum.Served)
	}
}

// Guards against findings that are reported one at a time, and against scenarios that
// would divide by zero or take all memory.
func TestInvalidScenariosHaveAllFindings(t *testing.T) {
	s := testScenario()
	s.Hosts, s.Servers.Count, s.Servers.Slow = []int{0, 10000}, 20000, -1
	s.Classes[1].ServiceTime, s.Phases[0].WavePeriod, s.Phases[1].BurstPeriod = 0, 0, 0
	var places []string
	for _, f := range s.Validate() {
		places = append(places, f.Place)
	}
	require.Equal(t, []string{"hosts.0", "hosts.1", "seeds", "servers.slow", "classes.1.serviceTime", "phases.0.wavePeriod", "phases.1.burstPeriod"}, places)
	_, err := Run(s, 10, 1)
	require.ErrorContains(t, err, "classes.1.serviceTime")
}
