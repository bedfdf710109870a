package afplacement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork"
)

// clusterWithPendingLoad returns a cluster in which vm1 has sent a load of b, which may have two replicas, to the
// endpoint r1, which enforces fencing.
func clusterWithPendingLoad(t *testing.T) *testCluster {
	tc := newTestCluster(protocolVariant{})
	tc.applyEvent(0, RecordFetched{})
	tc.answerCommit(0, tc.vms[0], tc.commitRecord(*tc.vms[0].pendingCommit))
	tc.now = tc.now.Add(time.Second)
	tc.applyEvent(0, StatusPolled{Endpoint: "r1", RequestedAt: tc.now})
	tc.applyEvent(0, DemandReported{Model: "b", VM: "vm", WaitingRequests: 1})
	tc.answerCommit(0, tc.vms[0], tc.commitRecord(*tc.vms[0].pendingCommit))
	require.Len(t, tc.record.Assignments, 1)
	require.Len(t, tc.ordersInFlight, 1)
	return tc
}

// runCommits lets a VM commit for some rounds of 100 ms.
func (tc *testCluster) runCommits(i, rounds int) {
	for range rounds {
		if tc.vms[i].pendingCommit != nil {
			tc.answerCommit(i, tc.vms[i], tc.commitRecord(*tc.vms[i].pendingCommit))
		}
		tc.now = tc.now.Add(100 * time.Millisecond)
		tc.applyEvent(i, Tick{})
	}
}

// TestTakeoverCountsLoads guards against a needless replica after a take-over during a load: an endpoint that reported
// before the loading one got another load.
func TestTakeoverCountsLoads(t *testing.T) {
	tc := clusterWithPendingLoad(t)
	tc.applyEvent(1, RecordFetched{Version: tc.version, Record: tc.record})
	tc.now = tc.now.Add(takeoverDelay + time.Second)
	tc.applyEvent(1, RecordFetched{Version: tc.version, Record: tc.record})
	tc.applyEvent(1, Tick{})
	tc.answerCommit(1, tc.vms[1], tc.commitRecord(*tc.vms[1].pendingCommit))
	require.Equal(t, arbutusfork.Incarnation{VM: "vm2", StartID: 1}, tc.record.Owner)
	tc.applyEvent(1, DemandReported{Model: "b", VM: "vm", WaitingRequests: 1})
	tc.now = tc.now.Add(time.Millisecond)
	tc.applyEvent(1, StatusPolled{Endpoint: "r2", RequestedAt: tc.now})
	tc.runCommits(1, 5)
	require.Equal(t, 1, tc.record.ReplicaCount("b"))
	tc.applyEvent(1, StatusPolled{Endpoint: "r2", RequestedAt: tc.now})
	tc.runCommits(1, 40)
	tc.applyEvent(1, DemandReported{Model: "b", VM: "vm", WaitingRequests: 1})
	tc.runCommits(1, 2)
	require.Equal(t, 2, tc.record.ReplicaCount("b"), "an endpoint without reports must be replaced")
}

// TestLongLoadKeepsFence guards against raising the fence for each load that takes longer than the timeout of its
// order. The endpoint's next report shows that the order has arrived.
func TestLongLoadKeepsFence(t *testing.T) {
	tc := clusterWithPendingLoad(t)
	fence := tc.record.Fence
	tc.applyEvent(0, OrderAnswered{OrderID: tc.ordersInFlight[0].order.ID, Outcome: OutcomeAnswerLost})
	tc.runCommits(0, 2)
	tc.applyEvent(0, StatusPolled{Endpoint: "r1", RequestedAt: tc.now, Status: EndpointStatus{Fence: fence, Models: []ModelStatus{{Name: "b", State: stateLoading}}}})
	tc.runCommits(0, 2)
	require.Equal(t, fence, tc.record.Fence)
	require.Len(t, tc.ordersInFlight, 1, "the order must not be repeated")
}

// TestLostOrderRaisesFence guards against keeping the fence although an order may still arrive: the endpoint's report
// does not show the load.
func TestLostOrderRaisesFence(t *testing.T) {
	tc := clusterWithPendingLoad(t)
	fence := tc.record.Fence
	tc.applyEvent(0, OrderAnswered{OrderID: tc.ordersInFlight[0].order.ID, Outcome: OutcomeAnswerLost})
	tc.runCommits(0, 2)
	tc.applyEvent(0, StatusPolled{Endpoint: "r1", RequestedAt: tc.now, Status: EndpointStatus{Fence: fence}})
	tc.runCommits(0, 2)
	require.Greater(t, tc.record.Fence, fence)
}
