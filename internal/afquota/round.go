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
	// minRoundPause is the pause after the first round that left a request unserved. The pauses limit the messages
	// for a customer that exceeds its rate to a few per second and VM.
	minRoundPause = 20 * time.Millisecond
	// maxRoundPause bounds the pause, which doubles with each round that leaves a request unserved.
	maxRoundPause = 320 * time.Millisecond
	// meanRoundInterval is the minimum mean time between rounds of a customer on one VM. Without it, VMs that all
	// lack tokens would keep lending the same few tokens to each other.
	meanRoundInterval = 250 * time.Millisecond
	// maxRoundBurst is the number of rounds that may follow each other without that interval.
	maxRoundBurst = 20
	// newCustomerWaitTimeout is how long after a VM first uses a customer its requests wait for tokens instead of
	// being refused. In that time the share record is read, and for a new customer written by up to 8 VMs, one after
	// the other.
	newCustomerWaitTimeout = 3 * time.Second
	// newCustomerRoundPause is the pause between the rounds in that time.
	newCustomerRoundPause = 50 * time.Millisecond
	// maxWaiters bounds the number of requests of one customer that wait for loans.
	maxWaiters = 4096
)

// waiter is a request that waits for a round of loan requests.
type waiter struct {
	tokens int64
	// reservation is the result. It is nil for a refusal.
	reservation *aflimit.Reservation
	// retryAfter is the delay returned with a refusal.
	retryAfter time.Duration
	// failedRounds counts the rounds that did not serve the request.
	failedRounds int
	// done is closed when the request has been admitted or refused.
	done chan struct{}
}

// reserveWithLoans queues the request for the next round of loan requests and waits for its outcome.
func (s *Service) reserveWithLoans(ctx context.Context, a *account, tokens int64) (*Reservation, *arbutusfork.Refusal) {
	w := &waiter{tokens: tokens, done: make(chan struct{})}
	a.mu.Lock()
	if len(a.waiters) >= maxWaiters {
		retryAfter := a.limiter.RefillDelay(tokens, s.now())
		a.mu.Unlock()
		return nil, s.refuseLimited(retryAfter)
	}
	a.waiters = append(a.waiters, w)
	mustStart := !a.runsRounds
	a.runsRounds = true
	a.mu.Unlock()
	if mustStart {
		s.startAsync(func() { s.runLoanRounds(a) })
	}
	select {
	case <-w.done:
	case <-ctx.Done():
		a.mu.Lock()
		a.waiters = slices.DeleteFunc(a.waiters, func(x *waiter) bool { return x == w })
		if w.reservation != nil {
			a.limiter.SettleReservation(w.reservation, 0, s.now())
		}
		a.mu.Unlock()
		s.counters.requestsRefused.Add(1)
		return nil, arbutusfork.NewRefusal(arbutusfork.CodeDeadlineExceeded, "the deadline passed while waiting for tokens")
	}
	if w.reservation == nil {
		return nil, s.refuseLimited(w.retryAfter)
	}
	s.counters.requestsAdmitted.Add(1)
	return &Reservation{service: s, account: a, reservation: w.reservation}, nil
}

// refuseLimited counts and returns a refusal because the customer's limit is exceeded.
func (s *Service) refuseLimited(retryAfter time.Duration) *arbutusfork.Refusal {
	s.counters.requestsRefused.Add(1)
	return arbutusfork.NewRefusal(arbutusfork.CodeRateLimited, "the customer's rate is used up").WithRetryAfter(retryAfter)
}

// runLoanRounds carries out rounds of loan requests until no request waits.
func (s *Service) runLoanRounds(a *account) {
	for {
		a.mu.Lock()
		delay := a.nextRoundAt - s.now()
		if len(a.waiters) == 0 {
			a.runsRounds = false
			a.mu.Unlock()
			return
		}
		a.mu.Unlock()
		if delay > 0 {
			s.sleepFor(delay)
		}
		s.runLoanRound(a)
	}
}

// runLoanRound serves the requests that wait now. It first asks the likely lenders, each for its proportion of the
// missing tokens, and then asks all lenders and the borrowers of their shares for the rest.
func (s *Service) runLoanRound(a *account) {
	a.mu.Lock()
	batch := slices.Clone(a.waiters)
	now := s.now()
	sendsNoRequests := a.serveWaiters(batch, now) || now < a.nextRoundAt
	a.mu.Unlock()
	if !sendsNoRequests {
		s.counters.loanRounds.Add(1)
		lenders := s.lenderVMs(a)
		likely := s.likelyLenders(a, lenders, batch, now)
		loanHolders := s.requestLoans(a, batch, likely, len(likely))
		s.requestLoans(a, batch, append(lenders, loanHolders...), 1)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now = s.now()
	allServed := a.serveWaiters(batch, now)
	isNewCustomer := !allServed && now-a.createdAt < newCustomerWaitTimeout
	switch {
	case isNewCustomer:
		// These few rounds do not count towards meanRoundInterval. Otherwise later requests would have to wait for the
		// time that these rounds use up.
		a.nextRoundAt = now + newCustomerRoundPause
		trySignal(s.wakeRecords)
	case !sendsNoRequests:
		a.scheduleNextRound(allServed, now)
	}
	if allServed {
		return
	}
	for _, w := range batch {
		if w.failedRounds++; isNewCustomer && w.failedRounds < int(newCustomerWaitTimeout/newCustomerRoundPause) {
			continue
		}
		if a.removeWaiter(w) {
			w.retryAfter = a.limiter.RefillDelay(w.tokens, now)
			a.limiter.RecordRefusedDemand(w.tokens, now)
			close(w.done)
		}
	}
}

// borrowRateAhead borrows rate before requests need it.
func (s *Service) borrowRateAhead(a *account) {
	s.counters.loanRounds.Add(1)
	lenders := s.lenderVMs(a)
	s.requestLoans(a, nil, lenders, len(lenders))
	a.mu.Lock()
	defer a.mu.Unlock()
	a.scheduleNextRound(true, s.now())
}

// likelyLenders returns the lenders that together should have the tokens that the batch lacks, if each lends up to a
// quarter of its burst. The first one is the VM that granted all the requested tokens last time. If there is none,
// the first one depends on this VM's name, so that VMs start with different lenders.
func (s *Service) likelyLenders(a *account, lenders []string, batch []*waiter, now time.Duration) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	tokens, parts := a.batchNeed(batch, now)
	quarter := max(1, aflimit.TotalParts/int64(4*(len(lenders)+1)))
	n := 1 + max(a.limiter.Limit().PartsForBurst(tokens), parts.Rate)/quarter
	if n >= int64(len(lenders)) {
		return lenders
	}
	start := slices.Index(lenders, a.preferredLender)
	if start < 0 {
		start = int(xxhash.Sum64String(s.Self.VM+a.name) % uint64(len(lenders)))
	}
	return append(slices.Clone(lenders[start:]), lenders[:start]...)[:n]
}

// scheduleNextRound sets when the next round may start. The caller holds mu.
func (a *account) scheduleNextRound(allServed bool, now time.Duration) {
	if allServed {
		a.roundPause = 0
	} else {
		a.roundPause = min(max(minRoundPause, 2*a.roundPause), maxRoundPause)
	}
	a.budgetUsedUntil = max(a.budgetUsedUntil, now-maxRoundBurst*meanRoundInterval) + meanRoundInterval
	a.nextRoundAt = max(now+a.roundPause, a.budgetUsedUntil)
}

// serveWaiters reserves tokens for the waiting requests of the batch, in order, and skips those for which there are
// too few. It reports whether all were served. The caller holds mu.
func (a *account) serveWaiters(batch []*waiter, now time.Duration) bool {
	someUnserved := false
	for _, w := range batch {
		if !slices.Contains(a.waiters, w) {
			continue
		}
		w.reservation = a.limiter.ReserveTokens(w.tokens, now)
		if w.reservation == nil {
			someUnserved = true
			continue
		}
		a.removeWaiter(w)
		close(w.done)
	}
	return !someUnserved
}

// removeWaiter removes a request from the waiting ones and reports whether it was waiting. The caller holds mu.
func (a *account) removeWaiter(w *waiter) bool {
	i := slices.Index(a.waiters, w)
	if i < 0 {
		return false
	}
	a.waiters = slices.Delete(a.waiters, i, i+1)
	return true
}

// batchNeed returns the tokens and parts that the batch lacks. The caller holds mu.
func (a *account) batchNeed(batch []*waiter, now time.Duration) (aflimit.Amount, aflimit.Parts) {
	n := int64(0)
	for _, w := range batch {
		if slices.Contains(a.waiters, w) {
			n = min(n+w.tokens, a.burst)
		}
	}
	if n == 0 {
		return 0, aflimit.Parts{}
	}
	return a.limiter.BorrowNeed(n, now)
}

// pendingRequest is a loan request to be sent.
type pendingRequest struct {
	lender  string
	request aflimit.LoanRequest
}

// requestLoans sends loan requests to the lenders in parallel, each for the missing amount divided by split, and
// serves the batch as grants arrive. It returns when all lenders have answered or the batch is served. The result is
// the VMs that have borrowed from those lenders and were not asked. A nil batch borrows for the recent demand only.
func (s *Service) requestLoans(a *account, batch []*waiter, lenders []string, split int) []string {
	a.mu.Lock()
	now := s.now()
	tokens, parts := a.batchNeed(batch, now)
	if batch == nil {
		tokens, parts = a.limiter.BorrowNeed(0, now)
	}
	if tokens <= 0 && batch != nil || len(lenders) == 0 {
		a.mu.Unlock()
		return nil
	}
	if split > 1 {
		// A quarter is added because some lenders cannot lend their proportion.
		n := int64(split)
		tokens = tokens/aflimit.Amount(n) + tokens/aflimit.Amount(4*n) + 1
		parts = aflimit.Parts{Rate: parts.Rate/n + parts.Rate/(4*n) + 1, Burst: parts.Burst/n + parts.Burst/(4*n) + 1}
	}
	requests := make([]pendingRequest, 0, len(lenders))
	for _, vm := range lenders {
		requests = append(requests, pendingRequest{lender: vm, request: a.limiter.RequestLoan(vm, tokens, parts, now)})
	}
	a.mu.Unlock()

	type result struct {
		loanHolders []string
		allServed   bool
	}
	results := make(chan result, len(requests))
	for _, p := range requests {
		s.startAsync(func() {
			loanHolders, allServed := s.requestLoan(a, batch, p)
			results <- result{loanHolders, allServed}
		})
	}
	var loanHolders []string
	for range requests {
		r := <-results
		if r.allServed && batch != nil {
			return nil
		}
		for _, vm := range r.loanHolders {
			if vm != s.Self.VM && !slices.Contains(lenders, vm) && !slices.Contains(loanHolders, vm) {
				loanHolders = append(loanHolders, vm)
			}
		}
	}
	return loanHolders
}

// requestLoan sends a loan request to one VM and applies its answer. It returns the VMs that have borrowed from the
// lender, and reports whether the batch is served.
func (s *Service) requestLoan(a *account, batch []*waiter, p pendingRequest) ([]string, bool) {
	var answer grantMessage
	err := s.callWithTimeout(context.Background(), p.lender, KindBorrow, newBorrowMessage(a.name, p.request), &answer)
	a.mu.Lock()
	now := s.now()
	if err != nil {
		returns := []pendingReturn{{lender: p.lender, loanReturn: a.limiter.AbandonRequest(p.request)}}
		allServed := a.serveWaiters(batch, now)
		a.mu.Unlock()
		s.sendReturns(a, returns)
		return nil, allServed
	}
	defer a.mu.Unlock()
	if a.limiter.CreditGrant(answer.loanGrant(p.request.ID), now) {
		s.counters.loansTaken.Add(1)
	}
	if answer.Tokens >= int64(p.request.Tokens) {
		a.preferredLender = p.lender
	}
	return answer.BorrowerVMs, a.serveWaiters(batch, now)
}

// lenderVMs returns the VMs that are likely to hold base shares: the share set for the current membership, and the
// holders in the cached record, which may be outdated.
func (s *Service) lenderVMs(a *account) []string {
	liveVMs := s.liveVMs()
	out := aflimit.ShareSet(a.name, liveVMs)
	for _, vm := range a.recordHolders() {
		if slices.Contains(liveVMs, vm) && !slices.Contains(out, vm) {
			out = append(out, vm)
		}
	}
	return slices.DeleteFunc(out, func(vm string) bool { return vm == s.Self.VM })
}

// liveVMs returns the names of the live members, without those that are leaving.
func (s *Service) liveVMs() []string {
	var out []string
	for _, vm := range s.LiveVMs() {
		if vm.State == arbutusfork.VMLive {
			out = append(out, vm.Name)
		}
	}
	return out
}
