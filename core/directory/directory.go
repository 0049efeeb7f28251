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

// ReregistrationGrace is the time within which live servers have registered again
// after an outage of the store. Until it has passed, a missing entry does not mean
// that the server is gone.
const ReregistrationGrace = 2200 * time.Millisecond

// Server is one incarnation of a backend server: a restart under the same ID gives
// another incarnation.
type Server struct {
	ID       string
	Born     int64 // start time in Unix milliseconds; distinguishes incarnations with the same ID
	Service  string
	Address  string
	Zone     string
	Slots    int // requests that the server runs at a time
	Draining bool
	Cold     bool // has just started and is still slow
}

// Directory is the set of known servers.
type Directory struct {
	servers          map[string]Server
	missing          map[string]time.Duration // by ID of a server that is kept: when its entry was found gone
	storeDown        bool
	storeRecoveredAt time.Duration // end of the last outage of the store
	storeRecovered   bool          // there was an outage, and it has ended
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{servers: map[string]Server{}, missing: map[string]time.Duration{}}
}

// Put adds or updates a server and reports whether that changed the directory. An
// older incarnation than the known one is ignored.
func (d *Directory) Put(s Server) bool {
	delete(d.missing, s.ID)
	old, ok := d.servers[s.ID]
	if ok && old.Born > s.Born {
		return false
	}
	d.servers[s.ID] = s
	return !ok || old != s
}

// Remove removes a server whose entry is gone from the store, and reports whether
// it did. During an outage of the store, and for ReregistrationGrace after it, the
// server is kept, because entries of live servers expire then.
func (d *Directory) Remove(now time.Duration, id string) bool {
	if _, ok := d.servers[id]; !ok {
		return false
	}
	if d.storeDown || d.storeRecovered && now-d.storeRecoveredAt < ReregistrationGrace {
		if _, ok := d.missing[id]; !ok {
			d.missing[id] = now
		}
		return false
	}
	delete(d.servers, id)
	delete(d.missing, id)
	return true
}

// ApplyListing updates the directory to a complete listing of the store's entries
// and reports whether anything changed. Servers that are not listed are removed
// under the rules of Remove.
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

// ResetFromLeader replaces all servers by those of the leader host. The leader has
// itself waited for servers to register again, so an outage that this host saw
// earlier is forgotten.
func (d *Directory) ResetFromLeader(servers map[string]Server) {
	d.servers = maps.Clone(servers)
	clear(d.missing)
	d.storeDown, d.storeRecovered = false, false
}

// SetStoreReachable records whether the store can be reached.
func (d *Directory) SetStoreReachable(now time.Duration, reachable bool) {
	if d.storeDown && reachable {
		d.storeRecoveredAt, d.storeRecovered = now, true
	}
	d.storeDown = !reachable
}

// RemoveMissing removes the servers that were kept by Remove and have not registered
// again within ReregistrationGrace after the outage of the store. It returns their
// IDs.
func (d *Directory) RemoveMissing(now time.Duration) []string {
	if d.storeDown || now-d.storeRecoveredAt < ReregistrationGrace {
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

// All returns a copy of the known servers by ID.
func (d *Directory) All() map[string]Server { return maps.Clone(d.servers) }
