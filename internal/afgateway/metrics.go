package afgateway

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"arbutusfork.example/arbutusfork"
)

// Metrics counts requests, attempts and refusals. Routes are not used as labels, since a configuration may contain
// hundreds of them.
type Metrics struct {
	requests       *prometheus.CounterVec
	refusals       *prometheus.CounterVec
	attempts       prometheus.Counter
	retries        *prometheus.CounterVec
	failedAttempts *prometheus.CounterVec
	withheld       *prometheus.CounterVec
	limitedAnswers prometheus.Counter
	brokenAnswers  *prometheus.CounterVec
	firstEventTime *prometheus.HistogramVec
	waitTime       prometheus.Histogram
	limitWaits     *prometheus.CounterVec
	shed           prometheus.Counter
}

// NewMetrics registers the metrics of a gateway and returns them.
func NewMetrics(r prometheus.Registerer) Metrics {
	f := promauto.With(r)
	buckets := prometheus.ExponentialBuckets(0.004, 2, 13)
	return Metrics{
		requests: f.NewCounterVec(prometheus.CounterOpts{
			Name: "arbutusfork_gateway_requests_total", Help: "Forwarded requests by kind of route and outcome.",
		}, []string{"kind", "outcome"}),
		refusals: f.NewCounterVec(prometheus.CounterOpts{
			Name: "arbutusfork_gateway_refusals_total", Help: "Requests that were not answered by an endpoint, by code.",
		}, []string{"code"}),
		attempts: f.NewCounter(prometheus.CounterOpts{
			Name: "arbutusfork_gateway_sends_total", Help: "Requests sent to endpoints, repeats included.",
		}),
		retries: f.NewCounterVec(prometheus.CounterOpts{
			Name: "arbutusfork_gateway_repeats_total", Help: "Second sends that the budget allowed or did not.",
		}, []string{"allowed"}),
		failedAttempts: f.NewCounterVec(prometheus.CounterOpts{
			Name: "arbutusfork_gateway_failed_sends_total", Help: "Sends that may have run and got no whole answer, by the part of the answer that had arrived.",
		}, []string{"progress"}),
		withheld: f.NewCounterVec(prometheus.CounterOpts{
			Name: "arbutusfork_gateway_withheld_answers_total", Help: "Answers withheld from callers since their status would promise that the request did not run, by status.",
		}, []string{"status"}),
		limitedAnswers: f.NewCounter(prometheus.CounterOpts{
			Name: "arbutusfork_gateway_limited_answers_total", Help: "Answers in which an endpoint named a limit of its requests.",
		}),
		brokenAnswers: f.NewCounterVec(prometheus.CounterOpts{
			Name: "arbutusfork_gateway_broken_answers_total", Help: "Answers that ended before they were whole, by the cause.",
		}, []string{"cause"}),
		firstEventTime: f.NewHistogramVec(prometheus.HistogramOpts{
			Name: "arbutusfork_gateway_first_seconds", Help: "Time to the first event of a stream or to a whole answer.", Buckets: buckets,
		}, []string{"kind"}),
		waitTime: f.NewHistogram(prometheus.HistogramOpts{
			Name: "arbutusfork_gateway_wait_seconds", Help: "Time that requests waited for an endpoint.", Buckets: buckets,
		}),
		limitWaits: f.NewCounterVec(prometheus.CounterOpts{
			Name: "arbutusfork_gateway_limit_waits_total", Help: "Requests that waited for units of their customer's limit, by result.",
		}, []string{"result"}),
		shed: f.NewCounter(prometheus.CounterOpts{
			Name: "arbutusfork_gateway_shed_total", Help: "Requests refused before their longest wait was over, since too many went before them.",
		}),
	}
}

// RegisterGauges registers the metrics whose values are read at each collection.
func (s *Server) RegisterGauges(r prometheus.Registerer) {
	gauge := func(name, help string, fn func() int) {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return float64(fn()) }))
	}
	gauge("arbutusfork_gateway_waiting", "Requests that wait for an endpoint.", s.queue.length)
	gauge("arbutusfork_gateway_running", "Requests in progress, those that wait included.", func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.cancelByRequest)
	})
}

// countRetry counts a retry that the retry budget allowed or denied.
func (m Metrics) countRetry(allowed bool) {
	if m.retries != nil {
		m.retries.WithLabelValues(strconv.FormatBool(allowed)).Inc()
	}
}

// countShed counts a request that is refused because too many go before it.
func (m Metrics) countShed() {
	if m.shed != nil {
		m.shed.Inc()
	}
}

// countFailedAttempt counts an attempt that may have run and got no whole answer.
func (m Metrics) countFailedAttempt(result attemptResult) {
	if m.failedAttempts != nil && !result.notRun {
		m.failedAttempts.WithLabelValues(result.progress.String()).Inc()
	}
}

// countWithheld counts an answer of an endpoint that is withheld from the caller because of its status.
func (m Metrics) countWithheld(status int) {
	if m.withheld != nil {
		m.withheld.WithLabelValues(strconv.Itoa(status)).Inc()
	}
}

// countLimit counts an answer in which the endpoint named a limit.
func (m Metrics) countLimit(limit float64) {
	if m.limitedAnswers != nil && limit > 0 {
		m.limitedAnswers.Inc()
	}
}

// countRequest counts the outcome of a request and observes its times.
func (m Metrics) countRequest(p *proxiedRequest, outcome arbutusfork.Outcome, refusal *arbutusfork.Refusal) {
	if m.requests == nil {
		return
	}
	kind := p.route.Kind.String()
	m.requests.WithLabelValues(kind, outcome.String()).Inc()
	m.attempts.Add(float64(p.sends))
	if p.responseBroken {
		m.brokenAnswers.WithLabelValues(p.breakCause.String()).Inc()
	}
	if refusal != nil {
		m.refusals.WithLabelValues(refusal.Code.String()).Inc()
	}
	if !p.firstEventAt.IsZero() {
		m.firstEventTime.WithLabelValues(kind).Observe(p.firstEventAt.Sub(p.arrivedAt).Seconds())
	}
	if p.waitTime > 0 {
		m.waitTime.Observe(p.waitTime.Seconds())
	}
}
