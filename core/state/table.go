package state

import (
	"slices"
	"sort"

	"parsleyrelay.example/core/keyspace"
)

// Slice is a range of a service's key space with its owner.
type Slice struct {
	Range      keyspace.Range
	Server     string // owning server
	Generation uint64 // offset of the record that gave the slice to Server; its fence

	// The following describe the change that made the generation. Former is
	// empty after the first placement.
	Former      string
	FormerScope string // witness scope that guarded the former owner
	FormerZone  string
	Released    bool // the former owner confirmed the release before the record
}

// chunkSize bounds the slices that a change of one slice copies. 256 keeps both
// the copied chunk and the index of 1.4 million slices small.
const chunkSize = 256

// Table holds the slices of one service in hash order, without gaps. It is
// immutable; changes return a new table that shares the unchanged chunks.
type Table struct {
	firsts []uint64 // first hash of each chunk
	chunks [][]Slice
	count  int
}

// NewTable builds a table from slices in hash order.
func NewTable(sorted []Slice) *Table {
	t := &Table{count: len(sorted)}
	for chunk := range slices.Chunk(sorted, chunkSize) {
		t.firsts = append(t.firsts, chunk[0].Range.First)
		t.chunks = append(t.chunks, slices.Clone(chunk))
	}
	return t
}

// Len returns the number of slices.
func (t *Table) Len() int {
	if t == nil {
		return 0
	}
	return t.count
}

// Lookup returns the slice that contains hash. The pointer must not be written
// through. It is nil only for a table without slices.
func (t *Table) Lookup(hash uint64) *Slice {
	if t == nil || t.count == 0 {
		return nil
	}
	c, i := t.position(hash)
	return &t.chunks[c][i]
}

func (t *Table) position(hash uint64) (chunk, index int) {
	c := sort.Search(len(t.firsts), func(i int) bool { return t.firsts[i] > hash }) - 1
	slicesOfChunk := t.chunks[c]
	i := sort.Search(len(slicesOfChunk), func(i int) bool { return slicesOfChunk[i].Range.First > hash }) - 1
	return c, i
}

// All calls yield for each slice in hash order until it returns false.
func (t *Table) All(yield func(*Slice) bool) {
	if t == nil {
		return
	}
	for _, chunk := range t.chunks {
		for i := range chunk {
			if !yield(&chunk[i]) {
				return
			}
		}
	}
}

// with returns a table in which the count slices from the one that starts at
// first are replaced. The replacement must cover exactly the same hashes.
func (t *Table) with(first uint64, count int, replacement []Slice) *Table {
	c, i := t.position(first)
	next := &Table{count: t.count - count + len(replacement)}
	merged := slices.Clone(t.chunks[c][:i])
	merged = append(merged, replacement...)
	rest := i + count
	end := c
	for rest > len(t.chunks[end]) {
		rest -= len(t.chunks[end])
		end++
	}
	merged = append(merged, t.chunks[end][rest:]...)
	if end == c && len(merged) <= 2*chunkSize && len(merged) > 0 {
		next.firsts = t.firsts
		next.chunks = slices.Clone(t.chunks)
		next.chunks[c] = merged
		return next
	}
	pieces := splitChunk(merged)
	next.chunks = slices.Concat(t.chunks[:c], pieces, t.chunks[end+1:])
	next.firsts = make([]uint64, len(next.chunks))
	for k, chunk := range next.chunks {
		next.firsts[k] = chunk[0].Range.First
	}
	return next
}

func splitChunk(merged []Slice) [][]Slice {
	var pieces [][]Slice
	for piece := range slices.Chunk(merged, chunkSize) {
		pieces = append(pieces, slices.Clip(piece))
	}
	return pieces
}
