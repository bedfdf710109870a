package aflimit

import "time"

// aheadTime is how long the tokens that a VM borrows beyond its need would serve its recent demand.
const aheadTime = 500 * time.Millisecond

// Lack returns what the VM has to borrow for a request of n tokens: the missing tokens and some for the
// requests to come, and the missing parts for its recent demand.
func (a *Account) Lack(n int64, now time.Duration) (tokens Amount, parts Parts) {
	_, rate := a.demand.rates(now)
	if tokens = max(0, Tokens(n)-a.Level(now)); tokens > 0 {
		tokens = min(tokens+scale(rate, int64(aheadTime), int64(time.Second)), a.limit.Burst)
	}
	need := Parts{Rate: a.limit.PartsForRate(rate + rate/4)}
	return tokens, need.Minus(a.Held()).Max(Parts{Burst: a.limit.PartsForBurst(tokens)})
}

// Drains reports whether the VM uses up its tokens because its demand is above the rate that it holds, so that it should
// borrow rate before it lacks tokens. The rate of idle VMs with full buckets is lost meanwhile. A quarter of the whole
// rate is beyond the noise of evenly spread demand.
func (a *Account) Drains(now time.Duration) bool {
	level := a.Level(now)
	_, rate := a.demand.rates(now)
	lack := a.limit.PartsForRate(rate) - a.Held().Rate
	return lack > Whole/4 && level < a.bucket.limit.Burst*3/4
}

// Ask records a request for a loan from the VM and returns the message.
func (a *Account) Ask(from string, tokens Amount, parts Parts, now time.Duration) Borrow {
	a.last++
	q := Borrow{ID: a.last, Parts: parts, Tokens: tokens}
	a.borrower = a.borrower.WithRequest(from, q, now)
	return q
}

// AskRenewal records a request to extend the loan and returns the message.
func (a *Account) AskRenewal(loan Loan, now time.Duration) Borrow {
	a.last++
	q := Borrow{ID: a.last, Renew: loan.ID, Parts: loan.Parts}
	a.borrower = a.borrower.WithRequest(loan.From, q, now)
	return q
}

// Credit applies a lender's answer. It reports false for an answer that has no effect.
func (a *Account) Credit(g Grant, now time.Duration) bool {
	a.Advance(now)
	next, fresh := a.borrower.WithGrant(g, now)
	if a.without.has(guardOnce) {
		fresh = !g.Parts.IsZero()
	}
	a.borrower = next
	a.resize()
	if fresh {
		a.bucket.add(min(g.Tokens, a.limit.Part(g.Parts).Burst))
	}
	return fresh
}

// Abandon ends the wait for an answer. A later answer has no effect, and the returned message lets the lender take
// back what it may have granted.
func (a *Account) Abandon(q Borrow) Giveback {
	a.borrower = a.borrower.WithoutRequest(q.ID)
	return Giveback{ID: q.ID, Unused: true}
}

// Loans returns the loans taken.
func (a *Account) Loans() []Loan { return a.borrower.loans }

// Surplus returns the loans that the VM's recent demand does not need, and those that it does need.
func (a *Account) Surplus(now time.Duration) (surplus, needed []Loan) {
	a.Advance(now)
	held, keep := a.Held(), a.keepParts(now)
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

// GiveBack ends a loan before its term, with the part of the level that belongs to it or does not fit without it. The borrower debits itself
// before the message exists.
func (a *Account) GiveBack(id uint64, now time.Duration) (Giveback, bool) {
	a.Advance(now)
	for _, l := range a.borrower.loans {
		if l.ID != id {
			continue
		}
		tokens := scale(a.bucket.level, l.Parts.Burst, a.Held().Burst)
		tokens = a.bucket.take(min(max(tokens, a.excess(l.Parts)), a.limit.Part(l.Parts).Burst))
		a.borrower = a.borrower.Without(id)
		a.resize()
		return Giveback{ID: id, Tokens: tokens}, true
	}
	return Giveback{}, false
}
