package faultmatrix

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"parsleyrelay.example/core/keyspace"
	"parsleyrelay.example/core/ownership"
)

// request is one attempt that a home writes to a server.
type request struct {
	id         string
	hash       uint64
	order      bool // must not run twice
	term       uint64
	subTerm    uint64
	generation uint64
}

// backendServer is a fake of a server process as api/serverapi describes it.
type backendServer struct {
	sim     *sim
	name    string
	checks  bool
	checker *checker
	clock   clock

	instance string
	dead     bool
	frozen   bool
	inbox    []func()
	draining bool

	term, subTerm uint64
	grantTerm     uint64 // of the last grant with slices
	grantSub      uint64
	setVersion    uint64
	held          map[ownership.SliceRef]bool
	released      map[ownership.SliceRef]bool
	expires       time.Duration // own clock
	running       map[ownership.SliceRef]int
	waiting       []func() // releases that wait for running requests
	noFence       bool     // rule off: accepts any term
	forget        bool     // rule off: does not remember releases
	workTime      time.Duration
}

func newServer(s *sim, c *checker, name string, checks bool, rate float64) *backendServer {
	b := &backendServer{sim: s, name: name, checks: checks, checker: c, workTime: 5 * time.Millisecond}
	b.clock = newClock(rate, s.now, s.jitter(0, time.Hour))
	b.start()
	return b
}

// start begins a new instance that remembers nothing.
func (b *backendServer) start() {
	b.dead, b.frozen, b.inbox = false, false, nil
	b.instance = b.sim.id()
	b.term, b.subTerm, b.grantTerm, b.grantSub, b.setVersion, b.expires = 0, 0, 0, 0, 0, 0
	b.held = map[ownership.SliceRef]bool{}
	b.released = map[ownership.SliceRef]bool{}
	b.running = map[ownership.SliceRef]int{}
	b.waiting = nil
	b.sim.note("server %s starts as %s", b.name, b.instance)
}

func (b *backendServer) kill() {
	b.checker.stopped(b.instance)
	b.dead, b.inbox = true, nil
	b.sim.note("server %s killed", b.name)
}

// resume continues after a freeze; what arrived meanwhile is handled in order.
func (b *backendServer) resume() {
	b.frozen = false
	b.sim.note("server %s resumes", b.name)
	inbox := b.inbox
	b.inbox = nil
	for _, run := range inbox {
		run()
	}
}

// receive runs a handler now, or after the freeze.
func (b *backendServer) receive(run func()) {
	instance := b.instance
	switch {
	case b.dead:
	case b.frozen:
		b.inbox = append(b.inbox, func() {
			if b.instance == instance && !b.dead {
				run()
			}
		})
	default:
		run()
	}
}

func (b *backendServer) local() time.Duration { return b.clock.at(b.sim.now) }

func (b *backendServer) token() string {
	return b.instance + "/" + strconv.FormatInt(int64(b.local()), 10)
}

func (b *backendServer) issued(token string) (time.Duration, bool) {
	instance, at, ok := strings.Cut(token, "/")
	n, err := strconv.ParseInt(at, 10, 64)
	return time.Duration(n), ok && err == nil && instance == b.instance
}

func lower(term, sub, thanTerm, thanSub uint64) bool {
	return term < thanTerm || term == thanTerm && sub < thanSub
}

// grant handles SendGrant. It mirrors the rules of serverapi.Grant.
func (b *backendServer) grant(g ownership.SendGrant) ownership.GrantResponse {
	answer := ownership.GrantResponse{Server: b.name, Seq: g.Seq, Accepted: true}
	// The term of the last grant with slices before this one.
	answer.PreviousTerm = b.grantTerm
	switch {
	case lower(g.Term, g.SubTerm, b.term, b.subTerm) && !b.noFence:
		answer.Accepted = false
	default:
		b.term, b.subTerm = g.Term, g.SubTerm
		if g.Token != "" {
			answer.Accepted = b.accept(g)
		}
	}
	b.observe()
	answer.Instance, answer.Token = b.instance, b.token()
	answer.Term, answer.SubTerm, answer.SetVersion = b.term, b.subTerm, b.setVersion
	answer.Draining = b.draining
	if g.Token == "" || !answer.Accepted {
		answer.Held, answer.Released = sorted(b.held), sorted(b.released)
	}
	return answer
}

// sorted keeps runs with one seed equal.
func sorted(set map[ownership.SliceRef]bool) []ownership.SliceRef {
	return slices.SortedFunc(maps.Keys(set), func(a, b ownership.SliceRef) int {
		return cmp.Or(cmp.Compare(a.Range.First, b.Range.First), cmp.Compare(a.Generation, b.Generation))
	})
}

func (b *backendServer) accept(g ownership.SendGrant) bool {
	issued, ok := b.issued(g.Token)
	if !ok {
		return false
	}
	sameTerm := g.Term == b.grantTerm && g.SubTerm == b.grantSub
	switch {
	case g.HasSlices && sameTerm && g.SetVersion < b.setVersion:
		return false // overtaken by a newer grant
	case g.HasSlices:
		b.held = map[ownership.SliceRef]bool{}
		for _, s := range g.Slices {
			if !b.wasReleased(s) {
				b.held[s] = true
			}
		}
	case !sameTerm || g.SetVersion != b.setVersion:
		return false
	}
	if !sameTerm {
		b.expires = 0
	}
	b.grantTerm, b.grantSub, b.setVersion = g.Term, g.SubTerm, g.SetVersion
	b.expires = max(b.expires, issued+g.TTL)
	return true
}

// wasReleased finds releases also after the slice was split or merged.
func (b *backendServer) wasReleased(s ownership.SliceRef) bool {
	if b.forget {
		return false
	}
	for r := range b.released {
		if r.Generation == s.Generation && r.Range.Overlaps(s.Range) {
			return true
		}
	}
	return false
}

// observe reports to the checker which ranges the server would accept work for,
// and until when if nothing else happens.
func (b *backendServer) observe() {
	if !b.checks {
		return
	}
	var ranges []keyspace.Range
	if b.term == b.grantTerm && b.subTerm == b.grantSub || b.noFence {
		for _, s := range sorted(b.held) {
			ranges = append(ranges, s.Range)
		}
	}
	b.checker.granted(b.instance, b.name, b.sim.now, b.clock.trueTime(b.expires), ranges)
}

// release handles SendRelease; done is called when no request runs any more.
func (b *backendServer) release(r ownership.SendRelease, done func(ownership.ReleaseCompleted)) {
	answer := ownership.ReleaseCompleted{Server: b.name, Slice: r.Slice, Instance: b.instance}
	if lower(r.Term, r.SubTerm, b.term, b.subTerm) {
		done(answer)
		return
	}
	for s := range b.held {
		if s.Generation == r.Slice.Generation && s.Range.Overlaps(r.Slice.Range) {
			delete(b.held, s)
		}
	}
	b.released[r.Slice] = true
	b.observe()
	answer.Released = true
	b.whenIdle(r.Slice, func() { done(answer) })
}

func (b *backendServer) whenIdle(s ownership.SliceRef, run func()) {
	if b.running[s] == 0 {
		run()
		return
	}
	b.waiting = append(b.waiting, func() { b.whenIdle(s, run) })
}

// execute handles a request. refused is the reason for "not run", done the end
// of the work.
func (b *backendServer) execute(r request, refused func(string), done func()) {
	slice, ok := b.covered(r)
	if b.checks && !ok {
		refused(fmt.Sprintf("no grant covers term %d.%d generation %d", r.term, r.subTerm, r.generation))
		return
	}
	instance := b.instance
	b.checker.accepted(work{
		server: b.name, instance: instance, hash: r.hash, generation: r.generation,
		id: r.id, order: r.order, from: b.sim.now, to: b.sim.now + b.workTime,
	})
	b.running[slice]++
	b.sim.after(b.workTime, func() {
		b.receive(func() {
			if b.instance != instance {
				return
			}
			b.running[slice]--
			waiting := b.waiting
			b.waiting = nil
			for _, run := range waiting {
				run()
			}
			done()
		})
	})
}

func (b *backendServer) covered(r request) (ownership.SliceRef, bool) {
	if b.local() >= b.expires {
		return ownership.SliceRef{}, false
	}
	current := r.term == b.term && r.subTerm == b.subTerm && r.term == b.grantTerm && r.subTerm == b.grantSub
	if !current && !b.noFence {
		return ownership.SliceRef{}, false
	}
	for s := range b.held {
		if s.Generation == r.generation && s.Range.Contains(r.hash) {
			return s, true
		}
	}
	return ownership.SliceRef{}, false
}
