package timeline

import (
	"net/url"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"parsleyrelay.example/core/event"
	"parsleyrelay.example/core/keyspace"
)

// Guards against a filter by key, slice or time that misses events or selects
// others.
func TestMatch(t *testing.T) {
	moved := event.Event{Code: event.SliceMoved, HLC: 100 << 16, Service: "s", Server: "a", Slice: keyspace.FullRange.String()}
	for name, c := range map[string]struct {
		filter Filter
		want   bool
	}{
		"all":             {Filter{}, true},
		"key in slice":    {Filter{Service: "s", Key: "k"}, true},
		"other service":   {Filter{Service: "t", Key: "k"}, false},
		"overlap":         {Filter{Slice: "0000000000000000-0000000000000001"}, true},
		"other server":    {Filter{Server: "b"}, false},
		"code regardless": {Filter{Server: "b", AlsoCodes: []event.Code{event.SliceMoved}}, true},
		"too late":        {Filter{UntilMS: 99}, false},
		"last instant":    {Filter{SinceMS: 100, UntilMS: 100}, true},
		"code too early":  {Filter{SinceMS: 101, AlsoCodes: []event.Code{event.SliceMoved}}, false},
	} {
		assert.Equal(t, c.want, c.filter.Matches(moved), name)
	}
}

// Guards against a malformed parameter that is ignored, so that the filter selects
// all events.
func TestFilterFromQueryReportsAllFindings(t *testing.T) {
	_, findings := FilterFromQuery(url.Values{"key": {"k"}, "slice": {"x"}, "since": {"soon"}, "until": {"-5m"}}, time.Now())
	assert.Len(t, findings, 4)
	f, findings := FilterFromQuery(url.Values{"since": {"1s"}}, time.UnixMilli(5000))
	assert.Empty(t, findings)
	assert.Equal(t, int64(4000), f.SinceMS)
}
