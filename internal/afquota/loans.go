package afquota

import (
	"context"
	"maps"
	"time"

	"arbutusfork.example/arbutusfork/pkg/aflimit"
)

const (
	// renewBelowRemaining is the remaining term below which a loan in use is renewed. It leaves time for several
	// attempts.
	renewBelowRemaining = aflimit.LoanTerm / 2
	// renewRetryInterval is the time between attempts to renew a loan.
	renewRetryInterval = time.Second
	// idleLoanTimeout is how long a loan stays unused before it is returned although no peer has asked for it.
	idleLoanTimeout = time.Second
)

// pendingReturn is a loan whose tokens have been debited here and whose return has not been sent to the lender yet.
type pendingReturn struct {
	lender     string
	loanReturn aflimit.LoanReturn
}

// debitLoans ends the taken loans and debits their tokens. The caller holds mu, and sends the returned messages after
// releasing it.
func (a *account) debitLoans(loans []aflimit.TakenLoan, now time.Duration) []pendingReturn {
	var out []pendingReturn
	for _, l := range loans {
		if r, ok := a.limiter.ReturnLoan(l.ID, now); ok {
			out = append(out, pendingReturn{lender: l.Lender, loanReturn: r})
		}
		delete(a.surplusSince, l.ID)
		delete(a.nextRenewalAt, l.ID)
	}
	return out
}

// sendReturns sends the loan returns to the lenders without waiting for the answers. If a message is lost, its tokens
// are lost and the lender gets the parts back when the loan ends with its term.
func (s *Service) sendReturns(a *account, returns []pendingReturn) {
	for _, r := range returns {
		s.counters.loansReturned.Add(1)
		s.startAsync(func() {
			m := givebackMessage{Customer: a.name, ID: r.loanReturn.ID, Tokens: int64(r.loanReturn.Tokens), NotCredited: r.loanReturn.NotCredited}
			if err := s.callWithTimeout(context.Background(), r.lender, KindGiveback, m, &ackMessage{}); err != nil {
				s.Log.Debug("loan return not confirmed", "customer", a.name, "vm", r.lender, "error", err)
			}
		})
	}
}

// maintainLoans renews the loans in use, returns those that have been idle, reclaims those given to VMs that are
// gone, and borrows rate if the VM will need it soon.
func (s *Service) maintainLoans(context.Context) {
	for _, a := range s.sortedAccounts() {
		c, ok := s.Customer(a.name)
		a.mu.Lock()
		now := s.now()
		if ok {
			a.applyConfig(c, now)
		}
		needsRate := a.nextRoundAt <= now && a.limiter.ShouldBorrowRate(now)
		if needsRate {
			a.nextRoundAt = now + peerCallTimeout // Prevents another round while this one is in progress.
		}
		if !a.limiter.LentParts().IsZero() {
			a.limiter.ReclaimLoans(s.IsGone, now)
		}
		if len(a.limiter.TakenLoans()) == 0 {
			clear(a.surplusSince)
			clear(a.nextRenewalAt)
		}
		surplus, inUse := a.limiter.SplitTakenLoans(now)
		returns := a.debitLoans(a.selectIdleLoans(surplus, inUse, now), now)
		var renewals []renewal
		for _, l := range inUse {
			if l.ExpiresAt-now < renewBelowRemaining && a.nextRenewalAt[l.ID] <= now {
				a.nextRenewalAt[l.ID] = now + renewRetryInterval
				renewals = append(renewals, renewal{loan: l, request: a.limiter.RequestRenewal(l, now)})
			}
		}
		a.mu.Unlock()
		s.sendReturns(a, returns)
		if needsRate {
			s.startAsync(func() { s.borrowRateAhead(a) })
		}
		for _, r := range renewals {
			s.startAsync(func() { s.renewLoan(a, r) })
		}
	}
}

// selectIdleLoans returns the loans that have not been needed for idleLoanTimeout. If the bucket is full, one
// maintenance interval is enough, because further refill is lost. The caller holds mu.
func (a *account) selectIdleLoans(surplus, inUse []aflimit.TakenLoan, now time.Duration) []aflimit.TakenLoan {
	isOutdated := func(_ uint64, t time.Duration) bool { return now-t > aflimit.LoanTerm }
	maps.DeleteFunc(a.surplusSince, isOutdated)
	maps.DeleteFunc(a.nextRenewalAt, isOutdated)
	var out []aflimit.TakenLoan
	for _, l := range inUse {
		delete(a.surplusSince, l.ID)
	}
	for _, l := range surplus {
		since, ok := a.surplusSince[l.ID]
		if !ok {
			a.surplusSince[l.ID] = now
		} else if now-since >= idleLoanTimeout || a.limiter.IsFull() {
			out = append(out, l)
		}
	}
	return out
}

// renewal is a loan to be renewed and the request for it.
type renewal struct {
	loan    aflimit.TakenLoan
	request aflimit.LoanRequest
}

// renewLoan asks the lender to extend a loan.
func (s *Service) renewLoan(a *account, r renewal) {
	request := r.request
	var answer grantMessage
	err := s.callWithTimeout(context.Background(), r.loan.Lender, KindBorrow, newBorrowMessage(a.name, request), &answer)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.limiter.AbandonRequest(request)
		return
	}
	a.limiter.CreditGrant(answer.loanGrant(request.ID), s.now())
	if !answer.loanGrant(request.ID).Parts.IsZero() {
		s.counters.loansRenewed.Add(1)
	}
}
