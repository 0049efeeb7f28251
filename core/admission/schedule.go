package admission

import (
	"maps"
	"math"
	"slices"
	"time"

	"parsleyrelay.example/core/keyspace"
)

const (
	// minChargedSlotTime is the lower bound of the slot time that is charged at
	// dispatch and of the time per request in the bounds of the floor credit. It
	// applies before the first response and to very short service times. Finish
	// corrects the charge to the time used.
	minChargedSlotTime = time.Millisecond
	// deadlineMarginFactor is the time to the deadline that a request needs at
	// dispatch, in mean service times. With 3, about 5% of exponentially
	// distributed service times exceed the deadline; with 1, 37%.
	deadlineMarginFactor = 3
	// maxFloorCreditRequests bounds the floor credit that a rank can save up, so
	// that a rank that was idle cannot displace urgent requests in a burst.
	maxFloorCreditRequests = 2
	// maxFloorDebtRequests bounds the negative floor credit, so that one long
	// request does not keep its rank below its floor for long.
	maxFloorDebtRequests = 16
	// maxIdleDebtRequests bounds the negative floor credit from slots that no
	// more urgent request waited for. It is above 0, since otherwise a rank that
	// fills such slots would also keep a positive credit and displace urgent
	// requests in addition.
	maxIdleDebtRequests = 2
	// slotTimeHalfLife is the half-life of the slot time counted per rank. It
	// must be much shorter than the 2 s in which service has to recover after a
	// flood.
	slotTimeHalfLife = 250 * time.Millisecond
)

// dispatchQueued dispatches queued requests up to the concurrency limit.
func (c *Controller) dispatchQueued(now time.Duration) {
	for now >= c.pausedUntil && len(c.running) < c.concurrencyLimit(now) {
		r, displacesMoreUrgent := c.nextRank()
		if r == nil {
			return
		}
		tr := r.pop()
		tr.displacesMoreUrgent = displacesMoreUrgent
		if tr.Deadline <= now || now-tr.arrivedAt > r.cfg.MaxQueueTime {
			c.refuseRequest(now, tr, expiryReason(now, tr))
			continue
		}
		if tr.Deadline-now < c.minTimeToDeadline(tr) {
			c.refuseRequest(now, tr, ReasonDeadlineTooShort)
			continue
		}
		delete(c.queued, tr.ID)
		tr.dispatchedAt = now
		c.running[tr.ID] = tr
		c.chargeExpectedSlotTime(now, tr)
		c.decisions = append(c.decisions, Decision{Action: ActionDispatch, ID: tr.ID})
	}
}

// nextRank returns the rank to serve next: the most urgent rank below its floor,
// else the most urgent rank. It returns nil when no request waits.
// displacesMoreUrgent reports that requests of a more urgent rank wait as well.
func (c *Controller) nextRank() (next *rankState, displacesMoreUrgent bool) {
	var mostUrgent *rankState
	for _, r := range c.ranks {
		if r.length == 0 {
			continue
		}
		if r.floorCredit > 0 {
			return r, mostUrgent != nil
		}
		if mostUrgent == nil {
			mostUrgent = r
		}
	}
	return mostUrgent, false
}

// chargeExpectedSlotTime charges a dispatched request for its expected slot time.
func (c *Controller) chargeExpectedSlotTime(now time.Duration, tr *trackedRequest) {
	tr.chargedSlotTime = max(c.meanServiceTime(tr.rankState), minChargedSlotTime)
	tr.rankState.recentSlotTime.add(now, float64(tr.chargedSlotTime))
	c.updateFloorCredits(tr, tr.chargedSlotTime)
}

// chargeActualSlotTime replaces the expected slot time of a finished request by
// the time that it used. Without it, a rank with long requests would get more
// than its floor.
func (c *Controller) chargeActualSlotTime(tr *trackedRequest, slotTime time.Duration) {
	c.updateFloorCredits(tr, slotTime-tr.chargedSlotTime)
}

// updateFloorCredits accounts for slot time that a request used: every rank with
// a floor gains its share as credit, and the request's rank pays the whole time.
// Only a request that displaced more urgent ones can put its rank deep in debt.
// Otherwise a rank would still be in debt for idle slots that it used earlier when
// a flood of more urgent requests starts. slotTime is negative when the expected
// time was too long.
func (c *Controller) updateFloorCredits(tr *trackedRequest, slotTime time.Duration) {
	for _, r := range c.ranks {
		if r.floorShare == 0 {
			continue
		}
		timePerRequest := max(c.meanServiceTime(r), minChargedSlotTime)
		r.floorCredit += time.Duration(r.floorShare * float64(slotTime))
		switch {
		case r != tr.rankState:
			// Another rank's request: gains only.
		case tr.displacesMoreUrgent:
			r.floorCredit -= slotTime
		case slotTime > 0:
			// No more urgent request waited: pays, but this alone does not take
			// the credit below -maxIdleDebtRequests. A negative correction is
			// not refunded.
			r.floorCredit = max(r.floorCredit-slotTime, min(r.floorCredit, -maxIdleDebtRequests*timePerRequest))
		}
		r.floorCredit = min(max(r.floorCredit, -maxFloorDebtRequests*timePerRequest), maxFloorCreditRequests*timePerRequest)
	}
}

// concurrencyLimit returns how many requests may run at now: at least 1 and at
// most the number of slots.
func (c *Controller) concurrencyLimit(now time.Duration) int {
	limit := math.Min(c.limiter.limit, c.rampUpLimit(now))
	return min(max(int(limit+0.5), 1), c.slots)
}

// rampUpLimit returns the limit that grows from 1 to the slots during the ramp-up.
func (c *Controller) rampUpLimit(now time.Duration) float64 {
	if sinceStart := now - c.rampUpStart; sinceStart < c.rampUpTime {
		return 1 + float64(c.slots-1)*float64(sinceStart)/float64(c.rampUpTime)
	}
	return float64(c.slots)
}

// meanServiceTime returns the mean service time of a rank, or of all ranks while
// the rank has had no response; 0 before the first response of the server.
func (c *Controller) meanServiceTime(r *rankState) time.Duration {
	if r.serviceTimes.count > 0 {
		return r.serviceTimes.mean()
	}
	return c.serviceTimes.mean()
}

// minTimeToDeadline returns the time that must be left until the deadline of a
// request when it is dispatched: deadlineMarginFactor mean service times, but no
// more than half of the time between its arrival and its deadline, so that an
// idle server also gets requests with short deadlines. It is never less than one
// mean service time.
func (c *Controller) minTimeToDeadline(tr *trackedRequest) time.Duration {
	mean := c.meanServiceTime(tr.rankState)
	return min(deadlineMarginFactor*mean, max(mean, (tr.Deadline-tr.arrivedAt)/2))
}

// expectedWait estimates the time until a request of rank r that arrives now
// would be dispatched. The work ahead of it is that queued in its own and in more
// urgent ranks. It is processed with the share of the slots that new requests of
// more urgent ranks and the floors of less urgent ones leave. The work of its own
// rank is processed with at least the rank's floor.
func (c *Controller) expectedWait(now time.Duration, r *rankState) time.Duration {
	limit := float64(c.concurrencyLimit(now))
	var moreUrgentWork, moreUrgentSlots, lessUrgentFloors float64
	moreUrgent := true
	for _, other := range c.ranks {
		work := float64(other.length) * float64(c.meanServiceTime(other))
		switch {
		case other == r:
			moreUrgent = false
		case moreUrgent:
			moreUrgentWork += work
			moreUrgentSlots += other.recentSlotTime.slotsInUse(now)
		case other.length > 0:
			lessUrgentFloors += other.floorShare
		}
	}
	ownWork := float64(r.length) * float64(c.meanServiceTime(r))
	// At least 1%, which bounds the estimate when more urgent ranks use all slots.
	availableShare := math.Max(1-moreUrgentSlots/limit-lessUrgentFloors, 0.01)
	wait := (moreUrgentWork + ownWork) / (limit * availableShare)
	if r.floorShare > 0 {
		wait = math.Min(wait, ownWork/(limit*r.floorShare))
	}
	if len(c.running) >= c.concurrencyLimit(now) {
		wait += float64(c.serviceTimes.mean()) / limit
	}
	return max(time.Duration(wait), c.pausedUntil-now)
}

// Quiesce stops dispatch for a key-hash range, so that the range can be moved to
// another server, and returns an ActionReroute decision for each of its queued
// requests. Requests of the range that are submitted later are rerouted as well,
// until Resume.
func (c *Controller) Quiesce(r keyspace.Range) []Decision {
	c.quiescedRanges = append(c.quiescedRanges, r)
	for _, id := range slices.Sorted(maps.Keys(c.queued)) { // in a fixed order, so that simulations are reproducible
		if tr := c.queued[id]; r.Contains(tr.KeyHash) {
			tr.rankState.remove(tr)
			delete(c.queued, id)
			c.decisions = append(c.decisions, Decision{Action: ActionReroute, ID: id})
		}
	}
	return c.takeDecisions()
}

// Resume ends the quiescing of exactly the given range, for example after an
// aborted move.
func (c *Controller) Resume(r keyspace.Range) {
	for i, other := range c.quiescedRanges {
		if other == r {
			c.quiescedRanges = append(c.quiescedRanges[:i], c.quiescedRanges[i+1:]...)
			return
		}
	}
}

// InFlight returns how many requests of the range are running.
func (c *Controller) InFlight(r keyspace.Range) int {
	count := 0
	for _, tr := range c.running {
		if r.Contains(tr.KeyHash) {
			count++
		}
	}
	return count
}

func (c *Controller) isQuiesced(keyHash uint64) bool {
	for _, r := range c.quiescedRanges {
		if r.Contains(keyHash) {
			return true
		}
	}
	return false
}

// Stats is a snapshot for metrics and status.
type Stats struct {
	ConcurrencyLimit int
	Running          int
	QueuedByRank     map[string]int // by name of the rank
	MeanServiceTime  time.Duration  // over all ranks
	PausedUntil      time.Duration  // end of the last pause for overload
}

// Stats returns a snapshot of the controller at now.
func (c *Controller) Stats(now time.Duration) Stats {
	s := Stats{
		ConcurrencyLimit: c.concurrencyLimit(now),
		Running:          len(c.running),
		QueuedByRank:     make(map[string]int, len(c.ranks)),
		MeanServiceTime:  c.serviceTimes.mean(),
		PausedUntil:      c.pausedUntil,
	}
	for _, r := range c.ranks {
		s.QueuedByRank[r.cfg.Name] = r.length
	}
	return s
}
