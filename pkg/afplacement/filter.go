package afplacement

import (
	"maps"
	"slices"
	"time"

	"arbutusfork.example/arbutusfork"
)

// BuildPartForSharers returns the shard's part of the routing table as of now, without a sequence. The slots of each
// endpoint are divided over the VMs that have demand for a model there; sharers lists these VMs by model.
func (v View) BuildPartForSharers(shard string, sharers map[string][]string, now time.Time) TablePart {
	if v.cfg.Service.Kind == arbutusfork.ServicePlain {
		return v.BuildPart(shard, sharers[v.cfg.Service.Name], now)
	}
	vms := make(map[string]map[string]bool, len(v.cfg.Endpoints))
	for _, a := range v.record.Assignments {
		if vms[a.Endpoint] == nil {
			vms[a.Endpoint] = make(map[string]bool)
		}
		for _, vm := range sharers[a.Model] {
			vms[a.Endpoint][vm] = true
		}
	}
	return v.buildPartWithSharers(shard, func(endpoint string) []string { return slices.Sorted(maps.Keys(vms[endpoint])) }, now)
}

// PartFilter selects the entries of a part of the routing table that single VMs need. It is immutable.
type PartFilter struct {
	part      TablePart
	replicas  map[string][]Replica
	estimates map[string]ReadyEstimate
}

// NewPartFilter returns a filter of the part.
func NewPartFilter(p TablePart) PartFilter {
	f := PartFilter{part: p, replicas: make(map[string][]Replica), estimates: make(map[string]ReadyEstimate)}
	for _, r := range p.Replicas {
		f.replicas[r.Model] = append(f.replicas[r.Model], r)
	}
	for _, e := range p.Estimates {
		f.estimates[e.Model] = e
	}
	f.part.Replicas, f.part.Estimates = nil, nil
	return f
}

// PartForVM returns the part for one VM: the replicas and estimates of the models, in the order of models, with only
// this VM's credits. Counts of running requests are left out, because the part is not sent again when they change.
func (f PartFilter) PartForVM(vm string, models []string) TablePart {
	p := f.part
	p.FilteredFor = vm
	for _, model := range models {
		for _, r := range f.replicas[model] {
			r.RunningRequests, r.Credits = 0, map[string]int{vm: r.Credit(vm)}
			p.Replicas = append(p.Replicas, r)
		}
		if e, ok := f.estimates[model]; ok {
			p.Estimates = append(p.Estimates, e)
		}
	}
	return p
}

// HasModel reports whether the part has a replica or an estimate of the model.
func (p TablePart) HasModel(model string) bool {
	return slices.ContainsFunc(p.Replicas, func(r Replica) bool { return r.Model == model }) ||
		slices.ContainsFunc(p.Estimates, func(e ReadyEstimate) bool { return e.Model == model })
}

// FilterModels returns a table with the replicas and estimates of the models for which keep returns true. Parts with
// epoch zero, which are built from the configuration, are not filtered.
func (t *Table) FilterModels(keep func(model string) bool) *Table {
	if t == nil {
		return nil
	}
	next, changed := &Table{parts: maps.Clone(t.parts)}, false
	for name, p := range next.parts {
		if p.Epoch == 0 {
			continue
		}
		replicas := slices.DeleteFunc(slices.Clone(p.Replicas), func(r Replica) bool { return !keep(r.Model) })
		estimates := slices.DeleteFunc(slices.Clone(p.Estimates), func(e ReadyEstimate) bool { return !keep(e.Model) })
		if len(replicas) == len(p.Replicas) && len(estimates) == len(p.Estimates) {
			continue
		}
		p.Replicas, p.Estimates, changed = replicas, estimates, true
		next.parts[name] = p
	}
	if !changed {
		return t
	}
	next.rebuildIndex()
	return next
}

// CurrentVersion returns the version of the shard's part. It is zero if there is no part or if WithoutEndpoint has
// removed an endpoint from the part.
func (t *Table) CurrentVersion(shard string) PartVersion {
	p, ok := t.Part(shard)
	if !ok || p.endpointRemoved {
		return PartVersion{}
	}
	return p.Version()
}

// EqualExceptCredits reports whether the parts are equal apart from sequences, counts of running requests and credits.
func (p TablePart) EqualExceptCredits(q TablePart) bool {
	sameReplica := func(a, b Replica) bool {
		return a.Model == b.Model && a.Endpoint == b.Endpoint && a.Address == b.Address && a.Centre == b.Centre && a.Slots == b.Slots
	}
	return p.Epoch == q.Epoch && p.Owner == q.Owner && slices.EqualFunc(p.Replicas, q.Replicas, sameReplica) &&
		slices.EqualFunc(p.Estimates, q.Estimates, func(a, b ReadyEstimate) bool { return a.Model == b.Model })
}
