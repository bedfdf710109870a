package afplacement

import (
	"maps"
	"slices"
)

// reconcile brings the record in line with answers and reports and records the orders that follow.
func (v View) reconcile(r Record) Record {
	r = v.settle(r)
	for _, a := range r.Assignments {
		if _, ok := v.cfg.Endpoints[a.Endpoint]; !ok {
			// An endpoint that left the configuration is gone, and its charges with it.
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
	return v.adopt(v.refence(r))
}

// settle drops the orders that are over. The record keeps those that ended since the last commit for readers.
func (v View) settle(r Record) Record {
	orders := make([]Order, 0, len(r.Orders))
	for _, o := range r.Orders {
		_, known := v.cfg.Endpoints[o.Endpoint]
		if o.State != OrderRecorded || !known {
			continue
		}
		if !v.live(r, o) || v.landed(r, o) {
			o.State = OrderCancelled
			if r.own(o) {
				o.State = OrderDone
			}
		}
		orders = append(orders, o)
	}
	r.Orders = orders
	return r
}

// landed reports whether an own order with a lost answer is known to have arrived: the endpoint has reported its
// effect since, and no other order can have had it. For a load that takes a place which was empty before, and no
// copy of the load.
func (v View) landed(r Record, o Order) bool {
	f := v.flights[o.ID]
	if !r.own(o) || !f.answered || f.reply != OutcomeAnswerLost {
		return false
	}
	p := place{o.Endpoint, o.Model}
	state, _, known := v.presence(p)
	if o.Verb == VerbUnload {
		return known && state == ""
	}
	return known && state != "" && v.copies[p] == 1
}

// orders counts the live loads for the place, the own orders that wait or are on their way, and the own loads whose
// answers were lost.
func (v View) orders(r Record, p place) (loads, own, lost int) {
	for _, o := range r.Orders {
		if o.Endpoint != p.endpoint || o.Model != p.model || !v.live(r, o) {
			continue
		}
		if o.Verb == VerbLoad {
			loads++
		}
		f := v.flights[o.ID]
		switch {
		case r.own(o) && (!f.answered || f.reply != OutcomeAnswerLost):
			own++
		case o.Sender == v.Self && o.Verb == VerbLoad:
			lost++
		}
	}
	return loads, own, lost
}

func (v View) reconcileLoading(r Record, a Assignment) Record {
	p := place{a.Endpoint, a.Model}
	loads, own, lost := v.orders(r, p)
	state, _, known := v.presence(p)
	_, settled := v.settled[p]
	switch {
	case known && state == stateLoaded:
		a.State = AssignmentLoaded
		return r.WithAssignment(a)
	case own > 0 || state == stateLoading:
		return r
	case !known && (!settled || !v.variant.freeUnobserved):
		return r
	case !settled:
		return r.WithOrder(VerbLoad, a)
	case loads == 0:
		return r.WithoutAssignment(a.Endpoint, a.Model)
	case lost > 0 && lost < maxCopies && !v.cfg.Endpoints[a.Endpoint].Fenced:
		// The charge stays for the lost copy in any case, so another copy costs nothing.
		return r.WithOrder(VerbLoad, a)
	}
	a.State = AssignmentUnloading
	return r.WithAssignment(a)
}

func (v View) reconcileLoaded(r Record, a Assignment) Record {
	p := place{a.Endpoint, a.Model}
	state, _, known := v.presence(p)
	if !known || state == stateLoaded {
		return r
	}
	if loads, _, _ := v.orders(r, p); loads == 0 && state == "" {
		return r.WithoutAssignment(a.Endpoint, a.Model)
	}
	a.State = AssignmentUnloading
	if state == stateLoading {
		a.State = AssignmentLoading
	}
	return r.WithAssignment(a)
}

func (v View) reconcileUnloading(r Record, a Assignment) Record {
	p := place{a.Endpoint, a.Model}
	loads, own, _ := v.orders(r, p)
	state, _, known := v.presence(p)
	settled, ever := v.settled[p]
	switch {
	case own > 0:
		return r
	case known && state == "", v.variant.freeUnobserved && ever:
		if loads == 0 {
			return r.WithoutAssignment(a.Endpoint, a.Model)
		}
		return r
	case !ever:
		return r.WithOrder(VerbUnload, a)
	case known && state == stateLoaded && v.reports[a.Endpoint].asked.Sub(settled) >= unloadPatience:
		return r.WithOrder(VerbUnload, a)
	}
	return r
}

// refence makes fenced endpoints refuse orders of unknown fate: it repeats an order under the present fence
// where earlier ones are exposed, and raises the fence where an own order was lost.
func (v View) refence(r Record) Record {
	for _, o := range r.Orders {
		ep := v.cfg.Endpoints[o.Endpoint]
		if !ep.Fenced || !v.live(r, o) {
			continue
		}
		a, ok := r.Assignment(o.Endpoint, o.Model)
		if !ok {
			a = Assignment{Endpoint: o.Endpoint, Model: o.Model, Memory: o.Memory, State: AssignmentUnloading}
			r = r.WithAssignment(a)
		}
		if r.own(o) {
			f := v.flights[o.ID]
			// Most lost answers are those of long loads. The next report tells whether the order has arrived.
			if _, _, known := v.presence(place{o.Endpoint, o.Model}); known && f.answered && f.reply == OutcomeAnswerLost {
				r.Fence++
				return r
			}
			continue
		}
		if _, own, _ := v.orders(r, place{o.Endpoint, o.Model}); own > 0 {
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

// adopt records models that endpoints hold without an assignment: as loaded within the decided bound, otherwise
// to be unloaded.
func (v View) adopt(r Record) Record {
	for _, endpoint := range slices.Sorted(maps.Keys(v.cfg.Endpoints)) {
		rep := v.reports[endpoint]
		for _, m := range rep.status.Models {
			cfg, ok := v.cfg.Models[m.Name]
			if !ok || rep.asked.Before(v.tenure) {
				continue
			}
			if _, ok := r.Assignment(endpoint, m.Name); ok {
				continue
			}
			if _, _, known := v.presence(place{endpoint, m.Name}); !known {
				continue
			}
			a := Assignment{Endpoint: endpoint, Model: m.Name, Memory: max(m.Memory, cfg.Memory), State: AssignmentLoaded}
			if v.count(r, m.Name) > v.bound(m.Name) || m.State == stateUnloading {
				a.State = AssignmentUnloading
			}
			r = r.WithAssignment(a)
		}
	}
	return r
}

// The states of models in an endpoint's report.
const (
	stateLoading   = "loading"
	stateLoaded    = "loaded"
	stateUnloading = "unloading"
)
