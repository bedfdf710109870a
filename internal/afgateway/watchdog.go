package afgateway

import (
	"context"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"arbutusfork.example/arbutusfork/internal/afroster"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

const (
	// firstEventTimeoutFactor times the route's target latency, but at least minFirstEventTimeout, is how long a
	// repeatable stream waits for its first event before the request is sent to another endpoint. Callers disconnect
	// after four times the target latency, but not before two seconds.
	firstEventTimeoutFactor = 2
	minFirstEventTimeout    = 900 * time.Millisecond
	// eventTimeoutFactor times the route's target event interval, but at least minEventTimeout, is how long a resumable
	// stream waits for the next event before another endpoint continues it. Callers disconnect after eight times the
	// target interval, but not before two seconds.
	eventTimeoutFactor = 5
	minEventTimeout    = 1200 * time.Millisecond
	// responseTimeoutFactor times the route's target latency, but at least minResponseTimeout, is how long a repeatable
	// request waits for its response before it is sent to another endpoint.
	responseTimeoutFactor = 3
	minResponseTimeout    = 300 * time.Millisecond
	// certainSilence is the silence from which an endpoint is worse than one that failed the request before.
	certainSilence = 2 * time.Second
	// replacementRetryDelay is the time between two searches for an endpoint that takes the place of a silent one.
	replacementRetryDelay = 100 * time.Millisecond
)

// idleWatchdog cancels an attempt whose endpoint sends nothing for too long, once another endpoint has taken the request. A
// sound endpoint may be silent for a second, so that its answer must not end before there is a better one.
// It uses one timer for each attempt instead of one for each event, since a VM may relay thousands of events a second.
type idleWatchdog struct {
	request  *proxiedRequest
	endpoint acquiredEndpoint
	// excluded holds the endpoints that cannot take the request, including the one of the attempt. It does not change.
	excluded map[string]bool
	// timedOut holds those of excluded that were silent. It does not change.
	timedOut map[string]bool
	cancel   context.CancelCauseFunc

	mu sync.Mutex
	// progressAt is the time of the latest event, or the start of the attempt.
	progressAt time.Time
	// timeout is the longest allowed time without an event or response.
	timeout time.Duration
	timer   *aftimer.Subscription
	stopped bool
	// cannotContinue means that no endpoint can continue what was relayed, so that the attempt must not be left.
	cannotContinue bool
	// waiting is in the queue while the endpoint is silent and no other one has room. It is nil before.
	waiting *waitingRequest
	// replacement is the endpoint that takes the place of the silent one, or nil.
	replacement *replacement
}

// startWatchdog returns the watchdog of an attempt. The watchdog has no timer if the request may not be retried.
func (p *proxiedRequest) startWatchdog(endpoint acquiredEndpoint, excluded map[string]bool, cancel context.CancelCauseFunc) *idleWatchdog {
	w := &idleWatchdog{request: p, endpoint: endpoint, cancel: cancel, progressAt: p.server.Timer.Now(), excluded: map[string]bool{endpoint.ID: true}, timedOut: map[string]bool{endpoint.ID: true}}
	maps.Copy(w.excluded, excluded)
	maps.Copy(w.timedOut, p.timedOutEndpoints)
	if !p.route.IsRepeatable() || p.possibleRuns+1 >= p.route.MaxAttempts || p.attempts >= maxTotalAttempts {
		return w
	}
	w.timeout = max(responseTimeoutFactor*p.route.TargetLatency, minResponseTimeout)
	if isStream(p.route) {
		w.timeout = max(firstEventTimeoutFactor*p.route.TargetLatency, minFirstEventTimeout)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.startTimer(w.timeout)
	return w
}

// startTimer starts the timer for the next check. The caller holds mu.
func (w *idleWatchdog) startTimer(delay time.Duration) {
	w.timer = w.request.server.Timer.CallAfter(delay, w.checkProgress)
}

// checkProgress cancels the attempt if its timeout has passed and another endpoint takes the request. Otherwise it restarts
// the timer.
func (w *idleWatchdog) checkProgress(now time.Time) {
	w.mu.Lock()
	if w.stopped {
		w.mu.Unlock()
		return
	}
	remaining := w.timeout - now.Sub(w.progressAt)
	if remaining <= 0 {
		if w.replacement = w.findReplacement(); w.replacement == nil {
			remaining = replacementRetryDelay
		}
	}
	if remaining > 0 {
		w.startTimer(remaining)
		w.mu.Unlock()
		return
	}
	w.mu.Unlock()
	w.cancel(errIdleTimeout)
}

// recordProgress records an event and returns the time since the previous event or the start of the attempt. After the
// first event, the timeout applies to the time between two events.
func (w *idleWatchdog) recordProgress() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaveQueue()
	now := w.request.server.Timer.Now()
	interval := now.Sub(w.progressAt)
	w.progressAt = now
	w.timeout = max(eventTimeoutFactor*w.request.route.TargetEventInterval, minEventTimeout)
	return interval
}

// recordBytes records that a part of a body has arrived.
func (w *idleWatchdog) recordBytes() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaveQueue()
	w.progressAt = w.request.server.Timer.Now()
}

// bodyReader tells the watchdog of each part of a body.
type bodyReader struct {
	io.ReadCloser
	watchdog *idleWatchdog
}

func (r bodyReader) Read(b []byte) (int, error) {
	n, err := r.ReadCloser.Read(b)
	if n > 0 {
		r.watchdog.recordBytes()
	}
	return n, err
}

// setContinuable sets whether another endpoint can continue what was relayed.
func (w *idleWatchdog) setContinuable(canContinue bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cannotContinue = !canContinue
}

// stop stops the timer and returns the endpoint that was to take the place of the silent one, or nil.
func (w *idleWatchdog) stop() *replacement {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	w.leaveQueue()
	return w.replacement
}

// findReplacement returns an endpoint that takes the place of the silent one, or nil. The request waits for one in the queue, with
// its own time of arrival, so that later requests do not get each place that becomes free. The caller holds mu.
func (w *idleWatchdog) findReplacement() *replacement {
	p := w.request
	if w.cannotContinue || p.refuseQuarantined() != nil {
		w.leaveQueue()
		return nil
	}
	q := &p.server.queue
	if w.waiting == nil {
		if p.hasOtherEndpoint(w.timedOut) {
			w.endpoint.request.RecordSilence()
		}
		waiting := &waitingRequest{
			service: p.service.Name, model: p.headers.Model, adapter: p.headers.Adapter, priority: p.priority, arrivedAt: p.arrivedAt,
			acquired: make(chan acquiredEndpoint, 1), isReplacement: true, silentEndpoint: w.endpoint.ID,
			pickEndpoint: p.replacementPicker(w.excluded, w.timedOut, w.progressAt),
		}
		if e, ok := q.acquireOrAdd(waiting); ok {
			return &replacement{request: p, endpoint: e}
		}
		w.waiting = waiting
		return nil
	}
	// The end of a pause or a retry of the budget changes nothing in the roster, so that the queue may not have tried again.
	e, ok := q.retry(w.waiting)
	if !ok {
		return nil
	}
	w.waiting = nil
	return &replacement{request: p, endpoint: e}
}

// leaveQueue ends the wait for another endpoint and gives up one that was assigned. The caller holds mu.
func (w *idleWatchdog) leaveQueue() {
	if w.waiting == nil {
		return
	}
	if e, ok := w.request.server.queue.remove(w.waiting); ok {
		(&replacement{request: w.request, endpoint: e}).release()
	}
	w.waiting = nil
}

// replacement is an endpoint that takes the place of a silent one, with a retry of the retry budget.
type replacement struct {
	request  *proxiedRequest
	endpoint acquiredEndpoint
}

// replacementPicker returns a function that chooses an endpoint with capacity that is not excluded and takes a retry of the budget.
// It may be called while an attempt is in progress, with the lock of the queue.
func (p *proxiedRequest) replacementPicker(excluded, timedOut map[string]bool, silentSince time.Time) func() (acquiredEndpoint, bool) {
	s := p.server
	var nextTryAt time.Time // The queue tries again with each change of the roster, which may be hundreds of times a second.
	return func() (acquiredEndpoint, bool) {
		now := s.Timer.Now()
		if now.Before(nextTryAt) {
			return acquiredEndpoint{}, false
		}
		needs := p.requirements(excluded, 0)
		candidates := s.findCandidates(p.service, p.headers.Model, p.headers.Adapter)
		if _, ok := chooseEndpoint(candidates, needs); !ok {
			// An endpoint that failed before is better only than one that is hung, and if the request could still return.
			if now.Sub(silentSince) < certainSilence || p.attempts+1 >= maxTotalAttempts {
				return acquiredEndpoint{}, false
			}
			needs.excluded = timedOut
			if _, ok := chooseEndpoint(candidates, needs); !ok {
				return acquiredEndpoint{}, false
			}
		}
		if !s.takeRetry(p.service.Name) {
			nextTryAt = now.Add(replacementRetryDelay)
			return acquiredEndpoint{}, false
		}
		return p.pickCandidate(candidates, needs)
	}
}

// hasOtherEndpoint reports whether an endpoint that is not excluded can serve the request, whatever its load.
func (p *proxiedRequest) hasOtherEndpoint(excluded map[string]bool) bool {
	return slices.ContainsFunc(p.server.findCandidates(p.service, p.headers.Model, p.headers.Adapter).Endpoints, func(e afroster.Endpoint) bool { return !excluded[e.ID] })
}

// release gives the endpoint and the retry up.
func (r *replacement) release() {
	if r != nil {
		r.endpoint.request.End(afroster.HealthUnaffected)
		r.request.server.returnRetry(r.request.service.Name)
	}
}
