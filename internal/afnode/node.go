// Package afnode builds and runs the daemon of a VM that forwards requests by route: the gateway, the copies of the
// platform's objects, the links to the other VMs and the placement duty.
package afnode

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afentry"
	"arbutusfork.example/arbutusfork/internal/affeed"
	"arbutusfork.example/arbutusfork/internal/afgateway"
	"arbutusfork.example/arbutusfork/internal/afkeeper"
	"arbutusfork.example/arbutusfork/internal/aflog"
	"arbutusfork.example/arbutusfork/internal/afpeer"
	"arbutusfork.example/arbutusfork/internal/afroster"
	"arbutusfork.example/arbutusfork/pkg/aflease"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/afroute"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

const (
	// minProcs keeps a processor for requests while nbio's pollers hold theirs in epoll_wait.
	minProcs = 3
	// garbagePercent makes the collector keep the heap small, since memory at its peak is paid for. The heap is a few MB.
	garbagePercent = 50
	// memoryPart is the part of the VM's memory from which the collector works harder. The rest is for stacks, the kernel's
	// buffers and what grows between two collections.
	memoryPart = 0.7
	// leaseUse and the following are the lease's times. A holder that cannot renew three times stops.
	leaseUse    = 1500 * time.Millisecond
	leaseRenew  = 450 * time.Millisecond
	leaseMargin = 200 * time.Millisecond
	// storeLoads is the number of loads from the weight store at once, which it carries at full speed.
	storeLoads = 4
	// settleTime is the time between turning unready and refusing new connections. The balancer asks once a second and
	// takes a VM out after two misses.
	settleTime = 2500 * time.Millisecond
	// waitTime is how long requests may go on waiting for an endpoint after that. What is left of the grace period is for
	// those that run.
	waitTime = 1500 * time.Millisecond
	// endMargin is kept of the grace period for the last steps of the shutdown.
	endMargin = 700 * time.Millisecond
	// abortTime is for the answers to requests that did not end within the grace period.
	abortTime = 100 * time.Millisecond
	// fullLink is the bandwidth in Mbit/s from which a VM takes the placement duty without letting others go first, since
	// the holder's messages to a hundred VMs take some Mbit/s. smallHandicap is how long others go first: longer than
	// the 1.2 s by which VMs follow each other.
	fullLink      = 100
	smallHandicap = 1500 * time.Millisecond
	// callTimeout bounds a call to the platform, which answers in milliseconds.
	callTimeout = 1500 * time.Millisecond
	// reservedDescriptors are left for files, peers, endpoints and the platform.
	reservedDescriptors = 700
	idleTimeout         = 60 * time.Second
)

// Node is the daemon of one VM. Set the exported fields before Run.
type Node struct {
	Settings Settings
	Platform Platform
	// LogOutput receives the log. Nil means standard output.
	LogOutput io.Writer

	self     arbutusfork.Incarnation
	timer    *aftimer.Service
	log      *slog.Logger
	logs     *aflog.Writer
	registry *prometheus.Registry
	client   *afobject.Client
	roster   *afroster.Roster
	peers    *afpeer.Service
	keeper   *afkeeper.Service
	gateway  *afgateway.Server
	entry    *afentry.Server
	members  members
	// feeds holds the copies of the platform's objects by kind. It does not change after the start.
	feeds map[string]*affeed.Feed
	// outage is shared by them.
	outage affeed.RetryCoordinator
	wakes  chan struct{}
	// ready and metrics are bound before any part runs.
	ready, metrics net.Listener

	table atomic.Pointer[afroute.Table]
	// listedAll means that the endpoints were read from the platform once.
	listedAll atomic.Bool
	stopping  atomic.Bool

	// reloaded holds the settings that were read last. It is nil while those of the start are in force.
	reloaded atomic.Pointer[Settings]
	// refused is the fault of the settings file that was logged last. Only reload uses it.
	refused string
}

// Run serves until ctx ends and then shuts down gracefully. It fails with StartFailed.
func (n *Node) Run(ctx context.Context) error {
	runtime.GOMAXPROCS(max(runtime.GOMAXPROCS(0), minProcs))
	debug.SetGCPercent(garbagePercent)
	if n.Settings.MemoryLimitMB > 0 {
		debug.SetMemoryLimit(int64(n.Settings.MemoryLimitMB * memoryPart * (1 << 20)))
	}
	n.build()
	if err := n.listen(); err != nil {
		n.log.Error("node not started", "error", err)
		n.logs.Close()
		return &Error{Op: "listen", Kind: StartFailed, Err: err}
	}
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var wg sync.WaitGroup
	duties := n.duties()
	failed := make(chan error, len(duties))
	for _, d := range duties {
		wg.Go(func() {
			if err := d.run(run); err != nil {
				failed <- &Error{Op: d.name, Kind: StartFailed, Err: err}
			}
		})
	}
	n.log.Info("node started", "incarnation", n.self.String(), "centre", n.Settings.Centre)
	var err error
	select {
	case <-ctx.Done():
		n.shutdown(run)
	case err = <-failed:
		n.log.Error("node failed", "error", err)
	}
	cancel()
	wg.Wait()
	n.log.Info("node stopped")
	n.logs.Close()
	return err
}

// duty is one part of the node with its own goroutine.
type duty struct {
	name string
	run  func(ctx context.Context) error
}

func (n *Node) duties() []duty {
	plain := func(fn func(context.Context)) func(context.Context) error {
		return func(ctx context.Context) error {
			fn(ctx)
			return nil
		}
	}
	config, endpoints, members := n.configFeed(), n.endpointFeed(), n.memberFeed()
	return []duty{
		{"timer", plain(n.timer.Run)},
		{"peers", n.peers.Run},
		{"ready", n.serveReady},
		{"metrics", n.serveMetrics},
		{"config", plain(config.Run)},
		{"endpoints", plain(endpoints.Run)},
		{"members", plain(func(ctx context.Context) { n.runMembers(ctx, members) })},
		{"keeper", plain(n.keeper.Run)},
		{"entry", n.entry.Run},
		{"reload", plain(n.runReload)},
		{"wake", plain(n.runWakes)},
		{"cover", plain(n.runCover)},
	}
}

func (n *Node) build() {
	n.self = arbutusfork.Incarnation{VM: n.Settings.VM, Start: time.Now().UnixNano()}
	n.timer = &aftimer.Service{}
	n.wakes = make(chan struct{}, 1)
	out := n.LogOutput
	if out == nil {
		out = os.Stdout
	}
	n.logs = aflog.NewWriter(out)
	n.log = slog.New(slog.NewJSONHandler(n.logs, nil)).With("vm", n.Settings.VM)
	aflog.Route(n.log)
	n.registry = prometheus.NewRegistry()
	n.client = &afobject.Client{BaseURL: n.Settings.PlatformURL, Timeout: callTimeout, Dialect: n.Platform.Dialect, HTTPClient: platformHTTP()}
	n.roster = &afroster.Roster{Now: n.timer.Now, OnChange: n.wake}
	n.members.init()
	n.feeds = make(map[string]*affeed.Feed)
	n.peers = &afpeer.Service{
		Self: n.self, ListenAddress: n.Settings.PeerAddress, Centre: n.Settings.Centre, Timer: n.timer, Log: n.log,
	}
	n.buildGateway()
	n.buildKeeper()
	n.collect()
}

func (n *Node) buildGateway() {
	n.gateway = &afgateway.Server{
		Table: n.table.Load, Roster: n.roster, Headers: n.Platform.HeaderFormat, Timer: n.timer, Log: n.log, Centre: n.Settings.Centre,
		OnRequestWaiting: func() { n.keeper.Wake() }, VMCount: n.listed,
		FallbackShare: func() float64 { return n.keeper.FractionUsableWithoutGrants() },
		SpendBeyondGrant: func(ctx context.Context, customer string, cost int64) (time.Duration, bool) {
			return n.keeper.SpendUnits(ctx, customer, cost)
		},
		Metrics:     afgateway.NewMetrics(n.registry),
		RetryBudget: n.Settings.repeats(),
	}
	n.gateway.RegisterGauges(n.registry)
	n.entry = &afentry.Server{
		Forward: n.gateway.ServeRequest, Fresh: func() bool { return true }, Address: n.Settings.CallerAddress, Log: n.log, Timer: n.timer,
		Registry: n.registry, IdleTimeout: idleTimeout, MaxHead: 64 << 10,
	}
	if n.Settings.MaxDescriptors > 0 {
		n.entry.MaxConns = max((n.Settings.MaxDescriptors-reservedDescriptors)/2, 64)
	}
}

func (n *Node) buildKeeper() {
	n.keeper = &afkeeper.Service{
		Metrics: afkeeper.NewMetrics(n.registry),
		Self:    n.self, Machine: n.Settings.VM + "@" + n.Settings.PeerAddress, Timer: n.timer, Log: n.log, MaxStoreLoads: storeLoads, BootTime: bootTime, Table: n.table.Load,
		LeaseTiming: aflease.Timing{TTL: leaseUse, RenewInterval: leaseRenew, QuietPeriod: n.Settings.QuietPeriod, SafetyMargin: leaseMargin},
		Roster:      n.roster, GetObject: n.client.Get, CreateObject: n.client.Create, UpdateObject: n.client.Update,
		LiveVMs: n.peers.LiveMembers, ListedVMCount: n.listed, SendToVM: n.peers.Send, CallVM: n.peers.Call,
		OwnDemand: n.gateway.Demand, OwnUsage: n.gateway.Usage, ApplyGrants: n.gateway.SetGrants, ApplyLoadDelays: n.gateway.SetLoadForecast,
		FeedMarks: n.marks, CompareFeedMarks: n.compare, ApplyEndpoints: n.relist, KnowsAllEndpoints: n.listedAll.Load, TakeoverDelay: n.handicap(),
		FetchReport: n.Platform.FetchReport, SendOrder: n.Platform.SendOrder,
	}
	n.keeper.Init()
	n.peers.Handle(afkeeper.KindVMReport, n.keeper.HandleVMReport)
	n.peers.Handle(afkeeper.KindPlacementView, n.keeper.HandlePlacementView)
	n.peers.Handle(afkeeper.KindEndpointUpdate, n.keeper.HandleEndpointUpdate)
	n.peers.Handle(afkeeper.KindEndpointListRequest, n.keeper.HandleEndpointListRequest)
	n.peers.Handle(afkeeper.KindHolderStop, n.keeper.HandleHolderStop)
	n.peers.Handle(afkeeper.KindLimitGrants, n.keeper.HandleLimitGrants)
	n.peers.Handle(afkeeper.KindSpendRequest, n.keeper.HandleSpendRequest)
}

// handicap returns how long this VM lets others take the placement duty first.
func (n *Node) handicap() time.Duration {
	if n.Settings.LinkMbps > 0 && n.Settings.LinkMbps < fullLink {
		return smallHandicap
	}
	return 0
}

// wake makes waiting requests look at the endpoints again. It does not block.
func (n *Node) wake() {
	select {
	case n.wakes <- struct{}{}:
	default:
	}
}

func (n *Node) runWakes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.wakes:
			n.gateway.DispatchWaiting()
		}
	}
}

// shutdown stops taking requests, finishes those that wait or run, and gives up what this VM holds.
func (n *Node) shutdown(ctx context.Context) {
	n.stopping.Store(true)
	grace := n.inForce().GracePeriod
	n.log.Info("graceful shutdown started", "settle", settleTime, "grace", grace)
	ctx, cancel := context.WithTimeout(ctx, max(grace-endMargin, settleTime))
	defer cancel()
	n.keeper.ReleaseLease(ctx)
	n.timer.Sleep(ctx, settleTime)
	n.gateway.RefuseNewRequests()
	end := n.timer.CallAfter(waitTime, func(time.Time) { n.gateway.RefuseWaitingRequests() })
	defer end.Stop()
	n.entry.Drain(ctx)
	n.gateway.AbortRunningRequests()
	n.timer.Sleep(context.WithoutCancel(ctx), abortTime)
	n.leave(context.WithoutCancel(ctx))
	n.peers.AnnounceLeaving()
}

func platformHTTP() *http.Client {
	return &http.Client{Transport: platformTransport()}
}
