// Package control drives the ownership state machine of a daemon: one goroutine
// owns the machine, and one worker per peer, per server and for the log carries
// out its effects. Bounded rings join them; what happens when a ring is full is
// stated at each.
package control

import (
	"context"
	"sync"
	"time"

	"parsleyrelay.example/core/event"
	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/core/record"
)

// inputRing bounds the inputs that wait for the machine. When it is full, senders
// wait, which delays answers of polls and so ends the lease rather than losing input.
const inputRing = 1024

// tickInterval is the period of ownership.Tick.
const tickInterval = 50 * time.Millisecond

// LogAppender appends records to the platform log.
type LogAppender interface {
	// Append returns the offset. After an error the record may be in the log.
	Append(ctx context.Context, r record.Record) (offset uint64, err error)
}

// PeerClient makes control calls to other daemons.
type PeerClient interface {
	Poll(ctx context.Context, p ownership.SendPoll) (ownership.PollResponse, error)
	TransferIDs(ctx context.Context, t ownership.TransferIDs) error
}

// ServerClient makes control calls to backend servers.
type ServerClient interface {
	Grant(ctx context.Context, g ownership.SendGrant) (ownership.GrantResponse, error)
	Release(ctx context.Context, r ownership.SendRelease) (ownership.ReleaseCompleted, error)
	Probe(ctx context.Context, p ownership.SendProbe) (ownership.GrantResponse, error)
}

// HomeManager holds the queues of the servers whose home this daemon is.
type HomeManager interface {
	// Quiesce stops dispatching a slice and calls done when nothing of it is in flight.
	Quiesce(server string, slice ownership.SliceRef, done func())
	Resume(server string, slice ownership.SliceRef)
	// Update makes the queues follow a new view.
	Update(view *ownership.View)
}

// EventSink receives events and the outcomes of records.
type EventSink interface {
	Emit(e event.Event)
	RecordApplied(f ownership.RecordOutcome)
	// QueueOverflowed counts an effect that was dropped because a ring was full.
	QueueOverflowed(ring string)
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
	Now     func() time.Duration // process time, monotonic
}

// Loop owns the machine.
type Loop struct {
	cfg     Config
	views   *Views
	history *RecordHistory
	inputs  chan ownership.Input
	drained chan struct{}
	removed chan struct{}

	ctx         context.Context
	workers     sync.WaitGroup
	appends     chan record.Record
	pollers     map[string]chan ownership.SendPoll // by witness
	servers     map[string]chan ownership.Effect   // by server
	once        sync.Once
	onceRemoved sync.Once
}

// NewLoop returns a loop; Run starts it.
func NewLoop(cfg Config) *Loop {
	return &Loop{
		cfg:     cfg,
		views:   cfg.Views,
		history: NewRecordHistory(),
		inputs:  make(chan ownership.Input, inputRing),
		drained: make(chan struct{}),
		removed: make(chan struct{}),
		appends: make(chan record.Record, appendRing),
		pollers: map[string]chan ownership.SendPoll{},
		servers: map[string]chan ownership.Effect{},
	}
}

// Views returns the published views.
func (l *Loop) Views() *Views { return l.views }

// RecordHistory returns the recent records, for peers that miss them.
func (l *Loop) RecordHistory() *RecordHistory { return l.history }

// Drained is closed when the daemon is home of no server any more.
func (l *Loop) Drained() <-chan struct{} { return l.drained }

// Removed is closed when the other daemons have removed this one from the
// members, as after a long pause of the process.
func (l *Loop) Removed() <-chan struct{} { return l.removed }

// Submit hands an input to the machine. It waits while the ring is full and
// returns false when ctx ends first.
func (l *Loop) Submit(ctx context.Context, in ownership.Input) bool {
	select {
	case l.inputs <- in:
		return true
	case <-ctx.Done():
		return false
	}
}

// TrySubmit hands an input to the machine unless the ring is full. It is for
// inputs that only hint, such as the arrival of a poll.
func (l *Loop) TrySubmit(in ownership.Input) {
	select {
	case l.inputs <- in:
	default:
		l.cfg.Events.QueueOverflowed("inputs")
	}
}

// Propose appends a record on behalf of a command. It returns false when the
// append ring is full; the record was then not proposed.
func (l *Loop) Propose(r record.Record) bool {
	select {
	case l.appends <- r:
		return true
	default:
		l.cfg.Events.QueueOverflowed("appends")
		return false
	}
}

// Run drives the machine until ctx ends, then waits for all workers.
func (l *Loop) Run(ctx context.Context) {
	l.ctx = ctx
	l.workers.Go(l.appendRecords)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			l.workers.Wait()
			return
		case <-ticker.C:
			l.step(ownership.Tick{})
		case in := <-l.inputs:
			l.step(in)
		}
	}
}

func (l *Loop) step(in ownership.Input) {
	for _, effect := range l.cfg.Machine.Step(l.cfg.Now(), in) {
		l.perform(effect)
	}
}

func (l *Loop) perform(effect ownership.Effect) {
	switch e := effect.(type) {
	case ownership.SendPoll:
		l.poll(e)
	case ownership.AppendRecord:
		l.Propose(e.Record)
	case ownership.SendGrant:
		l.toServer(e.Server, e)
	case ownership.SendRelease:
		// Not through the server's ring: a release is not repeated when it is
		// dropped, so its slice would be unavailable until the move is aborted, and
		// it must not wait for a grant. The machine bounds the moves per server.
		l.workers.Go(func() { l.release(e) })
	case ownership.SendProbe:
		l.toServer(e.Server, e)
	case ownership.QuiesceSlice:
		l.quiesce(e)
	case ownership.ResumeSlice:
		l.cfg.Homes.Resume(e.Server, e.Slice)
	case ownership.TransferIDs:
		l.transferIDs(e)
	case ownership.PublishView:
		l.cfg.Homes.Update(e.View)
		l.views.publish(e.View)
		l.prune(e.View)
	case ownership.RecordOutcome:
		l.history.Add(e.Positioned)
		l.cfg.Events.RecordApplied(e)
	case ownership.EmitEvent:
		l.cfg.Events.Emit(e.Event)
	case ownership.MemberRemoved:
		l.onceRemoved.Do(func() { close(l.removed) })
	case ownership.DrainCompleted:
		l.once.Do(func() { close(l.drained) })
	}
}

func (l *Loop) quiesce(e ownership.QuiesceSlice) {
	l.cfg.Homes.Quiesce(e.Server, e.Slice, func() {
		// Runs on the goroutine of the server's queue, which must not wait for the loop.
		l.workers.Go(func() {
			l.Submit(l.ctx, ownership.SliceQuiesced(e))
		})
	})
}
