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

// Guards against orders of two holders close together when one that stops was still waiting for the orders of a holder
// before it, which it does not know: its stop must tell for how long.
func TestStopTellsWhatItWaitedFor(t *testing.T) {
	terms := aflease.Timing{TTL: 2 * time.Second, RenewInterval: 700 * time.Millisecond, QuietPeriod: 3 * time.Second, SafetyMargin: 300 * time.Millisecond}
	lastUse := 10 * time.Second
	now := lastUse + 10*time.Millisecond
	service := func(vm string) *Service {
		return &Service{
			Self: arbutusfork.Incarnation{VM: vm}, LeaseTiming: terms, Timer: &aftimer.Service{}, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
			BootTime:   func() time.Duration { return now },
			lastOrders: map[string]time.Duration{}, orderEpochs: map[string]int64{},
			lease: aflease.New(vm, vm, terms),
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
	b.retire()
	_, r = c.lease.NextAction(now)
	c.lease = c.lease.WithWrittenRecord(r, 22, now, now)
	require.True(t, c.lease.IsHolder(now), "the lease itself is free at once")
	for ; now < lastUse+terms.QuietPeriod; now += 100 * time.Millisecond {
		require.False(t, c.lease.IsUsable(now), "%v after the last order of the first holder", now-lastUse)
		if action, renewed := c.lease.NextAction(now); action == aflease.ActionWrite {
			c.lease = c.lease.WithWrittenRecord(renewed, c.lease.Version()+1, now, now)
		}
	}
	now += terms.SafetyMargin + 100*time.Millisecond
	require.True(t, c.lease.IsUsable(now))
}
