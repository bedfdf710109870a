package afquota

import (
	"sync/atomic"

	"arbutusfork.example/arbutusfork/pkg/aflimit"
	"github.com/prometheus/client_golang/prometheus"
)

// Status is one customer's limit as this VM applies it. Parts are out of TotalParts, tokens are whole ones.
type Status struct {
	Customer   string `json:"customer"`
	TotalParts int64  `json:"whole"`
	BaseParts  int64  `json:"base"`
	// LentParts and HeldParts are parts of the rate and of the burst.
	LentParts     aflimit.Parts `json:"lent"`
	HeldParts     aflimit.Parts `json:"held"`
	LevelTokens   int64         `json:"level"`
	DemandRate    int64         `json:"demand"`
	RecordVersion int64         `json:"record"`
}

type counts struct {
	admitted, refused, rounds, given, taken, renewed, givenBack, writes atomic.Int64
}

var (
	requestsDesc = prometheus.NewDesc("arbutusfork_quota_requests_total", "Requests by result of the limit.", []string{"result"}, nil)
	loansDesc    = prometheus.NewDesc("arbutusfork_quota_loans_total", "Loan events of this VM.", []string{"event"}, nil)
	writesDesc   = prometheus.NewDesc("arbutusfork_quota_record_writes_total", "Share record writes sent to the platform.", nil, nil)
	partsDesc    = prometheus.NewDesc("arbutusfork_quota_share_ratio", "Share of a customer's limit by kind.", []string{"customer", "kind"}, nil)
	levelDesc    = prometheus.NewDesc("arbutusfork_quota_level_tokens", "Tokens that a customer can reserve at this VM now.", []string{"customer"}, nil)
)

// Describe implements prometheus.Collector.
func (s *Service) Describe(c chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{requestsDesc, loansDesc, writesDesc, partsDesc, levelDesc} {
		c <- d
	}
}

// Collect implements prometheus.Collector.
func (s *Service) Collect(c chan<- prometheus.Metric) {
	counter := func(d *prometheus.Desc, v *atomic.Int64, labels ...string) {
		c <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v.Load()), labels...)
	}
	counter(requestsDesc, &s.counts.admitted, "admitted")
	counter(requestsDesc, &s.counts.refused, "refused")
	counter(loansDesc, &s.counts.rounds, "round")
	counter(loansDesc, &s.counts.given, "given")
	counter(loansDesc, &s.counts.taken, "taken")
	counter(loansDesc, &s.counts.renewed, "renewed")
	counter(loansDesc, &s.counts.givenBack, "returned")
	counter(writesDesc, &s.counts.writes)
	for _, x := range s.Status() {
		share := func(kind string, parts int64) {
			c <- prometheus.MustNewConstMetric(partsDesc, prometheus.GaugeValue, float64(parts)/float64(x.TotalParts), x.Customer, kind)
		}
		share("base", x.BaseParts)
		share("lent_rate", x.LentParts.Rate)
		share("lent_burst", x.LentParts.Burst)
		share("held_rate", x.HeldParts.Rate)
		share("held_burst", x.HeldParts.Burst)
		c <- prometheus.MustNewConstMetric(levelDesc, prometheus.GaugeValue, float64(x.LevelTokens), x.Customer)
	}
}

// Status returns the state of each customer's limit on this VM, in order of name.
func (s *Service) Status() []Status {
	var out []Status
	for _, a := range s.all() {
		a.mu.Lock()
		now := s.now()
		out = append(out, Status{
			Customer: a.name, TotalParts: aflimit.TotalParts, BaseParts: a.state.BaseParts(), LentParts: a.state.LentParts(), HeldParts: a.state.HeldParts(),
			LevelTokens: a.state.Level(now).WholeTokens(), DemandRate: a.state.DemandRate(now).WholeTokens(), RecordVersion: a.share.Version(),
		})
		a.mu.Unlock()
	}
	return out
}
