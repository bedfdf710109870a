package afnode

import (
	"context"
	"log/slog"
	"os"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"arbutusfork.example/arbutusfork"
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
	"arbutusfork.example/arbutusfork/pkg/aflease"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/afshed"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

// createParts creates the parts of the node.
func (n *Node) createParts() {
	n.self = arbutusfork.Incarnation{VM: n.Settings.VM, StartID: time.Now().UnixNano()}
	n.timer = &aftimer.Service{}
	n.recheckRequests = make(chan struct{}, 1)
	out := n.LogOutput
	if out == nil {
		out = os.Stdout
	}
	n.logWriter = aflog.NewAsyncWriter(out)
	n.log = slog.New(slog.NewJSONHandler(n.logWriter, nil)).With("vm", n.Settings.VM)
	aflog.RouteEngineLog(n.log)
	n.registry = prometheus.NewRegistry()
	n.ignoredObjects = newIgnoredObjects(n.registry)
	n.memory = afmemory.NewProcessBudget(int64(n.Settings.MemoryLimitMB * (1 << 20)))
	n.platformClient = &afobject.Client{BaseURL: n.Settings.PlatformURL, Timeout: platformCallTimeout, Dialect: n.Platform.Dialect, HTTPClient: newPlatformHTTPClient(), OnEraChange: n.handleEraChange}
	n.roster = &afroster.Roster{Now: n.timer.Now, OnChange: n.requestRecheck, OnDoubtful: n.holdDoubtful, ColdRule: n.coldRule, RegionOf: func(centre string) string { return n.settingsInForce().regionOf(centre) }}
	n.vmList.initMaps()
	n.feeds = make(map[string]*affeed.Feed)
	n.peers = &afpeer.Service{
		Self: n.self, ListenAddress: n.Settings.PeerAddress, Centre: n.Settings.Centre, Timer: n.timer, Log: n.log,
	}
	n.createCrashes()
	n.createSlots()
	n.createStarts()
	n.createTables()
	n.createFacts()
	n.createGateway()
	n.createKeeper()
	n.createCentres()
	n.registerMetrics()
}

// createCrashes creates the service that shares which prompts crash endpoints.
func (n *Node) createCrashes() {
	n.crashes = &afcrash.Service{
		Timer: n.timer, Log: n.log, Metrics: afcrash.NewMetrics(n.registry), OnQuarantine: n.requestRecheck, OnStart: n.roster.RecordHearsay,
		HeartbeatPeers: func() []arbutusfork.VM { return n.peers.Membership().HeartbeatPeers() }, SendToVM: n.peers.Send,
	}
	n.peers.Handle(afcrash.KindFacts, n.crashes.HandleFacts)
	n.peers.Handle(afcrash.KindDigest, n.crashes.HandleDigest)
}

// createSlots creates the service that keeps the limits that endpoints name.
func (n *Node) createSlots() {
	n.slots = &afslot.Service{
		Self: n.self.VM, Timer: n.timer, Log: n.log, Metrics: afslot.NewMetrics(n.registry), OnSlotFree: n.requestRecheck, OnStart: n.roster.RecordHearsay,
		LiveVMs: n.peers.LiveMembers, HeartbeatPeers: func() []arbutusfork.VM { return n.peers.Membership().HeartbeatPeers() },
		SendToVM: n.peers.Send, CallVM: n.peers.Call,
		OwnPace: n.endpointPace, PacedEndpoints: n.pacedEndpoints, FleetSize: n.fleetSize,
	}
	n.slots.RegisterGauges(n.registry)
	n.peers.OnMembershipChange = n.slots.HandleMembership
	n.peers.Handle(afslot.KindLimits, n.slots.HandleLimits)
	n.peers.Handle(afslot.KindDigest, n.slots.HandleDigest)
	n.peers.Handle(afslot.KindSlot, n.slots.HandleSlot)
	n.peers.Handle(afslot.KindPacedSlot, n.slots.HandlePacedSlot)
	n.peers.Handle(afslot.KindSupport, n.slots.HandleSupport)
}

// createStarts creates the service that spaces the requests of all VMs to an engine.
func (n *Node) createStarts() {
	n.starts = &afscheduler.Service{
		Self: n.self.VM, Timer: n.timer, Log: n.log, Metrics: afscheduler.NewMetrics(n.registry), OnRoom: n.requestRecheck,
		LiveVMs: n.peers.LiveMembers, SendToVM: n.peers.Send, CallVM: n.peers.Call,
	}
	n.peers.Handle(afscheduler.KindStart, n.starts.HandleStart)
	n.peers.Handle(afscheduler.KindLateEvent, n.starts.HandleLateEvent)
	n.peers.Handle(afscheduler.KindFirstEvent, n.starts.HandleFirstEvent)
}

// createTables creates the service that keeps the configuration in force.
func (n *Node) createTables() {
	n.tables = &aftable.Service{
		Timer: n.timer, Log: n.log, Decode: n.Platform.DecodeTable, OnChange: n.requestRecheck,
		OnRefused:      n.ignoredObjects.WithLabelValues(n.Platform.ConfigKind).Inc,
		HeartbeatPeers: func() []arbutusfork.VM { return n.peers.Membership().HeartbeatPeers() }, SendToVM: n.peers.Send, CallVM: n.peers.Call,
	}
	n.peers.Handle(aftable.KindVersion, n.tables.HandleVersion)
	n.peers.Handle(aftable.KindFetch, n.tables.HandleFetch)
}

// createFacts creates the service that shares what endpoints say about themselves.
func (n *Node) createFacts() {
	n.facts = &affact.Service{
		Self: n.self.VM, Timer: n.timer, Log: n.log, Metrics: affact.NewMetrics(n.registry), IsListed: n.roster.WasListedLately, OnStart: n.roster.RecordHearsay,
		HeartbeatPeers: func() []arbutusfork.VM { return n.peers.Membership().HeartbeatPeers() }, SendToVM: n.peers.Send,
		OnChange: func() {
			n.requestRecheck()
			n.keeper.Wake()
		},
	}
	n.facts.RegisterGauges(n.registry)
	n.roster.Notices = afroster.Notices{IsLeaving: n.facts.IsLeaving, PausedUntil: n.facts.PausedUntil, HasPauses: n.facts.HasPauses}
	n.peers.Handle(affact.KindNotices, n.facts.HandleNotices)
	n.peers.Handle(affact.KindDigest, n.facts.HandleDigest)
	if n.Platform.WatchEngines != nil {
		n.Platform.WatchEngines(n.facts.Record)
	}
}

// callerLimits returns the limits for callers of the configuration in force.
func (n *Node) callerLimits() afentry.Limits {
	t := n.tables.Table()
	if t == nil {
		return afentry.Limits{}
	}
	return afentry.Limits(t.Limits)
}

// createGateway creates the gateway and the server that accepts the callers' connections.
func (n *Node) createGateway() {
	n.gateway = &afgateway.Server{
		Table: n.tables.Table, Roster: n.roster, HeaderCodec: n.Platform.HeaderCodec, Timer: n.timer, Log: n.log, Centre: n.Settings.Centre,
		OnRequestWaiting: func() { n.keeper.Wake() }, ListedVMCount: n.countListedVMs,
		FractionUsableWithoutGrants: func() float64 { return n.keeper.FractionUsableWithoutGrants() },
		SpendBeyondGrant: func(ctx context.Context, customer string, r afshed.UnitRequest) (time.Duration, bool) {
			return n.keeper.SpendUnits(ctx, customer, r)
		},
		CrashWatch: n.crashes.NewWatch(),
		EndpointLimits: afgateway.EndpointLimits{
			RecordAnswer: n.slots.RecordAnswer, ExpectedWait: n.slots.ExpectedWait, ExpectRequest: n.slots.ExpectRequest, TakeSlot: n.slots.TakeSlot,
			IsPaced: n.slots.IsPaced,
		},
		EngineStarts:    afgateway.EngineStarts{ExpectedBacklog: n.starts.ExpectedBacklog, Take: n.starts.Take, RecordLateEvent: n.starts.RecordLateEvent, RecordFirstEvent: n.starts.RecordFirstEvent},
		EndpointNotices: afgateway.EndpointNotices{Record: n.facts.Record},
		Metrics:         afgateway.NewMetrics(n.registry),
		RetryBudget:     n.Settings.retryBudget(),
		AnswerMemory:    n.memory,
	}
	n.gateway.RegisterGauges(n.registry)
	n.entryServer = &afentry.Server{
		ForwardRequest: n.gateway.ServeRequest, IsConfigFresh: func() bool { return true }, Address: n.Settings.CallerAddress, Log: n.log, Timer: n.timer,
		Registry: n.registry, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: 64 << 10, Limits: n.callerLimits, Memory: n.memory,
	}
	if n.Settings.MaxDescriptors > 0 {
		n.entryServer.MaxConnections = max((n.Settings.MaxDescriptors-reservedDescriptors)/2, 64)
	}
}

// createKeeper creates the placement service and registers its handlers for messages of other VMs.
func (n *Node) createKeeper() {
	n.keeper = &afkeeper.Service{
		Metrics: afkeeper.NewMetrics(n.registry),
		Self:    n.self, Machine: n.Settings.VM + "@" + n.Settings.PeerAddress, Timer: n.timer, Log: n.log, MaxStoreLoads: maxStoreLoads, BootTime: bootTime, Table: n.tables.Table,
		LeaseTiming: aflease.Timing{TTL: leaseTTL, RenewInterval: leaseRenewInterval, QuietPeriod: n.Settings.QuietPeriod, SafetyMargin: leaseSafetyMargin},
		Roster:      n.roster, GetObject: n.platformClient.Get, CreateObject: n.platformClient.Create, UpdateObject: n.platformClient.Update,
		LiveVMs: n.peers.LiveMembers, ListedVMCount: n.countListedVMs, ListedVMs: n.listedVMNames, PlatformReachedAt: n.platformReachedAt, SendToVM: n.peers.Send, CallVM: n.peers.Call,
		OwnDemand: n.gateway.Demand, OwnUsage: n.gateway.Usage, ApplyGrants: n.gateway.SetGrants, ApplyLoadDelays: n.gateway.SetLoadDelays,
		FeedPositions: n.feedPositions, CompareFeedPositions: n.comparePositions, ApplyEndpoints: n.applyRelayedEndpoints, KnowsAllEndpoints: n.hasListedEndpoints.Load, TakeoverDelay: n.takeoverDelay(),
		LeaseNote: n.crashes.Note, ApplyLeaseNote: n.crashes.ApplyNote,
		FetchReport: n.Platform.FetchReport, SendOrder: n.Platform.SendOrder,
	}
	n.keeper.Init()
	n.peers.Handle(afkeeper.KindVMReport, n.keeper.HandleVMReport)
	n.peers.Handle(afkeeper.KindPlacementView, n.keeper.HandlePlacementView)
	n.peers.Handle(afkeeper.KindEndpointUpdate, n.keeper.HandleEndpointUpdate)
	n.peers.Handle(afkeeper.KindEndpointListRequest, n.keeper.HandleEndpointListRequest)
	n.peers.Handle(afkeeper.KindHolderStop, n.keeper.HandleHolderStop)
	n.peers.Handle(afkeeper.KindPromise, n.keeper.HandlePromise)
	n.peers.Handle(afkeeper.KindLimitGrants, n.keeper.HandleLimitGrants)
	n.peers.Handle(afkeeper.KindSpendRequest, n.keeper.HandleSpendRequest)
}

// takeoverDelay returns by how long this VM delays its attempts to acquire the placement lease, so that VMs with more
// bandwidth acquire it first.
func (n *Node) takeoverDelay() time.Duration {
	if n.Settings.LinkMbps > 0 && n.Settings.LinkMbps < fullLinkMbps {
		return slowLinkTakeoverDelay
	}
	return 0
}
