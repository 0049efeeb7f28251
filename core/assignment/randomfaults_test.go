package assignment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"parsleyrelay.example/core/directory"
)

const randomFaultSeeds = uint64(40)

// Guards against two holders of a key under random faults: servers that drain, are evacuated,
// restart, fail to respond, answer twice or are not listed, a late server list, calls that are applied
// late, slow writes and acknowledgements, busy keys, and leaders that resign or are
// replaced without notice.
// Servers do not restart at their address while a former leader may call them.
func TestRandomFaultsKeepOneHolder(t *testing.T) {
	for seed := range randomFaultSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { randomFaults(t, seed, false) })
	}
}

// Guards against two holders of a key if servers also restart at their address while a
// former leader calls them: the new incarnation has not seen the successor's fence.
func TestRandomRestartsUnderAFormerLeaderKeepOneHolder(t *testing.T) {
	for seed := range randomFaultSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { randomFaults(t, seed, true) })
	}
}

// restartAnywhere restarts a server: at its address, at another one, or with a new ID. It
// returns the ID of the new incarnation.
func (sim *simulation) restartAnywhere(id string, step int, atAddress bool) string {
	unreachable, variant := sim.servers[id].unreachable, sim.random.IntN(5)
	switch {
	case variant == 0: // with a new ID at its address
		address := sim.addressOf(id)
		delete(sim.servers, id)
		id = fmt.Sprint("new", step)
		sim.addServer(id).Address = address
	case variant == 1: // at another address
		sim.addServer(id).Address = fmt.Sprint("10.0.0.2:", step)
	case atAddress:
		sim.addServer(id)
	default:
		return id
	}
	sim.servers[id].unreachable = unreachable
	return id
}

// formerLeaderMayCall reports whether a call of a leader other than the last one may still
// arrive.
func (sim *simulation) formerLeaderMayCall(leaders []*Leader) bool {
	last := len(leaders) - 1
	return slices.ContainsFunc(leaders[:last], func(l *Leader) bool { return !l.Stopped() }) ||
		slices.ContainsFunc(sim.lateCalls, func(c lateCall) bool { return c.server == nil && c.call.Fence>>fenceCounterBits < leaders[last].Term() })
}

func randomFaults(t *testing.T, seed uint64, restartUnderFormerLeader bool) {
	random := rand.New(rand.NewPCG(seed, 7))
	ids := []string{"1", "2", "3", "4", "5"}
	sim := newSimulation(t)
	busyKeys := []uint16{uint16(random.IntN(KeyCount - 100)), uint16(random.IntN(KeyCount - 100)), uint16(random.IntN(KeyCount - 100))}
	for _, firstBusyKey := range busyKeys {
		for k := range uint16(12) {
			sim.checkedKeys = append(sim.checkedKeys, firstBusyKey+5*k)
		}
	}
	for _, id := range ids {
		sim.addServer(id)
	}
	leaders := []*Leader{sim.leaderAfterPlacement("a")}
	sim.random = random
	unlisted := map[string]bool{}
	currentBusyKey := busyKeys[0]
	listLag, listShown := 0, 0 // in steps; the leader's list never goes back
	var lists []map[string]map[string]directory.Server
	for step := range 1200 {
		current := leaders[len(leaders)-1]
		position := random.IntN(len(ids))
		id := ids[position]
		s := sim.servers[id]
		switch random.IntN(60) {
		case 0: // the server stops or resumes handling calls
			s.unreachable = !s.unreachable
		case 1: // its responses start or stop getting lost
			s.responsesLost = !s.responsesLost
		case 2: // it is removed from the server list or added again
			unlisted[id] = !unlisted[id]
		case 3: // it starts or stops draining
			s.Draining = !s.Draining
		case 4, 9: // it restarts
			ids[position] = sim.restartAnywhere(id, step, restartUnderFormerLeader || !sim.formerLeaderMayCall(leaders))
		case 5: // writes become slower or faster
			sim.writeDelay = time.Duration(random.IntN(8)) * 50 * time.Millisecond
		case 6: // other keys become busy
			currentBusyKey = busyKeys[random.IntN(len(busyKeys))]
		case 7: // the leader resigns
			if step%3 == 0 {
				current.Resign()
			}
		case 8: // another host becomes leader
			if random.IntN(3) == 0 || current.Stopped() {
				leaders = append(leaders, sim.newLeader(fmt.Sprint("host", step)))
			}
		case 10: // the leader's list becomes older or more recent
			listLag = random.IntN(40)
		case 11: // acknowledgements become slow
			sim.ackDelay = time.Duration(random.IntN(4000)) * time.Millisecond
		case 12, 13: // and fast again
			sim.ackDelay = 0
		case 14, 15: // copies of responses start or stop answering grants to the server
			s.copies = []CallStatus{0, CallSucceeded, CallNotExecuted, CallRefused}[random.IntN(4)]
		case 16: // the evacuation of its zone starts or ends
			s.Evacuated, s.EvacuationEndedAt = !s.Evacuated, sim.now
		}
		var excluded []string
		for id, h := range unlisted {
			if h {
				excluded = append(excluded, id)
			}
		}
		lists = append(lists, sim.serversExcept(excluded...))
		listShown = max(listShown, step-listLag)
		for i, l := range leaders {
			if i == len(leaders)-1 {
				l.SetServers(lists[listShown])
			}
			l.RecordArrivals("stock", []uint16{currentBusyKey + uint16(random.IntN(60)), uint16(random.IntN(KeyCount)), uint16(random.IntN(KeyCount))})
		}
		sim.step(leaders...)
		if len(leaders) > 2 {
			leaders = leaders[len(leaders)-2:]
		}
	}
}
