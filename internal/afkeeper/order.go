package afkeeper

import (
	"context"
	"slices"
	"time"

	"arbutusfork.example/arbutusfork/pkg/afassign"
	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afroute"
)

// orderResult is the outcome of sending an order to an engine.
type orderResult struct {
	endpointID string
	// born is the start time of the engine process, in Unix milliseconds.
	born    int64
	planned afassign.PlannedOrder
	result  afengine.Result
}

// maxReplicaTokenRate is the number of prompt tokens per second that one replica of a busy model should get at most. The
// customers' engines process 22 to 26 prompt tokens per millisecond. Processing prompts for more than a third of the time
// delays the events of running streams.
const maxReplicaTokenRate = 8000

// planOrders plans the orders for the engines of each service and sends them.
func (s *Service) planOrders(ctx context.Context, epoch int64) {
	now := s.Timer.Now()
	table := s.Table()
	if table == nil {
		return
	}
	runningRequests, demand := s.collectVMReports(now)
	unserved := s.recordUnservedModels(demand, now)
	s.queuedLoadsReadyAt = make(map[string]time.Time)
	for _, service := range table.Services() {
		if service.Engine == nil {
			continue
		}
		v := afassign.Snapshot{
			EngineSpec: *service.Engine, Demand: demand, MaxStoreLoads: s.MaxStoreLoads, StoreLoadBudget: s.storeLoadBudget(service.Engine),
			MaxReplicaTokenRate: maxReplicaTokenRate, FormerlyBusyModels: s.formerlyBusyModels, UnservedDurations: unserved,
		}
		for id, es := range s.engines {
			if es.entry.Service == service.Name {
				e := es.plannerEngine(now, runningRequests[id])
				e.IsBlocked = e.IsBlocked || s.isInQuietPeriod(id)
				e.IsEvacuated = s.Roster.IsInEvacuatedCentre(es.entry)
				v.Engines = append(v.Engines, e)
			}
		}
		s.recordBusyModels(v)
		decision := afassign.PlanOrders(v)
		for model, delay := range decision.MinLoadDelays {
			s.queuedLoadsReadyAt[model] = now.Add(delay)
		}
		for _, c := range decision.ClosingReplicas {
			es := s.engines[c.EngineID]
			if !now.Before(es.closingEndsAt[c.Model]) {
				s.hasViewChanged = true
				s.Log.Info("replica closing", "endpoint", c.EngineID, "model", c.Model, "running", runningRequests[c.EngineID][c.Model])
			}
			es.closingEndsAt[c.Model] = now.Add(closingTimeout)
		}
		for _, r := range decision.ReopenedReplicas {
			delete(s.engines[r.EngineID].closingEndsAt, r.Model)
			s.hasViewChanged = true
			s.Log.Info("replica reopened", "endpoint", r.EngineID, "model", r.Model)
		}
		for _, planned := range decision.Orders {
			s.sendOrder(ctx, planned, epoch, now)
		}
	}
}

// recordBusyModels adds the models that are busy or that several engines hold to formerlyBusyModels.
func (s *Service) recordBusyModels(v afassign.Snapshot) {
	for _, model := range afassign.BusyModels(v) {
		s.formerlyBusyModels[model] = true
	}
}

// isInQuietPeriod reports whether an engine must not get an order from this holder yet, because another holder sent it one
// less than QuietPeriod ago.
func (s *Service) isInQuietPeriod(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	orderedAt, ok := s.lastOrdersAt[id]
	return ok && !s.lease.IsOwnEpoch(s.lastOrderEpochs[id]) && s.BootTime() < orderedAt+s.LeaseTiming.QuietPeriod+s.LeaseTiming.SafetyMargin
}

// storeLoadBudget returns how many loads from the weight store may start now within its rate limit.
func (s *Service) storeLoadBudget(e *afroute.EngineSpec) int {
	const window = 5 * time.Second
	now := s.BootTime()
	s.storeLoadsStartedAt = slices.DeleteFunc(s.storeLoadsStartedAt, func(t time.Duration) bool { return now-t > window })
	return int(e.LoadsPerSecond*window.Seconds()) - len(s.storeLoadsStartedAt)
}

// sendOrder sends an order to an engine in a new goroutine. The order is not sent if the lease is no longer usable.
func (s *Service) sendOrder(ctx context.Context, planned afassign.PlannedOrder, epoch int64, now time.Time) {
	es := s.engines[planned.EngineID]
	es.isOrderPending = true
	es.pendingLoadModel, es.isPendingLoadFromStore = "", planned.LoadsFromStore
	if !planned.Order.IsUnload && planned.Order.Adapter == "" {
		es.pendingLoadModel = planned.Order.Model
	}
	if planned.Order.IsUnload && planned.Order.Adapter == "" {
		es.unloadingModel = planned.Order.Model
	}
	if planned.Reason == afassign.ReasonMakeRoom && planned.Order.Adapter == "" {
		es.reservedModel, es.reservationEndsAt = planned.MakesRoomFor, now.Add(reservationTimeout)
	}
	if planned.LoadsFromStore {
		s.storeLoadsStartedAt = append(s.storeLoadsStartedAt, s.BootTime())
	}
	s.Log.Info("order decided", "endpoint", planned.EngineID, "unload", planned.Order.IsUnload, "model", planned.Order.Model,
		"adapter", planned.Order.Adapter, "expected", planned.Order.ExpectedAcceptedOrders, "epoch", epoch, "reason", planned.Reason.String(),
		"for", planned.MakesRoomFor, "store", planned.LoadsFromStore, "takes", planned.EstimatedDuration, "report_age", now.Sub(es.reportRequestedAt))
	entry := es.entry
	go func() {
		result := afengine.ResultRefused
		if call := s.beginOrder(ctx, entry.ID, epoch); call != nil {
			if _, isPaused := s.Roster.PausedUntil(entry.Start()); !isPaused && s.Roster.IsServing(entry.Start()) {
				result = s.SendOrder(call.ctx, entry, s.Self.String(), epoch, planned.Order)
			}
			s.endOrder(call)
		}
		s.orderResults <- orderResult{endpointID: entry.ID, born: entry.StartUnixMs, planned: planned, result: result}
	}()
}

// orderCall is the call of an order.
type orderCall struct {
	engineID string
	ctx      context.Context
	cancel   context.CancelFunc
}

// beginOrder begins the call of an order, whose context ends with the use of the lease. It returns nil if the lease is no longer
// usable. Otherwise endOrder must follow.
func (s *Service) beginOrder(ctx context.Context, engineID string, epoch int64) *orderCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.BootTime()
	if !s.lease.IsUsable(now) || s.lease.Epoch() != epoch {
		return nil
	}
	call := &orderCall{engineID: engineID}
	call.ctx, call.cancel = context.WithTimeout(ctx, min(callTimeout, s.lease.UseEndsAt()-now))
	s.lastOrdersAt[engineID], s.lastOrderEpochs[engineID] = now, epoch
	s.ordersUnderWay[call] = true
	return call
}

// endOrder records the end of the call of an order. The order may have arrived until then.
func (s *Service) endOrder(call *orderCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	call.cancel()
	delete(s.ordersUnderWay, call)
	s.lastOrdersAt[call.engineID] = s.BootTime()
}

// handleOrderResult applies the result of an order to the engine's state.
func (s *Service) handleOrderResult(r orderResult) {
	s.Metrics.countOrder(r.planned, r.result)
	es := s.engines[r.endpointID]
	if es == nil || es.entry.StartUnixMs != r.born {
		return
	}
	es.isOrderPending = false
	now := s.Timer.Now()
	order := r.planned.Order
	if r.result != afengine.ResultAccepted {
		s.Log.Info("order not accepted", "endpoint", r.endpointID, "model", order.Model, "adapter", order.Adapter,
			"unload", order.IsUnload, "expected", order.ExpectedAcceptedOrders, "result", r.result.String())
	}
	if r.result == afengine.ResultUnclear {
		es.unloadUnclearAt = now
	} else {
		es.unloadingModel = ""
	}
	switch r.result {
	case afengine.ResultAccepted:
		s.applyAcceptedOrder(es, r.planned, now)
	case afengine.ResultAlready:
		if order.Adapter != "" && order.IsUnload {
			s.applyAcceptedOrder(es, r.planned, now) // An adapter that no request uses is unloaded at once.
			return
		}
		es.nextReportAt = now
		es.unblockedAt = now.Add(conflictDelay)
	case afengine.ResultUnclear:
		// A later report shows whether the engine accepted the order. If the order arrives later still, the engine refuses it
		// if another order was accepted in between.
		es.unblockedAt = now.Add(maxReportLag)
		es.nextReportAt = now.Add(maxReportLag)
	case afengine.ResultConflict, afengine.ResultRefused:
		es.unblockedAt = now.Add(conflictDelay)
		es.nextReportAt = now
	}
}

// applyAcceptedOrder updates the engine's state after an accepted order, without waiting for a report.
func (s *Service) applyAcceptedOrder(es *engineState, planned afassign.PlannedOrder, now time.Time) {
	order := planned.Order
	es.acceptedOrders = order.ExpectedAcceptedOrders + 1
	es.lastOrderAcceptedAt = now
	es.unblockedAt = time.Time{}
	switch {
	case order.Adapter != "" && order.IsUnload:
		es.report.Models = removeAdapter(es.report.Models, order.Model, order.Adapter)
		s.hasViewChanged = true
	case order.Adapter != "":
		key := afassign.AdapterKey(order.Model, order.Adapter)
		es.adapterReadyAt[key] = now.Add(adapterLoadDelay)
		s.Timer.CallAfter(adapterLoadDelay, func(time.Time) { s.requestView() })
		es.nextReportAt = now.Add(adapterLoadDelay + activeReportInterval)
	case order.IsUnload:
		es.report.Models = slices.DeleteFunc(slices.Clone(es.report.Models), func(h afengine.LoadedModel) bool { return h.Model == order.Model })
		delete(es.closingEndsAt, order.Model)
		s.hasViewChanged = true
		es.unblockedAt = now.Add(unloadDelay)
		s.Timer.CallAfter(unloadDelay, func(time.Time) { s.signalWakeup() })
		es.nextReportAt = now.Add(activeReportInterval)
	default:
		es.loadingModel, es.loadsFromStore = order.Model, planned.LoadsFromStore
		es.reservationEndsAt = time.Time{}
		es.loadEndsAt = now.Add(planned.EstimatedDuration)
		es.nextReportAt = now.Add(min(planned.EstimatedDuration+maxReportLag/4, idleReportInterval))
	}
}

// requestView makes Run send a view as soon as minUrgentViewInterval allows.
func (s *Service) requestView() {
	s.mu.Lock()
	s.isViewRequested = true
	s.mu.Unlock()
	s.signalWakeup()
}

// removeAdapter returns a copy of the loaded models without the adapter.
func removeAdapter(held []afengine.LoadedModel, model, adapter string) []afengine.LoadedModel {
	out := slices.Clone(held)
	for i, h := range out {
		if h.Model == model {
			out[i].Adapters = slices.DeleteFunc(slices.Clone(h.Adapters), func(a string) bool { return a == adapter })
		}
	}
	return out
}

// collectVMReports sums up the recent reports of all VMs: the running requests by engine and model, and the demand.
func (s *Service) collectVMReports(now time.Time) (runningRequests map[string]map[string]int, demand []afassign.Demand) {
	_, own := s.Roster.OwnLoads()
	runningRequests = own
	type key struct{ model, adapter string }
	total := map[key]afassign.Demand{}
	add := func(d afassign.Demand) {
		k := key{d.Model, d.Adapter}
		t := total[k]
		t.Model, t.Adapter = d.Model, d.Adapter
		t.WaitingRequests += d.WaitingRequests
		t.OnTimeRequests += d.OnTimeRequests
		t.LongestWait = max(t.LongestWait, d.LongestWait)
		t.RequestRate += d.RequestRate
		t.PromptTokenRate += d.PromptTokenRate
		total[k] = t
	}
	for _, d := range s.OwnDemand() {
		add(d)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for vm, received := range s.vmReports {
		if now.Sub(received.receivedAt) > scaleInterval(maxVMReportAge, s.ListedVMCount()) {
			delete(s.vmReports, vm)
			continue
		}
		for id, m := range received.report.RunningRequests {
			if runningRequests[id] == nil {
				runningRequests[id] = map[string]int{}
			}
			for k, n := range m {
				runningRequests[id][k] += n
			}
		}
		for _, d := range received.report.Demand {
			add(d.decode())
		}
	}
	for _, d := range total {
		demand = append(demand, d)
	}
	return runningRequests, demand
}
