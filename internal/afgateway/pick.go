package afgateway

import (
	"time"

	"arbutusfork.example/arbutusfork/internal/afroster"
	"arbutusfork.example/arbutusfork/pkg/afpace"
)

// requirements returns what the request needs from an endpoint that is not excluded and whose wait for a slot is at most maxSlotWait.
func (p *proxiedRequest) requirements(excluded map[string]bool, maxSlotWait time.Duration) requirements {
	s := p.server
	needs := requirements{
		model: p.headers.Model, adapter: p.headers.Adapter, promptTokens: p.headers.PromptTokens, totalTokens: p.headers.PromptTokens + p.headers.MaxOutputTokens,
		centre: s.Centre, excluded: excluded, sessionEndpoint: s.sessions.findEndpoint(p.headers), sharedTokens: sharedPromptTokens(p.headers), engine: p.service.Engine,
		now: s.Timer.Now(), isUnavailable: p.isPausedOrFull, slotWait: s.expectedSlotWait, maxSlotWait: maxSlotWait,
	}
	if p.startsAreSpaced() {
		needs.startWait, needs.maxStartWait = s.expectedStartWait(p.isPatient()), p.maxStartWait()
	}
	return needs
}

// pickEndpoint chooses an endpoint without waiting and counts the request there. The caller holds the lock of the
// queue, so that each choice includes the requests of the previous ones.
func (p *proxiedRequest) pickEndpoint(excluded map[string]bool) (acquiredEndpoint, bool) {
	candidates := p.findCandidates()
	needs := p.requirements(excluded, min(p.maxWait(), afpace.MaxAhead))
	endpoint, ok := p.pickCandidate(candidates, needs)
	if !ok && len(excluded) > 0 {
		// An endpoint whose previous attempt failed is better than none, since no other endpoint may load the model or
		// adapter. If the latest one has refused, one that was silent before is better too.
		needs.excluded = p.timedOutEndpoints
		if p.responseStarted || p.avoidedEndpoint != "" && !p.timedOutEndpoints[p.avoidedEndpoint] && len(p.timedOutEndpoints) > 0 {
			needs.excluded = map[string]bool{p.avoidedEndpoint: true}
		}
		endpoint, ok = p.pickCandidate(candidates, needs)
	}
	return endpoint, ok
}

// pickCandidate chooses an endpoint among the candidates and counts the request there. The caller holds the lock of the queue.
func (p *proxiedRequest) pickCandidate(candidates afroster.Candidates, needs requirements) (acquiredEndpoint, bool) {
	s := p.server
	endpoint, ok := chooseEndpoint(candidates, needs)
	if !ok {
		return acquiredEndpoint{}, false
	}
	if s.EndpointLimits.ExpectRequest != nil {
		s.EndpointLimits.ExpectRequest(endpointStart(endpoint))
	}
	request := s.Roster.BeginRequest(endpoint.ID, p.headers.Model, p.headers.Adapter, p.headers.PromptTokens, p.headers.PromptTokens+p.headers.MaxOutputTokens)
	return acquiredEndpoint{Endpoint: endpoint, request: request}, true
}

// sharedPromptTokens returns the number of tokens of the prompt that other requests of the session may have in common.
func sharedPromptTokens(headers RequestHeaders) int64 {
	tokens := int64(0)
	for _, part := range headers.PromptParts {
		tokens += part.Tokens
	}
	return tokens
}
