package afmeasure

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

var smallDeployment = deployment{name: "small", runnerCount: 3, modelCount: 12, adapterCount: 4, loadsPerSecond: 2.5, peakSessionsPerHour: 10, customerCount: 3}

// TestMeasure guards against a simulated day that differs between runs with the same seed, and against a policy change
// that misses the targets for cold starts and idle accelerator time on a small deployment.
func TestMeasure(t *testing.T) {
	r := measureDay(smallDeployment, policies[0], 1, false)
	line := r.formatLine("policy")
	repeated := measureDay(smallDeployment, policies[0], 1, false)
	require.Equal(t, line, repeated.formatLine("policy"))
	fixedResult := measureDay(smallDeployment, policies[1], 1, false)
	require.LessOrEqual(t, 2*r.idleAcceleratorTime, fixedResult.idleAcceleratorTime)
	var ratios []float64
	for _, s := range r.coldStarts {
		if !s.isAdapterOnly {
			ratios = append(ratios, s.bareLoadRatio)
		}
	}
	slices.Sort(ratios)
	require.LessOrEqual(t, quantile(ratios, 0.99), 1.5)
}

// TestMeasureFaults guards against a fault after which the deployment refuses requests for the rest of the day.
func TestMeasureFaults(t *testing.T) {
	r := measureDay(smallDeployment, policies[0], 1, true)
	for _, a := range r.customers {
		require.Less(t, float64(a.refusedRequests), 0.1*float64(a.offeredRequests))
	}
}
