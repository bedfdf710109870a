// Package afquota enforces customers' rates and bursts over all VMs without a coordinator: base shares in a platform
// record, and short loans between VMs.
package afquota

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/aflimit"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

// The kinds of peer messages. The service's handlers are registered under them.
const (
	KindBorrow   = "borrow"
	KindGiveback = "giveback"
)

const (
	// loanPeriod is how often loans are renewed and given back.
	loanPeriod = 100 * time.Millisecond
	// recordPeriod is how often the cached share records are compared with the membership.
	recordPeriod = 500 * time.Millisecond
	// callTimeout bounds a peer call. Ten round trips between data centres take less.
	callTimeout = 250 * time.Millisecond
	// platformTimeout bounds a platform call.
	platformTimeout = 2 * time.Second
)

// Service admits requests within their customer's limit. Fields are set before the first call and never change.
type Service struct {
	// Self is this start of the daemon.
	Self  arbutusfork.Incarnation
	Timer *aftimer.Service
	Log   *slog.Logger
	// Customer returns a customer of the configuration in force.
	Customer func(name string) (arbutusfork.Customer, bool)
	// Customers returns all customers, so that base shares are held before the first request. Nil means that a share
	// is taken with a customer's first request.
	Customers func() []arbutusfork.Customer
	// CallPeer sends a message to a VM and waits for the answer.
	CallPeer func(ctx context.Context, vm, kind string, message, answer any) error
	// Members returns the VMs of the platform's list.
	Members func() []arbutusfork.VM
	// GetObject, CreateObject and UpdateObject reach the platform's object API. UpdateObject is conditional on the object's version.
	GetObject    func(ctx context.Context, kind, name string) (afobject.Object, error)
	CreateObject func(ctx context.Context, o afobject.Object) (afobject.Object, error)
	UpdateObject func(ctx context.Context, o afobject.Object) (afobject.Object, error)
	// IsGone reports the platform's word that the VM is gone or that a newer incarnation of it runs. It must never be
	// true for a process that may still act.
	IsGone func(i arbutusfork.Incarnation) bool

	// spawn starts concurrent work and sleep waits. Nil means goroutines and the timer service; a measurement runs
	// everything in order instead.
	spawn func(func())
	sleep func(time.Duration)

	once     sync.Once
	origin   time.Time
	wake     chan struct{}
	mu       sync.RWMutex
	accounts map[string]*account
	leaving  bool
	duty     sync.Mutex // duty is held by whoever reads and writes share records.
	counts   counts
}

// Reservation is an admitted request's hold on tokens.
type Reservation struct {
	service *Service
	account *account
	hold    *aflimit.Reservation
}

// ReserveTokens admits a request of up to that many tokens. A request that does not fit locally waits for one round of loans
// and is then refused with CodeLimited.
func (s *Service) ReserveTokens(ctx context.Context, customer string, tokens int64) (*Reservation, *arbutusfork.Refusal) {
	c, ok := s.Customer(customer)
	if !ok {
		return nil, arbutusfork.Refuse(arbutusfork.CodeNotAllowed, "unknown customer")
	}
	tokens = max(tokens, 0)
	if tokens > c.Burst {
		s.counts.refused.Add(1)
		return nil, arbutusfork.Refuse(arbutusfork.CodeTooLarge, "the request needs more tokens than the customer's burst")
	}
	a := s.account(c)
	a.mu.Lock()
	now := s.now()
	a.apply(c, now)
	h := a.state.ReserveTokens(tokens, now)
	a.mu.Unlock()
	if h == nil {
		return s.reserveWithLoans(ctx, a, tokens)
	}
	s.counts.admitted.Add(1)
	return &Reservation{service: s, account: a, hold: h}, nil
}

// Settle replaces the reservation by the actual count of tokens. Only the first call has an effect.
func (r *Reservation) Settle(actual int64) {
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state.SettleReservation(r.hold, actual, r.service.now())
}

// Run keeps loans and share records up to date until ctx ends.
func (s *Service) Run(ctx context.Context) {
	s.init()
	var wg sync.WaitGroup
	wg.Go(func() { s.runEvery(ctx, loanPeriod, nil, s.keepLoans) })
	wg.Go(func() { s.runEvery(ctx, recordPeriod, s.wake, s.keepRecords) })
	wg.Wait()
}

// runEvery calls fn each period and when woken. A call that takes longer than the period delays the next one.
func (s *Service) runEvery(ctx context.Context, period time.Duration, wake <-chan struct{}, fn func(context.Context)) {
	tick, sub := s.Timer.Ticks(period)
	defer sub.Stop()
	for {
		fn(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick:
		case <-wake:
		}
	}
}

// start runs fn concurrently. The caller holds no lock.
func (s *Service) start(fn func()) {
	if s.spawn != nil {
		s.spawn(fn)
		return
	}
	go fn()
}

// pause waits on the timer service.
func (s *Service) pause(d time.Duration) {
	if s.sleep != nil {
		s.sleep(d)
		return
	}
	s.Timer.Wait(context.Background(), d)
}

// signal leaves a token in a channel of size one, unless one is there already.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (s *Service) init() {
	s.once.Do(func() {
		s.origin = s.Timer.Now()
		s.wake = make(chan struct{}, 1)
	})
}

// now returns the time since the service's start on the monotonic clock.
func (s *Service) now() time.Duration {
	return s.Timer.Now().Sub(s.origin)
}
