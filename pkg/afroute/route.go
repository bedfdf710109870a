// Package afroute finds the route of a request by its host and path and holds the configuration that goes with it:
// services, models, customers and their keys.
package afroute

import "time"

//go:generate stringer -type=Kind -linecomment -output=route_string.go

// Kind says what may be done with a request a second time.
type Kind int

// The kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = iota // safe
	// Unsafe requests run at most once.
	Unsafe // unsafe
	// Streaming requests are answered with a series of events and run at most once unless the route is resumable.
	Streaming // streaming
)

// Route is one entry of the table.
type Route struct {
	Name string
	// Host is the exact host without a port. Prefix begins and ends with a slash.
	Host, Prefix string
	Kind         Kind
	// Timeout bounds the time from the request to the end of its answer. Zero means no bound of the route.
	Timeout time.Duration
	// Target is the time to the answer, or to the first event of a stream, that the route aims for.
	Target time.Duration
	// Pause is the longest pause between two events of a stream that the route aims for.
	Pause time.Duration
	// Gap is how long callers wait for the next event, the first included, before they leave. Zero means that they stay.
	Gap time.Duration
	// Priority is the rank of the route's requests. Zero is the most urgent.
	Priority int
	// Attempts is the largest number of endpoints that one request may be sent to, at least 1.
	Attempts int
	// Public routes need no key.
	Public bool
	// Sticky routes gain from sending related requests to the same endpoint.
	Sticky bool
	// Resumable streams may go on at another endpoint after a given event.
	Resumable bool
	// Split holds at least one service. The weights are not negative and their sum is positive.
	Split []Share
}

// Share is one service of a route with its part of the requests.
type Share struct {
	Service string
	Weight  int
}

// Repeatable reports whether a request may run more than once.
func (r Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Streaming && r.Resumable }

// Service returns the service for a request. Draw is uniform in [0, 1).
func (r Route) Service(draw float64) string {
	sum := 0
	for _, s := range r.Split {
		sum += s.Weight
	}
	at := draw * float64(sum)
	for _, s := range r.Split {
		at -= float64(s.Weight)
		if at < 0 {
			return s.Service
		}
	}
	if len(r.Split) == 0 {
		return ""
	}
	return r.Split[len(r.Split)-1].Service
}
