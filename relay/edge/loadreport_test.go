package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Pattern: the leader is lost for seconds. Guards against hosts and relays that send the
// requests of all that time in one report to the next leader, which would take them for a
// burst, limit the servers and move their keys.
func TestReportsOfALostLeadersTimeAreDropped(t *testing.T) {
	now := time.Hour
	e := New(Options{Now: func() time.Duration { return now }})
	follower := LoadReport{RequestedKeys: map[string][]uint16{"stock": {1, 2, 3}}, ServiceTimes: map[string]ServiceTime{"s": {Reports: 3}}}
	for range 10 {
		now += 350 * time.Millisecond
		e.AddLoadReport(follower)
		e.recordKeyRequest("stock", 4)
	}
	r := e.TakeLoadReport()
	require.NotEmpty(t, r.RequestedKeys["stock"])
	require.LessOrEqual(t, len(r.RequestedKeys["stock"]), 4*3, "requests of a second")
	e.AddLoadReport(follower)
	now += time.Minute
	require.Empty(t, e.TakeLoadReport().RequestedKeys, "requests of the last minute")
}
