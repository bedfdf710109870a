package afgateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/internal/afkeeper"
	"arbutusfork.example/arbutusfork/pkg/afroute"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

// Guards against a VM that spends an equal share of a customer's limit although the holder, which answers for the whole limit,
// has granted it nothing, and against a VM that spends nothing after the holder fell silent.
func TestVMWithoutGrantAsksTheHolder(t *testing.T) {
	s := &Server{Timer: &aftimer.Service{}}
	now := time.Unix(100, 0)
	s.Timer.AdvanceTo(now)
	c := afroute.Customer{Name: "c", RatePerSecond: 1000, Burst: 10000}
	s.SetGrants(nil)
	for range 5 {
		_, ok := s.limits.takeUnits(c, 10, 0.5, now)
		require.False(t, ok)
		now = now.Add(300 * time.Millisecond)
	}
	now = now.Add(grantTimeout)
	s.Timer.AdvanceTo(now)
	_, ok := s.limits.takeUnits(c, 10, 0.5, now)
	require.True(t, ok, "the holder is silent")
	s.SetGrants(map[string]afkeeper.LimitGrant{"c": {AvailableUnits: 100, RateFraction: 0.1}})
	_, ok = s.limits.takeUnits(c, 80, 0.5, now)
	require.True(t, ok)
	s.SetGrants(nil)
	_, ok = s.limits.takeUnits(c, 10, 0.5, now)
	require.False(t, ok, "the grant was taken back")
}
