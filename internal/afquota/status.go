package afquota

import (
	"sync/atomic"

	"arbutusfork.example/arbutusfork/pkg/aflimit"
	"github.com/prometheus/client_golang/prometheus"
)

// Status is the state of one customer's limit on this VM. Parts are out of TotalParts. Tokens are whole tokens.
type Status struct {
	Customer string `json:"customer"`
	// TotalParts is the number of parts that the limit is divided into.
	TotalParts int64 `json:"whole"`
	// BaseParts is the VM's base share.
	BaseParts int64 `json:"base"`
	// LentParts are the parts of the base share that other VMs hold on loan.
	LentParts aflimit.Parts `json:"lent"`
	// HeldParts are the parts that the VM may use now.
	HeldParts aflimit.Parts `json:"held"`
	// LevelTokens is the number of tokens that can be reserved now.
	LevelTokens int64 `json:"level"`
	// DemandRate is the recent demand in tokens per second.
	DemandRate int64 `json:"demand"`
	// RecordVersion is the version of the cached share record.
	RecordVersion int64 `json:"record"`
}

// counters are the values behind the metrics of a Service.
type counters struct {
	requestsAdmitted, requestsRefused, loanRounds, loansGiven, loansTaken, loansRenewed, loansReturned, recordWrites atomic.Int64
}

var (
	requestsDesc = prometheus.NewDesc("arbutusfork_quota_requests_total", "Requests by result of the limit.", []string{"result"}, nil)
	loansDesc    = prometheus.NewDesc("arbutusfork_quota_loans_total", "Loan events of this VM.", []string{"event"}, nil)
	writesDesc   = prometheus.NewDesc("arbutusfork_quota_record_writes_total", "Share record writes sent to the platform.", nil, nil)
	shareDesc    = prometheus.NewDesc("arbutusfork_quota_share_ratio", "Share of a customer's limit by kind.", []string{"customer", "kind"}, nil)
	levelDesc    = prometheus.NewDesc("arbutusfork_quota_level_tokens", "Tokens that a customer can reserve at this VM now.", []string{"customer"}, nil)
)

// Describe implements prometheus.Collector.
func (s *Service) Describe(c chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{requestsDesc, loansDesc, writesDesc, shareDesc, levelDesc} {
		c <- d
	}
}

// Collect implements prometheus.Collector.
func (s *Service) Collect(c chan<- prometheus.Metric) {
	counter := func(d *prometheus.Desc, v *atomic.Int64, labels ...string) {
		c <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v.Load()), labels...)
	}
	counter(requestsDesc, &s.counters.requestsAdmitted, "admitted")
	counter(requestsDesc, &s.counters.requestsRefused, "refused")
	counter(loansDesc, &s.counters.loanRounds, "round")
	counter(loansDesc, &s.counters.loansGiven, "given")
	counter(loansDesc, &s.counters.loansTaken, "taken")
	counter(loansDesc, &s.counters.loansRenewed, "renewed")
	counter(loansDesc, &s.counters.loansReturned, "returned")
	counter(writesDesc, &s.counters.recordWrites)
	for _, x := range s.Status() {
		share := func(kind string, parts int64) {
			c <- prometheus.MustNewConstMetric(shareDesc, prometheus.GaugeValue, float64(parts)/float64(x.TotalParts), x.Customer, kind)
		}
		share("base", x.BaseParts)
		share("lent_rate", x.LentParts.Rate)
		share("lent_burst", x.LentParts.Burst)
		share("held_rate", x.HeldParts.Rate)
		share("held_burst", x.HeldParts.Burst)
		c <- prometheus.MustNewConstMetric(levelDesc, prometheus.GaugeValue, float64(x.LevelTokens), x.Customer)
	}
}

// Status returns the state of each customer's limit on this VM, in order of the customers' names.
func (s *Service) Status() []Status {
	var out []Status
	for _, a := range s.sortedAccounts() {
		a.mu.Lock()
		now := s.now()
		out = append(out, Status{
			Customer: a.name, TotalParts: aflimit.TotalParts, BaseParts: a.limiter.BaseParts(), LentParts: a.limiter.LentParts(), HeldParts: a.limiter.HeldParts(),
			LevelTokens: a.limiter.Level(now).WholeTokens(), DemandRate: a.limiter.DemandRate(now).WholeTokens(), RecordVersion: a.shareView.Version(),
		})
		a.mu.Unlock()
	}
	return out
}
