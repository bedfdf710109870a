package afassign

import (
	"cmp"
	"slices"
)

// countDiskCopies adds the models that the engine could load from its disk to diskCopies. A model counts only if it fits
// beside the busy models that the engine holds.
func (p *planner) countDiskCopies(e *Engine) {
	if e.IsUnavailable {
		return
	}
	room := p.EngineSpec.MemoryMB - p.adapterReserveMB
	for _, h := range e.LoadedModels {
		if p.isLikelyBusy(h.Model) {
			room -= p.EngineSpec.Models[h.Model].SizeMB
		}
	}
	for _, m := range e.ModelsOnDisk {
		if room >= p.EngineSpec.Models[m].SizeMB {
			p.diskCopies[m]++
		}
	}
}

// isLoading reports whether an engine loads the model.
func (p *planner) isLoading(model string) bool {
	return slices.ContainsFunc(p.Engines, func(e Engine) bool { return e.LoadingModel == model })
}

// planPrefetches plans loads from the weight store that bring models to the disks of idle engines, for models with fewer
// than targetDiskCopies loadable disk copies. Half of the engines stay free. While requests arrive, prefetching stops at
// maxPrefetchesUnderDemand store loads, and while requests wait, it stops at any store load.
func (p *planner) planPrefetches() {
	maxLoads := p.MaxStoreLoads
	if len(p.requestRates) > 0 {
		maxLoads = min(maxLoads, maxPrefetchesUnderDemand)
	}
	for _, w := range p.waitingRequests {
		if w > 0 && p.storeLoads > 0 {
			return
		}
	}
	var models []string
	for model := range p.EngineSpec.Models {
		if p.diskCopies[model] < targetDiskCopies && !p.isLikelyBusy(model) && !p.isLoading(model) {
			models = append(models, model)
		}
	}
	slices.SortFunc(models, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.diskCopies[a], p.diskCopies[b]), cmp.Compare(p.requestRates[b], p.requestRates[a]), cmp.Compare(a, b))
	})
	idleEngines := 0
	for _, e := range p.Engines {
		if !e.IsUnavailable && !e.IsBlocked && !e.IsExecutingOrder && !p.claimedEngines[e.ID] {
			idleEngines++
		}
	}
	for _, model := range models {
		if p.replicas[model] > 0 && p.diskCopies[model] > 0 {
			// An engine that holds the model serves it, so a second disk copy is not urgent.
			continue
		}
		minIdleEngines := len(p.Engines) / 2
		if p.diskCopies[model] > 0 && len(p.requestRates) > 0 {
			return // While requests arrive, a free engine is worth more than a second disk copy.
		}
		if p.storeLoads >= maxLoads || p.StoreLoadBudget <= 0 || idleEngines <= minIdleEngines {
			return
		}
		ordersBefore := len(p.decision.Orders)
		p.placeReplica(model, ReasonDiskCopy)
		if len(p.decision.Orders) == ordersBefore {
			return
		}
		idleEngines--
	}
}
