package load

import (
	"fmt"
	"math/rand/v2"
	"time"

	"parsleyrelay.example/core/finding"
)

// Keys is a Zipf distribution over keys whose hot keys move.
type Keys struct {
	Count    uint64  `json:"count"`
	Exponent float64 `json:"exponent"` // greater than 1
	// MoveEvery is the time after which other keys become the hot ones; 0 means never.
	MoveEvery time.Duration `json:"moveEveryNs"`
}

// DefaultKeys is used by the profiles. Hot keys move once a minute, since they
// change within minutes at the sites.
var DefaultKeys = Keys{Count: 100_000, Exponent: 1.1, MoveEvery: time.Minute}

func (k Keys) validate(findings *finding.List) {
	if k.Count < 1 {
		findings.Add("keys.count", "%d is less than 1", k.Count)
	}
	if k.Exponent <= 1 {
		findings.Add("keys.exponent", "%v is not greater than 1", k.Exponent)
	}
}

type keySource struct {
	keys Keys
	zipf *rand.Zipf
}

func newKeySource(keys Keys, rng *rand.Rand) *keySource {
	return &keySource{keys: keys, zipf: rand.NewZipf(rng, keys.Exponent, 1, keys.Count-1)}
}

// next draws a key. Each move shifts the popularity ranks by a third of the keys
// and one, so that consecutive sets of hot keys do not overlap.
func (s *keySource) next(at time.Duration) string {
	n := s.zipf.Uint64()
	if s.keys.MoveEvery > 0 {
		n += uint64(at/s.keys.MoveEvery) * (s.keys.Count/3 + 1)
	}
	return fmt.Sprintf("key-%d", n%s.keys.Count)
}
