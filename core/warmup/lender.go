package warmup

import "time"

// Limits of a Lender.
const (
	// maxDemands limits the demands of one call.
	maxDemands = 1024
	// refusalPause is the time after which a host may ask again for permits of a server that
	// the lender does not know, or knows with a newer start time.
	refusalPause = 200 * time.Millisecond
)

// Leadership is what the lending host knows of its leadership.
type Leadership struct {
	Leading     bool
	BegunAt     time.Duration // start of the present term
	ConfirmedAt time.Duration // last evidence from the store that no other host has taken over
}

// MayLend reports whether a leader may lend permits now.
func (l Leadership) MayLend(now time.Duration) bool {
	return l.Leading && now-l.ConfirmedAt <= MaxConfirmationAge && now-l.BegunAt >= InitialWait
}

// Lender lends permits at the leading host. It keeps a log of the grants for each server.
// The zero value is ready for use. It is not safe for concurrent use.
type Lender struct {
	logs     map[string][]grants // by server ID, oldest first
	prunedAt time.Duration
}

// grants are permits that were lent at one time.
type grants struct {
	at    time.Duration
	count int
}

// Lend returns one grant for each of the first maxDemands demands. limit returns the limit
// of a server, 0 if it is not known or not limited. The log belongs to the ID, since an
// earlier permit may reach a server that has started again. The caller must have checked
// Leadership.MayLend at the same time.
func (l *Lender) Lend(now time.Duration, demands []Demand, limit func(id string, born int64) int) []Grant {
	l.prune(now)
	list := make([]Grant, 0, min(len(demands), maxDemands))
	for _, d := range demands[:min(len(demands), maxDemands)] {
		g := Grant{ID: d.ID, Born: d.Born}
		switch limit := limit(d.ID, d.Born); {
		case d.Count <= 0:
		case limit <= 0:
			g.RetryAfter = refusalPause
		default:
			g.Count, g.RetryAfter = l.lend(now, d.ID, d.Count, limit)
		}
		list = append(list, g)
	}
	return list
}

// lend lends up to count permits for a server.
func (l *Lender) lend(now time.Duration, id string, count, limit int) (lent int, retryAfter time.Duration) {
	log, used := dropOld(now, l.logs[id])
	lent = max(0, min(count, limit-used))
	if lent > 0 {
		log = append(log, grants{at: now, count: lent})
		if l.logs == nil {
			l.logs = map[string][]grants{}
		}
		l.logs[id] = log
		used += lent
	}
	if lent == count {
		return lent, 0
	}
	// The next permit is free when fewer than limit remain in the log, which is after its
	// first entry unless the limit has been lowered since.
	for _, g := range log {
		if used -= g.count; used < limit {
			return lent, g.at + LendingInterval - now
		}
	}
	return lent, LendingInterval
}

// dropOld removes the grants that no longer count, and returns the number of the others.
func dropOld(now time.Duration, log []grants) ([]grants, int) {
	kept, used := log[:0], 0
	for _, g := range log {
		if now-g.at < LendingInterval {
			kept, used = append(kept, g), used+g.count
		}
	}
	return kept, used
}

// prune forgets servers without recent grants.
func (l *Lender) prune(now time.Duration) {
	if now-l.prunedAt < LendingInterval {
		return
	}
	l.prunedAt = now
	for id, log := range l.logs {
		if log[len(log)-1].at+LendingInterval <= now {
			delete(l.logs, id)
		}
	}
}
