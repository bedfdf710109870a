package aflimit

import (
	"slices"
	"time"

	"arbutusfork.example/arbutusfork"
)

const (
	// LoanTerm is the duration of a loan. The borrower counts it from the instant at which it sent the request.
	LoanTerm = 10 * time.Second
	// LoanTermMargin is added to the term by the lender, to allow for the rate error of monotonic clocks: 25 % covers
	// two clocks that are wrong by 11 % in opposite directions.
	LoanTermMargin = LoanTerm / 4
)

// LoanRequest asks a VM for a new loan or for the renewal of a loan.
type LoanRequest struct {
	// ID is unique among the requests of one incarnation.
	ID uint64
	// RenewedLoanID is the ID of the loan to extend, or zero for a new loan.
	RenewedLoanID uint64
	// Parts is the share of the customer's limit that the borrower wants.
	Parts Parts
	// Tokens is the number of tokens that the borrower is missing now.
	Tokens Amount
}

// LoanGrant is the lender's answer to a LoanRequest. Zero parts mean a refusal.
type LoanGrant struct {
	// ID is the ID of the request.
	ID    uint64
	Parts Parts
	// Tokens is at most the capacity of Parts.
	Tokens Amount
}

// LoanReturn ends a loan before its term.
type LoanReturn struct {
	// ID is the ID of the request that led to the loan.
	ID uint64
	// Tokens is the number of tokens that go back to the lender.
	Tokens Amount
	// NotCredited means that the borrower has not credited the loan and never will. The lender then takes back all
	// its tokens.
	NotCredited bool
}

// GivenLoan is a loan as its lender records it.
type GivenLoan struct {
	Borrower arbutusfork.Incarnation
	// ID is the ID of the borrower's request.
	ID    uint64
	Parts Parts
	// Tokens is the number of tokens lent.
	Tokens Amount
	// ExpiresAt is when the lender counts the loan as ended. It includes LoanTermMargin.
	ExpiresAt time.Duration
}

// GivenLoans is the immutable list of the loans that one VM has given from its base share of one customer.
type GivenLoans struct {
	loans []GivenLoan
}

// Parts returns the sum of the parts on loan.
func (g GivenLoans) Parts() Parts {
	var p Parts
	for _, loan := range g.loans {
		p = p.Plus(loan.Parts)
	}
	return p
}

// FindLoan returns the loan that was granted for the borrower's request.
func (g GivenLoans) FindLoan(borrower arbutusfork.Incarnation, requestID uint64) (GivenLoan, bool) {
	for _, loan := range g.loans {
		if loan.Borrower == borrower && loan.ID == requestID {
			return loan, true
		}
	}
	return GivenLoan{}, false
}

// WithLoan returns a copy that contains the loan. It replaces a loan with the same borrower and ID.
func (g GivenLoans) WithLoan(loan GivenLoan) GivenLoans {
	return GivenLoans{loans: append(g.WithoutLoan(loan.Borrower, loan.ID).loans, loan)}
}

// WithoutLoan returns a copy without the loan.
func (g GivenLoans) WithoutLoan(borrower arbutusfork.Incarnation, requestID uint64) GivenLoans {
	return GivenLoans{loans: filter(g.loans, func(x GivenLoan) bool { return x.Borrower != borrower || x.ID != requestID })}
}

// WithoutExpired returns a copy without the loans whose term and margin have passed.
func (g GivenLoans) WithoutExpired(now time.Duration) GivenLoans {
	return GivenLoans{loans: filter(g.loans, func(x GivenLoan) bool { return x.ExpiresAt > now })}
}

// TakenLoan is a loan as its borrower records it.
type TakenLoan struct {
	// Lender is the name of the VM that gave the loan.
	Lender string
	// ID is the ID of the request that led to the loan.
	ID    uint64
	Parts Parts
	// ExpiresAt is when the borrower counts the loan as ended. It does not include LoanTermMargin.
	ExpiresAt time.Duration
}

// openRequest is a loan request without an answer yet.
type openRequest struct {
	id            uint64
	renewedLoanID uint64
	lender        string
	sentAt        time.Duration
}

// TakenLoans is the immutable list of the loans that one VM has taken for one customer, with the requests that have
// no answer yet.
type TakenLoans struct {
	loans        []TakenLoan
	openRequests []openRequest
}

// Parts returns the sum of the parts on loan.
func (t TakenLoans) Parts() Parts {
	var p Parts
	for _, loan := range t.loans {
		p = p.Plus(loan.Parts)
	}
	return p
}

// WithRequest returns a copy that accepts an answer to the request. Requests older than a loan's term are removed.
func (t TakenLoans) WithRequest(lender string, r LoanRequest, now time.Duration) TakenLoans {
	open := filter(t.openRequests, func(x openRequest) bool { return x.sentAt+LoanTerm > now })
	t.openRequests = append(open, openRequest{id: r.ID, renewedLoanID: r.RenewedLoanID, lender: lender, sentAt: now})
	return t
}

// WithoutRequest returns a copy that ignores a later answer to the request.
func (t TakenLoans) WithoutRequest(id uint64) TakenLoans {
	t.openRequests = filter(t.openRequests, func(x openRequest) bool { return x.id != id })
	return t
}

// WithGrant returns a copy with the granted or renewed loan, and whether the granted tokens are to be credited. An
// answer to an unknown request, a second answer, and an answer after the term have no effect.
func (t TakenLoans) WithGrant(g LoanGrant, now time.Duration) (TakenLoans, bool) {
	i := slices.IndexFunc(t.openRequests, func(x openRequest) bool { return x.id == g.ID })
	if i < 0 {
		return t, false
	}
	r := t.openRequests[i]
	t = t.WithoutRequest(g.ID)
	expiresAt := r.sentAt + LoanTerm
	if g.Parts.IsZero() || expiresAt <= now {
		return t, false
	}
	if r.renewedLoanID == 0 {
		t.loans = append(filter(t.loans, func(x TakenLoan) bool { return x.ID != r.id }),
			TakenLoan{Lender: r.lender, ID: r.id, Parts: g.Parts, ExpiresAt: expiresAt})
		return t, true
	}
	t.loans = slices.Clone(t.loans)
	for i, loan := range t.loans {
		if loan.ID == r.renewedLoanID {
			t.loans[i].ExpiresAt = max(loan.ExpiresAt, expiresAt)
		}
	}
	return t, false
}

// WithoutLoan returns a copy without the loan.
func (t TakenLoans) WithoutLoan(id uint64) TakenLoans {
	t.loans = filter(t.loans, func(x TakenLoan) bool { return x.ID != id })
	return t
}

// WithoutExpired returns a copy without the loans whose term has passed.
func (t TakenLoans) WithoutExpired(now time.Duration) TakenLoans {
	t.loans = filter(t.loans, func(x TakenLoan) bool { return x.ExpiresAt > now })
	return t
}

// filter returns a copy of the elements that match.
func filter[T any](s []T, matches func(T) bool) []T {
	out := make([]T, 0, len(s)+1)
	for _, x := range s {
		if matches(x) {
			out = append(out, x)
		}
	}
	return out
}
