package afplacement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork"
)

// testOwner drives the view of a shard's only owner, whose commits and orders succeed at once.
type testOwner struct {
	view    View
	now     time.Time
	version int64
	sent    []Order
}

func newTestOwner(cfg Config) *testOwner {
	o := &testOwner{now: time.Date(2026, 1, 1, 9, 0, 0, 0, time.UTC)}
	o.view = NewView(arbutusfork.Incarnation{VM: "vm1", StartID: 1}, cfg)
	o.applyEvent(RecordFetched{})
	return o
}

func (o *testOwner) applyEvent(e Event) {
	view, effects := o.view.Step(e, o.now)
	o.view = view
	for _, effect := range effects {
		switch effect := effect.(type) {
		case CommitRecord:
			o.version++
			o.applyEvent(CommitSucceeded{Version: o.version})
		case SendOrder:
			o.sent = append(o.sent, effect.Order)
			o.applyEvent(OrderAnswered{OrderID: effect.Order.ID, Outcome: OutcomeAccepted})
		}
	}
}

// reportLoaded reports the models as loaded on the endpoint.
func (o *testOwner) reportLoaded(endpoint string, cache Cache, models ...string) {
	o.now = o.now.Add(time.Millisecond)
	st := EndpointStatus{Cache: cache}
	for _, m := range models {
		st.Models = append(st.Models, ModelStatus{Name: m, State: stateLoaded, Memory: o.view.cfg.Models[m].MemoryMB})
	}
	o.applyEvent(StatusPolled{Endpoint: endpoint, RequestedAt: o.now, Status: st})
}

func (o *testOwner) sentOrders() (out []string) {
	for _, s := range o.sent {
		out = append(out, s.Verb.String()+" "+s.Model+" "+s.Endpoint)
	}
	return out
}

func policyConfig() Config {
	cfg := Config{
		Service:   arbutusfork.Service{Name: "s", LoadsPerSecond: 10, ParallelLoads: 2, Policy: arbutusfork.PlacementPolicy{MaxReplicas: 2}},
		Endpoints: make(map[string]arbutusfork.Endpoint), Models: make(map[string]arbutusfork.Model), ShardCount: 1,
	}
	for _, name := range []string{"r1", "r2", "r3"} {
		cfg.Endpoints[name] = arbutusfork.Endpoint{Name: name, MemoryMB: 100, Accelerators: 1, Slots: 2}
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		cfg.Models[name] = arbutusfork.Model{Name: name, MemoryMB: 60, StoreLoadMillis: 10_000, DiskLoadMillis: 3000, MemoryLoadMillis: 1000}
	}
	cfg.Models["a:x"] = arbutusfork.Model{Name: "a:x", MemoryMB: 1, StoreLoadMillis: 10, DiskLoadMillis: 10, MemoryLoadMillis: 10}
	return cfg
}

// TestChooseNearestCache guards against a load from the weight store although an endpoint holds the checkpoint in
// memory or on disk.
func TestChooseNearestCache(t *testing.T) {
	o := newTestOwner(policyConfig())
	o.reportLoaded("r1", nil)
	o.reportLoaded("r2", Cache{"a": "memory"})
	o.reportLoaded("r3", Cache{"a": "disk"})
	o.applyEvent(DemandReported{Model: "a", VM: "vm1", WaitingRequests: 1})
	require.Equal(t, []string{"load a r2"}, o.sentOrders())
}

// TestStoreBudget guards against more concurrent loads than the weight store can take at full speed.
func TestStoreBudget(t *testing.T) {
	o := newTestOwner(policyConfig())
	for _, r := range []string{"r1", "r2", "r3"} {
		o.reportLoaded(r, nil)
	}
	for _, m := range []string{"a", "b", "c"} {
		o.applyEvent(DemandReported{Model: m, VM: "vm1", WaitingRequests: 1})
	}
	require.Len(t, o.sent, 2)
	o.reportLoaded(o.sent[0].Endpoint, nil, o.sent[0].Model)
	require.Len(t, o.sent, 3)
}

// TestReplicasAndHedge guards against more replicas than the demand needs, and against an additional load for a slow
// one beyond the replica limit.
func TestReplicasAndHedge(t *testing.T) {
	o := newTestOwner(policyConfig())
	for _, r := range []string{"r1", "r2", "r3"} {
		o.reportLoaded(r, nil)
	}
	o.applyEvent(DemandReported{Model: "a", VM: "vm1", WaitingRequests: 2})
	require.Len(t, o.sent, 1)
	for range 40 {
		o.now = o.now.Add(time.Second)
		o.applyEvent(DemandReported{Model: "a", VM: "vm1", WaitingRequests: 2})
	}
	require.Len(t, o.sent, 2, "a load that exceeds three times its estimate is hedged once")
	o.applyEvent(DemandReported{Model: "a", VM: "vm1", WaitingRequests: 9})
	require.Len(t, o.sent, 2, "the limit is two replicas")
}

// TestAdapterFollowsBase guards against an adapter on an endpoint without its base model, and against unloading a base
// model while its adapter is in use.
func TestAdapterFollowsBase(t *testing.T) {
	o := newTestOwner(policyConfig())
	o.reportLoaded("r1", nil)
	o.applyEvent(DemandReported{Model: "a:x", VM: "vm1", WaitingRequests: 1})
	require.Equal(t, []string{"load a r1"}, o.sentOrders())
	o.reportLoaded("r1", nil, "a")
	o.reportLoaded("r1", nil, "a", "a:x")
	require.Equal(t, []string{"load a r1", "load a:x r1"}, o.sentOrders())
	o.now = o.now.Add(time.Second)
	o.applyEvent(DemandReported{Model: "a:x", VM: "vm1", RunningRequests: 1})
	o.applyEvent(DemandReported{Model: "b", VM: "vm1", WaitingRequests: 1})
	require.Len(t, o.sent, 2, "the base model is in use through its adapter")
	o.applyEvent(DemandReported{Model: "a:x", VM: "vm1"})
	o.now = o.now.Add(2 * time.Second)
	o.applyEvent(DemandReported{Model: "b", VM: "vm1", WaitingRequests: 1})
	require.ElementsMatch(t, []string{"unload a r1", "unload a:x r1"}, o.sentOrders()[2:])
	o.reportLoaded("r1", nil)
	require.Equal(t, "load b r1", o.sentOrders()[4])
}

// TestKeepIdleReplica guards against keeping a model that gets no more requests, and against unloading one that the
// accepted sheet plans.
func TestKeepIdleReplica(t *testing.T) {
	for _, planned := range []bool{false, true} {
		cfg := policyConfig()
		if planned {
			cfg.Sheet = []arbutusfork.DemandSheetRow{{Model: "a", StartMinute: 0, EndMinute: 24 * 60, RequestsPerHour: 600}}
		}
		o := newTestOwner(cfg)
		o.reportLoaded("r1", nil)
		o.applyEvent(RequestsArrived{Model: "a", Count: 1})
		o.applyEvent(DemandReported{Model: "a", VM: "vm1", WaitingRequests: 1})
		o.reportLoaded("r1", nil, "a")
		o.applyEvent(DemandReported{Model: "a", VM: "vm1"})
		for range 1800 {
			o.now = o.now.Add(time.Second)
			o.reportLoaded("r1", nil, "a")
		}
		require.Equal(t, planned, len(o.sent) == 1)
	}
}

// TestSlowStore guards against estimates that ignore that the weight store is slow.
func TestSlowStore(t *testing.T) {
	cfg := policyConfig()
	cfg.Service.Policy.MaxReplicas = 1
	o := newTestOwner(cfg)
	for _, r := range []string{"r1", "r2", "r3"} {
		o.reportLoaded(r, nil)
	}
	o.applyEvent(DemandReported{Model: "a", VM: "vm1", WaitingRequests: 1})
	for range 40 {
		o.now = o.now.Add(time.Second)
		o.applyEvent(DemandReported{Model: "b", VM: "vm1", WaitingRequests: 1})
	}
	ready, ok := o.view.timeToReady("c", o.now)
	require.True(t, ok)
	require.GreaterOrEqual(t, ready, 40*time.Second)
}

// TestAdapterRoom guards against loading a base model into the last memory beside another base model, whose adapters
// then wait, while another endpoint has room, and against not loading it if no other endpoint has room.
func TestAdapterRoom(t *testing.T) {
	for _, hasOtherEndpoint := range []bool{true, false} {
		cfg := policyConfig()
		cfg.Models["e"] = arbutusfork.Model{Name: "e", MemoryMB: 40, StoreLoadMillis: 1000, DiskLoadMillis: 900, MemoryLoadMillis: 100}
		o := newTestOwner(cfg)
		o.reportLoaded("r1", Cache{"e": "disk"}, "a")
		o.applyEvent(DemandReported{Model: "a", VM: "vm1", RunningRequests: 1})
		if hasOtherEndpoint {
			o.reportLoaded("r2", nil)
		}
		o.applyEvent(DemandReported{Model: "e", VM: "vm1", WaitingRequests: 1})
		want := "load e r1"
		if hasOtherEndpoint {
			want = "load e r2"
		}
		require.Equal(t, []string{want}, o.sentOrders())
	}
}
