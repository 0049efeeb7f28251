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

// KeyCount is the number of keys of a service.
const KeyCount = 65536

// Bounds of grants.
const (
	// GrantDuration is the duration of a grant. It outlasts a cut of about five seconds
	// between leader and server, and the election of a new leader.
	GrantDuration = 8 * time.Second
	// RenewalInterval leaves three further attempts within GrantDuration.
	RenewalInterval = 3200 * time.Millisecond
	// FenceGrantDuration is the duration of a grant that only raises the fence of a holder
	// before it is asked to release.
	FenceGrantDuration = 100 * time.Millisecond
	// GrantExpiryMargin covers a server clock that runs 2% slow over GrantDuration, and the
	// delivery of the grant.
	GrantExpiryMargin = 360 * time.Millisecond
	// LeaderContactTimeout is the time without contact to the store after which a leader
	// stops granting. It outlasts common outages of the store.
	LeaderContactTimeout = 10 * time.Second
	// CallTimeout bounds a grant; the connection is reset after it.
	CallTimeout = time.Second
	// CallRetryDelay spaces attempts at a server that does not answer.
	CallRetryDelay = 400 * time.Millisecond
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
	// PreviousHolder is the only server that may hold the range, until it is known not
	// to; empty otherwise.
	PreviousHolder Incarnation
	// GrantPending says that nobody but the owner may hold the range, and that the owner
	// has not accepted it yet.
	GrantPending bool
}

// AwaitsRelease says that the former holder may hold the range.
func (r *Range) AwaitsRelease() bool { return r.PreviousHolder.ID != "" }

// IsMoving says that the owner does not serve the range yet.
func (r *Range) IsMoving() bool { return r.AwaitsRelease() || r.GrantPending }

// Map is the acknowledged assignment of all keyed services.
type Map struct {
	Offset     uint64 // of the record in the store; 0 also before the first record
	NextOffset uint64 // offset that the next conditional append names
	Term       uint64
	Leader     string             // incarnation of the leading host
	Sequence   uint64             // of the write within the term
	Resigned   bool               // the leader ended its term with all ranges settled and no call open
	Services   map[string][]Range // ordered by key, without gaps
}

// FindRange returns the range of a key of a service, or nil.
func (m *Map) FindRange(service string, key uint16) *Range {
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
