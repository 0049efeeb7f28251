// Package balance measures the load of slices and keys and plans the moves that
// even out the load of servers. It is pure: time is passed in.
package balance

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"
)

// LoadHalfLife is the time after which load counts half.
const LoadHalfLife = 10 * time.Second

// DecayingSum is an exponentially decayed sum of busy time.
type DecayingSum struct {
	sum float64 // busy seconds, decayed to at
	at  time.Duration
}

// Add counts busy seconds at now.
func (l *DecayingSum) Add(now time.Duration, busy float64) {
	l.sum = l.sum*decay(now-l.at) + busy
	l.at = now
}

// Rate returns the decayed average of busy slots at now.
func (l *DecayingSum) Rate(now time.Duration) float64 {
	return l.sum * decay(now-l.at) * math.Ln2 / LoadHalfLife.Seconds()
}

// minMeasured keeps the first few requests of a short measurement from being
// taken for a high rate.
const minMeasured = 2 * time.Second

// RateSince returns the average of busy slots at now of a load that was measured
// from since on. Rate alone is too low by half after one LoadHalfLife.
func (l *DecayingSum) RateSince(now, since time.Duration) float64 {
	return l.Rate(now) / (1 - decay(max(now-since, minMeasured)))
}

// Scaled returns the given share of a load.
func (l *DecayingSum) Scaled(share float64) DecayingSum {
	return DecayingSum{sum: l.sum * share, at: l.at}
}

func decay(age time.Duration) float64 {
	return math.Exp2(-age.Seconds() / LoadHalfLife.Seconds())
}

// HotKey is a key hash with its decayed average of busy slots, which may be too
// high by up to Error.
type HotKey struct {
	Hash      uint64
	BusySlots float64
	MaxError  float64
}

// HotKeys finds the keys with the most load by the space-saving algorithm: a key
// that is not tracked replaces the one with the least load and inherits it.
type HotKeys struct {
	capacity int
	index    map[uint64]*entry
	order    entryHeap
}

// NewHotKeys returns a sketch that tracks up to capacity keys, at least one.
func NewHotKeys(capacity int) *HotKeys {
	return &HotKeys{capacity: max(capacity, 1), index: map[uint64]*entry{}}
}

// entry holds logarithms of sums that grow with time instead of decaying, so that
// the order of entries does not change while time passes.
type entry struct {
	hash     uint64
	sum      float64 // log2 of the sum in the scale of time 0
	err      float64
	position int
}

// Add counts busy seconds of a key at now. It ignores busy of 0 or less.
func (h *HotKeys) Add(now time.Duration, hash uint64, busy float64) {
	if busy <= 0 {
		return
	}
	amount := math.Log2(busy) + now.Seconds()/LoadHalfLife.Seconds()
	if e := h.index[hash]; e != nil {
		e.sum = logAdd(e.sum, amount)
		heap.Fix(&h.order, e.position)
		return
	}
	if len(h.order) < h.capacity {
		e := &entry{hash: hash, sum: amount, err: math.Inf(-1)}
		h.index[hash] = e
		heap.Push(&h.order, e)
		return
	}
	e := h.order[0]
	delete(h.index, e.hash)
	e.hash, e.err, e.sum = hash, e.sum, logAdd(e.sum, amount)
	h.index[hash] = e
	heap.Fix(&h.order, 0)
}

// Top returns the tracked keys, the hottest first.
func (h *HotKeys) Top(now time.Duration) []HotKey {
	rate := func(log float64) float64 {
		return math.Exp2(log-now.Seconds()/LoadHalfLife.Seconds()) * math.Ln2 / LoadHalfLife.Seconds()
	}
	list := make([]HotKey, len(h.order))
	for i, e := range h.order {
		list[i] = HotKey{Hash: e.hash, BusySlots: rate(e.sum), MaxError: rate(e.err)}
	}
	slices.SortFunc(list, func(a, b HotKey) int {
		return cmp.Or(cmp.Compare(b.BusySlots, a.BusySlots), cmp.Compare(a.Hash, b.Hash))
	})
	return list
}

// logAdd returns log2(2^a + 2^b).
func logAdd(a, b float64) float64 {
	high, low := max(a, b), min(a, b)
	return high + math.Log2(1+math.Exp2(low-high))
}

type entryHeap []*entry

func (h entryHeap) Len() int           { return len(h) }
func (h entryHeap) Less(i, j int) bool { return h[i].sum < h[j].sum }
func (h entryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i, j
}
func (h *entryHeap) Push(x any) {
	e := x.(*entry)
	e.position = len(*h)
	*h = append(*h, e)
}
func (h *entryHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
