package assigner

import (
	"parsleyrelay.example/core/assignment"
	"parsleyrelay.example/core/directory"
	"parsleyrelay.example/core/event"
)

// SetPauses sets the pauses that servers asked of the hosts, by server ID. The map must not
// be changed afterwards.
func (a *Assigner) SetPauses(pauses map[string]directory.Pause) { a.pauses.Store(&pauses) }

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
