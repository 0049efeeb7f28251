package assignment

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/directory"
	"parsleyrelay.example/core/dispatch"
)

// pauseCost is a service with keys, of which server "1" turns requests away for a while.
// A leader, the servers and the request queues of the hosts run in virtual time.
type pauseCost struct {
	*simulation
	leader     *Leader
	hosts      []*pausingHost
	servers    map[string]*busyServer
	pausedFrom time.Duration
	pause      time.Duration // for which server "1" refuses requests; its answers ask for as much
	threshold  time.Duration // used in place of maxPausedTime; negative for never
	service    time.Duration // mean service time
	load       float64       // of the servers, relative to what they can run
	random     *rand.Rand
	events     map[time.Duration][]func()
	lost       int // requests
	refused    int // attempts
}

type pausingHost struct {
	*dispatch.Pool
	known       *Map
	movingSince map[uint16]time.Duration
	pausedUntil time.Duration // of server "1"
	reported    time.Duration // the same, as the leader knows it
}

// busyServer runs slots requests at a time and refuses those beyond maxQueue waiting ones.
type busyServer struct {
	running int
	queue   []func()
	workOn  map[uint16]int
}

const (
	costStep      = 5 * time.Millisecond
	costSlots     = 6
	costMaxQueue  = 24
	costDeadline  = 1500 * time.Millisecond
	costQueueWait = 480 * time.Millisecond
	costPoll      = 350 * time.Millisecond
)

func newPauseCost(t *testing.T, seed uint64, hosts, servers int) *pauseCost {
	var ids []string
	m := &pauseCost{servers: map[string]*busyServer{}, random: rand.New(rand.NewPCG(seed, 1)), events: map[time.Duration][]func(){}}
	for i := range servers {
		ids = append(ids, strconv.Itoa(i+1))
		m.servers[ids[i]] = &busyServer{workOn: map[uint16]int{}}
	}
	m.simulation = newSimulation(t, ids...)
	m.leader = m.leaderAfterPlacement("a")
	m.leader.SetHostCount(hosts)
	m.writeDelay = 20 * time.Millisecond
	m.callTime = func(c Call) time.Duration { // a release ends with the work on the keys
		if c.Kind == ReleaseCall && m.servers[c.Server.ID].workOn[c.From] > 0 {
			return time.Duration(m.random.ExpFloat64() * float64(m.service))
		}
		return 0
	}
	for i := range hosts {
		h := &pausingHost{}
		h.Pool = dispatch.NewPool(fmt.Sprint("h", i), "a", func(key uint16) (string, time.Duration) {
			if r := h.known.FindRange("stock", key); !r.IsMoving() {
				return r.Owner.ID, 0
			}
			return "", h.movingSince[key]
		})
		h.SetHostCount(hosts)
		m.hosts = append(m.hosts, h)
		m.learnMap(h, m.appendedMap)
		m.setServers(h)
	}
	return m
}

func (m *pauseCost) setServers(h *pausingHost) {
	var list []dispatch.Server
	for id := range m.servers {
		s := dispatch.Server{ID: id, Zone: "a", Slots: costSlots}
		if id == "1" {
			s.PausedUntil = h.pausedUntil
		}
		list = append(list, s)
	}
	h.SetServers(m.now, list)
}

func (m *pauseCost) learnMap(h *pausingHost, learned *Map) {
	since := map[uint16]time.Duration{}
	for _, r := range learned.Services["stock"] {
		if r.IsMoving() {
			if since[r.From] = m.now; h.movingSince[r.From] > 0 {
				since[r.From] = h.movingSince[r.From]
			}
		}
	}
	h.known, h.movingSince = learned, since
	h.Dispatch(m.now)
}

func (m *pauseCost) after(d time.Duration, do func()) {
	at := m.now + max(costStep, d/costStep*costStep)
	m.events[at] = append(m.events[at], do)
}

// userRequest is a request that a caller sends again when a host tells it to.
type userRequest struct {
	key    uint16
	sentAt time.Duration
}

func (m *pauseCost) left(r userRequest) time.Duration { return r.sentAt + costDeadline - m.now }

// send lets a caller send a request to a host, or give up.
func (m *pauseCost) send(r userRequest) {
	if m.left(r) < 2*costStep {
		m.lost++
		return
	}
	m.submit(m.hosts[m.random.IntN(len(m.hosts))], r, costQueueWait)
}

func (m *pauseCost) refuse(r userRequest, retryAfter time.Duration) {
	m.refused++
	m.after(retryAfter, func() { m.send(r) })
}

func (m *pauseCost) submit(h *pausingHost, r userRequest, wait time.Duration) {
	version := h.known.NextOffset
	h.Submit(m.now, dispatch.Request{Rank: 1, Deadline: r.sentAt + costDeadline, MaxQueueWait: min(wait, m.left(r)), Keyed: true, Key: r.key}, func(d dispatch.Decision) {
		if d.Reason != "" {
			m.refuse(r, d.RetryAfter)
			return
		}
		sentAt := m.now
		m.after(costStep, func() { m.arrive(h, d.Server.ID, r, sentAt, version) })
	})
}

// arrive lets a request reach a server.
func (m *pauseCost) arrive(h *pausingHost, id string, r userRequest, sentAt time.Duration, version uint64) {
	s := m.servers[id]
	answer := func(o dispatch.Outcome, load *dispatch.Load) {
		h.ReportResult(m.now, id, dispatch.AttemptResult{Outcome: o, Rank: 1, Latency: m.now - sentAt, Load: load})
	}
	load := func() *dispatch.Load {
		return &dispatch.Load{Running: s.running, Waiting: len(s.queue), Slots: costSlots}
	}
	switch {
	case id == "1" && m.now >= m.pausedFrom && m.now < m.pausedFrom+m.pause:
		until := m.now + m.pause
		m.after(costStep, func() {
			h.pausedUntil = max(h.pausedUntil, (until+99*time.Millisecond)/(100*time.Millisecond)*(100*time.Millisecond))
			m.setServers(h)
			answer(dispatch.ServerFull, nil)
			m.refuse(r, dispatch.RetryAfterRefusal(nil, 0))
		})
	case m.simulation.servers[id].heldUntil[r.key] <= m.now:
		m.after(costStep, func() {
			answer(dispatch.Canceled, nil)
			m.awaitMap(h, r, version, m.now+min(dispatch.MaxHolderWait, m.left(r)/2))
		})
	case s.running == costSlots && len(s.queue) == costMaxQueue:
		full := load()
		m.after(costStep, func() { answer(dispatch.ServerFull, full); m.refuse(r, dispatch.RetryAfterRefusal(full, 0)) })
	default:
		s.workOn[r.key]++
		run := func() {
			s.running++
			m.after(time.Duration(m.random.ExpFloat64()*float64(m.service)), func() {
				s.running--
				s.workOn[r.key]--
				if len(s.queue) > 0 {
					next := s.queue[0]
					s.queue = s.queue[1:]
					next()
				}
				if m.left(r) < 0 {
					m.lost++
				}
				answer(dispatch.OK, load())
			})
		}
		if s.running < costSlots {
			run()
		} else {
			s.queue = append(s.queue, run)
		}
	}
}

// awaitMap sends a request again when its host has a newer map.
func (m *pauseCost) awaitMap(h *pausingHost, r userRequest, version uint64, until time.Duration) {
	switch {
	case h.known.NextOffset != version:
		m.submit(h, r, m.left(r)/2)
	case m.now >= until:
		m.refuse(r, 500*time.Millisecond)
	default:
		m.after(3*costStep, func() { m.awaitMap(h, r, version, until) })
	}
}

// report lets a host tell the leader of its pause.
func (m *pauseCost) report(h *pausingHost) {
	h.reported = 0
	if left := h.pausedUntil - m.now; h == m.hosts[0] || left >= min(time.Second, max(1, m.threshold)) {
		h.reported = h.pausedUntil
	}
	m.after(costPoll, func() { m.report(h) })
}

// tellLeader passes the reported pauses to the leader. They are scaled, so that those of
// threshold empty the server.
func (m *pauseCost) tellLeader() {
	p := directory.Pause{}
	for _, h := range m.hosts {
		if h.reported > m.now {
			p.Hosts, p.Longest = p.Hosts+1, max(p.Longest, h.reported-m.now)
		}
	}
	p.Longest = time.Duration(float64(p.Longest) * float64(maxPausedTime) / float64(max(costStep, m.threshold)))
	if m.leader.SetPauses(map[string]directory.Pause{"1": p}); m.threshold < 0 || p.Hosts == 0 {
		m.leader.SetPauses(nil)
	}
	m.after(300*time.Millisecond, m.tellLeader)
}

// run plays a pause, and returns the lost requests in seconds of the requests for server "1".
func (m *pauseCost) run() float64 {
	perServer := m.load * costSlots / m.service.Seconds()
	begin := m.now
	m.pausedFrom = begin + 2*time.Second
	end := m.pausedFrom + 2*m.pause + 4*time.Second
	for _, h := range m.hosts {
		m.after(time.Duration(m.random.Int64N(int64(costPoll))), func() { m.report(h) })
	}
	m.tellLeader()
	known, keys := m.appendedMap, m.checkedKeys
	for m.now += costStep; m.now < end+costDeadline; m.now += costStep {
		for _, do := range m.events[m.now] {
			do()
		}
		delete(m.events, m.now)
		if (m.now-begin)%tick == 0 {
			m.advance(m.leader)
		}
		if learned := m.appendedMap; learned != known {
			known = learned
			for _, h := range m.hosts {
				m.after(time.Duration(m.random.IntN(20))*time.Millisecond, func() {
					if learned.NextOffset > h.known.NextOffset {
						m.learnMap(h, learned)
					}
				})
			}
		}
		if m.now%(25*time.Millisecond) == 0 {
			for _, h := range m.hosts {
				h.Dispatch(m.now)
			}
		}
		for wait := m.random.ExpFloat64(); m.now < end && wait < perServer*float64(len(m.servers))*costStep.Seconds(); wait += m.random.ExpFloat64() {
			m.send(userRequest{key: keys[m.random.IntN(len(keys))], sentAt: m.now})
		}
	}
	return float64(m.lost) / perServer
}

// Measures what callers lose by a server that asks hosts to wait, by the length of the wait
// and the threshold from which its keys move. PAUSE_COST="20 0.6 50ms" runs it with 20 seeds,
// a load of 0.6 and this mean service time; without it nothing is measured.
func TestCostOfPauses(t *testing.T) {
	const ms = time.Millisecond
	var seeds int
	var load float64
	var service string
	if n, _ := fmt.Sscan(os.Getenv("PAUSE_COST"), &seeds, &load, &service); n < 3 {
		return
	}
	meanService, err := time.ParseDuration(service)
	require.NoError(t, err)
	for _, hosts := range []int{8, 36, 295} {
		for _, pause := range []time.Duration{200 * ms, 500 * ms, 1000 * ms, 2000 * ms, 4000 * ms, 8000 * ms} {
			for _, threshold := range []time.Duration{0, 250 * ms, 500 * ms, 1000 * ms, 2000 * ms, 4000 * ms, -1} {
				lost, refused, moved := 0.0, 0, 0
				for seed := range seeds {
					m := newPauseCost(t, uint64(seed), hosts, 8)
					m.pause, m.threshold, m.load, m.service = pause, threshold, load, meanService
					lost += m.run()
					refused += m.refused
					moved += len(m.leader.TakeCompletedReleases())
				}
				t.Logf("hosts=%d pause=%v threshold=%v lost=%.3fs refused=%d moved=%.2f", hosts, pause, threshold,
					lost/float64(seeds), refused/seeds, float64(moved)/float64(seeds*len(newSimulation(t).checkedKeys)))
			}
		}
	}
}
