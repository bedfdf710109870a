package afsoak

import (
	"maps"
	"slices"
	"time"
)

const (
	// retryRatio and retryWindow are the retry budget in the settings of the VMs. It holds for each service, over all VMs.
	retryRatio, retryWindow = 0.2, 10 * time.Second
	// extraRetries is the part of the budget that needs no requests. A small one shows VMs that use more than their shares.
	extraRetries = 10
)

// checkRetryBudget checks the number of further sends to endpoints in each window, by service and over all VMs. The caller holds
// the locks of fleet and callers.
func (s *Soak) checkRetryBudget() {
	requests, retries := map[string][]time.Time{}, map[string][]time.Time{} // By service.
	retriesBy := map[string][]time.Time{}                                   // By VM and service.
	for _, req := range s.callers.calls {
		service := serviceOfRoute(req.path)
		requests[service] = append(requests[service], req.sentAt)
		if arrivals := s.fleet.arrivals[req.id]; len(arrivals) > 1 {
			retries[service] = append(retries[service], arrivals[1:]...)
			by := req.vm.name + " " + service
			retriesBy[by] = append(retriesBy[by], arrivals[1:]...)
		}
	}
	for _, service := range slices.Sorted(maps.Keys(requests)) {
		use := mostOfBudget(requests[service], retries[service], extraRetries)
		countBy := map[string]int{}
		for by, times := range retriesBy {
			countBy[by] = countInWindow(times, use.end)
		}
		s.logEvent("service %s: %d second sends, most of the budget in the %v before %s: %d of %.1f, of all services by VM %v",
			service, len(retries[service]), retryWindow, use.end.Format("15:04:05.000"), use.n, use.allowed, countBy)
		if use.isOver() {
			s.reportViolation("RETRIES", "%d second sends to the service %s in the %v before %s, the budget allows %.1f: %v",
				use.n, service, retryWindow, use.end.Format("15:04:05.000"), use.allowed, countBy)
		}
	}
}

// budgetUse is the use of the retry budget of one service in one window.
type budgetUse struct {
	end     time.Time
	n       int
	allowed float64 // allowed is the number of retries that the budget allows for the requests of the window.
}

// isOver reports whether there were more retries than the budget allows.
func (u budgetUse) isOver() bool { return float64(u.n) > u.allowed }

// mostOfBudget returns the use in the window in which the retries of a service exceeded the budget by most, or came nearest to it.
func mostOfBudget(requests, retries []time.Time, extraRetries int) (most budgetUse) {
	for i, end := range retries {
		use := budgetUse{end: end, n: countInWindow(retries, end), allowed: retryRatio*float64(countInWindow(requests, end)) + float64(extraRetries)}
		if i == 0 || float64(use.n)-use.allowed > float64(most.n)-most.allowed {
			most = use
		}
	}
	return most
}

// countInWindow returns the number of times in the window of the retry budget that ends at end.
func countInWindow(times []time.Time, end time.Time) (n int) {
	for _, t := range times {
		if !t.After(end) && end.Sub(t) < retryWindow {
			n++
		}
	}
	return n
}
