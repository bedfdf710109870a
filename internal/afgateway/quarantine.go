package afgateway

import (
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afroster"
	"arbutusfork.example/arbutusfork/pkg/afquarantine"
)

const (
	// answeredEvents is the number of events after which a stream counts as answered: an endpoint that crashes as it begins to
	// answer does not send as many.
	answeredEvents = 8
	// maxBreaksAtBegin is the number of endpoints that may break off a request's answer as it begins. The request is not sent
	// to another one after that, since it may be the cause.
	maxBreaksAtBegin = 2
)

// refuseQuarantined returns the refusal of a request whose prompt is quarantined, or nil.
func (p *proxiedRequest) refuseQuarantined() *arbutusfork.Refusal {
	if p.service.Engine == nil {
		return nil
	}
	return p.server.CrashWatch.Refuse(p.service.Name, p.partIDs)
}

// recordAnswer records that the endpoint answered the request, and that its answer began at a time.
func (p *proxiedRequest) recordAnswer(beganAt time.Time) {
	p.server.CrashWatch.Answered(p.service.Name, p.partIDs, beganAt)
}

// checkCrash finds out in the background whether the endpoint whose answer broke off has crashed, and records the request as
// a suspect. Endpoints that only lost the answer still accept connections.
func (p *proxiedRequest) checkCrash(endpoint afroster.Endpoint, progress answerProgress) {
	s := p.server
	if len(p.partIDs) == 0 || progress == progressBody || !s.isServing(endpoint) {
		return
	}
	suspect := afquarantine.NewSuspect(p.partIDs, progress.isBeginning())
	if progress == progressEvent {
		suspect = suspect.WithFirstEvent()
	}
	s.CrashWatch.Suspect(endpoint.Address, afquarantine.Crash{
		Service: p.service.Name, Endpoint: endpoint.ID, StartUnixMs: endpoint.StartUnixMs, At: s.Timer.Now(),
		Suspects: []afquarantine.Suspect{suspect},
	})
}

// isServing reports whether the endpoint is listed, has not restarted and does not drain. An endpoint that drains ends
// without a crash.
func (s *Server) isServing(endpoint afroster.Endpoint) bool {
	return s.Roster.IsServing(endpoint.Start())
}
