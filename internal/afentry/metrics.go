package afentry

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// metrics holds the server's metrics. They are usable without being registered if there is no registry.
type metrics struct {
	requests *prometheus.CounterVec
	refusals *prometheus.CounterVec
	// firstByteSeconds is the time from the arrival of a request to the first byte of its response.
	firstByteSeconds *prometheus.HistogramVec
	runningRequests  prometheus.Gauge
	openStreams      prometheus.Gauge
	openConns        prometheus.Gauge
}

// newMetrics creates the metrics and registers them unless r is nil.
func newMetrics(r prometheus.Registerer) metrics {
	f := promauto.With(r)
	return metrics{
		requests: f.NewCounterVec(prometheus.CounterOpts{
			Name: "arbutusfork_requests_total", Help: "Requests by route and outcome.",
		}, []string{"route", "outcome"}),
		refusals: f.NewCounterVec(prometheus.CounterOpts{
			Name: "arbutusfork_refusals_total", Help: "Refusals by code.",
		}, []string{"code"}),
		firstByteSeconds: f.NewHistogramVec(prometheus.HistogramOpts{
			Name: "arbutusfork_first_byte_seconds", Help: "Time to the first byte of the answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}, []string{"route"}),
		runningRequests: f.NewGauge(prometheus.GaugeOpts{Name: "arbutusfork_requests_running", Help: "Requests in progress."}),
		openStreams:     f.NewGauge(prometheus.GaugeOpts{Name: "arbutusfork_streams_open", Help: "Open streams."}),
		openConns:       f.NewGauge(prometheus.GaugeOpts{Name: "arbutusfork_connections", Help: "Callers' connections."}),
	}
}
