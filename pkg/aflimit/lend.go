package aflimit

import (
	"time"

	"arbutusfork.example/arbutusfork"
)

const (
	// keepTokens is how much of its recent demand a lender keeps as tokens.
	keepTokens = 250 * time.Millisecond
	// idleShare is the part of the customer's rate below which a lender's own demand does not hold anything back.
	idleShare = 20
)

// Lend answers a borrower. The lender's own share is reduced before the grant exists, so a lost answer loses tokens
// and never creates them.
func (a *Account) Lend(from arbutusfork.Incarnation, q Borrow, now time.Duration) Grant {
	a.Advance(now)
	if q.Renew != 0 {
		return a.extend(from, q, now)
	}
	if loan, ok := a.lender.Find(from, q.ID); ok {
		// A duplicate request gets the same grant, which the borrower credits once.
		return Grant{ID: q.ID, Parts: loan.Parts, Tokens: loan.Tokens}
	}
	spare, tokens := a.spare(now)
	tokens = max(0, min(tokens, q.Tokens))
	parts := spare.Min(q.Parts.Max(Parts{Burst: a.limit.PartsForBurst(tokens)}))
	// Tokens above the remaining capacity go along, since they would be cut otherwise.
	tokens = max(tokens, a.bucket.level+a.bucket.refundable-a.limit.Part(a.Held().Minus(parts)).Burst)
	tokens = max(0, min(tokens, a.bucket.level, a.limit.Part(parts).Burst))
	if parts.IsZero() {
		return Grant{ID: q.ID}
	}
	loan := Lent{To: from, ID: q.ID, Parts: parts, Tokens: tokens, Until: now + Term + a.margin()}
	if !a.without.has(guardDebit) {
		a.bucket.take(tokens)
		a.lender = a.lender.With(loan)
		a.resize()
	}
	return Grant{ID: q.ID, Parts: parts, Tokens: tokens}
}

// extend renews a loan, unless the lender is short of rate for its own demand.
func (a *Account) extend(from arbutusfork.Incarnation, q Borrow, now time.Duration) Grant {
	loan, ok := a.lender.Find(from, q.Renew)
	if !ok || !a.Held().Covers(a.keepParts(now)) {
		return Grant{ID: q.ID}
	}
	loan.Until = max(loan.Until, now+Term+a.margin())
	a.lender = a.lender.With(loan)
	a.resize()
	return Grant{ID: q.ID, Parts: loan.Parts}
}

func (a *Account) margin() time.Duration {
	if a.without.has(guardMargin) {
		return 0
	}
	return Margin
}

// keepDemand returns the VM's own recent demand per second, or zero if it is insignificant.
func (a *Account) keepDemand(now time.Duration) Amount {
	rate := a.demand.rate(now)
	if rate < a.limit.Rate/idleShare {
		return 0
	}
	return rate
}

// keepParts returns the parts that the VM needs itself: the rate of its recent demand, and the capacity that its
// refundable tokens and its next requests take.
func (a *Account) keepParts(now time.Duration) Parts {
	rate := a.keepDemand(now)
	tokens := a.bucket.refundable + scale(rate, int64(keepTokens), int64(time.Second))
	return Parts{Rate: a.limit.PartsForRate(rate + rate/4), Burst: a.limit.PartsForBurst(tokens)}
}

// spare returns what the VM can lend: parts of its own base share only, never borrowed ones, and tokens beyond its
// own recent demand.
func (a *Account) spare(now time.Duration) (Parts, Amount) {
	parts := a.own().Min(a.Held().Minus(a.keepParts(now)))
	tokens := a.bucket.level - scale(a.keepDemand(now), int64(keepTokens), int64(time.Second))
	return parts, max(0, tokens)
}

// Forget takes back the loans of borrowers that are gone for sure. Their tokens are lost.
func (a *Account) Forget(gone func(arbutusfork.Incarnation) bool, now time.Duration) {
	a.Advance(now)
	for _, l := range a.lender.loans {
		if gone(l.To) {
			a.lender = a.lender.Without(l.To, l.ID)
		}
	}
	a.resize()
}

// Lendees returns the VMs that hold loans from this VM's base share.
func (a *Account) Lendees() []string {
	var names []string
	for _, l := range a.lender.loans {
		names = append(names, l.To.VM)
	}
	return names
}

// Recallable returns the loans given, for a lender that leaves.
func (a *Account) Recallable() []Lent { return a.lender.loans }
