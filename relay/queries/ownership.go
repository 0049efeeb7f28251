package queries

import (
	"fmt"
	"net/http"
	"net/url"

	"github.com/go-chi/chi/v5"

	"parsleyrelay.example/api/operatorapi"
	"parsleyrelay.example/core/event"
	"parsleyrelay.example/core/keyspace"
	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/relay/timeline"
)

func (q *QueryHandler) serveOwnership(w http.ResponseWriter, r *http.Request) {
	if current, ok := q.currentOwner(w, r); ok {
		writeJSON(w, http.StatusOK, current)
	}
}

// serveOwnershipHistory returns which server owned a key at which time and why the key
// moved, as far as the timelines of the hosts that respond still hold the events.
func (q *QueryHandler) serveOwnershipHistory(w http.ResponseWriter, r *http.Request) {
	current, ok := q.currentOwner(w, r)
	if !ok {
		return
	}
	events := q.timeline(r.Context(), timeline.Filter{
		Service: current.Service, Key: current.Key, AlsoCodes: causeCodes,
	})
	writeJSON(w, http.StatusOK, operatorapi.OwnershipHistory{
		Current: current, Periods: ownershipPeriods(current, events.Events), Completeness: events.Completeness,
	})
}

func (q *QueryHandler) currentOwner(w http.ResponseWriter, r *http.Request) (operatorapi.Ownership, bool) {
	service, key := pathValue(r, "service"), pathValue(r, "key")
	current, ok := findOwner(q.view(), service, key)
	if !ok {
		writeNotFound(w, fmt.Sprintf("Service/%s does not exist or has no slices yet", service))
	}
	return current, ok
}

// pathValue decodes a path parameter. The router matches the escaped path when there is
// one, so that a key may contain slashes.
func pathValue(r *http.Request, name string) string {
	value := chi.URLParam(r, name)
	if r.URL.RawPath != "" {
		if plain, err := url.PathUnescape(value); err == nil {
			return plain
		}
	}
	return value
}

func findOwner(view *ownership.View, service, key string) (operatorapi.Ownership, bool) {
	hash := keyspace.Hash(key)
	route, ok := view.Lookup(service, hash, 0)
	if !ok {
		return operatorapi.Ownership{}, false
	}
	current := operatorapi.Ownership{
		Service: service, Key: key, KeyHash: fmt.Sprintf("%016x", hash),
		Slice: route.Slice.Range.String(), Generation: route.Slice.Generation,
		Owner: route.Server, Former: route.Slice.Former,
		Term: route.ServerView.Home.Term, Durable: true, Applied: view.AppliedOffset,
	}
	if home := route.ServerView.Home.Incarnation; home != "" {
		current.Home = hostName(view, home)
	}
	return current, true
}

// causeCodes are the codes of server and zone events that can explain why a slice moved.
var causeCodes = []event.Code{
	event.ServerUnresponsive, event.ServerResponsive, event.ServerNewInstance, event.ZoneDeclaredLost,
}

// ownershipPeriods derives the ownership periods from events in the order of their
// clocks. Events of several hosts about the same move have the same generation.
func ownershipPeriods(current operatorapi.Ownership, events []operatorapi.Event) []operatorapi.Period {
	var periods []operatorapi.Period
	for _, e := range events {
		code := event.Code(e.Code)
		if (code == event.SlicePlaced || code == event.SliceMoved) && e.Service == current.Service {
			periods = addPeriod(periods, e)
		}
	}
	if len(periods) == 0 || periods[len(periods)-1].Generation < current.Generation {
		periods = append(periods, operatorapi.Period{Generation: current.Generation, Owner: current.Owner, Slice: current.Slice})
	}
	fillMissingOwners(current, periods)
	for i := range periods {
		if i+1 < len(periods) {
			periods[i].UntilMS = periods[i+1].FromMS
		}
		former := operatorapi.Period{}
		if i > 0 {
			former = periods[i-1]
		}
		explainPeriod(&periods[i], former, events)
	}
	return periods
}

func addPeriod(periods []operatorapi.Period, e operatorapi.Event) []operatorapi.Period {
	generation := e.Generation
	if generation == 0 {
		generation = e.Offset
	}
	at := 0
	for at < len(periods) && periods[at].Generation < generation {
		at++
	}
	if at < len(periods) && periods[at].Generation == generation {
		if periods[at].Owner == "" {
			periods[at].Owner = e.Server
		}
		periods[at].Evidence = append(periods[at].Evidence, e)
		return periods
	}
	period := operatorapi.Period{
		Owner: e.Server, Generation: generation, Slice: e.Slice,
		FromMS: timeline.WallTimeMS(e.HLC), Evidence: []operatorapi.Event{e},
	}
	return append(periods[:at], append([]operatorapi.Period{period}, periods[at:]...)...)
}

// fillMissingOwners sets the owners that are missing in the events but known from the
// applied log.
func fillMissingOwners(current operatorapi.Ownership, periods []operatorapi.Period) {
	for i := range periods {
		if periods[i].Generation == current.Generation {
			periods[i].Owner = current.Owner
			if i > 0 && periods[i-1].Owner == "" {
				periods[i-1].Owner = current.Former
			}
		}
	}
}

// explainPeriod sets the reason of a period, the events that show it and the time at which
// the owner started serving.
func explainPeriod(p *operatorapi.Period, former operatorapi.Period, events []operatorapi.Event) {
	hasEvidence := len(p.Evidence) > 0
	if !hasEvidence {
		p.Reason = "the change of owner is not in the timelines of the hosts that responded"
	}
	var cause *operatorapi.Event
	for i := range events {
		e := &events[i]
		code := event.Code(e.Code)
		if code == event.SliceServing && e.Server == p.Owner && e.Generation == p.Generation && p.ServingMS == 0 {
			p.ServingMS = timeline.WallTimeMS(e.HLC)
		}
		if hasEvidence && timeline.WallTimeMS(e.HLC) <= p.FromMS && timeline.WallTimeMS(e.HLC) >= former.FromMS && isCause(e, former) {
			cause = e
		}
	}
	if !hasEvidence {
		return
	}
	p.Reason = periodReason(p.Evidence[0], former, cause)
	if cause != nil {
		p.Evidence = append([]operatorapi.Event{*cause}, p.Evidence...)
	}
}

// isCause reports whether e is an event of the former owner that can lead to a move. The
// last such event before the move is taken as its cause.
func isCause(e *operatorapi.Event, former operatorapi.Period) bool {
	switch event.Code(e.Code) {
	case event.SliceReleased:
		return e.Server == former.Owner && e.Generation == former.Generation
	case event.ServerUnresponsive, event.ServerResponsive, event.ServerNewInstance:
		return e.Server == former.Owner && former.Owner != ""
	case event.ZoneDeclaredLost:
		return true
	}
	return false
}

func periodReason(decision operatorapi.Event, former operatorapi.Period, cause *operatorapi.Event) string {
	if event.Code(decision.Code) == event.SlicePlaced {
		return "first placement"
	}
	reason := "the cause is not among the events that are still kept"
	if cause != nil {
		switch event.Code(cause.Code) {
		case event.SliceReleased:
			reason = "planned move: " + former.Owner + " released the slice"
		case event.ServerUnresponsive:
			reason = "forced move: " + former.Owner + " did not respond"
		case event.ServerNewInstance:
			reason = "forced move: " + former.Owner + " was restarted"
		case event.ZoneDeclaredLost:
			reason = "forced move: an availability zone was declared lost"
		}
	}
	if decision.Detail != "" {
		reason += " (" + decision.Detail + ")"
	}
	return reason
}
