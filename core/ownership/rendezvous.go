package ownership

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// The functions of this file order incarnations and servers by name. core/placement
// orders members by host and URL, so that a restarted daemon keeps its rank; the
// choice of homes and proposers does not use that yet.

func rendezvousScore(key, candidate string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(candidate)
	return d.Sum64()
}

// rendezvousOrder returns the candidates by descending score for key.
func rendezvousOrder(key string, candidates []string) []string {
	ordered := slices.Clone(candidates)
	slices.SortFunc(ordered, func(a, b string) int {
		if c := cmp.Compare(rendezvousScore(key, b), rendezvousScore(key, a)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return ordered
}

// rendezvousRank returns the index of candidate in the rendezvous order of the
// candidates, -1 if it is not among them.
func rendezvousRank(key, candidate string, candidates []string) int {
	return slices.Index(rendezvousOrder(key, candidates), candidate)
}

type weightedServer struct {
	name   string
	weight int
}

// pickWeighted returns the candidate with the highest weighted score, "" for none.
func pickWeighted(key string, candidates []weightedServer) string {
	best, bestScore := "", 0.0
	for _, c := range candidates {
		// Strictly between 0 and 1, so that the logarithm is finite and not zero.
		unit := (float64(rendezvousScore(key, c.name)>>11) + 0.5) / (1 << 53)
		if s := -float64(c.weight) / math.Log(unit); best == "" || s > bestScore {
			best, bestScore = c.name, s
		}
	}
	return best
}
