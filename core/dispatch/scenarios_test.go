package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newHostPools returns the pools of n hosts that share the servers and have no load
// reports yet.
func (s *simulation) newHostPools(n int) []*Pool {
	var list []Server
	for _, f := range s.servers {
		list = append(list, f.Server)
	}
	var pools []*Pool
	for h := range n {
		p := NewPool(fmt.Sprint("host", h), "a", nil)
		p.SetServers(s.now, list)
		pools = append(pools, p)
	}
	return pools
}

// Scenario: one server has just started and is still slow. Guards against sending it
// as many requests as the others, and against sending it none.
func TestColdServerGetsFewerRequests(t *testing.T) {
	list := newFakeServers(5, 4, 100*time.Millisecond)
	list[0].Cold, list[0].serviceTime = true, 300*time.Millisecond
	s := newSimulation(list...)
	random := rand.New(rand.NewPCG(8, 8))
	for s.now < 8*time.Second {
		s.step()
		if random.Float64() < 0.1 {
			s.submit("look", 1, 500*time.Millisecond)
		}
	}
	require.Positive(t, list[0].served)
	require.Less(t, 2*list[0].served, list[1].served)
	require.Greater(t, shareWithin(s.responseTimes["look"], 500*time.Millisecond), 0.95)
}

// Scenario: all hosts restart after a power failure, and all callers return at once.
// Guards against hosts without load reports that all send to the same server.
func TestRestartOfAllHostsSpreadsOverTheServers(t *testing.T) {
	s := newSimulation(newFakeServers(12, 4, 150*time.Millisecond)...)
	hosts := s.newHostPools(24)
	arrived := map[string]int{}
	random := rand.New(rand.NewPCG(9, 9))
	for s.now < time.Second {
		s.step()
		for _, p := range hosts {
			if s.now == time.Millisecond || random.Float64() < 0.008 {
				s.submitTo(p, simulatedRequest{kind: "look", rank: 1}, 300*time.Millisecond)
			}
			if s.now%dispatchInterval == 0 {
				p.Dispatch(s.now)
			}
		}
	}
	total, most := 0, 0
	for id, f := range s.servers {
		arrived[id] = f.served + f.running + len(f.queue)
		total += arrived[id]
		most = max(most, arrived[id])
	}
	require.Less(t, float64(most), 2*float64(total)/12, "%v", arrived)
	require.Greater(t, shareWithin(s.responseTimes["look"], 600*time.Millisecond), 0.95)
}

// urgentShareInTime submits long requests of low urgency at 1.6 times the capacity of
// the servers, and short urgent requests. It returns the share of the urgent requests
// that are served in time.
func urgentShareInTime(submit func(s *simulation, hosts []*Pool, kind string, serviceTime time.Duration)) float64 {
	s := newSimulation(newFakeServers(6, 6, 0)...)
	hosts := s.newHostPools(6)
	random := rand.New(rand.NewPCG(10, 10))
	for s.now < 8*time.Second {
		s.step()
		if random.Float64() < 0.144 { // 144 requests/s; the capacity is 90 requests/s
			submit(s, hosts, "browse", 400*time.Millisecond)
		}
		if random.Float64() < 0.03 {
			submit(s, hosts, "quote", 80*time.Millisecond)
		}
		for _, p := range hosts {
			if s.now%dispatchInterval == 0 {
				p.Dispatch(s.now)
			}
		}
	}
	inTime := 0
	for _, responseTime := range s.responseTimes["quote"] {
		if responseTime <= 400*time.Millisecond {
			inTime++
		}
	}
	return float64(inTime) / float64(len(s.responseTimes["quote"])+s.refused["quote"])
}

// Scenario: a burst of one kind of request at 1.6 times the capacity of the servers.
// Guards against scheduling by rank that serves no more urgent requests in time than
// a random choice of server with queues in order of arrival.
func TestRanksBeatFirstComeFirstServed(t *testing.T) {
	random := rand.New(rand.NewPCG(11, 11))
	byRank := urgentShareInTime(func(s *simulation, hosts []*Pool, kind string, serviceTime time.Duration) {
		request := simulatedRequest{kind: kind, serviceTime: serviceTime, rank: 2}
		maxQueueWait := time.Second
		if kind == "quote" {
			request.rank, maxQueueWait = 0, 240*time.Millisecond
		}
		s.submitTo(hosts[random.IntN(len(hosts))], request, maxQueueWait)
	})
	firstComeFirstServed := urgentShareInTime(func(s *simulation, hosts []*Pool, kind string, serviceTime time.Duration) {
		f := s.servers[fmt.Sprint("s", random.IntN(len(s.servers)))]
		p := hosts[0]
		p.assign(s.now, p.servers[f.ID], &queuedRequest{})
		s.deliver(f, simulatedRequest{kind: kind, serviceTime: serviceTime, pool: p, arrivedAt: s.now, sentAt: s.now})
	})
	t.Logf("urgent requests in time: %.2f by rank, %.2f in order of arrival", byRank, firstComeFirstServed)
	require.Greater(t, byRank, 0.85)
	require.Greater(t, byRank, firstComeFirstServed+0.3)
}
