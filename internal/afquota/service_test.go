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

var customer = arbutusfork.Customer{Name: "c", RatePerSecond: 1000, Burst: 6000}

// advanceAndMaintain moves the time forward and runs the periodic work of all VMs.
func (f *fleet) advanceAndMaintain(d time.Duration) {
	f.advanceBy(d)
	f.runMaintenance()
}

// newSettledFleet returns a fleet whose VMs have taken their shares.
func newSettledFleet(n int) *fleet {
	f := newFleet(n, customer)
	f.advanceAndMaintain(time.Second)
	return f
}

// basePartSums returns the sum of the base shares in use on the VMs and the sum of the base shares in the record.
func (f *fleet) basePartSums(t *testing.T) (inUse, inRecord int64) {
	t.Helper()
	for _, s := range f.running {
		inUse += s.Status()[0].BaseParts
	}
	s := f.running[f.members[0].Name]
	a := s.accountOf(customer)
	require.NoError(t, s.loadRecord(t.Context(), a))
	for _, h := range a.shareView.Record().Holders {
		inRecord += h.Parts
	}
	return inUse, inRecord
}

// TestLargeRequestThroughLoans guards against refusing a request that is within the burst but above each VM's base
// share.
func TestLargeRequestThroughLoans(t *testing.T) {
	f := newSettledFleet(6)
	r, refusal := f.running["vm0"].ReserveTokens(t.Context(), "c", 6000)
	require.Nil(t, refusal)
	_, refusal = f.running["vm1"].ReserveTokens(t.Context(), "c", 1)
	require.NotNil(t, refusal, "the burst is used up")
	require.Equal(t, arbutusfork.CodeRateLimited, refusal.Code)
	require.Positive(t, refusal.RetryAfter)
	r.Settle(1000)
	_, refusal = f.running["vm2"].ReserveTokens(t.Context(), "c", 5001)
	require.NotNil(t, refusal)
	_, refusal = f.running["vm2"].ReserveTokens(t.Context(), "c", 6001)
	require.Equal(t, arbutusfork.CodeBodyTooLarge, refusal.Code)
	_, refusal = f.running["vm2"].ReserveTokens(t.Context(), "unknown", 1)
	require.Equal(t, arbutusfork.CodeNotAllowed, refusal.Code)
}

// TestWithoutPlatform guards against a VM that starts during a platform outage and refuses requests although its
// peers have tokens.
func TestWithoutPlatform(t *testing.T) {
	f := newSettledFleet(3)
	s := f.startVM("vm9")
	s.GetObject = func(context.Context, string, string) (afobject.Object, error) {
		return afobject.Object{}, &afobject.Error{Kind: afobject.PlatformUnavailable}
	}
	f.advanceAndMaintain(time.Second)
	_, refusal := s.ReserveTokens(t.Context(), "c", 4000)
	require.Nil(t, refusal)
	require.Zero(t, s.Status()[0].BaseParts)
}

// TestLostRecordAnswers guards against shares that are used twice, or lost for good, when the platform's answers are
// lost.
func TestLostRecordAnswers(t *testing.T) {
	f := newFleet(3, customer)
	writeCount := 0
	for _, s := range f.running {
		s.UpdateObject = func(ctx context.Context, o afobject.Object) (afobject.Object, error) {
			writeCount++
			if writeCount%3 == 0 {
				return afobject.Object{}, &afobject.Error{Kind: afobject.OutcomeUnknown} // The write is lost before it takes effect.
			}
			o, err := f.putObject(ctx, o)
			if err == nil && writeCount%3 == 1 {
				return afobject.Object{}, &afobject.Error{Kind: afobject.OutcomeUnknown}
			}
			return o, err
		}
		s.CreateObject = s.UpdateObject
	}
	for i := range 120 {
		switch i {
		case 30:
			f.killVM("vm1")
			f.markGone("vm1")
		case 60:
			f.startVM("vm3")
			f.startVM("vm4")
		}
		f.advanceAndMaintain(500 * time.Millisecond)
		inUse, inRecord := f.basePartSums(t)
		require.LessOrEqual(t, inUse, aflimit.TotalParts)
		require.LessOrEqual(t, inRecord, aflimit.TotalParts)
	}
	inUse, _ := f.basePartSums(t)
	require.Equal(t, aflimit.TotalParts, inUse)
}

// TestRollingReplacement guards against a planned stop that loses part of the limit: parts on loan must be recalled
// and released.
func TestRollingReplacement(t *testing.T) {
	f := newSettledFleet(4)
	_, refusal := f.running["vm0"].ReserveTokens(t.Context(), "c", 5000)
	require.Nil(t, refusal)
	for _, vm := range []string{"vm1", "vm2", "vm3", "vm0"} {
		s := f.running[vm]
		ctx, cancel := context.WithCancel(t.Context())
		f.members = slices.DeleteFunc(slices.Clone(f.members), func(x arbutusfork.VM) bool { return x.Name == vm })
		f.timer.CallAfter(10*time.Second, func(time.Time) { cancel() })
		done := make(chan struct{})
		go func() {
			s.ReleaseShares(ctx)
			close(done)
		}()
		<-done
		require.Zero(t, s.Status()[0].BaseParts, vm)
		f.killVM(vm)
		f.markGone(vm)
		f.startVM(vm)
		for range 10 {
			f.advanceAndMaintain(500 * time.Millisecond)
		}
		inUse, inRecord := f.basePartSums(t)
		require.Equal(t, aflimit.TotalParts, inUse)
		require.Equal(t, aflimit.TotalParts, inRecord)
	}
}

// useGoroutines makes the VMs use goroutines and the timer, and makes each message take a millisecond.
func (f *fleet) useGoroutines(timer *aftimer.Service) {
	var mu sync.Mutex // The fleet is not safe for concurrent use.
	for _, s := range f.running {
		s.spawn, s.sleep, s.Timer = nil, nil, timer
		call, get, put := s.CallVM, s.GetObject, s.UpdateObject
		s.CallVM = func(ctx context.Context, vm, kind string, message, answer any) error {
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

// runConcurrently starts the timer, calls beforeVMs, waits until all goroutines are blocked, and then runs the VMs.
// The returned function stops the VMs and waits for them.
func (f *fleet) runConcurrently(t *testing.T, beforeVMs func(ctx context.Context)) (ctx context.Context, stop func()) {
	timer := &aftimer.Service{}
	f.useGoroutines(timer)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { timer.Run(ctx) })
	if beforeVMs != nil {
		beforeVMs(ctx)
		synctest.Wait()
	}
	for _, s := range f.running {
		wg.Go(func() { s.Run(ctx) })
	}
	return ctx, func() {
		cancel()
		wg.Wait()
	}
}

// TestShiftOfDemand guards against refusals more than a second after the whole demand has moved to another VM. The
// test spans many loan terms and uses the service's goroutines and timers. The requests use 97 % of the rate and are
// never settled: at exactly the rate, a token lost in a message could never be regained.
func TestShiftOfDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(6, customer)
		ctx, stop := f.runConcurrently(t, nil)
		<-time.After(time.Second)
		for i := range 6000 {
			<-time.After(100 * time.Millisecond)
			_, refusal := f.running[f.members[i/2000].Name].ReserveTokens(ctx, "c", 97)
			if i%2000 >= 10 {
				require.Nil(t, refusal, "request %d", i)
			}
		}
		stop()
	})
}

// TestNewCustomer guards against refusing the first requests of a new customer, which arrive at several VMs at the
// same moment, before any VM has taken a share.
func TestNewCustomer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(6, customer)
		refusals := make(chan *arbutusfork.Refusal, len(f.members))
		_, stop := f.runConcurrently(t, func(ctx context.Context) {
			for _, s := range f.running {
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

// TestNewCustomerAboveRate guards against requests that wait long after a customer's first seconds because the rounds
// in those seconds count towards meanRoundInterval. When they did, replaced VMs refused requests within the rate at
// their deadline.
func TestNewCustomerAboveRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(6, customer)
		ctx, stop := f.runConcurrently(t, nil)
		s := f.running[f.members[0].Name]
		for range 2 {
			go func() { _, _ = s.ReserveTokens(ctx, "c", customer.Burst) }() // The second request cannot be served.
		}
		<-time.After(time.Duration(customer.Burst/customer.RatePerSecond)*time.Second + newCustomerWaitTimeout + time.Second)
		startedAt := time.Now()
		_, refusal := s.ReserveTokens(ctx, "c", customer.Burst/2)
		require.Nil(t, refusal)
		require.Less(t, time.Since(startedAt), time.Second)
		stop()
	})
}

// TestConcurrentReservations guards against data races, and against admitting more than the burst when many
// goroutines reserve tokens.
func TestConcurrentReservations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, timer := newSettledFleet(4), &aftimer.Service{}
		f.useGoroutines(timer)
		f.customers["c"] = customer.WithRate(0, customer.Burst)
		ctx, cancel := context.WithCancel(t.Context())
		go timer.Run(ctx)
		var admitted atomic.Int64
		var wg sync.WaitGroup
		for i := range 200 {
			wg.Go(func() {
				if _, refusal := f.running[f.members[i%4].Name].ReserveTokens(ctx, "c", 100); refusal == nil {
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
