package followtree

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fleet is a leader and its hosts, each of which polls the host it follows.
type fleet struct {
	now      time.Duration
	registry *Registry
	leader   string
	hosts    map[string]*member
	order    []*member // in which the hosts poll in the next round
	random   *rand.Rand
	polls    map[string]int // by polled host
}

type member struct {
	Host
	parents   *Parents
	followers *Registry
	dead      bool
	served    bool // its last poll was served
}

func newFleet(hosts, zones int) *fleet { return newFleetWithSeed(hosts, zones, 0) }

// newFleetWithSeed returns a fleet whose hosts poll in an order that depends on seed.
func newFleetWithSeed(hosts, zones int, seed uint64) *fleet {
	f := &fleet{registry: NewRegistry(), leader: "leader", hosts: map[string]*member{}, random: rand.New(rand.NewPCG(seed, 3)), polls: map[string]int{}}
	for i := range hosts {
		h := Host{Incarnation: fmt.Sprint("h", i), Zone: fmt.Sprint("z", i%zones), ProcessorShare: 0.2}
		if i < 3*zones {
			h.ProcessorShare = 0.8
		}
		m := &member{Host: h, parents: NewParents(h.Incarnation), followers: NewRegistry()}
		f.hosts[h.Incarnation] = m
		f.order = append(f.order, m)
	}
	return f
}

// run plays rounds of polls, one a second.
func (f *fleet) run(rounds int) {
	for range rounds {
		f.now += time.Second
		clear(f.polls)
		f.random.Shuffle(len(f.order), func(i, j int) { f.order[i], f.order[j] = f.order[j], f.order[i] })
		for _, m := range f.order {
			if !m.dead {
				f.poll(m)
			}
		}
	}
}

func (f *fleet) poll(m *member) {
	for range 2 * RelaysPerZone {
		parent := m.parents.Next(f.now, f.leader)
		f.polls[parent]++
		m.served = f.answer(parent, m)
		if m.served || parent == f.leader {
			return
		}
		m.parents.RecordFailure(f.now, parent)
	}
}

// answer lets a host serve a poll and reports whether it can. A relay passes on the list
// of relays that the leader gave it.
func (f *fleet) answer(parent string, m *member) bool {
	followers := m.followers.HostCount(f.now) - 1
	if parent == f.leader {
		if parent == "" {
			return false
		}
		f.registry.RecordCall(f.now, m.Host, followers, m.followers.Candidates(f.now))
		m.parents.SetRelays(f.now, parent, f.registry.Relays(f.now, m.Zone))
		return true
	}
	p := f.hosts[parent]
	if p.dead {
		return false
	}
	p.followers.RecordCall(f.now, m.Host, followers, nil)
	m.parents.SetRelays(f.now, p.parents.leader, p.parents.Relays())
	return true
}

func (f *fleet) unserved() (count int) {
	for _, m := range f.hosts {
		if !m.dead && !m.served {
			count++
		}
	}
	return count
}

// Pattern: hundreds of hosts. Guards against a leader whose polls grow with the number of
// hosts, against relays that are few of the strong hosts or overloaded themselves, and
// against a wrong number of hosts, by which they share the retry budget.
func TestLeaderServesOnlyRelays(t *testing.T) {
	for _, hosts := range []int{295, 3000} {
		f := newFleet(hosts, 5)
		f.run(10)
		require.Zero(t, f.unserved())
		require.LessOrEqual(t, f.polls["leader"], 5*RelaysPerZone)
		require.Equal(t, hosts+1, f.registry.HostCount(f.now))
		for id, polls := range f.polls {
			if id != "leader" {
				require.Equal(t, 0.8, f.hosts[id].ProcessorShare, id)
				require.LessOrEqual(t, polls, hosts/5, id)
			}
		}
	}
}

// Guards against a change for deployments in which the leader can serve all.
func TestSmallDeploymentFollowsTheLeader(t *testing.T) {
	f := newFleet(DirectHosts-1, 3)
	f.run(5)
	require.Equal(t, DirectHosts-1, f.polls["leader"])
	require.Len(t, f.polls, 1)
}

// Pattern: a third of the hosts is lost at once, among them relays ("node_cut",
// "herd_kill"). Guards against hosts that stay without a parent, and against zones whose
// lost relays are not replaced.
func TestLostRelaysAreReplaced(t *testing.T) {
	f := newFleet(295, 5)
	f.run(10)
	lost := 0
	for _, m := range f.hosts {
		if m.ProcessorShare == 0.8 || lost < 90 {
			m.dead = true
			lost++
		}
	}
	f.run(1)
	require.Zero(t, f.unserved())
	f.run(15)
	require.Zero(t, f.unserved())
	require.LessOrEqual(t, f.polls["leader"], 5*RelaysPerZone)
	require.Equal(t, 295-lost+1, f.registry.HostCount(f.now))
}

// Pattern: the leader is lost ("node_kill", how leader). Guards against hosts that leave
// their relays: each of them would read the store. Also guards against a new leader that
// names no relays, because it has not heard of all hosts yet: hundreds would turn to it and
// be counted twice.
func TestHostsStayWithRelaysWithoutALeader(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleetWithSeed(295, 5, seed)
		f.run(10)
		f.leader = ""
		f.run(5)
		require.LessOrEqual(t, f.unserved(), 5*RelaysPerZone, "only relays read the store")
		f.leader = "new"
		f.registry = NewRegistry()
		for range 10 {
			f.run(1)
			require.LessOrEqual(t, f.polls["new"], 5*RelaysPerZone)
			require.LessOrEqual(t, f.registry.HostCount(f.now), 296)
		}
		require.Zero(t, f.unserved())
		require.Equal(t, 296, f.registry.HostCount(f.now))
	}
}

// Pattern: all hosts of a large deployment call a new leader. Guards against a selection of
// relays for each call, whose work grows with the square of the hosts: 295 hosts caused
// 330 MB of garbage a second.
func TestHostsThatCallTheLeaderShareASelection(t *testing.T) {
	r := NewRegistry()
	for i := range 3000 {
		r.RecordCall(0, Host{Incarnation: fmt.Sprint("h", i), Zone: fmt.Sprint("z", i%5)}, 0, nil)
	}
	require.Len(t, r.Relays(0, "z1"), RelaysPerZone)
	require.Zero(t, testing.AllocsPerRun(100, func() { r.Relays(0, "z1") }))
}
