package afquota

import (
	"context"
	"slices"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/aflimit"
	"github.com/cespare/xxhash/v2"
)

const (
	// minGap and maxGap bound the pause after a round that left a request unserved. They limit the messages of a
	// customer that exceeds its rate to a few per second and VM.
	minGap = 20 * time.Millisecond
	maxGap = 320 * time.Millisecond
	// roundPeriod is the mean time between rounds of a customer at one VM, and roundBurst the number of rounds that
	// may come closer together. VMs that are all short would trade the same few tokens otherwise.
	roundPeriod = 250 * time.Millisecond
	roundBurst  = 20
	// establishTime is how long after a VM has learnt of a customer its requests wait for tokens instead of being
	// refused: the share record is read, and for a new customer written by up to 8 VMs, one after the other.
	establishTime = 3 * time.Second
	// establishGap is the pause between the rounds in that time.
	establishGap = 50 * time.Millisecond
	// maxWaiting bounds the requests of one customer that wait for loans.
	maxWaiting = 4096
)

// waiter is a request that waits for a round of loans.
type waiter struct {
	tokens int64
	hold   *aflimit.Reservation
	retry  time.Duration
	tries  int           // tries counts the rounds that did not serve it.
	done   chan struct{} // done is closed when hold or a refusal is decided.
}

// reserveWithLoans waits for one round of loans.
func (s *Service) reserveWithLoans(ctx context.Context, a *account, tokens int64) (*Reservation, *arbutusfork.Refusal) {
	w := &waiter{tokens: tokens, done: make(chan struct{})}
	a.mu.Lock()
	if len(a.waiting) >= maxWaiting {
		retry := a.state.RefillDelay(tokens, s.now())
		a.mu.Unlock()
		return nil, s.refuse(retry)
	}
	a.waiting = append(a.waiting, w)
	idle := !a.running
	a.running = true
	a.mu.Unlock()
	if idle {
		s.start(func() { s.runRounds(a) })
	}
	select {
	case <-w.done:
	case <-ctx.Done():
		a.mu.Lock()
		a.waiting = slices.DeleteFunc(a.waiting, func(x *waiter) bool { return x == w })
		if w.hold != nil {
			a.state.SettleReservation(w.hold, 0, s.now())
		}
		a.mu.Unlock()
		s.counts.refused.Add(1)
		return nil, arbutusfork.Refuse(arbutusfork.CodeDeadline, "the deadline passed while waiting for tokens")
	}
	if w.hold == nil {
		return nil, s.refuse(w.retry)
	}
	s.counts.admitted.Add(1)
	return &Reservation{service: s, account: a, hold: w.hold}, nil
}

func (s *Service) refuse(retry time.Duration) *arbutusfork.Refusal {
	s.counts.refused.Add(1)
	return arbutusfork.Refuse(arbutusfork.CodeLimited, "the customer's rate is used up").WithRetryAfter(retry)
}

// runRounds carries out rounds of loans until nobody waits.
func (s *Service) runRounds(a *account) {
	for {
		a.mu.Lock()
		wait := a.next - s.now()
		if len(a.waiting) == 0 {
			a.running = false
			a.mu.Unlock()
			return
		}
		a.mu.Unlock()
		if wait > 0 {
			s.pause(wait)
		}
		s.round(a)
	}
}

// round serves the requests that wait now. It asks the likely lenders, each for its part of what is missing, and then
// all lenders and those who hold their loans for the rest.
func (s *Service) round(a *account) {
	a.mu.Lock()
	batch := slices.Clone(a.waiting)
	now := s.now()
	done := a.serve(batch, now) || now < a.next
	a.mu.Unlock()
	if !done {
		s.counts.rounds.Add(1)
		lenders := s.lenders(a)
		first := s.likely(a, lenders, batch, now)
		hints := s.ask(a, batch, first, len(first))
		s.ask(a, batch, append(lenders, hints...), 1)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now = s.now()
	served := a.serve(batch, now)
	establishing := !served && now-a.created < establishTime
	switch {
	case establishing:
		// These rounds are few and not counted by space, or later requests would wait for the time that they use up.
		a.next = now + establishGap
		signal(s.wake)
	case !done:
		a.space(served, now)
	}
	if served {
		return
	}
	for _, w := range batch {
		if w.tries++; establishing && w.tries < int(establishTime/establishGap) {
			continue
		}
		if a.drop(w) {
			w.retry = a.state.RefillDelay(w.tokens, now)
			a.state.RecordRefusedDemand(w.tokens, now)
			close(w.done)
		}
	}
}

// fetch borrows rate ahead of need.
func (s *Service) fetch(a *account) {
	s.counts.rounds.Add(1)
	lenders := s.lenders(a)
	s.ask(a, nil, lenders, len(lenders))
	a.mu.Lock()
	defer a.mu.Unlock()
	a.space(true, s.now())
}

// likely returns the lenders that together should have what the batch is missing, if each gives up to a quarter of its
// burst. The first is one that had enough the last time, or differs between VMs.
func (s *Service) likely(a *account, lenders []string, batch []*waiter, now time.Duration) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	tokens, parts := a.lack(batch, now)
	quarter := max(1, aflimit.TotalParts/int64(4*(len(lenders)+1)))
	n := 1 + max(a.state.Limit().PartsForBurst(tokens), parts.Rate)/quarter
	if n >= int64(len(lenders)) {
		return lenders
	}
	start := slices.Index(lenders, a.lender)
	if start < 0 {
		start = int(xxhash.Sum64String(s.Self.VM+a.name) % uint64(len(lenders)))
	}
	return append(slices.Clone(lenders[start:]), lenders[:start]...)[:n]
}

// space sets when the next round may start. The caller holds mu.
func (a *account) space(served bool, now time.Duration) {
	if served {
		a.gap = 0
	} else {
		a.gap = min(max(minGap, 2*a.gap), maxGap)
	}
	a.paid = max(a.paid, now-roundBurst*roundPeriod) + roundPeriod
	a.next = max(now+a.gap, a.paid)
}

// serve reserves for the requests of the batch that fit, in order, and reports whether none is left. The caller
// holds mu.
func (a *account) serve(batch []*waiter, now time.Duration) bool {
	left := false
	for _, w := range batch {
		if !slices.Contains(a.waiting, w) {
			continue
		}
		w.hold = a.state.ReserveTokens(w.tokens, now)
		if w.hold == nil {
			left = true
			continue
		}
		a.drop(w)
		close(w.done)
	}
	return !left
}

// drop ends the wait of a request and reports whether it was waiting. The caller holds mu.
func (a *account) drop(w *waiter) bool {
	i := slices.Index(a.waiting, w)
	if i < 0 {
		return false
	}
	a.waiting = slices.Delete(a.waiting, i, i+1)
	return true
}

// lack returns what the batch is missing. The caller holds mu.
func (a *account) lack(batch []*waiter, now time.Duration) (aflimit.Amount, aflimit.Parts) {
	n := int64(0)
	for _, w := range batch {
		if slices.Contains(a.waiting, w) {
			n = min(n+w.tokens, a.burst)
		}
	}
	if n == 0 {
		return 0, aflimit.Parts{}
	}
	return a.state.BorrowNeed(n, now)
}

type pendingAsk struct {
	vm      string
	message aflimit.LoanRequest
}

// ask requests loans from the VMs in parallel, each for the missing amount divided by split, and serves the batch as
// answers arrive. It returns when all have answered or the batch is served, with the VMs that hold the lenders' loans.
func (s *Service) ask(a *account, batch []*waiter, vms []string, split int) []string {
	a.mu.Lock()
	now := s.now()
	tokens, parts := a.lack(batch, now)
	if batch == nil {
		tokens, parts = a.state.BorrowNeed(0, now)
	}
	if tokens <= 0 && batch != nil || len(vms) == 0 {
		a.mu.Unlock()
		return nil
	}
	if split > 1 {
		// A quarter more than an equal split covers lenders that cannot give their part.
		n := int64(split)
		tokens = tokens/aflimit.Amount(n) + tokens/aflimit.Amount(4*n) + 1
		parts = aflimit.Parts{Rate: parts.Rate/n + parts.Rate/(4*n) + 1, Burst: parts.Burst/n + parts.Burst/(4*n) + 1}
	}
	asks := make([]pendingAsk, 0, len(vms))
	for _, vm := range vms {
		asks = append(asks, pendingAsk{vm: vm, message: a.state.RequestLoan(vm, tokens, parts, now)})
	}
	a.mu.Unlock()

	type result struct {
		hints  []string
		served bool
	}
	results := make(chan result, len(asks))
	for _, q := range asks {
		s.start(func() {
			hints, served := s.askOne(a, batch, q)
			results <- result{hints, served}
		})
	}
	var hints []string
	for range asks {
		r := <-results
		if r.served && batch != nil {
			return nil
		}
		for _, vm := range r.hints {
			if vm != s.Self.VM && !slices.Contains(vms, vm) && !slices.Contains(hints, vm) {
				hints = append(hints, vm)
			}
		}
	}
	return hints
}

// askOne asks one VM for a loan and reports whether the batch is served.
func (s *Service) askOne(a *account, batch []*waiter, q pendingAsk) ([]string, bool) {
	var answer grantMessage
	err := s.call(context.Background(), q.vm, KindBorrow, newBorrowMessage(a.name, q.message), &answer)
	a.mu.Lock()
	now := s.now()
	if err != nil {
		returned := []returnedLoan{{to: q.vm, message: a.state.AbandonRequest(q.message)}}
		served := a.serve(batch, now)
		a.mu.Unlock()
		s.sendBack(a, returned)
		return nil, served
	}
	defer a.mu.Unlock()
	if a.state.CreditGrant(answer.grant(q.message.ID), now) {
		s.counts.taken.Add(1)
	}
	if answer.Tokens >= int64(q.message.Tokens) {
		a.lender = q.vm
	}
	return answer.Lent, a.serve(batch, now)
}

// lenders returns the VMs that are likely to hold base shares: those that the membership calls for, and those that the
// cached record names, which may be older.
func (s *Service) lenders(a *account) []string {
	live := s.live()
	out := aflimit.ShareSet(a.name, live)
	for _, vm := range a.holders() {
		if slices.Contains(live, vm) && !slices.Contains(out, vm) {
			out = append(out, vm)
		}
	}
	return slices.DeleteFunc(out, func(vm string) bool { return vm == s.Self.VM })
}

// live returns the names of the members that are not leaving.
func (s *Service) live() []string {
	var out []string
	for _, vm := range s.Members() {
		if vm.State == arbutusfork.VMLive {
			out = append(out, vm.Name)
		}
	}
	return out
}
