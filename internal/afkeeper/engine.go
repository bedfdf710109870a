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
	// idlePoll is the time between reports of an engine without an order, and workPoll with one.
	idlePoll = 700 * time.Millisecond
	workPoll = 100 * time.Millisecond
	// reportLife is how long a report counts for decisions.
	reportLife = 2500 * time.Millisecond
	// reportLag is how old a report may be when it comes.
	reportLag = 400 * time.Millisecond
	// adapterTime is when an adapter counts as loaded after its order was accepted, until a report says more.
	adapterTime = 40 * time.Millisecond
	// closeTime is how long a replica that is to be unloaded gets no new requests.
	closeTime = 5 * time.Second
	// conflictPause is how long an engine that refused an order is left alone, for a newer report.
	conflictPause = 80 * time.Millisecond
	// unloadPause is how long an engine that unloads an idle model takes no other order.
	unloadPause = 60 * time.Millisecond
	// intentTime is how long the room that was made for a model is kept for it.
	intentTime = 1500 * time.Millisecond
)

// state is what the holder knows about one engine.
type state struct {
	entry  afengine.EndpointEntry
	report afengine.Report
	at     time.Time // at is when the report was asked for. Zero means never.
	known  bool
	next   time.Time // next is when to ask again.
	asking bool
	sent   bool // sent means that an order is on its way.
	// ordered is the model of a load whose order is on its way, and fetch tells that it reads from the weight store.
	ordered string
	fetch   bool
	// seq counts the orders that were accepted, those of this holder after the report included.
	seq int64
	// applied is when the last order was accepted.
	applied time.Time
	loading string
	store   bool
	ends    time.Time // ends is when the load should be complete.
	// adapters holds the adapters ordered since the report, with the time from which they count as held.
	adapters map[string]time.Time
	// unclear is until when an order without an answer is waited for.
	unclear time.Time
	// intent is the model that room was made for, until kept.
	intent  string
	kept    time.Time
	closing map[string]time.Time
}

type polled struct {
	id     string
	born   int64
	asked  time.Time
	report afengine.Report
	err    error
}

// refresh adds and removes engines as the roster says, and asks those whose report is due.
func (s *Service) refresh(ctx context.Context) {
	now := s.Timer.Now()
	table := s.Table()
	seen := make(map[string]bool)
	for _, e := range s.Roster.Entries() {
		if !isEngine(table, e.Service) {
			continue
		}
		seen[e.ID] = true
		x := s.engines[e.ID]
		if x == nil || x.entry.StartUnixMs != e.StartUnixMs || x.entry.Address != e.Address {
			x = &state{adapters: map[string]time.Time{}, closing: map[string]time.Time{}}
			s.engines[e.ID] = x
		}
		x.entry = e
		if e.State != afengine.StateReady || x.asking || now.Before(x.next) {
			continue
		}
		x.asking = true
		go func() {
			c, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			r, err := s.FetchReport(c, e)
			s.polls <- polled{id: e.ID, born: e.StartUnixMs, asked: now, report: r, err: err}
		}()
	}
	for id := range s.engines {
		if !seen[id] {
			delete(s.engines, id)
		}
	}
}

func isEngine(t *afroute.Table, service string) bool {
	if t == nil {
		return false
	}
	x, ok := t.Service(service)
	return ok && x.Engine != nil
}

// polled takes an engine's report.
func (s *Service) polled(p polled) {
	x := s.engines[p.id]
	if x == nil || x.entry.StartUnixMs != p.born {
		return
	}
	x.asking = false
	now := s.Timer.Now()
	x.next = now.Add(idlePoll)
	if p.err != nil {
		s.Log.Debug("report missing", "endpoint", p.id, "error", p.err)
		return
	}
	if p.report.StartUnixMs != 0 && x.entry.StartUnixMs != 0 && p.report.StartUnixMs != x.entry.StartUnixMs {
		// The engine restarted and its entry is not known yet.
		return
	}
	// A report of before the last order says nothing about it yet.
	if x.known && p.report.AcceptedOrders < x.seq && now.Sub(x.applied) < reportLife {
		x.next = now.Add(workPoll)
		return
	}
	if !x.unclear.IsZero() && p.report.AcceptedOrders == x.seq && now.Before(x.unclear) {
		x.next = now.Add(workPoll)
	}
	if !sameModels(x.report.Models, p.report.Models) || !x.known {
		s.changed = true
	}
	x.report, x.at, x.known, x.seq = p.report, p.asked, true, p.report.AcceptedOrders
	for key := range x.adapters {
		if !slices.Contains(p.report.LoadingAdapters, key) {
			delete(x.adapters, key)
		}
	}
	if !p.report.HasOrderInProgress {
		x.loading, x.store = "", false
	} else if wait := x.ends.Sub(now); wait > 0 && wait < idlePoll {
		x.next = now.Add(wait)
	} else if wait <= 0 {
		x.next = now.Add(workPoll)
	}
	if len(p.report.LoadingAdapters) > 0 {
		x.next = now.Add(workPoll)
	}
}

func sameModels(a, b []afengine.LoadedModel) bool {
	return slices.EqualFunc(a, b, func(x, y afengine.LoadedModel) bool {
		return x.Model == y.Model && slices.Equal(x.Adapters, y.Adapters)
	})
}

// held returns what the engine holds, with the adapters that were ordered since the report.
func (x *state) held(now time.Time) []afengine.LoadedModel {
	if !x.known {
		return x.entry.Models
	}
	if len(x.adapters) == 0 {
		return x.report.Models
	}
	out := slices.Clone(x.report.Models)
	for i, h := range out {
		h.Adapters = slices.Clone(h.Adapters)
		for key, from := range x.adapters {
			for _, a := range []string{adapterOf(key, h.Model)} {
				if a != "" && !now.Before(from) && !slices.Contains(h.Adapters, a) {
					h.Adapters = append(h.Adapters, a)
				}
			}
		}
		out[i] = h
	}
	return out
}

// adapterOf returns the adapter's name if the key names one of the model.
func adapterOf(key, model string) string {
	if len(key) > len(model)+1 && key[:len(model)] == model && key[len(model)] == '/' {
		return key[len(model)+1:]
	}
	return ""
}

// closed returns the models that get no new requests.
func (x *state) closed(now time.Time) []string {
	var out []string
	for model, until := range x.closing {
		if now.Before(until) {
			out = append(out, model)
		}
	}
	slices.Sort(out)
	return out
}

// input returns the engine as PlanOrders takes it.
func (x *state) input(now time.Time, running map[string]int) afassign.Engine {
	e := afassign.Engine{
		ID: x.entry.ID, LoadedModels: x.held(now), ClosingModels: x.closed(now), LoadingModel: x.loading, LoadsFromStore: x.store,
		ModelsInMemory: x.report.ModelsInMemory, ModelsOnDisk: x.report.ModelsOnDisk, AcceptedOrders: x.seq, RunningRequests: running,
		IsExecutingOrder: x.loading != "" || x.report.HasOrderInProgress,
	}
	if x.sent && x.ordered != "" {
		e.LoadingModel, e.LoadsFromStore, e.IsExecutingOrder = x.ordered, x.fetch, true
	}
	if now.Before(x.kept) {
		e.ReservedModel = x.intent
	}
	if e.IsExecutingOrder {
		e.TimeUntilFree = max(x.ends.Sub(now), workPoll)
	}
	for key, from := range x.adapters {
		if now.Before(from) {
			e.LoadingAdapters = append(e.LoadingAdapters, key)
		}
	}
	for _, key := range x.report.LoadingAdapters {
		if !slices.Contains(e.LoadingAdapters, key) {
			e.LoadingAdapters = append(e.LoadingAdapters, key)
		}
	}
	slices.Sort(e.LoadingAdapters)
	e.IsBlocked = x.sent || now.Before(x.unclear)
	e.IsUnavailable = !x.known || now.Sub(x.at) > reportLife+idlePoll || x.entry.State != afengine.StateReady
	return e
}
