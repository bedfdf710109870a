package afquota

import (
	"context"
	"time"

	"arbutusfork.example/arbutusfork/pkg/aflimit"
)

const leavePeriod = 50 * time.Millisecond

func (s *Service) isLeaving() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.leaving
}

// ReleaseShares gives back the loans taken, recalls the loans given and releases the base shares. It returns when nothing is
// left to release or ctx ends; what remains is reissued after the platform has listed the VM as gone. Requests that
// still arrive are served from loans.
func (s *Service) ReleaseShares(ctx context.Context) {
	s.init()
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	for _, a := range s.all() {
		a.mu.Lock()
		now := s.now()
		returned := a.takeBack(a.state.TakenLoans(), now)
		given := a.state.GivenLoans()
		a.mu.Unlock()
		s.sendBack(a, returned)
		for _, l := range given {
			s.recall(ctx, a, l)
		}
	}
	tick, sub := s.Timer.Ticks(leavePeriod)
	defer sub.Stop()
	for !s.release(ctx) {
		select {
		case <-ctx.Done():
			return
		case <-tick:
		case <-s.wake:
		}
	}
}

func (s *Service) recall(ctx context.Context, a *account, l aflimit.GivenLoan) {
	s.start(func() {
		if err := s.call(ctx, l.Borrower.VM, KindGiveback, givebackMessage{Customer: a.name, Recall: l.ID}, &ackMessage{}); err != nil {
			s.Log.Debug("a loan was not recalled; it ends with its term", "customer", a.name, "vm", l.Borrower.VM, "error", err)
		}
	})
}

// release writes each record without the parts of this VM that are not on loan. It reports whether none is left.
func (s *Service) release(ctx context.Context) bool {
	s.duty.Lock()
	defer s.duty.Unlock()
	done := true
	for _, a := range s.all() {
		if a.released() {
			continue
		}
		if a.allLent(s.now()) {
			done = false
			continue
		}
		if s.load(ctx, a) == nil {
			s.adjust(ctx, a, 0)
		}
		done = done && a.released()
	}
	return done
}

// released reports whether the record names no share of this VM and will not name one.
func (a *account) released() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.share.UsableParts() == 0 && !a.share.HasUnconfirmedWrite()
}

// allLent reports whether nothing can be released before a loan ends.
func (a *account) allLent(now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state.AdvanceTo(now)
	return !a.share.HasUnconfirmedWrite() && a.share.UsableParts() <= max(a.state.LentParts().Rate, a.state.LentParts().Burst)
}
