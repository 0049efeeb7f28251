// Package directory holds the backend servers that this host knows of. Each
// server has an entry in a store, which expires unless it is renewed. An entry that
// expires because the store is unavailable does not mean that its server is gone,
// so the directory keeps such a server until it has had time to register again. The
// package does no I/O. Points in time are passed in, as durations since an arbitrary
// origin on one monotonic clock.
package directory

import (
	"maps"
	"time"
)

// Server is one life of a backend server (see Life).
type Server struct {
	ID       string
	Born     int64 // start time in Unix milliseconds
	Service  string
	Address  string
	Zone     string
	Slots    int // requests that the server runs at a time
	Draining bool
	Cold     bool // has just started and is still slow
	// PausedUntil is the time until which the server wants no requests from this host; 0 if
	// it never asked for a pause. It is meaningless to other hosts.
	PausedUntil time.Duration
	// Evacuated reports that the server's zone is evacuated. Its life goes on, and it gets
	// requests again when the evacuation ends. Other hosts get the zones apart.
	Evacuated bool
	// EvacuationEndedAt is when this host learned that the last evacuation of the server's
	// zone had ended; 0 if that is not known.
	EvacuationEndedAt time.Duration
}

// Directory is the set of known servers. It reflects the records of the store's log of
// entries before an offset that never goes back, whether they came from the store or from
// another host.
type Directory struct {
	servers map[string]Server
	lives   lives
	// followerPauses holds the pauses that followers reported, by host.
	followerPauses map[string][]hostPause
	offset         uint64
	missing        map[string]bool // ids of servers that are kept although their entries are gone
	outages        outageDetector
	evacuations    Evacuations
}

// New returns an empty directory. maxGap is the longest time without contact to the
// store that is not taken for an outage, in which entries of live servers expire.
func New(maxGap time.Duration) *Directory {
	return &Directory{servers: map[string]Server{}, lives: lives{byID: map[string][]lifeState{}}, followerPauses: map[string][]hostPause{}, missing: map[string]bool{}, outages: outageDetector{maxGap: maxGap}, evacuations: newEvacuations()}
}

// RecordContact records that the store answered a host, this one or another, during a
// span of time. It must be called for each read before the read is applied.
func (d *Directory) RecordContact(c Contact) { d.outages.record(c) }

// RecordRestore records that the store was seen to have been restored from an older copy,
// which may lack entries of live servers. It must be called before a read of the restored
// store is applied. An empty directory has nothing to keep.
func (d *Directory) RecordRestore(now time.Duration) {
	if len(d.servers) > 0 {
		d.outages.restoredAt = now
	}
}

// Contact returns the newest contact of any host with the store, and false if none is
// known.
func (d *Directory) Contact() (Contact, bool) { return d.outages.contact, d.outages.known }

// LastOutage returns the newest outage of the store that has ended, and false if there
// was none.
func (d *Directory) LastOutage() (begin, end time.Duration, ok bool) { return d.outages.lastOutage() }

// Offset returns the offset of the log of entries up to which the directory reflects it.
func (d *Directory) Offset() uint64 { return d.offset }

// Advance records that the directory reflects the log of entries before an offset.
func (d *Directory) Advance(offset uint64) { d.offset = max(d.offset, offset) }

// Put adds or updates a server by its entry in the store and reports whether that changed
// the directory. An older life than the known one is ignored. A life that is known to
// leave goes on leaving, whatever the entry says.
func (d *Directory) Put(now time.Duration, s Server) bool {
	delete(d.missing, s.ID)
	old, ok := d.servers[s.ID]
	if ok && old.Born > s.Born {
		return false
	}
	s = d.recordEntry(now, s, SourceStore)
	d.servers[s.ID] = s
	d.evictLives()
	return !ok || old != s
}

// Remove removes a server whose entry is gone from the store, and reports whether
// it did. During an outage of the store, and for ReregistrationGrace after it, the
// server is kept, because entries of live servers expire then.
func (d *Directory) Remove(now time.Duration, id string) bool {
	if _, ok := d.servers[id]; !ok {
		return false
	}
	if d.outages.entriesMayBeMissing(now) {
		d.missing[id] = true
		return false
	}
	delete(d.servers, id)
	delete(d.missing, id)
	return true
}

// ApplyListing updates the directory to a complete listing of the store's entries before
// an offset, and reports whether that changed it. Servers that are not listed are removed
// under the rules of Remove. A listing that is older than the directory changes nothing,
// and applied is false.
func (d *Directory) ApplyListing(now time.Duration, list map[string]Server, offset uint64) (changed, applied bool) {
	if offset < d.offset {
		return false, false
	}
	d.offset = offset
	for id := range d.servers {
		if _, ok := list[id]; !ok && d.Remove(now, id) {
			changed = true
		}
	}
	for _, s := range list {
		if d.Put(now, s) {
			changed = true
		}
	}
	return changed, true
}

// ResetFromLeader replaces all servers by those of the leader host, which has itself
// waited for servers to register again. offset is that of the leader's directory, 0 if it
// is unknown. It returns false and changes nothing if the leader's servers are older than
// the directory. A life that is known to leave goes on leaving, whatever the leader says. A
// known newer life stays for ReregistrationGrace after a restore of the store, of which the
// leader may have read only an older entry.
func (d *Directory) ResetFromLeader(now time.Duration, servers map[string]Server, offset uint64) bool {
	if offset != 0 && offset < d.offset {
		return false
	}
	d.Advance(offset)
	before := d.servers
	d.servers = make(map[string]Server, len(servers))
	for id, s := range servers {
		if known, ok := before[id]; ok && (offset == 0 || d.outages.restoredRecently(now)) && known.Born > s.Born {
			s = known
		}
		d.servers[id] = d.recordEntry(now, s, SourceHost)
	}
	clear(d.missing)
	d.evictLives()
	return true
}

// RemoveMissing removes the servers that were kept by Remove, once no outage of the
// store explains that their entries are missing. It returns their IDs.
func (d *Directory) RemoveMissing(now time.Duration) []string {
	if d.outages.entriesMayBeMissing(now) {
		return nil
	}
	var removed []string
	for id := range d.missing {
		delete(d.servers, id)
		delete(d.missing, id)
		removed = append(removed, id)
	}
	return removed
}

// Get returns the entry of a server, and false if it is not known.
func (d *Directory) Get(id string) (Server, bool) {
	s, ok := d.servers[id]
	return s, ok
}

// All returns a copy of the known servers by ID, with this host's pauses and the
// evacuations of their zones.
func (d *Directory) All() map[string]Server {
	all := maps.Clone(d.servers)
	for id, s := range all {
		all[id] = d.evacuations.mark(s)
	}
	for id, states := range d.lives.byID {
		s, listed := all[id]
		for _, l := range states {
			if listed && l.born == s.Born {
				s.PausedUntil = l.pausedUntil
				all[id] = s
			}
		}
	}
	return all
}
