// Package afdispatch chooses an endpoint for each request, sends the request and reads the answer.
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
	"arbutusfork.example/arbutusfork/pkg/afplacement"
	"arbutusfork.example/arbutusfork/pkg/afqueue"
	"arbutusfork.example/arbutusfork/pkg/afring"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

const (
	// ringSize bounds the events that wait for the owner goroutine. Each waiting request has two at most.
	ringSize = 1 << 15
	// expiryPeriod is how often late entries are looked for.
	expiryPeriod = 10 * time.Millisecond
	// expiryMargin is how long before a caller's deadline its waiting ends, so that the refusal arrives in time.
	expiryMargin = 2 * expiryPeriod
	// defaultProgress is the longest time without a byte from an endpoint in mid-stream. The slowest engines
	// pause for about 1 s between tokens under load.
	defaultProgress = 10 * time.Second
	// defaultSuspect is the time without an answer after which a reused connection is checked over a new one.
	defaultSuspect = 3 * time.Second
)

// Service dispatches requests to endpoints. Its fields are set before Run.
type Service struct {
	// ModelReplicas returns where the model is loaded. Replica.Slots is this VM's credit at the endpoint.
	ModelReplicas func(model string) []afplacement.Replica
	// ServiceEndpoints returns the endpoints of a plain service, with Slots as this VM's credit.
	ServiceEndpoints func(service string) []afplacement.Replica
	// IsEndpointListed reports whether the routing table names the endpoint. Nil means that it always does.
	IsEndpointListed func(endpoint string) bool
	// EstimateReady returns the estimated time until the model can serve, if there is an estimate.
	EstimateReady func(model string) (time.Duration, bool)
	// OnWaitingChanged is called when the number of requests that wait for a model changes. It must not block.
	OnWaitingChanged func(model string, waiting int, deadline time.Time)
	// OnRequestRouted is called when a request is given to a replica of the model. It must not block.
	OnRequestRouted func(model string)
	// OnRunningChanged is called when the number of this VM's requests that run on a model changes. It must not block.
	OnRunningChanged func(model string, n int)
	// Centre is this VM's data centre.
	Centre string
	Log    *slog.Logger
	Timer  *aftimer.Service
	// ProgressTimeout is the longest time without a byte from an endpoint in mid-stream. Zero means 10 s.
	ProgressTimeout time.Duration
	// ConnCheckDelay is the time without an answer after which a reused connection is checked. Zero means 3 s.
	ConnCheckDelay time.Duration
	// MaxWaitingRequests and MaxWaitingBytes bound the requests that wait and the bytes that they hold. Zero means no bound.
	MaxWaitingRequests int
	MaxWaitingBytes    int64
	// RandIntN returns a number in [0, n). Nil means math/rand.
	RandIntN func(n int) int

	once   sync.Once
	ring   *afring.Queue[event]
	done   chan struct{}
	state  state
	ids    atomic.Uint64
	pools  pools
	budget budgets
}

// Request is what the choice of an endpoint depends on.
type Request struct {
	// ID is the caller's request id, for the log.
	ID       string
	Customer string
	Route    string
	// Weight is the customer's weight in fair queuing.
	Weight float64
	// Model is the model or adapter. It is empty for a call of a plain service.
	Model string
	// Service is the plain service.
	Service string
	// Cost is the expected work in tokens.
	Cost int64
	// MemoryBytes is the memory that the request holds while it waits.
	MemoryBytes int64
	// PrefixHash is a hash of the first bytes of the prompt, or zero.
	PrefixHash uint64
	// IsDetached tells that the call goes on after ctx ends, once it has been sent.
	IsDetached bool
	// ArrivedAt and Deadline bound the time to the first byte of the answer.
	ArrivedAt time.Time
	Deadline  time.Time
}

// class returns the name that the fair queue knows the request's resource by.
func (r Request) class() string {
	if r.Model != "" {
		return r.Model
	}
	return plainPrefix + r.Service
}

// plainPrefix cannot start a model's name, which keeps plain services and models apart in the queue.
const plainPrefix = "/"

// Lease is the right to run one request at an endpoint. Release ends it.
type Lease struct {
	Replica afplacement.Replica

	service  *Service
	request  Request
	released atomic.Bool
	// failing tells that the endpoint had failed before the lease was granted.
	failing bool
}

// Release returns the slot. Actual is the number of tokens that the request used.
func (l *Lease) Release(actual int64) {
	if l.released.CompareAndSwap(false, true) {
		l.service.send(event{kind: eventRelease, lease: l, actual: actual})
	}
}

// Run owns the waiting requests until ctx ends. Requests that still wait then are refused as not run.
func (s *Service) Run(ctx context.Context) error {
	s.init()
	defer close(s.done)
	defer s.watchLate(false)
	for {
		select {
		case <-ctx.Done():
			s.refuseAll()
			return nil
		case e := <-s.ring.Items():
			s.handle(e)
			for n := s.ring.Len(); n > 0; n-- {
				s.handle(<-s.ring.Items())
			}
			s.match()
		}
	}
}

// RecheckWaiting looks again at the waiting requests after a change of the routing table.
// An endpoint that did not have one of the models is asked again.
func (s *Service) RecheckWaiting(models ...string) {
	s.init()
	s.ring.TryPush(event{kind: eventWake, models: models})
}

// CountWaitingByModel returns the number of requests that wait, by model, for the summary that VMs send each second.
func (s *Service) CountWaitingByModel() map[string]int {
	s.init()
	counts := make(chan map[string]int, 1)
	s.send(event{kind: eventCount, counts: counts})
	select {
	case m := <-counts:
		for class := range m {
			if class[:1] == plainPrefix {
				delete(m, class)
			}
		}
		return m
	case <-s.done:
		return nil
	}
}

// AcquireLease waits in the fair queue until an endpoint has a free slot for the request, its deadline comes or ctx
// ends. All refusals are not run.
func (s *Service) AcquireLease(ctx context.Context, r Request) (*Lease, *arbutusfork.Refusal) {
	s.init()
	w := &waiter{id: s.ids.Add(1), request: r, reply: make(chan grant, 1)}
	if !s.ring.TryPush(event{kind: eventAcquire, waiter: w}) {
		return nil, arbutusfork.Refuse(arbutusfork.CodeNoCapacity, "too many requests arrive at once").WithRetryAfter(time.Second)
	}
	select {
	case g := <-w.reply:
		return g.lease, g.refusal
	case <-s.done:
		return nil, arbutusfork.Refuse(arbutusfork.CodeStopping, "the server is stopping")
	case <-ctx.Done():
		s.send(event{kind: eventCancel, waiter: w})
		return nil, arbutusfork.Refuse(arbutusfork.CodeTimeout, "the caller stopped waiting")
	}
}

func (s *Service) init() {
	s.once.Do(func() {
		s.ring = afring.New[event](ringSize)
		s.done = make(chan struct{})
		s.state = newState()
		if s.Log == nil {
			s.Log = slog.New(slog.DiscardHandler)
		}
		if s.RandIntN == nil {
			s.RandIntN = rand.IntN
		}
		if s.ProgressTimeout <= 0 {
			s.ProgressTimeout = defaultProgress
		}
		if s.ConnCheckDelay <= 0 {
			s.ConnCheckDelay = defaultSuspect
		}
	})
}

// send adds an event that must not be lost while Run is alive.
func (s *Service) send(e event) {
	if s.ring.TryPush(e) {
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
	s.ring.PushWithContext(ctx, e)
}

// present returns the endpoints that may serve the class without those that said that they cannot. It is called
// by the owner goroutine.
func (s *Service) present(class string) []afplacement.Replica {
	all := s.replicas(class)
	if len(s.state.missing) == 0 {
		return all
	}
	now := s.Timer.Now()
	var out []afplacement.Replica
	for _, r := range all {
		key := replica{r.Endpoint, class}
		until, missing := s.state.missing[key]
		if missing && until.After(now) {
			continue
		}
		delete(s.state.missing, key)
		out = append(out, r)
	}
	return out
}

// replicas returns the endpoints that may serve the class according to the table or the configuration.
func (s *Service) replicas(class string) []afplacement.Replica {
	if len(class) > 0 && class[:1] == plainPrefix {
		if s.ServiceEndpoints == nil {
			return nil
		}
		return s.ServiceEndpoints(class[1:])
	}
	return s.ModelReplicas(class)
}

// entry returns the request's form in the fair queue.
func (w *waiter) entry() afqueue.Entry {
	r := w.request
	return afqueue.Entry{
		ID: w.id, Customer: r.Customer, Weight: r.Weight, Class: r.class(), Cost: r.Cost,
		ArrivedAt: r.ArrivedAt, Deadline: r.Deadline.Add(-expiryMargin),
	}
}

// isLeaving reports whether an answer says that the endpoint takes no new work.
func isLeaving(status int, h http.Header) bool {
	return status == http.StatusServiceUnavailable && h.Get(DrainingHeader) == "true"
}
