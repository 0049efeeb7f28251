package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"parsleyrelay.example/core/dispatch"
)

const (
	// step is the resolution of virtual time.
	step = time.Millisecond
	// dispatchInterval is the interval at which the hosts call Pool.Dispatch.
	dispatchInterval = 25 * time.Millisecond
	// rejectionTime is the time from sending a request to its rejection.
	rejectionTime = 4 * time.Millisecond
	// The leader learns of a phase's load within leaderDelay and tells the hosts each
	// leaderInterval.
	leaderDelay    = 700 * time.Millisecond
	leaderInterval = 350 * time.Millisecond
)

// server runs up to slots requests at a time, queues up to maxQueue others and rejects
// the rest. It reports its load with all responses.
type server struct {
	id           string
	slowFactor   float64
	refusedShare float64
	running      int
	queue        []request
}

// request is a request of a caller.
type request struct {
	class, host, server    int
	submittedAt, arrivedAt time.Duration // at the host and at the server
}

// attemptEnd is the end of an attempt, as the host sees it.
type attemptEnd struct {
	request request
	result  dispatch.AttemptResult
}

// route is a pair of host and server.
type route struct{ host, server int }

// Simulation is a run of a scenario with a number of hosts. It is not safe for
// concurrent use.
type Simulation struct {
	scenario   Scenario
	now        time.Duration
	pools      []*dispatch.Pool // by host
	servers    []server
	ends       map[time.Duration][]attemptEnd
	idle       map[route][]time.Duration // connections, by the time of their last use
	random     *rand.Rand
	shareTotal float64 // sum of the classes' shares
	playing    Phase
	phase      PhaseResult
}

// New returns a simulation of the scenario's servers and classes. The error is a
// finding.List with everything that is wrong with the scenario.
func New(s Scenario, hosts int, seed uint64) (*Simulation, error) {
	s.Hosts, s.Seeds = []int{hosts}, []uint64{seed}
	if err := s.Validate().Err(); err != nil {
		return nil, err
	}
	m := &Simulation{scenario: s, random: rand.New(rand.NewPCG(seed, uint64(hosts))),
		ends: map[time.Duration][]attemptEnd{}, idle: map[route][]time.Duration{}}
	for _, c := range s.Classes {
		m.shareTotal += c.Share
	}
	var list []dispatch.Server
	for i := range s.Servers.Count {
		v := server{id: s.Servers.ID, slowFactor: 1}
		if s.Servers.Count > 1 {
			v.id = fmt.Sprint(s.Servers.ID, i)
		}
		if i >= s.Servers.Count-s.Servers.Slow {
			v.slowFactor = s.Servers.SlowFactor
		}
		if i >= s.Servers.Count-s.Servers.Refusing {
			v.refusedShare = s.Servers.RefusedShare
		}
		m.servers = append(m.servers, v)
		list = append(list, dispatch.Server{ID: v.id, Zone: "a", Slots: s.Servers.Slots})
	}
	for i := range hosts {
		p := dispatch.NewPool(fmt.Sprint("h", i), "a", func(key uint16) (string, time.Duration) { return m.servers[key].id, 0 })
		p.SetHostCount(hosts)
		p.SetServers(0, list)
		m.pools = append(m.pools, p)
	}
	return m, nil
}

// Run plays all phases of the scenario with the given number of hosts. The error is a
// finding.List with everything that is wrong with the scenario.
func Run(s Scenario, hosts int, seed uint64) (Result, error) {
	m, err := New(s, hosts, seed)
	if err != nil {
		return Result{}, err
	}
	result := Result{Hosts: hosts, Seed: seed}
	for _, p := range s.Phases {
		result.Phases = append(result.Phases, m.RunPhase(p))
	}
	return result, nil
}

// RunPhase plays a phase after those played before and returns its result. The phase has
// to be valid, see Scenario.Validate.
func (m *Simulation) RunPhase(p Phase) PhaseResult {
	m.playing, m.phase = p, PhaseResult{Phase: p.Name}
	for _, c := range m.scenario.Classes {
		m.phase.Classes = append(m.phase.Classes, ClassResult{Class: c.Name, Rank: c.Rank})
	}
	perStep := m.scenario.serverRate() * step.Seconds()
	start, busySlots := m.now, 0
	for m.now < start+p.Duration {
		m.now += step
		for i := range m.servers {
			busySlots += m.servers[i].running
		}
		m.endAttempts()
		load := p.loadAt(m.now - start)
		for n := m.poisson(load * float64(len(m.servers)) * perStep); n > 0; n-- {
			m.submit(m.pick(len(m.servers)))
		}
		for n := m.poisson(p.HotLoad * perStep); n > 0; n-- {
			m.submit(0)
		}
		if elapsed := m.now - start; elapsed >= leaderDelay && elapsed%leaderInterval == 0 {
			m.setAdmittedShares(load, p.HotLoad)
		}
		if m.now%dispatchInterval == 0 {
			for _, pool := range m.pools {
				pool.Dispatch(m.now)
			}
		}
	}
	m.phase.UsedShare = float64(busySlots) * step.Seconds() / (p.Duration.Seconds() * float64(m.scenario.Servers.Slots*len(m.servers)))
	m.phase.finish()
	return m.phase
}

// setAdmittedShares limits the requests for servers whose demand is above the admitted
// load. Unlike the leader host, it knows the demand.
func (m *Simulation) setAdmittedShares(load, hotLoad float64) {
	shares := map[string]float64{}
	if admitted := m.scenario.AdmittedLoad; admitted > 0 {
		for i, s := range m.servers {
			demand := load
			if i == 0 {
				demand += hotLoad
			}
			if demand > admitted {
				shares[s.id] = admitted / demand
			}
		}
	}
	for _, p := range m.pools {
		p.SetAdmittedShares(m.now, shares)
	}
}

// poisson returns a Poisson-distributed number.
func (m *Simulation) poisson(mean float64) int {
	n, limit := 0, math.Exp(-mean)
	if mean <= 0 {
		return 0
	}
	for product := m.random.Float64(); product > limit; product *= m.random.Float64() {
		n++
	}
	return n
}

// pick returns a random number below n.
func (m *Simulation) pick(n int) int {
	if n == 1 {
		return 0
	}
	return m.random.IntN(n)
}

func (m *Simulation) pickClass() int {
	if len(m.scenario.Classes) == 1 {
		return 0
	}
	x := m.random.Float64() * m.shareTotal
	for i, c := range m.scenario.Classes {
		if x -= c.Share; x < 0 {
			return i
		}
	}
	return len(m.scenario.Classes) - 1
}

// submit hands a request for a key of the server to a random host.
func (m *Simulation) submit(server int) {
	r := request{class: m.pickClass(), host: m.pick(len(m.pools)), server: server, submittedAt: m.now}
	c := m.scenario.Classes[r.class]
	m.phase.Classes[r.class].Submitted++
	m.pools[r.host].Submit(m.now, dispatch.Request{Rank: c.Rank, Deadline: m.now + c.Deadline, MaxQueueWait: c.MaxQueueWait, Keyed: true, Key: uint16(server)}, func(d dispatch.Decision) {
		if d.Reason != "" {
			m.phase.Classes[r.class].RefusedAtHost++
			return
		}
		r.arrivedAt = m.now
		m.arrive(r)
	})
}

func (m *Simulation) arrive(r request) {
	s := &m.servers[r.server]
	m.phase.Classes[r.class].Arrivals++
	m.takeConnection(r)
	switch limits := m.scenario.Servers; {
	case s.refusedShare > 0 && m.random.Float64() < s.refusedShare:
		outcome := dispatch.ServerFull
		if m.load(s).HasShortQueue() {
			outcome = dispatch.RefusedWithoutQueue
		}
		m.reject(r, outcome)
	case s.running < limits.Slots:
		m.start(r)
	case len(s.queue) < limits.MaxQueue:
		s.queue = append(s.queue, r)
	case limits.ResetsWhenFull:
		m.reject(r, dispatch.ConnectionLost)
	default:
		m.reject(r, dispatch.ServerFull)
	}
}

// load returns the load that the server reports.
func (m *Simulation) load(s *server) *dispatch.Load {
	return &dispatch.Load{Running: s.running, Waiting: len(s.queue), Slots: m.scenario.Servers.Slots}
}

func (m *Simulation) reject(r request, o dispatch.Outcome) {
	m.phase.Classes[r.class].Rejected++
	result := dispatch.AttemptResult{Outcome: o, Rank: m.scenario.Classes[r.class].Rank, Latency: rejectionTime}
	if o != dispatch.ConnectionLost {
		result.Load = m.load(&m.servers[r.server])
	}
	m.endAfter(rejectionTime, attemptEnd{request: r, result: result})
}

func (m *Simulation) start(r request) {
	s, c, counts := &m.servers[r.server], m.scenario.Classes[r.class], &m.phase.Classes[r.class]
	slowFactor := s.slowFactor * m.playing.slowdownAt(m.now, r.server, len(m.servers))
	s.running++
	counts.waits = append(counts.waits, m.now-r.submittedAt)
	m.endAfter(time.Duration(slowFactor*float64(c.ServiceTime)), attemptEnd{request: r, result: dispatch.AttemptResult{Outcome: dispatch.OK, Rank: c.Rank}})
}

// endAfter ends an attempt after d, rounded up to a step.
func (m *Simulation) endAfter(d time.Duration, e attemptEnd) {
	at := m.now + max(step, (d+step-1)/step*step)
	m.ends[at] = append(m.ends[at], e)
}

func (m *Simulation) endAttempts() {
	due := m.ends[m.now]
	delete(m.ends, m.now)
	for _, e := range due {
		r, s := e.request, &m.servers[e.request.server]
		if e.result.Outcome == dispatch.OK {
			s.running--
			if len(s.queue) > 0 {
				next := s.queue[0]
				s.queue = slices.Delete(s.queue, 0, 1)
				m.start(next)
			}
			counts := &m.phase.Classes[r.class]
			counts.Served++
			if m.now-r.submittedAt <= m.scenario.Classes[r.class].Target {
				counts.InTime++
			}
			e.result.Load, e.result.Latency = m.load(s), m.now-r.arrivedAt
		}
		if e.result.Outcome != dispatch.ConnectionLost {
			m.idle[route{r.host, r.server}] = append(m.idle[route{r.host, r.server}], m.now)
		}
		m.pools[r.host].ReportResult(m.now, s.id, e.result)
	}
}

// takeConnection takes the connection of the request's host to its server that was used
// last, or counts a new one.
func (m *Simulation) takeConnection(r request) {
	key := route{r.host, r.server}
	open := slices.DeleteFunc(m.idle[key], func(usedAt time.Duration) bool { return m.now-usedAt >= m.scenario.IdleTimeout })
	if len(open) == 0 {
		m.phase.NewConnections++
		m.idle[key] = nil
		return
	}
	m.idle[key] = open[:len(open)-1]
}
