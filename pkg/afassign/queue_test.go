package afassign

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that wait until their deadline for models that the weight store cannot load in time, and
// against an estimate that gives up those that a disk or a running load will serve.
func TestQueuedModels(t *testing.T) {
	v := view(
		Engine{ID: "a", LoadedModels: held("m0")}, Engine{ID: "b", IsExecutingOrder: true, LoadingModel: "m1", LoadsFromStore: true, TimeUntilFree: 2 * time.Second},
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
	// Four loads of six seconds at once, so that one begins each 1.5 s.
	require.Equal(t, map[string]time.Duration{
		"m5": 6 * time.Second, "m4": 7500 * time.Millisecond, "m8": 9 * time.Second,
	}, d.MinLoadDelays)
	v.StoreLoadBudget = 10
	require.NotContains(t, PlanOrders(v).MinLoadDelays, "m5", "a model whose load begins or may begin at once")
}

// Guards against a model that never gets its turn because its requests are refused and others are asked for more often.
func TestUnservedModelsGetTheirTurn(t *testing.T) {
	v := view(Engine{ID: "a"})
	v.StoreLoadBudget = 1
	v.Demand = []Demand{{Model: "m4", WaitingRequests: 1, OnTimeRequests: 1}, {Model: "m5", WaitingRequests: 3, OnTimeRequests: 3}}
	require.Equal(t, "m5", PlanOrders(v).Orders[0].Order.Model)
	v.UnservedDurations = map[string]time.Duration{"m4": 30 * time.Second}
	d := PlanOrders(v)
	require.Equal(t, "m4", d.Orders[0].Order.Model)
	v.StoreLoadBudget = 0
	d = PlanOrders(v)
	require.Contains(t, d.MinLoadDelays, "m5")
	require.NotContains(t, d.MinLoadDelays, "m4", "its requests wait for their turn")
}
