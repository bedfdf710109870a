package afgateway

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afshed"
)

// acquireEndpoint waits for an endpoint that can serve the request.
func (p *proxiedRequest) acquireEndpoint(ctx context.Context, excluded map[string]bool) (acquiredEndpoint, *arbutusfork.Refusal) {
	s := p.server
	startedAt := s.Timer.Now()
	waiting := &waitingRequest{
		service: p.service.Name, model: p.headers.Model, adapter: p.headers.Adapter, regions: p.regionLists(), order: p.order(), targetLatency: p.route.TargetLatency, isRestricted: len(excluded) > 0 || p.startsAreSpaced(), needsStart: p.startsAreSpaced(),
		acquired:     make(chan acquiredEndpoint, 1),
		pickEndpoint: func() (acquiredEndpoint, bool) { return p.pickEndpoint(excluded) },
		isUnservable: func() bool {
			if p.refuseQuarantined() != nil || p.refuseEvacuated() != nil || p.refusePaused() != nil || p.refuseRegions() != nil {
				return true
			}
			loadedAt, ok := s.loadDelays.loadedAt(p.headers.Model)
			return ok && loadedAt.Sub(s.Timer.Now()) > p.maxWait() && !p.isModelLoaded("")
		},
		unservable: make(chan struct{}),
	}
	if e, ok := s.queue.acquireOrAdd(waiting); ok {
		return e, nil
	}
	if waiting.isUnservable() {
		if e, ok := s.queue.remove(waiting); ok {
			return e, nil
		}
		return acquiredEndpoint{}, p.refuseUnservable()
	}
	defer func() { p.waitTime += s.Timer.Now().Sub(startedAt) }()
	s.Log.Debug("request waits", "request", p.headers.RequestID, "model", p.headers.Model, "adapter", p.headers.Adapter)
	if s.OnRequestWaiting != nil {
		s.OnRequestWaiting()
	}
	maxWaitOver := make(chan struct{})
	timer := s.Timer.CallAfter(p.maxWait(), func(time.Time) { close(maxWaitOver) })
	defer timer.Stop()
	urgent, stopUrgent := p.notifyWhenUrgent()
	defer stopUrgent()
	for isOver := false; !isOver; {
		select {
		case e := <-waiting.acquired:
			return e, nil
		case <-urgent:
			// No change of an endpoint tells the queue that the request may now wait for a start.
			if e, ok := s.queue.retry(waiting); ok {
				return e, nil
			}
		case <-ctx.Done():
			isOver = true
		case <-maxWaitOver:
			isOver = true
		case <-waiting.unservable:
			if waiting.shed.IsRefused {
				return acquiredEndpoint{}, p.refuseBehindOthers(waiting.shed)
			}
			return acquiredEndpoint{}, p.refuseUnservable()
		case <-s.waitingRefused:
			if e, ok := s.queue.remove(waiting); ok {
				return e, nil
			}
			return acquiredEndpoint{}, newRefusal(arbutusfork.CodeShuttingDown, "the server is stopping", stopRetryAfter)
		}
	}
	if e, ok := s.queue.remove(waiting); ok {
		return e, nil
	}
	if p.service.Engine != nil && !p.isModelLoaded(p.headers.Adapter) {
		return acquiredEndpoint{}, p.refuseModelNotReady()
	}
	s.queue.recordExpiry(waiting)
	return acquiredEndpoint{}, newRefusal(arbutusfork.CodeNoCapacity, "every endpoint is full or unusable", busyRetryAfter)
}

// plainMaxWait bounds the wait for an endpoint of a service without model engines, whose callers disconnect after about
// a second.
const plainMaxWait = 500 * time.Millisecond

// maxWait returns how long the request may wait for an endpoint.
func (p *proxiedRequest) maxWait() time.Duration {
	wait := max(p.timeLeft(), 0)
	if p.service.Engine == nil {
		return min(wait, plainMaxWait)
	}
	if p.route.CallerEventTimeout > 0 && !p.responseStarted {
		// Callers disconnect if the first event is late, and the engine needs firstEventTime to send it.
		wait = min(wait, max(p.route.CallerEventTimeout-firstEventTime-p.server.Timer.Now().Sub(p.arrivedAt), 0))
	}
	return wait
}

const (
	// firstEventTime is the time that an engine needs for the first event of an average request while it reads other
	// prompts.
	firstEventTime = 400 * time.Millisecond
	// maxLoadRetryAfter bounds the Retry-After of a model that waits for the weight store. The order of the models that
	// wait may change within the time of one load, which is about as long.
	maxLoadRetryAfter = 6 * time.Second
	// retryAfterSpread is the range of the random part of the Retry-After of requests for a model that is being loaded.
	retryAfterSpread = 800 * time.Millisecond
)

// order returns what decides when the turn of the request is among those that wait for an endpoint.
func (p *proxiedRequest) order() afshed.Request {
	startBy, expiresAt := p.deadline, p.server.Timer.Now().Add(p.maxWait())
	if p.route.TargetLatency > 0 {
		startBy = p.arrivedAt.Add(p.route.TargetLatency - p.serviceTime())
	}
	return afshed.Request{
		Priority: p.priority, ArrivedAt: p.arrivedAt, StartBy: startBy, ExpiresAt: expiresAt, Work: p.headers.PromptTokens + p.headers.MaxOutputTokens,
		IsStarted: p.responseStarted,
	}
}

// refuseBehindOthers returns the refusal of a request that gets no endpoint in time because of those that wait before it.
func (p *proxiedRequest) refuseBehindOthers(d afshed.Decision) *arbutusfork.Refusal {
	p.server.Metrics.countShed()
	p.detail = fmt.Sprintf("expected wait %v, longest %v", d.RetryAfter.Round(time.Millisecond), p.maxWait().Round(time.Millisecond))
	// The random part keeps callers from retrying at the same time.
	retryAfter := min(max(d.RetryAfter, busyRetryAfter), maxLoadRetryAfter) + time.Duration(p.server.Random()*float64(retryAfterSpread))
	return newRefusal(arbutusfork.CodeNoCapacity, "too many requests wait for an endpoint", retryAfter)
}

// refuseUnservable returns the refusal of a request that cannot be served in time.
func (p *proxiedRequest) refuseUnservable() *arbutusfork.Refusal {
	if refusal := p.refuseQuarantined(); refusal != nil {
		return refusal
	}
	if refusal := p.refuseEvacuated(); refusal != nil {
		return refusal
	}
	if refusal := p.refuseRegions(); refusal != nil {
		return refusal
	}
	if refusal := p.refusePaused(); refusal != nil {
		return refusal
	}
	return p.refuseModelNotReady()
}

// refuseModelNotReady returns the refusal of a request whose model is not loaded in time. Its Retry-After is the
// expected time until the model is loaded.
func (p *proxiedRequest) refuseModelNotReady() *arbutusfork.Refusal {
	retryAfter := loadRetryAfter
	if loadedAt, ok := p.server.loadDelays.loadedAt(p.headers.Model); ok {
		// The random part keeps callers from retrying at the same time and waiting for each other.
		retryAfter = min(max(loadedAt.Sub(p.server.Timer.Now()), 0), maxLoadRetryAfter) + rejectedRetryDelay + time.Duration(p.server.Random()*float64(retryAfterSpread))
	}
	return newRefusal(arbutusfork.CodeNoCapacity, "model "+strconv.Quote(p.headers.Model)+" is not ready in time", retryAfter)
}
