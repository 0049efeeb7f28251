// Package grants implements the server side of grants for backend servers that
// check them. It does no I/O, starts no goroutines and reads no clock of its own,
// so that teams can copy it into their servers. docs/design.md, section 5.2, has
// the rules.
//
// A slice is a range of key hashes. Its generation increases each time the slice
// is assigned to a server. The home of a server is the only daemon that sends
// requests to it; its term and sub-term increase with each new home. A grant from
// the home permits the server to handle a set of slices until the grant expires.
// A grant without a token is a probe: it makes the server refuse requests and grants
// of earlier terms, and its response reports the state of the server and carries the
// token that the next grant must contain.
//
// A request is accepted if its term is that of the last grant, the grant has not
// expired, and the slice of its key is held under the generation that the request
// names. A grant expires its time to live after the server issued the token of the
// grant, not after the arrival of the grant. A request whose grant has expired or
// whose slice has been removed must be aborted without effect. A released slice
// accepts no new requests until it is granted again under a later generation.
package grants

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"parsleyrelay.example/api/serverapi"
)

// Tracker tracks the grants of one server instance and the requests that run under
// them. It is not safe for concurrent use; a server guards it with a mutex and
// calls BeginRequest and FinishRequest around each request.
type Tracker struct {
	serverName string
	instanceID string
	now        func() time.Duration
	draining   bool

	acceptedTerm termPair // highest of all grants and releases
	grantedTerm  termPair // of the last accepted grant with a token
	// grantExpiry is the reading of now at which the last grant expires, 0 before the
	// first grant.
	grantExpiry     time.Duration
	sliceSetVersion uint64 // number of the slice set within grantedTerm
	held            []slice
	// finishing holds slices that were released but are still in the latest set of
	// the home: active requests may finish, new requests are refused.
	finishing      []slice
	released       []slice // until granted again under a later generation
	activeRequests map[*ActiveRequest]struct{}
}

// termPair orders the homes of a server: a higher pair belongs to a later home.
type termPair struct{ term, subTerm uint64 }

func (p termPair) less(o termPair) bool {
	return p.term < o.term || (p.term == o.term && p.subTerm < o.subTerm)
}

type slice struct{ first, last, generation uint64 }

func (s slice) contains(hash uint64) bool { return s.first <= hash && hash <= s.last }
func (s slice) covers(o slice) bool       { return s.first <= o.first && o.last <= s.last }

// ActiveRequest is a request that was accepted and has not finished.
type ActiveRequest struct {
	keyHash    uint64
	generation uint64
}

// Request holds the headers of a request by which its grant is checked.
type Request struct {
	Term       uint64
	SubTerm    uint64
	KeyHash    uint64
	Generation uint64
}

// NewTracker returns a tracker without grants. now is the server's monotonic clock;
// it must not stop while the process is paused or the machine sleeps. instanceID
// must be unique to each start of the server.
func NewTracker(serverName, instanceID string, now func() time.Duration) *Tracker {
	return &Tracker{serverName: serverName, instanceID: instanceID, now: now, activeRequests: map[*ActiveRequest]struct{}{}}
}

func (t *Tracker) InstanceID() string { return t.instanceID }

// SetDraining sets the Draining field of later grant responses. The tracker accepts
// requests while draining.
func (t *Tracker) SetDraining(draining bool) { t.draining = draining }

// HandleGrant applies a grant or probe and returns the response to it. The error is
// an *InvalidSliceError; a refused grant is reported in the response.
func (t *Tracker) HandleGrant(g serverapi.Grant) (serverapi.GrantResponse, error) {
	grantedSlices, err := parseSlices(g.Slices)
	if err != nil {
		return serverapi.GrantResponse{}, err
	}
	response := serverapi.GrantResponse{
		Instance:     t.instanceID,
		Draining:     t.draining,
		PreviousTerm: t.grantedTerm.term,
	}
	response.Reason = t.applyGrant(g, grantedSlices)
	response.Accepted = response.Reason == ""
	response.Token = t.newToken()
	response.Term, response.SubTerm = t.acceptedTerm.term, t.acceptedTerm.subTerm
	if t.grantedTerm == t.acceptedTerm {
		response.SetVersion = t.sliceSetVersion
	}
	if g.Token == "" {
		response.Held = formatSlices(t.held)
		response.Released = formatSlices(t.released)
	}
	return response, nil
}

func (t *Tracker) applyGrant(g serverapi.Grant, grantedSlices []slice) serverapi.Refusal {
	if g.Server != t.serverName {
		return serverapi.RefusedNoGrant
	}
	term := termPair{g.Term, g.SubTerm}
	if term.less(t.acceptedTerm) {
		return serverapi.RefusedTerm
	}
	t.acceptedTerm = term
	if g.Token == "" {
		return ""
	}
	issued, ok := t.tokenIssueTime(g.Token)
	if !ok {
		return serverapi.RefusedNoGrant
	}
	sameTerm := t.grantedTerm == term
	switch {
	case sameTerm && g.SetVersion < t.sliceSetVersion:
		// A later grant of the same home arrived first. The older set may contain
		// slices that the home has since removed.
		return serverapi.RefusedNoGrant
	case g.HasSlices:
		t.setSlices(grantedSlices)
	case !sameTerm || g.SetVersion != t.sliceSetVersion:
		return serverapi.RefusedNoGrant
	}
	expiry := issued + time.Duration(g.TTLMS)*time.Millisecond
	if sameTerm {
		// Grants of one home may arrive out of order; the latest expiry is still
		// valid.
		expiry = max(expiry, t.grantExpiry)
	}
	t.grantedTerm, t.sliceSetVersion, t.grantExpiry = term, g.SetVersion, expiry
	return ""
}

// setSlices replaces the slice set. A released slice accepts no requests until it
// is granted again under a later generation.
func (t *Tracker) setSlices(grantedSlices []slice) {
	t.held, t.finishing = t.held[:0], t.finishing[:0]
	for _, s := range grantedSlices {
		if t.isReleased(s) {
			t.finishing = append(t.finishing, s)
		} else {
			t.held = append(t.held, s)
		}
	}
	t.released = slices.DeleteFunc(t.released, func(r slice) bool {
		return slices.ContainsFunc(t.held, func(s slice) bool { return s.covers(r) && s.generation > r.generation })
	})
}

func (t *Tracker) isReleased(s slice) bool {
	return slices.ContainsFunc(t.released, func(r slice) bool {
		return r.covers(s) && s.generation <= r.generation
	})
}

// BeginRequest accepts a request or returns the reason for refusing it. Every
// accepted request must be ended with FinishRequest.
func (t *Tracker) BeginRequest(r Request) (*ActiveRequest, serverapi.Refusal) {
	term := termPair{r.Term, r.SubTerm}
	if term.less(t.acceptedTerm) {
		return nil, serverapi.RefusedTerm
	}
	// A home with a higher term than the accepted one has not sent a grant yet.
	if term != t.grantedTerm || !t.mayBegin(r.KeyHash, r.Generation) {
		return nil, serverapi.RefusedNoGrant
	}
	active := &ActiveRequest{keyHash: r.KeyHash, generation: r.Generation}
	t.activeRequests[active] = struct{}{}
	return active, ""
}

// FinishRequest removes a request that BeginRequest accepted.
func (t *Tracker) FinishRequest(active *ActiveRequest) { delete(t.activeRequests, active) }

// CoveredUntil reports whether an active request is still covered by an unexpired
// grant, and the time on the clock of NewTracker at which that grant expires. A
// request must take effect only while it is covered. A released slice covers its active requests until the home
// sends a set without it, after which the slice may belong to another server.
func (t *Tracker) CoveredUntil(active *ActiveRequest) (until time.Duration, ok bool) {
	if _, running := t.activeRequests[active]; !running {
		return 0, false
	}
	matches := func(s slice) bool { return s.contains(active.keyHash) && s.generation == active.generation }
	if t.now() >= t.grantExpiry || !(slices.ContainsFunc(t.held, matches) || slices.ContainsFunc(t.finishing, matches)) {
		return 0, false
	}
	return t.grantExpiry, true
}

// mayBegin reports whether a new request may begin under the latest grant.
func (t *Tracker) mayBegin(keyHash, generation uint64) bool {
	if t.now() >= t.grantExpiry {
		return false
	}
	for _, r := range t.released {
		if r.contains(keyHash) && generation <= r.generation {
			return false
		}
	}
	return slices.ContainsFunc(t.held, func(s slice) bool { return s.contains(keyHash) && s.generation == generation })
}

// HandleRelease releases slices: new requests for them are refused from now on. The
// server must then wait until SlicesIdle returns true before it confirms the
// release. The error is an *InvalidSliceError.
func (t *Tracker) HandleRelease(r serverapi.Release) (serverapi.Refusal, error) {
	toRelease, err := parseSlices(r.Slices)
	if err != nil {
		return "", err
	}
	if r.Server != t.serverName {
		return serverapi.RefusedNoGrant, nil
	}
	term := termPair{r.Term, r.SubTerm}
	if term.less(t.acceptedTerm) {
		return serverapi.RefusedTerm, nil
	}
	t.acceptedTerm = term
	for _, s := range toRelease {
		t.held = slices.DeleteFunc(t.held, func(h slice) bool {
			covered := s.covers(h) && h.generation <= s.generation
			if covered {
				t.finishing = append(t.finishing, h)
			}
			return covered
		})
		if !t.isReleased(s) {
			t.released = slices.DeleteFunc(t.released, func(o slice) bool { return s.covers(o) && o.generation <= s.generation })
			t.released = append(t.released, s)
		}
	}
	return "", nil
}

// SlicesIdle reports whether the slices of a release have no active requests.
func (t *Tracker) SlicesIdle(r serverapi.Release) bool {
	released, err := parseSlices(r.Slices)
	if err != nil {
		return false
	}
	for active := range t.activeRequests {
		for _, s := range released {
			if s.contains(active.keyHash) && active.generation <= s.generation {
				return false
			}
		}
	}
	return true
}

// newToken returns a token that encodes the instance and the time of issue, so that
// the server does not have to store tokens. Homes are trusted not to forge tokens.
func (t *Tracker) newToken() string {
	return t.instanceID + "/" + strconv.FormatInt(int64(t.now()), 10)
}

// tokenIssueTime returns false for a malformed token and for one that this instance
// did not issue.
func (t *Tracker) tokenIssueTime(token string) (time.Duration, bool) {
	instanceID, issuedText, _ := strings.Cut(token, "/")
	nanoseconds, err := strconv.ParseInt(issuedText, 10, 64)
	issuedAt := time.Duration(nanoseconds)
	return issuedAt, err == nil && instanceID == t.instanceID && issuedAt <= t.now()
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

// InvalidSliceError reports a slice whose bounds are not hexadecimal or not in
// ascending order.
type InvalidSliceError struct{ Slice serverapi.Slice }

// Error implements error.
func (e *InvalidSliceError) Error() string {
	return fmt.Sprintf("invalid slice bounds: first %q, last %q", e.Slice.First, e.Slice.Last)
}
