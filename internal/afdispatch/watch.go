package afdispatch

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

const (
	// probeTimeout bounds the check of an endpoint over a new connection.
	probeTimeout = time.Second
	maxStatus    = 1 << 20
)

// watch ends an attempt that misses its deadline to the first byte or makes no progress.
type watch struct {
	service *Service
	lease   *Lease
	call    Call
	tracker *tracker
	cancel  context.CancelCauseFunc
	sub     *aftimer.Subscription

	mu       sync.Mutex
	first    bool // first tells that the answer has begun.
	held     bool // held tells that the caller is slow, which is not the endpoint's fault.
	checked  bool
	progress time.Time
	deadline time.Time
	stopped  bool
	round    int // round numbers the scheduled look, so that one that has been replaced does nothing.
}

func (s *Service) watch(l *Lease, c Call, t *tracker, cancel context.CancelCauseFunc) *watch {
	w := &watch{
		service: s, lease: l, call: c, tracker: t, cancel: cancel,
		progress: s.Timer.Now(), deadline: l.request.Deadline,
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arm(w.progress)
	return w
}

// arm schedules the next look. It is called with the lock held.
func (w *watch) arm(now time.Time) {
	if w.stopped {
		return
	}
	// The next look is never later than after ProgressTimeout, so that a stream that begins meanwhile is looked after
	// without a new subscription, which would cost each request another pass through the timer's heap.
	next := w.progress.Add(w.service.ProgressTimeout)
	if !next.After(now) {
		next = now.Add(w.service.ProgressTimeout)
	}
	if !w.first && !w.checked {
		next = earlier(next, w.progress.Add(w.service.ConnCheckDelay))
	}
	if !w.first {
		next = earlier(next, w.deadline)
	}
	w.round++
	round := w.round
	w.sub = w.service.Timer.CallAfter(max(next.Sub(now), 0), func(now time.Time) { w.look(round, now) })
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// look decides whether the attempt goes on.
func (w *watch) look(round int, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || round != w.round {
		return
	}
	silent := now.Sub(w.progress)
	switch {
	case w.first && w.held:
		w.progress = now
	case w.first && silent >= w.service.ProgressTimeout:
		w.cancel(errSilent)
		return
	case !w.first && !now.Before(w.deadline):
		w.cancel(errDeadline)
		return
	case !w.first && !w.checked && silent >= w.service.ConnCheckDelay:
		w.checked = true
		if w.tracker.isReused() {
			go w.check()
		}
	case !w.first && w.call.IsIdempotent && w.tracker.isReused() && silent >= w.service.ProgressTimeout:
		w.drop()
		return
	}
	w.arm(now)
}

// check asks the endpoint over a new connection whether it has the request. If it runs nothing, the connection
// has lost the request.
func (w *watch) check() {
	ok, idle := w.service.probe(w.lease)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.first || (ok && !idle) {
		return
	}
	w.drop()
}

// drop gives up the connection, and with it the attempt if the call may be sent again. The endpoint's other
// idle connections are closed, so that the next attempt opens a new one. It is called with the lock held.
func (w *watch) drop() {
	w.service.pools.get(w.lease.Replica.Address).CloseIdleConnections()
	if w.call.IsIdempotent {
		w.cancel(errSilent)
	}
}

// started notes a byte of the answer.
func (w *watch) started() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.progress = w.service.Timer.Now()
	w.first = true
}

// hold tells whether the caller is being waited for.
func (w *watch) hold(held bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.held = held
	w.progress = w.service.Timer.Now()
}

func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.sub != nil {
		w.sub.Stop()
	}
}

// watchedReader notes progress with each read after the answer has begun.
type watchedReader struct {
	r io.Reader
	w *watch
}

func (r *watchedReader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	if n > 0 {
		r.w.mu.Lock()
		r.w.progress = r.w.service.Timer.Now()
		r.w.mu.Unlock()
	}
	return n, err
}

// probe checks an endpoint over a new connection. Idle tells that the endpoint says that it runs nothing.
func (s *Service) probe(l *Lease) (ok, idle bool) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if l.request.Model == "" {
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", l.Replica.Address)
		if err != nil {
			return false, false
		}
		_ = c.Close()
		return true, false
	}
	t := newTransport()
	defer t.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.Replica.Address+"/status", nil)
	if err != nil {
		return false, false
	}
	resp, err := t.RoundTrip(req)
	if err != nil {
		return false, false
	}
	defer func() { _ = resp.Body.Close() }()
	var status struct {
		Running int `json:"running"`
		Waiting int `json:"waiting"`
	}
	if json.NewDecoder(io.LimitReader(resp.Body, maxStatus)).Decode(&status) != nil {
		return true, false
	}
	return true, status.Running+status.Waiting == 0
}
