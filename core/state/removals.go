package state

import (
	"parsleyrelay.example/core/resource"
)

// removalRetentionOffsets is for how many log offsets the state remembers a removed member
// or resource. A late copy of the host_joined or resource_put record that created it would
// otherwise create it again. The offsets last for 35 minutes at 500 appends per second; the
// log does not sustain a higher rate for long.
const removalRetentionOffsets = 1 << 20

// removal describes a member that left or a resource that was deleted.
type removal struct {
	Offset         uint64       `json:"offset"`
	Incarnation    string       `json:"incarnation,omitempty"` // of the member, empty for a resource
	Key            resource.Key `json:"key,omitzero"`          // of the resource, zero for a member
	CreationChange string       `json:"created,omitempty"`     // id of the change that created the resource
}

// recentRemovals holds the removals of the last removalRetentionOffsets offsets.
type recentRemovals struct {
	queue           []removal       // in order of offsets
	incarnations    map[string]bool // of removed members
	creationChanges map[string]bool // ids of the changes that created the deleted resources
}

func newRecentRemovals() *recentRemovals {
	return &recentRemovals{incarnations: map[string]bool{}, creationChanges: map[string]bool{}}
}

func (r *recentRemovals) add(removed removal) {
	r.queue = append(r.queue, removed)
	if removed.Incarnation != "" {
		r.incarnations[removed.Incarnation] = true
	}
	if removed.CreationChange != "" {
		r.creationChanges[removed.CreationChange] = true
	}
}

// expire drops the removals of more than removalRetentionOffsets offsets ago and calls
// onExpire for each.
func (r *recentRemovals) expire(appliedOffset uint64, onExpire func(removal)) {
	for len(r.queue) > 0 && r.queue[0].Offset+removalRetentionOffsets < appliedOffset {
		expired := r.queue[0]
		r.queue = r.queue[1:]
		delete(r.incarnations, expired.Incarnation)
		delete(r.creationChanges, expired.CreationChange)
		onExpire(expired)
	}
}

// forgetDeletedResource drops the change ids and the home of a deleted resource whose
// removal has expired, unless the resource was created again.
func (s *State) forgetDeletedResource(expired removal) {
	if _, exists := s.resources[expired.Key]; exists || expired.Key.Kind == "" {
		return
	}
	delete(s.changes, expired.Key)
	if expired.Key.Kind == resource.KindServer {
		delete(s.homes, expired.Key.Name)
	}
}
