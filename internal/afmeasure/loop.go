package afmeasure

import (
	"container/heap"
	"maps"
	"slices"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afplacement"
)

const (
	// commitTime and sendTime are the assumed times of a platform write and of an order.
	commitTime = 5 * time.Millisecond
	sendTime   = time.Millisecond
	unloadTime = 200 * time.Millisecond
	// pollIdle is longer than the daemon's, since idle runners do not change here.
	pollIdle = 10 * time.Second
	summary  = time.Second
	// deadline is the time after which a request that waits is refused.
	deadline = 30 * time.Second
)

var midnight = time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)

// loop is an event loop around the decision code of one shard: runners, a weight store and a clock.
type loop struct {
	now     time.Duration
	events  eventHeap
	seq     int
	view    afplacement.View
	cfg     afplacement.Config
	version int64
	runners map[string]*runner
	store   store
	waiting map[string][]*request
	running map[string]int
	served  map[string]int // served counts the arrivals since the last summary.
	cold    map[string]coldStart
	result  result
	down    bool // down tells that the platform refuses writes.
	lastUse time.Duration
	table   map[string][]string // table is the routing table, or nil if the view has changed since.
}

type coldStart struct{ at, bare time.Duration }

// runner is a model runner.
type runner struct {
	cache   *cache
	models  map[string]string
	running int
	fence   int64
	leaving bool
	dead    bool
	poll    time.Duration // poll is when the next report is due.
}

func (l *loop) at(d time.Duration, fn func()) {
	l.seq++
	heap.Push(&l.events, event{at: l.now + d, seq: l.seq, fn: fn})
}

func (l *loop) clock() time.Time { return midnight.Add(l.now) }

// step applies an event and schedules the effects.
func (l *loop) step(e afplacement.Event) {
	view, effects := l.view.Step(e, l.clock())
	l.view, l.table = view, nil
	for _, effect := range effects {
		switch effect := effect.(type) {
		case afplacement.CommitRecord:
			l.at(commitTime, func() {
				if l.down {
					l.step(afplacement.CommitFailed{})
					return
				}
				l.version++
				l.step(afplacement.CommitSucceeded{Version: l.version})
			})
		case afplacement.FetchRecord:
			l.fetch()
		case afplacement.SendOrder:
			l.at(sendTime, func() { l.order(effect.Order) })
		}
	}
}

func (l *loop) fetch() {
	l.at(commitTime, func() {
		if l.down {
			l.at(time.Second, l.fetch)
			return
		}
		r, _ := l.view.Record()
		l.step(afplacement.RecordFetched{Version: l.version, Record: r})
	})
}

// order lets a runner carry out an order.
func (l *loop) order(o afplacement.Order) {
	r := l.runners[o.Endpoint]
	if r.dead {
		l.step(afplacement.OrderAnswered{OrderID: o.ID, Outcome: afplacement.OutcomeNotSent})
		return
	}
	r.fence = max(r.fence, o.Fence)
	switch _, ok := r.models[o.Model]; {
	case o.Verb == afplacement.VerbLoad && !ok:
		r.models[o.Model] = "loading"
		l.load(r, o.Model)
	case o.Verb == afplacement.VerbUnload && ok:
		l.account()
		r.models[o.Model] = "unloading"
		l.at(unloadTime, func() {
			if r.models[o.Model] == "unloading" {
				delete(r.models, o.Model)
			}
		})
	}
	l.step(afplacement.OrderAnswered{OrderID: o.ID, Outcome: afplacement.OutcomeAccepted})
	l.poll(o.Endpoint, l.view.PollDelay(o.Endpoint, l.clock()))
}

// poll plans the runner's next report, unless one is planned for an earlier time.
func (l *loop) poll(name string, d time.Duration) {
	r := l.runners[name]
	if r.poll > l.now && r.poll <= l.now+d {
		return
	}
	r.poll = l.now + d
	due := r.poll
	l.at(d, func() {
		if r.poll == due {
			l.report(name)
		}
	})
}

func (l *loop) load(r *runner, model string) {
	m := l.cfg.Models[model]
	done := func() {
		if r.models[model] != "loading" {
			return
		}
		l.account()
		r.models[model] = "loaded"
		if !m.IsAdapter() {
			r.cache.touch(model)
		}
	}
	tier := r.cache.report()[model]
	switch {
	case m.IsAdapter():
		l.at(time.Duration(m.StoreLoadMillis)*time.Millisecond, done)
	case tier == "memory":
		l.at(time.Duration(m.MemoryLoadMillis)*time.Millisecond, done)
	case tier == "disk":
		l.at(time.Duration(m.DiskLoadMillis)*time.Millisecond, done)
	default:
		l.store.add(l, time.Duration(m.StoreLoadMillis)*time.Millisecond, done)
	}
}

// report gives the view a runner's status and plans the next report.
func (l *loop) report(name string) {
	r := l.runners[name]
	asked := l.clock()
	defer func() {
		d := l.view.PollDelay(name, l.clock())
		if !l.view.IsEndpointBusy(name) {
			d = pollIdle
		}
		l.poll(name, d)
	}()
	if r.dead {
		l.step(afplacement.StatusPolled{Endpoint: name, RequestedAt: asked, Failed: true})
		return
	}
	st := afplacement.EndpointStatus{Cache: r.cache.report(), RunningRequests: r.running, Leaving: r.leaving, Fence: r.fence}
	for _, model := range slices.Sorted(maps.Keys(r.models)) {
		st.Models = append(st.Models, afplacement.ModelStatus{Name: model, State: r.models[model], Memory: l.cfg.Models[model].MemoryMB})
	}
	l.step(afplacement.StatusPolled{Endpoint: name, RequestedAt: asked, Status: st})
	l.dispatch()
}

// arrive takes a request.
func (l *loop) arrive(q *request) {
	l.served[q.model]++
	l.result.offered(q)
	if len(l.replicas(q.model)) == 0 {
		if _, ok := l.cold[q.model]; !ok {
			l.cold[q.model] = coldStart{at: l.now, bare: l.nearest(q.model)}
		}
	}
	l.waiting[q.model] = append(l.waiting[q.model], q)
	l.dispatch()
	if n := len(l.waiting[q.model]); n > 0 && n <= 2 {
		l.want(q.model)
	}
}

func (l *loop) want(model string) {
	l.step(afplacement.DemandReported{Model: model, VM: "vm1", WaitingRequests: len(l.waiting[model]), RunningRequests: l.running[model]})
}

// nearest returns the bare load time of the model from the nearest cache at this moment. That of an adapter
// includes its base where no runner has it loaded.
func (l *loop) nearest(model string) time.Duration {
	m := l.cfg.Models[model]
	var best time.Duration
	if m.IsAdapter() {
		best = time.Duration(m.StoreLoadMillis) * time.Millisecond
		if len(l.replicas(m.BaseName())) == 0 {
			best += l.nearest(m.BaseName())
		}
		return best
	}
	best = time.Duration(m.StoreLoadMillis) * time.Millisecond
	for _, r := range l.runners {
		switch tier := r.cache.report()[model]; {
		case r.dead || r.leaving:
		case tier == "memory":
			best = min(best, time.Duration(m.MemoryLoadMillis)*time.Millisecond)
		case tier == "disk":
			best = min(best, time.Duration(m.DiskLoadMillis)*time.Millisecond)
		}
	}
	return best
}

// replicas returns the runners that the routing table offers for the model.
func (l *loop) replicas(model string) []string {
	if l.table == nil {
		l.table = make(map[string][]string)
		for _, r := range l.view.BuildPart("s", nil, l.clock()).Replicas {
			l.table[r.Model] = append(l.table[r.Model], r.Endpoint)
		}
	}
	return l.table[model]
}

// dispatch starts the requests that have a replica with a free slot, in order of arrival. The fair queue and the
// limits of the other packages join here.
func (l *loop) dispatch() {
	for _, model := range slices.Sorted(maps.Keys(l.cold)) {
		if len(l.replicas(model)) > 0 {
			l.result.start(model, l.cold[model], l.now)
			delete(l.cold, model)
		}
	}
	for _, model := range slices.Sorted(maps.Keys(l.waiting)) {
		queue, list := l.waiting[model], l.replicas(model)
		if len(queue) == 0 {
			delete(l.waiting, model)
			continue
		}
		for len(queue) > 0 {
			best := ""
			for _, name := range list {
				r := l.runners[name]
				if !r.dead && r.models[model] == "loaded" && r.running < runnerSlots && (best == "" || r.running < l.runners[best].running) {
					best = name
				}
			}
			if best == "" {
				break
			}
			l.run(best, queue[0])
			queue = queue[1:]
		}
		l.waiting[model] = queue
	}
}

func (l *loop) run(name string, q *request) {
	l.account()
	r := l.runners[name]
	r.running++
	l.running[q.model]++
	l.result.wait(q, l.now-q.at)
	l.at(q.work, func() {
		l.account()
		r.running--
		l.running[q.model]--
		l.dispatch()
	})
}

// account adds the time since the last change to the idle accelerator time.
func (l *loop) account() {
	d := l.now - l.lastUse
	l.lastUse = l.now
	if d <= 0 {
		return
	}
	for _, r := range l.runners {
		for model, state := range r.models {
			if state != "loaded" || l.inUse(model) {
				continue
			}
			l.result.idle += time.Duration(float64(d) * float64(l.cfg.Models[model].MemoryMB) / runnerMemory)
		}
	}
}

func (l *loop) inUse(model string) bool {
	if l.running[model] > 0 {
		return true
	}
	for name, n := range l.running {
		if base, _ := arbutusfork.SplitModelName(name); n > 0 && base == model {
			return true
		}
	}
	return false
}

// loading reports whether the model or its base is being loaded.
func (l *loop) loading(model string) bool {
	base, _ := arbutusfork.SplitModelName(model)
	r, _ := l.view.Record()
	return slices.ContainsFunc(r.Assignments, func(a afplacement.Assignment) bool {
		return (a.Model == model || a.Model == base) && a.State == afplacement.AssignmentLoading
	})
}

// second is the summary of demand and the polling of runners.
func (l *loop) second() {
	for model, queue := range l.waiting {
		kept := queue[:0]
		for _, q := range queue {
			if l.now-q.at < deadline {
				kept = append(kept, q)
				continue
			}
			l.result.refuse(q)
		}
		l.waiting[model] = kept
		if len(kept) == 0 && !l.loading(model) {
			// Everybody has given up on the model before a load began.
			delete(l.cold, model)
		}
	}
	for _, model := range slices.Sorted(maps.Keys(l.served)) {
		l.step(afplacement.RequestsArrived{Model: model, Count: l.served[model]})
	}
	clear(l.served)
	active := make(map[string]bool)
	for model, queue := range l.waiting {
		active[model] = active[model] || len(queue) > 0
	}
	for model, n := range l.running {
		active[model] = true
		if n == 0 {
			delete(l.running, model)
		}
	}
	for _, model := range slices.Sorted(maps.Keys(active)) {
		l.want(model)
	}
	l.step(afplacement.Tick{})
	l.at(summary, l.second)
}

// run goes through the day.
func (l *loop) day(arrivals []request) {
	l.view = afplacement.NewView(arbutusfork.Incarnation{VM: "vm1", StartID: 1}, l.cfg)
	l.step(afplacement.RecordFetched{})
	l.at(0, l.second)
	for _, name := range slices.Sorted(maps.Keys(l.runners)) {
		l.poll(name, time.Millisecond)
	}
	next := 0
	for {
		for next < len(arrivals) && (len(l.events) == 0 || arrivals[next].at <= l.events[0].at) {
			l.now = arrivals[next].at
			l.arrive(&arrivals[next])
			next++
		}
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		if l.now > 24*time.Hour {
			break
		}
		e.fn()
	}
	l.account()
}
