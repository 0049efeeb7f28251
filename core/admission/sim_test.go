package admission

import (
	"container/heap"
	"math/rand/v2"
	"sort"
	"strconv"
	"time"
)

// admissionPolicy is what the simulation tests; Controller and fifoPolicy
// implement it.
type admissionPolicy interface {
	Submit(now time.Duration, req Request) []Decision
	Finish(now time.Duration, id uint64, res Result) []Decision
	Tick(now time.Duration) []Decision
}

// fifoPolicy is the baseline: one queue in order of arrival, bounded in length
// and time like the three rank queues together, without ranks, floors or early
// refusal.
type fifoPolicy struct {
	slots, running int
	queued         []*trackedRequest
}

func (f *fifoPolicy) Submit(now time.Duration, req Request) []Decision {
	if len(f.queued) >= 3*DefaultMaxQueueLength {
		return []Decision{{Action: ActionRefuse, ID: req.ID}}
	}
	f.queued = append(f.queued, &trackedRequest{Request: req, arrivedAt: now})
	return f.Tick(now)
}

func (f *fifoPolicy) Finish(now time.Duration, _ uint64, _ Result) []Decision {
	f.running--
	return f.Tick(now)
}

func (f *fifoPolicy) Tick(now time.Duration) (out []Decision) {
	for len(f.queued) > 0 && f.running < f.slots {
		tr := f.queued[0]
		f.queued = f.queued[1:]
		action := ActionRefuse
		if tr.Deadline > now && now-tr.arrivedAt <= DefaultMaxQueueTime {
			action = ActionDispatch
			f.running++
		}
		out = append(out, Decision{Action: action, ID: tr.ID})
	}
	return out
}

// rankLoad is the offered load of a rank as a multiple of the capacity of all
// servers.
type rankLoad struct {
	rank      string
	load      float64
	floodLoad float64 // during the flood; 0 means the same as load
	deadline  time.Duration
}

// scenario describes one run of the simulation.
type scenario struct {
	servers, slots            int
	meanServiceTime           time.Duration // of exponentially distributed service times
	loads                     []rankLoad
	floodStart, floodEnd, end time.Duration
	seed                      uint64
	newPolicy                 func(scenario) admissionPolicy
	// realParallelism is the number of requests that a server can run without
	// contention; with n times as many, service times are n*n times as long, so
	// that throughput drops. 0 means no contention at any number.
	realParallelism int
	// slowFactor lengthens service times whatever the number of running requests, in
	// every other period of 4 s. 0 means never.
	slowFactor float64
}

type simEvent struct {
	at        time.Duration
	kind      int // 0 arrival, 1 finish, 2 tick, 3 change of the arrival rate
	loadIndex int
	server    int
	id        uint64
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

// rankStats holds the statistics of a rank's requests that arrived in a period;
// onTimeSlotTime is of those that completed in it.
type rankStats struct {
	offered, onTime, refused, late int
	onTimeSlotTime                 time.Duration // slot time of requests that completed within the period and by their deadline
	latencies                      []time.Duration
	refusedWaitSum                 time.Duration // time from arrival to refusal, over all refused requests
}

func (s *rankStats) onTimeShare() float64 { return float64(s.onTime) / float64(max(s.offered, 1)) }

func (s *rankStats) latencyQuantile(q float64) time.Duration {
	if len(s.latencies) == 0 {
		return 0
	}
	sort.Slice(s.latencies, func(i, j int) bool { return s.latencies[i] < s.latencies[j] })
	return s.latencies[min(int(q*float64(len(s.latencies))), len(s.latencies)-1)]
}

// period holds the statistics of the time [from, to).
type period struct {
	from, to time.Duration
	ranks    map[string]*rankStats
}

// goodput returns the slot time of requests that completed by their deadline, as a
// share of the slot time of all servers.
func (p *period) goodput(s scenario) float64 {
	var slotTime time.Duration
	for _, stats := range p.ranks {
		slotTime += stats.onTimeSlotTime
	}
	return float64(slotTime) / float64(p.to-p.from) / float64(s.servers*s.slots)
}

// onTimeSlotShare is the goodput of one rank.
func (p *period) onTimeSlotShare(s scenario, rank string) float64 {
	return float64(p.ranks[rank].onTimeSlotTime) / float64(p.to-p.from) / float64(s.servers*s.slots)
}

// simRequest is a request that is queued or running.
type simRequest struct {
	Request
	loadIndex   int
	arrivedAt   time.Duration
	serviceTime time.Duration
}

type simulation struct {
	scenario
	rng      *rand.Rand
	events   eventHeap
	queues   []admissionPolicy
	running  []int
	requests map[uint64]*simRequest
	periods  []*period
	nextID   uint64
}

// simulate runs a scenario on virtual time and fills in the statistics of the
// periods.
func simulate(s scenario, periods ...*period) {
	sim := &simulation{scenario: s, rng: rand.New(rand.NewPCG(s.seed, 1)), requests: map[uint64]*simRequest{}, running: make([]int, s.servers), periods: periods}
	for _, p := range periods {
		p.ranks = map[string]*rankStats{}
		for _, l := range s.loads {
			p.ranks[l.rank] = &rankStats{}
		}
	}
	for i := range s.servers {
		sim.queues = append(sim.queues, s.newPolicy(s))
		heap.Push(&sim.events, simEvent{kind: 2, server: i})
	}
	for i := range s.loads {
		sim.scheduleArrival(0, i)
	}
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(simEvent)
		sim.handleEvent(e)
	}
}

func (s *simulation) scheduleArrival(now time.Duration, loadIndex int) {
	l := s.loads[loadIndex]
	load := l.load
	if l.floodLoad > 0 && now >= s.floodStart && now < s.floodEnd {
		load = l.floodLoad
	}
	rate := load * float64(s.servers*s.slots) / float64(s.meanServiceTime)
	gap := time.Duration(s.rng.ExpFloat64() / rate)
	// When the arrival rate changes before the next arrival, the gap is drawn
	// again at the change. For Poisson arrivals this is exact, since they are
	// memoryless.
	for _, change := range []time.Duration{s.floodStart, s.floodEnd} {
		if now < change && now+gap >= change {
			heap.Push(&s.events, simEvent{at: change, kind: 3, loadIndex: loadIndex})
			return
		}
	}
	if now+gap < s.end {
		heap.Push(&s.events, simEvent{at: now + gap, loadIndex: loadIndex})
	}
}

func (s *simulation) handleEvent(e simEvent) {
	switch e.kind {
	case 0:
		s.scheduleArrival(e.at, e.loadIndex)
		s.nextID++
		l := s.loads[e.loadIndex]
		req := Request{ID: s.nextID, Rank: l.rank, Caller: strconv.Itoa(s.rng.IntN(20)), KeyHash: s.rng.Uint64(), Deadline: e.at + l.deadline}
		s.requests[req.ID] = &simRequest{Request: req, loadIndex: e.loadIndex, arrivedAt: e.at}
		server := s.rng.IntN(s.servers)
		s.applyDecisions(e.at, server, s.queues[server].Submit(e.at, req))
	case 1:
		s.running[e.server]--
		req := s.requests[e.id]
		s.recordEnd(e.at, req, false)
		outcome := OutcomeOK
		if e.at > req.Deadline {
			outcome = OutcomeTimeout
		}
		s.applyDecisions(e.at, e.server, s.queues[e.server].Finish(e.at, e.id, Result{Outcome: outcome}))
	case 2:
		s.applyDecisions(e.at, e.server, s.queues[e.server].Tick(e.at))
		if e.at < s.end {
			heap.Push(&s.events, simEvent{at: e.at + 10*time.Millisecond, kind: 2, server: e.server})
		}
	case 3:
		s.scheduleArrival(e.at, e.loadIndex)
	}
}

func (s *simulation) applyDecisions(now time.Duration, server int, decisions []Decision) {
	for _, d := range decisions {
		req := s.requests[d.ID]
		if d.Action != ActionDispatch {
			s.recordEnd(now, req, true)
			continue
		}
		s.running[server]++
		req.serviceTime = time.Duration(s.rng.ExpFloat64() * float64(s.meanServiceTime))
		if s.realParallelism > 0 && s.running[server] > s.realParallelism {
			excess := float64(s.running[server]) / float64(s.realParallelism)
			req.serviceTime = time.Duration(float64(req.serviceTime) * excess * excess)
		}
		if s.slowFactor > 0 && now/(4*time.Second)%2 == 1 {
			req.serviceTime = time.Duration(float64(req.serviceTime) * s.slowFactor)
		}
		heap.Push(&s.events, simEvent{at: now + req.serviceTime, kind: 1, server: server, id: d.ID})
	}
}

func (s *simulation) recordEnd(now time.Duration, req *simRequest, refused bool) {
	delete(s.requests, req.ID)
	for _, p := range s.periods {
		if !refused && now <= req.Deadline && p.from <= now && now < p.to {
			p.ranks[req.Rank].onTimeSlotTime += req.serviceTime
		}
		if req.arrivedAt < p.from || req.arrivedAt >= p.to {
			continue
		}
		stats := p.ranks[req.Rank]
		stats.offered++
		switch {
		case refused:
			stats.refused++
			stats.refusedWaitSum += now - req.arrivedAt
		case now > req.Deadline:
			stats.late++
		default:
			stats.onTime++
		}
		if !refused {
			stats.latencies = append(stats.latencies, now-req.arrivedAt)
		}
	}
}
