package afassign

import (
	"cmp"
	"slices"
	"time"

	"arbutusfork.example/arbutusfork/pkg/afengine"
)

const (
	// unloadTime is the estimate for unloading an idle model: one report lag.
	unloadTime = 100 * time.Millisecond
	// pairRate is the requests a second from which a model gets a second replica, so that the loss of one engine
	// leaves one.
	pairRate = 1.5
	// rateLoads is the number of loads from the weight store at once that only add a replica of a busy model. It is below
	// what the store carries at full speed, 4, so that a model that no engine holds finds a place.
	rateLoads = 3
	// busyPrefetch is the number of loads at once that bring models to disks while requests come.
	busyPrefetch = 1
	// pressedWaiting requests that have waited for pressedTime ask for one more replica than serves them.
	pressedWaiting = 4
	pressedTime    = 300 * time.Millisecond
	// startReplicas is the number of engines that hold a model before any request, from which it is taken for a busy one.
	startReplicas = 2
	// oftenRate is what a model counts in requests a second, beside its rate, that has been busy before: demand comes back.
	oftenRate = 0.3
	// copies is the number of engines on whose disk a model should lie, so that one of them has room and time for it.
	copies = 2
	// expectTime is the time for which further requests for a model count as if they waited, and agePerSecond what a
	// second of the longest wait, or without an engine since the first request, counts in requests, so that no model waits
	// forever.
	expectTime   = 2 * time.Second
	agePerSecond = 0.1
	// lateWeight is what a request counts that can no longer be answered within its target.
	lateWeight = 0.3
	// hotRate is the requests a second from which a model's last replica is not unloaded for another one.
	hotRate = 0.8
)

// planner holds the state of one call of PlanOrders.
type planner struct {
	Snapshot
	demand   map[string]Demand // demand is by model and by AdapterKey.
	waiting  map[string]int    // waiting counts requests by model, those for its adapters included.
	fresh    map[string]int    // fresh counts those of them that may still be on time.
	oldest   map[string]time.Duration
	rate     map[string]float64
	work     map[string]float64
	adapters map[string]float64 // adapters is the rate of a model's requests with an adapter.
	replicas map[string]int
	serving  map[string]int // serving counts the replicas that take requests now.
	onDisk   map[string]int
	reserve  float64         // reserve is the memory that is kept free for adapters.
	taken    map[string]bool // taken engines got a step or are reserved for one.
	loads    int             // loads counts those from the store in progress.
	ahead    int             // ahead counts the models that wait for the store.
	out      Decision
}

// PlanOrders returns the orders to send now. Each engine gets at most one order on a model; orders on adapters do not occupy
// it. The decision is a function of the view: equal views give equal decisions.
func PlanOrders(v Snapshot) Decision {
	p := newPlanner(v)
	p.serveAdapters()
	p.goOn()
	for _, m := range p.needed() {
		p.place(m.model, m.reason)
	}
	p.prefetch()
	return p.out
}

func newPlanner(v Snapshot) *planner {
	p := &planner{
		Snapshot: v, demand: map[string]Demand{}, waiting: map[string]int{}, fresh: map[string]int{}, oldest: map[string]time.Duration{},
		rate: map[string]float64{}, work: map[string]float64{}, replicas: map[string]int{}, onDisk: map[string]int{},
		taken: map[string]bool{}, serving: map[string]int{}, adapters: map[string]float64{},
	}
	p.reserve = adapterReserve(v)
	p.Engines = slices.SortedFunc(slices.Values(v.Engines), func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	for _, d := range v.Demand {
		key := d.Model
		if d.Adapter != "" {
			key = AdapterKey(d.Model, d.Adapter)
			p.adapters[d.Model] += d.RequestRate
		}
		p.demand[key] = d
		p.waiting[d.Model] += d.WaitingRequests
		p.fresh[d.Model] += d.OnTimeRequests
		p.oldest[d.Model] = max(p.oldest[d.Model], d.LongestWait)
		p.rate[d.Model] += d.RequestRate
		p.work[d.Model] += d.PromptTokenRate
	}
	for _, e := range p.Engines {
		if e.LoadsFromStore {
			p.loads++
		}
		if e.IsUnavailable {
			continue
		}
		for _, h := range e.LoadedModels {
			if !slices.Contains(e.ClosingModels, h.Model) {
				p.replicas[h.Model]++
				p.serving[h.Model]++
			}
		}
		if e.LoadingModel != "" && !afengine.IsLoaded(e.LoadedModels, e.LoadingModel, "") {
			p.replicas[e.LoadingModel]++
		} else if e.ReservedModel != "" && !afengine.IsLoaded(e.LoadedModels, e.ReservedModel, "") {
			p.replicas[e.ReservedModel]++
		}
	}
	for i := range p.Engines {
		p.countDisk(&p.Engines[i])
	}
	return p
}

// goOn orders the loads for which room was made.
func (p *planner) goOn() {
	for i := range p.Engines {
		e := &p.Engines[i]
		if e.IsUnavailable || e.IsBlocked || e.IsExecutingOrder || e.ReservedModel == "" || p.taken[e.ID] || afengine.IsLoaded(e.LoadedModels, e.ReservedModel, "") {
			continue
		}
		p.replicas[e.ReservedModel]-- // It counted as a replica; placing it counts it again.
		if o, ok := p.option(e, e.ReservedModel, ReasonWaitingRequests); ok {
			p.commit(o, e.ReservedModel, ReasonWaitingRequests)
		}
	}
}

// place orders the load of a model on the engine that has it ready first, or makes room there.
func (p *planner) place(model string, reason Reason) {
	best, ok := p.best(model, reason)
	if !ok {
		p.queue(model)
		return
	}
	if reason == ReasonBusyModel && best.store && p.loads >= rateLoads {
		return // The other places at the store are for models that no engine holds.
	}
	p.commit(best, model, reason)
}

func (p *planner) commit(best option, model string, reason Reason) {
	e := best.engine
	// An engine that is still at work is kept free for this model, since waiting for it is quicker than another.
	p.taken[e.ID] = true
	if e.IsExecutingOrder {
		if best.store {
			p.queue(model)
		}
		return
	}
	if len(best.victims) > 0 {
		p.makeRoom(best, model)
		return
	}
	if best.store {
		if p.loads >= p.MaxStoreLoads || p.StoreLoadBudget <= 0 {
			return
		}
		p.loads++
		p.StoreLoadBudget--
	}
	p.replicas[model]++
	p.onDisk[model]++
	p.out.Orders = append(p.out.Orders, PlannedOrder{
		EngineID: e.ID, Order: afengine.Order{Model: model, ExpectedAcceptedOrders: e.AcceptedOrders}, Reason: reason,
		LoadsFromStore: best.store, EstimatedDuration: best.eta,
	})
}

// makeRoom unloads the first victim. The load follows once the engine reports the room.
func (p *planner) makeRoom(o option, model string) {
	victim := o.victims[0]
	closing := slices.Contains(o.engine.ClosingModels, victim)
	if !closing {
		p.replicas[victim]--
	}
	if o.engine.RunningRequests[victim] > 0 {
		p.out.ClosingReplicas = append(p.out.ClosingReplicas, ClosingReplica{EngineID: o.engine.ID, Model: victim})
		return
	}
	p.out.Orders = append(p.out.Orders, PlannedOrder{
		EngineID: o.engine.ID, Order: afengine.Order{IsUnload: true, Model: victim, ExpectedAcceptedOrders: o.engine.AcceptedOrders}, Reason: ReasonMakeRoom,
		MakesRoomFor: model,
	})
}
