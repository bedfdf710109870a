package afhealth

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an endpoint that answers its health check and fails its requests.
func TestFailuresTakeOutAndTrialBringsBack(t *testing.T) {
	now := time.Unix(0, 0)
	var h Tracker
	for range 3 {
		require.False(t, h.IsEjected(now))
		h = h.WithResult(false, now)
	}
	require.True(t, h.IsEjected(now))
	now = now.Add(firstPause)
	require.False(t, h.IsEjected(now))
	require.True(t, h.IsTrialDue(now))
	h = h.WithTrialStarted()
	require.True(t, h.IsEjected(now), "one trial at a time")
	failed := h.WithResult(false, now)
	require.True(t, failed.IsEjected(now.Add(firstPause)), "a failed trial doubles the pause")
	require.False(t, h.WithResult(true, now).IsEjected(now))
}

// Guards against taking out an endpoint whose application answers an error now and then.
func TestRareErrorsKeepIn(t *testing.T) {
	now := time.Unix(0, 0)
	var h Tracker
	for i := range 100 {
		h = h.WithResult(i%4 != 0, now)
		require.False(t, h.IsEjected(now))
	}
}
