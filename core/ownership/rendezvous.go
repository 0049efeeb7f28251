package ownership

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// These functions order incarnations and servers by name. core/placement orders
// members by host and URL, so that a restarted daemon keeps its place; homes and
// proposers do not use that yet.

func score(key, candidate string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(candidate)
	return d.Sum64()
}

// rendezvousOrder sorts candidates by descending score for key.
func rendezvousOrder(key string, candidates []string) []string {
	ordered := slices.Clone(candidates)
	slices.SortFunc(ordered, func(a, b string) int {
		if c := cmp.Compare(score(key, b), score(key, a)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return ordered
}

// rendezvousRank returns the position of candidate, -1 if it is not among them.
func rendezvousRank(key, candidate string, candidates []string) int {
	return slices.Index(rendezvousOrder(key, candidates), candidate)
}

type weighted struct {
	name   string
	weight int
}

// pickWeighted returns the candidate with the highest weighted score, "" for none.
func pickWeighted(key string, candidates []weighted) string {
	best, bestScore := "", 0.0
	for _, c := range candidates {
		// (0, 1): the logarithm below must be finite and not zero.
		unit := (float64(score(key, c.name)>>11) + 0.5) / (1 << 53)
		if s := -float64(c.weight) / math.Log(unit); best == "" || s > bestScore {
			best, bestScore = c.name, s
		}
	}
	return best
}
