package afscheduler

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"arbutusfork.example/arbutusfork/pkg/afprefill"
)

// Metrics counts requests for starts by result.
type Metrics struct {
	starts     *prometheus.CounterVec
	unanswered prometheus.Counter
	slowdowns  prometheus.Counter
	waits      prometheus.Histogram
}

// NewMetrics registers the metrics and returns them.
func NewMetrics(r prometheus.Registerer) Metrics {
	f := promauto.With(r)
	return Metrics{
		starts: f.NewCounterVec(prometheus.CounterOpts{
			Name: "arbutusfork_engine_starts_total", Help: "Requests of this VM for starts at engines, by whether one was granted.",
		}, []string{"granted"}),
		unanswered: f.NewCounter(prometheus.CounterOpts{
			Name: "arbutusfork_engine_starts_unanswered_total", Help: "Requests for starts that the engine's home VM did not answer, so that this VM decided alone.",
		}),
		slowdowns: f.NewCounter(prometheus.CounterOpts{
			Name: "arbutusfork_engine_slowdowns_total", Help: "Times that this VM lowered the pace of an engine because an event of a stream came late.",
		}),
		waits: f.NewHistogram(prometheus.HistogramOpts{
			Name: "arbutusfork_engine_start_wait_seconds", Help: "Time for which granted starts were delayed.", Buckets: prometheus.ExponentialBuckets(0.004, 2, 9),
		}),
	}
}

func (m Metrics) countStart(g afprefill.Grant) {
	if m.starts == nil {
		return
	}
	if !g.IsGranted {
		m.starts.WithLabelValues("false").Inc()
		return
	}
	m.starts.WithLabelValues("true").Inc()
	m.waits.Observe(g.Wait.Seconds())
}

func (m Metrics) countUnanswered() {
	if m.unanswered != nil {
		m.unanswered.Inc()
	}
}

func (m Metrics) countSlowdown() {
	if m.slowdowns != nil {
		m.slowdowns.Inc()
	}
}
