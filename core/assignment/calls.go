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

// Call is an order to a server. The caller of the machine sends it and reports
// its result with Leader.HandleCallResult.
type Call struct {
	ID            uint64
	Kind          CallKind
	Service       string
	Server        Incarnation
	From, To      uint16
	Fence         uint64
	GrantDuration time.Duration // of a grant
	Handover      string        // from the former holder; empty for none
}

// CallStatus is how a Call ended.
type CallStatus int

// The ends of a call.
const (
	CallSucceeded     CallStatus = iota + 1
	CallFenced                   // the server has seen a higher fence
	CallNotSent                  // no byte was written
	CallUnanswered               // it may take effect later
	CallAddressReused            // another server has the address, so this one has ended
)

// CallResult is the end of a Call.
type CallResult struct {
	Status   CallStatus
	Handover string
}

// due returns the call that a range needs now.
func (l *Leader) due(now time.Duration, t *tracked) (Call, bool) {
	r := l.acked.FindRange(t.service, t.from)
	if r == nil || r.Owner != t.owner || r.PreviousHolder != t.previous || r.GrantPending != t.pending {
		return Call{}, false // the change is still being written
	}
	if t.calling || now < t.next && t.stage != releasing {
		return Call{}, false
	}
	switch t.stage {
	case settled:
		return l.call(now, t, GrantCall, r.Owner, "", GrantDuration), true
	case releasing:
		switch {
		case now >= t.held() || l.ended(t.service, r.PreviousHolder):
			l.freed(now, t)
			return Call{}, false
		case now < t.next:
			return Call{}, false
		case !t.confirmed && t.held()-now < CallTimeout+FenceGrantDuration+GrantExpiryMargin:
			return Call{}, false // an attempt without an answer would only extend the wait
		case !t.confirmed:
			// An older grant may still arrive; a higher fence makes the server refuse it.
			return l.call(now, t, GrantCall, r.PreviousHolder, "", FenceGrantDuration), true
		}
		return l.call(now, t, ReleaseCall, r.PreviousHolder, "", 0), true
	default:
		return l.call(now, t, GrantCall, r.Owner, t.handover, GrantDuration), true
	}
}

// ended says that an incarnation has surely ended: another server answered at its
// address or is listed with it, or its id has a newer life.
func (l *Leader) ended(service string, i Incarnation) bool {
	if l.gone[i] {
		return true
	}
	for name, servers := range l.servers {
		if s, ok := servers[i.ID]; ok && name == service && s.Born > i.Born {
			return true
		}
		for _, s := range servers {
			if s.ID != i.ID && s.Address == i.Address && s.Born > i.Born {
				return true
			}
		}
	}
	return false
}

func (l *Leader) call(now time.Duration, t *tracked, kind CallKind, server Incarnation, handover string, hold time.Duration) Call {
	if kind == GrantCall && !t.confirmed || t.fence == 0 {
		l.counter++
		t.fence = l.acked.Term<<fenceBits | l.counter
	}
	l.lastCall++
	t.calling, t.calledAt = true, now
	if kind == GrantCall {
		t.ownUntil = max(t.ownUntil, now+CallTimeout+hold+GrantExpiryMargin)
	}
	l.calls[l.lastCall] = t
	return Call{ID: l.lastCall, Kind: kind, Service: t.service, Server: server, From: t.from, To: t.to, Fence: t.fence, GrantDuration: hold, Handover: handover}
}

// HandleCallResult notes the end of a call.
func (l *Leader) HandleCallResult(now time.Duration, c Call, a CallResult) {
	t := l.calls[c.ID]
	delete(l.calls, c.ID)
	if t == nil || l.stopped {
		return
	}
	t.calling = false
	switch {
	case a.Status == CallFenced:
		l.stopped = true
	case a.Status == CallAddressReused:
		l.gone[c.Server] = true
		t.confirmed, t.next = false, now
	case c.Kind == ReleaseCall && a.Status == CallSucceeded:
		t.handover = a.Handover
		l.freed(now, t)
	case c.Kind == ReleaseCall:
		t.next = now + CallRetryDelay
	case a.Status != CallSucceeded:
		t.confirmed = t.confirmed && a.Status == CallNotSent
		t.next = now + CallRetryDelay
		if a.Status == CallNotSent {
			return
		}
		t.ownUntil = max(t.ownUntil, now+c.GrantDuration+GrantExpiryMargin)
	case t.stage == releasing:
		t.confirmed, t.next = true, now
	default:
		l.granted(now, t)
	}
}

func (l *Leader) granted(now time.Duration, t *tracked) {
	t.confirmed = true
	t.ownUntil, t.formerUntil = now+GrantDuration+GrantExpiryMargin, 0
	t.next = t.calledAt + RenewalInterval
	if t.stage == granting {
		t.stage, t.handover = settled, ""
		t.pending = false
		l.edit().FindRange(t.service, t.from).GrantPending = false
	}
}

// held is the time until which the holder may hold the range.
func (t *tracked) held() time.Duration { return max(t.ownUntil, t.formerUntil) }

// freed notes that the former holder does not hold the range any more. The owner
// is granted once the map says so.
func (l *Leader) freed(now time.Duration, t *tracked) {
	r := l.edit().FindRange(t.service, t.from)
	r.PreviousHolder, r.GrantPending = Incarnation{}, true
	t.previous, t.pending = r.PreviousHolder, true
	t.stage, t.confirmed, t.next = granting, false, now
	t.ownUntil, t.formerUntil = 0, 0
}

// RecordFormerLeaderExit notes that the process of the former leader has ended, so that it
// grants nothing after now.
func (l *Leader) RecordFormerLeaderExit(now time.Duration) {
	bound := now + GrantDuration + GrantExpiryMargin
	for _, t := range l.ranges {
		t.formerUntil = min(t.formerUntil, bound)
	}
}
