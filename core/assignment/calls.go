package assignment

import (
	"time"
)

// CallKind is the kind of a Call.
type CallKind int

// The kinds of calls to servers.
const (
	GrantCall CallKind = iota + 1
	ReleaseCall
)

// String returns the name of the kind for log lines.
func (k CallKind) String() string {
	if k == ReleaseCall {
		return "release"
	}
	return "grant"
}

// callIDBits is the number of low bits of a Call.ID that count the calls of a term; the
// term, of at most 29 bits, is in the bits above. A host may lead again while calls of its
// former term are open, and their results must not count for calls of the new one.
const callIDBits = 35

// Call is a request to a server to accept a grant or to release a range. The
// caller of Leader.Tick sends it and passes its result to Leader.HandleCallResult.
type Call struct {
	ID            uint64
	Kind          CallKind
	Service       string
	Server        ServerIncarnation
	From, To      uint16
	Fence         uint64
	GrantDuration time.Duration // 0 for a release
	Handover      string        // data from the previous holder for the new owner; empty for none
	// ConnectedBefore is the last confirmation of the leadership at the start of a grant.
	// The call is sent over a connection that was opened before, at whose other end is an
	// incarnation that ran before any later leader, and has seen the fence of one that made
	// it release the range. A newer incarnation has seen none. 0 allows any connection.
	ConnectedBefore time.Duration
	// MayConnect allows another connection, too, but only after a read of the log that was
	// sent when it was open has confirmed the leadership. Without it the call is not sent
	// if there is no connection from before.
	MayConnect bool
	// NewConn is set for a grant that only raises the fence. It is sent over a new
	// connection, on which the first response is surely its own.
	NewConn bool
}

// Term returns the term of the leader that made the call.
func (c *Call) Term() uint64 { return c.ID >> callIDBits }

// CallStatus is the outcome of a Call.
type CallStatus int

// The outcomes of a call.
const (
	CallSucceeded     CallStatus = iota + 1
	CallFenced                   // refused: the server has accepted a higher fence, so there is a later leader
	CallNotExecuted              // no effect: nothing was sent, or the server did not execute it for another reason
	CallUnanswered               // no response, or none that says whether it had an effect; it may still take effect
	CallAddressReused            // another server responded at the address, so the called one has ended
	CallRefused                  // no effect: the server takes no such calls, or is not the called one and did not say which
)

// CallResult is the outcome of a Call.
type CallResult struct {
	Status   CallStatus
	Handover string // data of a successful release for the new owner
	// Unidentified is set for a response that may be the copy of an earlier one on its
	// connection, so that a grant may still be applied.
	Unidentified bool
	Err          error // cause of a failure, for log lines; may be nil
}

// startDueCall records and returns the call to make for a range now, and whether there
// is one. It completes the release of a range whose previous holder cannot hold it
// any more, which changes the draft map.
func (l *Leader) startDueCall(now time.Duration, t *trackedRange) (Call, bool) {
	// The end of the previous holder's grant is checked even before nextCallAt.
	if l.callsHeld(now) || t.callOpen || now < t.nextCallAt && t.stage != stageReleasing {
		return Call{}, false
	}
	// The log must have acknowledged the latest change of the range. An open write that
	// differs may be stored already, and the next leader relies on the calls that its
	// state allows.
	if !t.isInState(l.acknowledged.FindRange(t.service, t.from)) || l.inFlight != nil && !t.isInState(l.inFlight.FindRange(t.service, t.from)) {
		return Call{}, false
	}
	if t.unverified != nil {
		return l.startVerification(now, t)
	}
	if t.stage != stageReleasing && now < l.refusedUntil[t.owner] {
		return Call{}, false
	}
	switch t.stage {
	case stageSettled:
		return l.startCall(now, t, GrantCall, t.owner, "", GrantDuration), true
	case stageReleasing:
		evidence, freed := l.hasEnded(t, t.previousHolder)
		if !freed && now >= t.latestGrantExpiry() {
			evidence, freed = GrantExpired, true
		}
		switch {
		case freed:
			l.completeRelease(now, t, evidence)
			return Call{}, false
		case now < t.nextCallAt || now < l.refusedUntil[t.previousHolder] || now-l.leadershipConfirmedAt > moveConfirmationTimeout:
			return Call{}, false
		case !t.fenceProven() && now-l.leadershipConfirmedAt > confirmationGrace:
			return Call{}, false // a new connection must not be used
		case !t.fenceProven() && t.latestGrantExpiry()-now < CallTimeout+FenceGrantDuration+GrantExpiryMargin:
			return Call{}, false // an unanswered grant would delay the expiry
		case !t.fenceProven():
			// An earlier grant may still be applied after the release; a higher fence makes
			// the server refuse it.
			return l.startCall(now, t, GrantCall, t.previousHolder, "", FenceGrantDuration), true
		}
		return l.startCall(now, t, ReleaseCall, t.previousHolder, "", 0), true
	default:
		return l.startCall(now, t, GrantCall, t.owner, t.handover, GrantDuration), true
	}
}

// fenceProven reports whether the holder refuses all earlier grants: it has accepted the
// fence, and the response that says so is surely that to the last grant.
func (t *trackedRange) fenceProven() bool { return t.fenceConfirmed && t.responseIdentified }

// isInState reports whether a map's range has the owner, the previous holder and the
// grant state of the newest map.
func (t *trackedRange) isInState(r *Range) bool {
	return r != nil && r.Owner.endpoint() == t.owner.endpoint() && r.PreviousHolder.endpoint() == t.previousHolder.endpoint() && r.GrantPending == t.grantPending
}

// hasEnded reports whether the holder of a range is known to have ended, and the
// evidence: another server responded at its address, calls to it are refused there and a
// newer server of any service is listed with the address, or a newer incarnation in the
// same service has its ID and another address. A newer incarnation at the address is no
// evidence, because calls for the former one may have reached it. Nor is the entry of
// another server alone, which may outlast that server.
func (l *Leader) hasEnded(t *trackedRange, holder ServerIncarnation) (ReleaseEvidence, bool) {
	// A call that was started after the response, or a grant that ended after it, may have
	// reached a newer incarnation.
	if reuse, ok := l.addressReused[holder.endpoint()]; ok && max(t.lastCallAt, t.lastGrantEndedAt) <= reuse.seenAt {
		return AddressTakenOver, true
	}
	newest := holder.Born
	if s, ok := l.servers[t.service][holder.ID]; ok && s.Born > newest {
		if s.Address != holder.Address {
			return NewerIncarnationListed, true
		}
		newest = s.Born
	}
	if _, refused := l.refusedUntil[holder]; !refused {
		return "", false
	}
	for _, servers := range l.servers {
		for _, s := range servers {
			if s.ID != holder.ID && s.Address == holder.Address && s.Born > newest {
				return NewerServerAtAddress, true
			}
		}
	}
	return "", false
}

// addressReuse is a response of another server at the address of a server.
type addressReuse struct {
	born   int64 // of the newest incarnation of the server that is known to have ended
	seenAt time.Duration
}

// startCall records a call as open and returns it. Each grant has a new fence: the former
// one may have been accepted by an incarnation of the server that has ended since.
func (l *Leader) startCall(now time.Duration, t *trackedRange, kind CallKind, server ServerIncarnation, handover string, grantDuration time.Duration) Call {
	if kind == GrantCall || t.fenceCounter == 0 {
		t.fenceCounter++
	}
	t.fence = l.acknowledged.Term<<fenceCounterBits | t.fenceCounter
	if t.unverified != nil {
		t.fence = t.unverified.term<<fenceCounterBits | t.fenceCounter
	}
	l.lastCallID++
	t.callOpen, t.lastCallAt = true, now
	if _, refused := l.refusedUntil[server]; refused {
		l.refusedUntil[server] = now + RefusedCallDelay // other ranges wait for the result of this call
	}
	var connectedBefore time.Duration
	if kind == GrantCall {
		connectedBefore = l.leadershipConfirmedAt
		t.expiryBeforeCall = t.grantExpiry
		t.grantExpiry = max(t.grantExpiry, now+CallTimeout+grantDuration+GrantExpiryMargin)
	}
	l.openCalls[l.lastCallID] = t
	return Call{ID: l.lastCallID, Kind: kind, Service: t.service, Server: server, From: t.from, To: t.to, Fence: t.fence, GrantDuration: grantDuration, Handover: handover,
		ConnectedBefore: connectedBefore, MayConnect: kind == GrantCall && now-l.leadershipConfirmedAt <= confirmationGrace,
		NewConn: kind == GrantCall && grantDuration == FenceGrantDuration}
}

// checkFenceCounters ends the term before a count of the term would run into the bits of
// the next term.
func (l *Leader) checkFenceCounters() {
	highest := l.lastMove
	for _, t := range l.trackedRanges {
		highest = max(highest, t.fenceCounter)
	}
	l.resigning = l.resigning || highest > maxFenceCounter-resignationReserve
	l.stopped = l.stopped || highest >= maxFenceCounter
}

// HandleCallResult updates the range of a call that has ended. CallFenced ends the
// term. Results after the end of the term, and those of calls of other terms, are ignored.
// After CallAddressReused the server counts as ended. A server that refused a call gets one in RefusedCallDelay, for a
// range whose turn it is, until one succeeds. Other failed calls are repeated after
// CallRetryDelay. If the release that follows a grant which raised the fence is due, it is
// returned, to be made at once.
func (l *Leader) HandleCallResult(now time.Duration, call Call, result CallResult) (next Call, due bool) {
	t := l.openCalls[call.ID]
	delete(l.openCalls, call.ID)
	if t == nil || l.stopped {
		return Call{}, false
	}
	t.callOpen = false
	hadNoEffect := result.Status == CallNotExecuted && !result.Unidentified
	if call.Kind == GrantCall && (result.Status == CallSucceeded || result.Unidentified) {
		t.responseIdentified = !result.Unidentified
	}
	if call.Kind == GrantCall && (result.Status == CallSucceeded || result.Status == CallUnanswered || result.Unidentified) {
		t.lastGrantEndedAt = now
	}
	if result.Status == CallSucceeded {
		delete(l.refusedUntil, call.Server)
	}
	switch {
	case result.Status == CallFenced:
		l.stopped = true
	case result.Status == CallAddressReused:
		reuse := l.addressReused[call.Server.endpoint()]
		l.addressReused[call.Server.endpoint()] = addressReuse{born: max(reuse.born, call.Server.Born), seenAt: now}
		t.fenceConfirmed, t.nextCallAt = false, now+CallRetryDelay
	case result.Status == CallRefused:
		l.refusedUntil[call.Server] = now + RefusedCallDelay
		t.nextCallAt = now + RenewalInterval // calls for other ranges of the server come first
	case call.Kind == ReleaseCall && result.Status == CallSucceeded:
		t.handover = result.Handover
		l.completeRelease(now, t, ReleasedByHolder)
	case call.Kind == ReleaseCall:
		t.nextCallAt = now + CallRetryDelay
	case result.Status != CallSucceeded:
		// An unanswered grant may still be applied.
		t.fenceConfirmed = t.fenceConfirmed && hadNoEffect
		t.nextCallAt = now + CallRetryDelay
		if hadNoEffect {
			t.grantExpiry = t.expiryBeforeCall
			return Call{}, false
		}
		// The call may have ended later than CallTimeout after its start.
		t.grantExpiry = max(t.grantExpiry, now+call.GrantDuration+GrantExpiryMargin)
	case t.unverified != nil && !l.rewriting && call.Term() == l.acknowledged.Term:
		l.completeVerification(now, t)
	case t.stage == stageReleasing:
		t.fenceConfirmed, t.nextCallAt = true, now
		if t.fenceProven() {
			return l.startDueCall(now, t)
		}
	default:
		l.completeGrant(now, t)
		if t.unverified != nil {
			t.nextCallAt = now // the call was made before the present era was seen
		}
	}
	return Call{}, false
}

// completeGrant schedules the renewal of a grant that the owner accepted. If it was
// the owner's first one, the range is settled.
func (l *Leader) completeGrant(now time.Duration, t *trackedRange) {
	t.fenceConfirmed = true
	t.grantExpiry = now + GrantDuration + GrantExpiryMargin
	if t.fenceProven() {
		t.formerGrantExpiry = 0 // the owner refuses the grants of former leaders
	}
	t.nextCallAt = t.renewalAt()
	if t.stage == stageGranting {
		t.stage, t.handover = stageSettled, ""
		t.grantPending = false
		l.ensureDraft().FindRange(t.service, t.from).GrantPending = false
	}
}

// renewalAt returns when to renew the grant of the last call: at the last time of the
// range within RenewalInterval. The ranges of a server have different times, although many
// get their first grants at once, so that few connections to the server carry all renewals
// and are not idle for long.
func (t *trackedRange) renewalAt() time.Duration {
	const golden = 40503 // 65536 divided by the golden ratio: spreads adjacent and equidistant keys
	phase := time.Duration(t.from*golden) * RenewalInterval / KeyCount
	latest := t.lastCallAt + RenewalInterval
	return latest - (latest-phase)%RenewalInterval
}

// latestGrantExpiry returns the time until which the holder may hold the range.
func (t *trackedRange) latestGrantExpiry() time.Duration {
	return max(t.grantExpiry, t.formerGrantExpiry)
}

// completeRelease records that the previous holder no longer holds the range. The
// owner gets its grant once the log has acknowledged the map that says so.
func (l *Leader) completeRelease(now time.Duration, t *trackedRange, evidence ReleaseEvidence) {
	r := l.ensureDraft().FindRange(t.service, t.from)
	l.recordRelease(CompletedRelease{Service: t.service, From: t.from, To: t.to, Holder: r.PreviousHolder, Owner: r.Owner,
		Evidence: evidence, Fence: t.fence, GrantLeft: max(0, t.latestGrantExpiry()-now)})
	r.PreviousHolder, r.GrantPending, r.Move = ServerIncarnation{}, true, 0
	t.previousHolder, t.grantPending = r.PreviousHolder, true
	t.stage, t.fenceConfirmed, t.nextCallAt = stageGranting, false, now
	t.grantExpiry, t.formerGrantExpiry = 0, 0
}

// RecordExitOfEarlierLeaders records that the processes of Map.EarlierLeaders have ended.
func (l *Leader) RecordExitOfEarlierLeaders(now time.Duration) {
	l.earlierGrantExpiry = 0
	l.RecordFormerLeaderExit(now)
}

// RecordFormerLeaderExit records that the process of the former leader has ended
// and sends no grants after now. CallTimeout is not added, since no call of an ended
// process is open. The leaders before it may still run.
func (l *Leader) RecordFormerLeaderExit(now time.Duration) {
	latestExpiry := max(now+GrantDuration+GrantExpiryMargin, l.earlierGrantExpiry)
	l.formerGrantExpiry = min(l.formerGrantExpiry, latestExpiry)
	for _, t := range l.trackedRanges {
		t.formerGrantExpiry = min(t.formerGrantExpiry, latestExpiry)
	}
}
