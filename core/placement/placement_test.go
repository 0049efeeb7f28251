package placement

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"parsleyrelay.example/core/keyspace"
	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/state"
)

// membersInZones returns one member per given zone, in the order of their joining.
func membersInZones(zones ...string) []state.Member {
	list := make([]state.Member, len(zones))
	for i, z := range zones {
		id := fmt.Sprintf("h%02d", i)
		list[i] = state.Member{Host: id, Incarnation: "inc-" + id, Zone: z, PeerURL: "http://" + id, JoinedAt: uint64(i + 1)}
	}
	return list
}

// Guards against a rendezvous order that changes the order of the other hosts when one
// leaves, or that gives a restarted host another rank.
func TestOrderIsStable(t *testing.T) {
	all := membersInZones("a", "a", "a", "a", "a", "a")
	before := RendezvousOrder("server-1", all)
	var without []state.Member
	for _, m := range before {
		if m.Incarnation != before[2].Incarnation {
			without = append(without, m)
		}
	}
	require.Equal(t, without, RendezvousOrder("server-1", without))
	restarted := append([]state.Member{}, without...)
	again := before[2]
	again.Incarnation, again.JoinedAt = "new", 99
	rank, ok := RendezvousRank("server-1", "new", append(restarted, again))
	require.True(t, ok)
	require.Equal(t, 2, rank)
	require.Equal(t, 3*time.Second, ProposalDelay(3, time.Second))
}

// Guards against witness sets of a wrong size, such as an even size or, in scope "all", one
// at which a zone would have a majority although there are three zones, and against choosing
// an earlier incarnation of a restarted daemon. Also guards against a witness that is no
// member, is chosen twice, or is of another zone where the own zone has enough.
func TestWitnesses(t *testing.T) {
	cases := map[string]struct {
		scope   string
		members []state.Member
		want    int
	}{
		"no host":                          {"zone:a", membersInZones("b"), 0},
		"one host":                         {"zone:a", membersInZones("a", "b"), 1},
		"two hosts, third in another zone": {"zone:a", membersInZones("a", "a", "b"), 3},
		"two alone":                        {"zone:a", membersInZones("a", "a"), 1},
		"four":                             {"zone:a", membersInZones("a", "a", "a", "a", "b"), 3},
		"five":                             {"zone:a", membersInZones("a", "a", "a", "a", "a"), 5},
		"eight":                            {"zone:a", membersInZones("a", "a", "a", "a", "a", "a", "a", "a"), 5},
		"all, similar zones":               {"all", membersInZones("a", "a", "a", "b", "b", "b", "c", "c", "c", "c"), 9},
		"all, one zone":                    {"all", membersInZones("a", "a", "a", "a"), 3},
		"all, large zone":                  {"all", membersInZones("a", "a", "a", "a", "a", "a", "a", "b", "c"), 3},
		"all, eight hosts":                 {"all", membersInZones("a", "a", "a", "b", "b", "b", "c", "c"), 7},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			chosen := ChooseWitnesses(c.scope, c.members)
			require.Len(t, chosen, c.want)
			zones := map[string]int{}
			for _, m := range c.members {
				if slices.Contains(chosen, m.Incarnation) {
					zones[m.Zone]++
				}
			}
			require.Equal(t, c.want, zones["a"]+zones["b"]+zones["c"], "%v are not different members", chosen)
			if zone, ok := strings.CutPrefix(c.scope, "zone:"); ok {
				require.Equal(t, min(c.want, 2), min(zones[zone], 2), "%v", chosen)
				require.LessOrEqual(t, c.want-zones[zone], 1, "%v", chosen)
			} else if len(zones) > 2 {
				require.LessOrEqual(t, max(zones["a"], zones["b"], zones["c"]), c.want/2, "a zone has a majority of %v", chosen)
			}
		})
	}
	list := membersInZones("a", "a", "a")
	old := list[0]
	old.Incarnation, old.JoinedAt = "old", 0
	require.NotContains(t, ChooseWitnesses("zone:a", append(list, old)), "old")
}

// Guards against home candidates of another zone in the scope of a zone, and against
// ranking one of them second in scope "all", where the server's zone has two.
func TestHomes(t *testing.T) {
	list := membersInZones("a", "b", "a", "b", "c")
	for _, server := range []string{"s", "t", "u", "v"} {
		zone := HomeCandidates(server, "a", "zone:a", list)
		require.ElementsMatch(t, []state.Member{list[0], list[2]}, zone)
		all := HomeCandidates(server, "a", state.WitnessScopeAll, list)
		require.ElementsMatch(t, list, all)
		require.Equal(t, zone, all[:2])
	}
}

func drawServers(t *rapid.T) []Server {
	n := rapid.IntRange(1, 20).Draw(t, "servers")
	list := make([]Server, n)
	for i := range list {
		list[i] = Server{Name: fmt.Sprintf("s%d", i), Zone: string(rune('a' + i%3)), Weight: rapid.IntRange(1, 4).Draw(t, "weight") * 50}
	}
	return list
}

func slicesPerServer(placed []record.SlicePlacement) map[string]int {
	c := map[string]int{}
	for _, p := range placed {
		c[p.Server]++
	}
	return c
}

// requireFairShares checks that each server owns its share by weight, within 2 slices.
func requireFairShares(t require.TestingT, placed []record.SlicePlacement, servers []Server) {
	total := 0
	for _, s := range servers {
		total += s.Weight
	}
	got := slicesPerServer(placed)
	for _, s := range servers {
		share := float64(len(placed)) * float64(s.Weight) / float64(total)
		require.InDelta(t, share, float64(got[s.Name]), 2, s.Name)
	}
}

// Guards against an uneven initial placement, and against moving more slices than the fair
// share of a server plus 5% when it joins, or more than it owned when it leaves.
func TestPlaceAndRebalance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := drawServers(t)
		n := rapid.IntRange(64, 1024).Draw(t, "slices")
		placed := PlaceSlices("svc", keyspace.EqualRanges(n), servers)
		require.Len(t, placed, n)
		requireFairShares(t, placed, servers)

		added := append(servers[:len(servers):len(servers)], Server{Name: "new", Weight: 100, OwnedSlices: 9})
		moves := RebalanceSliceCounts("svc", placed, added)
		after := applyMoves(placed, moves)
		requireFairShares(t, after, added)
		total := 0
		for _, s := range added {
			total += s.Weight
		}
		share := float64(n) * 100 / float64(total)
		require.LessOrEqual(t, float64(len(moves)), share*1.05+1)

		back := RebalanceSliceCounts("svc", after, servers)
		require.LessOrEqual(t, len(back), slicesPerServer(after)["new"])
		requireFairShares(t, applyMoves(after, back), servers)
	})
}

func applyMoves(placed, moves []record.SlicePlacement) []record.SlicePlacement {
	to := map[uint64]string{}
	for _, m := range moves {
		to[m.Range.First] = m.Server
	}
	after := append([]record.SlicePlacement{}, placed...)
	for i := range after {
		if s, ok := to[after[i].Range.First]; ok {
			after[i].Server = s
		}
	}
	return after
}

// Guards against moving slices to another zone while their zone has an eligible server,
// against ignoring OwnedSlices, and against placement on a server without a weight. a2 gets
// all 16 slices of zone a, since it then has 20 at weight 200, as many per weight as a1. Zone
// z has no server, so its 127 slices go to other zones.
func TestEvacuatePrefersZone(t *testing.T) {
	servers := []Server{
		{Name: "a1", Zone: "a", Weight: 100, OwnedSlices: 10}, {Name: "a2", Zone: "a", Weight: 200, OwnedSlices: 4},
		{Name: "a3", Zone: "a"}, {Name: "b1", Zone: "b", Weight: 100},
	}
	got := slicesPerServer(EvacuateSlices("svc", "a", keyspace.EqualRanges(16), servers))
	require.Equal(t, map[string]int{"a2": 16}, got)
	require.Equal(t, map[string]int{"b1": 16}, slicesPerServer(EvacuateSlices("svc", "b", keyspace.EqualRanges(16), servers)))
	require.Nil(t, PlaceSlices("svc", keyspace.EqualRanges(4), []Server{{Name: "none"}}))
	require.Len(t, EvacuateSlices("svc", "z", keyspace.EqualRanges(math.MaxInt8), servers), math.MaxInt8)
}
