package afkeeper

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/pkg/afengine"
)

// Guards against a large fleet in which the holder's views come so seldom that every VM takes it for silent.
func TestViewsComeBeforeSilence(t *testing.T) {
	for _, vms := range []int{1, 6, 24, 59, 91, 300, 1000} {
		s := &Service{ListedVMCount: func() int { return vms }}
		require.GreaterOrEqual(t, s.silence(), 2*stretch(viewPeriod, vms), "%d VMs", vms)
		require.LessOrEqual(t, s.silence(), maxSilence)
		require.GreaterOrEqual(t, stretch(beatLife, vms), 3*stretch(beatPeriod, vms), "%d VMs", vms)
	}
	require.Equal(t, viewPeriod, stretch(viewPeriod, 6))
	require.LessOrEqual(t, stretch(viewPeriod, 91), time.Second)
}

// Guards against VMs that let requests wait for a model which the weight store cannot load in time, because the view
// tells of running loads only, and against an estimate that hides a held model or a running load.
func TestSoonNamesQueuedModels(t *testing.T) {
	now := time.Unix(100, 0)
	s := &Service{
		engines: map[string]*state{
			"a": {known: true, report: afengine.Report{Models: []afengine.LoadedModel{{Model: "held"}}}},
			"b": {known: true, loading: "coming", ends: now.Add(2 * time.Second)},
		},
		queued: map[string]time.Time{
			"held": now.Add(9 * time.Second), "coming": now.Add(9 * time.Second), "rare": now.Add(9 * time.Second), "due": now,
		},
	}
	require.Equal(t, map[string]int64{"coming": 2000, "rare": 9000, "due": 0}, s.soon(now))
}
