package aftimer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWait guards against a wait that outlives its context, and against one that leaves its subscription behind.
func TestWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var s Service
		go s.Run(ctx)
		begin := time.Now()
		require.True(t, s.Sleep(ctx, time.Second))
		require.Equal(t, time.Second, time.Since(begin))
		short, stop := s.WithTimeout(ctx, time.Second)
		defer stop()
		require.False(t, s.Sleep(short, time.Hour))
		require.Equal(t, 2*time.Second, time.Since(begin))
		s.mu.Lock()
		require.Empty(t, s.queue)
		s.mu.Unlock()
		cancel()
		synctest.Wait()
	})
}

// TestTicks guards against a slow reader that holds up the timer service or finds a queue of old ticks.
func TestTicks(t *testing.T) {
	var s Service
	s.AdvanceTo(start)
	ticks, sub := s.TickChannel(time.Second)
	s.AdvanceTo(start.Add(5 * time.Second))
	require.Len(t, ticks, 1)
	<-ticks
	s.AdvanceTo(start.Add(6 * time.Second))
	require.Len(t, ticks, 1)
	<-ticks
	sub.Stop()
	s.AdvanceTo(start.Add(9 * time.Second))
	require.Empty(t, ticks)
}
