package afquota

import (
	"context"
	"maps"
	"time"

	"arbutusfork.example/arbutusfork/pkg/aflimit"
)

const (
	// renewBefore is the remaining term below which a loan in use is renewed. It leaves time for several attempts.
	renewBefore = aflimit.LoanTerm / 2
	// renewPeriod is the pause between attempts to renew a loan.
	renewPeriod = time.Second
	// idleBefore is how long a loan stays unused before it goes back without a peer asking.
	idleBefore = time.Second
)

// returnedLoan is a loan that has been debited here and whose lender must be told.
type returnedLoan struct {
	to      string
	message aflimit.LoanReturn
}

// takeBack debits the loans. The caller holds mu and sends the result.
func (a *account) takeBack(loans []aflimit.TakenLoan, now time.Duration) []returnedLoan {
	var out []returnedLoan
	for _, l := range loans {
		if g, ok := a.state.ReturnLoan(l.ID, now); ok {
			out = append(out, returnedLoan{to: l.Lender, message: g})
		}
		delete(a.idle, l.ID)
		delete(a.renewAt, l.ID)
	}
	return out
}

// sendBack tells the lenders without waiting. A lost message costs its tokens until the lender's term ends.
func (s *Service) sendBack(a *account, loans []returnedLoan) {
	for _, l := range loans {
		s.counts.givenBack.Add(1)
		s.start(func() {
			m := givebackMessage{Customer: a.name, ID: l.message.ID, Tokens: int64(l.message.Tokens), Unused: l.message.NotCredited}
			if err := s.call(context.Background(), l.to, KindGiveback, m, &ackMessage{}); err != nil {
				s.Log.Debug("a loan was not given back; it ends with its term", "customer", a.name, "vm", l.to, "error", err)
			}
		})
	}
}

// keepLoans renews the loans in use, gives back those that have been idle, and takes back those of VMs that are gone.
func (s *Service) keepLoans(context.Context) {
	for _, a := range s.all() {
		c, ok := s.Customer(a.name)
		a.mu.Lock()
		now := s.now()
		if ok {
			a.apply(c, now)
		}
		drains := a.next <= now && a.state.ShouldBorrowRate(now)
		if drains {
			a.next = now + callTimeout // One fetch at a time.
		}
		if !a.state.LentParts().IsZero() {
			a.state.ReclaimLoans(s.IsGone, now)
		}
		if len(a.state.TakenLoans()) == 0 {
			clear(a.idle)
			clear(a.renewAt)
		}
		surplus, needed := a.state.SplitTakenLoans(now)
		returned := a.takeBack(a.idleLoans(surplus, needed, now), now)
		var renewals []renewal
		for _, l := range needed {
			if l.ExpiresAt-now < renewBefore && a.renewAt[l.ID] <= now {
				a.renewAt[l.ID] = now + renewPeriod
				renewals = append(renewals, renewal{loan: l, message: a.state.RequestRenewal(l, now)})
			}
		}
		a.mu.Unlock()
		s.sendBack(a, returned)
		if drains {
			s.start(func() { s.fetch(a) })
		}
		for _, r := range renewals {
			s.start(func() { s.renew(a, r) })
		}
	}
}

// idleLoans returns the surplus loans that have been so for idleBefore, or for one period when the rate on loan runs
// over. The caller holds mu.
func (a *account) idleLoans(surplus, needed []aflimit.TakenLoan, now time.Duration) []aflimit.TakenLoan {
	old := func(_ uint64, t time.Duration) bool { return now-t > aflimit.LoanTerm }
	maps.DeleteFunc(a.idle, old)
	maps.DeleteFunc(a.renewAt, old)
	var out []aflimit.TakenLoan
	for _, l := range needed {
		delete(a.idle, l.ID)
	}
	for _, l := range surplus {
		since, ok := a.idle[l.ID]
		if !ok {
			a.idle[l.ID] = now
		} else if now-since >= idleBefore || a.state.IsFull() {
			out = append(out, l)
		}
	}
	return out
}

type renewal struct {
	loan    aflimit.TakenLoan
	message aflimit.LoanRequest
}

// renew asks the lender to extend a loan.
func (s *Service) renew(a *account, r renewal) {
	q := r.message
	var answer grantMessage
	err := s.call(context.Background(), r.loan.Lender, KindBorrow, newBorrowMessage(a.name, q), &answer)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.state.AbandonRequest(q)
		return
	}
	a.state.CreditGrant(answer.grant(q.ID), s.now())
	if !answer.grant(q.ID).Parts.IsZero() {
		s.counts.renewed.Add(1)
	}
}
