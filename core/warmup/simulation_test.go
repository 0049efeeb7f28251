package warmup_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/directory"
	"parsleyrelay.example/core/dispatch"
	"parsleyrelay.example/core/warmup"
)

// simulation runs 60 hosts and one server in virtual time. The server becomes cold at
// coldAt; each host learns of it a little later.
type simulation struct {
	limited  bool // whether requests to the cold server need permits
	now      time.Duration
	events   eventQueue
	random   *rand.Rand
	hosts    []*simulatedHost
	leaders  []*simulatedLeader
	arrivals []arrival // at the server
	refused  int
}

const (
	simulatedLimit = 20
	coldAt         = 3 * time.Second
	simulationEnd  = 14 * time.Second
)

type arrival struct{ sent, arrived time.Duration }

type simulatedLeader struct {
	warmup.Leadership
	lender warmup.Lender
}

type simulatedHost struct {
	*simulation
	rate     float64 // of its clock
	borrower *warmup.Borrower
	pool     *dispatch.Pool
	cold     bool
	joinsAt  time.Duration
	frozen   [2]time.Duration
	// The host freezes when it has a permit in this span, until its end.
	freezesWithPermit [2]time.Duration
	cut               [2]time.Duration // time without contact to the leader
	leader            func() int       // index of the leader that the host calls
}

type event struct {
	at time.Duration
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)        { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (s *simulation) after(d time.Duration, do func()) { heap.Push(&s.events, event{s.now + d, do}) }

func (s *simulation) between(from, to time.Duration) time.Duration {
	return from + time.Duration(s.random.Float64()*float64(to-from))
}

func within(t time.Duration, span [2]time.Duration) bool { return t >= span[0] && t < span[1] }

// clock returns the time by the host's clock.
func (h *simulatedHost) clock() time.Duration {
	return time.Duration(float64(h.now) * h.rate)
}

// after does something at the host, when it is not frozen.
func (h *simulatedHost) after(d time.Duration, do func()) {
	h.simulation.after(d, func() {
		if within(h.now, h.frozen) {
			h.simulation.after(h.frozen[1]-h.now, do)
			return
		}
		do()
	})
}

func (h *simulatedHost) server() dispatch.Server {
	return dispatch.Server{ID: "s", Born: 1, Slots: 12, Cold: h.cold, NeedsPermit: h.cold && h.limited}
}

// Held, Take, GiveBack, SetDemand and Wait implement dispatch.Permits.
func (h *simulatedHost) Held(dispatch.Server) bool { return h.borrower.Held(h.clock(), "s", 1) }

func (h *simulatedHost) Take(dispatch.Server) (time.Duration, bool) {
	return h.borrower.Take(h.clock(), "s", 1)
}

func (h *simulatedHost) GiveBack(_ dispatch.Server, until time.Duration) {
	h.borrower.GiveBack(h.clock(), "s", 1, until)
}

func (h *simulatedHost) SetDemand(_ dispatch.Server, n int) { h.borrower.SetDemand("s", 1, n) }

func (h *simulatedHost) Wait(dispatch.Server) time.Duration { return h.borrower.Wait(h.clock(), "s") }

// start begins the host's work: it takes requests, and calls the leader when it needs permits.
func (h *simulatedHost) start(load func() float64) {
	h.pool.SetServers(h.clock(), []dispatch.Server{h.server()})
	var request, poll func()
	request = func() {
		h.submit()
		h.after(time.Duration(h.random.ExpFloat64()/load()*float64(time.Second)), request)
	}
	poll = func() {
		h.borrow()
		h.pool.Dispatch(h.clock())
		h.after(5*time.Millisecond, poll)
	}
	h.after(time.Duration(h.random.ExpFloat64()/load()*float64(time.Second)), request)
	h.after(h.between(0, 5*time.Millisecond), poll)
}

// learnCold applies a list of servers in which the server is cold.
func (h *simulatedHost) learnCold() {
	h.cold = true
	if h.limited {
		h.borrower.SetCold(h.clock(), []directory.Life{{ID: "s", Born: 1}})
	}
	h.pool.SetServers(h.clock(), []dispatch.Server{h.server()})
}

func (h *simulatedHost) submit() {
	now := h.clock()
	h.pool.Submit(now, dispatch.Request{Rank: h.random.IntN(2), Deadline: now + 2*time.Second, MaxQueueWait: 500 * time.Millisecond, Keyed: true}, func(d dispatch.Decision) {
		if d.Reason != "" {
			h.refused++
			return
		}
		if d.PermitUntil > 0 && within(h.now, h.freezesWithPermit) {
			h.frozen = [2]time.Duration{h.now, h.freezesWithPermit[1]}
		}
		// A connection may have to be opened first.
		h.after(h.between(0, 100*time.Millisecond), func() { h.send(d) })
	})
}

// send writes a request, unless it has no valid permit any more.
func (h *simulatedHost) send(d dispatch.Decision) {
	if h.cold && h.limited && (d.PermitUntil == 0 || h.clock() >= d.PermitUntil) {
		h.pool.ReportResult(h.clock(), "s", dispatch.AttemptResult{Outcome: dispatch.Canceled})
		return
	}
	if !h.cold {
		h.borrower.RecordSend(h.clock(), "s", 1)
	}
	sent, begun := h.now, h.clock()
	h.simulation.after(h.between(time.Millisecond, 5*time.Millisecond), func() {
		h.arrivals = append(h.arrivals, arrival{sent, h.now})
		h.after(50*time.Millisecond, func() {
			h.pool.ReportResult(h.clock(), "s", dispatch.AttemptResult{Outcome: dispatch.OK, Latency: h.clock() - begun, Load: &dispatch.Load{Running: 1, Slots: 12}})
		})
	})
}

// borrow calls the leader if the borrower needs permits.
func (h *simulatedHost) borrow() {
	sentAt := h.clock()
	if at, needed := h.borrower.NextCall(sentAt); !needed || at > sentAt {
		return
	}
	demands, leader := h.borrower.StartCall(sentAt), h.leaders[h.leader()]
	if within(h.now, h.cut) {
		h.after(warmup.Validity, func() { h.borrower.FinishCall(h.clock(), sentAt, false, nil) })
		return
	}
	h.simulation.after(h.between(time.Millisecond, 20*time.Millisecond), func() {
		var grants []warmup.Grant
		lending := leader.MayLend(h.now)
		if lending {
			grants = leader.lender.Lend(h.now, demands, func(string, int64) int { return simulatedLimit })
		}
		h.after(h.between(time.Millisecond, 20*time.Millisecond), func() {
			h.borrower.FinishCall(h.clock(), sentAt, lending, grants)
			h.pool.Dispatch(h.clock())
		})
	})
}

// newSimulation returns a simulation in which the server gets load requests per second from
// all hosts together.
func newSimulation(seed uint64, limited bool, load float64, faults bool) *simulation {
	s := &simulation{limited: limited, random: rand.New(rand.NewPCG(seed, 1))}
	s.leaders = []*simulatedLeader{{Leadership: warmup.Leadership{Leading: true}}, {}}
	const hosts = 60
	for i := range hosts {
		h := &simulatedHost{simulation: s, rate: 0.99 + 0.02*s.random.Float64(), borrower: warmup.NewBorrower(), leader: func() int { return 0 }}
		h.pool = dispatch.NewPool(fmt.Sprint(i), "z", func(uint16) (string, time.Duration) { return "s", 0 })
		h.pool.SetHostCount(hosts)
		h.pool.SetPermits(h)
		s.hosts = append(s.hosts, h)
	}
	// The store confirms the first leader until 7 s. Another host writes the next map then.
	// Hosts learn of that within 5 s, so that both leaders are asked when the second lends.
	const changeAt = 7 * time.Second
	var confirm func()
	confirm = func() {
		if s.now < changeAt || !faults {
			s.leaders[0].ConfirmedAt = s.now
			s.after(100*time.Millisecond, confirm)
		}
	}
	s.after(0, confirm)
	if faults {
		s.after(changeAt, func() {
			s.leaders[1].Leadership = warmup.Leadership{Leading: true, BegunAt: s.now, ConfirmedAt: s.now + time.Hour}
		})
		for _, h := range s.hosts[10:50] {
			h.freezesWithPermit = [2]time.Duration{4500 * time.Millisecond, 6500 * time.Millisecond}
		}
		s.hosts[2].frozen = [2]time.Duration{coldAt - 10*time.Millisecond, coldAt + time.Second}
		s.hosts[3].cut = [2]time.Duration{coldAt + 500*time.Millisecond, 10 * time.Second}
		s.hosts[4].joinsAt = 5 * time.Second
	}
	for _, h := range s.hosts {
		if faults {
			learnsAt := changeAt + s.between(0, 5*time.Second)
			h.leader = func() int {
				if s.now >= learnsAt {
					return 1
				}
				return 0
			}
		}
		s.after(h.joinsAt, func() {
			if h.cold = s.now >= coldAt; h.cold {
				h.learnCold()
			} else {
				h.after(coldAt+s.between(0, 80*time.Millisecond), h.learnCold)
			}
			// Bursts double the load for half a second in each 2 s.
			h.start(func() float64 {
				if s.now%(2*time.Second) < 500*time.Millisecond {
					return 2 * load / hosts
				}
				return load / hosts
			})
		})
	}
	return s
}

func (s *simulation) run() {
	for len(s.events) > 0 && s.events[0].at < simulationEnd {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
}

// mostInASecond returns the largest number of requests that were sent and arrived within a
// second since the server became cold.
func (s *simulation) mostInASecond() (most int, at time.Duration) {
	for _, first := range s.arrivals {
		n := 0
		for _, a := range s.arrivals {
			if first.sent >= coldAt && a.sent >= first.sent && a.arrived <= first.sent+time.Second {
				n++
			}
		}
		if n > most {
			most, at = n, first.sent
		}
	}
	return most, at
}

func (s *simulation) arrivedBetween(from, to time.Duration) (n int) {
	for _, a := range s.arrivals {
		if a.arrived >= from && a.arrived < to {
			n++
		}
	}
	return n
}

// Guards against more requests at a cold server than the limit: at the moment when it becomes
// cold, under bursts, at a change of the leader, by hosts that freeze, lose the leader or
// join. Without the limit the same load exceeds it.
func TestColdServerGetsNoMoreThanTheLimit(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulation(seed, true, 40, true)
		s.run()
		most, at := s.mostInASecond()
		require.LessOrEqual(t, most, simulatedLimit, "seed %d, second from %v", seed, at)
		require.Positive(t, s.arrivedBetween(4*time.Second, 7*time.Second))
		require.Positive(t, s.arrivedBetween(10*time.Second, simulationEnd), "the second leader must lend")

		s = newSimulation(seed, false, 40, true)
		s.run()
		most, _ = s.mostInASecond()
		require.Greater(t, most, simulatedLimit, "the load must exceed the limit without permits")
	}
}

// Guards against a limit that wastes permits. A server gets what the limit allows while there
// are more requests, and nearly all requests while there are fewer.
func TestColdServerGetsWhatTheLimitAllows(t *testing.T) {
	const from, to = coldAt + 2*time.Second, simulationEnd
	allowed := simulatedLimit * (to - from).Seconds() / warmup.LendingInterval.Seconds()
	for seed := range uint64(5) {
		s := newSimulation(seed, true, 40, false)
		s.run()
		got := float64(s.arrivedBetween(from, to)) / allowed
		t.Logf("seed %d: %.3f of what the lender may lend", seed, got)
		require.Greater(t, got, 0.85)

		s = newSimulation(seed, true, 8, false) // 10 requests per second on average
		s.run()
		served := float64(len(s.arrivals)) / float64(len(s.arrivals)+s.refused)
		t.Logf("seed %d: %.3f of the requests served below the limit", seed, served)
		require.Greater(t, served, 0.9)
	}
}
