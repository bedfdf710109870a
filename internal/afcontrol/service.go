// Package afcontrol owns placement shards: it keeps their leases, sends orders to endpoints, watches what they
// report, and publishes the routing table to the other VMs.
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
	ringSize = 4096
	// tick is the period of the owner loop. Events act at once; the tick bounds how late a timed action may be.
	tick = 50 * time.Millisecond
	// callTimeout bounds a platform call, a peer call and an endpoint's answer to an order. It is below the lease
	// term, so that a silent connection does not cost the lease.
	callTimeout = 2 * time.Second
)

// Service runs the placement of the shards that this VM owns and follows the others. Set the exported fields
// before Run and do not change them afterwards.
type Service struct {
	Self  arbutusfork.Incarnation
	Timer *aftimer.Service
	Log   *slog.Logger
	// Snapshot returns the configuration in force.
	Snapshot func() *afconfig.Snapshot
	// Get, Create and Update reach the platform's objects. Their errors are *afobject.Error.
	GetObject    func(ctx context.Context, kind, name string) (afobject.Object, error)
	CreateObject func(ctx context.Context, o afobject.Object) (afobject.Object, error)
	UpdateObject func(ctx context.Context, o afobject.Object) (afobject.Object, error)
	// SendMessage and Call reach another VM.
	SendMessage func(vm, kind string, message any) error
	CallVM      func(ctx context.Context, vm, kind string, message, answer any) error
	// Members returns the VMs that are believed to be live. It may include this VM.
	Members func() []arbutusfork.VM
	// IsGone reports whether the platform's list no longer has the incarnation.
	IsGone func(arbutusfork.Incarnation) bool
	// HTTPClient reaches the endpoints.
	HTTPClient *http.Client

	once  sync.Once
	ring  *afring.Ring[func()]
	ended chan struct{} // ended is closed when Run returns.
	table atomic.Pointer[afplacement.Table]
	tasks sync.WaitGroup
	calls atomic.Int64 // calls counts the tasks that run.

	mu    sync.Mutex
	local map[string]*localDemand // local is this VM's demand by model.
	woken bool                    // woken tells that the loop has been told of new demand.

	// The fields below belong to the loop goroutine.
	ctx     context.Context
	config  *afconfig.Snapshot
	shards  map[string]*shard
	counts  map[string]int // counts is the number of shards by service.
	flushed time.Time
}

func (s *Service) init() {
	s.once.Do(func() {
		s.ring = afring.New[func()](ringSize)
		s.ended = make(chan struct{})
		s.local = make(map[string]*localDemand)
		s.shards = make(map[string]*shard)
		if s.Log == nil {
			s.Log = slog.New(slog.DiscardHandler)
		}
		if s.HTTPClient == nil {
			s.HTTPClient = http.DefaultClient
		}
	})
}

// Run owns and follows shards until ctx ends, and returns after the calls that it started have ended.
func (s *Service) Run(ctx context.Context) {
	s.init()
	s.ctx = ctx
	sub := s.Timer.Every(tick, func(time.Time) { s.ring.Push(s.tick) })
	s.ring.Drain(ctx, func(fn func()) { fn() })
	sub.Stop()
	close(s.ended)
	s.tasks.Wait()
}

// RoutingTable returns the routing table as this VM knows it. It never returns nil.
func (s *Service) RoutingTable() *afplacement.Table {
	if t := s.table.Load(); t != nil {
		return t
	}
	return &afplacement.Table{}
}

// TableDigests returns the digest of the routing table for heartbeats. It is empty in a large fleet, in which VMs do not
// pull parts from each other.
func (s *Service) TableDigests() map[string]int64 {
	if s.large() {
		return nil
	}
	return s.RoutingTable().Digests()
}

// spawn runs fn beside the loop and gives what it returns to the loop.
func (s *Service) spawn(fn func(ctx context.Context) func()) {
	s.tasks.Add(1)
	s.calls.Add(1)
	go func() {
		defer s.tasks.Done()
		defer s.calls.Add(-1)
		ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
		defer cancel()
		if then := fn(ctx); then != nil {
			s.ring.Wait(s.ctx, then)
		}
	}()
}

// ask runs fn on the loop and waits for it. It reports false if the loop has ended or ctx ends first.
func (s *Service) ask(ctx context.Context, fn func()) bool {
	s.init()
	done := make(chan struct{})
	if !s.ring.Wait(ctx, func() { fn(); close(done) }) {
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

// tick lets time pass for all shards.
func (s *Service) tick() {
	now := s.Timer.Now()
	s.configure(now)
	members := s.Members()
	life := lifePeriods * period(len(members))
	for _, sh := range s.shards {
		sh.view.DemandTTL = life
		sh.audience.expire(now, max(life, interestLife))
		sh.view.Rank = afplacement.OwnerRank(sh.name, s.Self.VM, members)
		s.follow(sh, now)
		s.poll(sh, now)
		s.checkGone(sh, now)
		s.step(sh, afplacement.ReportBatch{Statuses: sh.seen})
		sh.seen = nil
	}
	s.flush(now)
}
