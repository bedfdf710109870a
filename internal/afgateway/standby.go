package afgateway

import (
	"context"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork/internal/afroster"
)

var errWentOn = errors.New("the silent endpoint went on")

// standby is an attempt at the endpoint that may take the place of a silent one in a stream that has begun. The silent endpoint is
// left only when the answer of the other one has begun, since the other one may refuse.
type standby struct {
	cancel context.CancelCauseFunc
	// done is closed after the attempt has ended or its answer has become the watchdog's replacement.
	done chan struct{}
	// isDropped means that the silent endpoint went on or the request ended. The watchdog's mu guards it.
	isDropped bool
}

// drop closes the connection of the standby. The caller holds the watchdog's mu.
func (b *standby) drop() {
	if b != nil {
		b.isDropped = true
		b.cancel(errWentOn)
	}
}

// endedStandby is a standby that was sent and whose answer was not used.
type endedStandby struct {
	endpoint afroster.Endpoint
	result   attemptResult
}

// mayRunAt reports whether the request may run at a number of other endpoints beside that of the attempt. The caller holds mu.
func (w *idleWatchdog) mayRunAt(others int) bool {
	p := w.request
	runs := p.possibleRuns + others
	for _, b := range w.endedStandbys {
		if !b.result.notRun {
			runs++
		}
	}
	return p.route.IsRepeatable() && runs < p.route.MaxAttempts && p.attempts+len(w.endedStandbys)+others <= maxTotalAttempts
}

// tryAnother returns an endpoint that takes the place of the silent one, or nil. For a stream that has begun, it starts a standby
// instead. The caller holds mu.
func (w *idleWatchdog) tryAnother() *replacement {
	if w.standby != nil || !w.mayRunAt(1) {
		return nil
	}
	r := w.findReplacement()
	if r == nil || w.relayedEvents == 0 {
		return r
	}
	ctx, cancel := context.WithCancelCause(w.requestCtx)
	w.standby = &standby{cancel: cancel, done: make(chan struct{})}
	go w.runStandby(ctx, w.standby, r, w.position.lastEventID, w.request.maxWait(), w.mayRunAt(2))
	return nil
}

// runStandby sends the request to the endpoint of r and makes r the replacement when its answer begins, unless the silent endpoint
// has gone on before. MayLeave means that the request may run at one more endpoint, so that r is left if it is silent too.
func (w *idleWatchdog) runStandby(ctx context.Context, b *standby, r *replacement, lastEventID string, maxSlotWait time.Duration, mayLeave bool) {
	defer close(b.done)
	p := w.request
	defer p.server.cancelAfter(p.timeLeft(), b.cancel, errDeadline)()
	if mayLeave {
		timer := p.server.Timer.CallAfter(p.firstEventTimeout(), func(time.Time) { w.leaveStandby(b, r) })
		defer timer.Stop()
	}
	answer, result, isSent := p.openStandby(ctx, r.endpoint, lastEventID, maxSlotWait)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.standby = nil
	if answer != nil && !b.isDropped {
		r.answer, w.replacement = answer, r
		w.cancel(errIdleTimeout)
		return
	}
	if !b.isDropped {
		w.excluded = maps.Clone(w.excluded)
		w.excluded[r.endpoint.ID] = true
	}
	if answer != nil {
		answer.abandon()
		r.endpoint.request.End(afroster.HealthUnaffected)
		result = attemptResult{progress: progressHead, cause: errWentOn.Error()}
	}
	b.cancel(nil)
	if !isSent {
		r.release()
		return
	}
	w.endedStandbys = append(w.endedStandbys, endedStandby{r.endpoint.Endpoint, result})
	p.logFailedAttempt(r.endpoint.Endpoint, p.attempts+len(w.endedStandbys), w.relayedEvents, result)
	if result.brokenOff {
		p.checkCrash(r.endpoint.Endpoint, result.progress)
	}
}

// openStandby sends the request to an endpoint and returns its answer if that begins the rest of the stream. IsSent means that the
// request was sent or that the endpoint could not be reached. It changes no field of the request.
func (p *proxiedRequest) openStandby(ctx context.Context, endpoint acquiredEndpoint, lastEventID string, maxSlotWait time.Duration) (answer *openAnswer, result attemptResult, isSent bool) {
	if slot, _ := p.takeSlot(ctx, endpoint.Endpoint, maxSlotWait); slot != slotTaken || p.refuseQuarantined() != nil || !p.server.takesRequests(endpoint.Endpoint) {
		return nil, attemptResult{}, false
	}
	answer, result = p.requestAnswer(ctx, endpoint, lastEventID)
	if answer == nil || p.isStreamAnswer(answer) {
		return answer, result, !result.isUnsent
	}
	status := answer.response.StatusCode
	health := healthResult(status < http.StatusInternalServerError)
	if answer.headers.Said.Pause > 0 {
		health = afroster.HealthUnaffected // The endpoint says itself when it is to be used again.
	}
	answer.abandon()
	endpoint.request.End(health)
	return nil, attemptResult{progress: progressHead, cause: "endpoint answered " + strconv.Itoa(status) + " in mid-stream"}, true
}

// countStandbys adds the ended standbys of an attempt to the attempts of the request.
func (p *proxiedRequest) countStandbys(w *idleWatchdog, excluded map[string]bool) {
	for _, b := range w.endedStandbys {
		p.attempts++
		if !b.result.notRun {
			p.possibleRuns++
		}
		excluded[b.endpoint.ID] = excluded[b.endpoint.ID] || w.excluded[b.endpoint.ID]
	}
}

// hasAnswer reports whether the answer of the endpoint has begun.
func (r *replacement) hasAnswer() bool { return r != nil && r.answer != nil }

// takeAnswer returns the answer of the endpoint if it has begun, or nil.
func (r *replacement) takeAnswer() *openAnswer {
	if r == nil {
		return nil
	}
	return r.answer
}

// abandon closes the connection of an answer that is not relayed.
func (a *openAnswer) abandon() {
	if a != nil {
		a.close()
	}
}

// leaveStandby ends a standby whose endpoint is silent if another endpoint can serve the request.
func (w *idleWatchdog) leaveStandby(b *standby, r *replacement) {
	w.mu.Lock()
	defer w.mu.Unlock()
	excluded := maps.Clone(w.excluded)
	excluded[r.endpoint.ID] = true
	if w.standby == b && !b.isDropped && w.request.hasOtherEndpoint(excluded) {
		r.endpoint.request.RecordSilence()
		b.cancel(errIdleTimeout)
	}
}
