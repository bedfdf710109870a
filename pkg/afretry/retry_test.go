package afretry

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"arbutusfork.example/arbutusfork"
)

// TestNeverTwice guards against sending a call again that is not idempotent and whose bytes may have reached an
// endpoint, unless the endpoint said that it did not run it.
func TestNeverTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Attempt{
			RequestWritten: rapid.Bool().Draw(t, "handed"), NotRun: rapid.Bool().Draw(t, "not run"), ResponseTruncated: rapid.Bool().Draw(t, "broken"),
			StatusCode: rapid.SampledFrom([]int{0, 200, 400, 429, 500, 502, 503, 504}).Draw(t, "status"),
		}
		outcome := ClassifyAttempt(a)
		said := a.StatusCode == http.StatusTooManyRequests || (a.StatusCode == http.StatusServiceUnavailable && a.NotRun)
		reached := a.RequestWritten || a.StatusCode != 0
		require.False(t, reached && !said && MayRetry(outcome, false, false))
		require.False(t, outcome == arbutusfork.OutcomeNotRun && reached && !said, "a call that may have run was called not run")
		require.False(t, MayRetry(outcome, rapid.Bool().Draw(t, "idempotent"), true), "sent again after a part was relayed")
	})
}

// TestBudget guards against retries that multiply the load of failing endpoints: in any run, retries stay within
// a tenth of the requests plus one a second.
func TestBudget(t *testing.T) {
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
				bound := retryShare*float64(requests) + retryFloor*(1+now.Sub(first).Seconds())
				require.LessOrEqual(t, float64(retries), bound+1e-6)
			},
		})
	})
}

// TestBackoff guards the bounds of the delay, also for large numbers of attempts.
func TestBackoff(t *testing.T) {
	for n := range 100 {
		for _, random := range []float64{0, 0.5, 0.999} {
			d := Backoff(n, random)
			require.GreaterOrEqual(t, d, backoffBase/2)
			require.LessOrEqual(t, d, backoffLimit)
		}
	}
}
