package aflimit

import "time"

// borrowAheadDuration is the length of recent demand for which a VM borrows tokens in addition to those it needs now.
const borrowAheadDuration = 500 * time.Millisecond

// BorrowNeed returns what the VM should borrow to serve a request of n tokens: the missing tokens plus some for the
// following requests, and the parts that it lacks for its recent demand rate.
func (a *Account) BorrowNeed(n int64, now time.Duration) (tokens Amount, parts Parts) {
	_, rate := a.demand.rates(now)
	if tokens = max(0, Tokens(n)-a.Level(now)); tokens > 0 {
		tokens = min(tokens+mulDiv(rate, int64(borrowAheadDuration), int64(time.Second)), a.limit.Burst)
	}
	need := Parts{Rate: a.limit.PartsForRate(rate + rate/4)}
	return tokens, need.Minus(a.HeldParts()).Max(Parts{Burst: a.limit.PartsForBurst(tokens)})
}

// ShouldBorrowRate reports whether the VM should borrow rate before it runs out of tokens: its demand is well above
// the rate that it holds, and its bucket is less than three quarters full. If the VM waited until its bucket is
// empty, the rate of idle VMs with full buckets would be lost in the meantime. The threshold of a quarter of the
// customer's rate is above the noise of evenly spread demand.
func (a *Account) ShouldBorrowRate(now time.Duration) bool {
	level := a.Level(now)
	_, rate := a.demand.rates(now)
	missingRate := a.limit.PartsForRate(rate) - a.HeldParts().Rate
	return missingRate > TotalParts/4 && level < a.bucket.limit.Burst*3/4
}

// RequestLoan records a loan request to the lender and returns the message to send.
func (a *Account) RequestLoan(lender string, tokens Amount, parts Parts, now time.Duration) LoanRequest {
	a.lastRequestID++
	r := LoanRequest{ID: a.lastRequestID, Parts: parts, Tokens: tokens}
	a.taken = a.taken.WithRequest(lender, r, now)
	return r
}

// RequestRenewal records a request to extend the loan and returns the message to send.
func (a *Account) RequestRenewal(loan TakenLoan, now time.Duration) LoanRequest {
	a.lastRequestID++
	r := LoanRequest{ID: a.lastRequestID, RenewedLoanID: loan.ID, Parts: loan.Parts}
	a.taken = a.taken.WithRequest(loan.Lender, r, now)
	return r
}

// CreditGrant applies a lender's answer. It reports whether the granted tokens were added to the bucket.
func (a *Account) CreditGrant(g LoanGrant, now time.Duration) bool {
	a.AdvanceTo(now)
	next, credited := a.taken.WithGrant(g, now)
	if a.disabledGuards.has(guardSingleCredit) {
		credited = !g.Parts.IsZero()
	}
	a.taken = next
	a.resizeBucket()
	if credited {
		a.bucket.addTokens(min(g.Tokens, a.limit.ForParts(g.Parts).Burst))
	}
	return credited
}

// AbandonRequest makes a later answer to the request have no effect. The lender may have granted the loan, so the
// returned message lets it take the loan back.
func (a *Account) AbandonRequest(r LoanRequest) LoanReturn {
	a.taken = a.taken.WithoutRequest(r.ID)
	return LoanReturn{ID: r.ID, NotCredited: true}
}

// TakenLoans returns the loans that the VM has taken.
func (a *Account) TakenLoans() []TakenLoan { return a.taken.loans }

// SplitTakenLoans returns the taken loans that the VM's recent demand does not need, and those that it does need.
func (a *Account) SplitTakenLoans(now time.Duration) (surplus, inUse []TakenLoan) {
	a.AdvanceTo(now)
	held, needed := a.HeldParts(), a.neededParts(now)
	for _, l := range a.taken.loans {
		if held.Covers(needed.Plus(l.Parts)) {
			held = held.Minus(l.Parts)
			surplus = append(surplus, l)
			continue
		}
		inUse = append(inUse, l)
	}
	return surplus, inUse
}

// ReturnLoan ends a taken loan before its term and returns the message for the lender. It reports false if there is
// no such loan. The message carries the loan's proportion of the level, or all tokens that exceed the capacity
// without the loan if those are more. The tokens are debited here before the message exists, so that a lost message
// cannot create tokens.
func (a *Account) ReturnLoan(id uint64, now time.Duration) (LoanReturn, bool) {
	a.AdvanceTo(now)
	for _, l := range a.taken.loans {
		if l.ID != id {
			continue
		}
		tokens := mulDiv(a.bucket.level, l.Parts.Burst, a.HeldParts().Burst)
		tokens = a.bucket.takeTokens(min(max(tokens, a.excessTokens(l.Parts)), a.limit.ForParts(l.Parts).Burst))
		a.taken = a.taken.WithoutLoan(id)
		a.resizeBucket()
		return LoanReturn{ID: id, Tokens: tokens}, true
	}
	return LoanReturn{}, false
}
