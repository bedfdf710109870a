package afslope

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"time"

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
	modelsEach = 8
)

type statusAnswer struct {
	Memory int64 `json:"memory"`
}

// runners is a stand-in for all endpoints of one shard.
type runners struct {
	polls atomic.Int64
	bytes atomic.Int64
}

func (r *runners) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	r.polls.Add(1)
	b, err := json.Marshal(statusAnswer{Memory: 80000})
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	n, _ := w.Write(b) // A poll that hung up is polled again.
	r.bytes.Add(int64(n))
}

func measureEndpoints(ctx context.Context, w io.Writer, cfg Config) error {
	_, _ = fmt.Fprintln(w, "endpoints: the owner of one shard, with the stand-ins' side of each poll included")
	_, _ = fmt.Fprintf(w, "%10s %12s %12s %14s %14s %14s %12s\n",
		"endpoints", "core %", "polls/s", "platform w/s", "platform r/s", "table bytes", "memory KB")
	for _, n := range cfg.Endpoints {
		if err := measureShard(ctx, w, n, cfg); err != nil {
			return err
		}
	}
	return nil
}

func measureShard(ctx context.Context, w io.Writer, n int, cfg Config) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	platform := &afstandin.Platform{}
	platformAddress, err := serve(ctx, platform.Handler())
	if err != nil {
		return err
	}
	all := &runners{}
	addresses := make([]string, n)
	for i := range addresses {
		if addresses[i], err = serve(ctx, all); err != nil {
			return err
		}
	}
	snapshot, err := shardSnapshot(addresses)
	if err != nil {
		return err
	}
	client := &afobject.Client{Base: "http://" + platformAddress}
	timer := &aftimer.Service{}
	before := heapBytes()
	s := &afcontrol.Service{
		Self: arbutusfork.Incarnation{VM: "vm-0", Start: 1}, Timer: timer, Log: slog.New(slog.DiscardHandler),
		Snapshot: func() *afconfig.Snapshot { return snapshot },
		Get:      client.Get, Create: client.Create, Update: client.Update,
		Send: func(string, string, any) error { return nil },
		Call: func(context.Context, string, string, any, any) error {
			return &Error{Op: "call", Kind: Failed}
		},
		Members: func() []arbutusfork.VM { return []arbutusfork.VM{{Name: "vm-0"}} },
		Gone:    func(arbutusfork.Incarnation) bool { return false },
		HTTP:    &http.Client{},
	}
	go timer.Run(ctx)
	go s.Run(ctx)
	if err := rest(ctx, cfg.Warm); err != nil {
		return err
	}
	memory := heapBytes() - before
	polls, reads, writes := all.polls.Load(), client.Reads.Load(), client.Writes.Load()
	processor, start := processorTime(), time.Now()
	if err := rest(ctx, cfg.Span); err != nil {
		return err
	}
	span := time.Since(start).Seconds()
	table, err := partBytes(n)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "%10d %12.3f %12.1f %14.2f %14.2f %14d %12.0f\n",
		n, (processorTime()-processor).Seconds()/span*100, float64(all.polls.Load()-polls)/span,
		float64(client.Writes.Load()-writes)/span, float64(client.Reads.Load()-reads)/span, table, float64(memory)/1000)
	runtime.KeepAlive(s)
	return nil
}

// serve runs a handler on a loopback address until ctx ends.
func serve(ctx context.Context, h http.Handler) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", &Error{Op: "listen", Kind: Failed, Err: err}
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }() // Serve always fails once the server is closed.
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return l.Addr().String(), nil
}

// shardSnapshot returns a configuration with one endpoint at each address.
func shardSnapshot(addresses []string) (*afconfig.Snapshot, error) {
	version := int64(0)
	var objects []afobject.Object
	add := func(kind, name string, v any) error {
		b, err := json.Marshal(v)
		version++
		objects = append(objects, afobject.Object{Kind: kind, Name: name, Version: version, Spec: b})
		return err
	}
	if err := add(afobject.Services, endpointService, arbutusfork.Service{Name: endpointService}); err != nil {
		return nil, err
	}
	for i, address := range addresses {
		name := fmt.Sprintf("runner-%d", i)
		e := arbutusfork.Endpoint{Name: name, Service: endpointService, Address: address, Memory: 80000, Slots: 24, Fenced: true}
		if err := add(afobject.Endpoints, name, e); err != nil {
			return nil, err
		}
	}
	return new(afconfig.Snapshot).With(version, objects...)
}

// partBytes returns the size of the routing table of n endpoints, each with modelsEach models shared by 6 VMs.
func partBytes(n int) (int, error) {
	var p afplacement.Part
	credits := map[string]int{"vm-1": 4, "vm-2": 4, "vm-3": 4, "vm-4": 4, "vm-5": 4, "vm-6": 4}
	for i := range n * modelsEach {
		p.Replicas = append(p.Replicas, afplacement.Replica{
			Model: fmt.Sprintf("model-%d:adapter-%d", i%180, i), Endpoint: fmt.Sprintf("runner-%d", i%n),
			Address: "127.0.0.1:9100", Centre: "centre-1", Slots: 24, Credits: credits,
		})
	}
	b, err := p.Encode()
	return len(b), err
}
