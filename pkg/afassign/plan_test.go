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

// spec returns an engine that holds two large models, or five small ones.
func spec(models int) afroute.EngineSpec {
	e := afroute.EngineSpec{Slots: 64, MemoryMB: 200, AdapterSlots: 4, LoadsPerSecond: 2, Models: map[string]afroute.Model{}}
	for i := range models {
		m := afroute.Model{
			Name: name(i), SizeMB: 72, StoreLoadTime: 6 * time.Second, DiskLoadTime: 1300 * time.Millisecond, MemoryLoadTime: 600 * time.Millisecond,
			AdapterSizeMB: 0.1,
		}
		if i%3 == 0 {
			m.SizeMB, m.AdapterCount = 34, 8
		}
		e.Models[m.Name] = m
	}
	return e
}

func name(i int) string { return "m" + strconv.Itoa(i) }

func held(models ...string) []afengine.LoadedModel {
	var out []afengine.LoadedModel
	for _, m := range models {
		out = append(out, afengine.LoadedModel{Model: m})
	}
	return out
}

func view(engines ...Engine) Snapshot {
	return Snapshot{EngineSpec: spec(12), Engines: engines, MaxStoreLoads: 4, StoreLoadBudget: 10, MaxReplicaTokenRate: 14000}
}

// Guards against a load from the weight store while the model lies on the disk of an engine with room.
func TestLoadsFromDisk(t *testing.T) {
	v := view(Engine{ID: "a"}, Engine{ID: "b", ModelsOnDisk: []string{"m1"}, AcceptedOrders: 4})
	v.Demand = []Demand{{Model: "m1", WaitingRequests: 1, LongestWait: time.Second}}
	d := PlanOrders(v)
	i := slices.IndexFunc(d.Orders, func(s PlannedOrder) bool { return s.Order.Model == "m1" })
	require.GreaterOrEqual(t, i, 0)
	require.Equal(t, PlannedOrder{
		EngineID: "b", Order: afengine.Order{Model: "m1", ExpectedAcceptedOrders: 4}, Reason: ReasonWaitingRequests, EstimatedDuration: 1300 * time.Millisecond,
	}, d.Orders[i])
}

// Guards against an engine that is kept idle for a model whose load the weight store cannot take yet.
func TestFullStoreReservesNoEngine(t *testing.T) {
	v := view(Engine{ID: "a", ModelsOnDisk: []string{"m2"}, ModelsInMemory: nil})
	v.MaxStoreLoads = 0
	v.Demand = []Demand{{Model: "m1", WaitingRequests: 5, LongestWait: 9 * time.Second}, {Model: "m2", WaitingRequests: 1, LongestWait: time.Second}}
	d := PlanOrders(v)
	require.Len(t, d.Orders, 1)
	require.Equal(t, "m2", d.Orders[0].Order.Model)
}

// Guards against further replicas of a busy model while the order for one is on its way.
func TestPendingReplicaCounts(t *testing.T) {
	v := view(Engine{ID: "a", LoadedModels: held("m1")}, Engine{ID: "b", LoadingModel: "m1", IsExecutingOrder: true, TimeUntilFree: time.Second},
		Engine{ID: "c", ModelsOnDisk: []string{"m1"}}, Engine{ID: "d", ReservedModel: "m1", IsBlocked: true})
	v.Demand = []Demand{{Model: "m1", RequestRate: 6, PromptTokenRate: 20000}}
	v.MaxStoreLoads = 0
	require.Empty(t, PlanOrders(v).Orders)
}

// Guards against losing the room that was made for a model to another one.
func TestRoomIsKept(t *testing.T) {
	v := view(Engine{ID: "a", LoadedModels: held("m1"), ReservedModel: "m2", ModelsOnDisk: []string{"m2", "m4"}, AcceptedOrders: 7})
	v.Demand = []Demand{{Model: "m4", WaitingRequests: 3, LongestWait: 5 * time.Second}, {Model: "m2", WaitingRequests: 1, LongestWait: time.Second}}
	d := PlanOrders(v)
	require.Len(t, d.Orders, 1)
	require.Equal(t, "m2", d.Orders[0].Order.Model)
}

// Guards against unloading the only replica of a model that requests wait for or that is asked for often.
func TestKeepsWantedModels(t *testing.T) {
	v := view(Engine{ID: "a", LoadedModels: held("m1", "m2"), ModelsOnDisk: []string{"m4"}})
	v.MaxStoreLoads = 0
	v.Demand = []Demand{{Model: "m4", WaitingRequests: 1}, {Model: "m1", RequestRate: 1}, {Model: "m2", WaitingRequests: 1}}
	require.Empty(t, PlanOrders(v).Orders)
	v.Demand[2].WaitingRequests = 0
	d := PlanOrders(v)
	require.Len(t, d.Orders, 1)
	require.Equal(t, afengine.Order{IsUnload: true, Model: "m2"}, d.Orders[0].Order)
}

// Guards against a model that many requests ask for and that is never loaded, because each of them is refused before it
// has waited as long as one request for a rare model.
func TestManyShortWaitsGoFirst(t *testing.T) {
	v := view(Engine{ID: "a", ModelsOnDisk: []string{"m1", "m2"}})
	v.EngineSpec.MemoryMB = 80
	v.Demand = []Demand{
		{Model: "m1", WaitingRequests: 1, LongestWait: 11 * time.Second, RequestRate: 0.1}, {Model: "m2", WaitingRequests: 12, LongestWait: 1500 * time.Millisecond, RequestRate: 10},
	}
	d := PlanOrders(v)
	require.NotEmpty(t, d.Orders)
	require.Equal(t, "m2", d.Orders[0].Order.Model)
}

// Guards against a busy model that never gets a second replica because rare models use the weight store all the time.
func TestPressedModelUsesStore(t *testing.T) {
	v := view(Engine{ID: "a", LoadedModels: held("m1")}, Engine{ID: "b", LoadsFromStore: true, LoadingModel: "m4", IsExecutingOrder: true, TimeUntilFree: 3 * time.Second}, Engine{ID: "c"})
	v.Demand = []Demand{{Model: "m1", WaitingRequests: 20, LongestWait: time.Second, RequestRate: 10, PromptTokenRate: 15000}, {Model: "m2", WaitingRequests: 1, LongestWait: 9 * time.Second}}
	d := PlanOrders(v)
	require.NotEmpty(t, d.Orders)
	require.Equal(t, "m1", d.Orders[0].Order.Model)
}

// Guards against a busy model that stays on two overloaded engines for the rest of its peak, because no other engine has it
// on its disk while the weight store is idle.
func TestBusyModelGetsReplicaFromStore(t *testing.T) {
	v := view(Engine{ID: "a", LoadedModels: held("m1")}, Engine{ID: "b", LoadedModels: held("m1")}, Engine{ID: "c"}, Engine{ID: "d"})
	v.Demand = []Demand{{Model: "m1", RequestRate: 30, PromptTokenRate: 2.5 * v.MaxReplicaTokenRate}}
	d := PlanOrders(v)
	require.NotEmpty(t, d.Orders)
	require.Equal(t, "m1", d.Orders[0].Order.Model)
	require.True(t, d.Orders[0].LoadsFromStore)

	v.MaxStoreLoads = rateLoads + 1
	v.Demand = append(v.Demand, Demand{Model: "m2", WaitingRequests: 1, OnTimeRequests: 1})
	for i := range rateLoads {
		v.Engines = append(v.Engines, Engine{ID: "x" + name(i), IsExecutingOrder: true, LoadingModel: name(i + 6), LoadsFromStore: true, TimeUntilFree: 3 * time.Second})
	}
	d = PlanOrders(v)
	require.NotEmpty(t, d.Orders)
	require.Equal(t, "m2", d.Orders[0].Order.Model, "the last place at the store is for models that no engine holds")
	require.Len(t, d.Orders, 1)
}

// Guards against two busy models on one engine while another one has less to do.
func TestBusyModelsDoNotShareAFullEngine(t *testing.T) {
	v := view(Engine{ID: "a", LoadedModels: held("m1"), ModelsOnDisk: []string{"m2"}}, Engine{ID: "b", ModelsOnDisk: []string{"m2"}})
	v.Demand = []Demand{{Model: "m1", RequestRate: 6, PromptTokenRate: 9000}, {Model: "m2", WaitingRequests: 5, LongestWait: time.Second, RequestRate: 6, PromptTokenRate: 9000}}
	d := PlanOrders(v)
	require.NotEmpty(t, d.Orders)
	require.Equal(t, "m2", d.Orders[0].Order.Model)
	require.Equal(t, "b", d.Orders[0].EngineID)
}

// Guards against answering every request late under a load that is too large: a load for a request that can still be on time
// goes before one for a request that is late.
func TestOnTimeGoesBeforeLate(t *testing.T) {
	v := view(Engine{ID: "a", ModelsOnDisk: []string{"m1", "m2"}})
	v.EngineSpec.MemoryMB = 80
	v.Demand = []Demand{{Model: "m1", WaitingRequests: 1, LongestWait: 5 * time.Second}, {Model: "m2", WaitingRequests: 1, OnTimeRequests: 1, LongestWait: time.Second}}
	d := PlanOrders(v)
	require.NotEmpty(t, d.Orders)
	require.Equal(t, "m2", d.Orders[0].Order.Model)
	v.Demand[0].LongestWait = 11 * time.Second
	require.Equal(t, "m1", PlanOrders(v).Orders[0].Order.Model, "a request that has waited for long is not forgotten")
}

// Guards against unloading the last replica of a model that was busy a moment ago for one that never was, since demand moves
// among the same models.
func TestKeepsFormerlyBusyModels(t *testing.T) {
	v := view(Engine{ID: "a", LoadedModels: held("m1", "m2"), ModelsOnDisk: []string{"m4"}})
	v.MaxStoreLoads = 0
	v.FormerlyBusyModels = map[string]bool{"m1": true}
	v.Demand = []Demand{{Model: "m4", WaitingRequests: 1, OnTimeRequests: 1}}
	d := PlanOrders(v)
	require.Len(t, d.Orders, 1)
	require.Equal(t, afengine.Order{IsUnload: true, Model: "m2"}, d.Orders[0].Order)
}

// Guards against spending the time before the first requests: models that only one disk has are copied then.
func TestCopiesBeforeRequestsCome(t *testing.T) {
	v := view()
	for i := range 4 {
		v.Engines = append(v.Engines, Engine{ID: fmt.Sprint("e", i)})
	}
	for i := range 12 {
		v.Engines[i%4].ModelsOnDisk = append(v.Engines[i%4].ModelsOnDisk, name(i))
	}
	d := PlanOrders(v)
	require.NotEmpty(t, d.Orders)
	require.Equal(t, ReasonDiskCopy, d.Orders[0].Reason)
	v.Demand = []Demand{{Model: "m9", RequestRate: 1}}
	for _, s := range PlanOrders(v).Orders {
		require.NotEqual(t, ReasonDiskCopy, s.Reason, "while requests come the engines stay free for them")
	}
}

// Guards against closing every replica of a busy model at once to make room for rare ones.
func TestClosesOneSurplusReplica(t *testing.T) {
	v := view()
	running := map[string]int{"m1": 5, "m2": 4}
	for _, id := range []string{"a", "b", "c"} {
		v.Engines = append(v.Engines, Engine{ID: id, LoadedModels: held("m1", "m2"), RunningRequests: running, ModelsOnDisk: []string{"m4", "m5", "m7"}})
	}
	v.Demand = []Demand{
		{Model: "m1", RequestRate: 6, PromptTokenRate: 6000},
		{Model: "m2", RequestRate: 6, PromptTokenRate: 6000},
		{Model: "m4", WaitingRequests: 1, LongestWait: time.Second},
		{Model: "m5", WaitingRequests: 1},
		{Model: "m7", WaitingRequests: 1},
	}
	closing := map[string]int{}
	for range 3 { // The holder decides again while the replicas run out.
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

// fleet is a set of engines that carry out orders, some of them late.
type fleet struct {
	v    Snapshot
	late []PlannedOrder
}

// carry carries out an order as an engine does: only at the expected count and while no other one is in progress.
func (f *fleet) carry(s PlannedOrder) {
	i := slices.IndexFunc(f.v.Engines, func(e Engine) bool { return e.ID == s.EngineID })
	e := &f.v.Engines[i]
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

func (f *fleet) check(t *rapid.T) {
	for _, e := range f.v.Engines {
		used, adapters := 0.0, 0
		for _, h := range e.LoadedModels {
			m := f.v.EngineSpec.Models[h.Model]
			used += m.SizeMB + float64(len(h.Adapters))*m.AdapterSizeMB
			adapters += len(h.Adapters)
		}
		if e.LoadingModel != "" {
			used += f.v.EngineSpec.Models[e.LoadingModel].SizeMB
		}
		require.LessOrEqual(t, used, f.v.EngineSpec.MemoryMB, "engine %s", e.ID)
		require.LessOrEqual(t, adapters, f.v.EngineSpec.AdapterSlots, "engine %s", e.ID)
	}
}

// Guards against an engine that is ordered to hold more than its memory or its adapter slots, also when orders are
// carried out late or twice.
func TestNeverOvercommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{v: view()}
		for i := range 4 {
			f.v.Engines = append(f.v.Engines, Engine{ID: fmt.Sprint("e", i)})
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			f.v.Demand = nil
			for i := range 12 {
				d := Demand{Model: name(i), WaitingRequests: rapid.IntRange(0, 2).Draw(t, "waiting"), RequestRate: float64(rapid.IntRange(0, 3).Draw(t, "rate"))}
				if i%3 == 0 && rapid.Bool().Draw(t, "adapter") {
					d.Adapter = "a" + strconv.Itoa(rapid.IntRange(1, 8).Draw(t, "which"))
				}
				f.v.Demand = append(f.v.Demand, d)
			}
			for _, s := range PlanOrders(f.v).Orders {
				switch rapid.IntRange(0, 4).Draw(t, "fate") {
				case 0:
					f.late = append(f.late, s)
				case 1:
					f.carry(s)
					f.late = append(f.late, s)
				default:
					f.carry(s)
				}
				f.check(t)
			}
			for i := range f.v.Engines {
				e := &f.v.Engines[i]
				if e.IsExecutingOrder && rapid.Bool().Draw(t, "done") {
					e.LoadedModels = append(slices.Clone(e.LoadedModels), afengine.LoadedModel{Model: e.LoadingModel})
					e.IsExecutingOrder, e.LoadingModel, e.TimeUntilFree = false, "", 0
				}
			}
			if len(f.late) > 0 && rapid.Bool().Draw(t, "late") {
				f.carry(f.late[0])
				f.late = f.late[1:]
				f.check(t)
			}
		}
	})
}

// Guards against models that were asked for once and then keep their engine: requests for other models on its disk waited for
// seconds, while the engine was idle.
func TestFewRequestsKeepNoReplica(t *testing.T) {
	once := func(model string) Demand { return Demand{Model: model, RequestRate: 0.25, PromptTokenRate: 400} }
	v := view(Engine{ID: "a", LoadedModels: held("m1", "m2"), ModelsOnDisk: []string{"m1", "m2", "m4"}})
	v.MaxStoreLoads = 0
	v.Demand = []Demand{once("m1"), once("m2"), {Model: "m4", WaitingRequests: 1, OnTimeRequests: 1, RequestRate: 0.25, PromptTokenRate: 400}}
	d := PlanOrders(v)
	require.Len(t, d.Orders, 1)
	require.Equal(t, afengine.Order{IsUnload: true, Model: "m1"}, d.Orders[0].Order)
	require.Equal(t, "m4", d.Orders[0].MakesRoomFor)
}

// Guards against loads from the weight store of models that lie on a disk whose engine holds models that were asked for once.
func TestFewRequestsLeaveTheDiskUsable(t *testing.T) {
	v := view(Engine{ID: "a", LoadedModels: held("m1", "m2"), ModelsOnDisk: []string{"m1", "m2", "m4"}}, Engine{ID: "b"})
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
