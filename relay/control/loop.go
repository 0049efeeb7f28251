// Package control drives the ownership state machine of a daemon. One goroutine owns the
// machine, and workers carry out its effects: one for the log, one per witness and one per
// server. They communicate over bounded channels, called rings; the constant of each ring
// says what happens when it is full.
//
// A witness is another daemon that this one polls: its responses show which offset it has
// applied, and those of a majority of the witnesses renew the lease of the polling daemon
// (see package ownership).
package control

import (
	"context"
	"sync"
	"time"

	"parsleyrelay.example/core/event"
	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/core/record"
)

// inputRingSize bounds the inputs that wait for the machine. While the ring is full,
// senders wait. This delays poll responses, so that the lease ends, but loses no input.
const inputRingSize = 1024

// tickInterval is the interval of ownership.Tick inputs.
const tickInterval = 50 * time.Millisecond

// LogAppender appends records to the platform log.
type LogAppender interface {
	// Append returns the offset of the record. After an error the record may still be
	// in the log.
	Append(ctx context.Context, r record.Record) (offset uint64, err error)
}

// PeerClient makes control calls to other daemons.
type PeerClient interface {
	Poll(ctx context.Context, p ownership.SendPoll) (ownership.PollResponse, error)
	TransferWindow(ctx context.Context, t ownership.TransferIDs) error
}

// ServerClient makes control calls to backend servers.
type ServerClient interface {
	Grant(ctx context.Context, g ownership.SendGrant) (ownership.GrantResponse, error)
	Release(ctx context.Context, r ownership.SendRelease) (ownership.ReleaseCompleted, error)
	Probe(ctx context.Context, p ownership.SendProbe) (ownership.GrantResponse, error)
}

// HomeManager manages the request queues of the servers whose home is this daemon.
type HomeManager interface {
	// Quiesce stops dispatching requests of a slice and calls done when none of them is in
	// flight any more.
	Quiesce(server string, slice ownership.SliceRef, done func())
	// Resume dispatches requests of a slice again after Quiesce.
	Resume(server string, slice ownership.SliceRef)
	// Update creates and removes queues to match a new view.
	Update(view *ownership.View)
}

// EventSink receives events and the outcomes of applied records.
type EventSink interface {
	Emit(e event.Event)
	LogRecordApplied(f ownership.RecordOutcome)
	// RingOverflowed reports an item that was dropped because the named ring was full:
	// "inputs", "appends" or "server:" with the name of the server. Dropped polls are not
	// reported.
	RingOverflowed(ring string)
}

// Config holds what a Loop needs.
type Config struct {
	Machine *ownership.Machine
	Views   *Views
	Log     LogAppender
	Peers   PeerClient
	Servers ServerClient
	Homes   HomeManager
	Events  EventSink
	Now     func() time.Duration // monotonic time since the start of the process
}

// Loop owns the ownership machine and runs it on one goroutine.
type Loop struct {
	cfg       Config
	views     *Views
	history   *RecordHistory
	inputRing chan ownership.Input
	drained   chan struct{}
	removed   chan struct{}

	ctx         context.Context
	workers     sync.WaitGroup
	appendRing  chan record.Record
	pollRings   map[string]chan ownership.SendPoll // by witness
	serverRings map[string]chan ownership.Effect   // by server
	drainedOnce sync.Once
	removedOnce sync.Once
}

// NewLoop returns a loop; Run starts it.
func NewLoop(cfg Config) *Loop {
	return &Loop{
		cfg:         cfg,
		views:       cfg.Views,
		history:     NewRecordHistory(),
		inputRing:   make(chan ownership.Input, inputRingSize),
		drained:     make(chan struct{}),
		removed:     make(chan struct{}),
		appendRing:  make(chan record.Record, appendRingSize),
		pollRings:   map[string]chan ownership.SendPoll{},
		serverRings: map[string]chan ownership.Effect{},
	}
}

// Views returns the holder of the current view.
func (l *Loop) Views() *Views { return l.views }

// RecordHistory returns the recently applied records, for peers that lack them.
func (l *Loop) RecordHistory() *RecordHistory { return l.history }

// Drained returns a channel that is closed when the daemon is no longer the home of any
// server.
func (l *Loop) Drained() <-chan struct{} { return l.drained }

// Removed returns a channel that is closed when the other daemons have removed this one
// from the cluster members, for example after a long pause of the process.
func (l *Loop) Removed() <-chan struct{} { return l.removed }

// Submit passes an input to the machine. It waits while the ring is full and
// returns false when ctx ends first.
func (l *Loop) Submit(ctx context.Context, in ownership.Input) bool {
	select {
	case l.inputRing <- in:
		return true
	case <-ctx.Done():
		return false
	}
}

// TrySubmit passes an input to the machine unless the ring is full. It is meant for inputs
// that may be lost, such as the arrival of a poll.
func (l *Loop) TrySubmit(in ownership.Input) {
	select {
	case l.inputRing <- in:
	default:
		l.cfg.Events.RingOverflowed("inputs")
	}
}

// Propose queues a record of the machine or of a command for the append worker. It returns
// false when the append ring is full; the record was then not proposed.
func (l *Loop) Propose(r record.Record) bool {
	select {
	case l.appendRing <- r:
		return true
	default:
		l.cfg.Events.RingOverflowed("appends")
		return false
	}
}

// Run drives the machine until ctx ends, then waits for all workers.
func (l *Loop) Run(ctx context.Context) {
	l.ctx = ctx
	l.workers.Go(l.runAppendWorker)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			l.workers.Wait()
			return
		case <-ticker.C:
			l.step(ownership.Tick{})
		case in := <-l.inputRing:
			l.step(in)
		}
	}
}

func (l *Loop) step(in ownership.Input) {
	for _, effect := range l.cfg.Machine.Step(l.cfg.Now(), in) {
		l.performEffect(effect)
	}
}

func (l *Loop) performEffect(effect ownership.Effect) {
	switch e := effect.(type) {
	case ownership.SendPoll:
		l.enqueuePoll(e)
	case ownership.AppendRecord:
		l.Propose(e.Record)
	case ownership.SendGrant:
		l.enqueueServerCall(e.Server, e)
	case ownership.SendRelease:
		// A release does not go through the ring of the server: it must not wait for
		// a grant, and since it is not repeated, its slice would be unavailable until
		// the move is aborted if a full ring dropped it. The machine bounds the moves
		// per server.
		l.workers.Go(func() { l.sendRelease(e) })
	case ownership.SendProbe:
		l.enqueueServerCall(e.Server, e)
	case ownership.QuiesceSlice:
		l.quiesceSlice(e)
	case ownership.ResumeSlice:
		l.cfg.Homes.Resume(e.Server, e.Slice)
	case ownership.TransferIDs:
		l.transferIDs(e)
	case ownership.PublishView:
		l.cfg.Homes.Update(e.View)
		l.views.publish(e.View)
		l.stopUnusedWorkers(e.View)
	case ownership.RecordOutcome:
		l.history.Add(e.Entry)
		l.cfg.Events.LogRecordApplied(e)
	case ownership.EmitEvent:
		l.cfg.Events.Emit(e.Event)
	case ownership.MemberRemoved:
		l.removedOnce.Do(func() { close(l.removed) })
	case ownership.DrainCompleted:
		l.drainedOnce.Do(func() { close(l.drained) })
	}
}

func (l *Loop) quiesceSlice(e ownership.QuiesceSlice) {
	l.cfg.Homes.Quiesce(e.Server, e.Slice, func() {
		// This runs on the goroutine of the server's queue, which must not wait for the
		// control loop.
		l.workers.Go(func() {
			l.Submit(l.ctx, ownership.SliceQuiesced(e))
		})
	})
}
