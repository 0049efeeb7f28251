package daemon

import (
	"time"

	"parsleyrelay.example/core/balance"
	"parsleyrelay.example/core/ownership"
)

// planner implements ownership.Planner with the planner of package balance.
// Neither package of core imports the other.
type planner struct{}

// Plan implements ownership.Planner. Of servers with another home only the whole
// load is known; it stands as one slice that has just moved and so stays.
func (planner) Plan(now time.Duration, in ownership.PlanInput) ownership.Plan {
	input := balance.PlanInput{Now: now}
	local := map[string]bool{}
	for _, s := range in.Servers {
		if !s.CanReceive {
			continue
		}
		input.Servers = append(input.Servers, balance.Server{Name: s.Load.Server, Zone: s.Zone, Weight: s.Weight})
		if s.Local {
			local[s.Load.Server] = true
			continue
		}
		input.Slices = append(input.Slices, balance.Slice{Server: s.Load.Server, BusySlots: s.Load.BusySlots, MovedAt: now})
	}
	held := map[uint64]ownership.SliceRef{}
	for _, s := range in.Slices {
		if !local[s.Server] {
			continue
		}
		held[s.Slice.Range.First] = s.Slice
		input.Slices = append(input.Slices, balance.Slice{
			Range: s.Slice.Range, Server: s.Server, BusySlots: s.BusySlots, MovedAt: s.MovedAt, NeverMoved: s.MovedAt == 0,
		})
	}
	for _, k := range in.HotKeys {
		input.HotKeys = append(input.HotKeys, balance.HotKey{Hash: k.Hash, BusySlots: k.BusySlots})
	}
	plan := balance.MakePlan(input)
	var out ownership.Plan
	for _, m := range plan.Moves {
		out.Moves = append(out.Moves, ownership.PlannedMove{Slice: held[m.Range.First], From: m.From, To: m.To})
	}
	for _, s := range plan.Splits {
		out.Splits = append(out.Splits, ownership.PlannedSplit{Slice: held[s.Range.First], Server: s.Server, SplitHashes: s.SplitHashes})
	}
	return out
}
