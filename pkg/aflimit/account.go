package aflimit

import (
	"time"

	"arbutusfork.example/arbutusfork"
)

// Account is one customer's state on one VM: the bucket for its base share less the loans given plus the loans taken.
// The sum of parts over all VMs never exceeds TotalParts, and the level and refundable tokens of a VM never exceed the
// capacity of its parts. It is not safe for concurrent use.
type Account struct {
	limit    Limit
	base     int64
	bucket   TokenBucket
	lender   GivenLoans
	borrower TakenLoans
	demand   demand
	next     time.Duration // next is the earliest end of a loan, valid if loans exist.
	loans    bool
	last     uint64 // last is the latest request ID.
	without  guard
}

// NewAccount returns an account without a base share.
func NewAccount(l Limit, now time.Duration) *Account {
	return &Account{limit: l, bucket: TokenBucket{at: now}}
}

// SetLimit changes the customer's rate and burst.
func (a *Account) SetLimit(l Limit, now time.Duration) {
	a.AdvanceTo(now)
	a.limit = l
	a.resize()
}

// Limit returns the customer's whole limit.
func (a *Account) Limit() Limit { return a.limit }

// SetBaseParts changes the base share. New parts start without tokens, but for those of the fresh parts, which no VM has
// held before.
func (a *Account) SetBaseParts(parts, fresh int64, now time.Duration) {
	a.AdvanceTo(now)
	a.base = parts
	a.resize()
	if fresh > 0 {
		a.bucket.add(a.limit.ForParts(EqualParts(min(fresh, parts))).Burst)
	}
}

// BaseParts returns the base share.
func (a *Account) BaseParts() int64 { return a.base }

// LentParts returns the parts of the base share that are on loan to others.
func (a *Account) LentParts() Parts { return a.lender.Parts() }

// HeldParts returns the parts that the VM may use now.
func (a *Account) HeldParts() Parts { return a.own().Plus(a.borrower.Parts()) }

// own returns the parts of the base share that are not on loan.
func (a *Account) own() Parts { return EqualParts(a.base).Minus(a.lender.Parts()) }

// Level returns the tokens that can be reserved now.
func (a *Account) Level(now time.Duration) Amount {
	a.AdvanceTo(now)
	return a.bucket.level
}

// IsFull reports whether the bucket cannot hold what accrues.
func (a *Account) IsFull() bool { return a.bucket.level >= a.bucket.limit.Burst }

// DemandRate returns the recent demand per second.
func (a *Account) DemandRate(now time.Duration) Amount {
	_, slow := a.demand.rates(now)
	return slow
}

// AdvanceTo brings the account to now: refills, and ends loans each at its own instant.
func (a *Account) AdvanceTo(now time.Duration) {
	for a.loans && a.next <= now {
		t := a.next
		a.bucket.advance(t)
		a.lender = a.lender.WithoutExpired(t)
		a.borrower = a.borrower.WithoutExpired(t)
		a.resize()
	}
	a.bucket.advance(now)
}

// resize applies the parts held to the bucket and finds the next end of a loan.
func (a *Account) resize() {
	a.bucket.without = a.without
	a.bucket.resize(a.limit.ForParts(a.HeldParts()))
	a.loans = false
	for _, l := range a.lender.loans {
		a.expect(l.ExpiresAt)
	}
	for _, l := range a.borrower.loans {
		a.expect(l.ExpiresAt)
	}
}

func (a *Account) expect(t time.Duration) {
	if !a.loans || t < a.next {
		a.next, a.loans = t, true
	}
}

// ReserveTokens takes n tokens, or returns nil when they are not at hand.
func (a *Account) ReserveTokens(n int64, now time.Duration) *Reservation {
	a.AdvanceTo(now)
	h := a.bucket.reserve(Tokens(n))
	if h != nil {
		a.demand.add(now, h.reserved)
	}
	return h
}

// RecordRefusedDemand counts a refused request as demand, so that a VM that is short keeps its share.
func (a *Account) RecordRefusedDemand(n int64, now time.Duration) { a.demand.add(now, Tokens(n)) }

// SettleReservation replaces a reservation by the actual count of tokens. A second settlement has no effect.
func (a *Account) SettleReservation(h *Reservation, actual int64, now time.Duration) {
	a.AdvanceTo(now)
	if h.settled {
		return
	}
	count := Tokens(actual)
	a.bucket.settle(h, count)
	a.demand.remove(now, h.at, h.reserved-count)
}

// RefillDelay returns the time after which n tokens accrue over all VMs, if nobody else takes any.
func (a *Account) RefillDelay(n int64, now time.Duration) time.Duration {
	lack := Tokens(n) - a.Level(now)
	if lack <= 0 || a.limit.Rate <= 0 {
		return 0
	}
	return time.Duration(float64(lack) / float64(a.limit.Rate) * float64(time.Second))
}

// TakeBackLoan takes back a loan that the borrower ends early. Only a loan that still runs has an effect, so a duplicate
// or late message creates nothing.
func (a *Account) TakeBackLoan(from arbutusfork.Incarnation, g LoanReturn, now time.Duration) bool {
	a.AdvanceTo(now)
	loan, ok := a.lender.FindLoan(from, g.ID)
	if !ok {
		return false
	}
	tokens := max(0, min(g.Tokens, a.limit.ForParts(loan.Parts).Burst))
	if g.NotCredited {
		tokens = loan.Tokens
	}
	a.lender = a.lender.WithoutLoan(from, g.ID)
	a.resize()
	a.bucket.add(tokens)
	return true
}
