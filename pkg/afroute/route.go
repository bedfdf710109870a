// Package afroute finds the route of a request by its host and path and holds the configuration that goes with it:
// services, models, customers and their keys.
package afroute

import "time"

//go:generate stringer -type=Kind -linecomment -output=route_string.go

// Kind says what may be done with a request a second time.
type Kind int

// The kinds of routes.
const (
	// KindSafe requests may run more than once.
	KindSafe Kind = iota // safe
	// KindUnsafe requests run at most once.
	KindUnsafe // unsafe
	// KindStreaming requests are answered with a series of events and run at most once unless the route is resumable.
	KindStreaming // streaming
)

// Route is one entry of the table.
type Route struct {
	Name string
	// Host is the exact host without a port. Prefix begins and ends with a slash.
	Host, Prefix string
	Kind         Kind
	// Timeout bounds the time from the request to the end of its answer. Zero means no bound of the route.
	Timeout time.Duration
	// TargetLatency is the time to the answer, or to the first event of a stream, that the route aims for.
	TargetLatency time.Duration
	// TargetEventInterval is the longest pause between two events of a stream that the route aims for.
	TargetEventInterval time.Duration
	// CallerEventTimeout is how long callers wait for the next event, the first included, before they leave. Zero means that they stay.
	CallerEventTimeout time.Duration
	// Priority is the rank of the route's requests. Zero is the most urgent.
	Priority int
	// MaxAttempts is the largest number of endpoints that one request may be sent to, at least 1.
	MaxAttempts int
	// IsPublic routes need no key.
	IsPublic bool
	// IsSticky routes gain from sending related requests to the same endpoint.
	IsSticky bool
	// IsResumable streams may go on at another endpoint after a given event.
	IsResumable bool
	// Services holds at least one service. The weights are not negative and their sum is positive.
	Services []WeightedService
}

// WeightedService is one service of a route with its part of the requests.
type WeightedService struct {
	Service string
	Weight  int
}

// IsRepeatable reports whether a request may run more than once.
func (r Route) IsRepeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStreaming && r.IsResumable
}

// PickService returns the service for a request. Draw is uniform in [0, 1).
func (r Route) PickService(draw float64) string {
	sum := 0
	for _, s := range r.Services {
		sum += s.Weight
	}
	at := draw * float64(sum)
	for _, s := range r.Services {
		at -= float64(s.Weight)
		if at < 0 {
			return s.Service
		}
	}
	if len(r.Services) == 0 {
		return ""
	}
	return r.Services[len(r.Services)-1].Service
}
