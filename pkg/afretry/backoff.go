package afretry

import "time"

const (
	minBackoffDelay = 25 * time.Millisecond
	maxBackoffDelay = 2 * time.Second
)

// Backoff returns the delay before the n-th retry, counted from 1. The delay doubles with each retry up to maxBackoffDelay.
// Random is in [0, 1) and spreads the delay over its upper half, so that calls that failed at the same time are not
// retried at the same time.
func Backoff(n int, random float64) time.Duration {
	delay := maxBackoffDelay
	if n < 1 {
		n = 1
	}
	if shift := n - 1; shift < 16 {
		delay = min(minBackoffDelay<<shift, maxBackoffDelay)
	}
	return delay/2 + time.Duration(random*float64(delay/2))
}
