package afquota

import (
	"slices"
	"sync"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/aflimit"
)

// account is one customer's state on this VM.
type account struct {
	name string
	// created is when this VM learnt of the customer.
	created time.Duration

	mu    sync.Mutex // mu guards the fields below. It is never held during a call.
	state *aflimit.Account
	rate  int64
	burst int64
	// waiting holds the requests that wait for a round of loans, in order of arrival.
	waiting []*waiter
	running bool                     // running tells that a goroutine carries out rounds.
	gap     time.Duration            // gap is the pause after the last round.
	next    time.Duration            // next is the earliest time at which peers are asked again.
	paid    time.Duration            // paid is the time up to which the rounds so far use up roundPeriod.
	lender  string                   // lender had all that was asked of it the last time.
	renewAt map[uint64]time.Duration // renewAt holds when a loan may be renewed again.
	idle    map[uint64]time.Duration // idle holds when a loan was first seen as surplus.

	// share is the cached share record. Only the holder of the service's duty lock changes it.
	share    aflimit.ShareView
	schedule schedule
}

// account returns the customer's account and creates it at the first request.
func (s *Service) account(c arbutusfork.Customer) *account {
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
		name: c.Name, rate: c.Rate, burst: c.Burst, created: s.now(),
		state:   aflimit.NewAccount(limitOf(c), s.now()),
		share:   aflimit.NewShareView(s.Self),
		renewAt: make(map[uint64]time.Duration), idle: make(map[uint64]time.Duration),
	}
	if s.accounts == nil {
		s.accounts = make(map[string]*account)
	}
	s.accounts[c.Name] = a
	signal(s.wake)
	return a
}

// all returns the accounts in order of name.
func (s *Service) all() []*account {
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

// apply brings a changed configuration into force. The caller holds mu.
func (a *account) apply(c arbutusfork.Customer, now time.Duration) {
	if c.Rate == a.rate && c.Burst == a.burst {
		return
	}
	a.rate, a.burst = c.Rate, c.Burst
	a.state.SetLimit(limitOf(c), now)
}

func limitOf(c arbutusfork.Customer) aflimit.Limit {
	return aflimit.Limit{Rate: aflimit.Tokens(max(0, c.Rate)), Burst: aflimit.Tokens(max(0, c.Burst))}
}

// holders returns the VMs that the cached record names.
func (a *account) holders() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []string
	for _, h := range a.share.Record().Holders {
		if !slices.Contains(out, h.VM) {
			out = append(out, h.VM)
		}
	}
	return out
}
