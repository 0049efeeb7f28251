// Package memory bounds the bytes that a process holds for messages whose size others
// choose.
package memory

import (
	"sync"
	"sync/atomic"
)

// Account bounds the bytes of several holds together. It is safe for concurrent use.
//
// A hold may grow as long as it is not larger than what remains free after it has grown
// (the dynamic threshold of shared packet buffers, Choudhury and Hahne 1998, with alpha 1).
// So a single hold gets at most half of the limit, n equal ones get n/(n+1) of it, and
// small messages find room beside large ones.
type Account struct {
	limit    int64 // in bytes; 0 for none
	refusals atomic.Uint64

	mu   sync.Mutex
	held int64
}

// NewAccount returns an account without holds. limit is in bytes; 0 for no limit.
func NewAccount(limit int64) *Account { return &Account{limit: limit} }

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
	size    int64 // in bytes
}

// Grow enlarges the hold by a number of bytes. It returns false and changes nothing if
// there is no room.
func (h *Hold) Grow(bytes int64) bool {
	a := h.Account
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.limit > 0 && h.size+bytes > a.limit-a.held-bytes {
		a.refusals.Add(1)
		return false
	}
	a.held += bytes
	h.size += bytes
	return true
}

// Release empties the hold.
func (h *Hold) Release() {
	h.Account.mu.Lock()
	defer h.Account.mu.Unlock()
	h.Account.held -= h.size
	h.size = 0
}
