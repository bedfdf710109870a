package afassign

import (
	"cmp"
	"slices"
	"time"

	"arbutusfork.example/arbutusfork/pkg/afengine"
)

// loadOption describes the load of a model on one engine.
type loadOption struct {
	engine *Engine
	// readyDelay is the estimated time until the model is loaded.
	readyDelay time.Duration
	// fromStore means that the load reads from the weight store.
	fromStore bool
	// victims are the models to unload before the load, in this order.
	victims []string
	// evictionCost is the cost of unloading the victims and of delaying adapter loads, in expected requests.
	evictionCost float64
	// isVictimServing means that a victim still serves requests.
	isVictimServing bool
	// busyModels is the number of busy models that the engine holds.
	busyModels int
	// exceedsTokenRate means that the engine would get more prompt tokens per second than MaxReplicaTokenRate.
	exceedsTokenRate bool
}

// findBestOption returns the best option to load the model on an engine that can take an order or will soon, or false if
// there is none.
func (p *planner) findBestOption(model string, reason Reason) (loadOption, bool) {
	var (
		best  loadOption
		found bool
	)
	for i := range p.Engines {
		e := &p.Engines[i]
		if e.IsUnavailable || e.IsBlocked || p.claimedEngines[e.ID] || e.LoadingModel == model || afengine.IsLoaded(e.LoadedModels, model, "") {
			continue
		}
		o, ok := p.evaluateOption(e, model, reason)
		if !ok || o.fromStore && !e.IsExecutingOrder && (p.storeLoads >= p.MaxStoreLoads || p.StoreLoadBudget <= 0) {
			continue
		}
		if !found || o.isBetterThan(best, reason) {
			best, found = o, true
		}
	}
	return best, found
}

// isBetterThan compares options by the delay until the model is loaded, then by the cost of evictions. An additional
// replica of a busy model preferably goes to an engine with many busy models, so that other engines keep memory for rarely
// requested models.
func (o loadOption) isBetterThan(other loadOption, reason Reason) bool {
	if o.exceedsTokenRate != other.exceedsTokenRate {
		return other.exceedsTokenRate
	}
	if reason == ReasonBusyModel && o.fromStore == other.fromStore && o.busyModels != other.busyModels {
		return o.busyModels > other.busyModels
	}
	const delayTolerance = 150 * time.Millisecond // Smaller differences lie within the age of the engines' reports.
	if d := o.readyDelay - other.readyDelay; d < -delayTolerance || d > delayTolerance {
		return d < 0
	}
	return o.evictionCost < other.evictionCost
}

// evaluateOption returns how the engine could load the model, or false if it cannot make enough room. Only waiting
// requests justify unloading a replica that the rate of its model asks for.
func (p *planner) evaluateOption(e *Engine, model string, reason Reason) (loadOption, bool) {
	m := p.EngineSpec.Models[model]
	o := loadOption{engine: e, readyDelay: e.TimeUntilFree, busyModels: p.countBusyModels(e)}
	replicaTokenRate := p.promptTokenRates[model] / float64(p.replicas[model]+1)
	o.exceedsTokenRate = p.MaxReplicaTokenRate > 0 && replicaTokenRate > p.MaxReplicaTokenRate/10 && p.engineTokenRate(e)+replicaTokenRate > p.MaxReplicaTokenRate
	switch {
	case slices.Contains(e.ModelsInMemory, model):
		o.readyDelay += m.MemoryLoadTime
	case slices.Contains(e.ModelsOnDisk, model):
		o.readyDelay += m.DiskLoadTime
	default:
		o.readyDelay += m.StoreLoadTime
		o.fromStore = true
	}
	// An engine takes no adapter orders during a load, so adapter requests for the models that it holds are delayed.
	for _, h := range e.LoadedModels {
		o.evictionCost += p.adapterRequestRates[h.Model] / float64(max(p.replicas[h.Model], 1)) * (o.readyDelay - e.TimeUntilFree).Seconds()
	}
	room := p.EngineSpec.MemoryMB - p.adapterReserveMB - m.SizeMB - p.usedMemoryMB(e)
	if room >= 0 {
		return o, true
	}
	type victim struct {
		model        string
		evictionCost float64
		isServing    bool
	}
	var victims []victim
	for _, h := range e.LoadedModels {
		isServing := e.RunningRequests[h.Model] > 0
		remainingReplicas := p.replicas[h.Model] - 1
		// Replicas that are being loaded serve no requests yet.
		remainingServing := p.servingReplicas[h.Model] - p.plannedUnloads[h.Model] - 1
		if e.isClosing(h.Model) {
			victims = append(victims, victim{h.Model, 0, isServing})
			continue
		}
		// The model may replace a replica of a busy model if its demand exceeds half of the busy model's request rate. The
		// last replica that serves a busy model stays.
		mayReplaceBusy := reason == ReasonWaitingRequests && remainingReplicas > 0 && float64(p.waitingRequests[model])+p.requestRates[model] > p.requestRates[h.Model]/2
		switch {
		case remainingReplicas < p.desiredReplicas(h.Model) && !mayReplaceBusy:
			continue
		case remainingServing <= 0 && (p.waitingRequests[h.Model] > 0 || p.requestRates[h.Model] >= lastReplicaMinRate):
			continue
		case isServing && reason == ReasonDiskCopy:
			continue
		case reason == ReasonEvacuation && remainingServing <= 0 && 2*p.requestRates[h.Model] > p.requestRates[model]:
			// Two models of an evacuated data centre would otherwise replace each other in turn.
			continue
		}
		if len(p.requestRates) == 0 && remainingReplicas+1 >= minBusyStartReplicas {
			continue // Before the first request, several replicas are the only sign of a busy model.
		}
		rate := p.requestRates[h.Model]
		if p.FormerlyBusyModels[h.Model] {
			rate = max(rate, formerlyBusyMinRate)
		}
		cost := rate / float64(remainingReplicas+1)
		if remainingReplicas > 0 {
			cost /= 4 // The remaining replicas take over, so only their load rises.
		}
		if p.desiredReplicas(h.Model) > 0 {
			// Replicas of busy models are first removed from engines that hold few busy models.
			cost *= float64(o.busyModels)
		}
		victims = append(victims, victim{h.Model, cost, isServing})
	}
	slices.SortFunc(victims, func(a, b victim) int {
		if a.isServing != b.isServing {
			if a.isServing {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(a.evictionCost, b.evictionCost), cmp.Compare(a.model, b.model))
	})
	for _, v := range victims {
		o.victims = append(o.victims, v.model)
		o.evictionCost += v.evictionCost
		o.readyDelay += unloadDuration
		if v.isServing {
			o.isVictimServing = true
			o.readyDelay += time.Second // Running streams last some seconds.
		}
		room += p.EngineSpec.Models[v.model].SizeMB
		if room >= 0 {
			return o, true
		}
	}
	return loadOption{}, false
}

// usedMemoryMB returns the memory that the engine's models take, including one that is being loaded, in MB. Adapters are
// covered by adapterReserveMB.
func (p *planner) usedMemoryMB(e *Engine) float64 {
	sum := 0.0
	for _, h := range e.LoadedModels {
		sum += p.EngineSpec.Models[h.Model].SizeMB
	}
	if e.LoadingModel != "" && !afengine.IsLoaded(e.LoadedModels, e.LoadingModel, "") {
		sum += p.EngineSpec.Models[e.LoadingModel].SizeMB
	}
	return sum
}

// computeAdapterReserve returns the memory in MB that each engine keeps free for adapters: all adapter slots filled with the
// largest adapter. Models alone thus never fill an engine.
func computeAdapterReserve(v Snapshot) float64 {
	largest := 0.0
	for _, m := range v.EngineSpec.Models {
		if m.AdapterCount > 0 {
			largest = max(largest, m.AdapterSizeMB)
		}
	}
	return largest * float64(v.EngineSpec.AdapterSlots)
}
