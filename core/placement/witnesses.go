package placement

import (
	"slices"
	"strings"

	"parsleyrelay.example/core/state"
)

// Maximum sizes of witness sets. Sets have an odd size, since an even set tolerates no more
// failures than the odd set with one member less but needs a larger majority.
const (
	maxZoneScopeWitnesses = 5
	maxAllScopeWitnesses  = 9
)

// ChooseWitnesses returns the incarnations that should be the witnesses of a scope, sorted.
// The result is empty if the scope has no member.
func ChooseWitnesses(scope string, members []state.Member) []string {
	members = LatestPerPeerURL(members)
	var chosen []state.Member
	if zone, ok := strings.CutPrefix(scope, state.WitnessScopeOfZone("")); ok {
		chosen = chooseZoneScopeWitnesses(scope, zone, members)
	} else {
		chosen = chooseAllScopeWitnesses(scope, members)
	}
	ids := make([]string, len(chosen))
	for i, m := range chosen {
		ids[i] = m.Incarnation
	}
	slices.Sort(ids)
	return ids
}

// chooseZoneScopeWitnesses chooses members in one zone. If the zone has just two, it adds one
// of another zone.
func chooseZoneScopeWitnesses(scope, zone string, members []state.Member) []state.Member {
	local, remote := splitByZone(zone, members)
	ordered := RendezvousOrder(witnessSubject(scope), local)
	if len(ordered) == 2 && len(remote) > 0 {
		// With a third witness from another zone, one of two members may fail without loss
		// of the majority.
		return append(ordered, RendezvousOrder(witnessSubject(scope), remote)[0])
	}
	return ordered[:oddUpTo(min(len(ordered), maxZoneScopeWitnesses))]
}

// chooseAllScopeWitnesses chooses members in all zones. It uses the largest odd size at which
// no zone has a majority of the witnesses, so that the others keep one if a zone fails. If
// no size allows this, for example with fewer than three zones, it uses the largest odd
// size.
func chooseAllScopeWitnesses(scope string, members []state.Member) []state.Member {
	ordered := interleaveZones(RendezvousOrder(witnessSubject(scope), members))
	largest := oddUpTo(min(len(ordered), maxAllScopeWitnesses))
	for size := largest; size >= 3; size -= 2 {
		if largestZoneSize(ordered[:size]) <= size/2 {
			return ordered[:size]
		}
	}
	return ordered[:largest]
}

// interleaveZones reorders members so that the numbers of members per zone in each prefix
// are as equal as possible. Within a zone, and between zones with equal numbers, the given
// order decides.
func interleaveZones(ordered []state.Member) []state.Member {
	takenPerZone := map[string]int{}
	remaining := slices.Clone(ordered)
	result := make([]state.Member, 0, len(ordered))
	for len(remaining) > 0 {
		best := 0
		for i, m := range remaining {
			if takenPerZone[m.Zone] < takenPerZone[remaining[best].Zone] {
				best = i
			}
		}
		takenPerZone[remaining[best].Zone]++
		result = append(result, remaining[best])
		remaining = slices.Delete(remaining, best, best+1)
	}
	return result
}

// largestZoneSize returns the number of members in the zone that has the most.
func largestZoneSize(members []state.Member) int {
	count := map[string]int{}
	largest := 0
	for _, m := range members {
		count[m.Zone]++
		largest = max(largest, count[m.Zone])
	}
	return largest
}

func witnessSubject(scope string) string { return "witness/" + scope }

// oddUpTo returns the largest odd number up to n, and 0 for 0.
func oddUpTo(n int) int {
	if n%2 == 0 && n > 0 {
		return n - 1
	}
	return n
}
