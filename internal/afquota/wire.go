package afquota

import (
	"context"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/aflimit"
	"github.com/vmihailenco/msgpack/v5"
)

// borrowMessage asks for a loan or for the renewal of one.
type borrowMessage struct {
	Customer string `msgpack:"customer"`
	ID       uint64 `msgpack:"id"`
	Renew    uint64 `msgpack:"renew,omitempty"`
	Rate     int64  `msgpack:"rate"`   // Rate is in parts of the customer's rate.
	Burst    int64  `msgpack:"burst"`  // Burst is in parts of the customer's burst.
	Tokens   int64  `msgpack:"tokens"` // Tokens is in units of 1e-9 token.
}

// grantMessage answers a borrowMessage.
type grantMessage struct {
	Rate   int64 `msgpack:"rate"`
	Burst  int64 `msgpack:"burst"`
	Tokens int64 `msgpack:"tokens"`
	// Lent names the VMs that hold the lender's share, so that the borrower can ask them.
	Lent []string `msgpack:"lent,omitempty"`
}

func newBorrowMessage(customer string, q aflimit.LoanRequest) borrowMessage {
	return borrowMessage{
		Customer: customer, ID: q.ID, Renew: q.RenewedLoanID, Rate: q.Parts.Rate, Burst: q.Parts.Burst, Tokens: int64(q.Tokens),
	}
}

// borrow returns the request. Values below zero, which no VM sends, count as zero.
func (m borrowMessage) borrow() aflimit.LoanRequest {
	parts := aflimit.Parts{Rate: m.Rate, Burst: m.Burst}
	return aflimit.LoanRequest{ID: m.ID, RenewedLoanID: m.Renew, Parts: parts.Max(aflimit.Parts{}), Tokens: aflimit.Amount(max(0, m.Tokens))}
}

func (m grantMessage) grant(id uint64) aflimit.LoanGrant {
	return aflimit.LoanGrant{ID: id, Parts: aflimit.Parts{Rate: m.Rate, Burst: m.Burst}, Tokens: aflimit.Amount(m.Tokens)}
}

// givebackMessage ends a loan early, asks the borrower to end one, or tells that the share record has changed.
type givebackMessage struct {
	Customer string `msgpack:"customer"`
	ID       uint64 `msgpack:"id,omitempty"`
	Tokens   int64  `msgpack:"tokens,omitempty"`
	Unused   bool   `msgpack:"unused,omitempty"`
	// Recall is the ID of a loan that the lender wants back.
	Recall uint64 `msgpack:"recall,omitempty"`
	// Record is the version of a share record that has parts to take.
	Record int64 `msgpack:"record,omitempty"`
}

// ackMessage answers a givebackMessage.
type ackMessage struct{}

// HandleBorrow answers a peer's request for a loan. The body is a msgpack borrowMessage.
func (s *Service) HandleBorrow(from arbutusfork.Incarnation, body []byte) (any, error) {
	var m borrowMessage
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, &Error{Op: "decode borrow", Kind: MalformedMessage, Err: err}
	}
	c, ok := s.Customer(m.Customer)
	if !ok || s.isLeaving() {
		return grantMessage{}, nil
	}
	a := s.account(c)
	a.mu.Lock()
	now := s.now()
	a.apply(c, now)
	g := a.state.GrantLoan(from, m.borrow(), now)
	lent := a.state.BorrowerVMs()
	surplus, _ := a.state.SplitTakenLoans(now)
	// A peer that is short needs the loans that this VM no longer uses, so they go back to their lenders at once.
	returned := a.takeBack(surplus, now)
	a.mu.Unlock()
	s.sendBack(a, returned)
	if !g.Parts.IsZero() {
		s.counts.given.Add(1)
	}
	return grantMessage{Rate: g.Parts.Rate, Burst: g.Parts.Burst, Tokens: int64(g.Tokens), Lent: lent}, nil
}

// HandleGiveback takes back a loan, ends one that its lender recalls, or notes a changed share record. The body is a
// msgpack givebackMessage.
func (s *Service) HandleGiveback(from arbutusfork.Incarnation, body []byte) (any, error) {
	var m givebackMessage
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, &Error{Op: "decode giveback", Kind: MalformedMessage, Err: err}
	}
	c, ok := s.Customer(m.Customer)
	if !ok {
		return ackMessage{}, nil
	}
	a := s.account(c)
	a.mu.Lock()
	now := s.now()
	a.schedule.known = max(a.schedule.known, m.Record)
	if m.ID != 0 {
		a.state.TakeBackLoan(from, aflimit.LoanReturn{ID: m.ID, Tokens: aflimit.Amount(m.Tokens), NotCredited: m.Unused}, now)
	}
	var returned []returnedLoan
	for _, l := range a.state.TakenLoans() {
		if l.ID == m.Recall && l.Lender == from.VM {
			returned = a.takeBack([]aflimit.TakenLoan{l}, now)
		}
	}
	a.mu.Unlock()
	s.sendBack(a, returned)
	if m.Record > 0 || s.isLeaving() {
		signal(s.wake)
	}
	return ackMessage{}, nil
}

// call sends a message to a peer, bounded by callTimeout.
func (s *Service) call(ctx context.Context, vm, kind string, message, answer any) error {
	ctx, cancel := s.Timer.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.CallPeer(ctx, vm, kind, message, answer)
}
