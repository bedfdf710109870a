package arbutusfork

import (
	"slices"
	"time"
)

// Route maps a caller's path to a service and sets its terms.
type Route struct {
	Name string `json:"name"`
	// PathPrefix is the URL path prefix. Model services are reached under /v1/ and leave it empty.
	PathPrefix string `json:"path,omitempty"`
	Service    string `json:"service"`
	// IsPublic admits requests without a key.
	IsPublic bool `json:"open,omitempty"`
	// RunsAtMostOnce marks calls that are not idempotent and must run at most once.
	RunsAtMostOnce bool `json:"once,omitempty"`
	// AllowedCustomers lists who may use the route. Empty means every customer.
	AllowedCustomers []string `json:"customers,omitempty"`
	// Models lists the models that the route offers. Empty means every model of the service.
	Models []string `json:"models,omitempty"`
	// FirstByteTimeoutMillis is the default time to the first byte of the answer, in milliseconds.
	FirstByteTimeoutMillis int64 `json:"deadline,omitempty"`
	// OutputTokenLimit is the default bound on generated tokens when the request sets none.
	OutputTokenLimit int64 `json:"tokens,omitempty"`
}

const (
	defaultRouteDeadline = 30 * time.Second
	defaultRouteTokens   = 256
)

// AdmitsCustomer reports whether the customer may use the route.
func (r Route) AdmitsCustomer(customer string) bool {
	return r.IsPublic || len(r.AllowedCustomers) == 0 || slices.Contains(r.AllowedCustomers, customer)
}

// OffersModel reports whether the route offers the model.
func (r Route) OffersModel(model string) bool {
	return len(r.Models) == 0 || slices.Contains(r.Models, model)
}

// FirstByteTimeout returns the route's default deadline.
func (r Route) FirstByteTimeout() time.Duration {
	if r.FirstByteTimeoutMillis <= 0 {
		return defaultRouteDeadline
	}
	return time.Duration(r.FirstByteTimeoutMillis) * time.Millisecond
}

// MaxOutputTokens returns the route's default bound on generated tokens.
func (r Route) MaxOutputTokens() int64 {
	if r.OutputTokenLimit <= 0 {
		return defaultRouteTokens
	}
	return r.OutputTokenLimit
}
