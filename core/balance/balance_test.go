package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/keyspace"
)

// simulatedService is a service whose true load is known: part of it is spread evenly over
// the key space, the rest is caused by hot keys with a Zipf distribution. The total is 1.
type simulatedService struct {
	slices        []Slice
	measuredLoads map[uint64]*DecayingSum // by first hash of the slice
	servers       []Server
	hotKeyLoads   map[uint64]float64 // by key hash
	tracker       *HotKeyTracker
	movedKeyShare float64        // share of the key space moved since the hot keys changed
	moves         int            // since the hot keys changed
	movesBySlice  map[uint64]int // likewise, by first hash of the slice
}

// hotKeyLoadShare is the share of the load that hot keys cause. The hottest of 550 keys
// then causes 3.6% of the load.
const hotKeyLoadShare = 0.25

// replaceHotKeys chooses 550 new hot keys at random.
func (sim *simulatedService) replaceHotKeys(rng *rand.Rand) {
	sim.hotKeyLoads = map[uint64]float64{}
	sum := 0.0
	for i := range 550 {
		sum += 1 / float64(i+1)
	}
	for i := range 550 {
		sim.hotKeyLoads[rng.Uint64()] = hotKeyLoadShare / sum / float64(i+1)
	}
}

// true returns the true load of a slice, as opposed to the measured one.
func (sim *simulatedService) true(slice Slice) float64 {
	load := (1 - hotKeyLoadShare) * float64(slice.Range.Last-slice.Range.First) / (1 << 64)
	for hash, l := range sim.hotKeyLoads {
		if slice.Range.Contains(hash) {
			load += l
		}
	}
	return load
}

// trueImbalance returns the highest load ratio of a server, by the true load.
func (sim *simulatedService) trueImbalance() float64 {
	byServer, highest := map[string]float64{}, 0.0
	for _, slice := range sim.slices {
		byServer[slice.Server] += sim.true(slice)
		highest = max(highest, byServer[slice.Server])
	}
	return highest * float64(len(sim.servers))
}

func (sim *simulatedService) measureOneSecond(now time.Duration) {
	for i := range sim.slices {
		sim.measuredLoads[sim.slices[i].Range.First].Add(now, sim.true(sim.slices[i]))
		sim.slices[i].BusySlots = sim.measuredLoads[sim.slices[i].Range.First].Rate(now)
	}
	for hash, l := range sim.hotKeyLoads {
		sim.tracker.Add(now, hash, l)
	}
}

func (sim *simulatedService) applyPlan(now time.Duration) {
	plan := MakePlan(PlanInput{Now: now, Slices: sim.slices, HotKeys: sim.tracker.Top(now), Servers: sim.servers})
	for _, m := range plan.Moves {
		for i := range sim.slices {
			if slice := &sim.slices[i]; slice.Range == m.Range {
				slice.Server, slice.MovedAt, slice.NeverMoved = m.To, now, false
				sim.movedKeyShare += float64(m.Range.Last-m.Range.First) / (1 << 64)
				sim.moves++
				sim.movesBySlice[slice.Range.First]++
			}
		}
	}
	for _, s := range plan.Splits {
		sim.applySplit(now, s)
	}
}

// applySplit replaces a slice by its pieces. Their measured load starts at the true one,
// since the home daemon of the server estimates it from the load of the hot keys.
func (sim *simulatedService) applySplit(now time.Duration, s Split) {
	for i, slice := range sim.slices {
		if slice.Range != s.Range {
			continue
		}
		sim.slices = append(sim.slices[:i], sim.slices[i+1:]...)
		first := slice.Range.First
		for _, splitHash := range append(s.SplitHashes, 0) {
			piece := slice
			piece.Range = keyspace.Range{First: first, Last: splitHash - 1}
			if splitHash == 0 {
				piece.Range.Last = slice.Range.Last
			}
			sim.slices = append(sim.slices, piece)
			sim.measuredLoads[first] = &DecayingSum{}
			// 1.4427 is 1/ln 2: the amount of which Rate returns the true load.
			sim.measuredLoads[first].Add(now, sim.true(piece)*LoadHalfLife.Seconds()*1.4427)
			first = splitHash
		}
		return
	}
}

// Guards against a load ratio above 1.25 later than 60 s after all 550 hot keys changed,
// against slices that move back and forth, and against moves that continue after the load
// is even.
func TestHotKeysShift(t *testing.T) {
	for _, n := range []int{15, 25} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprintf("%d/%d", n, seed), func(t *testing.T) {
				t.Parallel()
				rng := rand.New(rand.NewPCG(seed, 1))
				sim := &simulatedService{measuredLoads: map[uint64]*DecayingSum{}, tracker: NewHotKeyTracker(1024)}
				for i := range n {
					sim.servers = append(sim.servers, Server{Name: fmt.Sprint(i), Zone: "a", Weight: 100})
				}
				for i, r := range keyspace.EqualRanges(256) {
					sim.slices = append(sim.slices, Slice{Range: r, Server: fmt.Sprint(i % n), NeverMoved: true})
					sim.measuredLoads[r.First] = &DecayingSum{}
				}
				now := time.Duration(0)
				for shift := range 3 {
					sim.replaceHotKeys(rng)
					start, lastAbove, lateMoves := now, time.Duration(0), 0
					sim.movedKeyShare, sim.moves, sim.movesBySlice = 0, 0, map[uint64]int{}
					before := sim.trueImbalance()
					for ; now < start+120*time.Second; now += time.Second {
						sim.measureOneSecond(now)
						if movesBefore := sim.moves; now%PlanInterval == 0 {
							sim.applyPlan(now)
							if now > start+100*time.Second {
								lateMoves += sim.moves - movesBefore
							}
						}
						if sim.trueImbalance() > 1.25 {
							lastAbove = now - start + time.Second
						}
					}
					t.Logf("shift %d: imbalance %.2f, over 1.25 for %v, then %.2f; %d moves of %.1f%% of the keys", shift, before, lastAbove, sim.trueImbalance(), sim.moves, 100*sim.movedKeyShare)
					require.LessOrEqual(t, lastAbove, 60*time.Second)
					for first, times := range sim.movesBySlice {
						require.LessOrEqual(t, times, 2, "slice %016x goes back and forth", first)
					}
					require.Zero(t, lateMoves, "moves later than 100 s after the shift")
				}
			})
		}
	}
}

// Guards against a draining server that keeps slices or receives some, and against moves to
// another zone while a server of the same zone has room. Its two slices
// are just the 2% of the load that one plan may move, and both fit on the near server.
func TestDrainingServer(t *testing.T) {
	in := PlanInput{Servers: []Server{
		{Name: "old", Zone: "a", Weight: 100, Draining: true}, {Name: "near", Zone: "a", Weight: 100}, {Name: "far", Zone: "b", Weight: 100},
	}}
	for i, r := range keyspace.EqualRanges(100) {
		server := []string{"near", "far"}[i%2]
		if i < 2 {
			server = "old"
		}
		in.Slices = append(in.Slices, Slice{Range: r, Server: server, BusySlots: 1, NeverMoved: true})
	}
	plan := MakePlan(in)
	require.Len(t, plan.Moves, 2)
	for _, m := range plan.Moves {
		require.Equal(t, "old", m.From)
		require.Equal(t, "near", m.To)
	}
	require.NotEqual(t, plan.Moves[0].Range, plan.Moves[1].Range)
}

// Guards against an idle server of weight 0 that is taken for the most loaded one, so
// that no room is made for a slice that fits on no other server.
func TestIdleServerWithoutWeightKeepsNoRoomFromBeingMade(t *testing.T) {
	in := PlanInput{Servers: []Server{{Name: "hot", Zone: "a", Weight: 100}, {Name: "b", Zone: "a", Weight: 100}, {Name: "c", Zone: "a", Weight: 100}}}
	ranges := keyspace.EqualRanges(120)
	add := func(server string, slices int, busySlots float64) {
		for range slices {
			in.Slices = append(in.Slices, Slice{Range: ranges[len(in.Slices)], Server: server, BusySlots: busySlots, NeverMoved: true})
		}
	}
	add("hot", 2, 32) // neither fits on b or c
	add("b", 40, 1.1)
	add("c", 40, 1.1)
	require.NotEmpty(t, MakePlan(in).Moves)
	in.Servers = append(in.Servers, Server{Name: "idle", Zone: "a"})
	require.NotEmpty(t, MakePlan(in).Moves)
}

// Guards against a joining server that stays empty because all others are below
// TriggerRatio, and against moving more than MaxMovedShare to it per plan or filling it
// beyond FillRatio.
func TestJoiningServer(t *testing.T) {
	in := PlanInput{Servers: []Server{{Name: "new", Zone: "a", Weight: 100}}}
	for i := range 15 {
		in.Servers = append(in.Servers, Server{Name: fmt.Sprint(i), Zone: "a", Weight: 100})
	}
	for i, r := range keyspace.EqualRanges(300) {
		in.Slices = append(in.Slices, Slice{Range: r, Server: fmt.Sprint(i % 15), BusySlots: 1, NeverMoved: true})
	}
	var received float64
	for plans := 1; plans <= 12; plans++ {
		in.Now += PlanInterval
		moved := 0.0
		for _, m := range MakePlan(in).Moves {
			require.Equal(t, "new", m.To)
			for i := range in.Slices {
				if in.Slices[i].Range == m.Range {
					in.Slices[i].Server, in.Slices[i].NeverMoved, in.Slices[i].MovedAt = "new", false, in.Now
					moved += in.Slices[i].BusySlots
				}
			}
		}
		require.LessOrEqual(t, moved, MaxMovedShare*300)
		received += moved
	}
	require.InDelta(t, FillRatio*300/16, received, 1)
}
