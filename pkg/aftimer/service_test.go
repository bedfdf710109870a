package aftimer

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestAdvanceOrder guards against subscribers that run out of order of time or are skipped.
func TestAdvanceOrder(t *testing.T) {
	var s Service
	s.AdvanceTo(start)
	var calls []string
	add := func(name string) func(time.Time) {
		return func(now time.Time) { calls = append(calls, fmt.Sprint(name, now.Sub(start))) }
	}
	s.CallEvery(2*time.Second, add("every"))
	s.CallAfter(3*time.Second, add("after"))
	s.AdvanceTo(start.Add(5 * time.Second))
	require.Equal(t, []string{"every2s", "after3s", "every4s"}, calls)
}

// TestStop guards against a stopped subscription that still fires, also when it stops itself.
func TestStop(t *testing.T) {
	var s Service
	s.AdvanceTo(start)
	n := 0
	var sub *Subscription
	sub = s.CallEvery(time.Second, func(time.Time) {
		n++
		sub.Stop()
	})
	other := s.CallAfter(time.Second, func(time.Time) { n += 10 })
	other.Stop()
	other.Stop()
	s.AdvanceTo(start.Add(time.Minute))
	require.Equal(t, 1, n)
}

// TestPause guards against a burst of missed periodic calls after the process was paused.
func TestPause(t *testing.T) {
	now := start
	s := Service{Clock: func() time.Time { return now }}
	n := 0
	s.CallEvery(time.Second, func(time.Time) { n++ })
	now = start.Add(time.Hour)
	s.fire(now)
	require.Equal(t, 1, n)
}

// TestRun guards against a subscriber that is added while Run sleeps for a later one and then fires late.
func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var s Service
		began := time.Now()
		fired := make(chan time.Duration, 2)
		go s.Run(ctx)
		s.CallAfter(time.Hour, func(now time.Time) { fired <- now.Sub(began) })
		synctest.Wait()
		s.CallAfter(time.Second, func(now time.Time) { fired <- now.Sub(began) })
		require.Equal(t, time.Second, <-fired)
		require.Equal(t, time.Hour, <-fired)
		cancel()
	})
}

func ExampleService_AdvanceTo() {
	var s Service
	s.AdvanceTo(start)
	s.CallAfter(time.Second, func(now time.Time) { fmt.Println("due after", now.Sub(start)) })
	s.AdvanceTo(start.Add(2 * time.Second))
	// Output: due after 1s
}
