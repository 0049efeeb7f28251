// Package memory bounds the bytes that a process holds for messages whose size others
// choose.
package memory

import (
	"sync"
	"sync/atomic"
)

// AlwaysGranted is the size of a hold, in bytes, up to which it grows in a full account, too.
const AlwaysGranted = 4 << 10

// Account bounds the bytes of several holds together. It is safe for concurrent use.
//
// A hold may grow as long as it is not larger than its weight times what remains free after
// it has grown (the dynamic threshold of shared packet buffers, Choudhury and Hahne 1998,
// whose alpha is the weight). So with weight 1 a single hold gets at most half of the limit,
// n equal ones get n/(n+1) of it, and small messages find room beside large ones. Holds
// of up to AlwaysGranted may always grow: their number is bounded by that of the messages in
// flight. A nil account has no limit.
type Account struct {
	limit    int64    // in bytes; 0 for none
	parent   *Account // nil for none
	refusals atomic.Uint64

	mu   sync.Mutex
	held int64
}

// NewAccount returns an account without holds. limit is in bytes; 0 for no limit.
func NewAccount(limit int64) *Account { return &Account{limit: limit} }

// NewPart returns an account whose holds also count in a, and may grow only as far as both
// accounts allow. limit is in bytes; 0 for that of a alone.
func (a *Account) NewPart(limit int64) *Account { return &Account{limit: limit, parent: a} }

// Held returns the bytes of all holds.
func (a *Account) Held() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held
}

// Refusals returns how often a hold could not grow.
func (a *Account) Refusals() uint64 { return a.refusals.Load() }

// Hold is the part of an account that one message takes. It is not safe for concurrent use.
type Hold struct {
	Account *Account
	Weight  int64 // see Account; 0 counts as 1
	size    int64 // in bytes
}

// Grow enlarges the hold by a number of bytes. It returns false and changes nothing if
// there is no room.
func (h *Hold) Grow(bytes int64) bool {
	if !h.Account.add(bytes, h.size+bytes, max(1, h.Weight)) {
		return false
	}
	h.size += bytes
	return true
}

// Take enlarges the hold by a number of bytes, also if there is no room: for messages that
// are in memory already. Other holds find less room.
func (h *Hold) Take(bytes int64) {
	for a := h.Account; a != nil; a = a.parent {
		a.subtract(-bytes)
	}
	h.size += bytes
}

// Release empties the hold.
func (h *Hold) Release() {
	for a := h.Account; a != nil; a = a.parent {
		a.subtract(h.size)
	}
	h.size = 0
}

// add adds bytes to the account and to those that it is part of, for a hold that gets a
// size. It returns false and changes nothing if one of them has no room.
func (a *Account) add(bytes, size, weight int64) bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.limit > 0 && size > AlwaysGranted && size > weight*(a.limit-a.held-bytes) || !a.parent.add(bytes, size, weight) {
		a.refusals.Add(1)
		return false
	}
	a.held += bytes
	return true
}

func (a *Account) subtract(bytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held -= bytes
}
