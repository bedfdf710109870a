package afkeeper

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a large fleet in which the holder's views come so seldom that every VM takes it for silent.
func TestViewsComeBeforeSilence(t *testing.T) {
	for _, vms := range []int{1, 6, 24, 59, 91, 300, 1000} {
		s := &Service{Listed: func() int { return vms }}
		require.GreaterOrEqual(t, s.silence(), 2*stretch(viewPeriod, vms), "%d VMs", vms)
		require.LessOrEqual(t, s.silence(), maxSilence)
		require.GreaterOrEqual(t, stretch(beatLife, vms), 3*stretch(beatPeriod, vms), "%d VMs", vms)
	}
	require.Equal(t, viewPeriod, stretch(viewPeriod, 6))
	require.LessOrEqual(t, stretch(viewPeriod, 91), time.Second)
}
