package afplacement

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMain fixes the seed, so that each run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20260104", "rapid.checks": "300", "rapid.steps": "250", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// ask makes a report of an endpoint, which may take its time to arrive.
func (w *world) ask(i int, pick func(int) int) {
	name := []string{"r1", "r2"}[pick(2)]
	r := w.engines[name]
	e := StatusPolled{Endpoint: name, RequestedAt: w.now, Status: EndpointStatus{Fence: r.fence}}
	for _, model := range []string{"a", "b", "c", foreign} {
		if state, ok := r.models[model]; ok {
			e.Status.Models = append(e.Status.Models, ModelStatus{Name: model, State: state, Memory: memoryOf(model)})
		}
	}
	if pick(4) == 0 {
		w.reports, w.to = append(w.reports, e), append(w.to, i)
		return
	}
	w.apply(i, e)
}

func (w *world) report(k int) {
	e, i := w.reports[k], w.to[k]
	w.reports, w.to = append(w.reports[:k:k], w.reports[k+1:]...), append(w.to[:k:k], w.to[k+1:]...)
	if m := w.vms[i]; !m.paused && !m.dead {
		w.apply(i, e)
	}
}

// deliver lets an order arrive. Its answer may be lost.
func (w *world) deliver(k int, pick func(int) int) {
	msg := w.net[k]
	w.net = append(w.net[:k:k], w.net[k+1:]...)
	o, r := msg.order, w.engines[msg.order.Endpoint]
	reply := OutcomeAccepted
	if worldConfig.Endpoints[o.Endpoint].Fenced && o.Fence < r.fence {
		reply = OutcomeStaleFence
	} else {
		r.fence = max(r.fence, o.Fence)
		r.order(o)
	}
	m := w.vms[msg.vm]
	if msg.answered || m.dead {
		return
	}
	if pick(4) == 0 || m.paused {
		reply = OutcomeAnswerLost
	}
	w.apply(msg.vm, OrderAnswered{OrderID: o.ID, Outcome: reply})
}

func (r *runner) order(o Order) {
	if _, ok := r.models[o.Model]; o.Verb == VerbLoad && !ok {
		r.models[o.Model] = stateLoading
	} else if o.Verb == VerbUnload && ok {
		r.models[o.Model] = stateUnloading
	}
}

// giveUp loses the answer of an order that may still arrive, or finds that it did not leave its sender.
func (w *world) giveUp(k int, pick func(int) int) {
	msg := w.net[k]
	if m := w.vms[msg.vm]; !msg.answered && !m.dead && !m.paused {
		if pick(2) == 0 {
			w.net = append(w.net[:k:k], w.net[k+1:]...)
			w.apply(msg.vm, OrderAnswered{OrderID: msg.order.ID, Outcome: OutcomeNotSent})
			return
		}
		msg.answered = true
		w.apply(msg.vm, OrderAnswered{OrderID: msg.order.ID, Outcome: OutcomeAnswerLost})
	}
}

func (w *world) finish(name string) {
	r := w.engines[name]
	for model, state := range r.models {
		switch state {
		case stateLoading:
			r.models[model] = stateLoaded
		case stateUnloading:
			delete(r.models, model)
		}
	}
}

// release carries a question to an earlier owner, or finds it gone from the platform's list.
func (w *world) release(i int, pick func(int) int) {
	m := w.vms[i]
	ask := m.asks[0]
	m.asks = m.asks[1:]
	for j, other := range w.vms {
		if other.view.Self != ask.Sender {
			continue
		}
		if other.dead {
			// The platform's list drops a VM when its connections have ended.
			kept := w.net[:0]
			for _, msg := range w.net {
				if msg.vm != j {
					kept = append(kept, msg)
				}
			}
			w.net, other.gone = kept, true
			w.apply(i, SenderGone{Sender: ask.Sender})
			return
		}
		if other.paused {
			return
		}
		w.apply(j, SendFenceRaised{Fence: ask.Fence})
		doubt := other.view.UnresolvedOrders()
		if pick(2) == 0 {
			w.apply(j, Tick{})
		}
		w.apply(i, SenderFenced{Sender: ask.Sender, Fence: ask.Fence, UnresolvedOrders: doubt})
	}
}

// TestProtocol guards against a replica beyond the decided ones and against overcommitted memory under pauses,
// deaths, lost and late answers, late orders, crashes and endpoints that ignore fencing.
func TestProtocol(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(variant{})
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if w.fault != "" {
					t.Fatal(w.fault)
				}
			},
			"step": func(t *rapid.T) {
				w.step(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "") })
			},
		})
	})
}

// search runs random worlds and returns the first fault.
func search(v variant, lenient bool, runs int) (string, int) {
	for run := range runs {
		w := newWorld(v)
		w.lenient = lenient
		r := rand.New(rand.NewPCG(uint64(run), 1))
		for range 300 {
			w.step(r.IntN)
			if w.fault != "" {
				return w.fault, run
			}
		}
	}
	return "", runs
}

// TestProtocolSeeds guards against the same faults in other worlds than those of rapid, also when an owner is
// paused between the check of its lease and the sending of an order.
func TestProtocolSeeds(t *testing.T) {
	fault, run := search(variant{}, false, 2000)
	require.Empty(t, fault, "run %d", run)
	fault, run = search(variant{sendLapsed: true}, true, 2000)
	require.Empty(t, fault, "run %d", run)
}

// TestProtocolGuards shows for each rule that the properties fail without it, which guards against a rule that is
// not needed and against a test that cannot see it.
func TestProtocolGuards(t *testing.T) {
	for _, test := range []struct {
		name    string
		variant variant
	}{
		{name: "write-ahead", variant: variant{sendUncommitted: true}},
		{name: "lease before send", variant: variant{sendLapsed: true}},
		{name: "expiry wait", variant: variant{earlyTakeover: true}},
		{name: "read-back", variant: variant{assumeCommitted: true}},
		{name: "fence acknowledgement", variant: variant{ignoreAck: true}},
		{name: "lost answers", variant: variant{trustLost: true}},
		{name: "observed end", variant: variant{freeUnobserved: true}},
		{name: "fresh report", variant: variant{believeOldReport: true}},
		{name: "unknown models", variant: variant{ignoreUnknown: true}},
		{name: "memory", variant: variant{ignoreMemory: true}},
		{name: "replica bound", variant: variant{ignoreReplicas: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			fault, run := search(test.variant, false, 4000)
			require.NotEmpty(t, fault)
			t.Logf("run %d: %s", run, fault)
		})
	}
}
