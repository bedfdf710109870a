package afgateway

import (
	"context"
	"maps"
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
	// replacementRetryDelay is the time between two searches for an endpoint that takes the place of a silent one.
	replacementRetryDelay = 100 * time.Millisecond
)

// idleWatchdog cancels an attempt whose endpoint sends nothing for too long, once another endpoint has taken the request. A
// sound endpoint may be silent for a second, so that its answer must not end before there is a better one.
// It uses one timer for each attempt instead of one for each event, since a VM may relay thousands of events a second.
type idleWatchdog struct {
	request *proxiedRequest
	// excluded holds the endpoints that cannot take the request, including the one of the attempt. It does not change.
	excluded map[string]bool
	cancel   context.CancelCauseFunc

	mu sync.Mutex
	// progressAt is the time of the latest event, or the start of the attempt.
	progressAt time.Time
	// timeout is the longest allowed time without an event or response.
	timeout time.Duration
	timer   *aftimer.Subscription
	stopped bool
	// replacement is the endpoint that takes the place of the silent one, or nil.
	replacement *replacement
}

// startWatchdog returns the watchdog of an attempt. The watchdog has no timer if the request may not be retried.
func (p *proxiedRequest) startWatchdog(endpoint acquiredEndpoint, excluded map[string]bool, cancel context.CancelCauseFunc) *idleWatchdog {
	w := &idleWatchdog{request: p, cancel: cancel, progressAt: p.server.Timer.Now(), excluded: map[string]bool{endpoint.ID: true}}
	maps.Copy(w.excluded, excluded)
	if !p.route.IsRepeatable() || p.possibleRuns+1 >= p.route.MaxAttempts {
		return w
	}
	w.timeout = max(responseTimeoutFactor*p.route.TargetLatency, minResponseTimeout)
	if isStream(p.route) {
		w.timeout = max(firstEventTimeoutFactor*p.route.TargetLatency, minFirstEventTimeout)
	}
	w.startTimer(w.timeout)
	return w
}

// startTimer starts the timer for the next check. The caller holds mu, or the watchdog is not shared yet.
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
		if w.replacement = w.request.takeReplacement(w.excluded); w.replacement == nil {
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
	now := w.request.server.Timer.Now()
	interval := now.Sub(w.progressAt)
	w.progressAt = now
	w.timeout = max(eventTimeoutFactor*w.request.route.TargetEventInterval, minEventTimeout)
	return interval
}

// stop stops the timer and returns the endpoint that was to take the place of the silent one, or nil.
func (w *idleWatchdog) stop() *replacement {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	return w.replacement
}

// replacement is an endpoint that takes the place of a silent one, with a retry of the retry budget.
type replacement struct {
	endpoint acquiredEndpoint
}

// takeReplacement returns an endpoint with capacity that is not excluded, together with a retry of the budget, or nil. It may be
// called while an attempt is in progress.
func (p *proxiedRequest) takeReplacement(excluded map[string]bool) *replacement {
	s := p.server
	endpoint, ok := s.queue.acquire(func() (acquiredEndpoint, bool) {
		needs := p.requirements(excluded, 0)
		return p.pickCandidate(s.findCandidates(p.service, p.headers.Model, p.headers.Adapter), needs)
	})
	if !ok {
		return nil
	}
	if !s.takeRetry(p.service.Name) {
		endpoint.request.End(afroster.HealthUnaffected)
		return nil
	}
	return &replacement{endpoint: endpoint}
}

// release gives the endpoint up. The retry stays used, since budgets count what might have been sent.
func (r *replacement) release() {
	if r != nil {
		r.endpoint.request.End(afroster.HealthUnaffected)
	}
}
