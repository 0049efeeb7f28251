package assignment

import (
	"cmp"
	"math"
	"slices"
	"time"

	"parsleyrelay.example/core/directory"
)

// Constants of load balancing.
const (
	// minOpenMoveLimit limits the open moves of a service, whose ranges are not served
	// meanwhile. The limit of a service with more servers is its number of servers.
	minOpenMoveLimit = 64
	// maxRangesPerService limits the ranges of a service, because the grant of each is
	// renewed by its own call.
	maxRangesPerService = 2048
	// minSampleWeight is the lowest weight of a new sample in a server's mean service
	// time; the first samples weigh more.
	minSampleWeight = 0.05
	// minRelativeSpeed and maxRelativeSpeed limit the speed of a server relative to the
	// others, so that a few samples cause few moves.
	minRelativeSpeed = 0.5
	maxRelativeSpeed = 1.7
	// minServiceTimeSamples is the number of samples from which a mean service time is
	// used.
	minServiceTimeSamples = 8
)

// balancePolicy sets how balancing averages the load and when it moves ranges. There
// are two: the short-term policy reacts to bursts of busy keys within a second, and
// the long-term policy corrects lasting differences from a mean over many arrivals.
type balancePolicy struct {
	interval           time.Duration
	decayFactor        float32 // applied to the counts in each interval
	tolerance          float64 // excess load that a server may have, relative to its target
	significance       float64 // standard deviations up to which an excess counts as random
	minMoveLimit       int     // moves per balancing of a service: at least minMoveLimit,
	moveLimitPerServer float64 // or moveLimitPerServer times the number of servers if that is more
}

var (
	shortTermPolicy = balancePolicy{interval: 300 * time.Millisecond, decayFactor: 0.72, tolerance: 0.25, significance: 3, minMoveLimit: 32, moveLimitPerServer: 0.5}
	longTermPolicy  = balancePolicy{interval: 900 * time.Millisecond, decayFactor: 0.92, tolerance: 0.2, significance: 2.2, minMoveLimit: 4, moveLimitPerServer: 0.17}
)

// keyLoad holds the exponentially decaying number of arrivals of each key of a
// service.
type keyLoad struct {
	counts     [KeyCount]float32
	total      float32
	prefixSums [KeyCount + 1]float32 // sum of the counts of the keys below an index; valid until the next arrival or decay
}

func (load *keyLoad) decay(factor float32) {
	load.total = 0
	for i := range load.counts {
		if load.counts[i] == 0 {
			continue
		}
		load.counts[i] *= factor
		if load.counts[i] < minArrivalCount {
			load.counts[i] = 0
		}
		load.total += load.counts[i]
	}
}

// minArrivalCount is the decayed count below which a key's count is set to 0.
const minArrivalCount = 0.02

func (load *keyLoad) computePrefixSums() {
	sum := float32(0)
	for i, c := range load.counts {
		load.prefixSums[i] = sum
		sum += c
	}
	load.prefixSums[KeyCount] = sum
}

// ofRange returns the load of the keys from from to to, both inclusive.
func (load *keyLoad) ofRange(from, to uint16) float64 {
	return float64(load.prefixSums[int(to)+1] - load.prefixSums[from])
}

// splitPoint returns the last key of the lower part of a range, chosen so that the
// load of that part is closest to loadToMove. It returns false if no part has about
// that load, for instance because a single key has most of it.
func (load *keyLoad) splitPoint(from, to uint16, loadToMove float64) (uint16, bool) {
	bestKey, bestLoad := from, 0.0
	for k := int(from); k < int(to); k++ {
		if v := load.ofRange(from, uint16(k)); math.Abs(v-loadToMove) < math.Abs(bestLoad-loadToMove) {
			bestKey, bestLoad = uint16(k), v
		}
	}
	return bestKey, bestLoad >= minMoveRatio*loadToMove && bestLoad <= maxMoveRatio*loadToMove
}

// The load of a split-off part may be from minMoveRatio to maxMoveRatio times the load
// to move. A range is moved whole if its load is at most maxMoveRatio times that.
const (
	minMoveRatio = 0.25
	maxMoveRatio = 1.5
)

// keyLoads is the load of a service's keys, averaged for each balancePolicy.
type keyLoads struct {
	shortTerm, longTerm                       keyLoad
	nextShortTermBalance, nextLongTermBalance time.Duration // earliest time of the next balancing
}

// meanServiceTime is the moving average of a server's service time.
type meanServiceTime struct {
	samples int
	seconds float64 // seconds
	// slowdown is the mean of the reported slowdowns of the server's machine.
	slowdown, slowdownSamples float64
}

// RecordArrivals counts one request for each element of keys.
func (l *Leader) RecordArrivals(service string, keys []uint16) {
	load := l.keyLoadsByService[service]
	if load == nil {
		load = &keyLoads{}
		l.keyLoadsByService[service] = load
	}
	for _, k := range keys {
		load.shortTerm.counts[k]++
		load.longTerm.counts[k]++
	}
}

// RecordServiceTimes adds count responses with a total service time of sum to a
// server's mean. The server must have had no queue.
func (l *Leader) RecordServiceTimes(server string, count int, sum time.Duration) {
	if count <= 0 {
		return
	}
	s := l.meanServiceTimes[server]
	if s == nil {
		s = &meanServiceTime{}
		l.meanServiceTimes[server] = s
	}
	mean := sum.Seconds() / float64(count)
	leastWeight := minSampleWeight
	if s.slowdownSamples > 0 {
		leastWeight = steadySampleWeight
	}
	// A report counts as at most minServiceTimeSamples samples.
	for range min(count, minServiceTimeSamples) {
		s.samples++
		s.seconds += max(leastWeight, 1/float64(s.samples)) * (mean - s.seconds)
	}
}

// balanceLoad moves busy ranges, or parts of them, away from servers that get more
// requests than their share of the capacity allows.
func (l *Leader) balanceLoad(now time.Duration) {
	for _, service := range sortedKeys(l.keyLoadsByService) {
		load := l.keyLoadsByService[service]
		l.balanceIfDue(now, service, &load.shortTerm, &load.nextShortTermBalance, shortTermPolicy)
		l.balanceIfDue(now, service, &load.longTerm, &load.nextLongTermBalance, longTermPolicy)
	}
}

// balanceIfDue balances a service by one policy, at most once per interval.
func (l *Leader) balanceIfDue(now time.Duration, service string, load *keyLoad, nextBalance *time.Duration, policy balancePolicy) {
	if now < *nextBalance {
		return
	}
	*nextBalance = now + policy.interval
	load.decay(policy.decayFactor)
	assignable := l.assignableServers(service)
	if len(l.newestMap().Services[service]) == 0 {
		return
	}
	load.computePrefixSums()
	if len(assignable) >= 2 {
		l.moveExcessLoad(now, service, load, assignable, policy)
	}
	if policy == shortTermPolicy {
		loads, _ := l.serverLoads(service, load, assignable)
		l.limitOverload(service, loads)
	}
}

// serverLoad is the actual load of a server and its target by capacity.
type serverLoad struct {
	server directory.Server
	actual float64
	target float64
	// room is the load that may be moved to it; +Inf if it is not cold. See coldservers.go.
	room float64
}

// excess returns the load above the target; it is negative below it.
func (l *serverLoad) excess() float64 { return l.actual - l.target }

// moveExcessLoad repeatedly moves a range from the server that is most above its
// target to the one that is most below, until the differences are tolerable or a
// limit is reached.
func (l *Leader) moveExcessLoad(now time.Duration, service string, load *keyLoad, assignable []directory.Server, policy balancePolicy) {
	loads, openMoves := l.serverLoads(service, load, assignable)
	l.applyColdLimits(service, loads, assignable, policy)
	l.countMoves()
	for range max(policy.minMoveLimit, int(policy.moveLimitPerServer*float64(len(assignable)))) {
		if openMoves >= max(minOpenMoveLimit, len(assignable)) || l.movesLeft <= 0 {
			return
		}
		mostLoaded := slices.MaxFunc(loads, func(a, b *serverLoad) int { return cmp.Compare(a.actual/a.target, b.actual/b.target) })
		leastLoaded := leastLoadedWithRoom(l.receivers(now, loads))
		if leastLoaded == nil {
			return
		}
		if mostLoaded.excess() < max(policy.tolerance*mostLoaded.target, policy.significance*math.Sqrt(mostLoaded.target)) {
			return
		}
		loadToMove := min(mostLoaded.excess(), -leastLoaded.excess(), leastLoaded.room/maxMoveRatio)
		t := l.rangeToMove(service, load, IncarnationOf(mostLoaded.server), loadToMove)
		if t == nil {
			return
		}
		moved := load.ofRange(t.from, t.to)
		// Only planMoves uses range counts, so the updated ones are discarded.
		l.startMove(now, t, leastLoaded.server, map[string]int{})
		mostLoaded.actual -= moved
		leastLoaded.actual += moved
		leastLoaded.room -= moved
		openMoves++
	}
}

// serverLoads returns the load of each server, which includes ranges that are moving
// to it, and the number of open moves.
func (l *Leader) serverLoads(service string, load *keyLoad, assignable []directory.Server) (loads []*serverLoad, openMoves int) {
	loadByID := map[string]*serverLoad{}
	capacity := l.capacities(assignable)
	totalCapacity := 0.0
	for _, c := range capacity {
		totalCapacity += c
	}
	for i, s := range assignable {
		entry := &serverLoad{server: s, target: max(minTargetLoad, float64(load.total)*capacity[i]/totalCapacity), room: math.Inf(1)}
		loadByID[s.ID] = entry
		loads = append(loads, entry)
	}
	for _, r := range l.newestMap().Services[service] {
		if entry := loadByID[r.Owner.ID]; entry != nil {
			entry.actual += load.ofRange(r.From, r.To)
		}
		if r.IsMoving() {
			openMoves++
		}
	}
	return loads, openMoves
}

// minTargetLoad keeps the ratio of actual to target load finite while there are no
// requests.
const minTargetLoad = 0.01

// capacities returns the slots of each server, weighted by its speed relative to the
// mean.
func (l *Leader) capacities(servers []directory.Server) []float64 {
	sum, known := 0.0, 0
	for _, s := range servers {
		if v := l.meanServiceTimes[s.ID]; v != nil && v.samples >= minServiceTimeSamples {
			sum += v.seconds
			known++
		}
	}
	list := make([]float64, len(servers))
	for i, s := range servers {
		list[i] = float64(max(1, s.Slots))
		if v := l.meanServiceTimes[s.ID]; v != nil && v.samples >= minServiceTimeSamples && v.seconds > 0 {
			list[i] *= min(max(sum/float64(known)/v.seconds, minRelativeSpeed), maxRelativeSpeed)
		}
	}
	return list
}

// rangeToMove returns a range of a server with about loadToMove; a busier range is
// split. It returns nil if there is no suitable range.
func (l *Leader) rangeToMove(service string, load *keyLoad, owner ServerIncarnation, loadToMove float64) *trackedRange {
	var candidates []*trackedRange
	for _, t := range l.trackedRanges {
		if t.service == service && t.canMove() && t.owner.endpoint() == owner.endpoint() && load.ofRange(t.from, t.to) > 0 {
			candidates = append(candidates, t)
		}
	}
	// The busiest ranges come first, because a burst affects only one or two.
	slices.SortFunc(candidates, func(a, b *trackedRange) int {
		return cmp.Compare(load.ofRange(b.from, b.to), load.ofRange(a.from, a.to))
	})
	for _, t := range candidates {
		if load.ofRange(t.from, t.to) <= maxMoveRatio*loadToMove {
			return t
		}
		lastKey, ok := load.splitPoint(t.from, t.to, loadToMove)
		if ok && len(l.newestMap().Services[service]) < maxRangesPerService {
			return l.splitRange(t, lastKey)
		}
	}
	return nil
}

// splitRange splits a range after lastKey and returns the lower part. The holder
// keeps both parts until one moves.
func (l *Leader) splitRange(t *trackedRange, lastKey uint16) *trackedRange {
	draft := l.ensureDraft()
	ranges := draft.Services[t.service]
	i := slices.IndexFunc(ranges, func(r Range) bool { return r.From == t.from })
	upper := ranges[i]
	ranges[i].To, upper.From = lastKey, lastKey+1
	draft.Services[t.service] = slices.Insert(ranges, i+1, upper)
	upperTracked := *t
	upperTracked.from = lastKey + 1
	t.to = lastKey
	l.trackedRanges = append(l.trackedRanges, &upperTracked)
	return t
}
