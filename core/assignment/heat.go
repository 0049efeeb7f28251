package assignment

import (
	"cmp"
	"math"
	"slices"
	"time"

	"parsleyrelay.example/core/directory"
)

// Constants of the balancing of busy keys.
const (
	// minOpenMoves bounds the keys that are unserved at a time; a service with more
	// servers may have as many open moves as it has servers.
	minOpenMoves = 64
	// maxRanges bounds the ranges of a service, each of which is renewed by a call.
	maxRanges = 2048
	// timeWeight is the weight of a report in a server's mean service time.
	timeWeight = 0.05
	// minSpeed and maxSpeed bound the speed of a server relative to the others, so
	// that few samples move little.
	minSpeed = 0.5
	maxSpeed = 1.7
	// minTimes is the number of responses after which a service time is used.
	minTimes = 8
)

// pace is one of the two views of the load. Short spells of busy keys need an
// answer within a second, lasting differences a mean over many arrivals.
type pace struct {
	every        time.Duration
	decay        float32 // per every
	tolerance    float64 // load above a server's part that it may have
	significance float64 // standard deviations below which a difference is chance
	moves        int     // at a time, or
	perServer    float64 // of each server if that is more
}

var (
	spellPace = pace{every: 300 * time.Millisecond, decay: 0.72, tolerance: 0.25, significance: 3, moves: 32, perServer: 0.5}
	trendPace = pace{every: 900 * time.Millisecond, decay: 0.92, tolerance: 0.2, significance: 2.2, moves: 4, perServer: 0.17}
)

// heat counts the arrivals of each key of a service, with decay.
type heat struct {
	counts [KeyCount]float32
	total  float32
	sums   [KeyCount + 1]float32 // of the keys below an index; valid within balance
}

func (h *heat) decay(factor float32) {
	h.total = 0
	for i := range h.counts {
		if h.counts[i] == 0 {
			continue
		}
		h.counts[i] *= factor
		if h.counts[i] < minHeat {
			h.counts[i] = 0
		}
		h.total += h.counts[i]
	}
}

// minHeat is the count below which a key counts as cold.
const minHeat = 0.02

func (h *heat) accumulate() {
	sum := float32(0)
	for i, c := range h.counts {
		h.sums[i] = sum
		sum += c
	}
	h.sums[KeyCount] = sum
}

func (h *heat) of(from, to uint16) float64 { return float64(h.sums[int(to)+1] - h.sums[from]) }

// splitPoint returns the last key of the first part of a range, so that the
// part's heat comes closest to want. It returns false if no part has about that
// heat, as in a range with a single busy key.
func (h *heat) splitPoint(from, to uint16, want float64) (uint16, bool) {
	best, part := from, 0.0
	for k := int(from); k < int(to); k++ {
		if v := h.of(from, uint16(k)); math.Abs(v-want) < math.Abs(part-want) {
			best, part = uint16(k), v
		}
	}
	return best, part >= minPartOfWant*want && part <= maxPartOfWant*want
}

// A moved part may have from minPartOfWant to maxPartOfWant times the heat that
// is to be moved.
const (
	minPartOfWant = 0.25
	maxPartOfWant = 1.5
)

// heats are the two views of a service's load.
type heats struct {
	spell, trend     heat
	spellAt, trendAt time.Duration // earliest next balancing
}

// speed is the service time of a server.
type speed struct {
	count int
	mean  float64 // seconds
}

// RecordArrivals notes requests for keys of a service.
func (l *Leader) RecordArrivals(service string, keys []uint16) {
	h := l.heats[service]
	if h == nil {
		h = &heats{}
		l.heats[service] = h
	}
	for _, k := range keys {
		h.spell.counts[k]++
		h.trend.counts[k]++
	}
}

// RecordServiceTimes notes the service time of responses of a server that had no queue.
func (l *Leader) RecordServiceTimes(server string, count int, sum time.Duration) {
	if count <= 0 {
		return
	}
	s := l.speeds[server]
	if s == nil {
		s = &speed{}
		l.speeds[server] = s
	}
	mean := sum.Seconds() / float64(count)
	for range min(count, minTimes) {
		s.count++
		s.mean += max(timeWeight, 1/float64(s.count)) * (mean - s.mean)
	}
}

// balance moves busy ranges, or parts of them, off servers whose keys get far
// more requests than they can serve as well as the others.
func (l *Leader) balance(now time.Duration) {
	for _, service := range sortedKeys(l.heats) {
		h := l.heats[service]
		l.balanceAt(now, service, &h.spell, &h.spellAt, spellPace)
		l.balanceAt(now, service, &h.trend, &h.trendAt, trendPace)
	}
}

func (l *Leader) balanceAt(now time.Duration, service string, h *heat, next *time.Duration, p pace) {
	if now < *next {
		return
	}
	*next = now + p.every
	h.decay(p.decay)
	ready := l.ready(service)
	if len(ready) < 2 || len(l.newest().Services[service]) == 0 {
		return
	}
	h.accumulate()
	l.balanceService(now, service, h, ready, p)
}

// load is a server's heat and the heat that it should have.
type load struct {
	server directory.Server
	heat   float64
	part   float64
}

// excess is the heat above the server's part.
func (l *load) excess() float64 { return l.heat - l.part }

func (l *Leader) balanceService(now time.Duration, service string, h *heat, ready []directory.Server, p pace) {
	loads, open := l.loads(service, h, ready)
	for range max(p.moves, int(p.perServer*float64(len(ready)))) {
		if open >= max(minOpenMoves, len(ready)) {
			return
		}
		most := slices.MaxFunc(loads, func(a, b *load) int { return cmp.Compare(a.heat/a.part, b.heat/b.part) })
		least := slices.MinFunc(loads, func(a, b *load) int { return cmp.Compare(a.heat/a.part, b.heat/b.part) })
		if most.excess() < max(p.tolerance*most.part, p.significance*math.Sqrt(most.part)) {
			return
		}
		want := min(most.excess(), -least.excess())
		t := l.piece(service, h, IncarnationOf(most.server), want)
		if t == nil {
			return
		}
		moved := h.of(t.from, t.to)
		l.move(now, t, least.server, map[string]int{})
		most.heat -= moved
		least.heat += moved
		open++
	}
}

// loads returns the heat of the ranges that each ready server has or gets, and
// the number of open moves.
func (l *Leader) loads(service string, h *heat, ready []directory.Server) (loads []*load, open int) {
	byID := map[string]*load{}
	capacity := l.capacities(ready)
	all := 0.0
	for _, c := range capacity {
		all += c
	}
	for i, s := range ready {
		entry := &load{server: s, part: max(minPart, float64(h.total)*capacity[i]/all)}
		byID[s.ID] = entry
		loads = append(loads, entry)
	}
	for _, r := range l.newest().Services[service] {
		if entry := byID[r.Owner.ID]; entry != nil {
			entry.heat += h.of(r.From, r.To)
		}
		if r.IsMoving() {
			open++
		}
	}
	return loads, open
}

// minPart keeps ratios finite while there is no load.
const minPart = 0.01

// capacities are the slots of the servers, weighted by their speed.
func (l *Leader) capacities(ready []directory.Server) []float64 {
	sum, known := 0.0, 0
	for _, s := range ready {
		if v := l.speeds[s.ID]; v != nil && v.count >= minTimes {
			sum += v.mean
			known++
		}
	}
	list := make([]float64, len(ready))
	for i, s := range ready {
		list[i] = float64(max(1, s.Slots))
		if v := l.speeds[s.ID]; v != nil && v.count >= minTimes && v.mean > 0 {
			list[i] *= min(max(sum/float64(known)/v.mean, minSpeed), maxSpeed)
		}
	}
	return list
}

// piece returns a range of a server whose heat is close to want; it splits one
// that is much hotter. It returns nil if there is none worth moving.
func (l *Leader) piece(service string, h *heat, owner Incarnation, want float64) *tracked {
	var candidates []*tracked
	for _, t := range l.ranges {
		if t.service != service || t.stage != settled || t.calling || !t.confirmed {
			continue
		}
		r := l.newest().FindRange(service, t.from)
		if r != nil && !r.IsMoving() && r.Owner == owner && h.of(t.from, t.to) > 0 {
			candidates = append(candidates, t)
		}
	}
	// Hot ranges come first: a spell of busy keys lies in one or two of them.
	slices.SortFunc(candidates, func(a, b *tracked) int { return cmp.Compare(h.of(b.from, b.to), h.of(a.from, a.to)) })
	for _, t := range candidates {
		if h.of(t.from, t.to) <= maxPartOfWant*want {
			return t
		}
		at, ok := h.splitPoint(t.from, t.to, want)
		if ok && len(l.newest().Services[service]) < maxRanges {
			return l.split(t, at)
		}
	}
	return nil
}

// split divides a range after a key and returns the part up to the key. The
// holder keeps both parts until one moves.
func (l *Leader) split(t *tracked, at uint16) *tracked {
	d := l.edit()
	ranges := d.Services[t.service]
	i := slices.IndexFunc(ranges, func(r Range) bool { return r.From == t.from })
	rest := ranges[i]
	ranges[i].To, rest.From = at, at+1
	d.Services[t.service] = slices.Insert(ranges, i+1, rest)
	second := *t
	second.from = at + 1
	t.to = at
	l.ranges = append(l.ranges, &second)
	return t
}
