package afassign

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afroute"
)

// newEngineSpec returns an engine with memory for two large models or five small ones.
func newEngineSpec(models int) afroute.EngineSpec {
	e := afroute.EngineSpec{Slots: 64, MemoryMB: 200, AdapterSlots: 4, LoadsPerSecond: 2, Models: map[string]afroute.Model{}}
	for i := range models {
		m := afroute.Model{
			Name: modelName(i), SizeMB: 72, StoreLoadTime: 6 * time.Second, DiskLoadTime: 1300 * time.Millisecond, MemoryLoadTime: 600 * time.Millisecond,
			AdapterSizeMB: 0.1,
		}
		if i%3 == 0 {
			m.SizeMB, m.AdapterCount = 34, 8
		}
		e.Models[m.Name] = m
	}
	return e
}

func modelName(i int) string { return "m" + strconv.Itoa(i) }

func heldModels(models ...string) []afengine.LoadedModel {
	var out []afengine.LoadedModel
	for _, m := range models {
		out = append(out, afengine.LoadedModel{Model: m})
	}
	return out
}

// newSnapshot returns a snapshot with 12 models and without demand.
func newSnapshot(engines ...Engine) Snapshot {
	return Snapshot{EngineSpec: newEngineSpec(12), Engines: engines, MaxStoreLoads: 4, StoreLoadBudget: 10, MaxReplicaTokenRate: 14000}
}

// Guards against a load from the weight store although the model is on the disk of an engine with free memory.
func TestLoadsFromDisk(t *testing.T) {
	v := newSnapshot(Engine{ID: "a"}, Engine{ID: "b", ModelsOnDisk: []string{"m1"}, AcceptedOrders: 4})
	v.Demand = []Demand{{Model: "m1", WaitingRequests: 1, LongestWait: time.Second}}
	d := PlanOrders(v)
	i := slices.IndexFunc(d.Orders, func(s PlannedOrder) bool { return s.Order.Model == "m1" })
	require.GreaterOrEqual(t, i, 0)
	require.Equal(t, PlannedOrder{
		EngineID: "b", Order: afengine.Order{Model: "m1", ExpectedAcceptedOrders: 4}, Reason: ReasonWaitingRequests, EstimatedDuration: 1300 * time.Millisecond,
	}, d.Orders[i])
}

// Guards against an engine that is kept idle for a model although the weight store cannot start its load yet.
func TestSaturatedStoreReservesNoEngine(t *testing.T) {
	v := newSnapshot(Engine{ID: "a", ModelsOnDisk: []string{"m2"}, ModelsInMemory: nil})
	v.MaxStoreLoads = 0
	v.Demand = []Demand{{Model: "m1", WaitingRequests: 5, LongestWait: 9 * time.Second}, {Model: "m2", WaitingRequests: 1, LongestWait: time.Second}}
	d := PlanOrders(v)
	require.Len(t, d.Orders, 1)
	require.Equal(t, "m2", d.Orders[0].Order.Model)
}

// Guards against more replicas of a busy model than needed: loads in progress and reserved memory count as replicas.
func TestPendingReplicaCounts(t *testing.T) {
	v := newSnapshot(Engine{ID: "a", LoadedModels: heldModels("m1")}, Engine{ID: "b", LoadingModel: "m1", IsExecutingOrder: true, TimeUntilFree: time.Second},
		Engine{ID: "c", ModelsOnDisk: []string{"m1"}}, Engine{ID: "d", ReservedModel: "m1", IsBlocked: true})
	v.Demand = []Demand{{Model: "m1", RequestRate: 6, PromptTokenRate: 20000}}
	v.MaxStoreLoads = 0
	require.Empty(t, PlanOrders(v).Orders)
}

// Guards against loading another model into memory that was freed for a reserved model.
func TestReservedMemoryIsKept(t *testing.T) {
	v := newSnapshot(Engine{ID: "a", LoadedModels: heldModels("m1"), ReservedModel: "m2", ModelsOnDisk: []string{"m2", "m4"}, AcceptedOrders: 7})
	v.Demand = []Demand{{Model: "m4", WaitingRequests: 3, LongestWait: 5 * time.Second}, {Model: "m2", WaitingRequests: 1, LongestWait: time.Second}}
	d := PlanOrders(v)
	require.Len(t, d.Orders, 1)
	require.Equal(t, "m2", d.Orders[0].Order.Model)
}

// Guards against unloading the only replica of a model that requests wait for or that is requested often.
func TestKeepsRequestedModels(t *testing.T) {
	v := newSnapshot(Engine{ID: "a", LoadedModels: heldModels("m1", "m2"), ModelsOnDisk: []string{"m4"}})
	v.MaxStoreLoads = 0
	v.Demand = []Demand{{Model: "m4", WaitingRequests: 1}, {Model: "m1", RequestRate: 1}, {Model: "m2", WaitingRequests: 1}}
	require.Empty(t, PlanOrders(v).Orders)
	v.Demand[2].WaitingRequests = 0
	d := PlanOrders(v)
	require.Len(t, d.Orders, 1)
	require.Equal(t, afengine.Order{IsUnload: true, Model: "m2"}, d.Orders[0].Order)
}

// Guards against a model that is never loaded although many requests wait for it: each of them is refused before it has
// waited as long as a single request for another model.
func TestManyShortWaitsOutrankOneLongWait(t *testing.T) {
	v := newSnapshot(Engine{ID: "a", ModelsOnDisk: []string{"m1", "m2"}})
	v.EngineSpec.MemoryMB = 80
	v.Demand = []Demand{
		{Model: "m1", WaitingRequests: 1, LongestWait: 11 * time.Second, RequestRate: 0.1}, {Model: "m2", WaitingRequests: 12, LongestWait: 1500 * time.Millisecond, RequestRate: 10},
	}
	d := PlanOrders(v)
	require.NotEmpty(t, d.Orders)
	require.Equal(t, "m2", d.Orders[0].Order.Model)
}

// Guards against a busy model with a backlog that never gets a second replica, because rarely requested models use the weight
// store all the time.
func TestBacklogGetsReplicaFromStore(t *testing.T) {
	v := newSnapshot(Engine{ID: "a", LoadedModels: heldModels("m1")}, Engine{ID: "b", LoadsFromStore: true, LoadingModel: "m4", IsExecutingOrder: true, TimeUntilFree: 3 * time.Second}, Engine{ID: "c"})
	v.Demand = []Demand{{Model: "m1", WaitingRequests: 20, LongestWait: time.Second, RequestRate: 10, PromptTokenRate: 15000}, {Model: "m2", WaitingRequests: 1, LongestWait: 9 * time.Second}}
	d := PlanOrders(v)
	require.NotEmpty(t, d.Orders)
	require.Equal(t, "m1", d.Orders[0].Order.Model)
}

// Guards against a busy model that stays on two overloaded engines because no other engine has it on disk, although the
// weight store is idle.
func TestBusyModelGetsReplicaFromStore(t *testing.T) {
	v := newSnapshot(Engine{ID: "a", LoadedModels: heldModels("m1")}, Engine{ID: "b", LoadedModels: heldModels("m1")}, Engine{ID: "c"}, Engine{ID: "d"})
	v.Demand = []Demand{{Model: "m1", RequestRate: 30, PromptTokenRate: 2.5 * v.MaxReplicaTokenRate}}
	d := PlanOrders(v)
	require.NotEmpty(t, d.Orders)
	require.Equal(t, "m1", d.Orders[0].Order.Model)
	require.True(t, d.Orders[0].LoadsFromStore)

	v.MaxStoreLoads = maxReplicaStoreLoads + 1
	v.Demand = append(v.Demand, Demand{Model: "m2", WaitingRequests: 1, OnTimeRequests: 1})
	for i := range maxReplicaStoreLoads {
		v.Engines = append(v.Engines, Engine{ID: "x" + modelName(i), IsExecutingOrder: true, LoadingModel: modelName(i + 6), LoadsFromStore: true, TimeUntilFree: 3 * time.Second})
	}
	d = PlanOrders(v)
	require.NotEmpty(t, d.Orders)
	require.Equal(t, "m2", d.Orders[0].Order.Model, "the last store load is reserved for models that no engine holds")
	require.Len(t, d.Orders, 1)
}

// Guards against loading a second busy model on a busy engine while another engine is idle.
func TestBusyModelsDoNotShareASaturatedEngine(t *testing.T) {
	v := newSnapshot(Engine{ID: "a", LoadedModels: heldModels("m1"), ModelsOnDisk: []string{"m2"}}, Engine{ID: "b", ModelsOnDisk: []string{"m2"}})
	v.Demand = []Demand{{Model: "m1", RequestRate: 6, PromptTokenRate: 9000}, {Model: "m2", WaitingRequests: 5, LongestWait: time.Second, RequestRate: 6, PromptTokenRate: 9000}}
	d := PlanOrders(v)
	require.NotEmpty(t, d.Orders)
	require.Equal(t, "m2", d.Orders[0].Order.Model)
	require.Equal(t, "b", d.Orders[0].EngineID)
}

// Guards against answering every request late under overload: loading a model for a request that can still be on time must
// come before loading one for a request that is already late.
func TestOnTimeRequestsOutrankLateRequests(t *testing.T) {
	v := newSnapshot(Engine{ID: "a", ModelsOnDisk: []string{"m1", "m2"}})
	v.EngineSpec.MemoryMB = 80
	v.Demand = []Demand{{Model: "m1", WaitingRequests: 1, LongestWait: 5 * time.Second}, {Model: "m2", WaitingRequests: 1, OnTimeRequests: 1, LongestWait: time.Second}}
	d := PlanOrders(v)
	require.NotEmpty(t, d.Orders)
	require.Equal(t, "m2", d.Orders[0].Order.Model)
	v.Demand[0].LongestWait = 11 * time.Second
	require.Equal(t, "m1", PlanOrders(v).Orders[0].Order.Model, "a late request must be served after a long wait")
}

// Guards against unloading the last replica of a model that was busy before instead of one that never was. Demand tends to
// return to formerly busy models.
func TestKeepsFormerlyBusyModels(t *testing.T) {
	v := newSnapshot(Engine{ID: "a", LoadedModels: heldModels("m1", "m2"), ModelsOnDisk: []string{"m4"}})
	v.MaxStoreLoads = 0
	v.FormerlyBusyModels = map[string]bool{"m1": true}
	v.Demand = []Demand{{Model: "m4", WaitingRequests: 1, OnTimeRequests: 1}}
	d := PlanOrders(v)
	require.Len(t, d.Orders, 1)
	require.Equal(t, afengine.Order{IsUnload: true, Model: "m2"}, d.Orders[0].Order)
}

// Guards against leaving the weight store unused before the first request: models that are on only one disk must be copied
// to a second one.
func TestCopiesModelsToDisksBeforeFirstRequest(t *testing.T) {
	v := newSnapshot()
	for i := range 4 {
		v.Engines = append(v.Engines, Engine{ID: fmt.Sprint("e", i)})
	}
	for i := range 12 {
		v.Engines[i%4].ModelsOnDisk = append(v.Engines[i%4].ModelsOnDisk, modelName(i))
	}
	d := PlanOrders(v)
	require.NotEmpty(t, d.Orders)
	require.Equal(t, ReasonDiskCopy, d.Orders[0].Reason)
	v.Demand = []Demand{{Model: "m9", RequestRate: 1}}
	for _, s := range PlanOrders(v).Orders {
		require.NotEqual(t, ReasonDiskCopy, s.Reason, "no disk copies while requests arrive")
	}
}

// Guards against closing every replica of a busy model at once to make room for rarely requested models.
func TestClosesOneSurplusReplica(t *testing.T) {
	v := newSnapshot()
	running := map[string]int{"m1": 5, "m2": 4}
	for _, id := range []string{"a", "b", "c"} {
		v.Engines = append(v.Engines, Engine{ID: id, LoadedModels: heldModels("m1", "m2"), RunningRequests: running, ModelsOnDisk: []string{"m4", "m5", "m7"}})
	}
	v.Demand = []Demand{
		{Model: "m1", RequestRate: 6, PromptTokenRate: 6000},
		{Model: "m2", RequestRate: 6, PromptTokenRate: 6000},
		{Model: "m4", WaitingRequests: 1, LongestWait: time.Second},
		{Model: "m5", WaitingRequests: 1},
		{Model: "m7", WaitingRequests: 1},
	}
	closing := map[string]int{}
	for range 3 { // The plan is repeated while requests still run on the closing replicas.
		for _, c := range PlanOrders(v).ClosingReplicas {
			i := slices.IndexFunc(v.Engines, func(e Engine) bool { return e.ID == c.EngineID })
			if !slices.Contains(v.Engines[i].ClosingModels, c.Model) {
				v.Engines[i].ClosingModels = append(v.Engines[i].ClosingModels, c.Model)
				closing[c.Model]++
			}
		}
	}
	require.LessOrEqual(t, closing["m1"], 1)
	require.LessOrEqual(t, closing["m2"], 1)
	require.Positive(t, closing["m1"]+closing["m2"])
}

// engineFleet is a set of engines that execute orders, some of them late or twice.
type engineFleet struct {
	snapshot   Snapshot
	lateOrders []PlannedOrder
}

// executeOrder executes an order as an engine does: only if its count of accepted orders is as expected and no other order
// is in progress.
func (f *engineFleet) executeOrder(s PlannedOrder) {
	i := slices.IndexFunc(f.snapshot.Engines, func(e Engine) bool { return e.ID == s.EngineID })
	e := &f.snapshot.Engines[i]
	if e.AcceptedOrders != s.Order.ExpectedAcceptedOrders || e.IsExecutingOrder {
		return
	}
	e.AcceptedOrders++
	o := s.Order
	switch {
	case o.Adapter != "" && o.IsUnload:
		for k := range e.LoadedModels {
			if e.LoadedModels[k].Model == o.Model {
				e.LoadedModels[k].Adapters = slices.DeleteFunc(e.LoadedModels[k].Adapters, func(a string) bool { return a == o.Adapter })
			}
		}
	case o.Adapter != "":
		for k := range e.LoadedModels {
			if e.LoadedModels[k].Model == o.Model {
				e.LoadedModels[k].Adapters = append(slices.Clone(e.LoadedModels[k].Adapters), o.Adapter)
			}
		}
	case o.IsUnload:
		e.LoadedModels = slices.DeleteFunc(e.LoadedModels, func(h afengine.LoadedModel) bool { return h.Model == o.Model })
	default:
		e.IsExecutingOrder, e.LoadingModel, e.TimeUntilFree = true, o.Model, s.EstimatedDuration
	}
}

// requireWithinCapacity fails the test if an engine exceeds its memory or its adapter slots.
func (f *engineFleet) requireWithinCapacity(t *rapid.T) {
	for _, e := range f.snapshot.Engines {
		used, adapters := 0.0, 0
		for _, h := range e.LoadedModels {
			m := f.snapshot.EngineSpec.Models[h.Model]
			used += m.SizeMB + float64(len(h.Adapters))*m.AdapterSizeMB
			adapters += len(h.Adapters)
		}
		if e.LoadingModel != "" {
			used += f.snapshot.EngineSpec.Models[e.LoadingModel].SizeMB
		}
		require.LessOrEqual(t, used, f.snapshot.EngineSpec.MemoryMB, "memory of engine %s", e.ID)
		require.LessOrEqual(t, adapters, f.snapshot.EngineSpec.AdapterSlots, "adapters of engine %s", e.ID)
	}
}

// Guards against orders that make an engine exceed its memory or its adapter slots, also when orders are executed late or
// twice.
func TestNeverOvercommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &engineFleet{snapshot: newSnapshot()}
		for i := range 4 {
			f.snapshot.Engines = append(f.snapshot.Engines, Engine{ID: fmt.Sprint("e", i)})
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			f.snapshot.Demand = nil
			for i := range 12 {
				d := Demand{Model: modelName(i), WaitingRequests: rapid.IntRange(0, 2).Draw(t, "waiting"), RequestRate: float64(rapid.IntRange(0, 3).Draw(t, "rate"))}
				if i%3 == 0 && rapid.Bool().Draw(t, "adapter") {
					d.Adapter = "a" + strconv.Itoa(rapid.IntRange(1, 8).Draw(t, "which"))
				}
				f.snapshot.Demand = append(f.snapshot.Demand, d)
			}
			for _, s := range PlanOrders(f.snapshot).Orders {
				switch rapid.IntRange(0, 4).Draw(t, "execution") {
				case 0:
					f.lateOrders = append(f.lateOrders, s)
				case 1:
					f.executeOrder(s)
					f.lateOrders = append(f.lateOrders, s)
				default:
					f.executeOrder(s)
				}
				f.requireWithinCapacity(t)
			}
			for i := range f.snapshot.Engines {
				e := &f.snapshot.Engines[i]
				if e.IsExecutingOrder && rapid.Bool().Draw(t, "done") {
					e.LoadedModels = append(slices.Clone(e.LoadedModels), afengine.LoadedModel{Model: e.LoadingModel})
					e.IsExecutingOrder, e.LoadingModel, e.TimeUntilFree = false, "", 0
				}
			}
			if len(f.lateOrders) > 0 && rapid.Bool().Draw(t, "late") {
				f.executeOrder(f.lateOrders[0])
				f.lateOrders = f.lateOrders[1:]
				f.requireWithinCapacity(t)
			}
		}
	})
}

// Guards against keeping models loaded that were requested only once. Requests for other models on the engine's disk waited
// for seconds while the engine was idle.
func TestFewRequestsKeepNoReplica(t *testing.T) {
	rareDemand := func(model string) Demand { return Demand{Model: model, RequestRate: 0.25, PromptTokenRate: 400} }
	v := newSnapshot(Engine{ID: "a", LoadedModels: heldModels("m1", "m2"), ModelsOnDisk: []string{"m1", "m2", "m4"}})
	v.MaxStoreLoads = 0
	v.Demand = []Demand{rareDemand("m1"), rareDemand("m2"), {Model: "m4", WaitingRequests: 1, OnTimeRequests: 1, RequestRate: 0.25, PromptTokenRate: 400}}
	d := PlanOrders(v)
	require.Len(t, d.Orders, 1)
	require.Equal(t, afengine.Order{IsUnload: true, Model: "m1"}, d.Orders[0].Order)
	require.Equal(t, "m4", d.Orders[0].MakesRoomFor)
}

// Guards against loading a model from the weight store although it is on the disk of an engine whose loaded models were
// requested only once.
func TestFewRequestsLeaveTheDiskUsable(t *testing.T) {
	v := newSnapshot(Engine{ID: "a", LoadedModels: heldModels("m1", "m2"), ModelsOnDisk: []string{"m1", "m2", "m4"}}, Engine{ID: "b"})
	v.Demand = []Demand{
		{Model: "m1", RequestRate: 0.25, PromptTokenRate: 400},
		{Model: "m2", RequestRate: 0.25, PromptTokenRate: 400},
		{Model: "m4", WaitingRequests: 1, OnTimeRequests: 1, RequestRate: 0.25, PromptTokenRate: 400},
	}
	d := PlanOrders(v)
	require.NotEmpty(t, d.Orders)
	require.Equal(t, "a", d.Orders[0].EngineID)
	require.True(t, d.Orders[0].Order.IsUnload)
}

// Guards against unloading the only replica that serves a requested model while another one is still being loaded.
func TestKeepsLastServingReplica(t *testing.T) {
	loading := Engine{ID: "b", LoadingModel: "m1", IsExecutingOrder: true, TimeUntilFree: 6 * time.Second}
	waiting := Demand{Model: "m4", WaitingRequests: 6, OnTimeRequests: 6, LongestWait: time.Second}
	for name, m1 := range map[string]Demand{
		"requested often":  {Model: "m1", RequestRate: 1},
		"requests wait":    {Model: "m1", RequestRate: 0.5, WaitingRequests: 1},
		"has a backlog":    {Model: "m1", RequestRate: 0.5, WaitingRequests: minBacklogRequests, LongestWait: time.Second},
		"asks for several": {Model: "m1", RequestRate: 3},
	} {
		t.Run(name, func(t *testing.T) {
			v := newSnapshot(Engine{ID: "a", LoadedModels: heldModels("m1", "m2"), ModelsOnDisk: []string{"m4"}}, loading)
			v.MaxStoreLoads = 0
			v.Demand = []Demand{m1, {Model: "m2", RequestRate: 1}, waiting}
			d := PlanOrders(v)
			require.Empty(t, d.Orders)
			v.Engines[0].RunningRequests = map[string]int{"m1": 1, "m2": 1}
			require.Empty(t, PlanOrders(v).ClosingReplicas)
		})
	}
}

// Guards against two unloads in one plan that together take all replicas that serve a model.
func TestUnloadsOfOnePlanKeepServingReplica(t *testing.T) {
	v := newSnapshot(Engine{ID: "a", LoadedModels: heldModels("m1"), ModelsOnDisk: []string{"m4"}}, Engine{ID: "b", LoadedModels: heldModels("m1"), ModelsOnDisk: []string{"m5"}},
		Engine{ID: "c", LoadingModel: "m1", IsExecutingOrder: true, TimeUntilFree: 6 * time.Second})
	v.EngineSpec.MemoryMB = 80
	v.MaxStoreLoads = 0
	v.Demand = []Demand{{Model: "m1", RequestRate: 1}, {Model: "m4", WaitingRequests: 6}, {Model: "m5", WaitingRequests: 6}}
	d := PlanOrders(v)
	require.Len(t, d.Orders, 1)
	require.Equal(t, afengine.Order{IsUnload: true, Model: "m1"}, d.Orders[0].Order)
}

// Guards against a busy model without a serving engine, because one of its replicas is closing when the other one fails.
func TestClosingReplicaServesAgainWhenOtherFails(t *testing.T) {
	v := newSnapshot(Engine{ID: "a", LoadedModels: heldModels("m1"), ClosingModels: []string{"m1"}, ModelsOnDisk: []string{"m4"}}, Engine{ID: "b", LoadedModels: heldModels("m1")})
	v.EngineSpec.MemoryMB = 80
	v.MaxStoreLoads = 0
	v.Demand = []Demand{{Model: "m1", RequestRate: 1}, {Model: "m4", WaitingRequests: 6}}
	d := PlanOrders(v)
	require.Len(t, d.Orders, 1, "the closing replica is unloaded while another one serves")
	require.Empty(t, d.ReopenedReplicas)
	v.Engines[1].IsUnavailable = true
	d = PlanOrders(v)
	require.Empty(t, d.Orders)
	require.Equal(t, []ReopenedReplica{{EngineID: "a", Model: "m1"}}, d.ReopenedReplicas)
	v.Engines[0].RunningRequests = map[string]int{"m1": 1}
	require.Empty(t, PlanOrders(v).ClosingReplicas, "it is closed again")
	v.Demand[0].RequestRate = 0.1
	v.Engines[0].RunningRequests = nil
	require.Len(t, PlanOrders(v).Orders, 1, "a rarely used model makes room as before")
}
