package afretry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against repeats above the ratio and extra in any sliding window.
func TestWindowBoundsRepeats(t *testing.T) {
	w := RetryWindow{RetryRatio: 0.2, ExtraRetries: 2, Length: 10 * time.Second}
	now := time.Unix(1000, 0)
	var repeats []time.Time
	var requests []time.Time
	for i := range 600 {
		now = now.Add(50 * time.Millisecond)
		if i%3 == 0 {
			w.CountRequest(now)
			requests = append(requests, now)
		}
		if w.TakeRetry(now) {
			repeats = append(repeats, now)
		}
		in := 0
		for _, r := range repeats {
			if now.Sub(r) < w.Length {
				in++
			}
		}
		near := 0
		for _, r := range requests {
			if now.Sub(r) < w.Length+w.Length/5 {
				near++
			}
		}
		require.LessOrEqual(t, float64(in), 0.2*float64(near)+2)
	}
	require.Greater(t, len(repeats), 20)
}
