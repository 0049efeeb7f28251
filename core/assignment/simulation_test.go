package assignment

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/directory"
)

// fakeServer handles calls like the platform's servers: a grant's duration starts at
// the arrival of the call, a grant with a fence below the highest accepted one is
// refused, and a release is never refused.
type fakeServer struct {
	directory.Server
	checkedKeys   []uint16                 // keys whose holders the simulation checks
	heldUntil     map[uint16]time.Duration // by key
	highestFence  map[uint16]uint64        // by key
	unreachable   bool                     // calls get no response; under random faults some grants arrive late
	responsesLost bool                     // calls take effect but get no response
	addressReused bool                     // another server responds at the address
	refuses       func(Call) bool          // refused calls have no effect; nil for none
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
	servers       map[string]*fakeServer // by id
	sentCalls     []Call
	lateCalls     []lateCall
	openWrites    []openWrite
	writeDelay    time.Duration                // time until a write is acknowledged
	random        *rand.Rand                   // selects the unanswered grants that are applied late; nil for none
	checkedKeys   []uint16                     // keys whose holders are checked
	grantedFences map[uint16]map[string]uint64 // by key and server ID; highest accepted fence
	observations  *Observations                // of the hosts that may lead next
	observed      *Map                         // the map that they saw last
}

// openWrite is a write of a map that the log has not completed.
type openWrite struct {
	leader      *Leader
	completesAt time.Duration
	newMap      *Map
}

// lateCall is a call that reached its server but is applied later.
type lateCall struct {
	appliedAt, arrivedAt time.Duration
	call                 Call
}

func newSimulation(t *testing.T, ids ...string) *simulation {
	sim := &simulation{t: t, now: time.Hour, appendedMap: &Map{}, servers: map[string]*fakeServer{}, grantedFences: map[uint16]map[string]uint64{}, observations: NewObservations()}
	for k := 0; k < KeyCount; k += 1024 {
		sim.checkedKeys = append(sim.checkedKeys, uint16(k))
	}
	for _, id := range ids {
		sim.addServer(id)
	}
	return sim
}

func (sim *simulation) addServer(id string) *fakeServer {
	s := &fakeServer{Server: directory.Server{ID: id, Born: int64(sim.now), Service: "stock", Address: "10.0.0.1:" + id, Slots: 6},
		checkedKeys: sim.checkedKeys, heldUntil: map[uint16]time.Duration{}, highestFence: map[uint16]uint64{}}
	sim.servers[id] = s
	return s
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
	sim.now += 50 * time.Millisecond
	remaining := sim.lateCalls[:0]
	for _, c := range sim.lateCalls {
		switch s := sim.servers[c.call.Server.ID]; {
		case c.appliedAt > sim.now:
			remaining = append(remaining, c)
		case s != nil && s.Born == c.call.Server.Born:
			s.apply(sim.now, c.arrivedAt, c.call)
		}
	}
	sim.lateCalls = remaining
	for _, l := range leaders {
		if sim.showsNoOtherLeader(l) {
			l.ConfirmLeadership(sim.now)
		}
		for _, c := range l.Tick(sim.now) {
			sim.sentCalls = append(sim.sentCalls, c)
			l.HandleCallResult(sim.now, c, sim.deliver(c))
		}
		sim.advanceWrites(l)
	}
	sim.checkHolders()
	// Under random faults the other hosts miss some maps.
	if sim.random == nil || sim.random.IntN(3) == 0 {
		sim.observe()
	}
}

// showsNoOtherLeader reports whether a read of the log confirms a leader. A replaced
// leader that cannot read the log is not confirmed either.
func (sim *simulation) showsNoOtherLeader(l *Leader) bool {
	m := sim.appendedMap
	return m.Term < l.Term() || m.Term == l.Term() && m.Leader == l.options.HostIncarnation
}

// advanceWrites starts the next write of a leader and completes the writes that are
// due.
func (sim *simulation) advanceWrites(l *Leader) {
	if write := l.NextMapWrite(); write != nil {
		sim.openWrites = append(sim.openWrites, openWrite{leader: l, completesAt: sim.now + sim.writeDelay, newMap: write.Map})
	}
	remaining := sim.openWrites[:0]
	for _, o := range sim.openWrites {
		if o.completesAt > sim.now {
			remaining = append(remaining, o)
			continue
		}
		sim.append(o)
	}
	sim.openWrites = remaining
}

// append completes a write: it stores the map if its condition holds, and ends the
// leader's term otherwise.
func (sim *simulation) append(o openWrite) {
	if o.newMap.NextOffset != sim.appendedMap.NextOffset {
		o.leader.Stop()
		return
	}
	sim.appendedMap = o.newMap.clone()
	sim.appendedMap.Offset, sim.appendedMap.NextOffset = sim.appendedMap.NextOffset, sim.appendedMap.NextOffset+1
	if !o.leader.Stopped() {
		o.leader.AcknowledgeMapWrite(sim.now, sim.appendedMap.Offset, sim.appendedMap.NextOffset)
	}
}

// deliver passes a call to its server and returns the result that the leader gets.
func (sim *simulation) deliver(c Call) CallResult {
	s := sim.servers[c.Server.ID]
	if s == nil || s.unreachable || s.Born != c.Server.Born {
		if c.Kind == GrantCall && sim.random != nil && sim.random.IntN(2) == 0 {
			arrival := sim.now + time.Duration(sim.random.Int64N(int64(CallTimeout)))
			sim.lateCalls = append(sim.lateCalls, lateCall{appliedAt: arrival, arrivedAt: arrival, call: c})
		}
		return CallResult{Status: CallUnanswered}
	}
	if s.addressReused {
		return CallResult{Status: CallAddressReused}
	}
	if s.refuses != nil && s.refuses(c) {
		return CallResult{Status: CallRefused}
	}
	if s.responsesLost && c.Kind == GrantCall && sim.random != nil && sim.random.IntN(2) == 0 {
		sim.lateCalls = append(sim.lateCalls, lateCall{appliedAt: sim.now + time.Duration(sim.random.IntN(9000))*time.Millisecond, arrivedAt: sim.now, call: c})
		return CallResult{Status: CallUnanswered}
	}
	a := s.apply(sim.now, sim.now, c)
	if c.Kind == GrantCall && a.Status == CallSucceeded {
		sim.checkFence(c)
	}
	if s.responsesLost {
		return CallResult{Status: CallUnanswered}
	}
	return a
}

// checkFence fails if an accepted grant does not have a higher fence than all grants
// of its keys to other servers.
func (sim *simulation) checkFence(c Call) {
	for _, k := range sim.checkedKeys {
		if k < c.From || k > c.To {
			continue
		}
		fences := sim.grantedFences[k]
		if fences == nil {
			fences = map[string]uint64{}
			sim.grantedFences[k] = fences
		}
		for id, f := range fences {
			if id != c.Server.ID {
				require.Greater(sim.t, c.Fence, f, "fence of the grant of %d to %s", k, c.Server.ID)
			}
		}
		fences[c.Server.ID] = max(fences[c.Server.ID], c.Fence)
	}
}

// checkHolders fails if two servers hold the same key. It ignores servers that another
// one has replaced at their address, and grants that end within FenceGrantDuration,
// which only raise the fence.
func (sim *simulation) checkHolders() {
	holders := map[uint16]string{}
	for id, s := range sim.servers {
		for key, heldUntil := range s.heldUntil {
			if heldUntil <= sim.now+FenceGrantDuration || s.addressReused {
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
