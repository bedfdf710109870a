package afbooking

import (
	"sync/atomic"

	"arbutusfork.example/arbutusfork/pkg/afclaim"
	"github.com/prometheus/client_golang/prometheus"
)

// counters are the values behind the metrics of a Service.
type counters struct {
	claimsByVerdict [afclaim.VerdictKeyReused + 1]atomic.Int64
	claimsRefused   atomic.Int64
	recordWrites    atomic.Int64
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
	collectClaims := func(v *atomic.Int64, verdict string) {
		c <- prometheus.MustNewConstMetric(claimsDesc, prometheus.CounterValue, float64(v.Load()), verdict)
	}
	for v := afclaim.VerdictGranted; v <= afclaim.VerdictKeyReused; v++ {
		collectClaims(&s.counters.claimsByVerdict[v], v.String())
	}
	collectClaims(&s.counters.claimsRefused, "refused")
	c <- prometheus.MustNewConstMetric(writesDesc, prometheus.CounterValue, float64(s.counters.recordWrites.Load()))
}
