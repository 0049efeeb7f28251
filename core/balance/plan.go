package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"parsleyrelay.example/core/keyspace"
)

// Limits of the planner.
const (
	// TriggerRatio is the ratio of the hottest server to its share that starts moves.
	// 1.22 instead of the bound of 1.25, since the measured ratio can be below the
	// true one: with 1.25, 4 of 120 shifts of the hot keys stayed above 60 s.
	TriggerRatio  = 1.22
	TargetRatio   = 1.15            // ratio that moves bring it down to
	PlanInterval  = 5 * time.Second // between plans
	MaxMovedShare = 0.02            // of the service's load that moves per plan
	// FillRatio is the ratio up to which a server is filled although no server is above
	// TriggerRatio. Without it a server that joins five or more others stays empty,
	// since they are at most 1.2 times their new share.
	FillRatio    = 0.6
	MoveCooldown = 30 * time.Second // in which a slice does not move again
	// MaxSplitsPerPlan and MaxMoves bound the records that one plan causes.
	MaxSplitsPerPlan = 16
	MaxMovesPerPlan  = 64
)

// Slice is a slice with its load.
type Slice struct {
	Range      keyspace.Range
	Server     string
	BusySlots  float64       // busy slots
	MovedAt    time.Duration // time of the last move
	NeverMoved bool          // never moved
}

// Server is a backend server of the service.
type Server struct {
	Name     string
	Zone     string
	Weight   int
	Draining bool // gives all slices away, gets none
	// SlowStartFactor below 1 limits what a joining server receives; 0 counts as 1.
	SlowStartFactor float64
}

// Move gives a slice to another server.
type Move struct {
	Range    keyspace.Range
	From, To string
}

// Split cuts a slice so that the hash Key is alone.
type Split struct {
	Range       keyspace.Range
	Server      string
	SplitHashes []uint64
}

// PlanInput is what a plan is made from. Load and shares are of one service.
type PlanInput struct {
	Now     time.Duration
	Slices  []Slice
	HotKeys []HotKey
	Servers []Server
}

// Plan is what to do until the next plan.
type Plan struct {
	Moves     []Move
	Splits    []Split
	Imbalance float64 // highest ratio of a server's load to its share, before the moves
}

type load struct {
	Server
	fair   float64 // load that is the server's share
	sum    float64
	slices []Slice
}

func (l *load) ratio() float64 {
	if l.fair == 0 {
		return math.Inf(1)
	}
	return l.sum / l.fair
}

// MakePlan returns the plan for one service. It moves nothing while the imbalance is
// under TriggerRatio, no server is leaving and none is below FillRatio.
func MakePlan(in PlanInput) Plan {
	loads, total := sumLoads(in)
	var plan Plan
	if total == 0 {
		return plan
	}
	leaving := false
	for _, l := range loads {
		if l.Draining {
			leaving = leaving || len(l.slices) > 0
		} else if l.Weight > 0 {
			plan.Imbalance = max(plan.Imbalance, l.ratio())
		}
	}
	hot := plan.Imbalance > TriggerRatio || leaving
	budget := MaxMovedShare * total
	for len(plan.Moves) < MaxMovesPerPlan {
		var move Move
		var cost float64
		ok := false
		if hot {
			move, cost, ok = next(in.Now, loads, budget)
			if !ok {
				move, cost, ok = makeRoom(in.Now, loads, budget)
			}
		}
		if !ok {
			move, cost, ok = fill(in.Now, loads, budget)
		}
		if !ok {
			break
		}
		budget -= cost
		plan.Moves = append(plan.Moves, move)
	}
	if hot {
		plan.Splits = isolate(in.HotKeys, loads, plan.Moves)
	}
	return plan
}

func sumLoads(in PlanInput) ([]*load, float64) {
	loads := make([]*load, len(in.Servers))
	byName := make(map[string]*load, len(in.Servers))
	weight, total := 0, 0.0
	for i, s := range in.Servers {
		loads[i] = &load{Server: s}
		byName[s.Name] = loads[i]
		if !s.Draining {
			weight += max(s.Weight, 0)
		}
	}
	for _, x := range in.Slices {
		if l := byName[x.Server]; l != nil {
			l.sum += x.BusySlots
			l.slices = append(l.slices, x)
			total += x.BusySlots
		}
	}
	for _, l := range loads {
		if !l.Draining && weight > 0 {
			l.fair = total * float64(max(l.Weight, 0)) / float64(weight)
		}
	}
	return loads, total
}

// next chooses one move from the server that is most above its share, a leaving
// one first, and applies it to loads.
func next(now time.Duration, loads []*load, budget float64) (Move, float64, bool) {
	sources := slices.Clone(loads)
	slices.SortStableFunc(sources, func(a, b *load) int { return cmp.Compare(b.ratio(), a.ratio()) })
	for _, from := range sources {
		need := from.sum - TargetRatio*from.fair
		if len(from.slices) == 0 || need <= 0 && !from.Draining {
			continue
		}
		for _, to := range receivers(from, loads) {
			share := cmp.Or(to.SlowStartFactor, 1)
			room := TargetRatio*share*to.fair - to.sum
			if i := choose(now, from, need, min(room, budget)); i >= 0 {
				x := from.slices[i]
				from.slices = slices.Delete(from.slices, i, i+1)
				from.sum -= x.BusySlots
				to.sum += x.BusySlots
				return Move{Range: x.Range, From: from.Name, To: to.Name}, x.BusySlots, true
			}
		}
	}
	return Move{}, 0, false
}

// makeRoom moves a slice off the server of the lowest ratio, so that a later plan
// can give it one that fits nowhere now, such as the second of two hot keys that
// share a server. It does so only while a server is above TriggerRatio.
func makeRoom(now time.Duration, loads []*load, budget float64) (Move, float64, bool) {
	var hot *load
	for _, l := range loads {
		if !l.Draining && l.ratio() > TriggerRatio && (hot == nil || l.ratio() > hot.ratio()) {
			hot = l
		}
	}
	if hot == nil {
		return Move{}, 0, false
	}
	list := receivers(hot, loads)
	if len(list) < 2 {
		return Move{}, 0, false
	}
	// The slice that is to leave hot: the lightest that brings it under TargetRatio, or
	// the heaviest.
	i := choose(now, hot, hot.sum-TargetRatio*hot.fair, math.Inf(1))
	if i < 0 {
		return Move{}, 0, false
	}
	cold := list[0]
	need := hot.slices[i].BusySlots - (TargetRatio*cold.fair - cold.sum)
	for _, to := range list[1:] {
		room := TargetRatio*to.fair - to.sum
		if k := choose(now, cold, need, min(room, budget)); k >= 0 {
			x := cold.slices[k]
			cold.slices = slices.Delete(cold.slices, k, k+1)
			cold.sum -= x.BusySlots
			to.sum += x.BusySlots
			return Move{Range: x.Range, From: cold.Name, To: to.Name}, x.BusySlots, true
		}
	}
	return Move{}, 0, false
}

// fill moves a slice to the server with the lowest ratio while that is below
// FillRatio, from the server most above its share, one of the same zone first.
func fill(now time.Duration, loads []*load, budget float64) (Move, float64, bool) {
	var to *load
	for _, l := range loads {
		low := !l.Draining && l.Weight > 0 && l.sum < FillRatio*cmp.Or(l.SlowStartFactor, 1)*l.fair
		if low && (to == nil || l.ratio() < to.ratio()) {
			to = l
		}
	}
	if to == nil {
		return Move{}, 0, false
	}
	room := FillRatio*cmp.Or(to.SlowStartFactor, 1)*to.fair - to.sum
	for _, from := range partners(to, loads, -1) {
		need := from.sum - from.fair
		if need <= 0 {
			continue
		}
		if i := choose(now, from, need, min(room, budget)); i >= 0 {
			x := from.slices[i]
			from.slices = slices.Delete(from.slices, i, i+1)
			from.sum -= x.BusySlots
			to.sum += x.BusySlots
			return Move{Range: x.Range, From: from.Name, To: to.Name}, x.BusySlots, true
		}
	}
	return Move{}, 0, false
}

// receivers returns the servers that may take slices of from: those of its zone
// first, in each group the one with the lowest ratio first.
func receivers(from *load, loads []*load) []*load { return partners(from, loads, 1) }

// partners returns the other servers that stay, those of the same zone first, in
// each group by ratio in ascending order, or descending with order -1.
func partners(from *load, loads []*load, order int) []*load {
	var list []*load
	for _, l := range loads {
		if l != from && !l.Draining && l.Weight > 0 {
			list = append(list, l)
		}
	}
	slices.SortStableFunc(list, func(a, b *load) int {
		if local := a.Zone == from.Zone; local != (b.Zone == from.Zone) {
			if local {
				return -1
			}
			return 1
		}
		return order * cmp.Compare(a.ratio(), b.ratio())
	})
	return list
}

// choose returns the index of the slice with the least load that covers need, or
// else the one with the most load; only slices of at most limit that have rested.
func choose(now time.Duration, from *load, need, limit float64) int {
	best := -1
	for i, x := range from.slices {
		if x.BusySlots > limit || !from.Draining && x.BusySlots == 0 || !x.NeverMoved && now-x.MovedAt < MoveCooldown {
			continue
		}
		if best < 0 || better(x.BusySlots, from.slices[best].BusySlots, need) {
			best = i
		}
	}
	return best
}

func better(load, than, need float64) bool {
	if (load >= need) != (than >= need) {
		return load >= need
	}
	if load >= need {
		return load < than
	}
	return load > than
}

// isolate splits slices of servers above TargetRatio around hot keys that make up at
// least a quarter of their slice.
func isolate(keys []HotKey, loads []*load, moves []Move) []Split {
	var splits []Split
	for _, l := range loads {
		if l.Draining || l.ratio() <= TargetRatio {
			continue
		}
		for _, x := range l.slices {
			i := slices.IndexFunc(keys, func(k HotKey) bool {
				return x.Range.Contains(k.Hash) && k.BusySlots-k.MaxError >= x.BusySlots/4
			})
			if i < 0 || x.Range.First == x.Range.Last || len(splits) == MaxSplitsPerPlan {
				continue
			}
			splits = append(splits, Split{Range: x.Range, Server: l.Name, SplitHashes: cuts(x.Range, keys[i].Hash)})
		}
	}
	return splits
}

func cuts(r keyspace.Range, hash uint64) []uint64 {
	var list []uint64
	if hash > r.First {
		list = append(list, hash)
	}
	if hash < r.Last {
		list = append(list, hash+1)
	}
	return list
}
