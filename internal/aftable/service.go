// Package aftable keeps the configuration in force on this VM and passes it on to VMs that have an older one.
//
// The platform's store confirms configurations, but may come back from a copy of before. A VM that starts then would read an
// older configuration until the operator has written the newer one again. What any VM holds was confirmed once, so that the
// highest version among the VMs goes before what the store shows.
package aftable

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/afroute"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

const (
	// compareInterval is the time between two comparisons of versions with some VM.
	compareInterval = time.Second
	// startCompareInterval is the same for each heartbeat peer during startTime after the start.
	startCompareInterval = 250 * time.Millisecond
	startTime            = 5 * time.Second
	// fetchDelay is how long a VM with a configuration waits for a newer one from the platform before it fetches it from another
	// VM. A change reaches all VMs within some hundred milliseconds.
	fetchDelay = 600 * time.Millisecond
	// fetchTimeout bounds a request for a configuration.
	fetchTimeout = 2 * time.Second
)

// Service holds the configuration in force. Set the exported fields before Run and before the first message.
type Service struct {
	Timer *aftimer.Service
	Log   *slog.Logger
	// Decode decodes a configuration as the platform stores it.
	Decode func(spec []byte) (*afroute.Table, error)
	// OnChange is called after another configuration came into force. It must not block.
	OnChange func()
	// OnRefused is called once for each version of an object that is refused. It must not block.
	OnRefused func()
	// HeartbeatPeers returns the VMs with which versions are compared.
	HeartbeatPeers func() []arbutusfork.VM
	// SendToVM sends a message to a VM. It must not block.
	SendToVM func(vm, kind string, message any) error
	// CallVM sends a message to a VM and waits for the answer.
	CallVM func(ctx context.Context, vm, kind string, message, answer any) error

	current atomic.Pointer[configuration]

	// mu serializes changes of the configuration and guards the fields below.
	mu sync.Mutex
	// isFetching means that a configuration is being fetched, or will be after fetchDelay.
	isFetching bool
	startedAt  time.Time
	// nextPeer is the position of the heartbeat peer of the next comparison.
	nextPeer int
	// refusedVersions holds the version of the last refused object, or nothing.
	refusedVersions []int64
}

// configuration is a configuration with its encoded form. It is immutable.
type configuration struct {
	table *afroute.Table
	// name and objectVersion are those of the platform's object, and spec is its content.
	name          string
	objectVersion int64
	spec          []byte
}

// Table returns the configuration in force, or nil.
func (s *Service) Table() *afroute.Table {
	if c := s.current.Load(); c != nil {
		return c.table
	}
	return nil
}

// Spec returns the configuration in force as the platform stores it, or nil. The caller must not change it.
func (s *Service) Spec() []byte {
	if c := s.current.Load(); c != nil {
		return c.spec
	}
	return nil
}

// version returns the version of the configuration in force, or zero.
func (s *Service) version() int64 {
	if t := s.Table(); t != nil {
		return t.Version
	}
	return 0
}

// Apply puts the configuration of the object in force unless it is malformed or not newer than the one in force.
func (s *Service) Apply(o afobject.Object) {
	t, err := s.Decode(o.Spec)
	if err != nil {
		s.mu.Lock()
		isLogged := slices.Contains(s.refusedVersions, o.Version)
		s.refusedVersions = []int64{o.Version}
		s.mu.Unlock()
		if isLogged {
			return // Every list contains the object.
		}
		s.OnRefused()
		s.Log.Error("configuration refused", "object", o.Name, "object_version", o.Version, "error", err)
		return
	}
	s.mu.Lock()
	old := s.Table()
	if old != nil && t.Version <= old.Version {
		s.mu.Unlock()
		if t.Version < old.Version {
			s.Log.Warn("older configuration ignored", "version", t.Version, "in_force", old.Version)
		}
		return
	}
	s.current.Store(&configuration{table: t, name: o.Name, objectVersion: o.Version, spec: o.Spec})
	s.mu.Unlock()
	s.Log.Info("configuration in force", "version", t.Version, "object_version", o.Version, "routes", t.RouteCount(),
		"services", len(t.Services()), "customers", len(t.Customers()))
	s.OnChange()
}

// Run compares versions with other VMs until ctx ends.
func (s *Service) Run(ctx context.Context) {
	s.mu.Lock()
	s.startedAt = s.Timer.Now()
	s.mu.Unlock()
	first := s.Timer.CallEvery(startCompareInterval, func(now time.Time) {
		if s.isStarting(now) {
			s.sendVersions(s.HeartbeatPeers())
		}
	})
	defer first.Stop()
	comparisons := s.Timer.CallEvery(compareInterval, func(now time.Time) {
		if peers := s.HeartbeatPeers(); !s.isStarting(now) && len(peers) > 0 {
			s.mu.Lock()
			s.nextPeer++
			peer := peers[s.nextPeer%len(peers)]
			s.mu.Unlock()
			s.sendVersions([]arbutusfork.VM{peer})
		}
	})
	defer comparisons.Stop()
	<-ctx.Done()
}

// isStarting reports whether this VM started a moment ago.
func (s *Service) isStarting(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.startedAt) < startTime
}
