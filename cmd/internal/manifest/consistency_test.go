package manifest

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/resource"
)

const inconsistentManifest = `{kind: Rank, metadata: {name: bulk}, spec: {level: 1, maxQueueMs: 6000, floorPercent: 50}}
---
{kind: Rank, metadata: {name: fast}, spec: {floorPercent: 50}}
---
{kind: Rank, metadata: {name: mid}, spec: {level: 2, floorPercent: 50}}
---
{kind: Service, metadata: {name: store}, spec: {ranks: [fast, bulk, mid], defaultRank: fast, slices: 1}}
---
{kind: Server, metadata: {name: s-1, version: 4}, spec: {service: store, zone: b, address: "http://10.0.0.1:80", slots: 1, connections: 2}}
---
{kind: Server, metadata: {name: s-2}, spec: {service: store, zone: a, address: "http://10.0.0.2:80", slots: 1, connections: 2}}
---
{kind: Server, metadata: {name: s-3}, spec: {service: store, zone: a, address: "http://10.0.0.2:80", slots: 1, connections: 2, drain: true}}
---
{kind: Service, metadata: {name: idle}, spec: {ranks: [fast], defaultRank: fast}}
---
{kind: Server, metadata: {name: i-1}, spec: {service: idle, zone: a, address: "http://10.0.0.3:80", slots: 1, connections: 2, drain: true}}
---
{kind: Route, metadata: {name: r-1}, spec: {pathPrefix: /a%20b/, service: store}}
---
{kind: Route, metadata: {name: r-2}, spec: {pathPrefix: /kept/, service: store, rank: other}}
`

// Guards against a configuration that is found wrong only when it is applied, or never,
// because each of its resources is valid.
func TestInconsistentManifest(t *testing.T) {
	docs, findings := Load([]string{Stdin}, strings.NewReader(inconsistentManifest))
	require.NoError(t, findings.Err())
	inForce := map[resource.Key]resource.Resource{}
	for _, r := range []resource.Resource{
		{Name: "r-0", Spec: &resource.Route{PathPrefix: "/kept/", Service: "store"}},
		{Name: "s-1", Version: 7, Spec: &resource.Server{Service: "store", Zone: "a"}},
	} {
		inForce[r.Key()] = r
	}
	var places []string
	for _, f := range CheckConsistency(docs, inForce) {
		place, _ := strings.CutPrefix(f.Place, "(standard input):")
		_, place, _ = strings.Cut(place, ": ")
		places = append(places, place)
	}
	require.ElementsMatch(t, []string{
		"Rank/bulk: spec.maxQueueMs", "Service/store: spec.ranks", "Service/store: spec.slices", "Service/idle", "Server/s-1: metadata.version", "Server/s-1: spec.zone",
		"Server/s-2: spec.address", "Server/s-3: spec.address", "Route/r-1: spec.pathPrefix", "Route/r-2: spec.pathPrefix", "Route/r-2: spec.rank",
	}, places)
	for _, file := range []string{"../../../examples/huaman.yaml", "../../../examples/kandyan.yaml"} {
		docs, findings := Load([]string{file}, nil)
		require.NoError(t, findings.Err())
		require.NoError(t, CheckConsistency(docs, nil).Err(), file)
	}
}
