package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/cost"
)

// unevenLoad is a service whose servers and requests differ, and the hosts that send to it.
type unevenLoad struct {
	servers, slots, queue, hosts int
	keyed                        bool    // each server holds a part of the keys by its speed
	rate                         float64 // requests/s
	work                         time.Duration
	spread                       float64       // of the work (lognormal); 2% of the requests take 5 times as long
	speeds                       float64       // factor between the fastest and the slowest server
	paths                        []float64     // factors of the work by path
	unseen                       bool          // hosts don't see the path
	slowShare                    float64       // of the time, in spells of 400 ms at a third of the speed
	hidden                       bool          // the servers don't report their slowdown
	wave                         float64       // amplitude of the rate, in 17 s
	target, wait                 time.Duration // latency target and longest wait at the host
	from, to                     time.Duration // requests that end in this time count
	reversedAt                   time.Duration // fast servers become slow ones, and costly paths cheap ones
	seed                         uint64
}

// The services of docs/hard-load.md.
func intakes() unevenLoad {
	return unevenLoad{servers: 60, slots: 3, queue: 12, hosts: 60, rate: 568, work: 140 * time.Millisecond, spread: 0.5, speeds: 2.6,
		slowShare: 0.2, wave: 0.55, target: 500 * time.Millisecond, wait: 300 * time.Millisecond, from: 30 * time.Second, to: 80 * time.Second, seed: 1}
}

func settlements() unevenLoad {
	l := intakes()
	l.servers, l.rate, l.work, l.target, l.wait = 20, 346, 76*time.Millisecond, 400*time.Millisecond, 240*time.Millisecond
	return l
}

func archives() unevenLoad {
	l := intakes()
	l.servers, l.slots, l.queue, l.rate, l.work, l.speeds, l.target, l.wait = 15, 6, 24, 260, 170*time.Millisecond, 3, 1500*time.Millisecond, 900*time.Millisecond
	return l
}

func lookups() unevenLoad {
	l := intakes()
	l.keyed, l.servers, l.slots, l.queue, l.rate, l.work, l.speeds, l.wave, l.target, l.wait = true, 156, 6, 24, 2041, 225*time.Millisecond, 3, 0.15, 800*time.Millisecond, 480*time.Millisecond
	return l
}

// with returns a changed copy.
func (l unevenLoad) with(change func(*unevenLoad)) unevenLoad { change(&l); return l }

// runningServer executes work and shares its machine with others.
type runningServer struct {
	id      string
	speed   float64
	slow    bool
	spellTo time.Duration
	running []*unevenRequest
	queue   []*unevenRequest
}

type unevenRequest struct {
	host              int
	work              float64
	arrivedAt, sentAt time.Duration
	placement         Placement
}

// unevenResult has the figures of one run.
type unevenResult struct {
	p50, p99      time.Duration // of the served requests
	inTime        float64       // share of all requests
	refused, lost int
	errorRatio    float64 // of one host's estimates
}

func (l unevenLoad) run(mode CostRouting) unevenResult {
	random, works := rand.New(rand.NewPCG(l.seed, 1)), rand.New(rand.NewPCG(l.seed, 2))
	var servers []*runningServer
	var list []Server
	byID := map[string]*runningServer{}
	for i := range l.servers {
		s := &runningServer{id: fmt.Sprint("s", i), speed: math.Pow(l.speeds, 0.5-(float64(i)+0.5)/float64(l.servers))}
		servers, byID[s.id] = append(servers, s), s
		list = append(list, Server{ID: s.id, Zone: "a", Slots: l.slots})
	}
	var holderOf HolderLookup
	if l.keyed {
		holderOf = func(key uint16) (string, time.Duration) { return servers[key].id, 0 }
	}
	var pools []*Pool
	for h := range l.hosts {
		p := NewPool(fmt.Sprint("host", h), "a", holderOf)
		p.SetCostRouting(0, mode)
		p.SetHostCount(l.hosts)
		p.SetServers(0, list)
		pools = append(pools, p)
	}
	var result unevenResult
	var latencies []time.Duration
	submitted, now := 0, time.Duration(0)
	count := func(n *int) {
		if now >= l.from {
			*n++
		}
	}
	load := func(s *runningServer) *Load {
		slowdown := map[bool]int{false: 100, true: 300}[s.slow]
		if l.hidden {
			slowdown = 0
		}
		return &Load{Running: len(s.running), Waiting: len(s.queue), Slots: l.slots, Slowdown: slowdown}
	}
	const step = time.Millisecond
	for now < l.to {
		now += step
		if now == l.reversedAt {
			for i, s := range servers[:len(servers)/2] {
				other := servers[len(servers)-1-i]
				s.speed, other.speed = other.speed, s.speed
			}
			l.paths = slices.Clone(l.paths)
			slices.Reverse(l.paths)
		}
		for _, s := range servers {
			if now >= s.spellTo && l.slowShare > 0 {
				s.slow = !s.slow
				s.spellTo = now + 400*time.Millisecond
				if !s.slow {
					s.spellTo = now + time.Duration(random.ExpFloat64()*float64(400*time.Millisecond)*(1-l.slowShare)/l.slowShare)
				}
			}
			done := s.speed * step.Seconds()
			if s.slow {
				done /= 3
			}
			var ended []*unevenRequest
			s.running = slices.DeleteFunc(s.running, func(r *unevenRequest) bool {
				if r.work -= done; r.work <= 0 {
					ended = append(ended, r)
				}
				return r.work <= 0
			})
			for len(s.queue) > 0 && len(s.running) < l.slots {
				s.running, s.queue = append(s.running, s.queue[0]), s.queue[1:]
			}
			for _, r := range ended {
				if now >= l.from {
					latencies = append(latencies, now-r.arrivedAt)
				}
				pools[r.host].ReportResult(now, s.id, AttemptResult{Outcome: OK, Rank: 1, Latency: now - r.sentAt, Load: load(s), Placement: r.placement})
			}
		}
		rate := l.rate * (1 + l.wave*math.Sin(2*math.Pi*now.Seconds()/17))
		for works.Float64() < rate*step.Seconds() {
			r := &unevenRequest{host: works.IntN(l.hosts), arrivedAt: now, work: l.work.Seconds() * math.Exp(l.spread*works.NormFloat64()-l.spread*l.spread/2)}
			if works.Float64() < 0.02 {
				r.work *= 5
			}
			path := ""
			if n := works.IntN(max(1, len(l.paths))); len(l.paths) > 0 {
				r.work *= l.paths[n]
				path = fmt.Sprint("/", n)
			}
			if l.unseen {
				path = ""
			}
			count(&submitted)
			key := uint16(0)
			for l.keyed {
				if key = uint16(works.IntN(l.servers)); works.Float64() < servers[key].speed/servers[0].speed {
					break
				}
			}
			class := cost.Classify(cost.Features{Route: "r", Method: "POST", Key: path})
			pools[r.host].Submit(now, Request{Rank: 1, Deadline: now + 1200*time.Millisecond, MaxQueueWait: l.wait, Keyed: l.keyed, Key: key, Class: class}, func(d Decision) {
				if d.Reason != "" {
					count(&result.refused)
					return
				}
				s := byID[d.Server.ID]
				r.sentAt, r.placement = now, d.Placement
				switch {
				case len(s.running) < l.slots:
					s.running = append(s.running, r)
				case len(s.queue) < l.queue:
					s.queue = append(s.queue, r)
				default:
					count(&result.lost)
					pools[r.host].ReportResult(now, s.id, AttemptResult{Outcome: ConnectionLost, Rank: 1, Latency: step, Placement: r.placement})
				}
			})
			rate -= 1 / step.Seconds() // further requests in the same step
		}
		if now%dispatchInterval == 0 {
			for _, p := range pools {
				p.Dispatch(now)
			}
		}
	}
	slices.Sort(latencies)
	result.p50, result.p99 = latencies[len(latencies)/2], latencies[len(latencies)*99/100]
	result.inTime = shareWithin(latencies, l.target) * float64(len(latencies)) / float64(submitted)
	s, _, _ := pools[0].TakeCostSummary()
	result.errorRatio = s.ErrorRatio
	return result
}

func (r unevenResult) String() string {
	return fmt.Sprintf("p50 %d ms, p99 %d ms, in time %.3f, refused %d, lost %d, error %.2f", r.p50.Milliseconds(), r.p99.Milliseconds(), r.inTime, r.refused, r.lost, r.errorRatio)
}

// uneven makes one route's requests differ by a factor of 10 by their path, with a mean of
// about l.work.
func uneven(l *unevenLoad) {
	l.paths, l.work, l.spread = []float64{0.3, 0.5, 1, 3}, 117*time.Millisecond, 0.3
}

// Each case guards against placement by cost that serves fewer requests in time, or loses
// more at full servers, than placement by latency and number of requests under the same
// load.
func TestRoutingByCost(t *testing.T) {
	for _, c := range []struct {
		pattern string
		load    unevenLoad
		gain    float64 // least gain of the share in time
	}{
		{"uneven servers, many of them", intakes(), 0.03},
		{"uneven servers, few of them", settlements(), 0.02},
		{"uneven servers with long queues", archives(), 0.005},
		{"uneven servers near their capacity", intakes().with(func(l *unevenLoad) { l.rate *= 1.2 }), 0.05},
		{"overload", settlements().with(func(l *unevenLoad) { l.rate, l.from, l.to = 2*l.rate, 10*time.Second, 40*time.Second }), 0.005},
		{"requests that their path predicts", intakes().with(uneven), 0.04},
		{"paths that predict nothing", intakes().with(func(l *unevenLoad) { l.paths = slices.Repeat([]float64{1}, 500) }), 0.03},
		{"wrong estimates: fast and slow, light and heavy change places", intakes().with(uneven).with(func(l *unevenLoad) {
			l.reversedAt, l.from, l.to = 40*time.Second, 40*time.Second, 57*time.Second
		}), 0},
		{"slowdowns that come and go at even servers", intakes().with(func(l *unevenLoad) { l.speeds, l.slowShare = 1, 0.3 }), 0.04},
		{"cold start of all hosts", intakes().with(func(l *unevenLoad) { l.from, l.to = 0, 10*time.Second }), 0.04},
		{"even servers without slow spells", intakes().with(func(l *unevenLoad) { l.speeds, l.slowShare, l.wave = 1, 0, 0 }), -0.002},
	} {
		t.Run(c.pattern, func(t *testing.T) {
			t.Parallel()
			off, on := c.load.run(CostRoutingOff), c.load.run(CostRoutingAuto)
			t.Logf("off: %s", off)
			t.Logf("on:  %s", on)
			require.Greater(t, on.inTime, off.inTime+c.gain)
			require.LessOrEqual(t, on.lost, off.lost)
			require.Less(t, float64(on.p99), 1.02*float64(off.p99))
		})
	}
}

// Guards against features and reports of slowdowns that are read and have no effect.
func TestWhatCostRoutingLearnsFrom(t *testing.T) {
	seen := intakes().with(uneven)
	with, without := seen.run(CostRoutingAlways), seen.with(func(l *unevenLoad) { l.unseen = true }).run(CostRoutingAlways)
	t.Logf("paths seen: %s; not seen: %s", with, without)
	require.Less(t, with.errorRatio, 0.85*without.errorRatio)

	reported := intakes().with(func(l *unevenLoad) { l.hosts, l.servers, l.rate, l.slowShare, l.speeds = 4, 14, 100, 0.4, 1 })
	with, without = reported.run(CostRoutingAlways), reported.with(func(l *unevenLoad) { l.hidden = true }).run(CostRoutingAlways)
	t.Logf("slowdown reported: %s; not reported: %s", with, without)
	require.Less(t, float64(with.p50), 0.97*float64(without.p50))
}

// Guards against services whose servers don't report a slowdown that get no cost routing
// for requests which cannot be sent again.
func TestCostRoutingStartsWithRequestsThatRunOnce(t *testing.T) {
	for _, c := range []struct {
		mode            CostRouting
		keyed, runsOnce bool
		started         bool
	}{
		{CostRoutingAuto, false, true, true}, {CostRoutingAuto, false, false, false}, {CostRoutingAuto, true, true, false}, {CostRoutingOff, false, true, false},
	} {
		var holder HolderLookup
		if c.keyed {
			holder = func(uint16) (string, time.Duration) { return "s", 0 }
		}
		p := NewPool("h", "a", holder)
		p.SetCostRouting(0, c.mode)
		p.SetServers(0, []Server{{ID: "s", Zone: "a", Slots: 3}})
		p.Submit(0, Request{Deadline: time.Second, MaxQueueWait: time.Second, RunsOnce: c.runsOnce, Keyed: c.keyed}, func(Decision) {})
		require.Equal(t, c.started, p.CostRoutingActive(), "%+v", c)
	}
}

// Guards against a change of services whose servers don't report a slowdown.
func TestCostRoutingWaitsForAReportedSlowdown(t *testing.T) {
	l := settlements()
	l.hidden, l.from, l.to = true, 0, 8*time.Second
	require.Equal(t, l.run(CostRoutingOff), l.run(CostRoutingAuto))
}

// Guards against estimates that decide about keyed requests, which they don't serve better:
// with uneven servers, requests and slow spells, no mode has an effect on services with keys.
func TestCostRoutingLeavesOutServicesWithKeys(t *testing.T) {
	l := lookups().with(uneven).with(func(l *unevenLoad) { l.work, l.from, l.to = 180*time.Millisecond, 0, 8*time.Second })
	off := l.run(CostRoutingOff)
	require.Positive(t, off.refused)
	require.Equal(t, off, l.run(CostRoutingAuto))
	require.Equal(t, off, l.run(CostRoutingAlways))
}
