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
		m.logUnreachableSince = m.now
		code = event.LogUnreachable
	}
	m.viewChanges.scalars = true
	m.emitEvent(event.Event{Code: code, Offset: m.state.AppliedOffset()})
}

func (m *Machine) handleAppendCompleted(in AppendCompleted) {
	if !in.Failed || in.RecordID == "" {
		return
	}
	// The record may be in the log. It is appended again with the same id after
	// appendRetryInterval unless it is read before.
	if p := m.proposals[m.proposalKeyByID[in.RecordID]]; p != nil {
		p.sentAt = m.now
	}
}

// applyRecord applies the next record to the state and updates what the machine
// derives from the state.
func (m *Machine) applyRecord(entry record.LogEntry) {
	out, err := m.state.Apply(entry)
	if err != nil {
		return // the caller passes records in order; a gap never reaches this point
	}
	key := m.removeProposal(entry.Record.ID)
	if out.TookEffect {
		m.updateDerivedState(entry)
	} else {
		m.emitEvent(event.Event{Code: event.RecordIgnored, Offset: entry.Offset, Detail: out.Reason})
	}
	m.abortRejectedMoves(key)
	m.checkpoints.recordsSinceBase++
	m.viewChanges.scalars = true
	m.addEffect(RecordOutcome{Entry: entry, TookEffect: out.TookEffect, Reason: out.Reason})
}

// updateDerivedState updates what the machine derives from the state after a record
// that took effect.
func (m *Machine) updateDerivedState(entry record.LogEntry) {
	switch b := entry.Record.Body.(type) {
	case record.ResourcePut:
		m.updateResource(b.Resource.Key())
	case record.ResourceDelete:
		m.updateResource(b.Key)
	case record.HostJoined:
		m.knownMembers[b.Incarnation], _ = m.state.Member(b.Incarnation)
		m.lastHeard[b.Incarnation] = m.now
		m.viewChanges.members = true
	case record.HostLeft:
		delete(m.suspectedSince, b.Incarnation)
		if b.Incarnation == m.cfg.Incarnation {
			m.removedFromMembers = true
			if !m.draining {
				m.addEffect(MemberRemoved{})
			}
		}
		m.viewChanges.members = true
		m.emitEvent(event.Event{Code: event.HostLeft, Peer: b.Incarnation, Offset: entry.Offset, Detail: string(b.Reason)})
	case record.WitnessProposed:
		m.viewChanges.members = true
		m.emitEvent(event.Event{Code: event.WitnessesProposed, Offset: entry.Offset, Detail: b.Scope})
	case record.WitnessActivated:
		m.viewChanges.members = true
		m.emitEvent(event.Event{Code: event.WitnessesActivated, Offset: entry.Offset, Detail: b.Scope})
	case record.WitnessReset:
		m.viewChanges.members = true
		m.applyWitnessReset(entry.Offset, b)
	case record.HomeAssigned:
		m.syncHome(b.Server)
	case record.SlicesPlaced:
		m.applySlicesPlaced(b)
	case record.SlicesMoved:
		m.applySlicesMoved(entry.Offset, b)
	case record.SliceSplit:
		m.applyRangeChange(b.Service, b.Range.First, b.Range.Last, event.SliceSplit, entry.Offset)
	case record.SliceMerged:
		m.applyRangeChange(b.Service, b.Range.First, b.Range.Last, event.SliceMerged, entry.Offset)
	}
}

// rebuildDerivedState rebuilds what the machine derives from the state after a
// restore.
func (m *Machine) rebuildDerivedState() {
	m.slicesByServer = map[string]map[uint64]struct{}{}
	m.indexResources()
	for _, member := range m.state.Members() {
		m.knownMembers[member.Incarnation] = member
		m.lastHeard[member.Incarnation] = m.now
	}
	for _, service := range m.serviceNames {
		for slice := range m.state.SliceTable(service).All {
			m.addServerSlice(slice.Server, slice.Range.First)
		}
	}
	for _, r := range m.state.Resources(resource.KindZone) {
		m.updateLostZone(r.Name)
	}
	for _, server := range m.serverNames {
		m.syncHome(server)
	}
	m.viewChanges.markEverything()
}

func (m *Machine) indexResources() {
	m.serverNames, m.serviceNames = nil, nil
	for _, r := range m.state.Resources(resource.KindServer) {
		m.serverNames = append(m.serverNames, r.Name)
	}
	for _, r := range m.state.Resources(resource.KindService) {
		m.serviceNames = append(m.serviceNames, r.Name)
		if m.state.SliceTable(r.Name).Len() == 0 {
			m.unplacedSince[r.Name] = m.now
		}
	}
}

func (m *Machine) updateResource(key resource.Key) {
	m.viewChanges.resources = true
	switch key.Kind {
	case resource.KindServer:
		m.indexResources()
		if spec, ok := m.state.Server(key.Name); ok && m.state.SliceTable(spec.Service).Len() == 0 {
			m.unplacedSince[spec.Service] = m.now
		}
		m.syncHome(key.Name)
		m.viewChanges.markServer(key.Name)
	case resource.KindService:
		m.indexResources()
		if _, ok := m.state.Service(key.Name); !ok {
			delete(m.unplacedSince, key.Name)
		}
	case resource.KindZone:
		m.updateLostZone(key.Name)
	}
}

// updateLostZone records when the declaration that a zone is lost was applied.
func (m *Machine) updateLostZone(zone string) {
	if _, lost := m.state.ZoneLostOffset(zone); !lost {
		delete(m.zoneLostSince, zone)
		return
	}
	if _, known := m.zoneLostSince[zone]; !known {
		m.zoneLostSince[zone] = m.now
		m.emitEvent(event.Event{Code: event.ZoneDeclaredLost, Detail: zone})
	}
}

func (m *Machine) addServerSlice(server string, first uint64) {
	set := m.slicesByServer[server]
	if set == nil {
		set = map[uint64]struct{}{}
		m.slicesByServer[server] = set
	}
	set[first] = struct{}{}
}

func (m *Machine) applySlicesPlaced(b record.SlicesPlaced) {
	delete(m.unplacedSince, b.Service)
	m.viewChanges.markTable(b.Service)
	for _, p := range b.Slices {
		m.addServerSlice(p.Server, p.Range.First)
		if h := m.localHomes[p.Server]; h != nil {
			m.addSlice(h, m.state.SliceTable(b.Service).Lookup(p.Range.First))
		}
	}
	m.emitEvent(event.Event{Code: event.SlicePlaced, Service: b.Service, Offset: m.state.AppliedOffset()})
}

func (m *Machine) applySlicesMoved(offset uint64, b record.SlicesMoved) {
	m.viewChanges.markTable(b.Service)
	table := m.state.SliceTable(b.Service)
	for _, move := range b.Moves {
		slice := table.Lookup(move.Range.First)
		if slice.Generation != offset || slice.Range != move.Range || slice.Server != move.To {
			continue // the record took effect, but not this entry
		}
		delete(m.slicesByServer[move.From], move.Range.First)
		m.addServerSlice(move.To, move.Range.First)
		activation := m.removeMovedSlice(move)
		if h := m.localHomes[move.To]; h != nil {
			s := m.addSlice(h, slice)
			s.idWindow = IDWindowKey{Server: move.From, Term: move.FromTerm, Generation: move.Generation}
			if move.From == move.To {
				s.activation = activation // the idempotency window is still here
			}
		}
		m.emitEvent(event.Event{
			Code: event.SliceMoved, Service: b.Service, Server: move.To, Slice: move.Range.String(),
			Generation: offset, Offset: offset, Detail: "from " + move.From,
		})
	}
}

// applyRangeChange replaces the slices of a range after a split or a merge. Owner
// and generation stay the same, so existing grants stay valid.
func (m *Machine) applyRangeChange(service string, first, last uint64, code event.Code, offset uint64) {
	m.viewChanges.markTable(service)
	table := m.state.SliceTable(service)
	owner := table.Lookup(first).Server
	var newSlices []*state.Slice
	for next := first; ; {
		slice := table.Lookup(next)
		newSlices = append(newSlices, slice)
		if slice.Range.Last >= last {
			break
		}
		next = slice.Range.Last + 1
	}
	// A merge removes slices that begin inside the range, a split adds some.
	for hash := range m.slicesByServer[owner] {
		if hash >= first && hash <= last {
			delete(m.slicesByServer[owner], hash)
		}
	}
	for _, slice := range newSlices {
		m.addServerSlice(owner, slice.Range.First)
	}
	if h := m.localHomes[owner]; h != nil {
		m.replaceSlices(h, first, last, newSlices)
	}
	m.emitEvent(event.Event{Code: code, Service: service, Server: owner, Offset: offset, Slice: newSlices[0].Range.String()})
}

// loadReport is the last known load of a server and when it was measured.
type loadReport struct {
	load       ServerLoad
	measuredAt time.Duration
}
