// Package assignment decides which server owns which keys of a keyed service.
// The servers accept grants that carry a fence (a number that a server compares
// with the highest one it has accepted) and need no token. One host is the
// leader. The map of all key ranges is a single record of the log, which changes
// only by conditional append.
//
// A key has at most one holder for these reasons:
//   - The leader grants only what the acknowledged map says, and the map records
//     that the previous holder no longer holds a range before the owner gets a
//     grant. A new leader therefore knows the single server of each range to
//     which a former leader may still send grants.
//   - The fences of a term are higher than those of all earlier terms. A server
//     that has accepted a grant of a term refuses the grants of former leaders.
//   - A call names the ID and the address of a server, which keeps both if it starts
//     again. So whatever runs there counts as the holder of a range, and each grant
//     has a new fence, as the former incarnation may have accepted the last one.
//   - An incarnation that has started since has not seen the fence. A leader grants
//     only over connections that were open before a confirmation of its leadership,
//     at whose other end is an incarnation that ran before any later leader.
//   - A range moves to another server only after the previous holder has released
//     it, is known to have ended, or has outlived the last grant that may have
//     reached it.
//   - After the log was restored from an older copy, ranges may have moved by maps that
//     are lost. A leader that goes on grants a range again only after its holder has
//     accepted the fence of the leader's former term, so that no later leader has moved the
//     range. Other leaders grant nothing until the grants of former leaders have ended.
//   - A holder that is asked to release has accepted a fence above those of all
//     grants that may still be applied. A response that may be the copy of an earlier
//     one on its connection does not prove that; a grant over a new connection then
//     raises the fence first.
//
// The package does no I/O and reads no clock. Its times are time.Duration values
// since an arbitrary origin, all from one monotonic clock of the host.
package assignment

import (
	"slices"
	"sort"
	"time"

	"parsleyrelay.example/core/directory"
)

// KeyCount is the number of keys of a service; keys run from 0 to KeyCount-1.
const KeyCount = 65536

// Durations of grants and of the calls to servers.
const (
	// GrantDuration is the time for which a server may hold a range after a grant.
	// It is longer than a network interruption of about five seconds between leader
	// and server, and than the election of a new leader.
	GrantDuration = 8 * time.Second
	// RenewalInterval is the time between grants of a settled range. It leaves
	// three further attempts within GrantDuration.
	RenewalInterval = 3200 * time.Millisecond
	// FenceGrantDuration is the duration of a grant that only raises the fence of a
	// holder before it is asked to release.
	FenceGrantDuration = 100 * time.Millisecond
	// GrantExpiryMargin is added to the expiry of a grant. It covers a server clock
	// that runs 2% slow over GrantDuration, and the delivery of the grant.
	// CallTimeout, where it is added too, covers the time until the call has ended.
	GrantExpiryMargin = 360 * time.Millisecond
	// LeadershipConfirmationTimeout is the time after the last confirmation from the
	// log (see Leader.ConfirmLeadership) after which a leader ends its term. It is
	// longer than common outages of the log.
	LeadershipConfirmationTimeout = 10 * time.Second
	// moveConfirmationTimeout is the time after the last confirmation from the log after
	// which a leader no longer asks previous holders to release. Without the log no move
	// can be completed, and the next leader need not wait for it.
	moveConfirmationTimeout = 3 * time.Second
	// confirmationGrace is the time after the last confirmation from the log for which
	// connections are opened for grants; see Call.MayConnect. It is a little longer than
	// the interval at which a leader reads the log, 0.6 s, with slow responses. Later the
	// log is not expected to confirm the leadership while a call waits.
	confirmationGrace = 1200 * time.Millisecond
	// CallTimeout limits a grant call; the connection is reset after it.
	CallTimeout = time.Second
	// CallRetryDelay is the delay before a call is repeated after a failure.
	CallRetryDelay = 400 * time.Millisecond
	// RefusedCallDelay is the time between calls to a server that refuses them. It leaves
	// two further attempts within a grant, and the list of servers usually shows within
	// this time who has the address.
	RefusedCallDelay = 2 * time.Second
	// fenceCounterBits is the number of low bits of a fence that count the grants
	// of a range within a term; the term is in the bits above. Fences stay below 2^53, so
	// that JSON numbers represent them exactly.
	fenceCounterBits = 24
	// maxFenceCounter is the highest count within a term. The leader resigns when
	// resignationReserve counts are left, and stops when there are none.
	maxFenceCounter    = 1<<fenceCounterBits - 1
	resignationReserve = 1 << 16
)

// ServerIncarnation identifies one run of a backend server's process.
type ServerIncarnation struct {
	ID      string `json:"id"`
	Born    int64  `json:"born"` // start time in Unix milliseconds
	Address string `json:"address"`
}

// endpoint is what a call names. Calls reach whichever incarnation of the server runs
// at the address.
type endpoint struct{ id, address string }

func (i ServerIncarnation) endpoint() endpoint { return endpoint{id: i.ID, address: i.Address} }

// IncarnationOf returns the incarnation of a server.
func IncarnationOf(s directory.Server) ServerIncarnation {
	return ServerIncarnation{ID: s.ID, Born: s.Born, Address: s.Address}
}

// Range is a contiguous range of keys with one owner.
type Range struct {
	From, To uint16 // both inclusive
	Owner    ServerIncarnation
	// PreviousHolder is the only server that may still hold the range. It is empty
	// once that server is known not to hold it.
	PreviousHolder ServerIncarnation
	// GrantPending reports that the previous holder no longer holds the range and the
	// owner has not accepted a grant yet. It is not set for the first placement of a
	// range, which has no previous holder.
	GrantPending bool
	// Move identifies the move for which the previous holder is to release the range: the
	// term in which it began, shifted by fenceCounterBits, plus a number. It is 0 for
	// none, and in maps of earlier versions.
	Move uint64
}

// AwaitsRelease reports whether the previous holder may still hold the range.
func (r *Range) AwaitsRelease() bool { return r.PreviousHolder.ID != "" }

// IsMoving reports whether the owner does not serve the range yet.
func (r *Range) IsMoving() bool { return r.AwaitsRelease() || r.GrantPending }

// Map is the acknowledged assignment of all keyed services.
type Map struct {
	Offset     uint64 // offset of the record in the log; also 0 before the first record
	NextOffset uint64 // log offset that the next conditional append must name
	Era        uint64 // of the log when the map was written; see FirstTermOf
	Term       uint64 // number of the leader's term
	Leader     string // identifier of the run of the leading host's process
	Sequence   uint64 // number of the write within the term
	Resigned   bool   // the leader ended its term with all ranges settled and no open call
	// EarlierLeaders names the processes that led before Leader, from the last resignation
	// on, and may still run. unknownLeader stands for those that are not named, lostLeader
	// for those whose maps may have been lost; see Map.IsUnverified.
	EarlierLeaders []string
	Services       map[string][]Range // by service; ordered by key, without gaps
}

// unknownLeader is an element of Map.EarlierLeaders.
const unknownLeader = ""

// maxEarlierLeaders limits Map.EarlierLeaders.
const maxEarlierLeaders = 16

// earlierLeadersOfNextTerm returns the EarlierLeaders of the map that follows m with another leader.
func (m *Map) earlierLeadersOfNextTerm() []string {
	switch {
	case m.Leader == "" || m.Resigned:
		return nil
	case len(m.EarlierLeaders) >= maxEarlierLeaders && m.IsUnverified():
		return []string{lostLeader, unknownLeader, m.Leader}
	case len(m.EarlierLeaders) >= maxEarlierLeaders:
		return []string{unknownLeader, m.Leader}
	}
	return append(slices.Clone(m.EarlierLeaders), m.Leader)
}

// FindRange returns the range of a service that contains key, or nil.
func (m *Map) FindRange(service string, key uint16) *Range {
	if m == nil {
		return nil
	}
	ranges := m.Services[service]
	i := indexOfKey(ranges, key)
	if i == len(ranges) || ranges[i].From > key {
		return nil
	}
	return &ranges[i]
}

// indexOfKey returns the index of the first range that does not end before key.
func indexOfKey(ranges []Range, key uint16) int {
	return sort.Search(len(ranges), func(i int) bool { return ranges[i].To >= key })
}

// IsComplete reports whether the ranges of each service are ordered and cover all keys once.
func (m *Map) IsComplete() bool {
	for _, ranges := range m.Services {
		next := 0
		for i := range ranges {
			if int(ranges[i].From) != next || ranges[i].To < ranges[i].From {
				return false
			}
			next = int(ranges[i].To) + 1
		}
		if next != KeyCount {
			return false
		}
	}
	return true
}

func (m *Map) clone() *Map {
	c := *m
	c.Services = make(map[string][]Range, len(m.Services))
	for name, ranges := range m.Services {
		c.Services[name] = slices.Clone(ranges)
	}
	return &c
}
