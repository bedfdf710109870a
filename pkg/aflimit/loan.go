package aflimit

import (
	"slices"
	"time"

	"arbutusfork.example/arbutusfork"
)

const (
	// Term is a loan's length, counted by the borrower from when it sent the request.
	Term = 10 * time.Second
	// Margin is what the lender adds to the term, for the rate error of monotonic clocks: 25 % covers two clocks that
	// are wrong by 11 % in opposite directions.
	Margin = Term / 4
)

// Borrow is a borrower's request.
type Borrow struct {
	// ID is unique among the requests of one incarnation.
	ID uint64
	// Renew is the ID of the loan to extend, or zero for a new loan.
	Renew uint64
	// Parts is the share of the customer's limit that the borrower wants.
	Parts Parts
	// Tokens is what the borrower lacks now.
	Tokens Amount
}

// Grant is the lender's answer. Zero parts mean a refusal.
type Grant struct {
	ID     uint64
	Parts  Parts
	Tokens Amount // Tokens is at most the capacity of Parts.
}

// Giveback ends a loan before its term.
type Giveback struct {
	ID     uint64
	Tokens Amount
	// Unused tells that the borrower has not credited the loan and never will.
	Unused bool
}

// Lent is a loan as its lender sees it.
type Lent struct {
	To     arbutusfork.Incarnation
	ID     uint64
	Parts  Parts
	Tokens Amount
	Until  time.Duration
}

// Lender is the immutable list of the loans that one VM has made from its base share of one customer.
type Lender struct {
	loans []Lent
}

// Parts returns the parts on loan.
func (l Lender) Parts() Parts {
	var p Parts
	for _, loan := range l.loans {
		p = p.Plus(loan.Parts)
	}
	return p
}

// Find returns the loan that the borrower's request led to.
func (l Lender) Find(to arbutusfork.Incarnation, id uint64) (Lent, bool) {
	for _, loan := range l.loans {
		if loan.To == to && loan.ID == id {
			return loan, true
		}
	}
	return Lent{}, false
}

// With returns a copy that holds the loan instead of an earlier one of the same borrower and ID.
func (l Lender) With(loan Lent) Lender {
	return Lender{loans: append(l.Without(loan.To, loan.ID).loans, loan)}
}

// Without returns a copy without the loan.
func (l Lender) Without(to arbutusfork.Incarnation, id uint64) Lender {
	return Lender{loans: keep(l.loans, func(x Lent) bool { return x.To != to || x.ID != id })}
}

// Expire returns a copy without the loans whose term and margin have passed.
func (l Lender) Expire(now time.Duration) Lender {
	return Lender{loans: keep(l.loans, func(x Lent) bool { return x.Until > now })}
}

// Loan is a loan as its borrower sees it.
type Loan struct {
	From  string
	ID    uint64
	Parts Parts
	Until time.Duration
}

type request struct {
	id    uint64
	renew uint64
	from  string
	sent  time.Duration
}

// Borrower is the immutable list of the loans that one VM has taken for one customer, with its open requests.
type Borrower struct {
	loans []Loan
	open  []request
}

// Parts returns the parts on loan.
func (b Borrower) Parts() Parts {
	var p Parts
	for _, loan := range b.loans {
		p = p.Plus(loan.Parts)
	}
	return p
}

// WithRequest returns a copy that waits for the answer of the lender.
func (b Borrower) WithRequest(from string, q Borrow, now time.Duration) Borrower {
	open := keep(b.open, func(x request) bool { return x.sent+Term > now })
	b.open = append(open, request{id: q.ID, renew: q.Renew, from: from, sent: now})
	return b
}

// WithoutRequest returns a copy that ignores a later answer to the request.
func (b Borrower) WithoutRequest(id uint64) Borrower {
	b.open = keep(b.open, func(x request) bool { return x.id != id })
	return b
}

// WithGrant returns a copy that holds the granted loan, and whether its tokens count. An answer that is not awaited,
// a second one, or one that comes after the term has no effect.
func (b Borrower) WithGrant(g Grant, now time.Duration) (Borrower, bool) {
	i := slices.IndexFunc(b.open, func(x request) bool { return x.id == g.ID })
	if i < 0 {
		return b, false
	}
	q := b.open[i]
	b = b.WithoutRequest(g.ID)
	until := q.sent + Term
	if g.Parts.IsZero() || until <= now {
		return b, false
	}
	if q.renew == 0 {
		b.loans = append(keep(b.loans, func(x Loan) bool { return x.ID != q.id }),
			Loan{From: q.from, ID: q.id, Parts: g.Parts, Until: until})
		return b, true
	}
	b.loans = slices.Clone(b.loans)
	for i, loan := range b.loans {
		if loan.ID == q.renew {
			b.loans[i].Until = max(loan.Until, until)
		}
	}
	return b, false
}

// Without returns a copy without the loan.
func (b Borrower) Without(id uint64) Borrower {
	b.loans = keep(b.loans, func(x Loan) bool { return x.ID != id })
	return b
}

// Expire returns a copy without the loans whose term has passed.
func (b Borrower) Expire(now time.Duration) Borrower {
	b.loans = keep(b.loans, func(x Loan) bool { return x.Until > now })
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
