// Package afcontrol runs the placement shards of one VM: it renews the leases of the shards that the VM owns, sends
// orders to endpoints, polls their status, and publishes the routing table to the other VMs.
package afcontrol

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afconfig"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/afplacement"
	"arbutusfork.example/arbutusfork/pkg/afring"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

const (
	// loopQueueSize is the capacity of the queue of functions to run on the loop.
	loopQueueSize = 4096
	// tickInterval is the interval at which the loop checks timed actions, and thus their longest delay. Events are
	// applied at once.
	tickInterval = 50 * time.Millisecond
	// callTimeout is the timeout of a call to the platform, a peer or an endpoint. It is shorter than the lease term,
	// so that an unresponsive connection does not cost the lease.
	callTimeout = 2 * time.Second
)

// Service runs the placement of the shards that this VM owns and follows the shards of other VMs. The exported fields
// must be set before Run and not be changed afterwards.
type Service struct {
	Self  arbutusfork.Incarnation
	Timer *aftimer.Service
	Log   *slog.Logger
	// Snapshot returns the configuration in force.
	Snapshot func() *afconfig.Snapshot
	// GetObject reads an object of the platform. Its errors are *afobject.Error.
	GetObject func(ctx context.Context, kind, name string) (afobject.Object, error)
	// CreateObject creates an object of the platform. Its errors are *afobject.Error.
	CreateObject func(ctx context.Context, o afobject.Object) (afobject.Object, error)
	// UpdateObject updates an object of the platform from its version. Its errors are *afobject.Error.
	UpdateObject func(ctx context.Context, o afobject.Object) (afobject.Object, error)
	// SendToVM sends a message to another VM without an answer.
	SendToVM func(vm, kind string, message any) error
	// CallVM sends a message to another VM and waits for the answer.
	CallVM func(ctx context.Context, vm, kind string, message, answer any) error
	// LiveVMs returns the live VMs. It may include this VM.
	LiveVMs func() []arbutusfork.VM
	// IsGone reports whether the incarnation can no longer act.
	IsGone func(arbutusfork.Incarnation) bool
	// HTTPClient is used for requests to endpoints.
	HTTPClient *http.Client

	once         sync.Once
	loopQueue    *afring.Queue[func()]
	ended        chan struct{} // ended is closed when Run returns.
	table        atomic.Pointer[afplacement.Table]
	tasks        sync.WaitGroup // tasks waits for the goroutines of calls.
	runningCalls atomic.Int64   // runningCalls counts the calls in progress.

	mu            sync.Mutex
	demandByModel map[string]*localDemand // demandByModel is this VM's demand.
	wakePending   bool                    // wakePending means that the report of urgent demand is queued on the loop.

	// Only the loop goroutine uses the fields below.
	ctx           context.Context
	config        *afconfig.Snapshot
	shards        map[string]*shard
	shardCounts   map[string]int // shardCounts is the number of shards by service.
	era           int64          // era is the highest era of the store that an answer named.
	eraSeenAt     time.Time      // eraSeenAt is when era was first seen.
	summarySentAt time.Time      // summarySentAt is when demand was last reported in a summary.
}

func (s *Service) init() {
	s.once.Do(func() {
		s.loopQueue = afring.New[func()](loopQueueSize)
		s.ended = make(chan struct{})
		s.demandByModel = make(map[string]*localDemand)
		s.shards = make(map[string]*shard)
		if s.Log == nil {
			s.Log = slog.New(slog.DiscardHandler)
		}
		if s.HTTPClient == nil {
			s.HTTPClient = http.DefaultClient
		}
	})
}

// Run owns and follows shards until ctx ends, and returns after all calls in progress have ended.
func (s *Service) Run(ctx context.Context) {
	s.init()
	s.ctx = ctx
	sub := s.Timer.CallEvery(tickInterval, func(time.Time) { s.loopQueue.TryPush(s.runTick) })
	s.loopQueue.Consume(ctx, func(fn func()) { fn() })
	sub.Stop()
	close(s.ended)
	s.tasks.Wait()
}

// RoutingTable returns this VM's routing table. It never returns nil.
func (s *Service) RoutingTable() *afplacement.Table {
	if t := s.table.Load(); t != nil {
		return t
	}
	return &afplacement.Table{}
}

// TableVersions returns the versions of the routing table for heartbeats. It returns nil in a large fleet, in which VMs
// do not fetch parts from each other.
func (s *Service) TableVersions() map[string]afplacement.PartVersion {
	if s.isLargeFleet() {
		return nil
	}
	return s.RoutingTable().Versions()
}

// startCall runs fn in a goroutine and then runs the function that fn returns on the loop.
func (s *Service) startCall(fn func(ctx context.Context) func()) {
	s.tasks.Add(1)
	s.runningCalls.Add(1)
	go func() {
		defer s.tasks.Done()
		defer s.runningCalls.Add(-1)
		ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
		defer cancel()
		if apply := fn(ctx); apply != nil {
			s.loopQueue.PushWithContext(s.ctx, apply)
		}
	}()
}

// runOnLoop runs fn on the loop and waits for its end. It returns false if the loop has ended or ctx ends first.
func (s *Service) runOnLoop(ctx context.Context, fn func()) bool {
	s.init()
	done := make(chan struct{})
	if !s.loopQueue.PushWithContext(ctx, func() { fn(); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-s.ended:
	case <-ctx.Done():
	}
	return false
}

// runTick applies the current time to all shards.
func (s *Service) runTick() {
	now := s.Timer.Now()
	s.applyConfig(now)
	members := s.LiveVMs()
	ttl := demandTTLIntervals * summaryInterval(len(members))
	for _, sh := range s.shards {
		sh.view.DemandTTL, sh.view.EraSeenAt = ttl, s.eraSeenAt
		sh.subscribers.removeExpired(now, max(ttl, minInterestTTL))
		sh.view.Rank = afplacement.OwnerRank(sh.name, s.Self.VM, members)
		s.fetchRecordIfDue(sh, now)
		s.pollEndpoints(sh, now)
		s.reportGoneSenders(sh, now)
		s.applyEvent(sh, afplacement.ReportBatch{Statuses: sh.pendingReports})
		sh.pendingReports = nil
	}
	s.reportSummary(now)
}
