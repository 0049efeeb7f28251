package assignment

// RangeUpdate is a range of a service as a newer map has it.
type RangeUpdate struct {
	Service string
	Range   Range
}

// Diff returns the ranges of m that base does not have in the same form.
func (m *Map) Diff(base *Map) []RangeUpdate {
	var updates []RangeUpdate
	for _, service := range sortedKeys(m.Services) {
		for _, r := range m.Services[service] {
			if old := base.FindRange(service, r.From); old == nil || *old != r {
				updates = append(updates, RangeUpdate{Service: service, Range: r})
			}
		}
	}
	return updates
}

// ApplyUpdates returns base with the updates of a newer map, whose other fields are
// those of head. Together the updates must cover every range that they overlap.
func ApplyUpdates(base *Map, head Map, updates []RangeUpdate) *Map {
	m := head
	m.Services = map[string][]Range{}
	fresh := map[string][]Range{}
	for _, u := range updates {
		fresh[u.Service] = append(fresh[u.Service], u.Range)
	}
	for service, old := range base.Services {
		m.Services[service] = merge(old, fresh[service])
		delete(fresh, service)
	}
	for service, ranges := range fresh {
		m.Services[service] = ranges
	}
	return &m
}

// merge replaces the ranges of old that fresh overlaps; both are ordered by key.
func merge(old, fresh []Range) []Range {
	if len(fresh) == 0 {
		return old
	}
	merged := make([]Range, 0, len(old)+len(fresh))
	next := 0
	for _, r := range old {
		for next < len(fresh) && fresh[next].From <= r.From {
			merged = append(merged, fresh[next])
			next++
		}
		if n := len(merged); n > 0 && merged[n-1].To >= r.From {
			continue
		}
		merged = append(merged, r)
	}
	return append(merged, fresh[next:]...)
}
