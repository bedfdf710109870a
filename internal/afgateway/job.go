package afgateway

import (
	"context"
	"crypto/rand"
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
	// responseMargin is the time before a deadline at which the final response is sent, so that it arrives in time.
	responseMargin = 30 * time.Millisecond
	// defaultTimeout is the timeout of requests without a timeout of the caller or the route.
	defaultTimeout = 30 * time.Second
	// startRetryAfter is the Retry-After before the first configuration is loaded.
	startRetryAfter = 300 * time.Millisecond
	// stopRetryAfter is the Retry-After of a VM that is stopping. Other VMs can serve a retry at once.
	stopRetryAfter = 50 * time.Millisecond
)

// proxiedRequest is one request in progress. Its fields belong to the goroutine that serves it.
type proxiedRequest struct {
	server *Server
	caller *afentry.CallerConn
	w      http.ResponseWriter
	r      *http.Request
	// arrivedAt is the time at which the gateway received the request.
	arrivedAt time.Time

	headers RequestHeaders
	// partIDs are the IDs of the parts of the prompt.
	partIDs     []string
	route       afroute.Route
	service     afroute.Service
	customer    afroute.Customer
	hasCustomer bool
	// configVersion is the version of the configuration by which the request is served.
	configVersion int64
	body          []byte
	// deadline is the time by which the response must be sent.
	deadline time.Time
	// priority is the priority of the route or the customer. Zero is the most urgent.
	priority int
	// cost is what the request costs of the customer's limit, or 0 if the customer has none.
	cost int64
	// chargedUnits is the number of units that were taken from the customer's limit.
	chargedUnits int64
	// limitAsks is how often the request asked for units, and limitWait how long it waited for them.
	limitAsks int
	limitWait time.Duration

	// endpointError is a response with a server error, which the caller gets if no other endpoint answers. While an attempt is live,
	// it belongs to the attemptOwner, as do timedOutEndpoints, askAgainAt, avoidedEndpoint and lastEndpoint.
	endpointError *bufferedResponse

	// timedOutEndpoints holds the IDs of the silent endpoints that another one has replaced.
	timedOutEndpoints map[string]bool
	// askAgainAt is when a second attempt may be sent to an endpoint that failed the request before.
	askAgainAt time.Time

	// sends is the number of times that the request was sent to an endpoint. It is set when all attempts have ended.
	sends int
	// timeoutSpread is the random part of the request's timeouts, as a fraction of them.
	timeoutSpread float64
	// waitTime is the total time for which the request waited for an endpoint.
	waitTime time.Duration
	// firstEventAt is the time at which the response to the caller began.
	firstEventAt time.Time
	// lastEventAt is the time of the latest relayed event, and maxEventInterval the longest time between two of them.
	lastEventAt      time.Time
	maxEventInterval time.Duration
	// lastEndpoint is the ID of the endpoint of the latest attempt or of the one that has answered.
	lastEndpoint string
	// avoidedEndpoint is the ID of the endpoint of the latest attempt if it refused or was silent, or empty.
	avoidedEndpoint string
	// responseStarted means that the head of the response was sent to the caller.
	responseStarted bool
	// slotDenials is the number of times that a limited endpoint had no slot for the request.
	slotDenials int
	// startDenials is the number of times in a row that an engine granted no start.
	startDenials int
	// namedLimit is the limit that the endpoint of the latest attempt named, in requests a second, or 0.
	namedLimit float64
	// isRelayingLong means that a part of a long body was sent to the caller, so that the request cannot be sent again.
	isRelayingLong bool
	// responseBroken means that the connection to the caller was closed before the response was complete.
	responseBroken bool
	// breakCause is why the latest attempt, or the response, was not completed.
	breakCause breakCause
	// statusCode is the status of the response to the caller.
	statusCode int
	// position is how far the stream to the caller has come.
	position streamPosition
	// detail is an addition to the log line of the request.
	detail string
}

// serve serves the request. It returns a refusal if the caller has not got a response.
func (p *proxiedRequest) serve() *arbutusfork.Refusal {
	s := p.server
	headers, err := s.HeaderCodec.ParseRequest(p.r.Header)
	if headers.RequestID == "" {
		headers.RequestID = rand.Text() // Without an ID, nothing shows that an endpoint's response belongs to the request.
	}
	p.headers, p.partIDs = headers, partIDs(headers)
	if err != nil {
		return arbutusfork.NewRefusal(arbutusfork.CodeBadRequest, err.Error())
	}
	table := s.Table()
	if table == nil {
		return newRefusal(arbutusfork.CodeConfigurationStale, "no configuration is known yet", startRetryAfter)
	}
	p.configVersion = table.Version
	if p.caller.OpenedWhileDraining() || s.stopping.Load() {
		p.caller.CloseAfterResponse()
		return newRefusal(arbutusfork.CodeShuttingDown, "the server is stopping", stopRetryAfter)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	if !p.caller.CancelOnDisconnect(cancel) {
		p.detail = "caller disconnected"
		return nil
	}
	if refusal := p.admitRequest(ctx, table); refusal != nil {
		return refusal
	}
	s.addRunning(p, cancel)
	defer s.removeRunning(p)
	return p.runAttempts(ctx)
}

// admitRequest finds the route and the service and checks the key, the model, the body, whether an endpoint may take the request, and the
// limit. The limit comes last, since the request may wait for it.
func (p *proxiedRequest) admitRequest(ctx context.Context, table *afroute.Table) *arbutusfork.Refusal {
	s := p.server
	route, ok := table.MatchRoute(p.r.Host, p.r.URL.Path)
	if !ok {
		return arbutusfork.NewRefusal(arbutusfork.CodeUnknownRoute, "no route for this host and path")
	}
	p.route = route
	if isStream(route) && !p.r.ProtoAtLeast(1, 1) {
		// Without chunks, a stream that breaks off would look complete.
		return arbutusfork.NewRefusal(arbutusfork.CodeBadRequest, "streams need HTTP/1.1")
	}
	if table.RequiresKey() && !route.IsPublic {
		p.customer, p.hasCustomer = table.CustomerByKey(p.headers.Key)
		if !p.hasCustomer {
			return arbutusfork.NewRefusal(arbutusfork.CodeInvalidKey, "unknown key")
		}
	}
	p.priority = route.Priority
	if p.hasCustomer && p.customer.HasPriority {
		p.priority = p.customer.Priority
	}
	name := route.PickService(s.Random())
	if p.service, ok = table.Service(name); !ok {
		return newRefusal(arbutusfork.CodeNoCapacity, "the route's service "+strconv.Quote(name)+" is not configured", time.Second)
	}
	timeout := p.headers.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	p.deadline = p.arrivedAt.Add(timeout - responseMargin)
	if engine := p.service.Engine; engine != nil {
		if _, known := engine.Models[p.headers.Model]; !known {
			return newRefusal(arbutusfork.CodeNoCapacity, "the service does not offer model "+strconv.Quote(p.headers.Model), time.Second)
		}
	}
	if refusal := p.refuseQuarantined(); refusal != nil {
		return refusal
	}
	if refusal := p.refuseBeforeStop(); refusal != nil {
		return refusal
	}
	if refusal := p.readBody(); refusal != nil {
		return refusal
	}
	if refusal := p.refuseEvacuated(); refusal != nil {
		return refusal
	}
	if refusal := p.refuseRegions(); refusal != nil {
		return refusal
	}
	return p.chargeLimit(ctx)
}

// refundLimit returns the cost of a request that did not run to the customer's limit.
func (p *proxiedRequest) refundLimit() {
	if p.chargedUnits > 0 {
		p.server.limits.returnUnits(p.customer.Name, p.chargedUnits)
		p.chargedUnits = 0
	}
}

// timeLeft returns the time until the deadline.
func (p *proxiedRequest) timeLeft() time.Duration { return p.deadline.Sub(p.server.Timer.Now()) }

// writeRefusal sends a refusal to the caller unless a response was started.
func (p *proxiedRequest) writeRefusal(refusal *arbutusfork.Refusal) {
	if p.responseStarted || p.responseBroken {
		return
	}
	h := p.w.Header()
	for k, v := range p.server.HeaderCodec.BuildRefusal(p.headers.RequestID) {
		h[k] = v
	}
	status := refusal.HTTPStatus()
	if refusal.RetryAfter > 0 && refusal.Outcome == arbutusfork.OutcomeNotRun {
		h.Set("Retry-After", formatSeconds(refusal.RetryAfter))
	}
	body := []byte(refusal.Error() + "\n")
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	p.statusCode = status
	p.w.WriteHeader(status)
	if p.r.Method != http.MethodHead {
		_, _ = p.w.Write(body) // A failed write is handled when the connection is closed.
	}
}

// formatSeconds formats a duration for Retry-After in seconds, with fractions.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(math.Ceil(d.Seconds()*100)/100, 'f', -1, 64)
}

// recordOutcome logs and counts the outcome of the request.
func (p *proxiedRequest) recordOutcome(refusal *arbutusfork.Refusal) {
	s := p.server
	outcome := arbutusfork.OutcomeAnswered
	if refusal != nil {
		outcome = refusal.Outcome
		if outcome == arbutusfork.OutcomeNotRun {
			p.refundLimit()
		}
	}
	if refusal == nil && !p.responseBroken && p.statusCode >= http.StatusOK && p.statusCode < http.StatusBadRequest {
		s.stop.recordAnswer(p.route.Name, s.Timer.Now().Sub(p.arrivedAt)-p.waitTime-p.limitWait, s.Timer.Now())
	}
	s.Metrics.countRequest(p, outcome, refusal)
	attrs := []slog.Attr{
		slog.String("request", p.headers.RequestID), slog.String("route", p.route.Name), slog.Int64("config", p.configVersion),
		slog.String("customer", p.customer.Name), slog.Int64("cost", p.cost), slog.String("service", p.service.Name),
		slog.String("outcome", outcome.String()), slog.Int("status", p.statusCode),
		slog.Duration("total", s.Timer.Now().Sub(p.arrivedAt)), slog.Duration("waited", p.waitTime),
		slog.Int("sends", p.sends), slog.String("endpoint", p.lastEndpoint),
	}
	if p.headers.Model != "" {
		attrs = append(attrs, slog.String("model", p.headers.Model), slog.String("adapter", p.headers.Adapter),
			slog.Int("events", p.position.events), slog.String("parts", formatSharedParts(p.headers)))
		if !p.firstEventAt.IsZero() {
			attrs = append(attrs, slog.Duration("first", p.firstEventAt.Sub(p.arrivedAt)), slog.Duration("pause", p.maxEventInterval))
		}
	}
	if refusal != nil {
		attrs = append(attrs, slog.String("code", refusal.Code.String()), slog.String("cause", refusal.Message),
			slog.Duration("retry_after", refusal.RetryAfter))
	}
	if p.limitWait > 0 {
		attrs = append(attrs, slog.Duration("limit_wait", p.limitWait), slog.Int("limit_asks", p.limitAsks))
	}
	if p.namedLimit > 0 {
		attrs = append(attrs, slog.Float64("limit", p.namedLimit))
	}
	if p.responseBroken {
		attrs = append(attrs, slog.Bool("broken", true), slog.String("broken_by", p.breakCause.String()))
		if table := s.Table(); table != nil {
			attrs = append(attrs, slog.Int64("config_at_end", table.Version))
		}
	}
	if p.detail != "" {
		attrs = append(attrs, slog.String("detail", p.detail))
	}
	s.Log.LogAttrs(context.Background(), slog.LevelInfo, "request ended", attrs...)
}

// healthResult returns the health result of an attempt that succeeded or failed.
func healthResult(ok bool) afroster.HealthResult {
	if ok {
		return afroster.HealthSuccess
	}
	return afroster.HealthFailure
}
