package afassign

import (
	"cmp"
	"math"
	"slices"
	"time"

	"arbutusfork.example/arbutusfork/pkg/afengine"
)

const (
	// unloadTime is the estimate for unloading an idle model: one report lag.
	unloadTime = 100 * time.Millisecond
	// pairRate is the requests a second from which a model gets a second replica, so that the loss of one engine
	// leaves one.
	pairRate = 1.5
	// rateLoads is the number of loads from the weight store at once that only add a replica of a busy model.
	rateLoads = 1
	// busyPrefetch is the number of loads at once that bring models to disks while requests come.
	busyPrefetch = 1
	// pressedWaiting requests that have waited for pressedTime ask for one more replica than serves them.
	pressedWaiting = 4
	pressedTime    = 300 * time.Millisecond
	// startReplicas is the number of engines that hold a model before any request, from which it is taken for a busy one.
	startReplicas = 2
	// oftenRate is what a model counts in requests a second, beside its rate, that has been busy before: demand comes back.
	oftenRate = 0.3
	// copies is the number of engines on whose disk a model should lie, so that one of them has room and time for it.
	copies = 2
	// expectTime is the time for which further requests for a model count as if they waited, and agePerSecond what a
	// second of the longest wait counts in requests, so that no model waits forever.
	expectTime   = 2 * time.Second
	agePerSecond = 0.1
	// lateWeight is what a request counts that can no longer be answered within its target.
	lateWeight = 0.3
	// hotRate is the requests a second from which a model's last replica is not unloaded for another one.
	hotRate = 0.8
)

// planner holds the state of one call of Plan.
type planner struct {
	View
	demand   map[string]Demand // demand is by model and by AdapterKey.
	waiting  map[string]int    // waiting counts requests by model, those for its adapters included.
	fresh    map[string]int    // fresh counts those of them that may still be on time.
	oldest   map[string]time.Duration
	rate     map[string]float64
	work     map[string]float64
	adapters map[string]float64 // adapters is the rate of a model's requests with an adapter.
	replicas map[string]int
	serving  map[string]int // serving counts the replicas that take requests now.
	onDisk   map[string]int
	reserve  float64         // reserve is the memory that is kept free for adapters.
	taken    map[string]bool // taken engines got a step or are reserved for one.
	loads    int             // loads counts those from the store in progress.
	out      Decision
}

// Plan returns the orders to send now. Each engine gets at most one order on a model; orders on adapters do not occupy
// it. The decision is a function of the view: equal views give equal decisions.
func Plan(v View) Decision {
	p := newPlanner(v)
	p.serveAdapters()
	p.goOn()
	for _, m := range p.needed() {
		p.place(m.model, m.reason)
	}
	p.prefetch()
	return p.out
}

func newPlanner(v View) *planner {
	p := &planner{
		View: v, demand: map[string]Demand{}, waiting: map[string]int{}, fresh: map[string]int{}, oldest: map[string]time.Duration{},
		rate: map[string]float64{}, work: map[string]float64{}, replicas: map[string]int{}, onDisk: map[string]int{},
		taken: map[string]bool{}, serving: map[string]int{}, adapters: map[string]float64{},
	}
	p.reserve = adapterReserve(v)
	p.Engines = slices.SortedFunc(slices.Values(v.Engines), func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	for _, d := range v.Demand {
		key := d.Model
		if d.Adapter != "" {
			key = AdapterKey(d.Model, d.Adapter)
			p.adapters[d.Model] += d.Rate
		}
		p.demand[key] = d
		p.waiting[d.Model] += d.Waiting
		p.fresh[d.Model] += d.Fresh
		p.oldest[d.Model] = max(p.oldest[d.Model], d.Oldest)
		p.rate[d.Model] += d.Rate
		p.work[d.Model] += d.Work
	}
	for _, e := range p.Engines {
		if e.FromStore {
			p.loads++
		}
		if e.Closed {
			continue
		}
		for _, h := range e.Held {
			if !slices.Contains(e.Closing, h.Model) {
				p.replicas[h.Model]++
				p.serving[h.Model]++
			}
		}
		if e.Loading != "" && !afengine.Holds(e.Held, e.Loading, "") {
			p.replicas[e.Loading]++
		} else if e.Intent != "" && !afengine.Holds(e.Held, e.Intent, "") {
			p.replicas[e.Intent]++
		}
	}
	for i := range p.Engines {
		p.countDisk(&p.Engines[i])
	}
	return p
}

// countDisk counts the models that could be loaded from the engine's disk: one that is full of busy models has no room.
func (p *planner) countDisk(e *Engine) {
	if e.Closed {
		return
	}
	room := p.Spec.Memory - p.reserve
	for _, h := range e.Held {
		if p.likelyBusy(h.Model) {
			room -= p.Spec.Models[h.Model].Size
		}
	}
	for _, m := range e.Disk {
		if room >= p.Spec.Models[m].Size {
			p.onDisk[m]++
		}
	}
}

// likelyBusy reports whether a model is busy, or is likely to be once requests come: several engines hold it at the start.
func (p *planner) likelyBusy(model string) bool {
	return p.desired(model) > 0 || len(p.rate) == 0 && p.replicas[model] >= startReplicas
}

// Busy returns the models that are busy or that several engines hold.
func Busy(v View) []string {
	p := newPlanner(v)
	var out []string
	for model := range v.Spec.Models {
		if p.desired(model) > 0 || p.replicas[model] >= startReplicas {
			out = append(out, model)
		}
	}
	return out
}

// busy returns the number of busy models that the engine holds.
func (p *planner) busy(e *Engine) int {
	n := 0
	for _, h := range e.Held {
		if p.desired(h.Model) > 0 {
			n++
		}
	}
	return n
}

// desired returns the number of replicas that the rate of a model asks for.
func (p *planner) desired(model string) int {
	n := 0
	if p.EngineWork > 0 {
		n = int(math.Ceil(p.work[model] / p.EngineWork))
	}
	switch r := p.rate[model]; {
	case r >= pairRate:
		n = max(n, 2)
	case r >= hotRate:
		n = max(n, 1)
	}
	if p.pressed(model) {
		n = max(n, p.serving[model]+1)
	}
	return min(n, len(p.Engines))
}

// pressed reports whether requests wait although the model is served.
func (p *planner) pressed(model string) bool {
	return p.waiting[model] >= pressedWaiting && p.oldest[model] >= pressedTime
}

// load returns the prompt tokens a second that the engine's models bring it.
func (p *planner) load(e *Engine) float64 {
	sum := 0.0
	for _, h := range e.Held {
		if !slices.Contains(e.Closing, h.Model) {
			sum += p.work[h.Model] / float64(max(p.replicas[h.Model], 1))
		}
	}
	return sum
}

type need struct {
	model  string
	reason Reason
	weight float64
}

// needed returns the models that need a replica, the most pressing first: those that requests wait for in vain by
// the requests that a load would serve, then busy ones by how far they fall short. The longest wait alone does not
// decide, since requests for a model that many wait for are refused before theirs is long.
func (p *planner) needed() []need {
	var out []need
	for model := range p.Spec.Models {
		switch n := p.replicas[model]; {
		case n == 0 && p.waiting[model] > 0:
			late := p.waiting[model] - p.fresh[model]
			weight := float64(p.fresh[model]) + lateWeight*float64(late) + p.rate[model]*expectTime.Seconds() +
				p.oldest[model].Seconds()*agePerSecond
			out = append(out, need{model: model, reason: ForWaiting, weight: weight})
		case n < p.desired(model) && p.pressed(model):
			weight := float64(p.waiting[model])/float64(n+1) + p.rate[model]
			out = append(out, need{model: model, reason: ForWaiting, weight: weight})
		case n < p.desired(model):
			out = append(out, need{model: model, reason: ForRate, weight: float64(p.desired(model)) / float64(n+1)})
		}
	}
	slices.SortFunc(out, func(a, b need) int {
		return cmp.Or(
			cmp.Compare(a.reason, b.reason), cmp.Compare(b.weight, a.weight), cmp.Compare(a.model, b.model))
	})
	return out
}

// option is one way to load a model.
type option struct {
	engine  *Engine
	eta     time.Duration
	store   bool
	victims []string // victims are unloaded first, in this order.
	loss    float64  // loss is what unloading the victims costs, in expected requests.
	running bool     // running means that a victim still serves requests.
	busy    int      // busy is the number of busy models that the engine holds.
	full    bool     // full means that the model would bring the engine more work than it should get.
}

// goOn orders the loads for which room was made.
func (p *planner) goOn() {
	for i := range p.Engines {
		e := &p.Engines[i]
		if e.Closed || e.Pending || e.Busy || e.Intent == "" || p.taken[e.ID] || afengine.Holds(e.Held, e.Intent, "") {
			continue
		}
		p.replicas[e.Intent]-- // It counted as a replica; placing it counts it again.
		if o, ok := p.option(e, e.Intent, ForWaiting); ok {
			p.commit(o, e.Intent, ForWaiting)
		}
	}
}

// place orders the load of a model on the engine that has it ready first, or makes room there.
func (p *planner) place(model string, reason Reason) {
	best, ok := p.best(model, reason)
	if !ok {
		return
	}
	if n := p.replicas[model]; reason == ForRate && best.store && (p.loads >= rateLoads || p.desired(model) < n+2) {
		return // The store is for models that no engine can load otherwise.
	}
	p.commit(best, model, reason)
}

func (p *planner) commit(best option, model string, reason Reason) {
	e := best.engine
	// An engine that is still at work is kept free for this model, since waiting for it is quicker than another.
	p.taken[e.ID] = true
	if e.Busy {
		return
	}
	if len(best.victims) > 0 {
		p.makeRoom(best, model)
		return
	}
	if best.store {
		if p.loads >= p.StoreLoads || p.StoreStarts <= 0 {
			return
		}
		p.loads++
		p.StoreStarts--
	}
	p.replicas[model]++
	p.onDisk[model]++
	p.out.Steps = append(p.out.Steps, Step{
		Engine: e.ID, Order: afengine.Order{Model: model, Expected: e.Seq}, Reason: reason,
		FromStore: best.store, Takes: best.eta,
	})
}

// makeRoom unloads the first victim. The load follows once the engine reports the room.
func (p *planner) makeRoom(o option, model string) {
	victim := o.victims[0]
	closing := slices.Contains(o.engine.Closing, victim)
	if !closing {
		p.replicas[victim]--
	}
	if o.engine.Running[victim] > 0 {
		p.out.Closing = append(p.out.Closing, Close{Engine: o.engine.ID, Model: victim})
		return
	}
	p.out.Steps = append(p.out.Steps, Step{
		Engine: o.engine.ID, Order: afengine.Order{Unload: true, Model: victim, Expected: o.engine.Seq}, Reason: ForRoom,
		For: model,
	})
}

func (p *planner) best(model string, reason Reason) (option, bool) {
	var (
		best  option
		found bool
	)
	for i := range p.Engines {
		e := &p.Engines[i]
		if e.Closed || e.Pending || p.taken[e.ID] || e.Loading == model || afengine.Holds(e.Held, model, "") {
			continue
		}
		o, ok := p.option(e, model, reason)
		if !ok || o.store && !e.Busy && (p.loads >= p.StoreLoads || p.StoreStarts <= 0) {
			continue
		}
		if !found || o.before(best, reason) {
			best, found = o, true
		}
	}
	return best, found
}

// before orders options by the time to the first answer, then by what they cost others. A further replica of a busy
// model goes beside other busy models, so that the other engines keep their room for rare ones.
func (o option) before(p option, reason Reason) bool {
	if o.full != p.full {
		return p.full
	}
	if reason == ForRate && o.store == p.store && o.busy != p.busy {
		return o.busy > p.busy
	}
	const near = 150 * time.Millisecond // Differences below a report's lag say nothing.
	if d := o.eta - p.eta; d < -near || d > near {
		return d < 0
	}
	return o.loss < p.loss
}

// option returns how the engine could load the model. Only waiting requests may make a busy replica close.
func (p *planner) option(e *Engine, model string, reason Reason) (option, bool) {
	m := p.Spec.Models[model]
	o := option{engine: e, eta: e.Free, busy: p.busy(e)}
	share := p.work[model] / float64(p.replicas[model]+1)
	o.full = p.EngineWork > 0 && share > p.EngineWork/10 && p.load(e)+share > p.EngineWork
	switch {
	case slices.Contains(e.Memory, model):
		o.eta += m.Warm
	case slices.Contains(e.Disk, model):
		o.eta += m.Disk
	default:
		o.eta += m.Load
		o.store = true
	}
	// While the engine loads it takes no orders on adapters, which the models that it holds may need.
	for _, h := range e.Held {
		o.loss += p.adapters[h.Model] / float64(max(p.replicas[h.Model], 1)) * (o.eta - e.Free).Seconds()
	}
	room := p.Spec.Memory - p.reserve - m.Size - p.used(e)
	if room >= 0 {
		return o, true
	}
	type victim struct {
		model   string
		loss    float64
		running bool
	}
	var victims []victim
	for _, h := range e.Held {
		running := e.Running[h.Model] > 0
		left := p.replicas[h.Model] - 1
		if slices.Contains(e.Closing, h.Model) {
			victims = append(victims, victim{h.Model, 0, running})
			continue
		}
		// A model that more requests wait for than use the victim may take one of its replicas, but not the last.
		wanted := reason == ForWaiting && left > 0 && float64(p.waiting[model])+p.rate[model] > p.rate[h.Model]/2
		switch {
		case left < p.desired(h.Model) && !wanted, left == 0 && p.waiting[h.Model] > 0:
			continue
		case running && reason == ForDisk:
			continue
		}
		if len(p.rate) == 0 && left+1 >= startReplicas {
			continue // Nothing is known yet but that this model was given several engines.
		}
		rate := p.rate[h.Model]
		if p.Often[h.Model] {
			rate = max(rate, oftenRate)
		}
		loss := rate / float64(left+1)
		if left > 0 {
			loss /= 4 // Another replica serves on, so that only its load rises.
		}
		if p.desired(h.Model) > 0 {
			// Surplus replicas of busy models leave the engines first that hold few of them.
			loss *= float64(o.busy)
		}
		victims = append(victims, victim{h.Model, loss, running})
	}
	slices.SortFunc(victims, func(a, b victim) int {
		if a.running != b.running {
			if a.running {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(a.loss, b.loss), cmp.Compare(a.model, b.model))
	})
	for _, v := range victims {
		o.victims = append(o.victims, v.model)
		o.loss += v.loss
		o.eta += unloadTime
		if v.running {
			o.running = true
			o.eta += time.Second // A stream that runs lasts some seconds.
		}
		room += p.Spec.Models[v.model].Size
		if room >= 0 {
			return o, true
		}
	}
	return option{}, false
}

// used returns the memory that an engine's models and adapters take, in MB.
func (p *planner) used(e *Engine) float64 {
	sum := 0.0
	for _, h := range e.Held {
		sum += p.Spec.Models[h.Model].Size
	}
	if e.Loading != "" && !afengine.Holds(e.Held, e.Loading, "") {
		sum += p.Spec.Models[e.Loading].Size
	}
	return sum
}

// adapterReserve returns the memory that is kept free for adapters, so that models alone never fill an engine.
func adapterReserve(v View) float64 {
	largest := 0.0
	for _, m := range v.Spec.Models {
		if m.Adapters > 0 {
			largest = max(largest, m.AdapterSize)
		}
	}
	return largest * float64(v.Spec.AdapterSlots)
}

// loading reports whether an engine loads the model.
func (p *planner) loading(model string) bool {
	return slices.ContainsFunc(p.Engines, func(e Engine) bool { return e.Loading == model })
}

// prefetch brings models that can be loaded from no disk to idle engines while the store has room. Requests that wait
// come first: then one such load at a time goes on, and half of the engines stay free.
func (p *planner) prefetch() {
	most := p.StoreLoads
	if len(p.rate) > 0 {
		most = min(most, busyPrefetch)
	}
	for _, w := range p.waiting {
		if w > 0 && p.loads > 0 {
			return
		}
	}
	var models []string
	for model := range p.Spec.Models {
		if p.onDisk[model] < copies && !p.likelyBusy(model) && !p.loading(model) {
			models = append(models, model)
		}
	}
	slices.SortFunc(models, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.onDisk[a], p.onDisk[b]), cmp.Compare(p.rate[b], p.rate[a]), cmp.Compare(a, b))
	})
	idle := 0
	for _, e := range p.Engines {
		if !e.Closed && !e.Pending && !e.Busy && !p.taken[e.ID] {
			idle++
		}
	}
	for _, model := range models {
		if p.replicas[model] > 0 && p.onDisk[model] > 0 {
			// Where the model is held, its own engine serves; a copy elsewhere can wait.
			continue
		}
		spare := len(p.Engines) / 2
		if p.onDisk[model] > 0 && len(p.rate) > 0 {
			return // While requests come, a second copy is worth less than an engine that is free for them.
		}
		if p.loads >= most || p.StoreStarts <= 0 || idle <= spare {
			return
		}
		before := len(p.out.Steps)
		p.place(model, ForDisk)
		if len(p.out.Steps) == before {
			return
		}
		idle--
	}
}
