package assignment

import (
	"time"
)

// CallKind is the kind of a Call.
type CallKind int

// The kinds of calls to servers.
const (
	Grant CallKind = iota + 1
	Release
)

// Call is an order to a server. The caller of the machine sends it and reports
// its end with Leader.Answered.
type Call struct {
	ID       uint64
	Kind     CallKind
	Service  string
	Server   Incarnation
	From, To uint16
	Fence    uint64
	Hold     time.Duration // of a grant
	Handover string        // from the former holder; empty for none
}

// Status is how a Call ended.
type Status int

// The ends of a call.
const (
	Done       Status = iota + 1
	Fenced            // the server has seen a higher fence
	NotSent           // no byte was written
	Unanswered        // it may take effect later
	Gone              // another server has the address, so this one has ended
)

// Answer is the end of a Call.
type Answer struct {
	Status   Status
	Handover string
}

// due returns the call that a range needs now.
func (l *Leader) due(now time.Duration, t *tracked) (Call, bool) {
	r := l.acked.Find(t.service, t.from)
	if r == nil || r.Owner != t.owner || r.Previous != t.previous || r.Pending != t.pending {
		return Call{}, false // the change is still being written
	}
	if t.calling || now < t.next && t.stage != releasing {
		return Call{}, false
	}
	switch t.stage {
	case settled:
		return l.call(now, t, Grant, r.Owner, "", Hold), true
	case releasing:
		switch {
		case now >= t.held() || l.ended(t.service, r.Previous):
			l.freed(now, t)
			return Call{}, false
		case now < t.next:
			return Call{}, false
		case !t.confirmed && t.held()-now < CallTimeout+FenceHold+HoldMargin:
			return Call{}, false // an attempt without an answer would only extend the wait
		case !t.confirmed:
			// An older grant may still arrive; a higher fence makes the server refuse it.
			return l.call(now, t, Grant, r.Previous, "", FenceHold), true
		}
		return l.call(now, t, Release, r.Previous, "", 0), true
	default:
		return l.call(now, t, Grant, r.Owner, t.handover, Hold), true
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
	if kind == Grant && !t.confirmed || t.fence == 0 {
		l.counter++
		t.fence = l.acked.Term<<fenceBits | l.counter
	}
	l.lastCall++
	t.calling, t.calledAt = true, now
	if kind == Grant {
		t.ownUntil = max(t.ownUntil, now+CallTimeout+hold+HoldMargin)
	}
	l.calls[l.lastCall] = t
	return Call{ID: l.lastCall, Kind: kind, Service: t.service, Server: server, From: t.from, To: t.to, Fence: t.fence, Hold: hold, Handover: handover}
}

// Answered notes the end of a call.
func (l *Leader) Answered(now time.Duration, c Call, a Answer) {
	t := l.calls[c.ID]
	delete(l.calls, c.ID)
	if t == nil || l.stopped {
		return
	}
	t.calling = false
	switch {
	case a.Status == Fenced:
		l.stopped = true
	case a.Status == Gone:
		l.gone[c.Server] = true
		t.confirmed, t.next = false, now
	case c.Kind == Release && a.Status == Done:
		t.handover = a.Handover
		l.freed(now, t)
	case c.Kind == Release:
		t.next = now + RetryAfterFailure
	case a.Status != Done:
		t.confirmed = t.confirmed && a.Status == NotSent
		t.next = now + RetryAfterFailure
		if a.Status == NotSent {
			return
		}
		t.ownUntil = max(t.ownUntil, now+c.Hold+HoldMargin)
	case t.stage == releasing:
		t.confirmed, t.next = true, now
	default:
		l.granted(now, t)
	}
}

func (l *Leader) granted(now time.Duration, t *tracked) {
	t.confirmed = true
	t.ownUntil, t.formerUntil = now+Hold+HoldMargin, 0
	t.next = t.calledAt + RenewEvery
	if t.stage == granting {
		t.stage, t.handover = settled, ""
		t.pending = false
		l.edit().Find(t.service, t.from).Pending = false
	}
}

// held is the time until which the holder may hold the range.
func (t *tracked) held() time.Duration { return max(t.ownUntil, t.formerUntil) }

// freed notes that the former holder does not hold the range any more. The owner
// is granted once the map says so.
func (l *Leader) freed(now time.Duration, t *tracked) {
	r := l.edit().Find(t.service, t.from)
	r.Previous, r.Pending = Incarnation{}, true
	t.previous, t.pending = r.Previous, true
	t.stage, t.confirmed, t.next = granting, false, now
	t.ownUntil, t.formerUntil = 0, 0
}

// FormerEnded notes that the process of the former leader has ended, so that it
// grants nothing after now.
func (l *Leader) FormerEnded(now time.Duration) {
	bound := now + Hold + HoldMargin
	for _, t := range l.ranges {
		t.formerUntil = min(t.formerUntil, bound)
	}
}
