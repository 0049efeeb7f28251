package assignment

import (
	"cmp"
	"slices"
	"time"

	"parsleyrelay.example/core/directory"
)

// placementDelay gives the servers of a service time to register before the first
// placement, so that ranges need not move right after it.
const placementDelay = 1500 * time.Millisecond

// placeNewServices divides the keys of each service without ranges into stripes
// (ranges of equal width) and assigns them to its servers. Adjacent stripes go to
// different servers, because busy keys are often adjacent.
func (l *Leader) placeNewServices(now time.Duration) {
	if now < l.lostGrantsEnd {
		return // a lost map may have placed the service
	}
	for _, service := range sortedKeys(l.servers) {
		if len(l.newestMap().Services[service]) > 0 {
			continue
		}
		assignable := l.assignableServers(service)
		if len(assignable) == 0 {
			continue
		}
		if _, seen := l.firstServerAt[service]; !seen {
			l.firstServerAt[service] = now
		}
		if now-l.firstServerAt[service] < placementDelay {
			continue
		}
		stripes := 1
		for stripes < max(l.options.Stripes, minStripesPerServer*len(assignable)) && stripes < maxRangesPerService {
			stripes *= 2
		}
		width := KeyCount / stripes
		var ranges []Range
		for i := range stripes {
			// Each round over the servers starts placementRotation servers later, so
			// that the stripes of a server have different neighbours in each round.
			round, position := i/len(assignable), i%len(assignable)
			owner := assignable[(position+round*placementRotation)%len(assignable)]
			from := uint16(i * width)
			ranges = append(ranges, Range{From: from, To: from + uint16(width-1), Owner: IncarnationOf(owner)})
			// The first grant needs no GrantPending: no server held these keys before.
			l.trackedRanges = append(l.trackedRanges, &trackedRange{service: service, from: from, to: from + uint16(width-1), nextCallAt: now, owner: IncarnationOf(owner)})
		}
		draft := l.ensureDraft()
		if draft.Services == nil {
			draft.Services = map[string][]Range{}
		}
		draft.Services[service] = ranges
	}
}

// minStripesPerServer keeps the relative difference between servers small if one has
// a stripe more than another.
const minStripesPerServer = 5

// placementRotation is the number of servers by which the order shifts between
// placement rounds.
const placementRotation = 2

// planMoves moves ranges away from servers that are draining, evacuated or gone, and to new
// servers that have less than their share. It reverts moves whose previous holder
// is assignable again.
func (l *Leader) planMoves(now time.Duration) {
	l.countMoves()
	for _, service := range sortedKeys(l.acknowledged.Services) {
		assignable := l.assignableServers(service)
		if len(assignable) == 0 {
			continue
		}
		rangeCounts := l.rangeCounts
		clear(rangeCounts)
		totalSlots := 0
		for _, s := range assignable {
			totalSlots += max(1, s.Slots)
		}
		ranges := l.newestMap().Services[service]
		for i := range ranges {
			rangeCounts[ranges[i].Owner.ID]++
		}
		var evacuated []*trackedRange
		rooms := l.coldRooms(service, assignable)
		for _, t := range l.trackedRanges {
			if t.service != service || t.callOpen || t.unverified != nil {
				continue
			}
			switch {
			case t.stage == stageReleasing:
				if l.mayOwn(service, t.previousHolder) && (t.revertIfHolderReturns || !l.mayOwn(service, t.owner)) {
					l.revertMove(now, t, rangeCounts)
				}
			case l.isEvacuated(service, t.owner):
				evacuated = append(evacuated, t)
			case !l.mayOwn(service, t.owner):
				if l.movesLeft <= 0 {
					continue
				}
				rate := l.requestRateOf(service, t.from, t.to)
				newOwner := serverWithFewestRanges(rooms.withRoom(l.withoutSilent(assignable), rate), rangeCounts)
				rooms.take(newOwner.ID, rate)
				l.startMove(now, t, newOwner, rangeCounts)
				t.revertIfHolderReturns = true
			}
		}
		l.moveEvacuatedRanges(now, service, evacuated, assignable, rangeCounts, rooms)
		l.fillNewServers(now, service, assignable, rangeCounts, totalSlots, rooms)
	}
}

// fillNewServers moves ranges to servers without any, from those furthest above their
// share, until the new servers have their share. A cold one gets the rest of its share when
// it is warm. Load balancing may take ranges away from them later.
func (l *Leader) fillNewServers(now time.Duration, service string, assignable []directory.Server, rangeCounts map[string]int, totalSlots int, rooms coldRooms) {
	total := len(l.newestMap().Services[service])
	share := func(s directory.Server) int { return total * max(1, s.Slots) / totalSlots }
	for _, recipient := range assignable {
		if rangeCounts[recipient.ID] == 0 {
			l.fillingServers[IncarnationOf(recipient).endpoint()] = true
		}
		if !l.fillingServers[IncarnationOf(recipient).endpoint()] {
			continue
		}
		if rangeCounts[recipient.ID] >= share(recipient) {
			delete(l.fillingServers, IncarnationOf(recipient).endpoint())
		}
		for l.movesLeft > 0 && rangeCounts[recipient.ID] < share(recipient) && l.mayReceive(now, recipient) {
			t := l.surplusRange(service, assignable, rangeCounts, share)
			if t == nil {
				break
			}
			rate := l.requestRateOf(service, t.from, t.to)
			if !rooms.fits(recipient.ID, rate) {
				break
			}
			rooms.take(recipient.ID, rate)
			l.startMove(now, t, recipient, rangeCounts)
		}
	}
}

// surplusRange returns a settled range of the server that is furthest above its
// share, or nil if there is none.
func (l *Leader) surplusRange(service string, assignable []directory.Server, rangeCounts map[string]int, share func(directory.Server) int) *trackedRange {
	donorID, largestSurplus := "", 0
	for _, s := range assignable {
		if d := rangeCounts[s.ID] - share(s); d > largestSurplus {
			donorID, largestSurplus = s.ID, d
		}
	}
	if donorID == "" {
		return nil
	}
	for _, t := range l.trackedRanges {
		if t.service == service && t.canMove() && t.owner.ID == donorID {
			return t
		}
	}
	return nil
}

// maxMovingRanges limits the ranges that move at a time. The map of 2,048 ranges of as many
// servers takes 184 KB, and 83 bytes more for each range that moves; a record of the store
// takes 256 KiB, and a leader whose map is larger could write nothing any more.
const maxMovingRanges = 768

// countMoves sets the number of moves that may start now.
func (l *Leader) countMoves() {
	l.movesLeft = maxMovingRanges
	for _, t := range l.trackedRanges {
		if t.stage != stageSettled {
			l.movesLeft--
		}
	}
}

// canMove reports whether only the owner may hold the range and no call is open for it.
func (t *trackedRange) canMove() bool {
	return t.stage == stageSettled && t.unverified == nil && !t.callOpen && t.fenceConfirmed && t.previousHolder.ID == "" && !t.grantPending
}

// startMove makes newOwner the owner of a range, whose present owner is then asked to
// release it. It updates the owners' rangeCounts.
func (l *Leader) startMove(now time.Duration, t *trackedRange, newOwner directory.Server, rangeCounts map[string]int) {
	r := l.ensureDraft().FindRange(t.service, t.from)
	rangeCounts[r.Owner.ID]--
	rangeCounts[newOwner.ID]++
	l.lastMove++
	l.movesLeft--
	r.PreviousHolder, r.Owner, r.GrantPending, r.Move = r.Owner, IncarnationOf(newOwner), false, l.Term()<<fenceCounterBits|l.lastMove
	t.owner, t.previousHolder, t.grantPending = r.Owner, r.PreviousHolder, false
	t.stage, t.revertIfHolderReturns, t.handover, t.nextCallAt, t.moveStartedAt = stageReleasing, false, "", now, now
	l.recordReceived(now, newOwner)
}

// revertMove makes the previous holder the owner again, if it became assignable
// before it had released the range. It updates the owners' rangeCounts.
func (l *Leader) revertMove(now time.Duration, t *trackedRange, rangeCounts map[string]int) {
	r := l.ensureDraft().FindRange(t.service, t.from)
	rangeCounts[r.Owner.ID]--
	rangeCounts[r.PreviousHolder.ID]++
	r.Owner, r.PreviousHolder, r.Move = r.PreviousHolder, ServerIncarnation{}, 0
	t.owner, t.previousHolder = r.Owner, r.PreviousHolder
	t.stage, t.fenceConfirmed, t.nextCallAt = stageSettled, false, now
}

// assignableServers returns the servers of a service that may own ranges, ordered by
// ID. The result is valid until the next call for the service.
func (l *Leader) assignableServers(service string) []directory.Server {
	servers := l.assignable[service][:0]
	for _, s := range l.servers[service] {
		if l.isAssignable(s) {
			servers = append(servers, s)
		}
	}
	slices.SortFunc(servers, func(a, b directory.Server) int { return cmp.Compare(a.ID, b.ID) })
	l.assignable[service] = servers
	return servers
}

func (l *Leader) isAssignable(s directory.Server) bool {
	reuse, reused := l.addressReused[IncarnationOf(s).endpoint()]
	return !s.Draining && !s.Evacuated && (!reused || s.Born > reuse.born) && !l.emptiedServers[IncarnationOf(s)]
}

// mayOwn reports whether any incarnation of a server at its address may own ranges.
func (l *Leader) mayOwn(service string, server ServerIncarnation) bool {
	s, listed := l.servers[service][server.ID]
	return listed && s.Address == server.Address && l.isAssignable(s)
}

// serverWithFewestRanges returns the server with the fewest ranges per slot.
func serverWithFewestRanges(servers []directory.Server, rangeCounts map[string]int) directory.Server {
	return slices.MinFunc(servers, func(a, b directory.Server) int {
		return cmp.Compare(rangeCounts[a.ID]*max(1, b.Slots), rangeCounts[b.ID]*max(1, a.Slots))
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
