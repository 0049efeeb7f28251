package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/resource"
	"parsleyrelay.example/core/state"
)

// cutOff stops the polls and the log reads of a daemon, which goes on serving
// as long as its lease lets it.
func cutOff(w *world, name string) {
	w.drop = func(from string, e Effect) bool {
		poll, ok := e.(SendPoll)
		return ok && (from == name || poll.Witness == name)
	}
	w.readLog = func(reader string) bool { return reader != name }
}

// replaceServer starts a new instance while the former still runs.
func replaceServer(w *world, name string) {
	w.servers[name+"-former"] = w.servers[name]
	w.servers[name] = newFakeServer(name, name+"-new")
}

// Guards against a rule that has no effect: each scenario is free of violations
// with all rules and finds one when its rule is off.
func TestRulesAreNeeded(t *testing.T) {
	for rule, scenario := range map[Rule]func(w *world){
		RuleInstanceWait: func(w *world) { replaceServer(w, "checka") },
		RuleExpiryWait:   func(w *world) { cutOff(w, w.homeOf("plainb")) },
		RuleLeaseCheck:   func(w *world) { cutOff(w, w.homeOf("plainb")) },
	} {
		t.Run(string(rule), func(t *testing.T) {
			for _, disabled := range [][]Rule{{}, {rule}} {
				w := servingWorldWithout(t, disabled, 4, "checka", "plainb")
				scenario(w)
				w.run(5 * time.Second)
				require.Equal(t, len(disabled) > 0, w.violations > 0, "violations: %d", w.violations)
			}
		})
	}
}

// Guards against a shortcut without proof: only a server whose last grant came
// from the directly preceding term (for a provisional home: from the same term,
// with slices) rules out another instance with a later grant.
func TestShortcut(t *testing.T) {
	held := map[SliceRef]bool{{Generation: 1}: true}
	for name, c := range map[string]struct {
		subTerm  uint64
		held     map[SliceRef]bool
		answer   GrantResponse
		disabled Rule
		open     bool
	}{
		"preceding term":             {answer: GrantResponse{Term: 9, PreviousTerm: 5}, open: true},
		"older term":                 {answer: GrantResponse{Term: 9, PreviousTerm: 3}},
		"new instance":               {answer: GrantResponse{Term: 9}},
		"new instance, rule off":     {answer: GrantResponse{Term: 9}, disabled: RuleShortcutTerm, open: true},
		"term not accepted":          {answer: GrantResponse{Term: 8, PreviousTerm: 5}},
		"provisional, same term":     {subTerm: 7, held: held, answer: GrantResponse{Term: 9, SubTerm: 7, PreviousTerm: 9}, open: true},
		"provisional, earlier term":  {subTerm: 7, held: held, answer: GrantResponse{Term: 9, SubTerm: 7, PreviousTerm: 5}},
		"provisional, holds nothing": {subTerm: 7, answer: GrantResponse{Term: 9, SubTerm: 7, PreviousTerm: 9}},
	} {
		t.Run(name, func(t *testing.T) {
			m := newWorld(t).start("a", "z", c.disabled).m
			h := &home{
				name: "s", spec: &resource.Server{ChecksGrants: true}, held: c.held, subTerm: c.subTerm,
				provisional: c.subTerm > 0, assigned: state.Home{Term: 9, PreviousTerm: 5},
			}
			m.tryShortcut(h, c.answer)
			require.Equal(t, c.open, h.open)
		})
	}
}
