package afplacement

import (
	"maps"
	"slices"
	"time"

	"arbutusfork.example/arbutusfork"
)

// minReady is the shortest published estimate of a load that is overdue.
const minReady = 100 * time.Millisecond

// BuildPart returns the shard's routing table as of now, without a sequence. VMs are the VMs that share the slots.
func (v View) BuildPart(shard string, vms []string, now time.Time) TablePart {
	return v.part(shard, func(string) []string { return vms }, now)
}

// part returns the routing table with the slots of each endpoint shared by the VMs that the function names.
func (v View) part(shard string, sharers func(endpoint string) []string, now time.Time) TablePart {
	p := TablePart{Shard: shard, Service: v.cfg.Service.Name, Owner: v.record.Owner, Epoch: v.record.Fence}
	if v.cfg.Service.Kind == arbutusfork.ServicePlain {
		p.Replicas = v.plain(sharers, now)
		return p
	}
	shares := make(map[string]map[string]int)
	for _, name := range slices.Sorted(maps.Keys(v.cfg.Endpoints)) {
		shares[name] = AllocateCredits(v.cfg.Endpoints[name].Slots, sharers(name), v.endpointDemand(name, now))
	}
	for _, a := range v.record.Assignments {
		ep, ok := v.cfg.Endpoints[a.Endpoint]
		if !ok || !v.routable(a.Endpoint) || !v.serving(v.record, place{a.Endpoint, a.Model}) || v.leavingAssignment(a) {
			continue
		}
		p.Replicas = append(p.Replicas, Replica{
			Model: a.Model, Endpoint: ep.Name, Address: ep.Address, Centre: ep.Centre, Slots: ep.Slots,
			RunningRequests: v.reports[ep.Name].status.RunningRequests, Credits: shares[ep.Name],
		})
	}
	p.Estimates = v.estimates(p.Replicas, now)
	return p
}

// leavingAssignment reports whether a commit in flight unloads the assignment.
func (v View) leavingAssignment(a Assignment) bool {
	if v.pending == nil {
		return false
	}
	b, ok := v.pending.Assignment(a.Endpoint, a.Model)
	return !ok || b.State == AssignmentUnloading
}

// routable reports whether requests may go to the endpoint. Without a report, the record is believed.
func (v View) routable(endpoint string) bool {
	rep := v.reports[endpoint]
	return rep.misses < maxMisses && !rep.status.Leaving && !v.cfg.Endpoints[endpoint].Leaving
}

func (v View) plain(sharers func(endpoint string) []string, now time.Time) []Replica {
	var out []Replica
	need := make(map[string]int)
	for vm, w := range v.demand[v.cfg.Service.Name].vms {
		if now.Sub(w.at) < w.life {
			need[vm] = w.waiting + w.running
		}
	}
	for _, name := range slices.Sorted(maps.Keys(v.cfg.Endpoints)) {
		if ep := v.cfg.Endpoints[name]; v.routable(name) {
			out = append(out, Replica{
				Model: v.cfg.Service.Name, Endpoint: name, Address: ep.Address, Centre: ep.Centre, Slots: ep.Slots,
				RunningRequests: v.reports[name].status.RunningRequests, Credits: AllocateCredits(ep.Slots, sharers(name), need),
			})
		}
	}
	return out
}

// endpointDemand sums each VM's requests for the models that are assigned to the endpoint.
func (v View) endpointDemand(endpoint string, now time.Time) map[string]int {
	out := make(map[string]int)
	for _, a := range v.record.Assignments {
		if a.Endpoint != endpoint || a.State == AssignmentUnloading {
			continue
		}
		for vm, w := range v.demand[a.Model].vms {
			if now.Sub(w.at) < w.life {
				out[vm] += w.waiting + w.running
			}
		}
	}
	return out
}

// estimates forecasts when the wanted models that have no replica can serve.
func (v View) estimates(replicas []Replica, now time.Time) []ReadyEstimate {
	served := make(map[string]bool)
	for _, r := range replicas {
		served[r.Model] = true
	}
	var out []ReadyEstimate
	for _, w := range v.wantedModels(now) {
		if served[w.model] {
			continue
		}
		if d, ok := v.ready(w.model, now); ok {
			out = append(out, ReadyEstimate{Model: w.model, TimeToReady: d})
		}
	}
	return out
}

// ready returns the remaining time until the model can serve.
func (v View) ready(model string, now time.Time) (time.Duration, bool) {
	for _, a := range v.record.Assignments {
		if s, ok := v.starts[place{a.Endpoint, model}]; ok && a.Model == model && a.State == AssignmentLoading {
			return max(s.at.Add(s.ready).Sub(now), minReady), true
		}
	}
	if list := v.candidates(v.record, model, nil, now); len(list) > 0 {
		return max(list[0].TimeToReady, minReady), true
	}
	m := v.cfg.Models[model]
	base := m.Base()
	if !m.IsAdapter() || base == model {
		return 0, false
	}
	d, ok := v.ready(base, now)
	return d + bare(m, TierRemote), ok
}
