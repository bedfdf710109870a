package arbutusfork

import (
	"slices"
	"time"
)

// Route maps a caller's path to a service and sets its terms.
type Route struct {
	Name string `json:"name"`
	// Path is the URL path prefix. Model services are reached under /v1/ and leave it empty.
	Path    string `json:"path,omitempty"`
	Service string `json:"service"`
	// Open admits requests without a key.
	Open bool `json:"open,omitempty"`
	// Once marks calls that are not idempotent and must run at most once.
	Once bool `json:"once,omitempty"`
	// Customers lists who may use the route. Empty means every customer.
	Customers []string `json:"customers,omitempty"`
	// Models lists the models that the route offers. Empty means every model of the service.
	Models []string `json:"models,omitempty"`
	// Deadline is the default time to the first byte of the answer, in milliseconds.
	Deadline int64 `json:"deadline,omitempty"`
	// Tokens is the default bound on generated tokens when the request sets none.
	Tokens int64 `json:"tokens,omitempty"`
}

const (
	defaultRouteDeadline = 30 * time.Second
	defaultRouteTokens   = 256
)

// Admits reports whether the customer may use the route.
func (r Route) Admits(customer string) bool {
	return r.Open || len(r.Customers) == 0 || slices.Contains(r.Customers, customer)
}

// Offers reports whether the route offers the model.
func (r Route) Offers(model string) bool {
	return len(r.Models) == 0 || slices.Contains(r.Models, model)
}

// Timeout returns the route's default deadline.
func (r Route) Timeout() time.Duration {
	if r.Deadline <= 0 {
		return defaultRouteDeadline
	}
	return time.Duration(r.Deadline) * time.Millisecond
}

// MaxTokens returns the route's default bound on generated tokens.
func (r Route) MaxTokens() int64 {
	if r.Tokens <= 0 {
		return defaultRouteTokens
	}
	return r.Tokens
}
