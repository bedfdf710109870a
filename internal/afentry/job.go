package afentry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afdispatch"
	"arbutusfork.example/arbutusfork/pkg/afclaim"
)

// admittedRequest is a request that has passed authentication and routing. It reserves tokens, claims the call if needed,
// and dispatches it to an endpoint.
type admittedRequest struct {
	server   *Server
	exchange *exchange
	// settleTokens replaces the reserved tokens by the number of tokens used.
	settleTokens func(int64)
	// reservedTokens is an upper bound on the tokens of prompt and response.
	reservedTokens int64
	// promptTokens is an upper bound on the tokens of the prompt.
	promptTokens int64
	meter        tokenMeter
	// call identifies the call that is claimed. It is the zero value if the request has no idempotency key.
	call afclaim.Call
	// isClaimed is set when the claim was granted.
	isClaimed bool
	events    *eventStream
	// isResponseWritten is set when a response that is not a stream was written.
	isResponseWritten bool
	// responseStatus is the HTTP status of the written response.
	responseStatus int
	// responseContentType is the Content-Type of the written response.
	responseContentType string
	// responseBody is the body of the written response.
	responseBody []byte
}

// reserveTokens reserves the tokens of a model request from the customer's rate limit. Requests to plain services use no
// tokens.
func (a *admittedRequest) reserveTokens(ctx context.Context) *arbutusfork.Refusal {
	x := a.exchange
	if x.inference == nil {
		return nil
	}
	prompt, generated := x.inference.boundTokens(x.route)
	a.promptTokens, a.reservedTokens = prompt, prompt+generated
	if x.customer.Name == "" {
		return nil
	}
	settle, refusal := a.server.ReserveTokens(ctx, x.customer.Name, a.reservedTokens)
	if refusal != nil {
		return refusal
	}
	a.settleTokens = settle
	return nil
}

// claimCall records a durable claim if the request has an idempotency key, so that the call runs at most once. If
// granted is false, the call must not run: either the stored response was written or the refusal gives the reason.
func (a *admittedRequest) claimCall(ctx context.Context) (granted bool, refusal *arbutusfork.Refusal) {
	x := a.exchange
	if x.idempotencyKey == "" {
		return true, nil
	}
	a.call = afclaim.Call{Customer: x.customer.Name, Route: x.route.Name, IdempotencyKey: x.idempotencyKey, RequestDigest: digestRequest(x.r, x.body)}
	result, refusal := a.server.ClaimCall(ctx, a.call)
	if refusal != nil {
		return false, refusal
	}
	switch result.Verdict {
	case afclaim.VerdictGranted:
		a.isClaimed = true
		return true, nil
	case afclaim.VerdictStored:
		x.w.Header().Set(requestIDHeader, x.id)
		x.w.Header().Set("Idempotent-Replayed", "true")
		writeResponse(x.w, x.r.Method, result.Answer.Status, result.Answer.ContentType, result.Answer.Body)
		return false, nil
	case afclaim.VerdictInProgress:
		return false, arbutusfork.NewRefusal(arbutusfork.CodeCallInProgress, "a call with this key is in progress").
			WithOutcome(arbutusfork.OutcomeUnknown)
	case afclaim.VerdictKeyReused:
		return false, arbutusfork.NewRefusal(arbutusfork.CodeIdempotencyKeyReused, "the key was used for another request")
	default:
		return false, arbutusfork.NewRefusal(arbutusfork.CodeOutcomeUnknown, "a call with this key may have run").
			WithOutcome(arbutusfork.OutcomeUnknown)
	}
}

// digestRequest returns the SHA-256 digest of the method, URI and body. It identifies a repeated request.
func digestRequest(r *http.Request, body []byte) string {
	h := sha256.New()
	for _, s := range []string{r.Method, r.URL.RequestURI()} {
		_, _ = h.Write([]byte(strconv.Itoa(len(s)) + " " + s + "\n"))
	}
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// dispatchCall sends the request to an endpoint and relays the response. It then settles the reserved tokens and the claim
// by the outcome.
func (a *admittedRequest) dispatchCall(ctx context.Context) *arbutusfork.Refusal {
	x, s := a.exchange, a.server
	req, call := a.dispatchRequest(), a.endpointCall()
	// A claimed call continues after its caller has disconnected, so that a retry gets the stored response.
	req.IsDetached = a.isClaimed
	a.events = &eventStream{request: a}
	res := s.Dispatcher.SendCall(ctx, req, call, afdispatch.Sink{
		WriteResponse: a.writeWholeResponse, StartStream: a.events.start, WriteEvent: a.events.writeEvent, Flush: a.events.flush, TokensUsed: a.usedTokens,
	})
	a.settleReservation(res)
	refusal := res.Refusal
	if refusal != nil {
		refusal = refusalWithCause(ctx, refusal)
	}
	a.finishClaim(res, refusal)
	s.metrics.requests.WithLabelValues(x.route.Name, res.Outcome.String()).Inc()
	a.events.close(refusal)
	if refusal != nil && !a.events.isStarted && !a.isResponseWritten {
		s.metrics.refusals.WithLabelValues(refusal.Code.String()).Inc()
		x.w.Header().Set(requestIDHeader, x.id)
		writeRefusal(x.w, x.r.Method, refusal, x.id, "")
	}
	return nil
}

// dispatchRequest returns the properties of the request that the choice of an endpoint depends on.
func (a *admittedRequest) dispatchRequest() afdispatch.Request {
	x := a.exchange
	r := afdispatch.Request{
		ID: x.id, Customer: x.customer.Name, Route: x.route.Name, Weight: x.customer.FairQueueWeight(),
		Service: x.service, Cost: max(a.reservedTokens, 1), MemoryBytes: int64(len(x.body)), ArrivedAt: x.arrivedAt, Deadline: x.deadline,
	}
	if x.inference != nil {
		r.Model = x.inference.model
		r.PrefixHash = afdispatch.HashPrefix(x.inference.prompt)
		r.PromptParts = afdispatch.PromptParts(x.inference.prompt)
	}
	return r
}

// endpointCall returns the HTTP request that is sent to the endpoint.
func (a *admittedRequest) endpointCall() afdispatch.Call {
	x := a.exchange
	c := afdispatch.Call{Method: x.r.Method, Path: x.r.URL.RequestURI(), ID: x.id}
	if x.inference == nil {
		c.Header = forwardedHeaders(x.r.Header)
		c.Body = x.body
		c.IsIdempotent = !x.route.RunsAtMostOnce && (c.Method == http.MethodGet || c.Method == http.MethodHead || c.Method == http.MethodOptions)
		return c
	}
	// The id decides which stream an engine resumes. If the caller chose the id, a random suffix keeps it from resuming the
	// stream of another caller.
	if x.r.Header.Get(requestIDHeader) == x.id {
		c.ID = x.id + "." + a.server.NewRequestID()
	}
	c.Path = x.inference.path
	c.Header = http.Header{"Content-Type": {typeJSON}}
	c.Body = x.inference.encodeBody()
	c.IsIdempotent = !x.route.RunsAtMostOnce
	c.IsResumable = x.inference.isStream
	return c
}

// usedTokens returns the tokens used so far as reported by the engine, or else an upper bound on them.
func (a *admittedRequest) usedTokens() int64 {
	switch {
	case a.meter.reportedTokens > 0:
		return a.meter.reportedTokens
	case a.meter.relayedTokens > 0:
		return min(a.promptTokens+a.meter.relayedTokens, a.reservedTokens)
	}
	return 0
}

// settleReservation replaces the reserved tokens by the used ones. If the outcome is unknown and no token was counted, the
// whole reservation is charged, so that a customer never gets more tokens than it is charged for.
func (a *admittedRequest) settleReservation(res afdispatch.Result) {
	used := a.usedTokens()
	if used == 0 && res.Outcome == arbutusfork.OutcomeUnknown {
		used = a.reservedTokens
	}
	a.settleTokens(used)
}

// finishClaim stores the response to a claimed call, or cancels the claim if the call has not run. An unknown outcome is
// stored as a refusal, so that a retry does not run the call.
func (a *admittedRequest) finishClaim(res afdispatch.Result, refusal *arbutusfork.Refusal) {
	if !a.isClaimed {
		return
	}
	s := a.server
	switch {
	case a.isResponseWritten:
		s.FinishCall(a.call, afclaim.Answer{Status: a.responseStatus, ContentType: a.responseContentType, Body: a.responseBody})
	case res.Outcome == arbutusfork.OutcomeNotRun:
		s.CancelClaim(a.call)
	default:
		if refusal == nil {
			refusal = arbutusfork.NewRefusal(arbutusfork.CodeOutcomeUnknown, "the call may have run")
		}
		refusal = refusal.WithOutcome(arbutusfork.OutcomeUnknown)
		s.FinishCall(a.call, afclaim.Answer{Status: refusal.HTTPStatus(), ContentType: typeJSON, Body: encodeRefusal(refusal, a.exchange.id, "")})
	}
}

// writeWholeResponse writes a response that is not a stream.
func (a *admittedRequest) writeWholeResponse(status int, h http.Header, body []byte) error {
	x := a.exchange
	a.isResponseWritten, a.responseStatus, a.responseContentType, a.responseBody = true, status, h.Get("Content-Type"), body
	if x.inference == nil {
		for k, v := range forwardedHeaders(h) {
			x.w.Header()[k] = v
		}
	} else {
		a.meter.countResponse(status, body)
	}
	a.server.metrics.firstByteSeconds.WithLabelValues(x.route.Name).Observe(a.server.Timer.Now().Sub(x.arrivedAt).Seconds())
	x.w.Header().Set(requestIDHeader, x.id)
	writeResponse(x.w, x.r.Method, status, a.responseContentType, body)
	return nil
}
