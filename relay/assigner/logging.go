package assigner

import (
	"parsleyrelay.example/core/assignment"
	"parsleyrelay.example/core/event"
)

// logReleases logs the ranges that were freed since the last tick, and the evidence. A
// release by the holder is the usual case, of which some lines may be left out.
func (a *Assigner) logReleases() {
	if a.leader == nil {
		return
	}
	for _, r := range a.leader.TakeCompletedReleases() {
		log := a.options.Journal.LogEvent
		if r.Evidence == assignment.ReleasedByHolder {
			log = a.options.Journal.LogRoutineEvent
		}
		log(event.RangeFreed, "term", a.leader.Term(), "service", r.Service, "from", r.From, "to", r.To, "evidence", r.Evidence,
			"holder", r.Holder.ID, "holder_born", r.Holder.Born, "owner", r.Owner.ID, "owner_born", r.Owner.Born, "fence", r.Fence, "grant_left_ms", r.GrantLeft.Milliseconds())
	}
}

// logRestarts logs the servers that were seen to have started again since the last tick.
func (a *Assigner) logRestarts() {
	if a.leader == nil {
		return
	}
	for _, r := range a.leader.TakeRestarts() {
		a.options.Journal.LogEvent(event.OwnerRestarted, "term", a.leader.Term(), "service", r.Service, "server", r.Server.ID, "address", r.Server.Address,
			"born", r.Server.Born, "former_born", r.FormerBorn, "ranges", r.Ranges)
	}
}

// logEmptiedServers logs which servers are emptied for their pauses since the last call, and
// which are no longer.
func (a *Assigner) logEmptiedServers() {
	var current map[assignment.ServerIncarnation]bool
	if a.leader != nil {
		current = a.leader.EmptiedServers()
	}
	for s := range current {
		if !a.emptiedServers[s] {
			pause := (*a.pauses.Load())[s.ID]
			a.options.Journal.LogEvent(event.ServerEmptied, "server", s.ID, "born", s.Born, "hosts", pause.Hosts, "longest_ms", pause.Longest.Milliseconds())
		}
	}
	for s := range a.emptiedServers {
		if !current[s] {
			a.options.Journal.LogEvent(event.ServerRefilled, "server", s.ID, "born", s.Born)
		}
	}
	a.emptiedServers = current
}
