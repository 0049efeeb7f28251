package assignment

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleyrelay.example/core/directory"
)

// This file moves keys away from the servers of evacuated zones, and limits how fast they
// come back when the evacuation ends. Hosts send such servers nothing, so their keys are
// not served until they have moved.

const (
	// evacuationMovesPerTick limits the moves from evacuated servers of a service that
	// start in one tick, so that the calls for the busiest ranges are made first. The 512
	// ranges of a quarter of the largest service start within 0.4 s.
	evacuationMovesPerTick = 64
	// idleRangeWeight is the weight of a range without requests, relative to the mean
	// weight. It keeps such ranges from all going to the server with the least load.
	idleRangeWeight = 0.1
	// refillTime is the least time in which a server gets its share of the ranges back
	// after an evacuation. Its connections and caches are then often cold, and the servers
	// of the zone return together.
	refillTime = 6 * time.Second
	// coldRefillShare is the part of its share that a server gets back while it is cold.
	coldRefillShare = 0.5
)

// isEvacuated reports whether a server at its address is in an evacuated zone and does not
// leave.
func (l *Leader) isEvacuated(service string, server ServerIncarnation) bool {
	s, listed := l.servers[service][server.ID]
	return listed && s.Address == server.Address && s.Evacuated && !s.Draining
}

// EvacuatedRanges returns the number of ranges by service that evacuated servers own or
// may hold; 0 for a service whose last such range has moved since the call before. The map
// must not be changed.
func (l *Leader) EvacuatedRanges() map[string]int { return l.evacuatedRanges }

// updateEvacuatedRanges counts the ranges that evacuated servers own or may hold.
func (l *Leader) updateEvacuatedRanges() {
	counts := map[string]int{}
	for service, n := range l.evacuatedRanges {
		if n > 0 {
			counts[service] = 0
		}
	}
	for _, t := range l.trackedRanges {
		if l.isEvacuated(t.service, t.owner) || l.isEvacuated(t.service, t.previousHolder) {
			counts[t.service]++
		}
	}
	l.evacuatedRanges = counts
}

// moveEvacuatedRanges starts moves of ranges of evacuated servers, the busiest first, each
// to the server with the least load relative to its capacity. The server returns, so it
// keeps a range that it has not released when the evacuation ends. If all others are cold,
// those with room get the ranges.
func (l *Leader) moveEvacuatedRanges(now time.Duration, service string, ranges []*trackedRange, assignable []directory.Server, rangeCounts map[string]int, rooms coldRooms) {
	if len(ranges) == 0 {
		return
	}
	weight := l.rangeWeights(service)
	slices.SortStableFunc(ranges, func(a, b *trackedRange) int { return cmp.Compare(weight(b.from, b.to), weight(a.from, a.to)) })
	recipients := warmServers(l.withoutSilent(assignable))
	capacity := map[string]float64{}
	for i, c := range l.capacities(recipients) {
		capacity[recipients[i].ID] = c
	}
	loads := map[string]float64{}
	for _, r := range l.newestMap().Services[service] {
		loads[r.Owner.ID] += weight(r.From, r.To)
	}
	for _, t := range ranges[:min(len(ranges), evacuationMovesPerTick, max(0, l.movesLeft))] {
		added, rate := weight(t.from, t.to), l.requestRateOf(service, t.from, t.to)
		var best directory.Server
		leastLoad := 0.0
		for i, s := range rooms.withRoom(recipients, rate) {
			if load := (loads[s.ID] + added) / capacity[s.ID]; i == 0 || load < leastLoad {
				best, leastLoad = s, load
			}
		}
		loads[best.ID] += added
		rooms.take(best.ID, rate)
		l.startMove(now, t, best, rangeCounts)
		t.revertIfHolderReturns = true
	}
}

// rangeWeights returns a function for the weights of a service's ranges: their long-term
// load, and the same for all ranges if no requests are known.
func (l *Leader) rangeWeights(service string) func(from, to uint16) float64 {
	loads := l.keyLoadsByService[service]
	if loads == nil {
		return func(uint16, uint16) float64 { return 1 }
	}
	load := &loads.longTerm
	load.computePrefixSums()
	idle := idleRangeWeight * load.ofRange(0, KeyCount-1) / float64(max(1, len(l.newestMap().Services[service])))
	if idle == 0 {
		idle = 1
	}
	return func(from, to uint16) float64 { return idle + load.ofRange(from, to) }
}

// warmServers returns the servers that are not cold, or all if there are none.
func warmServers(servers []directory.Server) []directory.Server {
	var warm []directory.Server
	for _, s := range servers {
		if !s.Cold {
			warm = append(warm, s)
		}
	}
	if len(warm) == 0 {
		return servers
	}
	return warm
}

// mayReceive reports whether a server may get a further range now: not while it is silent.
// Otherwise only servers whose evacuation ended lately have to wait between ranges, such that they get their share in
// refillTime at least. While they are cold they get a part of it.
func (l *Leader) mayReceive(now time.Duration, s directory.Server) bool {
	if l.IsSilent(s.ID) {
		return false
	}
	if !isReturning(now, s) {
		return true
	}
	ranges := l.newestMap().Services[s.Service]
	share := max(1, len(ranges)/max(1, len(l.servers[s.Service])))
	if s.Cold {
		owned := 0
		for _, r := range ranges {
			if r.Owner.ID == s.ID {
				owned++
			}
		}
		if float64(owned+1) > coldRefillShare*float64(share) {
			return false
		}
	}
	interval := refillTime / time.Duration(share)
	received, known := l.lastReceived[IncarnationOf(s).endpoint()]
	if !known || received < s.EvacuationEndedAt {
		// The servers of a zone return together, but get their first ranges one by one.
		received = s.EvacuationEndedAt - interval + time.Duration(xxhash.Sum64String(s.ID)%uint64(interval))
	}
	return now-received >= interval
}

// recordReceived records that a range has begun to move to a server.
func (l *Leader) recordReceived(now time.Duration, s directory.Server) {
	if isReturning(now, s) {
		l.lastReceived[IncarnationOf(s).endpoint()] = now
	}
}

// isReturning reports whether the evacuation of the server's zone ended lately.
func isReturning(now time.Duration, s directory.Server) bool {
	return s.EvacuationEndedAt > 0 && now-s.EvacuationEndedAt < directory.ReturnTime
}

// receivers returns the loads of the servers that may get a range now.
func (l *Leader) receivers(now time.Duration, loads []*serverLoad) []*serverLoad {
	return slices.DeleteFunc(slices.Clone(loads), func(s *serverLoad) bool { return !l.mayReceive(now, s.server) })
}
