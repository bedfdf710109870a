package afkeeper

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/aflease"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

// Guards against orders from two holders within QuietPeriod. A holder stopped before it was allowed to send orders, since it
// did not know the last orders of the holder before it. Its stop message must say how long its successor has to wait.
func TestStopTellsWhatItWaitedFor(t *testing.T) {
	timing := aflease.Timing{TTL: 2 * time.Second, RenewInterval: 700 * time.Millisecond, QuietPeriod: 3 * time.Second, SafetyMargin: 300 * time.Millisecond}
	lastUseAt := 10 * time.Second
	now := lastUseAt + 10*time.Millisecond
	service := func(vm string) *Service {
		return &Service{
			Self: arbutusfork.Incarnation{VM: vm}, LeaseTiming: timing, Timer: &aftimer.Service{}, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
			BootTime:     func() time.Duration { return now },
			lastOrdersAt: map[string]time.Duration{}, lastOrderEpochs: map[string]int64{},
			lease: aflease.New(vm, vm, timing),
		}
	}
	b, c := service("b"), service("c")
	released := aflease.Record{Holder: "a", Machine: "a", Epoch: 4, RenewalCount: 9, IsReleased: true}
	b.lease = b.lease.WithReadRecord(released, 20, now)
	_, r := b.lease.NextAction(now)
	b.lease = b.lease.WithWrittenRecord(r, 21, now, now)
	require.False(t, b.lease.IsUsable(now))
	c.lease = c.lease.WithReadRecord(r, 21, now)

	now += 200 * time.Millisecond
	b.LiveVMs = func() []arbutusfork.VM { return []arbutusfork.VM{{Name: "b"}, {Name: "c"}} }
	b.SendToVM = func(_, _ string, message any) error {
		body, err := msgpack.Marshal(message)
		require.NoError(t, err)
		_, err = c.HandleHolderStop(b.Self, body)
		return err
	}
	b.announceStop()
	_, r = c.lease.NextAction(now)
	c.lease = c.lease.WithWrittenRecord(r, 22, now, now)
	require.True(t, c.lease.IsHolder(now), "the record may be taken at once")
	for ; now < lastUseAt+timing.QuietPeriod; now += 100 * time.Millisecond {
		require.False(t, c.lease.IsUsable(now), "lease usable %v after the last order of the first holder", now-lastUseAt)
		if action, renewed := c.lease.NextAction(now); action == aflease.ActionWrite {
			c.lease = c.lease.WithWrittenRecord(renewed, c.lease.Version()+1, now, now)
		}
	}
	now += timing.SafetyMargin + 100*time.Millisecond
	require.True(t, c.lease.IsUsable(now))
}
