package afpeer_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afpeer"
	"arbutusfork.example/arbutusfork/pkg/afmember"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

// TestCallOverTCP guards against a TCP transport that loses messages or passes an answer to the wrong call.
func TestCallOverTCP(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	startService := func(name string, seeds ...string) (*afpeer.Service, chan afmember.View) {
		views := make(chan afmember.View, 100)
		s := &afpeer.Service{
			Self: arbutusfork.Incarnation{VM: name, StartID: 1}, ListenAddress: "127.0.0.1:0", Seeds: seeds,
			Timer: new(aftimer.Service), Log: slog.New(slog.DiscardHandler),
			OnMembershipChange: func(v afmember.View) { views <- v },
		}
		s.Handle("double", func(from arbutusfork.Incarnation, body []byte) (any, error) {
			var n int
			err := msgpack.Unmarshal(body, &n)
			return map[string]int{from.VM: 2 * n}, err
		})
		running.Go(func() { require.NoError(t, s.Run(ctx)) })
		<-s.Ready()
		return s, views
	}
	a, _ := startService("a")
	b, views := startService("b", a.LiveMembers()[0].Address)
	for liveVMs := 1; liveVMs < 2; { // The loop ends when b is connected to a through its seed.
		liveVMs = len((<-views).LiveVMs())
	}
	var calls sync.WaitGroup
	for n := range 100 {
		calls.Go(func() {
			var answer map[string]int
			require.NoError(t, b.Call(ctx, "a", "double", n, &answer))
			require.Equal(t, map[string]int{"b": 2 * n}, answer)
		})
	}
	calls.Wait()
	require.True(t, afpeer.IsKind(b.Call(ctx, "a", "other", 1, nil), afpeer.RefusedByVM))
	require.True(t, afpeer.IsKind(b.Call(ctx, "c", "double", 1, nil), afpeer.VMUnreachable))
	require.GreaterOrEqual(t, b.Stats().MessagesSent, int64(100))
}
