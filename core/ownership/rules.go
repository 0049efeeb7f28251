package ownership

// Rule names one safety rule of the protocol. Tests built with the tag faultmatrix
// disable each one to show that the checker detects the resulting violation.
type Rule string

// The safety rules.
const (
	RuleLeaseCheck                Rule = "lease_check"     // a daemon acts only while it has a prefix lease
	RuleEvidencePrefix            Rule = "evidence_prefix" // a poll response counts for the lease only once its offset is applied
	RuleGrantEnd                  Rule = "grant_end"       // a grant ends no later than the lease
	RuleExpiryWait                Rule = "expiry_wait"     // a forced change waits until older leases have expired
	RuleConfirmation              Rule = "confirmation"    // a forced change needs the confirmation of a majority of the witnesses
	RuleConfirmAppliedOnly        Rule = "confirm_prefix"  // only offsets that this daemon has applied count as confirmed
	RuleConfirmPublishedOnly      Rule = "confirm_self"    // the own confirmation of an offset counts once its view is published
	RulePendingWitnessSet         Rule = "pending_set"     // leases and confirmations also need a majority of a pending witness set
	RuleInstanceWait              Rule = "instance_wait"   // a new server instance gets no grants before those of its predecessor have expired
	RuleShortcutTerm              Rule = "shortcut_term"   // a home skips the expiry wait only if it directly succeeds the last home that granted
	RuleNoRegrant                 Rule = "no_regrant"      // a released generation is not granted again
	RuleNoTransferBeforeEffective Rule = "chain"           // a slice or home that is not effective yet is not handed on
	RuleProvisionalHeldSlicesOnly Rule = "provisional"     // a provisional home grants only slices that the server already holds
)

// disabledRules is the set of rules that a test has disabled; the zero value
// disables none.
type disabledRules struct {
	set map[Rule]bool
}

func (r disabledRules) has(rule Rule) bool { return r.set[rule] }
