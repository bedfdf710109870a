package afbooking

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afclaim"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
	"github.com/stretchr/testify/require"
)

// outage is a platform that can be down and counts the writes that reach it while it is up.
type outage struct {
	*store
	down   atomic.Bool
	writes atomic.Int64
}

func (p *outage) service(timer *aftimer.Service, vm string) *Service {
	s := newService(p.store, vm, func(arbutusfork.Incarnation) bool { return false })
	s.Timer = timer
	s.GetObject = func(ctx context.Context, kind, name string) (afobject.Object, error) {
		if p.down.Load() {
			return afobject.Object{}, &afobject.Error{Kind: afobject.Unavailable}
		}
		return p.get(ctx, kind, name)
	}
	s.UpdateObject = func(ctx context.Context, o afobject.Object) (afobject.Object, error) {
		if p.down.Load() {
			return afobject.Object{}, &afobject.Error{Kind: afobject.Unknown}
		}
		p.writes.Add(1)
		return p.put(ctx, o)
	}
	s.CreateObject = s.UpdateObject
	return s
}

// TestOutageEndsWithoutBurst guards against a burst of writes when the platform returns, with claims that wait for each
// record at each VM: all of them came within half a second, and conflicts multiplied them.
func TestOutageEndsWithoutBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		const vms, calls = 6, 100
		p := &outage{store: &store{objects: map[string]afobject.Object{}}}
		timer := &aftimer.Service{}
		go timer.Run(ctx)
		p.down.Store(true)
		var wg sync.WaitGroup
		for i := range vms {
			s := p.service(timer, fmt.Sprint("vm", i))
			for n := range calls {
				wg.Go(func() {
					call := afclaim.Call{Customer: "c", Route: "r", IdempotencyKey: fmt.Sprint(i, n), RequestDigest: "x"}
					r, refusal := s.ClaimCall(ctx, call)
					require.Nil(t, refusal)
					require.Equal(t, afclaim.VerdictGranted, r.Verdict)
				})
			}
		}
		<-time.After(10 * time.Second)
		p.down.Store(false)
		back := time.Now()
		<-time.After(time.Second)
		require.Less(t, p.writes.Load(), int64(100), "writes of 6 VMs in the first second")
		wg.Wait()
		require.Less(t, time.Since(back), 8*time.Second, "each claim is durable soon after the outage")
	})
}
