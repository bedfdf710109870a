package afgateway

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"arbutusfork.example/arbutusfork"
)

// Metrics counts what the gateway does. Routes are not labels, since a configuration may hold hundreds of them.
type Metrics struct {
	requests *prometheus.CounterVec
	refused  *prometheus.CounterVec
	sends    prometheus.Counter
	repeats  *prometheus.CounterVec
	first    *prometheus.HistogramVec
	waited   prometheus.Histogram
}

// NewMetrics registers the counters.
func NewMetrics(r prometheus.Registerer) Metrics {
	f := promauto.With(r)
	buckets := prometheus.ExponentialBuckets(0.004, 2, 13)
	return Metrics{
		requests: f.NewCounterVec(prometheus.CounterOpts{
			Name: "arbutusfork_gateway_requests_total", Help: "Forwarded requests by kind of route and outcome.",
		}, []string{"kind", "outcome"}),
		refused: f.NewCounterVec(prometheus.CounterOpts{
			Name: "arbutusfork_gateway_refusals_total", Help: "Requests that were not answered by an endpoint, by code.",
		}, []string{"code"}),
		sends: f.NewCounter(prometheus.CounterOpts{
			Name: "arbutusfork_gateway_sends_total", Help: "Requests sent to endpoints, repeats included.",
		}),
		repeats: f.NewCounterVec(prometheus.CounterOpts{
			Name: "arbutusfork_gateway_repeats_total", Help: "Second sends that the budget allowed or did not.",
		}, []string{"allowed"}),
		first: f.NewHistogramVec(prometheus.HistogramOpts{
			Name: "arbutusfork_gateway_first_seconds", Help: "Time to the first event of a stream or to a whole answer.", Buckets: buckets,
		}, []string{"kind"}),
		waited: f.NewHistogram(prometheus.HistogramOpts{
			Name: "arbutusfork_gateway_wait_seconds", Help: "Time that requests waited for an endpoint.", Buckets: buckets,
		}),
	}
}

// RegisterGauges registers what is read when the metrics are asked for.
func (s *Server) RegisterGauges(r prometheus.Registerer) {
	gauge := func(name, help string, fn func() int) {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return float64(fn()) }))
	}
	gauge("arbutusfork_gateway_waiting", "Requests that wait for an endpoint.", s.queue.size)
	gauge("arbutusfork_gateway_running", "Requests in progress, those that wait included.", func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.running)
	})
}

// repeat counts a decision on a second send.
func (m Metrics) repeat(allowed bool) {
	if m.repeats != nil {
		m.repeats.WithLabelValues(strconv.FormatBool(allowed)).Inc()
	}
}

func (m Metrics) count(j *job, outcome arbutusfork.Outcome, r *arbutusfork.Refusal) {
	if m.requests == nil {
		return
	}
	kind := j.route.Kind.String()
	m.requests.WithLabelValues(kind, outcome.String()).Inc()
	m.sends.Add(float64(j.sends))
	if r != nil {
		m.refused.WithLabelValues(r.Code.String()).Inc()
	}
	if !j.first.IsZero() {
		m.first.WithLabelValues(kind).Observe(j.first.Sub(j.arrived).Seconds())
	}
	if j.waited > 0 {
		m.waited.Observe(j.waited.Seconds())
	}
}
