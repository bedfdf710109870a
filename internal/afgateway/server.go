// Package afgateway forwards callers' requests to endpoints: it finds the route, checks the key and the limit, waits for
// an endpoint that can serve the request, sends it there with its bytes unchanged, and relays the answer.
//
// A request has three outcomes: answered, not run, and unknown. Whatever may have reached an endpoint is never called
// not run, and is sent again only if its route allows that.
package afgateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afentry"
	"arbutusfork.example/arbutusfork/internal/afroster"
	"arbutusfork.example/arbutusfork/pkg/afretry"
	"arbutusfork.example/arbutusfork/pkg/afroute"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

// Server forwards requests. Set the exported fields before the first request.
type Server struct {
	// Table returns the configuration in force, or nil before one is known.
	Table   func() *afroute.Table
	Roster  *afroster.Roster
	Headers HeaderCodec
	Timer   *aftimer.Service
	Log     *slog.Logger
	// Centre is this VM's data centre.
	Centre string
	// OnRequestWaiting is called when a request begins to wait for something that no endpoint holds. It must not block.
	OnRequestWaiting func()
	// VMCount returns the number of VMs that may be alive, at least 1.
	VMCount func() int
	// FallbackShare returns the part of the customers' limits that all VMs together use while no grants come.
	FallbackShare func() float64
	// SpendBeyondGrant takes units of a customer's limit that this VM's grant does not cover, or returns the time after which there
	// should be enough.
	SpendBeyondGrant func(ctx context.Context, customer string, cost int64) (time.Duration, bool)
	// RetryBudget is the budget for second sends of each service over all VMs; this VM uses its part.
	RetryBudget RetryBudget
	// Metrics counts outcomes. The zero value counts nothing that is served.
	Metrics Metrics
	// Random returns a uniform number in [0, 1). Nil means a random one.
	Random func() float64

	once   sync.Once
	dialer net.Dialer
	queue  queue
	limits limits
	demand rates
	soon   forecast

	mu      sync.Mutex
	windows map[string]*afretry.RetryWindow
	// running holds what ends the requests in progress.
	running map[*job]context.CancelCauseFunc
	// sessions maps the last part of a prompt to the endpoint that read it last.
	sessions sessions

	stopping atomic.Bool
	// ending is closed when no request may begin to wait or go on waiting.
	ending   chan struct{}
	endsOnce sync.Once
}

// RetryBudget is a budget for second sends in a sliding window.
type RetryBudget struct {
	// RetryRatio is the number of second sends for each request, ExtraRetries the number allowed besides in each window.
	RetryRatio, ExtraRetries float64
	Window                   time.Duration
}

const (
	// dialTimeout is far above the 3 ms between data centres and below what a caller notices.
	dialTimeout = 600 * time.Millisecond
	// keepAliveIdle and the following detect an endpoint that is gone within about 4 s.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// unackedTimeout ends a connection whose bytes are not acknowledged.
	unackedTimeout = 4 * time.Second
)

func (s *Server) init() {
	s.once.Do(func() {
		if s.Random == nil {
			s.Random = rand.Float64
		}
		s.dialer = net.Dialer{
			Timeout:         dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
			Control:         limitUnacked,
		}
		s.ending = make(chan struct{})
		s.running = make(map[*job]context.CancelCauseFunc)
		s.windows = make(map[string]*afretry.RetryWindow)
		s.sessions.m = make(map[string]session)
		s.limits.m = make(map[string]*allowance)
		s.demand.m = make(map[demandKey]*rate)
	})
}

// RefuseNewRequests makes new connections' requests be refused as not run. It is called when the balancer has stopped sending.
func (s *Server) RefuseNewRequests() { s.stopping.Store(true) }

// RefuseWaitingRequests refuses the requests that still wait for an endpoint, so that those that run can finish before the process ends.
func (s *Server) RefuseWaitingRequests() {
	s.init()
	s.endsOnce.Do(func() { close(s.ending) })
}

// AbortRunningRequests answers the requests that still run, as their outcome is known, because the process is about to end.
func (s *Server) AbortRunningRequests() {
	s.init()
	s.RefuseWaitingRequests()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, cancel := range s.running {
		cancel(errStopping)
	}
}

func (s *Server) enter(j *job, cancel context.CancelCauseFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[j] = cancel
}

func (s *Server) leave(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, j)
}

// ServeRequest answers one request.
func (s *Server) ServeRequest(c *afentry.Caller, w http.ResponseWriter, r *http.Request) {
	s.init()
	j := &job{server: s, caller: c, w: w, r: r, arrived: s.Timer.Now()}
	refusal := j.run()
	if refusal != nil {
		j.refuse(refusal)
	}
	j.finish(refusal)
	if !j.broken {
		_ = c.Flush() // The connection's own close handling takes a failed write.
	}
}

// window returns the budget window of a service with this VM's part of the fleet's extra.
func (s *Server) window(service string) *afretry.RetryWindow {
	w := s.windows[service]
	if w == nil {
		w = &afretry.RetryWindow{Length: s.RetryBudget.Window}
		s.windows[service] = w
	}
	// The VM keeps below the fleet's ratio and half of its part of the extra, since a VM that restarts begins anew.
	w.RetryRatio = s.RetryBudget.RetryRatio * repeatCaution
	w.ExtraRetries = s.RetryBudget.ExtraRetries / float64(2*max(s.VMCount(), 1))
	return w
}

// SetRetryBudget changes the budget for second sends. Windows of another length begin without requests.
func (s *Server) SetRetryBudget(r RetryBudget) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Window != s.RetryBudget.Window {
		clear(s.windows)
	}
	s.RetryBudget = r
}

// repeatCaution keeps the VMs' own budgets below the fleet's, whose windows do not begin together.
const repeatCaution = 0.75

func (s *Server) countRequest(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.window(service).CountRequest(s.Timer.Now())
}

// mayRepeat takes a second send from the service's budget.
func (s *Server) mayRepeat(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	allowed := s.window(service).TakeRetry(s.Timer.Now())
	s.Metrics.repeat(allowed)
	return allowed
}

// refuse returns a refusal of a request that did not run, with the time after which a retry can succeed.
func refuse(code arbutusfork.Code, message string, after time.Duration) *arbutusfork.Refusal {
	return arbutusfork.Refuse(code, message).WithRetryAfter(after)
}
