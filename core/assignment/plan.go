package assignment

import (
	"cmp"
	"slices"
	"time"

	"parsleyrelay.example/core/directory"
)

// placementDelay lets the servers of a service register before its first
// placement, so that ranges need not move right after it.
const placementDelay = 1500 * time.Millisecond

// place deals the stripes of services that have no ranges yet. Neighbouring
// stripes go to different servers, because busy keys lie side by side.
func (l *Leader) place(now time.Duration) {
	for _, service := range sortedKeys(l.servers) {
		if len(l.newest().Services[service]) > 0 {
			continue
		}
		ready := l.ready(service)
		if len(ready) == 0 {
			continue
		}
		if _, seen := l.since[service]; !seen {
			l.since[service] = now
		}
		if now-l.since[service] < placementDelay {
			continue
		}
		stripes := l.options.Stripes
		for stripes < stripesPerServer*len(ready) && stripes < maxRanges {
			stripes *= 2
		}
		width := KeyCount / stripes
		var ranges []Range
		for i := range stripes {
			// Every round starts one server later, so that stripes which lie a
			// round apart have different neighbours.
			round, place := i/len(ready), i%len(ready)
			owner := ready[(place+round*placementStep)%len(ready)]
			from := uint16(i * width)
			ranges = append(ranges, Range{From: from, To: from + uint16(width-1), Owner: IncarnationOf(owner)})
			l.ranges = append(l.ranges, &tracked{service: service, from: from, to: from + uint16(width-1), next: now, owner: IncarnationOf(owner)})
		}
		d := l.edit()
		if d.Services == nil {
			d.Services = map[string][]Range{}
		}
		d.Services[service] = ranges
	}
}

// stripesPerServer keeps the difference between servers that have one stripe more
// or less small.
const stripesPerServer = 5

// placementStep shifts the order of servers from round to round.
const placementStep = 2

// plan starts moves off servers that leave or are gone, and to servers that
// have less than their share.
func (l *Leader) plan(now time.Duration) {
	for _, service := range sortedKeys(l.acked.Services) {
		ready := l.ready(service)
		if len(ready) == 0 {
			continue
		}
		ranges := l.newest().Services[service]
		counts := map[string]int{}
		slots := 0
		for _, s := range ready {
			slots += max(1, s.Slots)
		}
		for _, r := range ranges {
			counts[r.Owner.ID]++
		}
		usable := map[Incarnation]bool{}
		for _, s := range ready {
			usable[IncarnationOf(s)] = true
		}
		for _, t := range l.ranges {
			if t.service != service || t.calling {
				continue
			}
			r := l.newest().FindRange(service, t.from)
			switch {
			case r == nil:
			case t.stage == releasing:
				if usable[r.PreviousHolder] && (t.forced || !usable[r.Owner]) {
					l.revert(now, t, counts)
				}
			case !usable[r.Owner]:
				l.move(now, t, leastLoaded(ready, counts), counts)
				t.forced = true
			}
		}
		l.fill(now, service, ready, counts, slots)
	}
}

// fill gives servers that hold nothing ranges of the servers that hold the most,
// until they have their share. Balancing by load may take ranges away later.
func (l *Leader) fill(now time.Duration, service string, ready []directory.Server, counts map[string]int, slots int) {
	total := len(l.newest().Services[service])
	share := func(s directory.Server) int { return total * max(1, s.Slots) / slots }
	for _, to := range ready {
		if counts[to.ID] == 0 {
			l.filling[IncarnationOf(to)] = true
		}
		if !l.filling[IncarnationOf(to)] {
			continue
		}
		if counts[to.ID] >= share(to) {
			delete(l.filling, IncarnationOf(to))
		}
		for counts[to.ID] < share(to) {
			t := l.surplus(service, ready, counts, share)
			if t == nil {
				break
			}
			l.move(now, t, to, counts)
		}
	}
}

// surplus returns a settled range of the server that is furthest above its
// share, or nil if no server is.
func (l *Leader) surplus(service string, ready []directory.Server, counts map[string]int, share func(directory.Server) int) *tracked {
	most, over := "", 0
	for _, s := range ready {
		if d := counts[s.ID] - share(s); d > over {
			most, over = s.ID, d
		}
	}
	if most == "" {
		return nil
	}
	for _, t := range l.ranges {
		if t.service != service || t.stage != settled || t.calling || !t.confirmed {
			continue
		}
		if r := l.newest().FindRange(service, t.from); r != nil && r.Owner.ID == most && !r.IsMoving() {
			return t
		}
	}
	return nil
}

func (l *Leader) move(now time.Duration, t *tracked, to directory.Server, counts map[string]int) {
	r := l.edit().FindRange(t.service, t.from)
	counts[r.Owner.ID]--
	counts[to.ID]++
	r.PreviousHolder, r.Owner, r.GrantPending = r.Owner, IncarnationOf(to), false
	t.owner, t.previous, t.pending = r.Owner, r.PreviousHolder, false
	t.stage, t.forced, t.handover, t.next = releasing, false, "", now
}

// revert gives a range back to a holder that returned before it released.
func (l *Leader) revert(now time.Duration, t *tracked, counts map[string]int) {
	r := l.edit().FindRange(t.service, t.from)
	counts[r.Owner.ID]--
	counts[r.PreviousHolder.ID]++
	r.Owner, r.PreviousHolder = r.PreviousHolder, Incarnation{}
	t.owner, t.previous = r.Owner, r.PreviousHolder
	t.stage, t.confirmed, t.next = settled, false, now
}

// ready returns the servers of a service that may get keys, by id.
func (l *Leader) ready(service string) []directory.Server {
	var ready []directory.Server
	for _, s := range l.servers[service] {
		if !s.Draining && !l.gone[IncarnationOf(s)] {
			ready = append(ready, s)
		}
	}
	slices.SortFunc(ready, func(a, b directory.Server) int { return cmp.Compare(a.ID, b.ID) })
	return ready
}

func leastLoaded(ready []directory.Server, counts map[string]int) directory.Server {
	return slices.MinFunc(ready, func(a, b directory.Server) int {
		return cmp.Compare(counts[a.ID]*max(1, b.Slots), counts[b.ID]*max(1, a.Slots))
	})
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
