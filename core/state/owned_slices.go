package state

import (
	"iter"
	"slices"
)

// maxRunLength is the greatest number of hashes in a run. It limits the memory that an
// insertion or removal moves to 4 kB.
const maxRunLength = 512

// hashSet is a sorted set of hashes, stored in sorted runs of at most maxRunLength.
type hashSet struct {
	runs  [][]uint64
	count int
}

func (s *hashSet) len() int {
	if s == nil {
		return 0
	}
	return s.count
}

// runIndex returns the index of the run that hash belongs to. It is the search of
// floorIndex over the first hashes of the runs.
func (s *hashSet) runIndex(hash uint64) int {
	low, high := 0, len(s.runs)
	for high-low > 1 {
		if middle := int(uint(low+high) >> 1); s.runs[middle][0] <= hash {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

func (s *hashSet) add(hash uint64) {
	if len(s.runs) == 0 {
		s.runs = append(s.runs, nil)
	}
	r := s.runIndex(hash)
	i, found := slices.BinarySearch(s.runs[r], hash)
	if found {
		return
	}
	s.count++
	if i == maxRunLength && r == len(s.runs)-1 {
		// Starts a new run, so that hashes added in ascending order fill each run
		// completely; a split would leave runs half full.
		s.runs = append(s.runs, append(make([]uint64, 0, maxRunLength), hash))
		return
	}
	s.runs[r] = slices.Insert(s.runs[r], i, hash)
	if len(s.runs[r]) <= maxRunLength {
		return
	}
	upper := slices.Clone(s.runs[r][maxRunLength/2:])
	s.runs[r] = s.runs[r][:maxRunLength/2]
	s.runs = slices.Insert(s.runs, r+1, upper)
}

func (s *hashSet) remove(hash uint64) {
	if s.len() == 0 {
		return
	}
	r := s.runIndex(hash)
	i, found := slices.BinarySearch(s.runs[r], hash)
	if !found {
		return
	}
	s.count--
	s.runs[r] = slices.Delete(s.runs[r], i, i+1)
	if len(s.runs[r]) == 0 {
		s.runs = slices.Delete(s.runs, r, r+1)
	}
}

// SlicesOwnedBy iterates over the slices that a server owns, in hash order and without a
// scan of the table. No record may be applied during the iteration.
func (s *State) SlicesOwnedBy(server string) iter.Seq[*Slice] {
	return func(yield func(*Slice) bool) {
		spec, ok := s.Server(server)
		owned := s.ownedStarts[server]
		if !ok || owned.len() == 0 {
			return
		}
		table := s.SliceTable(spec.Service)
		for _, run := range owned.runs {
			for _, first := range run {
				if !yield(table.Lookup(first)) {
					return
				}
			}
		}
	}
}

// addOwnedSlice records that a server owns the slice that starts at first.
func (s *State) addOwnedSlice(server string, first uint64) {
	owned := s.ownedStarts[server]
	if owned == nil {
		owned = &hashSet{}
		s.ownedStarts[server] = owned
	}
	owned.add(first)
}

// removeOwnedSlice records that a server no longer owns the slice that starts at first.
func (s *State) removeOwnedSlice(server string, first uint64) {
	owned := s.ownedStarts[server]
	owned.remove(first)
	if owned.len() == 0 {
		delete(s.ownedStarts, server)
	}
}
