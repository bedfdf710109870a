// Package afoperator serves the operators' HTTP interface, metrics and health checks of one VM.
package afoperator

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afconfig"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

const (
	// The platform refuses values above 1 MB. The request also carries field names and CSV quoting.
	maxBodyBytes   = 4 << 20
	maxConnections = 1024
	// A request makes a few calls to the platform and waits once for confirmation.
	defaultCall    = 10 * time.Second
	defaultConfirm = 3 * time.Second
	writeTimeout   = 10 * time.Second
	// In this mode nbhttp keeps a connection open after a malformed request, so that this bound closes it.
	readTimeout = 30 * time.Second
	// Bounds the wait for requests that are being answered when the server stops.
	stopWait = 5 * time.Second
)

// Server is the operators' interface. Set the exported fields before Run.
type Server struct {
	// Address is the listen address.
	Address string
	// TokenDigest is the hexadecimal SHA-256 of the operator token.
	TokenDigest string
	// Snapshot returns the VM's configuration. It serves lists and the search for references to an object.
	Snapshot func() *afconfig.Snapshot
	// Get, Create, Update and Delete call the platform. Update and Delete are conditional on the version.
	GetObject    func(ctx context.Context, kind, name string) (afobject.Object, error)
	CreateObject func(ctx context.Context, o afobject.Object) (afobject.Object, error)
	UpdateObject func(ctx context.Context, o afobject.Object) (afobject.Object, error)
	DeleteObject func(ctx context.Context, kind, name string, version int64) error
	// ConfirmVersion returns nil once a majority of the witnesses holds the version.
	ConfirmVersion func(ctx context.Context, version int64) error
	// CheckReady reports whether the VM takes callers' requests, and otherwise why not.
	CheckReady func() (bool, string)
	// ReportStatus returns a value that is encoded as JSON.
	ReportStatus func() any
	// ExplainDecisions returns the recorded decisions on a request or a model.
	ExplainDecisions func(request, model string) (any, bool)
	// StartDrain starts the graceful shutdown and returns at once.
	StartDrain func()
	Gatherer   prometheus.Gatherer
	Log        *slog.Logger

	// NewAPIKeySecret returns a new key in clear text. Nil means arbutusfork.NewAPIKeySecret.
	NewAPIKeySecret func() string
	// Listen opens the listener. Nil means net.Listen.
	Listen func(network, address string) (net.Listener, error)
	// RequestTimeout bounds one request with its calls to the platform. Zero means 10 s.
	RequestTimeout time.Duration
	// ConfirmTimeout bounds the wait for the witnesses. Zero means 3 s.
	ConfirmTimeout time.Duration

	mu       sync.Mutex
	stopping bool
	active   sync.WaitGroup // active counts requests that are being answered.
}

// Run serves until ctx ends, then answers the requests that it has begun. The error is an *Error.
func (s *Server) Run(ctx context.Context) error {
	engine := nbhttp.NewEngine(nbhttp.Config{
		Name:              "operators",
		Network:           "tcp",
		Addrs:             []string{s.Address},
		Listen:            s.Listen,
		MaxLoad:           maxConnections,
		MaxHTTPBodySize:   2 * maxBodyBytes, // The handlers answer bodies above their own bound.
		Handler:           s.Handler(),
		SupportServerOnly: true,
		// A goroutine per connection, since operators are few. Its writes return once the kernel has the answer,
		// so that a shutdown after the handlers cuts none.
		IOMod:         nbhttp.IOModBlocking,
		WriteTimeout:  writeTimeout,
		KeepaliveTime: readTimeout,
	})
	if err := engine.Start(); err != nil {
		return &Error{Op: "listen on " + s.Address, Kind: InternalError, Err: err}
	}
	s.Log.Info("operator interface started", "address", s.Address)
	<-ctx.Done()
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.active.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(stopWait):
		s.Log.Warn("operator requests cut at shutdown", "after", stopWait)
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopWait)
	defer cancel()
	if err := engine.Shutdown(stop); err != nil {
		return &Error{Op: "stop", Kind: InternalError, Err: err}
	}
	return nil
}

// Handler returns the handler of all paths.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	metrics := promhttp.HandlerFor(s.Gatherer, promhttp.HandlerOpts{})
	mux.Handle("GET /metrics", whole(metrics))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", s.ready)

	for kind := range kinds {
		mux.Handle("GET /v1/"+kind, s.guard(s.list(kind)))
		mux.Handle("GET /v1/"+kind+"/{name}", s.guard(s.get(kind)))
		mux.Handle("PUT /v1/"+kind+"/{name}", s.guard(s.put(kind)))
		mux.Handle("DELETE /v1/"+kind+"/{name}", s.guard(s.remove(kind)))
	}
	mux.Handle("POST /v1/"+afobject.KindKeys, s.guard(s.issue))
	mux.Handle("POST /v1/"+afobject.KindKeys+"/{name}/withdraw", s.guard(s.withdraw))
	mux.Handle("GET /v1/sheet", s.guard(s.showSheet))
	mux.Handle("POST /v1/sheet/check", s.guard(s.checkSheet))
	mux.Handle("POST /v1/sheet/diff", s.guard(s.diffSheet))
	mux.Handle("POST /v1/sheet/accept", s.guard(s.acceptSheet))
	mux.Handle("PATCH /v1/sheet", s.guard(s.adjustSheet))
	mux.Handle("GET /v1/status", s.guard(s.status))
	mux.Handle("GET /v1/explain", s.guard(s.explain))
	mux.Handle("POST /v1/drain", s.guard(s.drain))
	return mux
}

func (s *Server) secret() string {
	if s.NewAPIKeySecret != nil {
		return s.NewAPIKeySecret()
	}
	return arbutusfork.NewAPIKeySecret()
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}
