package afgateway

import "time"

const (
	// minPlacementOutage is how long placement must have been away before requests that need a load are refused. A holder that
	// only restarts is back sooner.
	minPlacementOutage = 2 * time.Second
	// minOutageRetryAfter and maxOutageRetryAfter bound the Retry-After during an outage. Callers wait for at most a third of
	// the time that they have left.
	minOutageRetryAfter = time.Second
	maxOutageRetryAfter = 5 * time.Second
)

// placementOutage returns for how long no VM has been able to order loads, or zero.
func (s *Server) placementOutage() time.Duration {
	if s.PlacementOutage == nil {
		return 0
	}
	return s.PlacementOutage()
}

// needsLoadInOutage reports whether no endpoint holds the model or adapter and none can be ordered to load it, so that waiting
// is in vain.
func (p *proxiedRequest) needsLoadInOutage() bool {
	return p.service.Engine != nil && p.server.placementOutage() >= minPlacementOutage && !p.server.isModelLoaded(p.service.Name, p.headers.Model, p.headers.Adapter)
}

// outageRetryAfter returns the Retry-After of a request that needs a load during an outage: an outage probably goes on for about
// as long as it has lasted.
func (p *proxiedRequest) outageRetryAfter() time.Duration {
	s := p.server
	return min(max(s.placementOutage(), minOutageRetryAfter), maxOutageRetryAfter) + time.Duration(s.Random()*float64(retryAfterSpread))
}
