package afbooking

import (
	"sync/atomic"

	"arbutusfork.example/arbutusfork/pkg/afclaim"
	"github.com/prometheus/client_golang/prometheus"
)

type counts struct {
	verdicts [afclaim.VerdictKeyReused + 1]atomic.Int64
	refused  atomic.Int64
	writes   atomic.Int64
}

var (
	claimsDesc = prometheus.NewDesc("arbutusfork_claims_total", "Claims by verdict.", []string{"verdict"}, nil)
	writesDesc = prometheus.NewDesc("arbutusfork_claim_writes_total", "Claim record writes sent to the platform.", nil, nil)
)

// Describe implements prometheus.Collector.
func (s *Service) Describe(c chan<- *prometheus.Desc) {
	c <- claimsDesc
	c <- writesDesc
}

// Collect implements prometheus.Collector.
func (s *Service) Collect(c chan<- prometheus.Metric) {
	claims := func(v *atomic.Int64, verdict string) {
		c <- prometheus.MustNewConstMetric(claimsDesc, prometheus.CounterValue, float64(v.Load()), verdict)
	}
	for v := afclaim.VerdictGranted; v <= afclaim.VerdictKeyReused; v++ {
		claims(&s.counts.verdicts[v], v.String())
	}
	claims(&s.counts.refused, "refused")
	c <- prometheus.MustNewConstMetric(writesDesc, prometheus.CounterValue, float64(s.counts.writes.Load()))
}
