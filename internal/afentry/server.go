// Package afentry is the callers' HTTP interface.
package afentry

import (
	"context"
	"log/slog"
	"maps"
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
	"arbutusfork.example/arbutusfork/internal/afdispatch"
	"arbutusfork.example/arbutusfork/internal/aflog"
	"arbutusfork.example/arbutusfork/pkg/afclaim"
	"arbutusfork.example/arbutusfork/pkg/afconfig"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

const (
	defaultMaxBody = 4 << 20
	// defaultReadTimeout bounds the time from the first to the last byte of a request.
	defaultReadTimeout = 10 * time.Second
	// defaultIdleTimeout is above the 60 s after which common load balancers reuse or drop a connection.
	defaultIdleTimeout = 120 * time.Second
	// defaultWriteTimeout bounds the time without progress towards a caller that does not read.
	defaultWriteTimeout = 10 * time.Second
	// defaultStale is how long keyed requests that were admitted go on after the configuration became stale.
	// Evidence is at most 3 s old then, so a withdrawn key stops working within 5 s on a VM that is cut off.
	defaultStale = time.Second
	// sweepPeriod is how often timeouts are looked at.
	sweepPeriod = 200 * time.Millisecond
	// lingerTime is how long a connection is still read after a refusal, since closing it with unread data would
	// make the caller's operating system drop the answer.
	lingerTime = 500 * time.Millisecond
	// drainIdle is how long a connection must be idle before it is closed while the server drains.
	drainIdle = time.Second
)

// Server serves callers. Its fields are set before Listen or Run.
type Server struct {
	// Snapshot returns the configuration in force.
	Snapshot func() *afconfig.Snapshot
	// IsConfigFresh reports whether the configuration may be relied on. Keyed requests are refused while it is false.
	IsConfigFresh func() bool
	// ReserveTokens takes tokens from the customer's allowance. Settle replaces the reservation by the actual count.
	ReserveTokens func(ctx context.Context, customer string, tokens int64) (settle func(actual int64), refusal *arbutusfork.Refusal)
	// ClaimCall makes a call durable before it is dispatched. FinishCall stores its answer, and CancelClaim tells that it was
	// never dispatched.
	ClaimCall   func(ctx context.Context, call afclaim.Call) (afclaim.Result, *arbutusfork.Refusal)
	FinishCall  func(call afclaim.Call, answer afclaim.Answer)
	CancelClaim func(call afclaim.Call)

	// ForwardRequest answers every request in place of the server's own paths, unless it is nil. It runs in a goroutine of its
	// own, one request at a time for a connection, and has flushed what it wrote when it returns.
	ForwardRequest func(c *CallerConn, w http.ResponseWriter, r *http.Request)

	Dispatcher *afdispatch.Service
	// Address is the IP address and port for callers.
	Address  string
	Log      *slog.Logger
	Timer    *aftimer.Service
	Registry prometheus.Registerer

	// MaxBodyBytes bounds a request's body in bytes. Zero means 4 MB.
	MaxBodyBytes int
	// MaxHeaderBytes bounds the request line and headers of one request in bytes. Zero means 32 KB.
	MaxHeaderBytes int
	// MaxConns bounds the open connections. Zero means what the descriptor limit allows.
	MaxConns int
	// ReadTimeout, IdleTimeout and WriteTimeout are explained at their defaults of 10 s, 120 s and 10 s.
	ReadTimeout  time.Duration
	IdleTimeout  time.Duration
	WriteTimeout time.Duration
	// StaleConfigTimeout is how long admitted keyed requests go on while IsConfigFresh is false. Zero means 1 s.
	StaleConfigTimeout time.Duration
	// NewRequestID returns a request id that callers cannot guess. Nil means 16 random bytes.
	NewRequestID func() string

	once     sync.Once
	metrics  metrics
	indexes  indexCache
	listener *boundedListener

	draining atomic.Bool
	mu       sync.Mutex
	links    map[*link]struct{}
	active   map[*active]struct{}
	// stale is when IsConfigFresh was first seen false. It is zero while the configuration is fresh.
	stale time.Time
}

// Listen binds Address. Run calls it if it was not called before.
func (s *Server) Listen() error {
	s.init()
	if s.listener != nil {
		return nil
	}
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		return &Error{Op: "listen", Kind: OperationUnavailable, Err: err}
	}
	s.listener = &boundedListener{Listener: l, server: s}
	return nil
}

// Addr returns the bound address after Listen.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Run serves callers until ctx ends, and then closes every connection. Drain comes before that for a graceful
// shutdown.
func (s *Server) Run(ctx context.Context) error {
	if err := s.Listen(); err != nil {
		return err
	}
	aflog.RouteEngineLog(s.Log)
	e := nbhttp.NewEngine(nbhttp.Config{
		Name: "entry",
		// The barrier needs to know which poller a descriptor belongs to. A trial with two pollers showed no
		// measurable effect on speed.
		NPoller:           1,
		ReadLimit:         s.MaxBodyBytes + 2*s.MaxHeaderBytes,
		MaxHTTPBodySize:   s.MaxBodyBytes,
		Handler:           http.HandlerFunc(s.serve),
		SupportServerOnly: true,
		ReadBufferSize:    readBuffer,
	})
	// Connections are accepted here and not by nbhttp, so its close handler does not apply.
	e.Engine.OnClose(func(c *nbio.Conn, err error) {
		if l, ok := c.Session().(*link); ok {
			l.CloseAndClean(err)
		}
	})
	e.OnWrittenSize(func(c *nbio.Conn, _ []byte, n int) {
		if l, ok := c.Session().(*link); ok {
			l.written(n)
		}
	})
	if err := e.Start(); err != nil {
		return &Error{Op: "start", Kind: OperationUnavailable, Err: err}
	}
	sweep := s.Timer.Every(sweepPeriod, s.sweep)
	s.Log.Info("serving callers", "address", s.Addr(), "connections", s.MaxConns)
	b, err := newBarrier(e)
	if err != nil {
		return &Error{Op: "start", Kind: OperationUnavailable, Err: err}
	}
	var wg sync.WaitGroup
	fresh := make(chan *link, acceptBatch)
	wg.Go(func() { s.accept(e, fresh) })
	wg.Go(func() { s.register(e, b, fresh) })
	<-ctx.Done()
	_ = s.listener.Close()
	wg.Wait()
	b.close()
	sweep.Stop()
	s.hangUp()
	e.Stop()
	return nil
}

// hangUp ends what still runs, since a stopped engine no longer tells that its connections are closed.
func (s *Server) hangUp() {
	s.mu.Lock()
	links := slices.Collect(maps.Keys(s.links))
	s.mu.Unlock()
	for _, l := range links {
		l.CloseAndClean(net.ErrClosed)
		_ = l.conn.Close()
	}
}

// Drain serves out: requests on connections that are open are still served, each answer closes its connection,
// and requests on new connections are refused as not run. It returns when nothing runs and no connection is
// open, or when ctx ends. The balancer must have stopped sending before.
func (s *Server) Drain(ctx context.Context) {
	s.init()
	s.draining.Store(true)
	s.Log.Info("draining callers", "running", s.running())
	idle := make(chan struct{})
	var once sync.Once
	sub := s.Timer.Every(sweepPeriod, func(time.Time) {
		if s.running() == 0 {
			once.Do(func() { close(idle) })
		}
	})
	defer sub.Stop()
	select {
	case <-idle:
	case <-ctx.Done():
	}
	s.Log.Info("callers drained", "running", s.running())
}

// running returns the number of requests in progress and connections that may still bring one.
func (s *Server) running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.active) + len(s.links)
}

func (s *Server) init() {
	s.once.Do(func() {
		if s.Log == nil {
			s.Log = slog.New(slog.DiscardHandler)
		}
		s.MaxBodyBytes = positive(s.MaxBodyBytes, defaultMaxBody)
		s.MaxHeaderBytes = positive(s.MaxHeaderBytes, defaultMaxHead)
		s.MaxConns = positive(s.MaxConns, descriptorBound())
		s.ReadTimeout = positive(s.ReadTimeout, defaultReadTimeout)
		s.IdleTimeout = positive(s.IdleTimeout, defaultIdleTimeout)
		s.WriteTimeout = positive(s.WriteTimeout, defaultWriteTimeout)
		s.StaleConfigTimeout = positive(s.StaleConfigTimeout, defaultStale)
		if s.NewRequestID == nil {
			s.NewRequestID = randomID
		}
		s.links = make(map[*link]struct{})
		s.active = make(map[*active]struct{})
		s.metrics = newMetrics(s.Registry)
	})
}

func positive[T int | time.Duration](v, otherwise T) T {
	if v > 0 {
		return v
	}
	return otherwise
}
