package afquota

import (
	"slices"
	"sync"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/aflimit"
)

// account is the state of one customer's limit on this VM, with the requests that wait for tokens.
type account struct {
	name string
	// createdAt is when this VM first used the customer.
	createdAt time.Duration

	// mu guards the fields below. It is never held during a call to a peer or to the platform.
	mu sync.Mutex
	// limiter holds the customer's tokens and loans.
	limiter *aflimit.Account
	// rate is the configured rate in tokens per second.
	rate int64
	// burst is the configured burst in tokens.
	burst int64
	// waiters holds the requests that wait for a round of loan requests, in order of arrival.
	waiters []*waiter
	// runsRounds means that a goroutine carries out rounds.
	runsRounds bool
	// roundPause is the pause after the last round.
	roundPause time.Duration
	// nextRoundAt is the earliest time of the next loan requests to peers.
	nextRoundAt time.Duration
	// budgetUsedUntil is the time until which the past rounds have used up the budget of one round per
	// meanRoundInterval.
	budgetUsedUntil time.Duration
	// preferredLender is the VM that granted all the requested tokens last time.
	preferredLender string
	// nextRenewalAt holds, by loan ID, when the loan may be renewed again.
	nextRenewalAt map[uint64]time.Duration
	// surplusSince holds, by loan ID, since when the VM has not needed the loan.
	surplusSince map[uint64]time.Duration

	// shareView is the cached share record. Only the holder of the service's recordsMu changes it.
	shareView      aflimit.ShareView
	recordSchedule recordSchedule
	// settling is since when all VMs have applied the lost record. Only the holder of recordsMu uses it.
	settling settling
}

// accountOf returns the customer's account. It creates the account on first use.
func (s *Service) accountOf(c arbutusfork.Customer) *account {
	s.mu.RLock()
	a := s.accounts[c.Name]
	s.mu.RUnlock()
	if a != nil {
		return a
	}
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	if a = s.accounts[c.Name]; a != nil {
		return a
	}
	a = &account{
		name: c.Name, rate: c.RatePerSecond, burst: c.Burst, createdAt: s.now(),
		limiter:       aflimit.NewAccount(limitOf(c), s.now()),
		shareView:     aflimit.NewShareView(s.Self),
		nextRenewalAt: make(map[uint64]time.Duration), surplusSince: make(map[uint64]time.Duration),
	}
	if s.accounts == nil {
		s.accounts = make(map[string]*account)
	}
	s.accounts[c.Name] = a
	trySignal(s.wakeRecords)
	return a
}

// sortedAccounts returns the accounts in order of their names.
func (s *Service) sortedAccounts() []*account {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make([]*account, 0, len(s.accounts))
	for _, a := range s.accounts {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b *account) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return out
}

// applyConfig applies a changed rate or burst. The caller holds mu.
func (a *account) applyConfig(c arbutusfork.Customer, now time.Duration) {
	if c.RatePerSecond == a.rate && c.Burst == a.burst {
		return
	}
	a.rate, a.burst = c.RatePerSecond, c.Burst
	a.limiter.SetLimit(limitOf(c), now)
}

// limitOf returns the configured limit of the customer.
func limitOf(c arbutusfork.Customer) aflimit.Limit {
	return aflimit.Limit{Rate: aflimit.Tokens(max(0, c.RatePerSecond)), Burst: aflimit.Tokens(max(0, c.Burst))}
}

// recordHolders returns the VMs that hold base shares according to the cached record.
func (a *account) recordHolders() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []string
	for _, h := range a.shareView.Record().Holders {
		if !slices.Contains(out, h.VM) {
			out = append(out, h.VM)
		}
	}
	return out
}
