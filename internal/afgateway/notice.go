package afgateway

import (
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afroster"
	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afnotice"
)

// EndpointNotices connects the gateway to what endpoints say about themselves. What follows from it is in the roster. Without its
// functions, nothing is recorded.
type EndpointNotices struct {
	// Record is called with what an endpoint said about itself in an answer. It must not block.
	Record func(e afengine.EndpointStart, said afnotice.Statement)
}

// recordStatement records what an endpoint said about itself in an answer.
func (s *Server) recordStatement(e afroster.Endpoint, said afnotice.Statement) {
	if s.EndpointNotices.Record != nil && !said.IsEmpty() {
		s.EndpointNotices.Record(e.Start(), said)
	}
}

// takesRequests reports whether a request may be sent to the endpoint now: it serves and is not in a pause for which it asked.
func (s *Server) takesRequests(e afroster.Endpoint) bool { return s.isServing(e) && !s.isPaused(e) }

// isPaused reports whether the endpoint is in a pause for which it asked.
func (s *Server) isPaused(e afroster.Endpoint) bool {
	_, isPaused := s.Roster.PausedUntil(e.Start())
	return isPaused
}

// pauseLeft returns the time until the first of the endpoints that can serve the request ends its pause. It returns false if one of
// them is in no pause, or if there are none.
func (p *proxiedRequest) pauseLeft() (time.Duration, bool) {
	s := p.server
	if !s.Roster.HasPauses() {
		return 0, false // Each waiting request asks, and the candidates of one take some microseconds to find.
	}
	var first time.Time
	for _, e := range p.findCandidates().Endpoints {
		if p.timedOutEndpoints[e.ID] {
			continue
		}
		until, isPaused := s.Roster.PausedUntil(e.Start())
		if !isPaused {
			return 0, false
		}
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return first.Sub(s.Timer.Now()), !first.IsZero()
}

// refusePaused returns the refusal of a request that no endpoint takes in time because all that can serve it are in a pause, or nil.
// Its Retry-After is the time until the first pause ends. A request whose model another engine loads in time waits for that.
func (p *proxiedRequest) refusePaused() *arbutusfork.Refusal {
	left, isPaused := p.pauseLeft()
	if !isPaused || left <= p.maxWait() {
		return nil
	}
	s := p.server
	if loadedAt, ok := s.loadDelays.loadedAt(p.headers.Model); ok && loadedAt.Sub(s.Timer.Now()) <= p.maxWait() {
		return nil
	}
	return newRefusal(arbutusfork.CodeNoCapacity, "every endpoint asked for a pause", left)
}
