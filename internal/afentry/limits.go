package afentry

import "time"

// Limits bound what callers may send. A zero value means the server's own bound.
type Limits struct {
	// MaxHeaderBytes bounds the request line and headers of one request, and MaxBodyBytes its body.
	MaxHeaderBytes, MaxBodyBytes int
	// HeaderTimeout bounds the time from the first to the last byte of the headers.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may be idle between requests.
	IdleTimeout time.Duration
}

// idleMargin is how much longer than the limit a connection may be idle. The caller's idle time begins later, when the
// response has arrived.
const idleMargin = time.Second

// limitsInForce returns the limits of the configuration in force, with the server's own bounds for those that are not set.
func (s *Server) limitsInForce() Limits {
	var l Limits
	if s.Limits != nil {
		l = s.Limits()
	}
	return Limits{
		MaxHeaderBytes: positiveOr(l.MaxHeaderBytes, s.MaxHeaderBytes), MaxBodyBytes: positiveOr(l.MaxBodyBytes, s.MaxBodyBytes),
		HeaderTimeout: positiveOr(l.HeaderTimeout, s.ReadTimeout), IdleTimeout: positiveOr(l.IdleTimeout, s.IdleTimeout),
	}
}
