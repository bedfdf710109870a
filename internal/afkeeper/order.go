package afkeeper

import (
	"context"
	"slices"
	"time"

	"arbutusfork.example/arbutusfork/pkg/afassign"
	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afroute"
)

type ordered struct {
	id     string
	born   int64
	step   afassign.PlannedOrder
	result afengine.Result
}

// engineWork is the prompt tokens a second that one replica of a busy model should get at most. Engines of the users
// read 22 to 26 prompt tokens a millisecond, and reading for more than a third of the time delays the events of running streams.
const engineWork = 8000

// plan decides and sends orders for each service of engines.
func (s *Service) plan(ctx context.Context, epoch int64) {
	now := s.Timer.Now()
	table := s.Table()
	if table == nil {
		return
	}
	running, wanted := s.collect(now)
	unserved := s.noteUnserved(wanted, now)
	s.queued = make(map[string]time.Time)
	for _, service := range table.Services() {
		if service.Engine == nil {
			continue
		}
		v := afassign.Snapshot{
			EngineSpec: *service.Engine, Demand: wanted, MaxStoreLoads: s.MaxStoreLoads, StoreLoadBudget: s.storeStarts(service.Engine),
			MaxReplicaTokenRate: engineWork, FormerlyBusyModels: s.often, UnservedDurations: unserved,
		}
		for id, x := range s.engines {
			if x.entry.Service == service.Name {
				e := x.input(now, running[id])
				e.IsBlocked = e.IsBlocked || s.quiet(id, epoch)
				v.Engines = append(v.Engines, e)
			}
		}
		s.noteBusy(v)
		d := afassign.PlanOrders(v)
		for model, wait := range d.MinLoadDelays {
			s.queued[model] = now.Add(wait)
		}
		for _, c := range d.ClosingReplicas {
			x := s.engines[c.EngineID]
			if !now.Before(x.closing[c.Model]) {
				s.changed = true
				s.Log.Info("replica closing", "endpoint", c.EngineID, "model", c.Model, "running", running[c.EngineID][c.Model])
			}
			x.closing[c.Model] = now.Add(closeTime)
		}
		for _, step := range d.Orders {
			s.send(ctx, step, epoch, now)
		}
	}
}

// noteBusy remembers the models that are busy or were given several engines.
func (s *Service) noteBusy(v afassign.Snapshot) {
	for _, model := range afassign.BusyModels(v) {
		s.often[model] = true
	}
}

// quiet reports whether an engine got an order of another holder so lately that it must not get one of this holder yet.
func (s *Service) quiet(id string, epoch int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.lastOrders[id]
	return ok && s.orderEpochs[id] != epoch && s.BootTime() < at+s.LeaseTiming.QuietPeriod+s.LeaseTiming.SafetyMargin
}

// storeStarts returns how many loads from the weight store may begin now.
func (s *Service) storeStarts(e *afroute.EngineSpec) int {
	const window = 5 * time.Second
	now := s.BootTime()
	s.starts = slices.DeleteFunc(s.starts, func(t time.Duration) bool { return now-t > window })
	return int(e.LoadsPerSecond*window.Seconds()) - len(s.starts)
}

// send gives an order to an engine, in its own goroutine.
func (s *Service) send(ctx context.Context, step afassign.PlannedOrder, epoch int64, now time.Time) {
	x := s.engines[step.EngineID]
	x.sent = true
	x.ordered, x.fetch = "", step.LoadsFromStore
	if !step.Order.IsUnload && step.Order.Adapter == "" {
		x.ordered = step.Order.Model
	}
	if step.Reason == afassign.ReasonMakeRoom && step.Order.Adapter == "" {
		x.intent, x.kept = step.MakesRoomFor, now.Add(intentTime)
	}
	if step.LoadsFromStore {
		s.starts = append(s.starts, s.BootTime())
	}
	s.Log.Info("order decided", "endpoint", step.EngineID, "unload", step.Order.IsUnload, "model", step.Order.Model,
		"adapter", step.Order.Adapter, "expected", step.Order.ExpectedAcceptedOrders, "epoch", epoch, "reason", step.Reason.String(),
		"for", step.MakesRoomFor, "store", step.LoadsFromStore, "takes", step.EstimatedDuration, "report_age", now.Sub(x.at))
	entry := x.entry
	go func() {
		c, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		result := afengine.ResultRefused
		s.mu.Lock()
		at := s.BootTime()
		usable := s.lease.IsUsable(at) && s.lease.Epoch() == epoch
		if usable {
			s.lastOrders[entry.ID] = at
			s.orderEpochs[entry.ID] = epoch
		}
		s.mu.Unlock()
		if usable {
			result = s.SendOrder(c, entry, s.Self.String(), epoch, step.Order)
		}
		s.orders <- ordered{id: entry.ID, born: entry.StartUnixMs, step: step, result: result}
	}()
}

// ordered takes the result of an order.
func (s *Service) ordered(o ordered) {
	s.Metrics.order(o.step, o.result)
	x := s.engines[o.id]
	if x == nil || x.entry.StartUnixMs != o.born {
		return
	}
	x.sent = false
	now := s.Timer.Now()
	order := o.step.Order
	if o.result != afengine.ResultAccepted {
		s.Log.Info("order not accepted", "endpoint", o.id, "model", order.Model, "adapter", order.Adapter,
			"unload", order.IsUnload, "expected", order.ExpectedAcceptedOrders, "result", o.result.String())
	}
	switch o.result {
	case afengine.ResultAccepted:
		s.accepted(x, o.step, now)
	case afengine.ResultAlready:
		if order.Adapter != "" && order.IsUnload {
			s.accepted(x, o.step, now) // An adapter that no request uses is unloaded at once.
			return
		}
		x.next = now
		x.unclear = now.Add(conflictPause)
	case afengine.ResultUnclear:
		// A fresh report tells whether it was taken. If it is carried out later, its count decides.
		x.unclear = now.Add(reportLag)
		x.next = now.Add(reportLag)
	case afengine.ResultConflict, afengine.ResultRefused:
		x.unclear = now.Add(conflictPause)
		x.next = now
	}
}

func (s *Service) accepted(x *state, step afassign.PlannedOrder, now time.Time) {
	order := step.Order
	x.seq = order.ExpectedAcceptedOrders + 1
	x.applied = now
	x.unclear = time.Time{}
	switch {
	case order.Adapter != "" && order.IsUnload:
		x.report.Models = withoutAdapter(x.report.Models, order.Model, order.Adapter)
		s.changed = true
	case order.Adapter != "":
		key := afassign.AdapterKey(order.Model, order.Adapter)
		x.adapters[key] = now.Add(adapterTime)
		s.Timer.After(adapterTime, func(time.Time) { s.viewSoon() })
		x.next = now.Add(adapterTime + workPoll)
	case order.IsUnload:
		x.report.Models = slices.DeleteFunc(slices.Clone(x.report.Models), func(h afengine.LoadedModel) bool { return h.Model == order.Model })
		delete(x.closing, order.Model)
		s.changed = true
		x.unclear = now.Add(unloadPause)
		s.Timer.After(unloadPause, func(time.Time) { s.poke() })
		x.next = now.Add(workPoll)
	default:
		x.loading, x.store = order.Model, step.LoadsFromStore
		x.kept = time.Time{}
		x.ends = now.Add(step.EstimatedDuration)
		x.next = now.Add(min(step.EstimatedDuration+reportLag/4, idlePoll))
	}
}

// viewSoon makes the loop send a view.
func (s *Service) viewSoon() {
	s.mu.Lock()
	s.due = true
	s.mu.Unlock()
	s.poke()
}

func withoutAdapter(held []afengine.LoadedModel, model, adapter string) []afengine.LoadedModel {
	out := slices.Clone(held)
	for i, h := range out {
		if h.Model == model {
			out[i].Adapters = slices.DeleteFunc(slices.Clone(h.Adapters), func(a string) bool { return a == adapter })
		}
	}
	return out
}

// collect sums up the beats: the requests in progress by engine and model, and the demand.
func (s *Service) collect(now time.Time) (running map[string]map[string]int, wanted []afassign.Demand) {
	_, own := s.Roster.OwnLoads()
	running = own
	type key struct{ model, adapter string }
	sum := map[key]afassign.Demand{}
	add := func(d afassign.Demand) {
		k := key{d.Model, d.Adapter}
		x := sum[k]
		x.Model, x.Adapter = d.Model, d.Adapter
		x.WaitingRequests += d.WaitingRequests
		x.OnTimeRequests += d.OnTimeRequests
		x.LongestWait = max(x.LongestWait, d.LongestWait)
		x.RequestRate += d.RequestRate
		x.PromptTokenRate += d.PromptTokenRate
		sum[k] = x
	}
	for _, d := range s.OwnDemand() {
		add(d)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for vm, h := range s.beats {
		if now.Sub(h.at) > stretch(beatLife, s.ListedVMCount()) {
			delete(s.beats, vm)
			continue
		}
		for id, m := range h.beat.Running {
			if running[id] == nil {
				running[id] = map[string]int{}
			}
			for k, n := range m {
				running[id][k] += n
			}
		}
		for _, d := range h.beat.Demand {
			add(d.decode())
		}
	}
	for _, d := range sum {
		wanted = append(wanted, d)
	}
	return running, wanted
}
