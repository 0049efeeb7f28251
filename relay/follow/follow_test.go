package follow

import (
	"context"
	"io"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/api/followv1"
	"parsleyrelay.example/core/assignment"
	"parsleyrelay.example/core/directory"
	"parsleyrelay.example/core/routes"
	"parsleyrelay.example/relay/edge"
	"parsleyrelay.example/relay/telemetry"
)

// beliefs are those of a following host.
type beliefs struct {
	mu        sync.Mutex
	leader    string
	addresses map[string]string
	config    uint64
	servers   map[string]directory.Server
	m         *assignment.Map
	hosts     int
	report    edge.LoadReport
}

func (b *beliefs) get(f func()) { b.mu.Lock(); defer b.mu.Unlock(); f() }

func (b *beliefs) ConfigVersion() (v uint64)      { b.get(func() { v = b.config }); return v }
func (b *beliefs) NewestMap() (m *assignment.Map) { b.get(func() { m = b.m }); return m }
func (b *beliefs) MapLeader() (leader string)     { b.get(func() { leader = b.leader }); return leader }
func (b *beliefs) AddressOf(incarnation string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.addresses[incarnation]
}
func (b *beliefs) ApplyConfig(c routes.Config)  { b.get(func() { b.config = c.Version }) }
func (b *beliefs) ObserveMap(m *assignment.Map) { b.get(func() { b.m = m }) }
func (b *beliefs) SetHostCount(n int)           { b.get(func() { b.hosts = n }) }
func (b *beliefs) TakeLoadReport() (r edge.LoadReport) {
	b.get(func() { r, b.report = b.report, edge.LoadReport{} })
	return r
}
func (b *beliefs) ReplaceServers(s map[string]directory.Server) {
	b.get(func() {
		b.servers = map[string]directory.Server{}
		for id, v := range s {
			b.servers[id] = v
		}
	})
}

func server(id string) directory.Server {
	return directory.Server{ID: id, Born: 7, Service: "s", Address: "a", Zone: "z", Slots: 2}
}

func ranges(owner string) map[string][]assignment.Range {
	return map[string][]assignment.Range{"s": {{From: 0, To: 9, Owner: assignment.ServerIncarnation{ID: owner}}, {From: 10, To: 65535, Owner: assignment.ServerIncarnation{ID: "1"}, GrantPending: true}}}
}

type leaderHost struct {
	source  *Source
	mu      sync.Mutex
	leading bool
	reports []edge.LoadReport
	heard   map[string]uint64
}

func (l *leaderHost) Leading() bool { l.mu.Lock(); defer l.mu.Unlock(); return l.leading }

func (l *leaderHost) RecordLoadReport(r edge.LoadReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports = append(l.reports, r)
}

func (l *leaderHost) RecordKnownMap(incarnation string, end uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard[incarnation] = end
}

func startLeader(t *testing.T) (*leaderHost, *beliefs, *Follower) {
	l := &leaderHost{leading: true, heard: map[string]uint64{}}
	l.source = NewSource("leader", l, func() string { return "" })
	h := httptest.NewServer(followv1.NewLeaderServer(l.source))
	t.Cleanup(h.Close)
	b := &beliefs{leader: "leader", addresses: map[string]string{"leader": h.Listener.Addr().String()}}
	journal := telemetry.NewJournal(io.Discard, "f", "z")
	f := NewFollower("follower", b, journal)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done; journal.Close() })
	return l, b, f
}

// Guards against followers that miss a change, or apply a difference to the wrong
// map.
func TestFollowerLearnsWhatChanges(t *testing.T) {
	l, b, f := startLeader(t)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
				l.source.RecordStoreContact()
			}
		}
	}()
	require.NoError(t, l.source.SetConfig(routes.Config{Version: 3}))
	l.source.SetServers(map[string]directory.Server{"1": server("1"), "2": server("2")})
	l.source.SetMap(&assignment.Map{Offset: 1, NextOffset: 2, Term: 1, Services: ranges("1")})
	eventually := func(what string, f func() bool) {
		require.Eventually(t, func() (ok bool) { b.get(func() { ok = f() }); return ok }, 2*time.Second, 5*time.Millisecond, what)
	}
	eventually("configuration", func() bool { return b.config == 3 })
	eventually("servers", func() bool { return len(b.servers) == 2 && b.servers["1"] == server("1") })
	eventually("map", func() bool { return b.m != nil && b.m.NextOffset == 2 })
	require.Eventually(t, func() bool { return f.SinceLastContact() < MaxContactAge }, 2*time.Second, 5*time.Millisecond)

	l.source.SetServers(map[string]directory.Server{"2": server("2"), "3": server("3")})
	next := &assignment.Map{Offset: 2, NextOffset: 3, Term: 1, Sequence: 1, Services: ranges("2")}
	l.source.SetMap(next)
	eventually("a removed and a new server", func() bool { _, gone := b.servers["1"]; return !gone && len(b.servers) == 2 })
	eventually("difference", func() bool { return b.m.NextOffset == 3 })
	require.Equal(t, next.Services, b.NewestMap().Services)
	require.Eventually(t, func() bool { l.mu.Lock(); defer l.mu.Unlock(); return l.heard["follower"] == 3 }, 2*time.Second, 5*time.Millisecond)
	eventually("hosts", func() bool { return b.hosts == 2 })

	b.get(func() {
		b.report = edge.LoadReport{RequestedKeys: map[string][]uint16{"s": {4, 4}}, ServiceTimes: map[string]edge.ServiceTime{"1": {Count: 2, Sum: time.Second}}}
	})
	require.Eventually(t, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.reports) == 1 && len(l.reports[0].RequestedKeys["s"]) == 2 && l.reports[0].ServiceTimes["1"].Sum == time.Second
	}, 2*time.Second, 5*time.Millisecond)
}

// Guards against hosts that rely on a leader which does not lead any more, or which
// has lost the store.
func TestStaleLeaderCountsAsSilent(t *testing.T) {
	l, _, f := startLeader(t)
	l.source.RecordStoreContact()
	require.Eventually(t, func() bool { return f.SinceLastContact() < MaxContactAge/2 }, 2*time.Second, 5*time.Millisecond)
	// No further contact with the store.
	require.Eventually(t, func() bool { return f.SinceLastContact() > MaxContactAge }, 2*MaxContactAge+callWait+500*time.Millisecond, 10*time.Millisecond)

	l.source.RecordStoreContact()
	require.Eventually(t, func() bool { return f.SinceLastContact() < MaxContactAge/2 }, 2*time.Second, 5*time.Millisecond)
	l.mu.Lock()
	l.leading = false
	l.mu.Unlock()
	require.Eventually(t, func() bool { return f.SinceLastContact() > MaxContactAge }, MaxContactAge+callWait+500*time.Millisecond, 10*time.Millisecond)
}

// Guards against a host that follows a leader of the past because it lost the
// store at the moment at which the leader changed, though it reaches hosts that
// hear the new one.
func TestHostWithoutStoreLearnsTheLeaderFromAnotherHost(t *testing.T) {
	former, b, f := startLeader(t)
	eventually := func(what string, ok func() bool) {
		t.Helper()
		require.Eventually(t, ok, 2*MaxContactAge+2*time.Second, 5*time.Millisecond, what)
	}
	newLeader := &leaderHost{leading: true, heard: map[string]uint64{}}
	newLeader.source = NewSource("new", newLeader, func() string { return "" })
	newLeader.source.SetMap(&assignment.Map{Offset: 1, NextOffset: 2, Term: 2, Leader: "new", Services: ranges("1")})
	other := &leaderHost{heard: map[string]uint64{}}
	var hears atomic.Value
	hears.Store("")
	other.source = NewSource("other", other, func() string { return hears.Load().(string) })
	for name, source := range map[string]*Source{"new": newLeader.source, "other": other.source} {
		h := httptest.NewServer(followv1.NewLeaderServer(source))
		t.Cleanup(h.Close)
		b.get(func() { b.addresses[name] = h.Listener.Addr().String() })
	}
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
				newLeader.source.RecordStoreContact()
				if former.Leading() {
					former.source.RecordStoreContact()
				}
			}
		}
	}()
	// The follower learns of the other host from the former leader.
	_, err := former.source.Follow(context.Background(), &followv1.FollowRequest{Host: "other"})
	require.NoError(t, err)
	eventually("the former leader is heard", func() bool { return f.CurrentLeader() == "leader" })
	time.Sleep(2 * callWait)
	hears.Store("new")
	former.mu.Lock()
	former.leading = false
	former.mu.Unlock()
	eventually("the new leader is heard", func() bool { return f.CurrentLeader() == "new" })
	eventually("its map is known", func() bool { m := b.NewestMap(); return m != nil && m.Term == 2 })

	// The named leader ends and the former one is back, with no newer map and
	// nobody else to ask.
	hears.Store("")
	newLeader.mu.Lock()
	newLeader.leading = false
	newLeader.mu.Unlock()
	former.mu.Lock()
	former.leading = true
	former.mu.Unlock()
	eventually("the former leader is heard again", func() bool { return f.CurrentLeader() == "leader" })
}
