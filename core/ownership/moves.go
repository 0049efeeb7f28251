package ownership

import (
	"fmt"
	"time"

	"parsleyrelay.example/core/event"
	"parsleyrelay.example/core/record"
)

const (
	// maxMovesPerServer bounds the concurrent planned moves off one server.
	maxMovesPerServer = 16
	// maxMovesPerRecord keeps a record of about 200 bytes per move under 64 KiB.
	maxMovesPerRecord = 256
	// quiesceTimeout is how long a planned move waits until requests in flight end.
	quiesceTimeout = 2 * time.Second
	// releaseTimeout is how long a server may take to confirm a release.
	releaseTimeout = 500 * time.Millisecond
	// moveBackoff delays the next planned move after one that was aborted.
	moveBackoff = time.Second
)

// movePhase is the progress of a planned move.
type movePhase int

const (
	moveQuiescing     movePhase = iota // waits until no request of the slice is in flight
	moveReleasing                      // the server may or may not have released the slice
	moveReadyToAppend                  // released; the record of the move can be appended
	moveAborting                       // a move to the same server, for a new generation, is to be appended
)

// sliceMove is a planned move of one slice to another server: quiesce the slice,
// transfer its ids and have the server release it, then append the record.
type sliceMove struct {
	ref              SliceRef
	target           string
	phase            movePhase
	phaseStart       time.Duration
	idTransferEnded  bool
	releaseConfirmed bool
	instance         string // server instance that holds the slice
	batchKey         string // proposal key of the batch that contains the move, "" for none
}

// moveBatch is a slices_moved record that was proposed and is not applied yet. A
// forced batch is proposed only as long as its server is unresponsive or gone.
type moveBatch struct {
	server string
	record record.SlicesMoved
	forced bool
}

// startMove starts a planned move and reports whether the move was permitted.
func (m *Machine) startMove(h *localHome, s *localSlice, target string) bool {
	if _, leased := m.prefixLease(h.scope); !leased || !m.logReachable || !h.active || h.relinquished || h.provisional || h.handover != nil {
		return false
	}
	// Only with the rule disabled may a slice move that is not dispatchable.
	ready := m.isDispatchable(h, s) || (m.disabledRules.has(RuleNoTransferBeforeEffective) && !s.withheld && !s.quiescing)
	if !ready || h.moves[s.ref] != nil || target == h.server || m.state.Home(target).Term == 0 {
		return false
	}
	mv := &sliceMove{ref: s.ref, target: target, phaseStart: m.now, instance: h.instance}
	h.moves[s.ref] = mv
	s.quiescing, h.servingSetStale = true, true
	m.changedHomes[h.server] = struct{}{}
	m.addEffect(QuiesceSlice{Server: h.server, Slice: s.ref})
	m.emitEvent(event.Event{
		Code: event.MoveStarted, Service: h.spec.Service, Server: h.server, Slice: s.ref.Range.String(),
		Generation: s.ref.Generation, Detail: "to " + target,
	})
	return true
}

func (m *Machine) handleSliceQuiesced(in SliceQuiesced) {
	h := m.localHomes[in.Server]
	if h == nil {
		return
	}
	m.changedHomes[h.server] = struct{}{}
	if h.handover != nil {
		m.transferHandoverIDs(h, in.Slice)
		return
	}
	mv := h.moves[in.Slice]
	if mv == nil || mv.phase != moveQuiescing {
		return
	}
	mv.phase, mv.phaseStart = moveReleasing, m.now
	// From now on the slice must not be granted again under this generation: the
	// server may have released it, or a record with its release may be appended.
	s := h.slices[in.Slice.Range.First]
	s.withheld, h.grantedSetChanged = !m.disabledRules.has(RuleNoRegrant), true
	m.transferMoveIDs(h, mv)
	if !h.spec.ChecksGrants {
		mv.releaseConfirmed = true
		m.advanceMove(h, mv)
		return
	}
	m.addEffect(SendRelease{
		Server: h.server, Address: h.spec.Address, Term: h.assignment.Term, SubTerm: h.subTerm,
		Slice: mv.ref, Timeout: releaseTimeout,
	})
}

func (m *Machine) transferMoveIDs(h *localHome, mv *sliceMove) {
	next := m.state.Home(mv.target).Incarnation
	url := m.knownMembers[next].PeerURL
	if next != m.cfg.Incarnation && (url == "" || m.isSuspected(next)) {
		mv.idTransferEnded = true
		return
	}
	m.addEffect(TransferIDs{
		Service: h.spec.Service, Server: h.server, TargetServer: mv.target, Slice: mv.ref, Term: h.assignment.Term,
		TargetIncarnation: next, TargetPeerURL: url,
	})
}

func (m *Machine) handleIDTransferCompleted(in IDTransferCompleted) {
	h := m.localHomes[in.Server]
	if h == nil {
		return
	}
	if h.handover != nil {
		m.handleHandoverIDsTransferred(h, in.Slice)
		return
	}
	if mv := h.moves[in.Slice]; mv != nil {
		// The move continues also after a failed transfer: without the ids, the next
		// home restricts repeated requests.
		mv.idTransferEnded = true
		m.advanceMove(h, mv)
	}
}

func (m *Machine) handleReleaseCompleted(in ReleaseCompleted) {
	h := m.localHomes[in.Server]
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
		m.abortMove(h, mv, "the server instance that held the slice did not confirm the release")
		return
	}
	mv.releaseConfirmed = true
	m.emitEvent(event.Event{
		Code: event.SliceReleased, Service: h.spec.Service, Server: h.server, Slice: mv.ref.Range.String(),
		Generation: mv.ref.Generation,
	})
	m.advanceMove(h, mv)
}

func (m *Machine) advanceMove(h *localHome, mv *sliceMove) {
	if mv.phase == moveReleasing && mv.releaseConfirmed && mv.idTransferEnded {
		mv.phase, mv.phaseStart = moveReadyToAppend, m.now
		m.changedHomes[h.server] = struct{}{}
	}
}

// abortMove aborts a move. Before the release was requested, the move ends and the
// slice is served again. Afterwards the slice needs a new generation, so that the move
// goes on as a move to the same server (moveAborting); if the record of the original
// move was proposed too, the first of the two records in the log takes effect.
func (m *Machine) abortMove(h *localHome, mv *sliceMove, reason string) {
	m.emitEvent(event.Event{
		Code: event.MoveAborted, Service: h.spec.Service, Server: h.server, Slice: mv.ref.Range.String(),
		Generation: mv.ref.Generation, Detail: reason,
	})
	h.nextMoveAt = m.now + moveBackoff
	if mv.phase != moveQuiescing && !m.disabledRules.has(RuleNoRegrant) {
		mv.phase, mv.phaseStart, mv.batchKey = moveAborting, m.now, ""
		return
	}
	delete(h.moves, mv.ref)
	if s := h.slices[mv.ref.Range.First]; s != nil {
		s.quiescing, h.servingSetStale = false, true
	}
	m.addEffect(ResumeSlice{Server: h.server, Slice: mv.ref})
}

// abortStalledMoves aborts moves that make no progress.
func (m *Machine) abortStalledMoves(h *localHome) {
	for _, mv := range m.sortedMoves(h) {
		switch {
		case mv.phase == moveQuiescing && m.now-mv.phaseStart > quiesceTimeout:
			m.abortMove(h, mv, "timed out waiting for requests in flight")
		// Only with the rule disabled; a released slice otherwise waits for its record.
		case mv.phase == moveReadyToAppend && m.disabledRules.has(RuleNoRegrant) && m.now-mv.phaseStart > releaseTimeout:
			m.abortMove(h, mv, "timed out appending the move")
		case mv.phase == moveReleasing && m.now-mv.phaseStart > 2*releaseTimeout:
			if mv.releaseConfirmed {
				mv.idTransferEnded = true
				m.advanceMove(h, mv)
			} else {
				m.abortMove(h, mv, "timed out waiting for the release")
			}
		}
	}
}

func (m *Machine) sortedMoves(h *localHome) []*sliceMove {
	if len(h.moves) == 0 {
		return nil
	}
	var list []*sliceMove
	for _, first := range sortedKeys(h.slices) {
		if mv := h.moves[h.slices[first].ref]; mv != nil {
			list = append(list, mv)
		}
	}
	return list
}

// proposeMoves proposes the records of moves that are ready, in one batch per
// server, and proposes again the batches that are not applied yet.
func (m *Machine) proposeMoves() {
	for _, name := range sortedKeys(m.localHomes) {
		h := m.localHomes[name]
		if len(h.moves) == 0 && len(h.needNewGeneration) == 0 {
			continue
		}
		var released, aborted []record.SliceMove
		var included []*sliceMove
		for _, mv := range m.sortedMoves(h) {
			if mv.batchKey != "" || len(included) >= maxMovesPerRecord {
				continue
			}
			entry := record.SliceMove{
				Range: mv.ref.Range, Generation: mv.ref.Generation, From: name, To: mv.target, FromTerm: h.assignment.Term,
			}
			switch mv.phase {
			case moveReadyToAppend:
				released = append(released, entry)
			case moveAborting:
				entry.To = name
				aborted = append(aborted, entry)
			default:
				continue
			}
			included = append(included, mv)
		}
		m.addBatch(h, released, true, false)
		m.addBatch(h, append(aborted, m.takeGenerationRenewals(h)...), false, false)
		for _, mv := range included {
			mv.batchKey = m.batchKeyBySlice[mv.ref]
		}
	}
	for _, key := range sortedKeys(m.batches) {
		if b := m.batches[key]; m.shouldProposeBatch(key, b) {
			m.propose(key, b.record)
		}
	}
}

// takeGenerationRenewals returns the moves to the same server for the slices in
// needNewGeneration, and clears that list.
func (m *Machine) takeGenerationRenewals(h *localHome) []record.SliceMove {
	var entries []record.SliceMove
	for _, ref := range h.needNewGeneration {
		entries = append(entries, record.SliceMove{
			Range: ref.Range, Generation: ref.Generation, From: h.server, To: h.server, FromTerm: h.assignment.Term,
		})
	}
	h.needNewGeneration = nil
	return entries
}

// addBatch adds the record of moves off a server to the batches that proposeMoves
// proposes. released is set if the server has released all slices, forced if they move
// without a release because the server is unresponsive or gone.
func (m *Machine) addBatch(h *localHome, entries []record.SliceMove, released, forced bool) {
	if len(entries) == 0 {
		return
	}
	m.batchCount++
	key := fmt.Sprintf("moves:%s:%d:%012d", h.server, h.assignment.Term, m.batchCount)
	m.batches[key] = &moveBatch{
		server: h.server, forced: forced,
		record: record.SlicesMoved{Service: h.spec.Service, Moves: entries, Released: released},
	}
	for _, e := range entries {
		m.batchKeyBySlice[SliceRef{Range: e.Range, Generation: e.Generation}] = key
	}
}

// shouldProposeBatch reports whether a batch should be proposed again. It removes
// a batch whose record cannot take effect any more.
func (m *Machine) shouldProposeBatch(key string, b *moveBatch) bool {
	h := m.localHomes[b.server]
	if h == nil || h.assignment.Term != b.record.Moves[0].FromTerm {
		m.removeBatch(key) // the precondition of its record can never hold again
		return false
	}
	return m.logReachable && (!b.forced || h.unresponsive || h.spec.Gone)
}

// removeBatch forgets a batch. Slices that have entered a later batch since keep
// that batch's key.
func (m *Machine) removeBatch(key string) *moveBatch {
	b := m.batches[key]
	if b == nil {
		return nil
	}
	delete(m.batches, key)
	for _, e := range b.record.Moves {
		if ref := (SliceRef{Range: e.Range, Generation: e.Generation}); m.batchKeyBySlice[ref] == key {
			delete(m.batchKeyBySlice, ref)
		}
	}
	return b
}

// abortRejectedMoves aborts the moves of a batch that are left after its record was
// applied: their entries did not take effect.
func (m *Machine) abortRejectedMoves(key string) {
	b := m.removeBatch(key)
	if b == nil {
		return
	}
	h := m.localHomes[b.server]
	if h == nil {
		return
	}
	for _, e := range b.record.Moves {
		if mv := h.moves[SliceRef{Range: e.Range, Generation: e.Generation}]; mv != nil && mv.batchKey == key {
			m.abortMove(h, mv, "the record of the move had no effect")
		}
	}
	m.changedHomes[h.server] = struct{}{}
}
