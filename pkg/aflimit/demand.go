package aflimit

import (
	"math"
	"time"
)

const (
	// fastDemandWindow is the time constant of the estimate that decides what a VM keeps for itself. One second after
	// demand has moved to another VM, the estimate has fallen to 2 %, so that the VM lends its share.
	fastDemandWindow = 250 * time.Millisecond
	// slowDemandWindow is the time constant of the estimate that decides what a VM borrows. With the fast estimate, a
	// customer with a few requests per second would borrow its whole rate for each request.
	slowDemandWindow = time.Second
)

// demandEstimate estimates the recent demand by exponentially decaying sums. It decides what is lent and never what
// is admitted, so that floating-point rounding is harmless.
type demandEstimate struct {
	fastSum decayingSum
	slowSum decayingSum
}

// addTokens counts demand of the amount.
func (d *demandEstimate) addTokens(now time.Duration, a Amount) {
	d.fastSum.addTokens(now, fastDemandWindow, float64(a))
	d.slowSum.addTokens(now, slowDemandWindow, float64(a))
}

// removeTokens subtracts the amount from the demand that was counted at reservedAt, as far as it has not decayed.
func (d *demandEstimate) removeTokens(now, reservedAt time.Duration, a Amount) {
	d.fastSum.addTokens(now, fastDemandWindow, -float64(a)*decayFactor(now-reservedAt, fastDemandWindow))
	d.slowSum.addTokens(now, slowDemandWindow, -float64(a)*decayFactor(now-reservedAt, slowDemandWindow))
}

// rates returns the demand per second by the fast and by the slow estimate.
func (d *demandEstimate) rates(now time.Duration) (fast, slow Amount) {
	return d.fastSum.rate(now, fastDemandWindow), d.slowSum.rate(now, slowDemandWindow)
}

// decayingSum is a sum of tokens that decays exponentially over time.
type decayingSum struct {
	// tokens is in units of 1e-9 token, as Amount.
	tokens float64
	// updatedAt is the instant up to which the sum has been decayed.
	updatedAt time.Duration
}

// addTokens decays the sum up to now and adds a to it.
func (s *decayingSum) addTokens(now, window time.Duration, a float64) {
	if now > s.updatedAt {
		s.tokens *= decayFactor(now-s.updatedAt, window)
		s.updatedAt = now
	}
	s.tokens = max(0, s.tokens+a)
}

// rate returns the sum as an amount per second.
func (s *decayingSum) rate(now, window time.Duration) Amount {
	s.addTokens(now, window, 0)
	return Amount(min(s.tokens/window.Seconds(), float64(maxTokens)*float64(Token)))
}

// decayFactor returns the factor by which a sum decays during d.
func decayFactor(d, window time.Duration) float64 { return math.Exp(-float64(d) / float64(window)) }
