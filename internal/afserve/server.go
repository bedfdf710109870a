// Package afserve builds the daemon of a VM from its components, runs it and shuts it down.
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
	"arbutusfork.example/arbutusfork/internal/afcrash"
	"arbutusfork.example/arbutusfork/internal/afdispatch"
	"arbutusfork.example/arbutusfork/internal/afentry"
	"arbutusfork.example/arbutusfork/internal/afexplain"
	"arbutusfork.example/arbutusfork/internal/aflog"
	"arbutusfork.example/arbutusfork/internal/afoperator"
	"arbutusfork.example/arbutusfork/internal/afpeer"
	"arbutusfork.example/arbutusfork/internal/afquota"
	"arbutusfork.example/arbutusfork/internal/afsettings"
	"arbutusfork.example/arbutusfork/internal/afsync"
	"arbutusfork.example/arbutusfork/pkg/afhead"
	"arbutusfork.example/arbutusfork/pkg/afmember"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

// minProcs is the minimum of GOMAXPROCS. nbio's pollers keep their processors while they block in epoll_wait, so requests
// need further ones: with GOMAXPROCS=1, the API for callers serves about half as many requests a second as with 3.
const minProcs = 3

// Server is the daemon of one VM. Set the exported fields before calling Run.
type Server struct {
	Settings afsettings.Settings
	// Hangups receives SIGHUP, which changes nothing, since the settings are read only at the start. Nil means none.
	Hangups <-chan os.Signal

	self  arbutusfork.Incarnation
	log   *slog.Logger
	timer *aftimer.Service

	explain        *afexplain.DecisionRing
	registry       *prometheus.Registry
	platformClient *afobject.Client
	peers          *afpeer.Service
	sync           *afsync.Service
	quota          *afquota.Service
	booking        *afbooking.Service
	control        *afcontrol.Service
	crashes        *afcrash.Service
	dispatch       *afdispatch.Service
	entry          *afentry.Server
	operator       *afoperator.Server

	// departures records which incarnations of VMs have ended.
	departures atomic.Pointer[afmember.DepartureTracker]
	// drainRequested is closed when an operator requests a graceful shutdown.
	drainRequested chan struct{}
	drainOnce      sync.Once
	// isStopping is set when a graceful shutdown has started.
	isStopping atomic.Bool
}

// Run runs the daemon until ctx ends or an operator drains the VM, and then shuts it down gracefully. It returns an error
// if a component fails.
func Run(ctx context.Context, settings afsettings.Settings, hangups <-chan os.Signal) error {
	runtime.GOMAXPROCS(max(runtime.GOMAXPROCS(0), minProcs))
	s := &Server{Settings: settings, Hangups: hangups}
	return s.Run(ctx)
}

// Run builds the components, runs them until ctx ends or an operator drains the VM, and shuts them down.
func (s *Server) Run(ctx context.Context) error {
	s.buildComponents()
	// The components keep running after ctx has ended, so that the graceful shutdown can finish requests.
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	failures := make(chan error, len(s.components()))
	var wg sync.WaitGroup
	for _, component := range s.components() {
		wg.Go(func() {
			if err := component.run(runCtx); err != nil {
				failures <- &Error{Op: "run " + component.name, Kind: ComponentFailed, Err: err}
			}
		})
	}
	s.log.Info("daemon started", "vm", s.self.VM, "incarnation", s.self.String(), "centre", s.Settings.Centre)
	var err error
	select {
	case <-ctx.Done():
		s.shutdown(runCtx)
	case <-s.drainRequested:
		s.shutdown(runCtx)
	case err = <-failures:
		s.log.Error("daemon failed", "error", err)
	}
	cancel()
	wg.Wait()
	s.log.Info("daemon stopped", "vm", s.self.VM)
	return err
}

// component is a part of the daemon that runs in its own goroutine.
type component struct {
	name string
	run  func(ctx context.Context) error
}

// components returns the components that Run starts.
func (s *Server) components() []component {
	withoutError := func(fn func(context.Context)) func(context.Context) error {
		return func(ctx context.Context) error {
			fn(ctx)
			return nil
		}
	}
	return []component{
		{"timer", withoutError(s.timer.Run)},
		{"peers", s.peers.Run},
		{"sync", s.sync.Run},
		{"quota", withoutError(s.quota.Run)},
		{"crashes", withoutError(s.crashes.Run)},
		{"control", withoutError(s.control.Run)},
		{"dispatch", s.dispatch.Run},
		{"entry", s.entry.Run},
		{"operator", s.operator.Run},
		{"hangups", withoutError(s.runHangups)},
	}
}

// runHangups logs each of Hangups.
func (s *Server) runHangups(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.Hangups:
			s.log.Warn("SIGHUP ignored, settings are read only at the start")
		}
	}
}

// buildComponents creates all components. Later components use the earlier ones.
func (s *Server) buildComponents() {
	s.self = arbutusfork.Incarnation{VM: s.Settings.VM, StartID: time.Now().UnixNano()}
	s.timer = &aftimer.Service{}
	s.drainRequested = make(chan struct{})
	s.departures.Store(&afmember.DepartureTracker{})
	s.explain = &afexplain.DecisionRing{MaxBytes: s.Settings.MaxExplainBytes}
	s.log = slog.New(s.explain.NewHandler(s.newLogHandler()))
	aflog.RouteEngineLog(s.log)
	s.registry = prometheus.NewRegistry()
	s.platformClient = &afobject.Client{BaseURL: s.Settings.PlatformURL, Timeout: s.Settings.PlatformCallTimeout, OnEraChange: s.handleEraChange}
	s.buildPeers()
	s.buildCrashes()
	s.buildLimits()
	s.buildPlacement()
	s.buildEntry()
	s.buildOperator()
	s.registerMetrics()
}

// newLogHandler returns the handler that writes logs to standard error in the format of the settings.
func (s *Server) newLogHandler() slog.Handler {
	options := &slog.HandlerOptions{Level: s.Settings.LogLevel}
	if s.Settings.LogsJSON {
		return slog.NewJSONHandler(os.Stderr, options)
	}
	return slog.NewTextHandler(os.Stderr, options)
}

// newEndpointClient returns the HTTP client for orders to endpoints. It has no timeout, because each order has its own
// deadline.
func newEndpointClient() *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	// On a kept connection, a second copy of an earlier answer would count as the status or as the answer to an order.
	transport.DisableKeepAlives = true
	transport.DialContext = afhead.DialConns(transport.DialContext)
	return &http.Client{Transport: &afhead.Transport{Base: transport}}
}
