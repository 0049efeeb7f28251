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
	server := &fakeServer{sim: s, name: name, checksGrants: checks, checker: c, serviceTime: 5 * time.Millisecond}
	server.clock = newClock(rate, s.now, s.randomDuration(0, time.Hour))
	server.start()
	return server
}

// start starts a new instance without any state.
func (server *fakeServer) start() {
	server.dead, server.frozen, server.inbox = false, false, nil
	server.instance = server.sim.newID()
	server.term, server.subTerm, server.grantTerm, server.grantSubTerm, server.setVersion, server.grantExpiresAt = 0, 0, 0, 0, 0, 0
	server.held = map[ownership.SliceRef]bool{}
	server.released = map[ownership.SliceRef]bool{}
	server.runningRequests = map[ownership.SliceRef]int{}
	server.pendingReleases = nil
	server.sim.tracef("server %s starts as %s", server.name, server.instance)
}

func (server *fakeServer) kill() {
	server.checker.endGrant(server.instance)
	server.dead, server.inbox = true, nil
	server.sim.tracef("server %s killed", server.name)
}

// resume continues after a freeze. Calls that arrived meanwhile are handled in order.
func (server *fakeServer) resume() {
	server.frozen = false
	server.sim.tracef("server %s resumes", server.name)
	inbox := server.inbox
	server.inbox = nil
	for _, run := range inbox {
		run()
	}
}

// receive runs a handler now, or after the freeze.
func (server *fakeServer) receive(run func()) {
	instance := server.instance
	switch {
	case server.dead:
	case server.frozen:
		server.inbox = append(server.inbox, func() {
			if server.instance == instance && !server.dead {
				run()
			}
		})
	default:
		run()
	}
}

func (server *fakeServer) localTime() time.Duration { return server.clock.at(server.sim.now) }

func (server *fakeServer) newToken() string {
	return server.instance + "/" + strconv.FormatInt(int64(server.localTime()), 10)
}

func (server *fakeServer) tokenIssuedAt(token string) (time.Duration, bool) {
	instance, at, ok := strings.Cut(token, "/")
	n, err := strconv.ParseInt(at, 10, 64)
	return time.Duration(n), ok && err == nil && instance == server.instance
}

func isLowerTerm(term, sub, thanTerm, thanSub uint64) bool {
	return term < thanTerm || term == thanTerm && sub < thanSub
}

// handleGrant handles a SendGrant by the rules of serverapi.Grant.
func (server *fakeServer) handleGrant(g ownership.SendGrant) ownership.GrantResponse {
	answer := ownership.GrantResponse{Server: server.name, Seq: g.Seq, Accepted: true}
	// The term of the last grant with slices, before this one is handled.
	answer.PreviousTerm = server.grantTerm
	switch {
	case isLowerTerm(g.Term, g.SubTerm, server.term, server.subTerm) && !server.ignoresTerms:
		answer.Accepted = false
	default:
		server.term, server.subTerm = g.Term, g.SubTerm
		if g.Token != "" {
			answer.Accepted = server.acceptGrant(g)
		}
	}
	server.reportGrant()
	answer.Instance, answer.Token = server.instance, server.newToken()
	answer.Term, answer.SubTerm, answer.SetVersion = server.term, server.subTerm, server.setVersion
	answer.Draining = server.draining
	if g.Token == "" || !answer.Accepted {
		answer.Held, answer.Released = sortedSlices(server.held), sortedSlices(server.released)
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

func (server *fakeServer) acceptGrant(g ownership.SendGrant) bool {
	issued, ok := server.tokenIssuedAt(g.Token)
	if !ok {
		return false
	}
	sameTerm := g.Term == server.grantTerm && g.SubTerm == server.grantSubTerm
	switch {
	case g.HasSlices && sameTerm && g.SetVersion < server.setVersion:
		return false // a newer grant arrived earlier
	case g.HasSlices:
		server.held = map[ownership.SliceRef]bool{}
		for _, s := range g.Slices {
			if !server.wasReleased(s) {
				server.held[s] = true
			}
		}
	case !sameTerm || g.SetVersion != server.setVersion:
		return false
	}
	if !sameTerm {
		server.grantExpiresAt = 0
	}
	server.grantTerm, server.grantSubTerm, server.setVersion = g.Term, g.SubTerm, g.SetVersion
	server.grantExpiresAt = max(server.grantExpiresAt, issued+g.TTL)
	return true
}

// wasReleased reports whether any part of a slice was released under its generation,
// also before a split or merge.
func (server *fakeServer) wasReleased(s ownership.SliceRef) bool {
	if server.forgetsReleases {
		return false
	}
	for r := range server.released {
		if r.Generation == s.Generation && r.Range.Overlaps(s.Range) {
			return true
		}
	}
	return false
}

// reportGrant reports to the checker for which ranges the server accepts requests, and
// until when if the grant is not renewed.
func (server *fakeServer) reportGrant() {
	if !server.checksGrants {
		return
	}
	var ranges []keyspace.Range
	if server.term == server.grantTerm && server.subTerm == server.grantSubTerm || server.ignoresTerms {
		for _, s := range sortedSlices(server.held) {
			ranges = append(ranges, s.Range)
		}
	}
	server.checker.recordGrant(server.instance, server.name, server.sim.now, server.clock.trueTime(server.grantExpiresAt), ranges)
}

// handleRelease handles a SendRelease. It calls done once no request of the slice runs.
func (server *fakeServer) handleRelease(r ownership.SendRelease, done func(ownership.ReleaseCompleted)) {
	answer := ownership.ReleaseCompleted{Server: server.name, Slice: r.Slice, Instance: server.instance}
	if isLowerTerm(r.Term, r.SubTerm, server.term, server.subTerm) {
		done(answer)
		return
	}
	for s := range server.held {
		if s.Generation == r.Slice.Generation && s.Range.Overlaps(r.Slice.Range) {
			delete(server.held, s)
		}
	}
	server.released[r.Slice] = true
	server.reportGrant()
	answer.Released = true
	server.whenIdle(r.Slice, func() { done(answer) })
}

func (server *fakeServer) whenIdle(s ownership.SliceRef, run func()) {
	if server.runningRequests[s] == 0 {
		run()
		return
	}
	server.pendingReleases = append(server.pendingReleases, func() { server.whenIdle(s, run) })
}

// handleRequest handles a request. It calls refused with a reason if the request does
// not run, or done when it has run.
func (server *fakeServer) handleRequest(r request, refused func(string), done func()) {
	slice, ok := server.coveringSlice(r)
	if server.checksGrants && !ok {
		refused(fmt.Sprintf("no grant covers term %d.%d generation %d", r.term, r.subTerm, r.generation))
		return
	}
	instance := server.instance
	server.checker.recordAccepted(acceptedRequest{
		server: server.name, instance: instance, keyHash: r.keyHash, generation: r.generation,
		attemptID: r.attemptID, isOrder: r.isOrder, startedAt: server.sim.now, endsAt: server.sim.now + server.serviceTime,
	})
	server.runningRequests[slice]++
	server.sim.schedule(server.serviceTime, func() {
		server.receive(func() {
			if server.instance != instance {
				return
			}
			server.runningRequests[slice]--
			waiting := server.pendingReleases
			server.pendingReleases = nil
			for _, run := range waiting {
				run()
			}
			done()
		})
	})
}

func (server *fakeServer) coveringSlice(r request) (ownership.SliceRef, bool) {
	if server.localTime() >= server.grantExpiresAt {
		return ownership.SliceRef{}, false
	}
	current := r.term == server.term && r.subTerm == server.subTerm && r.term == server.grantTerm && r.subTerm == server.grantSubTerm
	if !current && !server.ignoresTerms {
		return ownership.SliceRef{}, false
	}
	for s := range server.held {
		if s.Generation == r.generation && s.Range.Contains(r.keyHash) {
			return s, true
		}
	}
	return ownership.SliceRef{}, false
}
