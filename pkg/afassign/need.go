package afassign

import (
	"cmp"
	"math"
	"slices"
)

// isLikelyBusy reports whether a model is busy. Before the first request of any model, a model that several engines hold
// counts as busy, since it was probably preloaded for expected load.
func (p *planner) isLikelyBusy(model string) bool {
	return p.desiredReplicas(model) > 0 || len(p.requestRates) == 0 && p.replicas[model] >= minBusyStartReplicas
}

// BusyModels returns the models whose demand asks for a replica and those that several engines hold.
func BusyModels(v Snapshot) []string {
	p := newPlanner(v)
	var out []string
	for model := range v.EngineSpec.Models {
		if p.desiredReplicas(model) > 0 || p.replicas[model] >= minBusyStartReplicas {
			out = append(out, model)
		}
	}
	return out
}

// countBusyModels returns the number of busy models that the engine holds.
func (p *planner) countBusyModels(e *Engine) int {
	n := 0
	for _, h := range e.LoadedModels {
		if p.desiredReplicas(h.Model) > 0 {
			n++
		}
	}
	return n
}

// desiredReplicas returns the number of replicas that a model should have for its request rate, its token rate and its
// backlog. It is zero for a model without a backlog whose request rate is below lastReplicaMinRate.
func (p *planner) desiredReplicas(model string) int {
	n := 0
	if r := p.requestRates[model]; r >= lastReplicaMinRate {
		n = 1
		if r >= secondReplicaMinRate {
			n = 2
		}
		if p.MaxReplicaTokenRate > 0 {
			n = max(n, int(math.Ceil(p.promptTokenRates[model]/p.MaxReplicaTokenRate)))
		}
	}
	if p.hasBacklog(model) {
		n = max(n, p.servingReplicas[model]+1)
	}
	return min(n, len(p.Engines))
}

// hasBacklog reports whether enough requests for a model have waited long enough to justify one more replica.
func (p *planner) hasBacklog(model string) bool {
	return p.waitingRequests[model] >= minBacklogRequests && p.longestWaits[model] >= minBacklogWait
}

// engineTokenRate returns the prompt tokens per second that the engine gets from its models. A model's token rate is split
// equally among its replicas.
func (p *planner) engineTokenRate(e *Engine) float64 {
	sum := 0.0
	for _, h := range e.LoadedModels {
		if !e.isClosing(h.Model) {
			sum += p.promptTokenRates[h.Model] / float64(max(p.replicas[h.Model], 1))
		}
	}
	return sum
}

// replicaNeed is a model that needs one more replica.
type replicaNeed struct {
	model  string
	reason Reason
	// weight orders models with the same reason, highest first.
	weight float64
}

// listReplicaNeeds returns the models that need a replica, the most urgent first. Models without a replica that requests
// wait for, and models with a backlog, come before models that only evacuated engines hold, and these before models that are only
// short of replicas for their rate. Within the first
// group the number of requests that a load would serve decides. The longest wait alone does not decide: when many requests
// wait for a model, they are refused before any of them has waited for long.
func (p *planner) listReplicaNeeds() []replicaNeed {
	var out []replicaNeed
	for model := range p.EngineSpec.Models {
		switch n := p.replicas[model]; {
		case n == 0 && p.waitingRequests[model] > 0:
			late := p.waitingRequests[model] - p.onTimeRequests[model]
			weight := float64(p.onTimeRequests[model]) + lateRequestWeight*float64(late) + p.requestRates[model]*expectedDemandWindow.Seconds() +
				max(p.longestWaits[model], p.UnservedDurations[model]).Seconds()*waitWeightPerSecond
			out = append(out, replicaNeed{model: model, reason: ReasonWaitingRequests, weight: weight})
		case n == 0 && p.evacuatedModels[model] && p.requestRates[model] >= evacuationMinRate:
			out = append(out, replicaNeed{model: model, reason: ReasonEvacuation, weight: p.requestRates[model]})
		case n < p.desiredReplicas(model) && p.hasBacklog(model):
			weight := float64(p.waitingRequests[model])/float64(n+1) + p.requestRates[model]
			out = append(out, replicaNeed{model: model, reason: ReasonWaitingRequests, weight: weight})
		case n < p.desiredReplicas(model):
			out = append(out, replicaNeed{model: model, reason: ReasonBusyModel, weight: float64(p.desiredReplicas(model)) / float64(n+1)})
		}
	}
	slices.SortFunc(out, func(a, b replicaNeed) int {
		return cmp.Or(
			cmp.Compare(a.reason, b.reason), cmp.Compare(b.weight, a.weight), cmp.Compare(a.model, b.model))
	})
	return out
}
