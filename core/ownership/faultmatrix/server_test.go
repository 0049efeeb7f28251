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

// request is one attempt that a home sends to a server.
type request struct {
	attemptID  string
	keyHash    uint64
	isOrder    bool // must not run twice
	term       uint64
	subTerm    uint64
	generation uint64
}

// fakeServer simulates a server process that follows api/serverapi.
type fakeServer struct {
	sim          *simulator
	name         string
	checksGrants bool
	checker      *checker
	clock        driftingClock

	instance string
	dead     bool
	frozen   bool
	inbox    []func()
	draining bool

	term, subTerm   uint64
	grantTerm       uint64 // of the last grant with slices
	grantSubTerm    uint64
	setVersion      uint64
	held            map[ownership.SliceRef]bool
	released        map[ownership.SliceRef]bool
	grantExpiresAt  time.Duration // on the own clock
	runningRequests map[ownership.SliceRef]int
	pendingReleases []func() // releases that wait for running requests
	ignoresTerms    bool     // with termFencing disabled: accepts any term
	forgetsReleases bool     // with releaseMemory disabled
	serviceTime     time.Duration
}

func newFakeServer(s *simulator, c *checker, name string, checks bool, rate float64) *fakeServer {
	b := &fakeServer{sim: s, name: name, checksGrants: checks, checker: c, serviceTime: 5 * time.Millisecond}
	b.clock = newClock(rate, s.now, s.randomDuration(0, time.Hour))
	b.start()
	return b
}

// start starts a new instance without any state.
func (b *fakeServer) start() {
	b.dead, b.frozen, b.inbox = false, false, nil
	b.instance = b.sim.newID()
	b.term, b.subTerm, b.grantTerm, b.grantSubTerm, b.setVersion, b.grantExpiresAt = 0, 0, 0, 0, 0, 0
	b.held = map[ownership.SliceRef]bool{}
	b.released = map[ownership.SliceRef]bool{}
	b.runningRequests = map[ownership.SliceRef]int{}
	b.pendingReleases = nil
	b.sim.tracef("server %s starts as %s", b.name, b.instance)
}

func (b *fakeServer) kill() {
	b.checker.endGrant(b.instance)
	b.dead, b.inbox = true, nil
	b.sim.tracef("server %s killed", b.name)
}

// resume continues after a freeze. Calls that arrived meanwhile are handled in order.
func (b *fakeServer) resume() {
	b.frozen = false
	b.sim.tracef("server %s resumes", b.name)
	inbox := b.inbox
	b.inbox = nil
	for _, run := range inbox {
		run()
	}
}

// receive runs a handler now, or after the freeze.
func (b *fakeServer) receive(run func()) {
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

func (b *fakeServer) localTime() time.Duration { return b.clock.at(b.sim.now) }

func (b *fakeServer) newToken() string {
	return b.instance + "/" + strconv.FormatInt(int64(b.localTime()), 10)
}

func (b *fakeServer) tokenIssuedAt(token string) (time.Duration, bool) {
	instance, at, ok := strings.Cut(token, "/")
	n, err := strconv.ParseInt(at, 10, 64)
	return time.Duration(n), ok && err == nil && instance == b.instance
}

func isLowerTerm(term, sub, thanTerm, thanSub uint64) bool {
	return term < thanTerm || term == thanTerm && sub < thanSub
}

// handleGrant handles a SendGrant by the rules of serverapi.Grant.
func (b *fakeServer) handleGrant(g ownership.SendGrant) ownership.GrantResponse {
	answer := ownership.GrantResponse{Server: b.name, Seq: g.Seq, Accepted: true}
	// The term of the last grant with slices, before this one is handled.
	answer.PreviousTerm = b.grantTerm
	switch {
	case isLowerTerm(g.Term, g.SubTerm, b.term, b.subTerm) && !b.ignoresTerms:
		answer.Accepted = false
	default:
		b.term, b.subTerm = g.Term, g.SubTerm
		if g.Token != "" {
			answer.Accepted = b.acceptGrant(g)
		}
	}
	b.reportGrant()
	answer.Instance, answer.Token = b.instance, b.newToken()
	answer.Term, answer.SubTerm, answer.SetVersion = b.term, b.subTerm, b.setVersion
	answer.Draining = b.draining
	if g.Token == "" || !answer.Accepted {
		answer.Held, answer.Released = sortedSlices(b.held), sortedSlices(b.released)
	}
	return answer
}

// sortedSlices returns a set of slices in a fixed order, so that runs with one seed are
// equal.
func sortedSlices(set map[ownership.SliceRef]bool) []ownership.SliceRef {
	return slices.SortedFunc(maps.Keys(set), func(a, b ownership.SliceRef) int {
		return cmp.Or(cmp.Compare(a.Range.First, b.Range.First), cmp.Compare(a.Generation, b.Generation))
	})
}

func (b *fakeServer) acceptGrant(g ownership.SendGrant) bool {
	issued, ok := b.tokenIssuedAt(g.Token)
	if !ok {
		return false
	}
	sameTerm := g.Term == b.grantTerm && g.SubTerm == b.grantSubTerm
	switch {
	case g.HasSlices && sameTerm && g.SetVersion < b.setVersion:
		return false // a newer grant arrived earlier
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
		b.grantExpiresAt = 0
	}
	b.grantTerm, b.grantSubTerm, b.setVersion = g.Term, g.SubTerm, g.SetVersion
	b.grantExpiresAt = max(b.grantExpiresAt, issued+g.TTL)
	return true
}

// wasReleased reports whether any part of a slice was released under its generation,
// also before a split or merge.
func (b *fakeServer) wasReleased(s ownership.SliceRef) bool {
	if b.forgetsReleases {
		return false
	}
	for r := range b.released {
		if r.Generation == s.Generation && r.Range.Overlaps(s.Range) {
			return true
		}
	}
	return false
}

// reportGrant reports to the checker for which ranges the server accepts requests, and
// until when if the grant is not renewed.
func (b *fakeServer) reportGrant() {
	if !b.checksGrants {
		return
	}
	var ranges []keyspace.Range
	if b.term == b.grantTerm && b.subTerm == b.grantSubTerm || b.ignoresTerms {
		for _, s := range sortedSlices(b.held) {
			ranges = append(ranges, s.Range)
		}
	}
	b.checker.recordGrant(b.instance, b.name, b.sim.now, b.clock.trueTime(b.grantExpiresAt), ranges)
}

// handleRelease handles a SendRelease. It calls done once no request of the slice runs.
func (b *fakeServer) handleRelease(r ownership.SendRelease, done func(ownership.ReleaseCompleted)) {
	answer := ownership.ReleaseCompleted{Server: b.name, Slice: r.Slice, Instance: b.instance}
	if isLowerTerm(r.Term, r.SubTerm, b.term, b.subTerm) {
		done(answer)
		return
	}
	for s := range b.held {
		if s.Generation == r.Slice.Generation && s.Range.Overlaps(r.Slice.Range) {
			delete(b.held, s)
		}
	}
	b.released[r.Slice] = true
	b.reportGrant()
	answer.Released = true
	b.whenIdle(r.Slice, func() { done(answer) })
}

func (b *fakeServer) whenIdle(s ownership.SliceRef, run func()) {
	if b.runningRequests[s] == 0 {
		run()
		return
	}
	b.pendingReleases = append(b.pendingReleases, func() { b.whenIdle(s, run) })
}

// handleRequest handles a request. It calls refused with a reason if the request does
// not run, or done when it has run.
func (b *fakeServer) handleRequest(r request, refused func(string), done func()) {
	slice, ok := b.coveringSlice(r)
	if b.checksGrants && !ok {
		refused(fmt.Sprintf("no grant covers term %d.%d generation %d", r.term, r.subTerm, r.generation))
		return
	}
	instance := b.instance
	b.checker.recordAccepted(acceptedRequest{
		server: b.name, instance: instance, keyHash: r.keyHash, generation: r.generation,
		attemptID: r.attemptID, isOrder: r.isOrder, startedAt: b.sim.now, endsAt: b.sim.now + b.serviceTime,
	})
	b.runningRequests[slice]++
	b.sim.schedule(b.serviceTime, func() {
		b.receive(func() {
			if b.instance != instance {
				return
			}
			b.runningRequests[slice]--
			waiting := b.pendingReleases
			b.pendingReleases = nil
			for _, run := range waiting {
				run()
			}
			done()
		})
	})
}

func (b *fakeServer) coveringSlice(r request) (ownership.SliceRef, bool) {
	if b.localTime() >= b.grantExpiresAt {
		return ownership.SliceRef{}, false
	}
	current := r.term == b.term && r.subTerm == b.subTerm && r.term == b.grantTerm && r.subTerm == b.grantSubTerm
	if !current && !b.ignoresTerms {
		return ownership.SliceRef{}, false
	}
	for s := range b.held {
		if s.Generation == r.generation && s.Range.Contains(r.keyHash) {
			return s, true
		}
	}
	return ownership.SliceRef{}, false
}
