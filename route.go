package arbutusfork

import (
	"slices"
	"time"
)

// Route maps requests to a service, by path or by model, and sets who may send them and their default limits.
type Route struct {
	Name string `json:"name"`
	// PathPrefix is the URL path prefix of a plain service. It is empty for model services, which are reached under /v1/.
	PathPrefix string `json:"path,omitempty"`
	// Service names the service that runs the requests.
	Service string `json:"service"`
	// IsPublic routes need no key.
	IsPublic bool `json:"open,omitempty"`
	// RunsAtMostOnce routes carry calls that are not idempotent and must run at most once.
	RunsAtMostOnce bool `json:"once,omitempty"`
	// AllowedCustomers names the customers that may use the route. Empty means every customer.
	AllowedCustomers []string `json:"customers,omitempty"`
	// Models names the models that the route offers. Empty means every model of the service.
	Models []string `json:"models,omitempty"`
	// FirstByteTimeoutMillis bounds the time to the first byte of the answer, in milliseconds, for requests that set no
	// deadline. Zero means 30 s.
	FirstByteTimeoutMillis int64 `json:"deadline,omitempty"`
	// OutputTokenLimit bounds the generated tokens of a request that sets no bound. Zero means 256.
	OutputTokenLimit int64 `json:"tokens,omitempty"`
}

const (
	defaultFirstByteTimeout = 30 * time.Second
	defaultMaxOutputTokens  = 256
)

// AdmitsCustomer reports whether the customer may use the route.
func (r Route) AdmitsCustomer(customer string) bool {
	return r.IsPublic || len(r.AllowedCustomers) == 0 || slices.Contains(r.AllowedCustomers, customer)
}

// OffersModel reports whether the route offers the model.
func (r Route) OffersModel(model string) bool {
	return len(r.Models) == 0 || slices.Contains(r.Models, model)
}

// FirstByteTimeout returns the bound on the time to the first byte of the answer for requests that set no deadline.
func (r Route) FirstByteTimeout() time.Duration {
	if r.FirstByteTimeoutMillis <= 0 {
		return defaultFirstByteTimeout
	}
	return time.Duration(r.FirstByteTimeoutMillis) * time.Millisecond
}

// MaxOutputTokens returns the bound on generated tokens for requests that set no bound.
func (r Route) MaxOutputTokens() int64 {
	if r.OutputTokenLimit <= 0 {
		return defaultMaxOutputTokens
	}
	return r.OutputTokenLimit
}
