package afentry

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// metrics are the server's counters. They work unregistered when there is no registry.
type metrics struct {
	requests *prometheus.CounterVec
	refused  *prometheus.CounterVec
	first    *prometheus.HistogramVec
	running  prometheus.Gauge
	streams  prometheus.Gauge
	conns    prometheus.Gauge
}

func newMetrics(r prometheus.Registerer) metrics {
	f := promauto.With(r)
	return metrics{
		requests: f.NewCounterVec(prometheus.CounterOpts{
			Name: "arbutusfork_requests_total", Help: "Requests by route and outcome.",
		}, []string{"route", "outcome"}),
		refused: f.NewCounterVec(prometheus.CounterOpts{
			Name: "arbutusfork_refusals_total", Help: "Refusals by code.",
		}, []string{"code"}),
		first: f.NewHistogramVec(prometheus.HistogramOpts{
			Name: "arbutusfork_first_byte_seconds", Help: "Time to the first byte of the answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}, []string{"route"}),
		running: f.NewGauge(prometheus.GaugeOpts{Name: "arbutusfork_requests_running", Help: "Requests in progress."}),
		streams: f.NewGauge(prometheus.GaugeOpts{Name: "arbutusfork_streams_open", Help: "Open streams."}),
		conns:   f.NewGauge(prometheus.GaugeOpts{Name: "arbutusfork_connections", Help: "Callers' connections."}),
	}
}
