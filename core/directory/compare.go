package directory

import "slices"

// Difference sums up how one list of servers differs from the next, for the log.
type Difference struct {
	Usable   int      // servers that have appeared, or do not leave any more
	Leaving  int      // servers that have announced that they leave
	Gone     int      // servers that the next list does not have
	Examples []string // ids of some of the servers that are leaving or gone, in order
}

// maxExamples bounds Difference.Examples.
const maxExamples = 8

// Empty reports whether no server appeared, leaves or is gone.
func (d Difference) Empty() bool { return d.Usable+d.Leaving+d.Gone == 0 }

// Compare returns the difference between two lists of servers by ID.
func Compare(before, after map[string]Server) Difference {
	var d Difference
	for id, s := range after {
		old, known := before[id]
		switch {
		case s.Draining && !(known && old.Draining):
			d.Leaving++
			d.Examples = append(d.Examples, id)
		case !s.Draining && (!known || old.Draining):
			d.Usable++
		}
	}
	for id := range before {
		if _, ok := after[id]; !ok {
			d.Gone++
			d.Examples = append(d.Examples, id)
		}
	}
	slices.Sort(d.Examples)
	d.Examples = d.Examples[:min(len(d.Examples), maxExamples)]
	return d
}
