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
			return refused("slice %s leaves a gap or overlaps", p.Range)
		}
		if !s.serves(p.Server, b.Service) {
			return refused("Server/%s is not a server of Service/%s", p.Server, b.Service)
		}
		list[i] = Slice{Range: p.Range, Generation: offset, Owner: s.intern.owner(p.Server), Origin: s.intern.origin(Origin{})}
		next = p.Range.Last + 1
	}
	if len(list) == 0 || list[len(list)-1].Range.Last != math.MaxUint64 {
		return refused("slices do not cover the key space of Service/%s", b.Service)
	}
	s.tables[b.Service] = NewSliceTable(list)
	for i := range list {
		s.own(list[i].Server, list[i].Range.First)
	}
	return ApplyResult{Applied: true}
}

func (s *State) serves(server, service string) bool {
	spec, ok := s.Server(server)
	return ok && spec.Service == service
}

// moveSlices applies the entries whose precondition holds. The record counts as
// applied when at least one of them does.
func (s *State) moveSlices(offset uint64, b record.SlicesMoved) ApplyResult {
	moved := 0
	for _, m := range b.Moves {
		if s.moveSlice(offset, b, m) {
			moved++
		}
	}
	if moved == 0 {
		return refused("no entry of the move matches the current owners, generations and terms")
	}
	return ApplyResult{Applied: true}
}

func (s *State) moveSlice(offset uint64, b record.SlicesMoved, m record.SliceMove) bool {
	table := s.tables[b.Service]
	current := exactSlice(table, m.Range, m.Generation)
	if current == nil || current.Server != m.From || s.homes[m.From].Term != m.FromTerm || current.Generation >= offset {
		return false
	}
	if from, ok := s.Server(m.From); ok && from.RequireReleaseConfirmation && !from.Gone && !b.Released && m.From != m.To {
		return false
	}
	if !s.serves(m.To, b.Service) {
		return false
	}
	scope, _ := s.WitnessScopeOfServer(m.From)
	zone := ""
	if from, ok := s.Server(m.From); ok {
		zone = from.Zone
	}
	s.tables[b.Service] = table.set(s.editing(), Slice{
		Range: m.Range, Generation: offset, Owner: s.intern.owner(m.To),
		Origin: s.intern.origin(Origin{Former: m.From, FormerScope: scope, FormerZone: zone, Released: b.Released}),
	})
	if m.From != m.To {
		s.disown(m.From, m.Range.First)
		s.own(m.To, m.Range.First)
	}
	return true
}

func exactSlice(t *SliceTable, r keyspace.Range, generation uint64) *Slice {
	current := t.Lookup(r.First)
	if current == nil || current.Range != r || current.Generation != generation {
		return nil
	}
	return current
}

func (s *State) splitSlice(b record.SliceSplit) ApplyResult {
	table := s.tables[b.Service]
	current := exactSlice(table, b.Range, b.Generation)
	if current == nil {
		return refused("slice %s of Service/%s does not have generation %d", b.Range, b.Service, b.Generation)
	}
	if !slices.IsSorted(b.SplitPoints) || len(b.SplitPoints) == 0 || b.SplitPoints[0] <= b.Range.First || b.SplitPoints[len(b.SplitPoints)-1] > b.Range.Last {
		return refused("cut points do not lie in order inside slice %s", b.Range)
	}
	pieces := make([]Slice, 0, len(b.SplitPoints)+1)
	first := b.Range.First
	for _, cut := range slices.Compact(slices.Clone(b.SplitPoints)) {
		piece := *current
		piece.Range = keyspace.Range{First: first, Last: cut - 1}
		pieces = append(pieces, piece)
		first = cut
	}
	last := *current
	last.Range = keyspace.Range{First: first, Last: b.Range.Last}
	pieces = append(pieces, last)
	s.tables[b.Service] = table.replace(s.editing(), b.Range.First, 1, pieces)
	for i := range pieces {
		s.own(current.Server, pieces[i].Range.First)
	}
	return ApplyResult{Applied: true}
}

func (s *State) mergeSlices(b record.SliceMerged) ApplyResult {
	table := s.tables[b.Service]
	first := table.Lookup(b.Range.First)
	if first == nil || first.Range.First != b.Range.First || !b.Range.Valid() {
		return refused("no slice of Service/%s starts at %016x", b.Service, b.Range.First)
	}
	merged := *first
	count := 0
	var joined []uint64
	for next := b.Range.First; ; {
		part := table.Lookup(next)
		if part.Server != first.Server || part.Generation != b.Generation || part.Origin != first.Origin {
			return refused("slices of %s do not share owner and generation", b.Range)
		}
		if count++; count > 1 {
			joined = append(joined, part.Range.First)
		}
		if part.Range.Last >= b.Range.Last {
			merged.Range.Last = part.Range.Last
			break
		}
		next = part.Range.Last + 1
	}
	if merged.Range != b.Range || count < 2 {
		return refused("%s is not a run of two or more whole slices", b.Range)
	}
	s.tables[b.Service] = table.replace(s.editing(), b.Range.First, count, []Slice{merged})
	for _, hash := range joined {
		s.disown(first.Server, hash)
	}
	return ApplyResult{Applied: true}
}
