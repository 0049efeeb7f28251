package assignment

import "slices"

// Changes is the history of a map: the newest map and, for each of the maps before it, the
// keys whose ranges changed next. It is much smaller than the maps. The zero value has no
// map. It is not safe for concurrent use.
type Changes struct {
	newest *Map
	steps  []changeStep // oldest first
}

// changeStep is the change from one map to the next.
type changeStep struct {
	from    uint64 // NextOffset of the former map
	changed []keySpan
}

// keySpan is a range of keys of a service.
type keySpan struct {
	service  string
	from, to uint16 // both inclusive
}

// maxChangeSteps limits the history. A full history is cut to its newer half.
const maxChangeSteps = 64

// Newest returns the newest map, or nil.
func (c *Changes) Newest() *Map { return c.newest }

// Add adds a map that is newer than the newest one. It must not be changed afterwards.
func (c *Changes) Add(m *Map) {
	if c.newest != nil {
		step := changeStep{from: c.newest.NextOffset}
		for _, u := range m.Diff(c.newest) {
			step.changed = append(step.changed, keySpan{u.Service, u.Range.From, u.Range.To})
		}
		if len(c.steps) == maxChangeSteps {
			c.steps = append(c.steps[:0], c.steps[maxChangeSteps/2:]...)
		}
		c.steps = append(c.steps, step)
	}
	c.newest = m
}

// Since returns the ranges of the newest map that changed since the map with a NextOffset,
// in the form that ApplyUpdates takes. It returns false if the history does not reach back
// to that map.
//
// A step changes whole ranges: those of both maps that differ cover the same keys. So a
// range of the newest map lies in the changed keys of a step or has none of them.
func (c *Changes) Since(nextOffset uint64) ([]RangeUpdate, bool) {
	if c.newest != nil && c.newest.NextOffset == nextOffset {
		return nil, true
	}
	first := slices.IndexFunc(c.steps, func(s changeStep) bool { return s.from == nextOffset })
	if first < 0 {
		return nil, false
	}
	changed := map[string]map[uint16]bool{} // first keys of ranges, by service
	for _, step := range c.steps[first:] {
		for _, span := range step.changed {
			ranges := c.newest.Services[span.service]
			if changed[span.service] == nil {
				changed[span.service] = map[uint16]bool{}
			}
			for i := indexOfKey(ranges, span.from); i < len(ranges) && ranges[i].From <= span.to; i++ {
				changed[span.service][ranges[i].From] = true
			}
		}
	}
	var updates []RangeUpdate
	for _, service := range sortedKeys(changed) {
		for _, r := range c.newest.Services[service] {
			if changed[service][r.From] {
				updates = append(updates, RangeUpdate{Service: service, Range: r})
			}
		}
	}
	return updates, true
}
