package afretry

import "time"

const (
	// earnedPerRequest is the number of retries that one request earns. Ten requests pay for one retry, which bounds the
	// extra load on failing endpoints to 10 %.
	earnedPerRequest = 0.1
	// freeRetriesPerSecond is the rate of retries that are allowed without requests that earn them, so that a customer
	// with little traffic can retry at all.
	freeRetriesPerSecond = 1.0
	// maxEarnedRetries bounds the earned retries, so that a long time without failures does not allow a burst of retries.
	maxEarnedRetries = 20.0
)

// Budget bounds the retries of one customer or one route to a ratio of its requests plus a constant rate. The zero value
// allows the retries of one second at the constant rate. A Budget is not safe for concurrent use.
type Budget struct {
	// retries is the number of retries that the budget allows now.
	retries    float64
	refilledAt time.Time
}

// CreditRequest adds the retries that one request earns.
func (b *Budget) CreditRequest(now time.Time) {
	b.refill(now)
	b.retries = min(b.retries+earnedPerRequest, maxEarnedRetries)
}

// HasRetry reports whether the budget allows a retry.
func (b *Budget) HasRetry(now time.Time) bool {
	b.refill(now)
	return b.retries >= 1
}

// TakeRetry takes one retry from the budget. It returns false and takes nothing if the budget allows no retry.
func (b *Budget) TakeRetry(now time.Time) bool {
	if !b.HasRetry(now) {
		return false
	}
	b.retries--
	return true
}

// refill adds the free retries for the elapsed time, up to those of one second.
func (b *Budget) refill(now time.Time) {
	if b.refilledAt.IsZero() {
		b.retries = freeRetriesPerSecond
	} else if elapsed := now.Sub(b.refilledAt); elapsed > 0 && b.retries < freeRetriesPerSecond {
		b.retries = min(b.retries+elapsed.Seconds()*freeRetriesPerSecond, freeRetriesPerSecond)
	}
	if now.After(b.refilledAt) {
		b.refilledAt = now
	}
}
