package afplacement

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afversion"
)

// storeState is the shard's object in the store at one moment.
type storeState struct {
	version int64
	record  Record
}

// maxOrderDelay is how long an order may be under way in a cluster whose store may go back: the sender waits 2 s for an answer.
const maxOrderDelay = 2 * time.Second

// newRestorableCluster returns a cluster whose store may go back.
func newRestorableCluster() *testCluster {
	tc := newTestCluster(protocolVariant{})
	tc.version, _ = afversion.Join(1, 0)
	tc.storeHistory, tc.senderByFence = []storeState{{version: tc.version}}, make(map[int64]arbutusfork.Incarnation)
	return tc
}

// goBack replaces the store by a copy that lacks up to six writes.
func (tc *testCluster) goBack(pick func(int) int) {
	n := len(tc.storeHistory) - 1 - pick(min(len(tc.storeHistory), 6))
	s := tc.storeHistory[n]
	tc.storeHistory = tc.storeHistory[:n+1]
	tc.version, _ = afversion.Join(afversion.Era(tc.version)+1, afversion.Revision(s.version))
	tc.record = s.record
}

// restartVM replaces a VM's process, which loses its state.
func (tc *testCluster) restartVM(i int) {
	old := tc.vms[i]
	if old.isDead {
		return
	}
	self := old.view.Self
	self.StartID++
	view := NewView(self, testConfig)
	view.Rank = old.view.Rank
	tc.vms[i] = &testVM{view: view}
	for _, msg := range tc.ordersInFlight {
		msg.answered = msg.answered || msg.vm == i
	}
	for k := len(tc.reportRecipients) - 1; k >= 0; k-- {
		if tc.reportRecipients[k] == i {
			tc.reportsInFlight, tc.reportRecipients = slices.Delete(tc.reportsInFlight, k, k+1), slices.Delete(tc.reportRecipients, k, k+1)
		}
	}
}

// forgetEarlierProcess tells a VM that a sender has restarted. The platform's list shows that after its connections have ended.
func (tc *testCluster) forgetEarlierProcess(i int, sender arbutusfork.Incarnation) {
	tc.ordersInFlight = slices.DeleteFunc(tc.ordersInFlight, func(msg *orderMessage) bool { return msg.order.Sender == sender })
	tc.applyEvent(i, SenderGone{Sender: sender})
}

// dropLateOrders loses the orders that are under way for too long.
func (tc *testCluster) dropLateOrders() {
	for k := len(tc.ordersInFlight) - 1; k >= 0 && tc.storeHistory != nil; k-- {
		if msg := tc.ordersInFlight[k]; tc.now.Sub(msg.sentAt) > maxOrderDelay {
			tc.ordersInFlight = slices.Delete(tc.ordersInFlight, k, k+1)
			if m := tc.vms[msg.vm]; !msg.answered && !m.isDead && m.view.Self == msg.order.Sender {
				tc.applyEvent(msg.vm, OrderAnswered{OrderID: msg.order.ID, Outcome: OutcomeAnswerLost})
			}
		}
	}
}

// checkFence checks that a fence is used by one sender and that fences do not fall.
func (tc *testCluster) checkFence(o Order) {
	if tc.storeHistory == nil {
		return
	}
	if sender, ok := tc.senderByFence[o.Fence]; ok && sender != o.Sender {
		tc.recordViolation("fence %d used by %s and %s", o.Fence, sender, o.Sender)
	}
	if o.Fence < tc.highestFence {
		tc.recordViolation("fence %d sent after %d", o.Fence, tc.highestFence)
	}
	tc.senderByFence[o.Fence], tc.highestFence = o.Sender, max(tc.highestFence, o.Fence)
}

// TestProtocolWhenStoreGoesBack guards against fences that repeat or fall, and against replicas beyond the limit and
// overcommitted memory, when the store forgets records and processes restart.
func TestProtocolWhenStoreGoesBack(t *testing.T) {
	orders := 0
	for run := range 2000 {
		tc := newRestorableCluster()
		r := rand.New(rand.NewPCG(uint64(run), 2))
		for range 400 {
			tc.runRandomStep(r.IntN)
			require.Empty(t, tc.violation, "run %d", run)
		}
		orders += len(tc.senderByFence)
	}
	require.Greater(t, orders, 1000, "orders must be sent in most runs")
	t.Logf("%d fences used", orders)
}

// TestOwnerGoesOnWhenStoreGoesBack guards against a pause of a shard whose owner is within its lease, and against an owner that
// goes on after its lease, when another VM may have been the owner by a record that is gone.
func TestOwnerGoesOnWhenStoreGoesBack(t *testing.T) {
	for name, silence := range map[string]time.Duration{"within the lease": renewalInterval, "after the lease": LeaseTerm} {
		t.Run(name, func(t *testing.T) {
			tc := newRestorableCluster()
			owner := tc.vms[0]
			commit := func() {
				require.NotNil(t, owner.pendingCommit)
				tc.answerCommit(0, owner, tc.commitRecord(*owner.pendingCommit))
			}
			read := func() { tc.applyEvent(0, RecordFetched{Version: tc.version, Record: tc.record}) }
			read()
			tc.now = tc.now.Add(takeoverDelay)
			read()
			commit()
			before, _ := owner.view.Record()
			tc.goBack(pickOne)
			tc.now = tc.now.Add(silence)
			tc.applyEvent(0, Tick{})
			require.False(t, tc.commitRecord(*owner.pendingCommit))
			tc.answerCommit(0, owner, false)
			read()
			require.False(t, owner.view.HasLease(tc.now), "the record of the lease is gone")
			tc.now = tc.now.Add(commitRetryDelay)
			tc.applyEvent(0, Tick{})
			if silence >= LeaseTerm {
				require.Nil(t, owner.pendingCommit)
				tc.now = tc.now.Add(takeoverDelay)
				read()
			}
			commit()
			after, _ := owner.view.Record()
			require.True(t, owner.view.HasLease(tc.now))
			require.Greater(t, after.Fence, before.Fence)
			require.Equal(t, silence < LeaseTerm, after.IsFirst, "a lost record must not count as a new shard's")
			require.NotEmpty(t, after.Unobserved)
		})
	}
}
