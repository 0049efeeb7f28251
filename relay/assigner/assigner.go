// Package assigner drives the assignment of keys at an entry host. It keeps the
// newest assignment map, starts a term of the state machine assignment.Leader when
// the platform's store elects this host, and does the I/O of that term: grant and
// release calls to servers, and appends of the map.
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
	"parsleyrelay.example/relay/edge"
	"parsleyrelay.example/relay/telemetry"
)

// Times and limits of an Assigner.
const (
	tickInterval = 50 * time.Millisecond
	// writeRetryDelay is the delay before a map is written again after an error that
	// leaves open whether it was written.
	writeRetryDelay = 200 * time.Millisecond
	// maxCallsPerServer limits the open calls to one server address. It is more than 1
	// because a release returns only after the server has finished the running work,
	// and calls for other ranges must not wait for it.
	maxCallsPerServer = 4
	// maxGrantSlotWait limits the wait of a grant for a free call slot. It leaves half
	// of assignment.CallTimeout for the call.
	maxGrantSlotWait = assignment.CallTimeout / 2
	// maxReleaseSlotWait limits the wait of a release, which may be queued behind others
	// that take as long as the running work.
	maxReleaseSlotWait = 3 * time.Second
	// maxReleaseAge limits the time from the start of a release to its end. It leaves
	// time for the server to finish the running work after the wait for a slot.
	maxReleaseAge = 2 * maxReleaseSlotWait
)

// ErrConflict is returned for a map if the log has another one from its NextOffset on.
var ErrConflict = errors.New("map was not appended: another map was written first")

// ErrFormerEra is returned for a map whose NextOffset is of a former era of the log: the log
// was restored from an older copy before or during the append. The map may be in the log.
var ErrFormerEra = errors.New("map was not appended: the log was restored from an older copy")

// MapStore appends maps to a log in the platform's store.
type MapStore interface {
	// AppendMap appends a map if the log has no other one from m.NextOffset on, and
	// returns the offset of the record, which is higher if other records are in between, and
	// the next offset after it. Otherwise it returns ErrConflict, or ErrFormerEra. After any other error the map may have been written or
	// may still be written. A repeated append of a map that was written succeeds.
	AppendMap(ctx context.Context, m *assignment.Map) (offset, nextOffset uint64, err error)
}

// CallSender sends grant and release calls to servers.
type CallSender interface {
	// Call sends c and returns its result. mayBeSent is asked when the connection is open,
	// after confirmTerm if c.MayConnect allowed a connection that was not opened before
	// c.ConnectedBefore. If either returns an error, nothing is sent. The connection is
	// reset when ctx ends.
	Call(ctx context.Context, c assignment.Call, mayBeSent func() error, confirmTerm func(context.Context) error) assignment.CallResult
}

// Reasons for which a call is not sent.
var (
	errTermEnded        = errors.New("the term has ended")
	errCallTooOld       = errors.New("the call was started too long ago")
	errLogRestored      = errors.New("the log was restored from an older copy")
	errTermNotConfirmed = errors.New("no read of the map confirmed the term in time")
)

// Options configure an Assigner.
type Options struct {
	HostIncarnation string                          // identifies this run of the host's process
	HostOf          func(incarnation string) string // returns the name of the host that an incarnation belongs to
	Stripes         int                             // least number of ranges at a service's first placement; a power of two
	Store           MapStore
	CallSender      CallSender
	RequestRead     func() // asks for a read of the map soon; nil if reads cannot be asked for
	Journal         *telemetry.Journal
	OnMap           func(*assignment.Map) // called for each newer map that was read or written
	// FirstStart reports that the whole deployment starts for the first time. A store without
	// a map has lost it otherwise, if its era is above 0.
	FirstStart bool
	Now        func() time.Duration // time since boot; see package clock
}

// message is an input of the loop in Run. Only one kind of input is set.
type message struct {
	observedMap    *assignment.Map // a map that was read
	storedMap      *storedMap      // a map that was read from the store
	confirmation   *readConfirmation
	storeEra       uint64
	completedCall  *completedCall
	completedWrite *completedWrite
	loadReport     *edge.LoadReport
	leadersExited  *leadersExited
}

// completedCall is a call to a server and its result.
type completedCall struct {
	call   assignment.Call
	result assignment.CallResult
}

// completedWrite is a write of a map that was acknowledged or refused with ErrConflict.
type completedWrite struct {
	term               uint64 // of the map
	offset, nextOffset uint64
	err                error
}

// Assigner runs assignment.Leader in one goroutine, see Run. The other
// exported methods may be called from any goroutine.
type Assigner struct {
	options            Options
	messages           chan message // inputs of the loop
	elected            atomic.Bool
	leading            atomic.Bool
	publishedMap       atomic.Pointer[assignment.Map]
	hostCount          atomic.Int64
	admittedShares     atomic.Pointer[map[string]float64]
	pauses             atomic.Pointer[map[string]directory.Pause] // see SetPauses
	warmupLimits       atomic.Pointer[map[string]float64]         // see SetWarmupLimits
	resigning          atomic.Bool
	resignDone         chan struct{} // closed when a resigning host leads no term any more
	resignDoneOnce     sync.Once
	servers            atomic.Pointer[map[string]map[string]directory.Server]
	evacuatedRanges    atomic.Pointer[map[string]int]
	callSlotsByAddress sync.Map // server address: chan struct{} with a slot for each open call
	formerLeaders      formerLeaders
	confirmation       confirmation
	callsHeld          atomic.Bool // see era

	// The remaining fields are used only by Run.
	leader            *assignment.Leader // state machine of this host's term; nil if there is none
	previousMapLeader string             // incarnation named by the map before this host's term; empty for none
	newestMap         *assignment.Map    // has only NextOffset set if the store has no map
	mapWasRead        bool               // a first read has succeeded, so newestMap is set
	observations      *assignment.Observations
	era               era
	nextTermAttempt   time.Duration                         // earliest start of another term
	emptiedServers    map[assignment.ServerIncarnation]bool // as they were logged last
	evacuations       map[string]evacuationProgress         // by service
}

// messageQueueSize leaves room for the call results of all ranges when a new leader
// contacts their holders at once.
const messageQueueSize = 4096

// New returns an Assigner that does not run yet.
func New(o Options) *Assigner {
	return &Assigner{options: o, messages: make(chan message, messageQueueSize), observations: assignment.NewObservations(), resignDone: make(chan struct{}), evacuations: map[string]evacuationProgress{}}
}

// SetElected sets whether the platform's store elects this host as the leader.
func (a *Assigner) SetElected(elected bool) { a.elected.Store(elected) }

// Leading reports whether a term of this host has begun and not ended.
func (a *Assigner) Leading() bool { return a.leading.Load() }

// NewestMap returns the newest map that this host has read or written, or nil before
// the first read. If the store has no map, only NextOffset is set.
func (a *Assigner) NewestMap() *assignment.Map { return a.publishedMap.Load() }

// SetHostCount sets the number of entry hosts, this one included.
func (a *Assigner) SetHostCount(n int) { a.hostCount.Store(int64(n)) }

// SetPauses sets the pauses that servers asked of the hosts, by server ID. The map must not
// be changed afterwards.
func (a *Assigner) SetPauses(pauses map[string]directory.Pause) { a.pauses.Store(&pauses) }

// SetWarmupLimits sets, by service, the requests per second that a cold server gets at most;
// services without one have no limit. The map must not be changed afterwards.
func (a *Assigner) SetWarmupLimits(limits map[string]float64) { a.warmupLimits.Store(&limits) }

// SetServers sets the servers of keyed services, by service and server ID. No term
// starts before the first call.
func (a *Assigner) SetServers(s map[string]map[string]directory.Server) { a.servers.Store(&s) }

// ObserveMap records a map that was read from the store or received from the leader.
// A map with only NextOffset set means that the store has none.
func (a *Assigner) ObserveMap(m *assignment.Map) { a.messages <- message{observedMap: m} }

// RecordLoadReport records a host's report about its requests for keyed services. It
// drops the report if this host does not lead or the message queue is full.
func (a *Assigner) RecordLoadReport(r edge.LoadReport) {
	if len(r.RequestedKeys)+len(r.ServiceTimes) == 0 || !a.leading.Load() {
		return
	}
	select {
	case a.messages <- message{loadReport: &r}:
	default: // reports are only samples of the load; call results need the queue more
	}
}

// recordLoadReport passes a load report to the state machine.
func (a *Assigner) recordLoadReport(r *edge.LoadReport) {
	if a.leader == nil {
		return
	}
	for service, keys := range r.RequestedKeys {
		a.leader.RecordArrivals(service, keys)
	}
	for server, t := range r.ServiceTimes {
		a.leader.RecordServiceTimes(server, t.Count, a.leader.RecordSlowdowns(server, t.Reports, t.SlowdownPercent, t.Sum))
		a.leader.RecordQueue(server, t.Reports, t.Waiting)
		a.leader.RecordContact(server, t.Sent, t.Answered)
	}
}

// Resign starts an orderly end of the term and prevents further terms of this host. It
// returns when this host has no term or when ctx ends.
func (a *Assigner) Resign(ctx context.Context) {
	a.resigning.Store(true)
	select {
	case <-a.resignDone:
	case <-ctx.Done():
	}
}

// Run processes messages and runs the state machine at intervals until ctx ends. It
// never returns an error.
func (a *Assigner) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-a.messages:
			a.handleMessage(ctx, m)
		case <-ticker.C:
			a.tick(ctx)
		}
		leading := a.leader != nil && a.leader.Leading()
		a.callsHeld.Store(leading && a.leader.Rewriting())
		if leading {
			a.confirmation.begin(a.options.Now(), a.leader.Term())
		}
		if leading && !a.leader.Rewriting() {
			a.confirmation.set(a.leader.Term(), a.leader.ConfirmedAt())
		}
		a.leading.Store(leading)
	}
}

func (a *Assigner) handleMessage(ctx context.Context, m message) {
	now := a.options.Now()
	switch {
	case m.observedMap != nil:
		a.handleObservedMap(now, m.observedMap)
	case m.storedMap != nil:
		a.handleStoredMap(now, *m.storedMap)
	case m.confirmation != nil:
		a.handleConfirmation(now, *m.confirmation)
	case m.storeEra != 0:
		a.handleEra(now, m.storeEra)
	case m.completedCall != nil:
		a.handleCompletedCall(ctx, now, *m.completedCall)
	case m.completedWrite != nil:
		a.handleCompletedWrite(now, *m.completedWrite)
	case m.loadReport != nil:
		a.recordLoadReport(m.loadReport)
	case m.leadersExited != nil:
		a.handleExitOfLeaders(now, *m.leadersExited)
	}
}

// handleObservedMap publishes a map that is newer than the known one, and ends the term
// if another leader wrote it.
func (a *Assigner) handleObservedMap(now time.Duration, m *assignment.Map) {
	a.mapWasRead = true
	if !m.IsNewerThan(a.newestMap) {
		return
	}
	a.publishMap(now, m)
	a.options.Journal.LogRoutineEvent(event.MapObserved, "offset", m.Offset, "term", m.Term, "sequence", m.Sequence, "leader", m.Leader)
	if a.leader != nil {
		a.leader.ObserveMap(m)
		a.dropStoppedLeader("another leader's map was read")
	}
}

// publishMap makes m, which was read or written, the newest map and passes it on.
func (a *Assigner) publishMap(now time.Duration, m *assignment.Map) {
	a.observations.Record(now, m, a.newestMap)
	a.newestMap = m
	a.publishedMap.Store(m)
	a.options.OnMap(m)
}

// handleCompletedCall passes the result of a call to the state machine, and sends the call
// that follows at once. It logs the failures: a call that may still take effect as
// GrantUnanswered, a grant that was refused for a higher fence as GrantRefused, and one
// without effect as CallFailed. The client of the servers logs AddressReused.
func (a *Assigner) handleCompletedCall(ctx context.Context, now time.Duration, c completedCall) {
	if code, ok := failureEvents[c.result.Status]; ok {
		a.options.Journal.LogEvent(code, "service", c.call.Service, "server", c.call.Server.ID, "born", c.call.Server.Born, "call", c.call.Kind,
			"from", c.call.From, "to", c.call.To, "fence", c.call.Fence, "error", c.result.Err)
	}
	if a.leader != nil {
		if next, due := a.leader.HandleCallResult(now, c.call, c.result); due {
			go a.sendCall(ctx, now, next)
		}
		a.dropStoppedLeader("a server has accepted the fence of a later term")
	}
}

// handleCompletedWrite passes the result of a write to the state machine. The first
// write that the log acknowledges begins the term.
func (a *Assigner) handleCompletedWrite(now time.Duration, w completedWrite) {
	if a.leader == nil || a.leader.Stopped() || w.term != a.leader.Term() {
		return
	}
	switch {
	case errors.Is(w.err, ErrFormerEra):
		return // the leader writes its newest map again in the present era
	case errors.Is(w.err, ErrConflict) && a.leader.Rewriting():
		a.retryRewrite()
		return
	case errors.Is(w.err, ErrConflict):
		a.leader.Stop()
		a.dropStoppedLeader("another leader wrote a map first")
		return
	}
	wasLeading, rewrote := a.leader.Leading(), a.leader.Rewriting()
	m := a.leader.AcknowledgeMapWrite(now, w.offset, w.nextOffset)
	a.era.recordEnd(w.nextOffset)
	if m.IsNewerThan(a.newestMap) {
		a.publishMap(now, m)
	}
	if rewrote {
		a.logRewrite(now, m)
	}
	if !wasLeading && a.leader.Leading() {
		a.options.Journal.LogEvent(event.TermStarted, "term", m.Term, "offset", m.Offset, "former", a.previousMapLeader)
		if a.previousMapLeader != "" {
			a.formerLeaders.set(a.previousMapLeader, m)
			a.RecordKnownMap(a.options.HostIncarnation, m.NextOffset) // a former leader may be an earlier process of this host
		}
	}
	a.dropStoppedLeader("resigned")
}

// failureEvents holds the events of failed calls.
var failureEvents = map[assignment.CallStatus]event.Code{
	assignment.CallUnanswered:  event.GrantUnanswered,
	assignment.CallFenced:      event.GrantRefused,
	assignment.CallNotExecuted: event.CallFailed,
	assignment.CallRefused:     event.CallFailed,
}

// dropStoppedLeader discards the state machine if it has stopped, and logs the reason.
func (a *Assigner) dropStoppedLeader(reason string) {
	if a.leader == nil || !a.leader.Stopped() {
		return
	}
	a.options.Journal.LogEvent(event.TermEnded, "term", a.leader.Term(), "reason", reason)
	a.leader = nil
}

// tick starts a term if this host is elected and has none. It then starts the calls and
// the write that are due.
func (a *Assigner) tick(ctx context.Context) {
	now := a.options.Now()
	if a.resigning.Load() {
		if a.leader == nil {
			a.resignDoneOnce.Do(func() { close(a.resignDone) })
			return
		}
		a.leader.Resign()
	}
	servers := a.servers.Load()
	if a.leader == nil {
		if a.resigning.Load() || !a.mapWasRead || !a.elected.Load() || servers == nil || now < a.nextTermAttempt {
			return
		}
		takeover, due := a.planTakeover(now)
		if !due {
			return
		}
		a.nextTermAttempt = now + time.Second // at most one attempt a second
		a.previousMapLeader = takeover.Base.Leader
		a.leader = assignment.NewLeader(now, takeover.Base, assignment.Options{HostIncarnation: a.options.HostIncarnation, Stripes: a.options.Stripes, Observations: a.observations,
			Era: a.era.newest, HoldGrantsUntil: takeover.HoldGrantsUntil})
	}
	a.leader.SetServers(*servers)
	a.leader.SetHostCount(int(a.hostCount.Load()))
	if pauses := a.pauses.Load(); pauses != nil {
		a.leader.SetPauses(*pauses)
	}
	if limits := a.warmupLimits.Load(); limits != nil {
		a.leader.SetWarmupLimits(*limits)
	}
	for _, c := range a.leader.Tick(now) {
		go a.sendCall(ctx, now, c)
	}
	if a.leader != nil {
		if w := a.leader.NextMapWrite(); w != nil {
			go a.writeMap(ctx, w.Map)
		}
	}
	a.logReleases()
	a.logRestarts()
	a.logEmptiedServers()
	a.publishEvacuatedRanges(now)
	a.dropStoppedLeader("no read or write of the map succeeded in time")
	a.publishAdmittedShares()
}

// sendCall sends a call that was started at startedAt, by package clock, when its server
// has a free call slot, and queues the result. A grant that was sent ends within
// assignment.CallTimeout of startedAt, because the state machine and later leaders rely on
// that.
func (a *Assigner) sendCall(ctx context.Context, startedAt time.Duration, c assignment.Call) {
	result := assignment.CallResult{Status: assignment.CallNotExecuted}
	value, _ := a.callSlotsByAddress.LoadOrStore(c.Server.Address, make(chan struct{}, maxCallsPerServer))
	slots := value.(chan struct{})
	maxWait, maxAge := maxGrantSlotWait, assignment.CallTimeout
	if c.Kind == assignment.ReleaseCall {
		maxWait, maxAge = maxReleaseSlotWait, maxReleaseAge
	}
	// The clock is read, beside the timers, because the machine may have been suspended,
	// during which timers stand still.
	mayBeSent := func() error {
		switch {
		case !a.leading.Load():
			return errTermEnded
		case a.callsHeld.Load():
			return errLogRestored
		case a.options.Now()-startedAt >= maxAge:
			return errCallTooOld
		}
		return nil
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case slots <- struct{}{}:
		if result.Err = mayBeSent(); result.Err == nil && a.options.Now()-startedAt < maxWait {
			result = a.call(ctx, c, maxAge-(a.options.Now()-startedAt), mayBeSent)
		}
		<-slots
	case <-timer.C:
	case <-ctx.Done():
	}
	a.messages <- message{completedCall: &completedCall{call: c, result: result}}
}

// call sends a call that has to end within a time.
func (a *Assigner) call(ctx context.Context, c assignment.Call, within time.Duration, mayBeSent func() error) assignment.CallResult {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	return a.options.CallSender.Call(ctx, c, mayBeSent, func(ctx context.Context) error { return a.confirmTerm(ctx, c.Term()) })
}

// writeMap repeats a write until it is acknowledged or refused with ErrConflict. The
// state machine has one write open at a time, so a repeated write cannot replace a
// newer map of this host.
func (a *Assigner) writeMap(ctx context.Context, m *assignment.Map) {
	for {
		offset, nextOffset, err := a.options.Store.AppendMap(ctx, m)
		if err == nil || errors.Is(err, ErrConflict) || errors.Is(err, ErrFormerEra) {
			a.messages <- message{completedWrite: &completedWrite{term: m.Term, offset: offset, nextOffset: nextOffset, err: err}}
			return
		}
		a.options.Journal.LogEvent(event.AdapterFailed, "operation", "append map", "term", m.Term, "error", err)
		select {
		case <-ctx.Done():
			return
		case <-time.After(writeRetryDelay):
		}
	}
}
