package assignment

import (
	"math"
	"slices"
	"time"
)

// The log may be restored from an older copy. It has then lost the records that were written
// after that copy, and its era, which all its responses name, is higher by one. The offsets
// of this package are positions, which include the era, so that they never go back.

const (
	// eraTermBits is the number of terms in the first term of an era, as a power of two. Terms
	// of an era are higher than all terms of earlier eras, lost ones too, as long as no era has
	// more terms than that.
	eraTermBits = 16
	// formerGrantsDuration is the time after the last confirmation of a leader, or after a
	// restore of the log, until its grants have ended: it stops without a confirmation, its last
	// call ends, and so does the last grant.
	formerGrantsDuration = LeadershipConfirmationTimeout + CallTimeout + GrantDuration + GrantExpiryMargin
	// FormerLeaderWait is the time after the first sight of an era in which an elected host
	// waits for the map of the former leader in that era. A leader that reaches the log writes
	// it within a few hundred milliseconds.
	FormerLeaderWait = 1500 * time.Millisecond
)

// lostLeader is an element of Map.EarlierLeaders while grants may hold that are in no map.
// It is not a name of a process, so that no evidence of an exit removes it.
const lostLeader = "lost"

// FirstTermOf returns the lowest term of an era of the log.
func FirstTermOf(era uint64) uint64 { return era<<eraTermBits + firstTerm }

// IsUnverified reports whether grants may hold that the map does not show, because maps of
// former leaders may have been lost. A host that takes over from such a map waits as if the
// map were of a former era.
func (m *Map) IsUnverified() bool { return slices.Contains(m.EarlierLeaders, lostLeader) }

// IsNewerThan reports whether m follows o in the order in which leaders wrote them. Each map
// is newer than one that is nil or no record. The offsets do not tell, since a restored copy
// of an older map has a higher position than a lost newer one.
func (m *Map) IsNewerThan(o *Map) bool {
	return o == nil || m.Term > o.Term || m.Term == o.Term && m.Sequence > o.Sequence
}

func withLostLeader(earlier []string) []string {
	if slices.Contains(earlier, lostLeader) {
		return earlier
	}
	return append(slices.Clone(earlier), lostLeader)
}

// Takeover is how an elected host takes over.
type Takeover struct {
	Base            *Map          // to pass to NewLeader
	HoldGrantsUntil time.Duration // see Options
}

// PlanTakeover decides how an elected host takes over, and reports whether it may do so
// already. newest is the newest map that it knows by its own order, or nil. storeEnd is the
// end of the log of maps as read in the present era, which it first saw at eraSeenAt; 0 if
// it has not read it. firstStart reports that the deployment starts for the first time and
// that the host had not read the log before it saw the era: a log without a map has then
// lost none, whatever the era.
func PlanTakeover(now time.Duration, era uint64, eraSeenAt time.Duration, newest *Map, storeEnd uint64, firstStart bool) (t Takeover, due bool) {
	if newest == nil {
		newest = &Map{}
	}
	ofThisEra := newest.Era == era
	switch {
	case era == 0 || ofThisEra && newest.NextOffset >= storeEnd && !newest.IsUnverified():
		return Takeover{Base: newest}, true
	case storeEnd == 0 || now < eraSeenAt+FormerLeaderWait:
		return Takeover{}, false
	}
	base := *newest
	if firstStart && newest.Term == 0 {
		base.NextOffset = storeEnd
		return Takeover{Base: &base}, true
	}
	base.NextOffset = max(storeEnd, newest.NextOffset)
	if !ofThisEra {
		base.NextOffset = storeEnd
	}
	if ofThisEra && newest.NextOffset < storeEnd {
		// A late append for a former era hides the newest map, and may hide the maps of a later
		// leader. The hold ends when its grants have ended in any case.
		return Takeover{Base: &base, HoldGrantsUntil: math.MaxInt64}, true
	}
	return Takeover{Base: &base, HoldGrantsUntil: eraSeenAt + formerGrantsDuration}, true
}

// verification is what a leader that goes on in a new era needs to find out whether a lost
// map of another leader has moved a range. A leader that moves a range first raises the
// fence of the holder above the terms of earlier leaders, unless the holder has ended, or
// has outlived its last grant in a move that began at least releaseExpiry ago. So the range
// has not moved if the holder accepts a fence of the former term over a connection from
// before the last confirmation in that term.
type verification struct {
	term            uint64            // of the fence
	connectedBefore time.Duration     // last confirmation of the term
	holder          ServerIncarnation // that may have the range by the maps of the term; empty if it proves nothing
}

// releaseExpiry is the shortest time from the start of a move after which a leader that
// knows the move takes the previous holder for free although it has not answered; see
// Observations.
const releaseExpiry = CallTimeout + GrantDuration + GrantExpiryMargin

// EnterEra is called when the log is seen to have been restored from an older copy. The
// leader makes no calls until its newest map is acknowledged in the new era, at the end of
// the log that is passed to RewriteAt, and with a new term. Another leader may have taken
// over by maps that were lost, without knowledge of this one; so each range is verified
// before the first call of the new term. A leader that has not begun its term, or holds its
// calls, stops: it knows no more than other hosts.
func (l *Leader) EnterEra(now time.Duration, era uint64) {
	if l.stopped || era <= l.Era() {
		return
	}
	if !l.termBegun || !l.rewriting && now < l.holdGrantsUntil {
		l.stopped = true
		return
	}
	if !l.rewriting {
		for _, t := range l.trackedRanges {
			if t.unverified == nil {
				t.unverified = &verification{term: l.acknowledged.Term, connectedBefore: l.leadershipConfirmedAt, holder: l.verifiableHolder(now, t)}
			}
		}
	}
	l.draft = l.newestMap().clone()
	l.draft.Era, l.draft.Term, l.draft.Sequence, l.draft.NextOffset = era, max(l.draft.Term+1, FirstTermOf(era)), 0, 0
	l.draft.Resigned, l.draft.EarlierLeaders = false, withLostLeader(l.draft.EarlierLeaders)
	l.inFlight, l.rewriting, l.lostGrantsEnd = nil, true, now+formerGrantsDuration
	l.lastCallID = l.draft.Term << callIDBits
}

// verifiableHolder returns the server that may hold a range by the last acknowledged map and
// by an open write, which may be stored. Another leader may have taken over from either. It
// returns an empty one if a verification there would not prove that the range has not moved.
func (l *Leader) verifiableHolder(now time.Duration, t *trackedRange) ServerIncarnation {
	holder := t.holderBy(now, l.acknowledged)
	if l.inFlight != nil && t.holderBy(now, l.inFlight).endpoint() != holder.endpoint() {
		return ServerIncarnation{}
	}
	return holder
}

// holderBy returns the server that may hold a range by a map, or an empty one if a leader
// that took over from the map may have moved it without that server's knowledge.
func (t *trackedRange) holderBy(now time.Duration, m *Map) ServerIncarnation {
	r := m.FindRange(t.service, t.from)
	switch {
	case r == nil, r.AwaitsRelease() && now >= t.moveStartedAt+releaseExpiry:
		return ServerIncarnation{}
	case r.AwaitsRelease():
		return r.PreviousHolder
	}
	return r.Owner
}

// Era returns the era of the log in which the leader writes.
func (l *Leader) Era() uint64 { return l.newestMap().Era }

// Rewriting reports whether the leader has not written a map in the present era yet.
func (l *Leader) Rewriting() bool { return l.rewriting }

// RewriteAt sets the position at which the newest map is written again: the end of the log
// in the present era. It changes nothing if the leader is not about to write it.
func (l *Leader) RewriteAt(position uint64) {
	if l.rewriting && l.inFlight == nil && l.draft != nil {
		l.draft.NextOffset = position
	}
}

// RetryRewrite is called if the log did not end at the position of RewriteAt any more. The
// map is written again at the next one.
func (l *Leader) RetryRewrite() {
	if l.draft == nil {
		l.draft = l.inFlight
	}
	if l.draft != nil {
		l.draft.NextOffset = 0
	}
	l.inFlight = nil
}

// resumeTerm goes on after the newest map was acknowledged in a new era.
func (l *Leader) resumeTerm(now time.Duration) {
	l.rewriting, l.termBegunAt, l.earlierLeadersStopped = false, now, false
	l.formerGrantExpiry, l.earlierGrantExpiry = max(l.formerGrantExpiry, l.lostGrantsEnd), max(l.earlierGrantExpiry, l.lostGrantsEnd)
	for _, t := range l.trackedRanges {
		t.formerGrantExpiry = max(t.formerGrantExpiry, l.lostGrantsEnd)
		t.fenceConfirmed, t.responseIdentified, t.nextCallAt = false, false, now
	}
}

// callsHeld reports whether the leader makes no calls now.
func (l *Leader) callsHeld(now time.Duration) bool {
	return l.rewriting || now < l.holdGrantsUntil
}

// startVerification returns the call that verifies a range: a grant with a fence of the
// former term. If the holder that the former term knew is not the one that the range has
// now, the grant only shows that the fence is accepted.
func (l *Leader) startVerification(now time.Duration, t *trackedRange) (Call, bool) {
	v := t.unverified
	if v.holder.ID == "" || now < t.nextCallAt || now < l.refusedUntil[v.holder] {
		return Call{}, false
	}
	duration := FenceGrantDuration
	if t.stage != stageReleasing && t.owner.endpoint() == v.holder.endpoint() {
		duration = GrantDuration
	}
	c := l.startCall(now, t, GrantCall, v.holder, "", duration)
	c.ConnectedBefore, c.MayConnect, c.NewConn = v.connectedBefore, false, false
	return c, true
}

// completeVerification records that the holder of a range has accepted a fence of the former
// term. It may still accept grants of a leader whose maps were lost, until it has accepted a
// fence of this term.
func (l *Leader) completeVerification(now time.Duration, t *trackedRange) {
	holder := t.unverified.holder
	t.unverified = nil
	if t.stage != stageReleasing && t.owner.endpoint() == holder.endpoint() {
		l.completeGrant(now, t)
	} else {
		// The grant that was accepted ends before the owner gets one.
		t.nextCallAt = now + FenceGrantDuration + GrantExpiryMargin
		if t.stage == stageReleasing {
			t.nextCallAt = now
		}
	}
	t.fenceConfirmed, t.responseIdentified = false, false
	t.formerGrantExpiry = max(t.formerGrantExpiry, l.lostGrantsEnd)
}

// completeVerifications ends the verification of all ranges when no grant of a leader whose
// maps were lost can hold any more. Once all ranges are verified, the next map says so.
func (l *Leader) completeVerifications(now time.Duration) {
	if !l.newestMap().IsUnverified() {
		return
	}
	expired, unverified := now >= l.lostGrantsEnd, false
	for _, t := range l.trackedRanges {
		if t.unverified != nil && expired && !t.callOpen {
			t.unverified, t.nextCallAt = nil, now
		}
		unverified = unverified || t.unverified != nil
	}
	if unverified {
		return
	}
	draft := l.ensureDraft()
	draft.EarlierLeaders = slices.DeleteFunc(slices.Clone(draft.EarlierLeaders), func(name string) bool { return name == lostLeader })
	if !l.earlierLeadersStopped && !slices.Contains(draft.EarlierLeaders, unknownLeader) {
		draft.EarlierLeaders = append(draft.EarlierLeaders, unknownLeader)
	}
}
