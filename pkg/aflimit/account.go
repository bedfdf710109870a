package aflimit

import (
	"time"

	"arbutusfork.example/arbutusfork"
)

// Account is the state of one customer's limit on one VM. Its token bucket is sized by the VM's base share, less the
// parts given on loan, plus the parts taken on loan. Over all VMs the parts in use never exceed TotalParts, and on
// each VM the level plus the refundable tokens never exceed the bucket's capacity. An Account is not safe for
// concurrent use.
type Account struct {
	// limit is the customer's limit over all VMs.
	limit Limit
	// baseParts is the VM's base share.
	baseParts int64
	bucket    TokenBucket
	given     GivenLoans
	taken     TakenLoans
	demand    demandEstimate
	// nextLoanEndAt is the earliest end of a given or taken loan. It is valid only if hasLoans is set.
	nextLoanEndAt time.Duration
	hasLoans      bool
	// lastRequestID is the ID of the latest loan request that the VM sent.
	lastRequestID uint64
	// disabledGuards is set by tests only.
	disabledGuards guard
}

// NewAccount returns an account without a base share.
func NewAccount(l Limit, now time.Duration) *Account {
	return &Account{limit: l, bucket: TokenBucket{refilledAt: now}}
}

// SetLimit changes the customer's rate and burst.
func (a *Account) SetLimit(l Limit, now time.Duration) {
	a.AdvanceTo(now)
	a.limit = l
	a.resizeBucket()
}

// Limit returns the customer's whole limit.
func (a *Account) Limit() Limit { return a.limit }

// SetBaseParts changes the base share. Gained parts start without tokens, because their previous holder may have
// spent them. The exception is neverHeld, the number of gained parts that no VM has held before: they come with a
// full bucket.
func (a *Account) SetBaseParts(parts, neverHeld int64, now time.Duration) {
	a.AdvanceTo(now)
	a.baseParts = parts
	a.resizeBucket()
	if neverHeld > 0 {
		a.bucket.addTokens(a.limit.ForParts(EqualParts(min(neverHeld, parts))).Burst)
	}
}

// BaseParts returns the VM's base share.
func (a *Account) BaseParts() int64 { return a.baseParts }

// LentParts returns the parts of the base share that other VMs hold on loan.
func (a *Account) LentParts() Parts { return a.given.Parts() }

// HeldParts returns the parts that the VM may use now: its base share less given loans plus taken loans.
func (a *Account) HeldParts() Parts { return a.unlentParts().Plus(a.taken.Parts()) }

// unlentParts returns the parts of the base share that are not on loan.
func (a *Account) unlentParts() Parts { return EqualParts(a.baseParts).Minus(a.given.Parts()) }

// Level returns the tokens that can be reserved now. It is negative after a settlement above its reservation.
func (a *Account) Level(now time.Duration) Amount {
	a.AdvanceTo(now)
	return a.bucket.level
}

// IsFull reports whether the bucket is at its capacity, so that further refill is lost.
func (a *Account) IsFull() bool { return a.bucket.level >= a.bucket.limit.Burst }

// DemandRate returns the recent demand per second.
func (a *Account) DemandRate(now time.Duration) Amount {
	_, slow := a.demand.rates(now)
	return slow
}

// AdvanceTo refills the bucket up to now and removes each expired loan at the instant of its end, so that the refill
// in between uses the rate that applied then.
func (a *Account) AdvanceTo(now time.Duration) {
	for a.hasLoans && a.nextLoanEndAt <= now {
		end := a.nextLoanEndAt
		a.bucket.advanceTo(end)
		a.given = a.given.WithoutExpired(end)
		a.taken = a.taken.WithoutExpired(end)
		a.resizeBucket()
	}
	a.bucket.advanceTo(now)
}

// resizeBucket sets the bucket's limit to that of the held parts and recomputes the next end of a loan.
func (a *Account) resizeBucket() {
	a.bucket.disabledGuards = a.disabledGuards
	a.bucket.setLimit(a.limit.ForParts(a.HeldParts()))
	a.hasLoans = false
	for _, l := range a.given.loans {
		a.recordLoanEnd(l.ExpiresAt)
	}
	for _, l := range a.taken.loans {
		a.recordLoanEnd(l.ExpiresAt)
	}
}

// recordLoanEnd lowers nextLoanEndAt to the given end if that is earlier.
func (a *Account) recordLoanEnd(end time.Duration) {
	if !a.hasLoans || end < a.nextLoanEndAt {
		a.nextLoanEndAt, a.hasLoans = end, true
	}
}

// ReserveTokens reserves n tokens. It returns nil if the level is lower.
func (a *Account) ReserveTokens(n int64, now time.Duration) *Reservation {
	a.AdvanceTo(now)
	r := a.bucket.reserveTokens(Tokens(n))
	if r != nil {
		a.demand.addTokens(now, r.reserved)
	}
	return r
}

// RecordRefusedDemand counts a refused request of n tokens as demand. Otherwise a VM that runs out of tokens would
// appear idle and lend its share away.
func (a *Account) RecordRefusedDemand(n int64, now time.Duration) { a.demand.addTokens(now, Tokens(n)) }

// SettleReservation replaces the reserved tokens by the number actually used. A second settlement has no effect.
func (a *Account) SettleReservation(r *Reservation, actual int64, now time.Duration) {
	a.AdvanceTo(now)
	if r.isSettled {
		return
	}
	count := Tokens(actual)
	a.bucket.settleReservation(r, count)
	a.demand.removeTokens(now, r.reservedAt, r.reserved-count)
}

// RefillDelay returns the time in which the tokens missing for a request of n tokens accrue over all VMs, if no other
// request takes any.
func (a *Account) RefillDelay(n int64, now time.Duration) time.Duration {
	missing := Tokens(n) - a.Level(now)
	if missing <= 0 || a.limit.Rate <= 0 {
		return 0
	}
	return time.Duration(float64(missing) / float64(a.limit.Rate) * float64(time.Second))
}

// TakeBackLoan ends a given loan that the borrower returns before its term, and credits the returned tokens. It
// reports false and has no effect if the loan has already ended, so that a duplicate or late message creates no
// tokens.
func (a *Account) TakeBackLoan(borrower arbutusfork.Incarnation, r LoanReturn, now time.Duration) bool {
	a.AdvanceTo(now)
	loan, ok := a.given.FindLoan(borrower, r.ID)
	if !ok {
		return false
	}
	tokens := max(0, min(r.Tokens, a.limit.ForParts(loan.Parts).Burst))
	if r.NotCredited {
		tokens = loan.Tokens
	}
	a.given = a.given.WithoutLoan(borrower, r.ID)
	a.resizeBucket()
	a.bucket.addTokens(tokens)
	return true
}
