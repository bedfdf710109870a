package afmeasure

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"arbutusfork.example/arbutusfork/pkg/afplacement"
)

// PlacementConfig selects what RunPlacement measures.
type PlacementConfig struct {
	// Seed is the seed of the generated arrivals. Zero means 1.
	Seed uint64
	// DeploymentName restricts the run to one deployment. Empty means all.
	DeploymentName string
	// MaxParallelDays limits the days that are simulated at once. Values below 2 mean 2.
	MaxParallelDays int
}

// policy is a placement policy under measurement.
type policy struct {
	name      string
	overrides afplacement.PolicyOverrides
	// idleCost is the cost of one second of an idle accelerator. Zero means the default.
	idleCost float64
}

// baselineIdleTimeout is the idle time after which the baseline policy unloads a replica.
const baselineIdleTimeout = 10 * time.Minute

// lruEvictionValue makes the least recently used replica the first to be evicted.
func lruEvictionValue(replica afplacement.IdleReplica) float64 { return -replica.IdleTime.Seconds() }

// keepFixedTime keeps a replica until it has been idle for idleTimeout.
func keepFixedTime(idleTimeout time.Duration) func(afplacement.IdleReplica) bool {
	return func(h afplacement.IdleReplica) bool { return h.IdleTime < idleTimeout }
}

// keepByPoissonChance keeps a replica if the probability of an arrival within the break-even time exceeds the threshold.
// Arrivals are assumed to be a Poisson process with the recent arrival rate.
func keepByPoissonChance(threshold, coldStartCost float64) func(afplacement.IdleReplica) bool {
	return func(h afplacement.IdleReplica) bool {
		breakEven := h.LoadTime.Seconds() * coldStartCost / h.HoldingCost
		return h.IdleTime < 10*time.Second || 1-math.Exp(-h.RecentRate*breakEven) > threshold
	}
}

// keepByArrivalRate keeps a replica while the expected saving of cold starts is at least the cost of holding the replica.
func keepByArrivalRate(replica afplacement.IdleReplica) bool {
	return replica.IdleTime < 10*time.Second || replica.ColdStartSaving >= replica.HoldingCost
}

var policies = []policy{
	{name: "policy"},
	{name: "fixed 10 min, LRU", overrides: afplacement.PolicyOverrides{KeepReplica: keepFixedTime(baselineIdleTimeout), EvictionValue: lruEvictionValue}},
	{name: "fixed 5 min, LRU", overrides: afplacement.PolicyOverrides{KeepReplica: keepFixedTime(baselineIdleTimeout / 2), EvictionValue: lruEvictionValue}},
	{name: "fixed 2 min, LRU", overrides: afplacement.PolicyOverrides{KeepReplica: keepFixedTime(baselineIdleTimeout / 5), EvictionValue: lruEvictionValue}},
	{name: "blind to caches", overrides: afplacement.PolicyOverrides{IgnoreCaches: true}},
	{name: "arrival rate", idleCost: 0.1, overrides: afplacement.PolicyOverrides{KeepReplica: keepByArrivalRate}},
	{name: "Poisson, P > 0.5", overrides: afplacement.PolicyOverrides{KeepReplica: keepByPoissonChance(0.5, 1)}},
	{name: "Poisson, P > 0.8", overrides: afplacement.PolicyOverrides{KeepReplica: keepByPoissonChance(0.8, 1)}},
}

// RunPlacement simulates a seeded day of each deployment for every policy, without and with faults, and prints a table.
func RunPlacement(w io.Writer, cfg PlacementConfig) error {
	seed := max(cfg.Seed, 1)
	type job struct {
		deployment deployment
		policy     policy
		withFaults bool
		line       chan string
	}
	var jobs []*job
	for _, d := range deployments {
		for _, faults := range []bool{false, true} {
			for _, p := range policies {
				if cfg.DeploymentName == "" || cfg.DeploymentName == d.name {
					jobs = append(jobs, &job{deployment: d, policy: p, withFaults: faults, line: make(chan string, 1)})
				}
			}
		}
	}
	parallelDays := make(chan struct{}, max(cfg.MaxParallelDays, 2))
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		for _, j := range jobs {
			parallelDays <- struct{}{}
			wg.Go(func() {
				j.line <- measureDay(j.deployment, j.policy, seed, j.withFaults).formatLine(j.policy.name)
				<-parallelDays
			})
		}
	})
	lastTitle := ""
	for _, j := range jobs {
		title := fmt.Sprintf("%s, seed %d, faults: %v", j.deployment.name, seed, j.withFaults)
		if title != lastTitle {
			if _, err := fmt.Fprintf(w, "\n%s\n%s\n", title, tableHeader); err != nil {
				return err
			}
			lastTitle = title
		}
		if _, err := fmt.Fprintln(w, <-j.line); err != nil {
			return err
		}
	}
	return nil
}

// measureDay simulates one day of the deployment under the policy.
func measureDay(d deployment, p policy, seed uint64, faults bool) *result {
	r := rand.New(rand.NewPCG(seed, 1))
	cfg, caches := d.buildConfig(r)
	arrivals := d.generateArrivals(r, cfg)
	cfg.Overrides, cfg.Service.Policy.IdleCost = p.overrides, p.idleCost
	sim := &simulation{
		cfg: cfg, runners: make(map[string]*runner), waitingRequests: make(map[string][]*request), runningCounts: make(map[string]int),
		arrivalCounts: make(map[string]int), coldStarts: make(map[string]coldStart), weightStore: weightStore{loadsPerSecond: d.loadsPerSecond, slowdown: 1},
	}
	for name, c := range caches {
		sim.runners[name] = &runner{cache: c, modelStates: make(map[string]string)}
	}
	if faults {
		sim.scheduleFaults()
	}
	sim.runDay(arrivals)
	return &sim.result
}

// scheduleFaults schedules the faults of the day: a platform outage, a slow weight store, a runner that crashes and
// restarts, and a runner that leaves.
func (sim *simulation) scheduleFaults() {
	sim.schedule(8*time.Hour+30*time.Minute, func() { sim.isPlatformDown = true })
	sim.schedule(8*time.Hour+35*time.Minute, func() { sim.isPlatformDown = false })
	sim.schedule(10*time.Hour, func() {
		sim.weightStore.advanceTransfers(sim)
		sim.weightStore.slowdown = 4
		sim.weightStore.scheduleNextEnd(sim)
	})
	sim.schedule(11*time.Hour, func() {
		sim.weightStore.advanceTransfers(sim)
		sim.weightStore.slowdown = 1
		sim.weightStore.scheduleNextEnd(sim)
	})
	sim.schedule(18*time.Hour, func() {
		sim.accountIdleTime()
		sim.runners["r01"].isDead = true
		sim.runners["r01"].modelStates = map[string]string{}
	})
	sim.schedule(18*time.Hour+5*time.Minute, func() { sim.runners["r01"].isDead = false })
	sim.schedule(20*time.Hour, func() { sim.runners["r02"].isLeaving = true })
}
