package afgateway

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a request that is taken before a stop and cut at its end, and against refusals of requests that end in time.
func TestOnlyRequestsThatEndBeforeStopAreTaken(t *testing.T) {
	now := time.Unix(1000, 0)
	const timeout = 30 * time.Second
	for name, c := range map[string]struct {
		slowest, age, left time.Duration
		others             int
		outlasts           bool
	}{
		"streams of 6 s, 5 s into a grace period of 8 s": {6 * time.Second, 0, 2300 * time.Millisecond, 7, true},
		"streams of 6 s, 2 s into it":                    {6 * time.Second, 0, 5300 * time.Millisecond, 7, true},
		"streams of 3 s, 2 s into it":                    {3 * time.Second, 0, 5300 * time.Millisecond, 7, false},
		"the slow stream was in the window before":       {6 * time.Second, durationWindow, 5300 * time.Millisecond, 7, true},
		"the slow stream is long past":                   {6 * time.Second, 2 * durationWindow, 5300 * time.Millisecond, 7, true},
		"too few answers so far":                         {time.Millisecond, 0, 5300 * time.Millisecond, 0, true},
		"the deadline is before the end":                 {6 * time.Second, 0, 31 * time.Second, 7, false},
	} {
		var s stopState
		for range c.others {
			s.recordAnswer("talk", time.Millisecond, now.Add(-c.age))
		}
		s.recordAnswer("talk", c.slowest, now.Add(-c.age))
		require.False(t, s.mayOutlast("talk", now.Add(timeout), now), name)
		s.abortAt = now.Add(c.left)
		require.Equal(t, c.outlasts, s.mayOutlast("talk", now.Add(timeout), now), name)
	}
}

// Guards against memory that is used up by the names of routes that were removed.
func TestRemovedRoutesAreForgotten(t *testing.T) {
	var s stopState
	now := time.Unix(1000, 0)
	for i := range 1000 {
		now = now.Add(time.Second)
		s.recordAnswer(strconv.Itoa(i), time.Second, now)
	}
	require.LessOrEqual(t, len(s.slowestByRoute), int(2*durationWindow/time.Second)+1)
}
