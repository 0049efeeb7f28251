package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"parsleyrelay.example/core/keyspace"
)

// Limits of the planner. The load ratio of a server is its load divided by its fair load,
// which is its share, by weight, of the load of the service.
const (
	// TriggerRatio is the load ratio above which slices are moved off a server. The goal is
	// a ratio of at most 1.25 within 60 s after the hot keys of a service change. The
	// trigger is lower, since the measured ratio can be below the true one: with 1.25,
	// 4 of 120 changes of the hot keys took longer than 60 s.
	TriggerRatio = 1.22
	// TargetRatio is the load ratio that moves bring an overloaded server down to and up to
	// which they fill others. Slices of servers above it are split.
	TargetRatio  = 1.15
	PlanInterval = 5 * time.Second // time between two plans
	// MaxMovedShare is the greatest share of the service's load that one plan moves. A slice
	// with a larger load never moves; other slices of its server move instead.
	MaxMovedShare = 0.02
	// FillRatio is the load ratio up to which a server receives slices even if no server is
	// above TriggerRatio. Without it, a server that joins five or more others stays empty:
	// if n equally loaded servers become n+1, their load is (n+1)/n of the new fair load,
	// which for n >= 5 is at most 1.2 and thus below TriggerRatio.
	FillRatio    = 0.6
	MoveCooldown = 30 * time.Second // time after a move in which a slice doesn't move again
	// MaxSplitsPerPlan and MaxMovesPerPlan limit the log records that one plan causes.
	MaxSplitsPerPlan = 16
	MaxMovesPerPlan  = 64
)

// Slice is a range of key hashes with its owner and load.
type Slice struct {
	Range      keyspace.Range
	Server     string // owner
	BusySlots  float64
	MovedAt    time.Duration // time of the last move, unless NeverMoved
	NeverMoved bool
}

// Server is a backend server of the service.
type Server struct {
	Name     string
	Zone     string
	Weight   int
	Draining bool // gives slices away at any load ratio and receives none
	// SlowStartFactor below 1 reduces the load up to which a joining server receives
	// slices; 0 counts as 1.
	SlowStartFactor float64
}

// Move changes the owner of a slice.
type Move struct {
	Range    keyspace.Range
	From, To string
}

// Split divides a slice so that a hot key gets a slice of its own.
type Split struct {
	Range       keyspace.Range
	Server      string
	SplitHashes []uint64 // first hashes of the new slices, except the lowest, ascending
}

// PlanInput is the measured load of one service and the servers to distribute it to.
type PlanInput struct {
	Now     time.Duration
	Slices  []Slice
	HotKeys []HotKey
	Servers []Server
}

// Plan is the set of changes to make until the next plan.
type Plan struct {
	Moves     []Move
	Splits    []Split
	Imbalance float64 // highest load ratio before the moves, of servers with a weight that don't drain
}

// serverLoad is a server with its load after the moves planned so far.
type serverLoad struct {
	Server
	fairLoad  float64 // share by weight of the total load
	busySlots float64
	slices    []Slice
}

// ratio returns the load ratio. It is infinite for servers without a fair load, such as
// draining servers and those without a weight, even if they have no load.
func (l *serverLoad) ratio() float64 {
	if l.fairLoad == 0 {
		return math.Inf(1)
	}
	return l.busySlots / l.fairLoad
}

// MakePlan returns the plan for one service. It plans moves if a server is above
// TriggerRatio or below FillRatio or if a draining server owns slices, and splits in the
// first and the last case. The plan is empty if the service has no load, even if a server
// drains.
func MakePlan(in PlanInput) Plan {
	loads, total := sumServerLoads(in)
	var plan Plan
	if total == 0 {
		return plan
	}
	drainingServerOwnsSlices := false
	for _, l := range loads {
		if l.Draining {
			drainingServerOwnsSlices = drainingServerOwnsSlices || len(l.slices) > 0
		} else if l.Weight > 0 {
			plan.Imbalance = max(plan.Imbalance, l.ratio())
		}
	}
	needsRelief := plan.Imbalance > TriggerRatio || drainingServerOwnsSlices
	loadBudget := MaxMovedShare * total
	for len(plan.Moves) < MaxMovesPerPlan {
		var move Move
		var movedLoad float64
		ok := false
		if needsRelief {
			move, movedLoad, ok = moveFromOverloaded(in.Now, loads, loadBudget)
			if !ok {
				move, movedLoad, ok = moveToMakeRoom(in.Now, loads, loadBudget)
			}
		}
		if !ok {
			move, movedLoad, ok = moveToUnderloaded(in.Now, loads, loadBudget)
		}
		if !ok {
			break
		}
		loadBudget -= movedLoad
		plan.Moves = append(plan.Moves, move)
	}
	if needsRelief {
		plan.Splits = splitAroundHotKeys(in.HotKeys, loads, plan.Moves)
	}
	return plan
}

// sumServerLoads returns the load of each server and of the whole service.
func sumServerLoads(in PlanInput) ([]*serverLoad, float64) {
	loads := make([]*serverLoad, len(in.Servers))
	byName := make(map[string]*serverLoad, len(in.Servers))
	totalWeight, total := 0, 0.0
	for i, s := range in.Servers {
		loads[i] = &serverLoad{Server: s}
		byName[s.Name] = loads[i]
		if !s.Draining {
			totalWeight += max(s.Weight, 0)
		}
	}
	for _, slice := range in.Slices {
		if l := byName[slice.Server]; l != nil {
			l.busySlots += slice.BusySlots
			l.slices = append(l.slices, slice)
			total += slice.BusySlots
		}
	}
	for _, l := range loads {
		if !l.Draining && totalWeight > 0 {
			l.fairLoad = total * float64(max(l.Weight, 0)) / float64(totalWeight)
		}
	}
	return loads, total
}

// moveFromOverloaded plans one move off the server with the highest load ratio, draining
// servers first, and applies it to loads. It returns the move, the load moved, and whether
// a move of a load of at most budget was found.
func moveFromOverloaded(now time.Duration, loads []*serverLoad, budget float64) (Move, float64, bool) {
	sources := slices.Clone(loads)
	slices.SortStableFunc(sources, func(a, b *serverLoad) int { return cmp.Compare(b.ratio(), a.ratio()) })
	for _, from := range sources {
		excess := from.busySlots - TargetRatio*from.fairLoad
		if len(from.slices) == 0 || excess <= 0 && !from.Draining {
			continue
		}
		for _, to := range receiversFor(from, loads) {
			factor := cmp.Or(to.SlowStartFactor, 1)
			room := TargetRatio*factor*to.fairLoad - to.busySlots
			if i := chooseSlice(now, from, excess, min(room, budget)); i >= 0 {
				slice := from.slices[i]
				from.slices = slices.Delete(from.slices, i, i+1)
				from.busySlots -= slice.BusySlots
				to.busySlots += slice.BusySlots
				return Move{Range: slice.Range, From: from.Name, To: to.Name}, slice.BusySlots, true
			}
		}
	}
	return Move{}, 0, false
}

// moveToMakeRoom frees room on the server with the lowest load ratio. If a slice should leave
// the hottest server but fits on no other server, such as the second of two hot keys on one
// server, it plans a move of a slice off the coldest server, so that a later plan can move
// the first slice there. It does so only while a server is above TriggerRatio. Unlike in the
// other moves, SlowStartFactor doesn't reduce the room. It applies the move to loads and
// returns the same results as moveFromOverloaded.
func moveToMakeRoom(now time.Duration, loads []*serverLoad, budget float64) (Move, float64, bool) {
	var hottest *serverLoad
	for _, l := range loads {
		if !l.Draining && l.busySlots > 0 && l.ratio() > TriggerRatio && (hottest == nil || l.ratio() > hottest.ratio()) {
			hottest = l
		}
	}
	if hottest == nil {
		return Move{}, 0, false
	}
	targets := receiversFor(hottest, loads)
	if len(targets) < 2 {
		return Move{}, 0, false
	}
	// The slice to move off the hottest server later: the one with the least load that
	// brings the server down to TargetRatio, or else the one with the most load.
	blockedIndex := chooseSlice(now, hottest, hottest.busySlots-TargetRatio*hottest.fairLoad, math.Inf(1))
	if blockedIndex < 0 {
		return Move{}, 0, false
	}
	coldest := targets[0]
	missingRoom := hottest.slices[blockedIndex].BusySlots - (TargetRatio*coldest.fairLoad - coldest.busySlots)
	for _, to := range targets[1:] {
		room := TargetRatio*to.fairLoad - to.busySlots
		if k := chooseSlice(now, coldest, missingRoom, min(room, budget)); k >= 0 {
			slice := coldest.slices[k]
			coldest.slices = slices.Delete(coldest.slices, k, k+1)
			coldest.busySlots -= slice.BusySlots
			to.busySlots += slice.BusySlots
			return Move{Range: slice.Range, From: coldest.Name, To: to.Name}, slice.BusySlots, true
		}
	}
	return Move{}, 0, false
}

// moveToUnderloaded plans a move of a slice to the server with the lowest load ratio if it
// is below FillRatio, and applies the move to loads. Sources are the servers above their
// fair load: those of the same zone first, then those of other zones, each by descending
// load ratio. It returns the same results as moveFromOverloaded.
func moveToUnderloaded(now time.Duration, loads []*serverLoad, budget float64) (Move, float64, bool) {
	var to *serverLoad
	for _, l := range loads {
		underloaded := !l.Draining && l.Weight > 0 && l.busySlots < FillRatio*cmp.Or(l.SlowStartFactor, 1)*l.fairLoad
		if underloaded && (to == nil || l.ratio() < to.ratio()) {
			to = l
		}
	}
	if to == nil {
		return Move{}, 0, false
	}
	room := FillRatio*cmp.Or(to.SlowStartFactor, 1)*to.fairLoad - to.busySlots
	for _, from := range eligibleServersExcept(to, loads, -1) {
		excess := from.busySlots - from.fairLoad
		if excess <= 0 {
			continue
		}
		if i := chooseSlice(now, from, excess, min(room, budget)); i >= 0 {
			slice := from.slices[i]
			from.slices = slices.Delete(from.slices, i, i+1)
			from.busySlots -= slice.BusySlots
			to.busySlots += slice.BusySlots
			return Move{Range: slice.Range, From: from.Name, To: to.Name}, slice.BusySlots, true
		}
	}
	return Move{}, 0, false
}

// receiversFor returns the servers that may receive slices of from: those of its zone
// first, then those of other zones, each by ascending load ratio.
func receiversFor(from *serverLoad, loads []*serverLoad) []*serverLoad {
	return eligibleServersExcept(from, loads, 1)
}

// eligibleServersExcept returns the servers other than server that have a weight and don't drain:
// those of its zone first, then those of other zones, each by ascending load ratio if
// ratioOrder is 1 and by descending load ratio if it is -1.
func eligibleServersExcept(server *serverLoad, loads []*serverLoad, ratioOrder int) []*serverLoad {
	var list []*serverLoad
	for _, l := range loads {
		if l != server && !l.Draining && l.Weight > 0 {
			list = append(list, l)
		}
	}
	slices.SortStableFunc(list, func(a, b *serverLoad) int {
		if local := a.Zone == server.Zone; local != (b.Zone == server.Zone) {
			if local {
				return -1
			}
			return 1
		}
		return ratioOrder * cmp.Compare(a.ratio(), b.ratio())
	})
	return list
}

// chooseSlice returns the index of the slice of a server that should move: the one with the
// least load of at least wantedLoad, or else the one with the most load. It passes over
// slices above maxLoad, those within MoveCooldown and, unless the server drains, those without
// load. It returns -1 if none is left.
func chooseSlice(now time.Duration, from *serverLoad, wantedLoad, maxLoad float64) int {
	best := -1
	for i, slice := range from.slices {
		if slice.BusySlots > maxLoad || !from.Draining && slice.BusySlots == 0 || !slice.NeverMoved && now-slice.MovedAt < MoveCooldown {
			continue
		}
		if best < 0 || isBetterFit(slice.BusySlots, from.slices[best].BusySlots, wantedLoad) {
			best = i
		}
	}
	return best
}

// isBetterFit reports whether chooseSlice prefers load candidate to load best.
func isBetterFit(candidate, best, wantedLoad float64) bool {
	if (candidate >= wantedLoad) != (best >= wantedLoad) {
		return candidate >= wantedLoad
	}
	if candidate >= wantedLoad {
		return candidate < best
	}
	return candidate > best
}

// splitAroundHotKeys splits slices of servers above TargetRatio around hot keys that cause
// at least a quarter of the load of their slice. The planned moves are already applied to
// loads, so moves isn't needed for it.
func splitAroundHotKeys(keys []HotKey, loads []*serverLoad, moves []Move) []Split {
	var splits []Split
	for _, l := range loads {
		if l.Draining || l.ratio() <= TargetRatio {
			continue
		}
		for _, slice := range l.slices {
			i := slices.IndexFunc(keys, func(k HotKey) bool {
				return slice.Range.Contains(k.Hash) && k.BusySlots-k.MaxError >= slice.BusySlots/4
			})
			if i < 0 || slice.Range.First == slice.Range.Last || len(splits) == MaxSplitsPerPlan {
				continue
			}
			splits = append(splits, Split{Range: slice.Range, Server: l.Name, SplitHashes: splitHashesAround(slice.Range, keys[i].Hash)})
		}
	}
	return splits
}

// splitHashesAround returns where to split r so that hash gets a range of its own.
func splitHashesAround(r keyspace.Range, hash uint64) []uint64 {
	var list []uint64
	if hash > r.First {
		list = append(list, hash)
	}
	if hash < r.Last {
		list = append(list, hash+1)
	}
	return list
}
