package placement

import (
	"slices"
	"strings"

	"parsleyrelay.example/core/state"
)

// Sizes of witness sets. All are odd: an even set needs a larger majority and
// survives no more losses than the odd set below it.
const (
	maxZoneWitnesses = 5
	maxAllWitnesses  = 9
)

// ChooseWitnesses returns the incarnations that should witness for a scope, sorted.
// It is empty when the scope has no host.
func ChooseWitnesses(scope string, hosts []state.Member) []string {
	hosts = LatestPerPeerURL(hosts)
	var chosen []state.Member
	if zone, ok := strings.CutPrefix(scope, state.WitnessScopeOfZone("")); ok {
		chosen = zoneWitnesses(scope, zone, hosts)
	} else {
		chosen = allWitnesses(scope, hosts)
	}
	ids := make([]string, len(chosen))
	for i, m := range chosen {
		ids[i] = m.Incarnation
	}
	slices.Sort(ids)
	return ids
}

func zoneWitnesses(scope, zone string, hosts []state.Member) []state.Member {
	local, remote := byZone(zone, hosts)
	ordered := RendezvousOrder(witnessSubject(scope), local)
	if len(ordered) == 2 && len(remote) > 0 {
		// The third witness lets two hosts survive the loss of one of them.
		return append(ordered, RendezvousOrder(witnessSubject(scope), remote)[0])
	}
	return ordered[:oddUpTo(min(len(ordered), maxZoneWitnesses))]
}

// allWitnesses spreads the set over the zones. It takes the largest odd size in
// which no zone alone is a majority, so that the loss of one zone leaves one;
// where no size has this property (fewer than three zones), the largest.
func allWitnesses(scope string, hosts []state.Member) []state.Member {
	ordered := interleaveZones(RendezvousOrder(witnessSubject(scope), hosts))
	largest := oddUpTo(min(len(ordered), maxAllWitnesses))
	for size := largest; size >= 3; size -= 2 {
		if largestZone(ordered[:size]) <= size/2 {
			return ordered[:size]
		}
	}
	return ordered[:largest]
}

// interleaveZones reorders hosts so that each prefix takes from the zones as
// evenly as possible. Within a zone, and between zones of equal share, the given
// order decides.
func interleaveZones(ordered []state.Member) []state.Member {
	taken := map[string]int{}
	rest := slices.Clone(ordered)
	result := make([]state.Member, 0, len(ordered))
	for len(rest) > 0 {
		best := 0
		for i, m := range rest {
			if taken[m.Zone] < taken[rest[best].Zone] {
				best = i
			}
		}
		taken[rest[best].Zone]++
		result = append(result, rest[best])
		rest = slices.Delete(rest, best, best+1)
	}
	return result
}

func largestZone(hosts []state.Member) int {
	count := map[string]int{}
	largest := 0
	for _, m := range hosts {
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
