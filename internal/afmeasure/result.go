package afmeasure

import (
	"fmt"
	"slices"
	"time"
)

// result collects the measures of one day.
type result struct {
	idle      time.Duration // idle is the idle accelerator time.
	starts    []sample
	customers map[int]*account
}

type sample struct {
	model string
	took  time.Duration
	ratio float64
	// adapter tells that an adapter was loaded on a base that was loaded already.
	adapter bool
	at      time.Duration
}

type account struct {
	offered, refused int
	waits            []time.Duration
}

func (r *result) account(q *request) *account {
	if r.customers == nil {
		r.customers = make(map[int]*account)
	}
	a := r.customers[q.customer]
	if a == nil {
		a = &account{}
		r.customers[q.customer] = a
	}
	return a
}

func (r *result) offered(q *request) { r.account(q).offered++ }

func (r *result) refuse(q *request) { r.account(q).refused++ }

func (r *result) wait(q *request, d time.Duration) {
	a := r.account(q)
	a.waits = append(a.waits, d)
}

func (r *result) start(model string, c coldStart, now time.Duration) {
	took := now - c.at
	r.starts = append(r.starts, sample{
		model: model, took: took, ratio: float64(took) / float64(max(c.bare, time.Millisecond)), at: c.at,
		adapter: c.bare < 100*time.Millisecond,
	})
}

// line returns the measures in one line.
func (r *result) line(name string) string {
	var took []time.Duration
	var ratio, adapters []float64
	for _, s := range r.starts {
		if s.adapter {
			adapters = append(adapters, s.ratio)
			continue
		}
		took = append(took, s.took)
		ratio = append(ratio, s.ratio)
	}
	slices.Sort(took)
	slices.Sort(ratio)
	slices.Sort(adapters)
	refused, offered := 0, 0
	worst, share, others := time.Duration(0), 1.0, []time.Duration(nil)
	for _, a := range r.customers {
		slices.Sort(a.waits)
		refused += a.refused
		offered += a.offered
		share = min(share, 1-float64(a.refused)/float64(max(a.offered, 1)))
		if p := quantile(a.waits, 0.99); p > worst {
			worst = p
		}
		others = append(others, quantile(a.waits, 0.99))
	}
	slices.Sort(others)
	return fmt.Sprintf("%-22s %6d %7.2f %7.2f %7.2f %6.2f %6.2f %6.2f %8.2f %7.3f %8.2f %8.2f %7d %8d", name, len(took),
		quantile(took, 0.5).Seconds(), quantile(took, 0.99).Seconds(), quantile(took, 1).Seconds(),
		quantile(ratio, 0.5), quantile(ratio, 0.99), quantile(adapters, 0.99), r.idle.Hours(), share, worst.Seconds(),
		quantile(others, 0.5).Seconds(), refused, offered)
}

const header = "policy                 starts     p50     p99   worst  r-p50  r-p99  a-p99   idle-h   share  w-p99    o-p99 refused  offered"

func quantile[T any](sorted []T, q float64) T {
	var zero T
	if len(sorted) == 0 {
		return zero
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
