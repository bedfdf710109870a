package afplacement

import (
	"maps"
	"time"

	"arbutusfork.example/arbutusfork"
)

// commit starts the next commit of the owner if the record must change or the lease must be renewed.
func (v View) commit(now time.Time) (View, []Effect) {
	if v.resign {
		if v.waits() && v.HasLease(now) {
			return v, nil
		}
		next := v.settle(v.record)
		next.Owner = arbutusfork.Incarnation{}
		// Nothing is sent once the release may have committed.
		v.until = now
		return v.propose(next, now)
	}
	next := v.reconcile(v.record)
	var decisions []Effect
	if v.HasLease(now) {
		v, next, decisions = v.plan(next, now)
	}
	if !v.urgent(next) && now.Sub(v.renewed) < renewal {
		return v, nil
	}
	v, effects := v.propose(next, now)
	return v, append(effects, decisions...)
}

// waits reports whether the answer to an own order is outstanding.
func (v View) waits() bool {
	for _, f := range v.flights {
		if !f.answered {
			return true
		}
	}
	return false
}

// urgent reports whether the change cannot wait for the next renewal. Orders that ended and loads that
// completed can, since the owner itself knows of them.
func (v View) urgent(next Record) bool {
	if next.NextOrderID != v.record.NextOrderID || next.Fence != v.record.Fence || len(next.Assignments) != len(v.record.Assignments) {
		return true
	}
	for i, a := range next.Assignments {
		if b := v.record.Assignments[i]; a.Endpoint != b.Endpoint || a.Model != b.Model ||
			a.State != b.State && a.State == AssignmentUnloading {
			return true
		}
	}
	return false
}

// plan decides on loads for the demand, and on unloads of replicas that are not worth their memory.
func (v View) plan(r Record, now time.Time) (View, Record, []Effect) {
	var effects []Effect
	reserved := make(map[string]int64)
	for _, w := range v.wantedModels(now) {
		for v.coming(r, w.model, now) < w.count && (v.variant.ignoreReplicas || v.count(r, w.model) < v.bound(w.model)) {
			list := v.candidates(r, w.model, reserved, now)
			if len(list) == 0 {
				break
			}
			best := list[0]
			d := Decision{Model: w.model, Endpoint: best.Endpoint, Choice: best, Alternatives: list[1:], WaitingRequests: w.waiting, LoadBudget: v.tokens(now)}
			_, d.LoadsInProgress, _ = v.inProgress(r, best.Endpoint)
			if best.MustWait {
				r, effects = v.evict(r, d, effects)
				reserved[best.Endpoint] += v.cfg.Models[w.model].Memory
				break
			}
			d.Verb, d.Reason = VerbLoad, "demand"
			effects = append(effects, d)
			v, r = v.load(r, w.model, best, now)
		}
	}
	if now.Sub(v.swept) < sweep {
		return v, r, effects
	}
	v.swept = now
	r, more := v.release(r, now)
	return v, r, append(effects, more...)
}

// load assigns the model and records the order.
func (v View) load(r Record, model string, c Candidate, now time.Time) (View, Record) {
	a := Assignment{Endpoint: c.Endpoint, Model: model, Memory: v.cfg.Models[model].Memory, State: AssignmentLoading}
	p := place{c.Endpoint, model}
	remote := c.Tier == TierRemote && !v.cfg.Models[model].IsAdapter()
	v.starts = with(v.starts, p, start{at: now, bare: c.LoadTime, ready: c.TimeToReady, remote: remote})
	v.settled = maps.Clone(v.settled)
	delete(v.settled, p)
	v.copies = with(v.copies, p, 0)
	if remote {
		v.budget, v.filled = v.tokens(now)-1, now
	}
	return v, r.WithAssignment(a).WithOrder(VerbLoad, a)
}

// evict starts the unloads that make room for the decision's model.
func (v View) evict(r Record, d Decision, effects []Effect) (Record, []Effect) {
	for _, model := range d.Choice.Evictions {
		a, ok := r.Assignment(d.Endpoint, model)
		if !ok || a.State == AssignmentUnloading {
			continue
		}
		r = v.unload(r, a)
		e := d
		e.Verb, e.Model, e.Reason = VerbUnload, model, "room for "+d.Model
		effects = append(effects, e)
	}
	return r, effects
}

// unload marks the assignment and the adapters that go with it, and records the orders.
func (v View) unload(r Record, a Assignment) Record {
	for _, b := range r.Assignments {
		base, adapter := arbutusfork.SplitModel(b.Model)
		if b.Endpoint != a.Endpoint || b.State == AssignmentUnloading || b.Model != a.Model && (adapter == "" || base != a.Model) {
			continue
		}
		b.State = AssignmentUnloading
		r = r.WithAssignment(b).WithOrder(VerbUnload, b)
	}
	return r
}

// coming counts the replicas that serve or will do so in time. A load that takes far longer than expected does
// not count, so that another one is tried within the bound.
func (v View) coming(r Record, model string, now time.Time) int {
	n := 0
	for _, a := range r.Assignments {
		if a.Model != model || a.State == AssignmentUnloading || !v.usable(a.Endpoint) && !v.awaited(a.Endpoint, now) {
			continue
		}
		if s, ok := v.starts[place{a.Endpoint, model}]; ok && a.State == AssignmentLoading && now.Sub(s.at) > hedgeFactor*s.ready {
			continue
		}
		n++
	}
	return n
}

// awaited reports whether the endpoint still has time to report for the first time under the present fence. Its
// replicas count until then, since another endpoint's report may come first.
func (v View) awaited(endpoint string, now time.Time) bool {
	_, ok := v.reports[endpoint]
	return !ok && !v.cfg.Endpoints[endpoint].Leaving && now.Sub(v.tenure) < reportPatience
}

// release unloads the replicas that are not worth their memory, those beyond the need, and those on leaving
// endpoints once nothing runs there.
func (v View) release(r Record, now time.Time) (Record, []Effect) {
	var effects []Effect
	for _, a := range r.Assignments {
		cur, ok := r.Assignment(a.Endpoint, a.Model)
		if !ok || cur.State != AssignmentLoaded {
			continue
		}
		reason := ""
		rep := v.reports[a.Endpoint]
		switch {
		case rep.asked.IsZero() || rep.misses >= maxMisses || now.Sub(v.tenure) < v.life():
			// Without a report, or before VMs had the time to report demand, nothing is given up.
		case rep.status.Leaving || v.cfg.Endpoints[a.Endpoint].Leaving:
			if rep.status.RunningRequests == 0 && rep.status.WaitingRequests == 0 {
				reason = "endpoint leaving"
			}
		case !v.keep(cur, now):
			reason = "not worth its memory"
		case v.surplus(r, cur, now):
			reason = "more replicas than needed"
		}
		if reason == "" {
			continue
		}
		effects = append(effects, Decision{
			Verb: VerbUnload, Model: a.Model, Endpoint: a.Endpoint, Reason: reason,
			Choice: Candidate{Endpoint: a.Endpoint, Tier: v.tier(a.Endpoint, a.Model), FreeMemory: v.cfg.Endpoints[a.Endpoint].Memory - v.ChargedMemory(r, a.Endpoint)},
		})
		r = v.unload(r, cur)
	}
	return r, effects
}

// surplus reports whether the model has more replicas than its recent peak needs, and this is the one to give up.
func (v View) surplus(r Record, a Assignment, now time.Time) bool {
	need := v.replicasFor(a.Model, int(v.demand[a.Model].level(now)+0.5))
	n := 0
	last := ""
	for _, b := range r.Assignments {
		if b.Model == a.Model && b.State == AssignmentLoaded {
			n++
			last = max(last, b.Endpoint)
		}
	}
	return n > need && last == a.Endpoint && v.reports[a.Endpoint].status.RunningRequests == 0
}
