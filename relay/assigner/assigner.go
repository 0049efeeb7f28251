// Package assigner runs the assignment machine at an entry host: it follows the
// map, starts a term when the platform names this host, and sends the grants
// and releases of the term.
package assigner

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"parsleyrelay.example/core/assignment"
	"parsleyrelay.example/core/directory"
	"parsleyrelay.example/core/event"
	"parsleyrelay.example/relay/clock"
	"parsleyrelay.example/relay/edge"
	"parsleyrelay.example/relay/telemetry"
)

// Times of the loop.
const (
	tickEvery = 50 * time.Millisecond
	// retryWrite spaces attempts at a write whose result is not known.
	retryWrite = 200 * time.Millisecond
	// callsPerServer bounds open calls to one server. A release waits for running
	// work, so that more than one must be open.
	callsPerServer = 4
)

// ErrConflict says that the log does not end where the write expects.
var ErrConflict = errors.New("another map was written first")

// MapStore keeps the map.
type MapStore interface {
	// AppendMap appends a map if the log ends at m.End. It returns ErrConflict if
	// not; after any other error the map may have been or may yet be written.
	AppendMap(ctx context.Context, m *assignment.Map) (offset, end uint64, err error)
}

// CallSender sends calls to servers.
type CallSender interface {
	Call(ctx context.Context, c assignment.Call) assignment.CallResult
}

// Options configure an Assigner.
type Options struct {
	HostIncarnation string // incarnation of this host
	HostOf          func(incarnation string) string
	Stripes         int
	Store           MapStore
	CallSender      CallSender
	Journal         *telemetry.Journal
	OnMap           func(*assignment.Map) // called for each newer map
}

type message struct {
	observed *assignment.Map // a map that was read
	contact  time.Duration   // a read that was sent then showed nothing newer
	answered *answered
	written  *written
	report   *edge.LoadReport
	ended    bool // the former leader's process has ended
	term     uint64
}

// former is the leader before this host's term, which may still run.
type former struct {
	incarnation string
	term, end   uint64 // of the map that replaced it
}

type answered struct {
	call   assignment.Call
	answer assignment.CallResult
}

type written struct {
	m           *assignment.Map
	offset, end uint64
	err         error
}

// Assigner is the loop around the machine.
type Assigner struct {
	options   Options
	ring      chan message
	elected   atomic.Bool
	leading   atomic.Bool
	published atomic.Pointer[assignment.Map]
	resigning atomic.Bool
	resigned  chan struct{}
	once      sync.Once
	servers   atomic.Pointer[map[string]map[string]directory.Server]
	limits    sync.Map               // address: chan struct{}
	former    atomic.Pointer[former] // nil when nothing more is to be learnt of it

	leader *assignment.Leader
	before string // incarnation of the leader before this host's term
	newest *assignment.Map
	known  bool // the map was read at least once
	wake   time.Duration
}

// ringSize holds the answers of all ranges of a takeover.
const ringSize = 4096

// New returns an Assigner that does not run yet.
func New(o Options) *Assigner {
	return &Assigner{options: o, ring: make(chan message, ringSize), resigned: make(chan struct{})}
}

// SetElected tells whether the platform names this host as the leader.
func (a *Assigner) SetElected(yes bool) { a.elected.Store(yes) }

// Leading says whether this host leads.
func (a *Assigner) Leading() bool { return a.leading.Load() }

// NewestMap returns the newest map that is known, or nil.
func (a *Assigner) NewestMap() *assignment.Map { return a.published.Load() }

// SetServers sets the servers of keyed services.
func (a *Assigner) SetServers(s map[string]map[string]directory.Server) { a.servers.Store(&s) }

// ObserveMap notes a map that was read.
func (a *Assigner) ObserveMap(m *assignment.Map) { a.ring <- message{observed: m} }

// ConfirmNewestMap notes that a read sent at the given time showed no newer map.
func (a *Assigner) ConfirmNewestMap(sent time.Duration) { a.ring <- message{contact: sent} }

// RecordLoadReport records what a host reports of its requests for keyed services.
func (a *Assigner) RecordLoadReport(r edge.LoadReport) {
	if len(r.RequestedKeys)+len(r.ServiceTimes) == 0 || !a.leading.Load() {
		return
	}
	select {
	case a.ring <- message{report: &r}:
	default: // busy keys are an estimate; answers of calls go first
	}
}

// RecordKnownMap notes that the process of a host knows the map up to end. If it runs at
// the former leader's host and knows the map that replaced the former leader,
// then the former leader has ended: a host runs one process at a time, and an
// earlier process cannot know that map, however late its call arrives.
func (a *Assigner) RecordKnownMap(incarnation string, end uint64) {
	f := a.former.Load()
	if f == nil || end < f.end || incarnation == f.incarnation || a.options.HostOf(incarnation) != a.options.HostOf(f.incarnation) {
		return
	}
	if a.former.CompareAndSwap(f, nil) {
		go func() { a.ring <- message{ended: true, term: f.term} }()
	}
}

func (a *Assigner) takeReport(r *edge.LoadReport) {
	if a.leader == nil {
		return
	}
	for service, keys := range r.RequestedKeys {
		a.leader.RecordArrivals(service, keys)
	}
	for server, t := range r.ServiceTimes {
		a.leader.RecordServiceTimes(server, t.Count, t.Sum)
	}
}

// Resign gives up the term in an orderly way and returns when it has ended, when
// this host does not lead, or when ctx ends.
func (a *Assigner) Resign(ctx context.Context) {
	a.resigning.Store(true)
	select {
	case <-a.resigned:
	case <-ctx.Done():
	}
}

// Run runs the loop until ctx ends.
func (a *Assigner) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-a.ring:
			if err := a.take(ctx, m); err != nil {
				return err
			}
			a.leading.Store(a.leader != nil && a.leader.Leading())
			continue
		case <-ticker.C:
		}
		if err := a.tick(ctx); err != nil {
			return err
		}
		a.leading.Store(a.leader != nil && a.leader.Leading())
	}
}

func (a *Assigner) take(ctx context.Context, m message) error {
	now, err := clock.Now()
	if err != nil {
		return err
	}
	switch {
	case m.observed != nil:
		a.observe(now, m.observed)
	case m.answered != nil:
		a.takeAnswer(now, *m.answered)
	case m.written != nil:
		a.takeWritten(now, *m.written)
	case m.report != nil:
		a.takeReport(m.report)
	case m.ended:
		if a.leader != nil && a.leader.Term() == m.term {
			a.options.Journal.Event(event.FormerLeaderEnded, "term", m.term)
			a.leader.RecordFormerLeaderExit(now)
		}
	case a.leader != nil:
		a.leader.ConfirmLeadership(m.contact)
	}
	return nil
}

func (a *Assigner) observe(now time.Duration, m *assignment.Map) {
	a.known = true
	if a.newest != nil && m.NextOffset <= a.newest.NextOffset {
		return
	}
	a.publish(m)
	a.options.Journal.Routine(event.MapObserved, "offset", m.Offset, "term", m.Term, "sequence", m.Sequence, "leader", m.Leader)
	if a.leader != nil {
		a.leader.ObserveMap(m)
		a.endTerm("a newer map was read")
	}
}

func (a *Assigner) publish(m *assignment.Map) {
	a.newest = m
	a.published.Store(m)
	a.options.OnMap(m)
}

func (a *Assigner) takeAnswer(now time.Duration, w answered) {
	if w.answer.Status != assignment.CallSucceeded {
		a.options.Journal.Event(event.GrantUnanswered, "service", w.call.Service, "server", w.call.Server.ID, "kind", int(w.call.Kind),
			"from", w.call.From, "to", w.call.To, "fence", w.call.Fence, "status", int(w.answer.Status))
	}
	if a.leader != nil {
		a.leader.HandleCallResult(now, w.call, w.answer)
		a.endTerm("a server refused the fence")
	}
}

func (a *Assigner) takeWritten(now time.Duration, w written) {
	if a.leader == nil || a.leader.Stopped() {
		return
	}
	if errors.Is(w.err, ErrConflict) {
		a.leader.Stop()
		a.endTerm("another host wrote the map")
		return
	}
	was := a.leader.Leading()
	m := a.leader.AcknowledgeMapWrite(now, w.offset, w.end)
	if a.newest == nil || m.NextOffset > a.newest.NextOffset {
		a.publish(m)
	}
	if !was && a.leader.Leading() {
		a.options.Journal.Event(event.TermStarted, "term", m.Term, "offset", m.Offset, "former", a.before)
		if a.before != "" {
			a.former.Store(&former{incarnation: a.before, term: m.Term, end: m.NextOffset})
			a.RecordKnownMap(a.options.HostIncarnation, m.NextOffset)
		}
	}
	a.endTerm("resigned")
}

func (a *Assigner) endTerm(reason string) {
	if a.leader == nil || !a.leader.Stopped() {
		return
	}
	a.options.Journal.Event(event.TermEnded, "term", a.leader.Term(), "reason", reason)
	a.leader = nil
}

func (a *Assigner) tick(ctx context.Context) error {
	now, err := clock.Now()
	if err != nil {
		return err
	}
	if a.resigning.Load() {
		if a.leader == nil {
			a.once.Do(func() { close(a.resigned) })
			return nil
		}
		a.leader.Resign()
	}
	servers := a.servers.Load()
	if a.leader == nil {
		if a.resigning.Load() || !a.known || !a.elected.Load() || servers == nil || now < a.wake {
			return nil
		}
		a.wake = now + time.Second
		m := a.newest
		if m == nil {
			m = &assignment.Map{}
		}
		a.before = m.Leader
		a.leader = assignment.NewLeader(now, m, assignment.Options{HostIncarnation: a.options.HostIncarnation, Stripes: a.options.Stripes})
	}
	a.leader.SetServers(*servers)
	for _, c := range a.leader.Tick(now) {
		go a.call(ctx, c)
	}
	if a.leader != nil {
		if w := a.leader.NextMapWrite(); w != nil {
			go a.write(ctx, w.Map)
		}
	}
	a.endTerm("no contact with the store")
	return nil
}

func (a *Assigner) call(ctx context.Context, c assignment.Call) {
	limit, _ := a.limits.LoadOrStore(c.Server.Address, make(chan struct{}, callsPerServer))
	slots := limit.(chan struct{})
	slots <- struct{}{}
	answer := a.options.CallSender.Call(ctx, c)
	<-slots
	a.ring <- message{answered: &answered{call: c, answer: answer}}
}

// write repeats a write until its result is certain. The machine opens one write
// at a time, so repeats never overtake a newer map.
func (a *Assigner) write(ctx context.Context, m *assignment.Map) {
	for {
		offset, end, err := a.options.Store.AppendMap(ctx, m)
		if err == nil || errors.Is(err, ErrConflict) {
			a.ring <- message{written: &written{m: m, offset: offset, end: end, err: err}}
			return
		}
		a.options.Journal.Event(event.AdapterFailed, "operation", "append map", "term", m.Term, "error", err)
		select {
		case <-ctx.Done():
			return
		case <-time.After(retryWrite):
		}
	}
}
