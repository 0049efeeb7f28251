package assignment

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an uneven first placement and neighbours on one server.
func TestFirstPlacementDealsNeighboursToDifferentServers(t *testing.T) {
	w := newWorld(t, "1", "2", "3", "4")
	w.placed("a")
	require.Equal(t, map[string]int{"1": 8, "2": 8, "3": 8, "4": 8}, w.owners())
	ranges := w.stored.Services["stock"]
	for i := 1; i < len(ranges); i++ {
		require.NotEqual(t, ranges[i-1].Owner, ranges[i].Owner)
	}
}

// Guards against a map that cannot be read back.
func TestMapSurvivesItsStoredForm(t *testing.T) {
	w := newWorld(t, "1", "2")
	l := w.placed("a")
	w.add("3")
	l.SetServers(w.listed("1"))
	w.step(l)
	data, err := w.stored.Encode()
	require.NoError(t, err)
	m, err := DecodeMap(data, w.stored.Offset, w.stored.NextOffset)
	require.NoError(t, err)
	require.Equal(t, w.stored, m)
	_, err = DecodeMap([]byte(`{"services":{"s":[[70000,0,0]]}}`), 1, 2)
	require.Error(t, err)
}

// Guards against keys that stay with a server that leaves.
func TestLeavingServerIsEmptiedAtOnce(t *testing.T) {
	w := newWorld(t, "1", "2", "3", "4")
	l := w.placed("a")
	s := w.servers["1"]
	s.Draining = true
	l.SetServers(w.listed())
	w.run(500*time.Millisecond, l)
	require.Zero(t, w.owners()["1"])
	require.Zero(t, w.owners()["moving"])
	require.Empty(t, s.held)
}

// Guards against a second holder while a server that is not listed may be up.
func TestUnreachableServerIsWaitedFor(t *testing.T) {
	w := newWorld(t, "1", "2", "3", "4")
	l := w.placed("a")
	w.servers["1"].down = true
	l.SetServers(w.listed("1"))
	w.run(GrantDuration-RenewalInterval, l)
	require.Equal(t, 8, w.owners()["moving"])
	w.run(RenewalInterval+2*time.Second, l)
	require.Zero(t, w.owners()["moving"])
	require.Zero(t, w.owners()["1"])
}

// Guards against a wait for a server whose restart shows that it holds nothing.
func TestRestartedServerGetsItsKeysAtOnce(t *testing.T) {
	w := newWorld(t, "1", "2", "3", "4")
	l := w.placed("a")
	w.add("1")
	l.SetServers(w.listed())
	w.run(300*time.Millisecond, l)
	require.Equal(t, map[string]int{"1": 8, "2": 8, "3": 8, "4": 8}, w.owners())
}

// Guards against keys that stay unserved after a server was only cut off: a
// range whose release was not answered goes back to the holder that returned.
func TestReturningHolderKeepsItsKeys(t *testing.T) {
	w := newWorld(t, "1", "2", "3", "4")
	l := w.placed("a")
	w.servers["1"].down = true
	l.SetServers(w.listed("1"))
	w.run(2*time.Second, l)
	require.Equal(t, 8, w.owners()["moving"])
	w.servers["1"].down = false
	l.SetServers(w.listed())
	w.run(time.Second, l)
	require.Equal(t, map[string]int{"1": 8, "2": 8, "3": 8, "4": 8}, w.owners())
}

// Guards against a release that is undone by an older grant without an answer:
// the grant is carried out after the release.
func TestLateGrantDoesNotUndoARelease(t *testing.T) {
	w := newWorld(t, "1", "2", "3", "4")
	l := w.placed("a")
	s := w.servers["1"]
	s.deaf = true
	w.run(RenewalInterval+100*time.Millisecond, l)
	for _, c := range w.calls {
		if c.Server.ID == "1" {
			w.late = append(w.late, lateCall{at: w.now + 2*time.Second, arrived: w.now, call: c})
		}
	}
	s.deaf = false
	s.Draining = true
	l.SetServers(w.listed())
	w.run(GrantDuration+3*time.Second, l)
	require.Zero(t, w.owners()["1"])
	require.Zero(t, w.owners()["moving"])
}

// Guards against two leaders that grant one range to two servers. The former
// leader is cut off from the store and goes on renewing.
func TestFormerLeaderIsFencedByServers(t *testing.T) {
	w := newWorld(t, "1", "2", "3", "4")
	a := w.placed("a")
	a.SetServers(w.listed())
	b := w.lead("b")
	b.SetServers(w.listed())
	w.step(b)
	w.servers["1"].Draining = true
	b.SetServers(w.listed())
	w.run(3*time.Second, b, a)
	require.True(t, a.Stopped())
	require.Zero(t, w.owners()["1"])
}

// Guards against keys that stay unserved for the former leader's limit after a
// move was open when it died: the holder's fence is raised, then it releases.
func TestOpenMoveEndsSoonUnderANewLeader(t *testing.T) {
	w := newWorld(t, "1", "2", "3", "4")
	a := w.placed("a")
	s := w.servers["1"]
	s.down = true
	a.SetServers(w.listed("1"))
	w.run(time.Second, a)
	require.Equal(t, 8, w.owners()["moving"])
	s.down = false
	b := w.lead("b")
	b.SetServers(w.listed("1"))
	w.run(time.Second, b)
	require.Zero(t, w.owners()["moving"])
	require.Zero(t, w.owners()["1"])
}

// Guards against a wait for a former leader that is known to have ended.
func TestEndedLeaderIsNotWaitedFor(t *testing.T) {
	w := newWorld(t, "1", "2", "3", "4")
	a := w.placed("a")
	w.servers["1"].down = true
	a.SetServers(w.listed("1"))
	w.run(time.Second, a)
	b := w.lead("b")
	b.SetServers(w.listed("1"))
	w.step(b)
	b.RecordFormerLeaderExit(w.now)
	w.run(GrantDuration+time.Second, b)
	require.Zero(t, w.owners()["moving"])
}

// Guards against a leader that takes its own map, read before the write is
// acknowledged, for another host's.
func TestOwnMapReadBeforeItsAcknowledgementEndsNothing(t *testing.T) {
	w := newWorld(t, "1", "2")
	l := w.lead("a")
	l.SetServers(w.listed())
	write := l.NextMapWrite()
	read := write.Map.clone()
	read.NextOffset++
	l.ObserveMap(read)
	require.False(t, l.Stopped())
	l.AcknowledgeMapWrite(w.now, 0, 1)
	require.True(t, l.Leading())
}

// Guards against a host that acts for a term before it has begun, because it led
// an earlier one.
func TestSecondTermOfAHostBeginsWithItsWrite(t *testing.T) {
	w := newWorld(t, "1", "2")
	w.placed("a")
	again := w.lead("a")
	again.SetServers(w.listed())
	require.False(t, again.Leading())
	require.Empty(t, again.Tick(w.now))
	w.step(again)
	require.True(t, again.Leading())
}

// Guards against a leader that grants although another may lead.
func TestLeaderWithoutContactStops(t *testing.T) {
	w := newWorld(t, "1", "2")
	l := w.placed("a")
	require.Empty(t, l.Tick(w.now+LeaderContactTimeout+time.Second))
	require.True(t, l.Stopped())
}

// Guards against an orderly end that leaves a call or a move open.
func TestResignationWaitsForOpenMoves(t *testing.T) {
	w := newWorld(t, "1", "2", "3", "4")
	l := w.placed("a")
	w.servers["1"].Draining = true
	l.SetServers(w.listed())
	l.Tick(w.now)
	l.Resign()
	w.run(time.Second, l)
	require.True(t, l.Stopped())
	require.True(t, w.stored.Resigned)
}

// Guards against a release that goes to the former holder of an earlier move: a
// range moves twice while the writes of the map are slow (OWNER on huaman-relay,
// scale-2).
func TestSecondMoveWaitsForItsOwnWrite(t *testing.T) {
	w := newWorld(t, "1", "2", "3", "4")
	l := w.placed("a")
	w.delay = 200 * time.Millisecond
	for _, id := range []string{"1", "2", "3"} {
		w.servers[id].Draining = true
		l.SetServers(w.listed())
		for range 12 {
			w.step(l)
		}
	}
	w.run(3*time.Second, l)
	require.Equal(t, map[string]int{"4": 32}, w.owners())
}

// Guards against a wait for a server whose address another one has, and against
// calls that go on reaching that one (BUDGET on huaman-relay, trouble-1 with seed
// 721061928952).
func TestReusedAddressEndsTheWait(t *testing.T) {
	w := newWorld(t, "1", "2", "3", "4")
	l := w.placed("a")
	w.servers["1"].replaced = true
	ranges := w.owners()["1"]
	w.calls = nil
	w.run(RenewalInterval+500*time.Millisecond, l)
	require.Zero(t, w.owners()["1"])
	require.Zero(t, w.owners()["moving"])
	sent := 0
	for _, c := range w.calls {
		if c.Server.ID == "1" {
			sent++
		}
	}
	require.LessOrEqual(t, sent, 2*ranges)
}

// Guards against two holders under random faults: servers that leave, return, do
// not answer, restart or are not listed, calls that are carried out late, slow
// writes, busy keys, and leaders that are cut off, replaced or resign.
func TestRandomFaultsKeepOneHolder(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { randomFaults(t, seed) })
	}
}

func randomFaults(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 7))
	ids := []string{"1", "2", "3", "4", "5"}
	w := newWorld(t)
	spots := []uint16{uint16(random.IntN(KeyCount - 100)), uint16(random.IntN(KeyCount - 100)), uint16(random.IntN(KeyCount - 100))}
	for _, spot := range spots {
		for k := range uint16(12) {
			w.keys = append(w.keys, spot+5*k)
		}
	}
	for _, id := range ids {
		w.add(id)
	}
	leaders := []*Leader{w.placed("a")}
	w.random = random
	hidden := map[string]bool{}
	busy := spots[0]
	for step := range 1200 {
		current := leaders[len(leaders)-1]
		id := ids[random.IntN(len(ids))]
		s := w.servers[id]
		switch random.IntN(60) {
		case 0:
			s.down = !s.down
		case 1:
			s.deaf = !s.deaf
		case 2:
			hidden[id] = !hidden[id]
		case 3:
			s.Draining = !s.Draining
		case 4:
			old := s
			w.add(id).down = old.down
		case 5:
			w.delay = time.Duration(random.IntN(8)) * 50 * time.Millisecond
		case 6:
			busy = spots[random.IntN(len(spots))]
		case 7:
			if step%3 == 0 {
				current.Resign()
			}
		case 8:
			if random.IntN(3) == 0 || current.Stopped() {
				leaders = append(leaders, w.lead(fmt.Sprint("host", step)))
			}
		}
		var without []string
		for id, h := range hidden {
			if h {
				without = append(without, id)
			}
		}
		for i, l := range leaders {
			if i == len(leaders)-1 {
				l.SetServers(w.listed(without...))
			}
			l.RecordArrivals("stock", []uint16{busy + uint16(random.IntN(60)), uint16(random.IntN(KeyCount)), uint16(random.IntN(KeyCount))})
		}
		w.step(leaders...)
		if len(leaders) > 2 {
			leaders = leaders[len(leaders)-2:]
		}
	}
}
