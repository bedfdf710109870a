// Package afwarm decides whether an endpoint is cold, which means that it has just started or was out of use and can take fewer
// requests for a while, and how many requests a second cold and warm endpoints get. It handles what one VM learns about an
// endpoint, about one fact a second for each of some hundred endpoints.
package afwarm

import "time"

// warmFraction is the fraction of the bound that a warm endpoint gets, since it may have become cold without notice. The rest
// covers requests that reach the endpoint up to 0.25 s later than their slot, the bound of the wait for the answer with a slot.
const warmFraction = 0.8

// Rule limits the requests to the endpoints of a service. The zero value sets no limit.
type Rule struct {
	// PerSecond is the number of requests a second that a cold endpoint gets from all VMs together. Zero means that cold and warm
	// endpoints are treated alike.
	PerSecond float64
	// ColdTime is how long an endpoint is cold after its start.
	ColdTime time.Duration
	// Over and Slack define the bound of the requests in any second: PerSecond times Over, plus Slack. An Over below 1 counts as 1.
	Over, Slack float64
}

// IsActive reports whether the rule limits requests.
func (r Rule) IsActive() bool { return r.PerSecond > 0 }

// Bound returns the number of requests that all VMs together may send to a cold endpoint in any second.
func (r Rule) Bound() float64 { return r.PerSecond*max(r.Over, 1) + max(r.Slack, 0) }

// WarmRate returns the number of requests a second that a warm endpoint gets.
func (r Rule) WarmRate() float64 { return warmFraction * r.Bound() }

// ColdRate returns the number of requests a second that a cold endpoint gets.
func (r Rule) ColdRate() float64 { return min(r.PerSecond, r.WarmRate()) }

// Rate returns the number of requests a second that an endpoint gets.
func (r Rule) Rate(isCold bool) float64 {
	if isCold {
		return r.ColdRate()
	}
	return r.WarmRate()
}

// SlotRatio returns by which factor the slots of a cold endpoint count less than those of a warm one, from above 0 to 1.
func (r Rule) SlotRatio() float64 {
	if !r.IsActive() {
		return 1
	}
	return r.ColdRate() / r.WarmRate()
}
