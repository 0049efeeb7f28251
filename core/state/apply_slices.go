package state

import (
	"math"
	"slices"

	"parsleyrelay.example/core/keyspace"
	"parsleyrelay.example/core/record"
)

func (s *State) placeSlices(offset uint64, b record.SlicesPlaced) ApplyResult {
	if s.tables[b.Service].Len() > 0 {
		return refused("Service/%s has slices already", b.Service)
	}
	if _, ok := s.Service(b.Service); !ok {
		return refused("Service/%s does not exist", b.Service)
	}
	list := make([]Slice, len(b.Slices))
	next := uint64(0)
	for i, p := range b.Slices {
		if p.Range.First != next || !p.Range.Valid() || i > 0 && next == 0 {
			return refused("slice %s is invalid, or leaves a gap or overlap after the previous slice", p.Range)
		}
		if !s.isServerOf(p.Server, b.Service) {
			return refused("Server/%s is not a server of Service/%s", p.Server, b.Service)
		}
		list[i] = Slice{Range: p.Range, Generation: offset, Owner: s.interned.owner(p.Server), Origin: s.interned.origin(Origin{})}
		next = p.Range.Last + 1
	}
	if len(list) == 0 || list[len(list)-1].Range.Last != math.MaxUint64 {
		return refused("slices do not cover the key space of Service/%s", b.Service)
	}
	s.tables[b.Service] = NewSliceTable(list)
	for i := range list {
		s.addOwnedSlice(list[i].Server, list[i].Range.First)
	}
	return ApplyResult{TookEffect: true}
}

func (s *State) isServerOf(server, service string) bool {
	spec, ok := s.Server(server)
	return ok && spec.Service == service
}

// moveSlices applies the moves whose preconditions hold. The record takes effect if at
// least one of them does.
func (s *State) moveSlices(offset uint64, b record.SlicesMoved) ApplyResult {
	moved := 0
	for _, m := range b.Moves {
		if s.moveSlice(offset, b, m) {
			moved++
		}
	}
	if moved == 0 {
		return refused("no move of the record can be applied: owner, generation or term differs, the release is not confirmed, or the target is not a server of the service")
	}
	return ApplyResult{TookEffect: true}
}

func (s *State) moveSlice(offset uint64, b record.SlicesMoved, m record.SliceMove) bool {
	table := s.tables[b.Service]
	current := findExactSlice(table, m.Range, m.Generation)
	// A generation that is not below offset is that of an earlier move of this record: only
	// the first move of a slice in a record counts.
	if current == nil || current.Server != m.From || s.homes[m.From].Term != m.FromTerm || current.Generation >= offset {
		return false
	}
	if from, ok := s.Server(m.From); ok && from.RequireReleaseConfirmation && !from.Gone && !b.Released && m.From != m.To {
		return false
	}
	if !s.isServerOf(m.To, b.Service) {
		return false
	}
	scope, _ := s.WitnessScopeOfServer(m.From)
	zone := ""
	if from, ok := s.Server(m.From); ok {
		zone = from.Zone
	}
	s.tables[b.Service] = table.replaceSlice(s.currentEditToken(), Slice{
		Range: m.Range, Generation: offset, Owner: s.interned.owner(m.To),
		Origin: s.interned.origin(Origin{Former: m.From, FormerScope: scope, FormerZone: zone, Released: b.Released}),
	})
	if m.From != m.To {
		s.removeOwnedSlice(m.From, m.Range.First)
		s.addOwnedSlice(m.To, m.Range.First)
	}
	return true
}

// findExactSlice returns the slice of exactly this range and generation, or nil.
func findExactSlice(t *SliceTable, r keyspace.Range, generation uint64) *Slice {
	current := t.Lookup(r.First)
	if current == nil || current.Range != r || current.Generation != generation {
		return nil
	}
	return current
}

func (s *State) splitSlice(b record.SliceSplit) ApplyResult {
	table := s.tables[b.Service]
	current := findExactSlice(table, b.Range, b.Generation)
	if current == nil {
		return refused("there is no slice %s of Service/%s with generation %d", b.Range, b.Service, b.Generation)
	}
	if !slices.IsSorted(b.SplitPoints) || len(b.SplitPoints) == 0 || b.SplitPoints[0] <= b.Range.First || b.SplitPoints[len(b.SplitPoints)-1] > b.Range.Last {
		return refused("split points are missing, not in ascending order or outside slice %s", b.Range)
	}
	pieces := make([]Slice, 0, len(b.SplitPoints)+1)
	first := b.Range.First
	for _, splitPoint := range slices.Compact(slices.Clone(b.SplitPoints)) {
		piece := *current
		piece.Range = keyspace.Range{First: first, Last: splitPoint - 1}
		pieces = append(pieces, piece)
		first = splitPoint
	}
	last := *current
	last.Range = keyspace.Range{First: first, Last: b.Range.Last}
	pieces = append(pieces, last)
	s.tables[b.Service] = table.replaceSlices(s.currentEditToken(), b.Range.First, 1, pieces)
	for i := range pieces {
		s.addOwnedSlice(current.Server, pieces[i].Range.First)
	}
	return ApplyResult{TookEffect: true}
}

func (s *State) mergeSlices(b record.SliceMerged) ApplyResult {
	table := s.tables[b.Service]
	first := table.Lookup(b.Range.First)
	if first == nil || first.Range.First != b.Range.First || !b.Range.Valid() {
		return refused("no slice of Service/%s starts at %016x", b.Service, b.Range.First)
	}
	merged := *first
	count := 0
	var mergedStarts []uint64
	for next := b.Range.First; ; {
		slice := table.Lookup(next)
		if slice.Server != first.Server || slice.Generation != b.Generation || slice.Origin != first.Origin {
			return refused("slices in %s do not have the same owner, generation and origin", b.Range)
		}
		if count++; count > 1 {
			mergedStarts = append(mergedStarts, slice.Range.First)
		}
		if slice.Range.Last >= b.Range.Last {
			merged.Range.Last = slice.Range.Last
			break
		}
		next = slice.Range.Last + 1
	}
	if merged.Range != b.Range || count < 2 {
		return refused("%s does not consist of two or more whole slices", b.Range)
	}
	s.tables[b.Service] = table.replaceSlices(s.currentEditToken(), b.Range.First, count, []Slice{merged})
	for _, start := range mergedStarts {
		s.removeOwnedSlice(first.Server, start)
	}
	return ApplyResult{TookEffect: true}
}
