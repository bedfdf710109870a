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

// eventKind is the kind of an event.
type eventKind int

const (
	eventExpiryTick eventKind = iota
	eventAcquire
	eventCancel
	eventRelease
	eventEndpointFailed
	eventEndpointDraining
	eventModelMissing
	eventRecheckWaiting
	eventCountWaiting
	eventEndpointRecovered
)

// event is one message to the goroutine of Run. Which fields are set depends on the kind.
type event struct {
	kind         eventKind
	waiter       *waiter
	lease        *Lease
	actualTokens int64
	endpoint     string
	models       []string
	countsReply  chan map[string]int
}

// acquireResult is the result of AcquireLease: a lease or a refusal.
type acquireResult struct {
	lease   *Lease
	refusal *arbutusfork.Refusal
}

// waiter is a call of AcquireLease that waits. The channel reply receives exactly one result.
type waiter struct {
	id      uint64
	request Request
	reply   chan acquireResult
	// isAnswered means that a result was sent to reply. Only the goroutine of Run uses it.
	isAnswered bool
	// lease is the granted lease, if any. Only the goroutine of Run uses it.
	lease *Lease
}

// dispatchState is the state that only the goroutine of Run uses.
type dispatchState struct {
	queue        afqueue.Queue
	waiters      map[uint64]*waiter
	waitingBytes int64 // waitingBytes is the sum of MemoryBytes of the waiters.
	endpoints    map[string]*endpointState
	// reportedWaiting is the number of waiting requests by model that OnWaitingChanged was last called with.
	reportedWaiting map[string]int
	// changedClasses names the classes whose number of waiting requests may have changed since the last report.
	changedClasses map[string]bool
	// expiryTimer triggers the search for expired requests. It is nil while no request waits.
	expiryTimer *aftimer.Subscription
	// runningByModel is the number of requests of this VM that run, by model.
	runningByModel map[string]int
	// lastEstimates holds the estimates by model that the waiting requests were compared with at estimatedAt.
	lastEstimates map[string]time.Duration
	estimatedAt   time.Time
	// drainingEndpoints names the endpoints whose drainingAt is set.
	drainingEndpoints map[string]bool
	// missingUntil is the time until which a replica is not used because its endpoint reported that it does not have the
	// model.
	missingUntil map[replicaKey]time.Time
}

// replicaKey identifies a replica by its endpoint and model.
type replicaKey struct{ endpoint, model string }

// queueFullRetryAfter is the Retry-After of a request that is refused because too many requests wait.
const queueFullRetryAfter = time.Second

// missingModelTimeout is how long a replica is not used after its endpoint reported that it does not have the model. The
// time ends earlier when the routing table changes.
const missingModelTimeout = time.Second

// endpointState is what this VM has observed of an endpoint, beyond the routing table.
type endpointState struct {
	// runningCount is the number of requests of this VM that run at the endpoint.
	runningCount int
	// failureCount is the number of failed attempts since the last complete response.
	failureCount int
	// backoffUntil is the end of the backoff after failures.
	backoffUntil time.Time
	// drainingAt is when the endpoint last responded that it is draining. It is zero if the endpoint may be used.
	drainingAt time.Time
	// isUnlisted means that the routing table did not list the endpoint at some time since drainingAt.
	isUnlisted bool
}

// drainingTimeout is the longest time that an endpoint gets no new requests after it responded that it is draining. The
// time ends earlier when the routing table drops the endpoint and lists it again: the VM that owns the endpoint then has a
// newer report of it.
const drainingTimeout = 30 * time.Second

func newDispatchState() dispatchState {
	return dispatchState{
		waiters:           make(map[uint64]*waiter),
		endpoints:         make(map[string]*endpointState),
		reportedWaiting:   make(map[string]int),
		runningByModel:    make(map[string]int),
		changedClasses:    make(map[string]bool),
		drainingEndpoints: make(map[string]bool),
		missingUntil:      make(map[replicaKey]time.Time),
	}
}

func (s *dispatchState) endpointFor(name string) *endpointState {
	e := s.endpoints[name]
	if e == nil {
		e = &endpointState{}
		s.endpoints[name] = e
	}
	return e
}

func (s *Service) handleEvent(e event) {
	now := s.Timer.Now()
	switch e.kind {
	case eventAcquire:
		s.enqueueWaiter(e.waiter, now)
	case eventCancel:
		s.cancelWaiter(e.waiter)
	case eventRelease:
		s.releaseLease(e.lease, e.actualTokens)
	case eventEndpointFailed:
		endpoint := s.state.endpointFor(e.endpoint)
		endpoint.failureCount++
		endpoint.backoffUntil = now.Add(afretry.Backoff(endpoint.failureCount, float64(s.RandIntN(1000))/1000))
	case eventEndpointRecovered:
		s.state.endpointFor(e.endpoint).failureCount = 0
	case eventEndpointDraining:
		endpoint := s.state.endpointFor(e.endpoint)
		endpoint.drainingAt, endpoint.isUnlisted = now, false
		s.state.drainingEndpoints[e.endpoint] = true
	case eventModelMissing:
		s.state.missingUntil[replicaKey{e.lease.Replica.Endpoint, e.lease.request.Model}] = now.Add(missingModelTimeout)
	case eventRecheckWaiting:
		for r := range s.state.missingUntil {
			if slices.Contains(e.models, r.model) {
				delete(s.state.missingUntil, r)
			}
		}
	case eventCountWaiting:
		e.countsReply <- s.state.queue.CountWaitingByClass()
	case eventExpiryTick:
	}
}

// enqueueWaiter adds the waiter to the queue, or refuses it if it cannot be served in time or the queue is full.
func (s *Service) enqueueWaiter(w *waiter, now time.Time) {
	entry := w.queueEntry()
	if !entry.Deadline.After(now) {
		s.refuseWaiter(w, arbutusfork.NewRefusal(arbutusfork.CodeDeadlineExceeded, "the deadline has passed"))
		return
	}
	if s.isQueueFull(w) {
		s.refuseWaiter(w, arbutusfork.NewRefusal(arbutusfork.CodeNoCapacity, "too many requests wait at this VM").WithRetryAfter(queueFullRetryAfter))
		return
	}
	if d, ok := s.estimateWait(entry); ok && d > entry.Deadline.Sub(now) {
		s.refuseWaiter(w, refusalTooLate(d))
		return
	}
	s.state.waiters[w.id] = w
	s.state.waitingBytes += w.request.MemoryBytes
	s.state.queue.Push(entry)
	s.state.changedClasses[entry.Class] = true
}

// isQueueFull reports whether the waiter would exceed MaxWaitingRequests or MaxWaitingBytes.
func (s *Service) isQueueFull(w *waiter) bool {
	return s.MaxWaitingRequests > 0 && len(s.state.waiters) >= s.MaxWaitingRequests ||
		s.MaxWaitingBytes > 0 && s.state.waitingBytes+w.request.MemoryBytes > s.MaxWaitingBytes
}

// removeWaiter removes a request from the waiters and their counts. The caller removes its entry from the queue.
func (s *Service) removeWaiter(w *waiter) {
	delete(s.state.waiters, w.id)
	s.state.waitingBytes -= w.request.MemoryBytes
	s.state.changedClasses[w.request.queueClass()] = true
}

// estimateWait returns the expected wait of the entry, if there is an estimate.
func (s *Service) estimateWait(e afqueue.Entry) (time.Duration, bool) {
	if len(s.availableReplicas(e.Class)) > 0 {
		return s.state.queue.EstimateWait(e, 0), true
	}
	if s.EstimateReady == nil {
		return 0, false
	}
	ready, ok := s.EstimateReady(e.Class)
	return ready, ok
}

// cancelWaiter removes a waiter whose caller stopped waiting, and releases its lease if one was granted before the removal.
func (s *Service) cancelWaiter(w *waiter) {
	switch {
	case s.state.queue.Remove(w.id):
		s.removeWaiter(w)
	case w.lease != nil && w.lease.isReleased.CompareAndSwap(false, true):
		// The lease was granted at the moment the caller stopped waiting, and was never used.
		s.releaseLease(w.lease, 0)
	}
}

// releaseLease frees the slot of the lease and corrects the charge of the customer.
func (s *Service) releaseLease(l *Lease, actual int64) {
	s.state.endpointFor(l.Replica.Endpoint).runningCount--
	s.addRunning(l.request.Model, -1)
	s.state.queue.AdjustCharge(l.request.Customer, actual-l.request.Cost)
}

// refuseWaiter replies to the waiter with a refusal unless it already has a result.
func (s *Service) refuseWaiter(w *waiter, r *arbutusfork.Refusal) {
	if w.isAnswered {
		return
	}
	w.isAnswered = true
	w.reply <- acquireResult{refusal: r}
}

// readmitEndpoints uses draining endpoints again that the routing table has dropped and listed again, or whose
// drainingTimeout has passed.
func (s *Service) readmitEndpoints(now time.Time) {
	for name := range s.state.drainingEndpoints {
		endpoint := s.state.endpointFor(name)
		isListed := s.IsEndpointListed == nil || s.IsEndpointListed(name)
		switch {
		case !isListed:
			endpoint.isUnlisted = true
		case endpoint.isUnlisted || now.Sub(endpoint.drainingAt) >= drainingTimeout:
			endpoint.drainingAt, endpoint.isUnlisted = time.Time{}, false
			delete(s.state.drainingEndpoints, name)
		}
	}
}

// assignSlots refuses waiting requests that cannot be served in time, grants free slots to others and reports the changed
// numbers of waiting requests.
func (s *Service) assignSlots() {
	now := s.Timer.Now()
	s.readmitEndpoints(now)
	s.refuseUnservable(now)
	for _, e := range s.state.queue.RemoveExpired(now) {
		w := s.state.waiters[e.ID]
		s.removeWaiter(w)
		s.refuseWaiter(w, arbutusfork.NewRefusal(arbutusfork.CodeDeadlineExceeded, "no endpoint was free within the deadline").WithRetryAfter(time.Second))
	}
	for {
		e, ok := s.state.queue.Pop(now, func(class string) bool { return s.hasUsableReplica(class, now) })
		if !ok {
			break
		}
		s.grantLease(e, now)
	}
	s.reportWaiting()
	s.setExpiryTimer(s.state.queue.Len() > 0)
}

// setExpiryTimer runs expiryTimer while requests wait and stops it otherwise, so that an idle VM is not woken up.
func (s *Service) setExpiryTimer(hasWaiting bool) {
	switch {
	case hasWaiting && s.state.expiryTimer == nil:
		s.state.expiryTimer = s.Timer.CallEvery(expiryInterval, func(time.Time) { s.events.TryPush(event{kind: eventExpiryTick}) })
	case !hasWaiting && s.state.expiryTimer != nil:
		s.state.expiryTimer.Stop()
		s.state.expiryTimer = nil
	}
}

// grantLease chooses a replica for the entry, which was removed from the queue, and replies with a lease.
func (s *Service) grantLease(e afqueue.Entry, now time.Time) {
	w := s.state.waiters[e.ID]
	s.removeWaiter(w)
	choice := s.chooseReplica(w.request, now)
	endpoint := s.state.endpointFor(choice.replica.Endpoint)
	endpoint.runningCount++
	s.addRunning(w.request.Model, 1)
	w.lease = &Lease{Replica: choice.replica, service: s, request: w.request, hadFailures: endpoint.failureCount > 0}
	w.isAnswered = true
	if s.OnRequestRouted != nil && w.request.Model != "" {
		s.OnRequestRouted(w.request.Model)
	}
	s.Log.LogAttrs(context.Background(), slog.LevelInfo, "request routed",
		slog.String("request", w.request.ID), slog.String("customer", w.request.Customer),
		resourceAttr(w.request), slog.String("endpoint", choice.replica.Endpoint),
		slog.Duration("waited", now.Sub(e.ArrivedAt)), slog.Int64("cost", e.Cost),
		slog.Float64("score", choice.score), slog.Bool("prefix", choice.hasPrefixAffinity),
		slog.Any("alternatives", choice.alternatives))
	w.reply <- acquireResult{lease: w.lease}
}

// resourceAttr returns the log attribute for the resource of the request: its model, by which routing decisions are found
// in the log, or its plain service.
func resourceAttr(r Request) slog.Attr {
	if r.Model != "" {
		return slog.String("model", r.Model)
	}
	return slog.String("service", r.Service)
}

// addRunning adds change to the number of requests that run on the model and reports the number through
// OnRunningChanged, so that replicas in use are not unloaded and enough of them are loaded.
func (s *Service) addRunning(model string, change int) {
	if model == "" || s.OnRunningChanged == nil {
		return
	}
	n := s.state.runningByModel[model] + change
	if n == 0 {
		delete(s.state.runningByModel, model)
	} else {
		s.state.runningByModel[model] = n
	}
	s.OnRunningChanged(model, n)
}

// reportWaiting calls OnWaitingChanged for the models whose number of waiting requests has changed.
func (s *Service) reportWaiting() {
	for class := range s.state.changedClasses {
		delete(s.state.changedClasses, class)
		if class[:1] == serviceClassPrefix || s.OnWaitingChanged == nil {
			continue
		}
		waiting := s.state.queue.CountWaiting(class)
		if waiting == s.state.reportedWaiting[class] {
			continue
		}
		if waiting == 0 {
			delete(s.state.reportedWaiting, class)
		} else {
			s.state.reportedWaiting[class] = waiting
		}
		deadline, _ := s.state.queue.EarliestDeadline(class)
		s.OnWaitingChanged(class, waiting, deadline)
	}
}

// refuseAllWaiting refuses all waiting requests because the service stops.
func (s *Service) refuseAllWaiting() {
	for _, w := range s.state.waiters {
		s.refuseWaiter(w, arbutusfork.NewRefusal(arbutusfork.CodeShuttingDown, "the server is stopping"))
	}
	clear(s.state.waiters)
}
