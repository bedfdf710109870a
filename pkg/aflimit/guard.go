package aflimit

// guard is a set of rules that the bound on admitted tokens in any interval depends on. Tests disable one rule at a
// time to show that the bound is then exceeded.
type guard uint16

const (
	guardLenderDebit  guard = 1 << iota // The lender reduces its own share before it grants a loan.
	guardSingleCredit                   // A grant is credited only once.
	guardTermMargin                     // The lender counts a loan as ended later than the borrower does.
	guardRefundCut                      // Refundable tokens are cut when the level rises.
	guardHolderGone                     // A share is reissued only if its holder is gone.
	guardEarlyRelease                   // A VM stops using released parts before the write of the release is confirmed.
	guardLoansEnded                     // The share of a VM that is gone is reissued only after the loans that it gave have ended.
	guardLostRecord                     // A VM uses no parts of a lost record that it did not use before.
	guardSettled                        // A lost record is used again only when all VMs have read it and their loans have ended.
)

// has reports whether the set contains the rule.
func (g guard) has(x guard) bool { return g&x != 0 }
