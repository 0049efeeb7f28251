//go:build faultmatrix

package ownership

// Rules lists all rules that Disable accepts.
var Rules = []Rule{
	RuleLeaseCheck, RuleEvidencePrefix, RuleGrantEnd, RuleExpiryWait, RuleConfirmation, RuleConfirmAppliedOnly,
	RuleConfirmPublishedOnly, RulePendingWitnessSet, RuleInstanceWait, RuleShortcutTerm, RuleNoRegrant, RuleNoTransferBeforeEffective, RuleProvisionalHeldSlicesOnly,
}

// Disable disables a safety rule.
func (c *Config) Disable(rule Rule) {
	off := map[Rule]bool{rule: true}
	for r := range c.disabledRules.set {
		off[r] = true
	}
	c.disabledRules.set = off
}
