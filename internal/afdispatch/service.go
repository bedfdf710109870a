// Package afdispatch queues requests until an endpoint has a free slot, chooses the endpoint, sends the request to it and
// relays the response. It retries failed attempts where that is safe.
package afdispatch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afcrash"
	"arbutusfork.example/arbutusfork/internal/afmemory"
	"arbutusfork.example/arbutusfork/pkg/afplacement"
	"arbutusfork.example/arbutusfork/pkg/afqueue"
	"arbutusfork.example/arbutusfork/pkg/afring"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

const (
	// maxQueuedEvents bounds the events that wait for the goroutine of Run. Each waiting request has two at most.
	maxQueuedEvents = 1 << 15
	// expiryInterval is the time between two searches for waiting requests whose deadline has passed.
	expiryInterval = 10 * time.Millisecond
	// expiryMargin is how long before its deadline a waiting request is refused, so that the refusal arrives in time.
	expiryMargin = 2 * expiryInterval
	// defaultProgressTimeout is the default of Service.ProgressTimeout. The slowest engines pause for about 1 s between
	// two tokens under load.
	defaultProgressTimeout = 10 * time.Second
	// defaultConnCheckDelay is the default of Service.ConnCheckDelay.
	defaultConnCheckDelay = 3 * time.Second
)

// Service dispatches requests to endpoints. Set the exported fields before Run.
type Service struct {
	// ModelReplicas returns the replicas of the model or adapter. Replica.Slots is the number of requests that this VM may
	// run at the endpoint.
	ModelReplicas func(model string) []afplacement.Replica
	// ServiceEndpoints returns the endpoints of a plain service. Replica.Slots is the number of requests that this VM may
	// run at the endpoint.
	ServiceEndpoints func(service string) []afplacement.Replica
	// IsEndpointListed reports whether the routing table lists the endpoint. Nil means that all endpoints are listed.
	IsEndpointListed func(endpoint string) bool
	// EstimateReady returns the estimated time until the model has a replica, if there is an estimate. Nil means that
	// there is none.
	EstimateReady func(model string) (time.Duration, bool)
	// OnWaitingChanged is called when the number of requests that wait for a model changes. It must not block.
	OnWaitingChanged func(model string, waiting int, deadline time.Time)
	// OnRequestRouted is called when a replica of the model has been chosen for a request. It must not block.
	OnRequestRouted func(model string)
	// OnRunningChanged is called when the number of requests of this VM that run on a model changes. It must not block.
	OnRunningChanged func(model string, n int)
	// Centre is this VM's data centre.
	Centre string
	Log    *slog.Logger
	Timer  *aftimer.Service
	// CrashWatch keeps prompts that crash endpoints from being sent.
	CrashWatch afcrash.Watch
	// AnswerMemory bounds the bytes that all answers in progress hold together.
	AnswerMemory afmemory.Budget
	// ProgressTimeout is the longest time without a byte from an endpoint after its response has begun. Zero means 10 s.
	ProgressTimeout time.Duration
	// ConnCheckDelay is the time without a response after which a reused connection is checked: a request over a new
	// connection asks the endpoint whether it runs anything. Zero means 3 s.
	ConnCheckDelay time.Duration
	// MaxWaitingRequests bounds the number of waiting requests. Zero means no bound.
	MaxWaitingRequests int
	// MaxWaitingBytes bounds the sum of MemoryBytes of the waiting requests. Zero means no bound.
	MaxWaitingBytes int64
	// RandIntN returns a random number in [0, n). Nil means rand.IntN.
	RandIntN func(n int) int

	initOnce sync.Once
	// events is the queue of the goroutine of Run.
	events *afring.Queue[event]
	// done is closed when Run ends.
	done         chan struct{}
	state        dispatchState
	lastWaiterID atomic.Uint64
	transports   transportPool
	retryBudgets retryBudgets
}

// Request holds the properties of a request that the queue and the choice of an endpoint depend on.
type Request struct {
	// ID is the request ID of the caller. It is only logged.
	ID string
	// Customer is the name of the customer.
	Customer string
	// Route is the name of the route.
	Route string
	// Weight is the customer's weight in fair queuing.
	Weight float64
	// Model is the name of the model or adapter. It is empty for a call of a plain service.
	Model string
	// Service is the name of the plain service.
	Service string
	// Cost is the expected work in tokens.
	Cost int64
	// MemoryBytes is the memory that the request holds while it waits.
	MemoryBytes int64
	// PrefixHash is the result of HashPrefix for the prompt, or zero.
	PrefixHash uint64
	// PromptParts is the result of PromptParts for the prompt, or empty.
	PromptParts []string
	// IsDetached means that an attempt, once sent, continues after the caller's context has ended.
	IsDetached bool
	// ArrivedAt is when the request arrived.
	ArrivedAt time.Time
	// Deadline bounds the time until the first byte of the response.
	Deadline time.Time
}

// queueClass returns the class of the request in the fair queue: the model, or the plain service with a prefix.
func (r Request) queueClass() string {
	if r.Model != "" {
		return r.Model
	}
	return serviceClassPrefix + r.Service
}

// serviceClassPrefix marks the classes of plain services. The name of a model cannot start with it.
const serviceClassPrefix = "/"

// Lease is the right to run one request at an endpoint. It uses one slot until Release is called.
type Lease struct {
	// Replica is the chosen replica.
	Replica afplacement.Replica

	service    *Service
	request    Request
	isReleased atomic.Bool
	// hadFailures means that the endpoint had failures without a success after them when the lease was granted.
	hadFailures bool
}

// Release frees the slot. The argument actual is the number of tokens that the request used.
func (l *Lease) Release(actual int64) {
	if l.isReleased.CompareAndSwap(false, true) {
		l.service.postEvent(event{kind: eventRelease, lease: l, actualTokens: actual})
	}
}

// Run handles events and assigns slots to waiting requests until ctx ends. It then refuses the requests that still wait.
func (s *Service) Run(ctx context.Context) error {
	s.init()
	defer close(s.done)
	defer s.setExpiryTimer(false)
	for {
		select {
		case <-ctx.Done():
			s.refuseAllWaiting()
			return nil
		case e := <-s.events.Items():
			s.handleEvent(e)
			for n := s.events.Len(); n > 0; n-- {
				s.handleEvent(<-s.events.Items())
			}
			s.assignSlots()
		}
	}
}

// RecheckWaiting assigns slots to waiting requests again after a change of the routing table. Endpoints that were left out
// because they did not have one of the models are used again.
func (s *Service) RecheckWaiting(models ...string) {
	s.init()
	s.events.TryPush(event{kind: eventRecheckWaiting, models: models})
}

// CountWaitingByModel returns the number of waiting requests by model, for the summary that VMs send each second.
func (s *Service) CountWaitingByModel() map[string]int {
	s.init()
	counts := make(chan map[string]int, 1)
	s.postEvent(event{kind: eventCountWaiting, countsReply: counts})
	select {
	case m := <-counts:
		for class := range m {
			if class[:1] == serviceClassPrefix {
				delete(m, class)
			}
		}
		return m
	case <-s.done:
		return nil
	}
}

// AcquireLease waits in the fair queue until an endpoint has a free slot for the request, the deadline passes or ctx ends.
// The outcome of every refusal is "not run".
func (s *Service) AcquireLease(ctx context.Context, r Request) (*Lease, *arbutusfork.Refusal) {
	s.init()
	w := &waiter{id: s.lastWaiterID.Add(1), request: r, reply: make(chan acquireResult, 1)}
	if !s.events.TryPush(event{kind: eventAcquire, waiter: w}) {
		return nil, arbutusfork.NewRefusal(arbutusfork.CodeNoCapacity, "too many requests arrive at once").WithRetryAfter(time.Second)
	}
	select {
	case g := <-w.reply:
		return g.lease, g.refusal
	case <-s.done:
		return nil, arbutusfork.NewRefusal(arbutusfork.CodeShuttingDown, "the server is stopping")
	case <-ctx.Done():
		s.postEvent(event{kind: eventCancel, waiter: w})
		return nil, arbutusfork.NewRefusal(arbutusfork.CodeRequestTimeout, "the caller stopped waiting")
	}
}

func (s *Service) init() {
	s.initOnce.Do(func() {
		s.events = afring.New[event](maxQueuedEvents)
		s.done = make(chan struct{})
		s.state = newDispatchState()
		if s.Log == nil {
			s.Log = slog.New(slog.DiscardHandler)
		}
		if s.RandIntN == nil {
			s.RandIntN = rand.IntN
		}
		if s.ProgressTimeout <= 0 {
			s.ProgressTimeout = defaultProgressTimeout
		}
		if s.ConnCheckDelay <= 0 {
			s.ConnCheckDelay = defaultConnCheckDelay
		}
	})
}

// postEvent queues an event for Run. It waits for room in the queue, since the event must not be lost while Run runs.
func (s *Service) postEvent(e event) {
	if s.events.TryPush(e) {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-s.done:
			cancel()
		case <-ctx.Done():
		}
	}()
	s.events.PushWithContext(ctx, e)
}

// availableReplicas returns the listed replicas of the class without those that the endpoint has reported as missing. It
// is called only by the goroutine of Run.
func (s *Service) availableReplicas(class string) []afplacement.Replica {
	all := s.listedReplicas(class)
	if len(s.state.missingUntil) == 0 {
		return all
	}
	now := s.Timer.Now()
	var out []afplacement.Replica
	for _, r := range all {
		key := replicaKey{r.Endpoint, class}
		missingUntil, isMissing := s.state.missingUntil[key]
		if isMissing && missingUntil.After(now) {
			continue
		}
		delete(s.state.missingUntil, key)
		out = append(out, r)
	}
	return out
}

// listedReplicas returns the replicas of the class according to the routing table or the configuration.
func (s *Service) listedReplicas(class string) []afplacement.Replica {
	if len(class) > 0 && class[:1] == serviceClassPrefix {
		if s.ServiceEndpoints == nil {
			return nil
		}
		return s.ServiceEndpoints(class[1:])
	}
	return s.ModelReplicas(class)
}

// queueEntry returns the entry of the request in the fair queue.
func (w *waiter) queueEntry() afqueue.Entry {
	r := w.request
	return afqueue.Entry{
		ID: w.id, Customer: r.Customer, Weight: r.Weight, Class: r.queueClass(), Cost: r.Cost,
		ArrivedAt: r.ArrivedAt, Deadline: r.Deadline.Add(-expiryMargin),
	}
}

// isDrainingResponse reports whether the response says that the endpoint takes no new requests.
func isDrainingResponse(status int, h http.Header) bool {
	return status == http.StatusServiceUnavailable && h.Get(DrainingHeader) == "true"
}
