package afassign

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkPlan measures one plan for today's and for the grown deployments.
func BenchmarkPlan(b *testing.B) {
	b.Run("today", func(b *testing.B) { benchmarkPlan(b, 12, 65) })
	b.Run("grown", func(b *testing.B) { benchmarkPlan(b, 60, 353) })
}

func benchmarkPlan(b *testing.B, engines, models int) {
	random := rand.New(rand.NewPCG(1, 1))
	v := View{Spec: spec(models), StoreLoads: 4, StoreStarts: 100, EngineWork: 10000}
	for i := range engines {
		e := Engine{ID: fmt.Sprint("e", i), Held: held(name(random.IntN(models)), name(random.IntN(models))), Running: map[string]int{}}
		for range 20 {
			e.Disk = append(e.Disk, name(random.IntN(models)))
		}
		v.Engines = append(v.Engines, e)
	}
	for i := range models {
		v.Demand = append(v.Demand, Demand{Model: name(i), Waiting: random.IntN(2), Oldest: time.Second, Rate: random.Float64()})
	}
	for b.Loop() {
		Plan(v)
	}
}
