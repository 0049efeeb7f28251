package ownership

// Rule names one safety rule of the protocol. Builds with the tag faultmatrix
// can switch each one off to show that a checker notices its absence.
type Rule string

// The safety rules.
const (
	RuleLeaseCheck                Rule = "lease_check"     // act only inside the prefix lease
	RuleEvidencePrefix            Rule = "evidence_prefix" // a response that reports more than was folded is no evidence
	RuleGrantEnd                  Rule = "grant_end"       // a grant ends at or before the lease
	RuleExpiryWait                Rule = "expiry_wait"     // a forced change waits for older leases to expire
	RuleConfirmation              Rule = "confirmation"    // a forced change needs the confirmation of a majority
	RuleConfirmAppliedOnly        Rule = "confirm_prefix"  // only offsets that this daemon folded itself count as confirmed
	RuleConfirmPublishedOnly      Rule = "confirm_self"    // the own confirmation counts after the view was published
	RulePendingWitnessSet         Rule = "pending_set"     // a pending witness set must agree too
	RuleInstanceWait              Rule = "instance_wait"   // a new server instance waits for the grants of the former
	RuleShortcutTerm              Rule = "shortcut_term"   // the shortcut needs the directly preceding term
	RuleNoRegrant                 Rule = "no_regrant"      // a released generation is not granted again
	RuleNoTransferBeforeEffective Rule = "chain"           // a slice or home that is not effective yet is not passed on
	RuleProvisionalHeldSlicesOnly Rule = "provisional"     // a provisional home continues only what the server holds
)

// rules is the set of rules that are switched off; its zero value has all in force.
type rules struct {
	off map[Rule]bool
}

func (r rules) skip(rule Rule) bool { return r.off[rule] }
