package directory

import (
	"maps"
	"slices"
	"time"
)

// ReturnTime is the time after the end of an evacuation in which the servers of the zone
// count as returning; see Server.EvacuationEndedAt.
const ReturnTime = 60 * time.Second

// Evacuations is the set of availability zones whose servers get no requests. It reflects
// the records of the operator's log before an offset that never goes back, whether they
// came from the store or from another host. The zero value reflects no record.
type Evacuations struct {
	zones   map[string]bool
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

// Offset returns the offset of the operator's log up to which the set reflects it; 0 if
// nothing is known.
func (e *Evacuations) Offset() uint64 { return e.offset }

// Zones returns the evacuated zones in order.
func (e *Evacuations) Zones() []string { return slices.Sorted(maps.Keys(e.zones)) }

// Replace sets all evacuated zones, as a snapshot of the log before an offset or another
// host lists them. Zones that reflect no more of the log than the known ones change
// nothing, and applied is false.
func (e *Evacuations) Replace(now time.Duration, zones []string, offset uint64) (change EvacuationChange, applied bool) {
	if offset <= e.offset {
		return EvacuationChange{}, false
	}
	e.offset = offset
	next := map[string]bool{}
	for _, z := range zones {
		next[z] = true
	}
	for z := range e.zones {
		if !next[z] {
			e.end(now, z, &change)
		}
	}
	for z := range next {
		e.start(z, &change)
	}
	return change.sorted(), true
}

// Apply applies records in the order of the log, of which the reader has seen all before
// an offset. Records that the set reflects already change nothing: another host may have
// read further.
func (e *Evacuations) Apply(now time.Duration, records []EvacuationRecord, offset uint64) EvacuationChange {
	before := maps.Clone(e.zones)
	for _, r := range records {
		switch {
		case r.Offset < e.offset:
		case r.Ended:
			e.end(now, r.Zone, &EvacuationChange{})
		default:
			e.start(r.Zone, &EvacuationChange{})
		}
	}
	e.offset = max(e.offset, offset)
	var change EvacuationChange
	for z := range e.zones {
		if !before[z] {
			change.Started = append(change.Started, z)
		}
	}
	for z := range before {
		if !e.zones[z] {
			change.Ended = append(change.Ended, z)
		}
	}
	return change.sorted()
}

func (e *Evacuations) start(zone string, change *EvacuationChange) {
	if e.zones[zone] {
		return
	}
	if e.zones == nil {
		e.zones = map[string]bool{}
	}
	e.zones[zone] = true
	delete(e.endedAt, zone)
	change.Started = append(change.Started, zone)
}

// end ends an evacuation. It also forgets ends that are older than ReturnTime.
func (e *Evacuations) end(now time.Duration, zone string, change *EvacuationChange) {
	if !e.zones[zone] {
		return
	}
	delete(e.zones, zone)
	maps.DeleteFunc(e.endedAt, func(_ string, at time.Duration) bool { return now-at > ReturnTime })
	if e.endedAt == nil {
		e.endedAt = map[string]time.Duration{}
	}
	e.endedAt[zone] = now
	change.Ended = append(change.Ended, zone)
}

func (c EvacuationChange) sorted() EvacuationChange {
	slices.Sort(c.Started)
	slices.Sort(c.Ended)
	return c
}

// mark sets the fields of a server that depend on the evacuation of its zone.
func (e *Evacuations) mark(s Server) Server {
	s.Evacuated, s.EvacuationEndedAt = e.zones[s.Zone], e.endedAt[s.Zone]
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
