package load

import (
	"fmt"
	"math/rand/v2"
	"time"

	"parsleyrelay.example/core/finding"
)

// KeyDistribution is a Zipf distribution over keys. The set of most requested keys
// (hot keys) changes at a fixed interval.
type KeyDistribution struct {
	Count    uint64  `json:"count"`
	Exponent float64 `json:"exponent"` // greater than 1
	// Offset flattens the head of the distribution: the popularity of the n-th key
	// is (Offset+n)^-Exponent. It is at least 1, and 0 means 1. With 1 and an exponent
	// of 1.1 the hottest key gets about a seventh of all requests, more than one
	// server can handle.
	Offset float64 `json:"offset,omitempty"`
	// HotKeyInterval is the time after which other keys become hot; 0 means never.
	HotKeyInterval time.Duration `json:"moveEveryNs"`
}

// DefaultKeyDistribution is used by the profiles. The hot keys change once a
// minute, since those of the modelled sites change within minutes.
var DefaultKeyDistribution = KeyDistribution{Count: 100_000, Exponent: 1.1, HotKeyInterval: time.Minute}

func (k KeyDistribution) validate(findings *finding.List) {
	if k.Count < 1 {
		findings.Add("keys.count", "%d is less than 1", k.Count)
	}
	if k.Exponent <= 1 {
		findings.Add("keys.exponent", "%v is not greater than 1", k.Exponent)
	}
	if k.Offset != 0 && k.Offset < 1 {
		findings.Add("keys.offset", "%v is less than 1", k.Offset)
	}
}

type keyGenerator struct {
	distribution KeyDistribution
	zipf         *rand.Zipf
}

func newKeyGenerator(keys KeyDistribution, rng *rand.Rand) *keyGenerator {
	return &keyGenerator{distribution: keys, zipf: rand.NewZipf(rng, keys.Exponent, max(keys.Offset, 1), keys.Count-1)}
}

// nextKey draws a key for a request at the given time since the start of the run.
// Each interval shifts the popularity order by one more than a third of the keys,
// so that consecutive sets of hot keys do not overlap.
func (g *keyGenerator) nextKey(at time.Duration) string {
	n := g.zipf.Uint64()
	if g.distribution.HotKeyInterval > 0 {
		n += uint64(at/g.distribution.HotKeyInterval) * (g.distribution.Count/3 + 1)
	}
	return fmt.Sprintf("key-%d", n%g.distribution.Count)
}
