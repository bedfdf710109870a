package aflimit

import (
	"math"
	"time"

	"arbutusfork.example/arbutusfork"
)

const (
	// keepTime is how long the tokens that a lender keeps would serve its recent demand.
	keepTime = 250 * time.Millisecond
	// idleShare is the part of the customer's rate below which a lender's own demand does not hold anything back.
	idleShare = 20
)

// GrantLoan answers a borrower. The lender's own share is reduced before the grant exists, so a lost answer loses tokens
// and never creates them.
func (a *Account) GrantLoan(from arbutusfork.Incarnation, q LoanRequest, now time.Duration) LoanGrant {
	a.AdvanceTo(now)
	if q.RenewedLoanID != 0 {
		return a.extend(from, q, now)
	}
	if loan, ok := a.lender.FindLoan(from, q.ID); ok {
		// A duplicate request gets the same grant, which the borrower credits once.
		return LoanGrant{ID: q.ID, Parts: loan.Parts, Tokens: loan.Tokens}
	}
	spare, tokens := a.spare(now)
	tokens = max(0, min(tokens, q.Tokens))
	parts := spare.Min(q.Parts.Max(Parts{Burst: a.limit.PartsForBurst(tokens)}))
	// Tokens above the remaining capacity go along, since they would be cut otherwise.
	tokens = max(0, min(max(tokens, a.excess(parts)), a.bucket.level, a.limit.ForParts(parts).Burst))
	if parts.IsZero() {
		return LoanGrant{ID: q.ID}
	}
	loan := GivenLoan{Borrower: from, ID: q.ID, Parts: parts, Tokens: tokens, ExpiresAt: now + LoanTerm + a.margin()}
	if !a.without.has(guardDebit) {
		a.bucket.take(tokens)
		a.lender = a.lender.WithLoan(loan)
		a.resize()
	}
	return LoanGrant{ID: q.ID, Parts: parts, Tokens: tokens}
}

// excess returns the tokens that do not fit without the parts.
func (a *Account) excess(parts Parts) Amount {
	return a.bucket.level + a.bucket.refundable - a.limit.ForParts(a.HeldParts().Minus(parts)).Burst
}

// extend renews a loan, unless the lender is short of rate for its own demand.
func (a *Account) extend(from arbutusfork.Incarnation, q LoanRequest, now time.Duration) LoanGrant {
	loan, ok := a.lender.FindLoan(from, q.RenewedLoanID)
	lack := a.keepParts(now).Minus(a.HeldParts())
	if !ok || lack.Rate > 0 && loan.Parts.Rate > 0 || lack.Burst > 0 && loan.Parts.Burst > 0 {
		return LoanGrant{ID: q.ID}
	}
	loan.ExpiresAt = max(loan.ExpiresAt, now+LoanTerm+a.margin())
	a.lender = a.lender.WithLoan(loan)
	a.resize()
	return LoanGrant{ID: q.ID, Parts: loan.Parts}
}

func (a *Account) margin() time.Duration {
	if a.without.has(guardMargin) {
		return 0
	}
	return LoanTermMargin
}

// keepTokens returns the tokens that the VM's own recent demand needs.
func (a *Account) keepTokens(now time.Duration) Amount {
	fast, _ := a.demand.rates(now)
	if fast < a.limit.Rate/idleShare {
		return 0
	}
	return scale(fast, int64(keepTime), int64(time.Second))
}

// keepParts returns the parts that the VM needs itself: the rate of its recent demand, and the capacity that its
// refundable tokens and its next requests take. Refunds end with the time in which one bucket for the whole limit would
// fill and cut them, so that long requests do not hold capacity after the demand has moved.
func (a *Account) keepParts(now time.Duration) Parts {
	a.bucket.expire(now - a.fillTime())
	rate, _ := a.demand.rates(now)
	if rate < a.limit.Rate/idleShare {
		rate = 0
	}
	return Parts{
		Rate:  a.limit.PartsForRate(rate + rate/4),
		Burst: a.limit.PartsForBurst(a.bucket.refundable + a.keepTokens(now)),
	}
}

// fillTime returns the time in which the whole burst accrues.
func (a *Account) fillTime() time.Duration {
	if a.limit.Rate <= 0 {
		return math.MaxInt64
	}
	return time.Duration(float64(a.limit.Burst) / float64(a.limit.Rate) * float64(time.Second))
}

// spare returns what the VM can lend: parts of its own base share only, never borrowed ones, and tokens beyond its
// own recent demand.
func (a *Account) spare(now time.Duration) (Parts, Amount) {
	parts := a.own().Min(a.HeldParts().Minus(a.keepParts(now)))
	return parts, max(0, a.bucket.level-a.keepTokens(now))
}

// ReclaimLoans takes back the loans of borrowers that are gone for sure. Their tokens are lost.
func (a *Account) ReclaimLoans(gone func(arbutusfork.Incarnation) bool, now time.Duration) {
	a.AdvanceTo(now)
	for _, l := range a.lender.loans {
		if gone(l.Borrower) {
			a.lender = a.lender.WithoutLoan(l.Borrower, l.ID)
		}
	}
	a.resize()
}

// BorrowerVMs returns the VMs that hold loans from this VM's base share.
func (a *Account) BorrowerVMs() []string {
	var names []string
	for _, l := range a.lender.loans {
		names = append(names, l.Borrower.VM)
	}
	return names
}

// GivenLoans returns the loans given, for a lender that leaves.
func (a *Account) GivenLoans() []GivenLoan { return a.lender.loans }
