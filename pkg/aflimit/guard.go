package aflimit

// guard names a rule that the interval bound rests on. Tests remove one to show that the bound then fails.
type guard uint8

const (
	guardDebit     guard = 1 << iota // The lender reduces its own share before it grants.
	guardOnce                        // A grant is credited once.
	guardMargin                      // The lender waits longer than the borrower.
	guardRefundCut                   // Refundable tokens are cut when the level rises.
	guardProof                       // A share is reissued only when its holder is gone.
	guardRelease                     // A release counts before its write is confirmed.
	guardWait                        // A dead holder's share is reissued only after its loans have ended.
)

func (g guard) has(x guard) bool { return g&x != 0 }
