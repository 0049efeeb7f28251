package admission

import "time"

// rankQueue holds the waiting requests of one rank, in order of arrival per
// caller; callers take turns.
type rankQueue struct {
	cfg     RankConfig
	floor   float64 // share of the slot time, 0 to 1
	length  int
	callers map[string]*callerQueue
	turns   []*callerQueue // callers with waiting requests; the first is next

	service average // time at the server
	// credit is the slot time that the rank may still use under its floor.
	// Positive credit goes before more urgent ranks.
	credit time.Duration
	usage  decayed // slot time used
}

type callerQueue struct {
	name  string
	items []*item
}

func newRankQueue() *rankQueue {
	return &rankQueue{callers: map[string]*callerQueue{}}
}

func (r *rankQueue) push(it *item) {
	c := r.callers[it.Caller]
	if c == nil {
		c = &callerQueue{name: it.Caller}
		r.callers[it.Caller] = c
		r.turns = append(r.turns, c)
	}
	c.items = append(c.items, it)
	r.length++
}

// pop returns the oldest request of the caller whose turn it is.
func (r *rankQueue) pop() *item {
	c := r.turns[0]
	it := c.items[0]
	c.items[0] = nil
	c.items = c.items[1:]
	r.length--
	r.turns = append(r.turns[:0], r.turns[1:]...)
	if len(c.items) > 0 {
		r.turns = append(r.turns, c)
	} else {
		delete(r.callers, c.name)
	}
	return it
}

func (r *rankQueue) remove(it *item) {
	c := r.callers[it.Caller]
	for i, other := range c.items {
		if other == it {
			c.items = append(c.items[:i], c.items[i+1:]...)
			r.length--
			break
		}
	}
	if len(c.items) == 0 {
		r.dropCaller(c)
	}
}

func (r *rankQueue) dropCaller(c *callerQueue) {
	delete(r.callers, c.name)
	for i, other := range r.turns {
		if other == c {
			r.turns = append(r.turns[:i], r.turns[i+1:]...)
			return
		}
	}
}

func (r *rankQueue) longest() *callerQueue {
	var longest *callerQueue
	for _, c := range r.turns {
		if longest == nil || len(c.items) > len(longest.items) {
			longest = c
		}
	}
	return longest
}

// hasMuchLongerThan reports whether some caller has at least two more requests
// waiting than the given one; with a difference of one, both would take each
// other's place in turn.
func (r *rankQueue) hasMuchLongerThan(caller string) bool {
	own := 0
	if c := r.callers[caller]; c != nil {
		own = len(c.items)
	}
	longest := r.longest()
	return longest != nil && len(longest.items) >= own+2
}

func (r *rankQueue) dropNewestOfLongest() *item {
	c := r.longest()
	it := c.items[len(c.items)-1]
	r.remove(it)
	return it
}

// expired removes and returns the requests that waited too long or whose
// deadline has passed.
func (r *rankQueue) expired(now time.Duration) []*item {
	var gone []*item
	for _, c := range r.turns {
		for _, it := range c.items {
			if it.Deadline <= now || now-it.arrived > r.cfg.MaxQueueTime {
				gone = append(gone, it)
			}
		}
	}
	for _, it := range gone {
		r.remove(it)
	}
	return gone
}
