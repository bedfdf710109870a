package aftimer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSleepEndsWithContext guards against a Sleep that goes on after its context has ended, and against a Sleep or
// timeout that leaves its subscription in the service.
func TestSleepEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var s Service
		go s.Run(ctx)
		startedAt := time.Now()
		require.True(t, s.Sleep(ctx, time.Second))
		require.Equal(t, time.Second, time.Since(startedAt))
		timeoutCtx, release := s.WithTimeout(ctx, time.Second)
		defer release()
		require.False(t, s.Sleep(timeoutCtx, time.Hour))
		require.Equal(t, 2*time.Second, time.Since(startedAt))
		s.mu.Lock()
		require.Empty(t, s.subscriptions)
		s.mu.Unlock()
		cancel()
		synctest.Wait()
	})
}

// TestTickChannelKeepsOneTick guards against a slow reader that blocks the timer service or receives several old ticks.
func TestTickChannelKeepsOneTick(t *testing.T) {
	var s Service
	s.AdvanceTo(startTime)
	ticks, sub := s.TickChannel(time.Second)
	s.AdvanceTo(startTime.Add(5 * time.Second))
	require.Len(t, ticks, 1)
	<-ticks
	s.AdvanceTo(startTime.Add(6 * time.Second))
	require.Len(t, ticks, 1)
	<-ticks
	sub.Stop()
	s.AdvanceTo(startTime.Add(9 * time.Second))
	require.Empty(t, ticks)
}
