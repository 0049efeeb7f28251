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

// fakeServer is a checking server with one instance.
type fakeServer struct {
	name, instance     string
	down               bool
	term, sub, granted uint64
	version            uint64
	held               map[SliceRef]bool
	released           map[SliceRef]bool
	issued             map[string]time.Duration
	expires            time.Duration
	started            time.Duration
	grants             int
	clock              clock
}

func newFakeServer(name, instance string) *fakeServer {
	return &fakeServer{name: name, instance: instance, held: map[SliceRef]bool{}, released: map[SliceRef]bool{}, issued: map[string]time.Duration{}}
}

func (f *fakeServer) grant(now time.Duration, g SendGrant) GrantResponse {
	previous := f.granted
	answer := GrantResponse{Server: f.name, Seq: g.Seq, Instance: f.instance, PreviousTerm: previous}
	if g.Term > f.term || (g.Term == f.term && g.SubTerm >= f.sub) {
		f.term, f.sub = g.Term, g.SubTerm
		answer.Accepted = true
	}
	if issued, ok := f.issued[g.Token]; answer.Accepted && g.Token != "" {
		if answer.Accepted = ok; ok {
			f.granted, f.grants, f.expires = g.Term, f.grants+1, issued+g.TTL
			if g.HasSlices {
				f.held = map[SliceRef]bool{}
				for _, s := range g.Slices {
					f.held[s] = !f.released[s]
				}
				f.version = g.SetVersion
			}
		}
	}
	if g.Token == "" {
		for s := range f.held {
			answer.Held = append(answer.Held, s)
		}
		for s := range f.released {
			answer.Released = append(answer.Released, s)
		}
	}
	answer.Token = fmt.Sprintf("%s-%d", f.instance, len(f.issued))
	f.issued[answer.Token] = now
	answer.Term, answer.SubTerm, answer.SetVersion = f.term, f.sub, f.version
	return answer
}

func (f *fakeServer) checks() bool { return f.name[:5] != "plain" }

func (f *fakeServer) holds(now time.Duration, s SliceRef) bool {
	return now < f.expires && f.held[s] && !f.released[s]
}

// node is a daemon in a test. What arrives at a paused node waits in its mail.
type node struct {
	m      *Machine
	paused bool
	mail   []func()
	clock  clock
	heard  map[string]time.Duration
	ids    int
}

// clock maps the time of the world to that of a process, whose rate may be off.
type clock struct {
	offset time.Duration
	drift  float64
}

func (c clock) at(now time.Duration) time.Duration {
	return c.offset + now + time.Duration(c.drift*float64(now))
}

type delivery struct {
	at time.Duration
	do func()
}

// world runs machines against an in-memory log and fake servers. Effects are
// carried out at once, their results reach the machine as the next inputs.
type world struct {
	t       *testing.T
	now     time.Duration
	log     []record.Positioned
	logDown bool
	trace   bool // log all events
	// count makes checkOwners count violations instead of failing the test.
	count      bool
	violations int
	nodes      map[string]*node
	order      []string
	servers    map[string]*fakeServer
	queue      []delivery
	grain      time.Duration          // step of time
	delay      func() time.Duration   // of a message, nil for none
	oldest     uint64                 // oldest retained offset, 0 for all
	readLog    func(name string) bool // whether a node reads the log now
	// drop filters effects; a true result loses the effect.
	drop    func(from string, e Effect) bool
	effects []Effect
}

func newWorld(t *testing.T) *world {
	return &world{t: t, grain: TickInterval, nodes: map[string]*node{}, servers: map[string]*fakeServer{}}
}

func (w *world) start(name, zone string, disabled ...Rule) *node {
	n := &node{heard: map[string]time.Duration{}}
	cfg := Config{Host: name, Incarnation: name, Zone: zone, PeerURL: "http://" + name, WallClockMS: func() int64 { return 0 },
		NewID: func() string { n.ids++; return fmt.Sprintf("%s-%d", name, n.ids) }, LogRetention: time.Hour}
	cfg.rules.off = map[Rule]bool{}
	for _, rule := range disabled {
		cfg.rules.off[rule] = true
	}
	n.m = New(cfg)
	w.nodes[name] = n
	w.order = append(w.order, name)
	return n
}

func (w *world) append(b record.Body) uint64 {
	w.log = append(w.log, record.Positioned{Offset: uint64(len(w.log) + 1), Record: record.Record{ID: fmt.Sprint("op-", len(w.log)), Body: b}})
	return uint64(len(w.log))
}

func (w *world) put(name string, spec resource.Spec) {
	key := resource.Key{Kind: spec.Kind(), Name: name}
	version := uint64(0)
	for _, n := range w.nodes {
		if r, ok := n.m.st.Resource(key); ok {
			version = max(version, r.Version)
		}
	}
	w.append(record.ResourcePut{Resource: resource.Resource{Name: name, Spec: spec}, ExpectedVersion: version, ChangeID: fmt.Sprint(len(w.log))})
}

// service declares a service with servers in zone z; the names of servers that
// do not check grants start with "plain".
func (w *world) service(scope resource.Scope, sliceCount int, servers ...string) {
	w.put("normal", &resource.Rank{})
	w.put("svc", &resource.Service{Scope: scope, Slices: sliceCount, Ranks: []string{"normal"}, DefaultRank: "normal"})
	for _, name := range servers {
		w.put(name, w.serverSpec(name))
		w.servers[name] = newFakeServer(name, name+"-i1")
	}
}

func (w *world) serverSpec(name string) *resource.Server {
	return &resource.Server{Service: "svc", Zone: "z", Address: "http://10.0.0.1:80", Slots: 2, Connections: 4, ChecksGrants: newFakeServer(name, "").checks()}
}

// receive passes an input to a node after its delay.
func (w *world) receive(name string, in Input) {
	w.later(func() { w.atNode(name, func() { w.step(name, in) }) })
}

// later runs do after the delay of one message.
func (w *world) later(do func()) {
	delay := time.Duration(0)
	if w.delay != nil {
		delay = w.delay()
	}
	w.queue = append(w.queue, delivery{at: w.now + delay, do: do})
}

func (w *world) atNode(name string, do func()) {
	if n := w.nodes[name]; n.paused {
		n.mail = append(n.mail, do)
	} else {
		do()
	}
}

func (w *world) resume(name string) {
	n := w.nodes[name]
	n.paused = false
	mail := n.mail
	n.mail = nil
	for _, do := range mail {
		do()
	}
}

// deliver runs all deliveries that are due, including those that they cause.
func (w *world) deliver() {
	for i := 0; i < len(w.queue); i++ {
		if d := w.queue[i]; d.at <= w.now {
			w.queue = append(w.queue[:i], w.queue[i+1:]...)
			d.do()
			i = -1
		}
	}
}

func (w *world) step(name string, in Input) {
	n := w.nodes[name]
	if n.paused {
		return
	}
	for _, e := range n.m.Step(n.clock.at(w.now), in) {
		if ev, ok := e.(EmitEvent); ok && w.trace {
			w.t.Logf("%s %s %+v", w.now, name, ev.Event)
		}
		w.effects = append(w.effects, e)
		if w.drop == nil || !w.drop(name, e) {
			w.carryOut(name, e)
		}
	}
}

func (w *world) carryOut(from string, e Effect) {
	switch e := e.(type) {
	case AppendRecord:
		w.later(func() {
			if w.logDown {
				w.receive(from, AppendCompleted{RecordID: e.Record.ID, Failed: true})
				return
			}
			w.log = append(w.log, record.Positioned{Offset: uint64(len(w.log) + 1), Record: e.Record})
			w.receive(from, AppendCompleted{RecordID: e.Record.ID, Offset: uint64(len(w.log))})
		})
	case SendPoll:
		sent := w.nodes[from].clock.at(w.now)
		w.later(func() { w.atNode(e.Witness, func() { w.answerPoll(from, sent, e) }) })
	case SendGrant:
		w.toServer(e.Server, GrantFailed{Server: e.Server, Seq: e.Seq}, from, func(s *fakeServer) Input {
			return s.grant(s.clock.at(w.now), e)
		})
	case SendProbe:
		w.toServer(e.Server, GrantFailed{Server: e.Server, Seq: e.Seq}, from, func(*fakeServer) Input {
			return GrantResponse{Server: e.Server, Seq: e.Seq, Accepted: true}
		})
	case QuiesceSlice:
		w.receive(from, SliceQuiesced(e))
	case TransferIDs:
		w.receive(from, IDTransferCompleted{Server: e.Server, Slice: e.Slice, OK: true})
	case SendRelease:
		w.toServer(e.Server, ReleaseCompleted{Server: e.Server, Slice: e.Slice}, from, func(s *fakeServer) Input {
			done := e.Term == s.term && e.SubTerm == s.sub
			s.released[e.Slice] = s.released[e.Slice] || done
			return ReleaseCompleted{Server: e.Server, Slice: e.Slice, Instance: s.instance, Released: done}
		})
	}
}

func (w *world) toServer(name string, failed Input, from string, call func(*fakeServer) Input) {
	w.later(func() {
		if s := w.servers[name]; s.down {
			w.receive(from, failed)
		} else {
			w.receive(from, call(s))
		}
	})
}

func (w *world) answerPoll(from string, sent time.Duration, e SendPoll) {
	other := w.nodes[e.Witness]
	other.heard[from] = w.now
	in := PollResponse{Witness: e.Witness, SentAt: sent, AppliedOffset: other.m.View().AppliedOffset, LastPollAge: map[string]time.Duration{}}
	for name, at := range other.heard {
		in.LastPollAge[name] = w.now - at
	}
	if e.AppliedOffset < in.AppliedOffset {
		in.Records = w.log[e.AppliedOffset:in.AppliedOffset]
	}
	w.receive(from, in)
	w.step(e.Witness, PollReceived{Poller: from, Loads: e.Loads})
}

// run lets time pass, sends the ticks, and checks after each step that no key
// has two owners that could act.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += w.grain
		w.deliver()
		for i, name := range w.order {
			if phase := time.Duration(i) * w.grain; (w.now+phase)%TickInterval == 0 || w.grain == TickInterval {
				w.tick(w.nodes[name], name)
			}
		}
		w.checkOwners()
	}
}

func (w *world) tick(n *node, name string) {
	if n.paused {
		return
	}
	if w.logDown {
		w.step(name, LogUnreachable{})
	} else if w.readLog == nil || w.readLog(name) {
		next := max(min(n.m.View().AppliedOffset, uint64(len(w.log))), max(w.oldest, 1)-1)
		w.step(name, RecordsRead{Records: w.log[next:], OldestOffset: max(w.oldest, 1)})
	}
	w.deliver()
	w.step(name, Tick{})
	w.deliver()
}

// checkOwners fails the test when two homes may send requests for one hash, or
// two servers hold it under live grants.
func (w *world) checkOwners() {
	for _, r := range keyspace.Divide(16) {
		var senders, holders []string
		targets, plainSenders := map[string]bool{}, 0
		for _, name := range w.order {
			// A paused daemon sends nothing; what it would send is checked when it resumes.
			if w.nodes[name].paused {
				continue
			}
			if route, ok := w.nodes[name].m.View().Lookup("svc", r.First, w.nodes[name].clock.at(w.now)); ok && route.Serving {
				senders = append(senders, name+" to "+route.Server)
				targets[route.Server] = true
				if plain := !w.servers[route.Server].checks(); plain {
					plainSenders++
				}
			}
		}
		for name, server := range w.servers {
			for s := range server.held {
				if s.Range.Contains(r.First) && server.holds(server.clock.at(w.now), s) {
					holders = append(holders, name)
				}
			}
		}
		if w.count && (len(holders) > 1 || max(plainSenders, len(targets)) > 1) {
			w.violations++
			continue
		}
		require.LessOrEqual(w.t, len(holders), 1, "holders of %x at %s: %v", r.First, w.now, holders)
		// Two homes may name the same checking server, which then arbitrates.
		require.LessOrEqual(w.t, max(plainSenders, len(targets)), 1, "senders of %x at %s: %v", r.First, w.now, senders)
	}
}

// serving returns how many of n evenly spread hashes may be dispatched.
func (w *world) serving(n int) int {
	count := 0
	for _, r := range keyspace.Divide(n) {
		for _, node := range w.nodes {
			if route, ok := node.m.View().Lookup("svc", r.First, node.clock.at(w.now)); ok && route.Serving && !node.paused && !w.servers[route.Server].down {
				count++
				break
			}
		}
	}
	return count
}

// until runs the world until the condition holds and returns the time it took.
func (w *world) until(limit time.Duration, condition func() bool) time.Duration {
	start := w.now
	for !condition() {
		require.Less(w.t, w.now-start, limit, "condition not reached")
		w.run(TickInterval)
	}
	return w.now - start
}

func (w *world) allServing(n int) func() bool { return func() bool { return w.serving(n) == n } }
