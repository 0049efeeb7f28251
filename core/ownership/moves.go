package ownership

import (
	"fmt"
	"time"

	"parsleyrelay.example/core/event"
	"parsleyrelay.example/core/record"
)

const (
	// maxMovesPerServer bounds the slices of a server that move at the same time.
	maxMovesPerServer = 16
	// maxMovesPerRecord keeps a record of about 200 bytes per move under 64 KiB.
	maxMovesPerRecord = 256
	// quiesceTimeout is how long a planned move waits for requests in flight.
	quiesceTimeout = 2 * time.Second
	// releaseTimeout is how long a server may take to confirm a release.
	releaseTimeout = 500 * time.Millisecond
	// moveBackoff separates attempts after a planned move that failed.
	moveBackoff = time.Second
)

type movePhase int

const (
	moveQuiescing movePhase = iota
	moveReleasing           // the server may or may not have released the slice
	moveReady               // released; the record can be appended
	moveAborting            // a move from the server to itself is to be appended
)

// move is a planned move of one slice.
type move struct {
	slice     SliceRef
	to        string
	phase     movePhase
	since     time.Duration // start of the phase
	idsDone   bool
	confirmed bool   // the server released the slice
	instance  string // of the server that holds the slice
	batch     string // key of the record that carries the move
}

// batch is a slices_moved record until it is folded.
type batch struct {
	server string
	body   record.SlicesMoved
	forced bool
}

// startMove begins a planned move. It reports whether it did.
func (m *Machine) startMove(h *home, s *ownedSlice, to string) bool {
	if _, leased := m.leased(h.scope); !leased || !m.logReachable || !h.open || h.stopped || h.provisional || h.handover != nil {
		return false
	}
	ready := m.dispatched(h, s) || (m.rules.skip(RuleNoTransferBeforeEffective) && !s.released && !s.quiescing)
	if !ready || h.moves[s.held] != nil || to == h.name || m.st.Home(to).Term == 0 {
		return false
	}
	mv := &move{slice: s.held, to: to, since: m.now, instance: h.instance}
	h.moves[s.held] = mv
	s.quiescing, h.servingDirty = true, true
	m.dirty[h.name] = struct{}{}
	m.emit(QuiesceSlice{Server: h.name, Slice: s.held})
	m.report(event.Event{
		Code: event.MoveStarted, Service: h.spec.Service, Server: h.name, Slice: s.held.Range.String(),
		Generation: s.held.Generation, Detail: "to " + to,
	})
	return true
}

func (m *Machine) quiesced(in SliceQuiesced) {
	h := m.local[in.Server]
	if h == nil {
		return
	}
	m.dirty[h.name] = struct{}{}
	if h.handover != nil {
		m.handoverQuiesced(h, in.Slice)
		return
	}
	mv := h.moves[in.Slice]
	if mv == nil || mv.phase != moveQuiescing {
		return
	}
	mv.phase, mv.since = moveReleasing, m.now
	// From here on the slice is not granted again under this generation: the
	// server may have released it, or the record may say so.
	s := h.slices[in.Slice.Range.First]
	s.released, h.setDirty = !m.rules.skip(RuleNoRegrant), true
	m.transferForMove(h, mv)
	if !h.spec.ChecksGrants {
		mv.confirmed = true
		m.moveProgress(h, mv)
		return
	}
	m.emit(SendRelease{
		Server: h.name, Address: h.spec.Address, Term: h.assigned.Term, SubTerm: h.subTerm,
		Slice: mv.slice, Timeout: releaseTimeout,
	})
}

func (m *Machine) transferForMove(h *home, mv *move) {
	next := m.st.Home(mv.to).Incarnation
	url := m.known[next].PeerURL
	if next != m.cfg.Incarnation && (url == "" || m.suspected(next)) {
		mv.idsDone = true
		return
	}
	m.emit(TransferIDs{
		Service: h.spec.Service, Server: h.name, TargetServer: mv.to, Slice: mv.slice, Term: h.assigned.Term,
		TargetIncarnation: next, TargetPeerURL: url,
	})
}

func (m *Machine) idsTransferred(in IDTransferCompleted) {
	h := m.local[in.Server]
	if h == nil {
		return
	}
	if h.handover != nil {
		m.handoverTransferred(h, in.Slice)
		return
	}
	if mv := h.moves[in.Slice]; mv != nil {
		// Without the ids the next home restricts repeats; the move goes on.
		mv.idsDone = true
		m.moveProgress(h, mv)
	}
}

func (m *Machine) releaseAnswered(in ReleaseCompleted) {
	h := m.local[in.Server]
	if h == nil || h.moves[in.Slice] == nil {
		return
	}
	mv := h.moves[in.Slice]
	if mv.phase != moveReleasing {
		return
	}
	// The confirmation of a new instance says nothing about the grants of the
	// instance that held the slice.
	if !in.Released || in.Instance != mv.instance {
		m.abort(h, mv, "release was not confirmed")
		return
	}
	mv.confirmed = true
	m.report(event.Event{
		Code: event.SliceReleased, Service: h.spec.Service, Server: h.name, Slice: mv.slice.Range.String(),
		Generation: mv.slice.Generation,
	})
	m.moveProgress(h, mv)
}

func (m *Machine) moveProgress(h *home, mv *move) {
	if mv.phase == moveReleasing && mv.confirmed && mv.idsDone {
		mv.phase, mv.since = moveReady, m.now
		m.dirty[h.name] = struct{}{}
	}
}

// abort gives a move up. Before the release was asked for, the slice is simply
// served again; afterwards it needs a new generation, and the first of the two
// records decides.
func (m *Machine) abort(h *home, mv *move, why string) {
	m.report(event.Event{
		Code: event.MoveAborted, Service: h.spec.Service, Server: h.name, Slice: mv.slice.Range.String(),
		Generation: mv.slice.Generation, Detail: why,
	})
	h.moveAfter = m.now + moveBackoff
	if mv.phase != moveQuiescing && !m.rules.skip(RuleNoRegrant) {
		mv.phase, mv.since, mv.batch = moveAborting, m.now, ""
		return
	}
	delete(h.moves, mv.slice)
	if s := h.slices[mv.slice.Range.First]; s != nil {
		s.quiescing, h.servingDirty = false, true
	}
	m.emit(ResumeSlice{Server: h.name, Slice: mv.slice})
}

// expireMoves aborts moves that make no progress.
func (m *Machine) expireMoves(h *home) {
	for _, mv := range m.sortedMoves(h) {
		switch {
		case mv.phase == moveQuiescing && m.now-mv.since > quiesceTimeout:
			m.abort(h, mv, "requests in flight did not end")
		case mv.phase == moveReady && m.rules.skip(RuleNoRegrant) && m.now-mv.since > releaseTimeout:
			m.abort(h, mv, "the append takes long")
		case mv.phase == moveReleasing && m.now-mv.since > 2*releaseTimeout:
			if mv.confirmed {
				mv.idsDone = true
				m.moveProgress(h, mv)
			} else {
				m.abort(h, mv, "no response to the release")
			}
		}
	}
}

func (m *Machine) sortedMoves(h *home) []*move {
	if len(h.moves) == 0 {
		return nil
	}
	var list []*move
	for _, first := range sortedKeys(h.slices) {
		if mv := h.moves[h.slices[first].held]; mv != nil {
			list = append(list, mv)
		}
	}
	return list
}

// flushMoves appends the records of moves that are ready, together per server,
// and repeats those that are not folded yet.
func (m *Machine) flushMoves() {
	for _, name := range sortedKeys(m.local) {
		h := m.local[name]
		if len(h.moves) == 0 && len(h.reassign) == 0 {
			continue
		}
		var released, aborted []record.Move
		var carried []*move
		for _, mv := range m.sortedMoves(h) {
			if mv.batch != "" || len(carried) >= maxMovesPerRecord {
				continue
			}
			entry := record.Move{
				Range: mv.slice.Range, Generation: mv.slice.Generation, From: name, To: mv.to, FromTerm: h.assigned.Term,
			}
			switch mv.phase {
			case moveReady:
				released = append(released, entry)
			case moveAborting:
				entry.To = name
				aborted = append(aborted, entry)
			default:
				continue
			}
			carried = append(carried, mv)
		}
		m.addBatch(h, released, true, false)
		m.addBatch(h, append(aborted, m.takeReassigned(h)...), false, false)
		for _, mv := range carried {
			mv.batch = m.batchOf[mv.slice]
		}
	}
	for _, key := range sortedKeys(m.batches) {
		if b := m.batches[key]; m.stillWanted(key, b) {
			m.propose(key, b.body)
		}
	}
}

// takeReassigned returns moves to itself for slices that the server released
// under an earlier home, whose record never took effect.
func (m *Machine) takeReassigned(h *home) []record.Move {
	var entries []record.Move
	for _, held := range h.reassign {
		entries = append(entries, record.Move{
			Range: held.Range, Generation: held.Generation, From: h.name, To: h.name, FromTerm: h.assigned.Term,
		})
	}
	h.reassign = nil
	return entries
}

func (m *Machine) addBatch(h *home, entries []record.Move, released, forced bool) {
	if len(entries) == 0 {
		return
	}
	m.batchCount++
	key := fmt.Sprintf("moves:%s:%d:%012d", h.name, h.assigned.Term, m.batchCount)
	m.batches[key] = &batch{
		server: h.name, forced: forced,
		body: record.SlicesMoved{Service: h.spec.Service, Moves: entries, Released: released},
	}
	for _, e := range entries {
		m.batchOf[SliceRef{Range: e.Range, Generation: e.Generation}] = key
	}
}

// stillWanted reports whether a batch should be proposed again.
func (m *Machine) stillWanted(key string, b *batch) bool {
	h := m.local[b.server]
	if h == nil || h.assigned.Term != b.body.Moves[0].FromTerm {
		m.forgetBatch(key) // its precondition can never hold again
		return false
	}
	return m.logReachable && (!b.forced || h.unresponsive || h.spec.Gone)
}

// forgetBatch drops a batch. A slice may have entered a later batch meanwhile.
func (m *Machine) forgetBatch(key string) *batch {
	b := m.batches[key]
	if b == nil {
		return nil
	}
	delete(m.batches, key)
	for _, e := range b.body.Moves {
		if held := (SliceRef{Range: e.Range, Generation: e.Generation}); m.batchOf[held] == key {
			delete(m.batchOf, held)
		}
	}
	return b
}

// batchFolded handles the entries of an own record that had no effect.
func (m *Machine) batchFolded(key string) {
	b := m.forgetBatch(key)
	if b == nil {
		return
	}
	h := m.local[b.server]
	if h == nil {
		return
	}
	for _, e := range b.body.Moves {
		if mv := h.moves[SliceRef{Range: e.Range, Generation: e.Generation}]; mv != nil && mv.batch == key {
			m.abort(h, mv, "the record had no effect")
		}
	}
	m.dirty[h.name] = struct{}{}
}
