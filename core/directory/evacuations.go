package directory

import (
	"maps"
	"slices"
	"time"
)

// ReturnTime is the time after the end of an evacuation in which the servers of the zone
// count as returning; see Server.EvacuationEndedAt.
const ReturnTime = 60 * time.Second

// Evacuations and restores of the store.
const (
	// eraShift separates the era of the store from the offset in a position of its logs; see
	// docs/hard-load.md, part C.
	eraShift = 40
	// carryTime is the time for which an evacuation stays in force after the store was
	// restored from a copy without its record. The operator writes its records again.
	carryTime = 10 * time.Second
)

// Evacuations is the set of availability zones whose servers get no requests. It reflects
// the records of the operator's log before an offset that never goes back, whether they
// came from the store or from another host.
type Evacuations struct {
	zones   map[string]bool
	carried map[string]time.Duration // end of the carryTime of zones that a restore has lost
	endedAt map[string]time.Duration // of the last evacuation, by zone that is not evacuated
	offset  uint64
}

// EvacuationRecord is a record of the operator's log that starts or ends an evacuation.
type EvacuationRecord struct {
	Zone   string
	Ended  bool
	Offset uint64
}

// EvacuationChange is how the set of evacuated zones has changed. The zones are in order.
type EvacuationChange struct{ Started, Ended []string }

// Empty reports whether no evacuation started or ended.
func (c EvacuationChange) Empty() bool { return len(c.Started)+len(c.Ended) == 0 }

func newEvacuations() Evacuations {
	return Evacuations{zones: map[string]bool{}, carried: map[string]time.Duration{}, endedAt: map[string]time.Duration{}}
}

// Offset returns the offset of the operator's log up to which the set reflects it; 0 if
// nothing is known.
func (e *Evacuations) Offset() uint64 { return e.offset }

// Zones returns the evacuated zones in order.
func (e *Evacuations) Zones() []string { return slices.Sorted(maps.Keys(e.inForce())) }

// Listed returns, in order, the zones that the log lists as evacuated. Other hosts get
// these, since each knows itself which ones a restore has lost.
func (e *Evacuations) Listed() []string { return slices.Sorted(maps.Keys(e.zones)) }

func (e *Evacuations) inForce() map[string]bool {
	all := map[string]bool{}
	maps.Copy(all, e.zones)
	for z := range e.carried {
		all[z] = true
	}
	return all
}

// Replace sets all evacuated zones, as a snapshot of the log before an offset or another
// host lists them. Zones that reflect no more of the log than the known ones change
// nothing, and applied is false. After a restore of the store, zones that are no longer
// listed stay evacuated for carryTime.
func (e *Evacuations) Replace(now time.Duration, zones []string, offset uint64) (change EvacuationChange, applied bool) {
	if offset <= e.offset {
		return EvacuationChange{}, false
	}
	before, restored := e.inForce(), e.offset>>eraShift < offset>>eraShift
	e.offset = offset
	for z := range e.zones {
		if restored && !slices.Contains(zones, z) {
			e.carried[z] = now + carryTime
		}
	}
	e.zones = map[string]bool{}
	for _, z := range zones {
		e.zones[z] = true
		delete(e.carried, z)
	}
	return e.changeSince(now, before), true
}

// Apply applies records in the order of the log, of which the reader has seen all before
// an offset. Records that the set reflects already change nothing: another host may have
// read further.
func (e *Evacuations) Apply(now time.Duration, records []EvacuationRecord, offset uint64) EvacuationChange {
	before := e.inForce()
	for _, r := range records {
		if r.Offset < e.offset {
			continue
		}
		delete(e.carried, r.Zone)
		delete(e.zones, r.Zone)
		if !r.Ended {
			e.zones[r.Zone] = true
		}
	}
	e.offset = max(e.offset, offset)
	return e.changeSince(now, before)
}

// Expire ends the evacuations that a restore of the store has lost, and that the operator
// has not written again within carryTime.
func (e *Evacuations) Expire(now time.Duration) EvacuationChange {
	if len(e.carried) == 0 {
		return EvacuationChange{}
	}
	before := e.inForce()
	maps.DeleteFunc(e.carried, func(_ string, until time.Duration) bool { return until <= now })
	return e.changeSince(now, before)
}

// changeSince returns how the zones in force differ from those before, and records the
// ends. It also forgets ends that are older than ReturnTime.
func (e *Evacuations) changeSince(now time.Duration, before map[string]bool) EvacuationChange {
	var change EvacuationChange
	after := e.inForce()
	for z := range after {
		if !before[z] {
			change.Started = append(change.Started, z)
			delete(e.endedAt, z)
		}
	}
	maps.DeleteFunc(e.endedAt, func(_ string, at time.Duration) bool { return now-at > ReturnTime })
	for z := range before {
		if !after[z] {
			change.Ended = append(change.Ended, z)
			e.endedAt[z] = now
		}
	}
	return change.sorted()
}

func (c EvacuationChange) sorted() EvacuationChange {
	slices.Sort(c.Started)
	slices.Sort(c.Ended)
	return c
}

// mark sets the fields of a server that depend on the evacuation of its zone.
func (e *Evacuations) mark(s Server) Server {
	_, carried := e.carried[s.Zone]
	s.Evacuated, s.EvacuationEndedAt = carried || e.zones[s.Zone], e.endedAt[s.Zone]
	return s
}

// Evacuations returns the evacuated zones, which All marks in the servers.
func (d *Directory) Evacuations() *Evacuations { return &d.evacuations }

// WithoutLocalState returns the server without the fields that concern one host only, as
// other hosts get it.
func (s Server) WithoutLocalState() Server {
	s.PausedUntil, s.Evacuated, s.EvacuationEndedAt = 0, false, 0
	return s
}
