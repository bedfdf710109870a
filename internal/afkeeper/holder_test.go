package afkeeper

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/affeed"
	"arbutusfork.example/arbutusfork/internal/afroster"
	"arbutusfork.example/arbutusfork/pkg/afassign"
	"arbutusfork.example/arbutusfork/pkg/aflease"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/afroute"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

var holderTestTiming = aflease.Timing{TTL: 1500 * time.Millisecond, RenewInterval: 450 * time.Millisecond, QuietPeriod: 3 * time.Second, SafetyMargin: 200 * time.Millisecond}

func newHolderTestService(t *testing.T, vm string, boot *time.Duration) *Service {
	t.Helper()
	timer := &aftimer.Service{}
	timer.AdvanceTo(time.Unix(1000, 0))
	s := &Service{
		Self: arbutusfork.Incarnation{VM: vm}, Machine: vm, LeaseTiming: holderTestTiming, Timer: timer, Log: slog.New(slog.DiscardHandler),
		BootTime:      func() time.Duration { return *boot },
		LiveVMs:       func() []arbutusfork.VM { return []arbutusfork.VM{{Name: "a"}, {Name: "b"}, {Name: "c"}} },
		ListedVMCount: func() int { return 3 }, ListedVMs: func() []string { return []string{"a", "b", "c"} },
		SendToVM: func(string, string, any) error { return nil },
	}
	s.Init()
	return s
}

// Guards against a holder that wakes after its lease ended and announces the epoch of its successor as stopped, so that a third VM
// uses the lease beside the successor.
func TestWokenHolderDoesNotStopItsSuccessor(t *testing.T) {
	boot := time.Minute
	a, c := newHolderTestService(t, "a", &boot), newHolderTestService(t, "c", &boot)
	taken := aflease.Record{Holder: "b", Machine: "b", Epoch: 6, RenewalCount: 9}
	a.lease = a.lease.WithReadRecord(aflease.Record{Holder: "x", Epoch: 4, IsReleased: true}, 19, 0)
	a.lease = a.lease.WithWrittenRecord(aflease.Record{Holder: a.Self.String(), Machine: "a", Epoch: 5}, 20, 0, 0)
	a.viewReceivedAt = a.Timer.Now().Add(-time.Minute) // A view of the holder before.
	require.True(t, a.lease.HasExpired(boot))
	c.lease = c.lease.WithReadRecord(taken, 30, boot)
	isDelivered := false
	a.LiveVMs = func() []arbutusfork.VM {
		if !isDelivered {
			isDelivered = true
			// The view of the successor has waited in the connection and is handled by another goroutine.
			a.mu.Lock()
			a.lease = a.lease.WithReadRecord(taken, 30, boot)
			a.mu.Unlock()
		}
		return []arbutusfork.VM{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	}
	a.SendToVM = func(vm, _ string, message any) error {
		if vm != "c" {
			return nil
		}
		body, err := msgpack.Marshal(message)
		require.NoError(t, err)
		_, err = c.HandleHolderStop(a.Self, body)
		return err
	}
	a.GetObject = func(context.Context, string, string) (afobject.Object, error) {
		return afobject.Object{}, context.Canceled
	}
	a.maintainLease(t.Context())
	require.True(t, isDelivered)
	action, r := c.lease.NextAction(boot)
	require.Equal(t, aflease.ActionWait, action, "c takes epoch %d at once from b, which holds the lease", r.Epoch)
}

// Guards against a holder that misses its renewals because a former holder announces late that it has stopped.
func TestLateStopDoesNotDelayRenewals(t *testing.T) {
	boot := time.Minute
	a := newHolderTestService(t, "a", &boot)
	a.TakeoverDelay = 1500 * time.Millisecond // slowLinkTakeoverDelay
	writes := 0
	a.UpdateObject = func(_ context.Context, o afobject.Object) (afobject.Object, error) {
		writes++
		o.Version++
		return o, nil
	}
	a.lease = a.lease.WithReadRecord(aflease.Record{Holder: "b", Epoch: 4}, 19, 0)
	a.lease = a.lease.WithWrittenRecord(aflease.Record{Holder: a.Self.String(), Machine: "a", Epoch: 5}, 20, boot, boot)
	body, err := msgpack.Marshal(holderStop{Epoch: 4})
	require.NoError(t, err)
	_, err = a.HandleHolderStop(arbutusfork.Incarnation{VM: "b"}, body)
	require.NoError(t, err)
	for end := boot + 1490*time.Millisecond; boot < end; boot += 50 * time.Millisecond {
		a.maintainLease(t.Context())
	}
	require.Positive(t, writes, "the lease of the holder ends without an attempt to renew it")
}

// Guards against a holder of a large fleet whose lease ends during an outage before its first view that asks for promises.
func TestLargeFleetIsAskedForPromisesInTime(t *testing.T) {
	boot := time.Minute
	a := newHolderTestService(t, "a", &boot)
	var vms []arbutusfork.VM
	for i := range 91 {
		vms = append(vms, arbutusfork.VM{Name: string(rune('a'+i/26)) + string(rune('a'+i%26))})
	}
	a.LiveVMs = func() []arbutusfork.VM { return vms }
	a.ListedVMCount = func() int { return len(vms) }
	a.Roster = &afroster.Roster{Now: a.Timer.Now}
	a.Table = func() *afroute.Table { return nil }
	a.OwnDemand = func() []afassign.Demand { return nil }
	a.OwnUsage = func() map[string]CustomerUsage { return nil }
	a.FeedPositions = func() map[string]affeed.Position { return nil }
	a.ApplyLoadDelays = func(map[string]time.Duration) {}
	a.UpdateObject = func(context.Context, afobject.Object) (afobject.Object, error) {
		return afobject.Object{}, context.Canceled
	}
	a.GetObject = func(context.Context, string, string) (afobject.Object, error) {
		return afobject.Object{}, context.Canceled
	}
	isAsked := false
	a.SendToVM = func(_, kind string, message any) error {
		var v placementView
		if kind == KindPlacementView {
			require.NoError(t, msgpack.Unmarshal(message.(msgpack.RawMessage), &v))
			isAsked = isAsked || v.HasLostPlatform
		}
		return nil
	}
	step := func(d time.Duration) {
		boot += d
		a.Timer.AdvanceTo(a.Timer.Now().Add(d))
	}
	a.lease = a.lease.WithReadRecord(aflease.Record{Holder: "b", Epoch: 4}, 19, 0)
	a.lease = a.lease.WithWrittenRecord(aflease.Record{Holder: a.Self.String(), Machine: "a", Epoch: 5}, 20, boot, boot)
	step(950 * time.Millisecond)
	a.sendViews()
	for a.HoldsLease() {
		a.sendViews()
		step(tickInterval)
	}
	require.True(t, isAsked)
}
