// Package directory keeps what the host believes about the backend servers. It
// does no I/O; time is passed in.
package directory

import (
	"maps"
	"time"
)

// ReregistrationGrace is the time after the store's return within which the entries of
// live servers are back. Until it has passed, a missing entry says nothing.
const ReregistrationGrace = 2200 * time.Millisecond

// Server is an incarnation of a backend server.
type Server struct {
	ID       string
	Born     int64 // Unix milliseconds of the start; separates incarnations with one ID
	Service  string
	Address  string
	Zone     string
	Slots    int
	Draining bool
	Cold     bool // just started and slow
}

// Directory is the set of known servers.
type Directory struct {
	servers   map[string]Server
	lapsed    map[string]time.Duration // id: time of removal
	disrupted bool
	since     time.Duration // return of the store
	returned  bool
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{servers: map[string]Server{}, lapsed: map[string]time.Duration{}}
}

// Put notes an entry. It returns true if anything that matters changed.
func (d *Directory) Put(s Server) bool {
	delete(d.lapsed, s.ID)
	old, ok := d.servers[s.ID]
	if ok && old.Born > s.Born {
		return false
	}
	d.servers[s.ID] = s
	return !ok || old != s
}

// Remove notes that an entry is gone. While the store is disrupted, and shortly
// after, the server is kept, because entries of live servers lapse then.
func (d *Directory) Remove(now time.Duration, id string) bool {
	if _, ok := d.servers[id]; !ok {
		return false
	}
	if d.disrupted || d.returned && now-d.since < ReregistrationGrace {
		if _, ok := d.lapsed[id]; !ok {
			d.lapsed[id] = now
		}
		return false
	}
	delete(d.servers, id)
	return true
}

// ApplyListing notes a complete listing.
func (d *Directory) ApplyListing(now time.Duration, list map[string]Server) bool {
	changed := false
	for id := range d.servers {
		if _, ok := list[id]; !ok && d.Remove(now, id) {
			changed = true
		}
	}
	for _, s := range list {
		if d.Put(s) {
			changed = true
		}
	}
	return changed
}

// ResetFromLeader replaces all servers by those that the leading host knows, which has
// waited for lapsed entries itself. An outage that this host saw before says
// nothing about them.
func (d *Directory) ResetFromLeader(servers map[string]Server) {
	d.servers = maps.Clone(servers)
	clear(d.lapsed)
	d.disrupted, d.returned = false, false
}

// SetStoreReachable notes whether the store serves.
func (d *Directory) SetStoreReachable(now time.Duration, reachable bool) {
	if d.disrupted && reachable {
		d.since, d.returned = now, true
	}
	d.disrupted = !reachable
}

// RemoveExpired removes lapsed entries whose grace has passed.
func (d *Directory) RemoveExpired(now time.Duration) []string {
	if d.disrupted || now-d.since < ReregistrationGrace {
		return nil
	}
	var gone []string
	for id := range d.lapsed {
		delete(d.servers, id)
		delete(d.lapsed, id)
		gone = append(gone, id)
	}
	return gone
}

// All returns a copy of the known servers by id.
func (d *Directory) All() map[string]Server { return maps.Clone(d.servers) }
