package afplacement

import (
	"time"

	"arbutusfork.example/arbutusfork"
)

const (
	// maxUnansweredLoads bounds the load orders for one placement whose answers were lost.
	maxUnansweredLoads = 3
	// unloadRetryDelay is the time after which an accepted unload that had no effect is ordered again.
	unloadRetryDelay = time.Second
)

// sendOrders returns the orders that may be sent now. An order is sent once, only after the record that contains it has
// committed, and only while this VM's lease is valid.
func (v View) sendOrders(now time.Time) (View, []Effect) {
	if !v.HasLease(now) && !v.variant.sendAfterLeaseEnd {
		return v, nil
	}
	r := v.record
	if v.variant.sendBeforeCommit && v.pendingRecord != nil {
		r = *v.pendingRecord
	}
	var effects []Effect
	for _, o := range r.Orders {
		if _, isSent := v.sentOrders[o.ID]; isSent || o.State != OrderRecorded || !r.isOwnOrder(o) {
			continue
		}
		if o.Fence < v.minSendFence && !v.variant.sendBelowMinFence {
			continue
		}
		if v.pendingRecord != nil && !v.variant.sendBeforeCommit {
			// An order that the commit in flight ends must not be sent.
			if p, ok := v.pendingRecord.orderByID(o.ID); !ok || p.State != OrderRecorded || v.pendingRecord.Owner != v.Self {
				continue
			}
		}
		if _, ok := v.cfg.Endpoints[o.Endpoint]; !ok {
			continue
		}
		v.sentOrders = mapWith(v.sentOrders, o.ID, sentOrder{changedAt: now})
		if p := (placement{o.Endpoint, o.Model}); o.Verb == VerbLoad {
			if loads, ok := v.loadCopies[p]; ok {
				v.loadCopies = mapWith(v.loadCopies, p, loads+1)
			}
		}
		effects = append(effects, SendOrder{Order: o})
	}
	return v, effects
}

// canReachEndpoint reports whether the order may still reach its endpoint.
func (v View) canReachEndpoint(r Record, o Order) bool {
	if o.State != OrderRecorded {
		return false
	}
	if o.Sender == v.Self {
		f, sent := v.sentOrders[o.ID]
		if !sent {
			return r.isOwnOrder(o)
		}
		if f.hasOutcome && f.outcome != OutcomeAnswerLost {
			return false
		}
		return !v.variant.ignoreLostAnswers
	}
	if v.variant.ignoreExposedOrders {
		return false
	}
	if v.goneSenders[o.Sender] {
		return false
	}
	if confirmed := v.fencedSenders[o.Sender]; confirmed.fence > o.Fence && !contains(confirmed.unresolvedOrders, o.ID) {
		return false
	}
	return true
}

// isExposed reports whether the endpoint may still carry out the order of another sender or of an older fence.
func (v View) isExposed(r Record, o Order) bool {
	if !v.canReachEndpoint(r, o) || r.isOwnOrder(o) {
		return false
	}
	endpoint := v.cfg.Endpoints[o.Endpoint]
	return !endpoint.EnforcesFence || v.acceptedFences[o.Endpoint] <= o.Fence && !v.variant.ignoreAcceptedFence
}

// canExecute reports whether the order may still be carried out.
func (v View) canExecute(r Record, o Order) bool {
	if r.isOwnOrder(o) {
		return v.canReachEndpoint(r, o)
	}
	return v.isExposed(r, o)
}

// reportedModel returns the state and memory of a model in the endpoint's last report. An empty state means that the
// model is absent. known is false if the report was requested before the last order for the placement was answered or
// before this VM took the shard over.
func (v View) reportedModel(p placement) (state string, memory int64, known bool) {
	report, ok := v.reports[p.endpoint]
	if !ok || report.requestedAt.IsZero() {
		return "", 0, false
	}
	stale := report.requestedAt.Before(v.takeoverSentAt) || !report.requestedAt.After(v.answeredAt[p])
	if barrier := v.reportsValidAfter[p.endpoint]; !report.requestedAt.After(barrier) && !v.variant.ignoreReportsValidAfter {
		stale = stale || !barrier.IsZero()
	}
	if stale && !v.variant.trustOldReports {
		return "", 0, false
	}
	for _, m := range report.status.Models {
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
			sum += v.assignmentMemory(a)
			charged[a.Model] = true
		}
	}
	for _, o := range r.Orders {
		if o.Endpoint == endpoint && o.Verb == VerbLoad && !charged[o.Model] && v.canExecute(r, o) {
			sum += o.Memory
			charged[o.Model] = true
		}
	}
	if v.variant.ignoreUnassignedModels {
		return sum
	}
	for _, m := range v.reports[endpoint].status.Models {
		if !charged[m.Name] {
			sum += max(m.Memory, v.cfg.Models[m.Name].MemoryMB)
		}
	}
	return sum
}

// assignmentMemory returns the larger of the assigned and the reported memory in MB.
func (v View) assignmentMemory(a Assignment) int64 {
	for _, m := range v.reports[a.Endpoint].status.Models {
		if m.Name == a.Model {
			return max(a.Memory, m.Memory)
		}
	}
	return a.Memory
}

// countReplicas returns the number of replicas that the model has or may get, in every state.
func (v View) countReplicas(r Record, model string) int {
	places := make(map[string]bool)
	for _, a := range r.Assignments {
		if a.Model == model {
			places[a.Endpoint] = true
		}
	}
	for _, o := range r.Orders {
		if o.Model == model && o.Verb == VerbLoad && v.canExecute(r, o) {
			places[o.Endpoint] = true
		}
	}
	for _, endpoint := range r.Unobserved {
		places[endpoint] = true
	}
	for endpoint, report := range v.reports {
		_, known := v.cfg.Endpoints[endpoint]
		for _, m := range report.status.Models {
			if m.Name == model && known {
				places[endpoint] = true
			}
		}
	}
	return len(places)
}

// fenceEarlierSenders asks the senders of exposed orders, once a second, to send no more orders below the record's
// fence.
func (v View) fenceEarlierSenders(now time.Time) (View, []Effect) {
	if !v.HasLease(now) {
		return v, nil
	}
	var effects []Effect
	for _, o := range v.record.Orders {
		if o.Sender == v.Self || !v.isExposed(v.record, o) || now.Sub(v.fenceRequestedAt[o.Sender]) < time.Second {
			continue
		}
		v.fenceRequestedAt = mapWith(v.fenceRequestedAt, o.Sender, now)
		effects = append(effects, FenceSender{Sender: o.Sender, Fence: v.record.Fence})
	}
	return v, effects
}

// ExposedSenders returns the senders of exposed orders. The caller checks whether the platform still lists them.
func (v View) ExposedSenders() []arbutusfork.Incarnation {
	var out []arbutusfork.Incarnation
	for _, o := range v.record.Orders {
		if o.Sender != v.Self && v.isExposed(v.record, o) && !contains(out, o.Sender) {
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
