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
	// Seed selects the day. Zero means one.
	Seed uint64
	// DeploymentName restricts the run to one deployment. Empty means all.
	DeploymentName string
	// MaxParallelDays bounds the days that run at once. Zero means two.
	MaxParallelDays int
}

// policy is a named rule set.
type policy struct {
	name string
	rule afplacement.PolicyOverrides
	// idle is the cost of an idle accelerator-second. Zero means the default.
	idle float64
}

// keepAlive is the fixed time after which the baseline unloads an idle replica.
const keepAlive = 10 * time.Minute

func lru(h afplacement.IdleReplica) float64 { return -h.IdleTime.Seconds() }

func fixed(d time.Duration) func(afplacement.IdleReplica) bool {
	return func(h afplacement.IdleReplica) bool { return h.IdleTime < d }
}

// poisson keeps a replica if the chance of an arrival within the break-even time exceeds the threshold, for
// arrivals that are Poisson with the rate of the recent window.
func poisson(threshold, cold float64) func(afplacement.IdleReplica) bool {
	return func(h afplacement.IdleReplica) bool {
		breakEven := h.LoadTime.Seconds() * cold / h.HoldingCost
		return h.IdleTime < 10*time.Second || 1-math.Exp(-h.RecentRate*breakEven) > threshold
	}
}

// rate keeps a replica while the estimated rate of arrivals times the cold start exceeds the cost of holding.
func rate(h afplacement.IdleReplica) bool {
	return h.IdleTime < 10*time.Second || h.ColdStartSaving >= h.HoldingCost
}

var policies = []policy{
	{name: "policy"},
	{name: "fixed 10 min, LRU", rule: afplacement.PolicyOverrides{KeepReplica: fixed(keepAlive), EvictionValue: lru}},
	{name: "fixed 5 min, LRU", rule: afplacement.PolicyOverrides{KeepReplica: fixed(keepAlive / 2), EvictionValue: lru}},
	{name: "fixed 2 min, LRU", rule: afplacement.PolicyOverrides{KeepReplica: fixed(keepAlive / 5), EvictionValue: lru}},
	{name: "blind to caches", rule: afplacement.PolicyOverrides{IgnoreCaches: true}},
	{name: "arrival rate", idle: 0.1, rule: afplacement.PolicyOverrides{KeepReplica: rate}},
	{name: "Poisson, P > 0.5", rule: afplacement.PolicyOverrides{KeepReplica: poisson(0.5, 1)}},
	{name: "Poisson, P > 0.8", rule: afplacement.PolicyOverrides{KeepReplica: poisson(0.8, 1)}},
}

// RunPlacement measures every policy on a seeded day of each deployment, without and with faults, and prints a table.
func RunPlacement(w io.Writer, cfg PlacementConfig) error {
	seed := max(cfg.Seed, 1)
	type job struct {
		d      deployment
		p      policy
		faults bool
		line   chan string
	}
	var jobs []*job
	for _, d := range deployments {
		for _, faults := range []bool{false, true} {
			for _, p := range policies {
				if cfg.DeploymentName == "" || cfg.DeploymentName == d.name {
					jobs = append(jobs, &job{d: d, p: p, faults: faults, line: make(chan string, 1)})
				}
			}
		}
	}
	limit := make(chan struct{}, max(cfg.MaxParallelDays, 2))
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		for _, j := range jobs {
			limit <- struct{}{}
			wg.Go(func() {
				j.line <- measure(j.d, j.p, seed, j.faults).line(j.p.name)
				<-limit
			})
		}
	})
	last := ""
	for _, j := range jobs {
		title := fmt.Sprintf("%s, seed %d, faults: %v", j.d.name, seed, j.faults)
		if title != last {
			if _, err := fmt.Fprintf(w, "\n%s\n%s\n", title, header); err != nil {
				return err
			}
			last = title
		}
		if _, err := fmt.Fprintln(w, <-j.line); err != nil {
			return err
		}
	}
	return nil
}

// measure runs one day.
func measure(d deployment, p policy, seed uint64, faults bool) *result {
	r := rand.New(rand.NewPCG(seed, 1))
	cfg, caches := d.build(r)
	arrivals := d.day(r, cfg)
	cfg.Overrides, cfg.Service.Policy.IdleCost = p.rule, p.idle
	l := &loop{
		cfg: cfg, runners: make(map[string]*runner), waiting: make(map[string][]*request), running: make(map[string]int),
		served: make(map[string]int), cold: make(map[string]coldStart), store: store{loads: d.loads, slow: 1},
	}
	for name, c := range caches {
		l.runners[name] = &runner{cache: c, models: make(map[string]string)}
	}
	if faults {
		l.plan()
	}
	l.day(arrivals)
	return &l.result
}

// plan schedules the day's faults: a platform outage, a slow weight store, a runner that dies and comes back, and
// one that leaves.
func (l *loop) plan() {
	l.at(8*time.Hour+30*time.Minute, func() { l.down = true })
	l.at(8*time.Hour+35*time.Minute, func() { l.down = false })
	l.at(10*time.Hour, func() { l.store.progress(l); l.store.slow = 4; l.store.schedule(l) })
	l.at(11*time.Hour, func() { l.store.progress(l); l.store.slow = 1; l.store.schedule(l) })
	l.at(18*time.Hour, func() { l.account(); l.runners["r01"].dead = true; l.runners["r01"].models = map[string]string{} })
	l.at(18*time.Hour+5*time.Minute, func() { l.runners["r01"].dead = false })
	l.at(20*time.Hour, func() { l.runners["r02"].leaving = true })
}
