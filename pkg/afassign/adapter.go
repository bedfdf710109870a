package afassign

import (
	"cmp"
	"slices"
	"strings"

	"arbutusfork.example/arbutusfork/pkg/afengine"
)

// maxLoadingAdapters bounds the adapter loads in progress on one engine.
const maxLoadingAdapters = 4

// planAdapterLoads plans loads of adapters that requests wait for and that no engine holds together with their model.
func (p *planner) planAdapterLoads() {
	var waitingAdapters []Demand
	for _, d := range p.demandByKey {
		if d.Adapter != "" && d.WaitingRequests > 0 {
			waitingAdapters = append(waitingAdapters, d)
		}
	}
	slices.SortFunc(waitingAdapters, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.LongestWait, a.LongestWait), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	orderedEngines := map[string]bool{}
	for _, d := range waitingAdapters {
		p.planAdapterLoad(d, orderedEngines)
	}
}

// planAdapterLoad plans the load of one adapter, or the unload that makes room for it. Each engine gets one order per call
// of PlanOrders, since each accepted order raises the count that the next order must expect.
func (p *planner) planAdapterLoad(d Demand, orderedEngines map[string]bool) {
	key := AdapterKey(d.Model, d.Adapter)
	var best *Engine
	for i := range p.Engines {
		e := &p.Engines[i]
		if e.IsUnavailable || !afengine.IsLoaded(e.LoadedModels, d.Model, "") {
			continue
		}
		if afengine.IsLoaded(e.LoadedModels, d.Model, d.Adapter) || slices.Contains(e.LoadingAdapters, key) {
			return
		}
		if orderedEngines[e.ID] || e.IsExecutingOrder || e.IsBlocked || len(e.LoadingAdapters) >= maxLoadingAdapters {
			continue
		}
		if best == nil || p.adapterEngineCost(*e) < p.adapterEngineCost(*best) {
			best = e
		}
	}
	if best == nil {
		return
	}
	orderedEngines[best.ID] = true
	// The engine gets no order on a model in the same call: the count that this order would have to expect depends on
	// whether the engine accepts the adapter order.
	p.claimedEngines[best.ID] = true
	adapters, victim := p.countAdapters(*best)
	if adapters+len(best.LoadingAdapters) < p.EngineSpec.AdapterSlots {
		p.decision.Orders = append(p.decision.Orders, PlannedOrder{
			EngineID: best.ID, Order: afengine.Order{Model: d.Model, Adapter: d.Adapter, ExpectedAcceptedOrders: best.AcceptedOrders}, Reason: ReasonWaitingRequests,
		})
		return
	}
	if victim == "" {
		return
	}
	model, adapter, _ := strings.Cut(victim, "/")
	p.decision.Orders = append(p.decision.Orders, PlannedOrder{
		EngineID: best.ID, Order: afengine.Order{IsUnload: true, Model: model, Adapter: adapter, ExpectedAcceptedOrders: best.AcceptedOrders},
		Reason: ReasonMakeRoom, MakesRoomFor: key,
	})
}

// adapterEngineCost ranks engines for an adapter load: free adapter slots count first, then few running requests.
func (p *planner) adapterEngineCost(e Engine) int {
	adapters, _ := p.countAdapters(e)
	running := 0
	for key, n := range e.RunningRequests {
		if !strings.Contains(key, "/") {
			running += n
		}
	}
	const requestsPerAdapter = 4 // One occupied adapter slot counts as much as this many running requests.
	return (adapters+len(e.LoadingAdapters))*requestsPerAdapter + running
}

// countAdapters returns the number of adapters that the engine holds and, among those that no request uses or waits for,
// the key of the one with the lowest request rate. The key is empty if there is none.
func (p *planner) countAdapters(e Engine) (count int, idleAdapter string) {
	for _, h := range e.LoadedModels {
		for _, a := range h.Adapters {
			count++
			key := AdapterKey(h.Model, a)
			if e.RunningRequests[key] > 0 || p.demandByKey[key].WaitingRequests > 0 {
				continue
			}
			if idleAdapter == "" || p.demandByKey[key].RequestRate < p.demandByKey[idleAdapter].RequestRate {
				idleAdapter = key
			}
		}
	}
	return count, idleAdapter
}
