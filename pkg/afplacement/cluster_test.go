package afplacement

import (
	"fmt"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afversion"
)

// testCluster simulates a platform, three VMs, two endpoints and a network around the decision code. Each step is one
// possible event: passing time, a pause, a delayed or lost answer, a delayed order, or a crash.
type testCluster struct {
	now     time.Time
	version int64
	record  Record
	vms     []*testVM
	// endpoints are the endpoints by name.
	endpoints map[string]*testEndpoint
	// ordersInFlight are the orders that were sent and have not arrived.
	ordersInFlight []*orderMessage
	// delayedCommits are commits that may still take effect after their sender has given up waiting.
	delayedCommits []delayedCommit
	// reportsInFlight are reports that have not reached the VM that requested them.
	reportsInFlight []StatusPolled
	// reportRecipients are the indices of the VMs that requested reportsInFlight, in the same order.
	reportRecipients []int
	// violation describes the first violated property.
	violation string
	// allowSendAfterTakeover permits an owner to send orders after a take-over, as happens when it is paused between
	// the check of its lease and the sending.
	allowSendAfterTakeover bool
	// storeHistory is set if the store may go back. It holds the earlier states of the store.
	storeHistory []storeState
	// senderByFence and highestFence describe the orders that were sent, if the store may go back.
	senderByFence map[int64]arbutusfork.Incarnation
	highestFence  int64
}

// testVM is a VM of the cluster.
type testVM struct {
	view          View
	pendingCommit *CommitRecord
	isPaused      bool
	isDead        bool
	isGone        bool
	fenceRequests []FenceSender
	// committedVersion is the version of a commit that took effect and whose answer is in flight.
	committedVersion int64
}

// testEndpoint is an endpoint with its real state, as opposed to the state in the record.
type testEndpoint struct {
	models map[string]string // models holds the state of each model on the endpoint.
	fence  int64
}

// orderMessage is an order in flight.
type orderMessage struct {
	vm    int
	order Order
	// answered means that the sender got an answer or stopped waiting for one.
	answered bool
	sentAt   time.Time
}

// delayedCommit is a commit whose sender has given up waiting for the answer.
type delayedCommit struct{ commit CommitRecord }

var testConfig = Config{
	Service: arbutusfork.Service{Name: "s", Policy: arbutusfork.PlacementPolicy{IdleCost: 10}},
	Endpoints: map[string]arbutusfork.Endpoint{
		"r1": {Name: "r1", MemoryMB: 10, Slots: 1, Accelerators: 1, EnforcesFence: true},
		"r2": {Name: "r2", MemoryMB: 10, Slots: 1, Accelerators: 1},
	},
	Models: map[string]arbutusfork.Model{
		"a": {Name: "a", MemoryMB: 6, StoreLoadMillis: 500, DiskLoadMillis: 100, MemoryLoadMillis: 50},
		"b": {Name: "b", MemoryMB: 6, StoreLoadMillis: 500, DiskLoadMillis: 100, MemoryLoadMillis: 50, MaxReplicas: 2},
		"c": {Name: "c", MemoryMB: 4, StoreLoadMillis: 500, DiskLoadMillis: 100, MemoryLoadMillis: 50},
	},
}

// unconfiguredModel is a model that is not in the configuration and that endpoint r2 holds from the start.
const unconfiguredModel, unconfiguredModelMemory = "z", 3

func newTestCluster(v protocolVariant) *testCluster {
	tc := &testCluster{now: time.Date(2026, 1, 1, 9, 0, 0, 0, time.UTC), endpoints: map[string]*testEndpoint{
		"r1": {models: map[string]string{}},
		"r2": {models: map[string]string{unconfiguredModel: stateLoaded}},
	}}
	for i, name := range []string{"vm1", "vm2", "vm3"} {
		view := NewView(arbutusfork.Incarnation{VM: name, StartID: 1}, testConfig)
		view.variant, view.Rank = v, i
		tc.vms = append(tc.vms, &testVM{view: view})
	}
	return tc
}

// applyEvent applies an event to a VM and carries out the effects.
func (tc *testCluster) applyEvent(i int, e Event) {
	m := tc.vms[i]
	view, effects := m.view.Step(e, tc.now)
	m.view = view
	for _, effect := range effects {
		switch effect := effect.(type) {
		case CommitRecord:
			m.pendingCommit = &effect
		case SendOrder:
			tc.ordersInFlight = append(tc.ordersInFlight, &orderMessage{vm: i, order: effect.Order, sentAt: tc.now})
			tc.checkFence(effect.Order)
			if tc.record.Owner != m.view.Self && !tc.allowSendAfterTakeover && !isRecordLost(tc.record, tc.version) {
				tc.recordViolation("order %d sent by %s after a take-over", effect.Order.ID, m.view.Self)
			}
		case FenceSender:
			m.fenceRequests = append(m.fenceRequests, effect)
		}
	}
}

// recordViolation stores the first violated property.
func (tc *testCluster) recordViolation(format string, args ...any) {
	if tc.violation == "" {
		tc.violation = fmt.Sprintf(format, args...)
	}
}

func memoryOf(model string) int64 {
	if model == unconfiguredModel {
		return unconfiguredModelMemory
	}
	return testConfig.Models[model].MemoryMB
}

// checkProperties checks the endpoints' real state: each model is in the record, and neither memory nor replicas exceed
// their limits.
func (tc *testCluster) checkProperties() {
	count := make(map[string]int)
	for name, r := range tc.endpoints {
		var sum int64
		for model := range r.models {
			sum += memoryOf(model)
			count[model]++
			if _, ok := tc.record.Assignment(name, model); !ok && model != unconfiguredModel && tc.storeHistory == nil {
				tc.recordViolation("model %s on %s is not in the record", model, name)
			}
		}
		if sum > testConfig.Endpoints[name].MemoryMB {
			tc.recordViolation("memory of endpoint %s overcommitted: %v", name, r.models)
		}
	}
	for model, n := range count {
		if limit := max(testConfig.Models[model].MaxReplicas, 1); n > limit {
			tc.recordViolation("%d replicas of model %s exceed its limit", n, model)
		}
	}
}

// runRandomStep applies one of the possible events. pick returns a number below its argument.
func (tc *testCluster) runRandomStep(pick func(n int) int) {
	actions := []func(){
		func() { tc.advanceTime(pick, 10*time.Millisecond) },
		func() { tc.advanceTime(pick, 500*time.Millisecond) },
		func() { tc.advanceTime(pick, 2*time.Second) },
		func() { tc.reportDemand(pick) },
		func() { tc.reportDemand(pick) },
	}
	if pick(8) == 0 {
		actions = append(actions, func() { tc.advanceTime(pick, takeoverDelay) })
	}
	if pick(6) == 0 {
		actions = append(actions, func() { tc.injectFault(pick) })
	}
	if tc.storeHistory != nil && pick(12) == 0 {
		actions = append(actions, func() { tc.goBack(pick) }, func() { tc.restartVM(pick(len(tc.vms))) })
	}
	for i, m := range tc.vms {
		if m.isPaused || m.isDead {
			continue
		}
		actions = append(actions, tc.platformActions(i, m, pick)...)
		if m.view.IsRecordedOwner() {
			pollEndpoint := func() { tc.pollEndpoint(i, pick) }
			actions = append(actions, pollEndpoint, pollEndpoint, pollEndpoint)
		}
		if len(m.fenceRequests) > 0 {
			actions = append(actions, func() { tc.deliverFenceRequest(i, pick) })
		}
	}
	for k := range tc.delayedCommits {
		actions = append(actions, func() { tc.deliverDelayedCommit(k) })
	}
	for k := range tc.ordersInFlight {
		actions = append(actions, func() { tc.deliverOrder(k, pick) }, func() { tc.loseAnswer(k, pick) })
	}
	for k := range tc.reportsInFlight {
		actions = append(actions, func() { tc.deliverReport(k) })
	}
	for _, name := range []string{"r1", "r2"} {
		actions = append(actions, func() { tc.completeOperations(name) })
	}
	actions[pick(len(actions))]()
	tc.checkProperties()
}

func (tc *testCluster) advanceTime(_ func(int) int, d time.Duration) {
	tc.now = tc.now.Add(d)
	tc.dropLateOrders()
	for i, m := range tc.vms {
		if !m.isPaused && !m.isDead {
			tc.applyEvent(i, Tick{})
		}
	}
}

func (tc *testCluster) reportDemand(pick func(int) int) {
	model := []string{"a", "b", "c"}[pick(3)]
	waiting := pick(3)
	for i, m := range tc.vms {
		if !m.isPaused && !m.isDead {
			tc.applyEvent(i, DemandReported{Model: model, VM: "vm", WaitingRequests: waiting})
		}
	}
}

// injectFault pauses, resumes or kills a VM, or crashes an endpoint. At most one VM is killed.
func (tc *testCluster) injectFault(pick func(int) int) {
	m := tc.vms[pick(len(tc.vms))]
	switch pick(6) {
	case 0, 1:
		m.isPaused = true
	case 2, 3:
		m.isPaused = false
	case 4:
		r := tc.endpoints[[]string{"r1", "r2"}[pick(2)]]
		r.models = map[string]string{}
	case 5:
		if dead := tc.countDead(); dead == 0 {
			m.isDead, m.isPaused = true, false
		}
	}
}

func (tc *testCluster) countDead() (n int) {
	for _, m := range tc.vms {
		if m.isDead {
			n++
		}
	}
	return n
}

// platformActions returns what can happen between a VM and the platform: a read, or the end of a commit in flight.
func (tc *testCluster) platformActions(i int, m *testVM, pick func(int) int) []func() {
	if m.pendingCommit == nil {
		return []func(){func() { tc.applyEvent(i, RecordFetched{Version: tc.version, Record: tc.record}) }}
	}
	c := *m.pendingCommit
	if m.committedVersion != 0 {
		version := m.committedVersion
		return []func(){func() {
			m.pendingCommit, m.committedVersion = nil, 0
			tc.applyEvent(i, CommitSucceeded{Version: version})
		}}
	}
	write := func() { tc.commitRecord(c) }
	return []func(){
		func() { tc.answerCommit(i, m, tc.commitRecord(c)) },
		func() { tc.answerCommit(i, m, tc.commitRecord(c)) },
		func() {
			if tc.commitRecord(c) {
				m.committedVersion = tc.version
			}
		},
		func() {
			switch pick(3) {
			case 0:
				write()
			case 1:
				tc.delayedCommits = append(tc.delayedCommits, delayedCommit{commit: c})
			}
			tc.answerCommit(i, m, false)
		},
	}
}

// commitRecord is the platform's conditional update of the shard object.
func (tc *testCluster) commitRecord(c CommitRecord) bool {
	if afversion.Revision(c.Version) != afversion.Revision(tc.version) {
		return false
	}
	if tc.storeHistory != nil {
		tc.storeHistory = append(tc.storeHistory, storeState{tc.version, tc.record})
	}
	tc.version++
	tc.record = c.Record
	// The client reports the outcome of a write as unknown if the answer names another era than its version.
	return afversion.Era(c.Version) == afversion.Era(tc.version)
}

// answerCommit ends a VM's commit with success or failure.
func (tc *testCluster) answerCommit(i int, m *testVM, ok bool) {
	m.pendingCommit = nil
	if ok {
		tc.applyEvent(i, CommitSucceeded{Version: tc.version})
		return
	}
	tc.applyEvent(i, CommitFailed{})
}

// deliverDelayedCommit lets a delayed commit reach the platform.
func (tc *testCluster) deliverDelayedCommit(k int) {
	c := tc.delayedCommits[k].commit
	tc.delayedCommits = append(tc.delayedCommits[:k:k], tc.delayedCommits[k+1:]...)
	tc.commitRecord(c)
}
