package aftable

import (
	"context"
	"log/slog"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/afroute"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

// newPair returns two services that exchange messages without a network. A configuration is its version as text.
func newPair(t *testing.T) (a, b *Service) {
	t.Helper()
	services := map[string]*Service{}
	deliver := func(from, to, kind string, message any) (any, error) {
		body, err := msgpack.Marshal(message)
		require.NoError(t, err)
		if kind == KindFetch {
			return services[to].HandleFetch(arbutusfork.Incarnation{VM: from}, body)
		}
		return services[to].HandleVersion(arbutusfork.Incarnation{VM: from}, body)
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	timer := &aftimer.Service{}
	go timer.Run(ctx)
	newService := func(self, other string) *Service {
		s := &Service{
			Timer: timer, Log: slog.New(slog.DiscardHandler), OnChange: func() {}, OnRefused: func() {},
			Decode: func(spec []byte) (*afroute.Table, error) {
				version, err := strconv.ParseInt(string(spec), 10, 64)
				return afroute.NewTable(version, afroute.Limits{}, nil, nil, nil, nil), err
			},
			HeartbeatPeers: func() []arbutusfork.VM { return []arbutusfork.VM{{Name: other}} },
			SendToVM: func(vm, kind string, message any) error {
				_, err := deliver(self, vm, kind, message)
				return err
			},
			CallVM: func(_ context.Context, vm, kind string, message, out any) error {
				reply, err := deliver(self, vm, kind, message)
				*out.(*configurationMessage) = reply.(configurationMessage)
				return err
			},
		}
		services[self] = s
		return s
	}
	a, b = newService("a", "b"), newService("b", "a")
	go a.Run(ctx)
	go b.Run(ctx)
	return a, b
}

// pass lets time of the test's clock pass and waits for what follows from it.
func pass(s *Service, d time.Duration) {
	s.Timer.Sleep(context.Background(), d)
	synctest.Wait()
}

func apply(s *Service, spec string) {
	s.Apply(afobject.Object{Name: "main", Version: 7, Spec: []byte(spec)})
}

// Guards against an older configuration that a restarted VM reads from a store that went back.
func TestRestartedVMTakesNewerConfigurationFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newPair(t)
		apply(a, "12")
		apply(b, "9")
		pass(a, startCompareInterval+time.Millisecond)
		require.EqualValues(t, 12, b.Table().Version)
		apply(b, "9")
		apply(b, "x")
		require.EqualValues(t, 12, b.Table().Version)

		// Later, the platform usually brings a newer version within fetchDelay.
		pass(a, startTime)
		apply(a, "15")
		pass(a, compareInterval+time.Millisecond)
		require.EqualValues(t, 12, b.Table().Version)
		pass(a, fetchDelay)
		require.EqualValues(t, 15, b.Table().Version)
	})
}

// Guards against VMs without any configuration that fail or ask each other without end.
func TestVMsWithoutConfigurationWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newPair(t)
		pass(a, startTime)
		require.Nil(t, a.Table())
		reply, err := b.HandleFetch(arbutusfork.Incarnation{}, nil)
		require.NoError(t, err)
		require.Empty(t, reply.(configurationMessage).Spec)
		_, err = a.HandleVersion(arbutusfork.Incarnation{VM: "b"}, []byte("x"))
		require.ErrorContains(t, err, "malformed")
	})
}
