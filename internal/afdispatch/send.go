package afdispatch

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afretry"
)

const (
	// DrainingHeader is set to "true" by an endpoint on a 503 answer to say that it takes no new work.
	DrainingHeader = "X-Leaving"
	// RequestIDHeader carries the request id.
	RequestIDHeader = "X-Request-Id"
	// ResumeOffsetHeader carries the number of events that were already received. An engine that can resume a stream
	// from there answers with the same value.
	ResumeOffsetHeader = "X-Resume-Offset"
)

// resumeWait bounds the search for an engine that resumes a broken stream.
const resumeWait = 5 * time.Second

// freeAttempts is the number of attempts that are outside the retry budgets if all of them did not run. They put
// no load on an endpoint, so that the requests of a dead or leaving endpoint all move to others.
const freeAttempts = 5

// Call is a request as it is sent to an endpoint.
type Call struct {
	// ID is sent as the request id.
	ID     string
	Method string
	// Path is the escaped path with its query.
	Path string
	// Header holds what is forwarded. It never contains the caller's key.
	Header http.Header
	Body   []byte
	// IsIdempotent tells that the call may be sent again after it may have run.
	IsIdempotent bool
	// IsResumable tells that the answer is a stream that an engine may resume.
	IsResumable bool

	offset int
}

// Sink receives an answer. Its functions are called by the goroutine that sends. An error ends the sending.
type Sink struct {
	// WriteResponse receives an answer that is not a stream of events, after all of it has arrived.
	WriteResponse func(status int, h http.Header, body []byte) error
	// WriteEvent receives one event of a stream. Raw includes the empty line at its end. StartStream is called before the
	// first event.
	StartStream func(status int, h http.Header) error
	WriteEvent  func(raw, data []byte) error
	// Flush is called when no further event is at hand.
	Flush func() error
	// TokensUsed returns the tokens used so far.
	TokensUsed func() int64
}

// Result is the end of a call.
type Result struct {
	Outcome arbutusfork.Outcome
	// Refusal tells why the call was not answered. It is nil after a complete answer.
	Refusal *arbutusfork.Refusal
	// IsAnswerStarted tells that a part of the answer has reached the sink.
	IsAnswerStarted bool
}

// SendCall waits for an endpoint, sends the call and relays the answer. It sends again after a failure if that
// cannot run a call twice that is not idempotent, within the retry budgets and the deadline.
func (s *Service) SendCall(ctx context.Context, r Request, c Call, k Sink) Result {
	s.init()
	s.budget.earn(r, s.Timer.Now())
	worst := arbutusfork.OutcomeNotRun
	var last *arbutusfork.Refusal
	relayed := false
	for n := 1; ; n++ {
		lease, refusal := s.AcquireLease(ctx, r)
		if refusal != nil {
			if relayed && last != nil {
				refusal = last
			}
			return Result{Outcome: worst, Refusal: refusal.WithOutcome(worst), IsAnswerStarted: relayed}
		}
		a := s.try(ctx, lease, c, k)
		outcome := afretry.ClassifyAttempt(a.Attempt)
		relayed = relayed || a.relayed
		if outcome == arbutusfork.OutcomeAnswered && a.err == nil {
			if lease.failing {
				s.send(event{kind: eventWell, endpoint: lease.Replica.Endpoint})
			}
			return Result{Outcome: outcome, IsAnswerStarted: relayed}
		}
		worst = max(worst, outcome)
		if outcome == arbutusfork.OutcomeAnswered {
			worst = arbutusfork.OutcomeUnknown
		}
		last = a.refusal().WithOutcome(worst)
		s.note(r, lease, a, outcome)
		again := ctx.Err() == nil && a.isRetryable() && (afretry.MayRetry(outcome, c.IsIdempotent, relayed) || (a.resumable && c.IsIdempotent))
		free := worst == arbutusfork.OutcomeNotRun && a.StatusCode != http.StatusTooManyRequests && n < freeAttempts
		again = again && (free || s.budget.spend(r, s.Timer.Now()))
		if !again || !s.pause(ctx, a, n) {
			return Result{Outcome: worst, Refusal: last, IsAnswerStarted: relayed}
		}
		if relayed {
			c.offset += a.events
			r.ArrivedAt = s.Timer.Now()
			r.Deadline = r.ArrivedAt.Add(resumeWait)
		}
	}
}

// try sends the call once and returns the slot, also if a function of the sink panics.
func (s *Service) try(ctx context.Context, l *Lease, c Call, k Sink) attempt {
	defer func() { l.Release(k.TokensUsed()) }()
	return s.attempt(ctx, l, c, k)
}

// note tells the owner goroutine and the log about a failed attempt.
func (s *Service) note(r Request, l *Lease, a attempt, outcome arbutusfork.Outcome) {
	switch {
	case a.leaving:
		s.send(event{kind: eventLeaving, endpoint: l.Replica.Endpoint})
	case a.missing:
		s.send(event{kind: eventMissing, lease: l})
	case a.isEndpointFault():
		s.send(event{kind: eventFailed, endpoint: l.Replica.Endpoint})
	}
	s.Log.LogAttrs(context.Background(), slog.LevelWarn, "attempt failed",
		slog.String("request", r.ID), slog.String("endpoint", l.Replica.Endpoint),
		slog.String("outcome", outcome.String()), slog.Int("status", a.StatusCode),
		slog.Bool("relayed", a.relayed), slog.Bool("leaving", a.leaving), slog.Any("cause", a.err))
}

// pause waits before the next attempt. It reports false if ctx ended. A refusal by an endpoint that is
// leaving or does not have the model needs no delay, since another endpoint is used.
func (s *Service) pause(ctx context.Context, a attempt, n int) bool {
	if a.leaving || a.missing {
		return true
	}
	return s.Timer.Sleep(ctx, afretry.Backoff(n, float64(s.RandIntN(1000))/1000))
}

// request builds the HTTP request of one attempt.
func (c Call) request(ctx context.Context, address string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+address+c.Path, nil)
	if err != nil {
		return nil, err
	}
	req.Header = c.Header.Clone()
	if req.Header == nil {
		req.Header = make(http.Header)
	}
	req.Header.Set(RequestIDHeader, c.ID)
	if c.IsResumable {
		req.Header.Set(ResumeOffsetHeader, strconv.Itoa(c.offset))
	}
	// A body without GetBody keeps the transport from sending the request again by itself on a reused connection,
	// which it does for empty bodies and for requests with an Idempotency-Key.
	if len(c.Body) > 0 || !c.IsIdempotent {
		req.Body = &onceBody{data: c.Body}
		req.ContentLength = int64(len(c.Body))
	}
	return req, nil
}
