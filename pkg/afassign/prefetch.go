package afassign

import (
	"cmp"
	"slices"
)

// countDisk counts the models that could be loaded from the engine's disk: one that is full of busy models has no room.
func (p *planner) countDisk(e *Engine) {
	if e.IsUnavailable {
		return
	}
	room := p.EngineSpec.MemoryMB - p.reserve
	for _, h := range e.LoadedModels {
		if p.likelyBusy(h.Model) {
			room -= p.EngineSpec.Models[h.Model].SizeMB
		}
	}
	for _, m := range e.ModelsOnDisk {
		if room >= p.EngineSpec.Models[m].SizeMB {
			p.onDisk[m]++
		}
	}
}

// loading reports whether an engine loads the model.
func (p *planner) loading(model string) bool {
	return slices.ContainsFunc(p.Engines, func(e Engine) bool { return e.LoadingModel == model })
}

// prefetch brings models that can be loaded from no disk to idle engines while the store has room. Requests that wait
// come first: then one such load at a time goes on, and half of the engines stay free.
func (p *planner) prefetch() {
	most := p.MaxStoreLoads
	if len(p.rate) > 0 {
		most = min(most, busyPrefetch)
	}
	for _, w := range p.waiting {
		if w > 0 && p.loads > 0 {
			return
		}
	}
	var models []string
	for model := range p.EngineSpec.Models {
		if p.onDisk[model] < copies && !p.likelyBusy(model) && !p.loading(model) {
			models = append(models, model)
		}
	}
	slices.SortFunc(models, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.onDisk[a], p.onDisk[b]), cmp.Compare(p.rate[b], p.rate[a]), cmp.Compare(a, b))
	})
	idle := 0
	for _, e := range p.Engines {
		if !e.IsUnavailable && !e.IsBlocked && !e.IsExecutingOrder && !p.taken[e.ID] {
			idle++
		}
	}
	for _, model := range models {
		if p.replicas[model] > 0 && p.onDisk[model] > 0 {
			// Where the model is held, its own engine serves; a copy elsewhere can wait.
			continue
		}
		spare := len(p.Engines) / 2
		if p.onDisk[model] > 0 && len(p.rate) > 0 {
			return // While requests come, a second copy is worth less than an engine that is free for them.
		}
		if p.loads >= most || p.StoreLoadBudget <= 0 || idle <= spare {
			return
		}
		before := len(p.out.Orders)
		p.place(model, ReasonDiskCopy)
		if len(p.out.Orders) == before {
			return
		}
		idle--
	}
}
