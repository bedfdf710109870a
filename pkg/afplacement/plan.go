package afplacement

import (
	"maps"
	"time"

	"arbutusfork.example/arbutusfork"
)

// commitChanges starts the owner's next commit if the record must change or the lease must be renewed.
func (v View) commitChanges(now time.Time) (View, []Effect) {
	if v.releaseRequested {
		if v.hasUnansweredOrder() && v.HasLease(now) {
			return v, nil
		}
		next := v.dropEndedOrders(v.record)
		next.Owner = arbutusfork.Incarnation{}
		// No order may be sent once the release may have committed.
		v.leaseEndsAt = now
		return v.startCommit(next, now)
	}
	next := v.reconcileRecord(v.record)
	var decisions []Effect
	if v.HasLease(now) {
		v, next, decisions = v.planChanges(next, now)
	}
	if !v.needsImmediateCommit(next) && now.Sub(v.renewedAt) < renewalInterval {
		return v, nil
	}
	v, effects := v.startCommit(next, now)
	return v, append(effects, decisions...)
}

// hasUnansweredOrder reports whether an order that this VM sent has no outcome yet.
func (v View) hasUnansweredOrder() bool {
	for _, f := range v.sentOrders {
		if !f.hasOutcome {
			return true
		}
	}
	return false
}

// needsImmediateCommit reports whether the changed record must be committed before the next renewal of the lease. Ended
// orders and completed loads can wait, since the owner itself has them in its view.
func (v View) needsImmediateCommit(next Record) bool {
	if next.NextOrderID != v.record.NextOrderID || next.Fence != v.record.Fence || len(next.Assignments) != len(v.record.Assignments) ||
		len(next.Unobserved) != len(v.record.Unobserved) {
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

// planChanges decides on loads for the demand, and on unloads of replicas that are not worth their memory.
func (v View) planChanges(r Record, now time.Time) (View, Record, []Effect) {
	var effects []Effect
	reserved := make(map[string]int64)
	for _, w := range v.wantedModels(now) {
		for v.expectedReplicas(r, w.model, now) < w.replicas && (v.variant.ignoreReplicaLimit || v.countReplicas(r, w.model) < v.maxReplicas(w.model)) {
			list := v.replicaCandidates(r, w.model, reserved, now)
			if len(list) == 0 {
				break
			}
			best := list[0]
			d := Decision{Model: w.model, Endpoint: best.Endpoint, Choice: best, Alternatives: list[1:], WaitingRequests: w.waitingRequests, LoadBudget: v.availableLoads(now)}
			_, d.LoadsInProgress, _ = v.loadsInProgress(r, best.Endpoint)
			if best.MustWait {
				r, effects = v.recordEvictions(r, d, effects)
				reserved[best.Endpoint] += v.cfg.Models[w.model].MemoryMB
				break
			}
			d.Verb, d.Reason = VerbLoad, "demand"
			effects = append(effects, d)
			v, r = v.recordLoad(r, w.model, best, now)
		}
	}
	if now.Sub(v.sweptAt) < sweepInterval {
		return v, r, effects
	}
	v.sweptAt = now
	r, unloads := v.unloadUnneededReplicas(r, now)
	return v, r, append(effects, unloads...)
}

// recordLoad assigns the model to the candidate's endpoint and records the load order.
func (v View) recordLoad(r Record, model string, c Candidate, now time.Time) (View, Record) {
	a := Assignment{Endpoint: c.Endpoint, Model: model, Memory: v.cfg.Models[model].MemoryMB, State: AssignmentLoading}
	p := placement{c.Endpoint, model}
	fromStore := c.Tier == TierRemote && !v.cfg.Models[model].IsAdapter()
	v.loadStarts = mapWith(v.loadStarts, p, loadStart{startedAt: now, loadTime: c.LoadTime, timeToReady: c.TimeToReady, fromStore: fromStore})
	v.answeredAt = maps.Clone(v.answeredAt)
	delete(v.answeredAt, p)
	v.loadCopies = mapWith(v.loadCopies, p, 0)
	if fromStore {
		v.loadBudget, v.loadBudgetAt = v.availableLoads(now)-1, now
	}
	return v, r.WithAssignment(a).WithOrder(VerbLoad, a)
}

// recordEvictions records the unloads that free memory for the decision's model.
func (v View) recordEvictions(r Record, d Decision, effects []Effect) (Record, []Effect) {
	for _, model := range d.Choice.Evictions {
		a, ok := r.Assignment(d.Endpoint, model)
		if !ok || a.State == AssignmentUnloading {
			continue
		}
		r = v.recordUnload(r, a)
		eviction := d
		eviction.Verb, eviction.Model, eviction.Reason = VerbUnload, model, "room for "+d.Model
		effects = append(effects, eviction)
	}
	return r, effects
}

// recordUnload marks the assignment and, for a base model, those of its adapters on the endpoint as unloading, and
// records the orders.
func (v View) recordUnload(r Record, a Assignment) Record {
	for _, b := range r.Assignments {
		base, adapter := arbutusfork.SplitModelName(b.Model)
		if b.Endpoint != a.Endpoint || b.State == AssignmentUnloading || b.Model != a.Model && (adapter == "" || base != a.Model) {
			continue
		}
		b.State = AssignmentUnloading
		r = r.WithAssignment(b).WithOrder(VerbUnload, b)
	}
	return r
}

// expectedReplicas counts the replicas that serve or are expected to serve soon. A load that takes longer than
// loadHedgeFactor times its estimate does not count, so that another replica is loaded within the limit.
func (v View) expectedReplicas(r Record, model string, now time.Time) int {
	n := 0
	for _, a := range r.Assignments {
		if a.Model != model || a.State == AssignmentUnloading || !v.acceptsReplicas(a.Endpoint) && !v.awaitsFirstReport(a.Endpoint, now) {
			continue
		}
		if start, ok := v.loadStarts[placement{a.Endpoint, model}]; ok && a.State == AssignmentLoading && now.Sub(start.startedAt) > loadHedgeFactor*start.timeToReady {
			continue
		}
		n++
	}
	return n
}

// awaitsFirstReport reports whether the endpoint has not reported since the take-over and firstReportTimeout has not
// passed. Its replicas count during that time; otherwise an endpoint that reports earlier would get a needless load.
func (v View) awaitsFirstReport(endpoint string, now time.Time) bool {
	_, ok := v.reports[endpoint]
	return !ok && !v.cfg.Endpoints[endpoint].IsLeaving && now.Sub(v.takeoverSentAt) < firstReportTimeout
}

// unloadUnneededReplicas unloads the replicas that are not worth their memory, those beyond the need, and those on
// leaving endpoints once no request runs there.
func (v View) unloadUnneededReplicas(r Record, now time.Time) (Record, []Effect) {
	var effects []Effect
	for _, a := range r.Assignments {
		current, ok := r.Assignment(a.Endpoint, a.Model)
		if !ok || current.State != AssignmentLoaded {
			continue
		}
		reason := ""
		report := v.reports[a.Endpoint]
		switch {
		case report.requestedAt.IsZero() || report.missedReports >= maxMissedReports || now.Sub(v.takeoverSentAt) < v.demandTTL():
			// Nothing is unloaded without a report, or before VMs had time to report their demand after a take-over.
		case report.status.Leaving || v.cfg.Endpoints[a.Endpoint].IsLeaving:
			if report.status.RunningRequests == 0 && report.status.WaitingRequests == 0 {
				reason = "endpoint leaving"
			}
		case !v.shouldKeepReplica(current, now):
			reason = "not worth its memory"
		case v.isSurplus(r, current, now):
			reason = "more replicas than needed"
		}
		if reason == "" {
			continue
		}
		effects = append(effects, Decision{
			Verb: VerbUnload, Model: a.Model, Endpoint: a.Endpoint, Reason: reason,
			Choice: Candidate{Endpoint: a.Endpoint, Tier: v.nearestTier(a.Endpoint, a.Model), FreeMemory: v.cfg.Endpoints[a.Endpoint].MemoryMB - v.ChargedMemory(r, a.Endpoint)},
		})
		r = v.recordUnload(r, current)
	}
	return r, effects
}

// isSurplus reports whether the model has more loaded replicas than its recent peak needs and this replica is the one
// to unload: the last by endpoint name, if no request runs on the endpoint.
func (v View) isSurplus(r Record, a Assignment, now time.Time) bool {
	needed := v.replicasNeeded(a.Model, int(v.demand[a.Model].decayedPeak(now)+0.5))
	loaded := 0
	lastEndpoint := ""
	for _, b := range r.Assignments {
		if b.Model == a.Model && b.State == AssignmentLoaded {
			loaded++
			lastEndpoint = max(lastEndpoint, b.Endpoint)
		}
	}
	return loaded > needed && lastEndpoint == a.Endpoint && v.reports[a.Endpoint].status.RunningRequests == 0
}
