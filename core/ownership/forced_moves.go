package ownership

import (
	"net/url"
	"time"

	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/state"
)

// loadReportTTL is how long a load report of a server counts as proof that the
// server responds to its home.
const loadReportTTL = 3 * time.Second

// moveSlicesAway starts or proposes moves of the slices of a server that is
// unresponsive, gone or leaving.
func (m *Machine) moveSlicesAway(h *localHome) {
	m.abortStalledMoves(h)
	if _, leased := m.prefixLease(h.scope); !leased || !m.logReachable || h.relinquished || h.provisional || m.draining {
		return
	}
	switch {
	case len(h.slices) == 0:
	case h.spec.Gone, h.unresponsive && !h.spec.RequireReleaseConfirmation:
		m.proposeForcedMoves(h)
	case h.unresponsive:
		// The server's spec forbids moves without a confirmed release; an operator
		// can declare the server gone.
	case m.isServerLeaving(h.server, h.spec) && m.now >= h.nextMoveAt:
		m.startMovesOffLeavingServer(h)
	}
}

// proposeForcedMoves proposes new owners for all slices of a server without having
// the server release them.
func (m *Machine) proposeForcedMoves(h *localHome) {
	targets := m.moveTargets(h)
	if len(targets) == 0 {
		return
	}
	table := m.state.SliceTable(h.spec.Service)
	var entries []record.SliceMove
	for _, first := range sortedKeys(h.slices) {
		s := h.slices[first]
		if m.batchKeyBySlice[s.ref] != "" || !m.canForceMove(h, s, table.Lookup(first)) {
			continue
		}
		entries = append(entries, record.SliceMove{
			Range: s.ref.Range, Generation: s.ref.Generation, From: h.server, FromTerm: h.assignment.Term,
			To: pickWeighted(h.spec.Service+"/"+s.ref.Range.String(), targets),
		})
		if len(entries) == maxMovesPerRecord {
			m.addBatch(h, entries, false, true)
			entries = nil
		}
	}
	m.addBatch(h, entries, false, true)
}

// canForceMove reports whether a slice may be moved without a release. The former
// owner of a slice that is not effective yet may still act; the expiry wait for the
// new record includes that owner only if the witnesses of one scope confirm both
// records. moveFromLostServer applies the same rule.
func (m *Machine) canForceMove(h *localHome, s *localSlice, slice *state.Slice) bool {
	return s.effective || slice.FormerScope == h.scope || m.disabledRules.has(RuleNoTransferBeforeEffective)
}

// startMovesOffLeavingServer starts planned moves of a leaving server's slices, up to
// maxMovesPerServer at a time.
func (m *Machine) startMovesOffLeavingServer(h *localHome) {
	if len(h.moves) >= maxMovesPerServer {
		return
	}
	targets := m.moveTargets(h)
	if len(targets) == 0 {
		return
	}
	for _, first := range sortedKeys(h.slices) {
		s := h.slices[first]
		if h.moves[s.ref] != nil {
			continue
		}
		if len(h.moves) >= maxMovesPerServer {
			return
		}
		m.startMove(h, s, pickWeighted(h.spec.Service+"/"+s.ref.Range.String(), targets))
	}
}

// moveTargets returns the servers that may receive slices of a server: those known
// to respond, or otherwise those not known to be unresponsive. Servers of the same
// zone are preferred.
func (m *Machine) moveTargets(h *localHome) []weightedServer {
	var responding, others []weightedServer
	for _, zone := range []string{h.spec.Zone, ""} {
		for _, w := range m.eligibleServers(h.spec.Service, zone) {
			spec, _ := m.state.Server(w.name)
			if w.name == h.server || (zone != "" && spec.Zone != zone) {
				continue
			}
			switch other := m.localHomes[w.name]; {
			case other != nil && other.unresponsive:
			case other != nil && other.responses > 0, m.loadAge(w.name) < loadReportTTL:
				responding = append(responding, w)
			case other == nil && m.isLiveHome(m.state.Home(w.name)):
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

// loadAge returns the time since the last known measurement of a server's load,
// loadReportTTL if there is none.
func (m *Machine) loadAge(server string) time.Duration {
	report, ok := m.serverLoads[server]
	if !ok {
		return loadReportTTL
	}
	return m.now - report.measuredAt
}

// addressHost returns the host name in the URL of a server.
func addressHost(address string) string {
	u, err := url.Parse(address)
	if err != nil {
		return ""
	}
	return u.Hostname()
}

// moveFromLostZones proposes moves of the slices of servers in zones that an
// operator declared lost. Services whose scope is all zones do not need it: their
// homes can be in any zone and move slices off servers that do not respond.
func (m *Machine) moveFromLostZones() {
	if !m.logReachable || m.draining {
		return
	}
	if _, leased := m.prefixLease(m.ownZoneScope()); !leased {
		return
	}
	for _, zone := range sortedKeys(m.zoneLostSince) {
		if zone == m.cfg.Zone || !m.isOwnTurn("lost/"+zone, m.state.Members(), m.now-m.zoneLostSince[zone]) {
			continue
		}
		for _, name := range m.serverNames {
			spec, _ := m.state.Server(name)
			scope, _ := m.state.WitnessScopeOfServer(name)
			if spec.Zone == zone && scope != state.WitnessScopeAll && len(m.slicesByServer[name]) > 0 {
				m.moveFromLostServer(name, scope)
			}
		}
	}
}

func (m *Machine) moveFromLostServer(name, scope string) {
	spec, _ := m.state.Server(name)
	// Not a local home; it only carries the server and the term from the log.
	h := &localHome{server: name, spec: spec, scope: scope, assignment: m.state.Home(name)}
	targets := m.moveTargets(h)
	if len(targets) == 0 {
		return
	}
	table := m.state.SliceTable(spec.Service)
	body := record.SlicesMoved{Service: spec.Service}
	for _, first := range sortedKeys(m.slicesByServer[name]) {
		slice := table.Lookup(first)
		ref := SliceRef{Range: slice.Range, Generation: slice.Generation}
		canForce := slice.FormerScope == scope || m.isSliceEffective(h, slice, ref)
		if !canForce && !m.disabledRules.has(RuleNoTransferBeforeEffective) {
			continue
		}
		body.Moves = append(body.Moves, record.SliceMove{
			Range: slice.Range, Generation: slice.Generation, From: name, FromTerm: h.assignment.Term,
			To: pickWeighted(spec.Service+"/"+slice.Range.String(), targets),
		})
		if len(body.Moves) == maxMovesPerRecord {
			break // the remaining slices follow once these moves are applied
		}
	}
	if len(body.Moves) > 0 {
		m.propose("lost:"+name, body)
	}
}
