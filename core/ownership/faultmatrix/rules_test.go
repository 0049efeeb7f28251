//go:build faultmatrix

package faultmatrix

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/ownership"
)

func without(rule ownership.Rule) options {
	return options{configure: func(c *ownership.Config) { c.Disable(rule) }}
}

// TestRulesAreNeeded guards against a checker or a matrix that would not notice
// the absence of a safety rule: with the rule off, the named cell must be red.
func TestRulesAreNeeded(t *testing.T) {
	cases := []struct {
		name          string
		off           options
		column, fault string
		want          string
	}{
		{"dedupe by id", options{off: fakeRules{dedupe: true}}, "order dispatch", "entry host killed", "ran 2 times"},
		{"wait for expiry", without(ownership.RuleExpiryWait), "renewal", "server frozen and returned", "two owners"},
		{"wait for a new instance", without(ownership.RuleInstanceWait), "renewal", "server replaced, old instance frozen", "two owners"},
		{"no regrant after release", options{
			configure: without(ownership.RuleNoRegrant).configure, off: fakeRules{releaseMemory: true},
		}, "release", "log slow", "two owners"},
		{"restarted witness", options{off: fakeRules{witnessIncarnation: true}}, "renewal", "witness restarted after confirmation", "two owners"},
		{"majority confirmation", without(ownership.RuleConfirmation), "host join", "takeover unknown to the witnesses, server unreachable", "two owners"},
		{"fence at the server", options{off: fakeRules{fence: true}}, "host join", "takeover unknown to the witnesses, responses lost", "ran 2 times"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c, f := columnNamed(t, tc.column), faultNamed(t, tc.fault, ruleFaults...)
			var found []string
			for at := 1; at <= c.limit && len(found) == 0; at++ {
				for seed := range uint64(20) {
					o := tc.off
					o.seed = seed
					if v := run(c, at, o, f).world.checker.violations; len(v) > 0 {
						found = v
						require.Empty(t, run(c, at, options{seed: seed}, f).world.checker.violations, "with the rule, step %d seed %d", at, seed)
						t.Logf("step %d seed %d: %s", at, seed, v[0])
						break
					}
				}
			}
			require.NotEmpty(t, found, "no violation without the rule")
			require.Contains(t, found[0], tc.want)
		})
	}
}

// TestSearchFindsMissingRules guards against a search whose actions never lead
// to the states that the waits of the protocol are for.
func TestSearchFindsMissingRules(t *testing.T) {
	for _, rule := range []ownership.Rule{ownership.RuleExpiryWait, ownership.RuleInstanceWait} {
		t.Run(string(rule), func(t *testing.T) {
			r := search(without(rule), searchRuns, time.Now().Add(time.Minute))
			t.Logf("after %d courses: %s", r.runs, r.violation)
			require.Contains(t, r.violation, "two owners")
		})
	}
}
