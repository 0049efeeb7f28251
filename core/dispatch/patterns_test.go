package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// hosts returns the pools of n hosts that share the servers and know nothing of
// them yet.
func (s *site) hosts(n int) []*Pool {
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

// Pattern: a server that has just started and is slow. Guards against an even
// share for it while it is cold, and against none.
func TestColdServerGetsLessWork(t *testing.T) {
	list := fakes(5, 4, 100*time.Millisecond)
	list[0].Cold, list[0].work = true, 300*time.Millisecond
	s := newSite(list...)
	random := rand.New(rand.NewPCG(8, 8))
	for s.now < 8*time.Second {
		s.step()
		if random.Float64() < 0.1 {
			s.submit("look", 1, 500*time.Millisecond)
		}
	}
	require.Positive(t, list[0].served)
	require.Less(t, 2*list[0].served, list[1].served)
	require.Greater(t, within(s.results["look"], 500*time.Millisecond), 0.95)
}

// Pattern: every host is back after a loss of power, and all callers return at
// once. Guards against hosts without knowledge that send to the same server.
func TestReturnOfAllHostsSpreadsOverTheServers(t *testing.T) {
	s := newSite(fakes(12, 4, 150*time.Millisecond)...)
	hosts := s.hosts(24)
	arrived := map[string]int{}
	random := rand.New(rand.NewPCG(9, 9))
	for s.now < time.Second {
		s.step()
		for _, p := range hosts {
			if s.now == time.Millisecond || random.Float64() < 0.008 {
				s.submitTo(p, job{kind: "look", rank: 1}, 300*time.Millisecond)
			}
			if s.now%checkEvery == 0 {
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
	require.Greater(t, within(s.results["look"], 600*time.Millisecond), 0.95)
}

// burst sends long requests of a low rank at 1.6 times what the servers take
// beside short urgent ones, and returns the share of urgent requests in time.
func burst(submit func(s *site, hosts []*Pool, kind string, work time.Duration)) float64 {
	s := newSite(fakes(6, 6, 0)...)
	hosts := s.hosts(6)
	random := rand.New(rand.NewPCG(10, 10))
	for s.now < 8*time.Second {
		s.step()
		if random.Float64() < 0.144 { // 90 a second can be served
			submit(s, hosts, "browse", 400*time.Millisecond)
		}
		if random.Float64() < 0.03 {
			submit(s, hosts, "quote", 80*time.Millisecond)
		}
		for _, p := range hosts {
			if s.now%checkEvery == 0 {
				p.Dispatch(s.now)
			}
		}
	}
	inTime := 0
	for _, d := range s.results["quote"] {
		if d <= 400*time.Millisecond {
			inTime++
		}
	}
	return float64(inTime) / float64(len(s.results["quote"])+s.refused["quote"])
}

// Pattern: a burst of one kind at 1.6 times what the servers take. Compares with
// requests that go to any server in the order of their arrival, and guards
// against ranks that do not help urgent requests against those.
func TestRanksBeatFirstComeFirstServed(t *testing.T) {
	random := rand.New(rand.NewPCG(11, 11))
	ranked := burst(func(s *site, hosts []*Pool, kind string, work time.Duration) {
		j := job{kind: kind, work: work, rank: 2}
		patience := time.Second
		if kind == "quote" {
			j.rank, patience = 0, 240*time.Millisecond
		}
		s.submitTo(hosts[random.IntN(len(hosts))], j, patience)
	})
	inOrder := burst(func(s *site, hosts []*Pool, kind string, work time.Duration) {
		f := s.servers[fmt.Sprint("s", random.IntN(len(s.servers)))]
		p := hosts[0]
		p.send(p.servers[f.ID])
		s.arrive(f, job{kind: kind, work: work, host: p, began: s.now, sent: s.now})
	})
	t.Logf("urgent requests in time: %.2f by rank, %.2f in order of arrival", ranked, inOrder)
	require.Greater(t, ranked, 0.85)
	require.Greater(t, ranked, inOrder+0.3)
}
