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
	parts, tokens := a.spare(now)
	tokens = min(tokens, max(0, q.Tokens))
	parts = min(parts, max(q.Parts, a.limit.PartsForBurst(tokens)))
	// Tokens above the remaining capacity go along, since they would be cut otherwise.
	tokens = max(tokens, a.bucket.level-a.limit.Part(a.Held()-parts).Burst)
	tokens = max(0, min(tokens, a.limit.Part(parts).Burst))
	if parts <= 0 {
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
	if !ok || a.keepParts(now) > a.Held() {
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

// keepParts returns the parts that the VM's own recent demand needs.
func (a *Account) keepParts(now time.Duration) int64 {
	rate := a.demand.rate(now)
	if rate < a.limit.Rate/idleShare {
		return 0
	}
	return a.limit.PartsForRate(rate + rate/4)
}

// spare returns what the VM can lend: parts of its own base share only, never borrowed ones, and tokens beyond its
// own recent demand.
func (a *Account) spare(now time.Duration) (parts int64, tokens Amount) {
	parts = min(a.base-a.lender.Parts(), a.Held()-a.keepParts(now))
	rate := a.demand.rate(now)
	if rate < a.limit.Rate/idleShare {
		rate = 0
	}
	tokens = a.bucket.level - scale(rate, int64(keepTokens), int64(time.Second))
	return max(0, parts), max(0, tokens)
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
