package ownership

import (
	"fmt"
	"time"

	"parsleyrelay.example/core/event"
	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/resource"
	"parsleyrelay.example/core/state"
)

// localHome is the state of this daemon as the home of one server under one term
// and sub-term.
type localHome struct {
	server      string
	spec        *resource.Server
	scope       string
	assignment  state.Home // from the log
	subTerm     uint64
	provisional bool

	// active is set once no earlier home of the server can send to it any more.
	active bool
	// relinquished is set when this home permanently stops acting under its term:
	// it proposed a handover, or the server accepted a higher term.
	relinquished   bool
	relinquishedAt time.Duration

	slices            map[uint64]*localSlice // by first hash
	ineffectiveSlices int                    // number of slices that are not effective yet
	moves             map[SliceRef]*sliceMove
	// needNewGeneration lists slices that the server released under an earlier home
	// and that must not be granted again under the same generation.
	needNewGeneration []SliceRef
	nextMoveAt        time.Duration // no planned move of a leaving server's slices before
	handover          *handover

	// Calls to the server; see grants.go.
	inFlight            *serverCall
	nextCallAt          time.Duration
	instance            string
	token               string
	tokenRequestedAt    time.Duration     // when the call that returned token was sent
	reportedHeld        map[SliceRef]bool // slices that the server reported to hold
	reportedReleased    map[SliceRef]bool // slices that the server reported to have released
	noGrantsUntil       time.Duration     // set when the instance changes
	grantedSetVersion   uint64            // of the set of granted slices
	grantedSetChanged   bool              // the next grant needs a new set version
	confirmedSetVersion uint64            // set version that the server confirmed
	grantUntil          time.Duration
	silentSince         time.Duration
	responses           int  // number of responses of the server
	serverDraining      bool // the server reported that it is draining

	unresponsive    bool
	servingSet      *ServingSet
	servingSetStale bool
	publishedView   ServerView
}

// syncHome starts, updates or ends the local home of a server as the state
// requires.
func (m *Machine) syncHome(server string) {
	m.viewChanges.markServer(server)
	assignment := m.state.Home(server)
	spec, exists := m.state.Server(server)
	h := m.localHomes[server]
	mine := exists && assignment.Term != 0 && assignment.Incarnation == m.cfg.Incarnation
	if h != nil && mine && !h.provisional && h.assignment.Term == assignment.Term {
		h.spec = spec
		m.syncSlices(h)
		return
	}
	if h != nil {
		if h.provisional && exists && h.assignment.Term == assignment.Term {
			h.spec = spec
			return
		}
		m.endHome(h)
	}
	if mine {
		delete(m.noHomeSince, server)
		m.startHome(server, spec, assignment, 0)
	}
}

func (m *Machine) startHome(server string, spec *resource.Server, assignment state.Home, subTerm uint64) {
	scope, _ := m.state.WitnessScopeOfServer(server)
	h := &localHome{
		server: server, spec: spec, scope: scope, assignment: assignment, subTerm: subTerm, provisional: subTerm > 0,
		slices: map[uint64]*localSlice{}, moves: map[SliceRef]*sliceMove{}, silentSince: m.now, grantedSetChanged: true,
		reportedHeld: map[SliceRef]bool{}, reportedReleased: map[SliceRef]bool{}, servingSetStale: true,
	}
	m.localHomes[server] = h
	m.changedHomes[server] = struct{}{}
	m.syncSlices(h)
	code := event.HomeGained
	if h.provisional {
		code = event.ProvisionalHome
	}
	m.emitEvent(event.Event{Code: code, Service: spec.Service, Server: server, Term: assignment.Term, SubTerm: subTerm})
}

func (m *Machine) endHome(h *localHome) {
	for _, mv := range m.sortedMoves(h) {
		m.addEffect(ResumeSlice{Server: h.server, Slice: mv.ref})
	}
	delete(m.localHomes, h.server)
	delete(m.changedHomes, h.server)
	m.viewChanges.markServer(h.server)
	m.emitEvent(event.Event{Code: event.HomeLost, Service: h.spec.Service, Server: h.server, Term: h.assignment.Term, SubTerm: h.subTerm})
}

// syncSlices removes and adds slices of a home as the state requires.
func (m *Machine) syncSlices(h *localHome) {
	table := m.state.SliceTable(h.spec.Service)
	for _, first := range sortedKeys(h.slices) {
		s, slice := h.slices[first], table.Lookup(first)
		if slice == nil || slice.Server != h.server || slice.Range != s.ref.Range || slice.Generation != s.ref.Generation {
			m.removeSlice(h, first)
		}
	}
	for first := range m.slicesByServer[h.server] {
		if h.slices[first] == nil {
			m.addSlice(h, table.Lookup(first))
		}
	}
}

// tryActivate activates a home if all earlier homes of the server have ended.
func (m *Machine) tryActivate(h *localHome) {
	if h.active || h.provisional {
		return
	}
	a := h.assignment
	switch {
	case a.PreviousTerm == 0: // no earlier home
	case a.Handover && !h.spec.ChecksGrants:
		// The former home stopped before it proposed the record. A server that
		// checks grants may still hold grants of it, so that its own answer
		// decides; see tryActivateWithoutWait.
	case m.requireExpiryWait(h.scope, a.Term):
	default:
		return
	}
	m.activateHome(h)
}

func (m *Machine) activateHome(h *localHome) {
	h.active, h.servingSetStale = true, true
	m.viewChanges.markServer(h.server)
}

// maintainHomes proposes this daemon as home for servers without a live home.
func (m *Machine) maintainHomes() {
	if _, ok := m.state.Member(m.cfg.Incarnation); !ok || m.draining {
		return
	}
	for _, name := range m.serverNames {
		spec, ok := m.state.Server(name)
		if !ok || !m.mayBeHomeOf(name, spec) {
			continue
		}
		assignment := m.state.Home(name)
		if m.isLiveHome(assignment) && !m.isDisplacedHome(name) {
			// A provisional home proposes itself once the log is reachable again,
			// although the assigned home is alive.
			m.endIdleProvisionalHome(name)
			if h := m.localHomes[name]; h == nil || !h.provisional || !m.logReachable {
				delete(m.noHomeSince, name)
				continue
			}
		}
		since, known := m.noHomeSince[name]
		if !known {
			since = m.now
			m.noHomeSince[name] = since
		}
		m.proposeHome(name, assignment, since)
	}
}

// isLiveHome reports whether an assigned home is a member that is not suspected.
func (m *Machine) isLiveHome(assignment state.Home) bool {
	if assignment.Term == 0 {
		return false
	}
	_, member := m.state.Member(assignment.Incarnation)
	return member && !m.isSuspected(assignment.Incarnation)
}

// isDisplacedHome reports whether the log names this daemon as home but the daemon
// does not act under that term any more: it relinquished the home, or became a
// provisional home since.
func (m *Machine) isDisplacedHome(server string) bool {
	if m.state.Home(server).Incarnation != m.cfg.Incarnation {
		return false
	}
	h := m.localHomes[server]
	return h == nil || h.provisional || h.relinquished
}

func (m *Machine) proposeHome(server string, assignment state.Home, since time.Duration) {
	scope, _ := m.state.WitnessScopeOfServer(server)
	if _, leased := m.prefixLease(scope); !leased {
		return
	}
	candidates := m.homeCandidates(scope)
	key := homeProposalKey(server, assignment.Term)
	// A provisional home proposes itself without waiting for its turn.
	h := m.localHomes[server]
	mine := m.isProposing(key) || (h != nil && h.provisional)
	if !mine && !m.isOwnTurn("home/"+server, candidates, m.now-since) {
		return
	}
	if !m.logReachable {
		m.startProvisionalHome(server, assignment)
		return
	}
	if !m.isProposing(key) {
		m.emitEvent(event.Event{Code: event.HomeProposed, Server: server, Term: assignment.Term, Peer: m.cfg.Incarnation})
	}
	m.propose(key, record.HomeAssigned{Server: server, PreviousTerm: assignment.Term, HomeIncarnation: m.cfg.Incarnation})
}

func homeProposalKey(server string, term uint64) string {
	return fmt.Sprintf("home:%s:%d", server, term)
}

// homeCandidates returns the members that may become homes in a scope. Members
// whose hosts are leaving count only if there are no others.
func (m *Machine) homeCandidates(scope string) []state.Member {
	members := m.scopeMembers(scope)
	var remaining []state.Member
	for _, member := range members {
		if !m.leavingHosts[member.Host] {
			remaining = append(remaining, member)
		}
	}
	if len(remaining) == 0 {
		return members
	}
	return remaining
}

// localSlice is a slice of a server whose home is this daemon.
type localSlice struct {
	ref             SliceRef
	effective       bool        // no former owner can handle its requests any more
	withheld        bool        // not granted again under this generation
	quiescing       bool        // no new requests are dispatched
	firstSetVersion uint64      // first set version that includes it, 0 for none
	wasServed       bool        // activation is set
	activation      Activation  // see ensureActivation
	idWindow        IDWindowKey // window at the former owner, if a move brought the slice here
}

// addSlice adds a slice that the state assigns to a local home's server.
func (m *Machine) addSlice(h *localHome, slice *state.Slice) *localSlice {
	ref := SliceRef{Range: slice.Range, Generation: slice.Generation}
	s := &localSlice{ref: ref}
	h.slices[slice.Range.First] = s
	h.ineffectiveSlices++
	m.changedHomes[h.server] = struct{}{}
	m.updateSliceEffective(h, s, slice)
	return s
}

// updateSliceEffective makes a slice effective once its former owner cannot handle
// its requests any more.
func (m *Machine) updateSliceEffective(h *localHome, s *localSlice, slice *state.Slice) {
	if s.effective || !m.isSliceEffective(h, slice, s.ref) {
		return
	}
	s.effective = true
	h.ineffectiveSlices--
	h.grantedSetChanged, h.servingSetStale = true, true
	m.withholdIfReleased(h, s)
}

// withholdIfReleased stops granting a slice that the server released under an
// earlier home. The slice needs a new generation, since the record of the move for
// which it was released may still be appended.
func (m *Machine) withholdIfReleased(h *localHome, s *localSlice) {
	if s.effective && !s.withheld && m.wasReleasedEarlier(h, s.ref) {
		s.withheld, h.grantedSetChanged, h.servingSetStale = true, true, true
	}
}

func (m *Machine) isSliceEffective(h *localHome, slice *state.Slice, ref SliceRef) bool {
	switch {
	case slice.Former == "", slice.Former == slice.Server, slice.Released:
		return true
	case h.reportedHeld[ref], m.wasReleasedEarlier(h, ref):
		return true // the instance was granted the slice, so the wait had completed before
	case m.requireExpiryWait(slice.FormerScope, slice.Generation):
		return true
	}
	at, lost := m.zoneLostSince[slice.FormerZone]
	return lost && m.now >= at+expiryWait
}

func (m *Machine) removeSlice(h *localHome, first uint64) {
	s := h.slices[first]
	if s == nil {
		return
	}
	if !s.effective {
		h.ineffectiveSlices--
	}
	delete(h.slices, first)
	if mv := h.moves[s.ref]; mv != nil {
		delete(h.moves, s.ref)
		m.addEffect(ResumeSlice{Server: h.server, Slice: s.ref})
	}
	h.grantedSetChanged, h.servingSetStale = true, true
	m.changedHomes[h.server] = struct{}{}
}

// removeMovedSlice removes a moved slice from the local home of its former owner
// and returns its activation there.
func (m *Machine) removeMovedSlice(b record.SliceMove) Activation {
	h := m.localHomes[b.From]
	if h == nil {
		return Activation{}
	}
	s := h.slices[b.Range.First]
	if s == nil || s.ref != (SliceRef{Range: b.Range, Generation: b.Generation}) {
		return Activation{}
	}
	m.removeSlice(h, b.Range.First)
	return s.activation
}

// replaceSlices replaces the slices of a range after a split or a merge by new
// slices with the same generation. A new slice has the restrictions of all the
// slices that it overlaps.
func (m *Machine) replaceSlices(h *localHome, first, last uint64, newSlices []*state.Slice) {
	var oldSlices []*localSlice
	for _, hash := range sortedKeys(h.slices) {
		if hash >= first && hash <= last {
			oldSlices = append(oldSlices, h.slices[hash])
			m.removeSlice(h, hash)
		}
	}
	for _, slice := range newSlices {
		s := &localSlice{ref: SliceRef{Range: slice.Range, Generation: slice.Generation}, effective: true}
		for _, old := range oldSlices {
			if old.ref.Range.Overlaps(slice.Range) {
				s.effective = s.effective && old.effective
				s.withheld = s.withheld || old.withheld
				s.wasServed = s.wasServed || old.wasServed
				s.firstSetVersion = max(s.firstSetVersion, old.firstSetVersion)
				if old.activation.Since >= s.activation.Since {
					s.activation = old.activation
				}
			}
		}
		if len(oldSlices) == 0 {
			s.effective = false
		}
		if !s.effective {
			h.ineffectiveSlices++
		}
		h.slices[slice.Range.First] = s
	}
	h.grantedSetChanged, h.servingSetStale = true, true
}
