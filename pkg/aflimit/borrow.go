package aflimit

import "time"

// aheadTime is how long the tokens that a VM borrows beyond its need would serve its recent demand.
const aheadTime = 500 * time.Millisecond

// BorrowNeed returns what the VM has to borrow for a request of n tokens: the missing tokens and some for the
// requests to come, and the missing parts for its recent demand.
func (a *Account) BorrowNeed(n int64, now time.Duration) (tokens Amount, parts Parts) {
	_, rate := a.demand.rates(now)
	if tokens = max(0, Tokens(n)-a.Level(now)); tokens > 0 {
		tokens = min(tokens+scale(rate, int64(aheadTime), int64(time.Second)), a.limit.Burst)
	}
	need := Parts{Rate: a.limit.PartsForRate(rate + rate/4)}
	return tokens, need.Minus(a.HeldParts()).Max(Parts{Burst: a.limit.PartsForBurst(tokens)})
}

// ShouldBorrowRate reports whether the VM uses up its tokens because its demand is above the rate that it holds, so that it should
// borrow rate before it lacks tokens. The rate of idle VMs with full buckets is lost meanwhile. A quarter of the whole
// rate is beyond the noise of evenly spread demand.
func (a *Account) ShouldBorrowRate(now time.Duration) bool {
	level := a.Level(now)
	_, rate := a.demand.rates(now)
	lack := a.limit.PartsForRate(rate) - a.HeldParts().Rate
	return lack > TotalParts/4 && level < a.bucket.limit.Burst*3/4
}

// RequestLoan records a request for a loan from the VM and returns the message.
func (a *Account) RequestLoan(from string, tokens Amount, parts Parts, now time.Duration) LoanRequest {
	a.last++
	q := LoanRequest{ID: a.last, Parts: parts, Tokens: tokens}
	a.borrower = a.borrower.WithRequest(from, q, now)
	return q
}

// RequestRenewal records a request to extend the loan and returns the message.
func (a *Account) RequestRenewal(loan TakenLoan, now time.Duration) LoanRequest {
	a.last++
	q := LoanRequest{ID: a.last, RenewedLoanID: loan.ID, Parts: loan.Parts}
	a.borrower = a.borrower.WithRequest(loan.Lender, q, now)
	return q
}

// CreditGrant applies a lender's answer. It reports false for an answer that has no effect.
func (a *Account) CreditGrant(g LoanGrant, now time.Duration) bool {
	a.AdvanceTo(now)
	next, fresh := a.borrower.WithGrant(g, now)
	if a.without.has(guardOnce) {
		fresh = !g.Parts.IsZero()
	}
	a.borrower = next
	a.resize()
	if fresh {
		a.bucket.add(min(g.Tokens, a.limit.ForParts(g.Parts).Burst))
	}
	return fresh
}

// AbandonRequest ends the wait for an answer. A later answer has no effect, and the returned message lets the lender take
// back what it may have granted.
func (a *Account) AbandonRequest(q LoanRequest) LoanReturn {
	a.borrower = a.borrower.WithoutRequest(q.ID)
	return LoanReturn{ID: q.ID, NotCredited: true}
}

// TakenLoans returns the loans taken.
func (a *Account) TakenLoans() []TakenLoan { return a.borrower.loans }

// SplitTakenLoans returns the loans that the VM's recent demand does not need, and those that it does need.
func (a *Account) SplitTakenLoans(now time.Duration) (surplus, needed []TakenLoan) {
	a.AdvanceTo(now)
	held, keep := a.HeldParts(), a.keepParts(now)
	for _, l := range a.borrower.loans {
		if held.Covers(keep.Plus(l.Parts)) {
			held = held.Minus(l.Parts)
			surplus = append(surplus, l)
			continue
		}
		needed = append(needed, l)
	}
	return surplus, needed
}

// ReturnLoan ends a loan before its term, with the part of the level that belongs to it or does not fit without it. The borrower debits itself
// before the message exists.
func (a *Account) ReturnLoan(id uint64, now time.Duration) (LoanReturn, bool) {
	a.AdvanceTo(now)
	for _, l := range a.borrower.loans {
		if l.ID != id {
			continue
		}
		tokens := scale(a.bucket.level, l.Parts.Burst, a.HeldParts().Burst)
		tokens = a.bucket.take(min(max(tokens, a.excess(l.Parts)), a.limit.ForParts(l.Parts).Burst))
		a.borrower = a.borrower.WithoutLoan(id)
		a.resize()
		return LoanReturn{ID: id, Tokens: tokens}, true
	}
	return LoanReturn{}, false
}
