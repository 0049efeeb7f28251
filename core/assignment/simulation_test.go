package assignment

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/directory"
)

// fakeServer is one incarnation of a server. It handles calls like the platform's
// servers: a grant's duration starts at the arrival of the call, a grant with a fence
// below the highest accepted one is refused, and a release is never refused.
type fakeServer struct {
	directory.Server
	checkedKeys   []uint16                 // keys whose holders the simulation checks
	heldUntil     map[uint16]time.Duration // by key
	highestFence  map[uint16]uint64        // by key
	connectedAt   time.Duration            // when its oldest connection was opened; 0 for its start
	unreachable   bool                     // calls get no response; under random faults some grants arrive late
	responsesLost bool                     // calls take effect but get no response
	addressReused bool                     // another server responds at the address
	refuses       func(Call) bool          // refused calls have no effect; nil for none
	copies        CallStatus               // of the copies that answer grants over used connections, which are applied late; 0 for none
}

// isConnected reports whether the incarnation can have a connection from before a call's
// ConnectedBefore.
func (s *fakeServer) isConnected(c Call) bool {
	return c.ConnectedBefore == 0 || max(s.connectedAt, time.Duration(s.Born)) < c.ConnectedBefore
}

// mayReach reports whether a call may be sent to an incarnation now. Over a new connection
// a read of the log must show no later leader.
func (sim *simulation) mayReach(s *fakeServer, c Call) bool {
	return s.isConnected(c) || c.MayConnect && sim.appendedMap.Term == c.Fence>>fenceCounterBits
}

func (s *fakeServer) apply(now, arrivedAt time.Duration, c Call) CallResult {
	var affected []uint16
	for _, k := range s.checkedKeys {
		if k >= c.From && k <= c.To {
			affected = append(affected, k)
		}
	}
	if c.Kind == ReleaseCall {
		for _, k := range affected {
			delete(s.heldUntil, k)
		}
		return CallResult{Status: CallSucceeded, Handover: fmt.Sprint("from ", s.ID)}
	}
	for _, k := range affected {
		if c.Fence < s.highestFence[k] {
			return CallResult{Status: CallFenced}
		}
	}
	for _, k := range affected {
		s.highestFence[k] = c.Fence
		if end := arrivedAt + c.GrantDuration; end > now {
			s.heldUntil[k] = end
		}
	}
	return CallResult{Status: CallSucceeded}
}

// simulation runs leaders against a log and servers in memory, with a simulated
// clock, and checks after each step that no key has two holders.
type simulation struct {
	t             *testing.T
	now           time.Duration
	appendedMap   *Map
	servers       map[string]*fakeServer // by id; the incarnations that run
	sentCalls     []Call
	openCalls     []openCall
	lateCalls     []lateCall
	openWrites    []openWrite
	writeDelay    time.Duration                     // time until a map is stored
	ackDelay      time.Duration                     // time from then until the write is acknowledged
	callTime      func(Call) time.Duration          // time until a server answers a call that it executes; nil for none
	random        *rand.Rand                        // selects the unanswered grants that are applied late; nil for none
	checkedKeys   []uint16                          // keys whose holders are checked
	grantedFences map[uint16]map[*fakeServer]uint64 // by key and incarnation; highest accepted fence
	observations  *Observations                     // of the hosts that may lead next
	observed      *Map                              // the map that they saw last
}

// openWrite is a write of a map that the log has not completed.
type openWrite struct {
	leader         *Leader
	storedAt       time.Duration
	acknowledgedAt time.Duration
	newMap         *Map
	stored         *Map // nil before storedAt
}

// lateCall is a call that arrives later, or that its server applies later than it arrives.
type lateCall struct {
	appliedAt, arrivedAt time.Duration
	call                 Call
	server               *fakeServer // the incarnation that it has reached, with which it ends; nil before it arrives
}

// openCall is a call whose result the leader has not got yet.
type openCall struct {
	leader *Leader
	call   Call
	endsAt time.Duration
	result CallResult
}

func newSimulation(t *testing.T, ids ...string) *simulation {
	sim := &simulation{t: t, now: time.Hour, appendedMap: &Map{}, servers: map[string]*fakeServer{}, grantedFences: map[uint16]map[*fakeServer]uint64{}, observations: NewObservations()}
	for k := 0; k < KeyCount; k += 1024 {
		sim.checkedKeys = append(sim.checkedKeys, uint16(k))
	}
	for _, id := range ids {
		sim.addServer(id)
	}
	return sim
}

// addServer starts a server. A running server with the ID ends; the new incarnation has
// its address and knows nothing of its grants and fences.
func (sim *simulation) addServer(id string) *fakeServer {
	s := &fakeServer{Server: directory.Server{ID: id, Born: int64(sim.now), Service: "stock", Address: sim.addressOf(id), Slots: 6},
		checkedKeys: sim.checkedKeys, heldUntil: map[uint16]time.Duration{}, highestFence: map[uint16]uint64{}}
	sim.servers[id] = s
	return s
}

// addressOf returns the address of a server, or that of a new one.
func (sim *simulation) addressOf(id string) string {
	if s := sim.servers[id]; s != nil {
		return s.Address
	}
	return "10.0.0.1:" + id
}

// serverAt returns the server that listens at an address, or nil.
func (sim *simulation) serverAt(address string) (listening *fakeServer) {
	for _, s := range sim.servers {
		if s.Address == address && (listening == nil || s.Born > listening.Born) {
			listening = s
		}
	}
	return listening
}

// serversExcept returns all servers but those with the excluded IDs, in the form
// that Leader.SetServers takes.
func (sim *simulation) serversExcept(excluded ...string) map[string]map[string]directory.Server {
	list := map[string]directory.Server{}
	for id, s := range sim.servers {
		list[id] = s.Server
	}
	for _, id := range excluded {
		delete(list, id)
	}
	return map[string]map[string]directory.Server{"stock": list}
}

func (sim *simulation) newLeader(host string) *Leader {
	sim.observe()
	return NewLeader(sim.now, sim.appendedMap.clone(), Options{HostIncarnation: host, Stripes: 8, Observations: sim.observations})
}

// observe lets the hosts that may lead next see the stored map.
func (sim *simulation) observe() {
	if sim.observed == nil || sim.observed.NextOffset != sim.appendedMap.NextOffset {
		sim.observations.Record(sim.now, sim.appendedMap, sim.observed)
		sim.observed = sim.appendedMap.clone()
	}
}

// step advances the clock, applies late calls, runs one tick of each leader and
// checks the holders.
func (sim *simulation) step(leaders ...*Leader) {
	sim.now += tick
	sim.advance(leaders...)
}

// tick is the time between ticks of the leaders.
const tick = 50 * time.Millisecond

// advance does what step does without advancing the clock.
func (sim *simulation) advance(leaders ...*Leader) {
	sim.applyLateCalls()
	openCalls := sim.openCalls
	sim.openCalls = nil
	for _, o := range openCalls {
		if o.endsAt > sim.now {
			sim.openCalls = append(sim.openCalls, o)
			continue
		}
		sim.finish(o)
	}
	for _, l := range leaders {
		if sim.showsNoOtherLeader(l) {
			l.ConfirmLeadership(sim.now)
		}
		for _, c := range l.Tick(sim.now) {
			sim.send(l, c)
		}
		sim.advanceWrites(l)
	}
	sim.checkHolders()
	// Under random faults the other hosts miss some maps.
	if sim.random == nil || sim.random.IntN(3) == 0 {
		sim.observe()
	}
}

// send makes a call of a leader.
func (sim *simulation) send(l *Leader, c Call) {
	sim.sentCalls = append(sim.sentCalls, c)
	result, endsAt := sim.deliver(c)
	o := openCall{leader: l, call: c, endsAt: endsAt, result: result}
	if endsAt > sim.now {
		sim.openCalls = append(sim.openCalls, o)
		return
	}
	sim.finish(o)
}

// finish passes the result of a call to its leader, and makes the call that follows.
func (sim *simulation) finish(o openCall) {
	if next, due := o.leader.HandleCallResult(sim.now, o.call, o.result); due {
		sim.send(o.leader, next)
	}
}

// applyLateCalls applies the late calls that are due. A call that arrives later reaches
// whichever incarnation has the ID and the address then.
func (sim *simulation) applyLateCalls() {
	remaining := sim.lateCalls[:0]
	for _, c := range sim.lateCalls {
		if c.server == nil && c.arrivedAt <= sim.now {
			if c.server = sim.serverAt(c.call.Server.Address); c.server == nil || c.server.ID != c.call.Server.ID {
				continue
			}
			if !sim.mayReach(c.server, c.call) {
				continue
			}
		}
		switch {
		case c.appliedAt > sim.now:
			remaining = append(remaining, c)
		case sim.servers[c.server.ID] == c.server:
			sim.apply(c.server, c.arrivedAt, c.call)
		}
	}
	sim.lateCalls = remaining
}

// showsNoOtherLeader reports whether a read of the log confirms a leader. A replaced
// leader that cannot read the log is not confirmed either.
func (sim *simulation) showsNoOtherLeader(l *Leader) bool {
	m := sim.appendedMap
	return m.Term < l.Term() || m.Term == l.Term() && m.Leader == l.options.HostIncarnation
}

// advanceWrites starts the next write of a leader, and stores and acknowledges the writes
// that are due.
func (sim *simulation) advanceWrites(l *Leader) {
	if write := l.NextMapWrite(); write != nil {
		storedAt := sim.now + sim.writeDelay
		sim.openWrites = append(sim.openWrites, openWrite{leader: l, storedAt: storedAt, acknowledgedAt: storedAt + sim.ackDelay, newMap: write.Map})
	}
	remaining := sim.openWrites[:0]
	for _, o := range sim.openWrites {
		if o.stored == nil && o.storedAt <= sim.now {
			if o.newMap.NextOffset != sim.appendedMap.NextOffset {
				o.leader.Stop()
				continue
			}
			o.stored = o.newMap.clone()
			o.stored.Offset, o.stored.NextOffset = o.newMap.NextOffset, o.newMap.NextOffset+1
			sim.appendedMap = o.stored
		}
		if o.acknowledgedAt > sim.now {
			remaining = append(remaining, o)
		} else if !o.leader.Stopped() {
			o.leader.AcknowledgeMapWrite(sim.now, o.stored.Offset, o.stored.NextOffset)
		}
	}
	sim.openWrites = remaining
}

// deliver passes a call to the server that listens at its address. It returns the result
// that the leader gets, and the time at which the call ends.
func (sim *simulation) deliver(c Call) (result CallResult, endsAt time.Duration) {
	s := sim.serverAt(c.Server.Address)
	switch {
	case c.ConnectedBefore != 0 && (s == nil && !c.MayConnect || s != nil && !sim.mayReach(s, c)):
		return CallResult{Status: CallNotExecuted}, sim.now
	case s == nil || s.unreachable:
		endsAt = sim.now
		if c.Kind == GrantCall && sim.random != nil && sim.random.IntN(2) == 0 {
			endsAt += time.Duration(sim.random.Int64N(int64(CallTimeout)))
			sim.lateCalls = append(sim.lateCalls, lateCall{appliedAt: endsAt, arrivedAt: endsAt, call: c})
		}
		return CallResult{Status: CallUnanswered}, endsAt
	case s.refuses != nil && s.refuses(c):
		return CallResult{Status: CallRefused}, sim.now
	case s.addressReused || s.ID != c.Server.ID:
		return CallResult{Status: CallAddressReused}, sim.now
	case s.copies != 0 && c.Kind == GrantCall && !c.NewConn && (sim.random == nil || sim.random.IntN(2) == 0):
		sim.lateCalls = append(sim.lateCalls, lateCall{appliedAt: sim.now + GrantDuration - FenceGrantDuration, arrivedAt: sim.now, call: c, server: s})
		return CallResult{Status: s.copies, Unidentified: true}, sim.now
	case s.responsesLost && c.Kind == GrantCall && sim.random != nil && sim.random.IntN(2) == 0:
		sim.lateCalls = append(sim.lateCalls, lateCall{appliedAt: sim.now + time.Duration(sim.random.IntN(9000))*time.Millisecond, arrivedAt: sim.now, call: c, server: s})
		return CallResult{Status: CallUnanswered}, sim.now
	}
	result = sim.apply(s, sim.now, c)
	if s.responsesLost {
		result = CallResult{Status: CallUnanswered}
	}
	if sim.callTime != nil {
		return result, sim.now + sim.callTime(c)
	}
	return result, sim.now
}

// apply lets a server apply a call that arrived at arrivedAt.
func (sim *simulation) apply(s *fakeServer, arrivedAt time.Duration, c Call) CallResult {
	result := s.apply(sim.now, arrivedAt, c)
	if c.Kind == GrantCall && result.Status == CallSucceeded && arrivedAt+c.GrantDuration > sim.now {
		sim.checkFence(s, c)
	}
	return result
}

// checkFence fails if a grant that a server accepted does not have a higher fence than
// all grants of its keys to other servers and to other incarnations.
func (sim *simulation) checkFence(s *fakeServer, c Call) {
	for _, k := range s.checkedKeys {
		if k < c.From || k > c.To {
			continue
		}
		fences := sim.grantedFences[k]
		if fences == nil {
			fences = map[*fakeServer]uint64{}
			sim.grantedFences[k] = fences
		}
		fences[s] = max(fences[s], c.Fence)
		for other, f := range fences {
			if other != s && !assert.Greater(sim.t, c.Fence, f, "fence of the grant of %d to %s, which %s accepted", k, s.ID, other.ID) {
				return
			}
		}
	}
}

// checkHolders fails if two running servers hold the same key. It ignores servers that
// another one has replaced at their address, and grants that end within
// FenceGrantDuration, which only raise the fence.
func (sim *simulation) checkHolders() {
	holders := map[uint16]string{}
	for id, s := range sim.servers {
		for key, heldUntil := range s.heldUntil {
			if heldUntil <= sim.now+FenceGrantDuration || s.addressReused || sim.serverAt(s.Address) != s {
				continue
			}
			require.Empty(sim.t, holders[key], "%s and %s hold %d", holders[key], id, key)
			holders[key] = id
		}
	}
}

func (sim *simulation) run(d time.Duration, leaders ...*Leader) {
	for end := sim.now + d; sim.now < end; {
		sim.step(leaders...)
	}
}

// rangesByOwner counts the settled ranges of each server in the stored map, and under
// "moving" those that are not settled.
func (sim *simulation) rangesByOwner() map[string]int {
	counts := map[string]int{}
	for _, r := range sim.appendedMap.Services["stock"] {
		if r.IsMoving() {
			counts["moving"]++
		} else {
			counts[r.Owner.ID]++
		}
	}
	return counts
}

// leaderAfterPlacement returns a leader that has placed all ranges.
func (sim *simulation) leaderAfterPlacement(host string) *Leader {
	l := sim.newLeader(host)
	l.SetServers(sim.serversExcept())
	sim.run(4*time.Second, l)
	return l
}

// lastRenewal returns the last grant of full duration that was sent to a server.
func (sim *simulation) lastRenewal(server string) (renewal Call) {
	for _, c := range sim.sentCalls {
		if c.Server.ID == server && c.GrantDuration == GrantDuration {
			renewal = c
		}
	}
	require.NotZero(sim.t, renewal)
	return renewal
}

// takeOverBeforeALateRenewal returns a second leader, which cannot reach server 1. The
// first leader renews the grant of that server as late as it may.
func (sim *simulation) takeOverBeforeALateRenewal() *Leader {
	sim.leaderAfterPlacement("a")
	renewal := sim.lastRenewal("1")
	sim.servers["1"].unreachable = true
	l := sim.newLeader("b")
	l.SetServers(sim.serversExcept("1"))
	sim.step(l)
	arrival := sim.now + LeadershipConfirmationTimeout + CallTimeout
	sim.lateCalls = append(sim.lateCalls, lateCall{appliedAt: arrival, arrivedAt: arrival, call: renewal})
	return l
}
