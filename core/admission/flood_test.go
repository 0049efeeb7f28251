package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	floodFrom = 8 * time.Second
	floodTo   = 18 * time.Second
	recovery  = 2 * time.Second
)

var (
	baseLoads = []load{
		{rank: "orders", share: 0.3, deadline: 500 * ms},
		{rank: "checks", share: 0.2, deadline: time.Second},
		{rank: "lookups", share: 0.1, deadline: 2 * time.Second},
	}
	sites = []scenario{
		{servers: 1, slots: 6, mean: 20 * ms},
		{servers: 15, slots: 6, mean: 20 * ms},
		{servers: 25, slots: 2, mean: 20 * ms},
	}
)

func newQueue(s scenario) policy {
	cfg := threeRanks(s.slots)
	cfg.RampUpTime = 0
	return New(0, cfg)
}

func newFIFO(s scenario) policy { return &fifo{slots: s.slots} }

func flooded(site scenario, rank string, share float64, seed uint64) scenario {
	s := site
	s.seed, s.policy = seed, newQueue
	s.floodFrom, s.floodTo, s.ends = floodFrom, floodTo, floodTo+12*time.Second
	s.loads = append([]load(nil), baseLoads...)
	for i := range s.loads {
		if s.loads[i].rank == rank {
			s.loads[i].flood = share
		}
	}
	return s
}

// unloadedP99 is the p99 of the top rank alone at 5% of the capacity.
func unloadedP99(site scenario, seed uint64) time.Duration {
	s := site
	s.seed, s.policy, s.ends = seed, newQueue, 120*time.Second
	s.loads = []load{{rank: "orders", share: 0.05, deadline: 500 * ms}}
	p := &period{from: 5 * time.Second, to: s.ends}
	simulate(s, p)
	return p.ranks["orders"].quantile(0.99)
}

type floodResult struct {
	during, after *period
	s             scenario
}

func runFlood(s scenario) floodResult {
	r := floodResult{s: s, during: &period{from: floodFrom, to: floodTo}, after: &period{from: floodTo + recovery, to: s.ends}}
	simulate(s, r.during, r.after)
	return r
}

func (r floodResult) String() string {
	out := fmt.Sprintf("goodput %5.1f%%", 100*r.during.goodput(r.s))
	for _, l := range r.s.loads {
		t := r.during.ranks[l.rank]
		out += fmt.Sprintf(" | %s %6.2f%% p99 %4dms slots %5.1f%% late %d refused after %dms", l.rank, 100*t.completed(), t.quantile(0.99).Milliseconds(), 100*r.during.share(r.s, l.rank), t.late, t.refusedAfter.Milliseconds()/int64(max(t.refused, 1)))
	}
	out += " | after"
	for _, l := range r.s.loads {
		out += fmt.Sprintf(" %6.2f%%", 100*r.after.ranks[l.rank].completed())
	}
	return out
}

// Guards against a flood of casual work or of urgent work breaking the bounds of
// design 2.8, on one server and on the sizes of both sites.
func TestFloodBounds(t *testing.T) {
	for i, site := range sites {
		p99 := unloadedP99(site, 1)
		t.Logf("%d servers, %d slots, unloaded p99 %v", site.servers, site.slots, p99)
		for _, flood := range []struct {
			rank  string
			share float64
		}{{"lookups", 10}, {"orders", 5}} {
			for seed := uint64(1); seed <= 2; seed++ {
				s := flooded(site, flood.rank, flood.share, seed)
				r := runFlood(s)
				s.policy = newFIFO
				plain := runFlood(s)
				t.Logf("flood of %s, seed %d\n  queue %v\n  fifo  %v", flood.rank, seed, r, plain)
				name := fmt.Sprintf("site %d, flood of %s, seed %d", i, flood.rank, seed)
				if flood.rank == "lookups" {
					require.GreaterOrEqual(t, r.during.ranks["orders"].completed(), 0.99, name)
					require.LessOrEqual(t, r.during.ranks["orders"].quantile(0.99), 2*p99, name)
					require.GreaterOrEqual(t, r.during.share(s, "checks"), 0.9*0.10, name)
				} else {
					require.GreaterOrEqual(t, r.during.share(s, "checks"), 0.9*0.10, name)
					require.GreaterOrEqual(t, r.during.share(s, "lookups"), 0.9*0.05, name)
				}
				require.GreaterOrEqual(t, r.during.goodput(s), 0.9, name)
				for rank, after := range r.after.ranks {
					require.GreaterOrEqual(t, after.completed(), 0.99, "%s: %s after the flood", name, rank)
				}
			}
		}
	}
}

// Guards against a policy that costs latency when there is no flood, at 90% load.
func TestSteadyLoad(t *testing.T) {
	for _, site := range sites {
		s := flooded(site, "", 0, 1)
		for i := range s.loads {
			s.loads[i].share *= 1.5
		}
		r := runFlood(s)
		t.Logf("%d servers, %d slots: %v", site.servers, site.slots, r)
		for _, l := range s.loads[:2] {
			require.GreaterOrEqual(t, r.during.ranks[l.rank].completed(), 0.99)
		}
	}
}

// Guards against a limit that follows the declared slots when the server really
// runs fewer requests at a time and slows down beyond that.
func TestLimitUnderContention(t *testing.T) {
	s := flooded(scenario{servers: 4, slots: 6, mean: 20 * ms, parallel: 3}, "lookups", 2, 1)
	onTime := func(s scenario) float64 {
		r := runFlood(s)
		t.Logf("%v", r)
		n := 0
		for _, t := range r.during.ranks {
			n += t.onTime
		}
		return float64(n) / (floodTo - floodFrom).Seconds()
	}
	limited := onTime(s)
	s.policy = newFIFO
	plain := onTime(s)
	real := float64(s.servers*s.parallel) / s.mean.Seconds()
	t.Logf("in time per second: %.0f, plain FIFO with 6 slots %.0f, real capacity %.0f", limited, plain, real)
	require.Greater(t, limited, 0.75*real)
}
