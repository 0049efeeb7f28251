package admission

import "time"

// rankState holds the waiting requests of one rank and the slot time that the rank
// has used. Each caller's requests are in order of arrival, and the callers are
// served in round-robin order.
type rankState struct {
	cfg           RankConfig
	floorShare    float64 // minimum share of the slot time, 0 to 1
	length        int
	callersByName map[string]*callerQueue
	roundRobin    []*callerQueue // callers with waiting requests; the first is next

	serviceTimes movingAverage
	// floorCredit is the slot time by which the rank is below its floor; it is
	// negative after the rank used more. A rank with positive credit is served
	// before more urgent ranks.
	floorCredit    time.Duration
	recentSlotTime decayedSlotTime // expected slot time of the dispatched requests
}

// callerQueue holds the waiting requests of one caller within a rank.
type callerQueue struct {
	name     string
	requests []*trackedRequest
}

func newRankState() *rankState {
	return &rankState{callersByName: map[string]*callerQueue{}}
}

func (r *rankState) push(tr *trackedRequest) {
	c := r.callersByName[tr.Caller]
	if c == nil {
		c = &callerQueue{name: tr.Caller}
		r.callersByName[tr.Caller] = c
		r.roundRobin = append(r.roundRobin, c)
	}
	c.requests = append(c.requests, tr)
	r.length++
}

// pop removes and returns the oldest request of the caller whose turn it is.
func (r *rankState) pop() *trackedRequest {
	c := r.roundRobin[0]
	tr := c.requests[0]
	c.requests[0] = nil
	c.requests = c.requests[1:]
	r.length--
	r.roundRobin = append(r.roundRobin[:0], r.roundRobin[1:]...)
	if len(c.requests) > 0 {
		r.roundRobin = append(r.roundRobin, c)
	} else {
		delete(r.callersByName, c.name)
	}
	return tr
}

func (r *rankState) remove(tr *trackedRequest) {
	c := r.callersByName[tr.Caller]
	for i, other := range c.requests {
		if other == tr {
			c.requests = append(c.requests[:i], c.requests[i+1:]...)
			r.length--
			break
		}
	}
	if len(c.requests) == 0 {
		r.removeCaller(c)
	}
}

func (r *rankState) removeCaller(c *callerQueue) {
	delete(r.callersByName, c.name)
	for i, other := range r.roundRobin {
		if other == c {
			r.roundRobin = append(r.roundRobin[:i], r.roundRobin[i+1:]...)
			return
		}
	}
}

func (r *rankState) longestCallerQueue() *callerQueue {
	var longest *callerQueue
	for _, c := range r.roundRobin {
		if longest == nil || len(c.requests) > len(longest.requests) {
			longest = c
		}
	}
	return longest
}

// canDisplaceRequestFor reports whether a request of the given caller may displace
// one of the caller with the longest queue, which must have at least two more
// requests waiting. If a difference of one were enough, two callers would displace
// each other's requests in turn.
func (r *rankState) canDisplaceRequestFor(caller string) bool {
	ownLength := 0
	if c := r.callersByName[caller]; c != nil {
		ownLength = len(c.requests)
	}
	longest := r.longestCallerQueue()
	return longest != nil && len(longest.requests) >= ownLength+2
}

func (r *rankState) removeNewestOfLongestCallerQueue() *trackedRequest {
	c := r.longestCallerQueue()
	tr := c.requests[len(c.requests)-1]
	r.remove(tr)
	return tr
}

// removeExpired removes and returns the requests that waited too long or whose
// deadline has passed.
func (r *rankState) removeExpired(now time.Duration) []*trackedRequest {
	var expired []*trackedRequest
	for _, c := range r.roundRobin {
		for _, tr := range c.requests {
			if tr.Deadline <= now || now-tr.arrivedAt > r.cfg.MaxQueueTime {
				expired = append(expired, tr)
			}
		}
	}
	for _, tr := range expired {
		r.remove(tr)
	}
	return expired
}
