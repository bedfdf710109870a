package afentry

import "time"

// Limits bound what callers may send.
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

// limitsInForce returns the limits that apply to callers.
func (s *Server) limitsInForce() Limits {
	return Limits{MaxHeaderBytes: s.MaxHeaderBytes, MaxBodyBytes: s.MaxBodyBytes, HeaderTimeout: s.ReadTimeout, IdleTimeout: s.IdleTimeout}
}
