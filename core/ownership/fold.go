package ownership

import (
	"time"

	"parsleyrelay.example/core/event"
	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/resource"
	"parsleyrelay.example/core/state"
)

func (m *Machine) setLogReachable(ok bool) {
	if ok == m.logReachable {
		return
	}
	m.logReachable = ok
	code := event.LogReachable
	if !ok {
		m.logDownSince = m.now
		code = event.LogUnreachable
	}
	m.viewDirty.all = true
	m.report(event.Event{Code: code, Offset: m.st.Applied()})
}

func (m *Machine) appendDone(in AppendCompleted) {
	if !in.Failed || in.RecordID == "" {
		return
	}
	// The record may be in the log. It is tried again under the same id after
	// appendRetry unless it is read before.
	if p := m.proposals[m.proposalKeys[in.RecordID]]; p != nil {
		p.sentAt = m.now
	}
}

// fold applies the next record and keeps the bookkeeping beside the state current.
func (m *Machine) fold(p record.Positioned) {
	out, err := m.st.Apply(p)
	if err != nil {
		return // the caller passes records in order; a gap never reaches this point
	}
	key := m.settleProposal(p.Record.ID)
	if out.Applied {
		m.folded(p)
	} else {
		m.report(event.Event{Code: event.RecordIgnored, Offset: p.Offset, Detail: out.Reason})
	}
	m.batchFolded(key)
	m.keeper.folded++
	m.viewDirty.all = true
	m.emit(RecordOutcome{Positioned: p, Applied: out.Applied, Reason: out.Reason})
}

func (m *Machine) folded(p record.Positioned) {
	switch b := p.Record.Body.(type) {
	case record.ResourcePut:
		m.resourceChanged(b.Resource.Key())
	case record.ResourceDelete:
		m.resourceChanged(b.Key)
	case record.HostJoined:
		m.known[b.Incarnation], _ = m.st.Member(b.Incarnation)
		m.heard[b.Incarnation] = m.now
		m.viewDirty.members = true
	case record.HostLeft:
		delete(m.suspects, b.Incarnation)
		if b.Incarnation == m.cfg.Incarnation {
			m.removed = true
			if !m.draining {
				m.emit(MemberRemoved{})
			}
		}
		m.viewDirty.members = true
		m.report(event.Event{Code: event.HostLeft, Peer: b.Incarnation, Offset: p.Offset, Detail: string(b.Reason)})
	case record.WitnessProposed:
		m.viewDirty.members = true
		m.report(event.Event{Code: event.WitnessesProposed, Offset: p.Offset, Detail: b.Scope})
	case record.WitnessActivated:
		m.viewDirty.members = true
		m.report(event.Event{Code: event.WitnessesActivated, Offset: p.Offset, Detail: b.Scope})
	case record.WitnessReset:
		m.viewDirty.members = true
		m.witnessesReset(p.Offset, b)
	case record.HomeAssigned:
		m.homeAssigned(b.Server)
	case record.SlicesPlaced:
		m.slicesPlaced(b)
	case record.SlicesMoved:
		m.slicesMoved(p.Offset, b)
	case record.SliceSplit:
		m.rangeChanged(b.Service, b.Range.First, b.Range.Last, event.SliceSplit, p.Offset)
	case record.SliceMerged:
		m.rangeChanged(b.Service, b.Range.First, b.Range.Last, event.SliceMerged, p.Offset)
	}
}

// rebuild derives all bookkeeping from a restored state.
func (m *Machine) rebuild() {
	m.owned = map[string]map[uint64]struct{}{}
	m.indexResources()
	for _, member := range m.st.Members() {
		m.known[member.Incarnation] = member
		m.heard[member.Incarnation] = m.now
	}
	for _, service := range m.services {
		for slice := range m.st.Table(service).All {
			m.addOwned(slice.Server, slice.Range.First)
		}
	}
	for _, r := range m.st.Resources(resource.KindZone) {
		m.noteZone(r.Name)
	}
	for _, server := range m.servers {
		m.homeAssigned(server)
	}
	m.viewDirty.everything()
}

func (m *Machine) indexResources() {
	m.servers, m.services = nil, nil
	for _, r := range m.st.Resources(resource.KindServer) {
		m.servers = append(m.servers, r.Name)
	}
	for _, r := range m.st.Resources(resource.KindService) {
		m.services = append(m.services, r.Name)
		if m.st.Table(r.Name).Len() == 0 {
			m.unplaced[r.Name] = m.now
		}
	}
}

func (m *Machine) resourceChanged(key resource.Key) {
	m.viewDirty.resources = true
	switch key.Kind {
	case resource.KindServer:
		m.indexResources()
		if spec, ok := m.st.Server(key.Name); ok && m.st.Table(spec.Service).Len() == 0 {
			m.unplaced[spec.Service] = m.now
		}
		m.homeAssigned(key.Name)
		m.viewDirty.server(key.Name)
	case resource.KindService:
		m.indexResources()
		if _, ok := m.st.Service(key.Name); !ok {
			delete(m.unplaced, key.Name)
		}
	case resource.KindZone:
		m.noteZone(key.Name)
	}
}

// noteZone records when a declaration that a zone is lost was folded.
func (m *Machine) noteZone(zone string) {
	if _, lost := m.st.ZoneLostAt(zone); !lost {
		delete(m.zoneLost, zone)
		return
	}
	if _, known := m.zoneLost[zone]; !known {
		m.zoneLost[zone] = m.now
		m.report(event.Event{Code: event.ZoneDeclaredLost, Detail: zone})
	}
}

func (m *Machine) addOwned(server string, first uint64) {
	set := m.owned[server]
	if set == nil {
		set = map[uint64]struct{}{}
		m.owned[server] = set
	}
	set[first] = struct{}{}
}

func (m *Machine) slicesPlaced(b record.SlicesPlaced) {
	delete(m.unplaced, b.Service)
	m.viewDirty.table(b.Service)
	for _, p := range b.Slices {
		m.addOwned(p.Server, p.Range.First)
		if h := m.local[p.Server]; h != nil {
			m.adopt(h, m.st.Table(b.Service).Lookup(p.Range.First))
		}
	}
	m.report(event.Event{Code: event.SlicePlaced, Service: b.Service, Offset: m.st.Applied()})
}

func (m *Machine) slicesMoved(offset uint64, b record.SlicesMoved) {
	m.viewDirty.table(b.Service)
	table := m.st.Table(b.Service)
	for _, move := range b.Moves {
		slice := table.Lookup(move.Range.First)
		if slice.Generation != offset || slice.Range != move.Range || slice.Server != move.To {
			continue // this entry had no effect
		}
		delete(m.owned[move.From], move.Range.First)
		m.addOwned(move.To, move.Range.First)
		served := m.dropSlice(move)
		if h := m.local[move.To]; h != nil {
			s := m.adopt(h, slice)
			s.origin = IDWindowKey{Server: move.From, Term: move.FromTerm, Generation: move.Generation}
			if move.From == move.To {
				s.activation = served // the window of ids is still here
			}
		}
		m.report(event.Event{
			Code: event.SliceMoved, Service: b.Service, Server: move.To, Slice: move.Range.String(),
			Generation: offset, Offset: offset, Detail: "from " + move.From,
		})
	}
}

// rangeChanged replaces the slices of a range after a split or a merge. Owner
// and generation stay the same, so what was granted before stays granted.
func (m *Machine) rangeChanged(service string, first, last uint64, code event.Code, offset uint64) {
	m.viewDirty.table(service)
	table := m.st.Table(service)
	owner := table.Lookup(first).Server
	var pieces []*state.Slice
	for next := first; ; {
		piece := table.Lookup(next)
		pieces = append(pieces, piece)
		if piece.Range.Last >= last {
			break
		}
		next = piece.Range.Last + 1
	}
	// A merge removes first hashes inside the range, a split adds some.
	for hash := range m.owned[owner] {
		if hash >= first && hash <= last {
			delete(m.owned[owner], hash)
		}
	}
	for _, piece := range pieces {
		m.addOwned(owner, piece.Range.First)
	}
	if h := m.local[owner]; h != nil {
		m.reshape(h, first, last, pieces)
	}
	m.report(event.Event{Code: code, Service: service, Server: owner, Offset: offset, Slice: pieces[0].Range.String()})
}

// loadInfo is the last known load of a server and when it was measured.
type loadInfo struct {
	load ServerLoad
	at   time.Duration
}
