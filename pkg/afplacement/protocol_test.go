package afplacement

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of rapid, so that each run checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20260104", "rapid.checks": "300", "rapid.steps": "250", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// pollEndpoint creates a report of an endpoint. The report may be delayed.
func (tc *testCluster) pollEndpoint(i int, pick func(int) int) {
	name := []string{"r1", "r2"}[pick(2)]
	r := tc.endpoints[name]
	e := StatusPolled{Endpoint: name, RequestedAt: tc.now, Status: EndpointStatus{Fence: r.fence}}
	for _, model := range []string{"a", "b", "c", unconfiguredModel} {
		if state, ok := r.models[model]; ok {
			e.Status.Models = append(e.Status.Models, ModelStatus{Name: model, State: state, Memory: memoryOf(model)})
		}
	}
	if pick(4) == 0 {
		tc.reportsInFlight, tc.reportRecipients = append(tc.reportsInFlight, e), append(tc.reportRecipients, i)
		return
	}
	tc.applyEvent(i, e)
}

// deliverReport lets a delayed report reach the VM that requested it.
func (tc *testCluster) deliverReport(k int) {
	e, i := tc.reportsInFlight[k], tc.reportRecipients[k]
	tc.reportsInFlight, tc.reportRecipients = append(tc.reportsInFlight[:k:k], tc.reportsInFlight[k+1:]...), append(tc.reportRecipients[:k:k], tc.reportRecipients[k+1:]...)
	if m := tc.vms[i]; !m.isPaused && !m.isDead {
		tc.applyEvent(i, e)
	}
}

// deliverOrder lets an order reach its endpoint. The answer may be lost.
func (tc *testCluster) deliverOrder(k int, pick func(int) int) {
	msg := tc.ordersInFlight[k]
	tc.ordersInFlight = append(tc.ordersInFlight[:k:k], tc.ordersInFlight[k+1:]...)
	o, r := msg.order, tc.endpoints[msg.order.Endpoint]
	reply := OutcomeAccepted
	if testConfig.Endpoints[o.Endpoint].EnforcesFence && o.Fence < r.fence {
		reply = OutcomeStaleFence
	} else {
		r.fence = max(r.fence, o.Fence)
		r.executeOrder(o)
	}
	m := tc.vms[msg.vm]
	if msg.answered || m.isDead {
		return
	}
	if pick(4) == 0 || m.isPaused {
		reply = OutcomeAnswerLost
	}
	tc.applyEvent(msg.vm, OrderAnswered{OrderID: o.ID, Outcome: reply})
}

func (r *testEndpoint) executeOrder(o Order) {
	if _, ok := r.models[o.Model]; o.Verb == VerbLoad && !ok {
		r.models[o.Model] = stateLoading
	} else if o.Verb == VerbUnload && ok {
		r.models[o.Model] = stateUnloading
	}
}

// loseAnswer ends a send without an answer: either the order never left its sender, or it may still arrive.
func (tc *testCluster) loseAnswer(k int, pick func(int) int) {
	msg := tc.ordersInFlight[k]
	if m := tc.vms[msg.vm]; !msg.answered && !m.isDead && !m.isPaused {
		if pick(2) == 0 {
			tc.ordersInFlight = append(tc.ordersInFlight[:k:k], tc.ordersInFlight[k+1:]...)
			tc.applyEvent(msg.vm, OrderAnswered{OrderID: msg.order.ID, Outcome: OutcomeNotSent})
			return
		}
		msg.answered = true
		tc.applyEvent(msg.vm, OrderAnswered{OrderID: msg.order.ID, Outcome: OutcomeAnswerLost})
	}
}

// completeOperations completes all loads and unloads in progress on an endpoint.
func (tc *testCluster) completeOperations(name string) {
	r := tc.endpoints[name]
	for model, state := range r.models {
		switch state {
		case stateLoading:
			r.models[model] = stateLoaded
		case stateUnloading:
			delete(r.models, model)
		}
	}
}

// deliverFenceRequest delivers a VM's request to fence an earlier sender, or removes the sender from the platform's
// list if it is dead.
func (tc *testCluster) deliverFenceRequest(i int, pick func(int) int) {
	m := tc.vms[i]
	request := m.fenceRequests[0]
	m.fenceRequests = m.fenceRequests[1:]
	for j, other := range tc.vms {
		if other.view.Self != request.Sender {
			continue
		}
		if other.isDead {
			// The platform's list drops a VM after its connections have ended, so none of its orders is in flight.
			kept := tc.ordersInFlight[:0]
			for _, msg := range tc.ordersInFlight {
				if msg.vm != j {
					kept = append(kept, msg)
				}
			}
			tc.ordersInFlight, other.isGone = kept, true
			tc.applyEvent(i, SenderGone{Sender: request.Sender})
			return
		}
		if other.isPaused {
			return
		}
		tc.applyEvent(j, SendFenceRaised{Fence: request.Fence})
		unresolved := other.view.UnresolvedOrders()
		if pick(2) == 0 {
			tc.applyEvent(j, Tick{})
		}
		tc.applyEvent(i, SenderFenced{Sender: request.Sender, Fence: request.Fence, UnresolvedOrders: unresolved})
		return
	}
	tc.forgetEarlierProcess(i, request.Sender)
}

// TestProtocol guards against replicas beyond the limit and overcommitted memory, caused by pauses, deaths, lost and
// delayed answers, delayed orders, crashes or endpoints that do not enforce fencing.
func TestProtocol(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tc := newTestCluster(protocolVariant{})
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if tc.violation != "" {
					t.Fatal(tc.violation)
				}
			},
			"step": func(t *rapid.T) {
				tc.runRandomStep(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "") })
			},
		})
	})
}

// findViolation runs random simulations and returns the first violated property and the number of its run.
func findViolation(v protocolVariant, allowSendAfterTakeover bool, runs int) (string, int) {
	for run := range runs {
		tc := newTestCluster(v)
		tc.allowSendAfterTakeover = allowSendAfterTakeover
		r := rand.New(rand.NewPCG(uint64(run), 1))
		for range 300 {
			tc.runRandomStep(r.IntN)
			if tc.violation != "" {
				return tc.violation, run
			}
		}
	}
	return "", runs
}

// TestProtocolSeeds guards against the same violations with other random seeds than those of rapid, also when an owner
// is paused between the check of its lease and the sending of an order.
func TestProtocolSeeds(t *testing.T) {
	violation, run := findViolation(protocolVariant{}, false, 2000)
	require.Empty(t, violation, "run %d", run)
	violation, run = findViolation(protocolVariant{sendAfterLeaseEnd: true}, true, 2000)
	require.Empty(t, violation, "run %d", run)
}

// TestProtocolGuards guards against a protocol rule that is not needed and against tests that do not detect its
// absence: without each rule, a property must be violated.
func TestProtocolGuards(t *testing.T) {
	for _, test := range []struct {
		name    string
		variant protocolVariant
	}{
		{name: "write-ahead", variant: protocolVariant{sendBeforeCommit: true}},
		{name: "lease before send", variant: protocolVariant{sendAfterLeaseEnd: true}},
		{name: "wait for lease expiry", variant: protocolVariant{takeOverEarly: true}},
		{name: "read after a failed commit", variant: protocolVariant{assumeCommitSucceeded: true}},
		{name: "accepted fence", variant: protocolVariant{ignoreAcceptedFence: true}},
		{name: "lost answers", variant: protocolVariant{ignoreLostAnswers: true}},
		{name: "observed end of a charge", variant: protocolVariant{endChargeUnobserved: true}},
		{name: "fresh report", variant: protocolVariant{trustOldReports: true}},
		{name: "unknown models", variant: protocolVariant{ignoreUnassignedModels: true}},
		{name: "memory limit", variant: protocolVariant{ignoreMemoryLimit: true}},
		{name: "replica limit", variant: protocolVariant{ignoreReplicaLimit: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			violation, run := findViolation(test.variant, false, 4000)
			require.NotEmpty(t, violation)
			t.Logf("run %d: %s", run, violation)
		})
	}
}
