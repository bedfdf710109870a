package afassign

import (
	"cmp"
	"math"
	"slices"
)

// likelyBusy reports whether a model is busy, or is likely to be once requests come: several engines hold it at the start.
func (p *planner) likelyBusy(model string) bool {
	return p.desired(model) > 0 || len(p.rate) == 0 && p.replicas[model] >= startReplicas
}

// BusyModels returns the models that are busy or that several engines hold.
func BusyModels(v Snapshot) []string {
	p := newPlanner(v)
	var out []string
	for model := range v.EngineSpec.Models {
		if p.desired(model) > 0 || p.replicas[model] >= startReplicas {
			out = append(out, model)
		}
	}
	return out
}

// busy returns the number of busy models that the engine holds.
func (p *planner) busy(e *Engine) int {
	n := 0
	for _, h := range e.LoadedModels {
		if p.desired(h.Model) > 0 {
			n++
		}
	}
	return n
}

// desired returns the number of replicas that the rate of a model asks for. A model below hotRate keeps none for itself.
func (p *planner) desired(model string) int {
	n := 0
	if r := p.rate[model]; r >= hotRate {
		n = 1
		if r >= pairRate {
			n = 2
		}
		if p.MaxReplicaTokenRate > 0 {
			n = max(n, int(math.Ceil(p.work[model]/p.MaxReplicaTokenRate)))
		}
	}
	if p.pressed(model) {
		n = max(n, p.serving[model]+1)
	}
	return min(n, len(p.Engines))
}

// pressed reports whether requests wait although the model is served.
func (p *planner) pressed(model string) bool {
	return p.waiting[model] >= pressedWaiting && p.oldest[model] >= pressedTime
}

// load returns the prompt tokens a second that the engine's models bring it.
func (p *planner) load(e *Engine) float64 {
	sum := 0.0
	for _, h := range e.LoadedModels {
		if !slices.Contains(e.ClosingModels, h.Model) {
			sum += p.work[h.Model] / float64(max(p.replicas[h.Model], 1))
		}
	}
	return sum
}

type need struct {
	model  string
	reason Reason
	weight float64
}

// needed returns the models that need a replica, the most pressing first: those that requests wait for in vain by
// the requests that a load would serve, then busy ones by how far they fall short. The longest wait alone does not
// decide, since requests for a model that many wait for are refused before theirs is long.
func (p *planner) needed() []need {
	var out []need
	for model := range p.EngineSpec.Models {
		switch n := p.replicas[model]; {
		case n == 0 && p.waiting[model] > 0:
			late := p.waiting[model] - p.fresh[model]
			weight := float64(p.fresh[model]) + lateWeight*float64(late) + p.rate[model]*expectTime.Seconds() +
				max(p.oldest[model], p.UnservedDurations[model]).Seconds()*agePerSecond
			out = append(out, need{model: model, reason: ReasonWaitingRequests, weight: weight})
		case n < p.desired(model) && p.pressed(model):
			weight := float64(p.waiting[model])/float64(n+1) + p.rate[model]
			out = append(out, need{model: model, reason: ReasonWaitingRequests, weight: weight})
		case n < p.desired(model):
			out = append(out, need{model: model, reason: ReasonBusyModel, weight: float64(p.desired(model)) / float64(n+1)})
		}
	}
	slices.SortFunc(out, func(a, b need) int {
		return cmp.Or(
			cmp.Compare(a.reason, b.reason), cmp.Compare(b.weight, a.weight), cmp.Compare(a.model, b.model))
	})
	return out
}
