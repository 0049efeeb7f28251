package assignment

import (
	"encoding/json"
	"fmt"
)

// storedMap is the stored form of a Map. Servers are listed once, because a
// service has far more ranges than servers.
type storedMap struct {
	Era      uint64                   `json:"era,omitempty"`
	Term     uint64                   `json:"term"`
	Leader   string                   `json:"leader"`
	Sequence uint64                   `json:"seq"`
	Resigned bool                     `json:"resigned,omitempty"`
	Earlier  []string                 `json:"earlier"` // EarlierLeaders; earlier versions do not store it
	Servers  []ServerIncarnation      `json:"servers"`
	Services map[string][]storedRange `json:"services"`
}

// storedRange is the stored form of a Range: the last key, the index of the owner
// in storedMap.Servers, the state, and Range.Move. The state is 0 for a settled range,
// storedGrantPending, or one plus the index of the previous holder. Earlier versions
// store no move.
type storedRange [4]int64

// storedGrantPending is the state of a range with Range.GrantPending.
const storedGrantPending = -1

// DecodeError reports a log record that is not a valid map.
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
	stored := storedMap{Era: m.Era, Term: m.Term, Leader: m.Leader, Sequence: m.Sequence, Resigned: m.Resigned, Earlier: append([]string{}, m.EarlierLeaders...), Services: map[string][]storedRange{}}
	indexes := map[ServerIncarnation]int{}
	serverIndex := func(i ServerIncarnation) int {
		n, ok := indexes[i]
		if !ok {
			n = len(stored.Servers)
			indexes[i] = n
			stored.Servers = append(stored.Servers, i)
		}
		return n
	}
	for name, ranges := range m.Services {
		list := make([]storedRange, len(ranges))
		for i, r := range ranges {
			list[i] = storedRange{int64(r.To), int64(serverIndex(r.Owner)), 0, int64(r.Move)}
			switch {
			case r.AwaitsRelease():
				list[i][2] = 1 + int64(serverIndex(r.PreviousHolder))
			case r.GrantPending:
				list[i][2] = storedGrantPending
			}
		}
		stored.Services[name] = list
	}
	return json.Marshal(stored)
}

// DecodeMap decodes the map stored at a log offset. All errors are *DecodeError.
func DecodeMap(data []byte, offset, nextOffset uint64) (*Map, error) {
	var stored storedMap
	if err := json.Unmarshal(data, &stored); err != nil {
		return nil, &DecodeError{Offset: offset, Reason: err.Error()}
	}
	m := &Map{Offset: offset, NextOffset: nextOffset, Era: stored.Era, Term: stored.Term, Leader: stored.Leader, Sequence: stored.Sequence, Resigned: stored.Resigned, Services: map[string][]Range{}}
	switch {
	case len(stored.Earlier) > 0:
		m.EarlierLeaders = stored.Earlier
	case stored.Earlier == nil && stored.Term > firstTerm:
		m.EarlierLeaders = []string{unknownLeader}
	}
	for name, list := range stored.Services {
		from := int64(0)
		ranges := make([]Range, 0, len(list))
		for _, r := range list {
			if r[0] < from || r[0] >= KeyCount || r[1] < 0 || r[1] >= int64(len(stored.Servers)) || r[2] < storedGrantPending || r[2] > int64(len(stored.Servers)) || r[3] < 0 {
				return nil, &DecodeError{Offset: offset, Reason: fmt.Sprintf("service %q: invalid range that ends at key %d", name, r[0])}
			}
			decoded := Range{From: uint16(from), To: uint16(r[0]), Owner: stored.Servers[r[1]], GrantPending: r[2] == storedGrantPending, Move: uint64(r[3])}
			if r[2] > 0 {
				decoded.PreviousHolder = stored.Servers[r[2]-1]
			}
			ranges = append(ranges, decoded)
			from = r[0] + 1
		}
		if from != KeyCount {
			return nil, &DecodeError{Offset: offset, Reason: fmt.Sprintf("service %q: no range for the keys from %d on", name, from)}
		}
		m.Services[name] = ranges
	}
	return m, nil
}
