// Package afmeasure measures the placement policy, the customers' limits and the fair queue by simulation. For the
// placement policy, a simulated day with seeded arrivals gives cold starts, idle accelerator time, waiting times and
// refusals of each deployment, for the policy and for baseline policies.
package afmeasure

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afplacement"
)

// deployment describes a fleet of runners with its models and customers. Model sizes, load times, popularity and the
// contents of caches are assumptions.
type deployment struct {
	name                string
	runnerCount         int
	modelCount          int
	adapterCount        int
	loadsPerSecond      float64
	peakSessionsPerHour float64 // sessions of all models together
	customerCount       int
}

var deployments = []deployment{
	{name: "fuqaa", runnerCount: 9, modelCount: 50, adapterCount: 40, loadsPerSecond: 2.5, peakSessionsPerHour: 60, customerCount: 5},
	{name: "umurongo", runnerCount: 12, modelCount: 65, adapterCount: 75, loadsPerSecond: 3.5, peakSessionsPerHour: 80, customerCount: 5},
}

const (
	runnerMemoryMB       = 80_000
	runnerSlots          = 32
	storeParallelLoads   = 4  // loads that the weight store serves at full speed at once
	maxMemoryCheckpoints = 4  // checkpoints that the host memory of a runner holds
	maxDiskCheckpoints   = 16 // checkpoints that the disk of a runner holds
)

// buildConfig returns the configuration of the deployment and the initial cache contents by runner.
func (d deployment) buildConfig(r *rand.Rand) (afplacement.Config, map[string]*checkpointCache) {
	cfg := afplacement.Config{
		Service: arbutusfork.Service{Name: d.name, LoadsPerSecond: d.loadsPerSecond, ParallelLoads: storeParallelLoads, Policy: arbutusfork.PlacementPolicy{MaxReplicas: 2}},
		Models:  make(map[string]arbutusfork.Model), Endpoints: make(map[string]arbutusfork.Endpoint), ShardCount: 1,
	}
	for i := range d.modelCount {
		gb := []int64{4, 8, 8, 16, 16, 28, 40}[r.IntN(7)]
		cfg.Models[modelName(i)] = arbutusfork.Model{
			Name: modelName(i), Service: d.name, MemoryMB: gb * 1000,
			// The weight store delivers 1 GB/s to one load, a disk 3 GB/s and host memory 16 GB/s.
			StoreLoadMillis: 500 + gb*1000, DiskLoadMillis: 500 + gb*333, MemoryLoadMillis: 500 + gb*62,
		}
	}
	for i := range d.adapterCount {
		name := fmt.Sprintf("%s:x%02d", modelName(i%(d.modelCount/3)), i)
		load := int64(5 + r.IntN(10))
		cfg.Models[name] = arbutusfork.Model{Name: name, Service: d.name, MemoryMB: 200, StoreLoadMillis: load, DiskLoadMillis: load, MemoryLoadMillis: load}
	}
	caches := make(map[string]*checkpointCache)
	for i := range d.runnerCount {
		name := fmt.Sprintf("r%02d", i)
		cfg.Endpoints[name] = arbutusfork.Endpoint{
			Name: name, Service: d.name, Address: "127.0.0.1:1", MemoryMB: runnerMemoryMB, Accelerators: 1, Slots: runnerSlots,
			EnforcesFence: i%2 == 0,
		}
		c := &checkpointCache{}
		// Some runners start with many cached checkpoints and some with almost none.
		for range r.IntN(maxDiskCheckpoints) {
			c.recordUse(modelName(r.IntN(d.modelCount)))
		}
		c.inMemory = c.inMemory[:min(len(c.inMemory), r.IntN(maxMemoryCheckpoints+1))]
		caches[name] = c
	}
	return cfg, caches
}

func modelName(i int) string { return fmt.Sprintf("m%02d", i) }

// checkpointCache holds the checkpoints in the host memory and on the disk of a runner, the most recently used one first.
type checkpointCache struct {
	inMemory, onDisk []string
}

// recordUse moves the checkpoint of the model to the front of both tiers.
func (c *checkpointCache) recordUse(model string) {
	c.inMemory = moveToFront(c.inMemory, model, maxMemoryCheckpoints)
	c.onDisk = moveToFront(c.onDisk, model, maxDiskCheckpoints)
}

// moveToFront returns list with model in front, cut to limit entries.
func moveToFront(list []string, model string, limit int) []string {
	out := []string{model}
	for _, m := range list {
		if m != model && len(out) < limit {
			out = append(out, m)
		}
	}
	return out
}

// listTiers returns the nearest tier of each cached checkpoint, as in the status of an endpoint.
func (c *checkpointCache) listTiers() afplacement.Cache {
	out := make(afplacement.Cache)
	for _, m := range c.onDisk {
		out[m] = "disk"
	}
	for _, m := range c.inMemory {
		out[m] = "memory"
	}
	return out
}

// request is one request of the simulated day.
type request struct {
	arrivesAt     time.Duration // time since midnight
	model         string
	customerIndex int
	runDuration   time.Duration
}

// generateArrivals returns the requests of a day in order of arrival. Each session is one customer's use of one model.
// Sessions peak around 9:00 with short requests and around 19:00 with long ones, and some start with a burst.
func (d deployment) generateArrivals(r *rand.Rand, cfg afplacement.Config) []request {
	names := make([]string, 0, len(cfg.Models))
	for i := range d.modelCount {
		names = append(names, modelName(i))
	}
	adapters := make(map[string][]string)
	for i := range d.adapterCount {
		base := modelName(i % (d.modelCount / 3))
		adapters[base] = append(adapters[base], fmt.Sprintf("%s:x%02d", base, i))
	}
	zipf := rand.NewZipf(r, 1.3, 3, uint64(d.modelCount-1))
	var out []request
	for at := time.Duration(0); at < 24*time.Hour; {
		hour := at.Hours()
		demand := 0.05 + peakDemand(hour, 9) + peakDemand(hour, 19)
		at += time.Duration(r.ExpFloat64() / (d.peakSessionsPerHour * demand) * float64(time.Hour))
		model := names[zipf.Uint64()]
		if list := adapters[model]; len(list) > 0 && r.IntN(3) == 0 {
			model = list[r.IntN(len(list))]
		}
		out = append(out, d.generateSession(r, at, model, hour)...)
	}
	out = append(out, d.generateOverload(r, names)...)
	slices.SortStableFunc(out, func(a, b request) int { return cmp.Compare(a.arrivesAt, b.arrivesAt) })
	return out
}

// generateSession returns the requests of one session. One session in four starts with a burst.
func (d deployment) generateSession(r *rand.Rand, at time.Duration, model string, hour float64) []request {
	customer := min(int(r.ExpFloat64()*1.5), d.customerCount-1)
	runDuration := time.Second
	if hour > 14 {
		runDuration = 6 * time.Second
	}
	var out []request
	if r.IntN(4) == 0 {
		for range 6 * (1 + r.IntN(3)) {
			out = append(out, request{arrivesAt: at + time.Duration(r.IntN(100))*time.Millisecond, model: model, customerIndex: customer, runDuration: runDuration})
		}
	}
	for range 1 + int(r.ExpFloat64()*8) {
		out = append(out, request{arrivesAt: at, model: model, customerIndex: customer, runDuration: time.Duration(float64(runDuration) * (0.5 + r.ExpFloat64()))})
		at += time.Duration(r.ExpFloat64() * 20 * float64(time.Second))
	}
	return out
}

// generateOverload returns ten minutes of requests at several times the rate of the last customer, for a popular model.
func (d deployment) generateOverload(r *rand.Rand, names []string) []request {
	var out []request
	for at := 11 * time.Hour; at < 11*time.Hour+10*time.Minute; {
		at += time.Duration(r.ExpFloat64() * 100 * float64(time.Millisecond))
		out = append(out, request{arrivesAt: at, model: names[1], customerIndex: d.customerCount - 1, runDuration: time.Second})
	}
	return out
}

// peakDemand returns the demand at the hour due to a peak at peakHour. Demand is 1 at the peak and half two hours away.
func peakDemand(hour, peakHour float64) float64 {
	x := (hour - peakHour) / 2
	return 1 / (1 + x*x*x*x)
}
