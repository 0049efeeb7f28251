package manifest

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/finding"
	"parsleyrelay.example/core/resource"
)

// Guards against example manifests that do not validate.
func TestExamplesValidate(t *testing.T) {
	// Zones, ranks, services, servers and routes.
	for file, want := range map[string]int{
		"../../../examples/huaman.yaml":  3 + 3 + 2 + 25 + 2,
		"../../../examples/kandyan.yaml": 3 + 3 + 2 + 40 + 2,
	} {
		docs, findings := Load([]string{file}, nil)
		require.NoError(t, findings.Err())
		require.NoError(t, CheckReferences(docs, nil).Err())
		assert.Len(t, docs, want, file)
		assert.Equal(t, resource.KindZone, docs[0].Resource.Spec.Kind(), "applied in the order of references")
	}
}

const invalidManifest = `kind: Server
metadata: {name: a, colour: red}
spec:
  service: 12
  zone: ate
  address: http://127.0.0.1:1
  slots: "6"
  connections: 1.5
  checksGrants: yes please
  speed: 3
---
kind: Rank
metadata:
  name: Top
spec:
  level: 99
extra: 1
---
kind: Shelf
metadata: {name: x}
`

// Guards against findings that are reported one at a time or without a position,
// and against fields that a lenient decoder would accept.
func TestAllFindingsWithPositions(t *testing.T) {
	docs, findings := Load([]string{Stdin}, strings.NewReader(invalidManifest))
	assert.Empty(t, docs)
	places := []string{}
	for _, f := range findings {
		places = append(places, strings.TrimPrefix(f.Place, "(standard input):"))
	}
	assert.Equal(t, []string{
		"2:21: Server/a: metadata.colour",
		"4:3: Server/a: spec.service",
		"7:3: Server/a: spec.slots",
		"8:3: Server/a: spec.connections",
		"9:3: Server/a: spec.checksGrants",
		"10:3: Server/a: spec.speed",
		"17:1: Rank/Top: extra",
		"14:3: Rank/Top: metadata.name",
		"16:3: Rank/Top: spec.level",
		"19:1: kind",
	}, places)
}

// Guards against missing references that are found only when the change is
// applied, and against two documents of one resource, where the last would
// silently replace the first.
func TestReferencesAndDuplicates(t *testing.T) {
	const text = `[]
---
{"kind":"Service","metadata":{"name":"s"},"spec":{"ranks":["r","q"],"defaultRank":"r"}}
---
{"kind":"Route","metadata":{"name":"p"},"spec":{"pathPrefix":"/p/","service":"s","rank":"z"}}
---
{"kind":"Route","metadata":{"name":"p"},"spec":{"pathPrefix":"/p/","service":"s"}}
---
{"kind":"Server","metadata":{"name":"v"},"spec":{"service":"none","zone":"a","address":"http://127.0.0.1:1","slots":1,"connections":1,"checksGrants":true}}
`
	docs, findings := Load([]string{Stdin, "missing.yaml"}, strings.NewReader(text))
	assert.Len(t, findings, 3, "a list, a duplicate and a missing file")
	refs := CheckReferences(docs, func(k resource.Key) bool { return k.Name == "r" })
	assert.Equal(t, finding.List{
		{Place: "(standard input):3:64: Service/s: spec.ranks.1", Problem: "Rank/q does not exist"},
		{Place: "(standard input):9:50: Server/v: spec.service", Problem: "Service/none does not exist"},
		{Place: "(standard input):5:82: Route/p: spec.rank", Problem: `Service/s does not list rank "z"`},
	}, refs)
}

// Guards against a crash or a silently empty result on text that is not YAML.
func TestSyntaxErrorHasPosition(t *testing.T) {
	for _, text := range []string{"kind: [", "a: b: c", "kind: Rank\nkind: Zone\n", "\t- x", "kind: &a Rank\nmetadata: *a"} {
		docs, findings := Load([]string{Stdin}, strings.NewReader(text))
		assert.Empty(t, docs, text)
		require.NotEmpty(t, findings, text)
		assert.Regexp(t, `^\(standard input\):\d+:\d+`, findings[0].Place, text)
	}
}
