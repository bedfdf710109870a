// Package afserve builds the daemon from its slices, runs it and shuts it down.
package afserve

import (
	"context"
	"log/slog"
	"net/http"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afbooking"
	"arbutusfork.example/arbutusfork/internal/afcontrol"
	"arbutusfork.example/arbutusfork/internal/afdispatch"
	"arbutusfork.example/arbutusfork/internal/afentry"
	"arbutusfork.example/arbutusfork/internal/afexplain"
	"arbutusfork.example/arbutusfork/internal/aflog"
	"arbutusfork.example/arbutusfork/internal/afoperator"
	"arbutusfork.example/arbutusfork/internal/afpeer"
	"arbutusfork.example/arbutusfork/internal/afquota"
	"arbutusfork.example/arbutusfork/internal/afsettings"
	"arbutusfork.example/arbutusfork/internal/afsync"
	"arbutusfork.example/arbutusfork/pkg/afmember"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

// minProcs keeps processors for requests while nbio's pollers hold theirs in epoll_wait: with GOMAXPROCS=1 the
// callers' interface answers about half as many requests a second as with 3.
const minProcs = 3

// Server is the daemon of one VM. Set Settings before Run.
type Server struct {
	Settings afsettings.Settings

	self  arbutusfork.Incarnation
	log   *slog.Logger
	timer *aftimer.Service

	explain  *afexplain.DecisionRing
	registry *prometheus.Registry
	client   *afobject.Client
	peers    *afpeer.Service
	sync     *afsync.Service
	quota    *afquota.Service
	booking  *afbooking.Service
	control  *afcontrol.Service
	dispatch *afdispatch.Service
	entry    *afentry.Server
	operator *afoperator.Server

	departures atomic.Pointer[afmember.DepartureTracker]
	draining   chan struct{} // draining is closed when an operator asks for a graceful shutdown.
	drainOnce  sync.Once
	stopping   atomic.Bool
}

// Run serves until ctx ends or an operator drains the VM, and then shuts down gracefully. It returns an error if
// a slice cannot start.
func Run(ctx context.Context, settings afsettings.Settings) error {
	runtime.GOMAXPROCS(max(runtime.GOMAXPROCS(0), minProcs))
	s := &Server{Settings: settings}
	return s.Run(ctx)
}

// Run builds the slices, runs them and shuts them down.
func (s *Server) Run(ctx context.Context) error {
	s.build()
	// The slices outlive ctx, so that they can finish what they have begun.
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	failed := make(chan error, len(s.duties()))
	var wg sync.WaitGroup
	for _, duty := range s.duties() {
		wg.Go(func() {
			if err := duty.run(run); err != nil {
				failed <- &Error{Op: "run " + duty.name, Kind: ComponentFailed, Err: err}
			}
		})
	}
	s.log.Info("daemon started", "vm", s.self.VM, "incarnation", s.self.String(), "centre", s.Settings.Centre)
	var err error
	select {
	case <-ctx.Done():
		s.shutdown(run)
	case <-s.draining:
		s.shutdown(run)
	case err = <-failed:
		s.log.Error("daemon failed", "error", err)
	}
	cancel()
	wg.Wait()
	s.log.Info("daemon stopped", "vm", s.self.VM)
	return err
}

// duty is one part of the daemon with its own goroutine.
type duty struct {
	name string
	run  func(ctx context.Context) error
}

func (s *Server) duties() []duty {
	plain := func(fn func(context.Context)) func(context.Context) error {
		return func(ctx context.Context) error {
			fn(ctx)
			return nil
		}
	}
	return []duty{
		{"timer", plain(s.timer.Run)},
		{"peers", s.peers.Run},
		{"sync", s.sync.Run},
		{"quota", plain(s.quota.Run)},
		{"control", plain(s.control.Run)},
		{"dispatch", s.dispatch.Run},
		{"entry", s.entry.Run},
		{"operator", s.operator.Run},
	}
}

func (s *Server) build() {
	s.self = arbutusfork.Incarnation{VM: s.Settings.VM, StartID: time.Now().UnixNano()}
	s.timer = &aftimer.Service{}
	s.draining = make(chan struct{})
	s.departures.Store(&afmember.DepartureTracker{})
	s.explain = &afexplain.DecisionRing{MaxBytes: s.Settings.MaxExplainBytes}
	s.log = slog.New(s.explain.NewHandler(s.logHandler()))
	aflog.RouteEngineLog(s.log)
	s.registry = prometheus.NewRegistry()
	s.client = &afobject.Client{Base: s.Settings.PlatformURL, Timeout: s.Settings.PlatformCallTimeout}
	s.buildPeers()
	s.buildLimits()
	s.buildPlacement()
	s.buildEntry()
	s.buildOperator()
	s.collect()
}

func (s *Server) logHandler() slog.Handler {
	options := &slog.HandlerOptions{Level: s.Settings.LogLevel}
	if s.Settings.LogsJSON {
		return slog.NewJSONHandler(os.Stderr, options)
	}
	return slog.NewTextHandler(os.Stderr, options)
}

// endpointClient returns the client for orders to endpoints. Each order has its own deadline.
func endpointClient() *http.Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	t.MaxIdleConnsPerHost = 2
	return &http.Client{Transport: t}
}
