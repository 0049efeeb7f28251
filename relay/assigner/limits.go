package assigner

import "parsleyrelay.example/core/event"

// AdmittedShares returns the share of the requests that hosts may queue for each
// overloaded server, by server ID. It is empty if this host does not lead. The map must
// not be changed.
func (a *Assigner) AdmittedShares() map[string]float64 {
	if shares := a.admittedShares.Load(); shares != nil && a.leading.Load() {
		return *shares
	}
	return nil
}

// publishAdmittedShares makes the leader's shares available and logs which servers are
// limited since the last call, and which are no longer.
func (a *Assigner) publishAdmittedShares() {
	var current, former map[string]float64
	if a.leader != nil {
		current = a.leader.AdmittedShares()
	}
	if p := a.admittedShares.Load(); p != nil {
		former = *p
	}
	if len(current)+len(former) == 0 {
		return
	}
	for id, share := range current {
		if _, ok := former[id]; !ok {
			a.options.Journal.LogEvent(event.LoadLimited, "server", id, "share", share, "silent", a.leader.IsSilent(id))
		}
	}
	for id := range former {
		if _, ok := current[id]; !ok {
			a.options.Journal.LogEvent(event.LoadUnlimited, "server", id)
		}
	}
	a.admittedShares.Store(&current)
}
