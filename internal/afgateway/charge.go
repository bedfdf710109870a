package afgateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afshed"
)

const (
	// noHolderRetryAfter is the Retry-After while no VM answers for the customers' limits. A new holder does so within
	// seconds, and the deputy earlier.
	noHolderRetryAfter = 500 * time.Millisecond
	// maxLimitWaiters bounds the requests of one customer that wait for units on this VM, since each holds its body. In a fleet of
	// 6 VMs, a customer at six times its usual demand has 60.
	maxLimitWaiters = 64
	// plainServiceFraction is the expected time of service of a request without a model engine, as a fraction of its target latency.
	plainServiceFraction = 0.5
)

// The results of waiting for a customer's limit.
const (
	limitWaitGranted = "granted"
	limitWaitRefused = "refused"
	limitWaitLeft    = "caller left"
	limitWaitStopped = "stopped"
)

// chargeLimit takes the cost of the request from the customer's limit. It waits for units that the request should get in time.
func (p *proxiedRequest) chargeLimit(ctx context.Context) *arbutusfork.Refusal {
	if !p.hasCustomer || p.customer.RatePerSecond <= 0 {
		return nil
	}
	s := p.server
	p.cost = 1
	if p.customer.CountsTokens {
		p.cost = p.customer.DefaultTokenCost
		if p.headers.HasTokenCounts {
			p.cost = p.headers.PromptTokens + p.headers.MaxOutputTokens
		}
	}
	s.limits.recordDemand(p.customer.Name, p.cost, s.Timer.Now())
	r := afshed.UnitRequest{Units: p.cost, IsPatient: afshed.IsPatient(p.route.TargetLatency), MaxWait: p.maxLimitWait()}
	if r.MaxWait > 0 && s.limits.addWaiter(p.customer.Name) {
		defer s.limits.removeWaiter(p.customer.Name)
		r.Ticket = rand.Uint64()
	}
	for p.limitAsks = 1; ; p.limitAsks++ {
		if p.limitAsks == afshed.MaxAsks {
			r.MaxWait = 0 // It gets no further place in the queue.
		}
		shortage, isGranted := p.askForUnits(r)
		if isGranted {
			p.chargedUnits = p.cost
		}
		// The caller may have left while another VM was asked for the units. Its request must not be sent.
		if ctx.Err() != nil {
			return p.endLimitWait(r)
		}
		if isGranted {
			p.countLimitWait(limitWaitGranted)
			return nil
		}
		wait, ok := r.Next(shortage.retryAfter, p.limitAsks)
		if !ok {
			p.countLimitWait(limitWaitRefused)
			p.detail = fmt.Sprintf("cost %d, level %.0f, rate %.0f of %d, burst %d, grant %v old", shortage.cost, shortage.level,
				shortage.unitsPerSecond, p.customer.RatePerSecond, p.customer.Burst, shortage.grantAge)
			return newRefusal(arbutusfork.CodeRateLimited, "the customer's limit is used up", min(shortage.retryAfter, maxLimitRetryAfter))
		}
		switch p.waitForUnits(ctx, wait) {
		case limitWaitLeft:
			return p.endLimitWait(r)
		case limitWaitStopped:
			p.countLimitWait(limitWaitStopped)
			return newRefusal(arbutusfork.CodeShuttingDown, "the server is stopping", stopRetryAfter)
		}
		r.MaxWait = p.maxLimitWait()
	}
}

// maxLimitWait returns how long the request may wait for units from now on.
func (p *proxiedRequest) maxLimitWait() time.Duration {
	return afshed.LimitWait(p.route.TargetLatency, p.serviceTime(), p.server.Timer.Now().Sub(p.arrivedAt), p.maxWait(), p.cost, p.customer.Burst)
}

// serviceTime returns the expected time from the send to the first event or the response.
func (p *proxiedRequest) serviceTime() time.Duration {
	if p.service.Engine != nil {
		return firstEventTime
	}
	return time.Duration(plainServiceFraction * float64(p.route.TargetLatency))
}

// askForUnits takes units from this VM's share, or from the VM that keeps the customer's bucket.
func (p *proxiedRequest) askForUnits(r afshed.UnitRequest) (limitShortage, bool) {
	s := p.server
	shortage, isGranted := s.limits.takeUnits(p.customer, p.cost, s.FractionUsableWithoutGrants()/float64(max(s.ListedVMCount(), 1)), s.Timer.Now())
	if s.SpendBeyondGrant == nil {
		return shortage, isGranted
	}
	if isGranted {
		if r.Ticket != 0 && p.limitAsks > 1 {
			// An earlier ask may have got a place in the queue. The request need not wait until it is given up.
			go p.spendBeyondGrant(afshed.UnitRequest{Ticket: r.Ticket})
		}
		return shortage, true
	}
	retryAfter, isGranted := p.spendBeyondGrant(r)
	switch {
	case retryAfter > 0:
		shortage.retryAfter = retryAfter
	case shortage.unitsPerSecond <= 0:
		shortage.retryAfter = noHolderRetryAfter
	}
	return shortage, isGranted
}

// spendBeyondGrant calls SpendBeyondGrant within the time that the request has left.
func (p *proxiedRequest) spendBeyondGrant(r afshed.UnitRequest) (time.Duration, bool) {
	ctx, cancel := p.server.Timer.WithTimeout(context.Background(), max(p.timeLeft(), 0))
	defer cancel()
	return p.server.SpendBeyondGrant(ctx, p.customer.Name, r)
}

// waitForUnits waits until the request asks for units again. It returns the result of a wait that ends before, or an empty string.
func (p *proxiedRequest) waitForUnits(ctx context.Context, wait time.Duration) string {
	s := p.server
	over := make(chan struct{})
	timer := s.Timer.CallAfter(wait, func(time.Time) { close(over) })
	defer timer.Stop()
	startedAt := s.Timer.Now()
	defer func() { p.limitWait += s.Timer.Now().Sub(startedAt) }()
	select {
	case <-over:
		return ""
	case <-ctx.Done():
		return limitWaitLeft
	case <-s.waitingRefused:
		return limitWaitStopped
	}
}

// endLimitWait ends a request whose caller has left. It gives up the place in the queue, so that no units are kept for it. If the
// message is lost, the place ends shortly after its time.
func (p *proxiedRequest) endLimitWait(r afshed.UnitRequest) *arbutusfork.Refusal {
	if p.chargedUnits == 0 && r.Ticket != 0 && p.server.SpendBeyondGrant != nil {
		p.spendBeyondGrant(afshed.UnitRequest{Ticket: r.Ticket})
	}
	p.countLimitWait(limitWaitLeft)
	return p.endAfterDisconnect(false)
}

// countLimitWait counts a request that has waited for units.
func (p *proxiedRequest) countLimitWait(result string) {
	if m := p.server.Metrics; m.limitWaits != nil && p.limitWait > 0 {
		m.limitWaits.WithLabelValues(result).Inc()
	}
}

// addWaiter reserves a place among the requests of a customer that may wait for units on this VM.
func (l *customerLimits) addWaiter(customer string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waiters[customer] >= maxLimitWaiters {
		return false
	}
	l.waiters[customer]++
	return true
}

// removeWaiter frees the place of a request that addWaiter reserved.
func (l *customerLimits) removeWaiter(customer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waiters[customer]--; l.waiters[customer] <= 0 {
		delete(l.waiters, customer)
	}
}
