package afslope

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afpeer"
	"arbutusfork.example/arbutusfork/internal/afstandin"
	"arbutusfork.example/arbutusfork/internal/afsync"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

// centres is the number of data centres over which the measured nodes are spread.
const centres = 6

// node is the control part of one VM: links to other VMs, membership and configuration.
type node struct {
	client *afobject.Client
	peers  *afpeer.Service
	sync   *afsync.Service
}

// fleet is a number of nodes and the platform stand-in, all in this process.
type fleet struct {
	platform afstandin.Platform
	nodes    []*node
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

// wireVM is an entry of the platform's list.
type wireVM struct {
	Address    string `json:"address"`
	Datacentre string `json:"datacentre"`
	State      string `json:"state"`
}

func startFleet(ctx context.Context, n int) (*fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	f := &fleet{cancel: cancel}
	platform, err := serve(ctx, f.platform.Handler())
	if err != nil {
		cancel()
		return nil, err
	}
	timer := &aftimer.Service{}
	f.done.Go(func() { timer.Run(ctx) })
	for i := range n {
		name, centre := fmt.Sprintf("vm-%d", i), fmt.Sprintf("centre-%d", i%centres)
		nd := f.newNode(name, centre, "http://"+platform, timer)
		f.nodes = append(f.nodes, nd)
		f.done.Go(func() { _ = nd.peers.Run(ctx) }) // A listener that failed shows as a node without traffic.
		<-nd.peers.Ready()
		f.done.Go(func() { _ = nd.sync.Run(ctx) })
		vm := wireVM{Address: nd.peers.Membership().PossiblyAliveVMs()[0].Address, Datacentre: centre, State: "live"}
		for _, self := range nd.peers.Membership().PossiblyAliveVMs() {
			if self.Name == name {
				vm.Address = self.Address
			}
		}
		if _, err := f.platform.PutObject(afobject.KindVMs, name, vm); err != nil {
			f.stop()
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) newNode(name, centre, platform string, timer *aftimer.Service) *node {
	self := arbutusfork.Incarnation{VM: name, StartID: 1}
	discard := slog.New(slog.DiscardHandler)
	nd := &node{client: &afobject.Client{BaseURL: platform}}
	nd.peers = &afpeer.Service{Self: self, ListenAddress: "127.0.0.1:0", Centre: centre, Timer: timer, Log: discard}
	nd.sync = &afsync.Service{Self: self, Client: nd.client, Timer: timer, Log: discard}
	nd.sync.ConnectPeers(nd.peers)
	return nd
}

func (f *fleet) stop() {
	f.cancel()
	f.done.Wait()
}

// nodeCost is what one node spends, as the mean over a fleet.
type nodeCost struct {
	processor     float64 // processor is the share of one core.
	bytes         float64 // bytes are sent per second.
	messages      float64 // messages are sent per second.
	reads, writes float64 // reads and writes of the platform per second.
	watches       float64 // watches wait at the platform.
	memory        int64
}

func (f *fleet) totals() (bytes, messages, reads, writes int64) {
	for _, nd := range f.nodes {
		s := nd.peers.Stats()
		bytes, messages = bytes+s.BytesSent, messages+s.MessagesSent
		reads, writes = reads+nd.client.ReadCount.Load(), writes+nd.client.WriteCount.Load()
	}
	return bytes, messages, reads, writes
}

func measureFleet(ctx context.Context, n int, cfg Config) (nodeCost, error) {
	before := heapBytes()
	f, err := startFleet(ctx, n)
	if err != nil {
		return nodeCost{}, err
	}
	defer f.stop()
	if err := rest(ctx, cfg.WarmUpDuration); err != nil {
		return nodeCost{}, err
	}
	bytes, messages, reads, writes := f.totals()
	processor, start := processorTime(), time.Now()
	if err := rest(ctx, cfg.MeasuringDuration); err != nil {
		return nodeCost{}, err
	}
	processor, span := processorTime()-processor, time.Since(start)
	bytes1, messages1, reads1, writes1 := f.totals()
	each := span.Seconds() * float64(n)
	return nodeCost{
		processor: processor.Seconds() / each,
		bytes:     float64(bytes1-bytes) / each,
		messages:  float64(messages1-messages) / each,
		reads:     float64(reads1-reads) / each,
		writes:    float64(writes1-writes) / each,
		watches:   float64(f.platform.Counts().OpenWatches) / float64(n),
		memory:    (heapBytes() - before) / int64(n),
	}, nil
}

func measureNodes(ctx context.Context, w io.Writer, cfg Config) error {
	_, _ = fmt.Fprintln(w, "nodes: links, heartbeats, membership and configuration of one node in an idle fleet")
	_, _ = fmt.Fprintf(w, "%8s %12s %12s %12s %14s %12s %12s\n",
		"nodes", "core %", "sent KB/s", "messages/s", "platform r/s", "watches", "memory KB")
	for _, n := range cfg.NodeCounts {
		c, err := measureFleet(ctx, n, cfg)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(w, "%8d %12.3f %12.2f %12.1f %14.2f %12.2f %12.0f\n",
			n, c.processor*100, c.bytes/1000, c.messages, c.reads, c.watches, float64(c.memory)/1000)
	}
	return nil
}

// rest waits for d or until ctx ends.
func rest(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
