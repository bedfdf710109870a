package afdispatch

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

const (
	// probeTimeout bounds the check of an endpoint over a new connection.
	probeTimeout = time.Second
	// silentProbes is the number of checks in a row without an answer after which an endpoint counts as unreachable. A sound endpoint may
	// be silent for a second or so.
	silentProbes = 2
	// maxStatusBytes bounds the status that an endpoint returns.
	maxStatusBytes = 1 << 20
)

// watchdog cancels an attempt whose response does not begin before the deadline or makes no progress.
type watchdog struct {
	service *Service
	lease   *Lease
	call    Call
	tracker *connTracker
	cancel  context.CancelCauseFunc
	timer   *aftimer.Subscription

	mu                sync.Mutex
	isResponseStarted bool      // isResponseStarted means that the response has begun.
	isSinkWriting     bool      // isSinkWriting means that the sink is writing to the caller, so that silence is not the endpoint's fault.
	isConnChecked     bool      // isConnChecked means that a check of the connection was due, so that no other one is.
	progressAt        time.Time // progressAt is when the last data arrived or the sink last finished.
	deadline          time.Time
	isStopped         bool
	checkNumber       int // checkNumber identifies the scheduled check, so that a check that was replaced does nothing.
}

// startWatchdog starts the watchdog of one attempt.
func (s *Service) startWatchdog(l *Lease, c Call, t *connTracker, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{
		service: s, lease: l, call: c, tracker: t, cancel: cancel,
		progressAt: s.Timer.Now(), deadline: l.request.Deadline,
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.scheduleCheck(w.progressAt)
	return w
}

// scheduleCheck schedules the next check. The caller holds the lock.
func (w *watchdog) scheduleCheck(now time.Time) {
	if w.isStopped {
		return
	}
	// The next check is due within ProgressTimeout even before the response has begun, so that a stream that begins
	// before the check needs no new subscription. Each subscription costs an insertion into the heap of the timer.
	next := w.progressAt.Add(w.service.ProgressTimeout)
	if !next.After(now) {
		next = now.Add(w.service.ProgressTimeout)
	}
	if !w.isResponseStarted && !w.isConnChecked {
		next = earlierOf(next, w.progressAt.Add(w.service.ConnCheckDelay))
	}
	if !w.isResponseStarted {
		next = earlierOf(next, w.deadline)
	}
	w.checkNumber++
	number := w.checkNumber
	w.timer = w.service.Timer.CallAfter(max(next.Sub(now), 0), func(now time.Time) { w.checkProgress(number, now) })
}

// earlierOf returns the earlier of two times.
func earlierOf(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// checkProgress cancels the attempt if it is overdue. Otherwise it starts a check of the connection if that is due, and
// schedules the next check.
func (w *watchdog) checkProgress(number int, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isStopped || number != w.checkNumber {
		return
	}
	silence := now.Sub(w.progressAt)
	switch {
	case w.isResponseStarted && w.isSinkWriting:
		w.progressAt = now
	case w.isResponseStarted && silence >= w.service.ProgressTimeout:
		w.cancel(errNoProgress)
		return
	case !w.isResponseStarted && !now.Before(w.deadline):
		w.cancel(errDeadlineExceeded)
		return
	case !w.isResponseStarted && !w.isConnChecked && silence >= w.service.ConnCheckDelay:
		w.isConnChecked = true
		if w.tracker.isReused() {
			go w.checkConn()
		}
	case !w.isResponseStarted && w.call.IsIdempotent && w.tracker.isReused() && silence >= w.service.ProgressTimeout:
		w.dropConn()
		return
	}
	w.scheduleCheck(now)
}

// checkConn asks the endpoint over a new connection whether it runs anything. If the endpoint runs nothing, cannot be reached or answers
// to no check, the request is taken as lost and the connection is dropped.
func (w *watchdog) checkConn() {
	result := probeSilent
	for n := 0; n < silentProbes && result == probeSilent; n++ {
		result = w.service.probeEndpoint(w.lease)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isStopped || w.isResponseStarted || result == probeBusy {
		return
	}
	w.dropConn()
}

// dropConn cancels the attempt if the call is idempotent and closes the idle connections to the endpoint, so that the next
// attempt opens a new one. The caller holds the lock.
func (w *watchdog) dropConn() {
	w.service.transports.transportFor(w.lease.Replica.Address).CloseIdleConnections()
	if w.call.IsIdempotent {
		w.cancel(errNoProgress)
	}
}

// recordResponseByte records that a part of the response has arrived.
func (w *watchdog) recordResponseByte() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.progressAt = w.service.Timer.Now()
	w.isResponseStarted = true
}

// setSinkWriting sets whether the sink is writing to the caller. Either way, the progress timeout starts again.
func (w *watchdog) setSinkWriting(isWriting bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isSinkWriting = isWriting
	w.progressAt = w.service.Timer.Now()
}

// stop ends the watchdog. Later checks do nothing.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isStopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// progressReader records progress with each read of the response body.
type progressReader struct {
	r        io.Reader
	watchdog *watchdog
}

func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	if n > 0 {
		r.watchdog.mu.Lock()
		r.watchdog.progressAt = r.watchdog.service.Timer.Now()
		r.watchdog.mu.Unlock()
	}
	return n, err
}

// probeResult is what a check of an endpoint over a new connection shows.
type probeResult int

const (
	// probeBusy means that the endpoint may run the request.
	probeBusy probeResult = iota
	// probeIdle means that the engine runs no request and none waits.
	probeIdle
	// probeRefused means that the endpoint took no connection or closed it.
	probeRefused
	// probeSilent means that the endpoint did not answer in time, which a sound one may do too.
	probeSilent
)

// probeEndpoint connects to the endpoint of the lease over a new connection. An engine is also asked for its status.
func (s *Service) probeEndpoint(l *Lease) probeResult {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	failed := func(err error) probeResult {
		if e, ok := errors.Into[net.Error](err); ok && e.Timeout() {
			return probeSilent
		}
		return probeRefused
	}
	if l.request.Model == "" {
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", l.Replica.Address)
		if err != nil {
			return failed(err)
		}
		_ = c.Close()
		return probeBusy
	}
	t := newTransport()
	defer t.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.Replica.Address+"/status", nil)
	if err != nil {
		return probeRefused
	}
	resp, err := t.RoundTrip(req)
	if err != nil {
		return failed(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var status struct {
		Running int `json:"running"`
		Waiting int `json:"waiting"`
	}
	if json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&status) != nil || status.Running+status.Waiting > 0 {
		return probeBusy
	}
	return probeIdle
}
