package afquota

import (
	"context"
	"time"

	"arbutusfork.example/arbutusfork/pkg/aflimit"
)

const (
	// renewBefore is the remaining term below which a loan in use is renewed. It leaves time for several attempts.
	renewBefore = aflimit.Term / 2
	// idleBefore is how long a loan stays unused before it goes back without a peer asking.
	idleBefore = time.Second
)

// returnedLoan is a loan that has been debited here and whose lender must be told.
type returnedLoan struct {
	to      string
	message aflimit.Giveback
}

// takeBack debits the loans. The caller holds mu and sends the result.
func (a *account) takeBack(loans []aflimit.Loan, now time.Duration) []returnedLoan {
	var out []returnedLoan
	for _, l := range loans {
		if g, ok := a.state.GiveBack(l.ID, now); ok {
			out = append(out, returnedLoan{to: l.From, message: g})
		}
		delete(a.idle, l.ID)
	}
	return out
}

// sendBack tells the lenders without waiting. A lost message costs its tokens until the lender's term ends.
func (s *Service) sendBack(a *account, loans []returnedLoan) {
	for _, l := range loans {
		s.counts.givenBack.Add(1)
		go func() {
			m := givebackMessage{Customer: a.name, ID: l.message.ID, Tokens: int64(l.message.Tokens), Unused: l.message.Unused}
			if err := s.call(context.Background(), l.to, KindGiveback, m, &ackMessage{}); err != nil {
				s.Log.Debug("a loan was not given back; it ends with its term", "customer", a.name, "vm", l.to, "error", err)
			}
		}()
	}
}

// keepLoans renews the loans in use and gives back those that have been idle.
func (s *Service) keepLoans(context.Context) {
	for _, a := range s.all() {
		c, ok := s.Customer(a.name)
		a.mu.Lock()
		now := s.now()
		if ok {
			a.apply(c, now)
		}
		if len(a.state.Loans()) == 0 {
			clear(a.idle)
			a.mu.Unlock()
			continue
		}
		surplus, needed := a.state.Surplus(now)
		returned := a.takeBack(a.idleLoans(surplus, needed, now), now)
		for _, l := range needed {
			if l.Until-now < renewBefore && !a.renewing[l.ID] {
				a.renewing[l.ID] = true
				go s.renew(a, l, a.state.AskRenewal(l, now))
			}
		}
		a.mu.Unlock()
		s.sendBack(a, returned)
	}
}

// idleLoans returns the surplus loans that have been so for idleBefore. The caller holds mu.
func (a *account) idleLoans(surplus, needed []aflimit.Loan, now time.Duration) []aflimit.Loan {
	var out []aflimit.Loan
	for _, l := range needed {
		delete(a.idle, l.ID)
	}
	for _, l := range surplus {
		since, ok := a.idle[l.ID]
		if !ok {
			a.idle[l.ID] = now
		} else if now-since >= idleBefore {
			out = append(out, l)
		}
	}
	return out
}

func (s *Service) renew(a *account, l aflimit.Loan, q aflimit.Borrow) {
	var answer grantMessage
	err := s.call(context.Background(), l.From, KindBorrow, borrowMessage{Customer: a.name, ID: q.ID, Renew: q.Renew, Parts: q.Parts}, &answer)
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.renewing, l.ID)
	if err != nil {
		a.state.Abandon(q)
		return
	}
	a.state.Credit(aflimit.Grant{ID: q.ID, Parts: answer.Parts}, s.now())
	s.counts.renewed.Add(1)
}
