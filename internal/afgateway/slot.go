package afgateway

import (
	"context"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afroster"
	"arbutusfork.example/arbutusfork/pkg/afengine"
)

// EndpointLimits connects the gateway to the limits that endpoints name. Without its functions, no limit is kept.
type EndpointLimits struct {
	// RecordAnswer is called with the limit that an endpoint named in an answer, in requests a second, or 0 if it named none. It
	// must not block.
	RecordAnswer func(e afengine.EndpointStart, perSecond float64)
	// ExpectedWait returns how long a request to the endpoint probably waits for a slot, and ExpectRequest counts a request for
	// which the endpoint was chosen. They must not block.
	ExpectedWait  func(e afengine.EndpointStart) time.Duration
	ExpectRequest func(e afengine.EndpointStart)
	// TakeSlot returns after which time a request may be sent to the endpoint, or false if that is not within maxWait.
	TakeSlot func(ctx context.Context, e afengine.EndpointStart, maxWait time.Duration) (time.Duration, bool)
	// IsPaced reports whether each request to the endpoint needs a slot because of its service. While ExpectedWait is above
	// afpace.MaxAhead, such an endpoint gets no request of this VM. It must not block.
	IsPaced func(e afengine.EndpointStart) bool
}

const (
	// slotWaitCostTokens is the cost of a millisecond of waiting for a slot, in prompt tokens that an engine reads meanwhile.
	slotWaitCostTokens = 25
	// maxSlotDenials bounds how often a request is denied a slot before it is refused.
	maxSlotDenials = 8
)

// endpointStart returns the identity of an endpoint from its start to its end.
func endpointStart(e afroster.Endpoint) afengine.EndpointStart {
	return afengine.EndpointStart{Endpoint: e.ID, StartUnixMs: e.StartUnixMs}
}

// expectedSlotWait returns how long a request to the endpoint probably waits for a slot.
func (s *Server) expectedSlotWait(e afroster.Endpoint) time.Duration {
	if s.EndpointLimits.ExpectedWait == nil {
		return 0
	}
	return s.EndpointLimits.ExpectedWait(endpointStart(e))
}

// needsSlot reports whether each request to the endpoint needs a slot because of its service.
func (s *Server) needsSlot(e afroster.Endpoint) bool {
	return s.EndpointLimits.IsPaced != nil && s.EndpointLimits.IsPaced(endpointStart(e))
}

// slotResult is the result of waiting for a slot.
type slotResult int

const (
	// slotTaken means that the request may be sent now.
	slotTaken slotResult = iota
	// slotDenied means that another endpoint must be chosen, since no slot is free in time or the endpoint drains.
	slotDenied
	// slotAborted means that the context ended.
	slotAborted
)

// waitForSlot takes a slot of the endpoint, if the endpoint is limited, and waits for it. It returns the time of the wait.
func (p *proxiedRequest) waitForSlot(ctx context.Context, endpoint afroster.Endpoint, maxWait time.Duration) (slotResult, time.Duration) {
	s := p.server
	if s.EndpointLimits.TakeSlot == nil {
		return slotTaken, 0
	}
	wait, isGranted := s.EndpointLimits.TakeSlot(ctx, endpointStart(endpoint), maxWait)
	if !isGranted {
		return slotDenied, 0
	}
	if wait <= 0 {
		return slotTaken, 0
	}
	defer s.queue.addSlotWaiter(&waitingRequest{model: p.headers.Model, adapter: p.headers.Adapter, order: p.order(), targetLatency: p.route.TargetLatency})()
	if !s.Timer.Sleep(ctx, wait) {
		return slotAborted, wait
	}
	if !s.isServing(endpoint) {
		return slotDenied, wait
	}
	return slotTaken, wait
}

// refuseWithoutSlot returns the refusal of a request for which no slot was free, with the time until one may be free.
func (p *proxiedRequest) refuseWithoutSlot(endpoint afroster.Endpoint) *arbutusfork.Refusal {
	cause := "every endpoint is at the limit that it named"
	if p.server.needsSlot(endpoint) {
		cause = "no endpoint has a slot in time"
	}
	return newRefusal(arbutusfork.CodeNoCapacity, cause, max(p.server.expectedSlotWait(endpoint), busyRetryAfter))
}
