package assignment

import (
	"encoding/json"
	"fmt"
)

// wireMap is the stored form of a Map. Servers are listed once, because a
// service has far more ranges than servers.
type wireMap struct {
	Term     uint64                 `json:"term"`
	Leader   string                 `json:"leader"`
	Sequence uint64                 `json:"seq"`
	Resigned bool                   `json:"resigned,omitempty"`
	Servers  []Incarnation          `json:"servers"`
	Services map[string][]wireRange `json:"services"`
}

// wireRange is the last key, the index of the owner, and the state: one plus the
// index of the previous holder, 0 for a settled range, or wirePending.
type wireRange [3]int

const wirePending = -1

// DecodeError reports a record that is not a map.
type DecodeError struct {
	Offset uint64
	Reason string
}

// Error implements error.
func (e *DecodeError) Error() string {
	return fmt.Sprintf("assignment record at offset %d: %s", e.Offset, e.Reason)
}

// Encode returns the stored form of a map.
func (m *Map) Encode() ([]byte, error) {
	w := wireMap{Term: m.Term, Leader: m.Leader, Sequence: m.Sequence, Resigned: m.Resigned, Services: map[string][]wireRange{}}
	index := map[Incarnation]int{}
	number := func(i Incarnation) int {
		n, ok := index[i]
		if !ok {
			n = len(w.Servers)
			index[i] = n
			w.Servers = append(w.Servers, i)
		}
		return n
	}
	for name, ranges := range m.Services {
		list := make([]wireRange, len(ranges))
		for i, r := range ranges {
			list[i] = wireRange{int(r.To), number(r.Owner), 0}
			switch {
			case r.AwaitsRelease():
				list[i][2] = 1 + number(r.PreviousHolder)
			case r.GrantPending:
				list[i][2] = wirePending
			}
		}
		w.Services[name] = list
	}
	return json.Marshal(w)
}

// DecodeMap reads the stored form of a map. All errors are *DecodeError.
func DecodeMap(data []byte, offset, end uint64) (*Map, error) {
	var w wireMap
	if err := json.Unmarshal(data, &w); err != nil {
		return nil, &DecodeError{Offset: offset, Reason: err.Error()}
	}
	m := &Map{Offset: offset, NextOffset: end, Term: w.Term, Leader: w.Leader, Sequence: w.Sequence, Resigned: w.Resigned, Services: map[string][]Range{}}
	for name, list := range w.Services {
		from := 0
		ranges := make([]Range, 0, len(list))
		for _, r := range list {
			if r[0] < from || r[0] >= KeyCount || r[1] < 0 || r[1] >= len(w.Servers) || r[2] < wirePending || r[2] > len(w.Servers) {
				return nil, &DecodeError{Offset: offset, Reason: fmt.Sprintf("service %q: range up to key %d is not valid", name, r[0])}
			}
			entry := Range{From: uint16(from), To: uint16(r[0]), Owner: w.Servers[r[1]], GrantPending: r[2] == wirePending}
			if r[2] > 0 {
				entry.PreviousHolder = w.Servers[r[2]-1]
			}
			ranges = append(ranges, entry)
			from = r[0] + 1
		}
		m.Services[name] = ranges
	}
	return m, nil
}
