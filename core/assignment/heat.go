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
	// BalanceEvery is short against spells of busy keys, which last a few seconds.
	BalanceEvery = 300 * time.Millisecond
	// heatDecay per BalanceEvery makes arrivals count for about a second.
	heatDecay = 0.72
	// tolerance is the load above the mean that a server may have.
	tolerance = 0.25
	// significance is the distance from the mean, in standard deviations of the
	// count, below which a difference is taken for chance.
	significance = 3.0
	// maxMovesPerBalance and maxOpenMoves bound the keys that are unserved at a time.
	maxMovesPerBalance = 32
	maxOpenMoves       = 64
	// maxRanges bounds the ranges of a service, each of which is renewed by a call.
	maxRanges = 2048
)

// heat counts the arrivals of each key of a service, with decay.
type heat struct {
	counts [Keys]float32
	total  float32
	sums   [Keys + 1]float32 // of the keys below an index; valid within balance
}

func (h *heat) decay() {
	h.total = 0
	for i := range h.counts {
		if h.counts[i] == 0 {
			continue
		}
		h.counts[i] *= heatDecay
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
	h.sums[Keys] = sum
}

func (h *heat) of(from, to uint16) float64 { return float64(h.sums[int(to)+1] - h.sums[from]) }

// splitPoint returns the last key of the first part of a range, so that the
// part's heat comes closest to want. It returns false if the range has one key.
func (h *heat) splitPoint(from, to uint16, want float64) (uint16, bool) {
	if from == to {
		return 0, false
	}
	best, distance := from, math.Inf(1)
	for k := int(from); k < int(to); k++ {
		if d := math.Abs(h.of(from, uint16(k)) - want); d < distance {
			best, distance = uint16(k), d
		}
	}
	return best, true
}

// Arrived notes requests for keys of a service.
func (l *Leader) Arrived(service string, keys []uint16) {
	h := l.heats[service]
	if h == nil {
		h = &heat{}
		l.heats[service] = h
	}
	for _, k := range keys {
		h.counts[k]++
	}
}

// balance moves busy ranges, or parts of them, off servers whose keys get far
// more requests than the mean.
func (l *Leader) balance(now time.Duration) {
	if now < l.balanceAt {
		return
	}
	l.balanceAt = now + BalanceEvery
	for _, service := range sortedKeys(l.heats) {
		h := l.heats[service]
		h.decay()
		ready := readyServers(l.servers[service])
		if len(ready) < 2 || len(l.newest().Services[service]) == 0 {
			continue
		}
		h.accumulate()
		l.balanceService(now, service, h, ready)
	}
}

// load is a server's heat per slot.
type load struct {
	server directory.Server
	heat   float64
}

func (l load) perSlot() float64 { return l.heat / float64(max(1, l.server.Slots)) }

func (l *Leader) balanceService(now time.Duration, service string, h *heat, ready []directory.Server) {
	loads, slots, open := l.loads(service, h, ready)
	mean := float64(h.total) / float64(slots)
	for range maxMovesPerBalance {
		if open >= maxOpenMoves {
			return
		}
		most := slices.MaxFunc(loads, func(a, b *load) int { return cmp.Compare(a.perSlot(), b.perSlot()) })
		least := slices.MinFunc(loads, func(a, b *load) int { return cmp.Compare(a.perSlot(), b.perSlot()) })
		expected := mean * float64(max(1, most.server.Slots))
		if most.heat-expected < max(tolerance*expected, significance*math.Sqrt(expected)) {
			return
		}
		want := min(most.heat-expected, mean*float64(max(1, least.server.Slots))-least.heat)
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

// loads returns the heat of the ranges that each ready server has or gets, the
// slots of all, and the number of open moves.
func (l *Leader) loads(service string, h *heat, ready []directory.Server) (loads []*load, slots, open int) {
	byID := map[string]*load{}
	for _, s := range ready {
		entry := &load{server: s}
		byID[s.ID] = entry
		loads = append(loads, entry)
		slots += max(1, s.Slots)
	}
	for _, r := range l.newest().Services[service] {
		if entry := byID[r.Owner.ID]; entry != nil {
			entry.heat += h.of(r.From, r.To)
		}
		if r.Moving() {
			open++
		}
	}
	return loads, slots, open
}

// piece returns a range of a server whose heat is close to want; it splits one
// that is much hotter. It returns nil if there is none worth moving.
func (l *Leader) piece(service string, h *heat, owner Incarnation, want float64) *tracked {
	var best *tracked
	hottest := 0.0
	for _, t := range l.ranges {
		if t.service != service || t.stage != settled || t.calling || !t.confirmed {
			continue
		}
		r := l.newest().Find(service, t.from)
		if r == nil || r.Moving() || r.Owner != owner {
			continue
		}
		// Hot ranges come first: a spell of busy keys lies in one or two of them.
		if heat := h.of(t.from, t.to); heat > hottest && (t.from != t.to || heat <= 2*want) {
			best, hottest = t, heat
		}
	}
	if best == nil || hottest < 1 {
		return nil
	}
	if hottest <= 1.5*want {
		return best
	}
	if len(l.newest().Services[service]) >= maxRanges {
		return nil
	}
	at, ok := h.splitPoint(best.from, best.to, want)
	if !ok {
		return nil
	}
	return l.split(best, at)
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
