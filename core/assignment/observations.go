package assignment

import "time"

// Observations is what a host has seen of moves and terms before it leads. A new leader
// has to wait until no grant of a former leader can hold. Without observations it counts
// from its own start, so that each change of the leader would begin the wait anew, and a
// range whose holder cannot be reached would stay unserved through all of them. It is not
// safe for concurrent use. Times are by the clock that Leader uses.
//
// All times are those at which this host saw a change. They are later than the change, so
// the waits that follow from them are never too short.
type Observations struct {
	newestTerm uint64
	terms      map[uint64]termObservation
	moves      map[uint64]time.Duration // by Range.Move: when the range was first seen to await its release
}

// termObservation is the start of a term.
type termObservation struct {
	seenAt           time.Duration
	afterResignation bool // the former leader had resigned, so that no earlier leader grants any more
}

// firstTerm is the number of the first leader's term.
const firstTerm = 1

// NewObservations returns empty observations.
func NewObservations() *Observations {
	return &Observations{terms: map[uint64]termObservation{}, moves: map[uint64]time.Duration{}}
}

// Record records that a map was seen. previous is the map that was seen before it, or nil.
func (o *Observations) Record(now time.Duration, m, previous *Map) {
	if m.Term > o.newestTerm {
		o.newestTerm = m.Term
		o.terms[m.Term] = termObservation{seenAt: now, afterResignation: previous != nil && previous.Resigned && previous.Term+1 == m.Term && previous.Era == m.Era}
	}
	moves, neededTerms := map[uint64]time.Duration{}, map[uint64]bool{m.Term: true}
	for _, ranges := range m.Services {
		for i := range ranges {
			r := &ranges[i]
			if !r.AwaitsRelease() || r.Move == 0 {
				continue
			}
			neededTerms[r.Move>>fenceCounterBits] = true
			moves[r.Move] = now
			if seenAt, seen := o.moves[r.Move]; seen {
				moves[r.Move] = seenAt
			}
		}
	}
	o.moves = moves
	for term := range o.terms {
		if !neededTerms[term] {
			delete(o.terms, term)
		}
	}
}

// grantExpiry returns until when the previous holder of a range may hold it by grants of
// former leaders, if the new leader's term began at now, and whether that is known from
// observations.
//
// Leaders of the term in which the move began, and of later ones, sent the previous
// holder no grant but those that raise its fence, since the map said that it is to
// release the range. They stop that after moveConfirmationTimeout. Leaders of
// earlier terms may have renewed its grant until they stopped.
func (o *Observations) grantExpiry(now time.Duration, r *Range) (time.Duration, bool) {
	seenAt, seen := o.moves[r.Move]
	beforeTheTerm, termSeen := o.grantExpiryBefore(r.Move >> fenceCounterBits)
	if !r.AwaitsRelease() || r.Move == 0 || !seen || !termSeen {
		return 0, false
	}
	expiry := seenAt + releaseExpiry
	raisingTheFence := now + moveConfirmationTimeout + CallTimeout + FenceGrantDuration + GrantExpiryMargin
	return max(expiry, beforeTheTerm, raisingTheFence), true
}

// grantExpiryBefore returns until when a server may hold a range by grants of the leaders
// before a term, and whether that is known from observations.
func (o *Observations) grantExpiryBefore(term uint64) (time.Duration, bool) {
	if term <= firstTerm {
		return 0, true // there was no earlier leader
	}
	observed, known := o.terms[term]
	expiry := observed.seenAt + GrantDuration + GrantExpiryMargin
	if !observed.afterResignation {
		expiry += LeadershipConfirmationTimeout + CallTimeout
	}
	return expiry, known
}
