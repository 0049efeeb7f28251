// Package grants is the grant logic of a backend server that checks grants. It
// does no I/O, starts no goroutines and reads no clock of its own, so that teams
// can copy it into their servers. docs/design.md, section 5.2, has the rules.
package grants

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"parsleyrelay.example/api/serverapi"
)

// Tracker holds the grants of one server instance. It is not safe for concurrent
// use; a server guards it with a mutex and calls Begin and Finish around each
// request.
type Tracker struct {
	server   string
	instance string
	now      func() time.Duration
	draining bool

	accepted fence // highest (term, sub-term) accepted
	granted  fence // of the last grant with a token
	expiry   time.Duration
	version  uint64 // of the slice set, within granted
	held     []slice
	// finishing holds slices that were released but that the home's latest set
	// still has: running work may end, new work is refused.
	finishing []slice
	released  []slice
	running   map[*ActiveRequest]struct{}
}

type fence struct{ term, subTerm uint64 }

func (f fence) less(o fence) bool {
	return f.term < o.term || (f.term == o.term && f.subTerm < o.subTerm)
}

type slice struct{ first, last, generation uint64 }

func (s slice) contains(hash uint64) bool { return s.first <= hash && hash <= s.last }
func (s slice) covers(o slice) bool       { return s.first <= o.first && o.last <= s.last }

// ActiveRequest is a request that was accepted and has not ended.
type ActiveRequest struct {
	hash       uint64
	generation uint64
}

// Request is what a request to the server says about its grant.
type Request struct {
	Term       uint64
	SubTerm    uint64
	KeyHash    uint64
	Generation uint64
}

// NewTracker returns the book of a new instance. now is the server's monotonic
// clock; it must not stop while the process is paused or the machine sleeps.
// instance must be new at each start.
func NewTracker(server, instance string, now func() time.Duration) *Tracker {
	return &Tracker{server: server, instance: instance, now: now, running: map[*ActiveRequest]struct{}{}}
}

// InstanceID returns the id of the instance.
func (b *Tracker) InstanceID() string { return b.instance }

// SetDraining sets what responses say about draining. It refuses nothing.
func (b *Tracker) SetDraining(draining bool) { b.draining = draining }

// HandleGrant answers a grant. The error reports a grant that cannot be read.
func (b *Tracker) HandleGrant(g serverapi.Grant) (serverapi.GrantResponse, error) {
	granted, err := parseSlices(g.Slices)
	if err != nil {
		return serverapi.GrantResponse{}, err
	}
	response := serverapi.GrantResponse{
		Instance:     b.instance,
		Draining:     b.draining,
		PreviousTerm: b.granted.term,
	}
	response.Reason = b.apply(g, granted)
	response.Accepted = response.Reason == ""
	response.Token = b.token()
	response.Term, response.SubTerm = b.accepted.term, b.accepted.subTerm
	if b.granted == b.accepted {
		response.SetVersion = b.version
	}
	if g.Token == "" {
		response.Held = formatSlices(b.held)
		response.Released = formatSlices(b.released)
	}
	return response, nil
}

func (b *Tracker) apply(g serverapi.Grant, granted []slice) serverapi.Refusal {
	if g.Server != b.server {
		return serverapi.RefusedNoGrant
	}
	from := fence{g.Term, g.SubTerm}
	if from.less(b.accepted) {
		return serverapi.RefusedTerm
	}
	b.accepted = from
	if g.Token == "" {
		return ""
	}
	issued, ok := b.issuedAt(g.Token)
	if !ok {
		return serverapi.RefusedNoGrant
	}
	renewed := b.granted == from
	switch {
	case renewed && g.SetVersion < b.version:
		// Overtaken by a later grant of the same home. Its set may hold slices
		// that have been taken away since.
		return serverapi.RefusedNoGrant
	case g.HasSlices:
		b.setSlices(granted)
	case !renewed || g.SetVersion != b.version:
		return serverapi.RefusedNoGrant
	}
	expiry := issued + time.Duration(g.TTLMS)*time.Millisecond
	if renewed {
		// Grants of one home may arrive out of order; the longest is still true.
		expiry = max(expiry, b.expiry)
	}
	b.granted, b.version, b.expiry = from, g.SetVersion, expiry
	return ""
}

// setSlices replaces the set. A released slice stays out of it until it comes
// with a later generation.
func (b *Tracker) setSlices(granted []slice) {
	b.held, b.finishing = b.held[:0], b.finishing[:0]
	for _, s := range granted {
		if b.isReleased(s) {
			b.finishing = append(b.finishing, s)
		} else {
			b.held = append(b.held, s)
		}
	}
	b.released = slices.DeleteFunc(b.released, func(r slice) bool {
		return slices.ContainsFunc(b.held, func(s slice) bool { return s.covers(r) && s.generation > r.generation })
	})
}

func (b *Tracker) isReleased(s slice) bool {
	return slices.ContainsFunc(b.released, func(r slice) bool {
		return r.covers(s) && s.generation <= r.generation
	})
}

// BeginRequest accepts a request, or says why not. Every accepted request must be ended
// with Finish.
func (b *Tracker) BeginRequest(r Request) (*ActiveRequest, serverapi.Refusal) {
	from := fence{r.Term, r.SubTerm}
	if from.less(b.accepted) {
		return nil, serverapi.RefusedTerm
	}
	// A higher term than the accepted one has not granted anything here yet.
	if from != b.granted || !b.covered(r.KeyHash, r.Generation) {
		return nil, serverapi.RefusedNoGrant
	}
	work := &ActiveRequest{hash: r.KeyHash, generation: r.Generation}
	b.running[work] = struct{}{}
	return work, ""
}

// FinishRequest ends a request.
func (b *Tracker) FinishRequest(w *ActiveRequest) { delete(b.running, w) }

// CoveredUntil reports whether the slice of running work is still held under a live
// grant, and the time at which that grant expires. Work must take effect only
// while it is covered. A released slice covers the work that it waits for until
// a set without it arrives, after which the slice may belong to another server.
func (b *Tracker) CoveredUntil(w *ActiveRequest) (until time.Duration, ok bool) {
	if _, running := b.running[w]; !running {
		return 0, false
	}
	matches := func(s slice) bool { return s.contains(w.hash) && s.generation == w.generation }
	if b.now() >= b.expiry || !(slices.ContainsFunc(b.held, matches) || slices.ContainsFunc(b.finishing, matches)) {
		return 0, false
	}
	return b.expiry, true
}

func (b *Tracker) covered(hash, generation uint64) bool {
	if b.now() >= b.expiry {
		return false
	}
	for _, r := range b.released {
		if r.contains(hash) && generation <= r.generation {
			return false
		}
	}
	return slices.ContainsFunc(b.held, func(s slice) bool { return s.contains(hash) && s.generation == generation })
}

// HandleRelease gives slices up: no new work is accepted for them from now on. The
// caller then waits until Idle. The error reports a release that cannot be read.
func (b *Tracker) HandleRelease(r serverapi.Release) (serverapi.Refusal, error) {
	given, err := parseSlices(r.Slices)
	if err != nil {
		return "", err
	}
	if r.Server != b.server {
		return serverapi.RefusedNoGrant, nil
	}
	from := fence{r.Term, r.SubTerm}
	if from.less(b.accepted) {
		return serverapi.RefusedTerm, nil
	}
	b.accepted = from
	for _, s := range given {
		b.held = slices.DeleteFunc(b.held, func(h slice) bool {
			given := s.covers(h) && h.generation <= s.generation
			if given {
				b.finishing = append(b.finishing, h)
			}
			return given
		})
		if !b.isReleased(s) {
			b.released = slices.DeleteFunc(b.released, func(o slice) bool { return s.covers(o) && o.generation <= s.generation })
			b.released = append(b.released, s)
		}
	}
	return "", nil
}

// SlicesIdle reports whether no request of the slices runs.
func (b *Tracker) SlicesIdle(r serverapi.Release) bool {
	given, err := parseSlices(r.Slices)
	if err != nil {
		return false
	}
	for work := range b.running {
		for _, s := range given {
			if s.contains(work.hash) && work.generation <= s.generation {
				return false
			}
		}
	}
	return true
}

// token carries the time of its issue and the instance, so that the server needs
// no memory of tokens. Homes are trusted not to forge one.
func (b *Tracker) token() string {
	return b.instance + "/" + strconv.FormatInt(int64(b.now()), 10)
}

func (b *Tracker) issuedAt(token string) (time.Duration, bool) {
	instance, issued, _ := strings.Cut(token, "/")
	nanoseconds, err := strconv.ParseInt(issued, 10, 64)
	at := time.Duration(nanoseconds)
	return at, err == nil && instance == b.instance && at <= b.now()
}

func parseSlices(list []serverapi.Slice) ([]slice, error) {
	parsed := make([]slice, len(list))
	for i, s := range list {
		first, errFirst := strconv.ParseUint(s.First, 16, 64)
		last, errLast := strconv.ParseUint(s.Last, 16, 64)
		if errFirst != nil || errLast != nil || first > last {
			return nil, &InvalidSliceError{Slice: s}
		}
		parsed[i] = slice{first, last, s.Generation}
	}
	return parsed, nil
}

func formatSlices(list []slice) []serverapi.Slice {
	formatted := make([]serverapi.Slice, len(list))
	for i, s := range list {
		formatted[i] = serverapi.Slice{
			First:      fmt.Sprintf("%016x", s.first),
			Last:       fmt.Sprintf("%016x", s.last),
			Generation: s.generation,
		}
	}
	return formatted
}

// InvalidSliceError reports a slice whose bounds cannot be read.
type InvalidSliceError struct{ Slice serverapi.Slice }

// Error implements error.
func (e *InvalidSliceError) Error() string {
	return fmt.Sprintf("bad slice %q to %q", e.Slice.First, e.Slice.Last)
}
