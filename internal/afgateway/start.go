package afgateway

import (
	"context"
	"time"

	"arbutusfork.example/arbutusfork/internal/afroster"
	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afprefill"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

// EngineStarts connects the gateway to the service that spaces the requests of all VMs to an engine. Without its functions,
// requests are sent as soon as an engine has capacity.
type EngineStarts struct {
	// ExpectedBacklog returns how long an engine probably needs for the prompts that were sent to it. It must not block.
	ExpectedBacklog func(e afengine.EndpointStart) time.Duration
	// RecordLateEvent is called when an event of a stream shows that its engine gets prompts too fast. It must not block.
	RecordLateEvent func(e afengine.EndpointStart)
	// RecordFirstEvent is called with the time from the sending of a request to its first event. It must not block.
	RecordFirstEvent func(e afengine.EndpointStart, model string, promptTokens int64, took time.Duration)
	// Take takes a start at an engine.
	Take func(ctx context.Context, r afprefill.Request) afprefill.Grant
}

const (
	// quickStartDenials is the number of engines that a request asks for an early start before it accepts a later one.
	quickStartDenials = 2
	// quickStartWait is the wait for an early start: about the time in which an engine reads half a prompt.
	quickStartWait = 40 * time.Millisecond
	// patientSlack is the time until its target from which a request leaves starts to others.
	patientSlack = 2 * time.Second
	// lastStartWait is the time before its caller gives up for which a late request counts as urgent again.
	lastStartWait = 500 * time.Millisecond
)

// startsAreSpaced reports whether the request must take a start before it is sent: it begins a stream at an engine, whose events
// have a target interval, and the VMs know each other's requests only late.
func (p *proxiedRequest) startsAreSpaced() bool {
	s := p.server
	return s.EngineStarts.Take != nil && p.service.Engine != nil && p.route.TargetEventInterval > 0 && afprefill.IsNeeded(s.ListedVMCount())
}

// isPatient reports whether the request leaves starts to others: it has enough time left to its target, or has missed it and is not
// yet about to be given up by its caller. A stream that must be resumed is urgent, since its caller leaves after a pause of some seconds.
// A request without a target is not known to be patient.
func (p *proxiedRequest) isPatient() bool {
	if p.responseStarted || p.route.TargetLatency <= 0 {
		return false
	}
	slack := p.arrivedAt.Add(p.route.TargetLatency).Sub(p.server.Timer.Now()) - firstEventTime/4
	return slack > patientSlack || slack < 0 && p.maxWait() > lastStartWait
}

// notifyWhenUrgent returns a channel that receives a value whenever the request, which waits, stops being patient.
func (p *proxiedRequest) notifyWhenUrgent() (urgent <-chan struct{}, stop func()) {
	if !p.startsAreSpaced() {
		return nil, func() {}
	}
	now := p.server.Timer.Now()
	const timesUrgent = 2 // Near its target, and before its caller leaves.
	c := make(chan struct{}, timesUrgent)
	var timers []*aftimer.Subscription
	for _, delay := range [timesUrgent]time.Duration{
		p.arrivedAt.Add(p.route.TargetLatency).Sub(now) - firstEventTime/4 - patientSlack, p.maxWait() - lastStartWait,
	} {
		if delay > 0 {
			timers = append(timers, p.server.Timer.CallAfter(delay, func(time.Time) { c <- struct{}{} }))
		}
	}
	return c, func() {
		for _, timer := range timers {
			timer.Stop()
		}
	}
}

// maxStartWait returns how long a start may be ahead. A patient request takes none in advance, so that it is not before urgent ones
// that arrive later.
func (p *proxiedRequest) maxStartWait() time.Duration {
	if p.isPatient() {
		return 0
	}
	return min(p.maxWait(), afprefill.MaxAhead)
}

// expectedStartWait returns a function that returns how long a request probably waits for its start at an engine.
func (s *Server) expectedStartWait(isPatient bool) func(e afroster.Endpoint) time.Duration {
	return func(e afroster.Endpoint) time.Duration {
		return afprefill.ExpectedWait(s.EngineStarts.ExpectedBacklog(endpointStart(e)), isPatient)
	}
}

// waitForStart takes a start at an engine and waits for it. It returns false if the start is not granted or the context ended.
func (p *proxiedRequest) waitForStart(ctx context.Context, endpoint afroster.Endpoint) bool {
	if !p.startsAreSpaced() {
		return true
	}
	s := p.server
	maxWait := p.maxStartWait()
	if p.startDenials < quickStartDenials {
		maxWait = min(maxWait, quickStartWait)
	}
	grant := s.EngineStarts.Take(ctx, afprefill.Request{
		Engine: endpointStart(endpoint), Model: p.headers.Model, PromptTokens: p.unreadTokens(endpoint), IsPatient: p.isPatient(), MaxWait: maxWait,
	})
	if !grant.IsGranted {
		p.startDenials++
		return false
	}
	p.startDenials = 0
	waiting := &waitingRequest{
		service: p.service.Name, model: p.headers.Model, adapter: p.headers.Adapter, regions: p.regionLists(), order: p.order(), targetLatency: p.route.TargetLatency,
	}
	s.queue.recordStart(waiting)
	if grant.Wait <= 0 {
		return true
	}
	p.waitTime += grant.Wait
	defer s.queue.addSlotWaiter(waiting)()
	if !s.Timer.Sleep(ctx, grant.Wait) {
		return false
	}
	return s.isServing(endpoint)
}

// unreadTokens returns the number of prompt tokens that an engine probably has to read for the request.
func (p *proxiedRequest) unreadTokens(endpoint afroster.Endpoint) int64 {
	tokens := p.headers.PromptTokens
	if p.server.sessions.findEndpoint(p.headers) == endpoint.ID {
		tokens -= sharedPromptTokens(p.headers)
	}
	return max(tokens, 0)
}

// recordEventInterval records the time between two events of a stream at an engine.
func (p *proxiedRequest) recordEventInterval(endpoint afroster.Endpoint, interval time.Duration) {
	if afprefill.IsLate(interval, p.route.TargetEventInterval) && p.startsAreSpaced() {
		p.server.EngineStarts.RecordLateEvent(endpointStart(endpoint))
	}
}

// recordFirstEvent records after which time the first event of an attempt came.
func (p *proxiedRequest) recordFirstEvent(a *liveAttempt) {
	if p.startsAreSpaced() && !a.sentAt.IsZero() && p.position.events == 1 {
		p.server.EngineStarts.RecordFirstEvent(endpointStart(a.endpoint.Endpoint), p.headers.Model, a.unreadTokens, p.server.Timer.Now().Sub(a.sentAt))
	}
}
