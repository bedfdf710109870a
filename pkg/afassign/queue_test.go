package afassign

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that wait until their deadline for a model that the weight store cannot load in time, and against
// refusing requests for a model that is on a disk or being loaded.
func TestQueuedModels(t *testing.T) {
	v := newSnapshot(
		Engine{ID: "a", LoadedModels: heldModels("m0")}, Engine{ID: "b", IsExecutingOrder: true, LoadingModel: "m1", LoadsFromStore: true, TimeUntilFree: 2 * time.Second},
		Engine{ID: "c", IsExecutingOrder: true, LoadingModel: "m2", TimeUntilFree: time.Second, ModelsOnDisk: []string{"m7"}},
	)
	v.StoreLoadBudget = 0
	v.Demand = []Demand{
		{Model: "m0", WaitingRequests: 9, OnTimeRequests: 9},
		{Model: "m1", WaitingRequests: 9, OnTimeRequests: 9},
		{Model: "m4", WaitingRequests: 2, OnTimeRequests: 2},
		{Model: "m5", WaitingRequests: 5, OnTimeRequests: 5},
		{Model: "m7", WaitingRequests: 1, OnTimeRequests: 1},
		{Model: "m8", WaitingRequests: 1, OnTimeRequests: 1},
	}
	d := PlanOrders(v)
	// Four concurrent loads of 6 s each, so one starts every 1.5 s.
	require.Equal(t, map[string]time.Duration{
		"m5": 6 * time.Second, "m4": 7500 * time.Millisecond, "m8": 9 * time.Second,
	}, d.MinLoadDelays)
	v.StoreLoadBudget = 10
	require.NotContains(t, PlanOrders(v).MinLoadDelays, "m5", "the load of this model can start now")
}

// Guards against a model that is never loaded because its requests are refused and other models are requested more often.
func TestUnservedModelsGetTheirTurn(t *testing.T) {
	v := newSnapshot(Engine{ID: "a"})
	v.StoreLoadBudget = 1
	v.Demand = []Demand{{Model: "m4", WaitingRequests: 1, OnTimeRequests: 1}, {Model: "m5", WaitingRequests: 3, OnTimeRequests: 3}}
	require.Equal(t, "m5", PlanOrders(v).Orders[0].Order.Model)
	v.UnservedDurations = map[string]time.Duration{"m4": 30 * time.Second}
	d := PlanOrders(v)
	require.Equal(t, "m4", d.Orders[0].Order.Model)
	v.StoreLoadBudget = 0
	d = PlanOrders(v)
	require.Contains(t, d.MinLoadDelays, "m5")
	require.NotContains(t, d.MinLoadDelays, "m4", "requests for a model that was unserved for long must not be refused early")
}
