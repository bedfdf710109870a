package afquota

import (
	"context"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/aflimit"
	"github.com/vmihailenco/msgpack/v5"
)

// borrowMessage requests a loan or the renewal of a loan.
type borrowMessage struct {
	Customer string `msgpack:"customer"`
	// ID identifies the request among those of the sending incarnation.
	ID uint64 `msgpack:"id"`
	// RenewedLoanID is the ID of the loan to extend, or zero for a new loan.
	RenewedLoanID uint64 `msgpack:"renew,omitempty"`
	// Rate is in parts of the customer's rate.
	Rate int64 `msgpack:"rate"`
	// Burst is in parts of the customer's burst.
	Burst int64 `msgpack:"burst"`
	// Tokens is in units of 1e-9 token.
	Tokens int64 `msgpack:"tokens"`
}

// grantMessage answers a borrowMessage. Its units are those of borrowMessage. Zero parts mean a refusal.
type grantMessage struct {
	Rate   int64 `msgpack:"rate"`
	Burst  int64 `msgpack:"burst"`
	Tokens int64 `msgpack:"tokens"`
	// BorrowerVMs names the VMs that hold parts of the lender's share on loan, so that the requesting VM can ask
	// them.
	BorrowerVMs []string `msgpack:"lent,omitempty"`
}

// newBorrowMessage returns the message for the request.
func newBorrowMessage(customer string, r aflimit.LoanRequest) borrowMessage {
	return borrowMessage{
		Customer: customer, ID: r.ID, RenewedLoanID: r.RenewedLoanID, Rate: r.Parts.Rate, Burst: r.Parts.Burst, Tokens: int64(r.Tokens),
	}
}

// loanRequest returns the request in the message. Negative values, which no VM sends, count as zero.
func (m borrowMessage) loanRequest() aflimit.LoanRequest {
	parts := aflimit.Parts{Rate: m.Rate, Burst: m.Burst}
	return aflimit.LoanRequest{ID: m.ID, RenewedLoanID: m.RenewedLoanID, Parts: parts.Max(aflimit.Parts{}), Tokens: aflimit.Amount(max(0, m.Tokens))}
}

// loanGrant returns the grant in the message as the answer to the request.
func (m grantMessage) loanGrant(requestID uint64) aflimit.LoanGrant {
	return aflimit.LoanGrant{ID: requestID, Parts: aflimit.Parts{Rate: m.Rate, Burst: m.Burst}, Tokens: aflimit.Amount(m.Tokens)}
}

// givebackMessage ends a loan early, asks the borrower to end one, or announces that the share record has changed.
type givebackMessage struct {
	Customer string `msgpack:"customer"`
	// ID is the ID of the loan that ends, or zero.
	ID uint64 `msgpack:"id,omitempty"`
	// Tokens is the number of tokens that go back to the lender, in units of 1e-9 token.
	Tokens int64 `msgpack:"tokens,omitempty"`
	// NotCredited means that the borrower has not credited the loan and never will.
	NotCredited bool `msgpack:"unused,omitempty"`
	// RecalledLoanID is the ID of a loan that the lender asks the borrower to return, or zero.
	RecalledLoanID uint64 `msgpack:"recall,omitempty"`
	// RecordVersion is the version of a share record with free parts, or zero.
	RecordVersion int64 `msgpack:"record,omitempty"`
}

// ackMessage answers a givebackMessage.
type ackMessage struct{}

// HandleBorrow answers a peer's request for a loan. The body is a msgpack-encoded borrowMessage.
func (s *Service) HandleBorrow(from arbutusfork.Incarnation, body []byte) (any, error) {
	var m borrowMessage
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, &Error{Op: "decode borrow", Kind: MalformedMessage, Err: err}
	}
	c, ok := s.Customer(m.Customer)
	if !ok || s.isLeaving() {
		return grantMessage{}, nil
	}
	a := s.accountOf(c)
	a.mu.Lock()
	now := s.now()
	a.applyConfig(c, now)
	grant := a.limiter.GrantLoan(from, m.loanRequest(), now)
	borrowerVMs := a.limiter.BorrowerVMs()
	surplus, _ := a.limiter.SplitTakenLoans(now)
	// The peer lacks tokens, so the loans that this VM no longer needs are returned to their lenders at once.
	returns := a.debitLoans(surplus, now)
	a.mu.Unlock()
	s.sendReturns(a, returns)
	if !grant.Parts.IsZero() {
		s.counters.loansGiven.Add(1)
	}
	return grantMessage{Rate: grant.Parts.Rate, Burst: grant.Parts.Burst, Tokens: int64(grant.Tokens), BorrowerVMs: borrowerVMs}, nil
}

// HandleGiveback takes back a loan, returns one that its lender recalls, or records that a share record has changed.
// The body is a msgpack-encoded givebackMessage.
func (s *Service) HandleGiveback(from arbutusfork.Incarnation, body []byte) (any, error) {
	var m givebackMessage
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, &Error{Op: "decode giveback", Kind: MalformedMessage, Err: err}
	}
	c, ok := s.Customer(m.Customer)
	if !ok {
		return ackMessage{}, nil
	}
	a := s.accountOf(c)
	a.mu.Lock()
	now := s.now()
	a.recordSchedule.announcedVersion = max(a.recordSchedule.announcedVersion, m.RecordVersion)
	if m.ID != 0 {
		a.limiter.TakeBackLoan(from, aflimit.LoanReturn{ID: m.ID, Tokens: aflimit.Amount(m.Tokens), NotCredited: m.NotCredited}, now)
	}
	var returns []pendingReturn
	for _, l := range a.limiter.TakenLoans() {
		if l.ID == m.RecalledLoanID && l.Lender == from.VM {
			returns = a.debitLoans([]aflimit.TakenLoan{l}, now)
		}
	}
	a.mu.Unlock()
	s.sendReturns(a, returns)
	if m.RecordVersion > 0 || s.isLeaving() {
		trySignal(s.wakeRecords)
	}
	return ackMessage{}, nil
}

// callWithTimeout sends a message to a peer and waits for its answer, for at most peerCallTimeout.
func (s *Service) callWithTimeout(ctx context.Context, vm, kind string, message, answer any) error {
	ctx, cancel := s.Timer.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	return s.CallVM(ctx, vm, kind, message, answer)
}
