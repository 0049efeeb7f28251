package state

import (
	"parsleyrelay.example/core/resource"
)

// departureMemory is how many offsets the state remembers what has left it. A
// copy of a host_joined or of the resource_put that created a resource would
// otherwise bring back what has left since. At 500 appends per second, more than
// the log sustains for long, this is 35 minutes.
const departureMemory = 1 << 20

// departure is a member or a resource that has left the state.
type departure struct {
	Offset      uint64       `json:"offset"`
	Incarnation string       `json:"incarnation,omitempty"` // of the member
	Key         resource.Key `json:"key,omitzero"`          // of the resource
	Created     string       `json:"created,omitempty"`     // change that created the resource
}

// departures remembers what has left during the last departureMemory offsets.
type departures struct {
	queue   []departure // in order of offsets
	members map[string]bool
	changes map[string]bool
}

func newDepartures() *departures {
	return &departures{members: map[string]bool{}, changes: map[string]bool{}}
}

func (d *departures) add(x departure) {
	d.queue = append(d.queue, x)
	if x.Incarnation != "" {
		d.members[x.Incarnation] = true
	}
	if x.Created != "" {
		d.changes[x.Created] = true
	}
}

// expire forgets what left more than departureMemory offsets ago and calls
// forget for it.
func (d *departures) expire(applied uint64, forget func(departure)) {
	for len(d.queue) > 0 && d.queue[0].Offset+departureMemory < applied {
		x := d.queue[0]
		d.queue = d.queue[1:]
		delete(d.members, x.Incarnation)
		delete(d.changes, x.Created)
		forget(x)
	}
}

// forget drops what was kept for a resource that left, unless it is back.
func (s *State) forget(x departure) {
	if _, exists := s.resources[x.Key]; exists || x.Key.Kind == "" {
		return
	}
	delete(s.changes, x.Key)
	if x.Key.Kind == resource.KindServer {
		delete(s.homes, x.Key.Name)
	}
}
