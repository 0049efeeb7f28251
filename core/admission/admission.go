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
	ReasonUnknownRank   Reason = "unknown_rank"
	ReasonQueueFull     Reason = "queue_full"
	ReasonQueueTimeout  Reason = "queue_timeout"
	ReasonDeadlineShort Reason = "deadline_short" // the deadline lies ahead and cannot be met
	ReasonPastDeadline  Reason = "past_deadline"
	ReasonOverloaded    Reason = "overloaded" // the server refused for overload and dispatch is paused
)

// Action says what to do with a request.
type Action int

// The actions.
const (
	Dispatch Action = iota + 1 // send it to the server, then call Finish
	Refuse                     // respond that it did not run
	Reroute                    // look its route up again; its key range is being moved
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
	Hash     uint64        // key hash
	Deadline time.Duration // absolute, on the same clock as now
}

// Outcome says how a dispatched request ended.
type Outcome int

// The outcomes. Only OK, Error and Timeout inform the concurrency limit about
// the server; Canceled says nothing about it.
const (
	OK       Outcome = iota + 1
	Error            // failed at the server, connection lost, or connect failed
	Timeout          // no response by the deadline
	Overload         // the server refused for overload
	Refused          // the server refused under its fence (no grant, draining, term)
	Canceled         // never sent, or the caller went away
)

// Result reports the end of a dispatched request.
type Result struct {
	Outcome Outcome
	// ServerTime is the time that the server took; 0 means the time since dispatch.
	// The daemon sets it when a slow caller held the request up.
	ServerTime time.Duration
}

// Rank configures one priority class.
type Rank struct {
	Name           string
	Level          int           // 0 is the most urgent
	FloorPercent   int           // share of the slots that it keeps in a flood
	MaxQueueLength int           // requests; 0 means DefaultMaxQueueLength
	MaxQueueTime   time.Duration // 0 means DefaultMaxQueueTime
}

// Config configures a Queue.
type Config struct {
	Slots  int // requests that the server runs at a time
	Ranks  []Rank
	RampUp time.Duration // time in which a cold server gets its full limit; 0 means DefaultRampUp, negative none
}

// Defaults and bounds of Config.
const (
	DefaultMaxQueueLength = 128
	DefaultMaxQueueTime   = 2 * time.Second
	DefaultRampUp         = 3 * time.Second
	// MaxTotalFloorPercent bounds the sum of all floors, so that floors never
	// starve the most urgent rank. Larger sums are scaled down.
	MaxTotalFloorPercent = 50
)

// Pauses after the server refused for overload: the first lasts MinPause, and
// each further one twice as long as the one before until a request succeeds.
const (
	MinPause = 20 * time.Millisecond
	MaxPause = time.Second
)

type item struct {
	Request
	arrived    time.Duration
	dispatched time.Duration
	rank       *rankQueue
	charged    time.Duration // slot time booked at dispatch
	contended  bool          // dispatched before more urgent work, under the floor
}

// Queue is the admission state of one server.
type Queue struct {
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
func New(now time.Duration, cfg Config) *Queue {
	q := &Queue{
		byName:    map[string]*rankQueue{},
		queued:    map[uint64]*item{},
		running:   map[uint64]*item{},
		coldAt:    now,
		nextPause: MinPause,
	}
	q.configure(cfg)
	return q
}

// Reconfigure applies a changed configuration. Queued requests stay queued,
// except those of ranks that no longer exist and those beyond a shorter queue.
func (q *Queue) Reconfigure(now time.Duration, cfg Config) []Decision {
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

func (q *Queue) configure(cfg Config) {
	q.slots = max(cfg.Slots, 1)
	q.limiter.resize(q.slots)
	q.rampUp = cfg.RampUp
	if q.rampUp == 0 {
		q.rampUp = DefaultRampUp
	}
	ranks := append([]Rank(nil), cfg.Ranks...)
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
func (q *Queue) Submit(now time.Duration, req Request) []Decision {
	it := &item{Request: req, arrived: now}
	r := q.byName[req.Rank]
	switch {
	case r == nil:
		q.refuse(now, it, ReasonUnknownRank)
		return q.take()
	case q.isQuiesced(req.Hash):
		q.out = append(q.out, Decision{Action: Reroute, ID: req.ID})
		return q.take()
	case req.Deadline <= now:
		q.refuse(now, it, ReasonPastDeadline)
		return q.take()
	}
	it.rank = r
	if now+q.expectedWait(now, r)+q.timeNeeded(it) > req.Deadline {
		q.refuse(now, it, ReasonDeadlineShort)
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
func (q *Queue) Finish(now time.Duration, id uint64, res Result) []Decision {
	it := q.running[id]
	if it == nil {
		return nil
	}
	delete(q.running, id)
	held := now - it.dispatched
	q.settle(it, held)
	serverTime := res.ServerTime
	if serverTime <= 0 {
		serverTime = held
	}
	switch res.Outcome {
	case OK:
		q.service.add(serverTime)
		it.rank.service.add(serverTime)
		q.limiter.observe(serverTime, true)
		if it.dispatched >= q.pausedUntil {
			q.nextPause = MinPause // older successes say nothing about the load after the pause
		}
	case Error:
		q.limiter.observe(serverTime, false)
	case Timeout:
		// The deadline may have been used up in the queue, so that a timeout is
		// no error of the server. The time until then is a lower bound.
		q.limiter.observe(serverTime, true)
	case Overload:
		q.limiter.overload()
		if q.pausedUntil <= now {
			q.pausedUntil = now + q.nextPause
			q.nextPause = min(2*q.nextPause, MaxPause)
		}
	}
	q.dispatch(now)
	return q.take()
}

// Cancel removes a queued request, for example because its caller went away. It
// reports false when the request is not queued (running or unknown).
func (q *Queue) Cancel(id uint64) bool {
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
func (q *Queue) Tick(now time.Duration) []Decision {
	for _, r := range q.ranks {
		for _, it := range r.expired(now) {
			q.refuse(now, it, expiryReason(now, it))
		}
	}
	q.dispatch(now)
	return q.take()
}

// Cold starts the ramp-up again: the server has a new instance, or this daemon
// has just become its home. What was learned about the old instance is dropped.
func (q *Queue) Cold(now time.Duration) {
	q.coldAt = now
	q.limiter = limiter{}
	q.limiter.resize(q.slots)
	q.pausedUntil = 0
	q.nextPause = MinPause
}

// ServerReport notes the queue length that the server reports about itself. It
// only slows the growth of the limit, since such reports lag or mislead.
func (q *Queue) ServerReport(queued int) {
	q.limiter.reportedQueue = queued > 0
}

func expiryReason(now time.Duration, it *item) Reason {
	if it.Deadline <= now {
		return ReasonPastDeadline
	}
	return ReasonQueueTimeout
}

func (q *Queue) refuse(now time.Duration, it *item, reason Reason) {
	delete(q.queued, it.ID)
	d := Decision{Action: Refuse, ID: it.ID, Reason: reason}
	if it.rank != nil && reason != ReasonPastDeadline {
		d.RetryAfter = q.expectedWait(now, it.rank)
	}
	q.out = append(q.out, d)
}

func (q *Queue) take() []Decision {
	out := q.out
	q.out = nil
	return out
}
