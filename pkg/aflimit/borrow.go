package aflimit

import "time"

// Lack returns what the VM has to borrow for a request of n tokens: the missing tokens, and the missing parts for
// its recent demand.
func (a *Account) Lack(n int64, now time.Duration) (tokens Amount, parts Parts) {
	tokens = max(0, Tokens(n)-a.Level(now))
	rate := a.demand.rate(now)
	need := Parts{Rate: a.limit.PartsForRate(rate + rate/4)}
	return tokens, Parts{Rate: need.Minus(a.Held()).Rate, Burst: a.limit.PartsForBurst(tokens)}
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

// GiveBack ends a loan before its term, with the part of the level that belongs to it. The borrower debits itself
// before the message exists.
func (a *Account) GiveBack(id uint64, now time.Duration) (Giveback, bool) {
	a.Advance(now)
	for _, l := range a.borrower.loans {
		if l.ID != id {
			continue
		}
		tokens := min(scale(a.bucket.level, l.Parts.Burst, a.Held().Burst), a.limit.Part(l.Parts).Burst)
		tokens = a.bucket.take(tokens)
		a.borrower = a.borrower.Without(id)
		a.resize()
		return Giveback{ID: id, Tokens: tokens}, true
	}
	return Giveback{}, false
}
