package assignment

import (
	"time"

	"parsleyrelay.example/core/directory"
)

// rangeStage is the progress of a range's move as the leader tracks it.
type rangeStage int

const (
	stageSettled   rangeStage = iota // only the owner may hold the range; it gets its first grant after a placement, then renewals
	stageReleasing                   // the previous holder may hold the range and is asked to release it
	stageGranting                    // the previous holder no longer holds the range; the owner gets its first grant
)

// trackedRange is a range with the leader's state of its grants and calls.
type trackedRange struct {
	service    string
	from, to   uint16
	stage      rangeStage
	callOpen   bool
	lastCallAt time.Duration // start of the last call
	nextCallAt time.Duration // earliest start of the next call
	// lastGrantEndedAt is the end of the last grant call that may have had an effect.
	lastGrantEndedAt time.Duration
	fence            uint64 // fence of the last grant
	fenceCounter     uint64 // number of the last grant in this term; 0 for none
	fenceConfirmed   bool   // no grant is unanswered: the holder accepted the fence, or the former leader resigned
	// responseIdentified reports that the response to the last grant was surely its own;
	// see CallResult.Unidentified.
	responseIdentified bool
	// The holder may hold the range until the later of grantExpiry (grants of this
	// term) and formerGrantExpiry (grants of former leaders).
	grantExpiry           time.Duration
	formerGrantExpiry     time.Duration
	expiryBeforeCall      time.Duration // grantExpiry before the open grant call
	handover              string        // data from the previous holder for the owner
	revertIfHolderReturns bool          // the move started because the holder was draining, unlisted or ended
	moveStartedAt         time.Duration // start of the last move in this term; 0 for none
	unverified            *verification // set while a lost map may have moved the range; see Leader.EnterEra
	// owner, previousHolder and grantPending are those of the newest map. Calls are
	// made only while the acknowledged map and an open write have the same values.
	owner, previousHolder ServerIncarnation
	grantPending          bool
}

// MapWrite is a map to append on the condition that the next offset of the log is
// Map.NextOffset.
type MapWrite struct{ Map *Map }

// Options configure a Leader.
type Options struct {
	// HostIncarnation identifies this run of the host's process.
	HostIncarnation string
	// Stripes is the number of ranges of equal width into which a service is divided
	// at its first placement. It must be a power of two, so that it divides KeyCount.
	// Other numbers are rounded up to one, and limited to maxRangesPerService. It is
	// doubled until there are minStripesPerServer ranges for each server.
	Stripes int
	// Observations are those of this host until now; nil for none.
	Observations *Observations
	// Era is the present era of the log.
	Era uint64
	// HoldGrantsUntil is set if maps of former leaders may have been lost. The leader makes no
	// calls before that time, or until its term is so old that the grants of all former leaders
	// have ended; see PlanTakeover.
	HoldGrantsUntil time.Duration
}

// Leader is the state machine of the leading host. It grants a range for
// GrantDuration only if the acknowledged map names the server as owner and no
// previous holder; a previous holder gets at most a FenceGrantDuration grant.
//
// After NewLeader, the caller repeatedly calls Tick, makes the returned calls and
// passes their results to HandleCallResult. It also appends the map of NextMapWrite
// and passes the outcome to AcknowledgeMapWrite, or to Stop if the condition of the
// append failed; after any other error it repeats the append. The first acknowledged
// write begins the term. A Leader must not be used concurrently.
type Leader struct {
	options               Options
	acknowledged          *Map // last map that the log acknowledged
	draft                 *Map // map of the next write; nil if nothing changed
	inFlight              *Map // map of the open write; nil for none
	lastTickAt            time.Duration
	writeStartedAt        time.Duration            // time of the last tick before the open write
	leadershipConfirmedAt time.Duration            // time of the last evidence that no other leader has written
	formerGrantExpiry     time.Duration            // time until which a server may hold a range by a grant of a former leader
	earlierGrantExpiry    time.Duration            // the same for the leaders before the last one
	lastMove              uint64                   // number of the last move of the term
	movesLeft             int                      // moves that may start now, see countMoves
	openCalls             map[uint64]*trackedRange // by call ID
	lastCallID            uint64
	trackedRanges         []*trackedRange
	servers               map[string]map[string]directory.Server // by service and server ID
	termBegun             bool                                   // the first write of the term was acknowledged
	termBegunAt           time.Duration
	earlierLeadersStopped bool // no leader of an earlier term grants any more, whatever it knows
	holdGrantsUntil       time.Duration
	lostGrantsEnd         time.Duration // when the grants of leaders whose maps were lost have ended
	rewriting             bool          // no map was acknowledged in the present era of the log; see EnterEra
	stopped               bool
	resigning             bool
	firstServerAt         map[string]time.Duration    // by service; time at which a server was first assignable
	keyLoadsByService     map[string]*keyLoads        // by service
	meanServiceTimes      map[string]*meanServiceTime // by server ID
	addressReused         map[endpoint]addressReuse
	fillingServers        map[endpoint]bool // servers that had no ranges and are getting their share
	hostCount             int
	queueReports          map[string]queueReports             // by server ID
	contacts              map[string]*serverContact           // by server ID
	admittedLoads         map[string]map[string]float64       // of limited servers, by service and server ID
	admittedShares        map[string]float64                  // see AdmittedShares
	completedReleases     []CompletedRelease                  // since the last TakeCompletedReleases
	restarts              []Restart                           // since the last TakeRestarts
	refusedUntil          map[ServerIncarnation]time.Duration // time of the next call to a server that refused one
	pauses                map[string]directory.Pause          // by server ID
	emptiedServers        map[ServerIncarnation]bool          // see EmptiedServers
	evacuatedRanges       map[string]int                      // see EvacuatedRanges
	lastReceived          map[endpoint]time.Duration          // when a range last began to move to a server, after an evacuation of its zone
	warmupLimits          map[string]float64                  // see SetWarmupLimits
	// Memory that each tick uses again.
	rangeCounts map[string]int                // of planMoves
	assignable  map[string][]directory.Server // of assignableServers
}

// NewLeader returns a leader for the term after that of the acknowledged map. The
// term begins when the log acknowledges the first write.
func NewLeader(now time.Duration, acknowledged *Map, options Options) *Leader {
	l := &Leader{
		options: options, acknowledged: acknowledged, openCalls: map[uint64]*trackedRange{}, servers: map[string]map[string]directory.Server{}, firstServerAt: map[string]time.Duration{},
		keyLoadsByService: map[string]*keyLoads{}, meanServiceTimes: map[string]*meanServiceTime{}, queueReports: map[string]queueReports{}, contacts: map[string]*serverContact{}, admittedLoads: map[string]map[string]float64{}, addressReused: map[endpoint]addressReuse{}, refusedUntil: map[ServerIncarnation]time.Duration{}, fillingServers: map[endpoint]bool{}, lastReceived: map[endpoint]time.Duration{},
		rangeCounts: map[string]int{}, assignable: map[string][]directory.Server{},
	}
	l.draft = acknowledged.clone()
	l.draft.Era, l.draft.Term = options.Era, max(acknowledged.Term+1, FirstTermOf(options.Era))
	l.holdGrantsUntil, l.lostGrantsEnd = options.HoldGrantsUntil, options.HoldGrantsUntil
	l.lastCallID = l.draft.Term << callIDBits
	l.draft.Sequence = 0
	l.draft.Leader = options.HostIncarnation
	l.draft.EarlierLeaders = acknowledged.earlierLeadersOfNextTerm()
	l.draft.Resigned = false
	if options.HoldGrantsUntil > 0 {
		l.draft.EarlierLeaders = withLostLeader(l.draft.EarlierLeaders)
	}
	l.leadershipConfirmedAt, l.lastTickAt = now, now
	return l
}

// Term returns the leader's term, which may not have begun.
func (l *Leader) Term() uint64 { return l.newestMap().Term }

// Leading reports whether the term has begun and not ended.
func (l *Leader) Leading() bool { return l.termBegun && !l.stopped }

// Stopped reports whether the term has ended. A stopped Leader cannot be reused.
func (l *Leader) Stopped() bool { return l.stopped }

// ConfirmLeadership records that a log read sent at now showed no map of another
// leader. It is ignored after EnterEra until a map is acknowledged in the new era: a map of
// another leader may have been lost.
func (l *Leader) ConfirmLeadership(now time.Duration) {
	if l.rewriting {
		return
	}
	l.leadershipConfirmedAt = max(l.leadershipConfirmedAt, now)
}

// ConfirmedAt returns the time of the last evidence that no other leader had written.
func (l *Leader) ConfirmedAt() time.Duration { return l.leadershipConfirmedAt }

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

// draftResignation drafts the map that ends the term, if no write, call or move is
// open and no grant is unanswered. A grant that the copy of another response answered may
// still be applied, so the next leader raises each fence before a release.
func (l *Leader) draftResignation() {
	if l.inFlight != nil || l.draft != nil || len(l.openCalls) > 0 || l.acknowledged.IsUnverified() {
		return
	}
	for _, t := range l.trackedRanges {
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
	if l.stopped || l.inFlight != nil || l.draft == nil || l.rewriting && l.draft.NextOffset == 0 {
		return nil
	}
	l.inFlight, l.draft = l.draft, nil
	l.writeStartedAt = l.lastTickAt
	return &MapWrite{Map: l.inFlight}
}

// AcknowledgeMapWrite records that the log acknowledged the open write at offset. It
// returns the written map. Another leader may have written between the write and its
// acknowledgement, so leadership is confirmed at the start of the write.
func (l *Leader) AcknowledgeMapWrite(now time.Duration, offset, nextOffset uint64) *Map {
	firstWrite := !l.termBegun
	// A resignation of a former era proves nothing, as later maps may have been lost.
	formerResigned := l.acknowledged.Resigned && l.acknowledged.Era == l.inFlight.Era && !l.acknowledged.IsUnverified()
	firstStart := l.acknowledged.Term == 0 && l.options.HoldGrantsUntil == 0
	l.acknowledged, l.inFlight = l.inFlight, nil
	l.acknowledged.Offset, l.acknowledged.NextOffset = offset, nextOffset
	if l.draft != nil {
		l.draft.NextOffset = nextOffset
	}
	l.leadershipConfirmedAt = max(l.leadershipConfirmedAt, l.writeStartedAt)
	if firstWrite {
		l.beginTerm(now, formerResigned, firstStart)
	} else if l.rewriting {
		l.resumeTerm(now)
	}
	if l.acknowledged.Resigned {
		l.stopped = true
	}
	return l.acknowledged
}

// beginTerm starts to track all ranges. A former leader that resigned has no open
// call. Otherwise it may start calls until its LeadershipConfirmationTimeout, the last
// one may take CallTimeout, and holders may hold their ranges until its grant expires.
// Holders may be asked to release at once: no grant of a former leader reaches an
// incarnation that has not seen the fence of this term.
func (l *Leader) beginTerm(now time.Duration, formerResigned, firstStart bool) {
	l.termBegun, l.termBegunAt, l.trackedRanges = true, now, nil
	formerGrantExpiry := now + GrantDuration + GrantExpiryMargin
	if !formerResigned {
		formerGrantExpiry += LeadershipConfirmationTimeout + CallTimeout
	}
	l.holdGrantsUntil = min(l.holdGrantsUntil, now+formerGrantsDuration)
	l.lostGrantsEnd = l.holdGrantsUntil
	if !firstStart {
		l.formerGrantExpiry, l.earlierGrantExpiry = formerGrantExpiry, formerGrantExpiry
		if l.options.Observations != nil {
			if expiry, known := l.options.Observations.grantExpiryBefore(l.acknowledged.Term - 1); known {
				l.earlierGrantExpiry = min(formerGrantExpiry, expiry)
			}
		}
	}
	for _, service := range sortedKeys(l.acknowledged.Services) {
		for _, r := range l.acknowledged.Services[service] {
			t := &trackedRange{service: service, from: r.From, to: r.To, formerGrantExpiry: formerGrantExpiry, fenceConfirmed: formerResigned, nextCallAt: now,
				owner: r.Owner, previousHolder: r.PreviousHolder, grantPending: r.GrantPending}
			switch {
			case r.AwaitsRelease():
				t.stage = stageReleasing
				if l.options.Observations != nil {
					if expiry, known := l.options.Observations.grantExpiry(now, &r); known {
						t.formerGrantExpiry = min(t.formerGrantExpiry, expiry)
					}
				}
			case r.GrantPending:
				t.stage = stageGranting
			}
			l.trackedRanges = append(l.trackedRanges, t)
		}
	}
}

// Tick ends the term if leadership has not been confirmed in time. Otherwise it places
// new services, plans moves and returns the calls to make now. It is meant to run
// every few tens of milliseconds.
func (l *Leader) Tick(now time.Duration) []Call {
	l.lastTickAt = now
	if !l.Leading() {
		return nil
	}
	if now-l.leadershipConfirmedAt > LeadershipConfirmationTimeout {
		l.stopped = true
		return nil
	}
	l.earlierLeadersStopped = now-l.termBegunAt > LeadershipConfirmationTimeout+CallTimeout
	if l.checkFenceCounters(); l.stopped {
		return nil
	}
	if l.callsHeld(now) {
		l.stopped = l.resigning && !l.rewriting // the rewritten map spares the next leader a wait
		return nil
	}
	l.completeVerifications(now)
	l.recordRestarts(now)
	if l.resigning {
		l.draftResignation()
		if l.newestMap().Resigned {
			return nil
		}
	} else {
		l.updateEmptiedServers()
		l.placeNewServices(now)
		l.planMoves(now)
		l.balanceLoad(now)
	}
	l.updateEvacuatedRanges()
	var calls []Call
	for _, t := range l.trackedRanges {
		if l.resigning && t.stage == stageSettled && t.fenceConfirmed {
			continue // the next leader renews the grant
		}
		if c, ok := l.startDueCall(now, t); ok {
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
		switch {
		case l.earlierLeadersStopped && l.draft.IsUnverified():
			l.draft.EarlierLeaders = withLostLeader(nil)
		case l.earlierLeadersStopped:
			l.draft.EarlierLeaders = nil
		}
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
