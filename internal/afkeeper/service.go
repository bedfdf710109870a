// Package afkeeper runs the placement of models on engines. One VM at a time holds the placement lease, a record on the
// platform. The holder collects the demand that all VMs report, fetches the engines' reports, orders the engines to load and
// unload models and adapters, and sends every VM the state of the engines and its share of each customer's limit.
//
// All VMs run the same code. VMs that do not hold the lease report their load to the holder, and take the lease when the
// holder stops sending views.
package afkeeper

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/affeed"
	"arbutusfork.example/arbutusfork/internal/afroster"
	"arbutusfork.example/arbutusfork/pkg/afassign"
	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/aflease"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/afroute"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

const (
	// tickInterval is the time between two runs of the service without any other event.
	tickInterval = 50 * time.Millisecond
	// idleTickInterval is the same for a VM that does not hold the lease and receives views.
	idleTickInterval = 125 * time.Millisecond
	// maxVMReportAge is how long the report of a VM is used: six report intervals. It is scaled like them.
	maxVMReportAge = 1500 * time.Millisecond
	// minPlanInterval is the least time between two plans. Reports of other VMs trigger plans, so it grows with the fleet.
	minPlanInterval = 6 * time.Millisecond
	// leaseReadInterval is the time between reads of the lease while the holder sends no views.
	leaseReadInterval = 400 * time.Millisecond
	// callTimeout bounds a call to the platform, an engine or another VM. Such calls normally take a few milliseconds.
	callTimeout = 800 * time.Millisecond
)

// The kind and name of the object that holds the record of the lease.
const (
	LeaseKind = "leases"
	LeaseName = "placement"
)

// Service runs the placement on one VM. Set the exported fields and call Init before Run.
type Service struct {
	Self arbutusfork.Incarnation
	// Machine names where this process runs. No other process of this kind runs there at the same time.
	Machine string
	Timer   *aftimer.Service
	Log     *slog.Logger
	Metrics Metrics
	// LeaseTiming holds the durations of the lease.
	LeaseTiming aflease.Timing
	// TakeoverDelay is how long this VM lets others take the lease first, because it has less CPU or network capacity.
	TakeoverDelay time.Duration
	// MaxStoreLoads bounds the concurrent loads from the weight store.
	MaxStoreLoads int
	// BootTime returns the time since the machine's start, including suspension.
	BootTime func() time.Duration
	// Table returns the configuration in force, or nil.
	Table  func() *afroute.Table
	Roster *afroster.Roster
	// GetObject reads an object from the platform.
	GetObject func(ctx context.Context, kind, name string) (afobject.Object, error)
	// CreateObject creates an object on the platform.
	CreateObject func(ctx context.Context, o afobject.Object) (afobject.Object, error)
	// UpdateObject replaces an object on the platform if its version is unchanged.
	UpdateObject func(ctx context.Context, o afobject.Object) (afobject.Object, error)
	// LeaseNote returns what is stored in the record of the lease. ApplyLeaseNote is called with what was read there. Nil
	// functions store and apply nothing.
	LeaseNote      func() string
	ApplyLeaseNote func(note string) error
	// LiveVMs returns the live VMs, including this one.
	LiveVMs func() []arbutusfork.VM
	// ListedVMCount returns the number of VMs that may be alive.
	ListedVMCount func() int
	// ListedVMs returns the names of the VMs that may be alive, as the platform lists them.
	ListedVMs func() []string
	// PlatformReachedAt returns when the platform last answered this VM. Nil means that no promises are given.
	PlatformReachedAt func() time.Time
	// SendToVM sends a message to a VM.
	SendToVM func(vm, kind string, message any) error
	// CallVM sends a message to a VM and waits for the answer.
	CallVM func(ctx context.Context, vm, kind string, message, answer any) error
	// OwnDemand returns the demand of this VM's callers.
	OwnDemand func() []afassign.Demand
	// OwnUsage returns the usage of each customer on this VM.
	OwnUsage func() map[string]CustomerUsage
	// ApplyGrants is called with this VM's share of each customer's limit.
	ApplyGrants func(map[string]LimitGrant)
	// ApplyLoadDelays is called with the time until a model is loaded, for models that no engine holds.
	ApplyLoadDelays func(map[string]time.Duration)
	// FeedPositions returns the versions of this VM's copies of the platform's objects, by kind.
	FeedPositions func() map[string]affeed.Position
	// CompareFeedPositions is called with the versions of another VM's copies.
	CompareFeedPositions func(map[string]affeed.Position)
	// ApplyEndpoints is called with endpoints from the holder: a change, or all endpoints if isFullList is set.
	ApplyEndpoints func(entries []afengine.EndpointEntry, removed []string, isFullList bool)
	// KnowsAllEndpoints reports whether this VM has read all endpoints from the platform.
	KnowsAllEndpoints func() bool
	// Evacuations is what this VM knows about evacuated data centres.
	Evacuations Evacuations
	// FetchReport requests the report of an engine.
	FetchReport func(ctx context.Context, e afengine.EndpointEntry) (afengine.Report, error)
	// SendOrder sends an order to an engine, in the name of the holder of the epoch.
	SendOrder func(ctx context.Context, e afengine.EndpointEntry, holder string, epoch int64, o afengine.Order) afengine.Result

	// wakeups makes Run check for work before the next tick.
	wakeups chan struct{}

	// mu guards the fields up to the next group.
	mu    sync.Mutex
	lease aflease.Lease
	// vmReports holds the last report of each other VM.
	vmReports map[string]receivedVMReport
	// holder is the VM that sent the last view.
	holder string
	// viewReceivedAt is when the last view arrived.
	viewReceivedAt time.Time
	// isStopping means that this VM no longer takes or renews the lease.
	isStopping bool
	// buckets holds the customers' token buckets while this VM is the holder, or the deputy of a silent holder.
	buckets map[string]*customerBucket
	// liveFraction is the fraction of the listed VMs that are live, as of the last view that this VM sent.
	liveFraction float64
	deputy       deputyState
	promises     promiseState
	// holderLostPlatformAt is when the holder's views first said that it can't reach the platform. It is zero if it can.
	holderLostPlatformAt time.Time
	// lastOrdersAt holds the boot time until which the last order to each engine may have arrived, from any holder, as far as
	// this VM knows.
	lastOrdersAt map[string]time.Duration
	// ordersUnderWay holds the calls of this VM's orders that have not ended.
	ordersUnderWay map[*orderCall]bool
	// lastOrderEpochs holds the epoch of this VM's own last order to each engine.
	lastOrderEpochs map[string]int64
	// reportedLoads holds the loads in this VM's last report.
	reportedLoads map[string]endpointLoad
	// endpointSeq counts the changes of the endpoints that this VM learned from the platform, also those that it did not send.
	endpointSeq int64
	// endpointSync is the state of the endpoints received from another holder.
	endpointSync endpointSyncState
	// nextLeaseCheckAt is the boot time of the next check of the lease.
	nextLeaseCheckAt time.Duration
	// isViewRequested means that a view should be sent although no report arrived.
	isViewRequested bool

	// The fields below are used only by the goroutine of Run.

	engines       map[string]*engineState
	reportResults chan reportResult
	orderResults  chan orderResult
	// storeLoadsStartedAt holds the boot times at which recent loads from the weight store started.
	storeLoadsStartedAt []time.Duration
	// queuedLoadsReadyAt holds the earliest time at which models that are queued for the weight store can be loaded.
	queuedLoadsReadyAt map[string]time.Time
	// unservedModels holds the requested models that no engine holds.
	unservedModels map[string]unservedModel
	// hasDelayedTakeover means that this VM has once waited for rankedTakeoverDelay before it took the lease.
	hasDelayedTakeover bool
	// formerlyBusyModels names models that have been busy since the process started.
	formerlyBusyModels map[string]bool
	// nextPlanAt is the earliest time of the next plan.
	nextPlanAt time.Time
	// isPlanScheduled means that a timer will call signalWakeup at nextPlanAt.
	isPlanScheduled bool
	nextVMReportAt  time.Time
	nextViewAt      time.Time
	lastViewAt      time.Time
	// sentStatuses holds the engine statuses in the last view.
	sentStatuses map[string]engineStatus
	// fullViewStarts holds the start times of the VM processes that were sent a view with all engines, by VM.
	fullViewStarts map[string]int64
	// wasHolder means that this VM held the lease at the previous run.
	wasHolder bool
	// hasViewChanged means that a view should be sent because an engine status changed.
	hasViewChanged bool
	// hasSentLate means that the last view said that the renewal is late.
	hasSentLate bool
	// reportedWaitingKeys is the result of joinWaitingKeys for the last report.
	reportedWaitingKeys string
}

// receivedVMReport is a report with its sender and its time of arrival.
type receivedVMReport struct {
	receivedAt time.Time
	from       arbutusfork.Incarnation
	report     vmReport
}

// initState creates the channels, the maps and the initial state of the lease.
func (s *Service) initState() {
	s.wakeups = make(chan struct{}, 1)
	s.vmReports = make(map[string]receivedVMReport)
	s.engines = make(map[string]*engineState)
	s.lastOrdersAt = make(map[string]time.Duration)
	s.ordersUnderWay = make(map[*orderCall]bool)
	s.formerlyBusyModels = make(map[string]bool)
	s.fullViewStarts = make(map[string]int64)
	s.lastOrderEpochs = make(map[string]int64)
	s.buckets = make(map[string]*customerBucket)
	s.reportResults = make(chan reportResult, 64)
	s.orderResults = make(chan orderResult, 64)
	s.lease = aflease.New(s.Self.String(), s.Machine, s.LeaseTiming)
}

// Init prepares the service for messages. It is called once, before Run and before the handlers are registered.
func (s *Service) Init() { s.initState() }

// signalWakeup makes Run check for work now. It does not block.
func (s *Service) signalWakeup() {
	select {
	case s.wakeups <- struct{}{}:
	default:
	}
}

// Wake makes the service check the demand soon. It does not block.
func (s *Service) Wake() { s.signalWakeup() }

// Run maintains the lease and runs the duties of the holder or of another VM until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticks := make(chan struct{}, 1)
	scheduleTick := func() {
		s.Timer.CallAfter(s.currentTickInterval(), func(time.Time) { ticks <- struct{}{} })
	}
	scheduleTick()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			s.maintainLease(ctx)
			scheduleTick()
		case <-s.wakeups:
		case r := <-s.reportResults:
			s.handleReport(r)
		case r := <-s.orderResults:
			s.handleOrderResult(r)
		}
		s.runDuties(ctx)
	}
}

// currentTickInterval returns the time until the next tick. A VM that another VM sends views to needs fewer ticks, since its
// reports are due less often and a waiting request wakes it.
func (s *Service) currentTickInterval() time.Duration {
	if s.ReceivesPlacementViews() && !s.HoldsLease() {
		return idleTickInterval
	}
	return tickInterval
}

// runDuties does the work that is due: reporting to the holder, or planning and sending views if this VM is the holder.
func (s *Service) runDuties(ctx context.Context) {
	s.mu.Lock()
	isHolder, isUsable, epoch := s.lease.IsHolder(s.BootTime()), s.lease.IsUsable(s.BootTime()), s.lease.Epoch()
	s.mu.Unlock()
	if isHolder != s.wasHolder {
		s.wasHolder = isHolder
		s.Metrics.countLeaseChange()
		clear(s.fullViewStarts)
		if !isHolder {
			s.mu.Lock()
			clear(s.buckets)
			s.mu.Unlock()
		}
		s.Log.Info("placement lease changed", "held", isHolder, "epoch", epoch)
	}
	if !isHolder {
		s.sendVMReport()
		return
	}
	s.refreshEngines(ctx)
	if isUsable {
		s.planWhenDue(ctx, epoch)
	}
	s.sendViews()
}

// otherVMs returns the live VMs without this one.
func (s *Service) otherVMs() []arbutusfork.VM {
	return slices.DeleteFunc(slices.Clone(s.LiveVMs()), func(vm arbutusfork.VM) bool { return vm.Name == s.Self.VM })
}

// planWhenDue plans now if minPlanInterval has passed since the last plan. Otherwise it schedules a wakeup for that time.
func (s *Service) planWhenDue(ctx context.Context, epoch int64) {
	now := s.Timer.Now()
	if wait := s.nextPlanAt.Sub(now); wait > 0 {
		if !s.isPlanScheduled {
			s.isPlanScheduled = true
			s.Timer.CallAfter(wait, func(time.Time) { s.signalWakeup() })
		}
		return
	}
	s.isPlanScheduled = false
	s.nextPlanAt = now.Add(scaleInterval(minPlanInterval, len(s.LiveVMs())))
	s.planOrders(ctx, epoch)
}

// sendVMReport sends this VM's report to the holder if the report is due, or if requests wait for a model or adapter that the
// last report did not name.
func (s *Service) sendVMReport() {
	s.mu.Lock()
	holder := s.holder
	s.mu.Unlock()
	if holder == "" || holder == s.Self.VM {
		return
	}
	now := s.Timer.Now()
	demand := s.OwnDemand()
	waitingKeys := joinWaitingKeys(demand)
	if now.Before(s.nextVMReportAt) && (waitingKeys == s.reportedWaitingKeys || waitingKeys == "") {
		return
	}
	s.reportedWaitingKeys, s.nextVMReportAt = waitingKeys, now.Add(scaleInterval(vmReportInterval, s.ListedVMCount()))
	if err := s.SendToVM(holder, KindVMReport, s.buildVMReport(demand)); err != nil {
		s.Log.Debug("VM report not sent to placement holder", "to", holder, "error", err)
	}
}

// buildVMReport returns this VM's report and stores its loads in reportedLoads.
func (s *Service) buildVMReport(demand []afassign.Demand) vmReport {
	loads, runningRequests := s.Roster.OwnLoads()
	report := vmReport{Loads: make(map[string]endpointLoad, len(loads)), RunningRequests: runningRequests, Demand: encodeDemand(demand), CustomerUsage: map[string]customerUsageMessage{}, FeedPositions: s.FeedPositions(), YieldsLease: s.TakeoverDelay > 0}
	for id, l := range loads {
		report.Loads[id] = encodeLoad(l)
	}
	for customer, usage := range s.OwnUsage() {
		report.CustomerUsage[customer] = customerUsageMessage{SpentUnits: usage.SpentUnits, RequestedUnitRate: usage.RequestedUnitRate}
	}
	s.reportEvacuations(&report)
	s.mu.Lock()
	s.reportedLoads = report.Loads
	s.mu.Unlock()
	return report
}

// joinWaitingKeys returns the keys of the models and adapters that requests wait for, so that a change can be detected.
func joinWaitingKeys(demands []afassign.Demand) string {
	out := ""
	for _, d := range demands {
		if d.WaitingRequests > 0 {
			out += afassign.AdapterKey(d.Model, d.Adapter) + " "
		}
	}
	return out
}

// HoldsLease reports whether this VM holds the placement lease.
func (s *Service) HoldsLease() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease.IsHolder(s.BootTime())
}

// ReceivesPlacementViews reports whether this VM currently receives views from another VM that can reach the platform.
func (s *Service) ReceivesPlacementViews() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder != s.Self.VM && s.holderLostPlatformAt.IsZero() && !s.viewReceivedAt.IsZero() && s.Timer.Now().Sub(s.viewReceivedAt) < s.holderSilenceTimeout()
}

// ReleaseLease stops the use of the lease and releases it if this VM holds it, so that another VM need not wait until it
// expires. This VM does not take the lease again.
func (s *Service) ReleaseLease(ctx context.Context) {
	s.mu.Lock()
	s.isStopping = true
	record, ok := s.lease.ReleaseRecord()
	version := s.lease.Version()
	s.mu.Unlock()
	if !ok {
		return
	}
	s.announceStop(record.Epoch)
	if _, err := s.writeRecord(ctx, record, version); err != nil {
		s.Log.Warn("placement lease not released", "error", err)
	}
}
