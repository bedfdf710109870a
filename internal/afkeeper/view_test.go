package afkeeper

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/pkg/afengine"
)

// Guards against a large fleet in which the interval between views is so long that VMs treat the holder as silent.
func TestViewIntervalIsBelowSilenceTimeout(t *testing.T) {
	for _, vms := range []int{1, 6, 24, 59, 91, 300, 1000} {
		s := &Service{ListedVMCount: func() int { return vms }}
		require.GreaterOrEqual(t, s.holderSilenceTimeout(), 2*scaleInterval(viewInterval, vms), "%d VMs", vms)
		require.LessOrEqual(t, s.holderSilenceTimeout(), maxHolderSilence)
		require.GreaterOrEqual(t, scaleInterval(maxVMReportAge, vms), 3*scaleInterval(vmReportInterval, vms), "%d VMs", vms)
	}
	require.Equal(t, viewInterval, scaleInterval(viewInterval, 6))
	require.LessOrEqual(t, scaleInterval(viewInterval, 91), time.Second)
}

// Guards against views without the models that are queued for the weight store: VMs would let requests wait for a model that
// cannot be loaded in time. A queued entry must not replace that of a loaded model or of a load in progress.
func TestLoadDelaysIncludeQueuedModels(t *testing.T) {
	now := time.Unix(100, 0)
	s := &Service{
		engines: map[string]*engineState{
			"a": {isReportKnown: true, report: afengine.Report{Models: []afengine.LoadedModel{{Model: "held"}}}},
			"b": {isReportKnown: true, loadingModel: "coming", loadEndsAt: now.Add(2 * time.Second)},
		},
		queuedLoadsReadyAt: map[string]time.Time{
			"held": now.Add(9 * time.Second), "coming": now.Add(9 * time.Second), "rare": now.Add(9 * time.Second), "due": now,
		},
	}
	require.Equal(t, map[string]int64{"coming": 2000, "rare": 9000, "due": 0}, s.loadDelays(now))
}
