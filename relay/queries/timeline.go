package queries

import (
	"context"
	"encoding/json"
	"net/http"

	"parsleyrelay.example/api/operatorapi"
	"parsleyrelay.example/api/peerv1"
	"parsleyrelay.example/core/state"
	"parsleyrelay.example/relay/timeline"
)

// maxEventsPerHost bounds the events that one host returns. A host with more events returns
// the newest, since a search for a cause starts at the end.
const maxEventsPerHost = 5000

func (q *QueryHandler) serveTimeline(w http.ResponseWriter, r *http.Request) {
	filter, findings := timeline.FilterFromQuery(r.URL.Query(), q.cfg.WallClock())
	if len(findings) > 0 {
		writeFindings(w, findings)
		return
	}
	writeJSON(w, http.StatusOK, q.timeline(r.Context(), filter))
}

// timeline queries all hosts and merges their events. The result names hosts that did not
// respond and events that are missing.
func (q *QueryHandler) timeline(ctx context.Context, filter timeline.Filter) operatorapi.Timeline {
	data, _ := json.Marshal(filter) // cannot fail: the filter holds plain values
	responses, silent := callMembers(ctx, &q.members, q.view(), func(ctx context.Context, m state.Member) (hostEvents, error) {
		return q.hostTimeline(ctx, m, string(data))
	})
	result := operatorapi.Timeline{Completeness: operatorapi.Completeness{NotKnown: silent}}
	var eventLists [][]operatorapi.Event
	for _, response := range responses {
		eventLists = append(eventLists, response.value.events)
		if response.value.overwritten > 0 {
			if result.Overwritten == nil {
				result.Overwritten = map[string]uint64{}
			}
			result.Overwritten[response.member.Host] += response.value.overwritten
		}
		if len(response.value.events) >= maxEventsPerHost {
			result.Truncated = append(result.Truncated, response.member.Host)
		}
	}
	result.Events = timeline.MergeEvents(eventLists...)
	if result.Events == nil {
		result.Events = []operatorapi.Event{}
	}
	return result
}

type hostEvents struct {
	events      []operatorapi.Event
	overwritten uint64
}

func (q *QueryHandler) hostTimeline(ctx context.Context, m state.Member, filter string) (hostEvents, error) {
	resp, err := q.cfg.Peers.Timeline(ctx, m, &peerv1.TimelineRequest{FilterJson: filter, MaxEvents: maxEventsPerHost})
	if err != nil {
		return hostEvents{}, err
	}
	out := hostEvents{overwritten: resp.Overwritten}
	if len(resp.EventsJson) == 0 {
		return out, nil
	}
	return out, json.Unmarshal(resp.EventsJson, &out.events)
}
