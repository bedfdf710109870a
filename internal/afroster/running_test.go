package afroster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/pkg/afengine"
)

// Guards against an endpoint that stays ejected for good because its trial request ended without a result.
func TestTrialWithoutResultIsRepeated(t *testing.T) {
	now := time.Unix(1000, 0)
	r := &Roster{Now: func() time.Time { return now }}
	r.PutEntry(afengine.EndpointEntry{ID: "i-1", Service: "app"})
	begin := func() *RunningRequest { return r.BeginRequest("i-1", "", "", 0, 0) }
	health := func() (isEjected, isTrialDue bool) {
		e := r.UsableEndpoints("app")[0]
		return e.Health.IsEjected(now), e.Health.IsTrialDue(now)
	}
	other := begin()
	for range 3 {
		begin().End(HealthFailure)
	}
	now = now.Add(time.Minute)
	for range 2 {
		trial := begin()
		other.End(HealthUnaffected)
		isEjected, _ := health()
		require.True(t, isEjected, "another request than the trial ended")
		trial.End(HealthUnaffected)
		isEjected, isTrialDue := health()
		require.False(t, isEjected)
		require.True(t, isTrialDue)
	}
	begin().End(HealthSuccess)
	isEjected, isTrialDue := health()
	require.False(t, isEjected || isTrialDue)
}
