package aflimit

import (
	"slices"
	"time"

	"arbutusfork.example/arbutusfork"
)

const (
	// LoanTerm is a loan's length, counted by the borrower from when it sent the request.
	LoanTerm = 10 * time.Second
	// LoanTermMargin is what the lender adds to the term, for the rate error of monotonic clocks: 25 % covers two clocks that
	// are wrong by 11 % in opposite directions.
	LoanTermMargin = LoanTerm / 4
)

// LoanRequest is a borrower's request.
type LoanRequest struct {
	// ID is unique among the requests of one incarnation.
	ID uint64
	// RenewedLoanID is the ID of the loan to extend, or zero for a new loan.
	RenewedLoanID uint64
	// Parts is the share of the customer's limit that the borrower wants.
	Parts Parts
	// Tokens is what the borrower lacks now.
	Tokens Amount
}

// LoanGrant is the lender's answer. Zero parts mean a refusal.
type LoanGrant struct {
	ID     uint64
	Parts  Parts
	Tokens Amount // Tokens is at most the capacity of Parts.
}

// LoanReturn ends a loan before its term.
type LoanReturn struct {
	ID     uint64
	Tokens Amount
	// NotCredited tells that the borrower has not credited the loan and never will.
	NotCredited bool
}

// GivenLoan is a loan as its lender sees it.
type GivenLoan struct {
	Borrower  arbutusfork.Incarnation
	ID        uint64
	Parts     Parts
	Tokens    Amount
	ExpiresAt time.Duration
}

// GivenLoans is the immutable list of the loans that one VM has made from its base share of one customer.
type GivenLoans struct {
	loans []GivenLoan
}

// Parts returns the parts on loan.
func (l GivenLoans) Parts() Parts {
	var p Parts
	for _, loan := range l.loans {
		p = p.Plus(loan.Parts)
	}
	return p
}

// FindLoan returns the loan that the borrower's request led to.
func (l GivenLoans) FindLoan(to arbutusfork.Incarnation, id uint64) (GivenLoan, bool) {
	for _, loan := range l.loans {
		if loan.Borrower == to && loan.ID == id {
			return loan, true
		}
	}
	return GivenLoan{}, false
}

// WithLoan returns a copy that holds the loan instead of an earlier one of the same borrower and ID.
func (l GivenLoans) WithLoan(loan GivenLoan) GivenLoans {
	return GivenLoans{loans: append(l.WithoutLoan(loan.Borrower, loan.ID).loans, loan)}
}

// WithoutLoan returns a copy without the loan.
func (l GivenLoans) WithoutLoan(to arbutusfork.Incarnation, id uint64) GivenLoans {
	return GivenLoans{loans: keep(l.loans, func(x GivenLoan) bool { return x.Borrower != to || x.ID != id })}
}

// WithoutExpired returns a copy without the loans whose term and margin have passed.
func (l GivenLoans) WithoutExpired(now time.Duration) GivenLoans {
	return GivenLoans{loans: keep(l.loans, func(x GivenLoan) bool { return x.ExpiresAt > now })}
}

// TakenLoan is a loan as its borrower sees it.
type TakenLoan struct {
	Lender    string
	ID        uint64
	Parts     Parts
	ExpiresAt time.Duration
}

type request struct {
	id    uint64
	renew uint64
	from  string
	sent  time.Duration
}

// TakenLoans is the immutable list of the loans that one VM has taken for one customer, with its open requests.
type TakenLoans struct {
	loans []TakenLoan
	open  []request
}

// Parts returns the parts on loan.
func (b TakenLoans) Parts() Parts {
	var p Parts
	for _, loan := range b.loans {
		p = p.Plus(loan.Parts)
	}
	return p
}

// WithRequest returns a copy that waits for the answer of the lender.
func (b TakenLoans) WithRequest(from string, q LoanRequest, now time.Duration) TakenLoans {
	open := keep(b.open, func(x request) bool { return x.sent+LoanTerm > now })
	b.open = append(open, request{id: q.ID, renew: q.RenewedLoanID, from: from, sent: now})
	return b
}

// WithoutRequest returns a copy that ignores a later answer to the request.
func (b TakenLoans) WithoutRequest(id uint64) TakenLoans {
	b.open = keep(b.open, func(x request) bool { return x.id != id })
	return b
}

// WithGrant returns a copy that holds the granted loan, and whether its tokens count. An answer that is not awaited,
// a second one, or one that comes after the term has no effect.
func (b TakenLoans) WithGrant(g LoanGrant, now time.Duration) (TakenLoans, bool) {
	i := slices.IndexFunc(b.open, func(x request) bool { return x.id == g.ID })
	if i < 0 {
		return b, false
	}
	q := b.open[i]
	b = b.WithoutRequest(g.ID)
	until := q.sent + LoanTerm
	if g.Parts.IsZero() || until <= now {
		return b, false
	}
	if q.renew == 0 {
		b.loans = append(keep(b.loans, func(x TakenLoan) bool { return x.ID != q.id }),
			TakenLoan{Lender: q.from, ID: q.id, Parts: g.Parts, ExpiresAt: until})
		return b, true
	}
	b.loans = slices.Clone(b.loans)
	for i, loan := range b.loans {
		if loan.ID == q.renew {
			b.loans[i].ExpiresAt = max(loan.ExpiresAt, until)
		}
	}
	return b, false
}

// WithoutLoan returns a copy without the loan.
func (b TakenLoans) WithoutLoan(id uint64) TakenLoans {
	b.loans = keep(b.loans, func(x TakenLoan) bool { return x.ID != id })
	return b
}

// WithoutExpired returns a copy without the loans whose term has passed.
func (b TakenLoans) WithoutExpired(now time.Duration) TakenLoans {
	b.loans = keep(b.loans, func(x TakenLoan) bool { return x.ExpiresAt > now })
	return b
}

func keep[T any](s []T, fn func(T) bool) []T {
	out := make([]T, 0, len(s)+1)
	for _, x := range s {
		if fn(x) {
			out = append(out, x)
		}
	}
	return out
}
