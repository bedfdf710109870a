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
	// maxBodyBytes leaves room for field names and CSV quoting above the largest stored value, see maxSpecBytes.
	maxBodyBytes   = 4 << 20
	maxConnections = 1024
	// defaultRequestTimeout allows for a few calls to the platform and one wait for the confirmation.
	defaultRequestTimeout = 10 * time.Second
	defaultConfirmTimeout = 3 * time.Second
	writeTimeout          = 10 * time.Second
	// readTimeout also closes a connection after a malformed request, which nbhttp keeps open in blocking mode.
	readTimeout = 30 * time.Second
	// stopTimeout bounds the wait for running requests at shutdown, and then the shutdown of the HTTP engine.
	stopTimeout = 5 * time.Second
)

// Server is the operators' HTTP server. Set the exported fields before Run.
type Server struct {
	// Address is the listen address as host:port.
	Address string
	// TokenDigest is the hexadecimal SHA-256 of the operator token.
	TokenDigest string
	// Snapshot returns the VM's configuration, which serves lists and the search for references to an object.
	Snapshot func() *afconfig.Snapshot
	// GetObject reads an object from the platform.
	GetObject func(ctx context.Context, kind, name string) (afobject.Object, error)
	// CreateObject creates an object on the platform. It fails if the object exists.
	CreateObject func(ctx context.Context, o afobject.Object) (afobject.Object, error)
	// UpdateObject replaces an object on the platform if its stored version is o.Version.
	UpdateObject func(ctx context.Context, o afobject.Object) (afobject.Object, error)
	// DeleteObject deletes an object on the platform if its stored version is version.
	DeleteObject func(ctx context.Context, kind, name string, version int64) error
	// ConfirmVersion returns nil once a majority of the witnesses holds the version.
	ConfirmVersion func(ctx context.Context, version int64) error
	// CheckReady reports whether the VM accepts callers' requests. If not, the string is the reason.
	CheckReady func() (bool, string)
	// ReportStatus returns the status of the VM, which is sent as JSON.
	ReportStatus func() any
	// ExplainDecisions returns the recorded decisions on a request or a model, or false if there are none.
	ExplainDecisions func(request, model string) (any, bool)
	// StartDrain starts the graceful shutdown of the VM without waiting for its end.
	StartDrain func()
	// Gatherer provides the metrics.
	Gatherer prometheus.Gatherer
	Log      *slog.Logger

	// NewAPIKeySecret returns a new key in clear text. Nil means arbutusfork.NewAPIKeySecret.
	NewAPIKeySecret func() string
	// Listen opens the listener. Nil means net.Listen.
	Listen func(network, address string) (net.Listener, error)
	// RequestTimeout bounds one request, including its calls to the platform. Zero means 10 s.
	RequestTimeout time.Duration
	// ConfirmTimeout bounds the wait for the confirmation of a change by the witnesses. Zero means 3 s.
	ConfirmTimeout time.Duration

	mu             sync.Mutex
	isStopping     bool
	activeRequests sync.WaitGroup // activeRequests counts running requests; Run waits for them at shutdown.
}

// Run serves until ctx is done, then waits for the running requests. The error is an *Error.
func (s *Server) Run(ctx context.Context) error {
	engine := nbhttp.NewEngine(nbhttp.Config{
		Name:              "operators",
		Network:           "tcp",
		Addrs:             []string{s.Address},
		Listen:            s.Listen,
		MaxLoad:           maxConnections,
		MaxHTTPBodySize:   2 * maxBodyBytes, // Larger than maxBodyBytes, so that a handler can report a body that is too large.
		Handler:           s.Handler(),
		SupportServerOnly: true,
		// Blocking mode uses a goroutine per connection, which suffices for a few operators. A write returns once the
		// kernel has the data, so a shutdown after the handlers have returned truncates no response.
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
	s.isStopping = true
	s.mu.Unlock()
	finished := make(chan struct{})
	go func() {
		s.activeRequests.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-time.After(stopTimeout):
		s.Log.Warn("operator requests aborted at shutdown", "after", stopTimeout)
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err := engine.Shutdown(stopCtx); err != nil {
		return &Error{Op: "stop", Kind: InternalError, Err: err}
	}
	return nil
}

// Handler returns the HTTP handler for all paths of the server.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	metrics := promhttp.HandlerFor(s.Gatherer, promhttp.HandlerOpts{})
	mux.Handle("GET /metrics", bufferResponse(metrics))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", s.handleReady)

	for kind := range objectKinds {
		mux.Handle("GET /v1/"+kind, s.authorizeAndServe(s.handleList(kind)))
		mux.Handle("GET /v1/"+kind+"/{name}", s.authorizeAndServe(s.handleGet(kind)))
		mux.Handle("PUT /v1/"+kind+"/{name}", s.authorizeAndServe(s.handlePut(kind)))
		mux.Handle("DELETE /v1/"+kind+"/{name}", s.authorizeAndServe(s.handleDelete(kind)))
	}
	mux.Handle("POST /v1/"+afobject.KindKeys, s.authorizeAndServe(s.handleIssueKey))
	mux.Handle("POST /v1/"+afobject.KindKeys+"/{name}/withdraw", s.authorizeAndServe(s.handleWithdrawKey))
	mux.Handle("GET /v1/sheet", s.authorizeAndServe(s.handleShowSheet))
	mux.Handle("POST /v1/sheet/check", s.authorizeAndServe(s.handleCheckSheet))
	mux.Handle("POST /v1/sheet/diff", s.authorizeAndServe(s.handleDiffSheet))
	mux.Handle("POST /v1/sheet/accept", s.authorizeAndServe(s.handleAcceptSheet))
	mux.Handle("PATCH /v1/sheet", s.authorizeAndServe(s.handleAdjustSheet))
	mux.Handle("GET /v1/status", s.authorizeAndServe(s.handleStatus))
	mux.Handle("GET /v1/explain", s.authorizeAndServe(s.handleExplain))
	mux.Handle("POST /v1/drain", s.authorizeAndServe(s.handleDrain))
	return mux
}

func (s *Server) newKeySecret() string {
	if s.NewAPIKeySecret != nil {
		return s.NewAPIKeySecret()
	}
	return arbutusfork.NewAPIKeySecret()
}

func durationOrDefault(d, defaultValue time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return defaultValue
}
