// Package balance measures the load of slices (ranges of key hashes) and of single keys,
// and plans the moves and splits of slices that even out the load of the backend servers
// of a service. It does no I/O and reads no clock: callers pass the time as the duration
// since a start of their choice, which must be the same for all calls about one service.
//
// Load is measured in busy slots: the average number of requests that a server processes
// at the same time, which is the busy time per unit of time.
package balance

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"
)

// LoadHalfLife is the time after which a measured amount counts half.
const LoadHalfLife = 10 * time.Second

// DecayingSum is an exponentially decaying sum of amounts, such as busy seconds or
// requests. The zero value is an empty sum.
type DecayingSum struct {
	lastSum   float64 // decayed up to updatedAt
	updatedAt time.Duration
}

// Add adds an amount at time now.
func (d *DecayingSum) Add(now time.Duration, amount float64) {
	d.lastSum = d.lastSum*decayFactor(now-d.updatedAt) + amount
	d.updatedAt = now
}

// Rate returns the exponentially weighted average of the amount per second at now: busy
// slots if the amounts are busy seconds.
func (d *DecayingSum) Rate(now time.Duration) float64 {
	return d.lastSum * decayFactor(now-d.updatedAt) * math.Ln2 / LoadHalfLife.Seconds()
}

// minRateWindow is the shortest time over which RateSince averages, so that the first few
// requests of a new measurement don't appear as a high rate.
const minRateWindow = 2 * time.Second

// RateSince is like Rate, but corrects for a measurement that began only at since. Without
// the correction the rate is half of the true one after one LoadHalfLife.
func (d *DecayingSum) RateSince(now, since time.Duration) float64 {
	return d.Rate(now) / (1 - decayFactor(max(now-since, minRateWindow)))
}

// Scaled returns a copy of the sum multiplied by factor.
func (d *DecayingSum) Scaled(factor float64) DecayingSum {
	return DecayingSum{lastSum: d.lastSum * factor, updatedAt: d.updatedAt}
}

// decayFactor returns what remains of an amount of 1 after age.
func decayFactor(age time.Duration) float64 {
	return math.Exp2(-age.Seconds() / LoadHalfLife.Seconds())
}

// HotKey is the hash of a key with its estimated load. The estimate is never too low, and
// too high by at most MaxError.
type HotKey struct {
	Hash      uint64
	BusySlots float64
	MaxError  float64 // in busy slots
}

// HotKeyTracker finds the keys with the most load in bounded memory by the Space-Saving
// algorithm: when it is full, a new key replaces the tracked key with the least load and
// starts from that load, which is therefore its maximum error.
type HotKeyTracker struct {
	capacity int
	tracked  map[uint64]*trackedKey // by key hash
	minHeap  trackedKeyHeap         // the key with the least load first
}

// NewHotKeyTracker returns a tracker of up to capacity keys, at least one.
func NewHotKeyTracker(capacity int) *HotKeyTracker {
	return &HotKeyTracker{capacity: max(capacity, 1), tracked: map[uint64]*trackedKey{}}
}

// trackedKey is a key with the logarithm of its load. Instead of letting old amounts decay,
// it weights new amounts higher by 2^(now/LoadHalfLife). The order of the keys in the heap
// thus doesn't change as time passes, and the logarithm keeps the weights from overflowing.
type trackedKey struct {
	hash         uint64
	log2Sum      float64 // log2 of the weighted sum of busy seconds
	log2MaxError float64 // log2 of the sum taken over from the replaced key
	heapIndex    int
}

// Add counts busy seconds of a key at now. It ignores amounts of 0 or less.
func (h *HotKeyTracker) Add(now time.Duration, hash uint64, busySeconds float64) {
	if busySeconds <= 0 {
		return
	}
	log2Amount := math.Log2(busySeconds) + now.Seconds()/LoadHalfLife.Seconds()
	if e := h.tracked[hash]; e != nil {
		e.log2Sum = logAddExp2(e.log2Sum, log2Amount)
		heap.Fix(&h.minHeap, e.heapIndex)
		return
	}
	if len(h.minHeap) < h.capacity {
		e := &trackedKey{hash: hash, log2Sum: log2Amount, log2MaxError: math.Inf(-1)}
		h.tracked[hash] = e
		heap.Push(&h.minHeap, e)
		return
	}
	e := h.minHeap[0]
	delete(h.tracked, e.hash)
	e.hash, e.log2MaxError, e.log2Sum = hash, e.log2Sum, logAddExp2(e.log2Sum, log2Amount)
	h.tracked[hash] = e
	heap.Fix(&h.minHeap, 0)
}

// Top returns the tracked keys with their load at now, the highest load first.
func (h *HotKeyTracker) Top(now time.Duration) []HotKey {
	rate := func(log2Sum float64) float64 {
		return math.Exp2(log2Sum-now.Seconds()/LoadHalfLife.Seconds()) * math.Ln2 / LoadHalfLife.Seconds()
	}
	list := make([]HotKey, len(h.minHeap))
	for i, e := range h.minHeap {
		list[i] = HotKey{Hash: e.hash, BusySlots: rate(e.log2Sum), MaxError: rate(e.log2MaxError)}
	}
	slices.SortFunc(list, func(a, b HotKey) int {
		return cmp.Or(cmp.Compare(b.BusySlots, a.BusySlots), cmp.Compare(a.Hash, b.Hash))
	})
	return list
}

// logAddExp2 returns log2(2^a + 2^b).
func logAddExp2(a, b float64) float64 {
	high, low := max(a, b), min(a, b)
	return high + math.Log2(1+math.Exp2(low-high))
}

// trackedKeyHeap implements heap.Interface as a min-heap by load.
type trackedKeyHeap []*trackedKey

func (h trackedKeyHeap) Len() int           { return len(h) }
func (h trackedKeyHeap) Less(i, j int) bool { return h[i].log2Sum < h[j].log2Sum }
func (h trackedKeyHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *trackedKeyHeap) Push(x any) {
	e := x.(*trackedKey)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}
func (h *trackedKeyHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
