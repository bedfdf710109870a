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
	commitDuration    = 5 * time.Millisecond   // assumed duration of a read or write at the platform
	orderSendDuration = time.Millisecond       // assumed delay until an order reaches a runner
	unloadDuration    = 200 * time.Millisecond // assumed time that a runner needs to unload a model
	// idlePollInterval is longer than in the daemon, since the state of an idle runner does not change in the simulation.
	idlePollInterval = 10 * time.Second
	demandInterval   = time.Second // interval between the reports of demand to the placement view
	// waitTimeout is the time after which a waiting request is refused.
	waitTimeout = 30 * time.Second
)

var midnight = time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)

// simulation is a discrete-event simulation around the placement view of one shard, with simulated runners, weight
// store and clock.
type simulation struct {
	now             time.Duration // time since midnight of the simulated day
	events          eventHeap
	lastSequence    int
	view            afplacement.View
	cfg             afplacement.Config
	recordVersion   int64 // version of the shard's record at the platform
	runners         map[string]*runner
	weightStore     weightStore
	waitingRequests map[string][]*request // by model, in order of arrival
	runningCounts   map[string]int        // running requests by model
	arrivalCounts   map[string]int        // arrivals by model since the last report of demand
	coldStarts      map[string]coldStart  // cold starts in progress by model
	result          result
	isPlatformDown  bool                // the platform refuses reads and writes
	idleAccountedAt time.Duration       // time up to which idle accelerator time is counted
	routedRunners   map[string][]string // routing table by model, or nil after a change of the view
}

// coldStart is the wait for the first replica of a model. bareLoadDuration is the load time from the nearest cache.
type coldStart struct{ startedAt, bareLoadDuration time.Duration }

// runner is a simulated model runner.
type runner struct {
	cache           *checkpointCache
	modelStates     map[string]string // loading, loaded or unloading, by model
	runningRequests int
	fence           int64 // highest fencing number of an order so far
	isLeaving       bool
	isDead          bool
	nextPollAt      time.Duration
}

// schedule calls fn after d of simulated time.
func (sim *simulation) schedule(d time.Duration, fn func()) {
	sim.lastSequence++
	heap.Push(&sim.events, event{dueAt: sim.now + d, sequence: sim.lastSequence, fn: fn})
}

func (sim *simulation) currentTime() time.Time { return midnight.Add(sim.now) }

// applyEvent applies an event to the placement view and schedules the resulting effects.
func (sim *simulation) applyEvent(e afplacement.Event) {
	view, effects := sim.view.Step(e, sim.currentTime())
	sim.view, sim.routedRunners = view, nil
	for _, effect := range effects {
		switch effect := effect.(type) {
		case afplacement.CommitRecord:
			sim.schedule(commitDuration, func() {
				if sim.isPlatformDown {
					sim.applyEvent(afplacement.CommitFailed{})
					return
				}
				sim.recordVersion++
				sim.applyEvent(afplacement.CommitSucceeded{Version: sim.recordVersion})
			})
		case afplacement.FetchRecord:
			sim.fetchRecord()
		case afplacement.SendOrder:
			sim.schedule(orderSendDuration, func() { sim.executeOrder(effect.Order) })
		}
	}
}

// fetchRecord reads the shard's record from the platform, and retries every second while the platform is down.
func (sim *simulation) fetchRecord() {
	sim.schedule(commitDuration, func() {
		if sim.isPlatformDown {
			sim.schedule(time.Second, sim.fetchRecord)
			return
		}
		r, _ := sim.view.Record()
		sim.applyEvent(afplacement.RecordFetched{Version: sim.recordVersion, Record: r})
	})
}

// executeOrder starts the load or unload that the order asks of a runner and answers the order.
func (sim *simulation) executeOrder(o afplacement.Order) {
	r := sim.runners[o.Endpoint]
	if r.isDead {
		sim.applyEvent(afplacement.OrderAnswered{OrderID: o.ID, Outcome: afplacement.OutcomeNotSent})
		return
	}
	r.fence = max(r.fence, o.Fence)
	switch _, ok := r.modelStates[o.Model]; {
	case o.Verb == afplacement.VerbLoad && !ok:
		r.modelStates[o.Model] = "loading"
		sim.startLoad(r, o.Model)
	case o.Verb == afplacement.VerbUnload && ok:
		sim.accountIdleTime()
		r.modelStates[o.Model] = "unloading"
		sim.schedule(unloadDuration, func() {
			if r.modelStates[o.Model] == "unloading" {
				delete(r.modelStates, o.Model)
			}
		})
	}
	sim.applyEvent(afplacement.OrderAnswered{OrderID: o.ID, Outcome: afplacement.OutcomeAccepted})
	sim.schedulePoll(o.Endpoint, sim.view.PollDelay(o.Endpoint, sim.currentTime()))
}

// schedulePoll schedules the next status poll of a runner after d, unless an earlier one is scheduled.
func (sim *simulation) schedulePoll(name string, d time.Duration) {
	r := sim.runners[name]
	if r.nextPollAt > sim.now && r.nextPollAt <= sim.now+d {
		return
	}
	r.nextPollAt = sim.now + d
	dueAt := r.nextPollAt
	sim.schedule(d, func() {
		if r.nextPollAt == dueAt {
			sim.pollRunner(name)
		}
	})
}

// startLoad loads the model on the runner from the nearest cache or else from the weight store.
func (sim *simulation) startLoad(r *runner, model string) {
	m := sim.cfg.Models[model]
	finishLoad := func() {
		if r.modelStates[model] != "loading" {
			return
		}
		sim.accountIdleTime()
		r.modelStates[model] = "loaded"
		if !m.IsAdapter() {
			r.cache.recordUse(model)
		}
	}
	tier := r.cache.listTiers()[model]
	switch {
	case m.IsAdapter():
		sim.schedule(time.Duration(m.StoreLoadMillis)*time.Millisecond, finishLoad)
	case tier == "memory":
		sim.schedule(time.Duration(m.MemoryLoadMillis)*time.Millisecond, finishLoad)
	case tier == "disk":
		sim.schedule(time.Duration(m.DiskLoadMillis)*time.Millisecond, finishLoad)
	default:
		sim.weightStore.startTransfer(sim, time.Duration(m.StoreLoadMillis)*time.Millisecond, finishLoad)
	}
}

// pollRunner passes the status of a runner to the placement view and schedules the next poll.
func (sim *simulation) pollRunner(name string) {
	r := sim.runners[name]
	requestedAt := sim.currentTime()
	defer func() {
		d := sim.view.PollDelay(name, sim.currentTime())
		if !sim.view.IsEndpointBusy(name) {
			d = idlePollInterval
		}
		sim.schedulePoll(name, d)
	}()
	if r.isDead {
		sim.applyEvent(afplacement.StatusPolled{Endpoint: name, RequestedAt: requestedAt, Failed: true})
		return
	}
	status := afplacement.EndpointStatus{Cache: r.cache.listTiers(), RunningRequests: r.runningRequests, Leaving: r.isLeaving, Fence: r.fence}
	for _, model := range slices.Sorted(maps.Keys(r.modelStates)) {
		status.Models = append(status.Models, afplacement.ModelStatus{Name: model, State: r.modelStates[model], Memory: sim.cfg.Models[model].MemoryMB})
	}
	sim.applyEvent(afplacement.StatusPolled{Endpoint: name, RequestedAt: requestedAt, Status: status})
	sim.dispatchRequests()
}

// acceptRequest queues an arrived request and reports the demand for its model if the request has to wait.
func (sim *simulation) acceptRequest(q *request) {
	sim.arrivalCounts[q.model]++
	sim.result.countOffered(q)
	if len(sim.listRoutedRunners(q.model)) == 0 {
		if _, ok := sim.coldStarts[q.model]; !ok {
			sim.coldStarts[q.model] = coldStart{startedAt: sim.now, bareLoadDuration: sim.nearestLoadDuration(q.model)}
		}
	}
	sim.waitingRequests[q.model] = append(sim.waitingRequests[q.model], q)
	sim.dispatchRequests()
	if n := len(sim.waitingRequests[q.model]); n > 0 && n <= 2 {
		sim.reportDemand(q.model)
	}
}

// reportDemand passes the current demand for the model to the placement view.
func (sim *simulation) reportDemand(model string) {
	sim.applyEvent(afplacement.DemandReported{Model: model, VM: "vm1", WaitingRequests: len(sim.waitingRequests[model]), RunningRequests: sim.runningCounts[model]})
}

// nearestLoadDuration returns the current load time of the model from the nearest cache, without any wait. The load
// time of an adapter includes that of its base model if no runner has the base loaded.
func (sim *simulation) nearestLoadDuration(model string) time.Duration {
	m := sim.cfg.Models[model]
	var shortest time.Duration
	if m.IsAdapter() {
		shortest = time.Duration(m.StoreLoadMillis) * time.Millisecond
		if len(sim.listRoutedRunners(m.BaseName())) == 0 {
			shortest += sim.nearestLoadDuration(m.BaseName())
		}
		return shortest
	}
	shortest = time.Duration(m.StoreLoadMillis) * time.Millisecond
	for _, r := range sim.runners {
		switch tier := r.cache.listTiers()[model]; {
		case r.isDead || r.isLeaving:
		case tier == "memory":
			shortest = min(shortest, time.Duration(m.MemoryLoadMillis)*time.Millisecond)
		case tier == "disk":
			shortest = min(shortest, time.Duration(m.DiskLoadMillis)*time.Millisecond)
		}
	}
	return shortest
}

// listRoutedRunners returns the runners to which the routing table sends requests for the model.
func (sim *simulation) listRoutedRunners(model string) []string {
	if sim.routedRunners == nil {
		sim.routedRunners = make(map[string][]string)
		for _, r := range sim.view.BuildPart("s", nil, sim.currentTime()).Replicas {
			sim.routedRunners[r.Model] = append(sim.routedRunners[r.Model], r.Endpoint)
		}
	}
	return sim.routedRunners[model]
}

// dispatchRequests starts the waiting requests of each model in order of arrival while a replica has a free slot. The
// simulation has neither the fair queue nor the customers' limits of the daemon.
func (sim *simulation) dispatchRequests() {
	for _, model := range slices.Sorted(maps.Keys(sim.coldStarts)) {
		if len(sim.listRoutedRunners(model)) > 0 {
			sim.result.recordColdStart(model, sim.coldStarts[model], sim.now)
			delete(sim.coldStarts, model)
		}
	}
	for _, model := range slices.Sorted(maps.Keys(sim.waitingRequests)) {
		queue, runnerNames := sim.waitingRequests[model], sim.listRoutedRunners(model)
		if len(queue) == 0 {
			delete(sim.waitingRequests, model)
			continue
		}
		for len(queue) > 0 {
			freeRunner := ""
			for _, name := range runnerNames {
				r := sim.runners[name]
				if !r.isDead && r.modelStates[model] == "loaded" && r.runningRequests < runnerSlots && (freeRunner == "" || r.runningRequests < sim.runners[freeRunner].runningRequests) {
					freeRunner = name
				}
			}
			if freeRunner == "" {
				break
			}
			sim.startRequest(freeRunner, queue[0])
			queue = queue[1:]
		}
		sim.waitingRequests[model] = queue
	}
}

// startRequest runs a request on the named runner and frees the slot when the request ends.
func (sim *simulation) startRequest(name string, q *request) {
	sim.accountIdleTime()
	r := sim.runners[name]
	r.runningRequests++
	sim.runningCounts[q.model]++
	sim.result.recordWait(q, sim.now-q.arrivesAt)
	sim.schedule(q.runDuration, func() {
		sim.accountIdleTime()
		r.runningRequests--
		sim.runningCounts[q.model]--
		sim.dispatchRequests()
	})
}

// accountIdleTime adds the time since its last call for each loaded model without requests, weighted by the part of the
// accelerator's memory that the model occupies.
func (sim *simulation) accountIdleTime() {
	d := sim.now - sim.idleAccountedAt
	sim.idleAccountedAt = sim.now
	if d <= 0 {
		return
	}
	for _, r := range sim.runners {
		for model, state := range r.modelStates {
			if state != "loaded" || sim.isInUse(model) {
				continue
			}
			sim.result.idleAcceleratorTime += time.Duration(float64(d) * float64(sim.cfg.Models[model].MemoryMB) / runnerMemoryMB)
		}
	}
}

// isInUse reports whether a request runs on the model or on an adapter of the model.
func (sim *simulation) isInUse(model string) bool {
	if sim.runningCounts[model] > 0 {
		return true
	}
	for name, n := range sim.runningCounts {
		if base, _ := arbutusfork.SplitModelName(name); n > 0 && base == model {
			return true
		}
	}
	return false
}

// isLoading reports whether the model or its base model is being loaded.
func (sim *simulation) isLoading(model string) bool {
	base, _ := arbutusfork.SplitModelName(model)
	r, _ := sim.view.Record()
	return slices.ContainsFunc(r.Assignments, func(a afplacement.Assignment) bool {
		return (a.Model == model || a.Model == base) && a.State == afplacement.AssignmentLoading
	})
}

// runDemandInterval refuses expired requests, reports the demand to the placement view and schedules the next call.
func (sim *simulation) runDemandInterval() {
	for model, queue := range sim.waitingRequests {
		unexpired := queue[:0]
		for _, q := range queue {
			if sim.now-q.arrivesAt < waitTimeout {
				unexpired = append(unexpired, q)
				continue
			}
			sim.result.countRefused(q)
		}
		sim.waitingRequests[model] = unexpired
		if len(unexpired) == 0 && !sim.isLoading(model) {
			// All requests for the model expired before a load began.
			delete(sim.coldStarts, model)
		}
	}
	for _, model := range slices.Sorted(maps.Keys(sim.arrivalCounts)) {
		sim.applyEvent(afplacement.RequestsArrived{Model: model, Count: sim.arrivalCounts[model]})
	}
	clear(sim.arrivalCounts)
	active := make(map[string]bool)
	for model, queue := range sim.waitingRequests {
		active[model] = active[model] || len(queue) > 0
	}
	for model, n := range sim.runningCounts {
		active[model] = true
		if n == 0 {
			delete(sim.runningCounts, model)
		}
	}
	for _, model := range slices.Sorted(maps.Keys(active)) {
		sim.reportDemand(model)
	}
	sim.applyEvent(afplacement.Tick{})
	sim.schedule(demandInterval, sim.runDemandInterval)
}

// runDay simulates 24 hours with the arrivals, which are sorted by time.
func (sim *simulation) runDay(arrivals []request) {
	sim.view = afplacement.NewView(arbutusfork.Incarnation{VM: "vm1", StartID: 1}, sim.cfg)
	sim.applyEvent(afplacement.RecordFetched{})
	sim.schedule(0, sim.runDemandInterval)
	for _, name := range slices.Sorted(maps.Keys(sim.runners)) {
		sim.schedulePoll(name, time.Millisecond)
	}
	nextArrival := 0
	for {
		for nextArrival < len(arrivals) && (len(sim.events) == 0 || arrivals[nextArrival].arrivesAt <= sim.events[0].dueAt) {
			sim.now = arrivals[nextArrival].arrivesAt
			sim.acceptRequest(&arrivals[nextArrival])
			nextArrival++
		}
		e := heap.Pop(&sim.events).(event)
		sim.now = e.dueAt
		if sim.now > 24*time.Hour {
			break
		}
		e.fn()
	}
	sim.accountIdleTime()
}
