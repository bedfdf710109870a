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
	// modelsEach is the number of models loaded at each endpoint.
	modelsEach  = 8
	modelMemory = 1000
)

// shard is one placement shard with its endpoints' stand-ins and the platform's.
type shard struct {
	endpoints, models int
	platform          afstandin.Platform
	address           string
	snapshot          *afconfig.Snapshot
	polls             atomic.Int64
}

func modelName(i int) string { return fmt.Sprintf("model-%d", i) }

// startShard starts the stand-ins of n endpoints, each with that many models loaded and recorded.
func startShard(ctx context.Context, n, models int) (*shard, error) {
	sh := &shard{endpoints: n, models: models}
	var err error
	if sh.address, err = serve(ctx, sh.platform.Handler()); err != nil {
		return nil, err
	}
	addresses := make([]string, n)
	record := afplacement.Record{Fence: 1, LeaseTermMillis: afplacement.LeaseTerm.Milliseconds(), NextOrderID: 1}
	for i := range addresses {
		status := afplacement.EndpointStatus{Memory: 80000, Cache: afplacement.Cache{}}
		for k := range models {
			a := afplacement.Assignment{
				Endpoint: endpointName(i), Model: modelName(k*n + i), Memory: modelMemory, State: afplacement.AssignmentLoaded,
			}
			record.Assignments = append(record.Assignments, a)
			status.Models = append(status.Models, afplacement.ModelStatus{Name: a.Model, State: "loaded", Memory: a.Memory})
		}
		body, err := json.Marshal(status)
		if err != nil {
			return nil, &Error{Op: "status", Kind: OperationFailed, Err: err}
		}
		addresses[i], err = serve(ctx, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			sh.polls.Add(1)
			_, _ = w.Write(body) // A poll that hung up is polled again.
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

// service returns a VM's control service that shares the platform's stand-in.
func (sh *shard) service(name string, timer *aftimer.Service, client *afobject.Client, members []arbutusfork.VM) *afcontrol.Service {
	return &afcontrol.Service{
		Self: arbutusfork.Incarnation{VM: name, StartID: 1}, Timer: timer, Log: slog.New(slog.DiscardHandler),
		Snapshot:  func() *afconfig.Snapshot { return sh.snapshot },
		GetObject: client.Get, CreateObject: client.Create, UpdateObject: client.Update,
		SendMessage: func(string, string, any) error { return nil },
		CallVM: func(context.Context, string, string, any, any) error {
			return &Error{Op: "call", Kind: OperationFailed}
		},
		Members:    func() []arbutusfork.VM { return members },
		IsGone:     func(arbutusfork.Incarnation) bool { return false },
		HTTPClient: &http.Client{},
	}
}

// shardSnapshot returns a configuration with one endpoint at each address, and models.
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
		m := arbutusfork.Model{Name: name, Service: endpointService, MemoryMB: modelMemory, StoreLoadMillis: 60000, DiskLoadMillis: 20000, MemoryLoadMillis: 5000}
		if err := add(afobject.KindModels, name, m); err != nil {
			return nil, err
		}
	}
	return new(afconfig.Snapshot).WithObjects(version, objects...)
}
