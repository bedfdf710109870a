package afmeasure

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

var small = deployment{name: "small", runners: 3, models: 12, adapters: 4, loads: 2.5, sessions: 10, customers: 3}

// TestMeasure guards against a day that is not reproducible, and against a policy change that misses the targets for
// cold starts and idle accelerator hours on a small deployment.
func TestMeasure(t *testing.T) {
	r := measure(small, policies[0], 1, false)
	line := r.line("policy")
	again := measure(small, policies[0], 1, false)
	require.Equal(t, line, again.line("policy"))
	fixed := measure(small, policies[1], 1, false)
	require.LessOrEqual(t, 2*r.idle, fixed.idle)
	var ratio []float64
	for _, s := range r.starts {
		if !s.adapter {
			ratio = append(ratio, s.ratio)
		}
	}
	slices.Sort(ratio)
	require.LessOrEqual(t, quantile(ratio, 0.99), 1.5)
}

// TestMeasureFaults guards against a fault that stops the service for the rest of the day.
func TestMeasureFaults(t *testing.T) {
	r := measure(small, policies[0], 1, true)
	for _, a := range r.customers {
		require.Less(t, float64(a.refused), 0.1*float64(a.offered))
	}
}
