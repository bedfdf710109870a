package afquota

import (
	"context"
	"slices"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/aflimit"
)

const (
	// minGap and maxGap bound the pause after a round that left a request unserved. They limit the messages of a
	// customer that exceeds its rate to a few per second and VM.
	minGap = 20 * time.Millisecond
	maxGap = 320 * time.Millisecond
	// maxWaiting bounds the requests of one customer that wait for loans.
	maxWaiting = 4096
)

// waiter is a request that waits for a round of loans.
type waiter struct {
	tokens int64
	hold   *aflimit.Hold
	retry  time.Duration
	done   chan struct{} // done is closed when hold or a refusal is decided.
}

// reserveWithLoans waits for one round of loans.
func (s *Service) reserveWithLoans(ctx context.Context, a *account, tokens int64) (*Reservation, *arbutusfork.Refusal) {
	w := &waiter{tokens: tokens, done: make(chan struct{})}
	a.mu.Lock()
	if len(a.waiting) >= maxWaiting {
		retry := a.state.Wait(tokens, s.now())
		a.mu.Unlock()
		return nil, s.refuse(retry)
	}
	a.waiting = append(a.waiting, w)
	if !a.running {
		a.running = true
		go s.runRounds(a)
	}
	a.mu.Unlock()
	select {
	case <-w.done:
	case <-ctx.Done():
		a.mu.Lock()
		a.waiting = slices.DeleteFunc(a.waiting, func(x *waiter) bool { return x == w })
		if w.hold != nil {
			a.state.Settle(w.hold, 0, s.now())
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
		gap := a.gap
		if len(a.waiting) == 0 {
			a.running = false
			a.mu.Unlock()
			return
		}
		a.mu.Unlock()
		if gap > 0 {
			s.pause(gap)
		}
		s.round(a)
	}
}

func (s *Service) pause(d time.Duration) {
	c := make(chan struct{})
	s.Timer.After(d, func(time.Time) { close(c) })
	<-c
}

// round serves the requests that wait now. It asks each lender for its part of what is missing, and then all lenders
// and those who hold their loans for the rest.
func (s *Service) round(a *account) {
	a.mu.Lock()
	batch := slices.Clone(a.waiting)
	done := a.serve(batch, s.now())
	a.mu.Unlock()
	if !done {
		s.counts.rounds.Add(1)
		lenders := s.lenders(a)
		hints := s.ask(a, batch, lenders, len(lenders))
		s.ask(a, batch, append(lenders, hints...), 1)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := s.now()
	if a.serve(batch, now) {
		a.gap = 0
		return
	}
	a.gap = min(max(minGap, 2*a.gap), maxGap)
	for _, w := range batch {
		if a.drop(w) {
			w.retry = a.state.Wait(w.tokens, now)
			close(w.done)
		}
	}
}

// serve reserves for the requests of the batch that fit, in order, and reports whether none is left. The caller
// holds mu.
func (a *account) serve(batch []*waiter, now time.Duration) bool {
	left := false
	for _, w := range batch {
		if !slices.Contains(a.waiting, w) {
			continue
		}
		w.hold = a.state.Reserve(w.tokens, now)
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
func (a *account) lack(batch []*waiter, now time.Duration) (aflimit.Amount, int64) {
	n := int64(0)
	for _, w := range batch {
		if slices.Contains(a.waiting, w) {
			n = min(n+w.tokens, a.burst)
		}
	}
	if n == 0 {
		return 0, 0
	}
	return a.state.Lack(n, now)
}

type pendingAsk struct {
	vm      string
	message aflimit.Borrow
}

// ask requests loans from the VMs in parallel, each for the missing amount divided by split, and serves the batch as
// answers arrive. It returns when all have answered or the batch is served, with the VMs that hold the lenders' loans.
func (s *Service) ask(a *account, batch []*waiter, vms []string, split int) []string {
	a.mu.Lock()
	now := s.now()
	tokens, parts := a.lack(batch, now)
	if tokens <= 0 || len(vms) == 0 {
		a.mu.Unlock()
		return nil
	}
	if split > 1 {
		// A quarter more than an equal split covers lenders that cannot give their part.
		tokens = tokens/aflimit.Amount(split) + tokens/aflimit.Amount(4*split) + 1
		parts = parts/int64(split) + parts/int64(4*split) + 1
	}
	asks := make([]pendingAsk, 0, len(vms))
	for _, vm := range vms {
		asks = append(asks, pendingAsk{vm: vm, message: a.state.Ask(vm, tokens, parts, now)})
	}
	a.mu.Unlock()

	type result struct {
		hints  []string
		served bool
	}
	results := make(chan result, len(asks))
	for _, q := range asks {
		go func() {
			hints, served := s.askOne(a, batch, q)
			results <- result{hints, served}
		}()
	}
	var hints []string
	for range asks {
		r := <-results
		if r.served {
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
	m := borrowMessage{Customer: a.name, ID: q.message.ID, Parts: q.message.Parts, Tokens: int64(q.message.Tokens)}
	err := s.call(context.Background(), q.vm, KindBorrow, m, &answer)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := s.now()
	if err != nil {
		s.sendBack(a, []returnedLoan{{to: q.vm, message: a.state.Abandon(q.message)}})
		return nil, a.serve(batch, now)
	}
	if a.state.Credit(aflimit.Grant{ID: q.message.ID, Parts: answer.Parts, Tokens: aflimit.Amount(answer.Tokens)}, now) {
		s.counts.taken.Add(1)
	}
	return answer.Lent, a.serve(batch, now)
}

// lenders returns the VMs that are likely to hold base shares.
func (s *Service) lenders(a *account) []string {
	live := s.live()
	known := a.holders()
	var out []string
	for _, vm := range live {
		if vm != s.Self.VM && slices.Contains(known, vm) {
			out = append(out, vm)
		}
	}
	if len(out) > 0 {
		return out
	}
	for _, vm := range aflimit.ShareSet(a.name, live) {
		if vm != s.Self.VM {
			out = append(out, vm)
		}
	}
	return out
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
