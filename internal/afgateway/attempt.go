package afgateway

import (
	"context"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afroster"
)

const (
	// maxTotalAttempts bounds the attempts of one request, including those that did not run it.
	maxTotalAttempts = 5
	// rejectedRetryDelay is the delay before the next attempt after an endpoint reported that it did not run a request
	// although it was expected to have the model loaded.
	rejectedRetryDelay = 40 * time.Millisecond
	// busyRetryAfter is the Retry-After if every endpoint is full.
	busyRetryAfter = 500 * time.Millisecond
	// loadRetryAfter is the Retry-After if a model was not loaded in time and the time of its loading is unknown.
	loadRetryAfter = time.Second
)

// attemptResult is the result of one attempt, which is the sending of a request to one endpoint.
type attemptResult struct {
	// responseEnded means that the response to the caller was completed or visibly broken.
	responseEnded bool
	// notRun means that the endpoint cannot have run the request or reported that it did not.
	notRun bool
	// timedOut means that the attempt ended because the endpoint sent nothing for too long.
	timedOut bool
	// replacement is the endpoint that takes the place of one that timed out, or nil.
	replacement *replacement
	// brokenOff means that the endpoint ended the connection before its answer was complete.
	brokenOff bool
	// progress is how far the endpoint's answer had come.
	progress answerProgress
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
	excluded := map[string]bool{}
	cause := ""
	hasRetry := false     // hasRetry means that a retry of the budget was taken for the next attempt.
	var next *replacement // next is the endpoint that took the place of a silent one.
	for {
		endpoint, refusal := p.nextEndpoint(ctx, next, excluded)
		isReplacement := next != nil
		hasRetry, next = hasRetry || isReplacement, nil
		if refusal != nil {
			if ctx.Err() != nil {
				return p.endCancelled(ctx)
			}
			return p.refuseWithoutEndpoint(refusal, cause)
		}
		if ctx.Err() != nil {
			endpoint.request.End(afroster.HealthUnaffected)
			return p.endCancelled(ctx)
		}
		switch p.waitForSlot(ctx, endpoint.Endpoint) {
		case slotAborted:
			endpoint.request.End(afroster.HealthUnaffected)
			return p.endCancelled(ctx)
		case slotDenied:
			endpoint.request.End(afroster.HealthUnaffected)
			if isReplacement {
				// The silent endpoint is better than none.
				p.avoidedEndpoint = endpoint.ID
				excluded[endpoint.ID] = true
			}
			if p.slotDenials++; p.slotDenials >= maxSlotDenials || p.maxWait() <= 0 {
				return p.refuseWithoutEndpoint(p.refuseWithoutSlot(endpoint.Endpoint), cause)
			}
			continue
		case slotTaken:
		}
		// The prompt may have been quarantined during the waits above.
		if refusal := p.refuseQuarantined(); refusal != nil {
			endpoint.request.End(afroster.HealthUnaffected)
			return p.refuseWithoutEndpoint(refusal, cause)
		}
		// The process may end soon after the waits above.
		if refusal := p.refuseBeforeStop(); refusal != nil {
			endpoint.request.End(afroster.HealthUnaffected)
			return refusal
		}
		// The endpoint may have said during the waits above that it leaves or wants a pause.
		if !s.takesRequests(endpoint.Endpoint) {
			endpoint.request.End(afroster.HealthUnaffected)
			continue
		}
		if p.attempts > 0 && !hasRetry && !s.takeRetry(p.service.Name) {
			endpoint.request.End(afroster.HealthUnaffected)
			return p.refuseWithoutEndpoint(newRefusal(arbutusfork.CodeNoCapacity, "the budget for repeats is used up", busyRetryAfter), cause)
		}
		p.attempts++
		hasRetry = false
		p.lastEndpoint = endpoint.ID
		result := p.attemptEndpoint(ctx, endpoint, excluded)
		switch {
		case result.responseEnded:
			return nil
		case ctx.Err() != nil:
			result.replacement.release()
			return p.endCancelled(ctx)
		}
		cause = result.cause
		s.Log.Info("attempt failed", "request", p.headers.RequestID, "endpoint", endpoint.ID, "attempt", p.attempts, "cause", result.cause,
			"not_run", result.notRun, "progress", result.progress.String(), "events", p.relayedEvents, "parts", formatSharedParts(p.headers), "left", p.timeLeft())
		s.Metrics.countFailedAttempt(result)
		if !result.notRun {
			p.possibleRuns++
		}
		if result.brokenOff {
			p.checkCrash(endpoint.Endpoint, result.progress)
			if result.progress.isBeginning() {
				p.breaksAtBegin++
			}
		}
		if !p.mayRetry(result) {
			result.replacement.release()
			return p.refuseAfterAttempt(result)
		}
		next = result.replacement
		excluded[endpoint.ID] = true
		p.avoidedEndpoint = ""
		if result.notRun || result.timedOut {
			p.avoidedEndpoint = endpoint.ID
		}
		if result.timedOut {
			if p.timedOutEndpoints == nil {
				p.timedOutEndpoints = map[string]bool{}
			}
			p.timedOutEndpoints[endpoint.ID] = true
		}
		if result.notRun && s.takesRequests(endpoint.Endpoint) {
			s.Timer.Sleep(ctx, rejectedRetryDelay)
		}
	}
}

// nextEndpoint returns the endpoint that took the place of a silent one, or waits for an endpoint.
func (p *proxiedRequest) nextEndpoint(ctx context.Context, next *replacement, excluded map[string]bool) (acquiredEndpoint, *arbutusfork.Refusal) {
	if next != nil {
		return next.endpoint, nil
	}
	return p.acquireEndpoint(ctx, excluded)
}

// mayRetry reports whether the request may be sent to another endpoint after an attempt.
func (p *proxiedRequest) mayRetry(result attemptResult) bool {
	if p.relayedEvents > 0 && !p.position.canBeContinued() {
		return false
	}
	if p.isRelayingLong || p.attempts >= maxTotalAttempts || p.breaksAtBegin >= maxBreaksAtBegin || p.timeLeft() <= 0 {
		return false
	}
	return result.notRun && p.possibleRuns == 0 || p.route.IsRepeatable() && p.possibleRuns < p.route.MaxAttempts
}

// refuseAfterAttempt returns the refusal of a request that may not be retried, or nil after it sent the response with a
// server error that was kept for the caller.
func (p *proxiedRequest) refuseAfterAttempt(result attemptResult) *arbutusfork.Refusal {
	if p.possibleRuns == 0 && !p.responseStarted {
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
	return arbutusfork.NewRefusal(code, "the endpoint gave no whole answer: "+cause).WithOutcome(arbutusfork.OutcomeUnknown)
}

// refuseWithoutEndpoint ends a request for which no endpoint is available. It returns the given refusal if the request
// has not run.
func (p *proxiedRequest) refuseWithoutEndpoint(refusal *arbutusfork.Refusal, cause string) *arbutusfork.Refusal {
	if p.possibleRuns == 0 {
		return refusal
	}
	return p.endWithUnknownOutcome(cause + "; " + refusal.Message)
}

// endCancelled returns the refusal of a request whose context was cancelled because the caller disconnected or the
// process stops.
func (p *proxiedRequest) endCancelled(ctx context.Context) *arbutusfork.Refusal {
	if !errors.Is(context.Cause(ctx), errStopping) {
		return p.endAfterDisconnect()
	}
	if p.attempts == 0 {
		return newRefusal(arbutusfork.CodeShuttingDown, errStopping.Error(), stopRetryAfter)
	}
	return p.endWithUnknownOutcome(errStopping.Error())
}

// endAfterDisconnect returns the refusal of a request whose caller disconnected. It only records the outcome.
func (p *proxiedRequest) endAfterDisconnect() *arbutusfork.Refusal {
	p.breakResponse("caller disconnected")
	outcome := arbutusfork.OutcomeNotRun
	if p.attempts > 0 {
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

// acquireEndpoint waits for an endpoint that can serve the request.
func (p *proxiedRequest) acquireEndpoint(ctx context.Context, excluded map[string]bool) (acquiredEndpoint, *arbutusfork.Refusal) {
	s := p.server
	startedAt := s.Timer.Now()
	waiting := &waitingRequest{
		service: p.service.Name, model: p.headers.Model, adapter: p.headers.Adapter, priority: p.priority, arrivedAt: p.arrivedAt, targetLatency: p.route.TargetLatency,
		acquired:     make(chan acquiredEndpoint, 1),
		pickEndpoint: func() (acquiredEndpoint, bool) { return p.pickEndpoint(excluded) },
		isUnservable: func() bool {
			if p.refuseQuarantined() != nil || p.refusePaused() != nil {
				return true
			}
			loadedAt, ok := s.loadDelays.loadedAt(p.headers.Model)
			return ok && loadedAt.Sub(s.Timer.Now()) > p.maxWait() && !s.isModelLoaded(p.service.Name, p.headers.Model, "")
		},
		unservable: make(chan struct{}),
	}
	if e, ok := s.queue.acquireOrAdd(waiting); ok {
		return e, nil
	}
	if waiting.isUnservable() {
		if e, ok := s.queue.remove(waiting); ok {
			return e, nil
		}
		return acquiredEndpoint{}, p.refuseUnservable()
	}
	defer func() { p.waitTime += s.Timer.Now().Sub(startedAt) }()
	s.Log.Debug("request waits", "request", p.headers.RequestID, "model", p.headers.Model, "adapter", p.headers.Adapter)
	if s.OnRequestWaiting != nil {
		s.OnRequestWaiting()
	}
	maxWaitOver := make(chan struct{})
	timer := s.Timer.CallAfter(p.maxWait(), func(time.Time) { close(maxWaitOver) })
	defer timer.Stop()
	select {
	case e := <-waiting.acquired:
		return e, nil
	case <-ctx.Done():
	case <-maxWaitOver:
	case <-waiting.unservable:
		return acquiredEndpoint{}, p.refuseUnservable()
	case <-s.waitingRefused:
		if e, ok := s.queue.remove(waiting); ok {
			return e, nil
		}
		return acquiredEndpoint{}, newRefusal(arbutusfork.CodeShuttingDown, "the server is stopping", stopRetryAfter)
	}
	if e, ok := s.queue.remove(waiting); ok {
		return e, nil
	}
	if p.service.Engine != nil && !s.isModelLoaded(p.service.Name, p.headers.Model, p.headers.Adapter) {
		return acquiredEndpoint{}, p.refuseModelNotReady()
	}
	return acquiredEndpoint{}, newRefusal(arbutusfork.CodeNoCapacity, "every endpoint is full or unusable", busyRetryAfter)
}

// plainMaxWait bounds the wait for an endpoint of a service without model engines, whose callers disconnect after about
// a second.
const plainMaxWait = 500 * time.Millisecond

// maxWait returns how long the request may wait for an endpoint.
func (p *proxiedRequest) maxWait() time.Duration {
	wait := max(p.timeLeft(), 0)
	if p.service.Engine == nil {
		return min(wait, plainMaxWait)
	}
	if p.route.CallerEventTimeout > 0 && !p.responseStarted {
		// Callers disconnect if the first event is late, and the engine needs firstEventTime to send it.
		wait = min(wait, max(p.route.CallerEventTimeout-firstEventTime-p.server.Timer.Now().Sub(p.arrivedAt), 0))
	}
	return wait
}

const (
	// firstEventTime is the time that an engine needs for the first event of an average request while it reads other
	// prompts.
	firstEventTime = 400 * time.Millisecond
	// maxLoadRetryAfter bounds the Retry-After of a model that waits for the weight store. The order of the models that
	// wait may change within the time of one load, which is about as long.
	maxLoadRetryAfter = 6 * time.Second
	// retryAfterSpread is the range of the random part of the Retry-After of requests for a model that is being loaded.
	retryAfterSpread = 800 * time.Millisecond
)

// refuseUnservable returns the refusal of a request that cannot be served in time.
func (p *proxiedRequest) refuseUnservable() *arbutusfork.Refusal {
	if refusal := p.refuseQuarantined(); refusal != nil {
		return refusal
	}
	if refusal := p.refusePaused(); refusal != nil {
		return refusal
	}
	return p.refuseModelNotReady()
}

// refuseModelNotReady returns the refusal of a request whose model is not loaded in time. Its Retry-After is the
// expected time until the model is loaded.
func (p *proxiedRequest) refuseModelNotReady() *arbutusfork.Refusal {
	retryAfter := loadRetryAfter
	if loadedAt, ok := p.server.loadDelays.loadedAt(p.headers.Model); ok {
		// The random part keeps callers from retrying at the same time and waiting for each other.
		retryAfter = min(max(loadedAt.Sub(p.server.Timer.Now()), 0), maxLoadRetryAfter) + rejectedRetryDelay + time.Duration(p.server.Random()*float64(retryAfterSpread))
	}
	return newRefusal(arbutusfork.CodeNoCapacity, "model "+strconv.Quote(p.headers.Model)+" is not ready in time", retryAfter)
}

// sendError is the error of an attempt that failed before the head of a response arrived.
type sendError struct {
	// requestWritten means that bytes of the request may have reached the endpoint.
	requestWritten bool
	err            error
}

func (e *sendError) Error() string { return e.err.Error() }

// mayHaveReachedEndpoint reports whether the request of an attempt that failed with err may have reached the endpoint.
func mayHaveReachedEndpoint(err error) bool {
	e, ok := errors.Into[*sendError](err)
	return !ok || e.requestWritten
}
