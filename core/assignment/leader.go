package assignment

import (
	"time"

	"parsleyrelay.example/core/directory"
)

// rangeStage is the progress of a range's move as the leader tracks it.
type rangeStage int

const (
	stageSettled   rangeStage = iota // the owner holds the range; grants are renewed
	stageReleasing                   // the previous holder may hold the range and is asked to release it
	stageGranting                    // the previous holder no longer holds the range; the owner gets its first grant
)

// trackedRange is a range with the leader's state of its grants and calls.
type trackedRange struct {
	service        string
	from, to       uint16
	stage          rangeStage
	callOpen       bool
	lastCallAt     time.Duration // start of the last call
	nextCallAt     time.Duration // earliest start of the next call
	fence          uint64        // fence of the last grant
	fenceConfirmed bool          // the holder accepted a fence of this term, and no earlier grant may still arrive
	// The holder may hold the range until the later of grantExpiry (grants of this
	// term) and formerGrantExpiry (grants of former leaders).
	grantExpiry       time.Duration
	formerGrantExpiry time.Duration
	handover          string // data from the previous holder for the owner
	holderUnavailable bool   // the move started because the holder was draining, unlisted or replaced
	// owner, previousHolder and grantPending are those of the newest map. Calls are
	// made only while the acknowledged map has the same values.
	owner, previousHolder Incarnation
	grantPending          bool
}

// MapWrite is a map to append on the condition that the next offset of the log is
// Map.NextOffset.
type MapWrite struct{ Map *Map }

// Options configure a Leader.
type Options struct {
	HostIncarnation string
	Stripes         int // number of ranges of a service at its first placement, before doubling for many servers
}

// Leader is the state machine of the leading host. It grants a range for
// GrantDuration only if the acknowledged map names the server as owner and no
// previous holder; a previous holder gets at most a FenceGrantDuration grant.
type Leader struct {
	options         Options
	acknowledged    *Map          // last map that the log acknowledged
	draft           *Map          // map of the next write; nil if nothing changed
	inFlight        *Map          // map of the open write; nil for none
	confirmedAt     time.Duration // time of the last evidence that no other leader has written
	fenceCounter    uint64
	openCalls       map[uint64]*trackedRange // by call ID
	lastCallID      uint64
	ranges          []*trackedRange
	servers         map[string]map[string]directory.Server // by service and server ID
	termBegun       bool                                   // the first write of the term was acknowledged
	stopped         bool
	resigning       bool
	firstServerSeen map[string]time.Duration // by service; time at which a server was first available
	serviceLoads    map[string]*serviceLoad  // by service
	serviceTimes    map[string]*serviceTime  // by server ID
	addressReused   map[Incarnation]bool     // another server responded at the address
	fillingServers  map[Incarnation]bool     // servers that had no ranges and are getting their share
}

// NewLeader returns a leader for the term after that of the acknowledged map. The
// term begins when the log acknowledges the first write.
func NewLeader(now time.Duration, acknowledged *Map, options Options) *Leader {
	l := &Leader{
		options: options, acknowledged: acknowledged, openCalls: map[uint64]*trackedRange{}, servers: map[string]map[string]directory.Server{}, firstServerSeen: map[string]time.Duration{},
		serviceLoads: map[string]*serviceLoad{}, serviceTimes: map[string]*serviceTime{}, addressReused: map[Incarnation]bool{}, fillingServers: map[Incarnation]bool{},
	}
	l.draft = acknowledged.clone()
	l.draft.Term++
	l.draft.Sequence = 0
	l.draft.Leader = options.HostIncarnation
	l.draft.Resigned = false
	l.confirmedAt = now
	return l
}

// Term returns the leader's term, which may not have begun.
func (l *Leader) Term() uint64 { return l.newestMap().Term }

// Leading reports whether the term has begun and not ended.
func (l *Leader) Leading() bool { return l.termBegun && !l.stopped }

// Stopped reports whether the term has ended. A stopped Leader cannot be reused.
func (l *Leader) Stopped() bool { return l.stopped }

// ConfirmLeadership records that a log read sent at now showed no map of another
// leader.
func (l *Leader) ConfirmLeadership(now time.Duration) { l.confirmedAt = max(l.confirmedAt, now) }

// ObserveMap ends the term if m, read from the log, was written by another leader of
// this term or by a later one.
func (l *Leader) ObserveMap(m *Map) {
	if m.Term > l.Term() || m.Term == l.Term() && m.Leader != l.options.HostIncarnation {
		l.stopped = true
	}
}

// Stop ends the term immediately.
func (l *Leader) Stop() { l.stopped = true }

// Resign starts an orderly end of the term: no further moves are planned, and once
// all ranges are settled and no call is open, the last write records the end.
func (l *Leader) Resign() { l.resigning = true }

// writeResignation drafts the write that ends the term, if no write, call or move is
// open.
func (l *Leader) writeResignation() {
	if l.inFlight != nil || l.draft != nil || len(l.openCalls) > 0 {
		return
	}
	for _, t := range l.ranges {
		if t.stage != stageSettled || !t.fenceConfirmed {
			return
		}
	}
	l.ensureDraft().Resigned = true
}

// SetServers sets the servers of all keyed services. A service without an entry
// keeps its ranges.
func (l *Leader) SetServers(servers map[string]map[string]directory.Server) { l.servers = servers }

// NextMapWrite returns the map to append, or nil. Only one write is open at a time.
// It ends with AcknowledgeMapWrite, or with the term if another leader's map is
// observed.
func (l *Leader) NextMapWrite() *MapWrite {
	if l.stopped || l.inFlight != nil || l.draft == nil {
		return nil
	}
	l.inFlight, l.draft = l.draft, nil
	return &MapWrite{Map: l.inFlight}
}

// AcknowledgeMapWrite records that the log acknowledged the open write at offset. It
// returns the written map.
func (l *Leader) AcknowledgeMapWrite(now time.Duration, offset, nextOffset uint64) *Map {
	firstWrite := !l.termBegun
	formerResigned := l.acknowledged.Resigned
	l.acknowledged, l.inFlight = l.inFlight, nil
	l.acknowledged.Offset, l.acknowledged.NextOffset = offset, nextOffset
	if l.draft != nil {
		l.draft.NextOffset = nextOffset
	}
	l.confirmedAt = max(l.confirmedAt, now)
	if firstWrite {
		l.beginTerm(now, formerResigned)
	}
	if l.acknowledged.Resigned {
		l.stopped = true
	}
	return l.acknowledged
}

// beginTerm starts to track all ranges. A former leader that resigned has no open
// call. Otherwise it may send grants until its LeaderContactTimeout, and holders may
// hold their ranges until the last of these grants expires.
func (l *Leader) beginTerm(now time.Duration, formerResigned bool) {
	l.termBegun, l.ranges = true, nil
	formerGrantExpiry := now + GrantDuration + GrantExpiryMargin
	if !formerResigned {
		formerGrantExpiry += LeaderContactTimeout
	}
	for _, service := range sortedKeys(l.acknowledged.Services) {
		for _, r := range l.acknowledged.Services[service] {
			t := &trackedRange{service: service, from: r.From, to: r.To, formerGrantExpiry: formerGrantExpiry, fenceConfirmed: formerResigned, nextCallAt: now,
				owner: r.Owner, previousHolder: r.PreviousHolder, grantPending: r.GrantPending}
			switch {
			case r.AwaitsRelease():
				t.stage = stageReleasing
			case r.GrantPending:
				t.stage = stageGranting
			}
			l.ranges = append(l.ranges, t)
		}
	}
}

// Tick plans moves and returns the calls to make now.
func (l *Leader) Tick(now time.Duration) []Call {
	if !l.Leading() {
		return nil
	}
	if now-l.confirmedAt > LeaderContactTimeout {
		l.stopped = true
		return nil
	}
	if l.resigning {
		l.writeResignation()
		if l.newestMap().Resigned {
			return nil
		}
	} else {
		l.placeNewServices(now)
		l.planMoves(now)
		l.balanceLoad(now)
	}
	var calls []Call
	for _, t := range l.ranges {
		if l.resigning && t.stage == stageSettled && t.fenceConfirmed {
			continue // the next leader renews the grant
		}
		if c, ok := l.dueCall(now, t); ok {
			calls = append(calls, c)
		}
	}
	return calls
}

// ensureDraft returns the map of the next write, creating it from the newest map if
// there is none.
func (l *Leader) ensureDraft() *Map {
	if l.draft == nil {
		base := l.acknowledged
		if l.inFlight != nil {
			base = l.inFlight
		}
		l.draft = base.clone()
		l.draft.Sequence++
	}
	return l.draft
}

// newestMap returns the map with all changes, acknowledged or not.
func (l *Leader) newestMap() *Map {
	switch {
	case l.draft != nil:
		return l.draft
	case l.inFlight != nil:
		return l.inFlight
	}
	return l.acknowledged
}
