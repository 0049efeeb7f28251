package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/resource"
	"parsleyrelay.example/core/state"
)

// isolateDaemon stops the polls and the log reads of a daemon, which keeps serving
// until its lease ends.
func isolateDaemon(cluster *testCluster, name string) {
	cluster.dropEffect = func(from string, e Effect) bool {
		poll, ok := e.(SendPoll)
		return ok && (from == name || poll.Witness == name)
	}
	cluster.canReadLog = func(reader string) bool { return reader != name }
}

// replaceServer starts a new instance of a server while the former one keeps
// running.
func replaceServer(cluster *testCluster, name string) {
	cluster.servers[name+"-former"] = cluster.servers[name]
	cluster.servers[name] = newFakeServer(name, name+"-new")
}

// Guards against a rule that has no effect: each scenario must have no violation
// with all rules and a violation without its rule.
func TestRulesAreNeeded(t *testing.T) {
	for rule, scenario := range map[Rule]func(cluster *testCluster){
		RuleInstanceWait: func(cluster *testCluster) { replaceServer(cluster, "checka") },
		RuleExpiryWait:   func(cluster *testCluster) { isolateDaemon(cluster, cluster.homeOf("plainb")) },
		RuleLeaseCheck:   func(cluster *testCluster) { isolateDaemon(cluster, cluster.homeOf("plainb")) },
	} {
		t.Run(string(rule), func(t *testing.T) {
			for _, disabled := range [][]Rule{{}, {rule}} {
				cluster := newServingClusterWithoutRules(t, disabled, 4, "checka", "plainb")
				scenario(cluster)
				cluster.run(5 * time.Second)
				require.Equal(t, len(disabled) > 0, cluster.violations > 0, "violations: %d", cluster.violations)
			}
		})
	}
}

// Guards against skipping the expiry wait without proof: only a server whose last
// grant came from the directly preceding term (for a provisional home: from the same
// term, with slices) excludes that another instance has a later grant.
func TestActivationWithoutWait(t *testing.T) {
	held := map[SliceRef]bool{{Generation: 1}: true}
	for name, c := range map[string]struct {
		subTerm    uint64
		held       map[SliceRef]bool
		answer     GrantResponse
		disabled   Rule
		wantActive bool
	}{
		"preceding term":             {answer: GrantResponse{Term: 9, PreviousTerm: 5}, wantActive: true},
		"older term":                 {answer: GrantResponse{Term: 9, PreviousTerm: 3}},
		"new instance":               {answer: GrantResponse{Term: 9}},
		"new instance, rule off":     {answer: GrantResponse{Term: 9}, disabled: RuleShortcutTerm, wantActive: true},
		"term not accepted":          {answer: GrantResponse{Term: 8, PreviousTerm: 5}},
		"provisional, same term":     {subTerm: 7, held: held, answer: GrantResponse{Term: 9, SubTerm: 7, PreviousTerm: 9}, wantActive: true},
		"provisional, earlier term":  {subTerm: 7, held: held, answer: GrantResponse{Term: 9, SubTerm: 7, PreviousTerm: 5}},
		"provisional, holds nothing": {subTerm: 7, answer: GrantResponse{Term: 9, SubTerm: 7, PreviousTerm: 9}},
	} {
		t.Run(name, func(t *testing.T) {
			m := newTestCluster(t).startDaemon("a", "z", c.disabled).machine
			h := &localHome{
				server: "s", spec: &resource.Server{ChecksGrants: true}, reportedHeld: c.held, subTerm: c.subTerm,
				provisional: c.subTerm > 0, assignment: state.Home{Term: 9, PreviousTerm: 5},
			}
			m.tryActivateWithoutWait(h, c.answer)
			require.Equal(t, c.wantActive, h.active)
		})
	}
}
