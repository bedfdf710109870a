package afgateway

import (
	"context"
	"strconv"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afroster"
	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afquarantine"
)

// CrashWatch connects the gateway to what all VMs know about prompts that crash endpoints. Without its functions, no
// prompt is quarantined.
type CrashWatch struct {
	// FindQuarantine reports whether requests of the service with the parts must not be sent, and for how long.
	FindQuarantine func(service string, parts []string) (time.Duration, bool)
	// RecordCrash is called with a request that was in progress when its endpoint crashed. It must not block.
	RecordCrash func(afquarantine.Crash)
	// RecordAnswer is called with the parts of a request that was answered, and with the time at which its answer began. It must
	// not block.
	RecordAnswer func(service string, parts []string, beganAt time.Time)
}

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
	find := p.server.CrashWatch.FindQuarantine
	if find == nil || p.service.Engine == nil {
		return nil
	}
	remaining, isQuarantined := find(p.service.Name, p.partIDs)
	if !isQuarantined {
		return nil
	}
	return newRefusal(arbutusfork.CodePromptQuarantined, "a part of the prompt crashes the endpoints of "+strconv.Quote(p.service.Name), remaining)
}

// recordAnswer records that the endpoint answered the request, and that its answer began at a time.
func (p *proxiedRequest) recordAnswer(beganAt time.Time) {
	if record := p.server.CrashWatch.RecordAnswer; record != nil && len(p.partIDs) > 0 {
		record(p.service.Name, p.partIDs, beganAt)
	}
}

// checkCrash finds out in the background whether the endpoint whose answer broke off has crashed, and records the request as
// a suspect. Endpoints that only lost the answer still accept connections.
func (p *proxiedRequest) checkCrash(endpoint afroster.Endpoint, progress answerProgress) {
	s := p.server
	if s.CrashWatch.RecordCrash == nil || len(p.partIDs) == 0 || progress == progressBody || !s.isServing(endpoint) {
		return
	}
	crash := afquarantine.Crash{
		Service: p.service.Name, Endpoint: endpoint.ID, StartUnixMs: endpoint.StartUnixMs, At: s.Timer.Now(),
		Suspects: []afquarantine.Suspect{afquarantine.NewSuspect(p.partIDs, progress == progressHead)},
	}
	go func() {
		conn, err := s.dialer.DialContext(context.Background(), "tcp", endpoint.Address)
		if err == nil {
			_ = conn.Close() // Nothing was sent.
			return
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			s.CrashWatch.RecordCrash(crash)
		}
	}()
}

// isServing reports whether the endpoint is listed, has not restarted and does not drain. An endpoint that drains ends
// without a crash.
func (s *Server) isServing(endpoint afroster.Endpoint) bool {
	entry, ok := s.Roster.Entry(endpoint.ID)
	return ok && entry.State == afengine.StateReady && entry.StartUnixMs == endpoint.StartUnixMs
}
