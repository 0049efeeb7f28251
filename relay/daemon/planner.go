package daemon

import (
	"time"

	"parsleyrelay.example/core/balance"
	"parsleyrelay.example/core/ownership"
)

// balancePlanner adapts the planner of package balance to ownership.Planner, since neither
// of the two packages imports the other.
type balancePlanner struct{}

// Plan implements ownership.Planner. Of servers with another home only the total load is
// known. It is passed as one slice without a range and with MovedAt = now, since the
// planner leaves a slice that has just moved where it is.
func (balancePlanner) Plan(now time.Duration, in ownership.PlanInput) ownership.Plan {
	input := balance.PlanInput{Now: now}
	localServers := map[string]bool{}
	for _, s := range in.Servers {
		if !s.CanReceive {
			continue
		}
		input.Servers = append(input.Servers, balance.Server{Name: s.Load.Server, Zone: s.Zone, Weight: s.Weight})
		if s.Local {
			localServers[s.Load.Server] = true
			continue
		}
		input.Slices = append(input.Slices, balance.Slice{Server: s.Load.Server, BusySlots: s.Load.BusySlots, MovedAt: now})
	}
	localSlices := map[uint64]ownership.SliceRef{}
	for _, s := range in.Slices {
		if !localServers[s.Server] {
			continue
		}
		localSlices[s.Slice.Range.First] = s.Slice
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
		out.Moves = append(out.Moves, ownership.PlannedMove{Slice: localSlices[m.Range.First], From: m.From, To: m.To})
	}
	for _, s := range plan.Splits {
		out.Splits = append(out.Splits, ownership.PlannedSplit{Slice: localSlices[s.Range.First], Server: s.Server, SplitHashes: s.SplitHashes})
	}
	return out
}
