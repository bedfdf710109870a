package afkeeper

import (
	"context"
	"slices"
	"time"

	"arbutusfork.example/arbutusfork/pkg/afassign"
	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afroute"
)

const (
	// idleReportInterval is the time between reports from an engine without an order in progress.
	idleReportInterval = 700 * time.Millisecond
	// activeReportInterval is the time between reports from an engine with an order in progress.
	activeReportInterval = 100 * time.Millisecond
	// maxReportAge is how long a report is used for decisions.
	maxReportAge = 2500 * time.Millisecond
	// maxReportLag is how old the state in a report may be when the report arrives.
	maxReportLag = 400 * time.Millisecond
	// maxOlderReports is how many reports in a row are ignored because the engine had accepted more orders before.
	maxOlderReports = 3
	// adapterLoadDelay is the time from the acceptance of an adapter load until the adapter counts as loaded, unless a report
	// arrives earlier.
	adapterLoadDelay = 40 * time.Millisecond
	// closingTimeout is how long a closing replica gets no new requests. Later plans may extend the time.
	closingTimeout = 5 * time.Second
	// conflictDelay is how long an engine that refused an order gets no other one, so that a newer report can arrive.
	conflictDelay = 80 * time.Millisecond
	// unloadDelay is how long an engine that unloads an idle model gets no other order.
	unloadDelay = 60 * time.Millisecond
	// reservationTimeout is how long memory that was freed for a model is reserved for the model.
	reservationTimeout = 1500 * time.Millisecond
)

// engineState is what the holder knows about one engine.
type engineState struct {
	entry  afengine.EndpointEntry
	report afengine.Report
	// pausedUntil is the end of the latest pause for which the engine asked. Until then it gets no orders and no requests for
	// reports.
	pausedUntil time.Time
	// reportRequestedAt is when the last report was requested, or zero if there is none.
	reportRequestedAt time.Time
	// isReportKnown means that report holds a report of this engine process.
	isReportKnown bool
	// olderReports counts the reports in a row with fewer accepted orders than report.
	olderReports int
	// nextReportAt is when to request the next report.
	nextReportAt time.Time
	// isReportPending means that a report was requested and has not arrived.
	isReportPending bool
	// isOrderPending means that an order was sent and its result has not arrived.
	isOrderPending bool
	// pendingLoadModel is the model that the pending order loads, or empty.
	pendingLoadModel string
	// isPendingLoadFromStore means that the pending load reads from the weight store.
	isPendingLoadFromStore bool
	// acceptedOrders counts the orders that the engine accepted, including those accepted since the last report.
	acceptedOrders      int64
	lastOrderAcceptedAt time.Time
	// loadingModel is the model that the engine loads, or empty.
	loadingModel string
	// loadsFromStore means that the load of loadingModel reads from the weight store.
	loadsFromStore bool
	// loadEndsAt is the estimated end of the load.
	loadEndsAt time.Time
	// adapterReadyAt holds when the adapters ordered since the last report count as loaded, by afassign.AdapterKey.
	adapterReadyAt map[string]time.Time
	// unloadingModel is the model of an unload that the engine may have accepted. If its answer was lost at unloadUnclearAt, a report
	// that was requested later shows it.
	unloadingModel  string
	unloadUnclearAt time.Time
	// unblockedAt is when the engine may get another order. Until then, a report should show the result of the last one.
	unblockedAt time.Time
	// reservedModel is the model for which memory was freed, until reservationEndsAt.
	reservedModel     string
	reservationEndsAt time.Time
	// closingEndsAt holds when closing models may get new requests again, by model.
	closingEndsAt map[string]time.Time
}

// reportResult is the outcome of a request for an engine's report.
type reportResult struct {
	endpointID string
	// born is the start time of the engine process, in Unix milliseconds.
	born        int64
	requestedAt time.Time
	report      afengine.Report
	err         error
}

// refreshEngines aligns the engine states with the roster and requests the reports that are due.
func (s *Service) refreshEngines(ctx context.Context) {
	now := s.Timer.Now()
	table := s.Table()
	listed := make(map[string]bool)
	for _, e := range s.Roster.Entries() {
		if !isEngineService(table, e.Service) {
			continue
		}
		listed[e.ID] = true
		es := s.engines[e.ID]
		if es == nil || es.entry.StartUnixMs != e.StartUnixMs || es.entry.Address != e.Address {
			es = &engineState{adapterReadyAt: map[string]time.Time{}, closingEndsAt: map[string]time.Time{}}
			s.engines[e.ID] = es
		}
		e.State = s.Roster.State(e)
		es.entry = e
		es.pausedUntil = time.Time{} // An operator may have lifted the pause.
		if until, isPaused := s.Roster.PausedUntil(e.Start()); isPaused {
			es.pausedUntil = until
		}
		if e.State != afengine.StateReady || es.isReportPending || now.Before(es.nextReportAt) || now.Before(es.pausedUntil) {
			continue
		}
		es.isReportPending = true
		go func() {
			reportCtx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			r, err := s.FetchReport(reportCtx, e)
			s.reportResults <- reportResult{endpointID: e.ID, born: e.StartUnixMs, requestedAt: now, report: r, err: err}
		}()
	}
	for id := range s.engines {
		if !listed[id] {
			delete(s.engines, id)
		}
	}
}

// isEngineService reports whether the configuration contains the service and its endpoints are engines.
func isEngineService(t *afroute.Table, service string) bool {
	if t == nil {
		return false
	}
	serviceSpec, ok := t.Service(service)
	return ok && serviceSpec.Engine != nil
}

// handleReport applies the report of an engine to its state.
func (s *Service) handleReport(r reportResult) {
	es := s.engines[r.endpointID]
	if es == nil || es.entry.StartUnixMs != r.born {
		return
	}
	es.isReportPending = false
	now := s.Timer.Now()
	es.nextReportAt = now.Add(idleReportInterval)
	if r.err != nil {
		s.Log.Debug("engine report not fetched", "endpoint", r.endpointID, "error", r.err)
		return
	}
	if r.report.StartUnixMs != 0 && es.entry.StartUnixMs != 0 && r.report.StartUnixMs != es.entry.StartUnixMs {
		s.Roster.RecordWord(afengine.EndpointStart{Endpoint: r.endpointID, StartUnixMs: r.report.StartUnixMs}, r.requestedAt)
		// The engine restarted, and its new entry has not arrived yet.
		return
	}
	// The report does not include the last order, so it is ignored.
	if es.isReportKnown && r.report.AcceptedOrders < es.acceptedOrders && now.Sub(es.lastOrderAcceptedAt) < maxReportAge {
		es.nextReportAt = now.Add(activeReportInterval)
		return
	}
	// An engine that writes a report twice on a kept connection repeats an earlier state. If it goes on, the last report was odd.
	if es.isReportKnown && r.report.AcceptedOrders < es.report.AcceptedOrders && es.olderReports < maxOlderReports {
		es.olderReports++
		es.nextReportAt = now.Add(activeReportInterval)
		return
	}
	es.olderReports = 0
	if !es.unblockedAt.IsZero() && r.report.AcceptedOrders == es.acceptedOrders && now.Before(es.unblockedAt) {
		es.nextReportAt = now.Add(activeReportInterval)
	}
	if !equalModels(es.report.Models, r.report.Models) || !es.isReportKnown {
		s.hasViewChanged = true
	}
	es.report, es.reportRequestedAt, es.isReportKnown, es.acceptedOrders = r.report, r.requestedAt, true, r.report.AcceptedOrders
	if !es.isOrderPending && r.requestedAt.After(es.unloadUnclearAt) {
		es.unloadingModel = ""
	}
	for key := range es.adapterReadyAt {
		if !slices.Contains(r.report.LoadingAdapters, key) {
			delete(es.adapterReadyAt, key)
		}
	}
	if !r.report.HasOrderInProgress {
		es.loadingModel, es.loadsFromStore = "", false
	} else if wait := es.loadEndsAt.Sub(now); wait > 0 && wait < idleReportInterval {
		es.nextReportAt = now.Add(wait)
	} else if wait <= 0 {
		es.nextReportAt = now.Add(activeReportInterval)
	}
	if len(r.report.LoadingAdapters) > 0 {
		es.nextReportAt = now.Add(activeReportInterval)
	}
}

func equalModels(a, b []afengine.LoadedModel) bool {
	return slices.EqualFunc(a, b, func(x, y afengine.LoadedModel) bool {
		return x.Model == y.Model && slices.Equal(x.Adapters, y.Adapters)
	})
}

// loadedModels returns the models that the engine holds, with the adapters that were loaded since the report.
func (es *engineState) loadedModels(now time.Time) []afengine.LoadedModel {
	if !es.isReportKnown {
		return es.entry.Models
	}
	if len(es.adapterReadyAt) == 0 {
		return es.report.Models
	}
	out := slices.Clone(es.report.Models)
	for i, h := range out {
		h.Adapters = slices.Clone(h.Adapters)
		for key, readyAt := range es.adapterReadyAt {
			for _, a := range []string{parseAdapterKey(key, h.Model)} {
				if a != "" && !now.Before(readyAt) && !slices.Contains(h.Adapters, a) {
					h.Adapters = append(h.Adapters, a)
				}
			}
		}
		out[i] = h
	}
	return out
}

// parseAdapterKey returns the name of the adapter if the key belongs to an adapter of the model, otherwise an empty string.
func parseAdapterKey(key, model string) string {
	if len(key) > len(model)+1 && key[:len(model)] == model && key[len(model)] == '/' {
		return key[len(model)+1:]
	}
	return ""
}

// closingModels returns the models that get no new requests, in order.
func (es *engineState) closingModels(now time.Time) []string {
	var out []string
	for model, endsAt := range es.closingEndsAt {
		if now.Before(endsAt) {
			out = append(out, model)
		}
	}
	slices.Sort(out)
	return out
}

// plannerEngine returns the engine's state in the form of the input to afassign.PlanOrders.
func (es *engineState) plannerEngine(now time.Time, runningRequests map[string]int) afassign.Engine {
	e := afassign.Engine{
		ID: es.entry.ID, LoadedModels: es.loadedModels(now), ClosingModels: es.closingModels(now), LoadingModel: es.loadingModel, LoadsFromStore: es.loadsFromStore,
		ModelsInMemory: es.report.ModelsInMemory, ModelsOnDisk: es.report.ModelsOnDisk, AcceptedOrders: es.acceptedOrders, RunningRequests: runningRequests,
		IsExecutingOrder: es.loadingModel != "" || es.report.HasOrderInProgress, UnloadingModel: es.unloadingModel,
	}
	if es.isOrderPending && es.pendingLoadModel != "" {
		e.LoadingModel, e.LoadsFromStore, e.IsExecutingOrder = es.pendingLoadModel, es.isPendingLoadFromStore, true
	}
	if now.Before(es.reservationEndsAt) {
		e.ReservedModel = es.reservedModel
	}
	if e.IsExecutingOrder {
		e.TimeUntilFree = max(es.loadEndsAt.Sub(now), activeReportInterval)
	}
	for key, readyAt := range es.adapterReadyAt {
		if now.Before(readyAt) {
			e.LoadingAdapters = append(e.LoadingAdapters, key)
		}
	}
	for _, key := range es.report.LoadingAdapters {
		if !slices.Contains(e.LoadingAdapters, key) {
			e.LoadingAdapters = append(e.LoadingAdapters, key)
		}
	}
	slices.Sort(e.LoadingAdapters)
	e.IsBlocked = es.isOrderPending || now.Before(es.unblockedAt) || now.Before(es.pausedUntil)
	e.IsUnavailable = !es.isReportKnown || now.Sub(es.reportRequestedAt) > maxReportAge+idleReportInterval || es.isOutOfUse(now)
	return e
}

// isOutOfUse reports whether the engine's models must be placed elsewhere: it drains, or is in a pause during which its report will
// be too old for decisions.
func (es *engineState) isOutOfUse(now time.Time) bool {
	return es.entry.State != afengine.StateReady || es.pausedUntil.Sub(now) > maxReportAge
}
