package ownership

import (
	"fmt"
	"time"

	"parsleyrelay.example/core/event"
	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/resource"
	"parsleyrelay.example/core/state"
)

// home is this daemon's work as the home of one server under one term and sub-term.
type home struct {
	name        string
	spec        *resource.Server
	scope       string
	assigned    state.Home // from the log
	subTerm     uint64
	provisional bool

	// open is set once no earlier home of the server can act any more.
	open bool
	// stopped is set when the home gave its rights up for good under this term:
	// it proposed a handover, or the server accepted a higher term.
	stopped   bool
	stoppedAt time.Duration

	slices  map[uint64]*ownedSlice // by first hash
	waiting int                    // slices that are not effective yet
	moves   map[SliceRef]*move
	// reassign lists slices that the server released under an earlier home and
	// that need a new generation.
	reassign  []SliceRef
	moveAfter time.Duration // no planned moves before
	handover  *handover

	// Exchange with the server; see grants.go.
	seq        uint64
	inFlight   *exchange
	nextAt     time.Duration
	instance   string
	token      string
	tokenFrom  time.Duration // sending time of the exchange that brought token
	held       map[SliceRef]bool
	released   map[SliceRef]bool // reported by the server; not granted again
	holdUntil  time.Duration     // no grants before; set when the instance changes
	setVersion uint64
	setDirty   bool
	acked      uint64 // set version that the server holds
	until      time.Duration
	answeredAt time.Duration
	answers    int
	hintDrain  bool // the server said that it is draining

	unresponsive bool
	serving      *ServingSet
	servingDirty bool
	lastLook     ServerView
}

// homeAssigned brings the local home of a server in line with the state.
func (m *Machine) homeAssigned(server string) {
	m.viewDirty.server(server)
	assigned := m.st.Home(server)
	spec, exists := m.st.Server(server)
	h := m.local[server]
	mine := exists && assigned.Term != 0 && assigned.Incarnation == m.cfg.Incarnation
	if h != nil && mine && !h.provisional && h.assigned.Term == assigned.Term {
		h.spec = spec
		m.reconcile(h)
		return
	}
	if h != nil {
		if h.provisional && exists && h.assigned.Term == assigned.Term {
			h.spec = spec
			return
		}
		m.closeHome(h)
	}
	if mine {
		delete(m.homeless, server)
		m.openHome(server, spec, assigned, 0)
	}
}

func (m *Machine) openHome(server string, spec *resource.Server, assigned state.Home, subTerm uint64) {
	scope, _ := m.st.ScopeOf(server)
	h := &home{
		name: server, spec: spec, scope: scope, assigned: assigned, subTerm: subTerm, provisional: subTerm > 0,
		slices: map[uint64]*ownedSlice{}, moves: map[SliceRef]*move{}, answeredAt: m.now, setDirty: true,
		held: map[SliceRef]bool{}, released: map[SliceRef]bool{}, servingDirty: true,
	}
	m.local[server] = h
	m.dirty[server] = struct{}{}
	m.reconcile(h)
	code := event.HomeGained
	if h.provisional {
		code = event.ProvisionalHome
	}
	m.report(event.Event{Code: code, Service: spec.Service, Server: server, Term: assigned.Term, SubTerm: subTerm})
}

func (m *Machine) closeHome(h *home) {
	for _, mv := range m.sortedMoves(h) {
		m.emit(ResumeSlice{Server: h.name, Slice: mv.slice})
	}
	delete(m.local, h.name)
	delete(m.dirty, h.name)
	m.viewDirty.server(h.name)
	m.report(event.Event{Code: event.HomeLost, Service: h.spec.Service, Server: h.name, Term: h.assigned.Term, SubTerm: h.subTerm})
}

// reconcile compares the slices of a home with the state.
func (m *Machine) reconcile(h *home) {
	table := m.st.Table(h.spec.Service)
	for _, first := range sortedKeys(h.slices) {
		s, slice := h.slices[first], table.Lookup(first)
		if slice == nil || slice.Server != h.name || slice.Range != s.held.Range || slice.Generation != s.held.Generation {
			m.removeSlice(h, first)
		}
	}
	for first := range m.owned[h.name] {
		if h.slices[first] == nil {
			m.adopt(h, table.Lookup(first))
		}
	}
}

// tryOpen decides whether all earlier homes of the server have ended.
func (m *Machine) tryOpen(h *home) {
	if h.open || h.provisional {
		return
	}
	a := h.assigned
	switch {
	case a.PreviousTerm == 0: // no earlier home
	case a.Handover && !h.spec.ChecksGrants:
		// The former home stopped before it proposed the record. A checking
		// server may still hold its grants; there the shortcut decides.
	case m.waitDone(h.scope, a.Term):
	default:
		return
	}
	m.open(h)
}

func (m *Machine) open(h *home) {
	h.open, h.servingDirty = true, true
	m.viewDirty.server(h.name)
}

// maintainHomes proposes a home for every server that has no live one.
func (m *Machine) maintainHomes() {
	if _, ok := m.st.Member(m.cfg.Incarnation); !ok || m.draining {
		return
	}
	for _, name := range m.servers {
		spec, ok := m.st.Server(name)
		if !ok || !m.inScope(name, spec) {
			continue
		}
		assigned := m.st.Home(name)
		if m.liveHome(assigned) && !m.displaced(name) {
			m.endProvisional(name)
			if h := m.local[name]; h == nil || !h.provisional || !m.logReachable {
				delete(m.homeless, name)
				continue
			}
		}
		since, known := m.homeless[name]
		if !known {
			since = m.now
			m.homeless[name] = since
		}
		m.proposeHome(name, assigned, since)
	}
}

// liveHome reports whether a server's home is a member that is not suspected.
func (m *Machine) liveHome(assigned state.Home) bool {
	if assigned.Term == 0 {
		return false
	}
	_, member := m.st.Member(assigned.Incarnation)
	return member && !m.suspected(assigned.Incarnation)
}

// displaced reports whether this daemon is the home by the log but does not act
// under that term any more: it gave its rights up, or served provisionally since.
func (m *Machine) displaced(server string) bool {
	if m.st.Home(server).Incarnation != m.cfg.Incarnation {
		return false
	}
	h := m.local[server]
	return h == nil || h.provisional || h.stopped
}

func (m *Machine) proposeHome(name string, assigned state.Home, since time.Duration) {
	scope, _ := m.st.ScopeOf(name)
	if _, leased := m.leased(scope); !leased {
		return
	}
	candidates := m.homeCandidates(scope)
	key := homeKey(name, assigned.Term)
	// The daemon that holds the server provisionally continues with it.
	h := m.local[name]
	mine := m.proposing(key) || (h != nil && h.provisional)
	if !mine && !m.myTurn("home/"+name, candidates, m.now-since) {
		return
	}
	if !m.logReachable {
		m.tryProvisional(name, assigned)
		return
	}
	if !m.proposing(key) {
		m.report(event.Event{Code: event.HomeProposed, Server: name, Term: assigned.Term, Peer: m.cfg.Incarnation})
	}
	m.propose(key, record.HomeAssigned{Server: name, PreviousTerm: assigned.Term, Home: m.cfg.Incarnation})
}

func homeKey(server string, term uint64) string { return fmt.Sprintf("home:%s:%d", server, term) }

// homeCandidates returns the members that may become homes in a scope, without
// those whose hosts are leaving unless there are no others.
func (m *Machine) homeCandidates(scope string) []state.Member {
	members := m.scopeMembers(scope)
	var staying []state.Member
	for _, member := range members {
		if !m.leaving[member.Host] {
			staying = append(staying, member)
		}
	}
	if len(staying) == 0 {
		return members
	}
	return staying
}

// ownedSlice is a slice of a local server.
type ownedSlice struct {
	held       SliceRef
	effective  bool // no former owner can act on it any more
	released   bool // not granted again under this generation
	quiescing  bool // no new requests
	version    uint64
	served     bool
	activation Activation
	origin     IDWindowKey // of the move that brought it here
}

// adopt adds a slice that the state gives to a local server.
func (m *Machine) adopt(h *home, slice *state.Slice) *ownedSlice {
	held := SliceRef{Range: slice.Range, Generation: slice.Generation}
	s := &ownedSlice{held: held}
	h.slices[slice.Range.First] = s
	h.waiting++
	m.dirty[h.name] = struct{}{}
	m.checkEffective(h, s, slice)
	return s
}

// checkEffective decides per slice whether the former owner has ended.
func (m *Machine) checkEffective(h *home, s *ownedSlice, slice *state.Slice) {
	if s.effective || !m.sliceEffective(h, slice, s.held) {
		return
	}
	s.effective = true
	h.waiting--
	h.setDirty, h.servingDirty = true, true
	m.checkReleased(h, s)
}

// checkReleased withholds a slice that the server released under an earlier
// home. The slice needs a new generation, since a record of that release may
// still be under way.
func (m *Machine) checkReleased(h *home, s *ownedSlice) {
	if s.effective && !s.released && m.releasedBefore(h, s.held) {
		s.released, h.setDirty, h.servingDirty = true, true, true
	}
}

func (m *Machine) sliceEffective(h *home, slice *state.Slice, held SliceRef) bool {
	switch {
	case slice.Former == "", slice.Former == slice.Server, slice.Released:
		return true
	case h.held[held], m.releasedBefore(h, held):
		return true // this instance held it, so the wait had completed before
	case m.waitDone(slice.FormerScope, slice.Generation):
		return true
	}
	at, lost := m.zoneLost[slice.FormerZone]
	return lost && m.now >= at+expiryWait
}

func (m *Machine) removeSlice(h *home, first uint64) {
	s := h.slices[first]
	if s == nil {
		return
	}
	if !s.effective {
		h.waiting--
	}
	delete(h.slices, first)
	if mv := h.moves[s.held]; mv != nil {
		delete(h.moves, s.held)
		m.emit(ResumeSlice{Server: h.name, Slice: s.held})
	}
	h.setDirty, h.servingDirty = true, true
	m.dirty[h.name] = struct{}{}
}

// dropSlice removes a moved slice from its former owner's home and returns how
// it was served there.
func (m *Machine) dropSlice(b record.Move) Activation {
	h := m.local[b.From]
	if h == nil {
		return Activation{}
	}
	s := h.slices[b.Range.First]
	if s == nil || s.held != (SliceRef{Range: b.Range, Generation: b.Generation}) {
		return Activation{}
	}
	m.removeSlice(h, b.Range.First)
	return s.activation
}

// reshape replaces the slices of a range after a split or a merge by pieces
// with the same generation. The rights of a piece are those of all the slices
// that it overlaps.
func (m *Machine) reshape(h *home, first, last uint64, pieces []*state.Slice) {
	var before []*ownedSlice
	for _, hash := range sortedKeys(h.slices) {
		if hash >= first && hash <= last {
			before = append(before, h.slices[hash])
			m.removeSlice(h, hash)
		}
	}
	for _, piece := range pieces {
		s := &ownedSlice{held: SliceRef{Range: piece.Range, Generation: piece.Generation}, effective: true}
		for _, old := range before {
			if old.held.Range.Overlaps(piece.Range) {
				s.effective = s.effective && old.effective
				s.released = s.released || old.released
				s.served = s.served || old.served
				s.version = max(s.version, old.version)
				if old.activation.Since >= s.activation.Since {
					s.activation = old.activation
				}
			}
		}
		if len(before) == 0 {
			s.effective = false
		}
		if !s.effective {
			h.waiting++
		}
		h.slices[piece.Range.First] = s
	}
	h.setDirty, h.servingDirty = true, true
}
