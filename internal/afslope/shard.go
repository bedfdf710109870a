package afslope

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"sync/atomic"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afcontrol"
	"arbutusfork.example/arbutusfork/internal/afstandin"
	"arbutusfork.example/arbutusfork/pkg/afconfig"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/afplacement"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

const (
	endpointService = "runners"
	// loadedModelsPerEndpoint is the number of models loaded at each endpoint in measurements with models.
	loadedModelsPerEndpoint = 8
	modelMemoryMB           = 1000
)

// shard is one placement shard with the stand-ins of its endpoints and of the platform.
type shard struct {
	endpointCount, modelsPerEndpoint int
	platform                         afstandin.Platform
	platformAddress                  string
	snapshot                         *afconfig.Snapshot
	statusPolls                      atomic.Int64
}

func modelName(i int) string { return fmt.Sprintf("model-%d", i) }

// startShard starts the stand-ins of n endpoints, each with the given number of models loaded, and stores the shard's
// record with these models at the platform.
func startShard(ctx context.Context, n, models int) (*shard, error) {
	sh := &shard{endpointCount: n, modelsPerEndpoint: models}
	var err error
	if sh.platformAddress, err = startServer(ctx, sh.platform.Handler()); err != nil {
		return nil, err
	}
	addresses := make([]string, n)
	record := afplacement.Record{Fence: 1, LeaseTermMillis: afplacement.LeaseTerm.Milliseconds(), NextOrderID: 1}
	for i := range addresses {
		status := afplacement.EndpointStatus{Memory: 80000, Cache: afplacement.Cache{}}
		for k := range models {
			a := afplacement.Assignment{
				Endpoint: endpointName(i), Model: modelName(k*n + i), Memory: modelMemoryMB, State: afplacement.AssignmentLoaded,
			}
			record.Assignments = append(record.Assignments, a)
			status.Models = append(status.Models, afplacement.ModelStatus{Name: a.Model, State: "loaded", Memory: a.Memory})
		}
		body, err := json.Marshal(status)
		if err != nil {
			return nil, &Error{Op: "status", Kind: OperationFailed, Err: err}
		}
		addresses[i], err = startServer(ctx, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			sh.statusPolls.Add(1)
			_, _ = w.Write(body) // The service repeats a poll whose connection breaks.
		}))
		if err != nil {
			return nil, err
		}
	}
	if sh.snapshot, err = shardSnapshot(addresses, n*models); err != nil {
		return nil, err
	}
	if models > 0 {
		_, err = sh.platform.PutObject(afobject.KindShards, afplacement.ShardName(endpointService, 0), record)
	}
	return sh, err
}

func endpointName(i int) string { return fmt.Sprintf("runner-%d", i) }

// newControlService returns the control service of the named VM, which uses the shard's stand-in of the platform.
func (sh *shard) newControlService(name string, timer *aftimer.Service, client *afobject.Client, members []arbutusfork.VM) *afcontrol.Service {
	return &afcontrol.Service{
		Self: arbutusfork.Incarnation{VM: name, StartID: 1}, Timer: timer, Log: slog.New(slog.DiscardHandler),
		Snapshot:  func() *afconfig.Snapshot { return sh.snapshot },
		GetObject: client.Get, CreateObject: client.Create, UpdateObject: client.Update,
		SendToVM: func(string, string, any) error { return nil },
		CallVM: func(context.Context, string, string, any, any) error {
			return &Error{Op: "call", Kind: OperationFailed}
		},
		LiveVMs:    func() []arbutusfork.VM { return members },
		IsGone:     func(arbutusfork.Incarnation) bool { return false },
		HTTPClient: &http.Client{},
	}
}

// shardSnapshot returns a configuration snapshot with one endpoint at each address and the given number of models.
func shardSnapshot(addresses []string, models int) (*afconfig.Snapshot, error) {
	version := int64(0)
	var objects []afobject.Object
	add := func(kind, name string, v any) error {
		b, err := json.Marshal(v)
		version++
		objects = append(objects, afobject.Object{Kind: kind, Name: name, Version: version, Spec: b})
		return err
	}
	if err := add(afobject.KindServices, endpointService, arbutusfork.Service{Name: endpointService}); err != nil {
		return nil, err
	}
	for i, address := range addresses {
		name := endpointName(i)
		e := arbutusfork.Endpoint{Name: name, Service: endpointService, Address: address, MemoryMB: 80000, Slots: 24, EnforcesFence: true}
		if err := add(afobject.KindEndpoints, name, e); err != nil {
			return nil, err
		}
	}
	for i := range models {
		name := modelName(i)
		m := arbutusfork.Model{Name: name, Service: endpointService, MemoryMB: modelMemoryMB, StoreLoadMillis: 60000, DiskLoadMillis: 20000, MemoryLoadMillis: 5000}
		if err := add(afobject.KindModels, name, m); err != nil {
			return nil, err
		}
	}
	return new(afconfig.Snapshot).WithObjects(version, objects...)
}
