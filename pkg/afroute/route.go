// Package afroute matches requests to routes by host and path and holds the configuration of the gateway: routes,
// services, models, customers and their keys.
package afroute

import "time"

//go:generate stringer -type=Kind -linecomment -output=route_string.go

// Kind determines whether a request of a route may be retried.
type Kind int

// The kinds of routes, with the names that metrics and settings use.
const (
	// KindSafe requests may run more than once.
	KindSafe Kind = iota // safe
	// KindUnsafe requests run at most once.
	KindUnsafe // unsafe
	// KindStreaming requests get a stream of events as the response and run at most once unless the route is resumable.
	KindStreaming // streaming
)

// Route is one route of a Table.
type Route struct {
	Name string
	// Host is the exact host name, without a port.
	Host string
	// Prefix is the path prefix. It begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout bounds the time from the arrival of a request to the end of its response. Zero means that the route sets no
	// bound.
	Timeout time.Duration
	// TargetLatency is the intended time to the response, or to the first event of a stream.
	TargetLatency time.Duration
	// TargetEventInterval is the intended maximum time between two events of a stream.
	TargetEventInterval time.Duration
	// CallerEventTimeout is the time without an event after which callers close a stream. It also applies to the first
	// event. Zero means that callers wait without a limit.
	CallerEventTimeout time.Duration
	// Priority is the priority of the route's requests. Zero is the most urgent.
	Priority int
	// MaxAttempts bounds the endpoints that may run one request. It is at least 1.
	MaxAttempts int
	// IsPublic means that requests need no key.
	IsPublic bool
	// IsSticky means that related requests should go to the same endpoint.
	IsSticky bool
	// IsResumable means that another endpoint can continue a stream after a given event.
	IsResumable bool
	// AllowedRegions names the regions whose endpoints may get the requests. Empty means all.
	AllowedRegions []string
	// Services are the services that share the requests, at least one. No weight is negative, and their sum is positive.
	Services []WeightedService
}

// WeightedService is one service of a route. It gets requests in proportion to Weight.
type WeightedService struct {
	Service string
	Weight  int
}

// IsRepeatable reports whether a request may run more than once.
func (r Route) IsRepeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStreaming && r.IsResumable
}

// PickService returns the service for a request in proportion to the weights. Random is uniform in [0, 1).
func (r Route) PickService(random float64) string {
	totalWeight := 0
	for _, s := range r.Services {
		totalWeight += s.Weight
	}
	point := random * float64(totalWeight)
	for _, s := range r.Services {
		point -= float64(s.Weight)
		if point < 0 {
			return s.Service
		}
	}
	if len(r.Services) == 0 {
		return ""
	}
	return r.Services[len(r.Services)-1].Service
}
