package afquota

import (
	"context"
	"time"

	"arbutusfork.example/arbutusfork/pkg/aflimit"
)

// releaseInterval is the time between attempts to release base shares.
const releaseInterval = 50 * time.Millisecond

// isLeaving reports whether ReleaseShares has been called.
func (s *Service) isLeaving() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.leaveStarted
}

// ReleaseShares prepares the VM for its stop: it returns the taken loans, recalls the given loans and releases the
// base shares. It ends when everything is released or when ctx ends. Shares that remain are reissued after the
// platform's list shows that the VM is gone. Requests that still arrive are served from loans.
func (s *Service) ReleaseShares(ctx context.Context) {
	s.init()
	s.mu.Lock()
	s.leaveStarted = true
	s.mu.Unlock()
	for _, a := range s.sortedAccounts() {
		a.mu.Lock()
		now := s.now()
		returns := a.debitLoans(a.limiter.TakenLoans(), now)
		loansGiven := a.limiter.GivenLoans()
		a.mu.Unlock()
		s.sendReturns(a, returns)
		for _, l := range loansGiven {
			s.recallLoan(ctx, a, l)
		}
	}
	tick, sub := s.Timer.TickChannel(releaseInterval)
	defer sub.Stop()
	for !s.releaseParts(ctx) {
		select {
		case <-ctx.Done():
			return
		case <-tick:
		case <-s.wakeRecords:
		}
	}
}

// recallLoan asks the borrower to return a loan, without waiting for the answer. If the message is lost, the loan
// ends with its term.
func (s *Service) recallLoan(ctx context.Context, a *account, l aflimit.GivenLoan) {
	s.startAsync(func() {
		if err := s.callWithTimeout(ctx, l.Borrower.VM, KindGiveback, givebackMessage{Customer: a.name, RecalledLoanID: l.ID}, &ackMessage{}); err != nil {
			s.Log.Debug("loan recall not confirmed", "customer", a.name, "vm", l.Borrower.VM, "error", err)
		}
	})
}

// releaseParts removes from each share record the parts of this VM that are not on loan. It reports whether all parts
// are released.
func (s *Service) releaseParts(ctx context.Context) bool {
	s.recordsMu.Lock()
	defer s.recordsMu.Unlock()
	allReleased := true
	for _, a := range s.sortedAccounts() {
		if a.isReleased() {
			continue
		}
		if a.isFullyLent(s.now()) {
			allReleased = false
			continue
		}
		if s.loadRecord(ctx, a) == nil {
			s.adjustShare(ctx, a, 0)
		}
		allReleased = allReleased && a.isReleased()
	}
	return allReleased
}

// isReleased reports whether this VM holds no share and no unconfirmed write can still assign one to it.
func (a *account) isReleased() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.shareView.UsableParts() == 0 && !a.shareView.HasUnconfirmedWrite()
}

// isFullyLent reports whether all remaining parts are on loan, so that nothing can be released before a loan ends.
func (a *account) isFullyLent(now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter.AdvanceTo(now)
	return !a.shareView.HasUnconfirmedWrite() && a.shareView.UsableParts() <= max(a.limiter.LentParts().Rate, a.limiter.LentParts().Burst)
}
