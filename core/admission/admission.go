// Package admission is the admission policy of one backend server at its home:
// rank queues with floors and fairness between callers, early refusal, and a
// concurrency limit that follows latency and errors. It does no I/O and starts
// no goroutines; time is passed in as monotonic time since process start.
package admission

import (
	"sort"
	"time"

	"parsleyrelay.example/core/keyspace"
)

// Reason says why a request was refused. A refused request was never sent.
type Reason string

// The reasons.
const (
	ReasonUnknownRank      Reason = "unknown_rank"
	ReasonQueueFull        Reason = "queue_full"
	ReasonQueueTimeout     Reason = "queue_timeout"
	ReasonDeadlineTooShort Reason = "deadline_short" // the deadline lies ahead and cannot be met
	ReasonPastDeadline     Reason = "past_deadline"
	ReasonOverloaded       Reason = "overloaded" // the server refused for overload and dispatch is paused
)

// Action says what to do with a request.
type Action int

// The actions.
const (
	ActionDispatch Action = iota + 1 // send it to the server, then call Finish
	ActionRefuse                     // respond that it did not run
	ActionReroute                    // look its route up again; its key range is being moved
)

// Decision is an instruction about one request. Reason and RetryAfter are set
// for Refuse; a RetryAfter of 0 means that no useful time is known.
type Decision struct {
	Action     Action
	ID         uint64
	Reason     Reason
	RetryAfter time.Duration
}

// Request is a request for the server. ID is chosen by the daemon and must be
// unique among the requests that the queue holds or runs.
type Request struct {
	ID       uint64
	Rank     string
	Caller   string        // unit of fairness within a rank
	KeyHash  uint64        // key hash
	Deadline time.Duration // absolute, on the same clock as now
}

// Outcome says how a dispatched request ended.
type Outcome int

// The outcomes. Only OutcomeOK, OutcomeError and OutcomeTimeout inform the concurrency limit about
// the server; OutcomeCanceled says nothing about it.
const (
	OutcomeOK       Outcome = iota + 1
	OutcomeError            // failed at the server, connection lost, or connect failed
	OutcomeTimeout          // no response by the deadline
	OutcomeOverload         // the server refused for overload
	OutcomeRefused          // the server refused under its fence (no grant, draining, term)
	OutcomeCanceled         // never sent, or the caller went away
)

// Result reports the end of a dispatched request.
type Result struct {
	Outcome Outcome
	// ServiceTime is the time that the server took; 0 means the time since dispatch.
	// The daemon sets it when a slow caller held the request up.
	ServiceTime time.Duration
}

// RankConfig configures one priority class.
type RankConfig struct {
	Name           string
	Level          int           // 0 is the most urgent
	FloorPercent   int           // share of the slots that it keeps in a flood
	MaxQueueLength int           // requests; 0 means DefaultMaxQueueLength
	MaxQueueTime   time.Duration // 0 means DefaultMaxQueueTime
}

// Config configures a Queue.
type Config struct {
	Slots      int // requests that the server runs at a time
	Ranks      []RankConfig
	RampUpTime time.Duration // time in which a cold server gets its full limit; 0 means DefaultRampUp, negative none
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

// Pauses after the server refused for overload: the first lasts MinOverloadPause, and
// each further one twice as long as the one before until a request succeeds.
const (
	MinOverloadPause = 20 * time.Millisecond
	MaxOverloadPause = time.Second
)

type item struct {
	Request
	arrived    time.Duration
	dispatched time.Duration
	rank       *rankQueue
	charged    time.Duration // slot time booked at dispatch
	contended  bool          // dispatched before more urgent work, under the floor
}

// Controller is the admission state of one server.
type Controller struct {
	slots    int
	rampUp   time.Duration
	coldAt   time.Duration
	ranks    []*rankQueue // most urgent first
	byName   map[string]*rankQueue
	queued   map[uint64]*item
	running  map[uint64]*item
	limiter  limiter
	service  average // time at the server over all ranks
	quiesced []keyspace.Range

	pausedUntil time.Duration
	nextPause   time.Duration
	out         []Decision
}

// New returns the queue of a server that is cold at now.
func New(now time.Duration, cfg Config) *Controller {
	q := &Controller{
		byName:    map[string]*rankQueue{},
		queued:    map[uint64]*item{},
		running:   map[uint64]*item{},
		coldAt:    now,
		nextPause: MinOverloadPause,
	}
	q.configure(cfg)
	return q
}

// Reconfigure applies a changed configuration. Queued requests stay queued,
// except those of ranks that no longer exist and those beyond a shorter queue.
func (q *Controller) Reconfigure(now time.Duration, cfg Config) []Decision {
	former := q.ranks
	q.configure(cfg)
	for _, r := range former {
		if q.byName[r.cfg.Name] == r {
			for r.length > r.cfg.MaxQueueLength {
				q.refuse(now, r.dropNewestOfLongest(), ReasonQueueFull)
			}
			continue
		}
		for r.length > 0 {
			q.refuse(now, r.dropNewestOfLongest(), ReasonUnknownRank)
		}
	}
	q.dispatch(now)
	return q.take()
}

func (q *Controller) configure(cfg Config) {
	q.slots = max(cfg.Slots, 1)
	q.limiter.resize(q.slots)
	q.rampUp = cfg.RampUpTime
	if q.rampUp == 0 {
		q.rampUp = DefaultRampUpTime
	}
	ranks := append([]RankConfig(nil), cfg.Ranks...)
	sort.SliceStable(ranks, func(i, j int) bool { return ranks[i].Level < ranks[j].Level })
	total := 0
	for _, r := range ranks {
		total += max(r.FloorPercent, 0)
	}
	scale := 1.0
	if total > MaxTotalFloorPercent {
		scale = float64(MaxTotalFloorPercent) / float64(total)
	}
	byName := make(map[string]*rankQueue, len(ranks))
	q.ranks = q.ranks[:0:0]
	for _, r := range ranks {
		if r.MaxQueueLength <= 0 {
			r.MaxQueueLength = DefaultMaxQueueLength
		}
		if r.MaxQueueTime <= 0 {
			r.MaxQueueTime = DefaultMaxQueueTime
		}
		rq := q.byName[r.Name]
		if rq == nil {
			rq = newRankQueue()
		}
		rq.cfg = r
		rq.floor = scale * float64(max(r.FloorPercent, 0)) / 100
		byName[r.Name] = rq
		q.ranks = append(q.ranks, rq)
	}
	q.byName = byName
}

// Submit offers a request. The decisions may concern other requests too.
func (q *Controller) Submit(now time.Duration, req Request) []Decision {
	it := &item{Request: req, arrived: now}
	r := q.byName[req.Rank]
	switch {
	case r == nil:
		q.refuse(now, it, ReasonUnknownRank)
		return q.take()
	case q.isQuiesced(req.KeyHash):
		q.out = append(q.out, Decision{Action: ActionReroute, ID: req.ID})
		return q.take()
	case req.Deadline <= now:
		q.refuse(now, it, ReasonPastDeadline)
		return q.take()
	}
	it.rank = r
	if now+q.expectedWait(now, r)+q.timeNeeded(it) > req.Deadline {
		q.refuse(now, it, ReasonDeadlineTooShort)
		return q.take()
	}
	if r.length >= r.cfg.MaxQueueLength {
		// A caller with a short queue may take the place of the newest request
		// of the caller with the longest one, so that one caller cannot fill
		// the queue of a rank against all others.
		if !r.hasMuchLongerThan(req.Caller) {
			q.refuse(now, it, ReasonQueueFull)
			return q.take()
		}
		q.refuse(now, r.dropNewestOfLongest(), ReasonQueueFull)
	}
	r.push(it)
	q.queued[it.ID] = it
	q.dispatch(now)
	return q.take()
}

// Finish reports the end of a dispatched request. Unknown ids are ignored.
func (q *Controller) Finish(now time.Duration, id uint64, res Result) []Decision {
	it := q.running[id]
	if it == nil {
		return nil
	}
	delete(q.running, id)
	held := now - it.dispatched
	q.settle(it, held)
	serverTime := res.ServiceTime
	if serverTime <= 0 {
		serverTime = held
	}
	switch res.Outcome {
	case OutcomeOK:
		q.service.add(serverTime)
		it.rank.service.add(serverTime)
		q.limiter.observe(serverTime, true)
		if it.dispatched >= q.pausedUntil {
			q.nextPause = MinOverloadPause // older successes say nothing about the load after the pause
		}
	case OutcomeError:
		q.limiter.observe(serverTime, false)
	case OutcomeTimeout:
		// The deadline may have been used up in the queue, so that a timeout is
		// no error of the server. The time until then is a lower bound.
		q.limiter.observe(serverTime, true)
	case OutcomeOverload:
		q.limiter.overload()
		if q.pausedUntil <= now {
			q.pausedUntil = now + q.nextPause
			q.nextPause = min(2*q.nextPause, MaxOverloadPause)
		}
	}
	q.dispatch(now)
	return q.take()
}

// Cancel removes a queued request, for example because its caller went away. It
// reports false when the request is not queued (running or unknown).
func (q *Controller) Cancel(id uint64) bool {
	it := q.queued[id]
	if it == nil {
		return false
	}
	it.rank.remove(it)
	delete(q.queued, id)
	return true
}

// Tick lets time pass: it refuses requests that waited too long and dispatches
// after a pause or a step of the ramp-up. The daemon calls it every 10 ms or so.
func (q *Controller) Tick(now time.Duration) []Decision {
	for _, r := range q.ranks {
		for _, it := range r.expired(now) {
			q.refuse(now, it, expiryReason(now, it))
		}
	}
	q.dispatch(now)
	return q.take()
}

// RestartRampUp starts the ramp-up again: the server has a new instance, or this daemon
// has just become its home. What was learned about the old instance is dropped.
func (q *Controller) RestartRampUp(now time.Duration) {
	q.coldAt = now
	q.limiter = limiter{}
	q.limiter.resize(q.slots)
	q.pausedUntil = 0
	q.nextPause = MinOverloadPause
}

// ReportServerQueueLength notes the queue length that the server reports about itself. It
// only slows the growth of the limit, since such reports lag or mislead.
func (q *Controller) ReportServerQueueLength(queued int) {
	q.limiter.reportedQueue = queued > 0
}

func expiryReason(now time.Duration, it *item) Reason {
	if it.Deadline <= now {
		return ReasonPastDeadline
	}
	return ReasonQueueTimeout
}

func (q *Controller) refuse(now time.Duration, it *item, reason Reason) {
	delete(q.queued, it.ID)
	d := Decision{Action: ActionRefuse, ID: it.ID, Reason: reason}
	if it.rank != nil && reason != ReasonPastDeadline {
		d.RetryAfter = q.expectedWait(now, it.rank)
	}
	q.out = append(q.out, d)
}

func (q *Controller) take() []Decision {
	out := q.out
	q.out = nil
	return out
}
