package afhealth

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests to an endpoint that passes its health check and fails its requests, and against an endpoint that
// stays ejected after a successful trial.
func TestFailuresEjectAndTrialRestores(t *testing.T) {
	now := time.Unix(0, 0)
	var tracker Tracker
	for range 3 {
		require.False(t, tracker.IsEjected(now))
		tracker = tracker.WithResult(false, now)
	}
	require.True(t, tracker.IsEjected(now))
	now = now.Add(minEjectionTime)
	require.False(t, tracker.IsEjected(now))
	require.True(t, tracker.IsTrialDue(now))
	tracker = tracker.WithTrialStarted()
	require.True(t, tracker.IsEjected(now), "a second request during the trial")
	failed := tracker.WithResult(false, now)
	require.True(t, failed.IsEjected(now.Add(minEjectionTime)), "a failed trial doubles the ejection")
	require.False(t, tracker.WithResult(true, now).IsEjected(now))
}

// Guards against the ejection of an endpoint whose application answers some requests with an error.
func TestRareErrorsDoNotEject(t *testing.T) {
	now := time.Unix(0, 0)
	var tracker Tracker
	for i := range 100 {
		tracker = tracker.WithResult(i%4 != 0, now)
		require.False(t, tracker.IsEjected(now))
	}
}
