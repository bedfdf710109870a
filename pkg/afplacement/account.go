package afplacement

import (
	"time"

	"arbutusfork.example/arbutusfork"
)

const (
	// maxCopies bounds the copies of one load whose answers were lost.
	maxCopies = 3
	// unloadPatience is how long an accepted unload may show no effect before it is ordered again.
	unloadPatience = time.Second
)

// send returns the orders that may be sent now. An order is sent once, only after the record that names it has
// committed, and only within the own lease.
func (v View) send(now time.Time) (View, []Effect) {
	if !v.HasLease(now) && !v.variant.sendLapsed {
		return v, nil
	}
	r := v.record
	if v.variant.sendUncommitted && v.pending != nil {
		r = *v.pending
	}
	var effects []Effect
	for _, o := range r.Orders {
		if _, sent := v.flights[o.ID]; sent || o.State != OrderRecorded || !r.own(o) {
			continue
		}
		if o.Fence < v.floor && !v.variant.sendFloored {
			continue
		}
		if v.pending != nil && !v.variant.sendUncommitted {
			// An order that the commit in flight gives up must not be sent.
			if p, ok := v.pending.order(o.ID); !ok || p.State != OrderRecorded || v.pending.Owner != v.Self {
				continue
			}
		}
		if _, ok := v.cfg.Endpoints[o.Endpoint]; !ok {
			continue
		}
		v.flights = with(v.flights, o.ID, flight{at: now})
		if p := (place{o.Endpoint, o.Model}); o.Verb == VerbLoad {
			if n, ok := v.copies[p]; ok {
				v.copies = with(v.copies, p, n+1)
			}
		}
		effects = append(effects, SendOrder{Order: o})
	}
	return v, effects
}

// open reports whether the order may still reach its endpoint.
func (v View) open(r Record, o Order) bool {
	if o.State != OrderRecorded {
		return false
	}
	if o.Sender == v.Self {
		f, sent := v.flights[o.ID]
		if !sent {
			return r.own(o)
		}
		if f.answered && f.reply != OutcomeAnswerLost {
			return false
		}
		return !v.variant.trustLost
	}
	if v.variant.freeExposed {
		return false
	}
	if v.gone[o.Sender] {
		return false
	}
	if rel := v.released[o.Sender]; rel.fence > o.Fence && !contains(rel.doubt, o.ID) {
		return false
	}
	return true
}

// exposed reports whether the order of another sender or fence may still be carried out by its endpoint.
func (v View) exposed(r Record, o Order) bool {
	if !v.open(r, o) || r.own(o) {
		return false
	}
	ep := v.cfg.Endpoints[o.Endpoint]
	return !ep.Fenced || v.acks[o.Endpoint] <= o.Fence && !v.variant.ignoreAck
}

// live reports whether the order can still be carried out.
func (v View) live(r Record, o Order) bool {
	if r.own(o) {
		return v.open(r, o)
	}
	return v.exposed(r, o)
}

// presence returns what the endpoint reports about a model: an empty state means that it is absent. A report
// counts only if it was asked for after the last order for the place was answered and under the present fence.
func (v View) presence(p place) (state string, memory int64, known bool) {
	rep, ok := v.reports[p.endpoint]
	if !ok || rep.asked.IsZero() {
		return "", 0, false
	}
	stale := rep.asked.Before(v.tenure) || !rep.asked.After(v.settled[p])
	if barrier := v.barrier[p.endpoint]; !rep.asked.After(barrier) && !v.variant.noBarrier {
		stale = stale || !barrier.IsZero()
	}
	if stale && !v.variant.believeOldReport {
		return "", 0, false
	}
	for _, m := range rep.status.Models {
		if m.Name == p.model {
			return m.State, m.Memory, true
		}
	}
	return "", 0, true
}

// ChargedMemory returns the memory in MB that is charged on the endpoint: assignments in every state, loads that may
// still be carried out, and models that the endpoint reports without an assignment.
func (v View) ChargedMemory(r Record, endpoint string) int64 {
	var sum int64
	charged := make(map[string]bool)
	for _, a := range r.Assignments {
		if a.Endpoint == endpoint {
			sum += v.charge(a)
			charged[a.Model] = true
		}
	}
	for _, o := range r.Orders {
		if o.Endpoint == endpoint && o.Verb == VerbLoad && !charged[o.Model] && v.live(r, o) {
			sum += o.Memory
			charged[o.Model] = true
		}
	}
	if v.variant.ignoreUnknown {
		return sum
	}
	for _, m := range v.reports[endpoint].status.Models {
		if !charged[m.Name] {
			sum += max(m.Memory, v.cfg.Models[m.Name].Memory)
		}
	}
	return sum
}

// charge returns the larger of the decided and the reported memory.
func (v View) charge(a Assignment) int64 {
	for _, m := range v.reports[a.Endpoint].status.Models {
		if m.Name == a.Model {
			return max(a.Memory, m.Memory)
		}
	}
	return a.Memory
}

// count returns the number of replicas that the model has or may get, in every state.
func (v View) count(r Record, model string) int {
	places := make(map[string]bool)
	for _, a := range r.Assignments {
		if a.Model == model {
			places[a.Endpoint] = true
		}
	}
	for _, o := range r.Orders {
		if o.Model == model && o.Verb == VerbLoad && v.live(r, o) {
			places[o.Endpoint] = true
		}
	}
	for endpoint, rep := range v.reports {
		_, known := v.cfg.Endpoints[endpoint]
		for _, m := range rep.status.Models {
			if m.Name == model && known {
				places[endpoint] = true
			}
		}
	}
	return len(places)
}

// askReleases asks earlier senders, once a second, to state that they send nothing any more.
func (v View) askReleases(now time.Time) (View, []Effect) {
	if !v.HasLease(now) {
		return v, nil
	}
	var effects []Effect
	for _, o := range v.record.Orders {
		if o.Sender == v.Self || !v.exposed(v.record, o) || now.Sub(v.asked[o.Sender]) < time.Second {
			continue
		}
		v.asked = with(v.asked, o.Sender, now)
		effects = append(effects, FenceSender{Sender: o.Sender, Fence: v.record.Fence})
	}
	return v, effects
}

// ExposedSenders returns the senders whose orders may still be carried out, for a check against the platform's list.
func (v View) ExposedSenders() []arbutusfork.Incarnation {
	var out []arbutusfork.Incarnation
	for _, o := range v.record.Orders {
		if o.Sender != v.Self && v.exposed(v.record, o) && !contains(out, o.Sender) {
			out = append(out, o.Sender)
		}
	}
	return out
}

func contains[T comparable](s []T, x T) bool {
	for _, y := range s {
		if x == y {
			return true
		}
	}
	return false
}
