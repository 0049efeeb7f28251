package assigner

import (
	"time"

	"parsleyrelay.example/core/assignment"
	"parsleyrelay.example/core/event"
)

// era is what the assigner knows of the present era of the store. It is used only by Run.
type era struct {
	newest   uint64
	seenAt   time.Duration // when this host first saw it; 0 for era 0
	first    bool          // the deployment starts for the first time, and no map was read before it was seen
	storeEnd uint64        // end of the log of maps, as read or written in it; 0 if unknown
	waits    bool          // the wait for the former leader's map was logged
}

// recordEnd records an end of the log of maps in the present era.
func (e *era) recordEnd(end uint64) { e.storeEnd = max(e.storeEnd, end) }

// storedMap is a map that was read from the store while it had an era.
type storedMap struct {
	newest *assignment.Map
	era    uint64
}

// readConfirmation reports a read of the store, in an era, that showed no record from end on.
type readConfirmation struct {
	sentAt time.Duration
	era    uint64
	end    uint64
}

// SetStoreEra records that the store was seen with a newer era. It must be called before
// anything that was read in that era is passed on.
func (a *Assigner) SetStoreEra(era uint64) { a.messages <- message{storeEra: era} }

// ObserveStoredMap records a map that was read from the store in an era. A map with only
// NextOffset set means that the store has none.
func (a *Assigner) ObserveStoredMap(m *assignment.Map, era uint64) {
	a.messages <- message{storedMap: &storedMap{newest: m, era: era}}
}

// ConfirmNewestMap records that a read of the store, in an era, sent at readSentAt, showed no
// record from the position end on. The time is measured by package clock.
func (a *Assigner) ConfirmNewestMap(readSentAt time.Duration, era, end uint64) {
	a.messages <- message{confirmation: &readConfirmation{sentAt: readSentAt, era: era, end: end}}
}

// handleEra lets a leader write its newest map again, or discards one that has granted
// nothing. All that was known of the end of the log is void.
func (a *Assigner) handleEra(now time.Duration, newest uint64) {
	if newest <= a.era.newest {
		return
	}
	a.era = era{newest: newest, seenAt: now, first: a.options.FirstStart && a.era.newest == 0 && !a.mapWasRead}
	if a.leader != nil {
		a.leader.EnterEra(now, newest)
		a.dropStoppedLeader("the store was restored before the term had granted anything")
	}
	a.requestRead()
}

func (a *Assigner) requestRead() {
	if a.options.RequestRead != nil {
		a.options.RequestRead()
	}
}

// handleStoredMap handles a map that was read from the store.
func (a *Assigner) handleStoredMap(now time.Duration, s storedMap) {
	a.handleEra(now, s.era)
	a.handleObservedMap(now, s.newest)
	if s.era < a.era.newest {
		return
	}
	a.era.recordEnd(s.newest.NextOffset)
	if a.leader == nil {
		return
	}
	if known := a.newestMap; a.leader.Leading() && !a.leader.Rewriting() && s.newest.Term < a.leader.Term() && known.Term == a.leader.Term() && s.newest.NextOffset > known.NextOffset {
		// An append for a former era was carried out late. It hides this leader's map from
		// hosts that start now.
		a.leader.Stop()
		a.dropStoppedLeader("a map of a former era was appended late")
		return
	}
	a.leader.RewriteAt(a.era.storeEnd)
}

// handleConfirmation confirms the leadership if the leader's newest map is of the era.
func (a *Assigner) handleConfirmation(now time.Duration, c readConfirmation) {
	a.handleEra(now, c.era)
	if c.era < a.era.newest {
		return
	}
	a.era.recordEnd(c.end)
	if a.leader != nil && a.leader.Era() == c.era {
		a.leader.ConfirmLeadership(c.sentAt)
		a.leader.RewriteAt(a.era.storeEnd)
	}
}

// retryRewrite lets the leader write its newest map at the end of the log that is read next.
func (a *Assigner) retryRewrite() {
	a.leader.RetryRewrite()
	a.era.storeEnd = 0
	a.requestRead()
}

// planTakeover returns how this elected host takes over, if it may do so now.
func (a *Assigner) planTakeover(now time.Duration) (assignment.Takeover, bool) {
	takeover, due := assignment.PlanTakeover(now, a.era.newest, a.era.seenAt, a.newestMap, a.era.storeEnd, a.era.first)
	newest := a.newestMap
	if newest == nil {
		newest = &assignment.Map{}
	}
	switch {
	case !due && !a.era.waits:
		a.era.waits = true
		a.options.Journal.LogEvent(event.TakeoverWaits, "era", a.era.newest, "era_seen_ms_ago", (now - a.era.seenAt).Milliseconds(), "map_era", newest.Era, "term", newest.Term, "leader", newest.Leader, "log_read", a.era.storeEnd > 0)
	case due && takeover.HoldGrantsUntil > 0:
		a.options.Journal.LogEvent(event.GrantsHeld, "era", a.era.newest, "era_seen_ms_ago", (now - a.era.seenAt).Milliseconds(), "map_era", newest.Era, "term", newest.Term, "leader", newest.Leader, "hold_ms", (takeover.HoldGrantsUntil - now).Milliseconds())
	}
	return takeover, due
}

// logRewrite logs that a leader goes on in a new era.
func (a *Assigner) logRewrite(now time.Duration, m *assignment.Map) {
	a.options.Journal.LogEvent(event.MapRewritten, "era", m.Era, "term", m.Term, "offset", m.Offset, "era_seen_ms_ago", (now - a.era.seenAt).Milliseconds())
}
