package afassign

import (
	"cmp"
	"slices"
	"strings"

	"arbutusfork.example/arbutusfork/pkg/afengine"
)

// comingPerEngine is the number of adapters that an engine takes at once.
const comingPerEngine = 4

// serveAdapters orders adapters that requests wait for and that no engine holds beside their model.
func (p *planner) serveAdapters() {
	var wanted []Demand
	for _, d := range p.demand {
		if d.Adapter != "" && d.WaitingRequests > 0 {
			wanted = append(wanted, d)
		}
	}
	slices.SortFunc(wanted, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.LongestWait, a.LongestWait), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	ordered := map[string]bool{}
	for _, d := range wanted {
		p.serveAdapter(d, ordered)
	}
}

// serveAdapter orders one adapter. Each engine gets one order in a call, since each order raises its count.
func (p *planner) serveAdapter(d Demand, ordered map[string]bool) {
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
		if ordered[e.ID] || e.IsExecutingOrder || e.IsBlocked || len(e.LoadingAdapters) >= comingPerEngine {
			continue
		}
		if best == nil || p.adapterCost(*e) < p.adapterCost(*best) {
			best = e
		}
	}
	if best == nil {
		return
	}
	ordered[best.ID] = true
	// The engine takes no order on a model in the same call, because the count that it would expect is not known yet.
	p.taken[best.ID] = true
	held, victim := p.adaptersOf(*best)
	if held+len(best.LoadingAdapters) < p.EngineSpec.AdapterSlots {
		p.out.Orders = append(p.out.Orders, PlannedOrder{
			EngineID: best.ID, Order: afengine.Order{Model: d.Model, Adapter: d.Adapter, ExpectedAcceptedOrders: best.AcceptedOrders}, Reason: ReasonWaitingRequests,
		})
		return
	}
	if victim == "" {
		return
	}
	model, adapter, _ := strings.Cut(victim, "/")
	p.out.Orders = append(p.out.Orders, PlannedOrder{
		EngineID: best.ID, Order: afengine.Order{IsUnload: true, Model: model, Adapter: adapter, ExpectedAcceptedOrders: best.AcceptedOrders},
		Reason: ReasonMakeRoom, MakesRoomFor: key,
	})
}

// adapterCost prefers engines with free adapter slots, then those with few requests.
func (p *planner) adapterCost(e Engine) int {
	held, _ := p.adaptersOf(e)
	running := 0
	for key, n := range e.RunningRequests {
		if !strings.Contains(key, "/") {
			running += n
		}
	}
	const perAdapter = 4
	return (held+len(e.LoadingAdapters))*perAdapter + running
}

// adaptersOf counts the adapters that the engine holds and names the least asked one that no request uses or waits for.
func (p *planner) adaptersOf(e Engine) (held int, idle string) {
	for _, h := range e.LoadedModels {
		for _, a := range h.Adapters {
			held++
			key := AdapterKey(h.Model, a)
			if e.RunningRequests[key] > 0 || p.demand[key].WaitingRequests > 0 {
				continue
			}
			if idle == "" || p.demand[key].RequestRate < p.demand[idle].RequestRate {
				idle = key
			}
		}
	}
	return held, idle
}
