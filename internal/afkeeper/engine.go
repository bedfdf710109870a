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
	entry  afengine.Entry
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

type ordered struct {
	id     string
	born   int64
	step   afassign.Step
	result afengine.Result
}

// refresh adds and removes engines as the roster says, and asks those whose report is due.
func (s *Service) refresh(ctx context.Context) {
	now := s.Timer.Now()
	table := s.Table()
	seen := make(map[string]bool)
	for _, e := range s.Roster.All() {
		if !isEngine(table, e.Service) {
			continue
		}
		seen[e.ID] = true
		x := s.engines[e.ID]
		if x == nil || x.entry.Born != e.Born || x.entry.Address != e.Address {
			x = &state{adapters: map[string]time.Time{}, closing: map[string]time.Time{}}
			s.engines[e.ID] = x
		}
		x.entry = e
		if e.State != afengine.Ready || x.asking || now.Before(x.next) {
			continue
		}
		x.asking = true
		go func() {
			c, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			r, err := s.Report(c, e)
			s.polls <- polled{id: e.ID, born: e.Born, asked: now, report: r, err: err}
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
	if x == nil || x.entry.Born != p.born {
		return
	}
	x.asking = false
	now := s.Timer.Now()
	x.next = now.Add(idlePoll)
	if p.err != nil {
		s.Log.Debug("report missing", "endpoint", p.id, "error", p.err)
		return
	}
	if p.report.Born != 0 && x.entry.Born != 0 && p.report.Born != x.entry.Born {
		// The engine restarted and its entry is not known yet.
		return
	}
	// A report of before the last order says nothing about it yet.
	if x.known && p.report.Seq < x.seq && now.Sub(x.applied) < reportLife {
		x.next = now.Add(workPoll)
		return
	}
	if !x.unclear.IsZero() && p.report.Seq == x.seq && now.Before(x.unclear) {
		x.next = now.Add(workPoll)
	}
	if !sameModels(x.report.Models, p.report.Models) || !x.known {
		s.changed = true
	}
	x.report, x.at, x.known, x.seq = p.report, p.asked, true, p.report.Seq
	for key := range x.adapters {
		if !slices.Contains(p.report.Coming, key) {
			delete(x.adapters, key)
		}
	}
	if !p.report.Busy {
		x.loading, x.store = "", false
	} else if wait := x.ends.Sub(now); wait > 0 && wait < idlePoll {
		x.next = now.Add(wait)
	} else if wait <= 0 {
		x.next = now.Add(workPoll)
	}
	if len(p.report.Coming) > 0 {
		x.next = now.Add(workPoll)
	}
}

func sameModels(a, b []afengine.Held) bool {
	return slices.EqualFunc(a, b, func(x, y afengine.Held) bool {
		return x.Model == y.Model && slices.Equal(x.Adapters, y.Adapters)
	})
}

// held returns what the engine holds, with the adapters that were ordered since the report.
func (x *state) held(now time.Time) []afengine.Held {
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

// input returns the engine as Plan takes it.
func (x *state) input(now time.Time, running map[string]int) afassign.Engine {
	e := afassign.Engine{
		ID: x.entry.ID, Held: x.held(now), Closing: x.closed(now), Loading: x.loading, FromStore: x.store,
		Memory: x.report.Memory, Disk: x.report.Disk, Seq: x.seq, Running: running,
		Busy: x.loading != "" || x.report.Busy,
	}
	if x.sent && x.ordered != "" {
		e.Loading, e.FromStore, e.Busy = x.ordered, x.fetch, true
	}
	if now.Before(x.kept) {
		e.Intent = x.intent
	}
	if e.Busy {
		e.Free = max(x.ends.Sub(now), workPoll)
	}
	for key, from := range x.adapters {
		if now.Before(from) {
			e.Coming = append(e.Coming, key)
		}
	}
	for _, key := range x.report.Coming {
		if !slices.Contains(e.Coming, key) {
			e.Coming = append(e.Coming, key)
		}
	}
	slices.Sort(e.Coming)
	e.Pending = x.sent || now.Before(x.unclear)
	e.Closed = !x.known || now.Sub(x.at) > reportLife+idlePoll || x.entry.State != afengine.Ready
	return e
}

// plan decides and sends orders for each service of engines.
func (s *Service) plan(ctx context.Context, epoch int64) {
	now := s.Timer.Now()
	table := s.Table()
	if table == nil {
		return
	}
	running, wanted := s.collect(now)
	for _, service := range table.Services() {
		if service.Engine == nil {
			continue
		}
		v := afassign.View{
			Spec: *service.Engine, Demand: wanted, StoreLoads: s.StoreLoads, StoreStarts: s.storeStarts(service.Engine),
			EngineWork: engineWork, Often: s.often,
		}
		for id, x := range s.engines {
			if x.entry.Service == service.Name {
				e := x.input(now, running[id])
				e.Pending = e.Pending || s.quiet(id, epoch)
				v.Engines = append(v.Engines, e)
			}
		}
		s.noteBusy(v)
		d := afassign.Plan(v)
		for _, c := range d.Closing {
			x := s.engines[c.Engine]
			if !now.Before(x.closing[c.Model]) {
				s.changed = true
				s.Log.Info("replica closing", "endpoint", c.Engine, "model", c.Model, "running", running[c.Engine][c.Model])
			}
			x.closing[c.Model] = now.Add(closeTime)
		}
		for _, step := range d.Steps {
			s.send(ctx, step, epoch, now)
		}
	}
}

// noteBusy remembers the models that are busy or were given several engines.
func (s *Service) noteBusy(v afassign.View) {
	for _, model := range afassign.Busy(v) {
		s.often[model] = true
	}
}

// quiet reports whether an engine got an order of another holder so lately that it must not get one of this holder yet.
func (s *Service) quiet(id string, epoch int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.lastOrders[id]
	return ok && s.orderEpochs[id] != epoch && s.BootTime() < at+s.Terms.Quiet+s.Terms.Margin
}

// engineWork is the prompt tokens a second that one replica of a busy model should get at most. Engines of the users
// read 22 to 26 prompt tokens a millisecond, and reading for more than half of the time delays the events of running streams.
const engineWork = 10000

// storeStarts returns how many loads from the weight store may begin now.
func (s *Service) storeStarts(e *afroute.Engine) int {
	const window = 5 * time.Second
	now := s.BootTime()
	s.starts = slices.DeleteFunc(s.starts, func(t time.Duration) bool { return now-t > window })
	return int(e.LoadsPerSecond*window.Seconds()) - len(s.starts)
}

// send gives an order to an engine, in its own goroutine.
func (s *Service) send(ctx context.Context, step afassign.Step, epoch int64, now time.Time) {
	x := s.engines[step.Engine]
	x.sent = true
	x.ordered, x.fetch = "", step.FromStore
	if !step.Order.Unload && step.Order.Adapter == "" {
		x.ordered = step.Order.Model
	}
	if step.Reason == afassign.ForRoom && step.Order.Adapter == "" {
		x.intent, x.kept = step.For, now.Add(intentTime)
	}
	if step.FromStore {
		s.starts = append(s.starts, s.BootTime())
	}
	s.Log.Info("order decided", "endpoint", step.Engine, "unload", step.Order.Unload, "model", step.Order.Model,
		"adapter", step.Order.Adapter, "expected", step.Order.Expected, "epoch", epoch, "reason", step.Reason.String(),
		"for", step.For, "store", step.FromStore, "takes", step.Takes, "report_age", now.Sub(x.at))
	entry := x.entry
	go func() {
		c, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		result := afengine.Refused
		s.mu.Lock()
		at := s.BootTime()
		usable := s.lease.Usable(at) && s.lease.Epoch() == epoch
		if usable {
			s.lastOrders[entry.ID] = at
			s.orderEpochs[entry.ID] = epoch
		}
		s.mu.Unlock()
		if usable {
			result = s.Order(c, entry, s.Self.String(), epoch, step.Order)
		}
		s.orders <- ordered{id: entry.ID, born: entry.Born, step: step, result: result}
	}()
}

// ordered takes the result of an order.
func (s *Service) ordered(o ordered) {
	x := s.engines[o.id]
	if x == nil || x.entry.Born != o.born {
		return
	}
	x.sent = false
	now := s.Timer.Now()
	order := o.step.Order
	if o.result != afengine.Accepted {
		s.Log.Info("order not accepted", "endpoint", o.id, "model", order.Model, "adapter", order.Adapter,
			"unload", order.Unload, "expected", order.Expected, "result", int(o.result))
	}
	switch o.result {
	case afengine.Accepted:
		s.accepted(x, o.step, now)
	case afengine.Already:
		if order.Adapter != "" && order.Unload {
			s.accepted(x, o.step, now) // An adapter that no request uses is unloaded at once.
			return
		}
		x.next = now
		x.unclear = now.Add(conflictPause)
	case afengine.Unclear:
		// A fresh report tells whether it was taken. If it is carried out later, its count decides.
		x.unclear = now.Add(reportLag)
		x.next = now.Add(reportLag)
	case afengine.Conflict, afengine.Refused:
		x.unclear = now.Add(conflictPause)
		x.next = now
	}
}

func (s *Service) accepted(x *state, step afassign.Step, now time.Time) {
	order := step.Order
	x.seq = order.Expected + 1
	x.applied = now
	x.unclear = time.Time{}
	switch {
	case order.Adapter != "" && order.Unload:
		x.report.Models = withoutAdapter(x.report.Models, order.Model, order.Adapter)
		s.changed = true
	case order.Adapter != "":
		key := afassign.AdapterKey(order.Model, order.Adapter)
		x.adapters[key] = now.Add(adapterTime)
		s.Timer.After(adapterTime, func(time.Time) { s.viewSoon() })
		x.next = now.Add(adapterTime + workPoll)
	case order.Unload:
		x.report.Models = slices.DeleteFunc(slices.Clone(x.report.Models), func(h afengine.Held) bool { return h.Model == order.Model })
		delete(x.closing, order.Model)
		s.changed = true
		x.unclear = now.Add(unloadPause)
		s.Timer.After(unloadPause, func(time.Time) { s.poke() })
		x.next = now.Add(workPoll)
	default:
		x.loading, x.store = order.Model, step.FromStore
		x.kept = time.Time{}
		x.ends = now.Add(step.Takes)
		x.next = now.Add(min(step.Takes+reportLag/4, idlePoll))
	}
}

// viewSoon makes the loop send a view.
func (s *Service) viewSoon() {
	s.mu.Lock()
	s.due = true
	s.mu.Unlock()
	s.poke()
}

func withoutAdapter(held []afengine.Held, model, adapter string) []afengine.Held {
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
	_, own := s.Roster.Own()
	running = own
	type key struct{ model, adapter string }
	sum := map[key]afassign.Demand{}
	add := func(d afassign.Demand) {
		k := key{d.Model, d.Adapter}
		x := sum[k]
		x.Model, x.Adapter = d.Model, d.Adapter
		x.Waiting += d.Waiting
		x.Fresh += d.Fresh
		x.Oldest = max(x.Oldest, d.Oldest)
		x.Rate += d.Rate
		x.Work += d.Work
		sum[k] = x
	}
	for _, d := range s.Demand() {
		add(d)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for vm, h := range s.beats {
		if now.Sub(h.at) > stretch(beatLife, s.Listed()) {
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
