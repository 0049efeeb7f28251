package admission

import (
	"container/heap"
	"math/rand/v2"
	"sort"
	"strconv"
	"time"
)

// policy is what the simulation drives; Queue and the plain FIFO implement it.
type policy interface {
	Submit(now time.Duration, req Request) []Decision
	Finish(now time.Duration, id uint64, res Result) []Decision
	Tick(now time.Duration) []Decision
}

// fifo is the reference: one queue in order of arrival, bounded in length and
// time like the sum of the rank queues, without ranks, floors or early refusal.
type fifo struct {
	slots, running int
	waiting        []*item
}

func (f *fifo) Submit(now time.Duration, req Request) []Decision {
	if len(f.waiting) >= 3*DefaultMaxQueueLength {
		return []Decision{{Action: ActionRefuse, ID: req.ID}}
	}
	f.waiting = append(f.waiting, &item{Request: req, arrived: now})
	return f.Tick(now)
}

func (f *fifo) Finish(now time.Duration, _ uint64, _ Result) []Decision {
	f.running--
	return f.Tick(now)
}

func (f *fifo) Tick(now time.Duration) (out []Decision) {
	for len(f.waiting) > 0 && f.running < f.slots {
		it := f.waiting[0]
		f.waiting = f.waiting[1:]
		action := ActionRefuse
		if it.Deadline > now && now-it.arrived <= DefaultMaxQueueTime {
			action = ActionDispatch
			f.running++
		}
		out = append(out, Decision{Action: action, ID: it.ID})
	}
	return out
}

// load is the offered load of a rank as a share of the capacity of all servers.
type load struct {
	rank     string
	share    float64
	flood    float64 // share during the flood; 0 means the same
	deadline time.Duration
}

type scenario struct {
	servers, slots           int
	mean                     time.Duration // service time, exponential
	loads                    []load
	floodFrom, floodTo, ends time.Duration
	seed                     uint64
	policy                   func(scenario) policy
	// parallel is what a server really runs in parallel; with n times as many,
	// service times are n*n times as long, so that throughput drops. 0: no limit.
	parallel int
}

type simEvent struct {
	at     time.Duration
	kind   int // 0 arrival, 1 finish, 2 tick
	load   int
	server int
	id     uint64
}

type eventHeap []simEvent

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// tally counts the requests of a rank that arrived in a period.
type tally struct {
	offered, onTime, refused, late int
	work                           time.Duration // slot time of requests that completed in the period, in time
	latencies                      []time.Duration
	refusedAfter                   time.Duration // sum of the waits of refused requests
}

func (t *tally) completed() float64 { return float64(t.onTime) / float64(max(t.offered, 1)) }

func (t *tally) quantile(q float64) time.Duration {
	if len(t.latencies) == 0 {
		return 0
	}
	sort.Slice(t.latencies, func(i, j int) bool { return t.latencies[i] < t.latencies[j] })
	return t.latencies[min(int(q*float64(len(t.latencies))), len(t.latencies)-1)]
}

// period collects the requests that arrive in [from, to).
type period struct {
	from, to time.Duration
	ranks    map[string]*tally
}

func (p *period) goodput(s scenario) float64 {
	var work time.Duration
	for _, t := range p.ranks {
		work += t.work
	}
	return float64(work) / float64(p.to-p.from) / float64(s.servers*s.slots)
}

func (p *period) share(s scenario, rank string) float64 {
	return float64(p.ranks[rank].work) / float64(p.to-p.from) / float64(s.servers*s.slots)
}

type flight struct {
	Request
	load    int
	arrived time.Duration
	service time.Duration
}

type simulation struct {
	scenario
	rng     *rand.Rand
	events  eventHeap
	queues  []policy
	running []int
	flights map[uint64]*flight
	periods []*period
	nextID  uint64
}

// simulate runs a scenario on virtual time and returns one tally per period.
func simulate(s scenario, periods ...*period) {
	sim := &simulation{scenario: s, rng: rand.New(rand.NewPCG(s.seed, 1)), flights: map[uint64]*flight{}, running: make([]int, s.servers), periods: periods}
	for _, p := range periods {
		p.ranks = map[string]*tally{}
		for _, l := range s.loads {
			p.ranks[l.rank] = &tally{}
		}
	}
	for i := range s.servers {
		sim.queues = append(sim.queues, s.policy(s))
		heap.Push(&sim.events, simEvent{kind: 2, server: i})
	}
	for i := range s.loads {
		sim.scheduleArrival(0, i)
	}
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(simEvent)
		sim.handle(e)
	}
}

func (s *simulation) scheduleArrival(now time.Duration, i int) {
	l := s.loads[i]
	share := l.share
	if l.flood > 0 && now >= s.floodFrom && now < s.floodTo {
		share = l.flood
	}
	rate := share * float64(s.servers*s.slots) / float64(s.mean)
	gap := time.Duration(s.rng.ExpFloat64() / rate)
	// A gap that crosses a change of rate is drawn again from the change on,
	// which is exact for Poisson arrivals.
	for _, change := range []time.Duration{s.floodFrom, s.floodTo} {
		if now < change && now+gap >= change {
			heap.Push(&s.events, simEvent{at: change, kind: 3, load: i})
			return
		}
	}
	if now+gap < s.ends {
		heap.Push(&s.events, simEvent{at: now + gap, load: i})
	}
}

func (s *simulation) handle(e simEvent) {
	switch e.kind {
	case 0:
		s.scheduleArrival(e.at, e.load)
		s.nextID++
		l := s.loads[e.load]
		req := Request{ID: s.nextID, Rank: l.rank, Caller: strconv.Itoa(s.rng.IntN(20)), KeyHash: s.rng.Uint64(), Deadline: e.at + l.deadline}
		s.flights[req.ID] = &flight{Request: req, load: e.load, arrived: e.at}
		server := s.rng.IntN(s.servers)
		s.apply(e.at, server, s.queues[server].Submit(e.at, req))
	case 1:
		s.running[e.server]--
		f := s.flights[e.id]
		s.note(e.at, f, false)
		outcome := OutcomeOK
		if e.at > f.Deadline {
			outcome = OutcomeTimeout
		}
		s.apply(e.at, e.server, s.queues[e.server].Finish(e.at, e.id, Result{Outcome: outcome}))
	case 2:
		s.apply(e.at, e.server, s.queues[e.server].Tick(e.at))
		if e.at < s.ends {
			heap.Push(&s.events, simEvent{at: e.at + 10*time.Millisecond, kind: 2, server: e.server})
		}
	case 3:
		s.scheduleArrival(e.at, e.load)
	}
}

func (s *simulation) apply(now time.Duration, server int, decisions []Decision) {
	for _, d := range decisions {
		f := s.flights[d.ID]
		if d.Action != ActionDispatch {
			s.note(now, f, true)
			continue
		}
		s.running[server]++
		f.service = time.Duration(s.rng.ExpFloat64() * float64(s.mean))
		if s.parallel > 0 && s.running[server] > s.parallel {
			over := float64(s.running[server]) / float64(s.parallel)
			f.service = time.Duration(float64(f.service) * over * over)
		}
		heap.Push(&s.events, simEvent{at: now + f.service, kind: 1, server: server, id: d.ID})
	}
}

func (s *simulation) note(now time.Duration, f *flight, refused bool) {
	delete(s.flights, f.ID)
	for _, p := range s.periods {
		if !refused && now <= f.Deadline && p.from <= now && now < p.to {
			p.ranks[f.Rank].work += f.service
		}
		if f.arrived < p.from || f.arrived >= p.to {
			continue
		}
		t := p.ranks[f.Rank]
		t.offered++
		switch {
		case refused:
			t.refused++
			t.refusedAfter += now - f.arrived
		case now > f.Deadline:
			t.late++
		default:
			t.onTime++
		}
		if !refused {
			t.latencies = append(t.latencies, now-f.arrived)
		}
	}
}
