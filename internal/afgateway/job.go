package afgateway

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afentry"
	"arbutusfork.example/arbutusfork/internal/afroster"
	"arbutusfork.example/arbutusfork/pkg/afroute"
)

const (
	// answerMargin is the time before a deadline at which the final answer is sent, so that it arrives in time.
	answerMargin = 30 * time.Millisecond
	// defaultPatience is for callers that do not say how long they wait, on routes without a timeout.
	defaultPatience = 30 * time.Second
	// startRetry is the Retry-After before the first configuration is known.
	startRetry = 300 * time.Millisecond
	// stopRetry is the Retry-After of a VM that stops. Other VMs serve at once.
	stopRetry = 50 * time.Millisecond
)

// job is one request in progress. Its fields belong to the goroutine that serves it.
type job struct {
	server  *Server
	caller  *afentry.Caller
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time

	call     RequestHeaders
	route    afroute.Route
	service  afroute.Service
	customer afroute.Customer
	keyed    bool
	version  int64
	body     []byte
	deadline time.Time
	urgency  int
	cost     int64

	// spare is an endpoint's own error, which the caller gets if no other endpoint answers.
	spare *wholeAnswer

	// silent names the endpoints that were given up because they were silent.
	silent map[string]bool

	// sends counts the attempts that reached an endpoint, runs those that may have run there.
	sends, runs int
	waited      time.Duration
	first       time.Time
	// pause is the longest time between two events that were passed on.
	pause     time.Duration
	last      string // last is the endpoint of the last attempt.
	begun     bool   // begun means that the head of the answer was sent.
	broken    bool
	status    int
	events    int
	lastEvent string
	detail    string
}

// run serves the request or returns why it does not.
func (j *job) run() *arbutusfork.Refusal {
	s := j.server
	call, err := s.Headers.ParseRequest(j.r.Header)
	j.call = call
	if err != nil {
		return arbutusfork.Refuse(arbutusfork.CodeBadRequest, err.Error())
	}
	table := s.Table()
	if table == nil {
		return refuse(arbutusfork.CodeStale, "no configuration is known yet", startRetry)
	}
	j.version = table.Version
	if j.caller.Late() || s.stopping.Load() {
		j.caller.CloseAfter()
		return refuse(arbutusfork.CodeStopping, "the server is stopping", stopRetry)
	}
	if refusal := j.admit(table); refusal != nil {
		return refusal
	}
	if refusal := j.read(); refusal != nil {
		return refusal
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	if !j.caller.Bind(cancel) {
		j.detail = "caller gone"
		return nil
	}
	s.enter(j, cancel)
	defer s.leave(j)
	return j.attempts(ctx)
}

// admit finds the route and checks key, service and limit.
func (j *job) admit(table *afroute.Table) *arbutusfork.Refusal {
	s := j.server
	route, ok := table.MatchRoute(j.r.Host, j.r.URL.Path)
	if !ok {
		return arbutusfork.Refuse(arbutusfork.CodeNoRoute, "no route for this host and path")
	}
	j.route = route
	if table.RequiresKey() && !route.IsPublic {
		j.customer, j.keyed = table.CustomerByKey(j.call.Key)
		if !j.keyed {
			return arbutusfork.Refuse(arbutusfork.CodeBadKey, "unknown key")
		}
	}
	j.urgency = route.Priority
	if j.keyed && j.customer.HasPriority {
		j.urgency = j.customer.Priority
	}
	name := route.PickService(s.Random())
	if j.service, ok = table.Service(name); !ok {
		return refuse(arbutusfork.CodeNoCapacity, "the route's service "+strconv.Quote(name)+" is not configured", time.Second)
	}
	patience := j.call.Timeout
	if patience <= 0 {
		patience = defaultPatience
	}
	if route.Timeout > 0 {
		patience = min(patience, route.Timeout)
	}
	j.deadline = j.arrived.Add(patience - answerMargin)
	if e := j.service.Engine; e != nil {
		if _, known := e.Models[j.call.Model]; !known {
			return refuse(arbutusfork.CodeNoCapacity, "the service does not offer model "+strconv.Quote(j.call.Model), time.Second)
		}
	}
	return j.charge()
}

// charge takes the request from the customer's limit.
func (j *job) charge() *arbutusfork.Refusal {
	if !j.keyed || j.customer.RatePerSecond <= 0 {
		return nil
	}
	cost := int64(1)
	if j.customer.CountsTokens {
		cost = j.customer.DefaultTokenCost
		if j.call.HasTokenCounts {
			cost = j.call.PromptTokens + j.call.MaxOutputTokens
		}
	}
	short, ok := j.server.limits.take(j.customer, cost, j.server.FallbackShare()/float64(max(j.server.VMCount(), 1)), j.server.Timer.Now())
	if !ok && j.server.SpendBeyondGrant != nil {
		after, given := j.server.SpendBeyondGrant(context.Background(), j.customer.Name, cost)
		if given {
			j.cost = cost
			return nil
		}
		if after > 0 {
			short.after = min(after, maxLimitWait)
		}
	}
	if !ok {
		j.detail = fmt.Sprintf("cost %d, level %.0f, rate %.0f of %d, burst %d, grant %v old", short.cost, short.level,
			short.perSecond, j.customer.RatePerSecond, j.customer.Burst, short.granted)
		return refuse(arbutusfork.CodeLimited, "the customer's limit is used up", short.after)
	}
	j.cost = cost
	return nil
}

// refund returns what the request took from the limit, if it did not run.
func (j *job) refund() {
	if j.cost > 0 {
		j.server.limits.put(j.customer.Name, j.cost)
		j.cost = 0
	}
}

// read takes the body, which the entry has received in full.
func (j *job) read() *arbutusfork.Refusal {
	if j.r.Body == nil {
		return nil
	}
	body, err := readAll(j.r)
	if err != nil {
		return arbutusfork.Refuse(arbutusfork.CodeBadRequest, "the body cannot be read: "+err.Error())
	}
	j.body = body
	return nil
}

// left returns the time until the deadline.
func (j *job) left() time.Duration { return j.deadline.Sub(j.server.Timer.Now()) }

// refuse answers with a refusal.
func (j *job) refuse(r *arbutusfork.Refusal) {
	if j.begun || j.broken {
		return
	}
	h := j.w.Header()
	for k, v := range j.server.Headers.BuildRefusal(j.call.RequestID) {
		h[k] = v
	}
	status := r.Status()
	if r.Outcome != arbutusfork.OutcomeNotRun && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		status = http.StatusGatewayTimeout
	}
	if r.RetryAfter > 0 && r.Outcome == arbutusfork.OutcomeNotRun {
		h.Set("Retry-After", seconds(r.RetryAfter))
	}
	body := []byte(r.Error() + "\n")
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	j.status = status
	j.w.WriteHeader(status)
	if j.r.Method != http.MethodHead {
		_, _ = j.w.Write(body) // The connection's close handling takes a failed write.
	}
}

// seconds formats a time for Retry-After, with fractions.
func seconds(d time.Duration) string {
	return strconv.FormatFloat(math.Ceil(d.Seconds()*100)/100, 'f', -1, 64)
}

// finish logs the decision and counts it.
func (j *job) finish(r *arbutusfork.Refusal) {
	s := j.server
	outcome := arbutusfork.OutcomeAnswered
	if r != nil {
		outcome = r.Outcome
		if outcome == arbutusfork.OutcomeNotRun {
			j.refund()
		}
	}
	s.Metrics.count(j, outcome, r)
	attrs := []slog.Attr{
		slog.String("request", j.call.RequestID), slog.String("route", j.route.Name), slog.Int64("config", j.version),
		slog.String("customer", j.customer.Name), slog.String("service", j.service.Name),
		slog.String("outcome", outcome.String()), slog.Int("status", j.status),
		slog.Duration("total", s.Timer.Now().Sub(j.arrived)), slog.Duration("waited", j.waited),
		slog.Int("sends", j.sends), slog.String("endpoint", j.last),
	}
	if j.call.Model != "" {
		attrs = append(attrs, slog.String("model", j.call.Model), slog.String("adapter", j.call.Adapter),
			slog.Int("events", j.events))
		if !j.first.IsZero() {
			attrs = append(attrs, slog.Duration("first", j.first.Sub(j.arrived)), slog.Duration("pause", j.pause))
		}
	}
	if r != nil {
		attrs = append(attrs, slog.String("code", r.Code.String()), slog.String("cause", r.Message),
			slog.Duration("retry_after", r.RetryAfter))
	}
	if j.broken {
		attrs = append(attrs, slog.Bool("broken", true))
	}
	if j.detail != "" {
		attrs = append(attrs, slog.String("detail", j.detail))
	}
	s.Log.LogAttrs(context.Background(), slog.LevelInfo, "request ended", attrs...)
}

// verdict tells what the end of an attempt says about its endpoint.
func verdict(ok bool) afroster.HealthResult {
	if ok {
		return afroster.HealthSuccess
	}
	return afroster.HealthFailure
}
