//go:build faultmatrix

package ownership

// Rules lists all rules that Disable accepts.
var Rules = []Rule{
	RuleLeaseCheck, RuleEvidencePrefix, RuleGrantEnd, RuleExpiryWait, RuleConfirmation, RuleConfirmAppliedOnly,
	RuleConfirmPublishedOnly, RulePendingWitnessSet, RuleInstanceWait, RuleShortcutTerm, RuleNoRegrant, RuleNoTransferBeforeEffective, RuleProvisionalHeldSlicesOnly,
}

// Disable switches a safety rule off.
func (c *Config) Disable(rule Rule) {
	off := map[Rule]bool{rule: true}
	for r := range c.rules.off {
		off[r] = true
	}
	c.rules.off = off
}
