package afplacement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pickOne always picks 1, with which nothing is lost or delayed and the endpoint is r2, which does not enforce fencing.
func pickOne(int) int { return 1 }

// clusterWithExposedOrder returns a cluster in which vm1 has recorded a load on r2 and paused, and vm2 has taken over.
// If isSent, vm1's order is in flight, otherwise vm1 may still send it.
func clusterWithExposedOrder(v protocolVariant, isSent bool) *testCluster {
	tc := newTestCluster(v)
	tc.allowSendAfterTakeover = true
	tc.applyEvent(0, RecordFetched{})
	tc.answerCommit(0, tc.vms[0], tc.commitRecord(*tc.vms[0].pendingCommit))
	tc.now = tc.now.Add(time.Second)
	tc.pollEndpoint(0, pickOne)
	tc.applyEvent(0, DemandReported{Model: "a", VM: "vm", WaitingRequests: 1})
	tc.commitRecord(*tc.vms[0].pendingCommit)
	if isSent {
		tc.applyEvent(0, CommitSucceeded{Version: tc.version})
	}
	tc.vms[0].isPaused = true
	tc.applyEvent(1, RecordFetched{Version: tc.version, Record: tc.record})
	tc.now = tc.now.Add(takeoverDelay + time.Second)
	tc.applyEvent(1, RecordFetched{Version: tc.version, Record: tc.record})
	tc.applyEvent(1, Tick{})
	tc.answerCommit(1, tc.vms[1], tc.commitRecord(*tc.vms[1].pendingCommit))
	return tc
}

// runRounds lets vm2 commit and send orders for some rounds. The endpoint crashes after each of its orders.
func (tc *testCluster) runRounds(rounds int) {
	for range rounds {
		if c := tc.vms[1].pendingCommit; c != nil {
			tc.answerCommit(1, tc.vms[1], tc.commitRecord(*c))
		}
		for k := 0; k < len(tc.ordersInFlight); k++ {
			if tc.ordersInFlight[k].vm == 1 {
				tc.deliverOrder(k, pickOne)
				k--
			}
		}
		tc.endpoints["r2"].models = map[string]string{}
		tc.now = tc.now.Add(time.Second)
		tc.pollEndpoint(1, pickOne)
		tc.checkProperties()
	}
}

// deliverExposedOrder lets vm1's order reach its endpoint.
func (tc *testCluster) deliverExposedOrder() {
	for k := range tc.ordersInFlight {
		if tc.ordersInFlight[k].vm == 0 {
			tc.deliverOrder(k, pickOne)
			tc.checkProperties()
			return
		}
	}
}

// TestExposure guards against ending a memory charge while an earlier owner's order can still cause the load, and shows
// for each rule about exposed orders that the charge ends too early without the rule.
func TestExposure(t *testing.T) {
	for _, test := range []struct {
		name    string
		variant protocolVariant
		sent    bool
		run     func(tc *testCluster)
	}{
		{"exposed orders", protocolVariant{ignoreExposedOrders: true}, true, func(tc *testCluster) {
			tc.runRounds(20)
			tc.deliverExposedOrder()
		}},
		{"reports older than an order end", protocolVariant{ignoreReportsValidAfter: true}, true, func(tc *testCluster) {
			tc.runRounds(20)
			tc.vms[0].isPaused = false
			tc.deliverExposedOrder()
			tc.deliverFenceRequest(1, pickOne)
			for range 2 {
				if c := tc.vms[1].pendingCommit; c != nil {
					tc.answerCommit(1, tc.vms[1], tc.commitRecord(*c))
				}
			}
			tc.checkProperties()
		}},
		{"unresolved orders", protocolVariant{hideUnresolvedOrders: true}, true, func(tc *testCluster) {
			tc.runRounds(20)
			tc.vms[0].isPaused = false
			tc.deliverFenceRequest(1, pickOne)
			tc.runRounds(20)
			tc.deliverExposedOrder()
		}},
		{"minimum send fence", protocolVariant{sendBelowMinFence: true, sendAfterLeaseEnd: true}, false, func(tc *testCluster) {
			tc.runRounds(20)
			tc.vms[0].isPaused = false
			tc.deliverFenceRequest(1, pickOne)
			tc.runRounds(20)
			tc.applyEvent(0, CommitSucceeded{Version: tc.version})
			tc.deliverExposedOrder()
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			tc := clusterWithExposedOrder(protocolVariant{sendAfterLeaseEnd: test.variant.sendAfterLeaseEnd}, test.sent)
			test.run(tc)
			require.Empty(t, tc.violation)
			tc = clusterWithExposedOrder(test.variant, test.sent)
			test.run(tc)
			require.NotEmpty(t, tc.violation)
		})
	}
}
