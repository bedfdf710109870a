package afkeeper

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/aflease"
	"arbutusfork.example/arbutusfork/pkg/afobject"
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
	b.announceStop(b.lease.Epoch())
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

// Guards against a malformed record whose epoch overflows, or after which the epoch falls below one that engines have seen, and
// against one whose readable fields are used.
func TestMalformedLeaseIsReplaced(t *testing.T) {
	for _, spec := range []string{
		`{"holder":"x","epoch":9223372036854775807,"beat":1}`, `{"holder":"x","epoch":1e19}`, `{"holder":"x","epoch":-5}`, `{"holder":"x","epoch":5,"beat":9223372036854775807}`,
		`{"holder":"x","released":true,"epoch":"5"}`, `{"epoch":5.5}`, `{}`, `null`, `[]`, `{"holder":"x","epoch":NaN}`, strings.Repeat("[", 100_000),
	} {
		timing := aflease.Timing{TTL: time.Second, RenewInterval: 300 * time.Millisecond, QuietPeriod: time.Second, SafetyMargin: 100 * time.Millisecond}
		now := time.Hour
		var written aflease.Record
		s := &Service{
			Self: arbutusfork.Incarnation{VM: "b"}, LeaseTiming: timing, Timer: &aftimer.Service{}, Log: slog.New(slog.DiscardHandler),
			BootTime: func() time.Duration { return now }, LiveVMs: func() []arbutusfork.VM { return nil },
			GetObject: func(context.Context, string, string) (afobject.Object, error) {
				return afobject.Object{Kind: LeaseKind, Name: LeaseName, Version: 40, Spec: []byte(spec)}, nil
			},
			UpdateObject: func(_ context.Context, o afobject.Object) (afobject.Object, error) {
				err := json.Unmarshal(o.Spec, &written)
				o.Version++
				return o, err
			},
		}
		s.Init()
		s.lease = s.lease.WithReadRecord(aflease.Record{Holder: "a", Epoch: 7}, 39, now).WithUnknownWriteOutcome()
		for range 4 {
			s.maintainLease(t.Context())
			require.Empty(t, written.Holder, "%.60s: taken although another holder may use it", spec)
			now += 350 * time.Millisecond
		}
		for ; written.Holder == "" && now < 2*time.Hour; now += time.Minute {
			s.maintainLease(t.Context())
		}
		require.Equal(t, s.Self.String(), written.Holder, "%.60s", spec)
		require.EqualValues(t, 41, written.Epoch, "%.60s", spec)
		require.Positive(t, written.RenewalCount, "%.60s", spec)
	}
}
