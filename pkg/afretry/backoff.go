package afretry

import "time"

const (
	backoffBase  = 25 * time.Millisecond
	backoffLimit = 2 * time.Second
)

// Backoff returns the delay before the retry with that number, counted from 1. Random is in [0, 1) and spreads
// the delay over its upper half, so that calls that failed together do not return together.
func Backoff(n int, random float64) time.Duration {
	d := backoffLimit
	if n < 1 {
		n = 1
	}
	if shift := n - 1; shift < 16 {
		d = min(backoffBase<<shift, backoffLimit)
	}
	return d/2 + time.Duration(random*float64(d/2))
}
