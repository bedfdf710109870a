package afplacement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// one is the choice of a world in which nothing is lost and the endpoint is r2, which ignores fencing.
func one(int) int { return 1 }

// exposure lets vm1 order a load on r2 and pause, and vm2 take over. Whether vm1's order is on its way or not yet
// sent, it can still arrive.
func exposure(v variant, sent bool) *world {
	w := newWorld(v)
	w.lenient = true
	w.apply(0, RecordFetched{})
	w.answer(0, w.vms[0], w.write(*w.vms[0].commit))
	w.now = w.now.Add(time.Second)
	w.ask(0, one)
	w.apply(0, DemandReported{Model: "a", VM: "vm", WaitingRequests: 1})
	w.write(*w.vms[0].commit)
	if sent {
		w.apply(0, CommitSucceeded{Version: w.version})
	}
	w.vms[0].paused = true
	w.apply(1, RecordFetched{Version: w.version, Record: w.record})
	w.now = w.now.Add(expiry + time.Second)
	w.apply(1, RecordFetched{Version: w.version, Record: w.record})
	w.apply(1, Tick{})
	w.answer(1, w.vms[1], w.write(*w.vms[1].commit))
	return w
}

// pump lets vm2 work for some rounds on an endpoint that crashes after each of its orders.
func (w *world) pump(rounds int) {
	for range rounds {
		if c := w.vms[1].commit; c != nil {
			w.answer(1, w.vms[1], w.write(*c))
		}
		for k := 0; k < len(w.net); k++ {
			if w.net[k].vm == 1 {
				w.deliver(k, one)
				k--
			}
		}
		w.engines["r2"].models = map[string]string{}
		w.now = w.now.Add(time.Second)
		w.ask(1, one)
		w.check()
	}
}

// arrive delivers vm1's order.
func (w *world) arrive() {
	for k := range w.net {
		if w.net[k].vm == 0 {
			w.deliver(k, one)
			w.check()
			return
		}
	}
}

// TestExposure guards against ending a charge while an order of an earlier owner can recreate it, and shows for each
// rule about exposed orders that the charge ends too early without it.
func TestExposure(t *testing.T) {
	for _, test := range []struct {
		name    string
		variant variant
		sent    bool
		run     func(w *world)
	}{
		{"exposed orders", variant{freeExposed: true}, true, func(w *world) {
			w.pump(20)
			w.arrive()
		}},
		{"report barrier", variant{noBarrier: true}, true, func(w *world) {
			w.pump(20)
			w.vms[0].paused = false
			w.arrive()
			w.release(1, one)
			for range 2 {
				if c := w.vms[1].commit; c != nil {
					w.answer(1, w.vms[1], w.write(*c))
				}
			}
			w.check()
		}},
		{"release doubt", variant{hideDoubt: true}, true, func(w *world) {
			w.pump(20)
			w.vms[0].paused = false
			w.release(1, one)
			w.pump(20)
			w.arrive()
		}},
		{"release floor", variant{sendFloored: true, sendLapsed: true}, false, func(w *world) {
			w.pump(20)
			w.vms[0].paused = false
			w.release(1, one)
			w.pump(20)
			w.apply(0, CommitSucceeded{Version: w.version})
			w.arrive()
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := exposure(variant{sendLapsed: test.variant.sendLapsed}, test.sent)
			test.run(w)
			require.Empty(t, w.fault)
			w = exposure(test.variant, test.sent)
			test.run(w)
			require.NotEmpty(t, w.fault)
		})
	}
}
