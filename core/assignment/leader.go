package assignment

import (
	"time"

	"parsleyrelay.example/core/directory"
)

// stage is the progress of a range within the leader's memory.
type stage int

const (
	settled   stage = iota
	releasing       // the former holder is asked to release
	granting        // the former holder is free; the owner gets its first grant
)

type tracked struct {
	service   string
	from, to  uint16
	stage     stage
	calling   bool
	calledAt  time.Duration
	next      time.Duration // earliest next call
	fence     uint64        // of the latest grant
	confirmed bool          // the owner accepted a fence of this term, no older attempt is open
	// The holder may hold the range until the later of the two: by a grant of this
	// term, or by one of a former leader.
	ownUntil    time.Duration
	formerUntil time.Duration
	handover    string
	forced      bool // the former holder left or cannot be reached
	// owner and previous are those of the newest map. Calls are made only while
	// the acknowledged map says the same.
	owner, previous Incarnation
	pending         bool
}

// MapWrite is a map to append under the condition that the log ends at Map.NextOffset.
type MapWrite struct{ Map *Map }

// Options configure a Leader.
type Options struct {
	HostIncarnation string // incarnation of this host
	Stripes         int    // ranges of a service at its first placement
}

// Leader is the machine of the leading host. Invariant: a range is granted only
// if the acknowledged map names the server as its owner.
type Leader struct {
	options   Options
	acked     *Map // last acknowledged map
	draft     *Map // what the next write says; nil when nothing changed
	writing   *Map
	contact   time.Duration // last proof that no other leader has written
	counter   uint64
	calls     map[uint64]*tracked
	lastCall  uint64
	ranges    []*tracked
	servers   map[string]map[string]directory.Server // service, id
	begun     bool                                   // the first write was acknowledged
	stopped   bool
	resigning bool
	since     map[string]time.Duration // service: first server seen
	heats     map[string]*heats        // by service
	speeds    map[string]*speed        // by server
	gone      map[Incarnation]bool     // another server answered at the address
	filling   map[Incarnation]bool     // servers that had nothing and get their share
}

// NewLeader starts a term after the map m. The term begins when the first write is
// acknowledged.
func NewLeader(now time.Duration, m *Map, o Options) *Leader {
	l := &Leader{
		options: o, acked: m, calls: map[uint64]*tracked{}, servers: map[string]map[string]directory.Server{}, since: map[string]time.Duration{},
		heats: map[string]*heats{}, speeds: map[string]*speed{}, gone: map[Incarnation]bool{}, filling: map[Incarnation]bool{},
	}
	l.draft = m.clone()
	l.draft.Term++
	l.draft.Sequence = 0
	l.draft.Leader = o.HostIncarnation
	l.draft.Resigned = false
	l.contact = now
	return l
}

// Term returns the term that the leader has or wants.
func (l *Leader) Term() uint64 { return l.newest().Term }

// Leading says that the term has begun and not ended.
func (l *Leader) Leading() bool { return l.begun && !l.stopped }

// Stopped says that the term ended; the Leader is of no use any more.
func (l *Leader) Stopped() bool { return l.stopped }

// ConfirmLeadership notes that a read sent at now showed no map of another leader.
func (l *Leader) ConfirmLeadership(now time.Duration) { l.contact = max(l.contact, now) }

// ObserveMap notes a map that was read. It ends the term if another host wrote it.
func (l *Leader) ObserveMap(m *Map) {
	if m.Term > l.Term() || m.Term == l.Term() && m.Leader != l.options.HostIncarnation {
		l.stopped = true
	}
}

// Stop ends the term at once.
func (l *Leader) Stop() { l.stopped = true }

// Resign ends the term in an orderly way: no further moves are planned, and once
// all ranges are settled and no call is open, the next write gives the term up.
func (l *Leader) Resign() { l.resigning = true }

// resign writes the end of the term when nothing is open.
func (l *Leader) resign() {
	if l.writing != nil || l.draft != nil || len(l.calls) > 0 {
		return
	}
	for _, t := range l.ranges {
		if t.stage != settled || !t.confirmed {
			return
		}
	}
	l.edit().Resigned = true
}

// SetServers sets the servers of all keyed services. A service without an entry
// keeps its ranges.
func (l *Leader) SetServers(servers map[string]map[string]directory.Server) { l.servers = servers }

// NextMapWrite returns the map to append, or nil. Only one write is open at a time;
// it ends with AcknowledgeMapWrite or ObserveMap.
func (l *Leader) NextMapWrite() *MapWrite {
	if l.stopped || l.writing != nil || l.draft == nil {
		return nil
	}
	l.writing, l.draft = l.draft, nil
	return &MapWrite{Map: l.writing}
}

// AcknowledgeMapWrite notes that the open write was acknowledged at offset.
func (l *Leader) AcknowledgeMapWrite(now time.Duration, offset, end uint64) *Map {
	first := !l.begun
	resigned := l.acked.Resigned
	l.acked, l.writing = l.writing, nil
	l.acked.Offset, l.acked.NextOffset = offset, end
	if l.draft != nil {
		l.draft.NextOffset = end
	}
	l.contact = max(l.contact, now)
	if first {
		l.begin(now, resigned)
	}
	if l.acked.Resigned {
		l.stopped = true
	}
	return l.acked
}

// begin takes over all ranges. A former leader that resigned has no grant open.
// Otherwise a holder may hold until that leader's limit and the hold of its last
// grant.
func (l *Leader) begin(now time.Duration, resigned bool) {
	l.begun, l.ranges = true, nil
	held := now + GrantDuration + GrantExpiryMargin
	if !resigned {
		held += LeaderContactTimeout
	}
	for _, service := range sortedKeys(l.acked.Services) {
		for _, r := range l.acked.Services[service] {
			t := &tracked{service: service, from: r.From, to: r.To, formerUntil: held, confirmed: resigned, next: now,
				owner: r.Owner, previous: r.PreviousHolder, pending: r.GrantPending}
			switch {
			case r.AwaitsRelease():
				t.stage = releasing
			case r.GrantPending:
				t.stage = granting
			}
			l.ranges = append(l.ranges, t)
		}
	}
}

// Tick plans moves and returns the calls that are due.
func (l *Leader) Tick(now time.Duration) []Call {
	if !l.Leading() {
		return nil
	}
	if now-l.contact > LeaderContactTimeout {
		l.stopped = true
		return nil
	}
	if l.resigning {
		l.resign()
		if l.newest().Resigned {
			return nil
		}
	} else {
		l.place(now)
		l.plan(now)
		l.balance(now)
	}
	var calls []Call
	for _, t := range l.ranges {
		if l.resigning && t.stage == settled && t.confirmed {
			continue // the next leader renews
		}
		if c, ok := l.due(now, t); ok {
			calls = append(calls, c)
		}
	}
	return calls
}

func (l *Leader) edit() *Map {
	if l.draft == nil {
		base := l.acked
		if l.writing != nil {
			base = l.writing
		}
		l.draft = base.clone()
		l.draft.Sequence++
	}
	return l.draft
}

// newest returns the ranges with all changes, acknowledged or not.
func (l *Leader) newest() *Map {
	switch {
	case l.draft != nil:
		return l.draft
	case l.writing != nil:
		return l.writing
	}
	return l.acked
}
