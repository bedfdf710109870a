package afkeeper

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/internal/afroster"
	"arbutusfork.example/arbutusfork/pkg/afassign"
	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/aflease"
	"arbutusfork.example/arbutusfork/pkg/afroute"
)

// Guards against a busy model without a serving engine: the unload of one of its replicas is unanswered because the engine is silent,
// and the next plan unloads the other one.
func TestUnansweredUnloadIsNoServingReplica(t *testing.T) {
	for name, end := range map[string]func(s *Service, ended chan struct{}){
		"under way": func(*Service, chan struct{}) {},
		"unclear":   func(s *Service, ended chan struct{}) { close(ended); s.handleOrderResult(<-s.orderResults) },
	} {
		t.Run(name, func(t *testing.T) {
			boot := time.Minute
			s := newHolderTestService(t, "a", &boot)
			model := func(name string) afroute.Model {
				return afroute.Model{Name: name, SizeMB: 70, StoreLoadTime: 6 * time.Second, DiskLoadTime: time.Second}
			}
			table := afroute.NewTable(1, afroute.Limits{}, nil, []afroute.Service{{Name: "llm", Engine: &afroute.EngineSpec{
				Slots: 64, MemoryMB: 80, LoadsPerSecond: 2, Models: map[string]afroute.Model{"m1": model("m1"), "m4": model("m4"), "m5": model("m5")},
			}}}, nil, nil)
			s.Table = func() *afroute.Table { return table }
			s.Roster = &afroster.Roster{Now: s.Timer.Now}
			demand := []afassign.Demand{{Model: "m1", RequestRate: 1}, {Model: "m4", WaitingRequests: 6}}
			s.OwnDemand = func() []afassign.Demand { return demand }
			ended := make(chan struct{})
			unloaded := make(chan string, 2)
			s.SendOrder = func(_ context.Context, e afengine.EndpointEntry, _ string, _ int64, order afengine.Order) afengine.Result {
				if order.IsUnload && order.Model == "m1" {
					unloaded <- e.ID
				}
				<-ended
				return afengine.ResultUnclear
			}
			s.lease = s.lease.WithWrittenRecord(aflease.Record{Holder: s.Self.String(), Machine: "a", Epoch: 1}, 1, boot, boot)
			loading := &engineState{loadingModel: "m1", loadEndsAt: s.Timer.Now().Add(6 * time.Second)}
			s.engines = map[string]*engineState{"i-1": {}, "i-2": {}, "i-3": loading}
			for id, es := range s.engines {
				entry := afengine.EndpointEntry{ID: id, Service: "llm", StartUnixMs: 1}
				s.Roster.PutEntry(entry)
				es.entry, es.isReportKnown, es.reportRequestedAt = entry, true, s.Timer.Now()
				es.report = afengine.Report{StartUnixMs: 1, ModelsOnDisk: []string{"m4", "m5"}}
				if es != loading {
					es.report.Models = []afengine.LoadedModel{{Model: "m1"}}
				}
			}
			s.planOrders(t.Context(), s.lease.Epoch())
			first := <-unloaded
			end(s, ended)
			demand = append(demand, afassign.Demand{Model: "m5", WaitingRequests: 6})
			s.planOrders(t.Context(), s.lease.Epoch())
			for id, es := range s.engines {
				require.Equal(t, id == first && name == "under way", es.isOrderPending, "engine %s", id)
			}
		})
	}
}
