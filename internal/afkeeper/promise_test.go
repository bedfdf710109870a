package afkeeper

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/aflease"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

// Guards against a fleet without orders during an outage of the platform, and against a holder that goes on without the promise
// of each listed VM, or with that of a VM that reaches the platform.
func TestHolderGoesOnWithPromisesOfAll(t *testing.T) {
	timing := aflease.Timing{TTL: 1500 * time.Millisecond, RenewInterval: 450 * time.Millisecond, QuietPeriod: 3 * time.Second, SafetyMargin: 200 * time.Millisecond}
	names := []string{"a", "b", "c"}
	var (
		boot     time.Duration
		timer    *aftimer.Service
		services map[string]*Service
		reached  map[string]time.Time
		listed   []string
	)
	start := func() {
		boot, timer, services, reached, listed = time.Second, &aftimer.Service{}, map[string]*Service{}, map[string]time.Time{}, names
		timer.AdvanceTo(time.Unix(1000, 0))
		for _, name := range names {
			s := &Service{
				Self: arbutusfork.Incarnation{VM: name}, LeaseTiming: timing, Timer: timer, Log: slog.New(slog.DiscardHandler),
				BootTime:  func() time.Duration { return boot },
				ListedVMs: func() []string { return listed }, PlatformReachedAt: func() time.Time { return reached[name] },
				lease: aflease.New(name, name, timing),
			}
			s.SendToVM = func(vm, kind string, message any) error {
				require.Equal(t, KindPromise, kind)
				body, err := msgpack.Marshal(message)
				require.NoError(t, err)
				_, err = services[vm].HandlePromise(s.Self, body)
				return err
			}
			services[name] = s
		}
		a := services["a"]
		a.lease = a.lease.WithReadRecord(aflease.Record{}, 0, boot)
		_, r := a.lease.NextAction(boot)
		a.lease = a.lease.WithWrittenRecord(r, 7, boot, boot)
		for _, name := range names[1:] {
			services[name].lease = services[name].lease.WithReadRecord(r, 7, boot)
		}
	}
	// sendViews lets the holder send views to the VMs for a time without the platform, and returns whether it is the holder then.
	sendViews := func(d time.Duration, vms ...string) bool {
		a := services["a"]
		for end := boot + d; boot < end; boot += 300 * time.Millisecond {
			timer.AdvanceTo(timer.Now().Add(300 * time.Millisecond))
			a.mu.Lock()
			seq, isLost := a.nextViewSeq(), a.lease.IsRenewalLate(boot)
			a.mu.Unlock()
			for _, vm := range vms {
				services[vm].answerView("a", a.lease.Epoch(), seq, isLost)
			}
		}
		return a.HoldsLease()
	}

	start()
	require.True(t, sendViews(10*time.Second, "b", "c"))
	action, _ := services["b"].lease.NextAction(boot)
	require.Equal(t, aflease.ActionWait, action, "a VM that promised must not take the lease")
	reached["c"] = timer.Now().Add(time.Millisecond)
	require.False(t, sendViews(2*time.Second, "b", "c"), "one VM reaches the platform")

	start()
	require.False(t, sendViews(2*time.Second, "b"), "one VM does not answer")
	start()
	listed = []string{"b", "c"}
	require.False(t, sendViews(2*time.Second, "b", "c"), "the list is not complete")
	start()
	services["b"].promises.hasUnknown, services["b"].promises.unknownTakeoverAt = true, boot
	require.False(t, sendViews(2*time.Second, "b", "c"), "a late write may make one VM the holder")
}
