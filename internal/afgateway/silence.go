package afgateway

import (
	"io"
	"maps"
	"slices"
	"time"

	"arbutusfork.example/arbutusfork/internal/afroster"
	"arbutusfork.example/arbutusfork/pkg/afprefill"
)

const (
	// firstEventTimeoutFactor times the route's target latency, but at least minFirstEventTimeout, is how long a
	// repeatable stream waits for its first event before another endpoint is asked too. Callers disconnect
	// after four times the target latency, but not before two seconds.
	firstEventTimeoutFactor = 2
	minFirstEventTimeout    = 900 * time.Millisecond
	// eventTimeoutFactor times the route's target event interval, but at least minEventTimeout, is how long a resumable
	// stream waits for the next event before another endpoint is asked to continue it. Callers disconnect after eight times the
	// target interval, but not before two seconds.
	eventTimeoutFactor = 5
	minEventTimeout    = 1200 * time.Millisecond
	// responseTimeoutFactor times the route's target latency, but at least minResponseTimeout, is how long a repeatable
	// request waits for its response before another endpoint is asked too.
	responseTimeoutFactor = 3
	minResponseTimeout    = 300 * time.Millisecond
	// maxTimeoutSpread is the largest random part of these times, as a fraction of them. The VMs see the silence of an endpoint in the
	// same moment, and each knows only its own load at the others.
	maxTimeoutSpread = 0.15
	// certainSilence is the silence from which an endpoint counts as hung and is worse than one that failed the request before.
	certainSilence = 2 * time.Second
	// placeRetryDelay is the time between two searches for a place beside a silent endpoint.
	placeRetryDelay = 100 * time.Millisecond
)

// mayBeRepeated reports whether a second attempt of the request may be made at all.
func (p *proxiedRequest) mayBeRepeated() bool {
	return p.route.IsRepeatable() && p.route.MaxAttempts > 1
}

// firstTimeout returns the longest time until the first event or response after which an endpoint counts as silent, or 0 if the
// request may not be sent to another one.
func (p *proxiedRequest) firstTimeout() time.Duration {
	switch {
	case !p.mayBeRepeated():
		return 0
	case isStream(p.route):
		return p.spread(max(firstEventTimeoutFactor*p.route.TargetLatency, minFirstEventTimeout))
	}
	return p.spread(max(responseTimeoutFactor*p.route.TargetLatency, minResponseTimeout))
}

// eventTimeout returns the longest time between two events after which an endpoint counts as silent.
func (p *proxiedRequest) eventTimeout() time.Duration {
	if !p.mayBeRepeated() {
		return 0
	}
	return p.spread(max(eventTimeoutFactor*p.route.TargetEventInterval, minEventTimeout))
}

// spread adds the random part of the request to a timeout.
func (p *proxiedRequest) spread(timeout time.Duration) time.Duration {
	return timeout + time.Duration(p.timeoutSpread*float64(timeout))
}

// startTimer starts the timer for the next check in place of one that runs, which is that of an attempt begun during a check. The
// caller holds mu.
func (o *attemptOwner) startTimer(delay time.Duration) {
	if o.timer != nil {
		o.timer.Stop()
	}
	o.timer = o.request.server.Timer.CallAfter(delay, func(now time.Time) {
		go o.check(now) // With hundreds of endpoints, hundreds of silent requests look for places for longer than a second.
	})
}

// watch starts the timer for an attempt, unless it runs. The caller holds mu.
func (o *attemptOwner) watch(a *liveAttempt) {
	if o.timer == nil && a.timeout > 0 {
		o.startTimer(a.timeout)
	}
}

// check tells the race of endpoints that are silent, and starts the timer for the next check. It does nothing after the end of the
// owner.
func (o *attemptOwner) check(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.timer = nil
	if o.race.isOver || o.cannotMove {
		return
	}
	delay := time.Duration(0)
	for _, a := range slices.Clone(o.live) {
		if i := o.race.find(a.id); a.timeout <= 0 || i < 0 || !o.race.racers[i].isSent {
			continue
		}
		left := a.timeout - now.Sub(a.progressAt)
		if left <= 0 {
			left = placeRetryDelay
			if !o.isWriting {
				o.recordSilence(a)
				o.apply(o.race.withSilence(a.id, now.Sub(a.progressAt) >= certainSilence, o.mayRepeat()))
			}
		}
		if delay == 0 || left < delay {
			delay = left
		}
	}
	if o.race.isSeeking && o.waiting != nil {
		// The end of a pause or a retry of the budget changes nothing in the roster, so that the queue may not have tried again.
		if e, ok := o.request.server.queue.retry(o.waiting); ok {
			o.waiting = nil
			o.takePlace(e)
		}
	}
	if delay > 0 {
		o.startTimer(delay)
	}
}

// recordSilence records a silence against the endpoint of an attempt, once, if another endpoint could answer. The caller holds mu.
func (o *attemptOwner) recordSilence(a *liveAttempt) {
	if a.isSilenceRecorded {
		return
	}
	a.isSilenceRecorded = true
	p := o.request
	others := p.hasOtherEndpoint(o.silentEndpoints())
	if others {
		a.endpoint.request.RecordSilence()
	}
	p.server.Log.Info("endpoint is silent", "request", p.headers.RequestID, "endpoint", a.endpoint.ID, "attempt", int(a.id), "timeout", a.timeout,
		"may_repeat", o.mayRepeat(), "others", others)
}

// silentEndpoints returns the endpoints of the live attempts and those that were replaced. The caller holds mu.
func (o *attemptOwner) silentEndpoints() map[string]bool {
	out := maps.Clone(o.request.timedOutEndpoints)
	if out == nil {
		out = map[string]bool{}
	}
	for _, a := range o.live {
		out[a.endpoint.ID] = true
	}
	return out
}

// seekPlace waits in the queue for a place at another endpoint, with the request's own time of arrival, so that later requests do not
// get each place that becomes free. The caller holds mu.
func (o *attemptOwner) seekPlace() {
	p := o.request
	excluded, silent, silentSince := maps.Clone(o.excluded), o.silentEndpoints(), p.server.Timer.Now()
	for _, a := range o.live {
		excluded[a.endpoint.ID] = true
		if a.progressAt.Before(silentSince) {
			silentSince = a.progressAt
		}
	}
	order := p.order()
	order.IsStarted = true
	waiting := &waitingRequest{
		service: p.service.Name, model: p.headers.Model, adapter: p.headers.Adapter, regions: p.regionLists(), order: order,
		acquired: make(chan acquiredEndpoint, 1), isSecondAttempt: true, silentEndpoint: o.live[0].endpoint.ID,
		pickEndpoint: p.placePicker(excluded, silent, silentSince),
	}
	if e, ok := p.server.queue.acquireOrAdd(waiting); ok {
		o.takePlace(e)
		return
	}
	o.waiting = waiting
}

// takePlace begins a second attempt at the place that was found. The caller holds mu.
func (o *attemptOwner) takePlace(e acquiredEndpoint) {
	next, effects := o.race.withPlace()
	if effects.unneededPlace {
		e.request.End(afroster.HealthUnaffected)
		o.request.server.returnRetry(o.request.service.Name, e.retryAt)
		return
	}
	o.apply(next, effects)
	a := o.addAttempt(effects.started, e)
	a.isSecond = true
	o.seconds.Go(func() { o.request.runSecond(o, a) })
}

// placePicker returns a function that chooses an endpoint with capacity that is not excluded and takes a retry of the budget.
// It may be called while attempts are in progress, with the lock of the queue.
func (p *proxiedRequest) placePicker(excluded, silent map[string]bool, silentSince time.Time) func() (acquiredEndpoint, bool) {
	s, askAgainAt := p.server, p.askAgainAt
	var nextTryAt time.Time // The queue tries again with each change of the roster, which may be hundreds of times a second.
	return func() (acquiredEndpoint, bool) {
		now := s.Timer.Now()
		if now.Before(nextTryAt) {
			return acquiredEndpoint{}, false
		}
		needs, budgetFraction := p.requirements(excluded, 0), spareRetryFraction
		needs.maxStartWait = afprefill.MaxAhead // A second attempt takes no start.
		isHung := now.Sub(silentSince) >= certainSilence
		if isHung {
			budgetFraction = 1
		}
		candidates := p.findCandidates()
		if _, ok := chooseEndpoint(candidates, needs); !ok {
			// An endpoint that failed before is better only than one that is hung.
			if !isHung || now.Before(askAgainAt) {
				return acquiredEndpoint{}, false
			}
			needs.excluded = silent
			if _, ok := chooseEndpoint(candidates, needs); !ok {
				return acquiredEndpoint{}, false
			}
		}
		if !s.takeRetryWithin(p.service.Name, now, budgetFraction) {
			nextTryAt = now.Add(placeRetryDelay)
			return acquiredEndpoint{}, false
		}
		e, ok := p.pickCandidate(candidates, needs)
		if !ok {
			s.returnRetry(p.service.Name, now) // The endpoint became full or asked for a pause meanwhile.
		}
		e.retryAt = now
		return e, ok
	}
}

// hasOtherEndpoint reports whether an endpoint that is not excluded can serve the request, whatever its load.
func (p *proxiedRequest) hasOtherEndpoint(excluded map[string]bool) bool {
	return slices.ContainsFunc(p.findCandidates().Endpoints, func(e afroster.Endpoint) bool { return !excluded[e.ID] })
}

// bodyReader tells the owner of each part of a body.
type bodyReader struct {
	io.ReadCloser
	owner   *attemptOwner
	attempt *liveAttempt
}

// Read fails with errReplaced if another attempt has spoken.
func (r bodyReader) Read(b []byte) (int, error) {
	n, err := r.ReadCloser.Read(b)
	if n > 0 && !r.owner.speak(r.attempt) {
		return 0, errReplaced
	}
	return n, err
}
