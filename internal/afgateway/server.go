// Package afgateway forwards callers' requests to endpoints: it matches the route, checks the key and the limit, waits for
// an endpoint that can serve the request, sends the request with an unchanged body, and relays the response.
//
// A request has three outcomes: answered, not run, and unknown. The outcome of a request that may have reached an endpoint
// is never not run unless the endpoint reported so, and such a request is retried only if its route allows that.
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
	"arbutusfork.example/arbutusfork/internal/afcrash"
	"arbutusfork.example/arbutusfork/internal/afentry"
	"arbutusfork.example/arbutusfork/internal/afmemory"
	"arbutusfork.example/arbutusfork/internal/afroster"
	"arbutusfork.example/arbutusfork/pkg/afretry"
	"arbutusfork.example/arbutusfork/pkg/afroute"
	"arbutusfork.example/arbutusfork/pkg/afshed"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

// Server forwards requests. Set the exported fields before the first request.
type Server struct {
	// Table returns the configuration in force, or nil if no configuration is loaded.
	Table       func() *afroute.Table
	Roster      *afroster.Roster
	HeaderCodec HeaderCodec
	Timer       *aftimer.Service
	Log         *slog.Logger
	// Centre is this VM's data centre.
	Centre string
	// OnRequestWaiting is called when a request begins to wait for an endpoint. It must not block.
	OnRequestWaiting func()
	// ListedVMCount returns the number of VMs that may be alive, at least 1.
	ListedVMCount func() int
	// FractionUsableWithoutGrants returns the fraction of the customers' limits that all VMs together may use while they
	// receive no grants.
	FractionUsableWithoutGrants func() float64
	// SpendBeyondGrant takes units of a customer's limit that this VM's grant does not cover. If too few units are
	// left, it returns false and the time after which enough units are expected.
	SpendBeyondGrant func(ctx context.Context, customer string, r afshed.UnitRequest) (time.Duration, bool)
	// RetryBudget bounds the retries of each service over all VMs. This VM uses its share of the budget.
	RetryBudget RetryBudget
	// AnswerMemory bounds the bytes that all answers in progress hold together. Nil means a budget of its own.
	AnswerMemory *afmemory.Budget
	// CrashWatch keeps prompts that crash endpoints from being sent.
	CrashWatch afcrash.Watch
	// EndpointLimits keeps the limits that endpoints name.
	EndpointLimits EndpointLimits
	// EngineStarts spaces the requests of all VMs to an engine.
	EngineStarts EngineStarts
	// EndpointNotices keeps what endpoints say about themselves.
	EndpointNotices EndpointNotices
	// Metrics counts outcomes. The zero value counts nothing.
	Metrics Metrics
	// Random returns a uniform random number in [0, 1). Nil means rand.Float64.
	Random func() float64

	// initOnce sets the defaults of the fields before the first use.
	initOnce    sync.Once
	dialer      net.Dialer
	queue       waitingQueue
	full        fullEndpoints
	limits      customerLimits
	demandRates demandRates
	loadDelays  loadDelays

	// mu guards retryWindows, cancelByRequest and isAborted.
	mu sync.Mutex
	// retryWindows holds the retry window of each service.
	retryWindows map[string]*afretry.RetryWindow
	// cancelByRequest holds the functions that cancel the requests in progress.
	cancelByRequest map[*proxiedRequest]context.CancelCauseFunc
	// isAborted means that AbortRunningRequests was called, so that requests that are added later are cancelled too.
	isAborted bool
	// sessions maps the last part of a prompt to the endpoint that read it last.
	sessions sessions

	// stop holds what decides whether a request is taken before a stop.
	stop stopState
	// stopping means that new requests are refused.
	stopping atomic.Bool
	// waitingRefused is closed when requests must not wait for an endpoint any more.
	waitingRefused    chan struct{}
	refuseWaitingOnce sync.Once
}

// RetryBudget bounds retries in a sliding window.
type RetryBudget struct {
	// RetryRatio is the number of retries that each request in the window allows.
	RetryRatio float64
	// ExtraRetries is the number of retries that each window allows in addition.
	ExtraRetries float64
	// Window is the duration of the window.
	Window time.Duration
}

const (
	// dialTimeout is far above the delay of 3 ms between data centres and too short for a caller to notice.
	dialTimeout = 600 * time.Millisecond
	// The keep-alive times detect the loss of an endpoint within about 4 s.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// unackedTimeout is the time without an acknowledgement after which a connection with unacknowledged bytes is
	// closed.
	unackedTimeout = 4 * time.Second
)

func (s *Server) init() {
	s.initOnce.Do(func() {
		if s.AnswerMemory == nil {
			s.AnswerMemory = &afmemory.Budget{}
		}
		if s.Random == nil {
			s.Random = rand.Float64
		}
		s.dialer = net.Dialer{
			Timeout:         dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
			Control:         setUserTimeout,
		}
		s.queue.now = s.Timer.Now
		s.waitingRefused = make(chan struct{})
		s.cancelByRequest = make(map[*proxiedRequest]context.CancelCauseFunc)
		s.retryWindows = make(map[string]*afretry.RetryWindow)
		s.sessions.byKey = make(map[string]session)
		s.limits.byCustomer = make(map[string]*tokenBucket)
		s.limits.waiters = make(map[string]int)
		s.demandRates.byModel = make(map[demandKey]*rate)
	})
}

// RefuseNewRequests makes the server refuse new requests as not run. It is called after the load balancer has stopped
// sending new connections.
func (s *Server) RefuseNewRequests() { s.stopping.Store(true) }

// RefuseWaitingRequests refuses the requests that wait for an endpoint or for a customer's limit, so that running requests can finish before the
// process ends.
func (s *Server) RefuseWaitingRequests() {
	s.init()
	s.refuseWaitingOnce.Do(func() { close(s.waitingRefused) })
}

// AbortRunningRequests ends all requests in progress with a response according to their outcome, because the process is
// about to end.
func (s *Server) AbortRunningRequests() {
	s.init()
	s.RefuseWaitingRequests()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isAborted = true
	for _, cancel := range s.cancelByRequest {
		cancel(errStopping)
	}
}

// addRunning adds a request to the requests in progress.
func (s *Server) addRunning(p *proxiedRequest, cancel context.CancelCauseFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelByRequest[p] = cancel
	if s.isAborted {
		cancel(errStopping)
	}
}

// removeRunning removes a request from the requests in progress.
func (s *Server) removeRunning(p *proxiedRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.cancelByRequest, p)
}

// ServeRequest serves one request of a caller.
func (s *Server) ServeRequest(c *afentry.CallerConn, w http.ResponseWriter, r *http.Request) {
	s.init()
	p := &proxiedRequest{server: s, caller: c, w: w, r: r, arrivedAt: s.Timer.Now()}
	refusal := p.serve()
	if refusal != nil {
		p.writeRefusal(refusal)
	}
	p.recordOutcome(refusal)
	if !p.responseBroken {
		_ = c.Flush() // A failed write is handled when the connection is closed.
	}
}

// retryWindow returns the retry window of a service with this VM's share of the budget.
func (s *Server) retryWindow(service string) *afretry.RetryWindow {
	w := s.retryWindows[service]
	if w == nil {
		w = &afretry.RetryWindow{Length: s.RetryBudget.Window}
		s.retryWindows[service] = w
	}
	// This VM uses less than the ratio and half of its share of the extra retries, since the window of a VM that
	// restarts begins without retries.
	w.RetryRatio = s.RetryBudget.RetryRatio * retryBudgetFraction
	w.ExtraRetries = s.RetryBudget.ExtraRetries / float64(2*max(s.ListedVMCount(), 1))
	return w
}

// SetRetryBudget changes the retry budget. If the duration of the window changes, all windows restart without requests.
func (s *Server) SetRetryBudget(r RetryBudget) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Window != s.RetryBudget.Window {
		clear(s.retryWindows)
	}
	s.RetryBudget = r
}

// spareRetryFraction is the fraction of the budget that requests at endpoints that are silent for a moment may use.
const spareRetryFraction = 0.5

// retryBudgetFraction is the fraction of the retry ratio that each VM uses, since the windows of the VMs do not begin
// at the same time.
const retryBudgetFraction = 0.75

// countForRetryBudget counts a request in the retry window of its service.
func (s *Server) countForRetryBudget(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryWindow(service).CountRequest(s.Timer.Now())
}

// takeRetry takes a retry from the retry window of the service and reports whether the window allows it.
func (s *Server) takeRetry(service string, now time.Time) bool {
	return s.takeRetryWithin(service, now, 1)
}

// takeRetryWithin is like takeRetry for a request that may use only a fraction of the budget.
func (s *Server) takeRetryWithin(service string, now time.Time, fraction float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	allowed := s.retryWindow(service).TakeRetryWithin(now, fraction)
	s.Metrics.countRetry(allowed)
	return allowed
}

// timeUntilRetry returns the time after which the retry window of the service allows a retry if nothing else happens.
func (s *Server) timeUntilRetry(service string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryWindow(service).TimeUntilRetry(s.Timer.Now())
}

// returnRetry gives back a retry that was taken at a time and not sent.
func (s *Server) returnRetry(service string, takenAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryWindow(service).ReturnRetry(takenAt)
}

// newRefusal returns the refusal of a request that did not run, with the time after which a retry may succeed.
func newRefusal(code arbutusfork.RefusalCode, message string, retryAfter time.Duration) *arbutusfork.Refusal {
	return arbutusfork.NewRefusal(code, message).WithRetryAfter(retryAfter)
}
