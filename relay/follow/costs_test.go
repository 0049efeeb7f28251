package follow

import (
	"testing"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/relay/edge"
)

// Guards against costs that are taken for those of other keys after a relay has merged
// reports, when some hosts have no estimates or a list is damaged.
func TestCostsStayWithTheirKeys(t *testing.T) {
	relay := edge.New(edge.Options{})
	relay.AddLoadReport(edge.LoadReport{RequestedKeys: map[string][]uint16{"stock": {1, 2}}})
	relay.AddLoadReport(edge.LoadReport{RequestedKeys: map[string][]uint16{"stock": {3, 4}}, KeyCosts: map[string][]uint16{"stock": {30, 40}},
		ServiceTimes: map[string]edge.ServiceTime{"s": {Reports: 2, SlowdownPercent: 400}}})
	messages := encodeLoadReport(relay.TakeLoadReport())
	report := decodeLoadReport(messages)
	require.Equal(t, []uint16{1, 2, 3, 4}, report.RequestedKeys["stock"])
	require.Equal(t, []uint16{0, 0, 30, 40}, report.KeyCosts["stock"])
	require.Equal(t, 400, report.ServiceTimes["s"].SlowdownPercent)
	messages[1].CostsMs = messages[1].CostsMs[1:]
	require.Equal(t, []uint16{0, 0, 0, 0}, decodeLoadReport(messages).KeyCosts["stock"])
}
