// Package assignment decides which server holds which keys of a keyed service
// whose servers accept fenced grants without a token. One host leads; the map
// of all ranges is a single record that changes only by conditional append.
//
// Safety rests on these facts. A host grants only what the acknowledged map
// says: the map says that a former holder is free before the owner is granted,
// so a new leader knows which single server a former leader may still grant. Every term has higher fences than the ones before, so a server that has
// accepted a grant of a term refuses those of earlier leaders. A range goes to
// another server only after the former holder released it, is known to have
// ended, or can no longer hold it by the latest grant that may have reached it.
//
// The package does no I/O and reads no clock.
package assignment

import (
	"slices"
	"time"

	"parsleyrelay.example/core/directory"
)

// Keys is the number of keys of a service.
const Keys = 65536

// Bounds of grants.
const (
	// Hold is the duration of a grant. It outlasts a cut of about five seconds
	// between leader and server, and the election of a new leader.
	Hold = 8 * time.Second
	// RenewEvery leaves three further attempts within Hold.
	RenewEvery = 3200 * time.Millisecond
	// FenceHold is the duration of a grant that only raises the fence of a holder
	// before it is asked to release.
	FenceHold = 100 * time.Millisecond
	// HoldMargin covers a server clock that runs 2% slow over Hold, and the
	// delivery of the grant.
	HoldMargin = 360 * time.Millisecond
	// LeaderLimit is the time without contact to the store after which a leader
	// stops granting. It outlasts common outages of the store.
	LeaderLimit = 10 * time.Second
	// CallTimeout bounds a grant; the connection is reset after it.
	CallTimeout = time.Second
	// RetryAfterFailure spaces attempts at a server that does not answer.
	RetryAfterFailure = 400 * time.Millisecond
	// fenceBits separates the counter of a term from the term in a fence. A
	// fence stays below 2^53, which JSON numbers carry exactly.
	fenceBits = 24
)

// Incarnation names one life of a server.
type Incarnation struct {
	ID      string `json:"id"`
	Born    int64  `json:"born"`
	Address string `json:"address"`
}

// IncarnationOf returns the incarnation of a server.
func IncarnationOf(s directory.Server) Incarnation {
	return Incarnation{ID: s.ID, Born: s.Born, Address: s.Address}
}

// Range is a run of keys with one owner.
type Range struct {
	From, To uint16 // both inclusive
	Owner    Incarnation
	// Previous is the only server that may hold the range, until it is known not
	// to; empty otherwise.
	Previous Incarnation
	// Pending says that nobody but the owner may hold the range, and that the owner
	// has not accepted it yet.
	Pending bool
}

// Releasing says that the former holder may hold the range.
func (r *Range) Releasing() bool { return r.Previous.ID != "" }

// Moving says that the owner does not serve the range yet.
func (r *Range) Moving() bool { return r.Releasing() || r.Pending }

// Map is the acknowledged assignment of all keyed services.
type Map struct {
	Offset   uint64 // of the record in the store; 0 also before the first record
	End      uint64 // offset that the next conditional append names
	Term     uint64
	Leader   string             // incarnation of the leading host
	Sequence uint64             // of the write within the term
	Resigned bool               // the leader ended its term with all ranges settled and no call open
	Services map[string][]Range // ordered by key, without gaps
}

// Find returns the range of a key of a service, or nil.
func (m *Map) Find(service string, key uint16) *Range {
	if m == nil {
		return nil
	}
	ranges := m.Services[service]
	i, _ := slices.BinarySearchFunc(ranges, key, func(r Range, k uint16) int { return int(r.To) - int(k) })
	if i == len(ranges) || ranges[i].From > key {
		return nil
	}
	return &ranges[i]
}

func (m *Map) clone() *Map {
	c := *m
	c.Services = make(map[string][]Range, len(m.Services))
	for name, ranges := range m.Services {
		c.Services[name] = slices.Clone(ranges)
	}
	return &c
}
