// Package afsync keeps the configuration snapshot of one VM current and determines whether the VM may rely on it.
package afsync

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afpeer"
	"arbutusfork.example/arbutusfork/pkg/afconfig"
	"arbutusfork.example/arbutusfork/pkg/afmember"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/afring"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

const (
	eventQueueCapacity = 1024
	probeInterval      = time.Second
	// witnessCheckInterval is the interval at which the home VM of the witness set checks its members.
	witnessCheckInterval = 2 * time.Second
	// temporaryWatchDuration is how long a VM that is no watcher watches the platform after its evidence from witnesses was
	// about to expire.
	temporaryWatchDuration = 10 * time.Second
	// temporaryWatchLead is how long before the expiry of that evidence a VM starts to watch the platform: one probe
	// interval and the time of a probe.
	temporaryWatchLead = 1500 * time.Millisecond
)

// Service keeps the configuration snapshot of a VM current. It watches the platform if the VM is a watcher, and fetches
// changes from peers otherwise. It also collects the evidence that the snapshot is current. The exported fields must be
// set before Run.
type Service struct {
	// Self is the incarnation of this VM.
	Self arbutusfork.Incarnation
	// Client sends requests to the platform.
	Client *afobject.Client
	// Timer provides the clock and the scheduled calls.
	Timer *aftimer.Service
	// Log receives the log lines of the service. Nil means slog.Default.
	Log *slog.Logger

	// CallVM sends a message to another VM and decodes its answer.
	CallVM func(ctx context.Context, vm, kind string, message, answer any) error
	// Membership returns the current membership of the fleet.
	Membership func() afmember.View
	// SetListedVMs is called with each new list of VMs from the platform.
	SetListedVMs func([]arbutusfork.VM)

	once      sync.Once
	ctx       context.Context
	events    *afring.Queue[func()]
	snapshot  atomic.Pointer[afconfig.Snapshot]
	freshness atomic.Pointer[afconfig.FreshnessView]
	list      atomic.Pointer[vmList]

	mu            sync.Mutex
	subscribers   []func(*afconfig.Snapshot)
	versionRaised chan struct{} // versionRaised is closed and replaced when the version increases.

	// Only the goroutine of Run uses the fields below.
	watch                  *watch
	nextWatchAt            time.Time     // nextWatchAt is the earliest time to open the next watch.
	watchBackoff           time.Duration // watchBackoff is the delay before the next watch.
	maxWatchLag            time.Duration // maxWatchLag is how long a watch may lag behind probes; zero is minWatchLagLimit.
	runningProbes          int           // runningProbes is the number of unanswered probes.
	temporaryWatchEndsAt   time.Time     // temporaryWatchEndsAt is when a VM that is no watcher stops watching the platform.
	isPullingChanges       bool
	isReadingList          bool
	listRequestedAt        time.Time // listRequestedAt is when this VM last requested the list from the platform.
	isPullingList          bool
	isReplacingWitnesses   bool
	isRestoringWithdrawals bool
	heldRequestsEndAt      time.Time        // heldRequestsEndAt is until when this VM asks others for objects that the store may have lost.
	heldRequests           map[string]bool  // heldRequests are the VMs that were asked.
	loggedFresh            bool             // loggedFresh is the freshness that was logged last.
	listedVMs              []arbutusfork.VM // listedVMs is the platform's list, nil until the first list is received.
	oddVMs                 map[string]int64 // oddVMs holds the versions of the entries of the last list that could not be decoded.
}

// ConnectPeers registers the service with the peer service, which sends and receives its messages and reports. It must
// be called before either service runs.
func (s *Service) ConnectPeers(p *afpeer.Service) {
	s.CallVM, s.Membership, s.SetListedVMs = p.Call, p.Membership, p.SetListedVMs
	p.BuildReport, p.OnReport = s.BuildReport, s.HandleReport
	p.Handle(kindChangesRequest, s.answerChangesRequest)
	p.Handle(kindVersionQuery, s.answerVersionQuery)
	p.Handle(kindVMList, s.answerListRequest)
}

func (s *Service) init() {
	s.once.Do(func() {
		s.events = afring.New[func()](eventQueueCapacity)
		s.versionRaised = make(chan struct{})
		s.snapshot.Store(new(afconfig.Snapshot))
		s.freshness.Store(&afconfig.FreshnessView{SelfName: s.Self.VM, StartedAt: s.Timer.Now()})
	})
}

func (s *Service) log() *slog.Logger {
	if s.Log != nil {
		return s.Log
	}
	return slog.Default()
}

// Snapshot returns the configuration that this VM holds. It may be out of date unless IsFresh returns true.
func (s *Service) Snapshot() *afconfig.Snapshot {
	s.init()
	return s.snapshot.Load()
}

// Version returns the version of the configuration that this VM holds. It never decreases.
func (s *Service) Version() int64 { return s.Snapshot().Version }

// IsFresh reports whether this VM may rely on its configuration at the moment now, a time of Timer.
func (s *Service) IsFresh(now time.Time) bool {
	s.init()
	return s.freshness.Load().IsFresh(now)
}

// SubscribeSnapshots calls fn after each change of the snapshot, one call at a time. fn must not block.
func (s *Service) SubscribeSnapshots(fn func(*afconfig.Snapshot)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, fn)
}

// Run keeps the snapshot current until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	s.init()
	s.ctx = ctx
	for _, task := range []struct {
		interval time.Duration
		run      func(now time.Time)
	}{
		{probeInterval, s.maintainWatch},
		{listInterval, s.refreshList},
		{witnessCheckInterval, func(time.Time) { s.maintainWitnesses() }},
		{witnessCheckInterval, func(time.Time) { s.restoreWithdrawals() }},
	} {
		sub := s.Timer.CallEvery(task.interval, func(now time.Time) { s.events.TryPush(func() { task.run(now) }) })
		defer sub.Stop()
	}
	s.readList()
	s.maintainWatch(s.Timer.Now())
	s.events.Consume(ctx, func(fn func()) { fn() })
	s.closeWatch()
	return nil
}

// maintainWatch probes the platform and opens the watch if this VM is a watcher or watches temporarily, and closes the
// watch otherwise.
func (s *Service) maintainWatch(now time.Time) {
	isWatcher := s.Membership().IsPlatformWatcher()
	s.logFreshnessChange(now)
	if isWatcher || !s.freshness.Load().IsFreshByWitnesses(now.Add(temporaryWatchLead)) {
		s.temporaryWatchEndsAt = now.Add(temporaryWatchDuration)
	}
	if !isWatcher && now.After(s.temporaryWatchEndsAt) {
		s.closeWatch()
		return
	}
	s.probePlatform()
	s.openMissingWatch(now)
}

// applyDelta merges a delta into the snapshot.
func (s *Service) applyDelta(d afconfig.Delta, source string) {
	old := s.snapshot.Load()
	next, err := old.MergeDelta(d)
	if err != nil {
		s.log().Error("malformed configuration object treated as deleted", "source", source, "error", err)
	}
	if next == old {
		return
	}
	s.storeSnapshot(old, next, len(d.Objects), source)
}

// storeSnapshot puts a changed snapshot in force, updates the freshness view and calls the subscribers.
func (s *Service) storeSnapshot(old, next *afconfig.Snapshot, objects int, source string) {
	s.snapshot.Store(next)
	s.scheduleResolution(old, next)
	s.updateFreshness(func(v afconfig.FreshnessView) afconfig.FreshnessView { return v.WithSnapshot(next) })
	s.log().Info("configuration changed",
		"version", next.Version, "before", old.Version, "objects", objects, "source", source, "holding", next.IsHolding())
	s.mu.Lock()
	subscribers := s.subscribers
	close(s.versionRaised)
	s.versionRaised = make(chan struct{})
	s.mu.Unlock()
	for _, fn := range subscribers {
		fn(next)
	}
}

// updateFreshness replaces the freshness view by the result of fn.
func (s *Service) updateFreshness(fn func(afconfig.FreshnessView) afconfig.FreshnessView) {
	now := s.Timer.Now()
	old := s.freshness.Load()
	next := fn(*old).AllowVouchingIfFresh(now)
	s.freshness.Store(&next)
	s.logFreshnessChange(now)
}

// logFreshnessChange logs when the configuration becomes fresh or stops being fresh.
func (s *Service) logFreshnessChange(now time.Time) {
	v := s.freshness.Load()
	if fresh := v.IsFresh(now); fresh != s.loggedFresh {
		s.loggedFresh = fresh
		s.log().Info("configuration freshness changed",
			"fresh", fresh, "peers", v.IsFreshByWitnesses(now), "version", v.Version(), "epoch", v.Witnesses().Epoch)
	}
}

// nextVersionRaise returns a channel that is closed when the version increases next.
func (s *Service) nextVersionRaise() <-chan struct{} {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versionRaised
}

// BuildReport returns the report on this VM's configuration and evidence that other VMs receive with heartbeats.
func (s *Service) BuildReport(now time.Time) afpeer.ConfigurationReport {
	s.init()
	v := s.freshness.Load()
	r := afpeer.ConfigurationReport{Version: v.Version(), Epoch: v.Witnesses().Epoch, CanVouch: v.CanVouch()}
	r.Evidence = v.RecentEvidence(now)
	if l := s.list.Load(); l != nil && s.isListShared() {
		r.ListDigest, r.ListRequestedAt = l.digest, l.requestedAt
	}
	return r
}

// HandleReport handles the report of another VM, which this VM requested at sentAt.
func (s *Service) HandleReport(from arbutusfork.Incarnation, sentAt time.Time, r afpeer.ConfigurationReport) {
	s.init()
	s.events.TryPush(func() {
		evidence := r.Evidence
		if r.CanVouch {
			evidence = append(evidence, afconfig.Evidence{
				Witness: from.VM, Start: from.StartID, Version: r.Version, Epoch: r.Epoch, RequestedAt: sentAt,
			})
		}
		s.updateFreshness(func(v afconfig.FreshnessView) afconfig.FreshnessView { return v.WithEvidence(evidence...) })
		if r.Version > s.Version() {
			s.pullChanges(from.VM)
		}
		s.requestHeldObjects(from.VM)
		s.handleListDigest(from.VM, r.ListDigest, r.ListRequestedAt)
	})
}
