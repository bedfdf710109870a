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

// job is a request that was admitted.
type job struct {
	server   *Server
	exchange *exchange
	// settle replaces the reservation by the actual number of tokens.
	settle   func(int64)
	reserved int64
	prompt   int64
	meter    meter
	call     afclaim.Call
	claimed  bool
	stream   *stream
	// answered tells that a whole answer was written.
	answered bool
	status   int
	kind     string
	body     []byte
}

// reserve takes the tokens of a model request. Plain services use none.
func (j *job) reserve(ctx context.Context) *arbutusfork.Refusal {
	x := j.exchange
	if x.infer == nil {
		return nil
	}
	prompt, generated := x.infer.tokens(x.route)
	j.prompt, j.reserved = prompt, prompt+generated
	if x.customer.Name == "" {
		return nil
	}
	settle, refusal := j.server.ReserveTokens(ctx, x.customer.Name, j.reserved)
	if refusal != nil {
		return refusal
	}
	j.settle = settle
	return nil
}

// claim makes a call durable that must run at most once. If it is not granted, it has been answered or the
// refusal says why.
func (j *job) claim(ctx context.Context) (granted bool, refusal *arbutusfork.Refusal) {
	x := j.exchange
	if x.once == "" {
		return true, nil
	}
	j.call = afclaim.Call{Customer: x.customer.Name, Route: x.route.Name, IdempotencyKey: x.once, RequestDigest: bodyDigest(x.r, x.body)}
	result, refusal := j.server.ClaimCall(ctx, j.call)
	if refusal != nil {
		return false, refusal
	}
	switch result.Verdict {
	case afclaim.VerdictGranted:
		j.claimed = true
		return true, nil
	case afclaim.VerdictStored:
		x.w.Header().Set(requestHeader, x.id)
		x.w.Header().Set("Idempotent-Replayed", "true")
		writeWhole(x.w, x.r.Method, result.Answer.Status, result.Answer.ContentType, result.Answer.Body)
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

func bodyDigest(r *http.Request, body []byte) string {
	h := sha256.New()
	for _, s := range []string{r.Method, r.URL.RequestURI()} {
		_, _ = h.Write([]byte(strconv.Itoa(len(s)) + " " + s + "\n"))
	}
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// send dispatches the request and settles everything that depends on its outcome.
func (j *job) send(ctx context.Context) *arbutusfork.Refusal {
	x, s := j.exchange, j.server
	req, call := j.request(), j.outgoing()
	// A claimed call goes on when its caller hangs up, so that a retry gets its answer.
	req.IsDetached = j.claimed
	j.stream = &stream{job: j}
	res := s.Dispatcher.SendCall(ctx, req, call, afdispatch.Sink{
		WriteResponse: j.whole, StartStream: j.stream.start, WriteEvent: j.stream.event, Flush: j.stream.flush, TokensUsed: j.used,
	})
	j.settleAs(res)
	refusal := res.Refusal
	if refusal != nil {
		refusal = ended(ctx, refusal)
	}
	j.finishAs(res, refusal)
	s.metrics.requests.WithLabelValues(x.route.Name, res.Outcome.String()).Inc()
	j.stream.close(refusal)
	if refusal != nil && !j.stream.begun && !j.answered {
		s.metrics.refused.WithLabelValues(refusal.Code.String()).Inc()
		x.w.Header().Set(requestHeader, x.id)
		writeRefusal(x.w, x.r.Method, refusal, x.id, "")
	}
	return nil
}

// request returns what the choice of an endpoint depends on.
func (j *job) request() afdispatch.Request {
	x := j.exchange
	r := afdispatch.Request{
		ID: x.id, Customer: x.customer.Name, Route: x.route.Name, Weight: x.customer.FairQueueWeight(),
		Service: x.service, Cost: max(j.reserved, 1), MemoryBytes: int64(len(x.body)), ArrivedAt: x.arrived, Deadline: x.deadline,
	}
	if x.infer != nil {
		r.Model = x.infer.model
		r.PrefixHash = afdispatch.HashPrefix(x.infer.prompt)
	}
	return r
}

// outgoing returns the request as it is sent to an endpoint.
func (j *job) outgoing() afdispatch.Call {
	x := j.exchange
	c := afdispatch.Call{Method: x.r.Method, Path: x.r.URL.RequestURI(), ID: x.id}
	if x.infer == nil {
		c.Header = forwarded(x.r.Header)
		c.Body = x.body
		c.IsIdempotent = !x.route.RunsAtMostOnce && (c.Method == http.MethodGet || c.Method == http.MethodHead || c.Method == http.MethodOptions)
		return c
	}
	// The id decides which stream an engine resumes, so callers must not be able to name each other's.
	if x.r.Header.Get(requestHeader) == x.id {
		c.ID = x.id + "." + j.server.NewRequestID()
	}
	c.Path = x.infer.path
	c.Header = http.Header{"Content-Type": {typeJSON}}
	c.Body = x.infer.body()
	c.IsIdempotent = !x.route.RunsAtMostOnce
	c.IsResumable = x.infer.stream
	return c
}

// used returns the tokens used so far, or an upper bound on them.
func (j *job) used() int64 {
	switch {
	case j.meter.total > 0:
		return j.meter.total
	case j.meter.relayed > 0:
		return min(j.prompt+j.meter.relayed, j.reserved)
	}
	return 0
}

// settleAs settles the reservation. A call that may have run without a trace of its answer costs what was
// reserved, since more may not have been admitted than what was paid for.
func (j *job) settleAs(res afdispatch.Result) {
	used := j.used()
	if used == 0 && res.Outcome == arbutusfork.OutcomeUnknown {
		used = j.reserved
	}
	j.settle(used)
}

// finishAs stores the answer of a claimed call. An unknown outcome is stored as such, so that a retry does not
// run the call.
func (j *job) finishAs(res afdispatch.Result, refusal *arbutusfork.Refusal) {
	if !j.claimed {
		return
	}
	s := j.server
	switch {
	case j.answered:
		s.FinishCall(j.call, afclaim.Answer{Status: j.status, ContentType: j.kind, Body: j.body})
	case res.Outcome == arbutusfork.OutcomeNotRun:
		s.CancelClaim(j.call)
	default:
		if refusal == nil {
			refusal = arbutusfork.NewRefusal(arbutusfork.CodeOutcomeUnknown, "the call may have run")
		}
		refusal = refusal.WithOutcome(arbutusfork.OutcomeUnknown)
		s.FinishCall(j.call, afclaim.Answer{Status: refusal.HTTPStatus(), ContentType: typeJSON, Body: encodeRefusal(refusal, j.exchange.id, "")})
	}
}

// whole writes an answer that is not a stream.
func (j *job) whole(status int, h http.Header, body []byte) error {
	x := j.exchange
	j.answered, j.status, j.kind, j.body = true, status, h.Get("Content-Type"), body
	if x.infer == nil {
		for k, v := range forwarded(h) {
			x.w.Header()[k] = v
		}
	} else {
		j.meter.whole(status, body)
	}
	j.server.metrics.first.WithLabelValues(x.route.Name).Observe(j.server.Timer.Now().Sub(x.arrived).Seconds())
	x.w.Header().Set(requestHeader, x.id)
	writeWhole(x.w, x.r.Method, status, j.kind, body)
	return nil
}
