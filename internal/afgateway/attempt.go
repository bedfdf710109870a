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
	// maxSends bounds the endpoints that one request is offered to, those that did not run it included.
	maxSends = 5
	// rejectPause is the pause after an endpoint said that it did not run a request that it was expected to hold the
	// model for.
	rejectPause = 40 * time.Millisecond
	// busyRetry is the Retry-After when every endpoint is full.
	busyRetry = 500 * time.Millisecond
	// loadRetry is the Retry-After when a model did not become ready in time.
	loadRetry = time.Second
)

// result is how one attempt ended.
type result struct {
	// done means that the caller has its answer, whole or visibly broken.
	done bool
	// notRun means that the endpoint cannot have run the request or said that it did not.
	notRun bool
	// silent means that the endpoint was given up because it was silent.
	silent bool
	cause  string
}

// attempts offers the request to endpoints until one has answered or no further attempt is allowed.
func (j *job) attempts(ctx context.Context) *arbutusfork.Refusal {
	s := j.server
	s.countRequest(j.service.Name)
	if j.service.Engine != nil {
		s.demand.ask(j.call.Model, j.call.Adapter, j.call.PromptTokens, j.arrived)
	}
	tried := map[string]bool{}
	cause := ""
	for {
		e, refusal := j.acquire(ctx, tried)
		if refusal != nil {
			if ctx.Err() != nil {
				return j.ended(ctx)
			}
			return j.gaveUp(refusal, cause)
		}
		if ctx.Err() != nil {
			e.claim.End(afroster.HealthUnaffected)
			return j.ended(ctx)
		}
		if j.sends > 0 && !s.mayRepeat(j.service.Name) {
			e.claim.End(afroster.HealthUnaffected)
			return j.gaveUp(refuse(arbutusfork.CodeNoCapacity, "the budget for repeats is used up", busyRetry), cause)
		}
		j.sends++
		j.last = e.ID
		res := j.send(ctx, e)
		switch {
		case res.done:
			return nil
		case ctx.Err() != nil:
			return j.ended(ctx)
		}
		cause = res.cause
		s.Log.Info("attempt failed", "request", j.call.RequestID, "endpoint", e.ID, "attempt", j.sends, "cause", res.cause,
			"not_run", res.notRun, "events", j.events, "left", j.left())
		if !res.notRun {
			j.runs++
		}
		if !j.mayGoOn(res) {
			return j.stop(res)
		}
		tried[e.ID] = true
		if res.silent {
			if j.silent == nil {
				j.silent = map[string]bool{}
			}
			j.silent[e.ID] = true
		}
		if res.notRun {
			s.Timer.Wait(ctx, rejectPause)
		}
	}
}

// mayGoOn reports whether the request may be offered to another endpoint.
func (j *job) mayGoOn(res result) bool {
	if j.sends >= maxSends || j.left() <= 0 {
		return false
	}
	return res.notRun && j.runs == 0 || j.route.IsRepeatable() && j.runs < j.route.MaxAttempts
}

// stop returns the refusal of a request that may not be offered again, or nil if an answer was kept for it.
func (j *job) stop(res result) *arbutusfork.Refusal {
	if j.runs == 0 {
		return refuse(arbutusfork.CodeNoCapacity, "no endpoint took the request: "+res.cause, busyRetry)
	}
	return j.unknown(res.cause)
}

// unknown returns the refusal of a request that may have run, or breaks an answer that has begun. It returns nil after it
// delivered an answer that was kept.
func (j *job) unknown(cause string) *arbutusfork.Refusal {
	if j.begun {
		j.breakOff(cause)
	} else if j.spare != nil {
		j.deliver(*j.spare)
		return nil
	}
	code := arbutusfork.CodeEndpoint
	if j.left() <= 0 {
		code = arbutusfork.CodeDeadline
	}
	return arbutusfork.Refuse(code, "the endpoint gave no whole answer: "+cause).WithOutcome(arbutusfork.OutcomeUnknown)
}

// gaveUp returns the refusal of a request for which no further endpoint is to be had.
func (j *job) gaveUp(r *arbutusfork.Refusal, cause string) *arbutusfork.Refusal {
	if j.runs == 0 {
		return r
	}
	return j.unknown(cause + "; " + r.Message)
}

// ended returns the outcome of a request whose context has ended: its caller has left, or the process stops.
func (j *job) ended(ctx context.Context) *arbutusfork.Refusal {
	if !errors.Is(context.Cause(ctx), errStopping) {
		return j.abandoned()
	}
	if j.sends == 0 {
		return refuse(arbutusfork.CodeStopping, errStopping.Error(), stopRetry)
	}
	return j.unknown(errStopping.Error())
}

// abandoned returns the outcome of a request whose caller has left.
func (j *job) abandoned() *arbutusfork.Refusal {
	j.breakOff("caller gone")
	outcome := arbutusfork.OutcomeNotRun
	if j.sends > 0 {
		outcome = arbutusfork.OutcomeUnknown
	}
	return arbutusfork.Refuse(arbutusfork.CodeDeadline, "the caller left").WithOutcome(outcome)
}

func (j *job) breakOff(cause string) {
	if j.broken {
		return
	}
	j.broken = true
	if j.detail == "" {
		j.detail = cause
	}
	j.caller.Break()
}

// acquire waits for an endpoint that can serve the request.
func (j *job) acquire(ctx context.Context, tried map[string]bool) (placed, *arbutusfork.Refusal) {
	s := j.server
	begin := s.Timer.Now()
	t := &ticket{
		service: j.service.Name, model: j.call.Model, adapter: j.call.Adapter, urgency: j.urgency, arrived: j.arrived, target: j.route.TargetLatency,
		given: make(chan placed, 1),
		pick:  func() (placed, bool) { return j.pick(tried) },
		hopeless: func() bool {
			at, ok := s.soon.at(j.call.Model)
			return ok && at.Sub(s.Timer.Now()) > j.patience() && !s.held(j.service.Name, j.call.Model, "")
		},
		spoiled: make(chan struct{}),
	}
	if e, ok := s.queue.tryOrWait(t); ok {
		return e, nil
	}
	if t.hopeless() {
		if e, ok := s.queue.leave(t); ok {
			return e, nil
		}
		return placed{}, j.tooLate()
	}
	defer func() { j.waited += s.Timer.Now().Sub(begin) }()
	s.Log.Debug("request waits", "request", j.call.RequestID, "model", j.call.Model, "adapter", j.call.Adapter)
	if s.OnRequestWaiting != nil {
		s.OnRequestWaiting()
	}
	expired := make(chan struct{})
	sub := s.Timer.After(j.patience(), func(time.Time) { close(expired) })
	defer sub.Stop()
	select {
	case e := <-t.given:
		return e, nil
	case <-ctx.Done():
	case <-expired:
	case <-t.spoiled:
		return placed{}, j.tooLate()
	case <-s.ending:
		if e, ok := s.queue.leave(t); ok {
			return e, nil
		}
		return placed{}, refuse(arbutusfork.CodeStopping, "the server is stopping", stopRetry)
	}
	if e, ok := s.queue.leave(t); ok {
		return e, nil
	}
	if j.service.Engine != nil && !s.held(j.service.Name, j.call.Model, j.call.Adapter) {
		return placed{}, j.tooLate()
	}
	return placed{}, refuse(arbutusfork.CodeNoCapacity, "every endpoint is full or unusable", busyRetry)
}

// plainPatience bounds the wait for a plain service: its callers leave after about a second.
const plainPatience = 500 * time.Millisecond

// patience returns how long the request may wait for an endpoint.
func (j *job) patience() time.Duration {
	left := max(j.left(), 0)
	if j.service.Engine == nil {
		return min(left, plainPatience)
	}
	if j.route.CallerEventTimeout > 0 && !j.begun {
		// Callers leave when the first event does not come; an engine needs a moment for it.
		left = min(left, max(j.route.CallerEventTimeout-firstEvent-j.server.Timer.Now().Sub(j.arrived), 0))
	}
	return left
}

const (
	// firstEvent is the time that an engine needs for the first event of a usual request while it reads others.
	firstEvent = 400 * time.Millisecond
	// maxLoadRetry bounds the Retry-After of a model that waits for the weight store. Which models go first changes within
	// the time of one load, which is about as long.
	maxLoadRetry = 6 * time.Second
	// returnSpread is the time over which the callers return that were refused because a model was being loaded.
	returnSpread = 800 * time.Millisecond
)

// tooLate returns the refusal of a request whose model is not ready in time, with the time when it should be.
func (j *job) tooLate() *arbutusfork.Refusal {
	after := loadRetry
	if at, ok := j.server.soon.at(j.call.Model); ok {
		// Callers that come back together would wait for each other.
		after = min(max(at.Sub(j.server.Timer.Now()), 0), maxLoadRetry) + rejectPause + time.Duration(j.server.Random()*float64(returnSpread))
	}
	return refuse(arbutusfork.CodeNoCapacity, "model "+strconv.Quote(j.call.Model)+" is not ready in time", after)
}

// pick chooses an endpoint now. The caller holds the queue's lock, so that two requests see each other's choice.
func (j *job) pick(tried map[string]bool) (placed, bool) {
	s := j.server
	all := s.Roster.UsableEndpoints(j.service.Name)
	w := want{
		model: j.call.Model, adapter: j.call.Adapter, prompt: j.call.PromptTokens, tokens: j.call.PromptTokens + j.call.MaxOutputTokens,
		centre: s.Centre, tried: tried, near: s.sessions.find(j.call), shared: sharedTokens(j.call), engine: j.service.Engine,
		now: s.Timer.Now(),
	}
	e, ok := choose(all, w)
	if !ok && len(tried) > 0 {
		// An endpoint that lost one answer is better than none: no other one may ever hold the model or adapter. One
		// that was silent has too much to do already.
		w.tried = j.silent
		e, ok = choose(all, w)
	}
	if !ok {
		return placed{}, false
	}
	return placed{e, s.Roster.BeginRequest(e.ID, j.call.Model, j.call.Adapter, j.call.PromptTokens, j.call.PromptTokens+j.call.MaxOutputTokens)}, true
}

// sendError classifies an attempt that failed before an answer.
type sendError struct {
	// sent means that bytes of the request may have reached the endpoint.
	sent bool
	err  error
}

func (e *sendError) Error() string { return e.err.Error() }

func wasSent(err error) bool {
	e, ok := errors.Into[*sendError](err)
	return !ok || e.sent
}

// sharedTokens returns the tokens of the prompt that another request of the session has in common.
func sharedTokens(c RequestHeaders) int64 {
	sum := int64(0)
	for _, p := range c.PromptParts {
		sum += p.Tokens
	}
	return sum
}

// held reports whether some endpoint of the service holds the model.
func (s *Server) held(service, model, adapter string) bool {
	for _, e := range s.Roster.UsableEndpoints(service) {
		if holds(e, model, adapter) {
			return true
		}
	}
	return false
}
