package arbutusfork

// Customer is a tenant that pays for a token rate across all VMs.
type Customer struct {
	Name string `json:"name"`
	// RatePerSecond is the sustained allowance in tokens per second over all VMs together.
	RatePerSecond int64 `json:"rate"`
	// Burst is the token bucket capacity in tokens over all VMs together.
	Burst int64 `json:"burst"`
	// Weight is the customer's share in fair queuing. Zero means proportional to RatePerSecond.
	Weight float64 `json:"weight,omitempty"`
}

// WithRate returns a copy with another rate and burst, both in tokens.
func (c Customer) WithRate(rate, burst int64) Customer {
	c.RatePerSecond, c.Burst = rate, burst
	return c
}

// FairQueueWeight returns the weight used by fair queuing, which is always positive.
func (c Customer) FairQueueWeight() float64 {
	if c.Weight > 0 {
		return c.Weight
	}
	return float64(max(c.RatePerSecond, 1))
}
