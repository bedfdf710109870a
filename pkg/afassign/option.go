package afassign

import (
	"cmp"
	"slices"
	"time"

	"arbutusfork.example/arbutusfork/pkg/afengine"
)

// option is one way to load a model.
type option struct {
	engine  *Engine
	eta     time.Duration
	store   bool
	victims []string // victims are unloaded first, in this order.
	loss    float64  // loss is what unloading the victims costs, in expected requests.
	running bool     // running means that a victim still serves requests.
	busy    int      // busy is the number of busy models that the engine holds.
	full    bool     // full means that the model would bring the engine more work than it should get.
}

func (p *planner) best(model string, reason Reason) (option, bool) {
	var (
		best  option
		found bool
	)
	for i := range p.Engines {
		e := &p.Engines[i]
		if e.IsUnavailable || e.IsBlocked || p.taken[e.ID] || e.LoadingModel == model || afengine.IsLoaded(e.LoadedModels, model, "") {
			continue
		}
		o, ok := p.option(e, model, reason)
		if !ok || o.store && !e.IsExecutingOrder && (p.loads >= p.MaxStoreLoads || p.StoreLoadBudget <= 0) {
			continue
		}
		if !found || o.before(best, reason) {
			best, found = o, true
		}
	}
	return best, found
}

// before orders options by the time to the first answer, then by what they cost others. A further replica of a busy
// model goes beside other busy models, so that the other engines keep their room for rare ones.
func (o option) before(p option, reason Reason) bool {
	if o.full != p.full {
		return p.full
	}
	if reason == ReasonBusyModel && o.store == p.store && o.busy != p.busy {
		return o.busy > p.busy
	}
	const near = 150 * time.Millisecond // Differences below a report's lag say nothing.
	if d := o.eta - p.eta; d < -near || d > near {
		return d < 0
	}
	return o.loss < p.loss
}

// option returns how the engine could load the model. Only waiting requests may make a busy replica close.
func (p *planner) option(e *Engine, model string, reason Reason) (option, bool) {
	m := p.EngineSpec.Models[model]
	o := option{engine: e, eta: e.TimeUntilFree, busy: p.busy(e)}
	share := p.work[model] / float64(p.replicas[model]+1)
	o.full = p.MaxReplicaTokenRate > 0 && share > p.MaxReplicaTokenRate/10 && p.load(e)+share > p.MaxReplicaTokenRate
	switch {
	case slices.Contains(e.ModelsInMemory, model):
		o.eta += m.MemoryLoadTime
	case slices.Contains(e.ModelsOnDisk, model):
		o.eta += m.DiskLoadTime
	default:
		o.eta += m.StoreLoadTime
		o.store = true
	}
	// While the engine loads it takes no orders on adapters, which the models that it holds may need.
	for _, h := range e.LoadedModels {
		o.loss += p.adapters[h.Model] / float64(max(p.replicas[h.Model], 1)) * (o.eta - e.TimeUntilFree).Seconds()
	}
	room := p.EngineSpec.MemoryMB - p.reserve - m.SizeMB - p.used(e)
	if room >= 0 {
		return o, true
	}
	type victim struct {
		model   string
		loss    float64
		running bool
	}
	var victims []victim
	for _, h := range e.LoadedModels {
		running := e.RunningRequests[h.Model] > 0
		left := p.replicas[h.Model] - 1
		if slices.Contains(e.ClosingModels, h.Model) {
			victims = append(victims, victim{h.Model, 0, running})
			continue
		}
		// A model that more requests wait for than use the victim may take one of its replicas, but not the last.
		wanted := reason == ReasonWaitingRequests && left > 0 && float64(p.waiting[model])+p.rate[model] > p.rate[h.Model]/2
		switch {
		case left < p.desired(h.Model) && !wanted, left == 0 && p.waiting[h.Model] > 0:
			continue
		case running && reason == ReasonDiskCopy:
			continue
		}
		if len(p.rate) == 0 && left+1 >= startReplicas {
			continue // Nothing is known yet but that this model was given several engines.
		}
		rate := p.rate[h.Model]
		if p.FormerlyBusyModels[h.Model] {
			rate = max(rate, oftenRate)
		}
		loss := rate / float64(left+1)
		if left > 0 {
			loss /= 4 // Another replica serves on, so that only its load rises.
		}
		if p.desired(h.Model) > 0 {
			// Surplus replicas of busy models leave the engines first that hold few of them.
			loss *= float64(o.busy)
		}
		victims = append(victims, victim{h.Model, loss, running})
	}
	slices.SortFunc(victims, func(a, b victim) int {
		if a.running != b.running {
			if a.running {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(a.loss, b.loss), cmp.Compare(a.model, b.model))
	})
	for _, v := range victims {
		o.victims = append(o.victims, v.model)
		o.loss += v.loss
		o.eta += unloadTime
		if v.running {
			o.running = true
			o.eta += time.Second // A stream that runs lasts some seconds.
		}
		room += p.EngineSpec.Models[v.model].SizeMB
		if room >= 0 {
			return o, true
		}
	}
	return option{}, false
}

// used returns the memory that an engine's models and adapters take, in MB.
func (p *planner) used(e *Engine) float64 {
	sum := 0.0
	for _, h := range e.LoadedModels {
		sum += p.EngineSpec.Models[h.Model].SizeMB
	}
	if e.LoadingModel != "" && !afengine.IsLoaded(e.LoadedModels, e.LoadingModel, "") {
		sum += p.EngineSpec.Models[e.LoadingModel].SizeMB
	}
	return sum
}

// adapterReserve returns the memory that is kept free for adapters, so that models alone never fill an engine.
func adapterReserve(v Snapshot) float64 {
	largest := 0.0
	for _, m := range v.EngineSpec.Models {
		if m.AdapterCount > 0 {
			largest = max(largest, m.AdapterSizeMB)
		}
	}
	return largest * float64(v.EngineSpec.AdapterSlots)
}
