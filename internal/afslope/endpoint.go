package afslope

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afcontrol"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/afplacement"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

// measureEndpoints measures the owner of a placement shard for each number of endpoints, without and with models.
func measureEndpoints(ctx context.Context, w io.Writer, cfg Config) error {
	_, _ = fmt.Fprintln(w, "endpoints: the owner of one shard, with the stand-ins' side of each poll included")
	_, _ = fmt.Fprintf(w, "%10s %8s %12s %12s %14s %14s %14s %12s\n",
		"endpoints", "models", "core %", "polls/s", "platform w/s", "platform r/s", "table bytes", "memory KB")
	for _, models := range []int{0, loadedModelsPerEndpoint} {
		for _, n := range cfg.EndpointCounts {
			if err := measureShard(ctx, w, n, models, cfg); err != nil {
				return err
			}
		}
	}
	return nil
}

// measureShard measures the owner of one shard with n endpoints and models on each, and prints a table line.
func measureShard(ctx context.Context, w io.Writer, n, models int, cfg Config) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sh, err := startShard(ctx, n, models)
	if err != nil {
		return err
	}
	client := &afobject.Client{BaseURL: "http://" + sh.platformAddress}
	timer := &aftimer.Service{}
	heapBefore := liveHeapBytes()
	controlService := sh.newControlService("vm-0", timer, client, []arbutusfork.VM{{Name: "vm-0"}})
	go timer.Run(ctx)
	go controlService.Run(ctx)
	for i := range n * models {
		controlService.SetRunningRequests(modelName(i), 1)
	}
	if err := sleepContext(ctx, cfg.WarmUpDuration); err != nil {
		return err
	}
	heapGrowth := liveHeapBytes() - heapBefore
	polls, reads, writes := sh.statusPolls.Load(), client.ReadCount.Load(), client.WriteCount.Load()
	cpuTimeBefore, start := processCPUTime(), time.Now()
	if err := sleepContext(ctx, cfg.MeasuringDuration); err != nil {
		return err
	}
	seconds := time.Since(start).Seconds()
	partSize, err := routingPartBytes(controlService)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "%10d %8d %12.3f %12.1f %14.2f %14.2f %14d %12.0f\n",
		n, len(controlService.RoutingTable().Models()), (processCPUTime()-cpuTimeBefore).Seconds()/seconds*100, float64(sh.statusPolls.Load()-polls)/seconds,
		float64(client.WriteCount.Load()-writes)/seconds, float64(client.ReadCount.Load()-reads)/seconds, partSize, float64(heapGrowth)/1000)
	runtime.KeepAlive(controlService)
	return nil
}

// startServer starts an HTTP server on a free loopback port until ctx ends.
func startServer(ctx context.Context, h http.Handler) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", &Error{Op: "listen", Kind: OperationFailed, Err: err}
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }() // Serve always fails once the server is closed.
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return l.Addr().String(), nil
}

// routingPartBytes returns the encoded size of the shard's part of the routing table.
func routingPartBytes(s *afcontrol.Service) (int, error) {
	p, ok := s.RoutingTable().Part(afplacement.ShardName(endpointService, 0))
	if !ok {
		return 0, &Error{Op: "routing table", Kind: OperationFailed}
	}
	b, err := p.Encode()
	return len(b), err
}
