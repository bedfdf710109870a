package afdispatch

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afqueue"
	"arbutusfork.example/arbutusfork/pkg/afretry"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

type eventKind int

const (
	eventTick eventKind = iota
	eventAcquire
	eventCancel
	eventRelease
	eventFailed
	eventLeaving
	eventMissing
	eventWake
	eventCount
	eventWell
)

// event is one message to the owner goroutine.
type event struct {
	kind     eventKind
	waiter   *waiter
	lease    *Lease
	actual   int64
	endpoint string
	models   []string
	counts   chan map[string]int
}

type grant struct {
	lease   *Lease
	refusal *arbutusfork.Refusal
}

// waiter is a request in the fair queue. Reply receives exactly one grant.
type waiter struct {
	id      uint64
	request Request
	reply   chan grant
	// answered is owned by the owner goroutine.
	answered bool
	lease    *Lease
}

// state is owned by the goroutine of Run.
type state struct {
	queue     afqueue.Queue
	waiters   map[uint64]*waiter
	held      int64 // held is the sum of the waiters' bytes.
	endpoints map[string]*endpoint
	// reported is the number of waiting requests last reported through OnWaitingChanged, by model.
	reported map[string]int
	dirty    map[string]bool
	// tick runs while requests wait.
	tick *aftimer.Subscription
	// running is the number of this VM's running requests by model.
	running map[string]int
	// estimates are those that the waiting requests were compared with at the time estimated, by model.
	estimates map[string]time.Duration
	estimated time.Time
	// leaving holds the names of the endpoints that were seen leaving.
	leaving map[string]bool
	// missing is until when a replica is not used because its endpoint said that it does not have the model.
	missing map[replica]time.Time
}

// replica names a model at an endpoint.
type replica struct{ endpoint, model string }

// fullRetry is what a caller is told when too many requests wait.
const fullRetry = time.Second

// missingTime is how long a replica that the endpoint does not have is left out, unless the table changes.
const missingTime = time.Second

// endpoint is what this VM knows about an endpoint beyond the routing table.
type endpoint struct {
	running  int
	failures int
	// until is the end of the backoff after failures.
	until time.Time
	// left is when the endpoint was last seen leaving.
	left time.Time
	// dropped tells that the routing table has not listed the endpoint since then.
	dropped bool
}

// leavingTime is the longest time that an endpoint which said that it is leaving gets no new work. The time ends
// earlier when the routing table drops the endpoint and lists it again, since its owner has asked it meanwhile.
const leavingTime = 30 * time.Second

func newState() state {
	return state{
		waiters:   make(map[uint64]*waiter),
		endpoints: make(map[string]*endpoint),
		reported:  make(map[string]int),
		running:   make(map[string]int),
		dirty:     make(map[string]bool),
		leaving:   make(map[string]bool),
		missing:   make(map[replica]time.Time),
	}
}

func (s *state) endpoint(name string) *endpoint {
	e := s.endpoints[name]
	if e == nil {
		e = &endpoint{}
		s.endpoints[name] = e
	}
	return e
}

func (s *Service) handle(e event) {
	now := s.Timer.Now()
	switch e.kind {
	case eventAcquire:
		s.enqueue(e.waiter, now)
	case eventCancel:
		s.cancel(e.waiter)
	case eventRelease:
		s.release(e.lease, e.actual)
	case eventFailed:
		p := s.state.endpoint(e.endpoint)
		p.failures++
		p.until = now.Add(afretry.Backoff(p.failures, float64(s.RandIntN(1000))/1000))
	case eventWell:
		s.state.endpoint(e.endpoint).failures = 0
	case eventLeaving:
		p := s.state.endpoint(e.endpoint)
		p.left, p.dropped = now, false
		s.state.leaving[e.endpoint] = true
	case eventMissing:
		s.state.missing[replica{e.lease.Replica.Endpoint, e.lease.request.Model}] = now.Add(missingTime)
	case eventWake:
		for r := range s.state.missing {
			if slices.Contains(e.models, r.model) {
				delete(s.state.missing, r)
			}
		}
	case eventCount:
		e.counts <- s.state.queue.CountWaitingByClass()
	case eventTick:
	}
}

func (s *Service) enqueue(w *waiter, now time.Time) {
	entry := w.entry()
	if !entry.Deadline.After(now) {
		s.refuse(w, arbutusfork.Refuse(arbutusfork.CodeDeadline, "the deadline has passed"))
		return
	}
	if s.full(w) {
		s.refuse(w, arbutusfork.Refuse(arbutusfork.CodeNoCapacity, "too many requests wait at this VM").WithRetryAfter(fullRetry))
		return
	}
	if d, ok := s.estimate(entry); ok && d > entry.Deadline.Sub(now) {
		s.refuse(w, tooLate(d))
		return
	}
	s.state.waiters[w.id] = w
	s.state.held += w.request.MemoryBytes
	s.state.queue.Push(entry)
	s.state.dirty[entry.Class] = true
}

// full reports whether the waiting requests leave no room for another one.
func (s *Service) full(w *waiter) bool {
	return s.MaxWaitingRequests > 0 && len(s.state.waiters) >= s.MaxWaitingRequests ||
		s.MaxWaitingBytes > 0 && s.state.held+w.request.MemoryBytes > s.MaxWaitingBytes
}

// leave takes a request out of those that wait.
func (s *Service) leave(w *waiter) {
	delete(s.state.waiters, w.id)
	s.state.held -= w.request.MemoryBytes
	s.state.dirty[w.request.class()] = true
}

// estimate returns the expected wait of the entry, if anything is known about it.
func (s *Service) estimate(e afqueue.Entry) (time.Duration, bool) {
	if len(s.present(e.Class)) > 0 {
		return s.state.queue.EstimateWait(e, 0), true
	}
	if s.EstimateReady == nil {
		return 0, false
	}
	ready, ok := s.EstimateReady(e.Class)
	return ready, ok
}

func (s *Service) cancel(w *waiter) {
	switch {
	case s.state.queue.Remove(w.id):
		s.leave(w)
	case w.lease != nil && w.lease.released.CompareAndSwap(false, true):
		// The grant and the caller's end crossed. The lease was never used.
		s.release(w.lease, 0)
	}
}

func (s *Service) release(l *Lease, actual int64) {
	s.state.endpoint(l.Replica.Endpoint).running--
	s.countRunning(l.request.Model, -1)
	s.state.queue.AdjustCharge(l.request.Customer, actual-l.request.Cost)
}

func (s *Service) refuse(w *waiter, r *arbutusfork.Refusal) {
	if w.answered {
		return
	}
	w.answered = true
	w.reply <- grant{refusal: r}
}

// readmit ends the exclusion of leaving endpoints that the routing table has dropped and lists again.
func (s *Service) readmit(now time.Time) {
	for name := range s.state.leaving {
		e := s.state.endpoint(name)
		listed := s.IsEndpointListed == nil || s.IsEndpointListed(name)
		switch {
		case !listed:
			e.dropped = true
		case e.dropped || now.Sub(e.left) >= leavingTime:
			e.left, e.dropped = time.Time{}, false
			delete(s.state.leaving, name)
		}
	}
}

// match gives free slots to waiting requests, refuses late ones and reports demand.
func (s *Service) match() {
	now := s.Timer.Now()
	s.readmit(now)
	s.refuseHopeless(now)
	for _, e := range s.state.queue.RemoveExpired(now) {
		w := s.state.waiters[e.ID]
		s.leave(w)
		s.refuse(w, arbutusfork.Refuse(arbutusfork.CodeDeadline, "no endpoint was free within the deadline").WithRetryAfter(time.Second))
	}
	for {
		e, ok := s.state.queue.Pop(now, func(class string) bool { return s.open(class, now) })
		if !ok {
			break
		}
		s.grant(e, now)
	}
	s.report()
	s.watchLate(s.state.queue.Len() > 0)
}

// watchLate looks for late entries in each period while there are entries, so that an idle VM is not woken.
func (s *Service) watchLate(on bool) {
	switch {
	case on && s.state.tick == nil:
		s.state.tick = s.Timer.CallEvery(expiryPeriod, func(time.Time) { s.ring.TryPush(event{kind: eventTick}) })
	case !on && s.state.tick != nil:
		s.state.tick.Stop()
		s.state.tick = nil
	}
}

func (s *Service) grant(e afqueue.Entry, now time.Time) {
	w := s.state.waiters[e.ID]
	s.leave(w)
	c := s.choose(w.request, now)
	p := s.state.endpoint(c.replica.Endpoint)
	p.running++
	s.countRunning(w.request.Model, 1)
	w.lease = &Lease{Replica: c.replica, service: s, request: w.request, failing: p.failures > 0}
	w.answered = true
	if s.OnRequestRouted != nil && w.request.Model != "" {
		s.OnRequestRouted(w.request.Model)
	}
	s.Log.LogAttrs(context.Background(), slog.LevelInfo, "request routed",
		slog.String("request", w.request.ID), slog.String("customer", w.request.Customer),
		resource(w.request), slog.String("endpoint", c.replica.Endpoint),
		slog.Duration("waited", now.Sub(e.ArrivedAt)), slog.Int64("cost", e.Cost),
		slog.Float64("score", c.score), slog.Bool("prefix", c.affine),
		slog.Any("alternatives", c.others))
	w.reply <- grant{lease: w.lease}
}

// resource names what the request needs in the log. Decisions are found again by the model.
func resource(r Request) slog.Attr {
	if r.Model != "" {
		return slog.String("model", r.Model)
	}
	return slog.String("service", r.Service)
}

// countRunning reports how many requests this VM runs on a model, so that its replicas are neither unloaded under
// them nor too few.
func (s *Service) countRunning(model string, change int) {
	if model == "" || s.OnRunningChanged == nil {
		return
	}
	n := s.state.running[model] + change
	if n == 0 {
		delete(s.state.running, model)
	} else {
		s.state.running[model] = n
	}
	s.OnRunningChanged(model, n)
}

// report calls OnWaitingChanged for models whose number of waiting requests has changed.
func (s *Service) report() {
	for class := range s.state.dirty {
		delete(s.state.dirty, class)
		if class[:1] == plainPrefix || s.OnWaitingChanged == nil {
			continue
		}
		waiting := s.state.queue.CountWaiting(class)
		if waiting == s.state.reported[class] {
			continue
		}
		if waiting == 0 {
			delete(s.state.reported, class)
		} else {
			s.state.reported[class] = waiting
		}
		deadline, _ := s.state.queue.EarliestDeadline(class)
		s.OnWaitingChanged(class, waiting, deadline)
	}
}

func (s *Service) refuseAll() {
	for _, w := range s.state.waiters {
		s.refuse(w, arbutusfork.Refuse(arbutusfork.CodeStopping, "the server is stopping"))
	}
	clear(s.state.waiters)
}
