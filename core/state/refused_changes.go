package state

import "parsleyrelay.example/core/record"

// maxRefusedChanges is how many refused changes the state remembers. A late copy of a
// refused change could otherwise take effect once its precondition has become true,
// although the operator was told that the change was refused. 16,384 ids take about 1 MB.
const maxRefusedChanges = 16384

// refusedChanges holds the ids of the latest refused changes.
type refusedChanges struct {
	queue []string // oldest first
	ids   map[string]bool
}

func newRefusedChanges() *refusedChanges {
	return &refusedChanges{ids: map[string]bool{}}
}

func (r *refusedChanges) add(id string) {
	if id == "" || r.ids[id] {
		return
	}
	r.queue = append(r.queue, id)
	r.ids[id] = true
	if len(r.queue) > maxRefusedChanges {
		delete(r.ids, r.queue[0])
		r.queue = r.queue[1:]
	}
}

// applyUnlessRefusedBefore applies a change of a resource unless a copy of it was refused
// before.
func (s *State) applyUnlessRefusedBefore(r record.Record, id string, apply func() ApplyResult) ApplyResult {
	id = effectiveChangeID(r, id)
	if s.refusedChanges.ids[id] {
		return refused("change %s was refused before", id)
	}
	out := apply()
	if !out.TookEffect {
		s.refusedChanges.add(id)
	}
	return out
}
