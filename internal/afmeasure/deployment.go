// Package afmeasure measures the placement policy: it drives the decision code with a seeded day of arrivals for
// each deployment and prints the four measures of the design page for the policy and for baselines.
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

// deployment is a fleet of runners with its models and customers. The counts are those of the design page; sizes,
// load times, popularity and cache contents are assumptions that the report names.
type deployment struct {
	name      string
	runners   int
	models    int
	adapters  int
	loads     float64
	sessions  float64 // sessions is the number of sessions per hour at the peak, over all models.
	customers int
}

var deployments = []deployment{
	{name: "fuqaa", runners: 9, models: 50, adapters: 40, loads: 2.5, sessions: 60, customers: 5},
	{name: "umurongo", runners: 12, models: 65, adapters: 75, loads: 3.5, sessions: 80, customers: 5},
}

const (
	runnerMemory = 80_000 // MB
	runnerSlots  = 32
	storeLoads   = 4 // storeLoads is the number of loads that the weight store serves at full speed.
	// hostCached and diskCached are the numbers of checkpoints that a runner's memory and disk hold.
	hostCached = 4
	diskCached = 16
)

// build returns the configuration of the deployment and the initial cache contents by runner.
func (d deployment) build(r *rand.Rand) (afplacement.Config, map[string]*cache) {
	cfg := afplacement.Config{
		Service: arbutusfork.Service{Name: d.name, LoadsPerSecond: d.loads, ParallelLoads: storeLoads, Policy: arbutusfork.PlacementPolicy{MaxReplicas: 2}},
		Models:  make(map[string]arbutusfork.Model), Endpoints: make(map[string]arbutusfork.Endpoint), ShardCount: 1,
	}
	for i := range d.models {
		gb := []int64{4, 8, 8, 16, 16, 28, 40}[r.IntN(7)]
		cfg.Models[modelName(i)] = arbutusfork.Model{
			Name: modelName(i), Service: d.name, MemoryMB: gb * 1000,
			// The weight store delivers 1 GB/s to one load, a disk 3 GB/s and host memory 16 GB/s.
			StoreLoadMillis: 500 + gb*1000, DiskLoadMillis: 500 + gb*333, MemoryLoadMillis: 500 + gb*62,
		}
	}
	for i := range d.adapters {
		name := fmt.Sprintf("%s:x%02d", modelName(i%(d.models/3)), i)
		load := int64(5 + r.IntN(10))
		cfg.Models[name] = arbutusfork.Model{Name: name, Service: d.name, MemoryMB: 200, StoreLoadMillis: load, DiskLoadMillis: load, MemoryLoadMillis: load}
	}
	caches := make(map[string]*cache)
	for i := range d.runners {
		name := fmt.Sprintf("r%02d", i)
		cfg.Endpoints[name] = arbutusfork.Endpoint{
			Name: name, Service: d.name, Address: "127.0.0.1:1", MemoryMB: runnerMemory, Accelerators: 1, Slots: runnerSlots,
			EnforcesFence: i%2 == 0,
		}
		c := &cache{}
		// Caches are uneven: some runners hold many checkpoints and some nearly none.
		for range r.IntN(diskCached) {
			c.touch(modelName(r.IntN(d.models)))
		}
		c.host = c.host[:min(len(c.host), r.IntN(hostCached+1))]
		caches[name] = c
	}
	return cfg, caches
}

func modelName(i int) string { return fmt.Sprintf("m%02d", i) }

// cache holds the checkpoints that are near a runner, the last used one first.
type cache struct {
	host, disk []string
}

// touch moves the checkpoint to the front of both tiers.
func (c *cache) touch(model string) {
	c.host = front(c.host, model, hostCached)
	c.disk = front(c.disk, model, diskCached)
}

func front(list []string, model string, limit int) []string {
	out := []string{model}
	for _, m := range list {
		if m != model && len(out) < limit {
			out = append(out, m)
		}
	}
	return out
}

// report returns the cache contents in the form of an endpoint's status.
func (c *cache) report() afplacement.Cache {
	out := make(afplacement.Cache)
	for _, m := range c.disk {
		out[m] = "disk"
	}
	for _, m := range c.host {
		out[m] = "memory"
	}
	return out
}

// request is one arrival.
type request struct {
	at       time.Duration // at is the time since midnight.
	model    string
	customer int
	// work is the time that the request runs.
	work time.Duration
}

// day returns the arrivals of a day in order of time. Demand comes in sessions of one customer with one model:
// small requests around 9:00, large ones around 19:00, and now and then a burst at all VMs for an idle model.
func (d deployment) day(r *rand.Rand, cfg afplacement.Config) []request {
	names := make([]string, 0, len(cfg.Models))
	for i := range d.models {
		names = append(names, modelName(i))
	}
	adapters := make(map[string][]string)
	for i := range d.adapters {
		base := modelName(i % (d.models / 3))
		adapters[base] = append(adapters[base], fmt.Sprintf("%s:x%02d", base, i))
	}
	zipf := rand.NewZipf(r, 1.3, 3, uint64(d.models-1))
	var out []request
	for at := time.Duration(0); at < 24*time.Hour; {
		hour := at.Hours()
		level := 0.05 + peak(hour, 9) + peak(hour, 19)
		at += time.Duration(r.ExpFloat64() / (d.sessions * level) * float64(time.Hour))
		model := names[zipf.Uint64()]
		if list := adapters[model]; len(list) > 0 && r.IntN(3) == 0 {
			model = list[r.IntN(len(list))]
		}
		out = append(out, d.session(r, at, model, hour)...)
	}
	out = append(out, d.overload(r, names)...)
	slices.SortStableFunc(out, func(a, b request) int { return cmp.Compare(a.at, b.at) })
	return out
}

// session returns the requests of one session, which starts with a burst in one case of four.
func (d deployment) session(r *rand.Rand, at time.Duration, model string, hour float64) []request {
	customer := min(int(r.ExpFloat64()*1.5), d.customers-1)
	work := time.Second
	if hour > 14 {
		work = 6 * time.Second
	}
	var out []request
	if r.IntN(4) == 0 {
		for range 6 * (1 + r.IntN(3)) {
			out = append(out, request{at: at + time.Duration(r.IntN(100))*time.Millisecond, model: model, customer: customer, work: work})
		}
	}
	for range 1 + int(r.ExpFloat64()*8) {
		out = append(out, request{at: at, model: model, customer: customer, work: time.Duration(float64(work) * (0.5 + r.ExpFloat64()))})
		at += time.Duration(r.ExpFloat64() * 20 * float64(time.Second))
	}
	return out
}

// overload lets the last customer send at several times its rate for ten minutes, to one popular model.
func (d deployment) overload(r *rand.Rand, names []string) []request {
	var out []request
	for at := 11 * time.Hour; at < 11*time.Hour+10*time.Minute; {
		at += time.Duration(r.ExpFloat64() * 100 * float64(time.Millisecond))
		out = append(out, request{at: at, model: names[1], customer: d.customers - 1, work: time.Second})
	}
	return out
}

// peak is the demand of a peak at the hour, which fades within about two hours.
func peak(hour, at float64) float64 {
	x := (hour - at) / 2
	return 1 / (1 + x*x*x*x)
}
