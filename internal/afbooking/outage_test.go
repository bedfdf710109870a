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

// outagePlatform is a fake platform that can be down. It counts the writes that arrive while it is up.
type outagePlatform struct {
	*fakePlatform
	isDown        atomic.Bool
	writesWhileUp atomic.Int64
}

// newService returns a service of the VM that uses the platform.
func (p *outagePlatform) newService(timer *aftimer.Service, vm string) *Service {
	s := newService(p.fakePlatform, vm, func(arbutusfork.Incarnation) bool { return false })
	s.Timer = timer
	s.GetObject = func(ctx context.Context, kind, name string) (afobject.Object, error) {
		if p.isDown.Load() {
			return afobject.Object{}, &afobject.Error{Kind: afobject.PlatformUnavailable}
		}
		return p.getObject(ctx, kind, name)
	}
	s.UpdateObject = func(ctx context.Context, o afobject.Object) (afobject.Object, error) {
		if p.isDown.Load() {
			return afobject.Object{}, &afobject.Error{Kind: afobject.OutcomeUnknown}
		}
		p.writesWhileUp.Add(1)
		return p.putObject(ctx, o)
	}
	s.CreateObject = s.UpdateObject
	return s
}

// TestOutageEndsWithoutBurst guards against a burst of writes after an outage, when claims wait for each record at
// each VM. Without spacing, all writes arrived within half a second and conflicts multiplied them.
func TestOutageEndsWithoutBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		const vms, calls = 6, 100
		p := &outagePlatform{fakePlatform: &fakePlatform{objects: map[string]afobject.Object{}}}
		timer := &aftimer.Service{}
		go timer.Run(ctx)
		p.isDown.Store(true)
		var wg sync.WaitGroup
		for i := range vms {
			s := p.newService(timer, fmt.Sprint("vm", i))
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
		p.isDown.Store(false)
		outageEndedAt := time.Now()
		<-time.After(time.Second)
		require.Less(t, p.writesWhileUp.Load(), int64(100), "writes of 6 VMs in the first second")
		wg.Wait()
		require.Less(t, time.Since(outageEndedAt), 8*time.Second, "time from the end of the outage until each claim is durable")
	})
}
