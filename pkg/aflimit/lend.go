package aflimit

import (
	"math"
	"time"

	"arbutusfork.example/arbutusfork"
)

const (
	// lenderReserveDuration is the length of its own recent demand for which a lender keeps tokens.
	lenderReserveDuration = 250 * time.Millisecond
	// idleRateDivisor divides the customer's rate. A lender whose own demand is below the result keeps nothing for
	// it.
	idleRateDivisor = 20
)

// GrantLoan answers a loan request. The lender's own share is reduced before the grant exists, so that a lost answer
// loses tokens and never creates them.
func (a *Account) GrantLoan(borrower arbutusfork.Incarnation, r LoanRequest, now time.Duration) LoanGrant {
	a.AdvanceTo(now)
	if r.RenewedLoanID != 0 {
		return a.extendLoan(borrower, r, now)
	}
	if loan, ok := a.given.FindLoan(borrower, r.ID); ok {
		// A duplicate request gets the same grant. The borrower credits only one of the two.
		return LoanGrant{ID: r.ID, Parts: loan.Parts, Tokens: loan.Tokens}
	}
	lendable, tokens := a.lendable(now)
	tokens = max(0, min(tokens, r.Tokens))
	parts := lendable.Min(r.Parts.Max(Parts{Burst: a.limit.PartsForBurst(tokens)}))
	// Tokens above the capacity that remains here are lent too, because they would be cut otherwise.
	tokens = max(0, min(max(tokens, a.excessTokens(parts)), a.bucket.level, a.limit.ForParts(parts).Burst))
	if parts.IsZero() {
		return LoanGrant{ID: r.ID}
	}
	loan := GivenLoan{Borrower: borrower, ID: r.ID, Parts: parts, Tokens: tokens, ExpiresAt: now + LoanTerm + a.termMargin()}
	if !a.disabledGuards.has(guardLenderDebit) {
		a.bucket.takeTokens(tokens)
		a.given = a.given.WithLoan(loan)
		a.resizeBucket()
	}
	return LoanGrant{ID: r.ID, Parts: parts, Tokens: tokens}
}

// excessTokens returns the tokens that would exceed the capacity if the VM did not hold the parts.
func (a *Account) excessTokens(parts Parts) Amount {
	return a.bucket.level + a.bucket.refundable - a.limit.ForParts(a.HeldParts().Minus(parts)).Burst
}

// extendLoan renews a given loan. It refuses if the lender needs the loan's rate or burst for its own demand.
func (a *Account) extendLoan(borrower arbutusfork.Incarnation, r LoanRequest, now time.Duration) LoanGrant {
	loan, ok := a.given.FindLoan(borrower, r.RenewedLoanID)
	missing := a.neededParts(now).Minus(a.HeldParts())
	if !ok || missing.Rate > 0 && loan.Parts.Rate > 0 || missing.Burst > 0 && loan.Parts.Burst > 0 {
		return LoanGrant{ID: r.ID}
	}
	loan.ExpiresAt = max(loan.ExpiresAt, now+LoanTerm+a.termMargin())
	a.given = a.given.WithLoan(loan)
	a.resizeBucket()
	return LoanGrant{ID: r.ID, Parts: loan.Parts}
}

// termMargin returns what is added to the term of given loans.
func (a *Account) termMargin() time.Duration {
	if a.disabledGuards.has(guardTermMargin) {
		return 0
	}
	return LoanTermMargin
}

// neededTokens returns the tokens that the VM needs for its own recent demand.
func (a *Account) neededTokens(now time.Duration) Amount {
	fast, _ := a.demand.rates(now)
	if fast < a.limit.Rate/idleRateDivisor {
		return 0
	}
	return mulDiv(fast, int64(lenderReserveDuration), int64(time.Second))
}

// neededParts returns the parts that the VM needs itself: the rate of its recent demand, and the capacity for its
// refundable tokens and its next requests. It cuts refundable tokens of reservations older than the time in which a
// single bucket for the whole limit would fill, because that bucket would have cut them by then. Thus long requests
// do not keep capacity after the demand has moved to another VM.
func (a *Account) neededParts(now time.Duration) Parts {
	a.bucket.endRefunds(now - a.bucketFillDuration())
	rate, _ := a.demand.rates(now)
	if rate < a.limit.Rate/idleRateDivisor {
		rate = 0
	}
	return Parts{
		Rate:  a.limit.PartsForRate(rate + rate/4),
		Burst: a.limit.PartsForBurst(a.bucket.refundable + a.neededTokens(now)),
	}
}

// bucketFillDuration returns the time in which the customer's whole burst accrues.
func (a *Account) bucketFillDuration() time.Duration {
	if a.limit.Rate <= 0 {
		return math.MaxInt64
	}
	return time.Duration(float64(a.limit.Burst) / float64(a.limit.Rate) * float64(time.Second))
}

// lendable returns what the VM can lend: parts of its own base share but no borrowed ones, and tokens beyond its own
// recent demand.
func (a *Account) lendable(now time.Duration) (Parts, Amount) {
	parts := a.unlentParts().Min(a.HeldParts().Minus(a.neededParts(now)))
	return parts, max(0, a.bucket.level-a.neededTokens(now))
}

// ReclaimLoans ends the given loans whose borrowers are gone. The tokens lent are lost, because the borrower may have
// spent them.
func (a *Account) ReclaimLoans(isGone func(arbutusfork.Incarnation) bool, now time.Duration) {
	a.AdvanceTo(now)
	for _, l := range a.given.loans {
		if isGone(l.Borrower) {
			a.given = a.given.WithoutLoan(l.Borrower, l.ID)
		}
	}
	a.resizeBucket()
}

// BorrowerVMs returns the VMs that hold loans from this VM's base share.
func (a *Account) BorrowerVMs() []string {
	var names []string
	for _, l := range a.given.loans {
		names = append(names, l.Borrower.VM)
	}
	return names
}

// GivenLoans returns the loans that the VM has given, so that a leaving VM can recall them.
func (a *Account) GivenLoans() []GivenLoan { return a.given.loans }
