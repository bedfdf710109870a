package aftimer

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestAdvanceToCallsInTimeOrder guards against subscribers that are skipped or called in an order other than that of
// their due times when AdvanceTo passes several of them.
func TestAdvanceToCallsInTimeOrder(t *testing.T) {
	var s Service
	s.AdvanceTo(startTime)
	var calls []string
	recordCall := func(name string) func(time.Time) {
		return func(now time.Time) { calls = append(calls, fmt.Sprint(name, now.Sub(startTime))) }
	}
	s.CallEvery(2*time.Second, recordCall("every"))
	s.CallAfter(3*time.Second, recordCall("after"))
	s.AdvanceTo(startTime.Add(5 * time.Second))
	require.Equal(t, []string{"every2s", "after3s", "every4s"}, calls)
}

// TestStoppedSubscriptionIsNotCalled guards against calls after Stop, also if the subscriber calls Stop itself or Stop
// is called twice.
func TestStoppedSubscriptionIsNotCalled(t *testing.T) {
	var s Service
	s.AdvanceTo(startTime)
	callCount := 0
	var sub *Subscription
	sub = s.CallEvery(time.Second, func(time.Time) {
		callCount++
		sub.Stop()
	})
	stopped := s.CallAfter(time.Second, func(time.Time) { callCount += 10 })
	stopped.Stop()
	stopped.Stop()
	s.AdvanceTo(startTime.Add(time.Minute))
	require.Equal(t, 1, callCount)
}

// TestCallsMissedInPauseAreSkipped guards against a burst of periodic calls that were missed while the process was paused.
func TestCallsMissedInPauseAreSkipped(t *testing.T) {
	now := startTime
	s := Service{Clock: func() time.Time { return now }}
	callCount := 0
	s.CallEvery(time.Second, func(time.Time) { callCount++ })
	now = startTime.Add(time.Hour)
	s.callDueSubscribers(now)
	require.Equal(t, 1, callCount)
}

// TestRunWakesForEarlierSubscriber guards against a late call of a subscriber that is added while Run sleeps until the
// due time of a later one.
func TestRunWakesForEarlierSubscriber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var s Service
		startedAt := time.Now()
		delays := make(chan time.Duration, 2)
		go s.Run(ctx)
		s.CallAfter(time.Hour, func(now time.Time) { delays <- now.Sub(startedAt) })
		synctest.Wait()
		s.CallAfter(time.Second, func(now time.Time) { delays <- now.Sub(startedAt) })
		require.Equal(t, time.Second, <-delays)
		require.Equal(t, time.Hour, <-delays)
		cancel()
	})
}

func ExampleService_AdvanceTo() {
	var s Service
	s.AdvanceTo(startTime)
	s.CallAfter(time.Second, func(now time.Time) { fmt.Println("due after", now.Sub(startTime)) })
	s.AdvanceTo(startTime.Add(2 * time.Second))
	// Output: due after 1s
}
