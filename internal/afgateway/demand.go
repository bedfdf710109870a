package afgateway

import (
	"math"
	"sync"
	"time"

	"arbutusfork.example/arbutusfork/pkg/afassign"
	"arbutusfork.example/arbutusfork/pkg/afroute"
)

const (
	// rateTime is the time constant of the demand's average: demand moves to other models within seconds.
	rateTime = 4 * time.Second
	// sessionLife is how long a session's endpoint is remembered, and maxSessions bounds them.
	sessionLife = 20 * time.Second
	maxSessions = 4096
)

// demandKey names a model, or an adapter of it.
type demandKey struct{ model, adapter string }

// rates holds the recent demand by model and adapter.
type rates struct {
	mu sync.Mutex
	m  map[demandKey]*rate
}

// rate is an exponential average of events and of an amount that comes with them, each a second.
type rate struct {
	at           time.Time
	count, units float64
}

func (r *rate) add(now time.Time, units float64) {
	r.decay(now)
	r.count += 1 / rateTime.Seconds()
	r.units += units / rateTime.Seconds()
}

func (r *rate) decay(now time.Time) {
	f := math.Exp(-now.Sub(r.at).Seconds() / rateTime.Seconds())
	r.count *= f
	r.units *= f
	r.at = now
}

func (d *rates) ask(model, adapter string, prompt int64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := demandKey{model, adapter}
	r := d.m[k]
	if r == nil {
		r = &rate{at: now}
		d.m[k] = r
	}
	r.add(now, float64(prompt))
}

// Demand returns what this VM's callers ask for.
func (s *Server) Demand() []afassign.Demand {
	s.init()
	now := s.Timer.Now()
	waiting := s.queue.waiting(now)
	s.demand.mu.Lock()
	defer s.demand.mu.Unlock()
	out := make([]afassign.Demand, 0, len(s.demand.m))
	for k, r := range s.demand.m {
		r.decay(now)
		w := waiting[k]
		const faint = 0.01 // Below a request in 100 s the rate says nothing.
		if r.count < faint && w.n == 0 {
			delete(s.demand.m, k)
			continue
		}
		delete(waiting, k)
		out = append(out, afassign.Demand{
			Model: k.model, Adapter: k.adapter, WaitingRequests: w.n, OnTimeRequests: w.fresh, LongestWait: w.oldest, RequestRate: r.count, PromptTokenRate: r.units,
		})
	}
	for k, w := range waiting {
		out = append(out, afassign.Demand{Model: k.model, Adapter: k.adapter, WaitingRequests: w.n, OnTimeRequests: w.fresh, LongestWait: w.oldest})
	}
	return out
}

// DispatchWaiting lets waiting requests go on after a change of the endpoints.
func (s *Server) DispatchWaiting() { s.queue.wake() }

// forecast holds when models that no engine holds should be loaded, or can be at the earliest.
type forecast struct {
	mu sync.Mutex
	m  map[string]time.Time
}

// SetLoadForecast takes the times until models are loaded, or can be at the earliest.
func (s *Server) SetLoadForecast(soon map[string]time.Duration) {
	now := s.Timer.Now()
	m := make(map[string]time.Time, len(soon))
	for model, d := range soon {
		m[model] = now.Add(d)
	}
	s.soon.mu.Lock()
	s.soon.m = m
	s.soon.mu.Unlock()
	s.DispatchWaiting()
}

// at returns when a model should be loaded at the earliest, if that is known.
func (f *forecast) at(model string) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t, ok := f.m[model]
	return t, ok
}

// session is where a session's prompt was read last.
type session struct {
	endpoint string
	at       time.Time
}

type sessions struct {
	mu sync.Mutex
	m  map[string]session
}

func sessionKey(c RequestHeaders) string {
	if len(c.PromptParts) == 0 {
		return ""
	}
	return c.Model + "/" + c.Adapter + "/" + c.PromptParts[len(c.PromptParts)-1].ID
}

// find returns the endpoint that read the session's prompt last.
func (s *sessions) find(c RequestHeaders) string {
	key := sessionKey(c)
	if key == "" {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.m[key].endpoint
}

func (s *sessions) put(c RequestHeaders, endpoint string, now time.Time) {
	key := sessionKey(c)
	if key == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.m) >= maxSessions {
		for k, x := range s.m {
			if now.Sub(x.at) > sessionLife {
				delete(s.m, k)
			}
		}
		if len(s.m) >= maxSessions {
			clear(s.m)
		}
	}
	s.m[key] = session{endpoint, now}
}

// isStream reports whether the route's answers are relayed event by event.
func isStream(r afroute.Route) bool { return r.Kind == afroute.KindStreaming }
