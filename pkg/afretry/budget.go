package afretry

import "time"

const (
	// retryShare is the number of tokens that a request earns. Ten requests pay for one retry, which bounds the
	// extra load on endpoints that fail to 10 %.
	retryShare = 0.1
	// retryFloor is the number of retries per second that are allowed without any earned tokens, so that a
	// customer with little traffic can retry at all.
	retryFloor = 1.0
	// retryLimit bounds the earned tokens, so that a long quiet time does not pay for a storm.
	retryLimit = 20.0
)

// Budget bounds the retries of one customer or one route. The zero value holds the floor. It is not safe for
// concurrent use.
type Budget struct {
	tokens float64
	last   time.Time
}

// CreditRequest credits one request.
func (b *Budget) CreditRequest(now time.Time) {
	b.fill(now)
	b.tokens = min(b.tokens+retryShare, retryLimit)
}

// HasRetry reports whether a retry is within the budget.
func (b *Budget) HasRetry(now time.Time) bool {
	b.fill(now)
	return b.tokens >= 1
}

// TakeRetry takes one retry. It reports false and takes nothing if the budget is used up.
func (b *Budget) TakeRetry(now time.Time) bool {
	if !b.HasRetry(now) {
		return false
	}
	b.tokens--
	return true
}

// fill adds the floor's tokens up to one second of them.
func (b *Budget) fill(now time.Time) {
	if b.last.IsZero() {
		b.tokens = retryFloor
	} else if d := now.Sub(b.last); d > 0 && b.tokens < retryFloor {
		b.tokens = min(b.tokens+d.Seconds()*retryFloor, retryFloor)
	}
	if now.After(b.last) {
		b.last = now
	}
}
