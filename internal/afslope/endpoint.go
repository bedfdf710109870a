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

func measureEndpoints(ctx context.Context, w io.Writer, cfg Config) error {
	_, _ = fmt.Fprintln(w, "endpoints: the owner of one shard, with the stand-ins' side of each poll included")
	_, _ = fmt.Fprintf(w, "%10s %8s %12s %12s %14s %14s %14s %12s\n",
		"endpoints", "models", "core %", "polls/s", "platform w/s", "platform r/s", "table bytes", "memory KB")
	for _, models := range []int{0, modelsEach} {
		for _, n := range cfg.EndpointCounts {
			if err := measureShard(ctx, w, n, models, cfg); err != nil {
				return err
			}
		}
	}
	return nil
}

func measureShard(ctx context.Context, w io.Writer, n, models int, cfg Config) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sh, err := startShard(ctx, n, models)
	if err != nil {
		return err
	}
	client := &afobject.Client{BaseURL: "http://" + sh.address}
	timer := &aftimer.Service{}
	before := heapBytes()
	s := sh.service("vm-0", timer, client, []arbutusfork.VM{{Name: "vm-0"}})
	go timer.Run(ctx)
	go s.Run(ctx)
	for i := range n * models {
		s.SetRunningRequests(modelName(i), 1)
	}
	if err := rest(ctx, cfg.WarmUpDuration); err != nil {
		return err
	}
	memory := heapBytes() - before
	polls, reads, writes := sh.polls.Load(), client.ReadCount.Load(), client.WriteCount.Load()
	processor, start := processorTime(), time.Now()
	if err := rest(ctx, cfg.MeasuringDuration); err != nil {
		return err
	}
	span := time.Since(start).Seconds()
	table, err := partBytes(s)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "%10d %8d %12.3f %12.1f %14.2f %14.2f %14d %12.0f\n",
		n, len(s.RoutingTable().Models()), (processorTime()-processor).Seconds()/span*100, float64(sh.polls.Load()-polls)/span,
		float64(client.WriteCount.Load()-writes)/span, float64(client.ReadCount.Load()-reads)/span, table, float64(memory)/1000)
	runtime.KeepAlive(s)
	return nil
}

// serve runs a handler on a loopback address until ctx ends.
func serve(ctx context.Context, h http.Handler) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", &Error{Op: "listen", Kind: OperationFailed, Err: err}
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }() // Serve always fails once the server is closed.
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return l.Addr().String(), nil
}

// partBytes returns the size of the part of the routing table that the owner holds.
func partBytes(s *afcontrol.Service) (int, error) {
	p, ok := s.RoutingTable().Part(afplacement.ShardName(endpointService, 0))
	if !ok {
		return 0, &Error{Op: "routing table", Kind: OperationFailed}
	}
	b, err := p.Encode()
	return len(b), err
}
