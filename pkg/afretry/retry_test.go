package afretry

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"arbutusfork.example/arbutusfork"
)

// Guards against a retry of a call that is not idempotent after its request may have reached an endpoint, unless the
// endpoint reported that it did not run the call.
func TestUnsafeCallIsNotRetried(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Attempt{
			RequestWritten: rapid.Bool().Draw(t, "request written"), NotRun: rapid.Bool().Draw(t, "not run"), ResponseTruncated: rapid.Bool().Draw(t, "response truncated"),
			StatusCode: rapid.SampledFrom([]int{0, 200, 400, 429, 500, 502, 503, 504}).Draw(t, "status"),
		}
		outcome := ClassifyAttempt(a)
		reportedNotRun := a.NotRun && (a.StatusCode == http.StatusTooManyRequests || a.StatusCode == http.StatusServiceUnavailable)
		mayHaveReached := a.RequestWritten || a.StatusCode != 0
		require.False(t, mayHaveReached && !reportedNotRun && MayRetry(outcome, false, false))
		require.False(t, outcome == arbutusfork.OutcomeNotRun && mayHaveReached && !reportedNotRun, "the outcome of a call that may have run is not run")
		require.False(t, MayRetry(outcome, rapid.Bool().Draw(t, "idempotent"), true), "retried after a part of the response was relayed")
	})
}

// Guards against retries that multiply the load of failing endpoints: in any run, the retries stay within a tenth of the
// requests plus one retry a second.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Budget
		first := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
		now := first
		requests, retries := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"request": func(*rapid.T) { b.CreditRequest(now); requests++ },
			"retry": func(*rapid.T) {
				if b.TakeRetry(now) {
					retries++
				}
			},
			"advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				bound := earnedPerRequest*float64(requests) + freeRetriesPerSecond*(1+now.Sub(first).Seconds())
				require.LessOrEqual(t, float64(retries), bound+1e-6)
			},
		})
	})
}

// Guards against a delay outside its bounds, also for a large number of retries.
func TestBackoffStaysWithinBounds(t *testing.T) {
	for n := range 100 {
		for _, random := range []float64{0, 0.5, 0.999} {
			d := Backoff(n, random)
			require.GreaterOrEqual(t, d, minBackoffDelay/2)
			require.LessOrEqual(t, d, maxBackoffDelay)
		}
	}
}
