package assignment

// RangeUpdate is a range of a newer map that differs from an older one.
type RangeUpdate struct {
	Service string
	Range   Range
}

// Diff returns the ranges of m that are missing from base or differ there.
func (m *Map) Diff(base *Map) []RangeUpdate {
	var updates []RangeUpdate
	for _, service := range sortedKeys(m.Services) {
		old := base.Services[service] // without the ranges that end before the next one of m
		for _, r := range m.Services[service] {
			for len(old) > 0 && old[0].To < r.From {
				old = old[1:]
			}
			if len(old) == 0 || old[0] != r {
				updates = append(updates, RangeUpdate{Service: service, Range: r})
			}
		}
	}
	return updates
}

// ApplyUpdates returns base with updates from a newer map applied. All fields except
// Services are those of metadata. The updates must completely cover every range of
// base that they overlap.
func ApplyUpdates(base *Map, metadata Map, updates []RangeUpdate) *Map {
	m := metadata
	m.Services = map[string][]Range{}
	updatedRanges := map[string][]Range{}
	for _, u := range updates {
		updatedRanges[u.Service] = append(updatedRanges[u.Service], u.Range)
	}
	for service, old := range base.Services {
		m.Services[service] = mergeRanges(old, updatedRanges[service])
		delete(updatedRanges, service)
	}
	for service, ranges := range updatedRanges {
		m.Services[service] = ranges
	}
	return &m
}

// mergeRanges replaces the ranges of old that updated overlaps; both are ordered by
// key.
func mergeRanges(old, updated []Range) []Range {
	if len(updated) == 0 {
		return old
	}
	merged := make([]Range, 0, len(old)+len(updated))
	next := 0
	for _, r := range old {
		for next < len(updated) && updated[next].From <= r.From {
			merged = append(merged, updated[next])
			next++
		}
		if n := len(merged); n > 0 && merged[n-1].To >= r.From {
			continue
		}
		merged = append(merged, r)
	}
	return append(merged, updated[next:]...)
}
