package afgateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork/internal/afroster"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

// errReplaced ends an attempt because another one of the request has spoken.
var errReplaced = errors.New("another endpoint went on with the answer")

// liveAttempt is an attempt of which the race decides.
type liveAttempt struct {
	id       attemptID
	endpoint acquiredEndpoint
	// isSecond means that the attempt began while another one was silent.
	isSecond bool
	// ctx ends when the attempt is closed, at the deadline, and with the request.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// stopDeadline stops the timer that ends ctx at the deadline.
	stopDeadline func()
	// sentAt is when the attempt was sent.
	sentAt time.Time
	// unreadTokens is the number of prompt tokens that the engine probably had to read when the attempt began.
	unreadTokens int64
	// progressAt is the time of the latest progress of the answer, or of the send.
	progressAt time.Time
	// timeout is the longest time without progress after which the endpoint counts as silent. Zero means that it never does.
	timeout time.Duration
	// isSilenceRecorded means that the current silence was recorded against the endpoint.
	isSilenceRecorded bool
}

// spokenAttempt is an attempt that has spoken, with the start of its answer.
type spokenAttempt struct {
	*liveAttempt
	answer *answer
}

// attemptOwner owns the attempts of one request: it keeps their times, carries out what the race decides, and hands the attempt that
// has spoken to the goroutine of the request. One timer watches all of them, since a VM may relay thousands of events a second.
type attemptOwner struct {
	request *proxiedRequest
	// ctx is the context of the request.
	ctx context.Context

	mu   sync.Mutex
	race race
	// live are the attempts of the race.
	live  []*liveAttempt
	timer *aftimer.Subscription
	// waiting is in the queue while the race seeks a place, and nil otherwise.
	waiting *waitingRequest
	// isWriting means that a part of the answer is being written to the caller. A caller that reads nothing is no silence of the
	// endpoint.
	isWriting bool
	// position is how far the answer to the caller has come.
	position streamPosition
	// cannotMove means that no other attempt can go on with the answer.
	cannotMove bool
	// excluded holds the endpoints that failed the request, including those that were replaced.
	excluded map[string]bool
	// sends is the number of attempts that were sent, possibleRuns the number of those that have ended and may have run, refusals
	// that of those that did not run, and refusedSeconds that of second attempts among the latter.
	sends, possibleRuns, refusals, refusedSeconds int
	// breaksAtBegin is the number of endpoints that broke off the answer as it began.
	breaksAtBegin int
	// failure is the result of the attempt that failed last.
	failure attemptResult
	// spoken is an attempt that has spoken and that the goroutine of the request has not taken yet.
	spoken *spokenAttempt
	// changed receives a value when spoken is set or an attempt has ended.
	changed chan struct{}
	// seconds are the goroutines of second attempts.
	seconds sync.WaitGroup
}

// newAttemptOwner returns the owner of a request's attempts. Its end must be called.
func newAttemptOwner(ctx context.Context, p *proxiedRequest) *attemptOwner {
	return &attemptOwner{request: p, ctx: ctx, excluded: map[string]bool{}, changed: make(chan struct{}, 1)}
}

// begin begins an attempt while no other one is live.
func (o *attemptOwner) begin(endpoint acquiredEndpoint) *liveAttempt {
	o.mu.Lock()
	defer o.mu.Unlock()
	var id attemptID
	o.race, id = o.race.withFirst()
	o.sends++
	o.request.lastEndpoint = endpoint.ID
	return o.addAttempt(id, endpoint)
}

// addAttempt adds a live attempt. The caller holds mu.
func (o *attemptOwner) addAttempt(id attemptID, endpoint acquiredEndpoint) *liveAttempt {
	p := o.request
	a := &liveAttempt{id: id, endpoint: endpoint, progressAt: p.server.Timer.Now(), timeout: p.firstTimeout(), unreadTokens: p.unreadTokens(endpoint.Endpoint)}
	a.sentAt = a.progressAt
	a.ctx, a.cancel = context.WithCancelCause(o.ctx)
	a.stopDeadline = p.server.cancelAfter(p.timeLeft(), a.cancel, errDeadline)
	o.live = append(o.live, a)
	o.watch(a)
	return a
}

// send records that a second attempt is about to be sent and returns how far the answer has come. It returns false if the attempt
// was closed.
func (o *attemptOwner) send(a *liveAttempt) (streamPosition, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	next, effects := o.race.withSend(a.id)
	if effects.isRejected {
		return streamPosition{}, false
	}
	o.race = next
	o.sends++
	a.progressAt = o.request.server.Timer.Now()
	a.sentAt = a.progressAt
	o.watch(a)
	return o.position, true
}

// speak records that an attempt has a part of the answer for the caller. It returns false if another attempt has spoken instead; the
// part must not be relayed then.
func (o *attemptOwner) speak(a *liveAttempt) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.speakLocked(a)
}

func (o *attemptOwner) speakLocked(a *liveAttempt) bool {
	next, effects := o.race.withSpeech(a.id)
	if effects.isRejected {
		return false
	}
	now := o.request.server.Timer.Now()
	if a.isSilenceRecorded {
		a.isSilenceRecorded = false
		a.endpoint.request.RecordSpeech()
		o.request.server.Log.Info("endpoint speaks again", "request", o.request.headers.RequestID, "endpoint", a.endpoint.ID, "attempt", int(a.id), "silence", now.Sub(a.progressAt))
	}
	a.progressAt = now
	o.apply(next, effects)
	return true
}

// speakFinally is like speak for a part of an answer after which no other attempt can go on with it.
func (o *attemptOwner) speakFinally(a *liveAttempt) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.speakLocked(a) {
		return false
	}
	o.cannotMove = true
	return true
}

// start records that the answer to the caller begins with the head of an attempt and without an event. It returns false if another
// attempt has spoken instead.
func (o *attemptOwner) start(a *liveAttempt) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.race.find(a.id) < 0 {
		return false
	}
	o.position.isStarted = true
	return true
}

// speakEvent is like speak for an event of a stream, which is written to the caller until relayed is called.
func (o *attemptOwner) speakEvent(a *liveAttempt) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.speakLocked(a) {
		return false
	}
	a.timeout = o.request.eventTimeout()
	o.isWriting = true
	return true
}

// relayed records how far the answer has come after an event was written to the caller.
func (o *attemptOwner) relayed(a *liveAttempt, position streamPosition, hasContent bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if hasContent {
		o.isWriting = false
		a.progressAt = o.request.server.Timer.Now()
	}
	o.position = position
}

// hand gives an attempt that has spoken to the goroutine of the request. It returns false if another attempt has spoken instead, or if
// the answer cannot go on with one that has begun meanwhile.
func (o *attemptOwner) hand(a *liveAttempt, ans *answer) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !ans.isStream && o.position.isStarted || !o.speakLocked(a) {
		return false
	}
	o.spoken = &spokenAttempt{a, ans}
	o.request.lastEndpoint = a.endpoint.ID
	o.signal()
	return true
}

// fail records that an attempt has ended without a complete answer. It returns false if it was closed before.
func (o *attemptOwner) fail(a *liveAttempt, result attemptResult) bool {
	p, s := o.request, o.request.server
	o.mu.Lock()
	defer o.mu.Unlock()
	a.cancel(nil)
	a.stopDeadline()
	i := o.race.find(a.id)
	if i < 0 {
		return false
	}
	wasSent := o.race.racers[i].isSent
	if wasSent && result.notRun {
		o.possibleRuns-- // apply counts each attempt that was sent.
		o.refusals++
		if a.isSecond {
			p.askAgainAt = s.Timer.Now().Add(refusalDelay(o.refusedSeconds))
			o.refusedSeconds++
		}
	}
	o.race.racers[i].isSilent = false // Its endpoint did not stay silent.
	next, effects := o.race.withEnd(a.id)
	o.apply(next, effects)
	o.excluded[a.endpoint.ID] = true
	p.avoidedEndpoint = ""
	if result.notRun {
		p.avoidedEndpoint = a.endpoint.ID
	}
	o.signal()
	if !wasSent {
		return true
	}
	o.failure = result
	if result.serverError != nil {
		p.endpointError = result.serverError
	}
	s.Log.Info("attempt failed", "request", p.headers.RequestID, "endpoint", a.endpoint.ID, "attempt", int(a.id), "cause", result.cause,
		"not_run", result.notRun, "progress", result.progress.String(), "events", o.position.events, "parts", formatSharedParts(p.headers), "left", p.timeLeft())
	s.Metrics.countFailedAttempt(result)
	if result.brokenOff {
		p.checkCrash(a.endpoint.Endpoint, result.progress)
		if result.progress.isBeginning() {
			o.breaksAtBegin++
		}
	}
	return true
}

// await returns the attempt that has spoken after all others have ended, or nil if none is live any more.
func (o *attemptOwner) await() *spokenAttempt {
	for {
		o.mu.Lock()
		spoken := o.spoken
		o.spoken = nil
		n := o.race.liveCount()
		o.mu.Unlock()
		if spoken != nil || n == 0 {
			return spoken
		}
		select {
		case <-o.changed:
		case <-o.ctx.Done():
			return nil
		}
	}
}

// end closes all attempts and waits for their goroutines.
func (o *attemptOwner) end() {
	o.mu.Lock()
	if o.timer != nil {
		o.timer.Stop()
		o.timer = nil
	}
	o.apply(o.race.withOver())
	spoken := o.spoken
	o.spoken = nil
	o.mu.Unlock()
	if spoken != nil {
		spoken.answer.close()
	}
	o.seconds.Wait()
}

// signal wakes await. The caller holds mu.
func (o *attemptOwner) signal() {
	select {
	case o.changed <- struct{}{}:
	default:
	}
}

// apply carries out what the race decided. The caller holds mu.
func (o *attemptOwner) apply(next race, effects raceEffects) {
	p, s := o.request, o.request.server
	o.race = next
	for _, c := range effects.closed {
		i := slices.IndexFunc(o.live, func(a *liveAttempt) bool { return a.id == c.id })
		if i < 0 {
			continue
		}
		a := o.live[i]
		o.live = slices.Delete(o.live, i, i+1)
		a.cancel(errReplaced)
		a.stopDeadline()
		a.endpoint.request.End(afroster.HealthUnaffected) // The silence, if any, has been recorded.
		if c.isSent {
			o.possibleRuns++
		} else {
			s.returnRetry(p.service.Name, a.endpoint.retryAt)
		}
		if c.isSilent {
			o.excluded[a.endpoint.ID] = true
			p.avoidedEndpoint = a.endpoint.ID
			if p.timedOutEndpoints == nil {
				p.timedOutEndpoints = map[string]bool{}
			}
			p.timedOutEndpoints[a.endpoint.ID] = true
		}
	}
	if effects.stopSeeking && o.waiting != nil {
		if e, ok := s.queue.remove(o.waiting); ok {
			e.request.End(afroster.HealthUnaffected)
			s.returnRetry(p.service.Name, e.retryAt)
		}
		o.waiting = nil
	}
	if effects.seek {
		o.seekPlace()
	}
}

// mayRepeat reports whether one more attempt may be sent beside those that are live. The caller holds mu.
func (o *attemptOwner) mayRepeat() bool {
	p := o.request
	return p.route.IsRepeatable() && !o.cannotMove && (o.position.events == 0 || o.position.canBeContinued()) && o.sends-o.refusals < maxTotalAttempts && o.breaksAtBegin < maxBreaksAtBegin &&
		o.possibleRuns+o.race.liveCount() < p.route.MaxAttempts && p.timeLeft() > 0 && p.refuseQuarantined() == nil
}

// hasAttemptLeft reports whether the attempts, without those that did not run, are fewer than the bound.
func (o *attemptOwner) hasAttemptLeft() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sends-o.refusals < maxTotalAttempts
}

// refusalCount returns the number of attempts that were sent and did not run.
func (o *attemptOwner) refusalCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.refusals
}

// snapshot returns the counts of the attempts and the latest failure.
func (o *attemptOwner) snapshot() (sends, possibleRuns, breaksAtBegin int, failure attemptResult) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sends, o.possibleRuns, o.breaksAtBegin, o.failure
}

// hasOther reports whether another attempt is live, which may still give an answer if this one does not.
func (o *attemptOwner) hasOther(a *liveAttempt) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.ContainsFunc(o.live, func(other *liveAttempt) bool { return other != a })
}

// mayHaveRun reports whether an endpoint may have run the request or may still do so.
func (o *attemptOwner) mayHaveRun() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.possibleRuns > 0 || slices.ContainsFunc(o.race.racers[:], func(r racer) bool { return r.isSent })
}

// excludedEndpoints returns the endpoints that failed the request.
func (o *attemptOwner) excludedEndpoints() map[string]bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.excluded)
}
