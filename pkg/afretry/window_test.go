package afretry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against more retries in any sliding window than the ratio and the extra retries allow.
func TestWindowBoundsRetries(t *testing.T) {
	w := RetryWindow{RetryRatio: 0.2, ExtraRetries: 2, Length: 10 * time.Second}
	now := time.Unix(1000, 0)
	var retries []time.Time
	var requests []time.Time
	for i := range 600 {
		now = now.Add(50 * time.Millisecond)
		if i%3 == 0 {
			w.CountRequest(now)
			requests = append(requests, now)
		}
		if w.TakeRetry(now) {
			retries = append(retries, now)
		}
		retriesInWindow := 0
		for _, r := range retries {
			if now.Sub(r) < w.Length {
				retriesInWindow++
			}
		}
		requestsNearWindow := 0
		for _, r := range requests {
			if now.Sub(r) < w.Length+w.Length/5 {
				requestsNearWindow++
			}
		}
		require.LessOrEqual(t, float64(retriesInWindow), 0.2*float64(requestsNearWindow)+2)
	}
	require.Greater(t, len(retries), 20)
}

// Guards against a budget that shrinks by retries that were taken and not sent.
func TestReturnedRetryCanBeTakenAgain(t *testing.T) {
	w := RetryWindow{ExtraRetries: 1, Length: time.Second}
	now := time.Unix(1000, 0)
	w.ReturnRetry(now)
	require.True(t, w.TakeRetry(now))
	require.False(t, w.TakeRetry(now))
	w.ReturnRetry(now)
	require.True(t, w.TakeRetry(now.Add(500*time.Millisecond)))
	require.False(t, w.TakeRetry(now.Add(500*time.Millisecond)))
}

// Guards against more retries in a window than it allows, because a returned one frees the place of a later one that was sent.
func TestReturnedRetryFreesItsOwnPlace(t *testing.T) {
	w := RetryWindow{ExtraRetries: 2, Length: 10 * time.Second}
	at := func(seconds float64) time.Time {
		return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
	}
	require.True(t, w.TakeRetry(at(0)))
	require.True(t, w.TakeRetry(at(9)))
	w.ReturnRetry(at(0))
	require.True(t, w.TakeRetry(at(9.5)))
	require.False(t, w.TakeRetry(at(11.5)), "two were sent in the last ten seconds")
	w.ReturnRetry(at(-20))
	require.False(t, w.TakeRetry(at(11.5)), "a retry that has left the window was returned")
}

// Guards against requests that wait for a retry which the window does not allow in time, or that are refused although it does.
func TestTimeUntilRetry(t *testing.T) {
	start := time.Unix(1000, 0)
	w := &RetryWindow{ExtraRetries: 2, Length: 10 * time.Second}
	require.Zero(t, w.TimeUntilRetry(start))
	require.True(t, w.TakeRetryWithin(start, 0.5))
	require.False(t, w.TakeRetryWithin(start, 0.5), "the other half is for others")
	require.True(t, w.TakeRetry(start.Add(3*time.Second)))
	now := start.Add(3 * time.Second)
	wait := w.TimeUntilRetry(now)
	require.Positive(t, wait)
	require.False(t, w.TakeRetry(now.Add(wait-time.Millisecond)))
	require.True(t, w.TakeRetry(now.Add(wait)))
	require.LessOrEqual(t, w.TimeUntilRetry(now.Add(wait)), 11*time.Second)
}

// Guards against a request that waits as long as it is told and finds the window used up again.
func TestRetryIsAllowedAfterTimeUntilRetry(t *testing.T) {
	const bucket = time.Second / windowBuckets
	for offset := range bucket / time.Millisecond {
		now := time.Unix(1000, 0).Add(offset * time.Millisecond)
		w := RetryWindow{ExtraRetries: 1, Length: time.Second}
		require.True(t, w.TakeRetry(now))
		require.True(t, w.TakeRetry(now.Add(w.TimeUntilRetry(now))), "%d ms after the begin of a bucket", offset)
	}
}
