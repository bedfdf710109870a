// Package afentry serves the HTTP API for callers.
package afentry

import (
	"context"
	"log/slog"
	"maps"
	"math"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/prometheus/client_golang/prometheus"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afaccept"
	"arbutusfork.example/arbutusfork/internal/afdispatch"
	"arbutusfork.example/arbutusfork/internal/aflog"
	"arbutusfork.example/arbutusfork/internal/afmemory"
	"arbutusfork.example/arbutusfork/pkg/afclaim"
	"arbutusfork.example/arbutusfork/pkg/afconfig"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

const (
	// defaultMaxBodyBytes limits the body of a request.
	defaultMaxBodyBytes = 4 << 20
	// defaultReadTimeout limits the time from the first to the last byte of the headers and of the body of a request.
	defaultReadTimeout = 10 * time.Second
	// defaultIdleTimeout is longer than the 60 s after which common load balancers close or reuse an idle connection.
	defaultIdleTimeout = 120 * time.Second
	// defaultWriteTimeout limits the time without send progress to a caller that does not read.
	defaultWriteTimeout = 10 * time.Second
	// defaultStaleConfigTimeout is how long admitted requests with a key continue after the configuration became stale. A
	// configuration becomes stale at most 3 s after it was last confirmed, so a withdrawn key stops working within 5 s on a
	// VM without contact to the others.
	defaultStaleConfigTimeout = time.Second
	// sweepInterval is how often timeouts are checked.
	sweepInterval = 200 * time.Millisecond
	// lingerTimeout is how long a connection is still read after a refusal. Closing it with unread data would send a reset,
	// and the caller's operating system would discard the response.
	lingerTimeout = 500 * time.Millisecond
	// drainIdleTimeout is how long a connection must be idle before it is closed while the server drains.
	drainIdleTimeout = time.Second
)

// Server serves the HTTP API for callers. Set its fields before Listen or Run.
type Server struct {
	// Snapshot returns the current configuration.
	Snapshot func() *afconfig.Snapshot
	// IsConfigFresh reports whether the configuration is recent enough to check keys. While it returns false, requests with a
	// key are refused.
	IsConfigFresh func() bool
	// ReserveTokens reserves tokens of the customer's rate limit. settle replaces the reserved tokens by the number of tokens
	// used.
	ReserveTokens func(ctx context.Context, customer string, tokens int64) (settle func(actual int64), refusal *arbutusfork.Refusal)
	// ClaimCall records a durable claim of a call that must run at most once, before the call is dispatched.
	ClaimCall func(ctx context.Context, call afclaim.Call) (afclaim.Result, *arbutusfork.Refusal)
	// FinishCall stores the response to a claimed call.
	FinishCall func(call afclaim.Call, answer afclaim.Answer)
	// CancelClaim cancels the claim of a call that was not dispatched.
	CancelClaim func(call afclaim.Call)

	// ForwardRequest, if it is set, handles every request instead of this server. It is called in a goroutine of its own, for
	// one request of a connection at a time, and must flush the response before it returns.
	ForwardRequest func(c *CallerConn, w http.ResponseWriter, r *http.Request)

	// Limits returns the limits of the configuration in force. Nil means that only the server's own bounds apply.
	Limits func() Limits
	// Memory bounds what callers send. Nil means no bound for all callers together.
	Memory *afmemory.Budget

	// Dispatcher sends calls to endpoints.
	Dispatcher *afdispatch.Service
	// Address is the IP address and port that callers connect to.
	Address  string
	Log      *slog.Logger
	Timer    *aftimer.Service
	Registry prometheus.Registerer

	// MaxBodyBytes limits the body of a request. Zero means 4 MB.
	MaxBodyBytes int
	// MaxHeaderBytes limits the request line and headers of one request. Zero means 32 KB.
	MaxHeaderBytes int
	// MaxConnections limits the open connections. Zero means as many as the descriptor limit allows.
	MaxConnections int
	// ReadTimeout limits the time from the first to the last byte of the headers, unless Limits does, and of the body of a
	// request. Zero means 10 s.
	ReadTimeout time.Duration
	// IdleTimeout is how long a connection may be idle between requests. Zero means 120 s.
	IdleTimeout time.Duration
	// WriteTimeout limits the time without send progress to a caller that does not read. Zero means 10 s.
	WriteTimeout time.Duration
	// StaleConfigTimeout is how long admitted requests with a key continue while IsConfigFresh returns false. Zero means 1 s.
	StaleConfigTimeout time.Duration
	// NewRequestID returns a request id that callers cannot guess. Nil means 16 random bytes.
	NewRequestID func() string

	initOnce     sync.Once
	metrics      metrics
	routeIndexes routeIndexCache
	listener     *limitedListener

	isDraining      atomic.Bool
	mu              sync.Mutex
	conns           map[*serverConn]struct{}
	runningRequests map[*runningRequest]struct{}
	// staleSince is when IsConfigFresh first returned false. It is zero while the configuration is fresh.
	staleSince time.Time
}

// Listen opens the listener at Address. Run calls it if it was not called before.
func (s *Server) Listen() error {
	s.applyDefaults()
	if s.listener != nil {
		return nil
	}
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		return &Error{Op: "open listener", Kind: OperationUnavailable, Err: err}
	}
	s.serveFrom(l)
	return nil
}

// serveFrom makes the server accept its connections from l.
func (s *Server) serveFrom(l net.Listener) {
	s.listener = &limitedListener{Listener: afaccept.NewListener(l, s.Timer, s.Log), server: s}
}

// Addr returns the address of the listener. It must be called after Listen.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Run serves callers until ctx ends, and then closes every connection. For a graceful shutdown, call Drain before ctx
// ends.
func (s *Server) Run(ctx context.Context) error {
	if err := s.Listen(); err != nil {
		return err
	}
	aflog.RouteEngineLog(s.Log)
	e := nbhttp.NewEngine(nbhttp.Config{
		Name: "entry",
		// The pollerBarrier works only if all connections have the same poller. Two pollers gave no measurable gain in
		// throughput.
		NPoller: 1,
		// The bodyReceiver bounds what the parser holds, since the limits may change.
		ReadLimit:         math.MaxInt,
		Handler:           http.HandlerFunc(s.serveRequest),
		SupportServerOnly: true,
		ReadBufferSize:    readBufferBytes,
	})
	e.OnRequest = attachBody
	// acceptConns accepts the connections instead of nbhttp, so nbhttp does not set its own close handler.
	e.Engine.OnClose(func(c *nbio.Conn, err error) {
		if sc, ok := c.Session().(*serverConn); ok {
			sc.CloseAndClean(err)
		}
	})
	e.OnWrittenSize(func(c *nbio.Conn, _ []byte, n int) {
		if sc, ok := c.Session().(*serverConn); ok {
			sc.recordSentBytes(n)
		}
	})
	if err := e.Start(); err != nil {
		return &Error{Op: "start HTTP engine", Kind: OperationUnavailable, Err: err}
	}
	sweep := s.Timer.CallEvery(sweepInterval, s.sweepConns)
	s.Log.Info("serving callers", "address", s.Addr(), "connections", s.MaxConnections)
	b, err := newPollerBarrier(e)
	if err != nil {
		return &Error{Op: "create poller barrier", Kind: OperationUnavailable, Err: err}
	}
	var wg sync.WaitGroup
	newConns := make(chan *serverConn, maxAcceptBatch)
	wg.Go(func() { s.acceptConns(e, newConns) })
	wg.Go(func() { s.registerConns(e, b, newConns) })
	<-ctx.Done()
	_ = s.listener.Close()
	wg.Wait()
	b.close()
	sweep.Stop()
	s.closeConns()
	e.Stop()
	return nil
}

// attachBody replaces the parser's body of a request by that of the bodyReceiver.
func attachBody(w http.ResponseWriter, r *http.Request) {
	res, ok := w.(*nbhttp.Response)
	if !ok {
		return
	}
	c, ok := res.Parser.Conn.(*countingConn)
	if !ok {
		return
	}
	b := c.owner.receiver.finishRequest()
	r.Body = b
	if b.isRefused && c.owner.validator.expectsContinue {
		r.Close = true // The caller may send the body or not, so that the next request cannot be found.
	}
}

// closeConns closes all connections and cancels their requests. A stopped engine no longer reports closed connections.
func (s *Server) closeConns() {
	s.mu.Lock()
	conns := slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	for _, sc := range conns {
		sc.CloseAndClean(net.ErrClosed)
		_ = sc.nbConn.Close()
	}
}

// Drain waits until all requests have ended. Requests on open connections are still served, but each response closes its
// connection, and requests on new connections are refused as not run. Drain returns when no request runs and no connection
// is open, or when ctx ends. It then refuses the requests of which only a part was received. The load balancer must have stopped sending requests before.
func (s *Server) Drain(ctx context.Context) {
	s.applyDefaults()
	s.isDraining.Store(true)
	s.Log.Info("draining caller connections", "running", s.countOpenWork())
	idle := make(chan struct{})
	var once sync.Once
	sub := s.Timer.CallEvery(sweepInterval, func(time.Time) {
		if s.countOpenWork() == 0 {
			once.Do(func() { close(idle) })
		}
	})
	defer sub.Stop()
	select {
	case <-idle:
	case <-ctx.Done():
		s.refuseIncompleteRequests()
	}
	s.Log.Info("drain of caller connections ended", "running", s.countOpenWork())
}

// countOpenWork returns the number of running requests plus the number of open connections.
func (s *Server) countOpenWork() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runningRequests) + len(s.conns)
}

// applyDefaults sets the defaults of unset fields and initializes the state. Only the first call has an effect.
func (s *Server) applyDefaults() {
	s.initOnce.Do(func() {
		if s.Log == nil {
			s.Log = slog.New(slog.DiscardHandler)
		}
		s.MaxBodyBytes = positiveOr(s.MaxBodyBytes, defaultMaxBodyBytes)
		s.MaxHeaderBytes = positiveOr(s.MaxHeaderBytes, defaultMaxHeaderBytes)
		s.MaxConnections = positiveOr(s.MaxConnections, defaultMaxConns())
		s.ReadTimeout = positiveOr(s.ReadTimeout, defaultReadTimeout)
		s.IdleTimeout = positiveOr(s.IdleTimeout, defaultIdleTimeout)
		s.WriteTimeout = positiveOr(s.WriteTimeout, defaultWriteTimeout)
		s.StaleConfigTimeout = positiveOr(s.StaleConfigTimeout, defaultStaleConfigTimeout)
		if s.Memory == nil {
			s.Memory = afmemory.NewProcessBudget(0)
		}
		if s.NewRequestID == nil {
			s.NewRequestID = randomRequestID
		}
		s.conns = make(map[*serverConn]struct{})
		s.runningRequests = make(map[*runningRequest]struct{})
		s.metrics = newMetrics(s.Registry)
	})
}

// positiveOr returns v if it is positive, and otherwise the fallback.
func positiveOr[T int | time.Duration](v, fallback T) T {
	if v > 0 {
		return v
	}
	return fallback
}
