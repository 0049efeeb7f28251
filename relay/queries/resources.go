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

// serveList lists all resources, or those of one kind. The parameter status=false
// leaves the status out, which asks no other host.
func (q *QueryHandler) serveList(w http.ResponseWriter, r *http.Request) {
	kind := resource.Kind(chi.URLParam(r, "kind"))
	if kind != "" && !slices.Contains(resource.Kinds, kind) {
		writeFindings(w, unknownKind(kind))
		return
	}
	view := q.view()
	list := operatorapi.List{Applied: view.AppliedOffset, Resources: listOf(view, kind)}
	if r.URL.Query().Get("status") != "false" {
		q.addStatus(r.Context(), view, list.Resources)
	}
	writeJSON(w, http.StatusOK, list)
}

func (q *QueryHandler) serveGet(w http.ResponseWriter, r *http.Request) {
	key := resource.Key{Kind: resource.Kind(chi.URLParam(r, "kind")), Name: chi.URLParam(r, "name")}
	if !slices.Contains(resource.Kinds, key.Kind) {
		writeFindings(w, unknownKind(key.Kind))
		return
	}
	view := q.view()
	res, ok := view.Resources[key]
	if !ok {
		writeNotFound(w, key.String()+" does not exist")
		return
	}
	one := []operatorapi.Resource{wireResource(res)}
	q.addStatus(r.Context(), view, one)
	writeJSON(w, http.StatusOK, one[0])
}

func unknownKind(kind resource.Kind) finding.List {
	var findings finding.List
	findings.Add("path", "unknown kind %q; known kinds are %v", kind, resource.Kinds)
	return findings
}

// listOf returns resources in the order of resource.Kinds, then by name.
func listOf(view *ownership.View, kind resource.Kind) []operatorapi.Resource {
	list := []operatorapi.Resource{}
	for key, r := range view.Resources {
		if kind == "" || key.Kind == kind {
			list = append(list, wireResource(r))
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

func wireResource(r resource.Resource) operatorapi.Resource {
	spec, _ := json.Marshal(r.Spec) // cannot fail: specs hold plain values
	return operatorapi.Resource{
		Kind:     string(r.Spec.Kind()),
		Metadata: operatorapi.Metadata{Name: r.Name, Version: r.Version},
		Spec:     spec,
	}
}

func (q *QueryHandler) addStatus(ctx context.Context, view *ownership.View, list []operatorapi.Resource) {
	replies, silent := q.askStatus(ctx, view)
	var owned map[string]int
	for i := range list {
		status := &operatorapi.ResourceStatus{InForce: []string{}, NotKnown: silent}
		for _, reply := range replies {
			if reply.value.Complete && reply.value.Applied >= list[i].Metadata.Version {
				status.InForce = append(status.InForce, reply.member.Host)
			} else {
				status.Behind = append(status.Behind, operatorapi.HostOffset{Host: reply.member.Host, Applied: reply.value.Applied})
			}
		}
		if list[i].Kind == string(resource.KindServer) {
			if owned == nil {
				owned = countOwned(view)
			}
			status.Server = serverStatus(view, list[i].Metadata.Name, replies)
			status.Server.SlicesOwned = owned[list[i].Metadata.Name]
		}
		list[i].Status = status
	}
}

func countOwned(view *ownership.View) map[string]int {
	owned := map[string]int{}
	for _, table := range view.Tables {
		for slice := range table.All {
			owned[slice.Server]++
		}
	}
	return owned
}

// serverStatus takes the word of the home with the highest term and sub-term,
// since a former home may still believe in its own.
func serverStatus(view *ownership.View, name string, replies []reply[*peerv1.StatusResponse]) *operatorapi.ServerStatus {
	home := view.Servers[name].Home
	status := &operatorapi.ServerStatus{State: operatorapi.ServerStateNotKnown, Term: home.Term}
	if home.Incarnation != "" {
		status.Home = hostName(view, home.Incarnation)
	}
	for _, reply := range replies {
		for _, s := range reply.value.Servers {
			if s.Server != name || s.Term < status.Term || (s.Term == status.Term && s.SubTerm < status.SubTerm) {
				continue
			}
			*status = operatorapi.ServerStatus{
				State: s.State, ClaimedHealth: s.ClaimedHealth, SlicesServing: int(s.SlicesServing),
				Home: reply.member.Host, Term: s.Term, SubTerm: s.SubTerm, Instance: s.Instance,
				Running: int(s.Running), Queued: int(s.Queued), Limit: int(s.Limit),
			}
		}
	}
	return status
}
