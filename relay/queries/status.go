package queries

import (
	"maps"
	"net/http"
	"slices"

	"parsleyrelay.example/api/operatorapi"
	"parsleyrelay.example/core/ownership"
)

func (q *QueryHandler) serveStatus(w http.ResponseWriter, r *http.Request) {
	view := q.view()
	responses, silent := q.statusOfMembers(r.Context(), view)
	status := operatorapi.Status{
		Host: view.Members[view.SelfIncarnation].Host, Applied: view.AppliedOffset, Complete: view.StateComplete,
		LogReachable: view.LogReachable, Hosts: []operatorapi.HostStatus{}, NotKnown: silent,
		WitnessSets: []operatorapi.WitnessSet{},
	}
	for _, response := range responses {
		m, s := response.member, response.value
		status.Hosts = append(status.Hosts, operatorapi.HostStatus{
			Host: m.Host, Incarnation: m.Incarnation, Zone: m.Zone, JoinedAt: m.JoinedAt,
			Applied: s.Applied, Complete: s.Complete, Draining: s.Draining,
			LeaseValid: s.LeaseValid, LogReachable: s.LogReachable, Servers: len(s.Servers),
		})
	}
	sets := q.cfg.Witnesses.WitnessSets()
	for _, scope := range slices.Sorted(maps.Keys(sets)) {
		set := sets[scope]
		status.WitnessSets = append(status.WitnessSets, operatorapi.WitnessSet{
			Scope: scope, Epoch: set.Epoch,
			Current: hostNames(view, set.Current), Pending: hostNames(view, set.Pending),
		})
	}
	writeJSON(w, http.StatusOK, status)
}

func hostNames(view *ownership.View, incarnations []string) []string {
	names := make([]string, len(incarnations))
	for i, incarnation := range incarnations {
		names[i] = hostName(view, incarnation)
	}
	return names
}

// hostName returns the incarnation itself when it is not a member any more.
func hostName(view *ownership.View, incarnation string) string {
	if m, ok := view.Members[incarnation]; ok {
		return m.Host
	}
	return incarnation
}
