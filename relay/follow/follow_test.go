package follow

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/api/followv1"
	"parsleyrelay.example/core/assignment"
	"parsleyrelay.example/core/directory"
	"parsleyrelay.example/core/followtree"
	"parsleyrelay.example/core/routes"
	"parsleyrelay.example/relay/edge"
	"parsleyrelay.example/relay/upstream"
)

// followerState keeps the state of a follower's host in memory. It implements HostState.
type followerState struct {
	mu           sync.Mutex
	leader       string
	addresses    map[string]string
	config       routes.Config
	configOffset uint64
	servers      map[string]directory.Server
	signals      []directory.Signal
	newestMap    *assignment.Map
	hostCount    int
	admitted     map[string]float64
	report       edge.LoadReport
	evacuated    []string
}

func (state *followerState) locked(f func()) { state.mu.Lock(); defer state.mu.Unlock(); f() }

func (state *followerState) Config() (c routes.Config) {
	state.locked(func() { c = state.config })
	return c
}
func (state *followerState) NewestMap() (m *assignment.Map) {
	state.locked(func() { m = state.newestMap })
	return m
}
func (state *followerState) MapLeader() (leader string) {
	state.locked(func() { leader = state.leader })
	return leader
}
func (state *followerState) AddressOf(incarnation string) string {
	state.mu.Lock()
	defer state.mu.Unlock()
	return state.addresses[incarnation]
}
func (state *followerState) ApplyConfig(c routes.Config, _ Origin) {
	state.locked(func() { state.config = c })
}
func (state *followerState) RecordConfigOffset(offset uint64) {
	state.locked(func() { state.configOffset = offset })
}
func (state *followerState) ObserveMap(m *assignment.Map) {
	state.locked(func() { state.newestMap = m })
}
func (state *followerState) SetHostCount(n int) { state.locked(func() { state.hostCount = n }) }
func (state *followerState) SetAdmittedShares(shares map[string]float64) {
	state.locked(func() { state.admitted = shares })
}
func (state *followerState) TakeLoadReport() (r edge.LoadReport) {
	state.locked(func() { r, state.report = state.report, edge.LoadReport{} })
	return r
}
func (state *followerState) ReplaceEvacuations(zones []string, _ uint64, _ Origin) {
	state.locked(func() { state.evacuated = zones })
}
func (state *followerState) ReplaceServers(s map[string]directory.Server, _ uint64, _ Origin) bool {
	state.locked(func() {
		state.servers = map[string]directory.Server{}
		for id, v := range s {
			state.servers[id] = v
		}
	})
	return true
}

// testOptions returns options of a host with the clock of package time.
func testOptions(incarnation string) Options {
	start := time.Now()
	return Options{Incarnation: incarnation, Now: func() time.Duration { return time.Since(start) }, Dial: upstream.DialTCP, MaxStateAge: MaxStateAge, OnStoreContact: func(directory.Contact) {}, OnServerSignals: func(string, []directory.Signal) {}}
}

func testServer(id string) directory.Server {
	return directory.Server{ID: id, Born: 7, Service: "s", Address: "a", Zone: "z", Slots: 2}
}

// testRanges returns two ranges. Only the first one depends on owner, so that a difference
// between two results contains one range.
func testRanges(owner string) map[string][]assignment.Range {
	return map[string][]assignment.Range{"s": {{From: 0, To: 9, Owner: assignment.ServerIncarnation{ID: owner}}, {From: 10, To: 65535, Owner: assignment.ServerIncarnation{ID: "1"}, GrantPending: true}}}
}

func (state *followerState) ServerSignals() (signals []directory.Signal) {
	state.locked(func() { signals = state.signals })
	return signals
}
func (state *followerState) RecordStoreContact(directory.Contact) {}
func (state *followerState) StoreContact() (directory.Contact, bool) {
	return directory.Contact{}, false
}

func (state *followerState) Description() followtree.Host {
	return followtree.Host{Incarnation: "follower", Zone: "z", ProcessorShare: 0.2}
}
func (state *followerState) Followers() (int, []followtree.Host) { return 0, nil }

// fakeUpstream is the follower of a host that receives no state. It implements Upstream.
type fakeUpstream struct{ leader func() string }

func (u fakeUpstream) CurrentLeader() string {
	if u.leader == nil {
		return ""
	}
	return u.leader()
}
func (fakeUpstream) StateAge() time.Duration { return neverReadAge }
func (fakeUpstream) Received() Received      { return Received{} }

// recordReads records that the store responded to all reads just now.
func recordReads(s *Source) {
	now := s.options.Now()
	s.RecordConfigRead(now, 1)
	s.RecordServersRead(now, 1)
}

// sourceHost is a host with a source, and records what the source receives. It
// implements Assigner.
type sourceHost struct {
	source           *Source
	mu               sync.Mutex
	leading          bool
	reports          []edge.LoadReport
	knownNextOffsets map[string]uint64
	signals          map[string][]directory.Signal // last ones by follower; none are not kept
}

func (h *sourceHost) recordSignals(follower string, signals []directory.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(signals) > 0 {
		h.signals = map[string][]directory.Signal{follower: signals}
	}
}

func (h *sourceHost) receivedSignals() map[string][]directory.Signal {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.signals
}

func (h *sourceHost) AdmittedShares() map[string]float64 { return map[string]float64{"1": 0.25} }

func (h *sourceHost) Leading() bool { h.mu.Lock(); defer h.mu.Unlock(); return h.leading }

func (h *sourceHost) RecordLoadReport(r edge.LoadReport) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reports = append(h.reports, r)
}

func (h *sourceHost) RecordKnownMap(incarnation string, nextOffset uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.knownNextOffsets[incarnation] = nextOffset
}

// startLeaderAndFollower starts a leader that serves over HTTP, and a follower whose map
// names it.
func startLeaderAndFollower(t *testing.T) (*sourceHost, *followerState, *Follower) {
	return startLeaderAndFollowerWithJournal(t, io.Discard)
}

func startLeaderAndFollowerWithJournal(t *testing.T, out io.Writer) (*sourceHost, *followerState, *Follower) {
	leader := &sourceHost{leading: true, knownNextOffsets: map[string]uint64{}}
	options := testOptions("leader")
	options.OnServerSignals = leader.recordSignals
	leader.source = NewSource(options, leader, fakeUpstream{}, func(edge.LoadReport) {})
	h := httptest.NewServer(NewHandler(leader.source))
	t.Cleanup(h.Close)
	state, f := newFollowerOf(t, h, out)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return leader, state, f
}

// Guards against followers that miss a change of the configuration, the servers, the map
// or the number of hosts, or that apply the difference of two maps incorrectly. Also
// guards against load reports that don't reach the leader.
func TestFollowerReceivesChanges(t *testing.T) {
	leader, state, f := startLeaderAndFollower(t)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
				recordReads(leader.source)
			}
		}
	}()
	leader.source.SetConfig(routes.Config{Version: 3})
	leader.source.SetServers(map[string]directory.Server{"1": testServer("1"), "2": testServer("2")}, 1)
	leader.source.SetMap(&assignment.Map{Offset: 1, NextOffset: 2, Term: 1, Services: testRanges("1")})
	eventually := func(what string, f func() bool) {
		require.Eventually(t, func() (ok bool) { state.locked(func() { ok = f() }); return ok }, 2*time.Second, 5*time.Millisecond, what)
	}
	eventually("configuration", func() bool { return state.config.Version == 3 })
	eventually("servers", func() bool { return len(state.servers) == 2 && state.servers["1"] == testServer("1") })
	eventually("map", func() bool { return state.newestMap != nil && state.newestMap.NextOffset == 2 })
	require.Eventually(t, func() bool { return f.StateAge() < MaxStateAge }, 2*time.Second, 5*time.Millisecond)

	leader.source.SetServers(map[string]directory.Server{"2": testServer("2"), "3": testServer("3")}, 1)
	next := &assignment.Map{Offset: 2, NextOffset: 3, Term: 1, Sequence: 1, Services: testRanges("2")}
	leader.source.SetMap(next)
	eventually("a removed and a new server", func() bool { _, present := state.servers["1"]; return !present && len(state.servers) == 2 })
	eventually("map after a difference", func() bool { return state.newestMap.NextOffset == 3 })
	require.Equal(t, next.Services, state.NewestMap().Services)
	require.Eventually(t, func() bool {
		leader.mu.Lock()
		defer leader.mu.Unlock()
		return leader.knownNextOffsets["follower"] == 3
	}, 2*time.Second, 5*time.Millisecond)
	eventually("number of hosts", func() bool { return state.hostCount == 2 })
	eventually("admitted shares", func() bool { return state.admitted["1"] == 0.25 })

	state.locked(func() {
		state.report = edge.LoadReport{RequestedKeys: map[string][]uint16{"s": {4, 4}}, ServiceTimes: map[string]edge.ServiceTime{"1": {Count: 2, Sum: time.Second, Reports: 3, Waiting: 7}}}
	})
	require.Eventually(t, func() bool {
		leader.mu.Lock()
		defer leader.mu.Unlock()
		return len(leader.reports) == 1 && len(leader.reports[0].RequestedKeys["s"]) == 2 && leader.reports[0].ServiceTimes["1"] == edge.ServiceTime{Count: 2, Sum: time.Second, Reports: 3, Waiting: 7}
	}, 2*time.Second, 5*time.Millisecond)
}

// Guards against hosts that rely on a leader whose term has ended or which has lost
// contact with the store: they would keep outdated state and not read the store.
func TestStaleOrFormerLeaderEndsContact(t *testing.T) {
	leader, _, f := startLeaderAndFollower(t)
	recordReads(leader.source)
	require.Eventually(t, func() bool { return f.StateAge() < MaxStateAge/2 }, 2*time.Second, 5*time.Millisecond)
	// The leader has no further contact with the store.
	require.Eventually(t, func() bool { return f.StateAge() > MaxStateAge }, 2*MaxStateAge+longPollWait+500*time.Millisecond, 10*time.Millisecond)

	recordReads(leader.source)
	require.Eventually(t, func() bool { return f.StateAge() < MaxStateAge/2 }, 2*time.Second, 5*time.Millisecond)
	leader.mu.Lock()
	leader.leading = false
	leader.mu.Unlock()
	require.Eventually(t, func() bool { return f.StateAge() > MaxStateAge }, MaxStateAge+longPollWait+500*time.Millisecond, 10*time.Millisecond)
}

// Guards against a host that stays with a former leader because it lost the store when
// the leader changed, although it reaches another host that follows the new leader. Also
// guards against a host that stays with the new leader after that one has ended.
func TestHostWithoutStoreLearnsTheLeaderFromAnotherHost(t *testing.T) {
	former, state, f := startLeaderAndFollower(t)
	eventually := func(what string, ok func() bool) {
		t.Helper()
		require.Eventually(t, ok, 2*MaxStateAge+2*time.Second, 5*time.Millisecond, what)
	}
	newLeader := &sourceHost{leading: true, knownNextOffsets: map[string]uint64{}}
	newLeader.source = NewSource(testOptions("new"), newLeader, fakeUpstream{}, func(edge.LoadReport) {})
	newLeader.source.SetMap(&assignment.Map{Offset: 1, NextOffset: 2, Term: 2, Leader: "new", Services: testRanges("1")})
	other := &sourceHost{knownNextOffsets: map[string]uint64{}}
	var otherFollows atomic.Value
	otherFollows.Store("")
	other.source = NewSource(testOptions("other"), other, fakeUpstream{leader: func() string { return otherFollows.Load().(string) }}, func(edge.LoadReport) {})
	for name, source := range map[string]*Source{"new": newLeader.source, "other": other.source} {
		h := httptest.NewServer(followv1.NewLeaderServer(source))
		t.Cleanup(h.Close)
		state.locked(func() { state.addresses[name] = h.Listener.Addr().String() })
	}
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
				recordReads(newLeader.source)
				if former.Leading() {
					recordReads(former.source)
				}
			}
		}
	}()
	// The follower learns of the other host from the former leader.
	_, err := former.source.Follow(context.Background(), &followv1.FollowRequest{Host: "other", Caller: &followv1.HostInfo{Incarnation: "other"}})
	require.NoError(t, err)
	eventually("the follower is in contact with the former leader", func() bool { return f.CurrentLeader() == "leader" })
	time.Sleep(2 * longPollWait) // the follower receives the list of peers
	otherFollows.Store("new")
	former.mu.Lock()
	former.leading = false
	former.mu.Unlock()
	eventually("the follower is in contact with the new leader", func() bool { return f.CurrentLeader() == "new" })
	eventually("the follower has the map of the new leader", func() bool { m := state.NewestMap(); return m != nil && m.Term == 2 })

	// The new leader ends and the former one returns. There is no newer map, and the
	// other host names no leader.
	otherFollows.Store("")
	newLeader.mu.Lock()
	newLeader.leading = false
	newLeader.mu.Unlock()
	former.mu.Lock()
	former.leading = true
	former.mu.Unlock()
	eventually("the follower is in contact with the former leader again", func() bool { return f.CurrentLeader() == "leader" })
}

// Guards against a log that does not say why a host lost the leader: the leader lost the
// store, its term ended, or there is none.
func TestLostContactNamesItsCause(t *testing.T) {
	out := &lockedOutput{}
	leader, state, _ := startLeaderAndFollowerWithJournal(t, out)
	awaitLine := func(substrings ...string) {
		t.Helper()
		require.Eventually(t, func() bool {
			for line := range strings.Lines(out.String()) {
				if !slices.ContainsFunc(substrings, func(s string) bool { return !strings.Contains(line, s) }) {
					return true
				}
			}
			return false
		}, 2*MaxStateAge+longPollWait+2*time.Second, 10*time.Millisecond, "%q in\n%s", substrings, out)
	}
	heard := func() {
		t.Helper()
		out.reset()
		recordReads(leader.source)
		awaitLine("name=leader_heard")
	}
	heard()
	awaitLine("name=leader_silent", string(LeaderWithoutStore))
	heard()
	leader.mu.Lock()
	leader.leading = false
	leader.mu.Unlock()
	awaitLine("name=leader_silent", string(NotLeading))
	leader.mu.Lock()
	leader.leading = true
	leader.mu.Unlock()
	heard()
	state.locked(func() { state.leader = "" })
	awaitLine("name=leader_silent", string(NoLeader))
}

// lockedOutput collects the lines of a journal.
type lockedOutput struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (o *lockedOutput) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

func (o *lockedOutput) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.String()
}

func (o *lockedOutput) reset() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.buf.Reset()
}

// Pattern: more hosts than a leader can serve. Guards against hosts of a large deployment
// that stay with the leader or read the store when the leader is lost, against state that
// does not pass through a relay, and against load reports that a relay drops. Also guards
// against a host that stays with a relay whose state has become old.
func TestFollowerFollowsARelay(t *testing.T) {
	leader, state, f := startLeaderAndFollower(t)
	relay := &sourceHost{knownNextOffsets: map[string]uint64{}}
	var reports atomic.Int32
	upstream := &relayUpstream{received: Received{HostCount: 300, Admitted: map[string]float64{"1": 0.5}, Relays: []string{"unreachable 1", "relay"}}}
	relay.source = NewSource(testOptions("relay"), relay, upstream, func(r edge.LoadReport) { reports.Add(int32(len(r.RequestedKeys["s"]))) })
	h := httptest.NewServer(followv1.NewLeaderServer(relay.source))
	t.Cleanup(h.Close)
	state.locked(func() { state.addresses["relay"] = h.Listener.Addr().String() })
	var others []*followv1.HostInfo
	for i := range followtree.DirectHosts {
		others = append(others, &followv1.HostInfo{Incarnation: fmt.Sprint("h", i), Zone: "other"})
	}
	for _, relay := range []string{"relay", "unreachable 1", "unreachable 2"} {
		others = append(others, &followv1.HostInfo{Incarnation: relay, Zone: "z", ProcessorPerMille: 800})
	}
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	var leaderLost atomic.Bool
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			if leaderLost.Load() {
				continue
			}
			recordReads(leader.source)
			upstream.setAge(100 * time.Millisecond)
			for _, other := range others {
				leader.source.respond(&followv1.FollowRequest{Host: other.Incarnation, Caller: other}, leader.source.options.Now())
			}
		}
	}()
	eventually := func(what string, ok func() bool) {
		t.Helper()
		require.Eventually(t, ok, 2*MaxStateAge+2*time.Second, 5*time.Millisecond, what)
	}
	eventually("the follower gets its state from the relay", func() bool { return relay.source.HostCount() == 2 })
	relay.source.SetConfig(routes.Config{Version: 4})
	relay.source.SetServers(map[string]directory.Server{"1": testServer("1")}, 1)
	relay.source.SetMap(&assignment.Map{Offset: 1, NextOffset: 2, Term: 1, Leader: "leader", Services: testRanges("1")})
	eventually("the state of the relay", func() (ok bool) {
		state.locked(func() {
			ok = state.config.Version == 4 && len(state.servers) == 1 && state.newestMap != nil && state.hostCount == 300 && state.admitted["1"] == 0.5
		})
		return ok
	})
	state.locked(func() { state.report = edge.LoadReport{RequestedKeys: map[string][]uint16{"s": {4, 4}}} })
	eventually("the report reaches the relay", func() bool { return reports.Load() == 2 })

	// The leader is lost; the relay reads the store itself.
	leaderLost.Store(true)
	leader.mu.Lock()
	leader.leading = false
	leader.mu.Unlock()
	until := time.Now().Add(2 * MaxStateAge)
	for time.Now().Before(until) {
		recordReads(relay.source)
		require.True(t, f.InContact())
		time.Sleep(20 * time.Millisecond)
	}
	// The relay loses the store, too.
	upstream.setAge(MaxStateAge)
	eventually("the follower reads the store itself", func() bool { return !f.InContact() })
}

// relayUpstream is the follower of a relay. It implements Upstream.
type relayUpstream struct {
	received Received
	mu       sync.Mutex
	stateAt  time.Time
}

func (u *relayUpstream) CurrentLeader() string { return "leader" }
func (u *relayUpstream) Received() Received    { return u.received }

func (u *relayUpstream) StateAge() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Since(u.stateAt)
}

func (u *relayUpstream) setAge(age time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stateAt = time.Now().Add(-age)
}

// Guards against a former leader or relay that sends its whole state, again and again, to
// hosts that look for the leader and do not use it.
func TestStateIsSentOnlyToFollowers(t *testing.T) {
	relay := &sourceHost{knownNextOffsets: map[string]uint64{}}
	relay.source = NewSource(testOptions("relay"), relay, fakeUpstream{}, func(edge.LoadReport) {})
	recordReads(relay.source)
	relay.source.SetServers(map[string]directory.Server{"1": testServer("1")}, 1)
	for fromRelay, servers := range map[bool]int{false: 0, true: 1} {
		response, err := relay.source.Follow(context.Background(), &followv1.FollowRequest{Host: "h", FromRelay: fromRelay})
		require.NoError(t, err)
		require.Len(t, response.Servers, servers)
	}
}
