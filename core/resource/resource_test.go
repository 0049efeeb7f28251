package resource

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a validation that stops at the first finding or reports a finding
// without the field that it is about.
func TestValidateCollectsAllFindings(t *testing.T) {
	for name, c := range map[string]struct {
		resource Resource
		places   []string
	}{
		"service": {Resource{Name: "Almacen!", Spec: &Service{Scope: "town", Slices: -1, MaxBodyBytes: -1}}, []string{
			"Service/Almacen!: metadata.name", "Service/Almacen!: spec.scope", "Service/Almacen!: spec.slices",
			"Service/Almacen!: spec.maxBodyBytes", "Service/Almacen!: spec.ranks", "Service/Almacen!: spec.defaultRank",
		}},
		"server": {Resource{Name: "a", Spec: &Server{Address: "127.0.0.1:1", Weight: -1}}, []string{
			"Server/a: spec.service", "Server/a: spec.zone", "Server/a: spec.address", "Server/a: spec.slots", "Server/a: spec.weight",
		}},
		"rank": {Resource{Name: "a", Spec: &Rank{Level: 99, FloorPercent: 60, MaxQueueLength: -1, MaxQueueMS: -1, DefaultDeadlineMS: -1}}, []string{
			"Rank/a: spec.level", "Rank/a: spec.floorPercent", "Rank/a: spec.maxQueueLength", "Rank/a: spec.maxQueueMs", "Rank/a: spec.defaultDeadlineMs",
		}},
		"route": {Resource{Name: "a", Spec: &Route{PathPrefix: "/v1/x"}}, []string{
			"Route/a: spec.pathPrefix", "Route/a: spec.pathPrefix", "Route/a: spec.service",
		}},
		"valid": {Resource{Name: "a", Spec: &Zone{}}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			var places []string
			for _, f := range c.resource.Validate() {
				places = append(places, f.Place)
			}
			require.Subset(t, places, c.places)
			require.Len(t, places, len(c.places))
		})
	}
}

// Guards against a misspelt field or kind that is ignored silently, and against
// query output that cannot be applied again because it has a status.
func TestUnmarshalIsStrict(t *testing.T) {
	var r Resource
	require.ErrorContains(t, json.Unmarshal([]byte(`{"kind":"Rank","metadata":{"name":"a"},"spec":{"levle":1}}`), &r), "levle")
	require.ErrorContains(t, json.Unmarshal([]byte(`{"kind":"Rnak","metadata":{"name":"a"}}`), &r), "Rnak")
	require.NoError(t, json.Unmarshal([]byte(`{"kind":"Rank","metadata":{"name":"a","version":7},"spec":{"level":1},"status":{"x":1}}`), &r))
	require.Equal(t, Resource{Name: "a", Version: 7, Spec: &Rank{Level: 1}}, r)
	again, err := json.Marshal(r)
	require.NoError(t, err)
	require.JSONEq(t, `{"kind":"Rank","metadata":{"name":"a","version":7},"spec":{"level":1}}`, string(again))
}
