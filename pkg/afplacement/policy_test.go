package afplacement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork"
)

// owner drives the view of a shard's only owner, whose commits succeed at once.
type owner struct {
	view    View
	now     time.Time
	version int64
	sent    []Order
}

func newOwner(cfg Config) *owner {
	o := &owner{now: time.Date(2026, 1, 1, 9, 0, 0, 0, time.UTC)}
	o.view = NewView(arbutusfork.Incarnation{VM: "vm1", Start: 1}, cfg)
	o.step(RecordFetched{})
	return o
}

func (o *owner) step(e Event) {
	view, effects := o.view.Step(e, o.now)
	o.view = view
	for _, effect := range effects {
		switch effect := effect.(type) {
		case CommitRecord:
			o.version++
			o.step(CommitSucceeded{Version: o.version})
		case SendOrder:
			o.sent = append(o.sent, effect.Order)
			o.step(OrderAnswered{OrderID: effect.Order.ID, Outcome: OutcomeAccepted})
		}
	}
}

// observe reports the endpoint's models as loaded.
func (o *owner) observe(endpoint string, cache Cache, models ...string) {
	o.now = o.now.Add(time.Millisecond)
	st := EndpointStatus{Cache: cache}
	for _, m := range models {
		st.Models = append(st.Models, ModelStatus{Name: m, State: stateLoaded, Memory: o.view.cfg.Models[m].Memory})
	}
	o.step(StatusPolled{Endpoint: endpoint, RequestedAt: o.now, Status: st})
}

func (o *owner) orders() (out []string) {
	for _, s := range o.sent {
		out = append(out, s.Verb.String()+" "+s.Model+" "+s.Endpoint)
	}
	return out
}

func policyConfig() Config {
	cfg := Config{
		Service:   arbutusfork.Service{Name: "s", Loads: 10, Parallel: 2, Policy: arbutusfork.Policy{Replicas: 2}},
		Endpoints: make(map[string]arbutusfork.Endpoint), Models: make(map[string]arbutusfork.Model), ShardCount: 1,
	}
	for _, name := range []string{"r1", "r2", "r3"} {
		cfg.Endpoints[name] = arbutusfork.Endpoint{Name: name, Memory: 100, Accelerators: 1, Slots: 2}
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		cfg.Models[name] = arbutusfork.Model{Name: name, Memory: 60, Remote: 10_000, Disk: 3000, Host: 1000}
	}
	cfg.Models["a:x"] = arbutusfork.Model{Name: "a:x", Memory: 1, Remote: 10, Disk: 10, Host: 10}
	return cfg
}

// TestChooseNearestCache guards against a load from afar while an endpoint has the checkpoint nearby.
func TestChooseNearestCache(t *testing.T) {
	o := newOwner(policyConfig())
	o.observe("r1", nil)
	o.observe("r2", Cache{"a": "memory"})
	o.observe("r3", Cache{"a": "disk"})
	o.step(DemandReported{Model: "a", VM: "vm1", WaitingRequests: 1})
	require.Equal(t, []string{"load a r2"}, o.orders())
}

// TestStoreBudget guards against loads that slow each other down at the weight store.
func TestStoreBudget(t *testing.T) {
	o := newOwner(policyConfig())
	for _, r := range []string{"r1", "r2", "r3"} {
		o.observe(r, nil)
	}
	for _, m := range []string{"a", "b", "c"} {
		o.step(DemandReported{Model: m, VM: "vm1", WaitingRequests: 1})
	}
	require.Len(t, o.sent, 2)
	o.observe(o.sent[0].Endpoint, nil, o.sent[0].Model)
	require.Len(t, o.sent, 3)
}

// TestReplicasAndHedge guards against more replicas than the demand needs, and against a hedge beyond the bound.
func TestReplicasAndHedge(t *testing.T) {
	o := newOwner(policyConfig())
	for _, r := range []string{"r1", "r2", "r3"} {
		o.observe(r, nil)
	}
	o.step(DemandReported{Model: "a", VM: "vm1", WaitingRequests: 2})
	require.Len(t, o.sent, 1)
	for range 40 {
		o.now = o.now.Add(time.Second)
		o.step(DemandReported{Model: "a", VM: "vm1", WaitingRequests: 2})
	}
	require.Len(t, o.sent, 2, "one hedge of a load that takes three times its estimate")
	o.step(DemandReported{Model: "a", VM: "vm1", WaitingRequests: 9})
	require.Len(t, o.sent, 2, "the bound is two replicas")
}

// TestAdapterFollowsBase guards against an adapter on an endpoint without its base, and against a base that is
// unloaded under its adapters.
func TestAdapterFollowsBase(t *testing.T) {
	o := newOwner(policyConfig())
	o.observe("r1", nil)
	o.step(DemandReported{Model: "a:x", VM: "vm1", WaitingRequests: 1})
	require.Equal(t, []string{"load a r1"}, o.orders())
	o.observe("r1", nil, "a")
	o.observe("r1", nil, "a", "a:x")
	require.Equal(t, []string{"load a r1", "load a:x r1"}, o.orders())
	o.now = o.now.Add(time.Second)
	o.step(DemandReported{Model: "a:x", VM: "vm1", RunningRequests: 1})
	o.step(DemandReported{Model: "b", VM: "vm1", WaitingRequests: 1})
	require.Len(t, o.sent, 2, "the base is in use through its adapter")
	o.step(DemandReported{Model: "a:x", VM: "vm1"})
	o.now = o.now.Add(2 * time.Second)
	o.step(DemandReported{Model: "b", VM: "vm1", WaitingRequests: 1})
	require.ElementsMatch(t, []string{"unload a r1", "unload a:x r1"}, o.orders()[2:])
	o.observe("r1", nil)
	require.Equal(t, "load b r1", o.orders()[4])
}

// TestKeepWarm guards against holding a model that nobody returns to, and against unloading one that the accepted
// sheet expects.
func TestKeepWarm(t *testing.T) {
	for _, planned := range []bool{false, true} {
		cfg := policyConfig()
		if planned {
			cfg.Sheet = []arbutusfork.SheetRow{{Model: "a", From: 0, Until: 24 * 60, Requests: 600}}
		}
		o := newOwner(cfg)
		o.observe("r1", nil)
		o.step(RequestsArrived{Model: "a", Count: 1})
		o.step(DemandReported{Model: "a", VM: "vm1", WaitingRequests: 1})
		o.observe("r1", nil, "a")
		o.step(DemandReported{Model: "a", VM: "vm1"})
		for range 1800 {
			o.now = o.now.Add(time.Second)
			o.observe("r1", nil, "a")
		}
		require.Equal(t, planned, len(o.sent) == 1)
	}
}

// TestSlowStore guards against estimates that ignore a slow weight store.
func TestSlowStore(t *testing.T) {
	cfg := policyConfig()
	cfg.Service.Policy.Replicas = 1
	o := newOwner(cfg)
	for _, r := range []string{"r1", "r2", "r3"} {
		o.observe(r, nil)
	}
	o.step(DemandReported{Model: "a", VM: "vm1", WaitingRequests: 1})
	for range 40 {
		o.now = o.now.Add(time.Second)
		o.step(DemandReported{Model: "b", VM: "vm1", WaitingRequests: 1})
	}
	ready, ok := o.view.ready("c", o.now)
	require.True(t, ok)
	require.GreaterOrEqual(t, ready, 40*time.Second)
}

// TestAdapterRoom guards against a base model that takes the last memory beside another base in use, which makes an
// adapter of that one wait, and against one that is not loaded at all for the sake of that memory.
func TestAdapterRoom(t *testing.T) {
	for _, choice := range []bool{true, false} {
		cfg := policyConfig()
		cfg.Models["e"] = arbutusfork.Model{Name: "e", Memory: 40, Remote: 1000, Disk: 900, Host: 100}
		o := newOwner(cfg)
		o.observe("r1", Cache{"e": "disk"}, "a")
		o.step(DemandReported{Model: "a", VM: "vm1", RunningRequests: 1})
		if choice {
			o.observe("r2", nil)
		}
		o.step(DemandReported{Model: "e", VM: "vm1", WaitingRequests: 1})
		want := "load e r1"
		if choice {
			want = "load e r2"
		}
		require.Equal(t, []string{want}, o.orders())
	}
}
