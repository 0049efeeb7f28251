package load

import (
	"fmt"
	"math/rand/v2"
	"time"

	"parsleyrelay.example/core/finding"
)

// KeyDistribution is a Zipf distribution over keys whose hot keys move.
type KeyDistribution struct {
	Count    uint64  `json:"count"`
	Exponent float64 `json:"exponent"` // greater than 1
	// Offset flattens the head of the distribution: the popularity of the n-th key
	// is (Offset+n)^-Exponent. At least 1, 0 means 1. With 1 and an exponent of 1.1
	// the hottest key has about a seventh of all requests, more than a server can run.
	Offset float64 `json:"offset,omitempty"`
	// HotKeyInterval is the time after which other keys become the hot ones; 0 means never.
	HotKeyInterval time.Duration `json:"moveEveryNs"`
}

// DefaultKeyDistribution is used by the profiles. Hot keys move once a minute, since they
// change within minutes at the sites.
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

type keySource struct {
	keys KeyDistribution
	zipf *rand.Zipf
}

func newKeySource(keys KeyDistribution, rng *rand.Rand) *keySource {
	return &keySource{keys: keys, zipf: rand.NewZipf(rng, keys.Exponent, max(keys.Offset, 1), keys.Count-1)}
}

// next draws a key. Each move shifts the popularity ranks by a third of the keys
// and one, so that consecutive sets of hot keys do not overlap.
func (s *keySource) next(at time.Duration) string {
	n := s.zipf.Uint64()
	if s.keys.HotKeyInterval > 0 {
		n += uint64(at/s.keys.HotKeyInterval) * (s.keys.Count/3 + 1)
	}
	return fmt.Sprintf("key-%d", n%s.keys.Count)
}
