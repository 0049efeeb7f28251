package state

import (
	"slices"

	"parsleyrelay.example/core/keyspace"
)

// Slice is a range of a service's key space with its owner. Owner and Origin are
// shared between slices, which brings a slice from 96 to 40 bytes; they are never
// nil and must not be written through.
type Slice struct {
	Range      keyspace.Range
	Generation uint64 // offset of the record that gave the slice to Server; its fence
	*Owner
	*Origin
}

// Owner is the server that owns a slice.
type Owner struct {
	Server string
}

// Origin describes the change that made the generation of a slice. Former is
// empty after the first placement.
type Origin struct {
	Former      string
	FormerScope string // witness scope that guarded the former owner
	FormerZone  string
	Released    bool // the former owner confirmed the release before the record
}

// NewPlacedSlice returns a slice after the first placement. It shares nothing with
// other slices and serves tests.
func NewPlacedSlice(r keyspace.Range, server string, generation uint64) Slice {
	return Slice{Range: r, Generation: generation, Owner: &Owner{Server: server}, Origin: &Origin{}}
}

// intern holds the owners and origins that slices share. It keeps those that no
// slice uses any more: their number is bounded by that of the servers.
type intern struct {
	owners  map[string]*Owner
	origins map[Origin]*Origin
}

func newIntern() *intern {
	return &intern{owners: map[string]*Owner{}, origins: map[Origin]*Origin{}}
}

func (t *intern) owner(server string) *Owner {
	o := t.owners[server]
	if o == nil {
		o = &Owner{Server: server}
		t.owners[server] = o
	}
	return o
}

func (t *intern) origin(origin Origin) *Origin {
	o := t.origins[origin]
	if o == nil {
		o = &origin
		t.origins[origin] = o
	}
	return o
}

// Sizes of the tree. A change after a snapshot copies one leaf, one node and the
// root; at 1.4 million slices these are about 2, 1 and 2.5 kB. New leaves and
// nodes are filled to three quarters, so that a split does not overflow at once.
const (
	maxLeaf  = 64
	fillLeaf = maxLeaf * 3 / 4
	maxNode  = 128
	fillNode = maxNode * 3 / 4
)

// edit marks the parts of a table that the fold has made since the last snapshot
// and may therefore change in place. It must not be of size zero, since pointers
// to such values may be equal.
type edit struct{ _ byte }

// SliceTable holds the slices of one service in hash order, without gaps, as a tree
// of three levels. A table that State.SliceTable returned does not change: the fold
// copies what it changes and shares the rest.
type SliceTable struct {
	owner  *edit
	firsts []uint64 // first hash of each node
	nodes  []*node
	count  int
}

type node struct {
	owner  *edit
	firsts []uint64 // first hash of each leaf
	leaves []*leaf
}

type leaf struct {
	owner  *edit
	slices []Slice
}

// NewSliceTable builds a table from slices in hash order.
func NewSliceTable(sorted []Slice) *SliceTable {
	return newTable(nil, newNodes(nil, newLeaves(nil, sorted)), len(sorted))
}

func newTable(owner *edit, nodes []*node, count int) *SliceTable {
	t := &SliceTable{owner: owner, nodes: nodes, count: count, firsts: make([]uint64, len(nodes))}
	for i, n := range nodes {
		t.firsts[i] = n.firsts[0]
	}
	return t
}

func newLeaves(owner *edit, list []Slice) []*leaf {
	if len(list) <= maxLeaf && len(list) > fillLeaf {
		return []*leaf{{owner: owner, slices: slices.Clone(list)}}
	}
	leaves := make([]*leaf, 0, len(list)/fillLeaf+1)
	for chunk := range slices.Chunk(list, fillLeaf) {
		leaves = append(leaves, &leaf{owner: owner, slices: slices.Clone(chunk)})
	}
	return leaves
}

func newNodes(owner *edit, leaves []*leaf) []*node {
	size := fillNode
	if len(leaves) <= maxNode {
		size = maxNode
	}
	nodes := make([]*node, 0, len(leaves)/size+1)
	for chunk := range slices.Chunk(leaves, size) {
		n := &node{owner: owner, leaves: slices.Clone(chunk), firsts: make([]uint64, len(chunk))}
		for i, l := range n.leaves {
			n.firsts[i] = l.slices[0].Range.First
		}
		nodes = append(nodes, n)
	}
	return nodes
}

// Len returns the number of slices.
func (t *SliceTable) Len() int {
	if t == nil {
		return 0
	}
	return t.count
}

// Lookup returns the slice that contains hash. The pointer must not be written
// through. It is nil only for a table without slices.
func (t *SliceTable) Lookup(hash uint64) *Slice {
	if t == nil || t.count == 0 {
		return nil
	}
	a := floor(t.firsts, hash)
	n := t.nodes[a]
	b := floor(n.firsts, hash)
	l := n.leaves[b]
	return &l.slices[l.floor(hash, n.firsts[b], t.end(a, b))]
}

// floor returns the index of the last element of sorted that is at most hash; the
// first element always is.
func floor(sorted []uint64, hash uint64) int {
	low, high := 0, len(sorted)
	for high-low > 1 {
		if middle := int(uint(low+high) >> 1); sorted[middle] <= hash {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// end returns the first hash after leaf b of node a, 0 after the last leaf.
func (t *SliceTable) end(a, b int) uint64 {
	switch n := t.nodes[a]; {
	case b+1 < len(n.firsts):
		return n.firsts[b+1]
	case a+1 < len(t.firsts):
		return t.firsts[a+1]
	}
	return 0
}

// floor is the function floor over the first hashes of the slices of a leaf that
// covers the hashes from first to end. It searches outwards from where equal widths
// would put the hash: a binary search reads about four cache lines of a leaf,
// which are not in the cache at 1.4 million slices.
func (l *leaf) floor(hash, first, end uint64) int {
	n := len(l.slices)
	after := func(i int) bool { return l.slices[i].Range.First > hash }
	low, high, step := 0, n, 1
	guess := min(n-1, int(float64(hash-first)/(float64(end-1-first)+1)*float64(n)))
	if after(guess) {
		for high = guess; high > step && after(high-step); step *= 2 {
			high -= step
		}
		low = max(0, high-step)
	} else {
		for low = guess; low+step < n && !after(low+step); step *= 2 {
			low += step
		}
		high = min(n, low+step)
	}
	for high-low > 1 {
		if middle := (low + high) / 2; after(middle) {
			high = middle
		} else {
			low = middle
		}
	}
	return low
}

// All calls yield for each slice in hash order until it returns false.
func (t *SliceTable) All(yield func(*Slice) bool) {
	if t == nil {
		return
	}
	for _, n := range t.nodes {
		for _, l := range n.leaves {
			for i := range l.slices {
				if !yield(&l.slices[i]) {
					return
				}
			}
		}
	}
}

// set returns a table in which x replaces the slice of the same range. Parts that
// owner has made are changed in place.
func (t *SliceTable) set(owner *edit, x Slice) *SliceTable {
	if t.owner != owner {
		t = &SliceTable{owner: owner, firsts: t.firsts, nodes: slices.Clone(t.nodes), count: t.count}
	}
	a := floor(t.firsts, x.Range.First)
	n := t.nodes[a]
	if n.owner != owner {
		n = &node{owner: owner, firsts: n.firsts, leaves: slices.Clone(n.leaves)}
		t.nodes[a] = n
	}
	b := floor(n.firsts, x.Range.First)
	l := n.leaves[b]
	if l.owner != owner {
		l = &leaf{owner: owner, slices: slices.Clone(l.slices)}
		n.leaves[b] = l
	}
	l.slices[l.floor(x.Range.First, n.firsts[b], t.end(a, b))] = x
	return t
}

// replace returns a table in which the count slices from the one that starts at
// first are replaced. The replacement must not be empty and must cover exactly
// the same hashes.
func (t *SliceTable) replace(owner *edit, first uint64, count int, replacement []Slice) *SliceTable {
	a := floor(t.firsts, first)
	b := floor(t.nodes[a].firsts, first)
	i := t.nodes[a].leaves[b].floor(first, t.nodes[a].firsts[b], t.end(a, b))
	endA, endB, rest := a, b, i+count
	for rest > len(t.nodes[endA].leaves[endB].slices) {
		rest -= len(t.nodes[endA].leaves[endB].slices)
		if endB++; endB == len(t.nodes[endA].leaves) {
			endA, endB = endA+1, 0
		}
	}
	last := t.nodes[endA].leaves
	merged := slices.Concat(t.nodes[a].leaves[b].slices[:i], replacement, last[endB].slices[rest:])
	if endB++; len(merged) < maxLeaf/4 && endB < len(last) {
		// Joins a small leaf with the next, so that merges do not leave a tree of
		// nearly empty leaves.
		merged = append(merged, last[endB].slices...)
		endB++
	}
	leaves := slices.Concat(t.nodes[a].leaves[:b], newLeaves(owner, merged), last[endB:])
	nodes := slices.Concat(t.nodes[:a], newNodes(owner, leaves), t.nodes[endA+1:])
	return newTable(owner, nodes, t.count-count+len(replacement))
}
