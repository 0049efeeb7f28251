package assignment

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/directory"
)

// fakeServer applies grants the way the platform's servers do: a hold runs from
// the arrival of the call, a call under a lower fence than one seen is refused,
// and a release is never refused.
type fakeServer struct {
	directory.Server
	keys []uint16 // that are looked at
	held map[uint16]time.Duration
	seen map[uint16]uint64
	down bool // calls get no answer and have no effect
	deaf bool // calls take effect and get no answer
	// replaced says that another server answers at the address.
	replaced bool
}

func (s *fakeServer) apply(now, arrived time.Duration, c Call) CallResult {
	var named []uint16
	for _, k := range s.keys {
		if k >= c.From && k <= c.To {
			named = append(named, k)
		}
	}
	if c.Kind == ReleaseCall {
		for _, k := range named {
			delete(s.held, k)
		}
		return CallResult{Status: CallSucceeded, Handover: fmt.Sprint("from ", s.ID)}
	}
	for _, k := range named {
		if c.Fence < s.seen[k] {
			return CallResult{Status: CallFenced}
		}
	}
	for _, k := range named {
		s.seen[k] = c.Fence
		if end := arrived + c.GrantDuration; end > now {
			s.held[k] = end
		}
	}
	return CallResult{Status: CallSucceeded}
}

type world struct {
	t       *testing.T
	now     time.Duration
	stored  *Map
	servers map[string]*fakeServer // by id
	calls   []Call
	late    []lateCall
	writes  []openWrite
	delay   time.Duration                // of writes
	random  *rand.Rand                   // decides which unanswered grants are carried out late; nil for none
	keys    []uint16                     // that are looked at
	granted map[uint16]map[string]uint64 // key, server: highest fence taken
}

type openWrite struct {
	leader *Leader
	at     time.Duration
	m      *Map
}

type lateCall struct {
	at, arrived time.Duration
	call        Call
}

func newWorld(t *testing.T, ids ...string) *world {
	w := &world{t: t, now: time.Hour, stored: &Map{}, servers: map[string]*fakeServer{}, granted: map[uint16]map[string]uint64{}}
	for k := 0; k < KeyCount; k += 1024 {
		w.keys = append(w.keys, uint16(k))
	}
	for _, id := range ids {
		w.add(id)
	}
	return w
}

func (w *world) add(id string) *fakeServer {
	s := &fakeServer{Server: directory.Server{ID: id, Born: int64(w.now), Service: "stock", Address: "10.0.0.1:" + id, Slots: 6},
		keys: w.keys, held: map[uint16]time.Duration{}, seen: map[uint16]uint64{}}
	w.servers[id] = s
	return s
}

// listed returns the servers without those that are named.
func (w *world) listed(without ...string) map[string]map[string]directory.Server {
	list := map[string]directory.Server{}
	for id, s := range w.servers {
		list[id] = s.Server
	}
	for _, id := range without {
		delete(list, id)
	}
	return map[string]map[string]directory.Server{"stock": list}
}

func (w *world) lead(host string) *Leader {
	return NewLeader(w.now, w.stored.clone(), Options{HostIncarnation: host, Stripes: 8})
}

// step lets the leaders work for one tick and checks the holders.
func (w *world) step(leaders ...*Leader) {
	w.now += 50 * time.Millisecond
	waiting := w.late[:0]
	for _, c := range w.late {
		switch s := w.servers[c.call.Server.ID]; {
		case c.at > w.now:
			waiting = append(waiting, c)
		case s.Born == c.call.Server.Born:
			s.apply(w.now, c.arrived, c.call)
		}
	}
	w.late = waiting
	for _, l := range leaders {
		l.ConfirmLeadership(w.now)
		for _, c := range l.Tick(w.now) {
			w.calls = append(w.calls, c)
			l.HandleCallResult(w.now, c, w.deliver(c))
		}
		w.write(l)
	}
	w.checkHolders()
}

func (w *world) write(l *Leader) {
	if write := l.NextMapWrite(); write != nil {
		w.writes = append(w.writes, openWrite{leader: l, at: w.now + w.delay, m: write.Map})
	}
	kept := w.writes[:0]
	for _, o := range w.writes {
		if o.at > w.now {
			kept = append(kept, o)
			continue
		}
		w.append(o)
	}
	w.writes = kept
}

func (w *world) append(o openWrite) {
	if o.m.NextOffset != w.stored.NextOffset {
		o.leader.Stop()
		return
	}
	w.stored = o.m.clone()
	w.stored.Offset, w.stored.NextOffset = w.stored.NextOffset, w.stored.NextOffset+1
	if !o.leader.Stopped() {
		o.leader.AcknowledgeMapWrite(w.now, w.stored.Offset, w.stored.NextOffset)
	}
}

func (w *world) deliver(c Call) CallResult {
	s := w.servers[c.Server.ID]
	if s == nil || s.down || s.Born != c.Server.Born {
		return CallResult{Status: CallUnanswered}
	}
	if s.replaced {
		return CallResult{Status: CallAddressReused}
	}
	if s.deaf && c.Kind == GrantCall && w.random != nil && w.random.IntN(2) == 0 {
		w.late = append(w.late, lateCall{at: w.now + time.Duration(w.random.IntN(9000))*time.Millisecond, arrived: w.now, call: c})
		return CallResult{Status: CallUnanswered}
	}
	a := s.apply(w.now, w.now, c)
	if c.Kind == GrantCall && a.Status == CallSucceeded {
		w.checkFence(c)
	}
	if s.deaf {
		return CallResult{Status: CallUnanswered}
	}
	return a
}

func (w *world) checkFence(c Call) {
	for _, k := range w.keys {
		if k < c.From || k > c.To {
			continue
		}
		fences := w.granted[k]
		if fences == nil {
			fences = map[string]uint64{}
			w.granted[k] = fences
		}
		for id, f := range fences {
			if id != c.Server.ID {
				require.Greater(w.t, c.Fence, f, "fence of the grant of %d to %s", k, c.Server.ID)
			}
		}
		fences[c.Server.ID] = max(fences[c.Server.ID], c.Fence)
	}
}

// checkHolders fails if two servers hold a range for longer than a short grant.
func (w *world) checkHolders() {
	holders := map[uint16]string{}
	for id, s := range w.servers {
		for from, end := range s.held {
			if end <= w.now+FenceGrantDuration || s.replaced {
				continue
			}
			require.Empty(w.t, holders[from], "%s and %s hold %d", holders[from], id, from)
			holders[from] = id
		}
	}
}

func (w *world) run(d time.Duration, leaders ...*Leader) {
	for end := w.now + d; w.now < end; {
		w.step(leaders...)
	}
}

// owners counts the settled ranges of each server in the stored map.
func (w *world) owners() map[string]int {
	n := map[string]int{}
	for _, r := range w.stored.Services["stock"] {
		if r.IsMoving() {
			n["moving"]++
		} else {
			n[r.Owner.ID]++
		}
	}
	return n
}

func (w *world) placed(host string) *Leader {
	l := w.lead(host)
	l.SetServers(w.listed())
	w.run(4*time.Second, l)
	return l
}
