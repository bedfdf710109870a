package afplacement

import (
	"maps"
	"slices"
)

// reconcileRecord updates the record by order outcomes and endpoint reports, and adds the orders that follow from them.
func (v View) reconcileRecord(r Record) Record {
	r = v.withObservedEndpoints(v.dropEndedOrders(r))
	for _, a := range r.Assignments {
		if _, ok := v.cfg.Endpoints[a.Endpoint]; !ok {
			// An endpoint that is no longer configured carries no charges.
			r = r.WithoutAssignment(a.Endpoint, a.Model)
			continue
		}
		switch a.State {
		case AssignmentLoading:
			r = v.reconcileLoading(r, a)
		case AssignmentLoaded:
			r = v.reconcileLoaded(r, a)
		case AssignmentUnloading:
			r = v.reconcileUnloading(r, a)
		}
	}
	return v.adoptReportedModels(v.fenceUnresolvedOrders(r))
}

// dropEndedOrders marks the orders that have ended, and drops those that the last commit marked. Readers of the record
// thus see the end of each order once.
func (v View) dropEndedOrders(r Record) Record {
	orders := make([]Order, 0, len(r.Orders))
	for _, o := range r.Orders {
		_, known := v.cfg.Endpoints[o.Endpoint]
		if o.State != OrderRecorded || !known {
			continue
		}
		if !v.canExecute(r, o) || v.isConfirmedByReport(r, o) {
			o.State = OrderCancelled
			if r.isOwnOrder(o) {
				o.State = OrderDone
			}
		}
		orders = append(orders, o)
	}
	r.Orders = orders
	return r
}

// isConfirmedByReport reports whether an own order whose answer was lost must have arrived, because the endpoint has
// since reported its effect and no other order can have caused it. A load is confirmed only if the placement was empty
// before and this load was sent once.
func (v View) isConfirmedByReport(r Record, o Order) bool {
	f := v.sentOrders[o.ID]
	if !r.isOwnOrder(o) || !f.hasOutcome || f.outcome != OutcomeAnswerLost {
		return false
	}
	p := placement{o.Endpoint, o.Model}
	state, _, known := v.reportedModel(p)
	if o.Verb == VerbUnload {
		return known && state == ""
	}
	return known && state != "" && v.loadCopies[p] == 1
}

// countOrders counts, for the placement, the loads that may still be carried out, the own orders without an outcome,
// and this VM's loads whose answers were lost.
func (v View) countOrders(r Record, p placement) (loads, unanswered, lostLoads int) {
	for _, o := range r.Orders {
		if o.Endpoint != p.endpoint || o.Model != p.model || !v.canExecute(r, o) {
			continue
		}
		if o.Verb == VerbLoad {
			loads++
		}
		f := v.sentOrders[o.ID]
		switch {
		case r.isOwnOrder(o) && (!f.hasOutcome || f.outcome != OutcomeAnswerLost):
			unanswered++
		case o.Sender == v.Self && o.Verb == VerbLoad:
			lostLoads++
		}
	}
	return loads, unanswered, lostLoads
}

func (v View) reconcileLoading(r Record, a Assignment) Record {
	p := placement{a.Endpoint, a.Model}
	loads, unanswered, lostLoads := v.countOrders(r, p)
	state, _, known := v.reportedModel(p)
	_, isAnswered := v.answeredAt[p]
	switch {
	case known && state == stateLoaded:
		a.State = AssignmentLoaded
		return r.WithAssignment(a)
	case unanswered > 0 || state == stateLoading:
		return r
	case !known && (!isAnswered || !v.variant.endChargeUnobserved):
		return r
	case !isAnswered:
		return r.WithOrder(VerbLoad, a)
	case loads == 0:
		return r.WithoutAssignment(a.Endpoint, a.Model)
	case lostLoads > 0 && lostLoads < maxUnansweredLoads && !v.cfg.Endpoints[a.Endpoint].EnforcesFence:
		// The load whose answer was lost keeps its charge in any case, so repeating the load charges no more.
		return r.WithOrder(VerbLoad, a)
	}
	a.State = AssignmentUnloading
	return r.WithAssignment(a)
}

func (v View) reconcileLoaded(r Record, a Assignment) Record {
	p := placement{a.Endpoint, a.Model}
	state, _, known := v.reportedModel(p)
	if !known || state == stateLoaded {
		return r
	}
	if loads, _, _ := v.countOrders(r, p); loads == 0 && state == "" {
		return r.WithoutAssignment(a.Endpoint, a.Model)
	}
	a.State = AssignmentUnloading
	if state == stateLoading {
		a.State = AssignmentLoading
	}
	return r.WithAssignment(a)
}

func (v View) reconcileUnloading(r Record, a Assignment) Record {
	p := placement{a.Endpoint, a.Model}
	loads, unanswered, _ := v.countOrders(r, p)
	state, _, known := v.reportedModel(p)
	answeredAt, isAnswered := v.answeredAt[p]
	switch {
	case unanswered > 0:
		return r
	case known && state == "", v.variant.endChargeUnobserved && isAnswered:
		if loads == 0 {
			return r.WithoutAssignment(a.Endpoint, a.Model)
		}
		return r
	case !isAnswered:
		return r.WithOrder(VerbUnload, a)
	case known && state == stateLoaded && v.reports[a.Endpoint].requestedAt.Sub(answeredAt) >= unloadRetryDelay:
		return r.WithOrder(VerbUnload, a)
	}
	return r
}

// fenceUnresolvedOrders makes endpoints that enforce fencing refuse orders with an unknown outcome. It repeats an order
// under the current fence where earlier ones are exposed, and raises the fence where the answer to an own order was
// lost.
func (v View) fenceUnresolvedOrders(r Record) Record {
	for _, o := range r.Orders {
		ep := v.cfg.Endpoints[o.Endpoint]
		if !ep.EnforcesFence || !v.canExecute(r, o) {
			continue
		}
		a, ok := r.Assignment(o.Endpoint, o.Model)
		if !ok {
			a = Assignment{Endpoint: o.Endpoint, Model: o.Model, Memory: o.Memory, State: AssignmentUnloading}
			r = r.WithAssignment(a)
		}
		if r.isOwnOrder(o) {
			f := v.sentOrders[o.ID]
			// Most lost answers belong to long loads. The next report shows whether the order has arrived.
			if _, _, known := v.reportedModel(placement{o.Endpoint, o.Model}); known && f.hasOutcome && f.outcome == OutcomeAnswerLost {
				r.Fence++
				return r
			}
			continue
		}
		if _, unanswered, _ := v.countOrders(r, placement{o.Endpoint, o.Model}); unanswered > 0 {
			continue
		}
		verb := VerbLoad
		if a.State == AssignmentUnloading {
			verb = VerbUnload
		}
		r = r.WithOrder(verb, a)
	}
	return r
}

// adoptReportedModels assigns models that endpoints report without an assignment: as loaded up to the replica limit,
// beyond it as unloading.
func (v View) adoptReportedModels(r Record) Record {
	for _, endpoint := range slices.Sorted(maps.Keys(v.cfg.Endpoints)) {
		report := v.reports[endpoint]
		for _, m := range report.status.Models {
			cfg, ok := v.cfg.Models[m.Name]
			if !ok || report.requestedAt.Before(v.takeoverSentAt) {
				continue
			}
			if _, ok := r.Assignment(endpoint, m.Name); ok {
				continue
			}
			if _, _, known := v.reportedModel(placement{endpoint, m.Name}); !known {
				continue
			}
			a := Assignment{Endpoint: endpoint, Model: m.Name, Memory: max(m.Memory, cfg.MemoryMB), State: AssignmentLoaded}
			observed := r
			observed.Unobserved = nil
			if v.countReplicas(observed, m.Name) > v.maxReplicas(m.Name) || m.State == stateUnloading {
				a.State = AssignmentUnloading
			}
			r = r.WithAssignment(a)
		}
	}
	return r
}

// The states of a model in an endpoint's report.
const (
	stateLoading   = "loading"
	stateLoaded    = "loaded"
	stateUnloading = "unloading"
)
