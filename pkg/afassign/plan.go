package afassign

import (
	"cmp"
	"slices"
	"time"

	"arbutusfork.example/arbutusfork/pkg/afengine"
)

const (
	// unloadDuration is the estimated time until a report shows that an idle model is unloaded.
	unloadDuration = 100 * time.Millisecond
	// secondReplicaMinRate is the request rate, in requests per second, from which a model gets a second replica, so that it
	// stays available when one engine fails.
	secondReplicaMinRate = 1.5
	// maxReplicaStoreLoads is the number of concurrent loads from the weight store up to which a load for another replica of
	// a busy model may begin. It is below the 4 loads that the store serves at full speed, so that a model that no engine
	// holds can still be loaded.
	maxReplicaStoreLoads = 3
	// maxPrefetchesUnderDemand bounds the concurrent store loads at which prefetching continues while requests arrive.
	maxPrefetchesUnderDemand = 1
	// minBacklogRequests is the number of waiting requests from which a model with replicas gets one more.
	minBacklogRequests = 4
	// minBacklogWait is how long the oldest of these requests must have waited.
	minBacklogWait = 300 * time.Millisecond
	// minBusyStartReplicas is the number of replicas from which a model counts as busy whatever its request rate, in
	// particular before the first request.
	minBusyStartReplicas = 2
	// formerlyBusyMinRate is the lowest request rate, in requests per second, that is assumed for a model that was busy
	// before, since demand tends to return to such models.
	formerlyBusyMinRate = 0.3
	// targetDiskCopies is the number of engines that should have a model on disk, so that one of them is likely to have free
	// memory and no other load in progress.
	targetDiskCopies = 2
	// expectedDemandWindow is the period for which expected requests count like waiting ones.
	expectedDemandWindow = 2 * time.Second
	// waitWeightPerSecond is how many waiting requests one second counts as, for the longest wait or for the time that a
	// model has been without an engine, so that every model is loaded eventually.
	waitWeightPerSecond = 0.1
	// lateRequestWeight is the weight of a request that can no longer be answered within its latency target. Other requests
	// have weight 1.
	lateRequestWeight = 0.3
	// lastReplicaMinRate is the request rate, in requests per second, from which the last replica that serves a model is not
	// unloaded for another model.
	lastReplicaMinRate = 0.8
	// evacuationMinRate is the request rate, in requests per second, from which a model that only engines of evacuated data centres
	// hold is loaded elsewhere before a request waits for it. A request within the next 10 s is then likely.
	evacuationMinRate = 0.1
)

// planner holds the state of one call of PlanOrders.
type planner struct {
	Snapshot
	// demandByKey is keyed by model, and by AdapterKey for an adapter.
	demandByKey map[string]Demand
	// waitingRequests counts the waiting requests by model, including those for its adapters.
	waitingRequests map[string]int
	// onTimeRequests counts those of the waiting requests that can still meet their latency target.
	onTimeRequests map[string]int
	// longestWaits is keyed by model.
	longestWaits map[string]time.Duration
	// requestRates holds the requests per second by model, including those for its adapters.
	requestRates map[string]float64
	// promptTokenRates holds the prompt tokens per second by model, including those for its adapters.
	promptTokenRates map[string]float64
	// adapterRequestRates holds the requests per second by model that use one of its adapters.
	adapterRequestRates map[string]float64
	// replicas counts the engines that hold or load a model or have room reserved for it, except closing replicas.
	replicas map[string]int
	// servingReplicas counts the replicas that accept requests now.
	servingReplicas map[string]int
	// plannedUnloads counts those of servingReplicas that this call unloads or closes.
	plannedUnloads map[string]int
	// evacuatedModels names the models that engines of evacuated data centres hold.
	evacuatedModels map[string]bool
	// diskCopies counts the engines that could load a model from their disk.
	diskCopies map[string]int
	// adapterReserveMB is the memory that each engine keeps free for adapters.
	adapterReserveMB float64
	// claimedEngines names the engines that got an order in this call or are kept free for one.
	claimedEngines map[string]bool
	// storeLoads counts the loads from the weight store in progress, including those planned in this call.
	storeLoads int
	// queuedStoreLoads counts the models queued for the weight store in this call.
	queuedStoreLoads int
	decision         Decision
}

// PlanOrders returns the orders to send now. Each engine gets at most one order, on a model or on an adapter. Equal snapshots
// give equal decisions.
func PlanOrders(v Snapshot) Decision {
	p := newPlanner(v)
	p.planAdapterLoads()
	p.planReservedLoads()
	for _, m := range p.listReplicaNeeds() {
		p.placeReplica(m.model, m.reason)
	}
	p.planPrefetches()
	return p.decision
}

// newPlanner returns a planner with the demand and the replicas of the snapshot summed up by model.
func newPlanner(v Snapshot) *planner {
	p := &planner{
		Snapshot: v, demandByKey: map[string]Demand{}, waitingRequests: map[string]int{}, onTimeRequests: map[string]int{}, longestWaits: map[string]time.Duration{},
		requestRates: map[string]float64{}, promptTokenRates: map[string]float64{}, replicas: map[string]int{}, diskCopies: map[string]int{},
		claimedEngines: map[string]bool{}, evacuatedModels: map[string]bool{}, servingReplicas: map[string]int{}, plannedUnloads: map[string]int{}, adapterRequestRates: map[string]float64{},
	}
	p.adapterReserveMB = computeAdapterReserve(v)
	p.Engines = slices.SortedFunc(slices.Values(v.Engines), func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	for _, d := range v.Demand {
		key := d.Model
		if d.Adapter != "" {
			key = AdapterKey(d.Model, d.Adapter)
			p.adapterRequestRates[d.Model] += d.RequestRate
		}
		p.demandByKey[key] = d
		p.waitingRequests[d.Model] += d.WaitingRequests
		p.onTimeRequests[d.Model] += d.OnTimeRequests
		p.longestWaits[d.Model] = max(p.longestWaits[d.Model], d.LongestWait)
		p.requestRates[d.Model] += d.RequestRate
		p.promptTokenRates[d.Model] += d.PromptTokenRate
	}
	for i, e := range p.Engines {
		if e.LoadsFromStore {
			p.storeLoads++
		}
		if e.IsEvacuated {
			p.Engines[i].IsUnavailable = true
			for _, h := range e.LoadedModels {
				p.evacuatedModels[h.Model] = true
			}
		}
		if e.IsUnavailable || e.IsEvacuated {
			continue
		}
		for _, h := range e.LoadedModels {
			if !e.isClosing(h.Model) {
				p.replicas[h.Model]++
				p.servingReplicas[h.Model]++
			}
		}
		if e.LoadingModel != "" && !afengine.IsLoaded(e.LoadedModels, e.LoadingModel, "") {
			p.replicas[e.LoadingModel]++
		} else if e.ReservedModel != "" && !afengine.IsLoaded(e.LoadedModels, e.ReservedModel, "") {
			p.replicas[e.ReservedModel]++
		}
	}
	p.reopenReplicas()
	for i := range p.Engines {
		p.countDiskCopies(&p.Engines[i])
	}
	return p
}

// reopenReplicas lets a closing replica of each often requested model that no engine serves any more get requests again.
func (p *planner) reopenReplicas() {
	for i := range p.Engines {
		e := &p.Engines[i]
		if e.IsUnavailable {
			continue
		}
		for _, model := range e.ClosingModels {
			if p.servingReplicas[model] > 0 || p.requestRates[model] < lastReplicaMinRate || model == e.UnloadingModel || !afengine.IsLoaded(e.LoadedModels, model, "") {
				continue
			}
			p.replicas[model]++
			p.servingReplicas[model]++
			p.decision.ReopenedReplicas = append(p.decision.ReopenedReplicas, ReopenedReplica{EngineID: e.ID, Model: model})
		}
		for _, r := range p.decision.ReopenedReplicas {
			if r.EngineID == e.ID {
				e.ClosingModels = slices.DeleteFunc(slices.Clone(e.ClosingModels), func(model string) bool { return model == r.Model })
			}
		}
	}
}

// planReservedLoads plans the loads for which room was made by earlier orders.
func (p *planner) planReservedLoads() {
	for i := range p.Engines {
		e := &p.Engines[i]
		if e.IsUnavailable || e.IsBlocked || e.IsExecutingOrder || e.ReservedModel == "" || p.claimedEngines[e.ID] || afengine.IsLoaded(e.LoadedModels, e.ReservedModel, "") {
			continue
		}
		p.replicas[e.ReservedModel]-- // newPlanner counted the reserved model as a replica, and planOption counts it again.
		if o, ok := p.evaluateOption(e, e.ReservedModel, ReasonWaitingRequests); ok {
			p.planOption(o, e.ReservedModel, ReasonWaitingRequests)
		}
	}
}

// placeReplica plans the load of a model on the engine that can serve it first, or makes room there.
func (p *planner) placeReplica(model string, reason Reason) {
	best, ok := p.findBestOption(model, reason)
	if !ok {
		p.queueStoreLoad(model)
		return
	}
	if (reason == ReasonBusyModel || reason == ReasonEvacuation) && best.fromStore && p.storeLoads >= maxReplicaStoreLoads {
		return // The remaining store loads are for models that requests wait for and that no engine holds.
	}
	p.planOption(best, model, reason)
}

// planOption plans the next order that the option needs: the unload of a victim, the load, or none while the engine is at
// work or the weight store has no capacity.
func (p *planner) planOption(best loadOption, model string, reason Reason) {
	e := best.engine
	// If the engine still executes an order, it is kept free for this model: waiting for it is quicker than using another.
	p.claimedEngines[e.ID] = true
	if e.IsExecutingOrder {
		if best.fromStore {
			p.queueStoreLoad(model)
		}
		return
	}
	if len(best.victims) > 0 {
		p.makeRoom(best, model)
		return
	}
	if best.fromStore {
		if p.storeLoads >= p.MaxStoreLoads || p.StoreLoadBudget <= 0 {
			return
		}
		p.storeLoads++
		p.StoreLoadBudget--
	}
	p.replicas[model]++
	p.diskCopies[model]++
	p.decision.Orders = append(p.decision.Orders, PlannedOrder{
		EngineID: e.ID, Order: afengine.Order{Model: model, ExpectedAcceptedOrders: e.AcceptedOrders}, Reason: reason,
		LoadsFromStore: best.fromStore, EstimatedDuration: best.readyDelay,
	})
}

// makeRoom plans the unload of the first victim, or stops new requests to it while it still serves some. The load follows
// once the engine has unloaded all victims.
func (p *planner) makeRoom(o loadOption, model string) {
	victim := o.victims[0]
	if !o.engine.isClosing(victim) {
		p.replicas[victim]--
		p.plannedUnloads[victim]++
	}
	if o.engine.RunningRequests[victim] > 0 {
		p.decision.ClosingReplicas = append(p.decision.ClosingReplicas, ClosingReplica{EngineID: o.engine.ID, Model: victim})
		return
	}
	p.decision.Orders = append(p.decision.Orders, PlannedOrder{
		EngineID: o.engine.ID, Order: afengine.Order{IsUnload: true, Model: victim, ExpectedAcceptedOrders: o.engine.AcceptedOrders}, Reason: ReasonMakeRoom,
		MakesRoomFor: model,
	})
}
