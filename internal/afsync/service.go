// Package afsync keeps the configuration snapshot of one VM current and tells whether the VM may rely on it.
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
	eventQueue  = 1024
	probePeriod = time.Second
	// witnessPeriod is the interval at which the responsible VM looks at the witness set.
	witnessPeriod = 2 * time.Second
	// standIn is how long a VM whose peer evidence was about to lapse keeps watching the platform by itself.
	standIn = 10 * time.Second
	// standInLead is how long before the evidence lapses a VM begins to do so: a tick and the time of a probe.
	standInLead = 1500 * time.Millisecond
)

// Service watches the platform if this VM is a watcher, pulls changes from peers otherwise, and keeps the
// evidence that the snapshot is current. Set the fields before Run.
type Service struct {
	Self arbutusfork.Incarnation
	// Client calls the platform.
	Client *afobject.Client
	Timer  *aftimer.Service
	// Log receives the service's log lines. Nil means slog.Default.
	Log *slog.Logger

	// CallVM sends a message to another VM and decodes the answer.
	CallVM func(ctx context.Context, vm, kind string, message, answer any) error
	// Membership returns the membership.
	Membership func() afmember.View
	// SetListedVMs passes on the platform's list of VMs.
	SetListedVMs func([]arbutusfork.VM)

	once     sync.Once
	ctx      context.Context
	events   *afring.Queue[func()]
	snapshot atomic.Pointer[afconfig.Snapshot]
	evidence atomic.Pointer[afconfig.FreshnessView]
	listed   atomic.Pointer[listing]

	mu          sync.Mutex
	subscribers []func(*afconfig.Snapshot)
	raised      chan struct{} // raised is closed when the version rises.

	// The fields below belong to the goroutine of Run.
	watch       *watch
	retry       time.Time // retry is when the next watch may be opened.
	backoff     time.Duration
	lag         time.Duration // lag is how long a watch may stay behind. Zero means minLag.
	probes      int           // probes is the number of probes under way.
	standUntil  time.Time     // standUntil is until when the VM watches although it is no watcher.
	pulling     bool
	listing     bool
	listAsked   time.Time // listAsked is when the platform's list was last asked for here.
	listPulling bool
	maintaining bool
	fresh       bool             // fresh is what was logged last.
	vms         []arbutusfork.VM // vms is the platform's list, nil until it has been read.
}

// ConnectPeers joins the service and the links between VMs. It must be called before either runs.
func (s *Service) ConnectPeers(p *afpeer.Service) {
	s.CallVM, s.Membership, s.SetListedVMs = p.Call, p.Membership, p.SetListedVMs
	p.BuildReport, p.OnReport = s.BuildReport, s.HandleReport
	p.Handle(kindPull, s.servePull)
	p.Handle(kindHold, s.serveHold)
	p.Handle(kindVMs, s.serveVMs)
}

func (s *Service) init() {
	s.once.Do(func() {
		s.events = afring.New[func()](eventQueue)
		s.raised = make(chan struct{})
		s.snapshot.Store(new(afconfig.Snapshot))
		s.evidence.Store(&afconfig.FreshnessView{SelfName: s.Self.VM, StartedAt: s.Timer.Now()})
	})
}

func (s *Service) log() *slog.Logger {
	if s.Log != nil {
		return s.Log
	}
	return slog.Default()
}

// Snapshot returns the configuration that this VM holds. It may be out of date unless IsFresh says otherwise.
func (s *Service) Snapshot() *afconfig.Snapshot {
	s.init()
	return s.snapshot.Load()
}

// Version returns the version of the configuration that this VM holds. It never falls.
func (s *Service) Version() int64 { return s.Snapshot().Version }

// IsFresh reports whether this VM may rely on its configuration at the moment now of the timer service.
func (s *Service) IsFresh(now time.Time) bool {
	s.init()
	return s.evidence.Load().IsFresh(now)
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
	for _, duty := range []struct {
		period time.Duration
		fn     func(now time.Time)
	}{
		{probePeriod, s.tick},
		{listPeriod, s.renewList},
		{witnessPeriod, func(time.Time) { s.maintain() }},
	} {
		sub := s.Timer.CallEvery(duty.period, func(now time.Time) { s.events.TryPush(func() { duty.fn(now) }) })
		defer sub.Stop()
	}
	s.listVMs()
	s.tick(s.Timer.Now())
	s.events.Consume(ctx, func(fn func()) { fn() })
	s.closeWatch()
	return nil
}

// tick sees to the watch and the probe.
func (s *Service) tick(now time.Time) {
	watches := s.Membership().IsPlatformWatcher()
	s.noteFreshness(now)
	if watches || !s.evidence.Load().IsFreshByWitnesses(now.Add(standInLead)) {
		s.standUntil = now.Add(standIn)
	}
	if !watches && now.After(s.standUntil) {
		s.closeWatch()
		return
	}
	s.probe()
	s.checkWatch(now)
}

// apply merges a change into the snapshot and the evidence.
func (s *Service) apply(d afconfig.Delta, source string) {
	old := s.snapshot.Load()
	next, err := old.MergeDelta(d)
	if err != nil {
		s.log().Error("malformed configuration object counts as deleted", "source", source, "error", err)
	}
	if next == old {
		return
	}
	s.snapshot.Store(next)
	s.updateEvidence(func(v afconfig.FreshnessView) afconfig.FreshnessView { return v.WithSnapshot(next) })
	s.log().Info("configuration changed",
		"version", next.Version, "before", old.Version, "objects", len(d.Objects), "source", source)
	s.mu.Lock()
	subscribers := s.subscribers
	close(s.raised)
	s.raised = make(chan struct{})
	s.mu.Unlock()
	for _, fn := range subscribers {
		fn(next)
	}
}

// updateEvidence replaces the view of the evidence.
func (s *Service) updateEvidence(fn func(afconfig.FreshnessView) afconfig.FreshnessView) {
	now := s.Timer.Now()
	old := s.evidence.Load()
	next := fn(*old).AllowVouchingIfFresh(now)
	s.evidence.Store(&next)
	s.noteFreshness(now)
}

// noteFreshness logs when freshness begins or ends.
func (s *Service) noteFreshness(now time.Time) {
	v := s.evidence.Load()
	if fresh := v.IsFresh(now); fresh != s.fresh {
		s.fresh = fresh
		s.log().Info("configuration freshness changed",
			"fresh", fresh, "peers", v.IsFreshByWitnesses(now), "version", v.Version(), "epoch", v.Witnesses().Epoch)
	}
}

// wait returns a channel that is closed when the version next rises.
func (s *Service) wait() <-chan struct{} {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.raised
}

// BuildReport returns what other VMs may know about this one's configuration.
func (s *Service) BuildReport(now time.Time) afpeer.ConfigurationReport {
	s.init()
	v := s.evidence.Load()
	r := afpeer.ConfigurationReport{Version: v.Version(), Epoch: v.Witnesses().Epoch, CanVouch: v.CanVouch()}
	r.Evidence = v.RecentEvidence(now)
	if l := s.listed.Load(); l != nil && s.sharesList() {
		r.ListDigest, r.ListRequestedAt = l.digest, l.asked
	}
	return r
}

// HandleReport takes another VM's report, which was asked for at the moment sent.
func (s *Service) HandleReport(from arbutusfork.Incarnation, sent time.Time, r afpeer.ConfigurationReport) {
	s.init()
	s.events.TryPush(func() {
		evidence := r.Evidence
		if r.CanVouch {
			evidence = append(evidence, afconfig.Evidence{
				Witness: from.VM, Start: from.StartID, Version: r.Version, Epoch: r.Epoch, RequestedAt: sent,
			})
		}
		s.updateEvidence(func(v afconfig.FreshnessView) afconfig.FreshnessView { return v.WithEvidence(evidence...) })
		if r.Version > s.Version() {
			s.pull(from.VM)
		}
		s.compareList(from.VM, r.ListDigest, r.ListRequestedAt)
	})
}
