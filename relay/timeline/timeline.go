// Package timeline filters the events of a daemon and merges the events of several
// daemons into one timeline.
package timeline

import (
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"parsleyrelay.example/api/operatorapi"
	"parsleyrelay.example/core/event"
	"parsleyrelay.example/core/finding"
	"parsleyrelay.example/core/keyspace"
)

// Filter selects events. An event matches if all fields that are set match. The
// JSON form is the content of TimelineRequest.filter_json.
type Filter struct {
	Service   string `json:"service,omitempty"`
	Key       string `json:"key,omitempty"`   // matches its hash and the slices that contain it
	Slice     string `json:"slice,omitempty"` // range in hexadecimal; matches slices that overlap it
	Server    string `json:"server,omitempty"`
	RequestID string `json:"requestId,omitempty"`
	SinceMS   int64  `json:"sinceMs,omitempty"` // inclusive, wall clock in Unix milliseconds
	UntilMS   int64  `json:"untilMs,omitempty"` // inclusive
	// AlsoCodes selects events of these codes between SinceMS and UntilMS, whatever
	// the other fields say.
	AlsoCodes []event.Code `json:"alsoCodes,omitempty"`
}

// WallTimeMS returns the wall-clock part of a hybrid logical clock reading in Unix
// milliseconds, like event.WallTime.
func WallTimeMS(hlc uint64) int64 { return int64(hlc >> 16) }

// Matches reports whether the filter selects e.
func (f Filter) Matches(e event.Event) bool {
	at := WallTimeMS(e.HLC)
	if at < f.SinceMS || (f.UntilMS > 0 && at > f.UntilMS) {
		return false
	}
	if slices.Contains(f.AlsoCodes, e.Code) {
		return true
	}
	return (f.Service == "" || e.Service == f.Service) &&
		(f.Server == "" || e.Server == f.Server) &&
		(f.RequestID == "" || e.RequestID == f.RequestID) &&
		(f.Slice == "" || rangesOverlap(f.Slice, e.Slice)) &&
		(f.Key == "" || matchesKey(e, keyspace.Hash(f.Key)))
}

// matchesKey reports whether e concerns the key with the hash.
func matchesKey(e event.Event, hash uint64) bool {
	if e.KeyHash != "" {
		return e.KeyHash == fmt.Sprintf("%016x", hash)
	}
	if e.Slice == "" {
		return e.Code == event.SlicePlaced // the first placement concerns all keys of the service
	}
	r, ok := ParseRange(e.Slice)
	return ok && r.Contains(hash)
}

func rangesOverlap(a, b string) bool {
	ra, okA := ParseRange(a)
	rb, okB := ParseRange(b)
	return okA && okB && ra.Overlaps(rb)
}

// ParseRange parses the output of keyspace.Range.String. It returns false for a
// malformed or invalid range.
func ParseRange(s string) (keyspace.Range, bool) {
	first, last, ok := strings.Cut(s, "-")
	if !ok {
		return keyspace.Range{}, false
	}
	a, errA := strconv.ParseUint(first, 16, 64)
	b, errB := strconv.ParseUint(last, 16, 64)
	r := keyspace.Range{First: a, Last: b}
	return r, errA == nil && errB == nil && r.Valid()
}

// FilterFromQuery parses the query parameters service, key, slice, server, request,
// since and until. since and until are RFC 3339 times or durations before now, such
// as 10m.
func FilterFromQuery(query url.Values, now time.Time) (Filter, finding.List) {
	var findings finding.List
	f := Filter{
		Service: query.Get("service"), Key: query.Get("key"), Slice: query.Get("slice"),
		Server: query.Get("server"), RequestID: query.Get("request"),
	}
	if f.Key != "" && f.Service == "" {
		findings.Add("query parameter service", "is required with a key, since each service has its own keys")
	}
	if f.Slice != "" {
		if _, ok := ParseRange(f.Slice); !ok {
			findings.Add("query parameter slice", "%q is not a range of two hexadecimal numbers joined by a dash", f.Slice)
		}
	}
	f.SinceMS = parseTimeParameter(query, "since", now, &findings)
	f.UntilMS = parseTimeParameter(query, "until", now, &findings)
	return f, findings
}

// parseTimeParameter returns a time in Unix milliseconds, 0 for a missing one.
func parseTimeParameter(query url.Values, name string, now time.Time, findings *finding.List) int64 {
	value := query.Get(name)
	if value == "" {
		return 0
	}
	if d, err := time.ParseDuration(value); err == nil && d >= 0 {
		return now.Add(-d).UnixMilli()
	}
	at, err := time.Parse(time.RFC3339, value)
	if err != nil {
		findings.Add("query parameter "+name, "%q is neither an RFC 3339 time nor a duration", value)
		return 0
	}
	return at.UnixMilli()
}

// MergeEvents merges the events of several hosts in the order of their hybrid
// logical clocks. Events of one host with equal clocks keep their order.
func MergeEvents(lists ...[]operatorapi.Event) []operatorapi.Event {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, func(a, b operatorapi.Event) int {
		switch {
		case a.HLC < b.HLC:
			return -1
		case a.HLC > b.HLC:
			return 1
		}
		return strings.Compare(a.Host, b.Host)
	})
	return merged
}
