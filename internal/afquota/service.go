// Package afquota enforces each customer's rate and burst over all VMs without a coordinator. Each VM holds a base
// share, which is stored in a platform record, and VMs lend parts of it to each other for a short time.
package afquota

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/aflimit"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

// The kinds of messages between VMs. The service's handlers are registered under these kinds.
const (
	// KindBorrow is a request for a loan or for the renewal of a loan.
	KindBorrow = "borrow"
	// KindGiveback ends a loan early, recalls one, or announces a changed share record.
	KindGiveback = "giveback"
)

const (
	// loanMaintenanceInterval is how often loans are renewed and returned.
	loanMaintenanceInterval = 100 * time.Millisecond
	// recordMaintenanceInterval is how often the cached share records are compared with the membership.
	recordMaintenanceInterval = 500 * time.Millisecond
	// peerCallTimeout bounds a call to another VM. Ten round trips between data centres take less.
	peerCallTimeout = 250 * time.Millisecond
	// platformCallTimeout bounds a call to the platform.
	platformCallTimeout = 2 * time.Second
)

// Service admits requests within the limit of their customer. The exported fields are set before the first call and
// never change.
type Service struct {
	// Self is the incarnation of the VM that the service runs on.
	Self  arbutusfork.Incarnation
	Timer *aftimer.Service
	Log   *slog.Logger
	// Customer returns the customer with the name from the configuration in force.
	Customer func(name string) (arbutusfork.Customer, bool)
	// Customers returns all customers of the configuration in force, so that base shares are taken before the first
	// request. If it is nil, a share is taken at a customer's first request.
	Customers func() []arbutusfork.Customer
	// CallVM sends a message to a VM and waits for its answer.
	CallVM func(ctx context.Context, vm, kind string, message, answer any) error
	// LiveVMs returns the live VMs, including this one.
	LiveVMs func() []arbutusfork.VM
	// GetObject reads an object from the platform.
	GetObject func(ctx context.Context, kind, name string) (afobject.Object, error)
	// CreateObject creates an object on the platform.
	CreateObject func(ctx context.Context, o afobject.Object) (afobject.Object, error)
	// UpdateObject updates an object on the platform if it still has the given version.
	UpdateObject func(ctx context.Context, o afobject.Object) (afobject.Object, error)
	// IsGone reports whether the platform's list of VMs shows that the VM is gone or runs a newer incarnation. It
	// must never be true for a process that may still act.
	IsGone func(i arbutusfork.Incarnation) bool
	// OtherVMs returns the names of the other VMs that may be alive, or false if they are not known yet.
	OtherVMs func() ([]string, bool)

	// spawn runs a function concurrently. If it is nil, the function runs in a new goroutine. A measurement runs it
	// at once instead.
	spawn func(func())
	// sleep waits for a duration. If it is nil, the timer service waits. A measurement does not wait.
	sleep func(time.Duration)

	// era is the highest known era of the store.
	era atomic.Int64

	initOnce sync.Once
	// startedAt is the origin of the durations that now returns.
	startedAt time.Time
	// wakeRecords triggers the maintenance of share records before its next interval.
	wakeRecords chan struct{}
	// mu guards accounts and leaveStarted.
	mu       sync.RWMutex
	accounts map[string]*account
	// leaveStarted means that ReleaseShares has been called.
	leaveStarted bool
	// recordsMu is held while share records are read and written.
	recordsMu sync.Mutex
	counters  counters
}

// Reservation is the reserved tokens of an admitted request.
type Reservation struct {
	service     *Service
	account     *account
	reservation *aflimit.Reservation
}

// ReserveTokens admits a request of up to the given number of tokens. If the VM has too few tokens, the request waits
// for a round of loan requests. If there are still too few, the request is refused with CodeRateLimited.
func (s *Service) ReserveTokens(ctx context.Context, customer string, tokens int64) (*Reservation, *arbutusfork.Refusal) {
	c, ok := s.Customer(customer)
	if !ok {
		return nil, arbutusfork.NewRefusal(arbutusfork.CodeNotAllowed, "unknown customer")
	}
	tokens = max(tokens, 0)
	if tokens > c.Burst {
		s.counters.requestsRefused.Add(1)
		return nil, arbutusfork.NewRefusal(arbutusfork.CodeBodyTooLarge, "the request needs more tokens than the customer's burst")
	}
	a := s.accountOf(c)
	a.mu.Lock()
	now := s.now()
	a.applyConfig(c, now)
	r := a.limiter.ReserveTokens(tokens, now)
	a.mu.Unlock()
	if r == nil {
		return s.reserveWithLoans(ctx, a, tokens)
	}
	s.counters.requestsAdmitted.Add(1)
	return &Reservation{service: s, account: a, reservation: r}, nil
}

// Settle replaces the reserved tokens by the number actually used. Only the first call has an effect.
func (r *Reservation) Settle(actual int64) {
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter.SettleReservation(r.reservation, actual, r.service.now())
}

// Run maintains loans and share records until ctx ends.
func (s *Service) Run(ctx context.Context) {
	s.init()
	var wg sync.WaitGroup
	wg.Go(func() { s.runPeriodically(ctx, loanMaintenanceInterval, nil, s.maintainLoans) })
	wg.Go(func() { s.runPeriodically(ctx, recordMaintenanceInterval, s.wakeRecords, s.maintainRecords) })
	wg.Wait()
}

// runPeriodically calls fn at each interval and when wake signals. A call that takes longer than the interval delays
// the next one.
func (s *Service) runPeriodically(ctx context.Context, interval time.Duration, wake <-chan struct{}, fn func(context.Context)) {
	tick, sub := s.Timer.TickChannel(interval)
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

// startAsync runs fn concurrently. The caller holds no lock, because a measurement runs fn at once.
func (s *Service) startAsync(fn func()) {
	if s.spawn != nil {
		s.spawn(fn)
		return
	}
	go fn()
}

// sleepFor waits for the duration.
func (s *Service) sleepFor(d time.Duration) {
	if s.sleep != nil {
		s.sleep(d)
		return
	}
	s.Timer.Sleep(context.Background(), d)
}

// trySignal puts a value into a channel of capacity one, unless the channel is full.
func trySignal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// init sets the fields that the service itself needs. Only the first call has an effect.
func (s *Service) init() {
	s.initOnce.Do(func() {
		s.startedAt = s.Timer.Now()
		s.wakeRecords = make(chan struct{}, 1)
	})
}

// now returns the time since the first use of the service, on the monotonic clock.
func (s *Service) now() time.Duration {
	return s.Timer.Now().Sub(s.startedAt)
}
