package ownership

import (
	"net/url"
	"time"

	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/state"
)

// loadFresh is how long a load report shows that a server responds to its home.
const loadFresh = 3 * time.Second

// moveOff moves slices away from a server that is unresponsive, gone or leaving.
func (m *Machine) moveOff(h *home) {
	m.expireMoves(h)
	if _, leased := m.leased(h.scope); !leased || !m.logReachable || h.stopped || h.provisional || m.draining {
		return
	}
	switch {
	case len(h.slices) == 0:
	case h.spec.Gone, h.unresponsive && !h.spec.RequireReleaseConfirmation:
		m.forceMoves(h)
	case h.unresponsive:
		// No forced move without a confirmed release; an operator may declare
		// the server gone.
	case m.serverLeaving(h.name, h.spec) && m.now >= h.moveAfter:
		m.moveGradually(h)
	}
}

// forceMoves proposes new owners for all slices of a server without its consent.
func (m *Machine) forceMoves(h *home) {
	targets := m.targets(h)
	if len(targets) == 0 {
		return
	}
	table := m.st.Table(h.spec.Service)
	var entries []record.Move
	for _, first := range sortedKeys(h.slices) {
		s := h.slices[first]
		if m.batchOf[s.held] != "" || !m.passable(h, s, table.Lookup(first)) {
			continue
		}
		entries = append(entries, record.Move{
			Range: s.held.Range, Generation: s.held.Generation, From: h.name, FromTerm: h.assigned.Term,
			To: pickWeighted(h.spec.Service+"/"+s.held.Range.String(), targets),
		})
		if len(entries) == maxMovesPerRecord {
			m.addBatch(h, entries, false, true)
			entries = nil
		}
	}
	m.addBatch(h, entries, false, true)
}

// passable reports whether a slice may be moved on although its former owner
// may still act: the wait for the new record covers older records only if the
// same witnesses guard them.
func (m *Machine) passable(h *home, s *ownedSlice, slice *state.Slice) bool {
	return s.effective || slice.FormerScope == h.scope || m.rules.skip(RuleNoTransferBeforeEffective)
}

// moveGradually starts planned moves of a leaving server's slices.
func (m *Machine) moveGradually(h *home) {
	if len(h.moves) >= maxMovesPerServer {
		return
	}
	targets := m.targets(h)
	if len(targets) == 0 {
		return
	}
	for _, first := range sortedKeys(h.slices) {
		s := h.slices[first]
		if h.moves[s.held] != nil {
			continue
		}
		if len(h.moves) >= maxMovesPerServer {
			return
		}
		m.startMove(h, s, pickWeighted(h.spec.Service+"/"+s.held.Range.String(), targets))
	}
}

// targets returns the servers that may take slices from a server: those known
// to respond, or else those not known to be unresponsive.
func (m *Machine) targets(h *home) []weighted {
	var responding, others []weighted
	for _, zone := range []string{h.spec.Zone, ""} {
		for _, w := range m.placeable(h.spec.Service, zone) {
			spec, _ := m.st.Server(w.name)
			if w.name == h.name || (zone != "" && spec.Zone != zone) {
				continue
			}
			switch other := m.local[w.name]; {
			case other != nil && other.unresponsive:
			case other != nil && other.answers > 0, m.loadAge(w.name) < loadFresh:
				responding = append(responding, w)
			case other == nil && m.liveHome(m.st.Home(w.name)):
				others = append(others, w)
			}
		}
		if len(responding) > 0 {
			return responding
		}
		if len(others) > 0 {
			return others
		}
	}
	return nil
}

// loadAge returns the time since a server's home last reported its load.
func (m *Machine) loadAge(server string) time.Duration {
	info, ok := m.loads[server]
	if !ok {
		return loadFresh
	}
	return m.now - info.at
}

// hostOf returns the host part of a server's address.
func hostOf(address string) string {
	u, err := url.Parse(address)
	if err != nil {
		return ""
	}
	return u.Hostname()
}

// moveFromLostZones moves the slices of servers in zones that an operator
// declared lost. Services of scope all need no help: their homes can be in any
// zone and move slices off servers that do not respond.
func (m *Machine) moveFromLostZones() {
	if !m.logReachable || m.draining {
		return
	}
	if _, leased := m.leased(m.zoneScope()); !leased {
		return
	}
	for _, zone := range sortedKeys(m.zoneLost) {
		if zone == m.cfg.Zone || !m.myTurn("lost/"+zone, m.st.Members(), m.now-m.zoneLost[zone]) {
			continue
		}
		for _, name := range m.servers {
			spec, _ := m.st.Server(name)
			scope, _ := m.st.ScopeOf(name)
			if spec.Zone == zone && scope != state.ScopeAll && len(m.owned[name]) > 0 {
				m.moveFromLostServer(name, scope)
			}
		}
	}
}

func (m *Machine) moveFromLostServer(name, scope string) {
	spec, _ := m.st.Server(name)
	// A stand-in for the lost home; it only carries the term of the log.
	h := &home{name: name, spec: spec, scope: scope, assigned: m.st.Home(name)}
	targets := m.targets(h)
	if len(targets) == 0 {
		return
	}
	table := m.st.Table(spec.Service)
	body := record.SlicesMoved{Service: spec.Service}
	for _, first := range sortedKeys(m.owned[name]) {
		slice := table.Lookup(first)
		held := SliceRef{Range: slice.Range, Generation: slice.Generation}
		settled := slice.FormerScope == scope || m.sliceEffective(h, slice, held)
		if !settled && !m.rules.skip(RuleNoTransferBeforeEffective) {
			continue
		}
		body.Moves = append(body.Moves, record.Move{
			Range: slice.Range, Generation: slice.Generation, From: name, FromTerm: h.assigned.Term,
			To: pickWeighted(spec.Service+"/"+slice.Range.String(), targets),
		})
		if len(body.Moves) == maxMovesPerRecord {
			break // the rest follows when these are folded
		}
	}
	if len(body.Moves) > 0 {
		m.propose("lost:"+name, body)
	}
}
