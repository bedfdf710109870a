package afplacement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork"
)

// loading lets vm1 order a load of b, which may have two replicas, on the fenced endpoint r1.
func loading(t *testing.T) *world {
	w := newWorld(variant{})
	w.apply(0, RecordFetched{})
	w.answer(0, w.vms[0], w.write(*w.vms[0].commit))
	w.now = w.now.Add(time.Second)
	w.apply(0, StatusPolled{Endpoint: "r1", RequestedAt: w.now})
	w.apply(0, DemandReported{Model: "b", VM: "vm", WaitingRequests: 1})
	w.answer(0, w.vms[0], w.write(*w.vms[0].commit))
	require.Len(t, w.record.Assignments, 1)
	require.Len(t, w.net, 1)
	return w
}

// advance lets a VM work with the platform for some rounds.
func (w *world) advance(i, rounds int) {
	for range rounds {
		if w.vms[i].commit != nil {
			w.answer(i, w.vms[i], w.write(*w.vms[i].commit))
		}
		w.now = w.now.Add(100 * time.Millisecond)
		w.apply(i, Tick{})
	}
}

// TestTakeoverCountsLoads guards against an extra replica after a take-over during a load: an endpoint that reported
// before the loading one got another load.
func TestTakeoverCountsLoads(t *testing.T) {
	w := loading(t)
	w.apply(1, RecordFetched{Version: w.version, Record: w.record})
	w.now = w.now.Add(expiry + time.Second)
	w.apply(1, RecordFetched{Version: w.version, Record: w.record})
	w.apply(1, Tick{})
	w.answer(1, w.vms[1], w.write(*w.vms[1].commit))
	require.Equal(t, arbutusfork.Incarnation{VM: "vm2", Start: 1}, w.record.Owner)
	w.apply(1, DemandReported{Model: "b", VM: "vm", WaitingRequests: 1})
	w.now = w.now.Add(time.Millisecond)
	w.apply(1, StatusPolled{Endpoint: "r2", RequestedAt: w.now})
	w.advance(1, 5)
	require.Equal(t, 1, w.record.ReplicaCount("b"))
	w.apply(1, StatusPolled{Endpoint: "r2", RequestedAt: w.now})
	w.advance(1, 40)
	w.apply(1, DemandReported{Model: "b", VM: "vm", WaitingRequests: 1})
	w.advance(1, 2)
	require.Equal(t, 2, w.record.ReplicaCount("b"), "an endpoint that does not report is replaced")
}

// TestLongLoadKeepsFence guards against raising the fence for each load that takes longer than its order's answer is
// waited for. The endpoint's next report tells that the order has arrived.
func TestLongLoadKeepsFence(t *testing.T) {
	w := loading(t)
	fence := w.record.Fence
	w.apply(0, OrderAnswered{OrderID: w.net[0].order.ID, Outcome: OutcomeAnswerLost})
	w.advance(0, 2)
	w.apply(0, StatusPolled{Endpoint: "r1", RequestedAt: w.now, Status: EndpointStatus{Fence: fence, Models: []ModelStatus{{Name: "b", State: stateLoading}}}})
	w.advance(0, 2)
	require.Equal(t, fence, w.record.Fence)
	require.Len(t, w.net, 1, "the order is not repeated")
}

// TestLostOrderRaisesFence guards the other case: an order that the endpoint does not show may still arrive.
func TestLostOrderRaisesFence(t *testing.T) {
	w := loading(t)
	fence := w.record.Fence
	w.apply(0, OrderAnswered{OrderID: w.net[0].order.ID, Outcome: OutcomeAnswerLost})
	w.advance(0, 2)
	w.apply(0, StatusPolled{Endpoint: "r1", RequestedAt: w.now, Status: EndpointStatus{Fence: fence}})
	w.advance(0, 2)
	require.Greater(t, w.record.Fence, fence)
}
