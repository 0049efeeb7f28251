package state

import (
	"slices"

	"parsleyrelay.example/core/keyspace"
)

// Slice is a range of the key hashes of a service with its owner. Slices share the Owner
// and Origin values, which reduces a slice from 96 to 40 bytes; the pointers are never nil
// and the values must not be changed.
type Slice struct {
	Range      keyspace.Range
	Generation uint64 // offset of the record that gave the slice to Server; its fencing token
	*Owner
	*Origin
}

// Owner is the server that owns a slice.
type Owner struct {
	Server string
}

// Origin describes the move that gave a slice its generation. It is zero after the first
// placement. The names of its fields are part of the checkpoint format.
type Origin struct {
	Former      string // server that owned the slice before
	FormerScope string // witness scope of the former owner
	FormerZone  string // zone of the former owner
	Released    bool   // the former owner confirmed the release before the record was appended
}

// NewPlacedSlice returns a slice as after its first placement, for tests. It shares no
// memory with other slices.
func NewPlacedSlice(r keyspace.Range, server string, generation uint64) Slice {
	return Slice{Range: r, Generation: generation, Owner: &Owner{Server: server}, Origin: &Origin{}}
}

// internPool holds the owners and origins that slices share. Values that no slice uses any
// more are never dropped: their number is limited by that of the servers, each of which has
// few origins.
type internPool struct {
	owners  map[string]*Owner
	origins map[Origin]*Origin
}

func newInternPool() *internPool {
	return &internPool{owners: map[string]*Owner{}, origins: map[Origin]*Origin{}}
}

func (p *internPool) owner(server string) *Owner {
	o := p.owners[server]
	if o == nil {
		o = &Owner{Server: server}
		p.owners[server] = o
	}
	return o
}

func (p *internPool) origin(origin Origin) *Origin {
	o := p.origins[origin]
	if o == nil {
		o = &origin
		p.origins[origin] = o
	}
	return o
}

// Sizes of the tree. A change after a snapshot copies one leaf, one node and the root; at
// 1.4 million slices these are about 2, 1 and 2.5 kB. Where a list does not fit into one
// leaf or node, new ones are filled to three quarters, so that the next split of a slice
// does not overflow them at once.
const (
	maxLeafSlices  = 64
	leafFillSlices = maxLeafSlices * 3 / 4
	maxNodeLeaves  = 128
	nodeFillLeaves = maxNodeLeaves * 3 / 4
)

// editToken identifies, by its address, an edit: the changes of tables between two
// snapshots. The tables, nodes and leaves that carry the token of the current edit were
// created by it and may be changed in place; all others are copied, also those with a nil
// token. The type must not have size zero, since pointers to distinct values of size zero
// may be equal.
type editToken struct{ _ byte }

// SliceTable holds the slices of one service in hash order and without gaps, as a
// copy-on-write tree of three levels: the table, its nodes and their leaves. A table that
// State.SliceTable returned does not change: State.Apply copies the nodes and leaves that
// it changes and shares the others.
type SliceTable struct {
	edit        *editToken // edit that created the table, nil if none; see editToken
	firstHashes []uint64   // first hash of each node
	nodes       []*node
	sliceCount  int
}

type node struct {
	edit        *editToken // as in SliceTable
	firstHashes []uint64   // first hash of each leaf
	leaves      []*leaf
}

type leaf struct {
	edit   *editToken // as in SliceTable
	slices []Slice
}

// NewSliceTable returns a table of slices that are in hash order.
func NewSliceTable(sorted []Slice) *SliceTable {
	return newTableFromNodes(nil, newNodes(nil, newLeaves(nil, sorted)), len(sorted))
}

func newTableFromNodes(edit *editToken, nodes []*node, count int) *SliceTable {
	t := &SliceTable{edit: edit, nodes: nodes, sliceCount: count, firstHashes: make([]uint64, len(nodes))}
	for i, n := range nodes {
		t.firstHashes[i] = n.firstHashes[0]
	}
	return t
}

func newLeaves(edit *editToken, list []Slice) []*leaf {
	// Slices that fit into one leaf are not divided.
	if len(list) <= maxLeafSlices && len(list) > leafFillSlices {
		return []*leaf{{edit: edit, slices: slices.Clone(list)}}
	}
	leaves := make([]*leaf, 0, len(list)/leafFillSlices+1)
	for chunk := range slices.Chunk(list, leafFillSlices) {
		leaves = append(leaves, &leaf{edit: edit, slices: slices.Clone(chunk)})
	}
	return leaves
}

func newNodes(edit *editToken, leaves []*leaf) []*node {
	// Leaves that fit into one node are not divided.
	size := nodeFillLeaves
	if len(leaves) <= maxNodeLeaves {
		size = maxNodeLeaves
	}
	nodes := make([]*node, 0, len(leaves)/size+1)
	for chunk := range slices.Chunk(leaves, size) {
		n := &node{edit: edit, leaves: slices.Clone(chunk), firstHashes: make([]uint64, len(chunk))}
		for i, l := range n.leaves {
			n.firstHashes[i] = l.slices[0].Range.First
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
	return t.sliceCount
}

// Lookup returns the slice that contains hash, or nil if the table has no slices. The
// slice must not be changed.
func (t *SliceTable) Lookup(hash uint64) *Slice {
	if t == nil || t.sliceCount == 0 {
		return nil
	}
	nodeIndex := floorIndex(t.firstHashes, hash)
	n := t.nodes[nodeIndex]
	leafIndex := floorIndex(n.firstHashes, hash)
	l := n.leaves[leafIndex]
	return &l.slices[l.sliceIndex(hash, n.firstHashes[leafIndex], t.endOfLeaf(nodeIndex, leafIndex))]
}

// floorIndex returns the index of the last element of sorted that is at most hash. The
// first element must be at most hash.
func floorIndex(sorted []uint64, hash uint64) int {
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

// endOfLeaf returns the first hash after a leaf, 0 after the last leaf of the table.
func (t *SliceTable) endOfLeaf(nodeIndex, leafIndex int) uint64 {
	switch n := t.nodes[nodeIndex]; {
	case leafIndex+1 < len(n.firstHashes):
		return n.firstHashes[leafIndex+1]
	case nodeIndex+1 < len(t.firstHashes):
		return t.firstHashes[nodeIndex+1]
	}
	return 0
}

// sliceIndex returns the index of the slice of a leaf that contains hash. The leaf covers
// the hashes from first up to end, exclusive; end is 0 for the last leaf, and end-1 then
// wraps to the last hash. The search starts at the position that hash would have if all
// slices had the same width, and doubles its step from there. It reads fewer cache lines
// than a binary search over the whole leaf, which reads about four; these are not in the
// cache at 1.4 million slices.
func (l *leaf) sliceIndex(hash, first, end uint64) int {
	n := len(l.slices)
	startsAfterHash := func(i int) bool { return l.slices[i].Range.First > hash }
	low, high, step := 0, n, 1
	guess := min(n-1, int(float64(hash-first)/(float64(end-1-first)+1)*float64(n)))
	if startsAfterHash(guess) {
		for high = guess; high > step && startsAfterHash(high-step); step *= 2 {
			high -= step
		}
		low = max(0, high-step)
	} else {
		for low = guess; low+step < n && !startsAfterHash(low+step); step *= 2 {
			low += step
		}
		high = min(n, low+step)
	}
	for high-low > 1 {
		if middle := (low + high) / 2; startsAfterHash(middle) {
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

// replaceSlice returns a table in which replacement takes the place of the slice of the same
// range. Nodes and leaves that carry the token edit are changed in place.
func (t *SliceTable) replaceSlice(edit *editToken, replacement Slice) *SliceTable {
	if t.edit != edit {
		t = &SliceTable{edit: edit, firstHashes: t.firstHashes, nodes: slices.Clone(t.nodes), sliceCount: t.sliceCount}
	}
	nodeIndex := floorIndex(t.firstHashes, replacement.Range.First)
	n := t.nodes[nodeIndex]
	if n.edit != edit {
		n = &node{edit: edit, firstHashes: n.firstHashes, leaves: slices.Clone(n.leaves)}
		t.nodes[nodeIndex] = n
	}
	leafIndex := floorIndex(n.firstHashes, replacement.Range.First)
	l := n.leaves[leafIndex]
	if l.edit != edit {
		l = &leaf{edit: edit, slices: slices.Clone(l.slices)}
		n.leaves[leafIndex] = l
	}
	l.slices[l.sliceIndex(replacement.Range.First, n.firstHashes[leafIndex], t.endOfLeaf(nodeIndex, leafIndex))] = replacement
	return t
}

// replaceSlices returns a table in which replacement takes the place of count consecutive
// slices, of which the first one starts at the hash first. The replacement must not be
// empty and must cover exactly the same hashes.
func (t *SliceTable) replaceSlices(edit *editToken, first uint64, count int, replacement []Slice) *SliceTable {
	firstNode := floorIndex(t.firstHashes, first)
	firstLeaf := floorIndex(t.nodes[firstNode].firstHashes, first)
	firstSlice := t.nodes[firstNode].leaves[firstLeaf].sliceIndex(first, t.nodes[firstNode].firstHashes[firstLeaf], t.endOfLeaf(firstNode, firstLeaf))
	endNode, endLeaf, endSlice := firstNode, firstLeaf, firstSlice+count
	for endSlice > len(t.nodes[endNode].leaves[endLeaf].slices) {
		endSlice -= len(t.nodes[endNode].leaves[endLeaf].slices)
		if endLeaf++; endLeaf == len(t.nodes[endNode].leaves) {
			endNode, endLeaf = endNode+1, 0
		}
	}
	endNodeLeaves := t.nodes[endNode].leaves
	merged := slices.Concat(t.nodes[firstNode].leaves[firstLeaf].slices[:firstSlice], replacement, endNodeLeaves[endLeaf].slices[endSlice:])
	// From here on, endLeaf is the first leaf that stays.
	if endLeaf++; len(merged) < maxLeafSlices/4 && endLeaf < len(endNodeLeaves) {
		// Merges a small leaf with the next one, so that merges of slices do not leave
		// a tree of nearly empty leaves.
		merged = append(merged, endNodeLeaves[endLeaf].slices...)
		endLeaf++
	}
	leaves := slices.Concat(t.nodes[firstNode].leaves[:firstLeaf], newLeaves(edit, merged), endNodeLeaves[endLeaf:])
	nodes := slices.Concat(t.nodes[:firstNode], newNodes(edit, leaves), t.nodes[endNode+1:])
	return newTableFromNodes(edit, nodes, t.sliceCount-count+len(replacement))
}
