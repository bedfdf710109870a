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

// The simulated load is that of the customer Umurongo's assistant on a calm day: a few models get most of the requests, and
// each of many other models gets a request now and then.
const (
	simEngines    = 12
	simModels     = 65
	simBusyModels = 5
	// busyRequestRate is the number of requests per second for all busy models together.
	busyRequestRate = 32.0
	// rareRequestRate is the number of requests per second for all other models together.
	rareRequestRate = 4.0
	simDuration     = 60 * time.Second
	simTick         = 20 * time.Millisecond
	// warmupDuration is the time before the first request.
	warmupDuration = 10 * time.Second
	// planInterval is the time between two calls of PlanOrders.
	planInterval = 60 * time.Millisecond
	// streamDuration is how long a request occupies its engine.
	streamDuration = 1500 * time.Millisecond
	// busyLatencyTarget is the customer's target for the first event from a busy model, less the time that the engine needs.
	busyLatencyTarget = 600*time.Millisecond - 100*time.Millisecond
	// rareLatencyTarget is the same for the other models.
	rareLatencyTarget = 3*time.Second - 400*time.Millisecond
	// minOnTimeFraction is the fraction of the requests that must meet the latency targets.
	minOnTimeFraction = 0.95
	// demandTimeConstant is the time constant of the exponential average of the request rates.
	demandTimeConstant = 4 * time.Second
)

// simRequest is one simulated request.
type simRequest struct {
	model     string
	arrivedAt time.Duration
}

// simulation runs the simulated load on engines that execute the orders of PlanOrders.
type simulation struct {
	spec    afroute.EngineSpec
	engines []Engine
	// orderEndsAt is when each engine completes its current order.
	orderEndsAt   []time.Duration
	currentOrders []*PlannedOrder
	// streamEndsAt holds when the running streams of each engine end, by model.
	streamEndsAt    []map[string][]time.Duration
	waitingRequests []simRequest
	requestRates    map[string]float64
	now             time.Duration
	random          *rand.Rand
	// lateRequests and totalRequests count the requests, keyed by whether their model is busy.
	lateRequests, totalRequests map[bool]int
}

func newSimulation(seed uint64) *simulation {
	r := &simulation{
		spec:   afroute.EngineSpec{Slots: 64, MemoryMB: 230, AdapterSlots: 8, LoadsPerSecond: 3.4, Models: map[string]afroute.Model{}},
		random: rand.New(rand.NewPCG(seed, 0)), requestRates: map[string]float64{}, lateRequests: map[bool]int{}, totalRequests: map[bool]int{},
		orderEndsAt: make([]time.Duration, simEngines), currentOrders: make([]*PlannedOrder, simEngines),
	}
	for i := range simModels {
		r.spec.Models[modelName(i)] = afroute.Model{
			Name: modelName(i), SizeMB: 72.7, StoreLoadTime: 6 * time.Second, DiskLoadTime: 1200 * time.Millisecond, MemoryLoadTime: 630 * time.Millisecond,
		}
	}
	for i := range simEngines {
		e := Engine{ID: fmt.Sprintf("e%02d", i), RunningRequests: map[string]int{}}
		// Each model is on the disks of up to three engines. One of them holds it if fewer than three models are loaded there.
		for m := range simModels {
			if m%simEngines == i || (m/2)%simEngines == i || (m*5+3)%simEngines == i {
				e.ModelsOnDisk = append(e.ModelsOnDisk, modelName(m))
			}
			if m%simEngines == i && len(e.LoadedModels) < 3 {
				e.LoadedModels = append(e.LoadedModels, afengine.LoadedModel{Model: modelName(m)})
			}
		}
		r.engines = append(r.engines, e)
		r.streamEndsAt = append(r.streamEndsAt, map[string][]time.Duration{})
	}
	return r
}

func isBusyModel(model string) bool {
	return slices.Contains([]string{"m0", "m1", "m2", "m3", "m4"}, model)
}

// addArrivals decays the request rates and adds the requests of one tick.
func (r *simulation) addArrivals() {
	for m := range r.requestRates {
		r.requestRates[m] *= math.Exp(-simTick.Seconds() / demandTimeConstant.Seconds())
	}
	addRequest := func(requestRate float64, pickModel func() int) {
		if r.random.Float64() < requestRate*simTick.Seconds() {
			m := modelName(pickModel())
			r.waitingRequests = append(r.waitingRequests, simRequest{m, r.now})
			r.requestRates[m] += 1 / demandTimeConstant.Seconds()
		}
	}
	addRequest(busyRequestRate, func() int { return min(r.random.IntN(simBusyModels), r.random.IntN(simBusyModels)) })
	addRequest(rareRequestRate, func() int { return simBusyModels + r.random.IntN(simModels-simBusyModels) })
}

// startRequests ends the completed streams and starts the waiting requests whose model an engine holds.
func (r *simulation) startRequests() {
	for i := range r.engines {
		e := &r.engines[i]
		for m, ends := range r.streamEndsAt[i] {
			r.streamEndsAt[i][m] = slices.DeleteFunc(ends, func(t time.Duration) bool { return t <= r.now })
			e.RunningRequests[m] = len(r.streamEndsAt[i][m])
		}
	}
	r.waitingRequests = slices.DeleteFunc(r.waitingRequests, func(q simRequest) bool {
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
		r.streamEndsAt[best][q.model] = append(r.streamEndsAt[best][q.model], r.now+streamDuration)
		r.engines[best].RunningRequests[q.model]++
		r.countRequest(q)
		return true
	})
}

// countRequest counts a request that starts now, or that still waits at the end of the simulation.
func (r *simulation) countRequest(q simRequest) {
	busy := isBusyModel(q.model)
	target := rareLatencyTarget
	if busy {
		target = busyLatencyTarget
	}
	r.totalRequests[busy]++
	if r.now-q.arrivedAt > target {
		r.lateRequests[busy]++
	}
}

// completeOrders applies the orders that end now.
func (r *simulation) completeOrders() {
	for i := range r.engines {
		e, s := &r.engines[i], r.currentOrders[i]
		if s == nil || r.orderEndsAt[i] > r.now {
			if s != nil {
				e.TimeUntilFree = r.orderEndsAt[i] - r.now
			}
			continue
		}
		r.currentOrders[i] = nil
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

// applyPlan calls PlanOrders and starts the orders that it returns.
func (r *simulation) applyPlan() {
	v := Snapshot{EngineSpec: r.spec, Engines: slices.Clone(r.engines), MaxStoreLoads: 4, StoreLoadBudget: 17, MaxReplicaTokenRate: 8000}
	demand := map[string]*Demand{}
	for m, rate := range r.requestRates {
		demand[m] = &Demand{Model: m, RequestRate: rate, PromptTokenRate: rate * 1000}
	}
	for _, q := range r.waitingRequests {
		d := demand[q.model]
		d.WaitingRequests++
		d.LongestWait = max(d.LongestWait, r.now-q.arrivedAt)
		if r.now-q.arrivedAt < rareLatencyTarget {
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
		r.currentOrders[i] = &s
		if s.Order.IsUnload {
			e.IsBlocked, r.orderEndsAt[i] = true, r.now+unloadDuration
			continue
		}
		e.IsExecutingOrder, e.LoadingModel, e.LoadsFromStore, r.orderEndsAt[i] = true, s.Order.Model, s.LoadsFromStore, r.now+s.EstimatedDuration
	}
}

// Guards against requests for rarely requested models that wait for seconds although engines with the weights on disk are
// idle. A model that had been requested once was kept loaded like a busy model.
func TestRareModelsAreServedOnTime(t *testing.T) {
	for seed := range uint64(3) {
		r := newSimulation(seed)
		for r.now = -warmupDuration; r.now < simDuration; r.now += simTick {
			if r.now >= 0 {
				r.addArrivals()
			}
			r.completeOrders()
			r.startRequests()
			if r.now%planInterval == 0 {
				r.applyPlan()
			}
		}
		for _, q := range r.waitingRequests {
			r.countRequest(q)
		}
		for busy, all := range r.totalRequests {
			onTimeFraction := 1 - float64(r.lateRequests[busy])/float64(all)
			t.Logf("seed %d, busy %v: %.3f of %d on time", seed, busy, onTimeFraction, all)
			require.GreaterOrEqual(t, onTimeFraction, minOnTimeFraction, "seed %d, busy models %v: %d of %d late", seed, busy, r.lateRequests[busy], all)
		}
	}
}
