package follow

import (
	"testing"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/relay/edge"
)

// Guards against slowdowns that are lost when a relay merges reports: the leader would take
// the slow spells of machines for the speeds of servers and move keys.
func TestSlowdownsPassARelay(t *testing.T) {
	relay := edge.New(edge.Options{})
	relay.AddLoadReport(edge.LoadReport{RequestedKeys: map[string][]uint16{"stock": {1, 2}}, ServiceTimes: map[string]edge.ServiceTime{"s": {Reports: 1, SlowdownPercent: 100}}})
	relay.AddLoadReport(edge.LoadReport{RequestedKeys: map[string][]uint16{"stock": {3, 4}}, ServiceTimes: map[string]edge.ServiceTime{"s": {Reports: 2, SlowdownPercent: 400}}})
	report := decodeLoadReport(encodeLoadReport(relay.TakeLoadReport()))
	require.Equal(t, []uint16{1, 2, 3, 4}, report.RequestedKeys["stock"])
	require.Equal(t, 3, report.ServiceTimes["s"].Reports)
	require.Equal(t, 500, report.ServiceTimes["s"].SlowdownPercent)
}
