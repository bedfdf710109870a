// Package afnode builds and runs the daemon of a VM: the gateway, which forwards requests by route, the copies of the
// platform's objects, the links to the other VMs and the placement service.
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
	"arbutusfork.example/arbutusfork/internal/afcentre"
	"arbutusfork.example/arbutusfork/internal/afcrash"
	"arbutusfork.example/arbutusfork/internal/afentry"
	"arbutusfork.example/arbutusfork/internal/affact"
	"arbutusfork.example/arbutusfork/internal/affeed"
	"arbutusfork.example/arbutusfork/internal/afgateway"
	"arbutusfork.example/arbutusfork/internal/afkeeper"
	"arbutusfork.example/arbutusfork/internal/aflog"
	"arbutusfork.example/arbutusfork/internal/afmemory"
	"arbutusfork.example/arbutusfork/internal/afpeer"
	"arbutusfork.example/arbutusfork/internal/afroster"
	"arbutusfork.example/arbutusfork/internal/afscheduler"
	"arbutusfork.example/arbutusfork/internal/afslot"
	"arbutusfork.example/arbutusfork/internal/aftable"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

const (
	// minProcs is the least value of GOMAXPROCS. It leaves a processor for requests while the pollers of nbio block others
	// in epoll_wait.
	minProcs = 3
	// gcPercent is the target of the garbage collector. It keeps the heap, which is a few MB, small, since the peak of the
	// memory use is paid for.
	gcPercent = 50
	// softMemoryShare is the share of the memory limit that is set as the soft limit of the Go runtime. The rest is for
	// stacks, buffers of the kernel and growth between two collections.
	softMemoryShare = 0.7
	// leaseTTL is how long a placement holder may use the lease after a renewal. A holder stops after three failed renewals.
	leaseTTL = 1500 * time.Millisecond
	// leaseRenewInterval is the time between two renewals of the lease.
	leaseRenewInterval = 450 * time.Millisecond
	// leaseSafetyMargin covers the delay of a write and the rate difference of two clocks.
	leaseSafetyMargin = 200 * time.Millisecond
	// maxStoreLoads is the number of concurrent loads that the weight store can serve at full speed.
	maxStoreLoads = 4
	// unreadyDelay is the time between reporting unready and refusing new connections during a shutdown. The load balancer
	// checks once a second and removes a VM after two failed checks.
	unreadyDelay = 2500 * time.Millisecond
	// shutdownWaitTimeout is how long requests may wait for an endpoint after unreadyDelay. The rest of the grace period is
	// for running requests.
	shutdownWaitTimeout = 1500 * time.Millisecond
	// shutdownMargin is the part of the grace period that is reserved for the last steps of the shutdown.
	shutdownMargin = 700 * time.Millisecond
	// slotHandoverTime is how long a VM that stops answers those that end their supports of it as home VM of paced endpoints, as far as
	// the grace period allows. They notice that it leaves with a heartbeat, and check their supports every 0.25 s.
	slotHandoverTime = 600 * time.Millisecond
	// abortDelay is the time for sending responses to requests that were aborted at the end of the grace period.
	abortDelay = 100 * time.Millisecond
	// fullLinkMbps is the bandwidth in Mbit/s from which a VM tries to acquire the placement lease without delay. The
	// holder's messages to a hundred VMs need some Mbit/s.
	fullLinkMbps = 100
	// slowLinkTakeoverDelay is the delay of a VM with less bandwidth. It is longer than the 1.2 s over which the VMs spread
	// their attempts.
	slowLinkTakeoverDelay = 1500 * time.Millisecond
	// platformCallTimeout bounds a call to the platform, which normally responds within milliseconds.
	platformCallTimeout = 1500 * time.Millisecond
	// platformMaxHeadBytes bounds the head of an answer of the platform.
	platformMaxHeadBytes = 16 << 10
	// reservedDescriptors is the number of descriptors reserved for files and for connections to other VMs, endpoints and
	// the platform.
	reservedDescriptors = 700
	// callerIdleTimeout closes connections of callers that are idle.
	callerIdleTimeout = 60 * time.Second
)

// Node is the daemon of one VM. Set the exported fields before Run.
type Node struct {
	// Settings are the settings at the start. Later changes are read through Platform.ReadSettings.
	Settings Settings
	// Platform holds the functions that depend on the platform.
	Platform Platform
	// LogOutput receives the log. Nil means standard output.
	LogOutput io.Writer
	// Hangups receives SIGHUP, after which the settings are read. Signals from before Run may wait in it. Nil means none.
	Hangups <-chan os.Signal

	self      arbutusfork.Incarnation
	timer     *aftimer.Service
	log       *slog.Logger
	logWriter *aflog.AsyncWriter
	registry  *prometheus.Registry
	// ignoredObjects counts the versions of objects of the platform that were left out, by kind.
	ignoredObjects *prometheus.CounterVec
	platformClient *afobject.Client
	roster         *afroster.Roster
	peers          *afpeer.Service
	keeper         *afkeeper.Service
	crashes        *afcrash.Service
	slots          *afslot.Service
	starts         *afscheduler.Service
	tables         *aftable.Service
	facts          *affact.Service
	// centres is nil if the deployment has no evacuations.
	centres *afcentre.Service
	gateway *afgateway.Server
	// memory bounds what callers and endpoints send.
	memory      *afmemory.Budget
	entryServer *afentry.Server
	vmList      vmList
	doubtful    doubtfulEntries
	// feeds holds the feeds of the platform's objects by kind. It does not change after the start.
	feeds map[string]*affeed.Feed
	// retryCoordinator is shared by all feeds.
	retryCoordinator affeed.RetryCoordinator
	// recheckRequests receives a value when waiting requests should be checked against the endpoints again.
	recheckRequests chan struct{}
	// readyListener and metricsListener are bound before any part of the node runs.
	readyListener, metricsListener net.Listener

	// hasListedEndpoints means that the endpoints have been listed by the platform at least once.
	hasListedEndpoints atomic.Bool
	// hasListedVMs means that the VMs have been listed by the platform at least once.
	hasListedVMs atomic.Bool
	isStopping   atomic.Bool

	// reloadedSettings holds the settings that were last reloaded with changes. It is nil while the settings of the start are
	// in force.
	reloadedSettings atomic.Pointer[Settings]
	// lastSettingsError is the error of the last reload of the settings, or empty. Only reloadSettings uses it.
	lastSettingsError string
}

// Run serves until ctx ends and then shuts down gracefully. Its errors are of kind StartFailed.
func (n *Node) Run(ctx context.Context) error {
	runtime.GOMAXPROCS(max(runtime.GOMAXPROCS(0), minProcs))
	debug.SetGCPercent(gcPercent)
	if n.Settings.MemoryLimitMB > 0 {
		debug.SetMemoryLimit(int64(n.Settings.MemoryLimitMB * softMemoryShare * (1 << 20)))
	}
	n.createParts()
	if ctx.Err() != nil {
		n.log.Info("node stopped")
		n.logWriter.Close()
		return nil
	}
	if err := n.listenAll(); err != nil {
		n.log.Error("node not started", "error", err)
		n.logWriter.Close()
		return &Error{Op: "listen", Kind: StartFailed, Err: err}
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var wg sync.WaitGroup
	parts := n.nodeParts()
	failures := make(chan error, len(parts))
	for _, part := range parts {
		wg.Go(func() {
			if err := part.run(runCtx); err != nil {
				failures <- &Error{Op: part.name, Kind: StartFailed, Err: err}
			}
		})
	}
	n.log.Info("node started", "incarnation", n.self.String(), "centre", n.Settings.Centre)
	var err error
	select {
	case <-ctx.Done():
		n.shutDown(runCtx)
	case err = <-failures:
		n.log.Error("node failed", "error", err)
	}
	cancel()
	wg.Wait()
	n.log.Info("node stopped")
	n.logWriter.Close()
	return err
}

// nodePart is one part of the node. Each part runs in its own goroutine.
type nodePart struct {
	name string
	run  func(ctx context.Context) error
}

// nodeParts returns all parts of the node.
func (n *Node) nodeParts() []nodePart {
	withoutError := func(fn func(context.Context)) func(context.Context) error {
		return func(ctx context.Context) error {
			fn(ctx)
			return nil
		}
	}
	config, endpoints, vms := n.newConfigFeed(), n.newEndpointFeed(), n.newVMFeed()
	parts := []nodePart{
		{"timer", withoutError(n.timer.Run)},
		{"peers", n.peers.Run},
		{"ready", n.serveReady},
		{"metrics", n.serveMetrics},
		{"config", withoutError(config.Run)},
		{"endpoints", withoutError(endpoints.Run)},
		{"members", withoutError(func(ctx context.Context) { n.runVMEntries(ctx, vms) })},
		{"keeper", withoutError(n.keeper.Run)},
		{"crashes", withoutError(n.crashes.Run)},
		{"slots", withoutError(n.slots.Run)},
		{"tables", withoutError(n.tables.Run)},
		{"facts", withoutError(n.facts.Run)},
		{"entry", n.entryServer.Run},
		{"reload", withoutError(n.runReload)},
		{"wake", withoutError(n.runRechecks)},
		{"cover", withoutError(n.runHolderChecks)},
	}
	if n.centres != nil {
		parts = append(parts, nodePart{"centres", withoutError(n.newEvacuationFeed().Run)})
	}
	return parts
}

// requestRecheck requests that waiting requests are checked against the endpoints again. It does not block.
func (n *Node) requestRecheck() {
	select {
	case n.recheckRequests <- struct{}{}:
	default:
	}
}

// runRechecks makes the gateway check its waiting requests again whenever that is requested.
func (n *Node) runRechecks(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.recheckRequests:
			n.gateway.DispatchWaiting()
		}
	}
}

// shutDown releases the placement lease, stops accepting requests, waits for the waiting and running requests within the
// grace period, and removes this VM from the list of VMs.
func (n *Node) shutDown(ctx context.Context) {
	n.isStopping.Store(true)
	grace := n.currentSettings().GracePeriod
	timeLeft := max(grace-shutdownMargin, 0)
	settle := min(unreadyDelay, timeLeft)
	n.log.Info("graceful shutdown started", "settle", settle, "grace", grace)
	n.gateway.AnnounceStop(n.timer.Now().Add(timeLeft))
	ctx, cancel := context.WithTimeout(ctx, timeLeft)
	defer cancel()
	n.keeper.ReleaseLease(ctx)
	n.timer.Sleep(ctx, settle)
	n.gateway.RefuseNewRequests()
	waitTimer := n.timer.CallAfter(shutdownWaitTimeout, func(time.Time) { n.gateway.RefuseWaitingRequests() })
	defer waitTimer.Stop()
	n.entryServer.Drain(ctx)
	// Without this VM, its paced endpoints get no requests until supports of it have run out.
	handsOverSlots := len(n.pacedEndpoints()) > 0 && ctx.Err() == nil
	if handsOverSlots {
		n.leaveFleet(ctx)
		n.timer.Sleep(ctx, slotHandoverTime)
	}
	n.gateway.AbortRunningRequests()
	n.timer.Sleep(context.WithoutCancel(ctx), abortDelay)
	if !handsOverSlots {
		n.leaveFleet(ctx)
	}
}

// leaveFleet removes this VM from the list of VMs and announces that it leaves. It goes on after the end of ctx.
func (n *Node) leaveFleet(ctx context.Context) {
	n.removeOwnEntry(context.WithoutCancel(ctx))
	n.peers.AnnounceLeaving()
}

func newPlatformHTTPClient() *http.Client {
	return &http.Client{Transport: newPlatformTransport()}
}
