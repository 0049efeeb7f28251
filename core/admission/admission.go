// Package admission decides when the requests for one backend server are
// dispatched and which of them are refused. It runs in the daemon that is
// currently responsible for the server, its home. A Controller
//   - queues requests by rank (priority class) and, within a rank, serves the
//     callers in round-robin order;
//   - guarantees each rank a floor, its minimum share of the server's slots,
//     even when more urgent ranks are flooded;
//   - refuses requests early that cannot meet their deadline;
//   - limits the requests in flight by observed latency and errors.
//
// It does no I/O and starts no goroutines; time is passed in as monotonic time
// since process start.
package admission

import (
	"sort"
	"time"

	"parsleyrelay.example/core/keyspace"
)

// Reason says why a request was refused. A refused request was never sent.
type Reason string

// The reasons for a refusal.
const (
	ReasonUnknownRank      Reason = "unknown_rank"
	ReasonQueueFull        Reason = "queue_full"
	ReasonQueueTimeout     Reason = "queue_timeout"
	ReasonDeadlineTooShort Reason = "deadline_short" // the deadline has not passed, but cannot be met
	ReasonPastDeadline     Reason = "past_deadline"
	ReasonOverloaded       Reason = "overloaded" // dispatch is paused after the server refused for overload; not set by Controller
)

// Action says what to do with a request.
type Action int

// The actions of a Decision.
const (
	ActionDispatch Action = iota + 1 // send it to the server, then call Finish
	ActionRefuse                     // respond that it did not run
	ActionReroute                    // look its route up again; its key range is being moved
)

// Decision tells the daemon what to do with one request. Reason and RetryAfter
// are set for ActionRefuse; a RetryAfter of 0 means that no estimate is available.
type Decision struct {
	Action     Action
	ID         uint64
	Reason     Reason
	RetryAfter time.Duration
}

// Request is a request for the server. ID is chosen by the daemon and must be
// unique among the queued and running requests of the Controller.
type Request struct {
	ID       uint64
	Rank     string
	Caller   string        // unit of fairness within a rank
	KeyHash  uint64        // hash of the request's key, tested against key-hash ranges
	Deadline time.Duration // absolute, on the same clock as now
}

// Outcome says how a dispatched request ended.
type Outcome int

// The outcomes of a dispatched request. OutcomeOK, OutcomeError and
// OutcomeTimeout are samples for the concurrency limit, and OutcomeOverload
// lowers it directly; OutcomeRefused and OutcomeCanceled do not affect it.
const (
	OutcomeOK       Outcome = iota + 1
	OutcomeError            // failed at the server, connection lost, or connect failed
	OutcomeTimeout          // no response by the deadline
	OutcomeOverload         // the server refused for overload
	OutcomeRefused          // the server refused because of its ownership checks (no grant, draining, other term)
	OutcomeCanceled         // never sent, or the caller went away
)

// Result reports the end of a dispatched request.
type Result struct {
	Outcome Outcome
	// ServiceTime is the time that the server took; 0 means the time since dispatch.
	// The daemon sets it when a slow caller may have occupied the slot for longer.
	ServiceTime time.Duration
}

// RankConfig configures one priority class.
type RankConfig struct {
	Name           string
	Level          int           // 0 is the most urgent
	FloorPercent   int           // minimum share of the slots while other ranks are overloaded
	MaxQueueLength int           // requests; 0 means DefaultMaxQueueLength
	MaxQueueTime   time.Duration // 0 means DefaultMaxQueueTime
}

// Config configures a Controller.
type Config struct {
	Slots      int // requests that the server can run concurrently
	Ranks      []RankConfig
	RampUpTime time.Duration // time until a cold server gets its full limit; 0 means DefaultRampUpTime, negative no ramp-up
}

// Defaults and bounds of Config.
const (
	DefaultMaxQueueLength = 128
	DefaultMaxQueueTime   = 2 * time.Second
	DefaultRampUpTime     = 3 * time.Second
	// MaxTotalFloorPercent bounds the sum of all floors, so that floors never
	// starve the most urgent rank. Larger sums are scaled down.
	MaxTotalFloorPercent = 50
)

// After the server refused a request for overload, dispatch pauses: first for
// MinOverloadPause, then each time for twice as long, up to MaxOverloadPause,
// until a request that was dispatched after the pause succeeds.
const (
	MinOverloadPause = 20 * time.Millisecond
	MaxOverloadPause = time.Second
)

// trackedRequest is a request from its submission to its end.
type trackedRequest struct {
	Request
	arrivedAt           time.Duration
	dispatchedAt        time.Duration
	rankState           *rankState
	chargedSlotTime     time.Duration // expected slot time, charged to the rank at dispatch
	displacesMoreUrgent bool          // dispatched for its rank's floor while more urgent requests waited
}

// Controller is the admission controller of one server. It is not safe for
// concurrent use. Slot time is the time for which a request occupies one of the
// server's slots.
type Controller struct {
	slots          int
	rampUpTime     time.Duration
	rampUpStart    time.Duration
	ranks          []*rankState // most urgent first
	ranksByName    map[string]*rankState
	queued         map[uint64]*trackedRequest
	running        map[uint64]*trackedRequest
	limiter        limiter
	serviceTimes   movingAverage // over all ranks
	quiescedRanges []keyspace.Range

	pausedUntil time.Duration
	nextPause   time.Duration
	decisions   []Decision // collected during the current call
}

// New returns the controller of a server that is cold, so that its ramp-up
// starts at now.
func New(now time.Duration, cfg Config) *Controller {
	c := &Controller{
		ranksByName: map[string]*rankState{},
		queued:      map[uint64]*trackedRequest{},
		running:     map[uint64]*trackedRequest{},
		rampUpStart: now,
		nextPause:   MinOverloadPause,
	}
	c.applyConfig(cfg)
	return c
}

// Reconfigure applies a changed configuration. Queued requests stay queued,
// except those of ranks that no longer exist and those beyond a shorter queue.
func (c *Controller) Reconfigure(now time.Duration, cfg Config) []Decision {
	previous := c.ranks
	c.applyConfig(cfg)
	for _, r := range previous {
		if c.ranksByName[r.cfg.Name] == r {
			for r.length > r.cfg.MaxQueueLength {
				c.refuseRequest(now, r.removeNewestOfLongestCallerQueue(), ReasonQueueFull)
			}
			continue
		}
		for r.length > 0 {
			c.refuseRequest(now, r.removeNewestOfLongestCallerQueue(), ReasonUnknownRank)
		}
	}
	c.dispatchQueued(now)
	return c.takeDecisions()
}

func (c *Controller) applyConfig(cfg Config) {
	c.slots = max(cfg.Slots, 1)
	c.limiter.setSlots(c.slots)
	c.rampUpTime = cfg.RampUpTime
	if c.rampUpTime == 0 {
		c.rampUpTime = DefaultRampUpTime
	}
	ranks := append([]RankConfig(nil), cfg.Ranks...)
	sort.SliceStable(ranks, func(i, j int) bool { return ranks[i].Level < ranks[j].Level })
	floorSum := 0
	for _, r := range ranks {
		floorSum += max(r.FloorPercent, 0)
	}
	floorScale := 1.0
	if floorSum > MaxTotalFloorPercent {
		floorScale = float64(MaxTotalFloorPercent) / float64(floorSum)
	}
	ranksByName := make(map[string]*rankState, len(ranks))
	c.ranks = c.ranks[:0:0]
	for _, r := range ranks {
		if r.MaxQueueLength <= 0 {
			r.MaxQueueLength = DefaultMaxQueueLength
		}
		if r.MaxQueueTime <= 0 {
			r.MaxQueueTime = DefaultMaxQueueTime
		}
		state := c.ranksByName[r.Name]
		if state == nil {
			state = newRankState()
		}
		state.cfg = r
		state.floorShare = floorScale * float64(max(r.FloorPercent, 0)) / 100
		ranksByName[r.Name] = state
		c.ranks = append(c.ranks, state)
	}
	c.ranksByName = ranksByName
}

// Submit queues, dispatches, refuses or reroutes a request. The decisions may
// concern other requests too; a request without a decision is queued.
func (c *Controller) Submit(now time.Duration, req Request) []Decision {
	tr := &trackedRequest{Request: req, arrivedAt: now}
	r := c.ranksByName[req.Rank]
	switch {
	case r == nil:
		c.refuseRequest(now, tr, ReasonUnknownRank)
		return c.takeDecisions()
	case c.isQuiesced(req.KeyHash):
		c.decisions = append(c.decisions, Decision{Action: ActionReroute, ID: req.ID})
		return c.takeDecisions()
	case req.Deadline <= now:
		c.refuseRequest(now, tr, ReasonPastDeadline)
		return c.takeDecisions()
	}
	tr.rankState = r
	if now+c.expectedWait(now, r)+c.minTimeToDeadline(tr) > req.Deadline {
		c.refuseRequest(now, tr, ReasonDeadlineTooShort)
		return c.takeDecisions()
	}
	if r.length >= r.cfg.MaxQueueLength {
		// A caller with a short queue may take the place of the newest request
		// of the caller with the longest one, so that one caller cannot fill
		// the queue of a rank against all others.
		if !r.canDisplaceRequestFor(req.Caller) {
			c.refuseRequest(now, tr, ReasonQueueFull)
			return c.takeDecisions()
		}
		c.refuseRequest(now, r.removeNewestOfLongestCallerQueue(), ReasonQueueFull)
	}
	r.push(tr)
	c.queued[tr.ID] = tr
	c.dispatchQueued(now)
	return c.takeDecisions()
}

// Finish records the end of a dispatched request and dispatches queued ones.
// Unknown ids are ignored.
func (c *Controller) Finish(now time.Duration, id uint64, res Result) []Decision {
	tr := c.running[id]
	if tr == nil {
		return nil
	}
	delete(c.running, id)
	slotTime := now - tr.dispatchedAt
	c.chargeActualSlotTime(tr, slotTime)
	serviceTime := res.ServiceTime
	if serviceTime <= 0 {
		serviceTime = slotTime
	}
	c.limiter.rampUpLimit = c.rampUpLimit(now)
	switch res.Outcome {
	case OutcomeOK:
		c.serviceTimes.add(serviceTime)
		tr.rankState.serviceTimes.add(serviceTime)
		c.limiter.observe(serviceTime, true)
		if tr.dispatchedAt >= c.pausedUntil {
			c.nextPause = MinOverloadPause // requests from before the pause say nothing about the load after it
		}
	case OutcomeError:
		c.limiter.observe(serviceTime, false)
	case OutcomeTimeout:
		// The request may have spent most of its time in the queue, so a timeout
		// does not count as an error of the server. The service time so far is a
		// lower bound of its latency.
		c.limiter.observe(serviceTime, true)
	case OutcomeOverload:
		c.limiter.observeOverload()
		if c.pausedUntil <= now {
			c.pausedUntil = now + c.nextPause
			c.nextPause = min(2*c.nextPause, MaxOverloadPause)
		}
	}
	c.dispatchQueued(now)
	return c.takeDecisions()
}

// Cancel removes a queued request, for example because its caller went away. It
// reports false when the request is not queued (running or unknown).
func (c *Controller) Cancel(id uint64) bool {
	tr := c.queued[id]
	if tr == nil {
		return false
	}
	tr.rankState.remove(tr)
	delete(c.queued, id)
	return true
}

// Tick does the work that depends on time only: it refuses requests that waited
// too long and dispatches queued ones after a pause or when the ramp-up raises
// the limit. The daemon calls it about every 10 ms.
func (c *Controller) Tick(now time.Duration) []Decision {
	for _, r := range c.ranks {
		for _, tr := range r.removeExpired(now) {
			c.refuseRequest(now, tr, expiryReason(now, tr))
		}
	}
	c.dispatchQueued(now)
	return c.takeDecisions()
}

// ResetForColdServer starts the ramp-up again and resets the concurrency limit, the
// pause and the mean service times. The daemon calls it when the server has a new
// instance, since what was learned about the old instance does not apply to the new
// one, and when it has just become the server's home. Floor credits are kept.
func (c *Controller) ResetForColdServer(now time.Duration) {
	c.rampUpStart = now
	c.limiter = limiter{}
	c.limiter.setSlots(c.slots)
	c.serviceTimes = movingAverage{}
	for _, r := range c.ranks {
		r.serviceTimes = movingAverage{}
	}
	c.pausedUntil = 0
	c.nextPause = MinOverloadPause
}

// ReportServerQueueLength records the length of the server's own queue, as the
// server reported it. A non-empty queue only slows the growth of the limit,
// since such reports can be late or wrong.
func (c *Controller) ReportServerQueueLength(queued int) {
	c.limiter.serverReportsQueue = queued > 0
}

func expiryReason(now time.Duration, tr *trackedRequest) Reason {
	if tr.Deadline <= now {
		return ReasonPastDeadline
	}
	return ReasonQueueTimeout
}

func (c *Controller) refuseRequest(now time.Duration, tr *trackedRequest, reason Reason) {
	delete(c.queued, tr.ID)
	d := Decision{Action: ActionRefuse, ID: tr.ID, Reason: reason}
	if tr.rankState != nil && reason != ReasonPastDeadline {
		d.RetryAfter = c.expectedWait(now, tr.rankState)
	}
	c.decisions = append(c.decisions, d)
}

func (c *Controller) takeDecisions() []Decision {
	out := c.decisions
	c.decisions = nil
	return out
}
