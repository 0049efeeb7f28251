package follow

import (
	"slices"

	"parsleyrelay.example/api/followv1"
)

// evacuations is what a Source sends of the evacuated zones. Each response has all of
// them, since a request does not say what its sender knows. sentTo names the followers to
// which they were sent since the last change of the zones, so that the others get them
// at once. If such a response is lost, the follower gets the zones at the end of its next
// long poll.
type evacuations struct {
	message *followv1.Evacuations // nil if nothing is known
	sentTo  map[string]bool       // by incarnation
}

// maxSentTo limits evacuations.sentTo. Without the names followers get a response at once.
const maxSentTo = 4096

// SetEvacuations sets the evacuated zones, in order, which reflect the store's log of the
// operator's records before an offset. Zones that reflect less of it than the last ones
// are ignored.
func (s *Source) SetEvacuations(zones []string, offset uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	former := s.evacuations.message
	if offset <= former.GetOffset() {
		return
	}
	s.evacuations.message = &followv1.Evacuations{Zones: zones, Offset: offset}
	if !slices.Equal(former.GetZones(), zones) {
		s.evacuations.sentTo = nil
		s.wakeFollowersLocked()
	}
}

// next returns the evacuations for a response to a follower, and whether the zones have
// changed since the last one.
func (e *evacuations) next(follower string) (message *followv1.Evacuations, changed bool) {
	if e.message == nil || e.sentTo[follower] {
		return e.message, false
	}
	if e.sentTo == nil || len(e.sentTo) >= maxSentTo {
		e.sentTo = map[string]bool{}
	}
	e.sentTo[follower] = true
	return e.message, true
}
