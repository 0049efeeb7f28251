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
	held               map[HeldSlice]bool
	released           map[HeldSlice]bool
	issued             map[string]time.Duration
	expires            time.Duration
	grants             int
}

func newFakeServer(name, instance string) *fakeServer {
	return &fakeServer{name: name, instance: instance, held: map[HeldSlice]bool{}, released: map[HeldSlice]bool{}, issued: map[string]time.Duration{}}
}

func (f *fakeServer) grant(now time.Duration, g SendGrant) GrantAnswered {
	previous := f.granted
	answer := GrantAnswered{Server: f.name, Seq: g.Seq, Instance: f.instance, PreviousTerm: previous}
	if g.Term > f.term || (g.Term == f.term && g.SubTerm >= f.sub) {
		f.term, f.sub = g.Term, g.SubTerm
		answer.Accepted = true
	}
	if issued, ok := f.issued[g.Token]; answer.Accepted && g.Token != "" {
		if answer.Accepted = ok; ok {
			f.granted, f.grants, f.expires = g.Term, f.grants+1, issued+g.TTL
			if g.HasSlices {
				f.held = map[HeldSlice]bool{}
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

func (f *fakeServer) holds(now time.Duration, s HeldSlice) bool {
	return now < f.expires && f.held[s] && !f.released[s]
}

// node is a daemon in a test; paused and cut nodes neither step nor respond.
type node struct {
	m      *Machine
	paused bool
	heard  map[string]time.Duration
	ids    int
}

// world runs machines against an in-memory log and fake servers. Effects are
// carried out at once, their results reach the machine as the next inputs.
type world struct {
	t       *testing.T
	now     time.Duration
	log     []record.Positioned
	logDown bool
	trace   bool // log all events
	nodes   map[string]*node
	order   []string
	servers map[string]*fakeServer
	// drop filters effects; a true result loses the effect.
	drop    func(from string, e Effect) bool
	effects []Effect
}

func newWorld(t *testing.T) *world {
	return &world{t: t, nodes: map[string]*node{}, servers: map[string]*fakeServer{}}
}

func (w *world) start(name, zone string, disabled ...Rule) *node {
	n := &node{heard: map[string]time.Duration{}}
	cfg := Config{Host: name, Incarnation: name, Zone: zone, PeerURL: "http://" + name, WallMS: func() int64 { return 0 },
		NewID: func() string { n.ids++; return fmt.Sprintf("%s-%d", name, n.ids) }, Retention: time.Hour}
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
	return &resource.Server{Service: "svc", Zone: "z", Address: "http://10.0.0.1:80", Slots: 2, Connections: 4, ChecksGrants: name[:5] != "plain"}
}

func (w *world) step(name string, in Input) {
	n := w.nodes[name]
	if n.paused {
		return
	}
	queue := []Input{in}
	for len(queue) > 0 {
		in, queue = queue[0], queue[1:]
		for _, e := range n.m.Step(w.now, in) {
			if ev, ok := e.(Emit); ok && w.trace {
				w.t.Logf("%s %s %+v", w.now, name, ev.Event)
			}
			w.effects = append(w.effects, e)
			if w.drop != nil && w.drop(name, e) {
				continue
			}
			queue = append(queue, w.carryOut(name, e)...)
		}
	}
}

func (w *world) carryOut(from string, e Effect) []Input {
	switch e := e.(type) {
	case Append:
		if w.logDown {
			return []Input{AppendDone{RecordID: e.Record.ID, Err: true}}
		}
		offset := uint64(len(w.log) + 1)
		w.log = append(w.log, record.Positioned{Offset: offset, Record: e.Record})
		return []Input{AppendDone{RecordID: e.Record.ID, Offset: offset}}
	case Poll:
		other := w.nodes[e.Witness]
		if other == nil || other.paused {
			return []Input{PollFailed{Witness: e.Witness}}
		}
		other.heard[from] = w.now
		w.step(e.Witness, PollReceived{Poller: from, Loads: e.Loads})
		in := PollAnswered{Witness: e.Witness, SentAt: w.now, Applied: other.m.View().Applied, Heard: map[string]time.Duration{}}
		for name, at := range other.heard {
			in.Heard[name] = w.now - at
		}
		if e.Applied < in.Applied {
			in.Records = w.log[e.Applied:in.Applied]
		}
		return []Input{in}
	case SendGrant:
		server := w.servers[e.Server]
		if server == nil || server.down {
			return []Input{GrantFailed{Server: e.Server, Seq: e.Seq}}
		}
		return []Input{server.grant(w.now, e)}
	case Probe:
		if w.servers[e.Server].down {
			return []Input{GrantFailed{Server: e.Server, Seq: e.Seq}}
		}
		return []Input{GrantAnswered{Server: e.Server, Seq: e.Seq, Accepted: true}}
	case Quiesce:
		return []Input{Quiesced(e)}
	case TransferIDs:
		return []Input{IDsTransferred{Server: e.Server, Slice: e.Slice, OK: true}}
	case SendRelease:
		server := w.servers[e.Server]
		if !server.down {
			server.released[e.Slice] = true
		}
		return []Input{ReleaseAnswered{Server: e.Server, Slice: e.Slice, Instance: server.instance, Done: !server.down}}
	}
	return nil
}

// run lets time pass in steps of one tick and checks after each that no key has
// two owners that could act.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += TickInterval
		for _, name := range w.order {
			n := w.nodes[name]
			if w.logDown {
				w.step(name, LogUnreachable{})
			} else {
				next := min(n.m.View().Applied, uint64(len(w.log)))
				w.step(name, RecordsRead{Records: w.log[next:], Oldest: 1})
			}
			w.step(name, Tick{})
		}
		w.checkOwners()
	}
}

// checkOwners fails the test when two homes may send requests for one hash, or
// two servers hold it under live grants.
func (w *world) checkOwners() {
	for _, r := range keyspace.Divide(16) {
		var senders, holders []string
		for _, name := range w.order {
			if route, ok := w.nodes[name].m.View().Lookup("svc", r.First, w.now); ok && route.Serving {
				senders = append(senders, name+"->"+route.Server)
			}
		}
		for name, server := range w.servers {
			for s := range server.held {
				if s.Range.Contains(r.First) && server.holds(w.now, s) {
					holders = append(holders, name)
				}
			}
		}
		require.LessOrEqual(w.t, len(holders), 1, "holders of %x at %s: %v", r.First, w.now, holders)
		targets := map[string]bool{}
		for _, s := range senders {
			targets[s[len(s)-6:]] = true
		}
		require.LessOrEqual(w.t, len(targets), 1, "senders of %x at %s: %v", r.First, w.now, senders)
	}
}

// serving returns how many of n evenly spread hashes may be dispatched.
func (w *world) serving(n int) int {
	count := 0
	for _, r := range keyspace.Divide(n) {
		for _, node := range w.nodes {
			if route, ok := node.m.View().Lookup("svc", r.First, w.now); ok && route.Serving && !node.paused && !w.servers[route.Server].down {
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
