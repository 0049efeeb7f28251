//go:build faultmatrix

package faultmatrix

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/ownership"
)

func withoutRule(rule ownership.Rule) options {
	return options{configureMachine: func(c *ownership.Config) { c.Disable(rule) }}
}

// TestRulesAreNeeded guards against a checker or a matrix that does not detect a
// missing safety rule: with the rule disabled, the cell must have a violation.
func TestRulesAreNeeded(t *testing.T) {
	cases := []struct {
		name            string
		disabled        options
		protocol, fault string
		want            string
	}{
		{"dedupe by id", options{disabledRules: disabledFakeRules{deduplication: true}}, "order dispatch", "entry host killed", "ran 2 times"},
		{"wait for expiry", withoutRule(ownership.RuleExpiryWait), "renewal", "server frozen and returned", "two owners"},
		{"wait for a new instance", withoutRule(ownership.RuleInstanceWait), "renewal", "server replaced, old instance frozen", "two owners"},
		{"no regrant after release", options{
			configureMachine: withoutRule(ownership.RuleNoRegrant).configureMachine, disabledRules: disabledFakeRules{releaseMemory: true},
		}, "release", "log slow", "two owners"},
		{"restarted witness", options{disabledRules: disabledFakeRules{witnessIncarnation: true}}, "renewal", "witness restarted after confirmation", "two owners"},
		{"majority confirmation", withoutRule(ownership.RuleConfirmation), "host join", "takeover unknown to the witnesses, server unreachable", "two owners"},
		{"fence at the server", options{disabledRules: disabledFakeRules{termFencing: true}}, "host join", "takeover unknown to the witnesses, responses lost", "ran 2 times"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			p, f := protocolNamed(t, tc.protocol), faultNamed(t, tc.fault, ruleSpecificFaults...)
			var found []string
			for at := 1; at <= p.maxSteps && len(found) == 0; at++ {
				for seed := range uint64(20) {
					o := tc.disabled
					o.seed = seed
					if v := runProtocol(p, at, o, f).system.checker.violations; len(v) > 0 {
						found = v
						require.Empty(t, runProtocol(p, at, options{seed: seed}, f).system.checker.violations, "with the rule, step %d seed %d", at, seed)
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

// TestSearchFindsMissingRules guards against a search whose actions never lead to the
// states for which the protocol has its waits.
func TestSearchFindsMissingRules(t *testing.T) {
	for _, rule := range []ownership.Rule{ownership.RuleExpiryWait, ownership.RuleInstanceWait} {
		t.Run(string(rule), func(t *testing.T) {
			r := search(withoutRule(rule), maxSearchRuns, time.Now().Add(time.Minute))
			t.Logf("after %d runs: %s", r.runs, r.violation)
			require.Contains(t, r.violation, "two owners")
		})
	}
}
