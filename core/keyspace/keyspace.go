// Package keyspace maps keys to a 64-bit hash space and describes ranges of it.
package keyspace

import (
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Hash returns the position of key in the hash space of its service (xxHash64).
func Hash(key string) uint64 {
	return xxhash.Sum64String(key)
}

// Range is a contiguous part of the hash space. Both bounds are inclusive, so
// that the whole space and a range of one hash can be expressed.
type Range struct {
	First uint64 `json:"first"`
	Last  uint64 `json:"last"`
}

// FullRange is the whole hash space.
var FullRange = Range{First: 0, Last: math.MaxUint64}

// Contains reports whether the hash h lies in r.
func (r Range) Contains(h uint64) bool {
	return r.First <= h && h <= r.Last
}

// Overlaps reports whether r and o have a hash in common.
func (r Range) Overlaps(o Range) bool {
	return r.First <= o.Last && o.First <= r.Last
}

// Valid reports whether First is not greater than Last.
func (r Range) Valid() bool {
	return r.First <= r.Last
}

// String returns the range as "first-last", 16 hexadecimal digits each.
func (r Range) String() string {
	return fmt.Sprintf("%016x-%016x", r.First, r.Last)
}

// EqualRanges splits the whole hash space into n ranges of the same size; the last
// one is up to n-1 hashes smaller when n does not divide the space. It returns nil
// for n < 1.
func EqualRanges(n int) []Range {
	if n < 1 {
		return nil
	}
	step := math.MaxUint64 / uint64(n)
	ranges := make([]Range, n)
	first := uint64(0)
	for i := range ranges {
		last := first + step
		if i == n-1 || last < first {
			last = math.MaxUint64
		}
		ranges[i] = Range{First: first, Last: last}
		first = last + 1
	}
	return ranges
}
