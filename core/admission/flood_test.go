package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	floodStart   = 8 * time.Second
	floodEnd     = 18 * time.Second
	recoveryTime = 2 * time.Second
)

var (
	normalLoads = []rankLoad{
		{rank: "orders", load: 0.3, deadline: 500 * ms},
		{rank: "checks", load: 0.2, deadline: time.Second},
		{rank: "lookups", load: 0.1, deadline: 2 * time.Second},
	}
	deployments = []scenario{
		{servers: 1, slots: 6, meanServiceTime: 20 * ms},
		{servers: 15, slots: 6, meanServiceTime: 20 * ms},
		{servers: 25, slots: 2, meanServiceTime: 20 * ms},
	}
)

func newControllerPolicy(s scenario) admissionPolicy {
	cfg := threeRankConfig(s.slots)
	cfg.RampUpTime = 0
	return New(0, cfg)
}

func newFIFOPolicy(s scenario) admissionPolicy { return &fifoPolicy{slots: s.slots} }

func floodScenario(deployment scenario, rank string, floodLoad float64, seed uint64) scenario {
	s := deployment
	s.seed, s.newPolicy = seed, newControllerPolicy
	s.floodStart, s.floodEnd, s.end = floodStart, floodEnd, floodEnd+12*time.Second
	s.loads = append([]rankLoad(nil), normalLoads...)
	for i := range s.loads {
		if s.loads[i].rank == rank {
			s.loads[i].floodLoad = floodLoad
		}
	}
	return s
}

// simulateUnloadedP99 returns the p99 latency of the most urgent rank when it is
// the only load, at 5% of the capacity.
func simulateUnloadedP99(deployment scenario, seed uint64) time.Duration {
	s := deployment
	s.seed, s.newPolicy, s.end = seed, newControllerPolicy, 120*time.Second
	s.loads = []rankLoad{{rank: "orders", load: 0.05, deadline: 500 * ms}}
	p := &period{from: 5 * time.Second, to: s.end}
	simulate(s, p)
	return p.ranks["orders"].latencyQuantile(0.99)
}

// floodResult holds the statistics of a scenario during its flood and after the
// recovery time.
type floodResult struct {
	during, after *period
	scenario      scenario
}

func simulateFlood(s scenario) floodResult {
	r := floodResult{scenario: s, during: &period{from: floodStart, to: floodEnd}, after: &period{from: floodEnd + recoveryTime, to: s.end}}
	simulate(s, r.during, r.after)
	return r
}

func (r floodResult) String() string {
	out := fmt.Sprintf("goodput %5.1f%%", 100*r.during.goodput(r.scenario))
	for _, l := range r.scenario.loads {
		stats := r.during.ranks[l.rank]
		out += fmt.Sprintf(" | %s %6.2f%% p99 %4dms slots %5.1f%% late %d refused after %dms", l.rank, 100*stats.onTimeShare(), stats.latencyQuantile(0.99).Milliseconds(), 100*r.during.onTimeSlotShare(r.scenario, l.rank), stats.late, stats.refusedWaitSum.Milliseconds()/int64(max(stats.refused, 1)))
	}
	out += " | after"
	for _, l := range r.scenario.loads {
		out += fmt.Sprintf(" %6.2f%%", 100*r.after.ranks[l.rank].onTimeShare())
	}
	return out
}

// Guards against a flood of the least or of the most urgent rank breaking the
// bounds of design section 2.8, on one server and on the sizes of both sites: in a
// flood of lookups, 99% of the orders meet their deadline and their p99 latency is
// at most twice the unloaded one; checks, and lookups in a flood of orders, get at
// least 90% of their floor; goodput is at least 90% of the capacity; and after the
// recovery time, 99% of each rank's requests meet their deadline.
func TestFloodBounds(t *testing.T) {
	for i, deployment := range deployments {
		p99 := simulateUnloadedP99(deployment, 1)
		t.Logf("%d servers, %d slots, unloaded p99 %v", deployment.servers, deployment.slots, p99)
		for _, flood := range []struct {
			rank string
			load float64
		}{{"lookups", 10}, {"orders", 5}} {
			for seed := uint64(1); seed <= 2; seed++ {
				s := floodScenario(deployment, flood.rank, flood.load, seed)
				r := simulateFlood(s)
				s.newPolicy = newFIFOPolicy
				fifoResult := simulateFlood(s)
				t.Logf("flood of %s, seed %d\n  controller %v\n  fifo       %v", flood.rank, seed, r, fifoResult)
				name := fmt.Sprintf("deployment %d, flood of %s, seed %d", i, flood.rank, seed)
				if flood.rank == "lookups" {
					require.GreaterOrEqual(t, r.during.ranks["orders"].onTimeShare(), 0.99, name)
					require.LessOrEqual(t, r.during.ranks["orders"].latencyQuantile(0.99), 2*p99, name)
					require.GreaterOrEqual(t, r.during.onTimeSlotShare(s, "checks"), 0.9*0.10, name)
				} else {
					require.GreaterOrEqual(t, r.during.onTimeSlotShare(s, "checks"), 0.9*0.10, name)
					require.GreaterOrEqual(t, r.during.onTimeSlotShare(s, "lookups"), 0.9*0.05, name)
				}
				require.GreaterOrEqual(t, r.during.goodput(s), 0.9, name)
				for rank, after := range r.after.ranks {
					require.GreaterOrEqual(t, after.onTimeShare(), 0.99, "%s: %s after the flood", name, rank)
				}
			}
		}
	}
}

// Guards against late or refused requests of the two most urgent ranks at a
// steady load of 90% of the capacity.
func TestSteadyLoad(t *testing.T) {
	for _, deployment := range deployments {
		s := floodScenario(deployment, "", 0, 1)
		for i := range s.loads {
			s.loads[i].load *= 1.5 // in total 0.9 instead of 0.6 of the capacity
		}
		r := simulateFlood(s)
		t.Logf("%d servers, %d slots: %v", deployment.servers, deployment.slots, r)
		for _, l := range s.loads[:2] {
			require.GreaterOrEqual(t, r.during.ranks[l.rank].onTimeShare(), 0.99)
		}
	}
}

// Guards against a concurrency limit that stays at the declared slots although the
// server can run fewer requests concurrently and slows down beyond that.
func TestLimitUnderContention(t *testing.T) {
	s := floodScenario(scenario{servers: 4, slots: 6, meanServiceTime: 20 * ms, realParallelism: 3}, "lookups", 2, 1)
	onTimePerSecond := func(s scenario) float64 {
		r := simulateFlood(s)
		t.Logf("%v", r)
		n := 0
		for _, stats := range r.during.ranks {
			n += stats.onTime
		}
		return float64(n) / (floodEnd - floodStart).Seconds()
	}
	controllerRate := onTimePerSecond(s)
	s.newPolicy = newFIFOPolicy
	fifoRate := onTimePerSecond(s)
	real := float64(s.servers*s.realParallelism) / s.meanServiceTime.Seconds()
	t.Logf("requests on time per second: controller %.0f, FIFO with 6 slots %.0f, real capacity %.0f", controllerRate, fifoRate, real)
	require.Greater(t, controllerRate, 0.75*real)
}

// Guards against refusals of a load that the declared slots can carry, by a limit that
// falls although requests take longer for another reason than their concurrency, such
// as a machine that is short of processor time.
func TestSlowPeriodsWithoutContention(t *testing.T) {
	for seed := range uint64(20) {
		s := floodScenario(scenario{servers: 1, slots: 6, meanServiceTime: 3 * ms}, "", 0, seed)
		s.loads, s.slowFactor = []rankLoad{{rank: "lookups", load: 0.05, deadline: 10 * time.Second}}, 10
		r := simulateFlood(s)
		t.Logf("seed %d: %v", seed, r)
		require.Zero(t, r.during.ranks["lookups"].refused)
	}
}
