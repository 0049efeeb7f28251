package warmup

import (
	"cmp"
	"slices"
	"time"

	"parsleyrelay.example/core/directory"
)

// Times of a Borrower.
const (
	// callInterval is the least time from the start of a call to the start of the next. It
	// joins the demands of requests that arrive together.
	callInterval = 25 * time.Millisecond
	// failedCallPause follows a call that no lender answered.
	failedCallPause = 100 * time.Millisecond
	// announcementTime is the time that hosts have to charge the requests that they sent
	// before they knew that the server is cold. Only then permits are asked for. Most hosts
	// learn of a change of the servers within a few tens of milliseconds of each other.
	announcementTime = 100 * time.Millisecond
	// maxCallDemands limits the servers of one call, and with it its size.
	maxCallDemands = 256
)

// Borrower keeps the permits that a host was lent, and decides when to ask for more. A
// call is made when requests wait for a permit. It is not safe for concurrent use.
//
// Requests that were sent before the host knew that their server is cold count at the
// server like those with a permit. When a server turns cold, the host therefore first asks
// for permits for its requests of the last second, and uses them up at once.
type Borrower struct {
	servers    map[string]*borrowerState // by ID
	callOpen   bool
	nextCallAt time.Duration
	prunedAt   time.Duration
}

// borrowerState is the state of one server.
type borrowerState struct {
	born         int64
	cold         bool
	demand       int             // requests that wait for a permit
	permits      []time.Duration // ends of the validity of the permits that are left
	sends        []time.Duration // times of requests without a permit in the last second
	asked        []time.Duration // of sends, those for which the open call asks
	askAt        time.Duration   // no permits for waiting requests are asked for before
	blockedUntil time.Duration   // the lender has no permit before
}

// NewBorrower returns a Borrower without permits.
func NewBorrower() *Borrower { return &Borrower{servers: map[string]*borrowerState{}} }

func (b *Borrower) state(id string, born int64) *borrowerState {
	s := b.servers[id]
	switch {
	case s == nil:
		s = &borrowerState{born: born}
	case s.born < born:
		// Requests that were sent before the newer start time was known may have reached the
		// server after its start.
		s = &borrowerState{born: born, sends: s.sends}
	}
	b.servers[id] = s
	return s
}

// SetCold sets the servers to which requests need a permit.
func (b *Borrower) SetCold(now time.Duration, lives []directory.Life) {
	listed := make(map[string]bool, len(lives))
	for _, life := range lives {
		listed[life.ID] = true
		if s := b.state(life.ID, life.Born); s.born == life.Born && !s.cold {
			s.cold, s.askAt = true, now+announcementTime
			b.nextCallAt = min(b.nextCallAt, now) // the charge is urgent
		}
	}
	for id, s := range b.servers {
		if s.cold && !listed[id] {
			s.cold, s.demand, s.permits, s.blockedUntil = false, 0, nil, 0
		}
	}
}

// RecordSend records that a request is sent without a permit to a server that is not cold.
func (b *Borrower) RecordSend(now time.Duration, id string, born int64) {
	b.prune(now)
	s := b.state(id, born)
	if s.born == born {
		s.dropOld(now)
		s.sends = append(s.sends, now)
	}
}

// SetDemand sets the number of requests that wait for a permit. Permits that are held, since
// they were lent or given back after the last count, are subtracted.
func (b *Borrower) SetDemand(id string, born int64, count int) {
	if s := b.state(id, born); s.born == born && s.cold {
		s.demand = count
	}
}

// Held reports whether a permit is left for a server.
func (b *Borrower) Held(now time.Duration, id string, born int64) bool {
	s := b.servers[id]
	return s != nil && s.born == born && slices.ContainsFunc(s.permits, func(until time.Duration) bool { return now < until })
}

// Take takes a permit for a request, and returns the end of its validity. ok is false if
// there is none.
func (b *Borrower) Take(now time.Duration, id string, born int64) (until time.Duration, ok bool) {
	s := b.servers[id]
	if s == nil || s.born != born {
		return 0, false
	}
	s.dropOld(now)
	if len(s.permits) == 0 {
		return 0, false
	}
	until = s.permits[0]
	s.permits = s.permits[1:]
	return until, true
}

// GiveBack returns a permit that was taken for a request which was not sent.
func (b *Borrower) GiveBack(now time.Duration, id string, born int64, until time.Duration) {
	if s := b.servers[id]; s != nil && s.born == born && s.cold && now < until {
		s.permits = append(s.permits, until)
		slices.Sort(s.permits)
	}
}

// Wait returns the time until the lender may have a permit for a server, as far as known.
func (b *Borrower) Wait(now time.Duration, id string) time.Duration {
	if s := b.servers[id]; s != nil {
		return max(0, s.blockedUntil-now)
	}
	return 0
}

// NextCall returns when the next call should be made, and false if none is needed or one is
// open.
func (b *Borrower) NextCall(now time.Duration) (time.Duration, bool) {
	if b.callOpen {
		return 0, false
	}
	at, needed := time.Duration(0), false
	for _, s := range b.servers {
		if !s.cold {
			continue
		}
		s.dropOld(now)
		due := s.askAt
		if len(s.sends) > 0 {
			due = now
		} else if s.demand <= len(s.permits) {
			continue
		}
		due = max(due, s.blockedUntil, now)
		if !needed || due < at {
			at, needed = due, true
		}
	}
	return max(at, b.nextCallAt), needed
}

// StartCall returns the demands of a call that is sent now, and none if no call is needed.
// FinishCall must follow unless there are none.
func (b *Borrower) StartCall(now time.Duration) []Demand {
	if b.callOpen {
		return nil
	}
	var demands []Demand
	for id, s := range b.servers {
		if !s.cold || s.blockedUntil > now {
			continue
		}
		s.dropOld(now)
		s.asked = slices.Clone(s.sends)
		count := len(s.asked)
		if now >= s.askAt {
			count += max(0, s.demand-len(s.permits))
		}
		if count > 0 {
			demands = append(demands, Demand{ID: id, Born: s.born, Count: count})
		}
	}
	if len(demands) == 0 {
		return nil
	}
	slices.SortFunc(demands, func(a, b Demand) int { return cmp.Compare(a.ID, b.ID) })
	b.callOpen, b.nextCallAt = true, now+callInterval
	if len(demands) > maxCallDemands {
		// Another call follows. The first one differs between calls, so that none waits for long.
		start := int(now/callInterval) % len(demands)
		demands = append(demands[start:], demands[:start]...)[:maxCallDemands]
	}
	return demands
}

// FinishCall records the response to the call that was sent at sentAt. lending is false if
// no lender answered.
func (b *Borrower) FinishCall(now, sentAt time.Duration, lending bool, list []Grant) {
	b.callOpen = false
	if !lending {
		b.nextCallAt = max(b.nextCallAt, now+failedCallPause)
		return
	}
	for _, g := range list {
		s := b.servers[g.ID]
		if s == nil || s.born != g.Born || !s.cold {
			continue
		}
		count := g.Count
		for count > 0 && len(s.asked) > 0 { // charge earlier requests first
			if i := slices.Index(s.sends, s.asked[0]); i >= 0 {
				s.sends = slices.Delete(s.sends, i, i+1)
			}
			s.asked = s.asked[1:]
			count--
		}
		for range count {
			s.permits = append(s.permits, sentAt+Validity)
		}
		s.dropOld(now)
		if g.RetryAfter > 0 {
			s.blockedUntil = now + g.RetryAfter
		}
	}
}

// dropOld forgets permits that have expired and requests that need not be charged any more.
func (s *borrowerState) dropOld(now time.Duration) {
	s.permits = slices.DeleteFunc(s.permits, func(until time.Duration) bool { return until <= now })
	s.sends = slices.DeleteFunc(s.sends, func(at time.Duration) bool { return now-at >= LimitInterval })
}

// prune forgets servers without any state.
func (b *Borrower) prune(now time.Duration) {
	if now-b.prunedAt < LimitInterval {
		return
	}
	b.prunedAt = now
	for id, s := range b.servers {
		if s.dropOld(now); !s.cold && len(s.sends) == 0 {
			delete(b.servers, id)
		}
	}
}
