package assignment

import (
	"cmp"
	"slices"
	"time"

	"parsleyrelay.example/core/directory"
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

// Write is a map to append under the condition that the log ends at Map.End.
type Write struct{ Map *Map }

// Options configure a Leader.
type Options struct {
	Host    string // incarnation of this host
	Stripes int    // ranges of a service at its first placement
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
	stopped   bool
	resigning bool
	since     map[string]time.Duration // service: first server seen
	heats     map[string]*heats        // by service
	speeds    map[string]*speed        // by server
	gone      map[Incarnation]bool     // another server answered at the address
	filling   map[Incarnation]bool     // servers that had nothing and get their share
}

// Lead starts a term after the map m. The term begins when the first write is
// acknowledged.
func Lead(now time.Duration, m *Map, o Options) *Leader {
	l := &Leader{options: o, acked: m, calls: map[uint64]*tracked{}, servers: map[string]map[string]directory.Server{}, since: map[string]time.Duration{}, heats: map[string]*heats{}, speeds: map[string]*speed{}, gone: map[Incarnation]bool{}, filling: map[Incarnation]bool{}}
	l.draft = m.clone()
	l.draft.Term++
	l.draft.Sequence = 0
	l.draft.Leader = o.Host
	l.draft.Resigned = false
	l.contact = now
	return l
}

// Term returns the term that the leader has or wants.
func (l *Leader) Term() uint64 {
	if l.draft != nil {
		return l.draft.Term
	}
	return l.acked.Term
}

// Leading says that the term has begun and not ended.
func (l *Leader) Leading() bool { return !l.stopped && l.acked.Leader == l.options.Host }

// Stopped says that the term ended; the Leader is of no use any more.
func (l *Leader) Stopped() bool { return l.stopped }

// Contact notes that a read sent at now showed no map of another leader.
func (l *Leader) Contact(now time.Duration) { l.contact = max(l.contact, now) }

// Observe notes a map that was read. It ends the term if another host wrote it.
func (l *Leader) Observe(m *Map) {
	if m.Term > l.Term() || m.Term == l.Term() && m.Leader != l.options.Host {
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

// Servers sets the servers of all keyed services. A service without an entry
// keeps its ranges.
func (l *Leader) Servers(servers map[string]map[string]directory.Server) { l.servers = servers }

// NextWrite returns the map to append, or nil. Only one write is open at a time;
// it ends with Written or Observe.
func (l *Leader) NextWrite() *Write {
	if l.stopped || l.writing != nil || l.draft == nil {
		return nil
	}
	l.writing, l.draft = l.draft, nil
	return &Write{Map: l.writing}
}

// Written notes that the open write was acknowledged at offset.
func (l *Leader) Written(now time.Duration, offset, end uint64) *Map {
	first := l.acked.Leader != l.options.Host || l.acked.Term != l.writing.Term
	resigned := l.acked.Resigned
	l.acked, l.writing = l.writing, nil
	l.acked.Offset, l.acked.End = offset, end
	if l.draft != nil {
		l.draft.End = end
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
	l.ranges = nil
	held := now + Hold + HoldMargin
	if !resigned {
		held += LeaderLimit
	}
	for _, service := range sortedKeys(l.acked.Services) {
		for _, r := range l.acked.Services[service] {
			t := &tracked{service: service, from: r.From, to: r.To, formerUntil: held, confirmed: resigned, next: now,
				owner: r.Owner, previous: r.Previous, pending: r.Pending}
			switch {
			case r.Releasing():
				t.stage = releasing
			case r.Pending:
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
	if now-l.contact > LeaderLimit {
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

// placementDelay lets the servers of a service register before its first
// placement, so that ranges need not move right after it.
const placementDelay = 1500 * time.Millisecond

// place deals the stripes of services that have no ranges yet. Neighbouring
// stripes go to different servers, because busy keys lie side by side.
func (l *Leader) place(now time.Duration) {
	for _, service := range sortedKeys(l.servers) {
		if len(l.newest().Services[service]) > 0 {
			continue
		}
		ready := l.ready(service)
		if len(ready) == 0 {
			continue
		}
		if _, seen := l.since[service]; !seen {
			l.since[service] = now
		}
		if now-l.since[service] < placementDelay {
			continue
		}
		stripes := l.options.Stripes
		for stripes < stripesPerServer*len(ready) && stripes < maxRanges {
			stripes *= 2
		}
		width := Keys / stripes
		var ranges []Range
		for i := range stripes {
			// Every round starts one server later, so that stripes which lie a
			// round apart have different neighbours.
			round, place := i/len(ready), i%len(ready)
			owner := ready[(place+round*placementStep)%len(ready)]
			from := uint16(i * width)
			ranges = append(ranges, Range{From: from, To: from + uint16(width-1), Owner: IncarnationOf(owner)})
			l.ranges = append(l.ranges, &tracked{service: service, from: from, to: from + uint16(width-1), next: now, owner: IncarnationOf(owner)})
		}
		d := l.edit()
		if d.Services == nil {
			d.Services = map[string][]Range{}
		}
		d.Services[service] = ranges
	}
}

// stripesPerServer keeps the difference between servers that have one stripe more
// or less small.
const stripesPerServer = 5

// placementStep shifts the order of servers from round to round.
const placementStep = 2

// plan starts moves off servers that leave or are gone, and to servers that
// have less than their share.
func (l *Leader) plan(now time.Duration) {
	for _, service := range sortedKeys(l.acked.Services) {
		ready := l.ready(service)
		if len(ready) == 0 {
			continue
		}
		ranges := l.newest().Services[service]
		counts := map[string]int{}
		slots := 0
		for _, s := range ready {
			slots += max(1, s.Slots)
		}
		for _, r := range ranges {
			counts[r.Owner.ID]++
		}
		usable := map[Incarnation]bool{}
		for _, s := range ready {
			usable[IncarnationOf(s)] = true
		}
		for _, t := range l.ranges {
			if t.service != service || t.calling {
				continue
			}
			r := l.newest().Find(service, t.from)
			switch {
			case r == nil:
			case t.stage == releasing:
				if usable[r.Previous] && (t.forced || !usable[r.Owner]) {
					l.revert(now, t, counts)
				}
			case !usable[r.Owner]:
				l.move(now, t, leastLoaded(ready, counts), counts)
				t.forced = true
			}
		}
		l.fill(now, service, ready, counts, slots)
	}
}

// fill gives servers that hold nothing ranges of the servers that hold the most,
// until they have their share. Balancing by load may take ranges away later.
func (l *Leader) fill(now time.Duration, service string, ready []directory.Server, counts map[string]int, slots int) {
	total := len(l.newest().Services[service])
	share := func(s directory.Server) int { return total * max(1, s.Slots) / slots }
	for _, to := range ready {
		if counts[to.ID] == 0 {
			l.filling[IncarnationOf(to)] = true
		}
		if !l.filling[IncarnationOf(to)] {
			continue
		}
		if counts[to.ID] >= share(to) {
			delete(l.filling, IncarnationOf(to))
		}
		for counts[to.ID] < share(to) {
			t := l.surplus(service, ready, counts, share)
			if t == nil {
				break
			}
			l.move(now, t, to, counts)
		}
	}
}

// surplus returns a settled range of the server that is furthest above its
// share, or nil if no server is.
func (l *Leader) surplus(service string, ready []directory.Server, counts map[string]int, share func(directory.Server) int) *tracked {
	most, over := "", 0
	for _, s := range ready {
		if d := counts[s.ID] - share(s); d > over {
			most, over = s.ID, d
		}
	}
	if most == "" {
		return nil
	}
	for _, t := range l.ranges {
		if t.service != service || t.stage != settled || t.calling || !t.confirmed {
			continue
		}
		if r := l.newest().Find(service, t.from); r != nil && r.Owner.ID == most && !r.Moving() {
			return t
		}
	}
	return nil
}

func (l *Leader) move(now time.Duration, t *tracked, to directory.Server, counts map[string]int) {
	r := l.edit().Find(t.service, t.from)
	counts[r.Owner.ID]--
	counts[to.ID]++
	r.Previous, r.Owner, r.Pending = r.Owner, IncarnationOf(to), false
	t.owner, t.previous, t.pending = r.Owner, r.Previous, false
	t.stage, t.forced, t.handover, t.next = releasing, false, "", now
}

// revert gives a range back to a holder that returned before it released.
func (l *Leader) revert(now time.Duration, t *tracked, counts map[string]int) {
	r := l.edit().Find(t.service, t.from)
	counts[r.Owner.ID]--
	counts[r.Previous.ID]++
	r.Owner, r.Previous = r.Previous, Incarnation{}
	t.owner, t.previous = r.Owner, r.Previous
	t.stage, t.confirmed, t.next = settled, false, now
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

// ready returns the servers of a service that may get keys, by id.
func (l *Leader) ready(service string) []directory.Server {
	var ready []directory.Server
	for _, s := range l.servers[service] {
		if !s.Draining && !l.gone[IncarnationOf(s)] {
			ready = append(ready, s)
		}
	}
	slices.SortFunc(ready, func(a, b directory.Server) int { return cmp.Compare(a.ID, b.ID) })
	return ready
}

func leastLoaded(ready []directory.Server, counts map[string]int) directory.Server {
	return slices.MinFunc(ready, func(a, b directory.Server) int {
		return cmp.Compare(counts[a.ID]*max(1, b.Slots), counts[b.ID]*max(1, a.Slots))
	})
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
