package afplacement

import (
	"maps"
	"slices"
	"time"

	"arbutusfork.example/arbutusfork"
)

// minPublishedReadyTime is the shortest published time until a replica can serve, also for an overdue load.
const minPublishedReadyTime = 100 * time.Millisecond

// BuildPart returns the shard's part of the routing table as of now, without a sequence. The slots are divided over
// vms.
func (v View) BuildPart(shard string, vms []string, now time.Time) TablePart {
	return v.buildPartWithSharers(shard, func(string) []string { return vms }, now)
}

// buildPartWithSharers returns the shard's part of the routing table, with the slots of each endpoint divided over the
// VMs that sharers returns for it.
func (v View) buildPartWithSharers(shard string, sharers func(endpoint string) []string, now time.Time) TablePart {
	p := TablePart{Shard: shard, Service: v.cfg.Service.Name, Owner: v.record.Owner, Epoch: v.record.Fence}
	if v.cfg.Service.Kind == arbutusfork.ServicePlain {
		p.Replicas = v.plainServiceReplicas(sharers, now)
		return p
	}
	credits := make(map[string]map[string]int)
	for _, name := range slices.Sorted(maps.Keys(v.cfg.Endpoints)) {
		credits[name] = AllocateCredits(v.cfg.Endpoints[name].Slots, sharers(name), v.endpointDemand(name, now))
	}
	for _, a := range v.record.Assignments {
		ep, ok := v.cfg.Endpoints[a.Endpoint]
		if !ok || !v.isRoutable(a.Endpoint) || !v.isServing(v.record, placement{a.Endpoint, a.Model}) || v.isBeingUnloaded(a) {
			continue
		}
		p.Replicas = append(p.Replicas, Replica{
			Model: a.Model, Endpoint: ep.Name, Address: ep.Address, Centre: ep.Centre, Slots: ep.Slots,
			RunningRequests: v.reports[ep.Name].status.RunningRequests, Credits: credits[ep.Name],
		})
	}
	p.Estimates = v.readyEstimates(p.Replicas, now)
	return p
}

// isBeingUnloaded reports whether a commit in flight unloads the assignment.
func (v View) isBeingUnloaded(a Assignment) bool {
	if v.pendingRecord == nil {
		return false
	}
	b, ok := v.pendingRecord.Assignment(a.Endpoint, a.Model)
	return !ok || b.State == AssignmentUnloading
}

// isRoutable reports whether requests may go to the endpoint. An endpoint without a report is routable.
func (v View) isRoutable(endpoint string) bool {
	report := v.reports[endpoint]
	return report.missedReports < maxMissedReports && !report.status.Leaving && !v.cfg.Endpoints[endpoint].IsLeaving
}

// plainServiceReplicas returns the routable endpoints of a plain service as replicas.
func (v View) plainServiceReplicas(sharers func(endpoint string) []string, now time.Time) []Replica {
	var out []Replica
	demand := make(map[string]int)
	for vm, w := range v.demand[v.cfg.Service.Name].byVM {
		if now.Sub(w.reportedAt) < w.ttl {
			demand[vm] = w.waitingRequests + w.runningRequests
		}
	}
	for _, name := range slices.Sorted(maps.Keys(v.cfg.Endpoints)) {
		if ep := v.cfg.Endpoints[name]; v.isRoutable(name) {
			out = append(out, Replica{
				Model: v.cfg.Service.Name, Endpoint: name, Address: ep.Address, Centre: ep.Centre, Slots: ep.Slots,
				RunningRequests: v.reports[name].status.RunningRequests, Credits: AllocateCredits(ep.Slots, sharers(name), demand),
			})
		}
	}
	return out
}

// endpointDemand sums up each VM's requests for the models that are assigned to the endpoint.
func (v View) endpointDemand(endpoint string, now time.Time) map[string]int {
	out := make(map[string]int)
	for _, a := range v.record.Assignments {
		if a.Endpoint != endpoint || a.State == AssignmentUnloading {
			continue
		}
		for vm, w := range v.demand[a.Model].byVM {
			if now.Sub(w.reportedAt) < w.ttl {
				out[vm] += w.waitingRequests + w.runningRequests
			}
		}
	}
	return out
}

// readyEstimates estimates when the wanted models that have no replica can serve.
func (v View) readyEstimates(replicas []Replica, now time.Time) []ReadyEstimate {
	hasReplica := make(map[string]bool)
	for _, r := range replicas {
		hasReplica[r.Model] = true
	}
	var out []ReadyEstimate
	for _, w := range v.wantedModels(now) {
		if hasReplica[w.model] {
			continue
		}
		if d, ok := v.timeToReady(w.model, now); ok {
			out = append(out, ReadyEstimate{Model: w.model, TimeToReady: d})
		}
	}
	return out
}

// timeToReady returns the remaining time until the model can serve.
func (v View) timeToReady(model string, now time.Time) (time.Duration, bool) {
	for _, a := range v.record.Assignments {
		if start, ok := v.loadStarts[placement{a.Endpoint, model}]; ok && a.Model == model && a.State == AssignmentLoading {
			return max(start.startedAt.Add(start.timeToReady).Sub(now), minPublishedReadyTime), true
		}
	}
	if list := v.replicaCandidates(v.record, model, nil, now); len(list) > 0 {
		return max(list[0].TimeToReady, minPublishedReadyTime), true
	}
	m := v.cfg.Models[model]
	base := m.BaseName()
	if !m.IsAdapter() || base == model {
		return 0, false
	}
	d, ok := v.timeToReady(base, now)
	return d + loadTime(m, TierRemote), ok
}
