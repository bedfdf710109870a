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
		Engine{ID: "a", Held: held("m0")}, Engine{ID: "b", Busy: true, Loading: "m1", FromStore: true, Free: 2 * time.Second},
		Engine{ID: "c", Busy: true, Loading: "m2", Free: time.Second, Disk: []string{"m7"}},
	)
	v.StoreStarts = 0
	v.Demand = []Demand{
		{Model: "m0", Waiting: 9, Fresh: 9},
		{Model: "m1", Waiting: 9, Fresh: 9},
		{Model: "m4", Waiting: 2, Fresh: 2},
		{Model: "m5", Waiting: 5, Fresh: 5},
		{Model: "m7", Waiting: 1, Fresh: 1},
		{Model: "m8", Waiting: 1, Fresh: 1},
	}
	d := Plan(v)
	// Four loads of six seconds at once, so that one begins each 1.5 s.
	require.Equal(t, map[string]time.Duration{
		"m5": 6 * time.Second, "m4": 7500 * time.Millisecond, "m8": 9 * time.Second,
	}, d.Queued)
	v.StoreStarts = 10
	require.NotContains(t, Plan(v).Queued, "m5", "a model whose load begins or may begin at once")
}

// Guards against a model that never gets its turn because its requests are refused and others are asked for more often.
func TestUnservedModelsGetTheirTurn(t *testing.T) {
	v := view(Engine{ID: "a"})
	v.StoreStarts = 1
	v.Demand = []Demand{{Model: "m4", Waiting: 1, Fresh: 1}, {Model: "m5", Waiting: 3, Fresh: 3}}
	require.Equal(t, "m5", Plan(v).Steps[0].Order.Model)
	v.Unserved = map[string]time.Duration{"m4": 30 * time.Second}
	d := Plan(v)
	require.Equal(t, "m4", d.Steps[0].Order.Model)
	v.StoreStarts = 0
	d = Plan(v)
	require.Contains(t, d.Queued, "m5")
	require.NotContains(t, d.Queued, "m4", "its requests wait for their turn")
}
