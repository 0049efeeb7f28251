package ownership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/keyspace"
	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/resource"
)

// fakeServer is one instance of a server. Servers check grants unless their name
// starts with "plain".
type fakeServer struct {
	name, instance             string
	down                       bool
	term, subTerm, grantedTerm uint64
	setVersion                 uint64
	held                       map[SliceRef]bool
	released                   map[SliceRef]bool
	tokenIssuedAt              map[string]time.Duration
	expiresAt                  time.Duration
	startedAt                  time.Duration
	acceptedGrants             int
	clock                      driftingClock
}

func newFakeServer(name, instance string) *fakeServer {
	return &fakeServer{name: name, instance: instance, held: map[SliceRef]bool{}, released: map[SliceRef]bool{}, tokenIssuedAt: map[string]time.Duration{}}
}

func (f *fakeServer) grant(now time.Duration, g SendGrant) GrantResponse {
	previous := f.grantedTerm
	response := GrantResponse{Server: f.name, Seq: g.Seq, Instance: f.instance, PreviousTerm: previous}
	if g.Term > f.term || (g.Term == f.term && g.SubTerm >= f.subTerm) {
		f.term, f.subTerm = g.Term, g.SubTerm
		response.Accepted = true
	}
	if issued, ok := f.tokenIssuedAt[g.Token]; response.Accepted && g.Token != "" {
		if response.Accepted = ok; ok {
			f.grantedTerm, f.acceptedGrants, f.expiresAt = g.Term, f.acceptedGrants+1, issued+g.TTL
			if g.HasSlices {
				f.held = map[SliceRef]bool{}
				for _, s := range g.Slices {
					f.held[s] = !f.released[s]
				}
				f.setVersion = g.SetVersion
			}
		}
	}
	if g.Token == "" {
		for s := range f.held {
			response.Held = append(response.Held, s)
		}
		for s := range f.released {
			response.Released = append(response.Released, s)
		}
	}
	response.Token = fmt.Sprintf("%s-%d", f.instance, len(f.tokenIssuedAt))
	f.tokenIssuedAt[response.Token] = now
	response.Term, response.SubTerm, response.SetVersion = f.term, f.subTerm, f.setVersion
	return response
}

func (f *fakeServer) checksGrants() bool { return f.name[:5] != "plain" }

func (f *fakeServer) holds(now time.Duration, s SliceRef) bool {
	return now < f.expiresAt && f.held[s] && !f.released[s]
}

// testDaemon is a simulated daemon. Calls to a paused daemon wait in its inbox.
type testDaemon struct {
	machine    *Machine
	paused     bool
	inbox      []func()
	clock      driftingClock
	lastPollAt map[string]time.Duration
	idCount    int
}

// driftingClock converts the time of the cluster to the clock of a process, which
// may have an offset and a rate error.
type driftingClock struct {
	offset time.Duration
	drift  float64
}

func (c driftingClock) at(now time.Duration) time.Duration {
	return c.offset + now + time.Duration(c.drift*float64(now))
}

type scheduledCall struct {
	at  time.Duration
	run func()
}

// testCluster runs the machines of several daemons against an in-memory log and fake
// servers. Effects are carried out at once or after messageDelay; their results
// reach the machine as inputs.
type testCluster struct {
	t              *testing.T
	now            time.Duration
	log            []record.LogEntry
	logUnreachable bool
	logEvents      bool // write all emitted events to the test log
	// countViolations makes checkOwners count violations instead of failing the test.
	countViolations bool
	violations      int
	daemons         map[string]*testDaemon
	daemonNames     []string
	servers         map[string]*fakeServer
	scheduled       []scheduledCall
	timeStep        time.Duration
	messageDelay    func() time.Duration   // delay of the next message, nil for none
	oldestOffset    uint64                 // oldest offset that the log retains, 0 for all
	oldestReadAlone bool                   // the oldest offset is an input of its own, see readLog
	canReadLog      func(name string) bool // whether a daemon can read the log now, nil for always
	// dropEffect reports whether an effect is lost.
	dropEffect func(from string, e Effect) bool
	effects    []Effect
}

func newTestCluster(t *testing.T) *testCluster {
	return &testCluster{t: t, timeStep: TickInterval, daemons: map[string]*testDaemon{}, servers: map[string]*fakeServer{}}
}

func (cluster *testCluster) startDaemon(name, zone string, disabled ...Rule) *testDaemon {
	daemon := &testDaemon{lastPollAt: map[string]time.Duration{}}
	cfg := Config{Host: name, Incarnation: name, Zone: zone, PeerURL: "http://" + name, WallClockMS: func() int64 { return 0 },
		NewID: func() string { daemon.idCount++; return fmt.Sprintf("%s-%d", name, daemon.idCount) }, LogRetention: time.Hour}
	cfg.disabledRules.set = map[Rule]bool{}
	for _, rule := range disabled {
		cfg.disabledRules.set[rule] = true
	}
	daemon.machine = New(cfg)
	cluster.daemons[name] = daemon
	cluster.daemonNames = append(cluster.daemonNames, name)
	return daemon
}

func (cluster *testCluster) append(b record.Body) uint64 {
	cluster.log = append(cluster.log, record.LogEntry{Offset: uint64(len(cluster.log) + 1), Record: record.Record{ID: fmt.Sprint("op-", len(cluster.log)), Body: b}})
	return uint64(len(cluster.log))
}

func (cluster *testCluster) putResource(name string, spec resource.Spec) {
	key := resource.Key{Kind: spec.Kind(), Name: name}
	version := uint64(0)
	for _, daemon := range cluster.daemons {
		if r, ok := daemon.machine.state.Resource(key); ok {
			version = max(version, r.Version)
		}
	}
	cluster.append(record.ResourcePut{Resource: resource.Resource{Name: name, Spec: spec}, ExpectedVersion: version, ChangeID: fmt.Sprint(len(cluster.log))})
}

// putServiceWithServers declares a service with servers in zone z. The names of
// servers that do not check grants start with "plain".
func (cluster *testCluster) putServiceWithServers(scope resource.Scope, sliceCount int, servers ...string) {
	cluster.putResource("normal", &resource.Rank{})
	cluster.putResource("svc", &resource.Service{Scope: scope, Slices: sliceCount, Ranks: []string{"normal"}, DefaultRank: "normal"})
	for _, name := range servers {
		cluster.putResource(name, cluster.serverSpec(name))
		cluster.servers[name] = newFakeServer(name, name+"-i1")
	}
}

func (cluster *testCluster) serverSpec(name string) *resource.Server {
	return &resource.Server{Service: "svc", Zone: "z", Address: "http://10.0.0.1:80", Slots: 2, Connections: 4, ChecksGrants: newFakeServer(name, "").checksGrants()}
}

// sendInput passes an input to a daemon after the delay of one message.
func (cluster *testCluster) sendInput(name string, in Input) {
	cluster.afterMessageDelay(func() { cluster.onDaemon(name, func() { cluster.step(name, in) }) })
}

// afterMessageDelay runs call after the delay of one message.
func (cluster *testCluster) afterMessageDelay(call func()) {
	delay := time.Duration(0)
	if cluster.messageDelay != nil {
		delay = cluster.messageDelay()
	}
	cluster.scheduled = append(cluster.scheduled, scheduledCall{at: cluster.now + delay, run: call})
}

func (cluster *testCluster) onDaemon(name string, call func()) {
	if daemon := cluster.daemons[name]; daemon.paused {
		daemon.inbox = append(daemon.inbox, call)
	} else {
		call()
	}
}

func (cluster *testCluster) resume(name string) {
	daemon := cluster.daemons[name]
	daemon.paused = false
	inbox := daemon.inbox
	daemon.inbox = nil
	for _, call := range inbox {
		call()
	}
}

// runDueCalls runs all scheduled calls that are due, including those that they
// schedule.
func (cluster *testCluster) runDueCalls() {
	for i := 0; i < len(cluster.scheduled); i++ {
		if due := cluster.scheduled[i]; due.at <= cluster.now {
			cluster.scheduled = append(cluster.scheduled[:i], cluster.scheduled[i+1:]...)
			due.run()
			i = -1
		}
	}
}

func (cluster *testCluster) step(name string, in Input) {
	daemon := cluster.daemons[name]
	if daemon.paused {
		return
	}
	for _, e := range daemon.machine.Step(daemon.clock.at(cluster.now), in) {
		if ev, ok := e.(EmitEvent); ok && cluster.logEvents {
			cluster.t.Logf("%s %s %+v", cluster.now, name, ev.Event)
		}
		cluster.effects = append(cluster.effects, e)
		if cluster.dropEffect == nil || !cluster.dropEffect(name, e) {
			cluster.performEffect(name, e)
		}
	}
}

func (cluster *testCluster) performEffect(from string, e Effect) {
	switch e := e.(type) {
	case AppendRecord:
		cluster.afterMessageDelay(func() {
			if cluster.logUnreachable {
				cluster.sendInput(from, AppendCompleted{RecordID: e.Record.ID, Failed: true})
				return
			}
			cluster.log = append(cluster.log, record.LogEntry{Offset: uint64(len(cluster.log) + 1), Record: e.Record})
			cluster.sendInput(from, AppendCompleted{RecordID: e.Record.ID, Offset: uint64(len(cluster.log))})
		})
	case SendPoll:
		sent := cluster.daemons[from].clock.at(cluster.now)
		cluster.afterMessageDelay(func() { cluster.onDaemon(e.Witness, func() { cluster.answerPoll(from, sent, e) }) })
	case SendGrant:
		cluster.callServer(e.Server, GrantFailed{Server: e.Server, Seq: e.Seq}, from, func(s *fakeServer) Input {
			return s.grant(s.clock.at(cluster.now), e)
		})
	case SendProbe:
		cluster.callServer(e.Server, GrantFailed{Server: e.Server, Seq: e.Seq}, from, func(*fakeServer) Input {
			return GrantResponse{Server: e.Server, Seq: e.Seq, Accepted: true}
		})
	case QuiesceSlice:
		cluster.sendInput(from, SliceQuiesced(e))
	case TransferIDs:
		cluster.sendInput(from, IDTransferCompleted{Server: e.Server, Slice: e.Slice, OK: true})
	case SendRelease:
		cluster.callServer(e.Server, ReleaseCompleted{Server: e.Server, Slice: e.Slice}, from, func(s *fakeServer) Input {
			done := e.Term == s.term && e.SubTerm == s.subTerm
			s.released[e.Slice] = s.released[e.Slice] || done
			return ReleaseCompleted{Server: e.Server, Slice: e.Slice, Instance: s.instance, Released: done}
		})
	}
}

func (cluster *testCluster) callServer(name string, failed Input, from string, call func(*fakeServer) Input) {
	cluster.afterMessageDelay(func() {
		if s := cluster.servers[name]; s.down {
			cluster.sendInput(from, failed)
		} else {
			cluster.sendInput(from, call(s))
		}
	})
}

func (cluster *testCluster) answerPoll(from string, sent time.Duration, e SendPoll) {
	witness := cluster.daemons[e.Witness]
	witness.lastPollAt[from] = cluster.now
	in := PollResponse{Witness: e.Witness, SentAt: sent, AppliedOffset: witness.machine.View().AppliedOffset, LastPollAge: map[string]time.Duration{}}
	for name, at := range witness.lastPollAt {
		in.LastPollAge[name] = cluster.now - at
	}
	if e.AppliedOffset < in.AppliedOffset {
		in.Records = cluster.log[e.AppliedOffset:in.AppliedOffset]
	}
	cluster.sendInput(from, in)
	cluster.step(e.Witness, PollReceived{Poller: from, Loads: e.Loads})
}

// run advances time, sends the ticks, and checks after each time step that no key
// has two owners.
func (cluster *testCluster) run(d time.Duration) {
	for end := cluster.now + d; cluster.now < end; {
		cluster.now += cluster.timeStep
		cluster.runDueCalls()
		for i, name := range cluster.daemonNames {
			if phase := time.Duration(i) * cluster.timeStep; (cluster.now+phase)%TickInterval == 0 || cluster.timeStep == TickInterval {
				cluster.tick(cluster.daemons[name], name)
			}
		}
		cluster.checkOwners()
	}
}

func (cluster *testCluster) tick(daemon *testDaemon, name string) {
	if daemon.paused {
		return
	}
	if cluster.logUnreachable {
		cluster.step(name, LogUnreachable{})
	} else if cluster.canReadLog == nil || cluster.canReadLog(name) {
		next := max(min(daemon.machine.View().AppliedOffset, uint64(len(cluster.log))), max(cluster.oldestOffset, 1)-1)
		cluster.readLog(name, cluster.log[next:])
	}
	cluster.runDueCalls()
	cluster.step(name, Tick{})
	cluster.runDueCalls()
}

// readLog passes records of the log to a daemon, as one input or as relay/daemon does:
// the oldest offset first, then the records without it.
func (cluster *testCluster) readLog(name string, records []record.LogEntry) {
	oldest := max(cluster.oldestOffset, 1)
	if !cluster.oldestReadAlone {
		cluster.step(name, RecordsRead{Records: records, OldestOffset: oldest})
		return
	}
	cluster.step(name, RecordsRead{OldestOffset: oldest})
	if len(records) > 0 {
		cluster.step(name, RecordsRead{Records: records})
	}
}

// checkOwners fails the test, or counts a violation, if two homes may send requests
// for one hash to different servers or to one that checks no grants, or if two
// servers hold it under unexpired grants.
func (cluster *testCluster) checkOwners() {
	for _, r := range keyspace.EqualRanges(16) {
		var senders, holders []string
		targets, plainSenders := map[string]bool{}, 0
		for _, name := range cluster.daemonNames {
			// A paused daemon sends nothing; it is checked again when it resumes.
			if cluster.daemons[name].paused {
				continue
			}
			if route, ok := cluster.daemons[name].machine.View().Lookup("svc", r.First, cluster.daemons[name].clock.at(cluster.now)); ok && route.Dispatchable {
				senders = append(senders, name+" to "+route.Server)
				targets[route.Server] = true
				if plain := !cluster.servers[route.Server].checksGrants(); plain {
					plainSenders++
				}
			}
		}
		for name, server := range cluster.servers {
			for s := range server.held {
				if s.Range.Contains(r.First) && server.holds(server.clock.at(cluster.now), s) {
					holders = append(holders, name)
				}
			}
		}
		if cluster.countViolations && (len(holders) > 1 || max(plainSenders, len(targets)) > 1) {
			cluster.violations++
			continue
		}
		require.LessOrEqual(cluster.t, len(holders), 1, "holders of %x at %s: %v", r.First, cluster.now, holders)
		// Two homes may send to one server that checks grants: it accepts only one of
		// their terms.
		require.LessOrEqual(cluster.t, max(plainSenders, len(targets)), 1, "senders of %x at %s: %v", r.First, cluster.now, senders)
	}
}

// servingHashes returns for how many of n evenly spaced hashes requests can be
// dispatched to a running server.
func (cluster *testCluster) servingHashes(n int) int {
	count := 0
	for _, r := range keyspace.EqualRanges(n) {
		for _, daemon := range cluster.daemons {
			if route, ok := daemon.machine.View().Lookup("svc", r.First, daemon.clock.at(cluster.now)); ok && route.Dispatchable && !daemon.paused && !cluster.servers[route.Server].down {
				count++
				break
			}
		}
	}
	return count
}

// runUntil runs the cluster until the condition holds, for at most limit, and returns
// the time that it took.
func (cluster *testCluster) runUntil(limit time.Duration, condition func() bool) time.Duration {
	start := cluster.now
	for !condition() {
		require.Less(cluster.t, cluster.now-start, limit, "condition not reached")
		cluster.run(TickInterval)
	}
	return cluster.now - start
}

func (cluster *testCluster) allServing(n int) func() bool {
	return func() bool { return cluster.servingHashes(n) == n }
}
