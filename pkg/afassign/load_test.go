package afassign

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afroute"
)

// The load of the test: the assistant of Umurongo on a calm day. A few models get most of the requests, and the others get one
// now and then, each of them a different model.
const (
	loadEngines = 12
	loadModels  = 65
	loadBusy    = 5
	busyPerSec  = 32.0
	rarePerSec  = 4.0
	loadTime    = 60 * time.Second
	loadTick    = 20 * time.Millisecond
	// leadTime is the time before the first request, and planTime the time between two plans.
	leadTime   = 10 * time.Second
	planTime   = 60 * time.Millisecond
	streamTime = 1500 * time.Millisecond
	// busyTarget and rareTarget are the users' targets for the first event, less the time an engine needs for it.
	busyTarget = 600*time.Millisecond - 100*time.Millisecond
	rareTarget = 3*time.Second - 400*time.Millisecond
	// onTime is the part of the requests for which the users state their targets.
	onTime = 0.95
	// demandTime is the time constant of the demand's average.
	demandTime = 4 * time.Second
)

// loadRequest is one request of the load.
type loadRequest struct {
	model string
	at    time.Duration
}

// loadRun plays the load on engines that do what PlanOrders orders.
type loadRun struct {
	spec    afroute.EngineSpec
	engines []Engine
	// done is when each engine's order is carried out, ends when its streams end.
	done    []time.Duration
	order   []*PlannedOrder
	ends    []map[string][]time.Duration
	waiting []loadRequest
	rate    map[string]float64
	now     time.Duration
	random  *rand.Rand
	// late and all count the requests by whether their model is a busy one.
	late, all map[bool]int
}

func newLoadRun(seed uint64) *loadRun {
	r := &loadRun{
		spec:   afroute.EngineSpec{Slots: 64, MemoryMB: 230, AdapterSlots: 8, LoadsPerSecond: 3.4, Models: map[string]afroute.Model{}},
		random: rand.New(rand.NewPCG(seed, 0)), rate: map[string]float64{}, late: map[bool]int{}, all: map[bool]int{},
		done: make([]time.Duration, loadEngines), order: make([]*PlannedOrder, loadEngines),
	}
	for i := range loadModels {
		r.spec.Models[name(i)] = afroute.Model{
			Name: name(i), SizeMB: 72.7, StoreLoadTime: 6 * time.Second, DiskLoadTime: 1200 * time.Millisecond, MemoryLoadTime: 630 * time.Millisecond,
		}
	}
	for i := range loadEngines {
		e := Engine{ID: fmt.Sprintf("e%02d", i), RunningRequests: map[string]int{}}
		// Each model lies on the disks of three engines and is held by one of them if there is room.
		for m := range loadModels {
			if m%loadEngines == i || (m/2)%loadEngines == i || (m*5+3)%loadEngines == i {
				e.ModelsOnDisk = append(e.ModelsOnDisk, name(m))
			}
			if m%loadEngines == i && len(e.LoadedModels) < 3 {
				e.LoadedModels = append(e.LoadedModels, afengine.LoadedModel{Model: name(m)})
			}
		}
		r.engines = append(r.engines, e)
		r.ends = append(r.ends, map[string][]time.Duration{})
	}
	return r
}

func busyModel(model string) bool {
	return slices.Contains([]string{"m0", "m1", "m2", "m3", "m4"}, model)
}

// arrive adds the requests of one tick.
func (r *loadRun) arrive() {
	for m := range r.rate {
		r.rate[m] *= math.Exp(-loadTick.Seconds() / demandTime.Seconds())
	}
	add := func(perSec float64, pick func() int) {
		if r.random.Float64() < perSec*loadTick.Seconds() {
			m := name(pick())
			r.waiting = append(r.waiting, loadRequest{m, r.now})
			r.rate[m] += 1 / demandTime.Seconds()
		}
	}
	add(busyPerSec, func() int { return min(r.random.IntN(loadBusy), r.random.IntN(loadBusy)) })
	add(rarePerSec, func() int { return loadBusy + r.random.IntN(loadModels-loadBusy) })
}

// serve ends streams and starts the requests whose model is held.
func (r *loadRun) serve() {
	for i := range r.engines {
		e := &r.engines[i]
		for m, ends := range r.ends[i] {
			r.ends[i][m] = slices.DeleteFunc(ends, func(t time.Duration) bool { return t <= r.now })
			e.RunningRequests[m] = len(r.ends[i][m])
		}
	}
	r.waiting = slices.DeleteFunc(r.waiting, func(q loadRequest) bool {
		best := -1
		for i, e := range r.engines {
			if afengine.IsLoaded(e.LoadedModels, q.model, "") && !slices.Contains(e.ClosingModels, q.model) &&
				(best < 0 || e.RunningRequests[q.model] < r.engines[best].RunningRequests[q.model]) {
				best = i
			}
		}
		if best < 0 {
			return false
		}
		r.ends[best][q.model] = append(r.ends[best][q.model], r.now+streamTime)
		r.engines[best].RunningRequests[q.model]++
		r.count(q)
		return true
	})
}

// count takes the wait of a request that starts, or that still waits at the end.
func (r *loadRun) count(q loadRequest) {
	busy := busyModel(q.model)
	target := rareTarget
	if busy {
		target = busyTarget
	}
	r.all[busy]++
	if r.now-q.at > target {
		r.late[busy]++
	}
}

// finish carries out the orders whose time has come.
func (r *loadRun) finish() {
	for i := range r.engines {
		e, s := &r.engines[i], r.order[i]
		if s == nil || r.done[i] > r.now {
			if s != nil {
				e.TimeUntilFree = r.done[i] - r.now
			}
			continue
		}
		r.order[i] = nil
		e.IsExecutingOrder, e.LoadingModel, e.LoadsFromStore, e.IsBlocked, e.TimeUntilFree = false, "", false, false, 0
		e.AcceptedOrders++
		if s.Order.IsUnload {
			e.LoadedModels = slices.DeleteFunc(e.LoadedModels, func(h afengine.LoadedModel) bool { return h.Model == s.Order.Model })
			e.ReservedModel = s.MakesRoomFor
			continue
		}
		e.ReservedModel = ""
		e.LoadedModels = append(e.LoadedModels, afengine.LoadedModel{Model: s.Order.Model})
		if !slices.Contains(e.ModelsOnDisk, s.Order.Model) {
			e.ModelsOnDisk = append(e.ModelsOnDisk, s.Order.Model)
		}
	}
}

// plan orders what PlanOrders decides.
func (r *loadRun) plan() {
	v := Snapshot{EngineSpec: r.spec, Engines: slices.Clone(r.engines), MaxStoreLoads: 4, StoreLoadBudget: 17, MaxReplicaTokenRate: 8000}
	demand := map[string]*Demand{}
	for m, rate := range r.rate {
		demand[m] = &Demand{Model: m, RequestRate: rate, PromptTokenRate: rate * 1000}
	}
	for _, q := range r.waiting {
		d := demand[q.model]
		d.WaitingRequests++
		d.LongestWait = max(d.LongestWait, r.now-q.at)
		if r.now-q.at < rareTarget {
			d.OnTimeRequests++
		}
	}
	for _, d := range demand {
		v.Demand = append(v.Demand, *d)
	}
	out := PlanOrders(v)
	for i := range r.engines {
		r.engines[i].ClosingModels = nil
	}
	for _, c := range out.ClosingReplicas {
		i := slices.IndexFunc(r.engines, func(e Engine) bool { return e.ID == c.EngineID })
		r.engines[i].ClosingModels = append(r.engines[i].ClosingModels, c.Model)
	}
	for _, s := range out.Orders {
		i := slices.IndexFunc(r.engines, func(e Engine) bool { return e.ID == s.EngineID })
		e := &r.engines[i]
		r.order[i] = &s
		if s.Order.IsUnload {
			e.IsBlocked, r.done[i] = true, r.now+unloadTime
			continue
		}
		e.IsExecutingOrder, e.LoadingModel, e.LoadsFromStore, r.done[i] = true, s.Order.Model, s.LoadsFromStore, r.now+s.EstimatedDuration
	}
}

// Guards against requests for rare models that wait for seconds although engines with their weights on a disk are idle: a
// model that was asked for once kept its place as if it were busy.
func TestRareModelsAreServedOnTime(t *testing.T) {
	for seed := range uint64(3) {
		r := newLoadRun(seed)
		for r.now = -leadTime; r.now < loadTime; r.now += loadTick {
			if r.now >= 0 {
				r.arrive()
			}
			r.finish()
			r.serve()
			if r.now%planTime == 0 {
				r.plan()
			}
		}
		for _, q := range r.waiting {
			r.count(q)
		}
		for busy, all := range r.all {
			part := 1 - float64(r.late[busy])/float64(all)
			t.Logf("seed %d, busy %v: %.3f of %d in time", seed, busy, part, all)
			require.GreaterOrEqual(t, part, onTime, "seed %d, busy models %v: %d of %d late", seed, busy, r.late[busy], all)
		}
	}
}
