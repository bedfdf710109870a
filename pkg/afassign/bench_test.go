package afassign

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkPlan measures one call of PlanOrders for the sizes of the current and of the grown deployment.
func BenchmarkPlan(b *testing.B) {
	b.Run("today", func(b *testing.B) { benchmarkPlan(b, 12, 65) })
	b.Run("grown", func(b *testing.B) { benchmarkPlan(b, 60, 353) })
}

func benchmarkPlan(b *testing.B, engines, models int) {
	random := rand.New(rand.NewPCG(1, 1))
	v := Snapshot{EngineSpec: newEngineSpec(models), MaxStoreLoads: 4, StoreLoadBudget: 100, MaxReplicaTokenRate: 10000}
	for i := range engines {
		e := Engine{ID: fmt.Sprint("e", i), LoadedModels: heldModels(modelName(random.IntN(models)), modelName(random.IntN(models))), RunningRequests: map[string]int{}}
		for range 20 {
			e.ModelsOnDisk = append(e.ModelsOnDisk, modelName(random.IntN(models)))
		}
		v.Engines = append(v.Engines, e)
	}
	for i := range models {
		v.Demand = append(v.Demand, Demand{Model: modelName(i), WaitingRequests: random.IntN(2), LongestWait: time.Second, RequestRate: random.Float64()})
	}
	for b.Loop() {
		PlanOrders(v)
	}
}
