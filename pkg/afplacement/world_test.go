package afplacement

import (
	"fmt"
	"time"

	"arbutusfork.example/arbutusfork"
)

// world is a platform, three VMs, two endpoints and a network around the decision code. Each step is one event that
// can happen: time, a pause, a late or lost answer, a late order, a crash.
type world struct {
	now     time.Time
	version int64
	record  Record
	vms     []*machine
	engines map[string]*runner
	net     []*message
	late    []lateCommit   // late are writes whose sender has given up.
	reports []StatusPolled // reports are on their way to the owner.
	to      []int          // to are the VMs that asked for them.
	fault   string         // fault is the first broken property.
	lenient bool           // lenient allows orders after a take-over, as a pause between check and send does.
}

type machine struct {
	view   View
	commit *CommitRecord
	paused bool
	dead   bool
	gone   bool
	asks   []FenceSender
	// written is the version of a commit whose answer is on its way.
	written int64
}

type runner struct {
	models map[string]string // models maps a model to its state.
	fence  int64
}

type message struct {
	vm    int
	order Order
	// answered tells that the sender got an answer or gave up.
	answered bool
}

type lateCommit struct{ commit CommitRecord }

var worldConfig = Config{
	Service: arbutusfork.Service{Name: "s", Policy: arbutusfork.Policy{Idle: 10}},
	Endpoints: map[string]arbutusfork.Endpoint{
		"r1": {Name: "r1", Memory: 10, Slots: 1, Accelerators: 1, Fenced: true},
		"r2": {Name: "r2", Memory: 10, Slots: 1, Accelerators: 1},
	},
	Models: map[string]arbutusfork.Model{
		"a": {Name: "a", Memory: 6, Remote: 500, Disk: 100, Host: 50},
		"b": {Name: "b", Memory: 6, Remote: 500, Disk: 100, Host: 50, Replicas: 2},
		"c": {Name: "c", Memory: 4, Remote: 500, Disk: 100, Host: 50},
	},
}

// foreign is a model that the configuration does not know and that r2 holds from the start.
const foreign, foreignMemory = "z", 3

func newWorld(v variant) *world {
	w := &world{now: time.Date(2026, 1, 1, 9, 0, 0, 0, time.UTC), engines: map[string]*runner{
		"r1": {models: map[string]string{}},
		"r2": {models: map[string]string{foreign: stateLoaded}},
	}}
	for i, name := range []string{"vm1", "vm2", "vm3"} {
		view := NewView(arbutusfork.Incarnation{VM: name, Start: 1}, worldConfig)
		view.variant, view.Rank = v, i
		w.vms = append(w.vms, &machine{view: view})
	}
	return w
}

// apply gives an event to a VM and collects the effects.
func (w *world) apply(i int, e Event) {
	m := w.vms[i]
	view, effects := m.view.Step(e, w.now)
	m.view = view
	for _, effect := range effects {
		switch effect := effect.(type) {
		case CommitRecord:
			m.commit = &effect
		case SendOrder:
			w.net = append(w.net, &message{vm: i, order: effect.Order})
			if w.record.Owner != m.view.Self && !w.lenient {
				w.fail("order %d sent by %s after a take-over", effect.Order.ID, m.view.Self)
			}
		case FenceSender:
			m.asks = append(m.asks, effect)
		}
	}
}

func (w *world) fail(format string, args ...any) {
	if w.fault == "" {
		w.fault = fmt.Sprintf(format, args...)
	}
}

func memoryOf(model string) int64 {
	if model == foreign {
		return foreignMemory
	}
	return worldConfig.Models[model].Memory
}

// check tests the properties on the endpoints' real state.
func (w *world) check() {
	count := make(map[string]int)
	for name, r := range w.engines {
		var sum int64
		for model := range r.models {
			sum += memoryOf(model)
			count[model]++
			if _, ok := w.record.Assignment(name, model); !ok && model != foreign {
				w.fail("%s on %s is not in the record", model, name)
			}
		}
		if sum > worldConfig.Endpoints[name].Memory {
			w.fail("%s overcommitted: %v", name, r.models)
		}
	}
	for model, n := range count {
		if limit := max(worldConfig.Models[model].Replicas, 1); n > limit {
			w.fail("%d replicas of %s", n, model)
		}
	}
}

// step lets one of the possible events happen; pick returns a number below its argument.
func (w *world) step(pick func(n int) int) {
	actions := []func(){
		func() { w.pass(pick, 10*time.Millisecond) },
		func() { w.pass(pick, 500*time.Millisecond) },
		func() { w.pass(pick, 2*time.Second) },
		func() { w.want(pick) },
		func() { w.want(pick) },
	}
	if pick(8) == 0 {
		actions = append(actions, func() { w.pass(pick, expiry) })
	}
	if pick(6) == 0 {
		actions = append(actions, func() { w.disturb(pick) })
	}
	for i, m := range w.vms {
		if m.paused || m.dead {
			continue
		}
		actions = append(actions, w.platformActions(i, m, pick)...)
		if m.view.IsRecordedOwner() {
			ask := func() { w.ask(i, pick) }
			actions = append(actions, ask, ask, ask)
		}
		if len(m.asks) > 0 {
			actions = append(actions, func() { w.release(i, pick) })
		}
	}
	for k := range w.late {
		actions = append(actions, func() { w.land(k) })
	}
	for k := range w.net {
		actions = append(actions, func() { w.deliver(k, pick) }, func() { w.giveUp(k, pick) })
	}
	for k := range w.reports {
		actions = append(actions, func() { w.report(k) })
	}
	for _, name := range []string{"r1", "r2"} {
		actions = append(actions, func() { w.finish(name) })
	}
	actions[pick(len(actions))]()
	w.check()
}

func (w *world) pass(_ func(int) int, d time.Duration) {
	w.now = w.now.Add(d)
	for i, m := range w.vms {
		if !m.paused && !m.dead {
			w.apply(i, Tick{})
		}
	}
}

func (w *world) want(pick func(int) int) {
	model := []string{"a", "b", "c"}[pick(3)]
	waiting := pick(3)
	for i, m := range w.vms {
		if !m.paused && !m.dead {
			w.apply(i, DemandReported{Model: model, VM: "vm", WaitingRequests: waiting})
		}
	}
}

// disturb pauses, wakes or kills a VM, or crashes an endpoint.
func (w *world) disturb(pick func(int) int) {
	m := w.vms[pick(len(w.vms))]
	switch pick(6) {
	case 0, 1:
		m.paused = true
	case 2, 3:
		m.paused = false
	case 4:
		r := w.engines[[]string{"r1", "r2"}[pick(2)]]
		r.models = map[string]string{}
	case 5:
		if dead := w.dead(); dead == 0 {
			m.dead, m.paused = true, false
		}
	}
}

func (w *world) dead() (n int) {
	for _, m := range w.vms {
		if m.dead {
			n++
		}
	}
	return n
}

func (w *world) platformActions(i int, m *machine, pick func(int) int) []func() {
	if m.commit == nil {
		return []func(){func() { w.apply(i, RecordFetched{Version: w.version, Record: w.record}) }}
	}
	c := *m.commit
	if m.written != 0 {
		version := m.written
		return []func(){func() {
			m.commit, m.written = nil, 0
			w.apply(i, CommitSucceeded{Version: version})
		}}
	}
	write := func() { w.write(c) }
	return []func(){
		func() { w.answer(i, m, w.write(c)) },
		func() { w.answer(i, m, w.write(c)) },
		func() {
			if w.write(c) {
				m.written = w.version
			}
		},
		func() {
			switch pick(3) {
			case 0:
				write()
			case 1:
				w.late = append(w.late, lateCommit{commit: c})
			}
			w.answer(i, m, false)
		},
	}
}

// write is the platform's conditional update.
func (w *world) write(c CommitRecord) bool {
	if c.Version != w.version {
		return false
	}
	w.version++
	w.record = c.Record
	return true
}

func (w *world) answer(i int, m *machine, ok bool) {
	m.commit = nil
	if ok {
		w.apply(i, CommitSucceeded{Version: w.version})
		return
	}
	w.apply(i, CommitFailed{})
}

func (w *world) land(k int) {
	c := w.late[k].commit
	w.late = append(w.late[:k:k], w.late[k+1:]...)
	w.write(c)
}
