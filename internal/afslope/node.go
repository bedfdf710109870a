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

// centreCount is the number of data centres among which the measured nodes are divided.
const centreCount = 6

// node holds the control services of one VM: links to other VMs, membership and configuration.
type node struct {
	client     *afobject.Client
	peers      *afpeer.Service
	configSync *afsync.Service
}

// fleet holds nodes and the stand-in of the platform, all in this process.
type fleet struct {
	platform   afstandin.Platform
	nodes      []*node
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// platformVM is an entry of the platform's list of VMs.
type platformVM struct {
	Address    string `json:"address"`
	Datacentre string `json:"datacentre"`
	State      string `json:"state"`
}

// startFleet starts n nodes and puts them on the platform's list of VMs.
func startFleet(ctx context.Context, n int) (*fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	f := &fleet{cancel: cancel}
	platform, err := startServer(ctx, f.platform.Handler())
	if err != nil {
		cancel()
		return nil, err
	}
	timer := &aftimer.Service{}
	f.goroutines.Go(func() { timer.Run(ctx) })
	for i := range n {
		name, centre := fmt.Sprintf("vm-%d", i), fmt.Sprintf("centre-%d", i%centreCount)
		nd := f.newNode(name, centre, "http://"+platform, timer)
		f.nodes = append(f.nodes, nd)
		f.goroutines.Go(func() { _ = nd.peers.Run(ctx) }) // A failed listener shows in the table as missing traffic.
		<-nd.peers.Ready()
		f.goroutines.Go(func() { _ = nd.configSync.Run(ctx) })
		vm := platformVM{Address: nd.peers.Membership().PossiblyAliveVMs()[0].Address, Datacentre: centre, State: "live"}
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

// newNode returns a node that listens on a free loopback port. The caller starts its services.
func (f *fleet) newNode(name, centre, platform string, timer *aftimer.Service) *node {
	self := arbutusfork.Incarnation{VM: name, StartID: 1}
	discard := slog.New(slog.DiscardHandler)
	nd := &node{client: &afobject.Client{BaseURL: platform}}
	nd.peers = &afpeer.Service{Self: self, ListenAddress: "127.0.0.1:0", Centre: centre, Timer: timer, Log: discard}
	nd.configSync = &afsync.Service{Self: self, Client: nd.client, Timer: timer, Log: discard}
	nd.configSync.ConnectPeers(nd.peers)
	return nd
}

// stop stops all nodes and waits for their goroutines.
func (f *fleet) stop() {
	f.cancel()
	f.goroutines.Wait()
}

// nodeUsage is the mean resource usage of one node of a fleet.
type nodeUsage struct {
	cpuShare                                        float64 // fraction of one core
	sentBytesPerSecond                              float64
	sentMessagesPerSecond                           float64
	platformReadsPerSecond, platformWritesPerSecond float64 // requests to the platform
	openWatches                                     float64 // open watch requests at the platform
	heapBytes                                       int64
}

// sumCounters returns the sums of the nodes' counters of sent bytes and messages and of reads and writes at the platform.
func (f *fleet) sumCounters() (bytes, messages, reads, writes int64) {
	for _, nd := range f.nodes {
		s := nd.peers.Stats()
		bytes, messages = bytes+s.BytesSent, messages+s.MessagesSent
		reads, writes = reads+nd.client.ReadCount.Load(), writes+nd.client.WriteCount.Load()
	}
	return bytes, messages, reads, writes
}

// measureFleet runs an idle fleet of n nodes and returns the mean resource usage of a node.
func measureFleet(ctx context.Context, n int, cfg Config) (nodeUsage, error) {
	heapBefore := liveHeapBytes()
	f, err := startFleet(ctx, n)
	if err != nil {
		return nodeUsage{}, err
	}
	defer f.stop()
	if err := sleepContext(ctx, cfg.WarmUpDuration); err != nil {
		return nodeUsage{}, err
	}
	bytes, messages, reads, writes := f.sumCounters()
	cpuTime, start := processCPUTime(), time.Now()
	if err := sleepContext(ctx, cfg.MeasuringDuration); err != nil {
		return nodeUsage{}, err
	}
	cpuTime, duration := processCPUTime()-cpuTime, time.Since(start)
	bytesAfter, messagesAfter, readsAfter, writesAfter := f.sumCounters()
	nodeSeconds := duration.Seconds() * float64(n)
	return nodeUsage{
		cpuShare:                cpuTime.Seconds() / nodeSeconds,
		sentBytesPerSecond:      float64(bytesAfter-bytes) / nodeSeconds,
		sentMessagesPerSecond:   float64(messagesAfter-messages) / nodeSeconds,
		platformReadsPerSecond:  float64(readsAfter-reads) / nodeSeconds,
		platformWritesPerSecond: float64(writesAfter-writes) / nodeSeconds,
		openWatches:             float64(f.platform.Counts().OpenWatches) / float64(n),
		heapBytes:               (liveHeapBytes() - heapBefore) / int64(n),
	}, nil
}

// measureNodes measures one node of an idle fleet for each number of nodes.
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
			n, c.cpuShare*100, c.sentBytesPerSecond/1000, c.sentMessagesPerSecond, c.platformReadsPerSecond, c.openWatches, float64(c.heapBytes)/1000)
	}
	return nil
}

// sleepContext waits for d and returns an error if ctx ends first.
func sleepContext(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
