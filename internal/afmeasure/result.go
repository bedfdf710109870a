package afmeasure

import (
	"fmt"
	"slices"
	"time"
)

// result collects the measurements of one simulated day.
type result struct {
	idleAcceleratorTime time.Duration
	coldStarts          []coldStartSample
	customers           map[int]*customerCounter
}

// coldStartSample is one completed cold start of a model.
type coldStartSample struct {
	model    string
	duration time.Duration
	// bareLoadRatio is the duration divided by the load time from the nearest cache.
	bareLoadRatio float64
	// isAdapterOnly reports whether an adapter was loaded while its base model was already loaded.
	isAdapterOnly bool
	startedAt     time.Duration
}

// customerCounter counts the requests of one customer.
type customerCounter struct {
	offeredRequests, refusedRequests int
	waitTimes                        []time.Duration
}

// ensureCounter returns the counter of the customer of q, and creates one for the first request.
func (r *result) ensureCounter(q *request) *customerCounter {
	if r.customers == nil {
		r.customers = make(map[int]*customerCounter)
	}
	a := r.customers[q.customerIndex]
	if a == nil {
		a = &customerCounter{}
		r.customers[q.customerIndex] = a
	}
	return a
}

func (r *result) countOffered(q *request) { r.ensureCounter(q).offeredRequests++ }

func (r *result) countRefused(q *request) { r.ensureCounter(q).refusedRequests++ }

func (r *result) recordWait(q *request, d time.Duration) {
	a := r.ensureCounter(q)
	a.waitTimes = append(a.waitTimes, d)
}

func (r *result) recordColdStart(model string, c coldStart, now time.Duration) {
	duration := now - c.startedAt
	r.coldStarts = append(r.coldStarts, coldStartSample{
		model: model, duration: duration, bareLoadRatio: float64(duration) / float64(max(c.bareLoadDuration, time.Millisecond)), startedAt: c.startedAt,
		isAdapterOnly: c.bareLoadDuration < 100*time.Millisecond,
	})
}

// formatLine returns the measurements as one line of the table, under the columns of tableHeader.
func (r *result) formatLine(name string) string {
	var durations []time.Duration
	var ratios, adapterRatios []float64
	for _, s := range r.coldStarts {
		if s.isAdapterOnly {
			adapterRatios = append(adapterRatios, s.bareLoadRatio)
			continue
		}
		durations = append(durations, s.duration)
		ratios = append(ratios, s.bareLoadRatio)
	}
	slices.Sort(durations)
	slices.Sort(ratios)
	slices.Sort(adapterRatios)
	refused, offered := 0, 0
	worstWait, worstServedShare, customerP99s := time.Duration(0), 1.0, []time.Duration(nil)
	for _, a := range r.customers {
		slices.Sort(a.waitTimes)
		refused += a.refusedRequests
		offered += a.offeredRequests
		worstServedShare = min(worstServedShare, 1-float64(a.refusedRequests)/float64(max(a.offeredRequests, 1)))
		if p := quantile(a.waitTimes, 0.99); p > worstWait {
			worstWait = p
		}
		customerP99s = append(customerP99s, quantile(a.waitTimes, 0.99))
	}
	slices.Sort(customerP99s)
	return fmt.Sprintf("%-22s %6d %7.2f %7.2f %7.2f %6.2f %6.2f %6.2f %8.2f %7.3f %8.2f %8.2f %7d %8d", name, len(durations),
		quantile(durations, 0.5).Seconds(), quantile(durations, 0.99).Seconds(), quantile(durations, 1).Seconds(),
		quantile(ratios, 0.5), quantile(ratios, 0.99), quantile(adapterRatios, 0.99), r.idleAcceleratorTime.Hours(), worstServedShare, worstWait.Seconds(),
		quantile(customerP99s, 0.5).Seconds(), refused, offered)
}

const tableHeader = "policy                 starts     p50     p99   worst  r-p50  r-p99  a-p99   idle-h   share  w-p99    o-p99 refused  offered"

// quantile returns the q-quantile of sorted values, or zero if there are none.
func quantile[T any](sorted []T, q float64) T {
	var zero T
	if len(sorted) == 0 {
		return zero
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
