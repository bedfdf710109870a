package afgateway

import (
	"context"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afroster"
)

const (
	// maxQuickRefusals is the number of attempts that did not run a request after which the delay before the next one grows, so that
	// one request does not use up the retries of others.
	maxQuickRefusals = 5
	// rejectedRetryDelay is the delay before the next attempt after an endpoint reported that it did not run a request
	// although it was expected to have the model loaded.
	rejectedRetryDelay = 40 * time.Millisecond
)

// waitAfterRefusal waits before the next attempt after one that did not run the request. It returns false if too little time is left
// for another attempt, and a refusal if the server refuses waiting requests meanwhile.
func (p *proxiedRequest) waitAfterRefusal(ctx context.Context, refusals int, endpoint afroster.Endpoint) (isTimeLeft bool, refusal *arbutusfork.Refusal) {
	s := p.server
	if refusals < maxQuickRefusals {
		if s.takesRequests(endpoint) {
			s.Timer.Sleep(ctx, rejectedRetryDelay)
		}
		return true, nil
	}
	left := p.maxWait()
	if p.service.Engine == nil {
		left = min(left, plainMaxWait-p.waitTime)
	}
	// Half of the time that is left, so that a request with little time gets another attempt before the end of it.
	delay := max(min(refusalDelay(refusals-maxQuickRefusals), left/2), firstFullTime)
	if delay > left {
		return false, nil
	}
	return true, p.waitForRetry(ctx, delay)
}

// refusalDelay returns the delay before an endpoint that refused a request is asked again, after n earlier delays. It doubles, since
// each refusal costs a retry of the budget.
func refusalDelay(n int) time.Duration { return min(firstFullTime<<min(n, 4), maxFullTime) }

// waitForRetry waits until the budget may allow a retry. It returns a refusal if the server refuses waiting requests meanwhile.
func (p *proxiedRequest) waitForRetry(ctx context.Context, wait time.Duration) *arbutusfork.Refusal {
	s := p.server
	over := make(chan struct{})
	// The random part keeps requests that wait for the same retry from asking at the same time.
	wait = max(wait, rejectedRetryDelay) + time.Duration(s.Random()*float64(rejectedRetryDelay))
	timer := s.Timer.CallAfter(wait, func(time.Time) { close(over) })
	defer timer.Stop()
	startedAt := s.Timer.Now()
	defer func() { p.waitTime += s.Timer.Now().Sub(startedAt) }()
	select {
	case <-over:
	case <-ctx.Done():
	case <-s.waitingRefused:
		return newRefusal(arbutusfork.CodeShuttingDown, "the server is stopping", stopRetryAfter)
	}
	return nil
}
