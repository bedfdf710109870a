package afgateway

import (
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afengine"
)

// evacuationRetryAfter is the Retry-After while all data centres of a service are evacuated. An operator ends an evacuation by hand, so
// that no time is known; a VM learns of the end within about 2 s.
const evacuationRetryAfter = 2 * time.Second

// refuseEvacuated returns the refusal of a request whose service has no usable endpoint because the data centres of all that would be
// usable are evacuated, or nil.
func (p *proxiedRequest) refuseEvacuated() *arbutusfork.Refusal {
	if p.server.Roster.IsEvacuated == nil {
		return nil
	}
	candidates := p.server.Roster.Candidates(p.service.Name, func([]afengine.LoadedModel, []string) bool { return false })
	if candidates.UsableCount > 0 || candidates.EvacuatedCount == 0 {
		return nil
	}
	return newRefusal(arbutusfork.CodeNoCapacity, "the data centres of all endpoints are evacuated", evacuationRetryAfter)
}
