package afquota

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/aflimit"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
	"github.com/stretchr/testify/require"
)

var customer = arbutusfork.Customer{Name: "c", Rate: 1000, Burst: 6000}

// step moves the time and carries out the duties.
func (f *fleet) step(d time.Duration) {
	f.advance(d)
	f.keep()
}

// settled returns a fleet whose VMs have taken their shares.
func settled(n int) *fleet {
	f := newFleet(n, customer)
	f.step(time.Second)
	return f
}

// base returns the sum of the base shares that VMs use and the sum of those that the record names.
func (f *fleet) base(t *testing.T) (used, named int64) {
	t.Helper()
	for _, s := range f.vms {
		used += s.Status()[0].BaseParts
	}
	s := f.vms[f.members[0].Name]
	a := s.account(customer)
	require.NoError(t, s.load(t.Context(), a))
	for _, h := range a.share.Record().Holders {
		named += h.Parts
	}
	return used, named
}

// TestLargeRequestThroughLoans guards against refusing a request that is within the burst but above any VM's share.
func TestLargeRequestThroughLoans(t *testing.T) {
	f := settled(6)
	r, refusal := f.vms["vm0"].ReserveTokens(t.Context(), "c", 6000)
	require.Nil(t, refusal)
	_, refusal = f.vms["vm1"].ReserveTokens(t.Context(), "c", 1)
	require.NotNil(t, refusal, "the burst is used up")
	require.Equal(t, arbutusfork.CodeLimited, refusal.Code)
	require.Positive(t, refusal.RetryAfter)
	r.Settle(1000)
	_, refusal = f.vms["vm2"].ReserveTokens(t.Context(), "c", 5001)
	require.NotNil(t, refusal)
	_, refusal = f.vms["vm2"].ReserveTokens(t.Context(), "c", 6001)
	require.Equal(t, arbutusfork.CodeTooLarge, refusal.Code)
	_, refusal = f.vms["vm2"].ReserveTokens(t.Context(), "unknown", 1)
	require.Equal(t, arbutusfork.CodeNotAllowed, refusal.Code)
}

// TestWithoutPlatform guards against a VM that starts in an outage and cannot serve, although its peers have tokens.
func TestWithoutPlatform(t *testing.T) {
	f := settled(3)
	s := f.boot("vm9")
	s.GetObject = func(context.Context, string, string) (afobject.Object, error) {
		return afobject.Object{}, &afobject.Error{Kind: afobject.Unavailable}
	}
	f.step(time.Second)
	_, refusal := s.ReserveTokens(t.Context(), "c", 4000)
	require.Nil(t, refusal)
	require.Zero(t, s.Status()[0].BaseParts)
}

// TestLostRecordAnswers guards against shares that are used twice or lost for good when the platform's answers are lost.
func TestLostRecordAnswers(t *testing.T) {
	f := newFleet(3, customer)
	n := 0
	for _, s := range f.vms {
		s.UpdateObject = func(ctx context.Context, o afobject.Object) (afobject.Object, error) {
			n++
			if n%3 == 0 {
				return afobject.Object{}, &afobject.Error{Kind: afobject.Unknown} // Lost before it took effect.
			}
			o, err := f.put(ctx, o)
			if err == nil && n%3 == 1 {
				return afobject.Object{}, &afobject.Error{Kind: afobject.Unknown}
			}
			return o, err
		}
		s.CreateObject = s.UpdateObject
	}
	for i := range 120 {
		switch i {
		case 30:
			f.kill("vm1")
			f.delist("vm1")
		case 60:
			f.boot("vm3")
			f.boot("vm4")
		}
		f.step(500 * time.Millisecond)
		used, named := f.base(t)
		require.LessOrEqual(t, used, aflimit.TotalParts)
		require.LessOrEqual(t, named, aflimit.TotalParts)
	}
	used, _ := f.base(t)
	require.Equal(t, aflimit.TotalParts, used)
}

// TestRollingReplacement guards against a planned stop that loses share: parts on loan are recalled and released.
func TestRollingReplacement(t *testing.T) {
	f := settled(4)
	_, refusal := f.vms["vm0"].ReserveTokens(t.Context(), "c", 5000)
	require.Nil(t, refusal)
	for _, vm := range []string{"vm1", "vm2", "vm3", "vm0"} {
		s := f.vms[vm]
		ctx, cancel := context.WithCancel(t.Context())
		f.members = slices.DeleteFunc(slices.Clone(f.members), func(x arbutusfork.VM) bool { return x.Name == vm })
		f.timer.After(10*time.Second, func(time.Time) { cancel() })
		done := make(chan struct{})
		go func() {
			s.ReleaseShares(ctx)
			close(done)
		}()
		<-done
		require.Zero(t, s.Status()[0].BaseParts, vm)
		f.kill(vm)
		f.delist(vm)
		f.boot(vm)
		for range 10 {
			f.step(500 * time.Millisecond)
		}
		used, named := f.base(t)
		require.Equal(t, aflimit.TotalParts, used)
		require.Equal(t, aflimit.TotalParts, named)
	}
}

// concurrent makes the VMs use goroutines and the timer, and messages take a millisecond.
func (f *fleet) concurrent(timer *aftimer.Service) {
	var mu sync.Mutex // The fleet itself is made for one goroutine.
	for _, s := range f.vms {
		s.spawn, s.sleep, s.Timer = nil, nil, timer
		call, get, put := s.CallPeer, s.GetObject, s.UpdateObject
		s.CallPeer = func(ctx context.Context, vm, kind string, message, answer any) error {
			<-time.After(time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			return call(ctx, vm, kind, message, answer)
		}
		s.GetObject = func(ctx context.Context, kind, name string) (afobject.Object, error) {
			mu.Lock()
			defer mu.Unlock()
			return get(ctx, kind, name)
		}
		s.UpdateObject = func(ctx context.Context, o afobject.Object) (afobject.Object, error) {
			mu.Lock()
			defer mu.Unlock()
			return put(ctx, o)
		}
		s.CreateObject = s.UpdateObject
	}
}

// run starts the timer and, once all that first begins has come to a wait, the VMs. Stop ends them and waits.
func (f *fleet) run(t *testing.T, first func(ctx context.Context)) (ctx context.Context, stop func()) {
	timer := &aftimer.Service{}
	f.concurrent(timer)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { timer.Run(ctx) })
	if first != nil {
		first(ctx)
		synctest.Wait()
	}
	for _, s := range f.vms {
		wg.Go(func() { s.Run(ctx) })
	}
	return ctx, func() {
		cancel()
		wg.Wait()
	}
}

// TestShiftOfDemand guards against refusals later than a second after the whole demand has moved to another VM, over many
// loan terms, with the service's own goroutines and timers. The requests use 97 % of the rate and stay open: at exactly
// the rate, a token that is lost on the way can never be regained.
func TestShiftOfDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(6, customer)
		ctx, stop := f.run(t, nil)
		<-time.After(time.Second)
		for i := range 6000 {
			<-time.After(100 * time.Millisecond)
			_, refusal := f.vms[f.members[i/2000].Name].ReserveTokens(ctx, "c", 97)
			if i%2000 >= 10 {
				require.Nil(t, refusal, "request %d", i)
			}
		}
		stop()
	})
}

// TestNewCustomer guards against refusing the first requests of a customer whose shares have not been taken yet, at VMs
// that learn of it at the same moment by these requests.
func TestNewCustomer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(6, customer)
		refusals := make(chan *arbutusfork.Refusal, len(f.members))
		_, stop := f.run(t, func(ctx context.Context) {
			for _, s := range f.vms {
				go func() {
					_, refusal := s.ReserveTokens(ctx, "c", customer.Burst/10)
					refusals <- refusal
				}()
			}
		})
		for range f.members {
			require.Nil(t, <-refusals)
		}
		stop()
	})
}

// TestNewCustomerAboveRate guards against requests that wait long after a customer's first seconds, because the rounds in
// them were counted against later ones: replaced VMs then refused requests within rate at their deadline.
func TestNewCustomerAboveRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(6, customer)
		ctx, stop := f.run(t, nil)
		s := f.vms[f.members[0].Name]
		for range 2 {
			go func() { _, _ = s.ReserveTokens(ctx, "c", customer.Burst) }() // The second one cannot be served.
		}
		<-time.After(time.Duration(customer.Burst/customer.Rate)*time.Second + establishTime + time.Second)
		began := time.Now()
		_, refusal := s.ReserveTokens(ctx, "c", customer.Burst/2)
		require.Nil(t, refusal)
		require.Less(t, time.Since(began), time.Second)
		stop()
	})
}

// TestConcurrentReservations guards against data races and against admitting more than the burst from many goroutines.
func TestConcurrentReservations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, timer := settled(4), &aftimer.Service{}
		f.concurrent(timer)
		f.customers["c"] = customer.WithRate(0, customer.Burst)
		ctx, cancel := context.WithCancel(t.Context())
		go timer.Run(ctx)
		var admitted atomic.Int64
		var wg sync.WaitGroup
		for i := range 200 {
			wg.Go(func() {
				if _, refusal := f.vms[f.members[i%4].Name].ReserveTokens(ctx, "c", 100); refusal == nil {
					admitted.Add(100)
				}
			})
		}
		wg.Wait()
		cancel()
		require.LessOrEqual(t, admitted.Load(), customer.Burst)
		require.Greater(t, admitted.Load(), customer.Burst/2)
	})
}
