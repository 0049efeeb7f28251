package state

import "parsleyrelay.example/core/record"

// refusalMemory is how many refused changes the state remembers. A copy of a
// change that was refused could otherwise take effect later, when its
// precondition has become true, after an operator was told that it was refused.
// 16,384 ids take about 1 MB.
const refusalMemory = 16384

// refusals remembers the ids of the latest refused changes.
type refusals struct {
	queue []string // oldest first
	ids   map[string]bool
}

func newRefusals() *refusals {
	return &refusals{ids: map[string]bool{}}
}

func (r *refusals) add(id string) {
	if id == "" || r.ids[id] {
		return
	}
	r.queue = append(r.queue, id)
	r.ids[id] = true
	if len(r.queue) > refusalMemory {
		delete(r.ids, r.queue[0])
		r.queue = r.queue[1:]
	}
}

// changeOnce folds a change of a resource unless a copy of it was refused before.
func (s *State) changeOnce(r record.Record, id string, fold func() ApplyResult) ApplyResult {
	id = changeID(r, id)
	if s.refusals.ids[id] {
		return refused("change %s was refused before", id)
	}
	out := fold()
	if !out.Applied {
		s.refusals.add(id)
	}
	return out
}
