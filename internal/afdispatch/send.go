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
	// DrainingHeader is set to "true" on a 503 response by an endpoint that takes no new requests.
	DrainingHeader = "X-Leaving"
	// RequestIDHeader carries the request ID.
	RequestIDHeader = "X-Request-Id"
	// ResumeOffsetHeader carries the number of events of a stream that were already received. An engine that can resume
	// the stream after that event responds with the same value.
	ResumeOffsetHeader = "X-Resume-Offset"
)

// resumeTimeout bounds the wait for an engine that resumes a broken stream.
const resumeTimeout = 5 * time.Second

// unbudgetedAttempts is the number of attempts that do not count against the retry budgets as long as none of them ran.
// Such attempts put no load on an endpoint, and all requests of a dead or draining endpoint must be able to move to others.
const unbudgetedAttempts = 5

// Call is a request as it is sent to an endpoint.
type Call struct {
	// ID is sent as the request ID.
	ID string
	// Method is the HTTP method.
	Method string
	// Path is the escaped path with the query.
	Path string
	// Header holds the forwarded header fields. It never contains the caller's key.
	Header http.Header
	// Body is the request body.
	Body []byte
	// IsIdempotent means that the call may be sent again even if an earlier attempt may have run.
	IsIdempotent bool
	// IsResumable means that the response is a stream that an engine may be able to resume.
	IsResumable bool

	// resumeOffset is the number of events that earlier attempts have relayed.
	resumeOffset int
}

// Sink receives the response to a call. Its functions are called by the goroutine of SendCall. If one of them returns an
// error, the call ends.
type Sink struct {
	// WriteResponse receives a response that is not a stream of events, after all of it has arrived.
	WriteResponse func(status int, h http.Header, body []byte) error
	// StartStream receives the status and header of a stream. It is called before the first event.
	StartStream func(status int, h http.Header) error
	// WriteEvent receives one event of a stream: its lines with the empty line at the end, and its payload.
	WriteEvent func(raw, data []byte) error
	// Flush is called after an event when no further bytes of the stream have been received.
	Flush func() error
	// TokensUsed returns the number of tokens that the call has used so far.
	TokensUsed func() int64
}

// Result is the result of a call.
type Result struct {
	// Outcome says whether the call ran.
	Outcome arbutusfork.Outcome
	// Refusal says why the call failed. It is nil after a complete response.
	Refusal *arbutusfork.Refusal
	// IsResponseStarted means that a part of the response has reached the sink.
	IsResponseStarted bool
}

// SendCall waits for an endpoint with a free slot, sends the call to it and relays the response to the sink. It retries a
// failed attempt within the retry budgets and the deadline, but a call that is not idempotent only if it cannot have run.
func (s *Service) SendCall(ctx context.Context, r Request, c Call, sink Sink) Result {
	s.init()
	s.retryBudgets.creditRequest(r, s.Timer.Now())
	worstOutcome := arbutusfork.OutcomeNotRun
	var lastRefusal *arbutusfork.Refusal
	isResponseStarted, isOnlyRefused := false, true
	for n := 1; ; n++ {
		lease, refusal := s.acquireUnlessQuarantined(ctx, r)
		if refusal != nil {
			if isResponseStarted && lastRefusal != nil {
				refusal = lastRefusal
			}
			return Result{Outcome: worstOutcome, Refusal: refusal.WithOutcome(worstOutcome), IsResponseStarted: isResponseStarted}
		}
		a := s.sendOverLease(ctx, lease, c, sink)
		outcome := afretry.ClassifyAttempt(a.Attempt)
		isResponseStarted = isResponseStarted || a.isResponseStarted
		if outcome == arbutusfork.OutcomeAnswered && a.err == nil {
			if lease.hadFailures {
				s.postEvent(event{kind: eventEndpointRecovered, endpoint: lease.Replica.Endpoint})
			}
			s.CrashWatch.Answered(r.Service, r.PromptParts, s.Timer.Now())
			return Result{Outcome: outcome, IsResponseStarted: isResponseStarted}
		}
		worstOutcome = max(worstOutcome, outcome)
		if outcome == arbutusfork.OutcomeAnswered {
			worstOutcome = arbutusfork.OutcomeUnknown
		}
		if lastRefusal == nil || !isResponseStarted || a.isResponseStarted {
			// After a part of the response, an attempt that added nothing does not change what the caller is told.
			lastRefusal = a.toRefusal()
		}
		lastRefusal = lastRefusal.WithOutcome(worstOutcome)
		s.recordFailure(r, lease, a, outcome)
		shouldRetry := ctx.Err() == nil && a.isRetryable() && (afretry.MayRetry(outcome, c.IsIdempotent, isResponseStarted) || (a.isResumable && c.IsIdempotent))
		isOnlyRefused = isOnlyRefused && (outcome == arbutusfork.OutcomeNotRun || a.MayBeRepeated)
		isUnbudgeted := isOnlyRefused && a.StatusCode != http.StatusTooManyRequests && n < unbudgetedAttempts
		shouldRetry = shouldRetry && (isUnbudgeted || s.retryBudgets.spendRetry(r, s.Timer.Now()))
		if !shouldRetry || !s.waitBackoff(ctx, a, n) {
			return Result{Outcome: worstOutcome, Refusal: lastRefusal, IsResponseStarted: isResponseStarted}
		}
		if isResponseStarted {
			c.resumeOffset += a.eventCount
			r.ArrivedAt = s.Timer.Now()
			r.Deadline = r.ArrivedAt.Add(resumeTimeout)
		}
	}
}

// acquireUnlessQuarantined acquires a lease for the request, or refuses the request if its prompt is quarantined, also while it
// waited for the lease.
func (s *Service) acquireUnlessQuarantined(ctx context.Context, r Request) (*Lease, *arbutusfork.Refusal) {
	if refusal := s.CrashWatch.Refuse(r.Service, r.PromptParts); refusal != nil {
		return nil, refusal
	}
	lease, refusal := s.AcquireLease(ctx, r)
	if refusal != nil {
		return nil, refusal
	}
	if refusal := s.CrashWatch.Refuse(r.Service, r.PromptParts); refusal != nil {
		lease.Release(0)
		return nil, refusal
	}
	return lease, nil
}

// sendOverLease sends the call once and releases the lease, also if a function of the sink panics.
func (s *Service) sendOverLease(ctx context.Context, l *Lease, c Call, sink Sink) attemptResult {
	defer func() { l.Release(sink.TokensUsed()) }()
	return s.sendAttempt(ctx, l, c, sink)
}

// recordFailure logs a failed attempt and updates the state of its endpoint.
func (s *Service) recordFailure(r Request, l *Lease, a attemptResult, outcome arbutusfork.Outcome) {
	s.checkCrash(r, l, a)
	switch {
	case a.isDraining:
		s.postEvent(event{kind: eventEndpointDraining, endpoint: l.Replica.Endpoint})
	case a.isModelMissing:
		s.postEvent(event{kind: eventModelMissing, lease: l})
	case a.isEndpointFault():
		s.postEvent(event{kind: eventEndpointFailed, endpoint: l.Replica.Endpoint})
	}
	s.Log.LogAttrs(context.Background(), slog.LevelWarn, "attempt failed",
		slog.String("request", r.ID), slog.String("endpoint", l.Replica.Endpoint),
		slog.String("outcome", outcome.String()), slog.Int("status", a.StatusCode),
		slog.Bool("relayed", a.isResponseStarted), slog.Bool("leaving", a.isDraining), slog.Any("cause", a.err))
}

// waitBackoff waits before the next attempt. It returns false if ctx ends first. A refusal by an endpoint that is
// draining or does not have the model needs no delay, since the next attempt uses another endpoint. Nor does one that may
// have been repeated, since the next attempt uses a new connection.
func (s *Service) waitBackoff(ctx context.Context, a attemptResult, n int) bool {
	if a.isDraining || a.isModelMissing || a.MayBeRepeated {
		return true
	}
	return s.Timer.Sleep(ctx, afretry.Backoff(n, float64(s.RandIntN(1000))/1000))
}

// buildRequest builds the HTTP request of one attempt.
func (c Call) buildRequest(ctx context.Context, address string) (*http.Request, error) {
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
		req.Header.Set(ResumeOffsetHeader, strconv.Itoa(c.resumeOffset))
	}
	// A body without GetBody prevents the transport's automatic retry after an error on a reused connection. The
	// transport retries requests with an empty body and requests with an Idempotency-Key.
	if len(c.Body) > 0 || !c.IsIdempotent {
		req.Body = &nonRewindableBody{data: c.Body}
		req.ContentLength = int64(len(c.Body))
	}
	return req, nil
}
