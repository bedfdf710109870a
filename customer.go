package arbutusfork

// Customer is a tenant with a token rate limit that holds over all VMs together.
type Customer struct {
	Name string `json:"name"`
	// RatePerSecond is the refill rate of the customer's token bucket in tokens per second, over all VMs together.
	RatePerSecond int64 `json:"rate"`
	// Burst is the capacity of the customer's token bucket in tokens, over all VMs together.
	Burst int64 `json:"burst"`
	// Weight is the customer's relative share in fair queuing. Zero means a share proportional to RatePerSecond.
	Weight float64 `json:"weight,omitempty"`
}

// WithRate returns a copy with another rate in tokens per second and another burst in tokens.
func (c Customer) WithRate(rate, burst int64) Customer {
	c.RatePerSecond, c.Burst = rate, burst
	return c
}

// FairQueueWeight returns the customer's weight in fair queuing, which is always positive.
func (c Customer) FairQueueWeight() float64 {
	if c.Weight > 0 {
		return c.Weight
	}
	return float64(max(c.RatePerSecond, 1))
}
