package admission

import (
	"maps"
	"math"
	"slices"
	"time"

	"parsleyrelay.example/core/keyspace"
)

const (
	// nominalServiceTime stands in until the first response; it only scales
	// the floor credit, which Finish corrects to the real time.
	nominalServiceTime = time.Millisecond
	// marginFactor is the time left at dispatch in mean service times. With 3,
	// about 5% of exponential service times exceed the deadline; with 1, 37%.
	marginFactor = 3
	// maxCredit bounds what a rank may save up under its floor, in requests, so
	// that a rank that was idle cannot displace urgent work in a burst.
	maxCredit = 2
	// maxDebt bounds how far one long request can push a rank under its floor.
	maxDebt = 16
	// maxIdleDebt, in requests, is what a rank can owe for idle slots. Without
	// any, a rank that floods idle slots would go before urgent work in addition.
	maxIdleDebt = 2
	// usageHalfLife is the memory of the slot time used per rank. It must be
	// short against the 2 s in which service has to recover after a flood.
	usageHalfLife = 250 * time.Millisecond
)

// dispatch starts waiting requests while the limit allows it.
func (q *Controller) dispatch(now time.Duration) {
	for now >= q.pausedUntil && len(q.running) < q.limit(now) {
		r, contended := q.pick()
		if r == nil {
			return
		}
		it := r.pop()
		it.contended = contended
		if it.Deadline <= now || now-it.arrived > r.cfg.MaxQueueTime {
			q.refuse(now, it, expiryReason(now, it))
			continue
		}
		if it.Deadline-now < q.timeNeeded(it) {
			q.refuse(now, it, ReasonDeadlineTooShort)
			continue
		}
		delete(q.queued, it.ID)
		it.dispatched = now
		q.running[it.ID] = it
		q.charge(now, it)
		q.out = append(q.out, Decision{Action: ActionDispatch, ID: it.ID})
	}
}

// pick returns the rank to serve next: one below its floor, else the most
// urgent. It returns nil when nothing waits. contended tells that more urgent
// work waits as well.
func (q *Controller) pick() (next *rankQueue, contended bool) {
	var first *rankQueue
	for _, r := range q.ranks {
		if r.length == 0 {
			continue
		}
		if r.credit > 0 {
			return r, first != nil
		}
		if first == nil {
			first = r
		}
	}
	return first, false
}

// charge books the expected slot time of a request that starts: every rank with
// a floor earns its share, and the request's rank pays. Only a request that went
// before more urgent work can put its rank deep in debt; otherwise a rank would enter
// a flood in debt for the idle slots that it used before.
func (q *Controller) charge(now time.Duration, it *item) {
	it.charged = max(q.serviceTime(it.rank), nominalServiceTime)
	it.rank.usage.add(now, float64(it.charged))
	q.book(it, it.charged)
}

// settle corrects charge to the slot time that the request really used. Without
// it a rank with long requests would get more than its floor.
func (q *Controller) settle(it *item, held time.Duration) {
	q.book(it, held-it.charged)
}

func (q *Controller) book(it *item, used time.Duration) {
	for _, r := range q.ranks {
		if r.floor == 0 {
			continue
		}
		unit := max(q.serviceTime(r), nominalServiceTime)
		r.credit += time.Duration(r.floor * float64(used))
		switch {
		case r != it.rank:
		case it.contended:
			r.credit -= used
		case used > 0:
			r.credit = max(r.credit-used, min(r.credit, -maxIdleDebt*unit))
		}
		r.credit = min(max(r.credit, -maxDebt*unit), maxCredit*unit)
	}
}

// limit returns how many requests may run at now: at least 1, at most the slots.
func (q *Controller) limit(now time.Duration) int {
	limit := q.limiter.limit
	if age := now - q.coldAt; age < q.rampUp {
		ceiling := 1 + float64(q.slots-1)*float64(age)/float64(q.rampUp)
		limit = math.Min(limit, ceiling)
	}
	return min(max(int(limit+0.5), 1), q.slots)
}

// serviceTime returns the mean time at the server, 0 before the first response.
func (q *Controller) serviceTime(r *rankQueue) time.Duration {
	if r.service.count > 0 {
		return r.service.mean()
	}
	return q.service.mean()
}

// timeNeeded returns the time that must be left until the deadline of a request
// when it is dispatched: marginFactor service times, but no more than half of
// the time that it was given, so that short deadlines are tried on an idle server.
func (q *Controller) timeNeeded(it *item) time.Duration {
	mean := q.serviceTime(it.rank)
	return min(marginFactor*mean, max(mean, (it.Deadline-it.arrived)/2))
}

// expectedWait estimates the time until a request of rank r that arrives now
// would be dispatched. The work ahead of it is that of its own and more urgent
// queues; it drains with the share of the slots that more urgent arrivals
// leave, which is at least the rank's floor.
func (q *Controller) expectedWait(now time.Duration, r *rankQueue) time.Duration {
	limit := float64(q.limit(now))
	var ahead, urgentUse, floors float64
	urgent := true
	for _, other := range q.ranks {
		work := float64(other.length) * float64(q.serviceTime(other))
		switch {
		case other == r:
			urgent = false
		case urgent:
			ahead += work
			urgentUse += other.usage.rate(now)
		case other.length > 0:
			floors += other.floor
		}
	}
	own := float64(r.length) * float64(q.serviceTime(r))
	share := math.Max(1-urgentUse/limit-floors, 0.01)
	wait := (ahead + own) / (limit * share)
	if r.floor > 0 {
		wait = math.Min(wait, own/(limit*r.floor))
	}
	if len(q.running) >= q.limit(now) {
		wait += float64(q.service.mean()) / limit
	}
	return max(time.Duration(wait), q.pausedUntil-now)
}

// Quiesce stops dispatch for a key-hash range and returns a Reroute decision
// for each of its queued requests. Requests of the range that are submitted
// later are rerouted as well, until Resume.
func (q *Controller) Quiesce(r keyspace.Range) []Decision {
	q.quiesced = append(q.quiesced, r)
	for _, id := range slices.Sorted(maps.Keys(q.queued)) { // a fixed order, so that runs can be repeated
		if it := q.queued[id]; r.Contains(it.KeyHash) {
			it.rank.remove(it)
			delete(q.queued, id)
			q.out = append(q.out, Decision{Action: ActionReroute, ID: id})
		}
	}
	return q.take()
}

// Resume ends the quiescing of exactly the given range, for example after an
// aborted move.
func (q *Controller) Resume(r keyspace.Range) {
	for i, other := range q.quiesced {
		if other == r {
			q.quiesced = append(q.quiesced[:i], q.quiesced[i+1:]...)
			return
		}
	}
}

// InFlight returns how many requests of the range are running.
func (q *Controller) InFlight(r keyspace.Range) int {
	n := 0
	for _, it := range q.running {
		if r.Contains(it.KeyHash) {
			n++
		}
	}
	return n
}

func (q *Controller) isQuiesced(hash uint64) bool {
	for _, r := range q.quiesced {
		if r.Contains(hash) {
			return true
		}
	}
	return false
}

// Stats is a snapshot for metrics and status.
type Stats struct {
	ConcurrencyLimit int
	Running          int
	QueuedByRank     map[string]int // by rank
	MeanServiceTime  time.Duration  // mean
	PausedUntil      time.Duration
}

// Stats returns a snapshot.
func (q *Controller) Stats(now time.Duration) Stats {
	s := Stats{
		ConcurrencyLimit: q.limit(now),
		Running:          len(q.running),
		QueuedByRank:     make(map[string]int, len(q.ranks)),
		MeanServiceTime:  q.service.mean(),
		PausedUntil:      q.pausedUntil,
	}
	for _, r := range q.ranks {
		s.QueuedByRank[r.cfg.Name] = r.length
	}
	return s
}
