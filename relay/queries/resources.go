package queries

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"github.com/go-chi/chi/v5"

	"parsleyrelay.example/api/operatorapi"
	"parsleyrelay.example/api/peerv1"
	"parsleyrelay.example/core/finding"
	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/core/resource"
)

// serveList lists all resources, or those of one kind. With the parameter status=false it
// omits their status and calls no other host.
func (q *QueryHandler) serveList(w http.ResponseWriter, r *http.Request) {
	kind := resource.Kind(chi.URLParam(r, "kind"))
	if kind != "" && !slices.Contains(resource.Kinds, kind) {
		writeFindings(w, unknownKindFindings(kind))
		return
	}
	view := q.view()
	list := operatorapi.List{Applied: view.AppliedOffset, Resources: listResources(view, kind)}
	if r.URL.Query().Get("status") != "false" {
		q.addStatus(r.Context(), view, list.Resources)
	}
	writeJSON(w, http.StatusOK, list)
}

func (q *QueryHandler) serveGet(w http.ResponseWriter, r *http.Request) {
	key := resource.Key{Kind: resource.Kind(chi.URLParam(r, "kind")), Name: chi.URLParam(r, "name")}
	if !slices.Contains(resource.Kinds, key.Kind) {
		writeFindings(w, unknownKindFindings(key.Kind))
		return
	}
	view := q.view()
	res, ok := view.Resources[key]
	if !ok {
		writeNotFound(w, key.String()+" does not exist")
		return
	}
	list := []operatorapi.Resource{toAPIResource(res)}
	q.addStatus(r.Context(), view, list)
	writeJSON(w, http.StatusOK, list[0])
}

func unknownKindFindings(kind resource.Kind) finding.List {
	var findings finding.List
	findings.Add("path", "unknown kind %q; known kinds are %v", kind, resource.Kinds)
	return findings
}

// listResources returns resources in the order of resource.Kinds, then by name.
func listResources(view *ownership.View, kind resource.Kind) []operatorapi.Resource {
	list := []operatorapi.Resource{}
	for key, r := range view.Resources {
		if kind == "" || key.Kind == kind {
			list = append(list, toAPIResource(r))
		}
	}
	slices.SortFunc(list, func(a, b operatorapi.Resource) int {
		ka := slices.Index(resource.Kinds, resource.Kind(a.Kind))
		kb := slices.Index(resource.Kinds, resource.Kind(b.Kind))
		if ka != kb {
			return ka - kb
		}
		return strings.Compare(a.Metadata.Name, b.Metadata.Name)
	})
	return list
}

func toAPIResource(r resource.Resource) operatorapi.Resource {
	spec, _ := json.Marshal(r.Spec) // cannot fail: specs hold plain values
	return operatorapi.Resource{
		Kind:     string(r.Spec.Kind()),
		Metadata: operatorapi.Metadata{Name: r.Name, Version: r.Version},
		Spec:     spec,
	}
}

func (q *QueryHandler) addStatus(ctx context.Context, view *ownership.View, list []operatorapi.Resource) {
	responses, silent := q.statusOfMembers(ctx, view)
	var ownedSlices map[string]int
	for i := range list {
		status := &operatorapi.ResourceStatus{InForce: []string{}, NotKnown: silent}
		for _, response := range responses {
			if response.value.Complete && response.value.Applied >= list[i].Metadata.Version {
				status.InForce = append(status.InForce, response.member.Host)
			} else {
				status.Behind = append(status.Behind, operatorapi.HostOffset{Host: response.member.Host, Applied: response.value.Applied})
			}
		}
		if list[i].Kind == string(resource.KindServer) {
			if ownedSlices == nil {
				ownedSlices = countOwnedSlices(view)
			}
			status.Server = serverStatus(view, list[i].Metadata.Name, responses)
			status.Server.SlicesOwned = ownedSlices[list[i].Metadata.Name]
		}
		list[i].Status = status
	}
}

func countOwnedSlices(view *ownership.View) map[string]int {
	owned := map[string]int{}
	for _, table := range view.Tables {
		for slice := range table.All {
			owned[slice.Server]++
		}
	}
	return owned
}

// serverStatus returns the status reported by the home with the highest term and sub-term,
// since a former home may not know yet that it was replaced.
func serverStatus(view *ownership.View, name string, responses []memberResponse[*peerv1.StatusResponse]) *operatorapi.ServerStatus {
	home := view.Servers[name].Home
	status := &operatorapi.ServerStatus{State: operatorapi.ServerStateNotKnown, Term: home.Term}
	if home.Incarnation != "" {
		status.Home = hostName(view, home.Incarnation)
	}
	for _, response := range responses {
		for _, s := range response.value.Servers {
			if s.Server != name || s.Term < status.Term || (s.Term == status.Term && s.SubTerm < status.SubTerm) {
				continue
			}
			*status = operatorapi.ServerStatus{
				State: s.State, ClaimedHealth: s.ClaimedHealth, SlicesServing: int(s.SlicesServing),
				Home: response.member.Host, Term: s.Term, SubTerm: s.SubTerm, Instance: s.Instance,
				Running: int(s.Running), Queued: int(s.Queued), Limit: int(s.Limit),
			}
		}
	}
	return status
}
