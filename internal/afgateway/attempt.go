package afgateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afroster"
)

const (
	// maxTotalAttempts bounds the attempts of one request without those that did not run it.
	maxTotalAttempts = 5
	// busyRetryAfter is the Retry-After if every endpoint is full.
	busyRetryAfter = 500 * time.Millisecond
	// maxBudgetRetryAfter bounds the Retry-After if the budget for repeats is used up. Other VMs may have repeats left.
	maxBudgetRetryAfter = 2 * time.Second
	// loadRetryAfter is the Retry-After if a model was not loaded in time and the time of its loading is unknown.
	loadRetryAfter = time.Second
)

// attemptResult is the result of one attempt, which is the sending of a request to one endpoint.
type attemptResult struct {
	// responseEnded means that the response to the caller was completed or visibly broken.
	responseEnded bool
	// notRun means that the endpoint cannot have run the request or reported that it did not.
	notRun bool
	// brokenOff means that the endpoint ended the connection before its answer was complete.
	brokenOff bool
	// progress is how far the endpoint's answer had come.
	progress answerProgress
	// serverError is a response with a server error, which the caller gets if no other endpoint answers.
	serverError *bufferedResponse
	// breakCause is why the answer was not completed.
	breakCause breakCause
	// cause is the cause of a failed attempt.
	cause string
}

// runAttempts sends the request to endpoints until one has answered it or no further attempt is allowed.
func (p *proxiedRequest) runAttempts(ctx context.Context) *arbutusfork.Refusal {
	s := p.server
	s.countForRetryBudget(p.service.Name)
	if p.service.Engine != nil {
		s.demandRates.recordRequest(p.headers.Model, p.headers.Adapter, p.headers.PromptTokens, p.arrivedAt)
	}
	p.timeoutSpread = maxTimeoutSpread * s.Random()
	o := newAttemptOwner(ctx, p)
	defer func() {
		o.end()
		p.sends = o.sends // No other goroutine uses the owner any more.
	}()
	for {
		endpoint, isTaken, refusal := p.takeEndpoint(ctx, o)
		if !isTaken {
			return refusal
		}
		a := o.begin(endpoint)
		result := p.runFirst(o, a)
		for !result.responseEnded {
			if ctx.Err() != nil {
				if result.notRun {
					o.fail(a, result)
				}
				return p.endCancelled(ctx, o)
			}
			o.fail(a, result)
			next := o.await()
			if next == nil {
				break
			}
			a = next.liveAttempt
			result = p.relayAnswer(o, a, next.answer)
		}
		if result.responseEnded {
			return nil
		}
		if ctx.Err() != nil {
			return p.endCancelled(ctx, o)
		}
		_, _, _, result = o.snapshot()
		p.breakCause = result.breakCause
		if !p.mayRetry(o, result) {
			return p.refuseAfterAttempt(o, result)
		}
		if result.notRun {
			isTimeLeft, refusal := p.waitAfterRefusal(ctx, o.refusalCount(), endpoint.Endpoint)
			if refusal != nil {
				return p.refuseWithoutEndpoint(o, refusal, result.cause)
			}
			if !isTimeLeft {
				return p.refuseAfterAttempt(o, result)
			}
		}
	}
}

// takeEndpoint waits for an endpoint and for what else an attempt needs: a slot, if the endpoint named a limit, and a retry of the
// budget, unless it is the first attempt. It returns false if the request has ended: with the refusal, or without one after it sent
// the response with a server error that was kept for the caller.
func (p *proxiedRequest) takeEndpoint(ctx context.Context, o *attemptOwner) (acquiredEndpoint, bool, *arbutusfork.Refusal) {
	s := p.server
	sends, possibleRuns, _, failure := o.snapshot()
	refuse := func(refusal *arbutusfork.Refusal) (acquiredEndpoint, bool, *arbutusfork.Refusal) {
		if ctx.Err() != nil {
			return acquiredEndpoint{}, false, p.endCancelled(ctx, o)
		}
		return acquiredEndpoint{}, false, p.refuseWithoutEndpoint(o, refusal, failure.cause)
	}
	excluded := o.excludedEndpoints()
	for {
		endpoint, refusal := p.acquireEndpoint(ctx, excluded)
		if refusal != nil {
			return refuse(refusal)
		}
		giveUp := func() { endpoint.request.End(afroster.HealthUnaffected) }
		if ctx.Err() != nil {
			giveUp()
			return refuse(nil)
		}
		// A slot cannot be given back, so that the budget is asked first.
		retryAt := s.Timer.Now()
		if sends > 0 && !s.takeRetry(p.service.Name, retryAt) {
			giveUp()
			wait := s.timeUntilRetry(p.service.Name)
			if possibleRuns > 0 || wait > p.maxWait() {
				return refuse(newRefusal(arbutusfork.CodeNoCapacity, "the budget for repeats is used up", max(min(wait, maxBudgetRetryAfter), busyRetryAfter)))
			}
			if refusal := p.waitForRetry(ctx, wait); refusal != nil || ctx.Err() != nil {
				return refuse(refusal)
			}
			continue
		}
		giveUp = func() {
			endpoint.request.End(afroster.HealthUnaffected)
			if sends > 0 {
				s.returnRetry(p.service.Name, retryAt)
			}
		}
		// The slots of a paced endpoint bound its requests only if each is sent soon after its slot, but a start may be ahead.
		isPaced, isStarted := s.needsSlot(endpoint.Endpoint), true
		if isPaced {
			isStarted = p.waitForStart(ctx, endpoint.Endpoint)
		}
		if !isStarted {
			giveUp()
			if ctx.Err() != nil {
				return refuse(nil)
			}
			continue
		}
		result, wait := p.waitForSlot(ctx, endpoint.Endpoint, p.maxWait())
		p.waitTime += wait
		switch result {
		case slotAborted:
			giveUp()
			return refuse(nil)
		case slotDenied:
			giveUp()
			if isPaced && p.maxWait() > 0 {
				continue // The endpoint is closed for a while, and another one may have room.
			}
			if p.slotDenials++; p.slotDenials >= maxSlotDenials || p.maxWait() <= 0 {
				return refuse(p.refuseWithoutSlot(endpoint.Endpoint))
			}
			continue
		case slotTaken:
		}
		if !isPaced {
			isStarted = p.waitForStart(ctx, endpoint.Endpoint)
		}
		if !isStarted {
			giveUp()
			if ctx.Err() != nil {
				return refuse(nil)
			}
			continue
		}
		// The prompt may have been quarantined during the waits above.
		if refusal := p.refuseQuarantined(); refusal != nil {
			giveUp()
			return refuse(refusal)
		}
		// The process may end soon after the waits above.
		if refusal := p.refuseBeforeStop(); refusal != nil && possibleRuns == 0 {
			giveUp()
			return refuse(refusal)
		}
		// During the waits above the endpoint may have said that it leaves or wants a pause, or its data centre was evacuated.
		if !s.takesRequests(endpoint.Endpoint) {
			giveUp()
			continue
		}
		return endpoint, true, nil
	}
}

// mayRetry reports whether the request may be sent to another endpoint after an attempt.
func (p *proxiedRequest) mayRetry(o *attemptOwner, result attemptResult) bool {
	_, possibleRuns, breaksAtBegin, _ := o.snapshot()
	if p.position.events > 0 && !p.position.canBeContinued() {
		return false
	}
	if p.isRelayingLong || !o.hasAttemptLeft() || breaksAtBegin >= maxBreaksAtBegin || p.timeLeft() <= 0 {
		return false
	}
	return result.notRun && possibleRuns == 0 || p.route.IsRepeatable() && possibleRuns < p.route.MaxAttempts
}

// refuseAfterAttempt returns the refusal of a request that may not be retried, or nil after it sent the response with a
// server error that was kept for the caller.
func (p *proxiedRequest) refuseAfterAttempt(o *attemptOwner, result attemptResult) *arbutusfork.Refusal {
	if _, possibleRuns, _, _ := o.snapshot(); possibleRuns == 0 && !p.responseStarted {
		return newRefusal(arbutusfork.CodeNoCapacity, "no endpoint took the request: "+result.cause, busyRetryAfter)
	}
	return p.endWithUnknownOutcome(result.cause)
}

// endWithUnknownOutcome ends a request that may have run. It breaks a response that was started, and returns a refusal
// with the unknown outcome. If a response with a server error was kept, it sends this response and returns nil.
func (p *proxiedRequest) endWithUnknownOutcome(cause string) *arbutusfork.Refusal {
	if p.responseStarted {
		p.breakResponse(cause)
	} else if p.endpointError != nil {
		p.writeResponse(*p.endpointError)
		return nil
	}
	code := arbutusfork.CodeEndpointFailed
	if p.timeLeft() <= 0 {
		code = arbutusfork.CodeDeadlineExceeded
	}
	return arbutusfork.NewRefusal(code, "the endpoint gave no usable answer: "+cause).WithOutcome(arbutusfork.OutcomeUnknown)
}

// refuseWithoutEndpoint ends a request for which no endpoint is available. It returns the given refusal if the request
// has not run.
func (p *proxiedRequest) refuseWithoutEndpoint(o *attemptOwner, refusal *arbutusfork.Refusal, cause string) *arbutusfork.Refusal {
	if _, possibleRuns, _, _ := o.snapshot(); possibleRuns == 0 {
		return refusal
	}
	return p.endWithUnknownOutcome(cause + "; " + refusal.Message)
}

// endCancelled returns the refusal of a request whose context was cancelled because the caller disconnected or the
// process stops.
func (p *proxiedRequest) endCancelled(ctx context.Context, o *attemptOwner) *arbutusfork.Refusal {
	sends, _, _, _ := o.snapshot()
	if !errors.Is(context.Cause(ctx), errStopping) {
		return p.endAfterDisconnect(sends > 0)
	}
	if !o.mayHaveRun() {
		return newRefusal(arbutusfork.CodeShuttingDown, errStopping.Error(), stopRetryAfter)
	}
	p.breakCause = breakByStop
	return p.endWithUnknownOutcome(errStopping.Error())
}

// endAfterDisconnect returns the refusal of a request whose caller disconnected. It only records the outcome.
func (p *proxiedRequest) endAfterDisconnect(wasSent bool) *arbutusfork.Refusal {
	p.breakCause = breakByCaller
	p.breakResponse("caller disconnected")
	outcome := arbutusfork.OutcomeNotRun
	if wasSent {
		outcome = arbutusfork.OutcomeUnknown
	}
	return arbutusfork.NewRefusal(arbutusfork.CodeDeadlineExceeded, "the caller left").WithOutcome(outcome)
}

// breakResponse closes the connection to the caller, so that the caller sees that the response is incomplete.
func (p *proxiedRequest) breakResponse(cause string) {
	if p.responseBroken {
		return
	}
	p.responseBroken = true
	if p.detail == "" {
		p.detail = cause
	}
	p.caller.AbortResponse()
}

// sendError is the error of an attempt that failed before the head of a response arrived.
type sendError struct {
	// requestWritten means that bytes of the request may have reached the endpoint.
	requestWritten bool
	err            error
}

func (e *sendError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *sendError) Unwrap() error { return e.err }

// mayHaveReachedEndpoint reports whether the request of an attempt that failed with err may have reached the endpoint.
func mayHaveReachedEndpoint(err error) bool {
	e, ok := errors.Into[*sendError](err)
	return !ok || e.requestWritten
}
